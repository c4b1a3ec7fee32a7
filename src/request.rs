//! Requests: what is known about whether a request ran, keys for at-most-once requests, and the
//! retry budget.

pub mod attempt;
pub mod budget;
pub mod poison;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// It may have run, completely or in part.
    Unknown,
}

/// The key of an at-most-once request. It is bound to a box and to the process that issued it
/// there, so every entry sends the request to the table of that process or nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The box whose agent issued it.
    pub name: Arc<str>,
    /// The process that issued it.
    pub boot: u64,
    /// Its number in that process.
    pub number: u64,
    /// A secret that prevents guessing of keys.
    pub secret: u64,
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            boot,
            number,
            secret,
        } = self;
        write!(formatter, "{name}~{boot:016x}~{number:x}~{secret:016x}")
    }
}

/// The text is not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a key issued by this system")]
pub struct KeyError;

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let parts: Vec<&str> = text.split('~').collect();
        let [name, boot, number, secret] = parts.as_slice() else {
            return Err(KeyError);
        };
        let hex = |digits: &str| u64::from_str_radix(digits, 16).map_err(|_| KeyError);
        Ok(Self {
            name: (*name).into(),
            boot: hex(boot)?,
            number: hex(number)?,
            secret: hex(secret)?,
        })
    }
}

/// The response to a finished request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// State of a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The key was issued and not used yet.
    Issued,
    /// The request is running.
    Running,
    /// The request ran. The response is `None` if it was too long to keep.
    Done(Option<Answer>),
    /// The request was passed to the target, and its outcome is unknown.
    Lost,
}

#[derive(Debug)]
struct Entry {
    customer: Arc<str>,
    secret: u64,
    state: State,
}

/// How to handle a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run it: no one else will.
    Run,
    /// It is already running.
    InProgress,
    /// It ran; the response is given if it was kept.
    Done(Option<Answer>),
    /// It may have run.
    Lost,
    /// This table never issued the key or has dropped it. The request will not run here, and
    /// whether it ever ran is unknown.
    NoSuchKey,
}

/// The keys issued by one process. A request runs only if the table holds its key as issued, so a
/// dropped or foreign key never runs it again.
#[derive(Debug)]
pub struct Ledger {
    boot: u64,
    keys_max: usize,
    answer_max: usize,
    next: u64,
    entries: BTreeMap<u64, Entry>,
    order: VecDeque<u64>,
}

impl Ledger {
    /// Creates an empty table for process `boot`, with at most `keys_max` keys and responses of at
    /// most `answer_max` bytes.
    pub fn new(boot: u64, keys_max: usize, answer_max: usize) -> Self {
        Self {
            boot,
            keys_max,
            answer_max,
            next: 0,
            entries: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Issues a key to a customer. If the table is full, the oldest key whose request is not
    /// running is dropped; returns `None` if all are running.
    pub fn issue(&mut self, name: &Arc<str>, customer: &str, secret: u64) -> Option<Key> {
        if self.entries.len() >= self.keys_max && !self.drop_oldest() {
            return None;
        }
        self.next += 1;
        let entry = Entry {
            customer: customer.into(),
            secret,
            state: State::Issued,
        };
        self.entries.insert(self.next, entry);
        self.order.push_back(self.next);
        Some(Key {
            name: name.clone(),
            boot: self.boot,
            number: self.next,
            secret,
        })
    }

    fn drop_oldest(&mut self) -> bool {
        let not_running = |number: &u64| {
            self.entries
                .get(number)
                .is_none_or(|entry| entry.state != State::Running)
        };
        let Some(position) = self.order.iter().position(not_running) else {
            return false;
        };
        if let Some(number) = self.order.remove(position) {
            self.entries.remove(&number);
        }
        true
    }

    /// Admits a request of `customer` under `key`, if it may run.
    pub fn admit(&mut self, key: &Key, customer: &str) -> Admission {
        let Some(entry) = self.entry(key) else {
            return Admission::NoSuchKey;
        };
        if &*entry.customer != customer {
            return Admission::NoSuchKey;
        }
        match &entry.state {
            State::Issued => {
                entry.state = State::Running;
                Admission::Run
            }
            State::Running => Admission::InProgress,
            State::Done(answer) => Admission::Done(answer.clone()),
            State::Lost => Admission::Lost,
        }
    }

    /// Records that the admitted request was not passed to the target. The key may be used again.
    pub fn not_run(&mut self, key: &Key) {
        self.set(key, State::Issued);
    }

    /// Records that the request ran.
    pub fn done(&mut self, key: &Key, answer: Answer) {
        let kept = (answer.body.len() <= self.answer_max).then_some(answer);
        self.set(key, State::Done(kept));
    }

    /// Records that the request's outcome is unknown.
    pub fn lost(&mut self, key: &Key) {
        self.set(key, State::Lost);
    }

    fn set(&mut self, key: &Key, state: State) {
        if let Some(entry) = self.entry(key)
            && entry.state == State::Running
        {
            entry.state = state;
        }
    }

    fn entry(&mut self, key: &Key) -> Option<&mut Entry> {
        if key.boot != self.boot {
            return None;
        }
        self.entries
            .get_mut(&key.number)
            .filter(|entry| entry.secret == key.secret)
    }
}

/// Hundredths of a retry earned by each first attempt.
const RETRY_EARNINGS: u32 = 10;

/// Cost of a retry, in hundredths.
const RETRY_COST: u32 = 100;

/// Maximum savings, in hundredths of a retry.
const RETRY_SAVINGS_MAX: u32 = 2_000;

/// Retry budget: a tenth of the first attempts, so that retries can't amplify an overload.
#[derive(Debug)]
pub struct RetryBudget {
    savings: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            savings: RETRY_SAVINGS_MAX / 2,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.savings = (self.savings + RETRY_EARNINGS).min(RETRY_SAVINGS_MAX);
    }

    /// Takes one retry from the budget, if available.
    pub fn spend(&mut self) -> bool {
        if self.savings < RETRY_COST {
            return false;
        }
        self.savings -= RETRY_COST;
        true
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Interruption {
    /// The target's agent was unreachable: no byte was sent.
    NotReached,
    /// The agent answered that it did not admit the request.
    NotAdmitted,
    /// Bytes were sent, and no response arrived.
    NoAnswer,
    /// The agent answered that the request may have run.
    Lost,
    /// The response broke off.
    MidAnswer,
}

/// What is known of a request when an attempt fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Situation {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it has a key, which binds it to one box.
    pub keyed: bool,
    /// Whether its response can be resumed at an offset.
    pub resumable: bool,
    /// Whether an earlier attempt may have run.
    pub tainted: bool,
    /// Whether part of the response has reached the caller.
    pub begun: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Next {
    /// Try another target.
    Elsewhere,
    /// Resume the response at its offset, at the same target or at another with the same version.
    Resume,
    /// Report the outcome to the caller immediately.
    GiveUp(Outcome),
}

/// Maximum number of attempts per request.
pub const ATTEMPTS_MAX: u32 = 4;

/// Whether the failure proves that the attempt did not run.
fn proves_not_run(interruption: Interruption) -> bool {
    matches!(
        interruption,
        Interruption::NotReached | Interruption::NotAdmitted
    )
}

/// Returns what is known of a request after a failed attempt. If it has a key, only the key's own
/// table can report "not run", since nothing else could have run it.
pub fn outcome_after(interruption: Interruption, situation: Situation) -> Outcome {
    let certainly_not_run = proves_not_run(interruption) && !situation.tainted && !situation.begun;
    if certainly_not_run && (!situation.keyed || interruption == Interruption::NotAdmitted) {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

/// Decides what to do after a failed attempt. A request that is not repeatable is sent elsewhere
/// only if it certainly did not run; one with a key never is, since its key is bound to one box.
pub fn after_interruption(
    interruption: Interruption,
    situation: Situation,
    budget: &mut RetryBudget,
) -> Next {
    let outcome = outcome_after(interruption, situation);
    let certainly_not_run = proves_not_run(interruption) && !situation.tainted && !situation.begun;
    let exhausted = situation.attempts >= ATTEMPTS_MAX || situation.remaining_ms == 0;
    if exhausted || situation.keyed {
        return Next::GiveUp(outcome);
    }
    if situation.begun || interruption == Interruption::MidAnswer {
        let allowed = situation.resumable && budget.spend();
        return if allowed {
            Next::Resume
        } else {
            Next::GiveUp(outcome)
        };
    }
    let allowed = (situation.repeatable || certainly_not_run) && budget.spend();
    if allowed {
        Next::Elsewhere
    } else {
        Next::GiveUp(outcome)
    }
}
