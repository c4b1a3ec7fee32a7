//! What follows when an attempt at a replica ended without a whole answer.

use super::Outcome;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// No byte of the request left.
    NotSent,
    /// The replica said that it did not run the request.
    Refused,
    /// Another replica has the address; it did not run the request.
    Misdirected,
    /// The replica ran the request and answered with a failure of its own.
    Failed,
    /// Bytes left, and no whole answer came.
    Broken,
}

/// What is known of the request then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Situation {
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run.
    pub tainted: bool,
    /// Replicas that received it so far, this attempt's included if bytes left.
    pub sent: u32,
    /// Replicas that may receive it.
    pub sent_max: u32,
    /// Connections that failed to open so far.
    pub connect_failures: u32,
    /// Whether time is left.
    pub time_left: bool,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try another replica; `charged` if that counts as a repeat.
    Elsewhere {
        /// Whether a replica has received the request already.
        charged: bool,
    },
    /// Pass the replica's own failure on.
    PassOn,
    /// Tell the caller.
    GiveUp(Outcome),
}

/// Connections that may fail to open before a request is given up.
const UNREACHED_MAX: u32 = 3;

/// Whether an end shows that its attempt did not run.
pub fn outcome_of(ended: Ended) -> Outcome {
    match ended {
        Ended::NotSent | Ended::Refused | Ended::Misdirected => Outcome::NotRun,
        Ended::Failed => Outcome::Ran,
        Ended::Broken => Outcome::Unknown,
    }
}

/// Decides what follows.
pub fn after(ended: Ended, situation: Situation) -> Next {
    let own = outcome_of(ended);
    let outcome = match own {
        Outcome::NotRun if situation.tainted => Outcome::Unknown,
        other => other,
    };
    let may_run_again = situation.repeatable || outcome == Outcome::NotRun;
    let room = situation.sent < situation.sent_max && situation.connect_failures <= UNREACHED_MAX;
    if may_run_again && room && situation.time_left {
        let charged = situation.sent > 0;
        return Next::Elsewhere { charged };
    }
    if ended == Ended::Failed {
        return Next::PassOn;
    }
    Next::GiveUp(outcome)
}
