//! State machine of a planned stop: until when requests are accepted, from when they are refused, and
//! when the process may exit.
//!
//! The process first starts to refuse requests and only then checks whether any are in flight, so
//! that a request arriving between the two is refused. It repeats the check until it exits, because
//! open connections may deliver requests until they are closed. The caller passes in the time.
//!
//! * [`tracker`] counts a server's requests and drives the stop.

use std::time::Duration;

use crate::clock::Time;

pub mod tracker;

pub use tracker::{Permit, Tracker};

/// How long a stopping process still accepts requests: three times the readiness check interval of
/// one second of the processes that route to it.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3);

/// Time for the last answers to leave the process: two round trips on a slow link.
const FLUSH_PERIOD: Duration = Duration::from_millis(200);

/// Time for idle connections to be closed: two check intervals of a closing server.
const CLOSE_PERIOD: Duration = Duration::from_millis(100);

/// Number of polls without a request while connections are closed. Every connection is
/// serviced between two polls.
const QUIET_POLLS: u32 = 2;

/// Default time limit after the announcement: the longest deadline that a request may have.
const TIME_LIMIT: Duration = Duration::from_secs(600);

/// Time at the end of a bounded stop in which no request is in flight: [`FLUSH_PERIOD`],
/// [`CLOSE_PERIOD`], and 0.4 s for delays on a busy machine.
const END_MARGIN: Duration = Duration::from_millis(700);

/// Settings of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Setting {
    /// How long requests are still accepted, so that their senders learn of the stop.
    pub announce_period: Duration,
    /// Time from the start of the stop after which requests in flight are aborted.
    pub time_limit: Duration,
    /// Time for the last answers to leave the process.
    pub flush_period: Duration,
    /// Time for idle connections to be closed.
    pub close_period: Duration,
    /// Whether connections are accepted while requests are in flight that may need them.
    pub reachable: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            announce_period: ANNOUNCE_PERIOD,
            time_limit: ANNOUNCE_PERIOD + TIME_LIMIT,
            flush_period: FLUSH_PERIOD,
            close_period: CLOSE_PERIOD,
            reachable: false,
        }
    }
}

impl Setting {
    /// Settings of a stop that completes within `grace`, or within the shortest possible stop if that
    /// takes longer.
    pub fn within(grace: Duration) -> Self {
        Self {
            time_limit: grace.saturating_sub(END_MARGIN).max(ANNOUNCE_PERIOD),
            ..Self::default()
        }
    }

    /// Time from the start of the stop after which the process exits even if requests are in flight.
    fn end(&self) -> Duration {
        self.time_limit + self.flush_period + self.close_period
    }
}

/// Phase of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Phase {
    /// No stop has begun.
    #[default]
    Serving,
    /// The stop is announced; requests are still accepted.
    Announced,
    /// New requests are refused; accepted ones are completed.
    Refusing,
    /// Requests in flight are aborted, with an answer where one can still be sent.
    Aborting,
    /// No requests are in flight; the last answers leave the process.
    Flushing,
    /// Idle connections are closed.
    Closing,
    /// The process may exit.
    Done,
}

/// Kind of request, which determines how a stop treats it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A new request of a caller.
    New,
    /// Continues a request that was accepted before.
    Continued,
    /// A request of another process for something that it can also get elsewhere.
    Peer,
}

/// How an arriving request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It is accepted.
    Accepted,
    /// It is refused, and the process does not exit before the refusal has been sent.
    Refused,
    /// It is refused, and the stop does not wait for the refusal to be sent.
    Dismissed,
}

/// State of a planned stop, which exists from the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Stop {
    setting: Setting,
    phase: Phase,
    began: Time,
    closing_since: Time,
    polls: u32,
    last_activity: Time,
    in_flight: u64,
}

impl Stop {
    /// Begins the stop. If one has begun, only replaces its settings.
    pub fn begin(&mut self, setting: Setting, now: Time) {
        self.setting = setting;
        if self.phase == Phase::Serving {
            self.phase = Phase::Announced;
            self.began = now;
        }
    }

    /// Decides about an arriving request. Unless it is dismissed, the caller must call
    /// [`Stop::finish`] afterwards.
    pub fn admit(&mut self, kind: Kind, now: Time) -> Decision {
        let accepted = match kind {
            Kind::New | Kind::Peer => self.phase < Phase::Refusing,
            Kind::Continued => self.phase < Phase::Aborting,
        };
        if !accepted && kind == Kind::Peer {
            return Decision::Dismissed;
        }
        self.in_flight += 1;
        self.last_activity = now;
        if accepted {
            Decision::Accepted
        } else {
            Decision::Refused
        }
    }

    /// Records that a request's answer was handed over to the server, or given up.
    pub fn finish(&mut self, now: Time) {
        self.in_flight -= 1;
        self.last_activity = now;
    }

    /// Number of requests whose answers have not been handed over yet.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the server should accept connections.
    pub fn accepts_connections(&self) -> bool {
        let until = if self.setting.reachable {
            Phase::Flushing
        } else {
            Phase::Refusing
        };
        self.phase < until
    }

    /// Advances the stop by at most one phase and returns the current one, so that every phase is
    /// published before the conditions of the next one are evaluated.
    pub fn poll(&mut self, now: Time) -> Phase {
        if self.phase == Phase::Closing {
            self.polls = QUIET_POLLS.min(self.polls + 1);
        }
        let elapsed = now.since(self.began);
        let idle = self.in_flight == 0;
        let quiet = idle && now.since(self.last_activity) >= self.setting.flush_period;
        let closed =
            self.polls >= QUIET_POLLS && now.since(self.closing_since) >= self.setting.close_period;
        self.phase = match self.phase {
            Phase::Announced if elapsed >= self.setting.announce_period => Phase::Refusing,
            Phase::Refusing | Phase::Aborting if idle => Phase::Flushing,
            Phase::Refusing if elapsed >= self.setting.time_limit => Phase::Aborting,
            Phase::Flushing if quiet => {
                self.closing_since = now;
                self.polls = 0;
                Phase::Closing
            }
            Phase::Closing if !quiet => Phase::Flushing,
            Phase::Closing if closed => Phase::Done,
            Phase::Aborting | Phase::Flushing | Phase::Closing if elapsed >= self.setting.end() => {
                Phase::Done
            }
            phase => phase,
        };
        self.phase
    }
}
