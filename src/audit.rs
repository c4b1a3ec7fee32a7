//! The audit trail: what a process changed, when, and under which configuration revision. It is
//! kept in bounded memory and written to the log.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock;

/// Maximum number of records that a process keeps.
const RECORDS_MAX: usize = 1_024;

/// An audited change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Event {
    /// A customer's configuration became active.
    ConfigAccepted {
        /// The customer.
        customer: String,
    },
    /// A customer's configuration is invalid; the last valid one stays active.
    ConfigRejected {
        /// The customer.
        customer: String,
        /// Why it is invalid.
        reason: String,
    },
    /// A customer was removed.
    CustomerRemoved {
        /// The customer.
        customer: String,
    },
    /// The transfer of a version began.
    ReceiveBegan {
        /// The version.
        version: String,
    },
    /// A version was received completely and verified.
    ReceiveDone {
        /// The version.
        version: String,
    },
    /// The engine accepted an order to load a version.
    LoadOrdered {
        /// The version.
        version: String,
    },
    /// A version accepts requests here.
    Servable {
        /// The version.
        version: String,
    },
    /// A version accepts no more requests here.
    NotServable {
        /// The version.
        version: String,
    },
    /// A version was released from the store.
    Released {
        /// The version.
        version: String,
    },
    /// The engine has a fence of a newer incarnation: another process controls it.
    Outranked,
    /// The process is draining: it accepts no new work and finishes requests in progress.
    Draining,
}

/// A record of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the change, in Unix milliseconds.
    pub time_ms: u64,
    /// The configuration revision behind the change.
    pub revision: u64,
    /// The change.
    #[serde(flatten)]
    pub event: Event,
}

/// The audit trail of one process.
#[derive(Debug, Default)]
pub struct Trail {
    records: VecDeque<Record>,
}

impl Trail {
    /// Adds a record and logs it. The oldest record is dropped when the trail is full.
    pub fn add(&mut self, revision: u64, event: Event) {
        let record = Record {
            time_ms: clock::unix_millis(),
            revision,
            event,
        };
        let text = serde_json::to_string(&record).unwrap_or_default();
        log::info!(target: "pumicelatch::audit", audit = text.as_str(); "change");
        if self.records.len() == RECORDS_MAX {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// All kept records, oldest first.
    pub fn records(&self) -> &VecDeque<Record> {
        &self.records
    }
}
