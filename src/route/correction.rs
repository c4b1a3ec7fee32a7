//! Corrects estimates by observed times where the engine's figures are guesses.

use std::time::Duration;

/// An observation enters the factor with a weight of one in this many, so that an estimate that is
/// off by a factor of three is corrected after about fifty requests.
const SMOOTHING_DIVISOR: f64 = 16.0;

/// Largest correction in either direction. Engines differ from the guessed figures by less than
/// that.
const FACTOR_MAX: f64 = 8.0;

/// Shorter times say nothing about the factor and are raised to this.
const EXPECTED_MIN: Duration = Duration::from_millis(1);

/// Correction factor for the estimates of one service.
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
    /// Records that something `expected` to take that long, with this correction applied, took
    /// `took`.
    pub fn record(&mut self, expected: Duration, took: Duration) {
        let expected = expected.max(EXPECTED_MIN).as_secs_f64();
        let took = took.max(EXPECTED_MIN).as_secs_f64();
        let ratio = (took / expected).powf(1.0 / SMOOTHING_DIVISOR);
        self.factor = (self.factor * ratio).clamp(1.0 / FACTOR_MAX, FACTOR_MAX);
    }

    /// Returns the estimate that [`Self::apply`] turns into `corrected`.
    pub fn undo(self, corrected: Duration) -> Duration {
        corrected.div_f64(self.factor)
    }

    /// Applies the correction to an estimate.
    pub fn apply(self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.factor)
    }
}
