//! Corrects estimates by what is observed, where figures behind them are guesses.

use std::time::Duration;

/// Part of a new observation that is taken: one in this many, so that a guess that is off by three
/// times is right after some fifty requests.
const SMOOTHING: f64 = 16.0;

/// Most that an estimate is stretched or shrunk: engines differ less than that from the guesses.
const FACTOR_MAX: f64 = 8.0;

/// Shortest estimate that says something of a factor.
const EXPECTED_MIN: Duration = Duration::from_millis(1);

/// By how much estimates of one service are off.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Correction {
    factor: f64,
}

impl Default for Correction {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Correction {
    /// Something that was `expected`, this correction included, `took` so long.
    pub fn record(&mut self, expected: Duration, took: Duration) {
        let expected = expected.max(EXPECTED_MIN).as_secs_f64();
        let took = took.max(EXPECTED_MIN).as_secs_f64();
        let off = (took / expected).powf(1.0 / SMOOTHING);
        self.factor = (self.factor * off).clamp(1.0 / FACTOR_MAX, FACTOR_MAX);
    }

    /// The estimate that is corrected to `corrected`.
    pub fn undo(self, corrected: Duration) -> Duration {
        corrected.div_f64(self.factor)
    }

    /// An estimate, corrected.
    pub fn apply(self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.factor)
    }
}
