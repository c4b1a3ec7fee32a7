//! Transfers that take long or fail: how they are waited for and tried again, what is written of it, and
//! how documents are packed.

use std::cell::Cell;
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::stream;
use pumicelatch::backoff::Backoff;
use pumicelatch::config::routing::{Document, Route};
use pumicelatch::http::{self, ClientSetting, Server};
use pumicelatch::log::Repeats;
use pumicelatch::timeout::{self, Config, Error, Progress};
use pumicelatch::wire::pack;
use quickcheck::quickcheck;

/// Shorter than the transfers of these tests.
const SHORT: Config = Config {
    first_byte: Duration::from_millis(400),
    idle: Duration::from_millis(400),
    total: Duration::from_secs(60),
};

fn run<F: Future>(body: F) -> F::Output {
    actix_rt::System::new().block_on(body)
}

#[test]
fn a_transfer_that_moves_is_waited_for_beyond_the_time_of_a_silent_one() {
    let moves = Cell::new(0);
    let ended = run(async {
        let progress = Progress::default();
        let transfer = async {
            progress.touch();
            for _ in 0..50 {
                sleep(Duration::from_millis(50)).await;
                progress.touch();
            }
            "whole"
        };
        let moved = || moves.set(moves.get() + 1);
        let waits = Config {
            idle: Duration::from_millis(2_000),
            ..SHORT
        };
        timeout::wait_while(transfer, &progress, waits, moved, || true).await
    });
    assert_eq!(ended, Ok("whole"));
    assert!(moves.get() > 1, "whoever waits is told that it moves");
}

#[test]
fn a_transfer_that_never_begins_or_stops_or_is_not_needed_is_given_up() {
    let forever = std::future::pending::<()>;
    let (silent, stopped, needless, endless) = run(async {
        let none = Progress::default();
        let silent = timeout::wait_while(forever(), &none, SHORT, || {}, || true).await;
        let progress = Progress::default();
        progress.touch();
        let stopped = timeout::wait_while(forever(), &progress, SHORT, || {}, || true).await;
        let needless = timeout::wait_while(forever(), &none, SHORT, || {}, || false).await;
        let brief = Config {
            total: Duration::from_millis(300),
            ..SHORT
        };
        let endless = timeout::wait_while(forever(), &none, brief, || {}, || true).await;
        (silent, stopped, needless, endless)
    });
    assert!(matches!(silent, Err(Error::NoAnswer { .. })));
    assert!(matches!(stopped, Err(Error::Stalled { .. })));
    assert_eq!(needless, Err(Error::Cancelled));
    assert!(matches!(endless, Err(Error::TooLong { .. })));
}

#[test]
fn a_long_answer_is_read_to_its_end_however_soon_it_has_to_begin() {
    /// Parts of the answer, which come one after the other.
    const PARTS: usize = 30;
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}/", listener.local_addr().unwrap());
        let _server = Server::start(listener, http::plain(), |_, _| async {
            let parts = stream::unfold(0, |sent| async move {
                sleep(Duration::from_millis(100)).await;
                let part = Bytes::from_static(&[7; 100]);
                (sent < PARTS).then_some((Ok::<_, std::io::Error>(part), sent + 1))
            });
            http::stream(StatusCode::OK, "application/octet-stream", Box::pin(parts))
        });
        let client = http::client(ClientSetting::default());
        let answer = http::get(&client, &url, 1 << 20, Duration::from_millis(1_000)).await;
        assert_eq!(answer.unwrap().len(), 100 * PARTS);
    });
}

fn document(names: &[String]) -> Document {
    let route = |name: &String| Route {
        host: name.clone(),
        prefix: format!("/{name}/"),
        ..Route::default()
    };
    Document {
        version: names.len() as u64,
        routes: names.iter().map(route).collect(),
        ..Document::default()
    }
}

#[test]
fn documents_come_out_of_their_packing_as_they_went_in() {
    fn property(names: Vec<String>) -> bool {
        let document = document(&names);
        let packed = pack::pack(&document).unwrap();
        pack::unpack::<Document>(&packed).unwrap() == document
    }
    quickcheck(property as fn(Vec<String>) -> bool);
}

#[test]
fn bytes_that_are_no_packed_document_are_an_error() {
    fn property(mut bytes: Vec<u8>, cut: usize) -> bool {
        let packed = pack::pack(&document(&["a".to_owned(), "b".to_owned()])).unwrap();
        let part = &packed[..cut % packed.len()];
        bytes.truncate(64);
        pack::unpack::<Document>(part).is_err() && pack::unpack::<Document>(&bytes).is_err()
    }
    quickcheck(property as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn a_packed_document_ends_where_its_bytes_end() {
    // A stream that refers to bytes before its beginning: they are read as zeros, and what they
    // say ends before they do.
    assert!(pack::unpack::<Document>(&[59, 130, 1, 3, 0]).is_err());
    let mut packed = pack::pack(&document(&["a".to_owned()])).unwrap();
    packed.push(0);
    assert!(pack::unpack::<Document>(&packed).is_err());
}

#[test]
fn many_routes_take_a_tenth_of_their_length() {
    let names: Vec<String> = (0..1_500)
        .map(|index| format!("route-{index}.example"))
        .collect();
    let document = document(&names);
    let plain = rmp_serde::to_vec_named(&document).unwrap();
    let packed = pack::pack(&document).unwrap();
    assert!(
        packed.len() * 10 <= plain.len(),
        "{} of {}",
        packed.len(),
        plain.len()
    );
}

#[test]
fn pauses_double_up_to_their_bound_and_begin_anew_after_a_success() {
    fn property(first: u8, longest: u16, failures: u8) -> bool {
        let first = Duration::from_millis(u64::from(first));
        let longest = first + Duration::from_millis(u64::from(longest));
        let mut backoff = Backoff::new(first, longest);
        let mut before = backoff.failed();
        let begins = before == first;
        let doubles = (0..failures).all(|_| {
            let pause = backoff.failed();
            let right = pause == (before * 2).min(longest);
            before = pause;
            right
        });
        let counts = backoff.failures() == u32::from(failures) + 1;
        backoff.succeeded();
        begins && doubles && counts && backoff.failures() == 0 && backoff.failed() == first
    }
    quickcheck(property as fn(u8, u16, u8) -> bool);
}

#[test]
fn repeats_are_written_at_first_and_when_their_number_has_doubled() {
    let repeats = Repeats::default();
    assert_eq!(repeats.end(), None);
    let written: Vec<u64> = (0..20).filter_map(|_| repeats.count()).collect();
    assert_eq!(written, [1, 2, 4, 8, 16]);
    assert_eq!(repeats.end(), Some(20));
    assert_eq!(repeats.count(), Some(1));
}
