//! Detects replicas that crashed while a request was running, and blocks requests that were
//! running when several replicas crashed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;

use super::dialect::{Code, Refusal};
use super::dispatch::Dispatch;
use super::trace;
use super::{CONNECT_TIMEOUT, Gateway};
use crate::clock::Time;
use crate::knowledge::poison;
use crate::member::replica::Instance;
use crate::request::poison::{CaseReport, Subject, Verdict, Window};

/// Delays between checks whether the list or the sidecar reports the crash of a replica or a
/// new instance. Connecting once is not enough: a replica that restarts at once accepts
/// connections as before, and a replica may crash shortly after an attempt was abandoned. The
/// delays make up one round.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1_000),
];

/// What the entry observed when an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Observation {
    /// It broke: if the replica crashed, it already has.
    Broken,
    /// Nothing: it was abandoned before the replica had finished it.
    Abandoned,
}

/// An attempt during which the replica may have crashed.
#[derive(Debug)]
struct Suspect {
    subjects: Rc<[Subject]>,
    instance: Instance,
    observation: Observation,
    /// When the replica was last known to be alive.
    alive_at: Time,
    /// When the attempt ended.
    at: Time,
    /// The ids of the replicas that were known at the address when the attempt ended.
    known: Vec<Arc<str>>,
}

impl Suspect {
    /// When the replica crashed, which is known at `now`.
    fn window(&self, now: Time) -> Window {
        match self.observation {
            Observation::Broken => self.at.into(),
            Observation::Abandoned => Window {
                earliest: self.alive_at,
                latest: now,
            },
        }
    }
}

/// The suspects at one address while the replica there is being checked.
#[derive(Debug, Default)]
struct Watch {
    suspects: Vec<Suspect>,
    /// Whether a connection was tried in this round because an attempt broke.
    connected: bool,
}

impl Watch {
    /// Whether to try a connection now because an attempt broke. Returns true once in a round.
    fn connects(&mut self) -> bool {
        let broke = |suspect: &Suspect| suspect.observation == Observation::Broken;
        let connects = !self.connected && self.suspects.iter().any(broke);
        self.connected |= connects;
        connects
    }
}

/// The addresses that are being checked.
#[derive(Debug, Default)]
pub(super) struct Suspects(BTreeMap<SocketAddr, Watch>);

impl Suspects {
    /// Begins a round at `address` and drops the suspects from before the previous round, which
    /// began at `last`. Returns whether any are left.
    fn begin_round(&mut self, address: SocketAddr, last: Time) -> bool {
        let watch = self.0.entry(address).or_default();
        watch.suspects.retain(|suspect| suspect.at >= last);
        watch.connected = false;
        let left = !watch.suspects.is_empty();
        if !left {
            self.0.remove(&address);
        }
        left
    }
}

impl Gateway {
    /// Adds an attempt of a request with `subjects` that ended without a response from the replica
    /// `instance`, which was alive at `alive_at`. The network may have failed or the caller left; it
    /// counts against the request only if the replica crashed.
    pub(super) fn suspect(
        self: &Rc<Self>,
        subjects: Rc<[Subject]>,
        instance: Instance,
        address: SocketAddr,
        observation: Observation,
        alive_at: Time,
    ) {
        let mut suspects = self.suspects.borrow_mut();
        let watched = suspects.0.contains_key(&address);
        let watch = suspects.0.entry(address).or_default();
        watch.suspects.push(Suspect {
            subjects,
            instance,
            observation,
            alive_at,
            at: self.knowledge.now(),
            known: self.pool.borrow().ids_at(address),
        });
        if !watched {
            actix_rt::spawn(self.clone().watch(address));
        } else if watch.connects() {
            // The address may already be checked because of an abandoned attempt, and the replica
            // may have restarted by the next round.
            actix_rt::spawn(self.clone().connect(address));
        }
    }

    /// Checks the replica at `address` in rounds until no suspects are left.
    async fn watch(self: Rc<Self>, address: SocketAddr) {
        let mut last = Time::default();
        while self.suspects.borrow_mut().begin_round(address, last) {
            last = self.knowledge.now();
            // All attempts there break together, so one connection serves for all of them.
            if self.connects(address) {
                self.clone().connect(address).await;
            }
            let mut asked = false;
            for pause in CHECK_DELAYS {
                if !self.suspected(address) {
                    break;
                }
                sleep(pause).await;
                self.take_crashed(address, false);
                // Callers may leave often, so an abandoned attempt alone causes no connection,
                // unless the sidecar, which would know of a crash, has not reported recently.
                if !asked
                    && !self
                        .pool
                        .borrow()
                        .recently_reported(address, self.knowledge.now())
                {
                    asked = true;
                    self.clone().connect(address).await;
                }
            }
        }
    }

    fn connects(&self, address: SocketAddr) -> bool {
        let mut suspects = self.suspects.borrow_mut();
        suspects.0.get_mut(&address).is_some_and(Watch::connects)
    }

    fn suspected(&self, address: SocketAddr) -> bool {
        let suspects = self.suspects.borrow();
        let watch = suspects.0.get(&address);
        watch.is_some_and(|watch| !watch.suspects.is_empty())
    }

    /// Tries to connect to `address`; if the connection is refused, all suspects there count.
    async fn connect(self: Rc<Self>, address: SocketAddr) {
        let refused = self.client.probe_refused(address, CONNECT_TIMEOUT).await;
        self.take_crashed(address, refused);
    }

    /// Counts the suspects at `address` whose replica has crashed: all of them if connections
    /// are `refused`, or else those whose instance is over.
    fn take_crashed(&self, address: SocketAddr, refused: bool) {
        self.refresh_pool();
        let now = self.knowledge.now();
        let mut suspects = self.suspects.borrow_mut();
        let Some(watch) = suspects.0.get_mut(&address) else {
            return;
        };
        let pool = self.pool.borrow();
        let over = |suspect: &mut Suspect| {
            refused || pool.superseded(address, suspect.instance.born, &suspect.known, now)
        };
        let ended: Vec<Suspect> = watch.suspects.extract_if(.., over).collect();
        let Some(first) = ended.first() else {
            return;
        };
        let given_up = |suspect: &&Suspect| suspect.observation == Observation::Abandoned;
        log::warn!(
            replica = &*first.instance.id, address:% = address, requests = ended.len(),
            given_up = ended.iter().filter(given_up).count();
            "replica crashed while requests were running"
        );
        let mut register = self.knowledge.poison.borrow_mut();
        for suspect in &ended {
            self.instruments.count_crash();
            register.record_crash(&suspect.subjects, &suspect.instance, suspect.window(now));
        }
        drop(register);
        poison::log_newly_blocked(&self.knowledge);
        self.knowledge.poison_changed.notify_one();
    }

    /// Records that a replica answered a request with `subjects` completely.
    pub(super) fn record_success(&self, subjects: &[Subject]) {
        let now = self.knowledge.now();
        let changed = self
            .knowledge
            .poison
            .borrow_mut()
            .record_success(subjects, now);
        if changed {
            let name = trace::names(subjects.get(..1));
            let parts = trace::names(subjects.get(1..));
            log::info!(name, parts; "request completed that was running when replicas crashed");
            self.knowledge.poison_changed.notify_one();
        }
    }
}

fn describe(case: &CaseReport) -> String {
    let crashes = case.crashes.iter();
    let crashes: Vec<String> = crashes
        .map(|crash| format!("{} {} ms ago", crash.instance.id, crash.age_ms))
        .collect();
    format!(
        "replicas ended under {}: {}",
        case.subject,
        crashes.join(", ")
    )
}

impl Dispatch {
    fn verdict(&self) -> Verdict {
        let knowledge = &self.gateway.knowledge;
        let register = knowledge.poison.borrow();
        register.verdict(&self.job.subjects, knowledge.now())
    }

    /// Whether the request may be sent to a replica without restriction.
    pub(super) fn is_allowed(&self) -> bool {
        self.verdict() == Verdict::Allowed
    }

    /// Refuses the request if it is blocked and no trial is due.
    pub(super) fn check_blocked(&self) -> Result<(), Refusal> {
        match self.verdict() {
            Verdict::Allowed | Verdict::TrialDue => Ok(()),
            Verdict::Blocked => Err(self.blocked_refusal()),
        }
    }

    /// Refuses the request if it is blocked, unless a single trial is due and is granted to it. To
    /// be called before each attempt: the verdict may have changed while the request waited for a
    /// lease, or during an earlier attempt.
    pub(super) async fn claim_trial(&self) -> Result<(), Refusal> {
        match self.verdict() {
            Verdict::Allowed => Ok(()),
            Verdict::TrialDue
                if poison::claim_trial(&self.gateway.knowledge, &self.job.subjects).await =>
            {
                Ok(())
            }
            Verdict::TrialDue | Verdict::Blocked => Err(self.blocked_refusal()),
        }
    }

    /// The refusal of a blocked request. It invites no retry, as that would serve nobody.
    pub(super) fn blocked_refusal(&self) -> Refusal {
        let knowledge = &self.gateway.knowledge;
        let register = knowledge.poison.borrow();
        let cases = register.blocked_cases(&self.job.subjects, knowledge.now());
        let details: Vec<String> = cases.iter().map(describe).collect();
        Refusal::new(Code::Poison, details.join("; "))
    }
}
