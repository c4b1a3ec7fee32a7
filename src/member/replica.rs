//! Replicas as described in the platform's list.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A model that a replica has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
}

/// The loaded version of `model`, if `models` contains it.
pub fn version_of(models: &[LoadedModel], model: &str) -> Option<u64> {
    let loaded = models.iter().find(|loaded| &*loaded.model == model);
    loaded.map(|loaded| loaded.version)
}

/// Identifies an instance of a replica: one run of it, from one start to the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The replica's id.
    pub id: Arc<str>,
    /// Its start time in milliseconds since the Unix epoch; 0 if not reported.
    #[serde(default)]
    pub born: u64,
}

/// A replica in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its id. A replica may keep it when it restarts.
    pub id: Arc<str>,
    /// Its start time in milliseconds since the Unix epoch; 0 if not reported. Together with the id, it
    /// identifies an instance of the replica, which retains nothing of earlier ones.
    #[serde(default)]
    pub born: u64,
    /// Its service.
    pub service: Arc<str>,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Number of requests that it processes concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Whether it accepts no more work.
    #[serde(default)]
    pub leaving: bool,
    /// The models that it has loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// Milliseconds for which it is still cold, as reported by itself.
    #[serde(default)]
    pub cold_ms: u64,
}

impl Record {
    /// The record of a later instance that started at `born`, about which nothing else is known yet.
    pub fn restarted(&self, born: u64) -> Self {
        Self {
            born,
            models: Vec::new(),
            cold_ms: 0,
            ..self.clone()
        }
    }

    /// The instance that it describes.
    pub fn instance(&self) -> Instance {
        Instance {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// The version of `model` that it has loaded.
    pub fn version(&self, model: &str) -> Option<u64> {
        version_of(&self.models, model)
    }
}
