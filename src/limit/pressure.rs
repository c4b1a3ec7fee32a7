//! How far an entry trusts its estimates, learnt from whether first events came in time.
//!
//! Estimates are off by half of an objective while engines are full. The limit within which a first
//! event has to be expected falls with each that is late, and rises slowly with the others.

/// Lowest limit, in hundredths of an objective.
const PART_MIN: f64 = 45.0;

/// Factor on the limit with each first event that is late.
const FALL: f64 = 0.97;

/// Share of late first events at which the limit rests.
const LATE_SHARE: f64 = 0.08;

/// The limit of one service's requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pressure {
    part: Option<f64>,
}

impl Pressure {
    /// The limit in hundredths of an objective, `most` at most.
    pub fn part(self, most: u32) -> u32 {
        let most = f64::from(most);
        self.part.unwrap_or(most).min(most) as u32
    }

    /// A first event came, in time or late.
    pub fn note(&mut self, in_time: bool, most: u32) {
        let most = f64::from(most);
        let part = self.part.unwrap_or(most);
        let rise = LATE_SHARE * (1.0 - FALL) * part / (1.0 - LATE_SHARE);
        let part = if in_time { part + rise } else { part * FALL };
        self.part = Some(part.clamp(PART_MIN.min(most), most));
    }
}
