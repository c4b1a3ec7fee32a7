//! Rollout of a newly published version: when each replica of a service switches to it, and what
//! its process does next.
//!
//! A switching replica accepts no new requests for a while, so replicas switch in waves. Every
//! process computes its own wave from the same list, and no wave waits for another, so a failed
//! process delays nobody.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::policy::Policy;
use crate::spread::ring;
use crate::weight::Digest;

/// Minimum time from the publication of a version until it is complete at the boxes: a copy over a
/// box's link (2.6 s at 7.3 Mbit/s) and [`PROPAGATION_TIME`].
const TRANSFER_TIME_MIN: Duration = Duration::from_millis(3_400);

/// Time until boxes have learned of the version and its manifest, and until the last chunks have
/// passed from the origin through relays to the boxes.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);

/// Duration of a wave: an order takes 0.3 to 1.7 s, including the requests that are still running.
const WAVE_DURATION: Duration = Duration::from_millis(1_200);

/// Settings of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Number of waves in which replicas switch.
    pub waves: u32,
    /// Staleness bound: time after which no request may start on an older version.
    pub bound: Duration,
    /// Time before the bound at which the last wave starts. From then on replicas of older versions
    /// receive no requests.
    pub margin: Duration,
    /// Time between the expected end of the transfer and the last wave.
    pub spread: Duration,
    /// How long a process announces the switch of its replica before ordering it.
    pub notice: Duration,
}

impl Setting {
    /// Returns the settings for a version that is due `bound` after its publication. Unless
    /// `policy` sets the number of waves, replicas switch in as many as there is time for, so that
    /// few of them are away at once, and in no fewer than by default.
    pub fn for_bound(bound: Duration, policy: Policy) -> Self {
        Self::with_min_transfer(TRANSFER_TIME_MIN, bound, policy)
    }

    /// Adjusts the settings to the time that a copy takes over the origin's link, if known, so that
    /// no wave is planned before the weights can have arrived.
    pub fn with_transfer_time(self, copy_time: Option<Duration>, policy: Policy) -> Self {
        match copy_time.map(|copy_time| copy_time + PROPAGATION_TIME) {
            Some(transfer) if transfer > TRANSFER_TIME_MIN => {
                Self::with_min_transfer(transfer, self.bound, policy)
            }
            _ => self,
        }
    }

    fn with_min_transfer(transfer: Duration, bound: Duration, policy: Policy) -> Self {
        let default = Self::default();
        let spread = bound.saturating_sub(transfer + default.margin);
        let spread = spread.max(default.spread);
        let waves = match policy.waves {
            0 => 1 + (spread.as_millis() / WAVE_DURATION.as_millis()) as u32,
            set => set,
        };
        Self {
            waves,
            bound,
            spread,
            ..default
        }
    }
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            waves: 4,
            bound: Duration::from_millis(8_000),
            margin: Duration::from_millis(1_000),
            spread: Duration::from_millis(3_600),
            notice: Duration::from_millis(250),
        }
    }
}

/// Returns a replica's wave. Replicas are ranked by a hash of version and name, so that each
/// version starts with other replicas and each hall has replicas in every wave.
pub fn wave(version: Digest, own: &str, replicas: &[&str], waves: u32) -> u32 {
    let own_score = (score(version, own), own);
    let rank = replicas
        .iter()
        .filter(|name| **name != own && (score(version, name), **name) < own_score)
        .count();
    (rank as u32) % waves.max(1)
}

/// Returns the waves of all `replicas`.
pub fn assign_waves<'a>(
    version: Digest,
    replicas: impl Iterator<Item = &'a str>,
    waves: u32,
) -> BTreeMap<String, u32> {
    let mut ranked: Vec<(u64, &str)> = replicas.map(|name| (score(version, name), name)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    let indexed = ranked.into_iter().enumerate();
    indexed
        .map(|(rank, (_, name))| (name.to_owned(), rank as u32 % waves.max(1)))
        .collect()
}

fn score(version: Digest, name: &str) -> u64 {
    ring::score(version, &[b"wave", name.as_bytes()])
}

/// Returns when a wave may start, counted from the publication of the version.
pub fn wave_start(setting: Setting, wave: u32) -> Duration {
    let last = setting.bound.saturating_sub(setting.margin);
    let steps = setting.waves.max(2) - 1;
    let wave = wave.min(steps);
    last.saturating_sub(setting.spread * (steps - wave) / steps)
}

/// Returns when a wave may start, counted from the publication of the version, at a box whose copy
/// was complete after `complete`. If that is late, the waves are spread over the remaining time;
/// otherwise overdue replicas would all switch at once.
pub fn wave_start_after(setting: Setting, wave: u32, complete: Duration) -> Duration {
    let last = setting.bound.saturating_sub(setting.margin);
    let spread = setting.spread.min(last.saturating_sub(complete));
    wave_start(Setting { spread, ..setting }, wave)
}

/// What a process knows of its replica and the desired version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    /// The desired version.
    pub desired: u64,
    /// When the desired version was published.
    pub published_at: Time,
    /// The version that the replica has loaded.
    pub loaded: Option<u64>,
    /// Whether the replica is executing an order.
    pub busy: bool,
    /// Since when every chunk of the desired version is stored and verified here, if so.
    pub complete_since: Option<Time>,
    /// The replica's wave.
    pub wave: u32,
    /// Since when the process has announced the switch.
    pub notice_since: Option<Time>,
}

/// The next step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do: the replica has the desired version or is executing an order.
    Idle,
    /// Chunks are missing.
    Receive,
    /// The wave has not started.
    AwaitWave,
    /// Announce the switch.
    BeginNotice,
    /// The announcement has not been out long enough.
    AwaitNotice,
    /// Verify the staged copy and order the switch.
    Order,
}

/// Returns the next step.
pub fn step(state: State, setting: Setting, now: Time) -> Step {
    if state.loaded.is_some_and(|loaded| loaded >= state.desired) || state.busy {
        return Step::Idle;
    }
    let Some(complete) = state.complete_since else {
        return Step::Receive;
    };
    if state.loaded.is_none() {
        // It serves nothing, so there is no one to notify and nothing to wait for.
        return Step::Order;
    }
    if now.since(state.published_at) + setting.margin >= setting.bound {
        // It receives no requests any more, so there is no one to notify.
        return Step::Order;
    }
    let complete = complete.since(state.published_at);
    if now.since(state.published_at) + setting.notice
        < wave_start_after(setting, state.wave, complete)
    {
        return Step::AwaitWave;
    }
    match state.notice_since {
        None => Step::BeginNotice,
        Some(since) if now.since(since) < setting.notice => Step::AwaitNotice,
        Some(_) => Step::Order,
    }
}
