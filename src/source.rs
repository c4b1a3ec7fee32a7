//! Read access to the store to which operators and replicas publish.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::config::catalog::Revisioned;
use crate::timeout::Progress;

/// A part of the store that is read or watched as a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Entries written by operators: the routing configuration and desired versions.
    Operator,
    /// Entries written by replicas about themselves.
    Replicas,
}

/// All topics.
pub const TOPICS: [Topic; 2] = [Topic::Operator, Topic::Replicas];

impl Topic {
    /// The name of the topic in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Replicas => "replicas",
        }
    }
}

/// The fault of a part of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// The part is missing.
    #[error("missing")]
    Missing,
    /// The part has an unexpected type or an invalid value.
    #[error("not readable")]
    Unreadable,
}

/// How a document is used without the faulty part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Remedy {
    /// The item that the part belongs to is ignored.
    #[error("left out")]
    LeftOut,
    /// The default is used instead.
    #[error("default used")]
    Default,
}

/// A part of a document that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {flaw}, {remedy}")]
pub struct Loss {
    /// Its path in the document.
    pub place: String,
    /// The fault.
    pub flaw: Flaw,
    /// How the document is used without it.
    pub remedy: Remedy,
}

/// An entry of the store that was read only partly, or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Damaged {
    /// The entry's key.
    pub key: String,
    /// The parts that could not be read.
    pub losses: Vec<Loss>,
}

/// Facts read from the store, complete up to a revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Batch {
    /// The facts.
    pub facts: Vec<Revisioned>,
    /// The store's revision.
    pub revision: u64,
    /// Size in bytes of the responses that contained the facts.
    pub bytes: usize,
    /// Entries that could not be read completely.
    pub damaged: Vec<Damaged>,
    /// Why a read of a whole topic ended before its last entry, if it did.
    pub incomplete: Option<Incomplete>,
}

/// Why the rest of a listing could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Incomplete {
    /// The store says that more entries follow, but returns the same ones again, or none.
    #[error("the page after key {after:?} does not advance")]
    Stuck {
        /// The key after which the page was requested.
        after: String,
    },
    /// The listing is larger than a process may hold.
    #[error("the listing is larger than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// A page other than the first could not be parsed.
    #[error("cannot parse the page after key {after:?}: {reason}")]
    Malformed {
        /// The key after which the page was requested.
        after: String,
        /// The error of the parser.
        reason: String,
    },
}

/// Maximum size of a listing in bytes, over all of its pages.
const LISTING_BYTES_MAX: usize = 32 << 20;

/// What follows a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// The page after this key.
    Page(String),
    /// Nothing: all entries were read.
    End,
    /// Nothing that could be read.
    Incomplete(Incomplete),
}

/// Follows a listing from page to page, each of which starts after the last key of the one before. It
/// ends whatever the store returns.
#[derive(Debug, Default)]
pub struct Pages {
    after: String,
    /// The last key of an earlier page, by which a cycle is found.
    milestone: String,
    count: u32,
    bytes: usize,
}

impl Pages {
    /// Records a page of `bytes` bytes with the last key `last`; `more` if the store says that others
    /// follow. Returns what to do next.
    pub fn record(&mut self, last: Option<&str>, more: bool, bytes: usize) -> Next {
        self.count += 1;
        self.bytes += bytes;
        if !more {
            return Next::End;
        }
        let last = last.filter(|last| **last != *self.after && **last != *self.milestone);
        let Some(last) = last else {
            let after = self.after.clone();
            return Next::Incomplete(Incomplete::Stuck { after });
        };
        if self.bytes >= LISTING_BYTES_MAX {
            let limit = LISTING_BYTES_MAX;
            return Next::Incomplete(Incomplete::TooLong { limit });
        }
        // Brent's algorithm finds a cycle of any length within three times that many pages.
        if self.count.is_power_of_two() {
            self.milestone = self.after.clone();
        }
        self.after = last.to_owned();
        Next::Page(self.after.clone())
    }
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The exchange failed or timed out.
    #[error("store is unreachable: {reason}")]
    Unreachable {
        /// The cause.
        reason: String,
    },
    /// The connection was found silent together with others; the call should be repeated.
    #[error("the connection to the store stopped responding together with others")]
    Silent,
    /// The store returned an error status.
    #[error("store returned HTTP status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The store no longer keeps the history after the given revision.
    #[error("store no longer keeps the changes after the requested revision")]
    Compacted,
    /// The response is larger than a process may hold.
    #[error("response of the store is larger than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The response could not be parsed.
    #[error("cannot parse the response of the store: {reason}")]
    Malformed {
        /// The error of the parser.
        reason: String,
    },
}

/// The kind of a failure, for metrics and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// There was no answer.
    Unreachable,
    /// The answer was an error status, or none of the history that was asked for.
    Refused,
    /// The answer could not be used.
    Unusable,
    /// Only a part of a topic could be read.
    Incomplete,
}

/// All kinds of failures.
pub const FAILURES: [Failure; 4] = [
    Failure::Unreachable,
    Failure::Refused,
    Failure::Unusable,
    Failure::Incomplete,
];

impl Failure {
    /// The name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Unusable => "unusable",
            Self::Incomplete => "incomplete",
        }
    }

    /// What a log line says of the store that begins to fail in this way.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Unreachable => "store became unreachable",
            Self::Refused => "store refuses calls",
            Self::Unusable => "store answers, but its answers can't be used",
            Self::Incomplete => "only a part of the topic could be read",
        }
    }
}

impl Error {
    /// The kind of this failure.
    pub fn failure(&self) -> Failure {
        match self {
            Self::Unreachable { .. } | Self::Silent => Failure::Unreachable,
            Self::Refused { .. } | Self::Compacted => Failure::Refused,
            Self::TooLong { .. } | Self::Malformed { .. } => Failure::Unusable,
        }
    }
}

/// A store that can be read and watched. Responses may be long; the arrival of their parts is
/// recorded in the `progress` of each call.
pub trait Source {
    /// Reads everything that is in the store now.
    fn read(&self, topic: Topic, progress: Progress) -> LocalBoxFuture<'_, Result<Batch, Error>>;

    /// Returns the changes after revision `after` as soon as there are any, or an empty batch after
    /// `wait`.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
        progress: Progress,
    ) -> LocalBoxFuture<'_, Result<Batch, Error>>;
}
