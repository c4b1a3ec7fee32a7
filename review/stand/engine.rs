//! A model replica as a process: `stand engine ADDRESS ID filled|empty`. It loads what is staged, without
//! checking it, and serves streams with the version that it has loaded. What is staged dies with it, as at
//! a loss of power. It tells on its standard output when its models change, and what it runs.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::weights::{self, MODEL};

const EVENTS: u64 = 14;
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// `warmupS`.
const WARMUP: Duration = Duration::from_millis(300);

#[derive(Default)]
struct State {
    staged: BTreeMap<usize, Vec<u8>>,
    /// Pieces that turned bad where they lie, and when.
    rotten: BTreeMap<usize, Instant>,
    /// Whether a layer of what is loaded was taken from a piece that was spoilt for over 3 s, missing or of
    /// another version.
    spoilt: bool,
    /// The version that is loaded, 0 for none.
    loaded: u64,
    busy: bool,
    orders: u64,
}

struct Engine {
    id: String,
    state: Mutex<State>,
    running: AtomicU64,
}

fn tell(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

pub fn run(args: &[String]) {
    let [address, id, filled] = args else {
        eprintln!("stand engine ADDRESS ID filled|empty");
        std::process::exit(2);
    };
    let listener = TcpListener::bind(address).expect("the engine's address is free");
    let mut state = State::default();
    if filled == "filled" {
        state.staged = (0..weights::PIECES).map(|number| (number, weights::piece(1, number))).collect();
        state.loaded = 1;
    }
    let engine = Arc::new(Engine {
        id: id.clone(),
        state: Mutex::new(state),
        running: AtomicU64::new(0),
    });
    tell("up");
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        std::thread::spawn(move || engine.serve(stream));
    }
}

fn field(body: &[u8], name: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl Engine {
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let own_machine = stream.peer_addr().is_ok();
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut from) {
            if self.answer(&request, &mut out, own_machine).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &Request, out: &mut TcpStream, own: bool) -> std::io::Result<()> {
        let path = request.path.as_str();
        let number: usize = request.parameter("hashCount").parse().unwrap_or(usize::MAX);
        if path == "/health" {
            let id = [("X-Pumicelatch-Replica-Id", self.id.as_str())];
            return http::respond(out, 200, &id, b"");
        }
        if path == "/-/report" {
            return http::respond(out, 200, &[("Content-Type", "application/json")], self.report().as_bytes());
        }
        if path.starts_with("/-/stage-put/") && own {
            let body = request.body.clone();
            let mut state = self.state.lock().unwrap();
            state.staged.insert(number, body);
            state.rotten.remove(&number);
            drop(state);
            return http::respond(out, 200, &[], b"");
        }
        if path.starts_with("/-/stage-get/") {
            let piece = self.state.lock().unwrap().staged.get(&number).cloned();
            tell(&format!("get {number} -"));
            return match piece {
                Some(piece) => http::respond(out, 200, &[], &piece),
                None => http::respond(out, 404, &[], b""),
            };
        }
        if path == "/stand/rot" {
            // Asked by the case: so many of the first pieces turn bad.
            let count: usize = request.parameter("count").parse().unwrap_or(0);
            let mut state = self.state.lock().unwrap();
            for number in 0..count {
                if let Some(piece) = state.staged.get_mut(&number) {
                    piece[7] ^= 0xff;
                    state.rotten.insert(number, Instant::now());
                }
            }
            drop(state);
            tell(&format!("rot {count} -"));
            return http::respond(out, 200, &[], b"");
        }
        if path == "/-/order" {
            return self.order(request, out);
        }
        self.stream(request, out)
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let models = match state.loaded {
            0 => String::new(),
            version => format!("{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}"),
        };
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":{},\"callSeq\":{},\"queued\":0,\
             \"running\":{},\"kvUsed\":0,\"kvTotal\":317000,\"handles\":0,\"pace\":1.0}}",
            state.busy,
            state.orders,
            self.running.load(Ordering::Relaxed)
        )
    }

    fn order(self: &Arc<Self>, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        let version = field(&request.body, "version").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let status = if state.loaded == version {
            200
        } else if state.busy || state.staged.len() < weights::PIECES {
            409
        } else {
            state.busy = true;
            state.orders += 1;
            // What lies there is taken now.
            let lately = Duration::from_secs(3);
            let bad: Vec<String> = (0..weights::PIECES)
                .filter(|number| {
                    let whole = state.staged.get(number) == Some(&weights::piece(version, *number));
                    let since = state.rotten.get(number).map(Instant::elapsed);
                    !whole && since.is_none_or(|since| since > lately)
                })
                .map(|number| {
                    let since = state.rotten.get(&number).map_or(0, |at| at.elapsed().as_millis());
                    format!("{number}({since}ms)")
                })
                .collect();
            state.spoilt = !bad.is_empty();
            tell(&format!("take {version} bad:{}", bad.join("+")));
            let engine = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(WARMUP);
                let mut state = engine.state.lock().unwrap();
                state.loaded = version;
                state.busy = false;
                drop(state);
                tell(&format!("models {version} -"));
            });
            202
        };
        drop(state);
        http::respond(out, status, &[("Content-Type", "application/json")], b"{}")
    }

    fn stream(&self, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("x-pumicelatch-attempt-id");
        let loaded = self.state.lock().unwrap().loaded;
        let expected = request.header("x-pumicelatch-expect-replica");
        let version = request.header("x-pumicelatch-expect-version");
        let other = !expected.is_empty() && expected != self.id;
        if other || loaded == 0 || (!version.is_empty() && version != loaded.to_string()) {
            let headers = [("X-Pumicelatch-Attempt-Id", id), ("X-Pumicelatch-Not-Executed", "1")];
            return http::respond(out, 421, &headers, b"");
        }
        let spoilt = self.state.lock().unwrap().spoilt;
        tell(&format!("run {id} {}", if spoilt { "SPOILT" } else { "sound" }));
        self.running.fetch_add(1, Ordering::Relaxed);
        let written = self.events(request, out, id, loaded);
        self.running.fetch_sub(1, Ordering::Relaxed);
        written
    }

    fn events(&self, request: &Request, out: &mut TcpStream, id: &str, loaded: u64) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Pumicelatch-Attempt-Id: {id}\r\nX-Pumicelatch-Replica-Seal: {}.{loaded}\r\n\
             X-Pumicelatch-Weight-Versions: {loaded}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        out.write_all(head.as_bytes())?;
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        for number in last + 1..=EVENTS {
            std::thread::sleep(EVENT_PAUSE);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let size = format!("{:x}\r\n", event.len());
            out.write_all(&[size.as_bytes(), event.as_bytes(), b"\r\n"].concat())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}
