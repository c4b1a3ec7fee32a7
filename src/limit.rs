//! Limits: what a target or a customer may have in progress, judged before any queue.

pub mod admission;
pub mod retry;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::template::fleet::Priority;
use crate::weight::Digest;

/// Weight of the newest measurement: one in this many.
const SMOOTHING: u32 = 16;

/// Requests that may wait at a target for each one that it works on.
const QUEUE_FACTOR: u32 = 4;

/// Requests that a target of unknown capacity may have.
const CAPACITY_UNKNOWN: u32 = 32;

/// The part of its deadline that a request may spend waiting, in hundredths.
fn patience(priority: Priority) -> u32 {
    match priority {
        Priority::Low => 25,
        Priority::Normal => 50,
        Priority::High => 90,
    }
}

/// The part of a target's queue that a priority may fill, in hundredths.
fn queue_share(priority: Priority) -> u32 {
    match priority {
        Priority::Low => 50,
        Priority::Normal => 80,
        Priority::High => 100,
    }
}

/// Why a request is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The queue is full for its priority.
    #[error("queue is full")]
    Full {
        /// When to come back.
        retry_after: Duration,
    },
    /// It could not be answered within its deadline.
    #[error("deadline cannot be met")]
    Deadline {
        /// When to come back.
        retry_after: Duration,
    },
    /// The customer has as many requests in progress as its limit allows.
    #[error("customer is at its limit of {limit} requests in progress")]
    Customer {
        /// The limit.
        limit: u32,
    },
}

/// What one target has in progress.
#[derive(Debug, Default)]
pub struct Target {
    capacity: u32,
    total: u32,
    by_version: BTreeMap<Digest, usize>,
    usual: Option<Duration>,
}

impl Target {
    /// Sets how many requests the target works on at once.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    fn capacity(&self) -> u32 {
        if self.capacity == 0 {
            CAPACITY_UNKNOWN
        } else {
            self.capacity
        }
    }

    /// Requests in progress.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Requests in progress on one version.
    pub fn on_version(&self, version: Digest) -> usize {
        self.by_version.get(&version).copied().unwrap_or(0)
    }

    /// Judges a request with `remaining` until its deadline.
    pub fn check(&self, priority: Priority, remaining: Duration) -> Result<(), Refusal> {
        let capacity = self.capacity();
        if self.total < capacity {
            return Ok(());
        }
        let waiting = self.total - capacity + 1;
        let usual = self.usual.unwrap_or_default();
        let wait = usual * waiting / capacity;
        if waiting > capacity * QUEUE_FACTOR * queue_share(priority) / 100 {
            return Err(Refusal::Full { retry_after: wait });
        }
        if wait > remaining * patience(priority) / 100 {
            return Err(Refusal::Deadline { retry_after: wait });
        }
        Ok(())
    }

    /// A request was handed to the target.
    pub fn begin(&mut self, version: Option<Digest>) {
        self.total += 1;
        if let Some(version) = version {
            *self.by_version.entry(version).or_default() += 1;
        }
    }

    /// A request ended; `took` if it ran to its end.
    pub fn end(&mut self, version: Option<Digest>, took: Option<Duration>) {
        self.total -= 1;
        if let Some(version) = version
            && let Some(count) = self.by_version.get_mut(&version)
        {
            *count -= 1;
            if *count == 0 {
                self.by_version.remove(&version);
            }
        }
        if let Some(took) = took {
            self.usual = Some(match self.usual {
                None => took,
                Some(usual) => (usual * (SMOOTHING - 1) + took) / SMOOTHING,
            });
        }
    }
}

/// What each customer has in progress at one entry.
#[derive(Debug, Default)]
pub struct Customers {
    in_flight: BTreeMap<Arc<str>, u32>,
}

impl Customers {
    /// Takes a request of `customer` within its limit.
    pub fn begin(&mut self, customer: &Arc<str>, limit: u32) -> Result<(), Refusal> {
        let count = self.in_flight.entry(customer.clone()).or_default();
        if *count >= limit {
            return Err(Refusal::Customer { limit });
        }
        *count += 1;
        Ok(())
    }

    /// A request of `customer` ended.
    pub fn end(&mut self, customer: &Arc<str>) {
        if let Some(count) = self.in_flight.get_mut(customer) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(customer);
            }
        }
    }

    /// Requests in progress of one customer.
    pub fn in_flight(&self, customer: &str) -> u32 {
        self.in_flight.get(customer).copied().unwrap_or(0)
    }
}
