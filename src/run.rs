//! A run of a request at a replica, kept by the process beside it, so that whoever reads it may change
//! the connection.
//!
//! A connection that is lost or goes silent midway would otherwise take its run with it: the replica
//! writes it to its end for nobody, in a place that others wait for, while another replica reads the
//! same prompt again. With all connections of 12 full replicas silent at once, that took the work of
//! 1.3 s. So an entry sends a stream to the process on the replica's machine, which sends it on once,
//! keeps what comes, and hands it over from wherever the entry says. [`Buffer`] is what came of one run;
//! [`Registry`] has those of a process. Time is passed in.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use crate::clock::Time;

/// How long a run goes on without anybody who reads it: an entry whose connection broke asks again at once, and half a
/// second is what a replica may work on for a caller who has left.
pub const UNREAD_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a run is kept once it is over, for an entry whose connection took its end with it: what an entry waits
/// before it asks again, a few times.
const KEPT: Duration = Duration::from_secs(3);

/// How long it is remembered of a run that it was here, or was asked for in vain and may not begin any more: longer
/// than a link holds bytes up, and than callers wait.
const REMEMBERED: Duration = Duration::from_secs(10);

/// Bytes kept behind what was handed over: as many may lie in the buffers of a connection that is lost.
const BEHIND: usize = 256 << 10;

/// Bytes that are taken from a replica before they are read.
const AHEAD: usize = 256 << 10;

/// Runs that are kept or remembered at most, more than a replica finishes in [`REMEMBERED`].
const RUNS_MAX: usize = 4_096;

/// The header by which the process beside a replica tells whose an answer is, as [`Disposition`].
pub const DISPOSITION_HEADER: &str = "pumicelatch-run";

const START: &str = "/v1/run/";
const READ: &str = "/v1/run-from/";
const END: &str = "/v1/run-end/";

/// Names one run. It is drawn at random by who asks for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// What is asked of the process beside a replica, as its request's path says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Run this request once.
    Start {
        /// The run.
        key: Key,
        /// Its path and query at the replica.
        target: String,
    },
    /// Hand the run's answer over.
    Read {
        /// The run.
        key: Key,
        /// Bytes of its body that the reader has.
        from: u64,
    },
    /// Nobody reads the run any more.
    End {
        /// The run.
        key: Key,
    },
}

impl Call {
    /// The call of a path with its query, if it is one.
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

/// Whose the answer to a [`Call`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The replica's.
    Replica,
    /// No byte of the request left for the replica.
    NotSent,
    /// The replica's answer broke, or is not kept as far back.
    Broken,
    /// The run is not known to a process that began at least so long ago, and will not begin there any more.
    Unknown {
        /// How long ago that was.
        up: Duration,
    },
}

impl Disposition {
    /// The value of [`DISPOSITION_HEADER`], read.
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
    /// Whether a request that was sent `age` ago has not run, and will not: a process that was there all that time, and
    /// would remember it, does not know it.
    pub fn not_run(self, age: Duration) -> bool {
        match self {
            Self::NotSent => true,
            Self::Unknown { up } => age < up && age < REMEMBERED,
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
    /// It is whole.
    Complete,
    /// It broke.
    Broken,
}

/// What a reader gets of a run's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Bytes(Bytes),
    /// None yet.
    Pending,
    /// There are no more.
    End(Ended),
    /// Another reads the run now, or the bytes are not kept any more.
    Gone,
}

/// The body of one run, as far as it came and is kept.
#[derive(Debug, Default)]
pub struct Buffer {
    /// Bytes that came before those that are kept.
    dropped: u64,
    kept: BytesMut,
    read: u64,
    ended: Option<(Ended, Time)>,
    /// Counts those who have read the run; the last of them does.
    readers: u64,
    /// Since when nobody does.
    unread: Option<Time>,
}

impl Buffer {
    /// Bytes came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.kept.extend_from_slice(bytes);
    }

    /// The body ended.
    pub fn end(&mut self, ended: Ended, now: Time) {
        self.ended.get_or_insert((ended, now));
    }

    /// Whether more may be taken from the replica before it is read.
    pub fn has_room(&self) -> bool {
        self.came() - self.read < AHEAD as u64
    }

    fn came(&self) -> u64 {
        self.dropped + self.kept.len() as u64
    }

    /// Somebody reads the run from now on, and nobody else. Returns the reader's number; `None` if there is nothing
    /// for it: the body broke where it would go on, or is not kept as far back.
    pub fn open(&mut self, from: u64) -> Option<u64> {
        let over = matches!(self.ended, Some((Ended::Broken, _))) && from == self.came();
        if from < self.dropped || from > self.came() || over {
            return None;
        }
        self.read = from;
        self.readers += 1;
        self.unread = None;
        Some(self.readers)
    }

    /// The reader of this number is gone.
    pub fn close(&mut self, reader: u64, now: Time) {
        if reader == self.readers {
            self.unread.get_or_insert(now);
        }
    }

    /// What comes next for the reader of this number.
    pub fn next(&mut self, reader: u64) -> Part {
        if reader != self.readers {
            return Part::Gone;
        }
        let at = (self.read - self.dropped) as usize;
        if at < self.kept.len() {
            let bytes = Bytes::copy_from_slice(&self.kept[at..]);
            self.read = self.came();
            self.drop_behind();
            return Part::Bytes(bytes);
        }
        self.ended
            .map_or(Part::Pending, |(ended, _)| Part::End(ended))
    }

    fn drop_behind(&mut self) {
        let behind = (self.read - self.dropped) as usize;
        // Half of it at a time, so that not each part moves the rest.
        if behind > 2 * BEHIND {
            let _ = self.kept.split_to(behind - BEHIND);
            self.dropped += (behind - BEHIND) as u64;
        }
    }

    /// Whether it goes on at its replica for nobody.
    fn abandoned(&self, now: Time) -> bool {
        let unread = self
            .unread
            .is_some_and(|since| now.since(since) >= UNREAD_TIMEOUT);
        unread && self.ended.is_none()
    }

    /// Whether nobody will ask for it any more.
    fn forgotten(&self, now: Time) -> bool {
        self.ended.is_some_and(|(_, at)| now.since(at) >= KEPT)
    }
}

/// What becomes of a request to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It is to be run.
    Run,
    /// It does not run: its name was barred before it came, or there is no room.
    NotRun,
    /// It runs already, or has.
    Known,
}

/// A run that is kept, and what carries it out.
#[derive(Debug)]
struct Kept<T> {
    tape: Rc<RefCell<Buffer>>,
    carrier: T,
}

#[derive(Debug)]
enum Place<T> {
    Kept(Kept<T>),
    /// It was here until then, and may have run.
    Over(Time),
    /// It may not begin any more: somebody was told then that it is not known here.
    Barred(Time),
}

/// What is known of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup<T> {
    /// It is kept.
    Kept(T),
    /// It was, and may have run.
    Over,
    /// It never was.
    Unknown,
}

/// The runs of one process, each with what carries it out. A run's name is good for one run only.
#[derive(Debug)]
pub struct Registry<T> {
    places: BTreeMap<Key, Place<T>>,
}

impl<T> Default for Registry<T> {
    fn default() -> Self {
        Self {
            places: BTreeMap::new(),
        }
    }
}

impl<T: Clone> Registry<T> {
    /// A request to start the run `key` came.
    pub fn start(&mut self, key: Key, tape: Rc<RefCell<Buffer>>, carrier: T) -> Acceptance {
        match self.places.get(&key) {
            Some(Place::Kept(_) | Place::Over(_)) => return Acceptance::Known,
            Some(Place::Barred(_)) => return Acceptance::NotRun,
            None if self.places.len() >= RUNS_MAX => return Acceptance::NotRun,
            None => {}
        }
        let kept = Kept { tape, carrier };
        self.places.insert(key, Place::Kept(kept));
        Acceptance::Run
    }

    /// What is known of the run `key`. One that is not may not begin any more.
    pub fn get(&mut self, key: Key, now: Time) -> Lookup<T> {
        match self.places.entry(key).or_insert(Place::Barred(now)) {
            Place::Kept(kept) => Lookup::Kept(kept.carrier.clone()),
            Place::Over(_) => Lookup::Over,
            Place::Barred(_) => Lookup::Unknown,
        }
    }

    /// Takes the run `key` away, which nobody reads any more. It may not begin again.
    pub fn end(&mut self, key: Key, now: Time) -> Option<T> {
        let place = self.places.entry(key).or_insert(Place::Barred(now));
        let Place::Kept(kept) = place else {
            return None;
        };
        let carrier = kept.carrier.clone();
        *place = Place::Over(now);
        Some(carrier)
    }

    /// Forgets what nobody will ask for any more, and takes away what goes on for nobody.
    pub fn sweep(&mut self, now: Time) -> Vec<(Key, T)> {
        self.places.retain(|_, place| match place {
            Place::Over(since) | Place::Barred(since) => now.since(*since) < REMEMBERED,
            Place::Kept(_) => true,
        });
        let mut abandoned = Vec::new();
        for (key, place) in &mut self.places {
            let Place::Kept(kept) = place else { continue };
            if kept.tape.borrow().abandoned(now) {
                abandoned.push((*key, kept.carrier.clone()));
            } else if !kept.tape.borrow().forgotten(now) {
                continue;
            }
            *place = Place::Over(now);
        }
        abandoned
    }
}
