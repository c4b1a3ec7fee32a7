//! When the chunks that are staged at a replica were last read back, and until when that counts. They
//! may turn bad where they lie, so a replica may be ordered to load them only for a short time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Age up to which a reading counts when the order is sent. Engines are expected to load chunks that
/// turned bad less than three seconds ago; the rest is left for the order's way.
pub const AGE_MAX: Duration = Duration::from_millis(2_500);

/// Age from which on a chunk is read again before the order is sent, so that sending it may take some
/// time.
const REREAD_AGE: Duration = Duration::from_millis(2_000);

/// When each chunk of a version was last read back and found correct.
#[derive(Debug, Clone, Default)]
pub struct Readback {
    read_at: BTreeMap<u32, Time>,
}

impl Readback {
    /// Records a reading of `chunk` that was requested at `requested_at`: it may have turned bad right
    /// after that.
    pub fn record(&mut self, chunk: u32, requested_at: Time) {
        self.read_at.insert(chunk, requested_at);
    }

    /// Which of the first `count` chunks have to be read before the order is sent at `now`.
    pub fn due(&self, count: u32, now: Time) -> Vec<u32> {
        let is_recent = |chunk: &u32| {
            let read_at = self.read_at.get(chunk);
            read_at.is_some_and(|at| now.since(*at) < REREAD_AGE)
        };
        (0..count).filter(|chunk| !is_recent(chunk)).collect()
    }

    /// When the oldest reading was requested.
    pub fn oldest(&self) -> Option<Time> {
        self.read_at.values().copied().min()
    }
}
