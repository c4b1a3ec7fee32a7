//! Data halls whose replicas are to get nothing more, by the operators' word.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What operators said last of one hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The hall.
    pub hall: Arc<str>,
    /// Whether its replicas are to get nothing more; else that is over.
    #[serde(rename = "asked")]
    pub active: bool,
    /// The revision that said so.
    pub revision: u64,
}

/// What is known of all halls. Nothing that is older than what is known changes it.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    halls: BTreeMap<Arc<str>, Evacuation>,
}

impl Evacuations {
    /// Takes what was said of one hall. Returns whether that changes where requests may go.
    pub fn apply(&mut self, told: Evacuation) -> bool {
        let known = self.halls.get(&told.hall);
        if known.is_some_and(|known| known.revision >= told.revision) {
            return false;
        }
        let before = known.is_some_and(|known| known.active);
        let changed = before != told.active;
        self.halls.insert(told.hall.clone(), told);
        changed
    }

    /// All that lay in the store at `revision` were those of `present`: the others are over.
    pub fn apply_list(&mut self, present: &[Arc<str>], revision: u64) -> bool {
        let asked = self.halls.values().filter(|known| known.active);
        let over: Vec<Arc<str>> = asked
            .map(|known| known.hall.clone())
            .filter(|hall| !present.contains(hall))
            .collect();
        let ended = over.into_iter().map(|hall| {
            self.apply(Evacuation {
                hall,
                active: false,
                revision,
            })
        });
        ended.fold(false, |changed, ended| changed | ended)
    }

    /// The newest revision that said anything; 0 if none did.
    pub fn revision(&self) -> u64 {
        let revisions = self.halls.values().map(|known| known.revision);
        revisions.max().unwrap_or(0)
    }

    /// Everything, for another process.
    pub fn all(&self) -> Vec<Evacuation> {
        self.halls.values().cloned().collect()
    }

    /// The halls whose replicas are to get nothing more.
    pub fn active(&self) -> impl Iterator<Item = &Arc<str>> {
        let asked = self.halls.values().filter(|known| known.active);
        asked.map(|known| &known.hall)
    }
}
