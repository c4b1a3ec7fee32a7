//! Scheduling of a burst: which chunk a box fetches next and from which source, and which uploads
//! it serves.
//!
//! This module does no I/O. Time, randomness and events are passed in, and it returns typed
//! actions. [`crate::burst`] carries them out over HTTP.
//!
//! * [`ring`] selects the neighbours of a box and the sponsors of a version.
//! * [`swarm`] plans the downloads of one version on one box.
//! * [`upload`] schedules the chunks that a box sends to others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub mod bitmap;
pub mod ring;
pub mod swarm;
pub mod upload;

/// What a customer wants minimized during a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Favour {
    /// Time until every box holds a servable replica.
    #[default]
    Time,
    /// Bytes fetched from the origin.
    OriginBytes,
}

/// Settings of a burst. docs/DESIGN.md explains the defaults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Number of neighbours in the box's own hall.
    pub hall_neighbours: usize,
    /// Number of neighbours in the whole fleet.
    pub fleet_neighbours: usize,
    /// Maximum number of peers that a box follows, substitutes included.
    pub peers_max: usize,
    /// Maximum number of concurrent fetches of a box.
    pub fetches_max: usize,
    /// Maximum number of concurrent fetches from one peer.
    pub peer_fetches_max: usize,
    /// Maximum number of concurrent fetches of a sponsor from the origin; 0 disables them.
    pub origin_fetches_max: usize,
    /// Number of sponsors that fetch from the origin in normal operation.
    pub sponsors: usize,
    /// Number of further sponsors that replace unresponsive ones.
    pub standbys: usize,
    /// Upload slots of a relay, a member with a fast link and no engine of its own.
    pub relay_slots: usize,
    /// Number of relays of its hall that a box follows.
    pub relay_neighbours: usize,
    /// Number of uploads that share the link of a box.
    pub upload_slots: usize,
    /// Maximum number of uploads that wait for a slot.
    pub upload_queue_max: usize,
    /// A peer that has sent nothing for this long is not used.
    pub peer_timeout: Duration,
    /// A fetch that receives no bytes for this long is cancelled. The limit is longer while fetches
    /// take long on average.
    pub stall_timeout: Duration,
    /// A fetch from the origin that receives no bytes for this long is cancelled. All fetches share
    /// the origin's link: with 40 of them at 4.4 Mbit/s, a chunk of 24 KB takes 1.8 s, and
    /// cancelling one earlier only means fetching it twice.
    pub origin_stall_timeout: Duration,
    /// Expected time to fetch a chunk from the origin while all sponsors do so; zero if unknown.
    pub origin_fetch_time: Duration,
    /// How long chunks that no peer holds are left to their sponsors before other boxes fetch them.
    pub sponsor_wait: Duration,
    /// How long a peer is not used after a corrupt chunk or a failed or stalled fetch. Doubles each
    /// time.
    pub penalty: Duration,
    /// Lower bound for `sponsor_wait`, as a multiple of the average fetch time.
    pub sponsor_wait_fetches: u32,
    /// A sponsor that has fetched its own share also fetches the chunks of others: after this
    /// interval those for which it is the second sponsor, after two intervals those for which it is
    /// the third, and so on.
    pub takeover_interval: Duration,
    /// Maximum delay between two attempts to fetch from a failing origin.
    pub origin_backoff_max: Duration,
    /// How long a joining box waits for its peers to announce their chunks before it fetches from
    /// the origin.
    pub settle: Duration,
    /// Whether it waits for the full time even if all its peers have answered.
    pub settle_fully: bool,
    /// Whether each chunk enters a hall through a single box, because traffic between halls is
    /// expensive. The other boxes of the hall wait for that box as long as for a sponsor.
    pub import_once: bool,
    /// Whether each sponsor starts at a different chunk.
    pub staggered_order: bool,
    /// Whether a chunk that a peer is fetching from the origin is left to that peer.
    pub claims: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            hall_neighbours: 8,
            fleet_neighbours: 6,
            peers_max: 24,
            fetches_max: 4,
            peer_fetches_max: 1,
            origin_fetches_max: 1,
            sponsors: 8,
            standbys: 2,
            relay_slots: 24,
            relay_neighbours: 4,
            upload_slots: 2,
            upload_queue_max: 2,
            peer_timeout: Duration::from_millis(1_500),
            stall_timeout: Duration::from_millis(1_000),
            origin_stall_timeout: Duration::from_millis(2_500),
            origin_fetch_time: Duration::ZERO,
            sponsor_wait: Duration::from_millis(1_500),
            penalty: Duration::from_millis(500),
            sponsor_wait_fetches: 10,
            takeover_interval: Duration::from_millis(500),
            origin_backoff_max: Duration::from_secs(2),
            settle: Duration::ZERO,
            settle_fully: false,
            import_once: false,
            staggered_order: true,
            claims: true,
        }
    }
}

impl Setting {
    /// Returns the settings for a few small halls with expensive traffic between them. Each box
    /// follows its whole hall.
    pub fn for_few_halls() -> Self {
        Self {
            hall_neighbours: 16,
            fleet_neighbours: 6,
            peers_max: 32,
            import_once: true,
            sponsor_wait: Duration::from_millis(500),
            sponsor_wait_fetches: 3,
            takeover_interval: Duration::from_millis(200),
            fetches_max: 2,
            origin_backoff_max: Duration::from_millis(400),
            settle: Duration::from_millis(300),
            ..Self::default()
        }
    }

    /// Returns the settings for an origin whose link transfers a chunk in `chunk_time`.
    pub fn with_origin_chunk_time(self, chunk_time: Duration) -> Self {
        Self {
            origin_fetch_time: chunk_time * (self.sponsors + self.standbys) as u32,
            ..self
        }
    }

    /// Returns the settings of a relay, derived from those of the boxes around it.
    pub fn for_relay(self) -> Self {
        Self {
            upload_slots: self.relay_slots,
            upload_queue_max: self.relay_slots,
            fetches_max: 2 * self.fetches_max,
            ..self
        }
    }

    /// Returns the settings for `favour`. To save bytes from the origin, boxes wait longer before
    /// they fetch a chunk that a sponsor may still deliver.
    pub fn with_favour(self, favour: Favour) -> Self {
        match favour {
            Favour::Time => self,
            Favour::OriginBytes => Self {
                sponsor_wait: self.sponsor_wait * 3,
                ..self
            },
        }
    }
}
