//! From whom an entry draws a configuration that it lacks, and when.
//!
//! A configuration may be long, and links between halls are narrow. So it is drawn from one process
//! at a time, from the own hall if that knows it, and from a second one only where the first is
//! slow. Heartbeats tell who knows it; none carries it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// How long one process may take before a second one is asked as well. In a hall of 14 entries a
/// packed document of 1,500 routes reaches the last in half of it.
const SLOW: Duration = Duration::from_millis(700);

/// Processes that are drawn from at once.
const AT_ONCE: usize = 2;

/// How long to wait before drawing from the hall's hub: entries that forward its news can usually
/// serve the configuration by then.
const NEAR_HUB: Duration = Duration::from_millis(400);

/// How long the entry that asks another hall for its own leaves a configuration to the store. The
/// hall's readers have 450 KB of it by then; a longer one crosses the link between two regions once
/// more, packed to a fifteenth.
const FAR: Duration = Duration::from_millis(300);

/// How long any other entry leaves it to those.
const FAR_LAST: Duration = Duration::from_millis(1_500);

/// Where a process stands that knows the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// In the own hall.
    Near,
    /// In the own hall, and it is the entry that sends frames to all others.
    NearHub,
    /// In another, and this entry is the one that asks there for its whole hall.
    FarForAll,
    /// In another.
    Far,
}

/// What is being drawn.
#[derive(Debug, Default)]
pub struct Draws {
    lacking: Option<Time>,
    from: BTreeMap<SocketAddr, Time>,
}

impl Draws {
    /// Whether to draw from `peer`, which knows a newer configuration, now. Then
    /// [`Draws::ended`] has to follow.
    pub fn begin(&mut self, peer: SocketAddr, place: Place, now: Time) -> bool {
        let lacking = *self.lacking.get_or_insert(now);
        let wait = match place {
            Place::Near => Duration::ZERO,
            Place::NearHub => NEAR_HUB,
            Place::FarForAll => FAR,
            Place::Far => FAR_LAST,
        };
        let slow = self.from.values().all(|began| now.since(*began) >= SLOW);
        let room = self.from.len() < AT_ONCE && slow;
        let begins = now.since(lacking) >= wait && room && !self.from.contains_key(&peer);
        if begins {
            self.from.insert(peer, now);
        }
        begins
    }

    /// A draw ended, with or without success.
    pub fn ended(&mut self, peer: SocketAddr) {
        self.from.remove(&peer);
    }

    /// A newer configuration was learned.
    pub fn learned(&mut self) {
        self.lacking = None;
    }
}
