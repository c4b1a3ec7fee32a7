//! Notices by which a replica, in the head of any response, asks its callers to stop or pause
//! sending.
//!
//! A notice binds whoever received the response: an entry, or the replica's sidecar on behalf of
//! all entries that send through it. It holds for the replica instance that sent it, whatever the
//! replica list says meanwhile.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::clock::Time;
use crate::member::replica::Instance;

/// Longest backoff that a notice may ask for.
const BACKOFF_MAX: Duration = Duration::from_secs(600);

/// How long the suspension of an instance that is no longer listed is kept, since its list entry
/// may expire and come back.
const RETENTION: Duration = Duration::from_secs(900);

/// Header in which a sidecar states why it did not forward a request, as a [`Notice`].
pub const HEADER: &str = "pumicelatch-run-notice";

/// Notice in the head of a replica's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// The replica is leaving: it finishes its requests and takes no more as this instance.
    pub leaving: bool,
    /// The replica turned the request away and takes none for this time.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// Creates a notice. `backoff_s` is ignored unless it is a positive finite number of seconds,
    /// and is limited to ten minutes.
    pub fn new(leaving: bool, backoff_s: Option<f64>) -> Self {
        let requested = backoff_s.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
        let backoff = requested.map(|seconds| seconds.min(BACKOFF_MAX.as_secs_f64()));
        Self {
            leaving,
            backoff: backoff.map(Duration::from_secs_f64),
        }
    }

    /// Parses the value of [`HEADER`]; a malformed value gives an empty notice.
    pub fn parse(value: &str) -> Self {
        let (leaving, backoff) = value.split_once(';').unwrap_or_default();
        let millis = backoff
            .strip_prefix("rest-ms=")
            .and_then(|backoff| backoff.parse().ok());
        Self::new(
            leaving == "leaving",
            millis.map(|millis: u32| f64::from(millis) / 1_000.0),
        )
    }

    /// Whether the notice asks for nothing.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = if self.leaving { "leaving" } else { "" };
        let backoff = self.backoff.unwrap_or_default();
        write!(formatter, "{leaving};rest-ms={}", backoff.as_millis())
    }
}

/// Combined effect of all notices of one replica instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspension {
    leaving: bool,
    backoff_until: Time,
}

impl Suspension {
    /// Applies a notice received at `now`. A shorter backoff does not end a longer one. Returns
    /// whether anything changed.
    pub fn apply(&mut self, notice: Notice, now: Time) -> bool {
        let before = *self;
        self.leaving |= notice.leaving;
        let until = notice
            .backoff
            .map_or(self.backoff_until, |backoff| now + backoff);
        self.backoff_until = self.backoff_until.max(until);
        *self != before
    }

    /// Whether the instance takes no more requests.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Time until the backoff ends.
    pub fn backoff(&self, now: Time) -> Duration {
        self.backoff_until.since(now)
    }

    /// Whether the replica must not receive requests now.
    pub fn rejects(&self, now: Time) -> bool {
        self.leaving || !self.backoff(now).is_zero()
    }

    /// The notice that passes on the current state to others.
    pub fn notice(&self, now: Time) -> Notice {
        Notice::new(self.leaving, Some(self.backoff(now).as_secs_f64()))
    }
}

/// Suspensions by replica instance, listed or not.
#[derive(Debug, Default)]
pub struct Suspensions(BTreeMap<Instance, (Suspension, Time)>);

impl Suspensions {
    /// Stores the suspension of an instance, and drops expired ones.
    pub fn insert(&mut self, instance: Instance, suspension: Suspension, now: Time) {
        self.0.retain(|_, (_, at)| now.since(*at) < RETENTION);
        self.0.insert(instance, (suspension, now));
    }

    /// Returns the stored suspension of an instance, or an empty one.
    pub fn get(&self, instance: &Instance) -> Suspension {
        self.0
            .get(instance)
            .map(|(suspension, _)| *suspension)
            .unwrap_or_default()
    }
}
