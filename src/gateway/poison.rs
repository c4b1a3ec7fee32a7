//! Finds out whether an attempt without an answer was the end of its replica, and keeps requests from replicas under which others ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;

use super::dialect::{Code, Refusal};
use super::dispatch::Dispatch;
use super::{CONNECT_TIMEOUT, Gateway};
use crate::clock::Time;
use crate::knowledge::poison;
use crate::member::replica::Life;
use crate::request::poison::{ENDS_MAX, Name, Told, Verdict};

/// When it is looked whether the list or the process beside a replica tells of its end or of a new life: one that starts again within a
/// moment takes connections as before, and one may end a moment after an attempt was given up. Together they are a round.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1_000),
];

/// What its entry saw of the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Observation {
    /// It broke: if its replica ended, it is not there now.
    Broken,
    /// Nothing: it was given up before its replica was through with it.
    Abandoned,
}

/// An attempt under which its replica may have ended.
#[derive(Debug)]
struct Suspect {
    name: Name,
    life: Life,
    observation: Observation,
    at: Time,
    /// The replicas that were known at the address then.
    known: Vec<Arc<str>>,
}

/// The attempts under which the replica at one address may have ended, while it is looked whether that is there.
#[derive(Debug, Default)]
struct Watch {
    suspects: Vec<Suspect>,
    /// Whether it was connected to in this round because an attempt broke there.
    connected: bool,
}

impl Watch {
    /// Whether it is to be connected to now because an attempt broke there: once a round.
    fn connects(&mut self) -> bool {
        let broke = |suspect: &Suspect| suspect.observation == Observation::Broken;
        let connects = !self.connected && self.suspects.iter().any(broke);
        self.connected |= connects;
        connects
    }
}

/// What is watched, by address.
#[derive(Debug, Default)]
pub(super) struct Suspects(BTreeMap<SocketAddr, Watch>);

impl Suspects {
    /// Begins a round at `address`: drops the attempts that were over before the last one, which began at `last`. Returns whether
    /// some are left.
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
    /// An attempt of `name` ended without an answer of the replica `life`. A network may have broken it, or its caller have left: only if
    /// the replica ended does it count against the request.
    pub(super) fn suspect(
        self: &Rc<Self>,
        name: Name,
        life: Life,
        address: SocketAddr,
        observation: Observation,
    ) {
        let mut suspects = self.suspects.borrow_mut();
        let watched = suspects.0.contains_key(&address);
        let watch = suspects.0.entry(address).or_default();
        watch.suspects.push(Suspect {
            name,
            life,
            observation,
            at: self.knowledge.now(),
            known: self.pool.borrow().ids_at(address),
        });
        if !watched {
            actix_rt::spawn(self.clone().watch(address));
        } else if watch.connects() {
            // Callers who left may have it watched already, and it may be back at the next round.
            actix_rt::spawn(self.clone().connect(address));
        }
    }

    /// Watches the replica at `address` round by round, while attempts ended there without an answer.
    async fn watch(self: Rc<Self>, address: SocketAddr) {
        let mut last = Time::default();
        while self.suspects.borrow_mut().begin_round(address, last) {
            last = self.knowledge.now();
            // All that ran there break together: one connection serves them.
            if self.connects(address) {
                self.clone().connect(address).await;
            }
            let mut asked = false;
            for pause in CHECK_DELAYS {
                if !self.suspected(address) {
                    break;
                }
                sleep(pause).await;
                self.take_ended(address, false);
                // Callers may leave often, and the process beside a replica knows without a connection.
                if !asked && !self.pool.borrow().heard_of(address, self.knowledge.now()) {
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

    /// Connects to `address`, and counts what ran there if nobody listens.
    async fn connect(self: Rc<Self>, address: SocketAddr) {
        let refused = self.client.refuses(address, CONNECT_TIMEOUT).await;
        self.take_ended(address, refused);
    }

    /// Counts the attempts that were over with the end of a life at `address`; `refused` says that nobody listens there.
    fn take_ended(&self, address: SocketAddr, refused: bool) {
        self.refresh_pool();
        let now = self.knowledge.now();
        let mut suspects = self.suspects.borrow_mut();
        let Some(watch) = suspects.0.get_mut(&address) else {
            return;
        };
        let pool = self.pool.borrow();
        let over = |suspect: &mut Suspect| {
            refused || pool.outlived(address, suspect.life.born, &suspect.known, now)
        };
        let ended: Vec<Suspect> = watch.suspects.extract_if(.., over).collect();
        let Some(first) = ended.first() else {
            return;
        };
        let given_up = |suspect: &&Suspect| suspect.observation == Observation::Abandoned;
        log::warn!(
            replica = &*first.life.id, address:% = address, requests = ended.len(),
            given_up = ended.iter().filter(given_up).count();
            "a replica ended, with all that ran there"
        );
        for Suspect { name, life, .. } in ended {
            self.instruments.count_replica_end();
            let news = self.knowledge.poison.borrow_mut().ended(name, life, now);
            if news {
                self.log_if_barred(name);
            }
        }
        self.knowledge.poison_news.notify_one();
    }

    fn log_if_barred(&self, name: Name) {
        let case = self
            .knowledge
            .poison
            .borrow()
            .case(name, self.knowledge.now());
        if let Some(case) = case.filter(|case| case.ends.len() == ENDS_MAX) {
            log::warn!(name:% = name; "barred: {}", describe(&case));
        }
    }

    /// A replica answered `name` whole.
    pub(super) fn record_success(&self, name: Name) {
        let now = self.knowledge.now();
        let news = self.knowledge.poison.borrow_mut().came_good(name, now);
        if news {
            log::info!(name:% = name; "came to an end after replicas had ended under it");
            self.knowledge.poison_news.notify_one();
        }
    }
}

fn describe(case: &Told) -> String {
    let ends = case.ends.iter();
    let ends: Vec<String> = ends
        .map(|end| format!("{} {} ms ago", end.life.id, end.age_ms))
        .collect();
    format!("replicas ended under it: {}", ends.join(", "))
}

impl Dispatch {
    fn verdict(&self) -> Verdict {
        let knowledge = &self.gateway.knowledge;
        let register = knowledge.poison.borrow();
        register.verdict(self.job.name, knowledge.now())
    }

    /// Whether it may be sent to a replica like any other request.
    pub(super) fn is_free(&self) -> bool {
        self.verdict() == Verdict::Free
    }

    /// Refuses it if it is barred, and not due to be tried.
    pub(super) fn check_barred(&self) -> Result<(), Refusal> {
        match self.verdict() {
            Verdict::Free | Verdict::Due => Ok(()),
            Verdict::Barred => Err(self.barred_refusal()),
        }
    }

    /// Refuses it if it is barred, but for the single try that it may be due. Its verdict may have changed while it waited for a
    /// place, or while an earlier attempt was under way.
    pub(super) async fn acquire_try(&self) -> Result<(), Refusal> {
        match self.verdict() {
            Verdict::Free => Ok(()),
            Verdict::Due if poison::take_try(&self.gateway.knowledge, self.job.name).await => {
                Ok(())
            }
            Verdict::Due | Verdict::Barred => Err(self.barred_refusal()),
        }
    }

    /// What its caller is told: to come again serves nobody.
    pub(super) fn barred_refusal(&self) -> Refusal {
        let knowledge = &self.gateway.knowledge;
        let case = knowledge
            .poison
            .borrow()
            .case(self.job.name, knowledge.now());
        let detail = case.map_or_else(String::new, |case| describe(&case));
        Refusal::new(Code::Poison, detail)
    }
}
