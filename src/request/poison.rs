//! Poison requests: those under which replica after replica ends.
//!
//! Such a request comes again under a new id, at any entry, so no single one of them can tell. Entries name requests by
//! what stays the same of them, and tell each other which life of which replica ended while one ran there. Lives are counted once,
//! whoever tells of them, so that what entries know can be put together in any order, any number of times.
//!
//! Other requests that ran beside it are cut as well. They come to an end elsewhere, which a poison request never does: a whole
//! answer takes back all ends before it. Whether a request that is barred has become good is found out by one try at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::hash;
use crate::member::replica::Instance;

/// Replicas that end under a request before it is sent to no other.
pub const MAX_CRASHES: usize = 3;

/// Pauses before a request that is barred is tried once more: after the last end, and after each further try. The first is
/// short, for a popular request that ran beside a poison one; each that fails costs a replica and all that runs there, and after so
/// many of them there are no more.
const TRY_PAUSES: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(20),
    Duration::from_secs(600),
];

/// How long a request is remembered after the last that was learned of it.
const REMEMBERED: Duration = Duration::from_secs(900);

/// How long one that is barred is: then it may end as many replicas again, unless what was wrong with it is mended.
const BARRED_REMEMBERED: Duration = Duration::from_secs(3_600);

/// How much later than a whole answer an end may be dated that came before it: what others tell comes with its age, which grows on
/// its way.
const DATED_WITHIN: Duration = Duration::from_millis(250);

/// How long others are told again that a request came to an end.
const TOLD_GOOD: Duration = Duration::from_secs(60);

/// Requests that are remembered. Ends of replicas are rare; each leaves as many as ran there.
const CASES_MAX: usize = 1_024;

/// Ends that are remembered of one request.
const LIVES_MAX: usize = 8;

/// Requests that others are told of at a time, those with the most ends first.
const TOLD_MAX: usize = 64;

/// What stays the same of a request whenever it comes, under whatever id and at whichever entry: its path, its caller and
/// its body.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestHash(u64);

impl RequestHash {
    /// The name of what `caller` asks for at `path` of `host` with `body`.
    pub fn of(host: &str, path: &str, caller: &str, body: &[u8]) -> Self {
        let parts = [host.as_bytes(), path.as_bytes(), caller.as_bytes(), body];
        Self(hash::of(parts))
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// An end of a replica, as one process tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// What ended.
    #[serde(rename = "life")]
    pub instance: Instance,
    /// Milliseconds since.
    pub age_ms: u64,
}

/// What is known of one request, as one process tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseReport {
    /// The request.
    #[serde(rename = "name")]
    pub request: RequestHash,
    /// The ends of replicas under it.
    #[serde(default)]
    #[serde(rename = "ends")]
    pub crashes: Vec<Crash>,
    /// Milliseconds since it was answered whole, if it was.
    #[serde(default)]
    #[serde(rename = "good_ms")]
    pub success_age_ms: Option<u64>,
    /// Times that it was tried since it is barred.
    #[serde(default)]
    #[serde(rename = "tries")]
    pub trials: u32,
    /// Milliseconds since the last of them.
    #[serde(default)]
    #[serde(rename = "tried_ms")]
    pub trial_age_ms: Option<u64>,
}

/// Whether a request may be sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Allowed,
    /// It may not.
    Blocked,
    /// It may not, but for a single try over all entries.
    TrialDue,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
struct Case {
    ends: BTreeMap<Instance, Time>,
    /// When it was answered whole last.
    good: Option<Time>,
    tries: u32,
    tried: Option<Time>,
}

impl Case {
    /// A replica ended under it. Returns whether that is news.
    fn end(&mut self, instance: Instance, at: Time) -> bool {
        let taken_back = self.good.is_some_and(|good| at <= good + DATED_WITHIN);
        let full = self.ends.len() >= LIVES_MAX;
        if taken_back || full || self.ends.contains_key(&instance) {
            return false;
        }
        self.ends.insert(instance, at);
        true
    }

    /// It was answered whole, which takes back what was before. Returns whether that is news.
    fn come_good(&mut self, at: Time) -> bool {
        if self.good.is_some_and(|good| at <= good + DATED_WITHIN) {
            return false;
        }
        self.good = Some(at);
        self.ends.retain(|_, end| *end > at + DATED_WITHIN);
        self.tries = 0;
        self.tried = None;
        true
    }

    /// It was tried so many times, the last of them at `at`. Returns whether that is news.
    fn tried(&mut self, tries: u32, at: Time) -> bool {
        let taken_back = self.good.is_some_and(|good| at <= good + DATED_WITHIN);
        if taken_back || tries <= self.tries {
            return false;
        }
        self.tries = tries;
        self.tried = Some(at);
        true
    }

    /// When something was learned of it last.
    fn last(&self) -> Time {
        let ends = self.ends.values().copied();
        let last = ends.chain(self.good).chain(self.tried).max();
        last.unwrap_or_default()
    }

    fn verdict(&self, now: Time) -> Verdict {
        if !self.barred() {
            return Verdict::Allowed;
        }
        // A try that its caller left costs nothing and shows nothing: others may follow, as seldom as the last.
        let failed = self.ends.len() - MAX_CRASHES;
        let pause = TRY_PAUSES[(self.tries as usize).min(TRY_PAUSES.len() - 1)];
        if failed < TRY_PAUSES.len() && now.since(self.last()) >= pause {
            Verdict::TrialDue
        } else {
            Verdict::Blocked
        }
    }

    fn barred(&self) -> bool {
        self.ends.len() >= MAX_CRASHES
    }

    /// Whether it is not remembered any more.
    fn forgotten(&self, now: Time) -> bool {
        let remembered = if self.barred() {
            BARRED_REMEMBERED
        } else {
            REMEMBERED
        };
        now.since(self.last()) >= remembered
    }

    /// Whether entries tell each other of it again and again: one end alone is told once.
    fn matters(&self, now: Time) -> bool {
        let good_lately = self.good.is_some_and(|good| now.since(good) < TOLD_GOOD);
        self.ends.len() > 1 || good_lately
    }

    fn report(&self, name: RequestHash, now: Time) -> CaseReport {
        let age_ms = |at: Time| now.since(at).as_millis() as u64;
        let ends = self.ends.iter().map(|(instance, at)| Crash {
            instance: instance.clone(),
            age_ms: age_ms(*at),
        });
        CaseReport {
            request: name,
            crashes: ends.collect(),
            success_age_ms: self.good.map(age_ms),
            trials: self.tries,
            trial_age_ms: self.tried.map(age_ms),
        }
    }

    fn merge(&mut self, told: &CaseReport, now: Time) -> bool {
        let at = |age_ms: u64| now - Duration::from_millis(age_ms);
        let good = told
            .success_age_ms
            .is_some_and(|age| self.come_good(at(age)));
        let mut news = good;
        for end in &told.crashes {
            news |= self.end(end.instance.clone(), at(end.age_ms));
        }
        if let Some(age) = told.trial_age_ms {
            news |= self.tried(told.trials, at(age));
        }
        news
    }
}

/// The requests under which replicas ended, as one entry knows them.
#[derive(Debug, Default)]
pub struct Registry {
    cases: BTreeMap<RequestHash, Case>,
    /// Of which others are to be told.
    news: BTreeSet<RequestHash>,
}

impl Registry {
    /// The replica's life `life` ended at `at` while `name` ran there. Returns whether that is news.
    pub fn record_crash(&mut self, name: RequestHash, instance: Instance, at: Time) -> bool {
        self.make_room(name);
        let news = self.cases.entry(name).or_default().end(instance, at);
        if news {
            self.news.insert(name);
        }
        news
    }

    /// A replica answered `name` whole. Returns whether others are to be told: not of the many that ran beside
    /// one that ends a replica, and come to an end at the next.
    pub fn record_success(&mut self, name: RequestHash, now: Time) -> bool {
        let Some(case) = self.cases.get_mut(&name) else {
            return false;
        };
        if case.ends.len() == 1 {
            self.cases.remove(&name);
            return false;
        }
        let news = !case.ends.is_empty() && case.come_good(now);
        if news {
            self.news.insert(name);
        }
        news
    }

    /// Whether `name` may be sent to a replica.
    pub fn verdict(&self, name: RequestHash, now: Time) -> Verdict {
        let case = self.cases.get(&name);
        case.map_or(Verdict::Allowed, |case| case.verdict(now))
    }

    /// Takes the single try of `name` that is due, if it is.
    pub fn claim_trial(&mut self, name: RequestHash, now: Time) -> bool {
        let due = self.verdict(name, now) == Verdict::TrialDue;
        let case = self.cases.get_mut(&name).filter(|_| due);
        let taken = case.is_some_and(|case| case.tried(case.tries + 1, now));
        if taken {
            self.news.insert(name);
        }
        taken
    }

    /// What is known of `name`.
    pub fn case(&self, name: RequestHash, now: Time) -> Option<CaseReport> {
        let case = self.cases.get(&name)?;
        Some(case.report(name, now))
    }

    /// What was learned here since the last call.
    pub fn take_changes(&mut self, now: Time) -> Vec<CaseReport> {
        let news = std::mem::take(&mut self.news);
        let cases = news.into_iter();
        cases.filter_map(|name| self.case(name, now)).collect()
    }

    /// Takes what another entry tells. Returns what of it is news, as it stands here now.
    pub fn merge(&mut self, told: &[CaseReport], now: Time) -> Vec<CaseReport> {
        let mut news = Vec::new();
        for told in told {
            let known = self.cases.get(&told.request).cloned();
            let mut case = known.unwrap_or_default();
            // What is no news takes no room.
            if case.merge(told, now) {
                news.push(case.report(told.request, now));
                self.make_room(told.request);
                self.cases.insert(told.request, case);
            }
        }
        news
    }

    /// What entries have to know alike, those with the most ends first.
    pub fn reports(&self, now: Time) -> Vec<CaseReport> {
        let cases = self.cases.iter();
        let mut matter: Vec<(&RequestHash, &Case)> =
            cases.filter(|(_, case)| case.matters(now)).collect();
        matter.sort_by_key(|(name, case)| (std::cmp::Reverse(case.ends.len()), **name));
        let told = matter.into_iter().take(TOLD_MAX);
        told.map(|(name, case)| case.report(*name, now)).collect()
    }

    /// Two entries that know alike have the same; 0 if there is nothing to know.
    pub fn digest(&self, now: Time) -> u64 {
        let mut digest = 0;
        for told in self.reports(now) {
            // A fixed function over the fields: processes of one release compare it.
            let mut hasher = DefaultHasher::new();
            told.request.hash(&mut hasher);
            told.trials.hash(&mut hasher);
            told.success_age_ms.is_some().hash(&mut hasher);
            // Which ones they are matters as long as two entries might know different ones of too few.
            if told.crashes.len() <= MAX_CRASHES {
                told.crashes
                    .iter()
                    .for_each(|end| end.instance.hash(&mut hasher));
            }
            digest ^= hasher.finish();
        }
        digest
    }

    /// Requests that are barred now.
    pub fn blocked(&self) -> usize {
        let cases = self.cases.values();
        cases.filter(|case| case.barred()).count()
    }

    /// Forgets what was learned long ago.
    pub fn remove_expired(&mut self, now: Time) {
        self.cases.retain(|_, case| !case.forgotten(now));
    }

    /// Forgets the oldest of those with the fewest ends, if there is no room for `name`.
    fn make_room(&mut self, name: RequestHash) {
        if self.cases.len() < CASES_MAX || self.cases.contains_key(&name) {
            return;
        }
        let least = |(_, case): &(&RequestHash, &Case)| (case.ends.len(), case.last());
        let least = self.cases.iter().min_by_key(least).map(|(name, _)| *name);
        if let Some(least) = least {
            self.cases.remove(&least);
        }
    }
}
