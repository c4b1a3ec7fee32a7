//! What a replica tells, with any answer, of what it wants from whoever sent it the request.

use std::time::Duration;

/// Longest rest that a replica is believed to mean.
const REST_MAX: Duration = Duration::from_secs(600);

/// What the head of a replica's answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// It leaves: it finishes what it has, and wants nothing more in this life.
    pub leaving: bool,
    /// It turned the request away, and wants nothing for so long.
    pub rest: Option<Duration>,
}

impl Notice {
    /// The notice of a replica that leaves if `leaving`, and wants `rest_s` seconds of rest. A time that is none is no
    /// wish for rest, and one beyond all reason counts as ten minutes.
    pub fn new(leaving: bool, rest_s: Option<f64>) -> Self {
        let wanted = rest_s.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
        let rest = wanted.map(|seconds| seconds.min(REST_MAX.as_secs_f64()));
        Self {
            leaving,
            rest: rest.map(Duration::from_secs_f64),
        }
    }

    /// Whether it tells nothing.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}
