//! Requests: what is known of whether one ran, keys for those that must run at most once, and the
//! budget of retries.

pub mod attempt;
pub mod budget;
pub mod poison;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran.
    Ran,
    /// It surely did not run.
    NotRun,
    /// It may have run, in whole or in part.
    Unknown,
}

/// A key for one request that must run at most once. It is bound to a box and to the process that
/// issued it there, so every entry leads it to that one table or nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The box whose agent issued it.
    pub name: Arc<str>,
    /// The process that issued it.
    pub boot: u64,
    /// Its number there.
    pub number: u64,
    /// A secret, so that keys cannot be guessed.
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

/// Text that is no key.
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

/// A finished request's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// Where a keyed request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The key was issued; nothing was sent under it.
    Issued,
    /// It runs.
    Running,
    /// It ran. The answer may have been too long to keep.
    Done(Option<Answer>),
    /// It was handed to the target, and how that ended is not known.
    Lost,
}

#[derive(Debug)]
struct Entry {
    customer: Arc<str>,
    secret: u64,
    state: State,
}

/// What to do with a request that comes under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run it, now: no one else will.
    Run,
    /// It is running.
    InProgress,
    /// It ran; this is the answer, if it was kept.
    Done(Option<Answer>),
    /// It may have run.
    Lost,
    /// This table never issued the key, or has dropped it: it will not run here, and whether it
    /// ever ran is not known.
    NoSuchKey,
}

/// The table of keys that one process issued. A request runs only if its key stands here as issued,
/// so a dropped or foreign key can never run it again.
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
    /// An empty table of process `boot`, of at most `keys_max` keys and answers of `answer_max`
    /// bytes.
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

    /// Issues a key to a customer. The oldest key that is not running is dropped when the table is
    /// full; `None` when all are running.
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
        let idle = |number: &u64| {
            self.entries
                .get(number)
                .is_none_or(|entry| entry.state != State::Running)
        };
        let Some(position) = self.order.iter().position(idle) else {
            return false;
        };
        if let Some(number) = self.order.remove(position) {
            self.entries.remove(&number);
        }
        true
    }

    /// Takes a request under `key` from `customer`.
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

    /// The admitted request was not handed to the target after all: the key is as new.
    pub fn not_run(&mut self, key: &Key) {
        self.set(key, State::Issued);
    }

    /// The request ran.
    pub fn done(&mut self, key: &Key, answer: Answer) {
        let kept = (answer.body.len() <= self.answer_max).then_some(answer);
        self.set(key, State::Done(kept));
    }

    /// How the request ended is not known.
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

/// Hundredths of a retry that each first try earns.
const RETRY_EARNED: u32 = 10;

/// Hundredths that one retry costs.
const RETRY_COST: u32 = 100;

/// Hundredths that can be saved up.
const RETRY_SAVED_MAX: u32 = 2_000;

/// A budget of retries: a tenth of the first tries, so that retries cannot multiply an overload.
#[derive(Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: RETRY_SAVED_MAX / 2,
        }
    }
}

impl RetryBudget {
    /// A first try was made.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_EARNED).min(RETRY_SAVED_MAX);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}

/// How an attempt to have a request answered went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Interruption {
    /// The target's agent could not be reached: no byte left.
    NotReached,
    /// The agent answered that it did not admit the request.
    NotAdmitted,
    /// Bytes left, and no answer came.
    NoAnswer,
    /// The agent answered that the request may have run.
    Lost,
    /// The answer broke off.
    MidAnswer,
}

/// What is known of a request when an attempt breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Situation {
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether it has a key, which binds it to one box.
    pub keyed: bool,
    /// Whether its answer can be taken up at an offset.
    pub resumable: bool,
    /// Whether an earlier attempt may have run.
    pub tainted: bool,
    /// Whether part of the answer has reached the caller.
    pub begun: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
}

/// What to do after a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Next {
    /// Try another target.
    Elsewhere,
    /// Take the answer up at its offset: at the same target, or at another of the same version.
    Resume,
    /// Tell the caller, now.
    GiveUp(Outcome),
}

/// Attempts that one request may take.
pub const ATTEMPTS_MAX: u32 = 4;

/// Whether a break shows that its attempt did not run.
fn certain(found: Interruption) -> bool {
    matches!(found, Interruption::NotReached | Interruption::NotAdmitted)
}

/// What is known of a request after a break. Under a key only the key's own table can say "not
/// run": it is the only one that could have run it.
pub fn outcome_after(found: Interruption, situation: Situation) -> Outcome {
    let clean = certain(found) && !situation.tainted && !situation.begun;
    if clean && (!situation.keyed || found == Interruption::NotAdmitted) {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

/// Decides what follows a break. A request that is not repeatable goes elsewhere only after a sure
/// "not run"; one with a key never does, because its key leads to one box alone.
pub fn after_interruption(
    found: Interruption,
    situation: Situation,
    budget: &mut RetryBudget,
) -> Next {
    let outcome = outcome_after(found, situation);
    let clean = certain(found) && !situation.tainted && !situation.begun;
    let exhausted = situation.attempts >= ATTEMPTS_MAX || situation.remaining_ms == 0;
    if exhausted || situation.keyed {
        return Next::GiveUp(outcome);
    }
    if situation.begun || found == Interruption::MidAnswer {
        let may = situation.resumable && budget.spend();
        return if may {
            Next::Resume
        } else {
            Next::GiveUp(outcome)
        };
    }
    let may = (situation.repeatable || clean) && budget.spend();
    if may {
        Next::Elsewhere
    } else {
        Next::GiveUp(outcome)
    }
}
