//! Requests that a client sends ahead on one connection, in any parts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::{sleep, timeout};
use pumicelatch::http::{self, Server};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A wait that ends without its condition fails the test.
const PATIENCE: Duration = Duration::from_secs(30);

/// Longest body of a request, in bytes.
const BODY_MAX: usize = 1 << 20;

/// How a request's body is sent.
#[derive(Debug, Clone, Copy)]
enum Framing {
    None,
    Length,
    Chunks,
}

#[derive(Debug, Clone)]
struct Request {
    framing: Framing,
    body: Vec<u8>,
}

impl Arbitrary for Request {
    fn arbitrary(random: &mut Gen) -> Self {
        let framing = *random
            .choose(&[Framing::None, Framing::Length, Framing::Chunks])
            .unwrap();
        // Empty lines inside a body end neither the body nor a head.
        let parts: [&[u8]; 4] = [
            b"\r\n\r\n",
            b"\n\n",
            b"GET / HTTP/1.1\r\n\r\n",
            &[b'x'; 3_000],
        ];
        let count = usize::arbitrary(random) % 6;
        let body = (0..count).flat_map(|_| random.choose(&parts).unwrap().to_vec());
        Self {
            framing,
            body: match framing {
                Framing::None => Vec::new(),
                Framing::Length | Framing::Chunks => body.collect(),
            },
        }
    }
}

impl Request {
    fn text(&self) -> Vec<u8> {
        let mut text = b"POST /x HTTP/1.1\r\nHost: test.example\r\n".to_vec();
        match self.framing {
            Framing::None => text.extend_from_slice(b"\r\n"),
            Framing::Length => {
                let length = format!("Content-Length: {}\r\n\r\n", self.body.len());
                text.extend_from_slice(length.as_bytes());
                text.extend_from_slice(&self.body);
            }
            Framing::Chunks => {
                text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
                for chunk in self.body.chunks(700) {
                    text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    text.extend_from_slice(chunk);
                    text.extend_from_slice(b"\r\n");
                }
                text.extend_from_slice(b"0\r\n\r\n");
            }
        }
        text
    }
}

/// The most requests that a server handled at the same time on its only connection.
type Concurrent = Rc<Cell<(u32, u32)>>;

/// A server that answers with what it got, after a while.
async fn echo(concurrent: Concurrent) -> (SocketAddr, Server) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::start(listener, http::plain(), move |mut request, _| {
        let concurrent = concurrent.clone();
        async move {
            let (now, most) = concurrent.get();
            concurrent.set((now + 1, most.max(now + 1)));
            let body = http::read_request(&mut request, BODY_MAX).await.unwrap();
            sleep(Duration::from_millis(1)).await;
            let (now, most) = concurrent.get();
            concurrent.set((now - 1, most));
            http::body(StatusCode::OK, "application/octet-stream", body)
        }
    });
    (address, server)
}

/// Reads the bodies of `count` responses.
async fn read(stream: &mut (impl AsyncReadExt + Unpin), count: usize) -> Vec<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut bodies = Vec::new();
    while bodies.len() < count {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end.map(|end| end + 4) {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.unwrap().parse().unwrap();
            if bytes.len() >= end + length {
                bodies.push(bytes[end..end + length].to_vec());
                bytes.drain(..end + length);
                continue;
            }
        }
        let read = timeout(PATIENCE, stream.read_buf(&mut bytes)).await;
        if !matches!(read, Ok(Ok(1..))) {
            break;
        }
    }
    bodies
}

/// Sends `requests` in parts of these lengths, and reads the responses.
async fn exchange(requests: &[Request], parts: &[u16]) -> (Vec<Vec<u8>>, u32) {
    let concurrent = Concurrent::default();
    let (address, _server) = echo(concurrent.clone()).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut from, mut to) = stream.split();
    let writing = async {
        let text: Vec<u8> = requests.iter().flat_map(Request::text).collect();
        let mut rest = &text[..];
        for part in parts {
            let (first, after) = rest.split_at(rest.len().min(usize::from(*part) % 5_000));
            to.write_all(first).await.unwrap();
            actix_rt::task::yield_now().await;
            rest = after;
        }
        to.write_all(rest).await.unwrap();
    };
    let reading = read(&mut from, requests.len());
    let ((), bodies) = futures_util::future::join(writing, reading).await;
    (bodies, concurrent.get().1)
}

/// Guards against requests whose end is misjudged, so that one waits for bytes that were read, or others are handled before it.
#[test]
fn requests_in_any_parts_are_answered_in_order_one_at_a_time() {
    fn check(requests: Vec<Request>, parts: Vec<u16>) -> TestResult {
        let (bodies, concurrent) = actix_rt::System::new().block_on(exchange(&requests, &parts));
        let expected: Vec<Vec<u8>> = requests.into_iter().map(|request| request.body).collect();
        TestResult::from_bool(bodies == expected && concurrent <= 1)
    }
    let check: fn(Vec<Request>, Vec<u16>) -> TestResult = check;
    QuickCheck::new().tests(60).quickcheck(check);
}

/// Guards against requests ahead that are lost when their client then closes its sending side.
#[test]
fn requests_ahead_of_the_end_of_sending_are_answered() {
    actix_rt::System::new().block_on(async {
        let (address, _server) = echo(Concurrent::default()).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = Request {
            framing: Framing::Length,
            body: vec![b'x'; 3_000],
        };
        stream.write_all(&request.text().repeat(20)).await.unwrap();
        stream.shutdown().await.unwrap();
        assert_eq!(read(&mut stream, 20).await, vec![request.body; 20]);
    });
}

/// Guards against a connection that stays open but is not read any more after a body that its handler did not want.
#[test]
fn a_connection_whose_body_was_not_read_is_closed_or_goes_on() {
    actix_rt::System::new().block_on(async {
        for framing in [Framing::Length, Framing::Chunks] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let _server = Server::start(listener, http::plain(), |_, _| async {
                sleep(Duration::from_millis(50)).await;
                http::body(StatusCode::OK, "text/plain", "ignored")
            });
            let mut stream = TcpStream::connect(address).await.unwrap();
            let request = Request {
                framing,
                body: vec![b'x'; 100],
            };
            stream.write_all(&request.text()).await.unwrap();
            assert_eq!(read(&mut stream, 1).await, [b"ignored"]);
            let _ = stream.write_all(&request.text()).await;
            let mut next = [0; 100];
            let answered = timeout(PATIENCE / 3, stream.read(&mut next)).await;
            assert!(
                answered.is_ok(),
                "{framing:?}: it is neither closed nor answered"
            );
        }
    });
}
