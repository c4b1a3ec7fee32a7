//! A replica as a process: `stand replica ADDRESS ID KIND UNFRAMED-EVERY`.
//!
//! * KIND `plain`: an answer of [`BODY`] bytes in parts, over [`PARTS`] x [`PAUSE`];
//!   `stream`: [`EVENTS`] events, one each [`EVENT_PAUSE`].
//! * Each UNFRAMED-EVERYth answer (0: none) has no length and finishes with its connection.
//!
//! It tells on its standard output what it runs, a line each. SIGTERM ends it.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{self, Request};

/// Bytes of a plain answer.
pub const BODY: usize = 4_800;
/// Parts in which a plain answer is written.
pub const PARTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(25);

/// Events of a stream.
pub const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// The parts of prompts that crash replicas which begin to write an answer on them begin so.
pub const DEADLY: &str = "dead000";

/// The whole body of the plain answer to the request `id`.
pub fn body(id: &str) -> Vec<u8> {
    let pattern = format!("{id}:");
    pattern.bytes().cycle().take(BODY).collect()
}

/// An event of the stream that answers any request.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n")
}

struct Replica {
    id: String,
    stream: bool,
    /// Whether requests with the part [`DEADLY`] crash it.
    deadly: bool,
    unframed_every: u64,
    answers: AtomicU64,
}

fn tell(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

pub fn run(args: &[String]) {
    let [address, id, kind, unframed_every] = args else {
        eprintln!("stand replica ADDRESS ID KIND UNFRAMED-EVERY");
        std::process::exit(2);
    };
    let listener = TcpListener::bind(address).expect("the replica's address is free");
    let replica = Arc::new(Replica {
        id: id.clone(),
        stream: kind == "stream",
        deadly: kind == "deadly",
        unframed_every: unframed_every.parse().unwrap_or(0),
        answers: AtomicU64::new(0),
    });
    tell("up");
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        std::thread::spawn(move || replica.serve(stream));
    }
}

impl Replica {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut from) {
            if !self.answer(&request, &mut out).unwrap_or(false) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(&self, request: &Request, out: &mut TcpStream) -> std::io::Result<bool> {
        let id = request.header("x-pumicelatch-attempt-id");
        let own = ("X-Pumicelatch-Replica-Id", self.id.as_str());
        if request.path == "/health" {
            http::respond(out, 200, &[own], b"")?;
            return Ok(true);
        }
        if request.path.starts_with("/-/") {
            http::respond(out, 404, &[], b"")?;
            return Ok(true);
        }
        let expected = request.header("x-pumicelatch-expect-replica");
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Pumicelatch-Attempt-Id", id), ("X-Pumicelatch-Not-Executed", "1")];
            http::respond(out, 421, &headers, b"")?;
            return Ok(true);
        }
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let unframed = self.unframed_every > 0 && number % self.unframed_every == 0;
        let framing = if unframed { "unframed" } else { "framed" };
        tell(&format!("run {id} {framing}"));
        if self.deadly {
            return self.answer_or_crash(request, out, id);
        }
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nX-Pumicelatch-Attempt-Id: {id}\r\n\
             X-Pumicelatch-Replica-Seal: {}.{number:x}\r\n",
            self.id
        );
        let parts: Vec<Vec<u8>> = if self.stream {
            head += "Content-Type: text/event-stream\r\n";
            let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
            (last + 1..=EVENTS).map(|number| event(number).into_bytes()).collect()
        } else {
            let whole = body(id);
            whole.chunks(BODY / PARTS).map(<[u8]>::to_vec).collect()
        };
        head += match (unframed, self.stream) {
            (true, _) => "Connection: close\r\n\r\n",
            (false, true) => "Transfer-Encoding: chunked\r\n\r\n",
            (false, false) => "Content-Length: 4800\r\n\r\n",
        };
        out.write_all(head.as_bytes())?;
        let pause = if self.stream { EVENT_PAUSE } else { PAUSE };
        let count = parts.len();
        for (index, part) in parts.into_iter().enumerate() {
            if index > 0 {
                std::thread::sleep(pause);
            }
            if index == count / 2 {
                tell(&format!("half {id} {framing}"));
            }
            if !unframed && self.stream {
                let size = format!("{:x}\r\n", part.len());
                out.write_all(&[size.as_bytes(), &part, b"\r\n"].concat())?;
            } else {
                out.write_all(&part)?;
            }
        }
        if !unframed && self.stream {
            out.write_all(b"0\r\n\r\n")?;
        }
        tell(&format!("done {id} {framing}"));
        if unframed {
            let _ = out.shutdown(std::net::Shutdown::Both);
        }
        Ok(!unframed)
    }

    /// Writes a short stream; crashes in the middle if the prompt has the deadly part.
    fn answer_or_crash(&self, request: &Request, out: &mut TcpStream, id: &str) -> std::io::Result<bool> {
        let prefix = request.header("x-pumicelatch-prompt-prefix");
        let crashes = prefix.split(',').any(|part| part.starts_with(DEADLY));
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Pumicelatch-Attempt-Id: {id}\r\nX-Pumicelatch-Replica-Seal: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        std::thread::sleep(Duration::from_millis(60));
        out.write_all(head.as_bytes())?;
        // 0.2 to 0.8 s, by the request's id.
        let pause = 20 + id.bytes().map(u64::from).sum::<u64>() % 60;
        for number in last + 1..=10 {
            std::thread::sleep(Duration::from_millis(pause));
            if crashes && number >= last + 3 {
                tell(&format!("crash {id} -"));
                std::process::exit(1);
            }
            let text = event(number);
            let size = format!("{:x}\r\n", text.len());
            out.write_all(&[size.as_bytes(), text.as_bytes(), b"\r\n"].concat())?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
