//! The mechanisms of the policy that can be set apart, each with the value that was measured best.
//!
//! Programs take `--policy NAME=VALUE`, several times, so that what a mechanism is worth can be
//! measured by switching it off: 0 does that for each of them. docs/POLICY.md has the figures.

use std::time::Duration;

/// Why a policy cannot be set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no mechanism of that name.
    #[error("`{0}` is no mechanism; those are: {names}", names = names().collect::<Vec<_>>().join(", "))]
    Unknown(String),
    /// The value is no number that fits.
    #[error("`{0}` is not NAME=NUMBER, the number being whole and not negative")]
    Value(String),
}

/// The settings of all mechanisms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Entries take part in bursts as relays, because their links are wide.
    pub relays: bool,
    /// Processes beside replicas that are asked for a place before a request is judged.
    pub lease_requests: u32,
    /// Replicas whose cost is over the least by no more than this are as good: what is known of
    /// them is up to a second old, in which a replica takes some six requests.
    pub cost_tolerance: Duration,
    /// Whether the delay of a replica's link is part of its estimate.
    pub link_delay: bool,
    /// Cost of each taken slot: a fuller engine writes more slowly.
    pub slot_cost: Duration,
    /// Handicap of a replica in another hall.
    pub remote_penalty: Duration,
    /// Hundredths of the mean time in an engine's queue that are expected: whoever waits has to be
    /// in time mostly, not just on average.
    pub queue_spread: u32,
    /// Waves in which replicas change their version; 0 for as many as there is time for.
    pub waves: u32,
    /// Whether each sponsor of a burst begins with other chunks.
    pub chunk_order: bool,
    /// Whether nobody draws from the origin what a peer is drawing there.
    pub claims: bool,
    /// Whether few entries of a hall read the store for the others.
    pub few_readers: bool,
    /// Whether halls exchange digests, and agents tell their own hall only.
    pub digests: bool,
    /// Whether removals shortly after trouble of the store are doubted.
    pub removal_grace: bool,
    /// Whether a failed attempt is made again elsewhere.
    pub retries: bool,
    /// Whether a broken stream is taken up elsewhere.
    pub resume: bool,
    /// Whether processes beside replicas keep what streams bring, so that whoever reads them may change the connection.
    pub stream_buffering: bool,
    /// Hundredths of the limit within which the first event has to be expected.
    pub admit_percent: u32,
    /// Whether the limit is the tightest objective of a service for all kinds of request.
    pub shared_limit: bool,
    /// Hundredths of the limit for a request whose caller has been away already: those who come for
    /// the first time go first.
    pub retry_admit_percent: u32,
    /// Whether a refusal for want of weights tells when they are expected.
    pub retry_after_eta: bool,
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
            retry_after_eta: true,
        }
    }
}

impl Policy {
    /// The default with the given changes, each `NAME=NUMBER`.
    pub fn with<'a>(changes: impl IntoIterator<Item = &'a str>) -> Result<Self, Error> {
        let mut policy = Self::default();
        for change in changes {
            let wrong = || Error::Value(change.to_owned());
            let (name, value) = change.split_once('=').ok_or_else(wrong)?;
            policy.set(name, value.parse().map_err(|_| wrong())?)?;
        }
        Ok(policy)
    }

    fn set(&mut self, name: &str, value: u32) -> Result<(), Error> {
        let mut known = MECHANISMS.iter();
        let (_, set) = known
            .find(|(known, _)| *known == name)
            .ok_or_else(|| Error::Unknown(name.to_owned()))?;
        set(self, value);
        Ok(())
    }
}

/// Sets one mechanism.
type Set = fn(&mut Policy, u32);

/// The mechanisms by the names that `--policy` takes.
const MECHANISMS: [(&str, Set); 20] = [
    ("relays", |set, to| set.relays = to > 0),
    ("asks", |set, to| set.lease_requests = to),
    ("window-ms", |set, to| set.cost_tolerance = millis(to)),
    ("link-delay", |set, to| set.link_delay = to > 0),
    ("crowding-ms", |set, to| set.slot_cost = millis(to)),
    ("remote-ms", |set, to| set.remote_penalty = millis(to)),
    ("queue-spread", |set, to| set.queue_spread = to),
    ("waves", |set, to| set.waves = to),
    ("chunk-order", |set, to| set.chunk_order = to > 0),
    ("claims", |set, to| set.claims = to > 0),
    ("few-readers", |set, to| set.few_readers = to > 0),
    ("digests", |set, to| set.digests = to > 0),
    ("doubt", |set, to| set.removal_grace = to > 0),
    ("retries", |set, to| set.retries = to > 0),
    ("resume", |set, to| set.resume = to > 0),
    ("kept", |set, to| set.stream_buffering = to > 0),
    ("admit", |set, to| set.admit_percent = to),
    ("shared-limit", |set, to| set.shared_limit = to > 0),
    ("return-admit", |set, to| set.retry_admit_percent = to),
    ("named-return", |set, to| set.retry_after_eta = to > 0),
];

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

/// The names of all mechanisms.
pub fn names() -> impl Iterator<Item = &'static str> {
    MECHANISMS.iter().map(|(name, _)| *name)
}
