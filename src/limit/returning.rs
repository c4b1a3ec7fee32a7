//! Who comes back after a refusal: a caller of whose usual time a part is gone already.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A deadline under this part of the usual one, in hundredths, is that of a caller who was away:
/// the shortest time that one is asked to stay away is a hundredth of the usual deadlines.
const WHOLE: u32 = 97;

/// Requests among which a whole deadline is sure to be, if callers still have that much time: with
/// half of them back from a refusal, all of 24 are once in ten million times.
const SAMPLE: u32 = 24;

/// How many times shorter than a route's timeout a first deadline may be to be taken for a rest of it.
const REST_MAX: u32 = 3;

/// The deadline that callers of one route usually have, as observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Deadlines {
    usual: Duration,
    longest: Duration,
    seen: u32,
}

impl Deadlines {
    /// Takes a request's deadline, where its route holds requests for `timeout`. Returns whether its
    /// caller has been away.
    pub fn note(&mut self, deadline: Duration, timeout: Duration) -> bool {
        if self.usual.is_zero() {
            // The first ones after a fault may all have been away.
            self.usual = if deadline * REST_MAX > timeout {
                deadline.max(timeout)
            } else {
                deadline
            };
        }
        self.longest = self.longest.max(deadline);
        self.seen += 1;
        if self.longest > self.usual || self.seen >= SAMPLE {
            *self = Self {
                usual: self.longest,
                ..Self::default()
            };
        }
        deadline < self.usual * WHOLE / 100
    }
}

/// The deadlines of all routes.
#[derive(Debug, Clone, Default)]
pub struct Table {
    routes: BTreeMap<Arc<str>, Deadlines>,
}

impl Table {
    /// Takes the deadline of a request on `route`, one of so many `routes`. Returns whether its
    /// caller has been away.
    pub fn note(
        &mut self,
        route: &Arc<str>,
        routes: usize,
        deadline: Duration,
        timeout: Duration,
    ) -> bool {
        if self.routes.len() > routes {
            // Some are of routes that are gone; the others are soon learnt again.
            self.routes.clear();
        }
        let known = self.routes.entry(route.clone()).or_default();
        known.note(deadline, timeout)
    }

    /// Routes that it remembers.
    pub fn remembered(&self) -> usize {
        self.routes.len()
    }
}
