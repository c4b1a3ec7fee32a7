//! When a version may take requests, and who may order an engine.
//!
//! A replica is servable when every chunk is verified, the engine took the load order under the
//! present fence, and the engine itself reports that digest.

pub mod fallback;
pub mod rollout;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::weight::Digest;

/// Time from a replica's last chunk until it serves: staged, verified and ordered, taken in (0.36 to 0.4 s,
/// measured from the order to its report), and until its entries know.
pub const ACTIVATION_TIME: Duration = Duration::from_millis(600);

/// Ranks orders to an engine. A newer process outranks an older one whatever revision either knows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Grows with each process that takes charge of the engine.
    pub incarnation: u64,
    /// The configuration revision that the order follows from.
    pub revision: u64,
}

impl Fence {
    /// The incarnation of a starting process: above whatever the engine has seen, and above the
    /// clock's value, for an engine that was restarted too and remembers nothing.
    pub fn next_incarnation(highest_seen: Self, unix_millis: u64) -> u64 {
        unix_millis.max(highest_seen.incarnation + 1)
    }
}

/// What an engine reports of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadState {
    /// It is being loaded.
    Loading,
    /// It can serve.
    Loaded,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineState {
    /// The highest fence of any order it took.
    pub highest_fence: Fence,
    /// Its versions.
    pub versions: BTreeMap<Digest, LoadState>,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests it can work on at once.
    pub capacity: u32,
}

/// An order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// Under which fence it is given.
    pub fence: Fence,
    /// What is to be done.
    pub kind: OrderKind,
}

/// What an order is for.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a version from `source`, a URL that yields all its bytes.
    Load {
        /// The version.
        digest: Digest,
        /// Where its bytes are.
        source: String,
        /// How many there are.
        bytes: u64,
    },
    /// Let a version go.
    Unload {
        /// The version.
        digest: Digest,
    },
}

/// What the agent knows of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalState {
    /// Whether the configuration wants it on this box.
    pub desired: bool,
    /// Whether every chunk is verified.
    pub complete: bool,
    /// Requests that this agent has in progress on it.
    pub in_flight: usize,
    /// Whether this process ordered the load, and the engine took the order.
    pub ordered: bool,
}

/// What is to be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Order the engine to load a version.
    Load(Digest),
    /// Order the engine to let a version go.
    Unload(Digest),
}

/// Whether a version may take requests here.
pub fn servable(local: LocalState, residence: Option<LoadState>) -> bool {
    local.desired && local.complete && local.ordered && residence == Some(LoadState::Loaded)
}

/// The orders that bring the engine to what is wanted. A version that the engine holds already is
/// ordered once by each new process, so that it stands under the present fence.
pub fn plan(locals: &BTreeMap<Digest, LocalState>, engine: &EngineState) -> Vec<Command> {
    let mut steps = Vec::new();
    for (&digest, local) in locals {
        if local.desired && local.complete && !local.ordered {
            steps.push(Command::Load(digest));
        }
    }
    for &digest in engine.versions.keys() {
        let idle = locals
            .get(&digest)
            .is_none_or(|local| !local.desired && local.in_flight == 0);
        if idle {
            steps.push(Command::Unload(digest));
        }
    }
    steps
}
