//! Detection of poison requests, which crash one replica after another.
//!
//! Such a request is sent again under a new id and to any entry, or all that its senders' requests
//! have in common is one part of their prompts. So no single entry can detect it. Entries count
//! crashes under a [`Subject`]: the whole request, and each part of its prompt that others may have
//! as well. They tell each other which instance of which replica ended while a request with the
//! subject ran there. Each instance counts once, whoever reports it, so reports can be merged in any
//! order and repeatedly.
//!
//! Other requests that ran on the same replica are interrupted as well. They complete elsewhere,
//! which a poison request never does: a complete response clears all earlier crashes of its
//! subjects. What is left is attributed to as few subjects as possible ([`group`]). Whether a blocked
//! subject has become harmless is determined by single trials.

mod case;
mod group;
mod window;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::hash;
use crate::member::replica::Instance;
use case::Case;
pub use group::Group;
pub use window::Window;

/// Crashes under a subject, one after the other, after which it is sent to no further replica.
pub const CRASHES_MAX: usize = 3;

/// Pauses before a blocked subject is tried again: after the last crash, and after each further
/// trial. The first is short for the sake of a popular request that ran beside a poison one. Each
/// failed trial costs a replica and everything that runs there, so there are no more after this
/// many.
const TRIAL_PAUSES: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(20),
    Duration::from_secs(600),
];

/// Retention of a subject after the last event.
const RETENTION: Duration = Duration::from_secs(900);

/// Retention of a subject that can be blocked. Afterwards it may crash as many replicas again, unless its fault
/// has been fixed.
const BLOCKED_RETENTION: Duration = Duration::from_secs(3_600);

/// Time after a complete response within which a reported crash counts as earlier. Reports carry
/// ages, which grow while they are in transit.
const REPORT_LATENCY: Duration = Duration::from_millis(250);

/// Time for which a complete response is reported again and again.
const SUCCESS_REPORT_TIME: Duration = Duration::from_secs(60);

/// Maximum number of remembered subjects. Crashes are rare; each involves as many requests as ran
/// on the replica, with a few subjects each.
const CASES_MAX: usize = 1_024;

/// Maximum number of remembered crashes per subject.
const CRASHES_KEPT_MAX: usize = 32;

/// Maximum number of subjects per report to another entry; those with the most crashes come first.
const REPORTS_MAX: usize = 64;

/// What crashes are counted under: a request, or a part of prompts. A hash of what identifies it at
/// every entry.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Subject(u64);

impl Subject {
    /// Returns the subject of a request of `caller` for `path` at `host` with `body`: what stays the
    /// same when it is sent again under another id or to another entry.
    pub fn request(host: &str, path: &str, caller: &str, body: &[u8]) -> Self {
        let parts = [host.as_bytes(), path.as_bytes(), caller.as_bytes(), body];
        Self(hash::of(parts))
    }

    /// Returns the subject of the part `id` of prompts for `model`.
    pub fn prompt_part(model: &str, id: &str) -> Self {
        let parts = [&b"prompt part"[..], model.as_bytes(), id.as_bytes()];
        Self(hash::of(parts))
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The crash of a replica, as sent between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The replica instance that ended.
    #[serde(rename = "life")]
    pub instance: Instance,
    /// Milliseconds since the crash at the least.
    pub age_ms: u64,
    /// Milliseconds that it may have been earlier.
    #[serde(default)]
    pub window_ms: u64,
}

impl Crash {
    /// The time in which it happened.
    fn window(&self, now: Time) -> Window {
        let latest = now - Duration::from_millis(self.age_ms);
        Window {
            earliest: latest - Duration::from_millis(self.window_ms),
            latest,
        }
    }
}

/// What is known of one subject, as sent between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseReport {
    /// The subject.
    #[serde(rename = "name")]
    pub subject: Subject,
    /// The crashes under it.
    #[serde(default)]
    #[serde(rename = "ends")]
    pub crashes: Vec<Crash>,
    /// The subjects that all requests under which they happened had in common.
    #[serde(default)]
    pub companions: Vec<Subject>,
    /// Milliseconds since the last complete response, if any.
    #[serde(default)]
    #[serde(rename = "good_ms")]
    pub success_age_ms: Option<u64>,
    /// Number of trials since it was blocked.
    #[serde(default)]
    #[serde(rename = "tries")]
    pub trials: u32,
    /// Milliseconds since the last trial.
    #[serde(default)]
    #[serde(rename = "tried_ms")]
    pub trial_age_ms: Option<u64>,
}

/// Whether a request may be sent to a replica, from the mildest to the strictest verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It must not be sent, except for a single trial across all entries.
    TrialDue,
    /// It must not be sent.
    Blocked,
}

/// What crashes of replicas are counted under, as known to one entry.
#[derive(Debug, Default)]
pub struct Registry {
    cases: BTreeMap<Subject, Case>,
    /// Subjects to be reported to others.
    changes: BTreeSet<Subject>,
    /// What is blocked.
    groups: Vec<Group>,
    /// What was blocked since the last call of [`Registry::take_newly_blocked`].
    newly_blocked: Vec<Group>,
}

impl Registry {
    /// Records that `instance` crashed in `window` while one request with all of `subjects` was
    /// running there. Returns whether that is new.
    pub fn record_crash(
        &mut self,
        subjects: &[Subject],
        instance: &Instance,
        window: impl Into<Window>,
    ) -> bool {
        let window = window.into();
        let mut changed = false;
        for subject in subjects {
            self.make_room(*subject);
            let case = self.cases.entry(*subject).or_default();
            if case.record_crash(instance, window, subjects) {
                self.changes.insert(*subject);
                changed = true;
            }
        }
        if changed {
            self.attribute();
        }
        changed
    }

    /// Records a complete response to a request with `subjects`. Returns whether other entries have
    /// to be notified. That is not needed for the many requests that ran beside a poison one and
    /// completed at the next replica, which have a single crash.
    pub fn record_success(&mut self, subjects: &[Subject], now: Time) -> bool {
        let mut shared = false;
        // That a part completes is remembered before it is ever suspected.
        for part in subjects.iter().skip(1) {
            self.make_room(*part);
            self.cases.entry(*part).or_default();
        }
        for subject in subjects {
            let Some(case) = self.cases.get_mut(subject) else {
                continue;
            };
            let crashes = case.crashes();
            if case.record_success(now) && crashes > 1 {
                case.share_success();
                self.changes.insert(*subject);
                shared = true;
            }
        }
        if shared {
            self.attribute();
        }
        shared
    }

    /// Whether a request with `subjects` may be sent to a replica.
    pub fn verdict(&self, subjects: &[Subject], now: Time) -> Verdict {
        let groups = self.groups_in(subjects);
        let verdicts = groups.map(|group| group.verdict(&self.cases, now));
        verdicts.max().unwrap_or(Verdict::Allowed)
    }

    /// What is blocked and occurs in a request with `subjects`.
    pub fn groups_in(&self, subjects: &[Subject]) -> impl Iterator<Item = &Group> {
        let groups = self.groups.iter();
        groups.filter(|group| group.occurs_in(subjects))
    }

    /// Claims the trial of a request with `subjects`, if one is due.
    pub fn claim_trial(&mut self, subjects: &[Subject], now: Time) -> bool {
        if self.verdict(subjects, now) != Verdict::TrialDue {
            return false;
        }
        let groups = self.groups_in(subjects);
        let blocked: BTreeSet<Subject> = groups.flat_map(Group::subjects).collect();
        for subject in blocked {
            let case = self.cases.get_mut(&subject);
            if case.is_some_and(|case| case.record_next_trial(now)) {
                self.changes.insert(subject);
            }
        }
        true
    }

    /// Returns what is known of `subject`.
    pub fn case(&self, subject: Subject, now: Time) -> Option<CaseReport> {
        let case = self.cases.get(&subject)?;
        Some(case.report(subject, now))
    }

    /// Returns what is known of the blocked subjects of a request with `subjects`.
    pub fn blocked_cases(&self, subjects: &[Subject], now: Time) -> Vec<CaseReport> {
        let groups = self.groups_in(subjects);
        let blocked: BTreeSet<Subject> = groups.flat_map(Group::subjects).collect();
        let blocked = blocked.into_iter();
        blocked
            .filter_map(|subject| self.case(subject, now))
            .collect()
    }

    /// Returns the reports of everything learned here since the last call.
    pub fn take_changes(&mut self, now: Time) -> Vec<CaseReport> {
        let changes = std::mem::take(&mut self.changes);
        let cases = changes.into_iter();
        cases
            .filter_map(|subject| self.case(subject, now))
            .collect()
    }

    /// Returns what was blocked since the last call.
    pub fn take_newly_blocked(&mut self) -> Vec<Group> {
        std::mem::take(&mut self.newly_blocked)
    }

    /// Merges reports of another entry. Returns the updated reports of the subjects for which
    /// something was new.
    pub fn merge(&mut self, reports: &[CaseReport], now: Time) -> Vec<CaseReport> {
        let mut updated = Vec::new();
        for report in reports {
            let mut unknown = Case::default();
            let known = self.cases.get_mut(&report.subject);
            let is_known = known.is_some();
            let case = known.unwrap_or(&mut unknown);
            if !case.merge(report, now) {
                continue;
            }
            updated.push(case.report(report.subject, now));
            // Reports without anything new occupy no room.
            if !is_known {
                self.make_room(report.subject);
                self.cases.insert(report.subject, unknown);
            }
        }
        if !updated.is_empty() {
            self.attribute();
        }
        updated
    }

    /// Returns what is known here of the subjects of `reports` that have completed since a crash
    /// that is reported as one of several.
    pub fn contradictions(&self, reports: &[CaseReport], now: Time) -> Vec<CaseReport> {
        let contradicted = reports.iter().filter_map(|report| {
            let case = self.cases.get(&report.subject)?;
            let contradicts = case.contradicts(report, now);
            contradicts.then(|| case.report(report.subject, now))
        });
        contradicted.collect()
    }

    /// Returns the reports on which entries have to agree, those with the most crashes first.
    pub fn reports(&self, now: Time) -> Vec<CaseReport> {
        let cases = self.cases.iter();
        let mut reported: Vec<(&Subject, &Case)> =
            cases.filter(|(_, case)| case.is_reported(now)).collect();
        reported.sort_by_key(|(subject, case)| (std::cmp::Reverse(case.crashes()), **subject));
        let reports = reported.into_iter().take(REPORTS_MAX);
        reports
            .map(|(subject, case)| case.report(*subject, now))
            .collect()
    }

    /// Returns a digest that is equal at entries that agree, and 0 if there is nothing to report.
    pub fn digest(&self, now: Time) -> u64 {
        let mut digest = 0;
        for report in self.reports(now) {
            // The hasher is deterministic, so that processes of the same release compute the same
            // digest.
            let mut hasher = DefaultHasher::new();
            report.subject.hash(&mut hasher);
            report.trials.hash(&mut hasher);
            report.success_age_ms.is_some().hash(&mut hasher);
            // Which crashes they are matters only up to this number: two entries may know
            // different ones, too few each.
            if report.crashes.len() <= CRASHES_MAX {
                report
                    .crashes
                    .iter()
                    .for_each(|crash| crash.instance.hash(&mut hasher));
            }
            digest ^= hasher.finish();
        }
        digest
    }

    /// Returns how many requests and parts of prompts, or sets of them, are blocked.
    pub fn blocked(&self) -> usize {
        self.groups.len()
    }

    /// Drops subjects whose retention has ended.
    pub fn remove_expired(&mut self, now: Time) {
        let before = self.cases.len();
        self.cases.retain(|_, case| !case.is_expired(now));
        if self.cases.len() != before {
            self.attribute();
        }
    }

    /// Attributes the known crashes to subjects.
    fn attribute(&mut self) {
        let groups = group::attribute(&self.cases);
        let known = std::mem::replace(&mut self.groups, groups);
        let new = self.groups.iter();
        let new = new.filter(|group| !known.iter().any(|known| known.is_same(group)));
        self.newly_blocked.extend(new.cloned());
    }

    /// Makes room for `subject`, if necessary by dropping the oldest of the subjects with the fewest
    /// crashes.
    fn make_room(&mut self, subject: Subject) {
        if self.cases.len() < CASES_MAX || self.cases.contains_key(&subject) {
            return;
        }
        let fewest = |(_, case): &(&Subject, &Case)| (case.crashes(), case.last());
        let fewest = self
            .cases
            .iter()
            .min_by_key(fewest)
            .map(|(subject, _)| *subject);
        if let Some(fewest) = fewest {
            self.cases.remove(&fewest);
        }
    }
}
