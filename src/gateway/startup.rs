//! Requests that arrive before the process knows its configuration.
//!
//! After a loss of all power, callers come back as soon as an entry accepts connections, and most of
//! them try only once more. A refusal while the configuration is still on its way would be final for
//! them, so their requests wait for it.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;

use super::Gateway;
use crate::config::routing::Routing;

/// Time after its start in which an entry expects its configuration: a peer or the store answers
/// within half of it. If none does, requests are refused at once.
const STARTUP_TIME: Duration = Duration::from_secs(1);

/// Part of its time that a request may wait, so that enough is left to serve it.
const WAIT_DIVISOR: u32 = 4;

/// Requests that wait at a time. Only their heads have been read.
const WAITING_MAX: u32 = 256;

/// Returns how long a request with `remaining` time may wait for the configuration at a process that
/// started `uptime` ago and has `waiting` other requests that wait.
pub fn wait(uptime: Duration, remaining: Duration, waiting: u32) -> Duration {
    if waiting >= WAITING_MAX {
        return Duration::ZERO;
    }
    STARTUP_TIME
        .saturating_sub(uptime)
        .min(remaining / WAIT_DIVISOR)
}

/// What an entry may lack to be ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// The configuration.
    Configuration,
    /// The list of replicas, or any part of it.
    Replicas,
}

/// All that an entry may lack.
pub const MISSING: [Missing; 2] = [Missing::Configuration, Missing::Replicas];

impl Missing {
    /// Its name in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Replicas => "replicas",
        }
    }
}

/// Counts a waiting request until it is dropped.
struct Waiting<'a>(&'a Gateway);

impl<'a> Waiting<'a> {
    fn begin(gateway: &'a Gateway) -> Self {
        gateway.unconfigured.set(gateway.unconfigured.get() + 1);
        Self(gateway)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.unconfigured.set(self.0.unconfigured.get() - 1);
    }
}

impl Gateway {
    fn is_configured(&self) -> bool {
        self.knowledge.catalog.borrow().can_route()
    }

    /// What the process lacks to be ready, since its start.
    pub fn missing(&self) -> Vec<Missing> {
        let catalog = self.knowledge.catalog.borrow();
        let is_missing = |missing: &Missing| match missing {
            Missing::Configuration => catalog.routing().is_none(),
            Missing::Replicas => !catalog.knows_replicas(),
        };
        MISSING.into_iter().filter(is_missing).collect()
    }

    /// Logs and records what the process lacks to be ready, and for how long.
    pub(super) fn report_missing(&self) {
        let missing = self.missing();
        let waited = self.knowledge.now().since(self.began);
        self.instruments.set_missing(&missing, waited);
        if missing.is_empty() {
            if self.unready.end().is_some() {
                log::info!(waited_ms = waited.as_millis() as u64; "ready");
            }
        } else if self.unready.count().is_some() {
            let missing: Vec<&str> = missing.into_iter().map(Missing::name).collect();
            log::warn!(missing:? = missing, waited_ms = waited.as_millis() as u64; "not ready");
        }
    }

    /// The current configuration, for a request with `remaining` time. Shortly after the start of the
    /// process, waits until it and the list of replicas are known.
    pub(super) async fn routing(&self, remaining: Duration) -> Option<Rc<Routing>> {
        let uptime = self.knowledge.now().since(self.began);
        let wait = wait(uptime, remaining, self.unconfigured.get());
        if !self.is_configured() && self.setting.policy.late && !wait.is_zero() {
            let _waiting = Waiting::begin(self);
            let mut changed = self.knowledge.changed.subscribe();
            let arrival = async {
                // The sender is not dropped, because `knowledge` owns it.
                while !self.is_configured() && changed.changed().await.is_ok() {}
            };
            let arrived = timeout(wait, arrival).await.is_ok();
            log::info!(arrived, wait_ms = wait.as_millis() as u64; "request waited for the configuration");
        }
        self.knowledge.catalog.borrow().routing().cloned()
    }
}
