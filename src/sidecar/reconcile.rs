//! Brings the replica to the wanted version: takes part in its burst, stages what is verified, and
//! orders the change when the rollout says so.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};

use super::Sidecar;
use super::engine::Taken;
use super::observe::MISSES_MAX;
use crate::audit::Event;
use crate::burst::manager::{self, Target};
use crate::clock::Time;
use crate::config::catalog::first_missing;
use crate::config::routing::transfer_time;
use crate::member::{Descriptor, Role};
use crate::version::fallback;
use crate::version::rollout::{self, Step};
use crate::weight::Digest;

/// How often the replica is looked over.
const LOOK: Duration = Duration::from_millis(50);

/// How long an order may go without an effect before it is given again.
const ORDER_AGAIN: Duration = Duration::from_millis(1_500);

/// Chunks that are staged before anything else is looked at.
const STAGED_AT_ONCE: usize = 16;

/// A version that the replica takes for a time is given up if its bound comes sooner: it would hardly serve.
const SERVES_AFTER: Duration = Duration::from_millis(1_000);

/// How long a list of the burst's members is used: an entry counts as gone by its silence alone.
const ROLL_MAX: Duration = Duration::from_millis(500);

/// The members of the burst as they were listed.
#[derive(Debug)]
pub struct Roll {
    changes: u64,
    at: Time,
    members: Rc<[Descriptor]>,
}

/// What lies staged at the replica, as far as this process put it there.
#[derive(Debug, Default)]
pub struct Staged {
    version: Option<Digest>,
    chunks: BTreeSet<u32>,
    ordered: Option<Time>,
}

/// Runs until dropped.
pub async fn run(sidecar: Rc<Sidecar>) {
    let mut changed = sidecar.knowledge.changed.subscribe();
    loop {
        let Some(target) = sidecar.target() else {
            let _ = timeout(LOOK, changed.changed()).await;
            continue;
        };
        if !sidecar.looked() {
            sleep(LOOK).await;
            continue;
        }
        sidecar.join(&target);
        let goal = sidecar.stopgap(&target).unwrap_or(target);
        sidecar.advance(&goal).await;
        let _ = timeout(LOOK, sidecar.host.wake.notified()).await;
    }
}

impl Sidecar {
    /// Whether it is known what the replica lacks. When the whole system begins, replicas hold their
    /// first version and answer a little later; at any other time one that does not answer will
    /// come up with nothing.
    fn looked(&self) -> bool {
        self.state.borrow().is_some() || self.bursts.any() || self.comes_up_empty()
    }

    fn comes_up_empty(&self) -> bool {
        !self.setting.first_start && self.misses.get() >= MISSES_MAX
    }

    /// Takes part in the burst of the wanted version, and serves older ones on while they are allowed.
    fn join(&self, target: &Target) {
        let members = self.listed();
        let label = target.label();
        let joined = self
            .joined_with
            .borrow()
            .as_ref()
            .is_some_and(|(known, with)| {
                *known == label && Rc::ptr_eq(with, &members) && self.bursts.get(label).is_some()
            });
        if joined {
            return;
        }
        let Some(with) = self.topology(&members) else {
            return;
        };
        let oldest = manager::oldest(&self.knowledge, target, self.setting.rollout.bound);
        self.bursts.join(target, oldest, with);
        self.joined_with.replace(Some((label, members)));
    }

    fn topology(&self, members: &[Descriptor]) -> Option<manager::Topology> {
        let brief = self.knowledge.summary()?;
        let identity = &self.setting.identity;
        let own = manager::member(
            self.host.name.to_string(),
            identity.hall.clone(),
            identity.address,
            Role::Model,
        );
        Some(manager::Topology {
            origin: brief.origin?,
            origin_chunk_time: brief.chunk(),
            members: members.to_vec(),
            own,
        })
    }

    /// The older version that the replica takes while `newest` cannot be had, if it is empty and that
    /// pays.
    fn stopgap(&self, newest: &Target) -> Option<Target> {
        let version = self.stopgap_version(newest);
        let target = version.map(|version| Target {
            version,
            ..newest.clone()
        });
        if *self.stopgap.borrow() != target {
            log::info!(version:? = version; "version meanwhile");
            self.stopgap.replace(target.clone());
        }
        if let Some(target) = &target
            && let Some(with) = self.topology(&self.listed())
        {
            self.bursts.join_older(target, with);
        }
        target
    }

    fn stopgap_version(&self, newest: &Target) -> Option<u64> {
        let empty = match &*self.state.borrow() {
            Some(state) => state.held(&newest.model).is_none() && !state.busy,
            // It comes up, and will hold nothing.
            None => self.comes_up_empty(),
        };
        let label = newest.label();
        if !empty || self.host.store.borrow().complete(label) {
            return None;
        }
        let now = self.knowledge.now();
        let outlook = self.bursts.get(label)?.availability(now);
        let times = self.times()?;
        let catalog = self.knowledge.catalog.borrow();
        let named = catalog.desired_versions(&newest.model);
        let known = self.stopgap.borrow().as_ref().map(|target| target.version);
        let hold = catalog.loaded_versions(&newest.model);
        // One that is coming already is not left for another.
        let chosen = known.filter(|version| {
            let lacking = first_missing(named, *version);
            let ends = lacking.map_or(now, |lacking| lacking.since + times.bound);
            ends > now + SERVES_AFTER
        });
        chosen.or_else(|| fallback::select(named, &hold, outlook, times, now))
    }

    fn times(&self) -> Option<fallback::TransferTimes> {
        let brief = self.knowledge.summary()?;
        let bytes = brief.engine.as_ref()?.weight_bytes();
        let rollout = self.setting.rollout;
        let own = transfer_time(bytes, self.setting.link_mbps);
        Some(fallback::TransferTimes {
            origin: brief.copy().unwrap_or(own),
            local: own,
            bound: rollout.bound.saturating_sub(rollout.margin),
        })
    }

    /// The members of the burst, listed anew when what is known of them changed, and now and then.
    fn listed(&self) -> Rc<[Descriptor]> {
        let changes = *self.knowledge.changed.borrow();
        let now = self.knowledge.now();
        if let Some(known) = self.roll.borrow().as_ref()
            && known.changes == changes
            && now.since(known.at) < ROLL_MAX
        {
            return known.members.clone();
        }
        let members: Rc<[Descriptor]> = self.members().into();
        self.roll.replace(Some(Roll {
            changes,
            at: now,
            members: members.clone(),
        }));
        members
    }

    /// The processes beside the replicas of the own service, and the entries.
    fn members(&self) -> Vec<Descriptor> {
        let service = {
            let catalog = self.knowledge.catalog.borrow();
            let mut records = catalog.replicas().values().map(|listed| &listed.record);
            let own = records.find(|record| record.address == self.setting.replica);
            own.map(|record| record.service.clone())
        };
        let port = self.setting.identity.address.port();
        manager::members(&self.knowledge, service.as_deref(), port)
    }

    fn wave(&self, label: Digest, waves: u32) -> u32 {
        let members = self.listed();
        let hall = &self.host.hall;
        let fellows: Vec<&str> = members
            .iter()
            .filter(|member| member.hall == *hall && member.role == Role::Model)
            .map(|member| &*member.name)
            .collect();
        rollout::wave(label, &self.host.name, &fellows, waves)
    }

    /// Since when all chunks of the version `label` are here, if they are.
    fn complete_since(&self, label: Digest) -> Option<Time> {
        if !self.host.store.borrow().complete(label) {
            return None;
        }
        let known = self.complete.get().filter(|(known, _)| *known == label);
        let since = known.map_or_else(|| self.knowledge.now(), |(_, since)| since);
        self.complete.set(Some((label, since)));
        Some(since)
    }

    async fn advance(&self, target: &Target) {
        let label = target.label();
        let rollout = self.knowledge.rollout(self.setting.rollout);
        let state = {
            let state = self.state.borrow();
            let Some(known) = state.as_ref() else {
                return;
            };
            rollout::State {
                desired: target.version,
                published_at: target.published,
                loaded: known.held(&target.model),
                busy: known.busy,
                complete_since: self.complete_since(label),
                wave: self.wave(label, rollout.waves),
                notice_since: self.noticed.get(),
            }
        };
        // What a replica is taking in is left as it lies.
        if state.loaded != Some(target.version) && !state.busy {
            self.stage(target, label).await;
        }
        let now = self.knowledge.now();
        match rollout::step(state, rollout, now) {
            Step::Idle => {
                if state.loaded == Some(target.version) {
                    self.set_noticed(None);
                    self.staged.borrow_mut().ordered = None;
                }
            }
            Step::Receive | Step::AwaitWave | Step::AwaitNotice => {}
            Step::BeginNotice => self.set_noticed(Some(now)),
            Step::Order => self.order(target, label).await,
        }
    }

    /// Stages chunks that were verified since the last look.
    async fn stage(&self, target: &Target, label: Digest) {
        let chunks = self.host.store.borrow().progress(label).1;
        let missing: Vec<u32> = {
            let mut staged = self.staged.borrow_mut();
            if staged.version != Some(label) {
                *staged = Staged {
                    version: Some(label),
                    ..Staged::default()
                };
            }
            let store = self.host.store.borrow();
            (0..chunks as u32)
                .filter(|chunk| !staged.chunks.contains(chunk))
                .filter(|chunk| store.get(label, *chunk).is_some())
                .take(STAGED_AT_ONCE)
                .collect()
        };
        for chunk in missing {
            self.stage_one(target, label, chunk).await;
        }
    }

    async fn stage_one(&self, target: &Target, label: Digest, chunk: u32) -> bool {
        let Some(bytes) = self.host.store.borrow().get(label, chunk) else {
            return false;
        };
        match self.engine.stage(&target.model, chunk, bytes).await {
            Ok(()) => {
                self.staged.borrow_mut().chunks.insert(chunk);
                true
            }
            Err(error) => {
                log::warn!(chunk; "not staged: {error}");
                false
            }
        }
    }

    /// Reads back what is staged, and mends what does not match.
    async fn verify(&self, target: &Target, label: Digest) -> bool {
        let chunks = self.host.store.borrow().progress(label).1 as u32;
        for chunk in 0..chunks {
            let staged = self.engine.staged(&target.model, chunk).await;
            let expected = self.host.store.borrow().get(label, chunk);
            let good = matches!((&staged, &expected), (Ok(Some(found)), Some(due)) if found == due);
            if good {
                continue;
            }
            log::warn!(chunk, version = target.version; "staged chunk is bad or missing; staged anew");
            if !self.stage_one(target, label, chunk).await {
                return false;
            }
            let again = self.engine.staged(&target.model, chunk).await;
            if !matches!((again, expected), (Ok(Some(found)), Some(due)) if found == due) {
                return false;
            }
        }
        chunks > 0
    }

    async fn order(&self, target: &Target, label: Digest) {
        let now = self.knowledge.now();
        let ordered = self.staged.borrow().ordered;
        if ordered.is_some_and(|ordered| now.since(ordered) < ORDER_AGAIN) {
            return;
        }
        if !self.verify(target, label).await {
            return;
        }
        let Some(newest) = self.target() else {
            return;
        };
        let meanwhile = self.stopgap.borrow().as_ref().map(Target::label);
        if newest.label() != label && meanwhile != Some(label) {
            return;
        }
        self.staged.borrow_mut().ordered = Some(self.knowledge.now());
        match self.engine.start(&target.model, target.version).await {
            Ok(Taken::Begun | Taken::Holds) => {
                let version = label.short();
                self.host.audit(Event::LoadOrdered { version });
                log::info!(model = &*target.model, version = target.version; "change ordered");
            }
            Ok(Taken::Unfit) => {
                log::warn!(version = target.version; "order does not fit the replica's state");
            }
            Err(error) => log::warn!(version = target.version; "order: {error}"),
        }
    }
}
