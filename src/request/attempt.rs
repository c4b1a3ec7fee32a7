//! Decides what to do after an attempt at a replica that did not end with a complete response.

use super::Outcome;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// No byte of the request was sent.
    NotSent,
    /// The replica reported that it did not run the request.
    Refused,
    /// The address belongs to another replica now, which did not run the request.
    Misdirected,
    /// The replica ran the request and returned an error of its own.
    Failed,
    /// Bytes were sent, and no complete response arrived.
    Broken,
}

/// What is known of the request after the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Situation {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run.
    pub tainted: bool,
    /// Replicas that have received the request so far, including this attempt's if bytes were sent.
    pub sent: u32,
    /// Maximum number of replicas that may receive the request.
    pub sent_max: u32,
    /// Connections that failed to open so far.
    pub connect_failures: u32,
    /// Whether time is left before the deadline.
    pub time_left: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try another replica.
    Elsewhere {
        /// Whether a replica has received the request already, so that the attempt counts against
        /// the retry budget.
        charged: bool,
    },
    /// Forward the replica's own error to the caller.
    PassOn,
    /// Report the outcome to the caller.
    GiveUp(Outcome),
}

/// Maximum number of failed connections after which a request is still tried elsewhere.
const CONNECT_FAILURES_MAX: u32 = 3;

/// Returns what the end of an attempt tells about whether the attempt ran.
pub fn outcome_of(ended: Ended) -> Outcome {
    match ended {
        Ended::NotSent | Ended::Refused | Ended::Misdirected => Outcome::NotRun,
        Ended::Failed => Outcome::Ran,
        Ended::Broken => Outcome::Unknown,
    }
}

/// Decides what to do after an attempt.
pub fn after(ended: Ended, situation: Situation) -> Next {
    let attempt_outcome = outcome_of(ended);
    let outcome = match attempt_outcome {
        Outcome::NotRun if situation.tainted => Outcome::Unknown,
        other => other,
    };
    let may_run_again = situation.repeatable || outcome == Outcome::NotRun;
    let room =
        situation.sent < situation.sent_max && situation.connect_failures <= CONNECT_FAILURES_MAX;
    if may_run_again && room && situation.time_left {
        let charged = situation.sent > 0;
        return Next::Elsewhere { charged };
    }
    if ended == Ended::Failed {
        return Next::PassOn;
    }
    Next::GiveUp(outcome)
}
