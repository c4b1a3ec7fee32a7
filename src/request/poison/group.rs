//! Attribution of crashes to subjects.
//!
//! A crash is reported under all subjects of all requests that were running at the replica. The most
//! suspicious subject explains all of its crashes, which then count against no other. Subjects that
//! occurred only in the same requests can't be told apart until a request has only some of them, so
//! a request is blocked only if it has them all.

use std::collections::{BTreeMap, BTreeSet};

use super::case::Case;
use super::window;
use super::{CRASHES_MAX, Subject, TRIAL_PAUSES, Verdict};
use crate::clock::Time;
use crate::member::replica::Instance;

/// Subjects that can't be told apart. A request that has all of them is blocked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Never empty, and in ascending order.
    subjects: Vec<Subject>,
    /// The number of crashes, one after the other, that are attributed to it.
    crashes: usize,
}

impl Group {
    /// Returns its subjects.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        self.subjects.iter().copied()
    }

    /// Whether a request with `subjects` has all of its subjects.
    pub(super) fn occurs_in(&self, subjects: &[Subject]) -> bool {
        self.subjects
            .iter()
            .all(|subject| subjects.contains(subject))
    }

    /// Whether it has the same subjects as `other`.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.subjects == other.subjects
    }

    /// Whether a request that has its subjects may be sent.
    pub(super) fn verdict(&self, cases: &BTreeMap<Subject, Case>, now: Time) -> Verdict {
        let cases = || {
            self.subjects
                .iter()
                .filter_map(|subject| cases.get(subject))
        };
        let last = cases().map(Case::last).max().unwrap_or_default();
        let trials = cases().map(Case::trials).max().unwrap_or_default();
        // A trial whose caller disconnected cost nothing and proved nothing. Others may follow, at
        // the interval of the last one.
        let crashes_since = self.crashes.saturating_sub(CRASHES_MAX);
        let failed_trials = crashes_since.min(trials as usize);
        let pause = TRIAL_PAUSES[(trials as usize).min(TRIAL_PAUSES.len() - 1)];
        if failed_trials < TRIAL_PAUSES.len() && now.since(last) >= pause {
            Verdict::TrialDue
        } else {
            Verdict::Blocked
        }
    }
}

/// A subject with the crashes that are not attributed to another one.
struct Candidate<'a> {
    subject: Subject,
    case: &'a Case,
    crashes: usize,
}

impl<'a> Candidate<'a> {
    /// Returns the candidate if enough of its crashes are left.
    fn new(subject: Subject, case: &'a Case, explained: &BTreeSet<&Instance>) -> Option<Self> {
        let left = case
            .windows()
            .filter(|(instance, _)| !explained.contains(instance));
        let crashes = window::moments(left.map(|(_, window)| window));
        (crashes >= CRASHES_MAX).then_some(Self {
            subject,
            case,
            crashes,
        })
    }

    /// Whether it occurred in exactly the requests in which `other` did, as far as they are known.
    fn is_inseparable(&self, other: &Self) -> bool {
        self.subject == other.subject
            || self.case.has_companion(other.subject) && other.case.has_companion(self.subject)
    }
}

/// Attributes the crashes of `cases` to as few subjects as possible.
pub(super) fn attribute(cases: &BTreeMap<Subject, Case>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    let mut explained = BTreeSet::new();
    loop {
        let candidates = cases.iter();
        let candidates: Vec<Candidate<'_>> = candidates
            .filter(|(_, case)| case.crashes() >= CRASHES_MAX)
            .filter_map(|(subject, case)| Candidate::new(*subject, case, &explained))
            .collect();
        // What has completed lately is suspected only of what nothing else explains.
        let suspicion =
            |candidate: &Candidate<'_>| (candidate.case.never_succeeded(), candidate.crashes);
        let Some(most) = candidates.iter().map(suspicion).max() else {
            return groups;
        };
        let most_suspicious = || candidates.iter().filter(|&one| suspicion(one) == most);
        for top in most_suspicious() {
            let inseparable = candidates.iter().filter(|one| one.is_inseparable(top));
            let group = Group {
                subjects: inseparable.map(|one| one.subject).collect(),
                crashes: top.crashes,
            };
            if !groups.iter().any(|known| group.is_same(known)) {
                groups.push(group);
            }
        }
        let instances = most_suspicious().flat_map(|top| top.case.windows());
        explained.extend(instances.map(|(instance, _)| instance));
    }
}
