//! Where a process learns what operators and replicas published: a store that is only read.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::config::belief::Dated;

/// What is read or watched as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// What operators write: the routing configuration and wanted versions.
    Operator,
    /// What replicas write of themselves.
    Replicas,
}

/// Facts, and the revision up to which they are all.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The facts.
    pub facts: Vec<Dated>,
    /// The store's revision.
    pub at: u64,
    /// Entries that could not be understood, with the reason.
    pub rejected: Vec<String>,
}

/// Why the store did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The exchange failed, or took too long.
    #[error("store is out of reach: {reason}")]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The store refused.
    #[error("store answered {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The history after the given revision is not kept any more.
    #[error("store has forgotten what followed")]
    Forgotten,
    /// The answer makes no sense.
    #[error("store's answer is not understood: {reason}")]
    Text {
        /// What the codec reported.
        reason: String,
    },
}

/// A store that can be read and watched.
pub trait Source {
    /// Everything that is there now.
    fn read(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Batch, Error>>;

    /// What changed after a revision, as soon as anything did, or nothing after `wait`.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, Error>>;
}
