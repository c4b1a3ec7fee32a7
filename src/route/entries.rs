//! The entries that choose among the same replicas, each alone.
//!
//! A free place that a report shows is seen by all of them at once. So each place is meant for one of
//! them, dealt anew for every report by the part that each entry has of all requests.

use std::net::SocketAddr;

use crate::member::rank;

/// Rate of an entry that has no requests yet, in requests a second: it may have some soon.
const RATE_MIN: f64 = 1.0;

/// Most that others are taken to send for each request of this entry, for each of them.
const FACTOR_MAX: f64 = 3.0;

/// An entry and the rate of its requests, in requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// Where it listens to other processes of the system.
    pub address: SocketAddr,
    /// Its requests a second.
    pub rate: f64,
}

impl Entry {
    fn weight(&self) -> f64 {
        self.rate.max(RATE_MIN)
    }
}

/// This entry and the others.
#[derive(Debug, Clone, Default)]
pub struct Entries {
    own: Option<Entry>,
    others: Vec<Entry>,
}

impl Entries {
    /// The entry `own` among `others`.
    pub fn new(own: Entry, others: Vec<Entry>) -> Self {
        Self {
            own: Some(own),
            others,
        }
    }

    /// Requests that the others send for each one of this entry.
    pub fn factor(&self) -> f64 {
        let own = self.own.map_or(RATE_MIN, |own| own.weight());
        let others: f64 = self.others.iter().map(|entry| entry.rate).sum();
        (others / own).min(self.others.len() as f64 * FACTOR_MAX)
    }

    /// How many of `free` places that the report `number` of the replica at `address` shows are
    /// meant for this entry: its part of all requests, rounded so that all entries together have
    /// exactly `free`.
    pub fn share(&self, address: SocketAddr, number: u64, free: u32) -> u32 {
        let Some(own) = self.own else {
            return free;
        };
        let before = self.others.iter();
        let before = before.filter(|entry| entry.address < own.address);
        let before: f64 = before.map(Entry::weight).sum();
        let all: f64 = own.weight() + self.others.iter().map(Entry::weight).sum::<f64>();
        // The entries stand on a line, each as long as its part; every place is a point on it.
        let draw = rank::weight(address, &number.to_string()).0;
        let first = draw as f64 / u64::MAX as f64;
        let places_until = |length: f64| (f64::from(free) * length / all + first).floor();
        (places_until(before + own.weight()) - places_until(before)) as u32
    }
}
