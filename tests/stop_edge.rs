//! Tests for planned stops of a running server: an entry, and connections that have not been accepted yet.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use pumicelatch::entry::{Entry, Setting};
use pumicelatch::http::{self, Server};
use pumicelatch::limit::connection;
use pumicelatch::member::Role;
use pumicelatch::node;
use pumicelatch::route::Strategy;
use pumicelatch::standin::fleet::KEYRING;
use pumicelatch::stop;

/// Maximum wait for a condition; the test fails afterwards.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Exceeds the clock value of a process that has just started.
const FOREVER: Duration = Duration::from_secs(1 << 20);

fn listen() -> (SocketAddr, tokio::net::TcpListener) {
    let listener = http::bind(([127, 0, 0, 1], 0).into()).unwrap();
    (
        listener.local_addr().unwrap(),
        http::adopt(listener).unwrap(),
    )
}

/// Reads an answer until the connection is closed, on a separate thread.
async fn read_answer(mut connection: TcpStream) -> String {
    let read = actix_rt::task::spawn_blocking(move || {
        connection.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut all = Vec::new();
        let _ = connection.read_to_end(&mut all);
        String::from_utf8(all).unwrap().to_lowercase()
    });
    read.await.unwrap()
}

async fn until_closed(address: SocketAddr) {
    let deadline = Instant::now() + TIMEOUT;
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < deadline, "still listening at the deadline");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_connection_in_the_listen_queue_is_served_after_the_listener_stops() {
    actix_rt::System::new().block_on(async {
        let (address, listener) = listen();
        let server = Server::start(listener, http::plain(), |_, _| async {
            http::status(StatusCode::OK)
        });
        // The server shares this thread, which has not yielded, so the connection is not accepted yet.
        let mut queued = TcpStream::connect(address).unwrap();
        server.stop_accepting();
        until_closed(address).await;
        queued
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            .unwrap();
        let answer = read_answer(queued).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
    });
}

#[test]
fn a_stopping_entry_refuses_requests_on_open_connections() {
    actix_rt::System::new().block_on(async {
        let (address, listener) = listen();
        let unreachable = "http://127.0.0.1:1".to_owned();
        let setting = Setting {
            node: node::Setting {
                name: "entry".into(),
                hall: "hall".into(),
                role: Role::Entry,
                listen: address,
                config_url: unreachable.clone(),
                list_url: unreachable,
                connections: connection::Setting::default(),
            },
            keyring: KEYRING.parse().unwrap(),
            strategy: Strategy::Expected,
            remote_targets: 1,
            seed: 7,
        };
        let running = Entry::start(setting, listener, http::plain()).unwrap();
        let mut open = TcpStream::connect(address).unwrap();
        running.entry.drain();
        let setting = stop::Setting {
            announce_period: Duration::ZERO,
            time_limit: FOREVER,
            flush_period: FOREVER,
            ..stop::Setting::default()
        };
        let tracker = running.entry.tracker.clone();
        let stop = actix_rt::spawn(async move { tracker.stop(setting, &running.server).await });
        until_closed(address).await;
        open.write_all(
            b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbegun",
        )
        .unwrap();
        let answer = read_answer(open).await;
        assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
        for part in [
            "connection: close",
            "retry-after: ",
            "\"stopping\"",
            "\"not_run\"",
        ] {
            assert!(answer.contains(part), "{part}: {answer}");
        }
        assert!(!stop.is_finished());
        stop.abort();
    });
}
