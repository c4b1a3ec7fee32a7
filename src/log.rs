//! Logs as JSON lines. A reader that stands still never holds the process up: lines wait in a
//! bounded queue, and those that find it full are counted and dropped.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use log::kv;
use serde::Serialize;

use crate::clock::{self, Time};

/// Lines that may wait to be written.
const WAITING_MAX: usize = 4_096;

/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(20);

/// How long the end of a process waits for its last lines.
const FLUSH_MAX: Duration = Duration::from_millis(300);

/// Lines that were dropped and not told of yet.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that wait.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Standard,
    /// Standard error.
    Error,
}

/// Counts how often something happens that may go on for long, and says which times are worth a
/// line: the first, and each at which the number has doubled.
#[derive(Debug, Default)]
pub struct Repeats(Cell<u64>);

impl Repeats {
    /// It happened once more. Returns how often until now if that is to be written.
    pub fn count(&self) -> Option<u64> {
        let count = self.0.get() + 1;
        self.0.set(count);
        count.is_power_of_two().then_some(count)
    }

    /// It is over. Returns how often it happened, if it did.
    pub fn end(&self) -> Option<u64> {
        let count = self.0.replace(0);
        (count > 0).then_some(count)
    }
}

/// Bounds the lines of one kind, and counts those that are left out.
#[derive(Debug)]
pub struct Allowance {
    per_second: f64,
    burst: f64,
    left: Cell<f64>,
    since: Cell<Time>,
    left_out: Cell<u64>,
}

impl Allowance {
    /// Allows `per_second` lines a second, and `burst` at once.
    pub fn new(per_second: u32, burst: u32) -> Self {
        Self {
            per_second: per_second.into(),
            burst: burst.into(),
            left: Cell::new(burst.into()),
            since: Cell::default(),
            left_out: Cell::new(0),
        }
    }

    /// Whether a line may be written at `now`. If not, it is counted.
    pub fn take(&self, now: Time) -> bool {
        let refilled = now.since(self.since.replace(now)).as_secs_f64() * self.per_second;
        let left = (self.left.get() + refilled).min(self.burst);
        let allowed = left >= 1.0;
        self.left.set(if allowed { left - 1.0 } else { left });
        self.left_out.set(self.left_out.get() + u64::from(!allowed));
        allowed
    }

    /// Number of lines that were left out since the last call.
    pub fn take_left_out(&self) -> u64 {
        self.left_out.take()
    }
}

/// Hands lines to the thread that writes them.
struct Queue(SyncSender<Vec<u8>>);

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WAITING.fetch_add(1, Ordering::Relaxed);
        match self.0.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                WAITING.fetch_sub(1, Ordering::Relaxed);
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends.
fn write_lines(lines: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(GATHER);
        let mut text = first;
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            text.extend_from_slice(&line);
            count += 1;
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{{\"level\":\"WARN\",\"message\":\"{dropped} lines dropped\"}}\n");
            text.extend_from_slice(line.as_bytes());
        }
        let _ = out.write_all(&text).and_then(|()| out.flush());
        WAITING.fetch_sub(count, Ordering::Relaxed);
    }
}

/// Waits for the lines that were logged, for a short time at most.
pub fn flush() {
    let began = Instant::now();
    while WAITING.load(Ordering::Relaxed) > 0 && began.elapsed() < FLUSH_MAX {
        std::thread::sleep(GATHER);
    }
}

/// One line of the log.
#[derive(Debug, Serialize)]
struct Line<'a> {
    time_ms: u64,
    level: &'a str,
    program: &'a str,
    module: &'a str,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, String>,
}

/// Collects the key-value pairs of a record.
struct Fields<'a>(&'a mut BTreeMap<String, String>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Starts logging for `program` on standard error. `RUST_LOG` overrides `level`. A second call
/// changes nothing.
pub fn start(program: &'static str, level: log::LevelFilter) {
    start_at(program, level, Output::Error);
}

/// Starts logging for `program` at `output`.
pub fn start_at(program: &'static str, level: log::LevelFilter, output: Output) {
    let (sender, receiver) = sync_channel(WAITING_MAX);
    let writer = std::thread::Builder::new().name("log".to_owned());
    let started = writer.spawn(move || match output {
        Output::Standard => write_lines(&receiver, io::stdout()),
        Output::Error => write_lines(&receiver, io::stderr()),
    });
    let mut builder = env_logger::Builder::new();
    if started.is_ok() {
        builder.target(env_logger::Target::Pipe(Box::new(Queue(sender))));
    }
    builder.filter_level(level).parse_default_env();
    builder.format(move |out, record| {
        let mut fields = BTreeMap::new();
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        let line = Line {
            time_ms: clock::unix_millis(),
            level: record.level().as_str(),
            program,
            module: record.module_path().unwrap_or_default(),
            message: record.args().to_string(),
            fields,
        };
        serde_json::to_writer(&mut *out, &line)?;
        writeln!(out)
    });
    let _ = builder.try_init();
}
