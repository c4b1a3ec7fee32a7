//! Tests of transfer timeouts, retry backoff, logging of repeated failures, and the packing of
//! documents.

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

/// Timeouts that are shorter than the transfers in these tests.
const SHORT: Config = Config {
    first_byte: Duration::from_millis(400),
    idle: Duration::from_millis(400),
    total: Duration::from_secs(60),
};

fn run<F: Future>(body: F) -> F::Output {
    actix_rt::System::new().block_on(body)
}

#[test]
fn transfer_with_progress_is_not_timed_out() {
    let progress_calls = Cell::new(0);
    let ended = run(async {
        let progress = Progress::default();
        let transfer = async {
            progress.touch();
            for _ in 0..50 {
                sleep(Duration::from_millis(50)).await;
                progress.touch();
            }
            "complete"
        };
        let on_progress = || progress_calls.set(progress_calls.get() + 1);
        let config = Config {
            idle: Duration::from_millis(2_000),
            ..SHORT
        };
        timeout::wait_while(transfer, &progress, config, on_progress, || true).await
    });
    assert_eq!(ended, Ok("complete"));
    assert!(
        progress_calls.get() > 1,
        "progress is not reported to the caller"
    );
}

#[test]
fn wait_ends_for_silent_stalled_cancelled_and_overlong_transfers() {
    let forever = std::future::pending::<()>;
    let (silent, stalled, cancelled, overlong) = run(async {
        let none = Progress::default();
        let silent = timeout::wait_while(forever(), &none, SHORT, || {}, || true).await;
        let progress = Progress::default();
        progress.touch();
        let stalled = timeout::wait_while(forever(), &progress, SHORT, || {}, || true).await;
        let cancelled = timeout::wait_while(forever(), &none, SHORT, || {}, || false).await;
        let brief = Config {
            total: Duration::from_millis(300),
            ..SHORT
        };
        let overlong = timeout::wait_while(forever(), &none, brief, || {}, || true).await;
        (silent, stalled, cancelled, overlong)
    });
    assert!(matches!(silent, Err(Error::NoAnswer { .. })));
    assert!(matches!(stalled, Err(Error::Stalled { .. })));
    assert_eq!(cancelled, Err(Error::Cancelled));
    assert!(matches!(overlong, Err(Error::TooLong { .. })));
}

#[test]
fn long_response_is_read_completely_despite_short_first_byte_timeout() {
    /// Parts of the response, sent one after another.
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
        let response = http::get(&client, &url, 1 << 20, Duration::from_millis(1_000)).await;
        assert_eq!(response.unwrap().len(), 100 * PARTS);
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
fn packed_documents_round_trip() {
    fn property(names: Vec<String>) -> bool {
        let document = document(&names);
        let packed = pack::pack(&document).unwrap();
        pack::unpack::<Document>(&packed).unwrap() == document
    }
    quickcheck(property as fn(Vec<String>) -> bool);
}

#[test]
fn unpacking_invalid_bytes_fails() {
    fn property(mut bytes: Vec<u8>, cut: usize) -> bool {
        let packed = pack::pack(&document(&["a".to_owned(), "b".to_owned()])).unwrap();
        let part = &packed[..cut % packed.len()];
        bytes.truncate(64);
        pack::unpack::<Document>(part).is_err() && pack::unpack::<Document>(&bytes).is_err()
    }
    quickcheck(property as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn unpacking_rejects_trailing_bytes() {
    // A compressed stream that refers to bytes before its start. They are read as zeros, and the
    // document that these encode ends before the bytes do.
    assert!(pack::unpack::<Document>(&[59, 130, 1, 3, 0]).is_err());
    let mut packed = pack::pack(&document(&["a".to_owned()])).unwrap();
    packed.push(0);
    assert!(pack::unpack::<Document>(&packed).is_err());
}

#[test]
fn packing_many_routes_saves_nine_tenths() {
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
fn backoff_doubles_up_to_limit_and_resets_after_success() {
    fn property(first: u8, longest: u16, failures: u8) -> bool {
        let first = Duration::from_millis(u64::from(first));
        let longest = first + Duration::from_millis(u64::from(longest));
        let mut backoff = Backoff::new(first, longest);
        let mut before = backoff.next_delay();
        let starts = before == first;
        let doubles = (0..failures).all(|_| {
            let pause = backoff.next_delay();
            let correct = pause == (before * 2).min(longest);
            before = pause;
            correct
        });
        let counts = backoff.failures() == u32::from(failures) + 1;
        backoff.reset();
        starts && doubles && counts && backoff.failures() == 0 && backoff.next_delay() == first
    }
    quickcheck(property as fn(u8, u16, u8) -> bool);
}

#[test]
fn repeats_are_logged_at_powers_of_two() {
    let repeats = Repeats::default();
    assert_eq!(repeats.end(), None);
    let logged: Vec<u64> = (0..20).filter_map(|_| repeats.count()).collect();
    assert_eq!(logged, [1, 2, 4, 8, 16]);
    assert_eq!(repeats.end(), Some(20));
    assert_eq!(repeats.count(), Some(1));
}
