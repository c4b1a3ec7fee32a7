//! Evacuations: data halls that operators have excluded from new requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The latest evacuation setting of one hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The hall.
    pub hall: Arc<str>,
    /// Whether the hall's replicas receive no new requests. `false` ends the evacuation.
    #[serde(rename = "asked")]
    pub active: bool,
    /// The revision that set it.
    pub revision: u64,
}

/// The evacuation settings of all halls. An older revision never replaces a newer one.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    halls: BTreeMap<Arc<str>, Evacuation>,
}

impl Evacuations {
    /// Applies the setting of one hall. Returns whether that changes where requests may be sent.
    pub fn apply(&mut self, evacuation: Evacuation) -> bool {
        let known = self.halls.get(&evacuation.hall);
        if known.is_some_and(|known| known.revision >= evacuation.revision) {
            return false;
        }
        let before = known.is_some_and(|known| known.active);
        let changed = before != evacuation.active;
        self.halls.insert(evacuation.hall.clone(), evacuation);
        changed
    }

    /// Whether the setting of `hall` is known and not `active`.
    pub fn is_set_otherwise(&self, hall: &str, active: bool) -> bool {
        let known = self.halls.get(hall);
        known.is_some_and(|known| known.active != active)
    }

    /// Applies a complete list: at `revision`, the store held exactly the evacuations of `present`,
    /// so all others have ended. Returns whether that changes where requests may be sent.
    pub fn apply_list(&mut self, present: &[Arc<str>], revision: u64) -> bool {
        let asked = self.halls.values().filter(|known| known.active);
        let ended_halls: Vec<Arc<str>> = asked
            .map(|known| known.hall.clone())
            .filter(|hall| !present.contains(hall))
            .collect();
        let ended = ended_halls.into_iter().map(|hall| {
            self.apply(Evacuation {
                hall,
                active: false,
                revision,
            })
        });
        ended.fold(false, |changed, ended| changed | ended)
    }

    /// Returns the newest revision of any setting, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        let revisions = self.halls.values().map(|known| known.revision);
        revisions.max().unwrap_or(0)
    }

    /// Returns all settings, to be sent to another process.
    pub fn all(&self) -> Vec<Evacuation> {
        self.halls.values().cloned().collect()
    }

    /// Returns the halls whose replicas receive no new requests.
    pub fn active(&self) -> impl Iterator<Item = &Arc<str>> {
        let asked = self.halls.values().filter(|known| known.active);
        asked.map(|known| &known.hall)
    }
}
