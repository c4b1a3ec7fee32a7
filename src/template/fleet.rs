//! The configuration of a customer's fleet: a rendered template, checked for consistency.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::spread::Favour;
use crate::weight::Digest;

/// The whole of the requests. All shares are in percent.
pub const TOTAL_SHARE: u32 = 100;

/// A customer's fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Data halls that host it when it is not moving.
    pub side: Side,
    /// Progress of its move to other data halls.
    #[serde(default, rename = "move", skip_serializing_if = "Option::is_none")]
    pub relocation: Option<Relocation>,
    /// Models that it serves.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services that it calls.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits on its callers.
    #[serde(default)]
    pub limits: Limits,
}

/// Data halls that host a fleet when it is not moving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Side {
    /// Names of the data halls.
    pub halls: Vec<String>,
}

/// A move from [`Side::halls`] to other data halls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Relocation {
    /// Names of the data halls that the fleet moves to.
    pub to: Vec<String>,
    /// Stage of the move.
    pub stage: Stage,
    /// Percentage of the requests that go to the new side while the stage is `moving`.
    #[serde(default)]
    pub share: u32,
}

/// Stage of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The new side receives the weights and takes no requests.
    Prepared,
    /// Both sides hold the weights; the new one takes a share of the requests.
    Moving,
    /// The new side takes all requests; the old one releases its weights.
    Finished,
    /// The old side takes all requests again; the new one keeps its weights.
    TurnedBack,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name used by callers.
    pub name: String,
    /// Number of replicas in each data hall that hosts it.
    pub replicas: u32,
    /// Whether the distribution of its weights favours time or origin traffic.
    #[serde(default)]
    pub favour: Favour,
    /// Whether a request may run more than once.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Versions in use with their shares of the requests, the newest one last.
    pub versions: Vec<Version>,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Digest of its manifest.
    pub digest: Digest,
    /// Size of its weights in bytes, used for placement.
    pub bytes: u64,
    /// Percentage of the model's requests. With 0, the weights are placed but get no requests.
    #[serde(default = "full_share")]
    pub share: u32,
    /// Adapters placed with every replica of this version.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// An adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name used by callers.
    pub name: String,
    /// Digest of its manifest.
    pub digest: Digest,
    /// Size of its weights in bytes.
    pub bytes: u64,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name used by callers and in the list of boxes.
    pub name: String,
    /// Whether a call may run more than once.
    #[serde(default)]
    pub repeatable: bool,
}

/// Priority of a customer's requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// Limits on a customer's callers at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of concurrent requests.
    pub in_flight: u32,
    /// Default and highest allowed priority of requests.
    pub priority: Priority,
    /// Default deadline of requests, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight: 256,
            priority: Priority::Normal,
            deadline_ms: 30_000,
        }
    }
}

fn default_true() -> bool {
    true
}

fn full_share() -> u32 {
    TOTAL_SHARE
}

/// An inconsistency in a fleet.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Problem {
    /// No data hall is named.
    #[error("names no data hall; list at least one")]
    NoHalls,
    /// A data hall is named on both sides of a move.
    #[error("data hall `{hall}` is on both sides of the move; name it once")]
    BothSides {
        /// Name of the data hall.
        hall: String,
    },
    /// A share is over 100.
    #[error("share {share} is over 100")]
    Share {
        /// The given share.
        share: u32,
    },
    /// The shares of a model's versions do not sum to 100.
    #[error("the shares of model `{model}` sum to {sum}; make them 100")]
    ShareSum {
        /// Name of the model.
        model: String,
        /// The actual sum.
        sum: u32,
    },
    /// A name or digest is listed twice.
    #[error("`{name}` is listed twice; keep one")]
    Twice {
        /// The duplicate name or digest.
        name: String,
    },
    /// A model has no version.
    #[error("model `{model}` has no version; add a [[models.versions]]")]
    NoVersion {
        /// Name of the model.
        model: String,
    },
    /// A number is zero that must be positive.
    #[error("`{key}` is 0; give 1 or more")]
    Zero {
        /// Dotted path of the key.
        key: String,
    },
}

/// The dotted path of a key and its problem.
pub type Finding = (String, Problem);

impl Fleet {
    /// Checks the fleet for consistency.
    pub fn check(&self) -> Result<(), Finding> {
        self.check_halls()?;
        let mut names = BTreeSet::new();
        for model in &self.models {
            model.check()?;
            check_unique(&mut names, &model.name, "models")?;
        }
        for service in &self.services {
            check_unique(&mut names, &service.name, "services")?;
        }
        if self.limits.in_flight == 0 {
            return Err(zero_error("limits", "in_flight"));
        }
        if self.limits.deadline_ms == 0 {
            return Err(zero_error("limits", "deadline_ms"));
        }
        Ok(())
    }

    fn check_halls(&self) -> Result<(), Finding> {
        if self.side.halls.is_empty() {
            return Err(("side.halls".to_owned(), Problem::NoHalls));
        }
        let Some(relocation) = &self.relocation else {
            return Ok(());
        };
        if relocation.to.is_empty() {
            return Err(("move.to".to_owned(), Problem::NoHalls));
        }
        if relocation.share > TOTAL_SHARE {
            let share = relocation.share;
            return Err(("move.share".to_owned(), Problem::Share { share }));
        }
        match relocation
            .to
            .iter()
            .find(|hall| self.side.halls.contains(hall))
        {
            None => Ok(()),
            Some(hall) => Err((
                "move.to".to_owned(),
                Problem::BothSides { hall: hall.clone() },
            )),
        }
    }

    /// Data halls that must hold the weights at this stage of the move.
    pub fn placement_halls(&self) -> Vec<&str> {
        let old = self.side.halls.iter().map(String::as_str);
        let Some(relocation) = &self.relocation else {
            return old.collect();
        };
        let new = relocation.to.iter().map(String::as_str);
        match relocation.stage {
            Stage::Finished => new.collect(),
            Stage::Prepared | Stage::Moving | Stage::TurnedBack => old.chain(new).collect(),
        }
    }

    /// Data halls that serve the requests with the stable number `draw`, in `0..100`. While the share
    /// grows, requests move to the new side only, never back.
    pub fn serving_halls(&self, draw: u32) -> &[String] {
        let Some(relocation) = &self.relocation else {
            return &self.side.halls;
        };
        let moved = match relocation.stage {
            Stage::Prepared | Stage::TurnedBack => false,
            Stage::Moving => draw < relocation.share,
            Stage::Finished => true,
        };
        if moved {
            &relocation.to
        } else {
            &self.side.halls
        }
    }
}

impl Model {
    fn check(&self) -> Result<(), Finding> {
        let key = format!("models.{}", self.name);
        if self.replicas == 0 {
            return Err(zero_error(&key, "replicas"));
        }
        if self.versions.is_empty() {
            let model = self.name.clone();
            return Err((key, Problem::NoVersion { model }));
        }
        let mut digests = BTreeSet::new();
        for version in &self.versions {
            check_unique(&mut digests, &version.digest.to_string(), &key)?;
            if version.bytes == 0 {
                return Err(zero_error(&key, "bytes"));
            }
        }
        let sum = self.versions.iter().map(|version| version.share).sum();
        if sum != TOTAL_SHARE {
            let model = self.name.clone();
            return Err((key, Problem::ShareSum { model, sum }));
        }
        Ok(())
    }

    /// The version that serves the requests with the stable number `draw`, in `0..100`.
    pub fn version_for(&self, draw: u32) -> Option<&Version> {
        let mut upper = 0;
        // The newest version is listed last. Its range of numbers starts at 0, so that its requests
        // stay with it while its share grows.
        self.versions.iter().rev().find(|version| {
            upper += version.share;
            draw < upper
        })
    }
}

fn zero_error(table: &str, key: &str) -> Finding {
    let key = format!("{table}.{key}");
    (key.clone(), Problem::Zero { key })
}

fn check_unique(seen: &mut BTreeSet<String>, name: &str, key: &str) -> Result<(), Finding> {
    if seen.insert(name.to_owned()) {
        return Ok(());
    }
    let name = name.to_owned();
    Err((key.to_owned(), Problem::Twice { name }))
}
