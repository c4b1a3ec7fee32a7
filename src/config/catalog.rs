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
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evacuation::{Evacuation, Evacuations};
use super::revision;
use super::routing::{Document, Routing};
use crate::clock::Time;
use crate::member::replica::Record;

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

/// A fact from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The routing configuration.
    Routing(Arc<Document>),
    /// A desired version of a model.
    Version {
        /// The model.
        model: Arc<str>,
        /// The version that replicas have to load.
        version: u64,
    },
    /// A replica's own description.
    Replica(Record),
    /// The removal of a replica's entry.
    ReplicaGone(Arc<str>),
    /// An evacuation setting: whether a hall's replicas receive no new requests.
    Evacuation {
        /// The hall.
        hall: Arc<str>,
        /// Whether the evacuation is in effect; `false` ends it.
        #[serde(rename = "asked")]
        active: bool,
    },
}

/// A fact and the revision that set it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revisioned {
    /// The revision.
    pub revision: u64,
    /// The fact.
    pub fact: Fact,
}

/// A version that was published for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DesiredVersion {
    /// The version.
    pub version: u64,
    /// The revision that published it.
    pub revision: u64,
    /// When this process learned of it, backdated by the time that other processes had known it
    /// before.
    pub since: Time,
}

/// Returns the oldest of `desired` that a replica with version `loaded` lacks. Its staleness bound
/// ends first.
pub fn first_missing(desired: &[DesiredVersion], loaded: u64) -> Option<DesiredVersion> {
    desired
        .iter()
        .find(|desired_version| desired_version.version > loaded)
        .copied()
}

/// A replica in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedReplica {
    /// The replica's own description.
    pub record: Record,
    /// The revision of the description.
    pub revision: u64,
    /// When its entry was removed, if it was.
    pub removed_at: Option<Time>,
    /// Whether the removal is provisional: the store was unreachable shortly before, or many
    /// replicas of the service were removed at about the same time.
    pub provisional: bool,
}

/// What a fact changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the fact is not newer.
    None,
    /// The routing configuration.
    Routing,
    /// A model's desired versions.
    Version,
    /// The list of replicas.
    Replicas,
    /// The evacuated halls.
    Evacuations,
}

/// The revisions of what a process knows, for comparison with another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the routing configuration, or 0 if none is known.
    pub routing: u64,
    /// Highest revision of the desired versions.
    pub versions: u64,
    /// Revision of the newest change to the list of replicas.
    pub replicas: u64,
    /// Highest revision of the evacuation settings.
    #[serde(default)]
    pub evacuations: u64,
    /// Version of the routing configuration, or 0 if it names none or none is known.
    #[serde(default)]
    pub routing_version: u64,
    /// The last era of the store whose facts the process has applied in full.
    #[serde(default)]
    pub settled_era: u64,
    /// Whether the process keeps what it knew before a later era until it is told otherwise.
    #[serde(default)]
    pub unsettled: bool,
}

impl Revisions {
    /// Whether at least one of these revisions is higher than its counterpart in `other`.
    pub fn any_newer_than(&self, other: Self) -> bool {
        self.has_newer_routing_than(other)
            || self.has_settled_since(other)
            || self.versions > other.versions
            || self.replicas > other.replicas
            || self.evacuations > other.evacuations
    }

    /// Whether the routing configuration is newer than that of `other`, by its version if both have
    /// one: the store may have come back from a copy that holds an older one.
    pub fn has_newer_routing_than(&self, other: Self) -> bool {
        if self.routing_version > 0 && other.routing_version > 0 {
            self.routing_version > other.routing_version
        } else {
            self.routing > other.routing
        }
    }

    /// Whether the list of replicas and the evacuations have settled in an era in which those of
    /// `other` have not. All of them have to be sent then.
    pub fn has_settled_since(&self, other: Self) -> bool {
        other.unsettled && self.settled_era > other.settled_era
    }

    /// Returns these revisions without that of the configuration, which is transferred separately.
    pub fn without_routing(self) -> Self {
        Self {
            routing: 0,
            routing_version: 0,
            ..self
        }
    }
}

/// A replica's description and its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionedRecord {
    /// The revision.
    pub revision: u64,
    /// The description.
    pub record: Record,
}

/// The removal of a replica from the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The revision that removed it.
    pub revision: u64,
    /// The replica's id.
    pub id: Arc<str>,
}

/// The changes to the list of replicas between two revisions, as sent between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision after which the changes were made.
    pub since: u64,
    /// The revision of the newest change.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the store was unreachable shortly before.
    #[serde(default)]
    #[serde(rename = "shaky")]
    pub store_unstable: bool,
    /// Replicas that were added or changed.
    #[serde(default)]
    pub records: Vec<RevisionedRecord>,
    /// Replicas that were removed.
    #[serde(default)]
    #[serde(rename = "gone")]
    pub removals: Vec<Removal>,
}

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
    replicas_changed_at: u64,
    removals: BTreeMap<Arc<str>, u64>,
    /// Removals after this revision are all remembered.
    removals_since: u64,
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

    /// Whether the list of replicas was ever received.
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
        if era >= self.era && revision >= self.replicas_revision {
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

    /// Applies a record of a list. If the store has just come back from an older copy, one of a
    /// replica that was removed before is put aside if it was `read` from the store, or else left to
    /// the processes that read it.
    fn apply_listed(&mut self, revision: u64, record: Record, read: bool, now: Time) -> Effect {
        let removal = self.removals.get(&record.id);
        let undone = removal.is_some_and(|removal| {
            *removal < revision && revision::era(*removal) < revision::era(revision)
        });
        let present = self.replicas.get(&record.id);
        let present = present.is_some_and(|known| known.removed_at.is_none());
        if undone && !present && self.is_restored(now) {
            if read {
                self.drop_aside(&record.id, revision);
                let fact = Fact::Replica(record);
                self.aside.push(Revisioned { revision, fact });
            }
            return Effect::None;
        }
        self.apply_replica(revision, record)
    }

    /// Drops the record of a replica that was put aside, if it is not newer than `revision`.
    fn drop_aside(&mut self, id: &Arc<str>, revision: u64) {
        self.aside.retain(|aside| {
            let same = matches!(&aside.fact, Fact::Replica(record) if record.id == *id);
            !same || aside.revision > revision
        });
    }

    fn apply_replica(&mut self, revision: u64, mut record: Record) -> Effect {
        if self
            .removals
            .get(&record.id)
            .is_some_and(|removal| *removal >= revision)
        {
            return Effect::None;
        }
        let known = self.replicas.get(&record.id);
        let known_born = known.map_or(0, |known| known.record.born);
        if record.born < known_born {
            // A late heartbeat of an earlier instance may be written after the first one of its
            // successor.
            return Effect::None;
        }
        if known.is_some_and(|known| known.revision >= revision && record.born == known_born) {
            return Effect::None;
        }
        // The copy that the store came back from may be older than the notice that it leaves.
        record.leaving |= known.is_some_and(|known| {
            let same_instance = known.record.born == record.born;
            let older = revision::era(known.revision) < revision::era(revision);
            same_instance && older && known.record.leaving
        });
        // Such a late heartbeat may already have raised the known revision.
        let revision = known.map_or(revision, |known| known.revision.max(revision));
        let unchanged =
            known.is_some_and(|known| known.record == record && known.removed_at.is_none());
        if !unchanged {
            self.replicas_changed_at = self.replicas_changed_at.max(revision);
        }
        self.replicas.insert(
            record.id.clone(),
            ListedReplica {
                record,
                revision,
                removed_at: None,
                provisional: false,
            },
        );
        if unchanged {
            Effect::None
        } else {
            Effect::Replicas
        }
    }

    fn remove_replica(
        &mut self,
        revision: u64,
        id: &Arc<str>,
        now: Time,
        store_unstable: bool,
    ) -> Effect {
        self.drop_aside(id, revision);
        if let Some(removal) = self.removals.get_mut(id)
            && *removal < revision
        {
            // Others may have put aside what the copy says of it, and have to be told.
            *removal = revision;
            self.replicas_changed_at = self.replicas_changed_at.max(revision);
        }
        let Some(known) = self.replicas.get_mut(id) else {
            return Effect::None;
        };
        if known.revision > revision || known.removed_at.is_some() {
            return Effect::None;
        }
        known.removed_at = Some(now);
        let service = known.record.service.clone();
        known.provisional = store_unstable && !self.trusts_removals;
        if !self.trusts_removals && self.is_mass_removal(&service, now) {
            self.mark_provisional(&service, now);
        }
        self.removals.insert(id.clone(), revision);
        self.replicas_changed_at = self.replicas_changed_at.max(revision);
        Effect::Replicas
    }

    /// Whether at least a third of a service's replicas lost their entries at about the same time.
    /// A fault of the store is then more likely than that many failed replicas.
    fn is_mass_removal(&self, service: &str, now: Time) -> bool {
        let replicas = || {
            let all = self.replicas.values();
            all.filter(|listed| &*listed.record.service == service && !listed.record.leaving)
        };
        let removed = replicas()
            .filter(|listed| {
                listed
                    .removed_at
                    .is_some_and(|removed_at| now.since(removed_at) < REMOVAL_GRACE)
            })
            .count();
        removed >= MASS_REMOVAL_MIN && removed * 3 >= replicas().count()
    }

    fn mark_provisional(&mut self, service: &str, now: Time) {
        for listed in self.replicas.values_mut() {
            let recent = listed
                .removed_at
                .is_some_and(|removed_at| now.since(removed_at) < REMOVAL_GRACE);
            listed.provisional |= recent && &*listed.record.service == service;
        }
    }

    /// Applies a complete list that was read from the store as of `revision`.
    pub fn apply_read_list(
        &mut self,
        records: Vec<(u64, Record)>,
        revision: u64,
        now: Time,
        store_unstable: bool,
    ) -> Effect {
        self.observe_era(revision, now);
        if self.is_restored(now) && revision >= self.replicas_revision {
            self.absent.clear();
            self.aside.retain(|aside| match &aside.fact {
                Fact::Replica(aside) => records.iter().any(|(_, record)| record.id == aside.id),
                _ => true,
            });
        }
        self.read_era = self.era;
        self.apply_whole(records, revision, true, now, store_unstable)
    }

    /// Applies a complete list as of `revision`. Known replicas that it lacks were removed.
    pub fn apply_list(
        &mut self,
        records: Vec<(u64, Record)>,
        revision: u64,
        now: Time,
        store_unstable: bool,
    ) -> Effect {
        self.apply_whole(records, revision, false, now, store_unstable)
    }

    fn apply_whole(
        &mut self,
        records: Vec<(u64, Record)>,
        revision: u64,
        read: bool,
        now: Time,
        store_unstable: bool,
    ) -> Effect {
        if revision < self.replicas_revision {
            return Effect::None;
        }
        self.observe_era(revision, now);
        if !self.has_replica_list() {
            self.removals_since = revision;
        }
        let mut effect = Effect::None;
        let listed: BTreeSet<Arc<str>> = records
            .iter()
            .map(|(_, record)| record.id.clone())
            .collect();
        let missing = self.replicas.keys();
        let missing = missing.filter(|id| !listed.contains(*id));
        let missing: Vec<Arc<str>> = missing.cloned().collect();
        for (at, record) in records {
            if self.apply_listed(at, record, read, now) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        let restored = self.is_restored(now);
        for id in missing {
            let known = self.replicas.get(&id).map_or(0, |known| known.revision);
            // Known from before the copy: it may only be too young for it.
            if restored && revision::era(known) < self.era {
                if read {
                    self.absent.insert(id);
                }
                continue;
            }
            if self.remove_replica(revision, &id, now, store_unstable) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        self.advance_list(revision);
        effect
    }

    /// Returns the changes to the list after `since`, or `None` if not all removals since then are
    /// remembered.
    pub fn changes_since(&self, since: u64) -> Option<Changes> {
        if !self.has_replica_list() || since < self.removals_since {
            return None;
        }
        let present = self.replicas.values();
        let present =
            present.filter(|listed| listed.removed_at.is_none() && listed.revision > since);
        let removals = self.removals.iter();
        let removals = removals.filter(|(_, revision)| **revision > since);
        Some(Changes {
            since,
            revision: self.replicas_changed_at,
            store_unstable: false,
            records: present
                .map(|listed| RevisionedRecord {
                    revision: listed.revision,
                    record: listed.record.clone(),
                })
                .collect(),
            removals: removals
                .map(|(id, revision)| Removal {
                    revision: *revision,
                    id: id.clone(),
                })
                .collect(),
        })
    }

    /// Applies changes to the list, unless changes before them are missing.
    pub fn apply_changes(&mut self, changes: Changes, now: Time, store_unstable: bool) -> Effect {
        if !self.has_replica_list()
            || self.replicas_changed_at.max(self.replicas_revision) < changes.since
        {
            return Effect::None;
        }
        self.observe_era(changes.revision, now);
        let store_unstable = store_unstable || changes.store_unstable;
        let mut effect = Effect::None;
        for RevisionedRecord { revision, record } in changes.records {
            if self.apply_listed(revision, record, false, now) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        for Removal { revision, id } in changes.removals {
            if self.remove_replica(revision, &id, now, store_unstable) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        self.advance_list(changes.revision);
        effect
    }

    /// Records that the list of replicas is known up to `revision`.
    pub fn advance_list(&mut self, revision: u64) {
        self.replicas_revision = self.replicas_revision.max(revision);
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
