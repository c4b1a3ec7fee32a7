//! Faults that a burst can meet, and when.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A tenth of the boxes die.
    Kill,
    /// The links of a tenth of the boxes stall for a quarter of the window.
    Stall,
    /// Every box spoils a twentieth of the chunks that it sends.
    Corrupt,
    /// One box spoils everything that it sends.
    CorruptPeer,
    /// The origin spoils a fifth of the chunks that it sends, for a quarter of the window.
    CorruptOrigin,
    /// Another version replaces the one that is spreading.
    Replace,
    /// The origin fails every call for a quarter of the window.
    OriginDown,
    /// The first hall is cut off from the others and from the platform for half of the window.
    Partition,
    /// A tenth of the boxes freeze for a quarter of the window.
    Pause,
    /// A tenth more boxes join.
    Join,
    /// The configuration service fails every call for a quarter of the window.
    ConfigDown,
}

/// All kinds, with their names and what they do.
pub const KINDS: [(Kind, &str, &str); 11] = [
    (Kind::Kill, "kill", "a tenth of the boxes die"),
    (
        Kind::Stall,
        "stall",
        "the links of a tenth of the boxes stall for T/4",
    ),
    (
        Kind::Corrupt,
        "corrupt",
        "every box spoils a twentieth of the chunks it sends",
    ),
    (
        Kind::CorruptPeer,
        "corrupt-peer",
        "one box spoils everything it sends",
    ),
    (
        Kind::CorruptOrigin,
        "corrupt-origin",
        "the origin spoils a fifth of its chunks for T/4",
    ),
    (
        Kind::Replace,
        "replace",
        "another version replaces the one that is spreading",
    ),
    (
        Kind::OriginDown,
        "origin-down",
        "the origin fails every call for T/4",
    ),
    (
        Kind::Partition,
        "partition",
        "the first hall is cut off from everything for T/2",
    ),
    (Kind::Pause, "pause", "a tenth of the boxes freeze for T/4"),
    (Kind::Join, "join", "a tenth more boxes join"),
    (
        Kind::ConfigDown,
        "config-down",
        "the configuration service fails every call for T/4",
    ),
];

/// A fault and when it happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// When, after the configuration was published.
    pub at: Duration,
}

/// Text that is no fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FaultError {
    /// It is not `KIND@SECONDS`.
    #[error("not of the form KIND@SECONDS")]
    Form,
    /// There is no such kind.
    #[error("no such kind of fault")]
    Kind,
    /// The time is no number of seconds from 0 to 3600.
    #[error("the time is no number of seconds from 0 to 3600")]
    Seconds,
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, FaultError> {
        let (name, seconds) = text.split_once('@').ok_or(FaultError::Form)?;
        let kind = KINDS
            .iter()
            .find(|(_, known, _)| *known == name)
            .map(|(kind, _, _)| *kind)
            .ok_or(FaultError::Kind)?;
        let seconds: f64 = seconds.parse().map_err(|_| FaultError::Seconds)?;
        if !(0.0..=3600.0).contains(&seconds) {
            return Err(FaultError::Seconds);
        }
        Ok(Self {
            kind,
            at: Duration::from_secs_f64(seconds),
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = KINDS
            .iter()
            .find(|(kind, _, _)| *kind == self.kind)
            .map_or("", |(_, name, _)| name);
        write!(formatter, "{name}@{}", self.at.as_secs_f64())
    }
}
