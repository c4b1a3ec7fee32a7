//! A planned stop: until when requests are taken, from when they are refused, and when the process
//! may end.
//!
//! Who takes no more requests says so first and looks only then whether anything is under way, so
//! that what comes between the two is refused. It looks again until the end, as connections that are
//! open may bring requests until they are closed. Time is passed in.
//!
//! * [`porter`] carries it out at a process's edge.

use std::time::Duration;

use crate::clock::Time;

pub mod tracker;

pub use tracker::{Permit, Tracker};

/// How long a stopping process goes on taking requests: three times the second in which those who
/// route to it look whether it is ready.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3);

/// Time for the last answers to leave the process: two round trips of a slow link.
const LAST_BYTES: Duration = Duration::from_millis(200);

/// Time for connections at rest to be closed: two looks of a closing server.
const CLOSE: Duration = Duration::from_millis(100);

/// Looks at which nothing came while connections are closed: each has had its turn between two.
const QUIET_LOOKS: u32 = 2;

/// Longest planned stop if nobody says: that of a request with the longest deadline.
const LONGEST: Duration = Duration::from_secs(600);

/// Part of a bounded stop, before its end, in which nothing is under way any more: [`LAST_BYTES`],
/// [`CLOSE`] and 0.4 s for a machine that is busy.
const MARGIN: Duration = Duration::from_millis(700);

/// Settings of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Setting {
    /// How long requests are still taken, so that those who send them hear of the stop.
    pub announce_period: Duration,
    /// Time from the beginning after which what is under way is given up.
    pub time_limit: Duration,
    /// Time for the last answers to leave the process.
    pub last_bytes: Duration,
    /// Time for connections at rest to be closed.
    pub close: Duration,
    /// Whether connections are accepted for as long as anything is under way that may need them.
    pub reachable: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            announce_period: ANNOUNCE_PERIOD,
            time_limit: ANNOUNCE_PERIOD + LONGEST,
            last_bytes: LAST_BYTES,
            close: CLOSE,
            reachable: false,
        }
    }
}

impl Setting {
    /// A stop that is over within `grace`.
    pub fn within(grace: Duration) -> Self {
        Self {
            time_limit: grace.saturating_sub(MARGIN).max(ANNOUNCE_PERIOD),
            ..Self::default()
        }
    }

    /// The end of the stop, whatever is under way then.
    fn end(&self) -> Duration {
        self.time_limit + self.last_bytes + self.close
    }
}

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Phase {
    /// There is none.
    #[default]
    Serving,
    /// It is said that the process stops, and requests are still taken.
    Announced,
    /// No more are taken; what was taken is finished.
    Refusing,
    /// What was taken is given up: who can still be told is told.
    Ending,
    /// Nothing is under way; the last answers leave.
    LastBytes,
    /// Connections that rest are closed.
    Closing,
    /// The process ends.
    Over,
}

/// What a request is, as far as a stop is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A caller's request.
    New,
    /// It goes on with what was taken before.
    Continued,
    /// Another process asks for something that others have as well.
    Peer,
}

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It is taken.
    Taken,
    /// It is refused, and the process waits until the refusal has left.
    Refused,
    /// It is refused, and nobody waits for that.
    Dismissed,
}

/// A planned stop, before and while it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Stop {
    setting: Setting,
    phase: Phase,
    began: Time,
    closing: Time,
    looks: u32,
    last: Time,
    in_flight: u64,
}

impl Stop {
    /// The process is to stop.
    pub fn begin(&mut self, setting: Setting, now: Time) {
        self.setting = setting;
        if self.phase == Phase::Serving {
            self.phase = Phase::Announced;
            self.began = now;
        }
    }

    /// A request arrives. Unless it is dismissed, [`Stop::end`] follows.
    pub fn arrive(&mut self, kind: Kind, now: Time) -> Decision {
        let taken = match kind {
            Kind::New | Kind::Peer => self.phase < Phase::Refusing,
            Kind::Continued => self.phase < Phase::Ending,
        };
        if !taken && kind == Kind::Peer {
            return Decision::Dismissed;
        }
        self.in_flight += 1;
        self.last = now;
        if taken {
            Decision::Taken
        } else {
            Decision::Refused
        }
    }

    /// A request's answer was handed over, or given up.
    pub fn end(&mut self, now: Time) {
        self.in_flight -= 1;
        self.last = now;
    }

    /// Requests whose answers are not handed over.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// How far the stop has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether connections are to be accepted.
    pub fn accepts(&self) -> bool {
        let open = if self.setting.reachable {
            Phase::LastBytes
        } else {
            Phase::Refusing
        };
        self.phase < open
    }

    /// Looks how far the stop has come; one phase at a time, so that each is said before the next is
    /// judged.
    pub fn look(&mut self, now: Time) -> Phase {
        if self.phase == Phase::Closing {
            self.looks = QUIET_LOOKS.min(self.looks + 1);
        }
        let spent = now.since(self.began);
        let idle = self.in_flight == 0;
        let quiet = idle && now.since(self.last) >= self.setting.last_bytes;
        let closed = self.looks >= QUIET_LOOKS && now.since(self.closing) >= self.setting.close;
        self.phase = match self.phase {
            Phase::Announced if spent >= self.setting.announce_period => Phase::Refusing,
            Phase::Refusing | Phase::Ending if idle => Phase::LastBytes,
            Phase::Refusing if spent >= self.setting.time_limit => Phase::Ending,
            Phase::LastBytes if quiet => {
                self.closing = now;
                self.looks = 0;
                Phase::Closing
            }
            Phase::Closing if !quiet => Phase::LastBytes,
            Phase::Closing if closed => Phase::Over,
            Phase::Ending | Phase::LastBytes | Phase::Closing if spent >= self.setting.end() => {
                Phase::Over
            }
            phase => phase,
        };
        self.phase
    }
}
