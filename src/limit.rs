//! Limits on the requests that a target or a customer may have in progress, checked before any
//! queueing.

pub mod admission;
pub mod connection;
pub mod fair;
pub mod late;
pub mod memory;
pub mod overtime;
pub mod retry;
pub mod room;
pub mod size;
pub mod window;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::template::fleet::Priority;
use crate::weight::Digest;

/// The newest measurement enters the moving average with a weight of one in this many.
const SMOOTHING_DIVISOR: u32 = 16;

/// Queued requests allowed per request that a target processes concurrently.
const QUEUE_FACTOR: u32 = 4;

/// Capacity assumed for a target that has not declared one.
const DEFAULT_CAPACITY: u32 = 32;

/// Share of its remaining time that a request may spend in the queue, in percent.
fn wait_share_percent(priority: Priority) -> u32 {
    match priority {
        Priority::Low => 25,
        Priority::Normal => 50,
        Priority::High => 90,
    }
}

/// Share of a target's queue that a priority may fill, in percent.
fn queue_share_percent(priority: Priority) -> u32 {
    match priority {
        Priority::Low => 50,
        Priority::Normal => 80,
        Priority::High => 100,
    }
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The queue is full for the request's priority.
    #[error("queue is full")]
    Full {
        /// When to retry.
        retry_after: Duration,
    },
    /// The request could not be answered within its deadline.
    #[error("deadline cannot be met")]
    Deadline {
        /// When to retry.
        retry_after: Duration,
    },
    /// The customer has as many requests in progress as its limit allows.
    #[error("customer is at its limit of {limit} requests in progress")]
    Customer {
        /// The customer's limit.
        limit: u32,
    },
}

/// Requests in progress at one target.
#[derive(Debug, Default)]
pub struct Target {
    capacity: u32,
    total: u32,
    by_version: BTreeMap<Digest, usize>,
    latency: Option<Duration>,
}

impl Target {
    /// Sets how many requests the target processes concurrently.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    fn capacity(&self) -> u32 {
        if self.capacity == 0 {
            DEFAULT_CAPACITY
        } else {
            self.capacity
        }
    }

    /// Requests in progress or queued.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Requests in progress for one version.
    pub fn on_version(&self, version: Digest) -> usize {
        self.by_version.get(&version).copied().unwrap_or(0)
    }

    /// Checks whether a request with `remaining` time until its deadline may be admitted.
    pub fn check(&self, priority: Priority, remaining: Duration) -> Result<(), Refusal> {
        let capacity = self.capacity();
        if self.total < capacity {
            return Ok(());
        }
        let queued = self.total - capacity + 1;
        let latency = self.latency.unwrap_or_default();
        let wait = latency * queued / capacity;
        if queued > capacity * QUEUE_FACTOR * queue_share_percent(priority) / 100 {
            return Err(Refusal::Full { retry_after: wait });
        }
        if wait > remaining * wait_share_percent(priority) / 100 {
            return Err(Refusal::Deadline { retry_after: wait });
        }
        Ok(())
    }

    /// Counts a request that was handed to the target.
    pub fn begin(&mut self, version: Option<Digest>) {
        self.total += 1;
        if let Some(version) = version {
            *self.by_version.entry(version).or_default() += 1;
        }
    }

    /// Counts a request as ended; `took` is its duration if it ran to completion.
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
            self.latency = Some(match self.latency {
                None => took,
                Some(latency) => (latency * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR,
            });
        }
    }
}

/// Requests in progress of each customer at one entry.
#[derive(Debug, Default)]
pub struct Customers {
    in_flight: BTreeMap<Arc<str>, u32>,
}

impl Customers {
    /// Counts a request of `customer`, unless the customer is at its limit.
    pub fn begin(&mut self, customer: &Arc<str>, limit: u32) -> Result<(), Refusal> {
        let count = self.in_flight.entry(customer.clone()).or_default();
        if *count >= limit {
            return Err(Refusal::Customer { limit });
        }
        *count += 1;
        Ok(())
    }

    /// Counts a request of `customer` as ended.
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
