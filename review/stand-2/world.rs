//! Stand-ins of the second review: the platform's store, the origin of weights, model replicas with
//! their machines, plain replicas and clients, as the users' pages describe them. It starts the
//! project's own programs as separate processes on loopback addresses, plays one case, and checks one
//! rule by what replicas and clients saw. Standard library only.
//!
//! `world CASE FOLDER`, from the project's root. TROUBLE=0 leaves out the disruption.
//! Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const ENTRY: &str = "target/release/pumicelatch-platform-entry";
const AGENT: &str = "target/release/pumicelatch-platform-agent";
const MODEL: &str = "daka510000";
const SERVICE: &str = "huvo11a";
const HOST: &str = "jepu9.example";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
const HALL: &str = "lis-a";
const CHUNKS: usize = 96;
const CHUNK_BYTES: usize = 24_576;
const LAYERS: usize = 16;
const LINK_MBPS: f64 = 7.3;
const VERSION_MS: u64 = 8_000;
const CONTACT_MS: u64 = 3_000;

// ---------------------------------------------------------------- record

struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    fn new(folder: &str) -> Arc<Self> {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).unwrap_or_else(|error| unable(&format!("{path}: {error}")));
        Arc::new(Self { began: Instant::now(), file: Mutex::new(file) })
    }

    fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn say(&self, text: &str) {
        let line = format!("{:>9.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

fn unable(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2)
}

// ---------------------------------------------------------------- SHA-256, base64

fn sha256_hex(bytes: &[u8]) -> String {
    let k = round_constants();
    let mut h: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19,
    ];
    let mut data = bytes.to_vec();
    data.push(0x80);
    while data.len() % 64 != 56 {
        data.push(0);
    }
    data.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in data.chunks(64) {
        let mut w = [0u32; 64];
        for (i, word) in block.chunks(4).enumerate() {
            w[i] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16].wrapping_add(s0).wrapping_add(w[i - 7]).wrapping_add(s1);
        }
        let mut v = h;
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(k[i]).wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(majority);
            v = [t1.wrapping_add(t2), v[0], v[1], v[2], v[3].wrapping_add(t1), v[4], v[5], v[6]];
        }
        for i in 0..8 {
            h[i] = h[i].wrapping_add(v[i]);
        }
    }
    h.iter().map(|word| format!("{word:08x}")).collect()
}

/// The first 32 bits of the fractional parts of the cube roots of the first 64 primes.
fn round_constants() -> [u32; 64] {
    let mut constants = [0u32; 64];
    let (mut count, mut candidate) = (0, 2u128);
    while count < 64 {
        if (2..candidate).take_while(|d| d * d <= candidate).all(|d| candidate % d != 0) {
            // The integer cube root of candidate * 2^96 is the cube root times 2^32.
            let target = candidate << 96;
            let (mut low, mut high) = (0u128, 1 << 36);
            while low + 1 < high {
                let middle = (low + high) / 2;
                if middle * middle * middle <= target { low = middle } else { high = middle }
            }
            constants[count] = low as u32;
            count += 1;
        }
        candidate += 1;
    }
    constants
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(SIGNS[(number >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    let (method, path) = (method.to_owned(), path.to_owned());
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn answer(stream: &mut TcpStream, status: u16, more: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{more}Content-Length: {}\r\n\r\n", body.len());
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    stream.write_all(&all)
}

fn json(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    answer(stream, 200, "Content-Type: application/json\r\n", body.as_bytes())
}

/// Serves connections, one thread each. The handler writes the answer itself; an error closes the
/// connection.
fn serve<F>(address: SocketAddr, handler: F) -> SocketAddr
where
    F: Fn(Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| unable(&format!("cannot listen at {address}: {error}")));
    let bound = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader)? {
                    handler(request, &mut writer)?;
                }
                io::Result::Ok(())
            });
        }
    });
    bound
}

// ---------------------------------------------------------------- the store

#[derive(Default)]
struct Items {
    revision: u64,
    /// By key: the revision of the last change, and the value; none once it is gone.
    items: BTreeMap<String, (u64, Option<String>)>,
}

#[derive(Default)]
struct Store {
    items: Mutex<Items>,
    changed: Condvar,
}

fn item(key: &str, revision: u64, value: &Option<String>) -> String {
    match value {
        Some(value) => format!(
            "{{\"tlsKey\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"tlsKey\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}

impl Store {
    fn put(&self, key: &str, value: Option<String>) {
        let mut items = self.items.lock().unwrap();
        if items.items.get(key).is_some_and(|(_, known)| *known == value) {
            return;
        }
        items.revision += 1;
        let revision = items.revision;
        items.items.insert(key.to_owned(), (revision, value));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let prefix = request.query.get("pathPrefix").cloned().unwrap_or_default();
        let list = |items: &Items, after: u64, gone: bool| -> Vec<String> {
            let found = items.items.iter().filter(|(key, (at, value))| {
                key.starts_with(&prefix) && *at > after && (gone || value.is_some())
            });
            found.map(|(key, (at, value))| item(key, *at, value)).collect()
        };
        match request.path.as_str() {
            "/-/kv-range" => {
                let items = self.items.lock().unwrap();
                let found = list(&items, 0, false).join(",");
                let at = items.revision;
                drop(items);
                json(stream, &format!("{{\"items\":[{found}],\"more\":false,\"at\":{at}}}"))
            }
            "/-/kv-watch" => {
                let until = Instant::now() + Duration::from_millis(request.number("waitMs"));
                let mut items = self.items.lock().unwrap();
                loop {
                    let found = list(&items, request.number("afterRev"), true);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let (found, at) = (found.join(","), items.revision);
                        drop(items);
                        return json(stream, &format!("{{\"events\":[{found}],\"at\":{at}}}"));
                    }
                    items = self.changed.wait_timeout(items, left).unwrap().0;
                }
            }
            _ => answer(stream, 404, "", b""),
        }
    }
}

// ---------------------------------------------------------------- weights and their origin

fn piece(version: u64, chunk: usize) -> Vec<u8> {
    let mut state = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (chunk as u64 + 1).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let words = (0..CHUNK_BYTES / 8).flat_map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()
    });
    words.collect()
}

struct Weights {
    /// Pieces and their digests by version, from 1 on.
    versions: Vec<(Vec<Vec<u8>>, Vec<String>)>,
}

impl Weights {
    fn new(versions: u64) -> Arc<Self> {
        let make = |version| {
            let pieces: Vec<Vec<u8>> = (0..CHUNKS).map(|chunk| piece(version, chunk)).collect();
            let digests = pieces.iter().map(|piece| sha256_hex(piece)).collect();
            (pieces, digests)
        };
        Arc::new(Self { versions: (1..=versions).map(make).collect() })
    }

    fn of(&self, version: u64) -> Option<&(Vec<Vec<u8>>, Vec<String>)> {
        self.versions.get((version as usize).checked_sub(1)?)
    }
}

struct Origin {
    weights: Arc<Weights>,
    record: Arc<Record>,
    link: Mutex<()>,
    /// So many manifests of version 2 are still to be spoilt: blanks overwrite the last digest.
    to_spoil: AtomicUsize,
}

impl Origin {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let version = request.number("version");
        let Some((pieces, digests)) = self.weights.of(version) else {
            return answer(stream, 410, "", b"");
        };
        let chunk = request.number("hashCount") as usize;
        let body = if request.path == format!("/-/manifest/{MODEL}") {
            let spoil = |left: usize| left.checked_sub(1);
            let spoilt = version == 2
                && self.to_spoil.fetch_update(Ordering::SeqCst, Ordering::SeqCst, spoil).is_ok();
            let listed: Vec<String> = digests.iter().map(|digest| format!("\"{digest}\"")).collect();
            let mut body = format!(
                "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunkBytes\":{CHUNK_BYTES},\"layers\":{LAYERS},\"chunkHashes\":[{}]}}",
                listed.join(",")
            )
            .into_bytes();
            if spoilt {
                // The last digest, its quotes and the comma before it; the closing "]}" stays.
                let end = body.len() - 2;
                body[end - listed[CHUNKS - 1].len() - 1..end].fill(b' ');
            }
            let note = if spoilt { "SPOILT: blanks overwrite the last digest" } else { "sound" };
            self.record.say(&format!("origin: manifest of version {version}, {} bytes, {note}", body.len()));
            body
        } else if request.path == format!("/-/piece/{MODEL}") && chunk < CHUNKS {
            pieces[chunk].clone()
        } else {
            return answer(stream, 404, "", b"");
        };
        let link = self.link.lock().unwrap();
        sleep(Duration::from_secs_f64(body.len() as f64 * 8.0 / (LINK_MBPS * 1e6)));
        drop(link);
        answer(stream, 200, "", &body)
    }
}

// ---------------------------------------------------------------- model replicas

/// What a replica has taken.
#[derive(Clone, Default)]
struct Loaded {
    version: u64,
    /// Pieces that were not those of the version as the replica took them.
    wrong: Vec<usize>,
}

struct ReplicaState {
    loaded: Option<Loaded>,
    busy: bool,
    call_seq: u64,
    running: u32,
    stage: BTreeMap<usize, Vec<u8>>,
}

struct Replica {
    id: String,
    address: SocketAddr,
    weights: Arc<Weights>,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<ReplicaState>,
    /// Tokens made with layers that were taken with a wrong piece.
    bad_tokens: AtomicU64,
    /// Runs: when they started (ms), on which version, and the request.
    runs: Mutex<Vec<(u64, u64, String)>>,
    events: u64,
    event_ms: u64,
}

impl Replica {
    fn models(state: &ReplicaState) -> String {
        state.loaded.as_ref().map_or_else(String::new, |loaded| {
            format!("{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}", loaded.version)
        })
    }

    fn list(&self) {
        let state = self.state.lock().unwrap();
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{HALL}\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{}],\"callSeq\":{}}}",
            self.address, Self::models(&state), state.call_seq
        );
        drop(state);
        self.store.put(&format!("servers/{}", self.id), Some(entry));
    }

    fn handle(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let chunk = request.number("hashCount") as usize;
        match request.path.as_str() {
            "/-/report" => {
                let state = self.state.lock().unwrap();
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":[{}],\"busy\":{},\"callSeq\":{},\"queued\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":317000,\"handles\":0,\"pace\":1.0}}",
                    Self::models(&state), state.busy, state.call_seq, state.running
                );
                drop(state);
                json(stream, &report)
            }
            "/health" => answer(stream, 200, &format!("X-Pumicelatch-Replica-Id: {}\r\n", self.id), b""),
            path if path == format!("/-/stage-get/{MODEL}") => {
                let found = self.state.lock().unwrap().stage.get(&chunk).cloned();
                match found {
                    Some(bytes) => answer(stream, 200, "", &bytes),
                    None => answer(stream, 404, "", b""),
                }
            }
            path if path == format!("/-/stage-put/{MODEL}") && request.method == "PUT" => {
                self.state.lock().unwrap().stage.insert(chunk, request.body.clone());
                answer(stream, 200, "", b"")
            }
            "/-/order" => self.order(request, stream),
            path if path.starts_with("/-/") => answer(stream, 404, "", b""),
            _ => self.run(request, stream),
        }
    }

    /// Takes what lies staged, after what runs, in 0.3 s; nothing new is taken meanwhile.
    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let version: u64 = text
            .split("\"version\":")
            .nth(1)
            .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
            .unwrap_or(0);
        let Some((pieces, _)) = self.weights.of(version) else {
            return answer(stream, 400, "", b"");
        };
        let mut state = self.state.lock().unwrap();
        if state.busy {
            drop(state);
            return answer(stream, 409, "", b"");
        }
        if state.loaded.as_ref().is_some_and(|loaded| loaded.version == version) {
            drop(state);
            return answer(stream, 200, "", b"");
        }
        let wrong: Vec<usize> =
            (0..CHUNKS).filter(|chunk| state.stage.get(chunk) != Some(&pieces[*chunk])).collect();
        state.busy = true;
        state.call_seq += 1;
        drop(state);
        self.record.say(&format!(
            "replica {}: takes version {version} on order; pieces that are missing or of another version: {wrong:?}",
            self.id
        ));
        let replica = self.clone();
        spawn(move || {
            while replica.state.lock().unwrap().running > 0 {
                sleep(Duration::from_millis(10));
            }
            replica.state.lock().unwrap().loaded = None;
            replica.list();
            sleep(Duration::from_millis(300));
            let mut state = replica.state.lock().unwrap();
            state.loaded = Some(Loaded { version, wrong });
            state.busy = false;
            drop(state);
            replica.list();
            replica.record.say(&format!("replica {}: holds version {version}", replica.id));
        });
        answer(stream, 202, "", b"")
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.header("x-pumicelatch-attempt-id").to_owned();
        let echo = format!("X-Pumicelatch-Attempt-Id: {id}\r\nX-Pumicelatch-Replica-Id: {}\r\n", self.id);
        let not_run = format!("{echo}X-Pumicelatch-Not-Executed: 1\r\n");
        if request.header("x-pumicelatch-expect-replica") != self.id {
            return answer(stream, 421, &echo, b"");
        }
        let loaded = {
            let mut state = self.state.lock().unwrap();
            if state.busy || state.running >= 16 {
                drop(state);
                return answer(stream, 503, &not_run, b"");
            }
            let Some(loaded) = state.loaded.clone() else {
                drop(state);
                return answer(stream, 421, &echo, b"");
            };
            let expected = request.header("x-pumicelatch-expect-version");
            if !expected.is_empty() && expected != loaded.version.to_string() {
                drop(state);
                return answer(stream, 421, &echo, b"");
            }
            state.running += 1;
            loaded
        };
        let ended = self.stream(request, stream, &id, &echo, &loaded);
        self.state.lock().unwrap().running -= 1;
        ended
    }

    fn stream(&self, request: &Request, stream: &mut TcpStream, id: &str, echo: &str, loaded: &Loaded) -> io::Result<()> {
        self.runs.lock().unwrap().push((self.record.ms(), loaded.version, id.to_owned()));
        self.record.say(&format!("replica {}: runs {id} on version {}{}", self.id, loaded.version,
            if loaded.wrong.is_empty() { "" } else { ", taken with WRONG pieces" }));
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Pumicelatch-Replica-Seal: {}.{id}\r\nX-Pumicelatch-Weight-Versions: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id, loaded.version
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.events {
            sleep(Duration::from_millis(self.event_ms));
            let event = format!("id: {number}\ndata: token {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if !loaded.wrong.is_empty() {
                self.bad_tokens.fetch_add(1, Ordering::SeqCst);
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------- the project's processes

struct Machine {
    name: String,
    program: &'static str,
    ip: IpAddr,
    settings: String,
    file: String,
    log: String,
    child: Mutex<Option<Child>>,
    up_since: AtomicU64,
}

impl Machine {
    fn start(&self, first: bool, record: &Record) {
        let text = self.settings.replace("BOOTSTRAP", if first { "true" } else { "false" });
        std::fs::write(&self.file, text).unwrap_or_else(|error| unable(&error.to_string()));
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| unable(&error.to_string()));
        let child = Command::new(self.program)
            .args(["--metrics-port", "9464"])
            .env("PUMICELATCH_NODE_FILE", &self.file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| unable(&format!("{}: {error}", self.program)));
        record.say(&format!("{} starts, process {}", self.name, child.id()));
        // For the script, which ends them if it is interrupted.
        if let Ok(path) = std::env::var("PIDS") {
            let file = File::options().create(true).append(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        *self.child.lock().unwrap() = Some(child);
        self.up_since.store(record.ms(), Ordering::SeqCst);
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    origin: Arc<Origin>,
    replicas: Vec<Arc<Replica>>,
    entries: Vec<Arc<Machine>>,
    agents: Vec<Arc<Machine>>,
    folder: String,
    stop: Arc<AtomicBool>,
    trouble: bool,
}

impl World {
    fn ip(machine: u8) -> IpAddr {
        let pid = std::process::id();
        IpAddr::V4(Ipv4Addr::new(127, 64 | (pid >> 8 & 63) as u8, pid as u8, machine))
    }

    fn bounds() -> String {
        format!(
            "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = {CONTACT_MS}\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nouterBoundMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 100\nrecoveryS = 12\niterationMs = 120\nretryAfterS = 0\nversion_ms = {VERSION_MS}\nversion_all_ms = 0\n"
        )
    }

    fn new(folder: &str, entries: u8, replicas: u8) -> Self {
        let record = Record::new(folder);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let temporary = std::env::temp_dir().join(format!("pumicelatch-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).unwrap_or_else(|error| unable(&error.to_string()));
        let temporary = temporary.to_string_lossy().into_owned();
        let store = Arc::new(Store::default());
        let weights = Weights::new(2);
        let shared = store.clone();
        let store_at = serve(SocketAddr::new(Self::ip(250), 8007), move |request, stream| shared.handle(&request, stream));
        let origin = Arc::new(Origin {
            weights: weights.clone(),
            record: record.clone(),
            link: Mutex::new(()),
            to_spoil: AtomicUsize::new(0),
        });
        let shared = origin.clone();
        let origin_at = serve(SocketAddr::new(Self::ip(251), 8006), move |request, stream| shared.handle(&request, stream));
        store.put("op/config", Some(Self::config(origin_at)));
        let staged: BTreeMap<usize, Vec<u8>> = weights.of(1).unwrap().0.iter().cloned().enumerate().collect();
        let replicas: Vec<Arc<Replica>> = (0..replicas)
            .map(|index| {
                let replica = Arc::new(Replica {
                    id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(u32::from(index) + 1)),
                    address: SocketAddr::new(Self::ip(100 + index), 8001),
                    weights: weights.clone(),
                    store: store.clone(),
                    record: record.clone(),
                    state: Mutex::new(ReplicaState {
                        loaded: Some(Loaded { version: 1, wrong: Vec::new() }),
                        busy: false,
                        call_seq: 0,
                        running: 0,
                        stage: staged.clone(),
                    }),
                    bad_tokens: AtomicU64::new(0),
                    runs: Mutex::default(),
                    events: 10,
                    event_ms: 50,
                });
                let shared = replica.clone();
                serve(replica.address, move |request, stream| shared.handle(&request, stream));
                replica.list();
                replica
            })
            .collect();
        let seeds: Vec<String> = (0..entries).take(3).map(|entry| format!("\"{}:8000\"", Self::ip(1 + entry))).collect();
        let seeds = seeds.join(",");
        let machine = |name: String, program, ip: IpAddr, own: String| {
            let common = format!(
                "nodeName = \"{name}\"\nip = \"{ip}\"\nzone = \"{HALL}\"\nregion = \"lis\"\ninternalPorts = [7700,7715]\nseeds = [{seeds}]\nbootstrap = BOOTSTRAP\ndiscovery = \"platform\"\nentryMode = \"vip\"\nheartbeatMs = 1200\n{own}[zones]\n{HALL} = \"lis\"\n[platformConfig]\naddress = \"{store_at}\"\nform = \"read\"\nreads_per_s = 2000\nhistoryS = 20\nvalue_bytes = 1048576\n{}",
                Self::bounds()
            );
            Arc::new(Machine {
                program,
                ip,
                settings: common,
                file: format!("{temporary}/{name}.toml"),
                log: format!("{temporary}/{name}.log"),
                name,
                child: Mutex::new(None),
                up_since: AtomicU64::new(0),
            })
        };
        let entries = (0..entries)
            .map(|index| {
                let ip = Self::ip(1 + index);
                let own = format!(
                    "[listen]\nfront = \"{ip}:8005\"\nready = \"{ip}:8002\"\ncontrol = \"{ip}:8000\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0\n"
                );
                machine(format!("edge-{}", index + 1), ENTRY, ip, own)
            })
            .collect();
        let agents = replicas
            .iter()
            .enumerate()
            .map(|(index, replica)| {
                let own = format!(
                    "app = \"{}\"\nservice = \"{SERVICE}\"\n[listen]\n[limits]\ncpuShare = 0.3\ncores = 1\nmemoryMb = 128\nmaxFds = 2048\nlinkMbps = {LINK_MBPS}\ndiskMb = 0\n",
                    replica.address
                );
                machine(format!("side-{}", index + 1), AGENT, replica.address.ip(), own)
            })
            .collect();
        Self { record, store, origin, replicas, entries, agents, folder: temporary, stop: Arc::default(), trouble }
    }

    fn config(origin: SocketAddr) -> String {
        format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-2xp4zhp\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lepu270/\",\"kind\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\"anonymousAccess\":false,\"sessionAffinity\":true,\"streamResume\":true,\"targetGapMs\":400}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":264,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"kvCapacity\":317000,\"kvTokenBytes\":262144,\"linkMbps\":400000.0,\"stride\":5,\"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\"loadS\":4.0,\"warmupS\":0.3}}],\"sizeMb\":149000.0,\"adapterSlots\":8,\"loadPerS\":0.0,\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,\"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{{\"prompt\":300,\"answer\":50}},\"layers\":{LAYERS},\"layer_mb\":4090.0,\"act_bytes\":16384,\"chunks\":{CHUNKS},\"chunkBytes\":{CHUNK_BYTES}}}}},\
             {{\"name\":\"kafi81c\",\"origin\":\"{origin}\",\"zone\":\"{HALL}\",\"linkMbps\":{LINK_MBPS},\"maxConnections\":48}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"bozi300\",\"apiKeys\":[\"{KEY}\"]}}]}}"
        )
    }

    /// Starts all processes and waits until the entries say that they are ready.
    fn begin(&self) {
        for machine in self.entries.iter().chain(&self.agents) {
            machine.start(true, &self.record);
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        for entry in &self.entries {
            while !is_ready(entry.ip) {
                if Instant::now() > deadline {
                    self.end();
                    unable("an entry does not become ready");
                }
                sleep(Duration::from_millis(50));
            }
        }
        self.record.say("all entries are ready");
        sleep(Duration::from_secs(4));
    }

    fn name_version(&self, version: u64) -> u64 {
        self.store.put(&format!("op/version/{MODEL}"), Some(format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}")));
        let at = self.record.ms();
        self.record.say(&format!("operator: version {version} is named, and the store has acknowledged it"));
        at
    }

    /// Clients that send a request every `gap_ms`, to the entries in turn, until `stop`.
    fn traffic(&self, gap_ms: u64) -> std::thread::JoinHandle<()> {
        let (record, stop) = (self.record.clone(), self.stop.clone());
        let fronts: Vec<IpAddr> = self.entries.iter().map(|entry| entry.ip).collect();
        spawn(move || {
            let mut clients = Vec::new();
            for number in 0_u64.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let front = SocketAddr::new(fronts[number as usize % fronts.len()], 8005);
                let record = record.clone();
                clients.push(spawn(move || client(front, number, &record)));
                sleep(Duration::from_millis(gap_ms));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        })
    }

    fn end(&self) {
        self.stop.store(true, Ordering::SeqCst);
        for machine in self.entries.iter().chain(&self.agents) {
            machine.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_ready(ip: IpAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&SocketAddr::new(ip, 8002), Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.contains(" 200 "))
    };
    ask().unwrap_or(false)
}

/// One request on a connection of its own.
fn client(front: SocketAddr, number: u64, record: &Record) {
    let id = format!("9c41d07b{number:08x}");
    record.say(&format!("client: sends {id} to {front}"));
    let ask = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(6)))?;
        let request = format!(
            "POST /lepu270/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Pumicelatch-Attempt-Id: {id}\r\nX-Pumicelatch-Model: {MODEL}\r\nX-Pumicelatch-Token-Count: 300,50\r\nX-Pumicelatch-Prompt-Prefix: 5c1e07a2:40,{number:08x}:260\r\nX-Pumicelatch-Deadline-Ms: 6000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(request.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut status = String::new();
        reader.read_line(&mut status)?;
        let headers = read_headers(&mut reader)?;
        let mut body = Vec::new();
        if headers.get("transfer-encoding").is_some_and(|value| value == "chunked") {
            loop {
                let mut size = String::new();
                if reader.read_line(&mut size)? == 0 {
                    return Ok(format!("{} broken off", status.trim()));
                }
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                let mut part = vec![0; size + 2];
                reader.read_exact(&mut part)?;
                if size == 0 {
                    break;
                }
                body.extend_from_slice(&part[..size]);
            }
        } else {
            let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            body = vec![0; length];
            reader.read_exact(&mut body)?;
        }
        let seal = headers.get("x-pumicelatch-replica-seal").cloned().unwrap_or_default();
        let version = headers.get("x-pumicelatch-weight-versions").cloned().unwrap_or_default();
        let events = String::from_utf8_lossy(&body).matches("id: ").count();
        Ok(format!("{}, seal {seal:?}, version {version:?}, {events} events", status.trim()))
    };
    match ask() {
        Ok(text) => record.say(&format!("client: {id} is answered {text}")),
        Err(error) => record.say(&format!("client: {id} gets no whole answer: {error}")),
    }
}

// ---------------------------------------------------------------- the cases

/// WHOLE: the origin spoils one manifest.
fn whole(world: &World) -> i32 {
    world.begin();
    let traffic = world.traffic(100);
    sleep(Duration::from_secs(2));
    if world.trouble {
        world.origin.to_spoil.store(1, Ordering::SeqCst);
    }
    world.name_version(2);
    let holds = |replica: &Arc<Replica>| {
        let state = replica.state.lock().unwrap();
        state.loaded.as_ref().is_some_and(|loaded| loaded.version == 2)
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    while !world.replicas.iter().all(holds) && Instant::now() < deadline {
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(3));
    world.stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    let taken = world.replicas.iter().filter(|replica| holds(replica)).count();
    let bad: u64 = world.replicas.iter().map(|replica| replica.bad_tokens.load(Ordering::SeqCst)).sum();
    world.record.say(&format!("{taken} of {} replicas hold version 2", world.replicas.len()));
    world.record.say(&format!("WHOLE: {bad} events were made with layers that were taken with a wrong piece"));
    if bad > 0 {
        1
    } else if taken == 0 {
        2
    } else {
        0
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        unable("usage: world CASE FOLDER");
    };
    if !std::path::Path::new(ENTRY).exists() || !std::path::Path::new(AGENT).exists() {
        unable("the programs are not built, or this is not the project's root");
    }
    assert_eq!(sha256_hex(b"abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    let (world, play): (World, fn(&World) -> i32) = match case.as_str() {
        "whole" => (World::new(folder, 2, 8), whole),
        _ => unable("no such case"),
    };
    let world = Arc::new(world);
    let watched = world.clone();
    spawn(move || {
        sleep(Duration::from_secs(110));
        watched.end();
        unable("it took too long");
    });
    let played = world.clone();
    let code = spawn(move || play(&played)).join().unwrap_or(2);
    world.end();
    std::process::exit(code)
}
