//! Quotas: the rate of requests that a replica takes from all processes together, as it states in
//! the heads of its responses.
//!
//! A quota applies to the replica instance that stated it, until a response without one answers a
//! request that was sent after the quota was known. Responses overtake each other, so the end of a
//! quota is decided by when its request was sent, and a statement by when it arrived.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::member::replica::Instance;

/// Highest rate that is kept, in requests per second. No replica takes as many.
const PER_S_MAX: f64 = 1_000_000.0;

/// Requests per second that are sent to a replica whose quota is lower. Without any, no response
/// could end the quota.
const TRIAL_PER_S: f64 = 0.2;

/// Time after the end of a quota in which its rate rises, so that the processes do not all turn to
/// the replica at once.
const RECOVERY: Duration = Duration::from_secs(2);

/// Time in which the rate doubles after the end of a quota.
const RECOVERY_DOUBLING: Duration = Duration::from_millis(400);

/// Lowest rate from which it rises, in requests per second.
const RECOVERY_PER_S_MIN: f64 = 1.0;

/// Error of the times in a [`Report`]: the time that messages take, several in a row.
const REPORT_ERROR: Duration = Duration::from_millis(250);

/// How long the quota of an instance is kept after the last statement or report about it.
const RETENTION: Duration = Duration::from_secs(900);

/// Time without a report of a replica's sidecar after which entries tell each other of its quota.
const SIDECAR_SILENCE: Duration = Duration::from_secs(3);

/// Time in milliseconds for which entries tell each other of the end of a quota.
const ENDED_TOLD_MS: u64 = 60_000;

/// Quotas that an entry tells in one message.
const REPORTS_MAX: usize = 64;

/// A rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate {
    /// Requests in a thousand seconds.
    per_1000_s: u64,
}

impl Rate {
    /// A rate of `per_s` requests per second; `None` if that is negative or not a number.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s >= 0.0).then(|| Self {
            per_1000_s: (per_s.min(PER_S_MAX) * 1_000.0).round() as u64,
        })
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} per s", self.per_s())
    }
}

/// What the head of a response states about the quota of its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Statement {
    /// Nothing: the replica has none.
    #[default]
    Absent,
    /// The replica's quota.
    Quota(Rate),
    /// Something that is not a rate. It neither states a quota nor ends one.
    Malformed,
}

/// A change of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The replica has this quota now.
    Stated(Rate),
    /// This quota has ended.
    Ended(Rate),
    /// A statement is malformed, and the previous one was not.
    Malformed,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stated(rate) => write!(formatter, "stated: {rate}"),
            Self::Ended(rate) => write!(formatter, "ended: {rate}"),
            Self::Malformed => formatter.write_str("malformed statement ignored"),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    #[default]
    Unknown,
    Stated {
        rate: Rate,
        /// When the latest response that stated it arrived.
        at: Time,
    },
    Ended {
        rate: Rate,
        since: Time,
        /// When the latest request was sent whose response stated none.
        sent_at: Time,
    },
}

/// The quota of one replica instance, as known to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Quota {
    state: State,
    malformed: bool,
}

impl Quota {
    /// Records the statement in a response that arrived at `now` to a request sent at `sent_at`.
    pub fn record(&mut self, statement: Statement, sent_at: Time, now: Time) -> Option<Change> {
        let was_malformed = self.malformed;
        self.malformed = statement == Statement::Malformed;
        match (statement, self.state) {
            (Statement::Malformed, _) => (!was_malformed).then_some(Change::Malformed),
            (Statement::Quota(rate), state) => {
                self.state = State::Stated { rate, at: now };
                let known = matches!(state, State::Stated { rate: known, .. } if known == rate);
                (!known).then_some(Change::Stated(rate))
            }
            (Statement::Absent, State::Stated { rate, at }) if sent_at >= at => {
                self.state = State::Ended {
                    rate,
                    since: now,
                    sent_at,
                };
                Some(Change::Ended(rate))
            }
            (Statement::Absent, State::Ended { rate, since, .. }) => {
                self.state = State::Ended {
                    rate,
                    since,
                    sent_at,
                };
                None
            }
            (Statement::Absent, _) => None,
        }
    }

    /// The quota in force, in requests per second, as stated by the replica; `None` if there is
    /// none.
    pub fn stated(&self) -> Option<Rate> {
        match self.state {
            State::Stated { rate, .. } => Some(rate),
            State::Unknown | State::Ended { .. } => None,
        }
    }

    /// Requests per second that may be sent at `now`; `None` if they are not limited. The rate
    /// rises for [`RECOVERY`] after the end of a quota.
    pub fn per_s(&self, now: Time) -> Option<f64> {
        match self.state {
            State::Unknown => None,
            State::Stated { rate, .. } => Some(rate.per_s().max(TRIAL_PER_S)),
            State::Ended { rate, since, .. } => {
                let elapsed = now.since(since);
                let doublings = elapsed.as_secs_f64() / RECOVERY_DOUBLING.as_secs_f64();
                let per_s = rate.per_s().max(RECOVERY_PER_S_MIN) * 2.0_f64.powf(doublings);
                (elapsed < RECOVERY).then_some(per_s)
            }
        }
    }

    /// What to tell other processes, if anything.
    pub fn report(&self, now: Time) -> Option<Report> {
        let millis = |at: Time| now.since(at).as_millis() as u64;
        match self.state {
            State::Unknown => None,
            State::Stated { rate, at } => Some(Report {
                rate,
                ended: false,
                age_ms: millis(at),
                sent_age_ms: millis(at),
            }),
            State::Ended {
                rate,
                since,
                sent_at,
            } => Some(Report {
                rate,
                ended: true,
                age_ms: millis(since),
                sent_age_ms: millis(sent_at),
            }),
        }
    }

    /// Applies what another process reported at `now`.
    pub fn merge(&mut self, report: Report, now: Time) -> Option<Change> {
        let Report { rate, ended, .. } = report;
        let at = now - Duration::from_millis(report.age_ms);
        let sent_at = now - Duration::from_millis(report.sent_age_ms);
        match self.state {
            State::Stated { at: known, .. } if ended => {
                if sent_at < known + REPORT_ERROR {
                    return None;
                }
                self.state = State::Ended {
                    rate,
                    since: at,
                    sent_at,
                };
                Some(Change::Ended(rate))
            }
            State::Unknown | State::Ended { .. } if ended => None,
            State::Stated {
                rate: known,
                at: known_at,
            } => {
                if at <= known_at {
                    return None;
                }
                self.state = State::Stated { rate, at };
                (rate != known).then_some(Change::Stated(rate))
            }
            State::Ended { sent_at, .. } if at < sent_at + REPORT_ERROR => None,
            State::Unknown | State::Ended { .. } => {
                self.state = State::Stated { rate, at };
                Some(Change::Stated(rate))
            }
        }
    }
}

/// A quota as told to other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The quota, in force or ended.
    pub rate: Rate,
    /// Whether it has ended.
    #[serde(default)]
    pub ended: bool,
    /// Milliseconds since the response that stated it arrived, or since it ended.
    #[serde(default)]
    pub age_ms: u64,
    /// Milliseconds since the request was sent whose response ended it.
    #[serde(default)]
    pub sent_age_ms: u64,
}

/// The quotas of replica instances, listed or not.
#[derive(Debug, Default)]
pub struct Registry(BTreeMap<Instance, Known>);

#[derive(Debug, Clone, Copy, Default)]
struct Known {
    quota: Quota,
    at: Time,
    /// When a sidecar last reported it. Its reports reach all entries.
    sidecar_at: Option<Time>,
    /// Whether another entry has told it as it is.
    shared: bool,
}

/// Who told of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Teller {
    /// The sidecar of the replica.
    Sidecar,
    /// Another entry.
    Entry,
}

/// The quota of an instance, as entries tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance.
    pub instance: Instance,
    /// Its quota.
    pub report: Report,
}

impl Registry {
    /// Records a statement of `instance`, like [`Quota::record`].
    pub fn record(
        &mut self,
        instance: &Instance,
        statement: Statement,
        sent_at: Time,
        now: Time,
    ) -> Option<Change> {
        if statement == Statement::Absent && !self.0.contains_key(instance) {
            return None;
        }
        let known = self.0.entry(instance.clone()).or_default();
        known.at = now;
        let change = known.quota.record(statement, sent_at, now);
        known.shared &= change.is_none();
        change
    }

    /// Applies what another process reported at `at`, like [`Quota::merge`].
    pub fn merge(
        &mut self,
        instance: &Instance,
        report: Report,
        teller: Teller,
        at: Time,
    ) -> Option<Change> {
        if report.ended && !self.0.contains_key(instance) {
            return None;
        }
        let known = self.0.entry(instance.clone()).or_default();
        known.at = known.at.max(at - Duration::from_millis(report.age_ms));
        if teller == Teller::Sidecar {
            known.sidecar_at = Some(at);
        }
        let change = known.quota.merge(report, at);
        known.shared = known
            .quota
            .report(at)
            .is_some_and(|own| (own.rate, own.ended) == (report.rate, report.ended));
        change
    }

    /// Whether entries have to be told of a quota that none of them has told so far.
    pub fn has_unshared(&self) -> bool {
        self.0
            .values()
            .any(|known| !known.shared && known.quota != Quota::default())
    }

    /// Records that entries are being told of all quotas.
    pub fn mark_shared(&mut self) {
        for known in self.0.values_mut() {
            known.shared = true;
        }
    }

    /// Records that other entries may not have been told of the quota of `instance`.
    pub fn mark_unshared(&mut self, instance: &Instance) {
        if let Some(known) = self.0.get_mut(instance) {
            known.shared = false;
        }
    }

    /// The quotas to tell other entries: the latest ones, without those that sidecars report.
    pub fn reports(&self, now: Time) -> Vec<InstanceReport> {
        let told = self.0.iter().filter(|(_, known)| {
            known
                .sidecar_at
                .is_none_or(|at| now.since(at) >= SIDECAR_SILENCE)
        });
        let mut reports: Vec<InstanceReport> = told
            .filter_map(|(instance, known)| {
                Some(InstanceReport {
                    instance: instance.clone(),
                    report: known.quota.report(now)?,
                })
            })
            .collect();
        reports.retain(|told| !told.report.ended || told.report.age_ms < ENDED_TOLD_MS);
        reports.sort_by_key(|told| told.report.age_ms);
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The quota of `instance`.
    pub fn get(&self, instance: &Instance) -> Quota {
        self.0
            .get(instance)
            .map(|known| known.quota)
            .unwrap_or_default()
    }

    /// Number of quotas in force.
    pub fn stated(&self) -> usize {
        let known = self.0.values();
        known.filter(|known| known.quota.stated().is_some()).count()
    }

    /// Removes what nothing was heard of for long, and quotas that have ended.
    pub fn remove_expired(&mut self, now: Time) {
        self.0.retain(|_, known| {
            let report = known.quota.report(now);
            let over = report.is_some_and(|report| report.ended && report.age_ms >= ENDED_TOLD_MS);
            !over && now.since(known.at) < RETENTION
        });
    }
}
