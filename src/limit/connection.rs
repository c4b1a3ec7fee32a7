//! Which connections are closed when a listener has too many, or when they hold too much that is not
//! read.
//!
//! The connection of a request that is being handled is never closed for a new one; what its client
//! sends ahead of the response may cost it its connection.

use std::time::Duration;

use slotmap::SlotMap;

use crate::clock::Time;

slotmap::new_key_type! {
    /// An open connection.
    pub struct Key;
}

/// Time within which a new connection is expected to send its first request. One that has not goes
/// before those that are idle after a response.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Bounds of the connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of bytes that have arrived and are neither part of a request that is being
    /// handled nor discarded.
    pub input_bytes: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            connections: 4_096,
            input_bytes: 8 << 20,
        }
    }
}

/// Descriptors that a process keeps for files.
const FILE_DESCRIPTORS: usize = 200;

/// Least number of connections of a listener.
const CONNECTIONS_MIN: usize = 4;

/// Divisor of the other descriptors that yields the connections of callers.
const CALLERS_DIVISOR: usize = 2;

/// Maximum number of callers' connections of a process that may open so many descriptors.
pub fn callers_of(descriptors: usize) -> usize {
    part_of(descriptors, CALLERS_DIVISOR)
}

fn part_of(descriptors: usize, divisor: usize) -> usize {
    let free = descriptors.saturating_sub(FILE_DESCRIPTORS);
    (free / divisor).max(CONNECTIONS_MIN)
}

/// What a machine lets a process use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Open descriptors.
    pub descriptors: usize,
    /// Bytes of memory.
    pub memory_bytes: u64,
}

/// The bounds of a process's listeners. What they leave is for connections to replicas, other
/// processes and the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Plan {
    /// For those that requests come from.
    pub callers: Setting,
    /// For other processes of the system.
    pub peers: Setting,
    /// For readiness checks, and for metrics.
    pub checks: Setting,
}

impl Plan {
    /// The bounds on `machine`.
    pub fn on(machine: Machine) -> Self {
        let part = |connections: usize, input: u64| Setting {
            connections: part_of(machine.descriptors, connections),
            input_bytes: machine.memory_bytes / input,
        };
        Self {
            callers: part(CALLERS_DIVISOR, 16),
            peers: part(4, 32),
            checks: part(32, 64),
        }
    }
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has come so far.
    New,
    /// A request is being handled.
    Busy,
    /// The last request was answered.
    Idle,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    phase: Phase,
    since: Time,
    input: u64,
}

/// How a new connection is received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is accepted.
    Accepted(Key),
    /// It is accepted instead of another one, which is to be closed.
    Replaces {
        /// The new one.
        new: Key,
        /// The one that is closed.
        old: Key,
    },
    /// It is refused: all others are busy.
    Refused,
}

/// The open connections of a listener.
#[derive(Debug, Default)]
pub struct Table {
    setting: Setting,
    rows: SlotMap<Key, Row>,
    input: u64,
}

impl Table {
    /// A table without connections.
    pub fn new(setting: Setting) -> Self {
        Self {
            setting,
            ..Self::default()
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Bytes that have arrived and wait.
    pub fn input(&self) -> u64 {
        self.input
    }

    /// Receives a new connection.
    pub fn open(&mut self, now: Time) -> Verdict {
        let old = if self.rows.len() < self.setting.connections {
            None
        } else if let Some(old) = self.least_useful(now) {
            self.close(old);
            Some(old)
        } else {
            return Verdict::Refused;
        };
        let new = self.rows.insert(Row {
            phase: Phase::New,
            since: now,
            input: 0,
        });
        old.map_or(Verdict::Accepted(new), |old| Verdict::Replaces { new, old })
    }

    /// The connection to close for a new one: the oldest that is late with its first request, or else
    /// the one that has been idle for longest, or else the oldest without a request.
    fn least_useful(&self, now: Time) -> Option<Key> {
        let rank = |row: &Row| match row.phase {
            Phase::New if now.since(row.since) >= FIRST_REQUEST_TIME => 0,
            Phase::Idle => 1,
            Phase::New => 2,
            Phase::Busy => 3,
        };
        let free = self.rows.iter().filter(|(_, row)| row.phase != Phase::Busy);
        let first = free.min_by_key(|(_, row)| (rank(row), row.since));
        first.map(|(key, _)| key)
    }

    /// Records that a request is being handled.
    pub fn begin(&mut self, key: Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.phase = Phase::Busy;
        }
    }

    /// Records that the request was answered.
    pub fn end(&mut self, key: Key, now: Time) {
        if let Some(row) = self.rows.get_mut(key) {
            row.phase = Phase::Idle;
            row.since = now;
        }
    }

    /// Records how many bytes of a connection wait. Returns the connection to close if they are too
    /// many together: the one that holds most.
    pub fn set_input(&mut self, key: Key, bytes: u64) -> Option<Key> {
        let row = self.rows.get_mut(key)?;
        self.input = self.input - row.input + bytes;
        row.input = bytes;
        if self.input <= self.setting.input_bytes {
            return None;
        }
        let (largest, _) = self.rows.iter().max_by_key(|(_, row)| row.input)?;
        self.close(largest);
        Some(largest)
    }

    /// Removes a connection.
    pub fn close(&mut self, key: Key) {
        if let Some(row) = self.rows.remove(key) {
            self.input -= row.input;
        }
    }
}
