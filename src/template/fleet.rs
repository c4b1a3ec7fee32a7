//! What a customer's fleet should carry: a template with its values filled in, checked as a whole.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::spread::Favour;
use crate::weight::Digest;

/// All shares are in hundredths.
pub const TOTAL_SHARE: u32 = 100;

/// A customer's fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The data halls that carry it.
    pub side: Side,
    /// How far it has moved to other data halls.
    #[serde(default, rename = "move", skip_serializing_if = "Option::is_none")]
    pub relocation: Option<Move>,
    /// The models that it carries.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The plain services that it calls.
    #[serde(default)]
    pub services: Vec<Service>,
    /// What its callers may use.
    #[serde(default)]
    pub limits: Limits,
}

/// The data halls that carry a fleet when it is not moving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Side {
    /// Names of data halls.
    pub halls: Vec<String>,
}

/// A move from [`Side::halls`] to other data halls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Names of the data halls that it moves to.
    pub to: Vec<String>,
    /// How far it has gone.
    pub stage: Stage,
    /// Hundredths of the requests that go to the new side while the stage is `moving`.
    #[serde(default)]
    pub share: u32,
}

/// The stages of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The new side receives weights and takes no requests.
    Prepared,
    /// Both sides hold the weights; the new one takes a share of the requests.
    Moving,
    /// The new side takes all requests; the old one lets its weights go.
    Finished,
    /// The old side takes all requests again; the new one keeps its weights.
    TurnedBack,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use.
    pub name: String,
    /// Replicas in each data hall that carries it.
    pub replicas: u32,
    /// What weighs more while its weights spread.
    #[serde(default)]
    pub favour: Favour,
    /// Whether a request may run twice.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// The versions that are in use, with the share of requests of each.
    pub versions: Vec<Version>,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Digest of its manifest.
    pub digest: Digest,
    /// Bytes of its weights, for placement.
    pub bytes: u64,
    /// Hundredths of the model's requests. 0 places the weights without requests.
    #[serde(default = "whole")]
    pub share: u32,
    /// Adapters that every replica of this version carries.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// An adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name that callers use.
    pub name: String,
    /// Digest of its manifest.
    pub digest: Digest,
    /// Bytes of its weights.
    pub bytes: u64,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that callers and the box list use.
    pub name: String,
    /// Whether a call may run twice.
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
    /// The usual.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// What a customer's callers may use at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that may be in progress at once.
    pub in_flight: u32,
    /// Priority of requests that state none, and the highest they may state.
    pub priority: Priority,
    /// Deadline of a request that states none, in milliseconds.
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

fn yes() -> bool {
    true
}

fn whole() -> u32 {
    TOTAL_SHARE
}

/// How a fleet contradicts itself.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Problem {
    /// No data hall is named.
    #[error("names no data hall; list at least one")]
    NoHalls,
    /// A data hall is named on both sides of a move.
    #[error("data hall `{hall}` is on both sides of the move; name it once")]
    BothSides {
        /// The hall.
        hall: String,
    },
    /// A share is over 100.
    #[error("share {share} is over 100")]
    Share {
        /// The share that was given.
        share: u32,
    },
    /// The shares of a model's versions do not sum to 100.
    #[error("the shares of model `{model}` sum to {sum}; make them 100")]
    ShareSum {
        /// The model.
        model: String,
        /// The sum.
        sum: u32,
    },
    /// A name is used twice.
    #[error("`{name}` is listed twice; keep one")]
    Twice {
        /// The name.
        name: String,
    },
    /// A model has no version.
    #[error("model `{model}` has no version; add a [[models.versions]]")]
    NoVersion {
        /// The model.
        model: String,
    },
    /// A number must not be zero.
    #[error("`{key}` is 0; give 1 or more")]
    Zero {
        /// The key.
        key: String,
    },
}

/// A problem with the key it belongs to.
pub type Finding = (String, Problem);

impl Fleet {
    /// Confirms that the parts agree.
    pub fn check(&self) -> Result<(), Finding> {
        self.check_halls()?;
        let mut names = BTreeSet::new();
        for model in &self.models {
            model.check()?;
            unique(&mut names, &model.name, "models")?;
        }
        for service in &self.services {
            unique(&mut names, &service.name, "services")?;
        }
        if self.limits.in_flight == 0 {
            return Err(zero("limits", "in_flight"));
        }
        if self.limits.deadline_ms == 0 {
            return Err(zero("limits", "deadline_ms"));
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

    /// The data halls that must hold the weights at this stage of the move.
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

    /// The data halls that take the requests whose stable draw in `0..100` is `draw`. A request
    /// that has moved stays moved while the share grows.
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
            return Err(zero(&key, "replicas"));
        }
        if self.versions.is_empty() {
            let model = self.name.clone();
            return Err((key, Problem::NoVersion { model }));
        }
        let mut digests = BTreeSet::new();
        for version in &self.versions {
            unique(&mut digests, &version.digest.to_string(), &key)?;
            if version.bytes == 0 {
                return Err(zero(&key, "bytes"));
            }
        }
        let sum = self.versions.iter().map(|version| version.share).sum();
        if sum != TOTAL_SHARE {
            let model = self.name.clone();
            return Err((key, Problem::ShareSum { model, sum }));
        }
        Ok(())
    }

    /// The version that takes the requests whose stable draw in `0..100` is `draw`.
    pub fn version_for(&self, draw: u32) -> Option<&Version> {
        let mut upper = 0;
        // The newest version stands last. Drawing from the end keeps a request on it as its share grows.
        self.versions.iter().rev().find(|version| {
            upper += version.share;
            draw < upper
        })
    }
}

fn zero(table: &str, key: &str) -> Finding {
    let key = format!("{table}.{key}");
    (key.clone(), Problem::Zero { key })
}

fn unique(seen: &mut BTreeSet<String>, name: &str, key: &str) -> Result<(), Finding> {
    if seen.insert(name.to_owned()) {
        return Ok(());
    }
    let name = name.to_owned();
    Err((key.to_owned(), Problem::Twice { name }))
}
