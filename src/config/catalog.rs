//! The catalog: what a process knows of the platform, namely the routing configuration, the desired
//! versions of models and the list of replicas.
//!
//! Every fact carries the revision that set it. A fact never replaces one of a newer revision,
//! whether it comes from the platform's store or from another process.
//!
//! A store that comes back from an older copy begins a new era ([`super::revision`]). What was
//! known before stays in force while the copy is behind: configurations and versions are ordered by
//! their own numbers, a replica that leaves goes on leaving, and what the copy undoes or lacks is
//! put aside for [`RESTORE_GRACE`], in which its writers write it again.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::evacuation::{Evacuation, Evacuations};
use super::revision;
use super::routing::{Document, Routing};
use crate::clock::Time;
use crate::member::replica::Record;

mod fact;
mod list;

pub use fact::{
    Changes, DesiredVersion, Effect, Fact, ListedReplica, Removal, Revisioned, RevisionedRecord,
    Revisions, first_missing,
};

/// Grace period during which a suspicious removal is not acted upon. Leases expire while the store
/// is unreachable, and a live replica registers again with its next heartbeat.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(1_250);

/// Time after the store came back from an older copy in which what the copy undoes or lacks is not
/// acted upon: a replica that is gone loses its entry again within three heartbeats, and the others
/// write theirs again.
pub const RESTORE_GRACE: Duration = Duration::from_secs(5);

/// Backdating a version by less than this is not reported as a change: it is within message
/// latency.
const BACKDATE_MIN: Duration = Duration::from_millis(50);

/// Versions remembered per model. Each may have a staleness bound that is still running.
const VERSIONS_MAX: usize = 16;

/// Replicas of a service that have to be removed at about the same time for the removals to be
/// provisional.
const MASS_REMOVAL_MIN: usize = 3;

/// Removals remembered, so that an old entry does not reappear.
const REMOVALS_MAX: usize = 8_192;

fn evacuation_effect(changed: bool) -> Effect {
    if changed {
        Effect::Evacuations
    } else {
        Effect::None
    }
}

/// Everything that a process knows of the platform.
#[derive(Debug, Default)]
pub struct Catalog {
    routing: Option<(u64, Rc<Routing>)>,
    versions: BTreeMap<Arc<str>, Vec<DesiredVersion>>,
    evacuations: Evacuations,
    replicas: BTreeMap<Arc<str>, ListedReplica>,
    replicas_revision: u64,
    /// Whether the last reading of the list ended before its last entry, so that changes to the rest of
    /// it may have been missed.
    partial_list: bool,
    replicas_changed_at: u64,
    removals: BTreeMap<Arc<str>, u64>,
    /// Removals after this revision are all remembered, except in `unread`.
    removals_since: u64,
    /// The revisions between the last two whole lists. Replicas that came and went meanwhile are in
    /// neither.
    unread: Range<u64>,
    trusts_removals: bool,
    /// The era of the newest revision.
    era: u64,
    /// Whether this process has seen the store come back from an older copy.
    restored: bool,
    /// When the facts of the era have been applied in full.
    settles_at: Time,
    /// Facts of the copy that undo what was known.
    aside: Vec<Revisioned>,
    /// Replicas that the copy lacks.
    absent: BTreeSet<Arc<str>>,
    /// The last era whose facts have been applied in full.
    settled_era: u64,
    /// The era in which this process last read the list of replicas from the store.
    read_era: u64,
}

impl Catalog {
    /// Creates an empty catalog. With `trusts_removals`, no removal is provisional.
    pub fn new(trusts_removals: bool) -> Self {
        Self {
            trusts_removals,
            ..Self::default()
        }
    }

    /// Returns the active routing configuration.
    pub fn routing(&self) -> Option<&Rc<Routing>> {
        self.routing.as_ref().map(|(_, routing)| routing)
    }

    /// Returns the newest desired version of a model.
    pub fn desired_version(&self, model: &str) -> Option<DesiredVersion> {
        self.versions.get(model)?.last().copied()
    }

    /// Returns the desired versions of a model, oldest first.
    pub fn desired_versions(&self, model: &str) -> &[DesiredVersion] {
        self.versions.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the desired versions of all models, the oldest of each model first.
    pub fn versions(&self) -> impl Iterator<Item = (&Arc<str>, DesiredVersion)> {
        let models = self.versions.iter();
        models.flat_map(|(model, desired)| {
            desired
                .iter()
                .map(move |desired_version| (model, *desired_version))
        })
    }

    /// Returns the oldest version of a model on which a request may start, where a version is due
    /// `bound` after it was published.
    pub fn oldest_allowed(&self, model: &str, bound: Duration, now: Time) -> u64 {
        let desired = self.versions.get(model).map(Vec::as_slice);
        desired
            .unwrap_or_default()
            .iter()
            .filter(|desired_version| now.since(desired_version.since) >= bound)
            .map(|desired_version| desired_version.version)
            .max()
            .unwrap_or(0)
    }

    /// Returns all listed replicas, including removed ones until [`Self::remove_expired`] drops
    /// them.
    pub fn replicas(&self) -> &BTreeMap<Arc<str>, ListedReplica> {
        &self.replicas
    }

    /// Returns a model that some replica has loaded, of `service` if one is given.
    pub fn loaded_model(&self, service: Option<&str>) -> Option<Arc<str>> {
        let records = self.replicas.values().map(|listed| &listed.record);
        let mut members =
            records.filter(|record| service.is_none_or(|service| &*record.service == service));
        members.find_map(|record| Some(record.models.first()?.model.clone()))
    }

    /// Returns the versions of `model` that listed replicas have loaded.
    pub fn loaded_versions(&self, model: &str) -> BTreeSet<u64> {
        let present = self.replicas.values();
        let present = present.filter(|listed| listed.removed_at.is_none());
        present
            .filter_map(|listed| listed.record.version(model))
            .collect()
    }

    /// Returns the revision up to which the list of replicas is known.
    pub fn list_revision(&self) -> u64 {
        self.replicas_revision
    }

    /// Whether replicas are known to which requests may be sent: the whole list, or as much of it as
    /// could be read.
    pub fn can_route(&self) -> bool {
        self.routing.is_some() && self.knows_replicas()
    }

    /// Whether the list of replicas is known, or as much of it as could be read.
    pub fn knows_replicas(&self) -> bool {
        self.has_replica_list() || self.partial_list
    }

    /// Whether the whole list of replicas was ever received.
    pub fn has_replica_list(&self) -> bool {
        self.replicas_revision > 0
    }

    /// Returns the revisions of everything known.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            routing: self.routing.as_ref().map_or(0, |(revision, _)| *revision),
            versions: self
                .versions()
                .map(|(_, desired_version)| desired_version.revision)
                .max()
                .unwrap_or(0),
            replicas: self.replicas_changed_at,
            evacuations: self.evacuations.revision(),
            routing_version: self.routing().map_or(0, |routing| {
                if routing.document.gaps.version {
                    0
                } else {
                    routing.document.version
                }
            }),
            settled_era: self.settled_era,
            unsettled: self.restored && self.settled_era < self.era,
        }
    }

    /// Returns the evacuation settings.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether the store has come back from an older copy since this process started.
    pub fn was_restored(&self) -> bool {
        self.restored
    }

    /// Applies the complete list, as of `revision`, of a process that has settled in `era`: nothing
    /// is put aside any more.
    pub fn apply_settled_list(
        &mut self,
        records: Vec<(u64, Record)>,
        revision: u64,
        era: u64,
        now: Time,
        store_unstable: bool,
    ) -> Effect {
        self.observe_era(revision, now);
        if era < self.era {
            return self.apply_list(records, revision, now, store_unstable);
        }
        if revision < self.replicas_revision && self.read_era == self.era {
            // It has read a later list itself, and the time to write entries again is over.
            self.settles_at = self.settles_at.min(now);
            return if self.settle(now) {
                Effect::Replicas
            } else {
                Effect::None
            };
        }
        if revision >= self.replicas_revision {
            self.settled_era = self.era;
            self.aside.clear();
            self.absent.clear();
        }
        self.apply_list(records, revision, now, store_unstable)
    }

    /// Whether what is known from before the copy that the store came back from takes precedence.
    fn is_restored(&self, now: Time) -> bool {
        let latest = self.settles_at + RESTORE_GRACE;
        self.was_restored() && self.settled_era < self.era && now < latest
    }

    fn is_empty(&self) -> bool {
        self.routing.is_none() && self.versions.is_empty() && self.replicas.is_empty()
    }

    /// Records that a revision was received, which may show that the store has come back from an
    /// older copy. Returns whether it does.
    pub fn observe_era(&mut self, revision: u64, now: Time) -> bool {
        let era = revision::era(revision);
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.aside.clear();
        self.absent.clear();
        self.settles_at = now + RESTORE_GRACE;
        let restored = !self.is_empty();
        self.restored |= restored;
        restored
    }

    /// Applies a complete list of evacuations: at `revision` exactly `halls` were evacuated.
    pub fn apply_evacuations(&mut self, halls: &[Arc<str>], revision: u64, now: Time) -> Effect {
        self.observe_era(revision, now);
        if !self.is_restored(now) {
            return evacuation_effect(self.evacuations.apply_list(halls, revision));
        }
        let ended = self.evacuations.active();
        let ended = ended.filter(|hall| !halls.contains(hall));
        let ended = ended.map(|hall| Revisioned {
            revision,
            fact: Fact::Evacuation {
                hall: hall.clone(),
                active: false,
            },
        });
        self.aside.extend(ended);
        Effect::None
    }

    /// Applies one fact of a read of the whole topic. If the store has just come back from an older
    /// copy, an evacuation setting that differs from the known one is put aside.
    pub fn apply_read(
        &mut self,
        revisioned: Revisioned,
        now: Time,
        store_unstable: bool,
    ) -> Effect {
        self.observe_era(revisioned.revision, now);
        if let Fact::Evacuation { hall, active } = &revisioned.fact
            && self.is_restored(now)
            && self.evacuations.is_set_otherwise(hall, *active)
        {
            self.aside.push(revisioned);
            return Effect::None;
        }
        self.apply(revisioned, now, store_unstable)
    }

    /// Applies one fact. `store_unstable` is whether the store was unreachable shortly before.
    pub fn apply(&mut self, revisioned: Revisioned, now: Time, store_unstable: bool) -> Effect {
        let revision = revisioned.revision;
        self.observe_era(revision, now);
        match revisioned.fact {
            Fact::Routing(document) => self.apply_routing(revision, document),
            Fact::Version { model, version } => self.apply_version(revision, model, version, now),
            Fact::Replica(record) => self.apply_replica(revision, record),
            Fact::ReplicaGone(id) => self.remove_replica(revision, &id, now, store_unstable),
            Fact::Evacuation { hall, active } => {
                evacuation_effect(self.evacuations.apply(Evacuation {
                    hall,
                    active,
                    revision,
                }))
            }
        }
    }

    fn apply_routing(&mut self, revision: u64, document: Arc<Document>) -> Effect {
        let Some((known, routing)) = &mut self.routing else {
            self.routing = Some((revision, Rc::new(Routing::new(document))));
            return Effect::Routing;
        };
        let unversioned = document.gaps.version || routing.document.gaps.version;
        let order = if unversioned {
            revision.cmp(known)
        } else {
            document.version.cmp(&routing.document.version)
        };
        let revision = revision.max(*known);
        if order == Ordering::Greater {
            self.routing = Some((revision, Rc::new(Routing::new(document))));
            return Effect::Routing;
        }
        *known = revision;
        Effect::None
    }

    fn apply_version(
        &mut self,
        revision: u64,
        model: Arc<str>,
        version: u64,
        since: Time,
    ) -> Effect {
        let desired = self.versions.entry(model).or_default();
        let index = desired.partition_point(|known| known.version < version);
        if let Some(known) = desired.get_mut(index)
            && known.version == version
        {
            known.revision = known.revision.max(revision);
            return Effect::None;
        }
        let desired_version = DesiredVersion {
            version,
            revision,
            since,
        };
        desired.insert(index, desired_version);
        if desired.len() > VERSIONS_MAX {
            desired.remove(0);
        }
        Effect::Version
    }

    /// Applies a desired version that another process has known for `age`.
    pub fn apply_aged(
        &mut self,
        model: Arc<str>,
        desired_version: DesiredVersion,
        age: Duration,
        now: Time,
    ) -> Effect {
        let since = now - age;
        self.observe_era(desired_version.revision, now);
        let effect = self.apply_version(
            desired_version.revision,
            model.clone(),
            desired_version.version,
            since,
        );
        let desired = self.versions.get_mut(&model).into_iter().flatten();
        let mut backdated = false;
        for known in desired.filter(|known| known.version == desired_version.version) {
            backdated |= known.since.since(since) >= BACKDATE_MIN;
            known.since = known.since.min(since);
        }
        match effect {
            Effect::None if backdated => Effect::Version,
            effect => effect,
        }
    }

    /// Applies what was put aside as the store came back from an older copy, once its writers have
    /// had the time to write it again. Returns whether that changed anything.
    pub fn settle(&mut self, now: Time) -> bool {
        // Processes that read the store settle first, and tell the others.
        let wait = if self.read_era == self.era {
            Duration::ZERO
        } else {
            RESTORE_GRACE
        };
        if self.settled_era == self.era || now < self.settles_at + wait {
            return false;
        }
        self.settled_era = self.era;
        let revision = self.replicas_revision.max(self.replicas_changed_at);
        let mut changed = false;
        for Revisioned { revision: at, fact } in std::mem::take(&mut self.aside) {
            let effect = match fact {
                // Its replica has written again since.
                Fact::Replica(record) if self.lists_newer(&record.id, at) => Effect::None,
                Fact::Replica(record) => self.apply_replica(revision, record),
                fact => self.apply(Revisioned { revision: at, fact }, now, false),
            };
            changed |= effect != Effect::None;
        }
        for id in std::mem::take(&mut self.absent) {
            let listed = self.replicas.get(&id);
            // Otherwise it was written again, or removed.
            if listed.is_some_and(|listed| revision::era(listed.revision) < self.era) {
                changed |= self.remove_replica(revision, &id, now, false) != Effect::None;
            }
        }
        changed
    }

    /// Drops removed replicas unless their removal is still provisional, and applies what was put
    /// aside as the store came back from an older copy. Returns whether anything changed.
    pub fn remove_expired(&mut self, now: Time) -> bool {
        let settled = self.settle(now);
        let before = self.replicas.len();
        self.replicas.retain(|_, listed| match listed.removed_at {
            None => true,
            Some(removed_at) => listed.provisional && now.since(removed_at) < REMOVAL_GRACE,
        });
        while self.removals.len() > REMOVALS_MAX {
            let oldest = self.removals.iter().min_by_key(|(_, revision)| **revision);
            let Some((id, revision)) = oldest.map(|(id, revision)| (id.clone(), *revision)) else {
                break;
            };
            self.removals.remove(&id);
            self.removals_since = self.removals_since.max(revision);
        }
        settled || before != self.replicas.len()
    }
}
