//! The burst: which chunk a box draws next and from whom, and whom it serves.
//!
//! Everything here is pure. Time, randomness and events come in; typed actions go out. The edge
//! ([`crate::agent`]) carries them out over HTTP.
//!
//! * [`ring`] says who a box's neighbours and a version's sponsors are.
//! * [`swarm`] plans the downloads of one version at one box.
//! * [`upload`] schedules what a box sends to others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub mod bitmap;
pub mod ring;
pub mod swarm;
pub mod upload;

/// What a customer weighs more during a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Favour {
    /// The time until every box holds a servable replica.
    #[default]
    Time,
    /// The bytes drawn from the origin.
    OriginBytes,
}

/// Settings of the burst. The defaults are what docs/DESIGN.md's measurements led to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Neighbours in the box's own hall.
    pub hall_neighbours: usize,
    /// Neighbours anywhere.
    pub fleet_neighbours: usize,
    /// Most peers that a box follows at once, substitutes included.
    pub peers_max: usize,
    /// Chunks that a box draws at once.
    pub fetches_max: usize,
    /// Chunks that a box draws from one peer at once.
    pub peer_fetches_max: usize,
    /// Chunks that a sponsor draws from the origin at once; 0 if nothing is drawn there.
    pub origin_fetches_max: usize,
    /// Sponsors that draw from the origin in ordinary times.
    pub sponsors: usize,
    /// Further sponsors that stand by for one that falls silent.
    pub standbys: usize,
    /// Uploads that a relay serves at once: a member with a wide link and no engine of its own.
    pub relay_slots: usize,
    /// Relays of its hall that a box follows.
    pub relay_neighbours: usize,
    /// Uploads that share a box's link.
    pub upload_slots: usize,
    /// Uploads that may wait for a slot.
    pub upload_queue_max: usize,
    /// A peer that sent nothing for so long is passed over.
    pub peer_timeout: Duration,
    /// A fetch without a byte for so long is given up, unless fetches are slower on the whole.
    pub stall: Duration,
    /// A fetch from the origin without a byte for so long is given up. All that draw share its link:
    /// forty of them get a chunk of 24 KB every 1.8 s at 4.4 Mbit/s, and what is dropped meanwhile is
    /// drawn twice.
    pub origin_stall: Duration,
    /// How long a chunk takes from the origin while all sponsors draw; zero if that is not known.
    pub origin_fetch: Duration,
    /// How long unseen chunks are left to their sponsors before other boxes step in.
    pub sponsor_wait: Duration,
    /// How long a peer that sent a bad chunk is passed over, doubled each time.
    pub penalty: Duration,
    /// An unseen chunk is left to its sponsor for this many usual fetches at least.
    pub sponsor_wait_fetches: u32,
    /// A sponsor that has drawn its part takes over what others have not: after so long where it is
    /// the next in a chunk's order, after as long again where it is the next but one, and so on.
    pub takeover_interval: Duration,
    /// Longest pause between two tries at an origin that fails.
    pub origin_pause_max: Duration,
    /// How long a box that joins waits for peers to tell what they hold before it draws from the
    /// origin.
    pub settle: Duration,
    /// Whether it waits for so long even if all its peers have spoken.
    pub settle_fully: bool,
    /// Whether each chunk enters a hall through one box of it, because bytes between halls are
    /// dear. The others of the hall wait for that box for as long as for a sponsor.
    pub import_once: bool,
    /// Whether each sponsor begins with other chunks.
    pub staggered_order: bool,
    /// Whether nobody draws from the origin what a peer is drawing there.
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
            stall: Duration::from_millis(1_000),
            origin_stall: Duration::from_millis(2_500),
            origin_fetch: Duration::ZERO,
            sponsor_wait: Duration::from_millis(1_500),
            penalty: Duration::from_millis(500),
            sponsor_wait_fetches: 10,
            takeover_interval: Duration::from_millis(500),
            origin_pause_max: Duration::from_secs(2),
            settle: Duration::ZERO,
            settle_fully: false,
            import_once: false,
            staggered_order: true,
            claims: true,
        }
    }
}

impl Setting {
    /// Settings for a few halls of a few boxes each, with dear bytes between halls: everyone
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
            origin_pause_max: Duration::from_millis(400),
            settle: Duration::from_millis(300),
            ..Self::default()
        }
    }

    /// The settings where the origin's link carries a chunk in `chunk`.
    pub fn with_origin_chunk(self, chunk: Duration) -> Self {
        Self {
            origin_fetch: chunk * (self.sponsors + self.standbys) as u32,
            ..self
        }
    }

    /// The settings of a relay, instead of those of the boxes around it.
    pub fn for_relay(self) -> Self {
        Self {
            upload_slots: self.relay_slots,
            upload_queue_max: self.relay_slots,
            fetches_max: 2 * self.fetches_max,
            ..self
        }
    }

    /// The settings under a favour: origin bytes are spared by waiting longer before a second
    /// box draws what a sponsor may still bring.
    pub fn favouring(self, favour: Favour) -> Self {
        match favour {
            Favour::Time => self,
            Favour::OriginBytes => Self {
                sponsor_wait: self.sponsor_wait * 3,
                ..self
            },
        }
    }
}
