//! Levels of sidecars: which urgencies they accept in their engines' queues. A request that all of
//! them exclude is refused without asking them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::dialect::{Code, Refusal};
use super::dispatch::Dispatch;
use crate::clock::Time;
use crate::limit::admission::{self, Input};
use crate::member::replica::Instance;
use crate::route::pool::Key;

/// Age from which a level is ignored: two or three iterations, after which others have ended.
const AGE_MAX: Duration = Duration::from_millis(300);

/// One in this many excluded requests asks sidecars nevertheless, since only an answer shows that a
/// level has risen.
const ASKING_DIVISOR: u32 = 8;

/// A level that a sidecar reported.
#[derive(Debug, Clone, Copy)]
struct Level {
    /// The highest urgency number that is accepted.
    highest: u8,
    at: Time,
}

/// The levels of the replicas' sidecars.
#[derive(Debug, Default)]
pub struct Levels {
    by_instance: BTreeMap<Instance, Level>,
    /// Requests that were excluded so far.
    excluded: u32,
}

impl Levels {
    /// Records the level that the sidecar of `instance` reported; `None` if it accepts all urgencies.
    pub fn record(&mut self, instance: Instance, level: Option<u8>, now: Time) {
        self.by_instance
            .retain(|_, level| now.since(level.at) < AGE_MAX);
        match level {
            Some(highest) => {
                let level = Level { highest, at: now };
                self.by_instance.insert(instance, level);
            }
            None => {
                self.by_instance.remove(&instance);
            }
        }
    }

    /// The level that excludes a request of `urgency` at all of `instances`, the highest of theirs;
    /// `None` if any may accept it, or if it is to ask nevertheless.
    pub fn excluding<'a>(
        &mut self,
        urgency: u8,
        instances: impl IntoIterator<Item = &'a Instance>,
        now: Time,
    ) -> Option<u8> {
        let mut highest = None;
        for instance in instances {
            let level = self.by_instance.get(instance)?;
            if now.since(level.at) >= AGE_MAX || urgency <= level.highest {
                return None;
            }
            highest = highest.max(Some(level.highest));
        }
        highest?;
        self.excluded = self.excluded.wrapping_add(1);
        highest.filter(|_| !self.excluded.is_multiple_of(ASKING_DIVISOR))
    }
}

impl Dispatch {
    /// Records the level in a sidecar's answer about the replica `key`.
    pub(super) fn record_level(&self, key: Key, level: Option<u8>, now: Time) {
        let instance = {
            let pool = self.gateway.pool.borrow();
            pool.get(key).map(|replica| replica.record.instance())
        };
        if let Some(instance) = instance {
            let mut levels = self.gateway.levels.borrow_mut();
            levels.record(instance, level, now);
        }
    }

    /// Refuses a request that the sidecars of all replicas in this hall are known to refuse for its
    /// urgency.
    pub(super) fn check_level(&mut self) -> Result<(), Refusal> {
        if self.was_attempted() {
            return Ok(());
        }
        let now = self.gateway.knowledge.now();
        let hall = &self.gateway.setting.identity.hall;
        let instances = {
            let pool = self.gateway.pool.borrow();
            self.with_query(&[], |query| pool.selectable_in(hall, query, now))
        };
        let level = {
            let mut levels = self.gateway.levels.borrow_mut();
            levels.excluding(self.job.priority, &instances, now)
        };
        let Some(level) = level else {
            return Ok(());
        };
        self.trace.level = Some(level);
        self.record_admission(false);
        let input = Input {
            elapsed: now.since(self.job.arrived),
            remaining: self.job.remaining(now),
            expected: None,
        };
        let detail = format!("replicas accept only requests of urgency {level} or higher");
        let retry_after = admission::overload_delay(input, self.limit());
        Err(Refusal::new(Code::Overload, detail).retry_after(retry_after))
    }
}
