//! Policy settings that can be changed one by one, and their defaults.
//!
//! Programs take `--policy NAME=VALUE`, repeatedly. A value of 0 switches any setting off, so that
//! its effect can be measured. docs/POLICY.md has the figures.

use std::time::Duration;

/// Why a policy setting is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no setting of that name.
    #[error("unknown policy setting `{0}`; known settings: {names}", names = names().collect::<Vec<_>>().join(", "))]
    Unknown(String),
    /// The value is not a number in range.
    #[error("`{0}` is not of the form NAME=NUMBER with a non-negative whole number")]
    Value(String),
}

/// All policy settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether entries take part in bursts as relays, since they have fast links.
    pub relays: bool,
    /// Number of sidecars that are asked for a lease before a request is evaluated.
    pub lease_requests: u32,
    /// Replicas whose cost exceeds the lowest by no more than this are treated as equal: what is
    /// known of them is up to a second old, in which a replica takes about six requests.
    pub cost_tolerance: Duration,
    /// Whether the delay of a replica's link is part of its estimate.
    pub link_delay: bool,
    /// Cost of each taken slot, since a fuller engine decodes more slowly.
    pub slot_cost: Duration,
    /// Cost of a replica in another hall.
    pub remote_penalty: Duration,
    /// Factor on the mean queueing time, in percent. Above 100, since a queued request has to be in
    /// time mostly, not just on average.
    pub queue_spread: u32,
    /// Number of waves in which replicas change their version; 0 for as many as fit into the time.
    pub waves: u32,
    /// Whether each sponsor of a burst starts with different chunks.
    pub chunk_order: bool,
    /// Whether a process leaves a chunk that a peer is already fetching from the origin to that
    /// peer.
    pub claims: bool,
    /// Whether a few entries of a hall read the store for the others.
    pub few_readers: bool,
    /// Whether halls exchange digests, and agents report to their own hall only.
    pub digests: bool,
    /// Whether removals shortly after a failure of the store are provisional.
    pub removal_grace: bool,
    /// Whether a failed attempt is repeated on another replica.
    pub retries: bool,
    /// Whether a broken stream is resumed on another replica.
    pub resume: bool,
    /// Whether sidecars buffer streams, so that a reader can continue on another connection.
    pub stream_buffering: bool,
    /// Share of the limit within which the first event has to be expected, in percent.
    pub admit_percent: u32,
    /// Whether all kinds of request of a service share the limit of its tightest objective.
    pub shared_limit: bool,
    /// Share of the limit for a retry, in percent. It is lower, so that first tries go first.
    pub retry_admit_percent: u32,
    /// Whether requests of all sizes of a kind are admitted alike.
    pub fair_sizes: bool,
    /// Whether a refusal because of missing weights states when they are expected.
    pub retry_after_eta: bool,
    /// Whether groups of requests of one urgency get fair shares of a replica.
    pub fair_shares: bool,
    /// Whether retries that find no capacity are held and served late.
    pub late: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            relays: true,
            lease_requests: 3,
            cost_tolerance: Duration::from_millis(30),
            link_delay: true,
            slot_cost: Duration::from_millis(3),
            remote_penalty: Duration::from_millis(60),
            queue_spread: 130,
            waves: 0,
            chunk_order: true,
            claims: true,
            few_readers: true,
            digests: true,
            removal_grace: true,
            retries: true,
            resume: true,
            stream_buffering: true,
            admit_percent: 100,
            shared_limit: true,
            retry_admit_percent: 25,
            fair_sizes: true,
            retry_after_eta: true,
            fair_shares: false,
            late: true,
        }
    }
}

impl Policy {
    /// Returns the default with `changes`, each as `NAME=NUMBER`.
    pub fn with<'a>(changes: impl IntoIterator<Item = &'a str>) -> Result<Self, Error> {
        let mut policy = Self::default();
        for change in changes {
            let invalid = || Error::Value(change.to_owned());
            let (name, value) = change.split_once('=').ok_or_else(invalid)?;
            policy.set(name, value.parse().map_err(|_| invalid())?)?;
        }
        Ok(policy)
    }

    fn set(&mut self, name: &str, value: u32) -> Result<(), Error> {
        let mut known = SETTINGS.iter();
        let (_, set) = known
            .find(|(known, _)| *known == name)
            .ok_or_else(|| Error::Unknown(name.to_owned()))?;
        set(self, value);
        Ok(())
    }
}

/// Sets one setting.
type Set = fn(&mut Policy, u32);

/// Settings by their names for `--policy`.
const SETTINGS: [(&str, Set); 23] = [
    ("relays", |p, value| p.relays = value > 0),
    ("asks", |p, value| p.lease_requests = value),
    ("window-ms", |p, value| p.cost_tolerance = millis(value)),
    ("link-delay", |p, value| p.link_delay = value > 0),
    ("crowding-ms", |p, value| p.slot_cost = millis(value)),
    ("remote-ms", |p, value| p.remote_penalty = millis(value)),
    ("queue-spread", |p, value| p.queue_spread = value),
    ("waves", |p, value| p.waves = value),
    ("chunk-order", |p, value| p.chunk_order = value > 0),
    ("claims", |p, value| p.claims = value > 0),
    ("few-readers", |p, value| p.few_readers = value > 0),
    ("digests", |p, value| p.digests = value > 0),
    ("doubt", |p, value| p.removal_grace = value > 0),
    ("retries", |p, value| p.retries = value > 0),
    ("resume", |p, value| p.resume = value > 0),
    ("kept", |p, value| p.stream_buffering = value > 0),
    ("admit", |p, value| p.admit_percent = value),
    ("shared-limit", |p, value| p.shared_limit = value > 0),
    ("return-admit", |p, value| p.retry_admit_percent = value),
    ("fair-sizes", |p, value| p.fair_sizes = value > 0),
    ("named-return", |p, value| p.retry_after_eta = value > 0),
    ("fair-shares", |p, value| p.fair_shares = value > 0),
    ("late", |p, value| p.late = value > 0),
];

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

/// Names of all settings.
pub fn names() -> impl Iterator<Item = &'static str> {
    SETTINGS.iter().map(|(name, _)| *name)
}
