//! Meters the requests to a replica with a quota, in the one process that counts them for all.
//!
//! A meter grants requests at the replica's rate. While more are asked for than that, the urgencies
//! take turns: each gets grants in proportion to its weight, and what one leaves is used by the
//! others.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Time;

/// Unused grants that a meter keeps, as a fraction of those of a second.
const BURST_FRACTION: f64 = 0.25;

/// Grants that requests out of turn leave for the urgency whose turn it is.
const RESERVE: f64 = 1.0;

/// Time without a request after which an urgency is left out of the turns, unless the rate is lower
/// than three in this time.
const TURN_EXPIRY: Duration = Duration::from_secs(1);

/// Intervals between two grants after which an urgency is left out of the turns.
const TURN_EXPIRY_GRANTS: f64 = 3.0;

/// Longest wait that is told to a process whose request is not granted.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Time within which the request for a grant arrives, or else never does.
const ARRIVAL_MAX: Duration = Duration::from_secs(1);

/// The turn of an urgency: it is next if its pass is the lowest. Each grant raises the pass by the
/// inverse of the urgency's weight.
#[derive(Debug, Clone, Copy, Default)]
struct Turn {
    pass: f64,
    asked_at: Time,
}

/// Grants of one replica. It starts empty, since what the replica got before is not known.
#[derive(Debug, Default)]
pub struct Meter {
    available: f64,
    updated_at: Option<Time>,
    turns: BTreeMap<u8, Turn>,
}

/// Increase of the pass of `urgency`, where 0 is the highest, with a grant.
fn stride(urgency: u8) -> f64 {
    1.0 + 2.0 * f64::from(urgency)
}

impl Meter {
    /// Takes a grant for a request of `urgency` at a rate of `per_s` grants per second. The error is
    /// the time after which to ask again.
    pub fn take(&mut self, urgency: u8, per_s: f64, now: Time) -> Result<(), Duration> {
        let in_turn = self.is_in_turn(urgency, per_s, now);
        self.refill(per_s, now);
        let needed = if in_turn { 1.0 } else { 1.0 + RESERVE };
        if self.available < needed {
            let wait = (needed - self.available) / per_s;
            return Err(Duration::from_secs_f64(wait.min(WAIT_MAX.as_secs_f64())));
        }
        self.available -= 1.0;
        if let Some(turn) = self.turns.get_mut(&urgency) {
            turn.pass += stride(urgency);
        }
        Ok(())
    }

    fn refill(&mut self, per_s: f64, now: Time) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        let reserve = if self.turns.len() > 1 { RESERVE } else { 0.0 };
        let capacity = (per_s * BURST_FRACTION).max(1.0) + reserve;
        self.available = (self.available + per_s * elapsed.as_secs_f64()).min(capacity);
        self.updated_at = Some(now);
    }

    /// Records a request of `urgency`. Returns whether it is next among those that ask at present.
    fn is_in_turn(&mut self, urgency: u8, per_s: f64, now: Time) -> bool {
        let grants = Duration::from_secs_f64((TURN_EXPIRY_GRANTS / per_s).min(1e6));
        let expiry = TURN_EXPIRY.max(grants);
        self.turns
            .retain(|_, turn| now.since(turn.asked_at) < expiry);
        let passes = self.turns.values().map(|turn| turn.pass);
        let lowest = passes.min_by(f64::total_cmp).unwrap_or_default();
        let turn = self.turns.entry(urgency).or_insert(Turn {
            pass: lowest,
            asked_at: now,
        });
        turn.asked_at = now;
        turn.pass <= lowest
    }
}

/// A meter whose grants are known until their requests arrive.
#[derive(Debug, Default)]
pub struct Gate {
    meter: Meter,
    granted: VecDeque<Time>,
}

impl Gate {
    /// Takes a grant for a request that is still to arrive, like [`Meter::take`].
    pub fn take(&mut self, urgency: u8, per_s: f64, now: Time) -> Result<(), Duration> {
        self.meter.take(urgency, per_s, now)?;
        self.remove_expired(now);
        self.granted.push_back(now);
        Ok(())
    }

    /// Lets a request in that has arrived: under an earlier grant, or else a new one.
    pub fn admit(&mut self, urgency: u8, per_s: f64, now: Time) -> Result<(), Duration> {
        self.remove_expired(now);
        match self.granted.pop_front() {
            Some(_) => Ok(()),
            None => self.meter.take(urgency, per_s, now),
        }
    }

    fn remove_expired(&mut self, now: Time) {
        self.granted.retain(|at| now.since(*at) < ARRIVAL_MAX);
    }
}
