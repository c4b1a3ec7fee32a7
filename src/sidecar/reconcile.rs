//! Brings the replica to the desired version: participates in its burst, stages verified chunks, and
//! orders the switch when the rollout permits it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use futures_util::{StreamExt, stream};

use super::Sidecar;
use super::engine::{self, Outcome};
use super::observe::MISSES_MAX;
use crate::audit::Event;
use crate::burst::manager::{self, Target};
use crate::clock::Time;
use crate::config::catalog::first_missing;
use crate::config::routing::transfer_time;
use crate::member::replica::Record;
use crate::member::{Descriptor, Role};
use crate::version::fallback;
use crate::version::readback::{self, Readback};
use crate::version::rollout::{self, Step};
use crate::weight::Digest;
use crate::wire::sync::Summary;

/// Maximum interval between two reconciliations.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after which an order that had no effect is repeated.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Staged chunks that are read back at the same time.
const READS_MAX: usize = 8;

/// Rounds in which chunks are read back before an order is put off.
const READ_ROUNDS_MAX: u32 = 4;

/// Maximum number of chunks that are staged per reconciliation.
const STAGE_BATCH: usize = 16;

/// A fallback version is abandoned if its staleness bound ends within this time, since it would serve
/// for too short.
const FALLBACK_REMAINING_MIN: Duration = Duration::from_millis(1_000);

/// Maximum age of the cached list of the burst's members. Entries disappear from the list without a
/// change notification, by a timeout.
const MEMBERS_MAX_AGE: Duration = Duration::from_millis(500);

/// Cached list of the burst's members.
#[derive(Debug)]
pub struct MemberCache {
    /// Change counter of the knowledge that the list was derived from.
    changes: u64,
    listed_at: Time,
    members: Rc<[Descriptor]>,
}

/// The chunks that this process has staged at the replica.
#[derive(Debug, Default)]
pub struct Staged {
    version: Option<Digest>,
    chunks: BTreeSet<u32>,
    /// When the last order to load the version was sent.
    ordered_at: Option<Time>,
}

/// Reconciles the replica until dropped.
pub async fn run(sidecar: Rc<Sidecar>) {
    let mut changed = sidecar.knowledge.changed.subscribe();
    loop {
        let Some(target) = sidecar.target() else {
            let _ = timeout(CHECK_INTERVAL, changed.changed()).await;
            continue;
        };
        if !sidecar.is_state_known() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        sidecar.apply_layout();
        sidecar.join(&target);
        let target = sidecar.select_fallback(&target).unwrap_or(target);
        sidecar.advance(&target).await;
        let _ = timeout(CHECK_INTERVAL, sidecar.host.wake.notified()).await;
    }
}

impl Sidecar {
    /// Whether the replica's state is known. At the first start of the whole system, replicas have their
    /// first version loaded and answer shortly after. At any other time, a replica that does not answer
    /// is assumed to start empty.
    fn is_state_known(&self) -> bool {
        self.state.borrow().is_some() || self.bursts.any() || self.starts_empty()
    }

    fn starts_empty(&self) -> bool {
        !self.setting.first_start && self.misses.get() >= MISSES_MAX
    }

    /// Has manifests checked against the configuration in force.
    fn apply_layout(&self) {
        let summary = self.knowledge.summary();
        let layout = summary.as_ref().map(Summary::layout);
        self.bursts.expect(layout.unwrap_or_default());
    }

    /// Joins the burst of the desired version. Older versions are still served to peers as long as
    /// requests may start on them.
    fn join(&self, target: &Target) {
        let members = self.members();
        let label = target.label();
        let is_current = self
            .joined_members
            .borrow()
            .as_ref()
            .is_some_and(|(known, joined)| {
                *known == label && Rc::ptr_eq(joined, &members) && self.bursts.get(label).is_some()
            });
        if is_current {
            return;
        }
        let Some(topology) = self.topology(&members) else {
            return;
        };
        let oldest = manager::oldest(&self.knowledge, target, self.setting.rollout.bound);
        self.bursts.join(target, oldest, topology);
        self.joined_members.replace(Some((label, members)));
    }

    fn topology(&self, members: &[Descriptor]) -> Option<manager::Topology> {
        let summary = self.knowledge.summary()?;
        let identity = &self.setting.identity;
        let own = manager::member(
            self.host.name.to_string(),
            identity.hall.clone(),
            identity.address,
            Role::Model,
        );
        Some(manager::Topology {
            origin: summary.origin?,
            origin_chunk_time: summary.chunk(),
            members: members.to_vec(),
            own,
        })
    }

    /// Selects the older version that the replica loads while `newest` is not available, and joins its
    /// burst. Returns `None` if the replica is not empty or if no older version is worthwhile.
    fn select_fallback(&self, newest: &Target) -> Option<Target> {
        let version = self.fallback_version(newest);
        let target = version.map(|version| Target {
            version,
            ..newest.clone()
        });
        if *self.fallback.borrow() != target {
            log::info!(version:? = version; "fallback version changed");
            self.fallback.replace(target.clone());
        }
        if let Some(target) = &target
            && let Some(topology) = self.topology(&self.members())
        {
            self.bursts.join_older(target, topology);
        }
        target
    }

    fn fallback_version(&self, newest: &Target) -> Option<u64> {
        let empty = match &*self.state.borrow() {
            Some(state) => state.loaded(&newest.model).is_none() && !state.busy,
            // It is starting, and will have nothing loaded.
            None => self.starts_empty(),
        };
        let label = newest.label();
        if !empty || self.host.store.borrow().complete(label) {
            return None;
        }
        let now = self.knowledge.now();
        let availability = self.bursts.get(label)?.availability(now);
        let times = self.transfer_times()?;
        let catalog = self.knowledge.catalog.borrow();
        let desired = catalog.desired_versions(&newest.model);
        let current = self.fallback.borrow().as_ref().map(|target| target.version);
        let loaded = catalog.loaded_versions(&newest.model);
        // A fallback whose transfer has started is not replaced by another one.
        let kept = current.filter(|version| {
            let missing = first_missing(desired, *version);
            let bound_end = missing.map_or(now, |missing| missing.since + times.bound);
            bound_end > now + FALLBACK_REMAINING_MIN
        });
        kept.or_else(|| fallback::select(desired, &loaded, availability, times, now))
    }

    fn transfer_times(&self) -> Option<fallback::TransferTimes> {
        let summary = self.knowledge.summary()?;
        let bytes = summary.engine.as_ref()?.weight_bytes();
        let rollout = self.setting.rollout;
        let local_copy = transfer_time(bytes, self.setting.link_mbps);
        Some(fallback::TransferTimes {
            origin: summary.copy().unwrap_or(local_copy),
            local: local_copy,
            bound: rollout.bound.saturating_sub(rollout.margin),
        })
    }

    /// The members of the burst. The list is cached until the knowledge changes, and for at most
    /// [`MEMBERS_MAX_AGE`].
    fn members(&self) -> Rc<[Descriptor]> {
        let changes = *self.knowledge.changed.borrow();
        let now = self.knowledge.now();
        if let Some(cache) = self.member_cache.borrow().as_ref()
            && cache.changes == changes
            && now.since(cache.listed_at) < MEMBERS_MAX_AGE
        {
            return cache.members.clone();
        }
        let members: Rc<[Descriptor]> = self.list_members().into();
        self.member_cache.replace(Some(MemberCache {
            changes,
            listed_at: now,
            members: members.clone(),
        }));
        members
    }

    /// The record of this machine's replica in the platform's list.
    pub(super) fn replica_record(&self) -> Option<Record> {
        let catalog = self.knowledge.catalog.borrow();
        let mut records = catalog.replicas().values().map(|listed| &listed.record);
        let own = records.find(|record| record.address == self.setting.replica);
        own.cloned()
    }

    /// Lists the sidecars of the own service's replicas, and the entries.
    fn list_members(&self) -> Vec<Descriptor> {
        let service = self.replica_record().map(|record| record.service);
        let port = self.setting.identity.address.port();
        manager::members(&self.knowledge, service.as_deref(), port)
    }

    fn wave(&self, label: Digest, waves: u32) -> u32 {
        let members = self.members();
        let hall = &self.host.hall;
        let local_replicas: Vec<&str> = members
            .iter()
            .filter(|member| member.hall == *hall && member.role == Role::Model)
            .map(|member| &*member.name)
            .collect();
        rollout::wave(label, &self.host.name, &local_replicas, waves)
    }

    /// Since when all chunks of the version `label` are stored here, if they are.
    fn complete_since(&self, label: Digest) -> Option<Time> {
        if !self.host.store.borrow().complete(label) {
            return None;
        }
        let known = self.complete.get().filter(|(known, _)| *known == label);
        let since = known.map_or_else(|| self.knowledge.now(), |(_, since)| since);
        self.complete.set(Some((label, since)));
        Some(since)
    }

    /// Stages chunks of `target`, and executes the next step of its rollout.
    async fn advance(&self, target: &Target) {
        let label = target.label();
        let rollout = self.knowledge.rollout(self.setting.rollout);
        let state = {
            let state = self.state.borrow();
            let Some(state) = state.as_ref() else {
                return;
            };
            rollout::State {
                desired: target.version,
                published_at: target.published,
                loaded: state.loaded(&target.model),
                busy: state.busy,
                complete_since: self.complete_since(label),
                wave: self.wave(label, rollout.waves),
                notice_since: self.notice_since.get(),
            }
        };
        // Staged chunks are left unchanged while the replica is loading them.
        if state.loaded != Some(target.version) && !state.busy {
            self.stage(target, label).await;
        }
        let now = self.knowledge.now();
        match rollout::step(state, rollout, now) {
            Step::Idle => {
                if state.loaded == Some(target.version) {
                    self.set_notice_since(None);
                    self.staged.borrow_mut().ordered_at = None;
                }
            }
            Step::Receive | Step::AwaitWave | Step::AwaitNotice => {}
            Step::BeginNotice => self.set_notice_since(Some(now)),
            Step::Order => self.order(target, label).await,
        }
    }

    /// Stages up to [`STAGE_BATCH`] verified chunks that are not staged yet.
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
                .take(STAGE_BATCH)
                .collect()
        };
        for chunk in missing {
            self.stage_chunk(target, label, chunk).await;
        }
    }

    /// Stages a chunk. Returns whether it succeeded.
    async fn stage_chunk(&self, target: &Target, label: Digest, chunk: u32) -> bool {
        let Some(bytes) = self.host.store.borrow().get(label, chunk) else {
            return false;
        };
        match self.engine.stage(&target.model, chunk, bytes).await {
            Ok(()) => {
                self.staged.borrow_mut().chunks.insert(chunk);
                true
            }
            Err(error) => {
                log::warn!(chunk; "cannot stage a chunk: {error}");
                false
            }
        }
    }

    /// Reads `chunk` back, and stages it again if it is missing or does not match. Returns when the
    /// reading that found it correct was requested.
    async fn verify_chunk(&self, target: &Target, label: Digest, chunk: u32) -> Option<Time> {
        let expected = self.host.store.borrow().get(label, chunk)?;
        let is_correct = |staged: Result<Option<Bytes>, engine::Error>| {
            staged.is_ok_and(|staged| staged.as_ref() == Some(&expected))
        };
        let requested_at = self.knowledge.now();
        if is_correct(self.engine.staged(&target.model, chunk).await) {
            return Some(requested_at);
        }
        log::warn!(chunk, version = target.version; "staged chunk is missing or does not match; staging it again");
        if !self.stage_chunk(target, label, chunk).await {
            return None;
        }
        let requested_at = self.knowledge.now();
        is_correct(self.engine.staged(&target.model, chunk).await).then_some(requested_at)
    }

    /// Reads all staged chunks back, several at a time, and again those whose reading has become too
    /// old meanwhile. Returns when the oldest reading was requested; `None` if a chunk can't be staged
    /// correctly, or if reading takes too long.
    async fn verify_staged(&self, target: &Target, label: Digest) -> Option<Time> {
        let count = self.host.store.borrow().progress(label).1 as u32;
        let mut readback = Readback::default();
        for _ in 0..READ_ROUNDS_MAX {
            let due = readback.due(count, self.knowledge.now());
            if due.is_empty() {
                return readback.oldest();
            }
            let readings = due.into_iter().map(|chunk| async move {
                let read_at = self.verify_chunk(target, label, chunk).await;
                (chunk, read_at)
            });
            let mut readings = stream::iter(readings).buffer_unordered(READS_MAX);
            while let Some((chunk, read_at)) = readings.next().await {
                readback.record(chunk, read_at?);
            }
        }
        log::warn!(version = target.version; "staged chunks can't be read back fast enough");
        None
    }

    /// Whether `label` is the version to load, is complete by the configuration in force, and its chunks
    /// were staged at the replica's current instance.
    fn is_wanted(&self, label: Digest) -> bool {
        self.apply_layout();
        if !self.host.store.borrow().complete(label) {
            return false;
        }
        let newest = self.target().map(|target| target.label());
        let fallback = self.fallback.borrow().as_ref().map(Target::label);
        let is_staged = self.staged.borrow().version == Some(label);
        is_staged && newest.is_some() && (newest == Some(label) || fallback == Some(label))
    }

    /// Verifies the staged chunks and orders the replica to load them, if `target` is still wanted.
    async fn order(&self, target: &Target, label: Digest) {
        let now = self.knowledge.now();
        let ordered_at = self.staged.borrow().ordered_at;
        if ordered_at.is_some_and(|ordered_at| now.since(ordered_at) < ORDER_RETRY_DELAY) {
            return;
        }
        let Some(read_at) = self.verify_staged(target, label).await else {
            return;
        };
        if !self.is_wanted(label) {
            return;
        }
        let now = self.knowledge.now();
        self.staged.borrow_mut().ordered_at = Some(now);
        let send_before = self.knowledge.clock.deadline(read_at + readback::AGE_MAX);
        let load = self.engine.load(&target.model, target.version, send_before);
        match load.await {
            Ok(Outcome::Accepted | Outcome::AlreadyLoaded) => {
                let version = label.short();
                self.host.audit(Event::LoadOrdered { version });
                log::info!(
                    model = &*target.model, version = target.version,
                    oldest_reading_ms = now.since(read_at).as_millis() as u64;
                    "switch ordered"
                );
            }
            Ok(Outcome::Conflict) => {
                log::warn!(version = target.version; "the replica cannot execute the order in its current state");
            }
            Err(error) => {
                if matches!(error, engine::Error::NotSent { .. }) {
                    self.staged.borrow_mut().ordered_at = ordered_at;
                }
                log::warn!(
                    version = target.version,
                    oldest_reading_ms = now.since(read_at).as_millis() as u64;
                    "order failed: {error}"
                );
            }
        }
    }
}
