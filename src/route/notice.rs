//! What a replica tells, with any answer, of what it wants from whoever sent it the request.
//!
//! It binds whoever got the answer: an entry, and the process beside the replica for all entries that send by way of it. It holds
//! for the life of the replica that told it, whatever the list says meanwhile.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::clock::Time;
use crate::member::replica::Instance;

/// Longest rest that a replica is believed to mean.
const REST_MAX: Duration = Duration::from_secs(600);

/// How long it is remembered what a life wanted that is not listed any more: its entry may lapse and come back.
const REMEMBERED: Duration = Duration::from_secs(900);

/// The header by which the process beside a replica tells why it did not send a request on, as [`Notice`].
pub const HEADER: &str = "pumicelatch-run-notice";

/// What the head of a replica's answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// It leaves: it finishes what it has, and wants nothing more in this life.
    pub leaving: bool,
    /// It turned the request away, and wants nothing for so long.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// The notice of a replica that leaves if `leaving`, and wants `rest_s` seconds of rest. A time that is none is no
    /// wish for rest, and one beyond all reason counts as ten minutes.
    pub fn new(leaving: bool, rest_s: Option<f64>) -> Self {
        let wanted = rest_s.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
        let rest = wanted.map(|seconds| seconds.min(REST_MAX.as_secs_f64()));
        Self {
            leaving,
            backoff: rest.map(Duration::from_secs_f64),
        }
    }

    /// The value of [`HEADER`], read; empty if it is none.
    pub fn parse(value: &str) -> Self {
        let (leaving, rest) = value.split_once(';').unwrap_or_default();
        let millis = rest
            .strip_prefix("rest-ms=")
            .and_then(|rest| rest.parse().ok());
        Self::new(
            leaving == "leaving",
            millis.map(|millis: u32| f64::from(millis) / 1_000.0),
        )
    }

    /// Whether it tells nothing.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = if self.leaving { "leaving" } else { "" };
        let rest = self.backoff.unwrap_or_default();
        write!(formatter, "{leaving};rest-ms={}", rest.as_millis())
    }
}

/// What one life of a replica wants, by all that it told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspension {
    leaving: bool,
    rests_until: Time,
}

impl Suspension {
    /// It told `notice` at `now`. A shorter rest does not end a longer one. Returns whether that is news.
    pub fn apply(&mut self, notice: Notice, now: Time) -> bool {
        let before = *self;
        self.leaving |= notice.leaving;
        let until = notice.backoff.map_or(self.rests_until, |rest| now + rest);
        self.rests_until = self.rests_until.max(until);
        *self != before
    }

    /// Whether it wants nothing more in this life.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// For how long it still wants nothing.
    pub fn backoff(&self, now: Time) -> Duration {
        self.rests_until.since(now)
    }

    /// Whether it is to get nothing now.
    pub fn rejects(&self, now: Time) -> bool {
        self.leaving || !self.backoff(now).is_zero()
    }

    /// What others are told of it now.
    pub fn notice(&self, now: Time) -> Notice {
        Notice::new(self.leaving, Some(self.backoff(now).as_secs_f64()))
    }
}

/// What lives of replicas want, listed or not.
#[derive(Debug, Default)]
pub struct Suspensions(BTreeMap<Instance, (Suspension, Time)>);

impl Suspensions {
    /// The life `life` wants so now.
    pub fn remember(&mut self, instance: Instance, wish: Suspension, now: Time) {
        self.0.retain(|_, (_, at)| now.since(*at) < REMEMBERED);
        self.0.insert(instance, (wish, now));
    }

    /// What the life `life` wants, as far as is remembered.
    pub fn of(&self, instance: &Instance) -> Suspension {
        self.0
            .get(instance)
            .map(|(wish, _)| *wish)
            .unwrap_or_default()
    }
}
