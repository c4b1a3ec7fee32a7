//! Where a process learns what operators and replicas published: a store that is only read.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::config::catalog::Revisioned;
use crate::timeout::Progress;

/// What is read or watched as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// What operators write: the routing configuration and wanted versions.
    Operator,
    /// What replicas write of themselves.
    Replicas,
}

/// What is wrong with a part of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// It is not there.
    #[error("missing")]
    Missing,
    /// It is of another type than expected, or has a value that makes no sense.
    #[error("not readable")]
    Unreadable,
}

/// What is done without a part of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Remedy {
    /// What it belongs to is left out.
    #[error("left out")]
    LeftOut,
    /// A default takes its place.
    #[error("default taken")]
    Default,
}

/// A part of a document that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {flaw}, {remedy}")]
pub struct Loss {
    /// Where in the document.
    pub place: String,
    /// What is wrong.
    pub flaw: Flaw,
    /// What is done without it.
    pub remedy: Remedy,
}

/// An entry of the store that was read with losses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Damaged {
    /// The entry's key.
    pub key: String,
    /// What could not be read of it.
    pub losses: Vec<Loss>,
}

/// Facts, and the revision up to which they are all.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Batch {
    /// The facts.
    pub facts: Vec<Revisioned>,
    /// The store's revision.
    pub revision: u64,
    /// Bytes of the answers that brought the facts.
    pub bytes: usize,
    /// Entries that could not be understood, or not whole.
    pub damaged: Vec<Damaged>,
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
    /// The connection that it was asked over went silent with others; it is to be asked again.
    #[error("the connection to the store went silent with others")]
    Silent,
    /// The store refused.
    #[error("store answered {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The history after the given revision is not kept any more.
    #[error("store has forgotten what followed")]
    Compacted,
    /// The answer makes no sense.
    #[error("store's answer is not understood: {reason}")]
    Malformed {
        /// What the codec reported.
        reason: String,
    },
}

/// A store that can be read and watched. Its answers may be long: how they come in is noted in the
/// `progress` of each call.
pub trait Source {
    /// Everything that is there now.
    fn read(&self, topic: Topic, progress: Progress) -> LocalBoxFuture<'_, Result<Batch, Error>>;

    /// What changed after a revision, as soon as anything did, or nothing after `wait`.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
        progress: Progress,
    ) -> LocalBoxFuture<'_, Result<Batch, Error>>;
}
