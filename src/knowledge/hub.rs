//! Which entry of a data hall tells the others how replicas do, and when.
//!
//! If each process beside a replica told each entry, messages would grow with replicas times
//! entries: 24 of them and 30 entries in a hall send 4,800 reports a second, more than callers send
//! requests. So they tell the first entries of the hall, and the first of those tells all others in
//! one frame, which these forward to each other. Messages then grow with replicas plus entries.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::config::catalog::Revisions;

/// Time between two frames that tell everything. Who gets a request is asked before it is sent
/// there, so that a frame only has to say whom to ask.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Shortest time between two frames, when a replica begins or ends to take requests: two in the time
/// for which a change of version is announced (250 ms).
const GAP: Duration = Duration::from_millis(100);

/// How old the last frame may be before the next entry in rank tells: two frames may be lost.
const MISSING: Duration = Duration::from_millis(1_200);

/// How much longer each further entry in rank waits.
const STEP: Duration = Duration::from_millis(300);

/// Time between two frames that name the entries as well: a third of the time after which an
/// entry that nobody heard of counts as gone.
const NAME_ENTRIES: Duration = Duration::from_millis(1_300);

/// Entries that the process beside a replica tells: one may have gone without its noticing.
const TOLD: usize = 2;

/// Entries that do not answer and are tried beside those.
const TRIED: usize = 2;

/// What a frame tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// All replicas that are known; with `entries`, the entries as well.
    Whole {
        /// Whether the entries are named.
        entries: bool,
    },
    /// Replicas that began or ended to take requests after this.
    Since(Time),
}

/// Identifies a frame and the state that its news builds on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameHeader {
    /// Random identifier of the sending process.
    pub incarnation: u64,
    /// Sequence number of the frame within the incarnation.
    pub number: u64,
    /// Marks as of the frame before the previous one, so that missing one frame loses no news.
    pub baseline: Revisions,
}

/// The latest frame received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LastFrame {
    from: SocketAddr,
    incarnation: u64,
    number: u64,
}

/// When this entry told the others of its hall, and when it was told.
#[derive(Debug, Clone, Copy)]
pub struct Hub {
    incarnation: u64,
    number: u64,
    /// Marks of the last two frames sent, oldest first.
    sent_marks: [Revisions; 2],
    last_frame: Option<LastFrame>,
    began: Time,
    told: Option<Time>,
    told_whole: Option<Time>,
    told_entries: Option<Time>,
    heard: Option<Time>,
}

impl Hub {
    /// The part of an entry that begins at `began`; `incarnation` is a random identifier of its
    /// process.
    pub fn new(incarnation: u64, began: Time) -> Self {
        Self {
            incarnation,
            number: 0,
            sent_marks: [Revisions::default(); 2],
            last_frame: None,
            began,
            told: None,
            told_whole: None,
            told_entries: None,
            heard: None,
        }
    }

    /// Another entry told how replicas do.
    pub fn heard(&mut self, now: Time) {
        self.heard = Some(now);
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
        self.heard(now);
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

    /// Returns the header of the next frame to send; `marks` are the sender's current ones.
    pub fn next_header(&mut self, revisions: Revisions) -> FrameHeader {
        self.number += 1;
        let baseline = self.sent_marks[0];
        self.sent_marks = [self.sent_marks[1], revisions];
        FrameHeader {
            incarnation: self.incarnation,
            number: self.number,
            baseline,
        }
    }

    /// Whether the entry that is so many places from the first tells the others.
    pub fn is_active(&self, rank: u32, now: Time) -> bool {
        let Some(before) = rank.checked_sub(1) else {
            return true;
        };
        let last = self.heard.unwrap_or(self.began);
        now.since(last) >= MISSING + STEP * before
    }

    /// What the entry at `rank` tells now, if anything; `changed` says when a replica began or ended
    /// to take requests.
    pub fn due(&mut self, rank: u32, changed: Option<Time>, now: Time) -> Option<Content> {
        if !self.is_active(rank, now) {
            return None;
        }
        let since = |last: Option<Time>| last.map(|last| now.since(last));
        if since(self.told_whole).is_none_or(|age| age >= PERIOD) {
            let entries = since(self.told_entries).is_none_or(|age| age >= NAME_ENTRIES);
            if entries {
                self.told_entries = Some(now);
            }
            self.told = Some(now);
            self.told_whole = Some(now);
            return Some(Content::Whole { entries });
        }
        let last = self.told?;
        if now.since(last) < GAP || changed.is_none_or(|changed| changed <= last) {
            return None;
        }
        self.told = Some(now);
        Some(Content::Since(last))
    }
}

/// Whom of the entries of its hall, `ranked`, the process beside a replica tells, where `silent` says
/// who did not answer last.
pub fn report_targets(
    ranked: &[SocketAddr],
    silent: impl Fn(SocketAddr) -> bool,
) -> Vec<SocketAddr> {
    let (mut answering, mut tried) = (0, 0);
    let mut chosen = Vec::new();
    for &entry in ranked {
        if answering == TOLD {
            break;
        }
        if !silent(entry) {
            answering += 1;
            chosen.push(entry);
        } else if tried < TRIED {
            tried += 1;
            chosen.push(entry);
        }
    }
    chosen
}
