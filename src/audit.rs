//! The audit trail: who carried out which change when, in bounded memory and in the log.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock;

/// Entries that a process keeps.
const ENTRIES_MAX: usize = 1_024;

/// What was done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Event {
    /// A customer's configuration came into force.
    ConfigAccepted {
        /// The customer.
        customer: String,
    },
    /// A customer's configuration is invalid; the last good one stays in force.
    ConfigRejected {
        /// The customer.
        customer: String,
        /// What is wrong.
        reason: String,
    },
    /// A customer was removed.
    CustomerRemoved {
        /// The customer.
        customer: String,
    },
    /// A version began to be received.
    ReceiveBegan {
        /// The version.
        version: String,
    },
    /// A version is complete and verified.
    ReceiveDone {
        /// The version.
        version: String,
    },
    /// The engine took an order to load a version.
    LoadOrdered {
        /// The version.
        version: String,
    },
    /// A version may take requests here.
    Servable {
        /// The version.
        version: String,
    },
    /// A version takes no more requests here.
    NotServable {
        /// The version.
        version: String,
    },
    /// A version was let go.
    Released {
        /// The version.
        version: String,
    },
    /// An engine refused an order under an older fence: another process is in charge.
    Outranked,
    /// The process takes no new work and finishes what it has.
    Draining,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, in Unix milliseconds.
    pub time_ms: u64,
    /// The configuration revision behind it.
    pub revision: u64,
    /// What was done.
    #[serde(flatten)]
    pub event: Event,
}

/// The trail of one process.
#[derive(Debug, Default)]
pub struct Trail {
    entries: VecDeque<Record>,
}

impl Trail {
    /// Adds an entry, and logs it. The oldest is dropped when the trail is full.
    pub fn add(&mut self, revision: u64, event: Event) {
        let record = Record {
            time_ms: clock::unix_millis(),
            revision,
            event,
        };
        let text = serde_json::to_string(&record).unwrap_or_default();
        log::info!(target: "pumicelatch::audit", audit = text.as_str(); "change");
        if self.entries.len() == ENTRIES_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back(record);
    }

    /// All entries that are kept, oldest first.
    pub fn entries(&self) -> &VecDeque<Record> {
        &self.entries
    }
}
