//! Determines which entry of a data hall distributes the status of replicas to the others, and when.
//!
//! If each sidecar reported to each entry, the number of messages would grow with replicas times
//! entries: with 24 replicas and 30 entries in a hall, 4,800 reports a second, more than callers send
//! requests. Instead, sidecars report to the first entries of the hall, and the first of these, the
//! hub, sends everything in one frame to the others, which forward it to each other. The number of
//! messages then grows with replicas plus entries.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::config::catalog::Revisions;

/// Interval between two frames with the full status. It may be this long because a replica is asked for
/// a slot lease before a request is sent to it, so frames only determine which replicas to ask.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Minimum interval between two frames when replicas start or stop accepting requests: two frames within
/// the time for which a change of version is announced (250 ms).
const INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Time without a frame after which the entry of the next rank takes over. It allows for two lost frames.
const FRAME_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Additional wait for each further rank.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Interval between two frames that also list the entries: a third of the time after which an entry
/// without a sign of life no longer counts as alive.
const NAMING_INTERVAL: Duration = Duration::from_millis(1_300);

/// Number of entries to which a sidecar reports: one may have left without the sidecar noticing.
const TARGETS: usize = 2;

/// Maximum number of additional unresponsive entries to which a sidecar still reports.
const PROBES_MAX: usize = 2;

/// The content of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// All known replicas, and the known entries if `entries` is set.
    Whole {
        /// Whether the frame lists the known entries.
        entries: bool,
    },
    /// The replicas that started or stopped accepting requests after this time.
    Since(Time),
}

/// Identifies a frame and the state on which its update builds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameHeader {
    /// Random identifier of the sending process.
    pub incarnation: u64,
    /// Sequence number of the frame within the incarnation.
    pub number: u64,
    /// Revisions as of the frame before the previous one, so that missing one frame loses no updates.
    pub baseline: Revisions,
}

/// The latest frame received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LastFrame {
    from: SocketAddr,
    incarnation: u64,
    number: u64,
}

/// The frames that this entry has sent to the others of its hall, and received from them.
#[derive(Debug, Clone, Copy)]
pub struct Hub {
    incarnation: u64,
    number: u64,
    /// The own revisions as of the last two frames sent, oldest first.
    sent_revisions: [Revisions; 2],
    last_frame: Option<LastFrame>,
    began: Time,
    last_sent: Option<Time>,
    last_sent_whole: Option<Time>,
    last_sent_entries: Option<Time>,
    last_received: Option<Time>,
}

impl Hub {
    /// The state of an entry that starts at `began`; `incarnation` is a random identifier of its process.
    pub fn new(incarnation: u64, began: Time) -> Self {
        Self {
            incarnation,
            number: 0,
            sent_revisions: [Revisions::default(); 2],
            last_frame: None,
            began,
            last_sent: None,
            last_sent_whole: None,
            last_sent_entries: None,
            last_received: None,
        }
    }

    /// Records that a frame of another entry was received.
    pub fn record_frame(&mut self, now: Time) {
        self.last_received = Some(now);
    }

    /// Records a frame that originates from `from` and returns whether to apply it. Frames older
    /// than the latest one of the same incarnation are rejected.
    pub fn accept_frame(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        number: u64,
        now: Time,
    ) -> bool {
        self.record_frame(now);
        let outdated = self.last_frame.is_some_and(|last| {
            last.from == from && last.incarnation == incarnation && last.number > number
        });
        if !outdated {
            self.last_frame = Some(LastFrame {
                from,
                incarnation,
                number,
            });
        }
        !outdated
    }

    /// Returns the header of the next frame to send; `revisions` are the sender's current ones.
    pub fn next_header(&mut self, revisions: Revisions) -> FrameHeader {
        self.number += 1;
        let baseline = self.sent_revisions[0];
        self.sent_revisions = [self.sent_revisions[1], revisions];
        FrameHeader {
            incarnation: self.incarnation,
            number: self.number,
            baseline,
        }
    }

    /// Whether the entry at `rank` acts as the hub.
    pub fn is_active(&self, rank: u32, now: Time) -> bool {
        let Some(extra_ranks) = rank.checked_sub(1) else {
            return true;
        };
        let last = self.last_received.unwrap_or(self.began);
        now.since(last) >= FRAME_TIMEOUT + RANK_DELAY * extra_ranks
    }

    /// The content of the frame that the entry at `rank` must send now, if any; `changed` is the last time
    /// at which a replica started or stopped accepting requests.
    pub fn due(&mut self, rank: u32, changed: Option<Time>, now: Time) -> Option<Content> {
        if !self.is_active(rank, now) {
            return None;
        }
        let since = |last: Option<Time>| last.map(|last| now.since(last));
        if since(self.last_sent_whole).is_none_or(|age| age >= PERIOD) {
            let entries = since(self.last_sent_entries).is_none_or(|age| age >= NAMING_INTERVAL);
            if entries {
                self.last_sent_entries = Some(now);
            }
            self.last_sent = Some(now);
            self.last_sent_whole = Some(now);
            return Some(Content::Whole { entries });
        }
        let last = self.last_sent?;
        if now.since(last) < INTERVAL_MIN || changed.is_none_or(|changed| changed <= last) {
            return None;
        }
        self.last_sent = Some(now);
        Some(Content::Since(last))
    }
}

/// The entries to which a sidecar reports, out of the `ranked` entries of its hall; `is_silent` returns
/// whether an entry failed to answer the last report.
pub fn report_targets(
    ranked: &[SocketAddr],
    is_silent: impl Fn(SocketAddr) -> bool,
) -> Vec<SocketAddr> {
    let (mut responsive, mut probed) = (0, 0);
    let mut chosen = Vec::new();
    for &entry in ranked {
        if responsive == TARGETS {
            break;
        }
        if !is_silent(entry) {
            responsive += 1;
            chosen.push(entry);
        } else if probed < PROBES_MAX {
            probed += 1;
            chosen.push(entry);
        }
    }
    chosen
}
