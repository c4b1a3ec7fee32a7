//! Replicas as the platform's list describes them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a replica holds of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
}

/// The version of `model` among what a replica holds.
pub fn version_of(models: &[LoadedModel], model: &str) -> Option<u64> {
    let held = models.iter().find(|held| &*held.model == model);
    held.map(|held| held.version)
}

/// One life of a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The replica's id.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not tell.
    #[serde(default)]
    pub born: u64,
}

/// A replica's entry in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its id. A replica may start again under the one that it had.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not tell. With the id it
    /// names one life of the replica: a later one holds and knows nothing of an earlier one.
    #[serde(default)]
    pub born: u64,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data hall that it stands in.
    pub hall: Arc<str>,
    /// Requests that it works on at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether it takes no more work.
    #[serde(default)]
    pub leaving: bool,
    /// The models that it holds.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// Milliseconds that it is still cold for, by its own word.
    #[serde(default)]
    pub cold_ms: u64,
}

impl Record {
    /// The record of a later life that began at `born`, of which nothing else is known yet.
    pub fn restarted(&self, born: u64) -> Self {
        Self {
            born,
            models: Vec::new(),
            cold_ms: 0,
            ..self.clone()
        }
    }

    /// The life that it is about.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// The version of `model` that it holds.
    pub fn version(&self, model: &str) -> Option<u64> {
        version_of(&self.models, model)
    }
}
