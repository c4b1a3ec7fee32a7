//! Model versions: when a version may receive requests, and who may command an engine.
//!
//! A version is servable at a replica when every chunk is verified, the engine accepted the load
//! order under the current fence, and the engine itself reports the version as loaded.

pub mod fallback;
pub mod readback;
pub mod rollout;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::weight::Digest;

/// Time from the arrival of a replica's last chunk until the replica serves: staging, verification
/// and order, loading (0.36 to 0.4 s from the order to the engine's report), and the notification
/// of its entries.
pub const ACTIVATION_TIME: Duration = Duration::from_millis(600);

/// Fencing token of orders to an engine. A newer process outranks an older one, whatever revisions
/// they know.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Increases with each process that takes control of the engine.
    pub incarnation: u64,
    /// The configuration revision that the order is based on.
    pub revision: u64,
}

impl Fence {
    /// Returns the incarnation of a starting process. It is higher than any that the engine has
    /// seen, and no lower than the clock, since a restarted engine may have forgotten the fence.
    pub fn next_incarnation(highest_seen: Self, unix_millis: u64) -> u64 {
        unix_millis.max(highest_seen.incarnation + 1)
    }
}

/// State of a version, as reported by an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadState {
    /// Being loaded.
    Loading,
    /// Ready to serve.
    Loaded,
}

/// An engine's report about itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineState {
    /// The highest fence of any accepted order.
    pub highest_fence: Fence,
    /// The state of each version.
    pub versions: BTreeMap<Digest, LoadState>,
    /// Requests in progress.
    pub in_flight: u32,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// The fence under which it is given.
    pub fence: Fence,
    /// The requested operation.
    pub kind: OrderKind,
}

/// The operation of an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a version from `source`, a URL that returns all its bytes.
    Load {
        /// The version.
        digest: Digest,
        /// URL of its bytes.
        source: String,
        /// Its size in bytes.
        bytes: u64,
    },
    /// Unload a version.
    Unload {
        /// The version.
        digest: Digest,
    },
}

/// What the agent knows of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalState {
    /// Whether the configuration assigns it to this box.
    pub desired: bool,
    /// Whether every chunk is verified.
    pub complete: bool,
    /// Requests that this agent has in progress on it.
    pub in_flight: usize,
    /// Whether this process ordered the load and the engine accepted the order.
    pub ordered: bool,
}

/// An order to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Order the engine to load a version.
    Load(Digest),
    /// Order the engine to unload a version.
    Unload(Digest),
}

/// Whether a version may receive requests at this box.
pub fn servable(local: LocalState, load_state: Option<LoadState>) -> bool {
    local.desired && local.complete && local.ordered && load_state == Some(LoadState::Loaded)
}

/// Returns the orders that bring the engine to the desired state. Each new process orders a version
/// once even if the engine has loaded it already, so that the version is under the current fence.
pub fn plan(local_states: &BTreeMap<Digest, LocalState>, engine: &EngineState) -> Vec<Command> {
    let mut steps = Vec::new();
    for (&digest, local) in local_states {
        if local.desired && local.complete && !local.ordered {
            steps.push(Command::Load(digest));
        }
    }
    for &digest in engine.versions.keys() {
        let idle = local_states
            .get(&digest)
            .is_none_or(|local| !local.desired && local.in_flight == 0);
        if idle {
            steps.push(Command::Unload(digest));
        }
    }
    steps
}
