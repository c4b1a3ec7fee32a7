//! A replica's run of a request, buffered by the replica's sidecar, so that its reader can change
//! the connection.
//!
//! Without this, a connection that is lost or goes silent in the middle would take its run with it:
//! the replica generates the rest for nobody, in a slot that others wait for, while another replica
//! prefills the same prompt again. When all connections of 12 fully loaded replicas went silent at
//! once, the work of 1.3 s was lost that way. So an entry sends a stream's request to the sidecar
//! on the replica's machine, which forwards it once, buffers the response, and hands it over from
//! the offset that the entry names. [`Buffer`] holds the body of one run, [`Registry`] the runs of
//! a sidecar. Time is passed in.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use crate::clock::Time;

/// How long a run continues without a reader. An entry whose connection failed asks again at once,
/// and a replica may work for half a second at most for a caller that has left.
pub const UNREAD_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an ended run is kept, for an entry whose connection failed before the end arrived: a
/// few times what an entry waits before it asks again.
const RETENTION: Duration = Duration::from_secs(3);

/// How long it is remembered that a run was here, or that an unknown one was asked for and may not
/// start any more: longer than a link delays bytes and than callers wait.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(10);

/// Bytes kept after they were handed over: as many may be in the buffers of a connection that is
/// lost.
const READ_BUFFER_BYTES: usize = 256 << 10;

/// Maximum number of unread bytes before reading from the replica pauses.
const UNREAD_BYTES_MAX: usize = 256 << 10;

/// Maximum number of bytes handed over at once: the HTTP server copies them.
const PART_BYTES_MAX: usize = 16 << 10;

/// Maximum number of runs kept or remembered: more than a replica finishes in
/// [`TOMBSTONE_RETENTION`].
const RUNS_MAX: usize = 4_096;

/// The header in which a sidecar states the [`Disposition`] of a response.
pub const DISPOSITION_HEADER: &str = "pumicelatch-run";

const START: &str = "/v1/run/";
const READ: &str = "/v1/run-from/";
const END: &str = "/v1/run-end/";

/// Identifies one run. It is drawn at random by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A call to a sidecar, encoded in the path of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Runs this request once.
    Start {
        /// The run.
        key: Key,
        /// The path and query at the replica.
        target: String,
    },
    /// Hands over the run's response.
    Read {
        /// The run.
        key: Key,
        /// Bytes of the body that the reader already has.
        from: u64,
    },
    /// Ends the run, which has no reader any more.
    End {
        /// The run.
        key: Key,
    },
}

impl Call {
    /// Parses a path with its query; `None` if it is not a call.
    pub fn parse(path: &str) -> Option<Self> {
        let key = |hex: &str| u64::from_str_radix(hex, 16).ok().map(Key);
        if let Some(rest) = path.strip_prefix(START) {
            let (hex, target) = rest.split_at_checked(rest.find('/')?)?;
            return Some(Self::Start {
                key: key(hex)?,
                target: target.to_owned(),
            });
        }
        if let Some(rest) = path.strip_prefix(READ) {
            let (hex, from) = rest.split_once('/')?;
            let from = from.parse().ok()?;
            return Some(Self::Read {
                key: key(hex)?,
                from,
            });
        }
        let hex = path.strip_prefix(END)?;
        Some(Self::End { key: key(hex)? })
    }
}

impl fmt::Display for Call {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start { key, target } => write!(formatter, "{START}{key}{target}"),
            Self::Read { key, from } => write!(formatter, "{READ}{key}/{from}"),
            Self::End { key } => write!(formatter, "{END}{key}"),
        }
    }
}

/// What the response to a [`Call`] tells about the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The response is the replica's.
    Replica,
    /// No byte of the request was sent to the replica.
    NotSent,
    /// The replica's response broke off, or the requested part is not kept any more.
    Broken,
    /// The run is unknown to a sidecar that started `up` ago, and will not start there any more.
    Unknown {
        /// How long the sidecar has been running.
        up: Duration,
    },
}

impl Disposition {
    /// Parses the value of [`DISPOSITION_HEADER`].
    pub fn parse(value: &str) -> Option<Self> {
        match value {
            "replica" => Some(Self::Replica),
            "not-sent" => Some(Self::NotSent),
            "broken" => Some(Self::Broken),
            _ => {
                let millis = value.strip_prefix("unknown;up-ms=")?.parse().ok()?;
                let up = Duration::from_millis(millis);
                Some(Self::Unknown { up })
            }
        }
    }
}

impl Disposition {
    /// Whether a request that was sent `age` ago has not run and will not run. An unknown run
    /// proves that if the sidecar has been running all that time and would still remember the run.
    pub fn not_run(self, age: Duration) -> bool {
        match self {
            Self::NotSent => true,
            Self::Unknown { up } => age < up && age < TOMBSTONE_RETENTION,
            Self::Replica | Self::Broken => false,
        }
    }
}

impl fmt::Display for Disposition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Replica => formatter.write_str("replica"),
            Self::NotSent => formatter.write_str("not-sent"),
            Self::Broken => formatter.write_str("broken"),
            Self::Unknown { up } => write!(formatter, "unknown;up-ms={}", up.as_millis()),
        }
    }
}

/// How a run's body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The body is complete.
    Complete,
    /// The body broke off.
    Broken,
}

/// What a reader gets next of a run's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Bytes(Bytes),
    /// No bytes yet.
    Pending,
    /// The end of the body.
    End(Ended),
    /// Another reader has taken over the run, or the bytes are not kept any more.
    Gone,
}

/// The received part of one run's body, as far as it is kept.
#[derive(Debug, Default)]
pub struct Buffer {
    /// Number of bytes dropped before those that are kept.
    dropped: u64,
    data: BytesMut,
    read: u64,
    ended: Option<(Ended, Time)>,
    /// Number of readers so far. The last one is the current reader.
    readers: u64,
    /// Since when there is no reader.
    unread_since: Option<Time>,
}

impl Buffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// Records how the body ended. Only the first call counts.
    pub fn end(&mut self, ended: Ended, now: Time) {
        self.ended.get_or_insert((ended, now));
    }

    /// Whether more bytes may be read from the replica before the reader catches up.
    pub fn has_room(&self) -> bool {
        self.received() - self.read < UNREAD_BYTES_MAX as u64
    }

    fn received(&self) -> u64 {
        self.dropped + self.data.len() as u64
    }

    /// Opens a reader at the offset `from`, which replaces the current one, and returns its number.
    /// Returns `None` if there is nothing to read: the body broke off at that offset, has not
    /// reached it, or is not kept as far back.
    pub fn open(&mut self, from: u64) -> Option<u64> {
        let over = matches!(self.ended, Some((Ended::Broken, _))) && from == self.received();
        if from < self.dropped || from > self.received() || over {
            return None;
        }
        self.read = from;
        self.readers += 1;
        self.unread_since = None;
        Some(self.readers)
    }

    /// Closes the reader with this number.
    pub fn close(&mut self, reader: u64, now: Time) {
        if reader == self.readers {
            self.unread_since.get_or_insert(now);
        }
    }

    /// The next part for the reader with this number.
    pub fn next(&mut self, reader: u64) -> Part {
        if reader != self.readers {
            return Part::Gone;
        }
        let at = (self.read - self.dropped) as usize;
        if at < self.data.len() {
            let end = self.data.len().min(at + PART_BYTES_MAX);
            let bytes = Bytes::copy_from_slice(&self.data[at..end]);
            self.read += bytes.len() as u64;
            self.drop_read();
            return Part::Bytes(bytes);
        }
        self.ended
            .map_or(Part::Pending, |(ended, _)| Part::End(ended))
    }

    /// Bytes that are kept, read or not.
    pub fn kept(&self) -> u64 {
        self.data.len() as u64
    }

    /// Drops the bytes that were handed over, to save memory. If the reader's connection fails,
    /// what was in transit is lost.
    pub fn forget_read(&mut self) {
        let read_bytes = (self.read - self.dropped) as usize;
        let _ = self.data.split_to(read_bytes);
        self.dropped = self.read;
    }

    fn drop_read(&mut self) {
        let read_bytes = (self.read - self.dropped) as usize;
        // Drops half of it at a time, so that not every part moves the remaining bytes.
        if read_bytes > 2 * READ_BUFFER_BYTES {
            let _ = self.data.split_to(read_bytes - READ_BUFFER_BYTES);
            self.dropped += (read_bytes - READ_BUFFER_BYTES) as u64;
        }
    }

    /// Whether the run continues at its replica without a reader.
    fn abandoned(&self, now: Time) -> bool {
        let unread = self
            .unread_since
            .is_some_and(|since| now.since(since) >= UNREAD_TIMEOUT);
        unread && self.ended.is_none()
    }

    /// Whether the run ended so long ago that nobody will ask for it any more.
    fn expired(&self, now: Time) -> bool {
        self.ended.is_some_and(|(_, at)| now.since(at) >= RETENTION)
    }
}

/// The result of a request to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The request is to be run.
    Run,
    /// It is not run: its key was blocked before it arrived, or there is no room.
    NotRun,
    /// It is running already, or has run.
    Known,
}

/// A run that is kept, with the handle of what executes it.
#[derive(Debug)]
struct Run<T> {
    buffer: Rc<RefCell<Buffer>>,
    handle: T,
}

#[derive(Debug)]
enum State<T> {
    Kept(Run<T>),
    /// The run was removed at this time, and may have run.
    Over(Time),
    /// The run may not start any more: at this time, a caller was told that it is unknown here, or
    /// asked to end it.
    Blocked(Time),
}

/// The result of looking up a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup<T> {
    /// The run is kept.
    Kept(T),
    /// It was removed, and may have run.
    Over,
    /// It never started.
    Unknown,
}

/// The runs of one sidecar, each with the handle of what executes it. A key is valid for one run
/// only.
#[derive(Debug)]
pub struct Registry<T> {
    runs: BTreeMap<Key, State<T>>,
}

impl<T> Default for Registry<T> {
    fn default() -> Self {
        Self {
            runs: BTreeMap::new(),
        }
    }
}

impl<T: Clone> Registry<T> {
    /// Registers the run `key`, unless it is known, blocked or there is no room.
    pub fn start(&mut self, key: Key, buffer: Rc<RefCell<Buffer>>, handle: T) -> Acceptance {
        match self.runs.get(&key) {
            Some(State::Kept(_) | State::Over(_)) => return Acceptance::Known,
            Some(State::Blocked(_)) => return Acceptance::NotRun,
            None if self.runs.len() >= RUNS_MAX => return Acceptance::NotRun,
            None => {}
        }
        let run = Run { buffer, handle };
        self.runs.insert(key, State::Kept(run));
        Acceptance::Run
    }

    /// Looks up the run `key`. If it is unknown, it is blocked from starting later.
    pub fn get(&mut self, key: Key, now: Time) -> Lookup<T> {
        match self.runs.entry(key).or_insert(State::Blocked(now)) {
            State::Kept(run) => Lookup::Kept(run.handle.clone()),
            State::Over(_) => Lookup::Over,
            State::Blocked(_) => Lookup::Unknown,
        }
    }

    /// Removes the run `key` and returns its handle. The key may not start a run any more.
    pub fn end(&mut self, key: Key, now: Time) -> Option<T> {
        let state = self.runs.entry(key).or_insert(State::Blocked(now));
        let State::Kept(run) = state else {
            return None;
        };
        let handle = run.handle.clone();
        *state = State::Over(now);
        Some(handle)
    }

    /// Removes ended runs and records of earlier ones that nobody will ask for any more, and runs
    /// without a reader. Returns the latter, which are still to be stopped.
    pub fn sweep(&mut self, now: Time) -> Vec<(Key, T)> {
        self.runs.retain(|_, state| match state {
            State::Over(since) | State::Blocked(since) => now.since(*since) < TOMBSTONE_RETENTION,
            State::Kept(_) => true,
        });
        let mut abandoned = Vec::new();
        for (key, state) in &mut self.runs {
            let State::Kept(run) = state else { continue };
            if run.buffer.borrow().abandoned(now) {
                abandoned.push((*key, run.handle.clone()));
            } else if !run.buffer.borrow().expired(now) {
                continue;
            }
            *state = State::Over(now);
        }
        abandoned
    }
}
