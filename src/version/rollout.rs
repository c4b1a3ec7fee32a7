//! When each replica of a service changes to a newly named version, and what its process does next.
//!
//! A replica that changes takes nothing new for a while, so replicas change in waves. Every process
//! computes its own wave from the same list, and no wave waits for another: a process that died
//! delays nobody.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::policy::Policy;
use crate::spread::ring;
use crate::weight::Digest;

/// Time from the naming of a version until it is complete at the boxes, at the least: a copy over a
/// box's link (2.6 s at 7.3 Mbit/s), and [`PASSED_ON`].
const TRANSFER: Duration = Duration::from_millis(3_400);

/// Time that the last chunks take from the origin through relays to the boxes, and until boxes have
/// heard of the version and of its manifest.
const PASSED_ON: Duration = Duration::from_millis(800);

/// Time that a wave takes: an order took 0.3 to 1.7 s to be carried out, with what ran before it.
const WAVE: Duration = Duration::from_millis(1_200);

/// Settings of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Waves in which replicas change.
    pub waves: u32,
    /// Time after which no request may start on an older version.
    pub bound: Duration,
    /// Time before the bound at which the last wave begins, and from which on nothing is sent to a
    /// replica of an older version.
    pub margin: Duration,
    /// Time between the end of a transfer, as expected, and the last wave.
    pub spread: Duration,
    /// How long a process tells that its replica will change before it orders that.
    pub notice: Duration,
}

impl Setting {
    /// The settings where a version is due `bound` after it was named: replicas change in as many
    /// waves as there is time for, so that each takes few of them away, and in no fewer than by
    /// default.
    pub fn for_bound(bound: Duration, policy: Policy) -> Self {
        Self::due_after(TRANSFER, bound, policy)
    }

    /// The settings where a copy takes `copy` over the origin's link, if that is known: no wave is
    /// planned for before its weights can be there.
    pub fn with_transfer_time(self, copy: Option<Duration>, policy: Policy) -> Self {
        match copy.map(|copy| copy + PASSED_ON) {
            Some(transfer) if transfer > TRANSFER => Self::due_after(transfer, self.bound, policy),
            _ => self,
        }
    }

    fn due_after(transfer: Duration, bound: Duration, policy: Policy) -> Self {
        let default = Self::default();
        let spread = bound.saturating_sub(transfer + default.margin);
        let spread = spread.max(default.spread);
        let waves = match policy.waves {
            0 => 1 + (spread.as_millis() / WAVE.as_millis()) as u32,
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

/// A replica's place among its fellows: by a hash of version and name, so that each version begins
/// elsewhere and each hall has replicas in every wave.
pub fn wave(version: Digest, own: &str, fellows: &[&str], waves: u32) -> u32 {
    let own_score = (score(version, own), own);
    let before = fellows
        .iter()
        .filter(|name| **name != own && (score(version, name), **name) < own_score)
        .count();
    (before as u32) % waves.max(1)
}

/// The waves of all `fellows` at once.
pub fn assign_waves<'a>(
    version: Digest,
    fellows: impl Iterator<Item = &'a str>,
    waves: u32,
) -> BTreeMap<String, u32> {
    let mut ranked: Vec<(u64, &str)> = fellows.map(|name| (score(version, name), name)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    let placed = ranked.into_iter().enumerate();
    placed
        .map(|(place, (_, name))| (name.to_owned(), place as u32 % waves.max(1)))
        .collect()
}

fn score(version: Digest, name: &str) -> u64 {
    ring::score(version, &[b"wave", name.as_bytes()])
}

/// When a wave may begin, counted from when the version was named.
pub fn wave_start(setting: Setting, wave: u32) -> Duration {
    let last = setting.bound.saturating_sub(setting.margin);
    let steps = setting.waves.max(2) - 1;
    let wave = wave.min(steps);
    last.saturating_sub(setting.spread * (steps - wave) / steps)
}

/// When a wave may begin, counted from when the version was named, at a box that had the weights so
/// long after that: once all waves are behind their time, what is left is shared among them anew, or
/// all replicas would change at once.
pub fn wave_start_after(setting: Setting, wave: u32, complete: Duration) -> Duration {
    let last = setting.bound.saturating_sub(setting.margin);
    let spread = setting.spread.min(last.saturating_sub(complete));
    wave_start(Setting { spread, ..setting }, wave)
}

/// What a process knows of its replica and the wanted version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    /// The wanted version.
    pub desired: u64,
    /// When it was named.
    pub published_at: Time,
    /// The version that the replica holds.
    pub loaded: Option<u64>,
    /// Whether the replica carries an order out.
    pub busy: bool,
    /// Since when every chunk of the wanted version is here and verified, if that is so.
    pub complete_since: Option<Time>,
    /// The replica's wave.
    pub wave: u32,
    /// When the process began to tell that its replica will change.
    pub notice_since: Option<Time>,
}

/// What is next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the replica holds what is wanted, or is about to.
    Idle,
    /// Chunks are missing.
    Receive,
    /// The wave has not begun.
    AwaitWave,
    /// Tell that the replica will change.
    BeginNotice,
    /// The notice runs.
    AwaitNotice,
    /// Verify what is staged, and order the change.
    Order,
}

/// Decides what is next.
pub fn step(state: State, setting: Setting, now: Time) -> Step {
    if state.loaded.is_some_and(|held| held >= state.desired) || state.busy {
        return Step::Idle;
    }
    let Some(complete) = state.complete_since else {
        return Step::Receive;
    };
    if state.loaded.is_none() {
        // It serves nothing, so there is nobody to be told and nothing to wait for.
        return Step::Order;
    }
    if now.since(state.published_at) + setting.margin >= setting.bound {
        // Nobody sends it anything any more, so there is nobody to be told.
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
