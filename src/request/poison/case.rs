//! What is known of one subject.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    BLOCKED_RETENTION, CRASHES_KEPT_MAX, CRASHES_MAX, CaseReport, Crash, REPORT_LATENCY, RETENTION,
    SUCCESS_REPORT_TIME, Subject, Window,
};
use crate::clock::Time;
use crate::member::replica::Instance;

/// What is known of one subject.
#[derive(Debug, Clone, Default)]
pub(super) struct Case {
    crashes: BTreeMap<Instance, Window>,
    /// The subjects that all requests under which it crashed had in common, if that is known.
    companions: Option<BTreeSet<Subject>>,
    /// Time of the last complete response.
    last_success: Option<Time>,
    /// Time of the last complete response that other entries are to know of: one that clears a single
    /// crash is not worth a message.
    shared_success: Option<Time>,
    trials: u32,
    last_trial: Option<Time>,
}

impl Case {
    /// Records a crash while a request with all of `subjects` was running. Returns whether that is
    /// new.
    pub(super) fn record_crash(
        &mut self,
        instance: &Instance,
        window: Window,
        subjects: &[Subject],
    ) -> bool {
        if self.is_cleared(window.earliest) {
            return false;
        }
        self.record_instance(instance, window) | self.record_companions(subjects)
    }

    fn record_instance(&mut self, instance: &Instance, window: Window) -> bool {
        if self.crashes.contains_key(instance) {
            return false;
        }
        if self.crashes.len() >= CRASHES_KEPT_MAX {
            // An earlier one may be attributed to another subject.
            let oldest = self.crashes.iter().min_by_key(|(_, window)| window.latest);
            let oldest = oldest.filter(|(_, oldest)| oldest.latest < window.latest);
            let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) else {
                return false;
            };
            self.crashes.remove(&oldest);
        }
        self.crashes.insert(instance.clone(), window);
        true
    }

    /// Records that a request with all of `subjects` was running when a replica crashed. Returns
    /// whether that is new.
    fn record_companions(&mut self, subjects: &[Subject]) -> bool {
        let Some(companions) = &mut self.companions else {
            self.companions = Some(subjects.iter().copied().collect());
            return true;
        };
        let before = companions.len();
        companions.retain(|companion| subjects.contains(companion));
        companions.len() < before
    }

    /// Whether the last complete response was later than an event at `at`.
    fn is_cleared(&self, at: Time) -> bool {
        self.last_success
            .is_some_and(|last_success| at <= last_success + REPORT_LATENCY)
    }

    /// Records a complete response, which clears everything before it. Returns whether that is new.
    pub(super) fn record_success(&mut self, at: Time) -> bool {
        if self.is_cleared(at) {
            return false;
        }
        self.last_success = Some(at);
        let begins_later = |window: &Window| window.earliest > at + REPORT_LATENCY;
        self.crashes.retain(|_, window| begins_later(window));
        if self.crashes.is_empty() {
            self.companions = None;
        }
        self.trials = 0;
        self.last_trial = None;
        true
    }

    /// Has other entries know of the last complete response.
    pub(super) fn share_success(&mut self) {
        self.shared_success = self.last_success;
    }

    /// Whether `report` has several crashes, of which at least one is earlier than the last complete
    /// response.
    pub(super) fn contradicts(&self, report: &CaseReport, now: Time) -> bool {
        let crashes = report.crashes.iter();
        let mut crashes = crashes.map(|crash| crash.window(now));
        report.crashes.len() > 1 && crashes.any(|window| self.is_cleared(window.earliest))
    }

    /// Records the next trial. Returns whether that is new.
    pub(super) fn record_next_trial(&mut self, at: Time) -> bool {
        self.record_trial(self.trials + 1, at)
    }

    /// Records that there have been `trials` trials, the last one at `at`. Returns whether that is
    /// new.
    fn record_trial(&mut self, trials: u32, at: Time) -> bool {
        if self.is_cleared(at) || trials <= self.trials {
            return false;
        }
        self.trials = trials;
        self.last_trial = Some(at);
        true
    }

    /// The number of known crashes.
    pub(super) fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// The instances that crashed, and when.
    pub(super) fn windows(&self) -> impl Iterator<Item = (&Instance, Window)> {
        let crashes = self.crashes.iter();
        crashes.map(|(instance, window)| (instance, *window))
    }

    /// Whether all requests under which it crashed had `subject` as well.
    pub(super) fn has_companion(&self, subject: Subject) -> bool {
        let companions = self.companions.iter();
        companions.flatten().any(|companion| *companion == subject)
    }

    /// Whether no complete response is known.
    pub(super) fn never_succeeded(&self) -> bool {
        self.last_success.is_none()
    }

    /// The number of trials since the last complete response.
    pub(super) fn trials(&self) -> u32 {
        self.trials
    }

    /// Time of the last event.
    pub(super) fn last(&self) -> Time {
        let crashes = self.crashes.values().map(|window| window.latest);
        let last = crashes
            .chain(self.last_success)
            .chain(self.last_trial)
            .max();
        last.unwrap_or_default()
    }

    /// Whether its retention has ended.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        let retention = if self.crashes.len() >= CRASHES_MAX {
            BLOCKED_RETENTION
        } else {
            RETENTION
        };
        now.since(self.last()) >= retention
    }

    /// Whether entries report it repeatedly. A single crash is reported only once.
    pub(super) fn is_reported(&self, now: Time) -> bool {
        let recent_success = self
            .shared_success
            .is_some_and(|success| now.since(success) < SUCCESS_REPORT_TIME);
        self.crashes.len() > 1 || recent_success
    }

    /// What is known, as sent to other entries.
    pub(super) fn report(&self, subject: Subject, now: Time) -> CaseReport {
        let age_ms = |at: Time| now.since(at).as_millis() as u64;
        let crashes = self.crashes.iter().map(|(instance, window)| Crash {
            instance: instance.clone(),
            age_ms: age_ms(window.latest),
            window_ms: window.latest.since(window.earliest).as_millis() as u64,
        });
        CaseReport {
            subject,
            crashes: crashes.collect(),
            companions: self.companions.iter().flatten().copied().collect(),
            success_age_ms: self.last_success.map(age_ms),
            trials: self.trials,
            trial_age_ms: self.last_trial.map(age_ms),
        }
    }

    /// Merges what another entry knows. Returns whether something was new.
    pub(super) fn merge(&mut self, report: &CaseReport, now: Time) -> bool {
        let at = |age_ms: u64| now - Duration::from_millis(age_ms);
        let reported_success = report.success_age_ms.map(at);
        let successful = reported_success.is_some_and(|at| self.record_success(at));
        self.shared_success = self.shared_success.max(reported_success);
        if self.contradicts(report, now) {
            self.share_success();
        }
        let mut changed = successful;
        for crash in &report.crashes {
            let window = crash.window(now);
            changed |=
                !self.is_cleared(window.earliest) && self.record_instance(&crash.instance, window);
        }
        // Entries of earlier releases do not report companions.
        if !self.crashes.is_empty() && !report.companions.is_empty() {
            changed |= self.record_companions(&report.companions);
        }
        if let Some(age) = report.trial_age_ms {
            changed |= self.record_trial(report.trials, at(age));
        }
        changed
    }
}
