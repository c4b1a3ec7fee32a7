//! What a process believes of the platform: routing, wanted versions of models, and replicas.
//!
//! Every fact carries the revision that set it, and a fact of an older revision never replaces a
//! newer one, from wherever it comes: the platform's store or another process of the system.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evacuation::{Evacuation, Evacuations};
use super::routing::{Document, Routing};
use crate::clock::Time;
use crate::member::replica::Record;

/// How long a removal is doubted that comes just after the store was out of reach: leases run out
/// while it is, and a live replica writes itself again with its next heartbeat.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(1_250);

/// A version whose bound turns out to end so much earlier is news: less is the way of a message.
const DATED_BACK_MIN: Duration = Duration::from_millis(50);

/// Versions of a model that are remembered: a bound may run for each of them.
const NAMED_MAX: usize = 16;

/// Replicas that have to vanish together before that is doubted.
const VANISHED_MIN: usize = 3;

/// Removals that are remembered, so that an old entry does not come back.
const REMOVALS_MAX: usize = 8_192;

/// One fact of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The routing configuration.
    Routing(Arc<Document>),
    /// The wanted version of a model.
    Version {
        /// The model.
        model: Arc<str>,
        /// The version that replicas are to hold.
        version: u64,
    },
    /// A replica as it describes itself.
    Replica(Record),
    /// A replica's entry was removed.
    ReplicaGone(Arc<str>),
    /// Whether a hall's replicas are to get nothing more.
    Evacuation {
        /// The hall.
        hall: Arc<str>,
        /// Whether that is asked; else it is over.
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

/// A version that was named for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DesiredVersion {
    /// The version.
    pub version: u64,
    /// The revision that named it.
    pub revision: u64,
    /// When this process first heard of it, less how long others knew it before.
    pub since: Time,
}

/// The oldest of `named` that a replica lacks which holds `held`: its bound comes first.
pub fn first_missing(named: &[DesiredVersion], held: u64) -> Option<DesiredVersion> {
    named.iter().find(|wanted| wanted.version > held).copied()
}

/// A listed replica.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedReplica {
    /// What it says of itself.
    pub record: Record,
    /// The revision of that.
    pub revision: u64,
    /// When its entry went, unless it is there.
    pub removed_at: Option<Time>,
    /// Whether the removal is doubted, because the store was out of reach shortly before.
    pub provisional: bool,
}

/// What changed with a fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it is not newer.
    None,
    /// The routing configuration.
    Routing,
    /// A model's wanted version.
    Version,
    /// The list of replicas.
    Replicas,
    /// The halls whose replicas are to get nothing more.
    Evacuations,
}

/// How fresh a process's facts are, for comparing with another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the routing configuration, 0 if none is known.
    pub routing: u64,
    /// Highest revision of the wanted versions.
    pub versions: u64,
    /// Revision of the newest change in the list of replicas.
    pub replicas: u64,
    /// Revision of what operators said last of a hall's evacuation.
    #[serde(default)]
    pub evacuations: u64,
}

impl Revisions {
    /// Whether at least one of these revisions is higher than its counterpart in `other`.
    pub fn any_newer_than(&self, other: Self) -> bool {
        self.routing > other.routing
            || self.versions > other.versions
            || self.replicas > other.replicas
            || self.evacuations > other.evacuations
    }

    /// These marks without the revision of the configuration, which is transferred separately.
    pub fn without_routing(self) -> Self {
        Self { routing: 0, ..self }
    }
}

/// A replica's entry and its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionedRecord {
    /// The revision.
    pub revision: u64,
    /// The entry.
    pub record: Record,
}

/// An entry of the list that went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The revision that removed it.
    pub revision: u64,
    /// Whose it was.
    pub id: Arc<str>,
}

/// What changed in the list of replicas between two revisions, as one process tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision after which the changes came.
    pub since: u64,
    /// The revision of the newest of them.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the store was out of reach shortly before.
    #[serde(default)]
    #[serde(rename = "shaky")]
    pub store_unstable: bool,
    /// Entries that were written.
    #[serde(default)]
    pub records: Vec<RevisionedRecord>,
    /// Entries that went.
    #[serde(default)]
    #[serde(rename = "gone")]
    pub removals: Vec<Removal>,
}

fn evacuated(changed: bool) -> Effect {
    if changed {
        Effect::Evacuations
    } else {
        Effect::None
    }
}

/// Beliefs.
#[derive(Debug, Default)]
pub struct Catalog {
    routing: Option<(u64, Rc<Routing>)>,
    versions: BTreeMap<Arc<str>, Vec<DesiredVersion>>,
    evacuations: Evacuations,
    replicas: BTreeMap<Arc<str>, ListedReplica>,
    replicas_at: u64,
    replicas_changed: u64,
    removals: BTreeMap<Arc<str>, u64>,
    /// The revision from which on all removals are remembered.
    removals_from: u64,
    trusts_removals: bool,
}

impl Catalog {
    /// Nothing is believed yet; with `trusts_removals` no removal is ever doubted.
    pub fn new(trusts_removals: bool) -> Self {
        Self {
            trusts_removals,
            ..Self::default()
        }
    }

    /// The routing configuration in force.
    pub fn routing(&self) -> Option<&Rc<Routing>> {
        self.routing.as_ref().map(|(_, routing)| routing)
    }

    /// The newest version that was named for a model.
    pub fn wanted(&self, model: &str) -> Option<DesiredVersion> {
        self.versions.get(model)?.last().copied()
    }

    /// The versions that were named for a model, oldest first.
    pub fn desired_versions(&self, model: &str) -> &[DesiredVersion] {
        self.versions.get(model).map_or(&[], Vec::as_slice)
    }

    /// All named versions, the oldest of each model first.
    pub fn versions(&self) -> impl Iterator<Item = (&Arc<str>, DesiredVersion)> {
        let models = self.versions.iter();
        models.flat_map(|(model, named)| named.iter().map(move |wanted| (model, *wanted)))
    }

    /// The oldest version of a model on which a request may start, where a named version is due
    /// `bound` after it was heard of.
    pub fn oldest_allowed(&self, model: &str, bound: Duration, now: Time) -> u64 {
        let named = self.versions.get(model).map(Vec::as_slice);
        named
            .unwrap_or_default()
            .iter()
            .filter(|wanted| now.since(wanted.since) >= bound)
            .map(|wanted| wanted.version)
            .max()
            .unwrap_or(0)
    }

    /// All replicas that are listed, and those whose removal is young.
    pub fn replicas(&self) -> &BTreeMap<Arc<str>, ListedReplica> {
        &self.replicas
    }

    /// A model that replicas hold, those of `service` if one is given.
    pub fn loaded_model(&self, service: Option<&str>) -> Option<Arc<str>> {
        let records = self.replicas.values().map(|listed| &listed.record);
        let mut fellows =
            records.filter(|record| service.is_none_or(|service| &*record.service == service));
        fellows.find_map(|record| Some(record.models.first()?.model.clone()))
    }

    /// Versions of `model` that listed replicas hold.
    pub fn loaded_versions(&self, model: &str) -> BTreeSet<u64> {
        let present = self.replicas.values();
        let present = present.filter(|listed| listed.removed_at.is_none());
        present
            .filter_map(|listed| listed.record.version(model))
            .collect()
    }

    /// The revision up to which the list of replicas is known.
    pub fn list_revision(&self) -> u64 {
        self.replicas_at
    }

    /// Whether the list of replicas was ever read.
    pub fn has_replica_list(&self) -> bool {
        self.replicas_at > 0
    }

    /// How fresh everything is.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            routing: self.routing.as_ref().map_or(0, |(revision, _)| *revision),
            versions: self
                .versions()
                .map(|(_, wanted)| wanted.revision)
                .max()
                .unwrap_or(0),
            replicas: self.replicas_changed,
            evacuations: self.evacuations.revision(),
        }
    }

    /// The halls whose replicas are to get nothing more.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// All evacuations that were asked for at `revision` were those of `halls`.
    pub fn apply_evacuations(&mut self, halls: &[Arc<str>], revision: u64) -> Effect {
        evacuated(self.evacuations.apply_list(halls, revision))
    }

    /// Takes one fact. `shaky` tells that the store was out of reach shortly before.
    pub fn apply(&mut self, dated: Revisioned, now: Time, shaky: bool) -> Effect {
        let revision = dated.revision;
        match dated.fact {
            Fact::Routing(document) => self.learn_routing(revision, document),
            Fact::Version { model, version } => self.learn_version(revision, model, version, now),
            Fact::Replica(record) => self.learn_replica(revision, record),
            Fact::ReplicaGone(id) => self.forget_replica(revision, &id, now, shaky),
            Fact::Evacuation {
                hall,
                active: asked,
            } => evacuated(self.evacuations.apply(Evacuation {
                hall,
                active: asked,
                revision,
            })),
        }
    }

    fn learn_routing(&mut self, revision: u64, document: Arc<Document>) -> Effect {
        let newer = self.routing.as_ref().is_none_or(|(known, routing)| {
            let untold = document.gaps.version || routing.document.gaps.version;
            *known < revision && (untold || routing.document.version < document.version)
        });
        if !newer {
            return Effect::None;
        }
        self.routing = Some((revision, Rc::new(Routing::new(document))));
        Effect::Routing
    }

    fn learn_version(
        &mut self,
        revision: u64,
        model: Arc<str>,
        version: u64,
        since: Time,
    ) -> Effect {
        let named = self.versions.entry(model).or_default();
        let place = named.partition_point(|known| known.version < version);
        if named
            .get(place)
            .is_some_and(|known| known.version == version)
        {
            return Effect::None;
        }
        let wanted = DesiredVersion {
            version,
            revision,
            since,
        };
        named.insert(place, wanted);
        if named.len() > NAMED_MAX {
            named.remove(0);
        }
        Effect::Version
    }

    fn learn_replica(&mut self, revision: u64, record: Record) -> Effect {
        if self
            .removals
            .get(&record.id)
            .is_some_and(|gone| *gone >= revision)
        {
            return Effect::None;
        }
        let known = self.replicas.get(&record.id);
        let life = known.map_or(0, |known| known.record.born);
        if record.born < life {
            // A heartbeat of an earlier life may be written after the first one of a later life.
            return Effect::None;
        }
        if known.is_some_and(|known| known.revision >= revision && record.born == life) {
            return Effect::None;
        }
        // That late heartbeat may be known already.
        let revision = known.map_or(revision, |known| known.revision.max(revision));
        let unchanged =
            known.is_some_and(|known| known.record == record && known.removed_at.is_none());
        if !unchanged {
            self.replicas_changed = self.replicas_changed.max(revision);
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

    fn forget_replica(&mut self, revision: u64, id: &Arc<str>, now: Time, shaky: bool) -> Effect {
        let Some(known) = self.replicas.get_mut(id) else {
            return Effect::None;
        };
        if known.revision > revision || known.removed_at.is_some() {
            return Effect::None;
        }
        known.removed_at = Some(now);
        let service = known.record.service.clone();
        known.provisional = shaky && !self.trusts_removals;
        if !self.trusts_removals && self.vanishing(&service, now) {
            self.doubt_all(&service, now);
        }
        self.removals.insert(id.clone(), revision);
        self.replicas_changed = self.replicas_changed.max(revision);
        Effect::Replicas
    }

    /// Whether a good part of a service's replicas lost their entries at about the same time. That
    /// is more likely the store's doing than theirs.
    fn vanishing(&self, service: &str, now: Time) -> bool {
        let replicas = || {
            let all = self.replicas.values();
            all.filter(|listed| &*listed.record.service == service && !listed.record.leaving)
        };
        let vanished = replicas()
            .filter(|listed| {
                listed
                    .removed_at
                    .is_some_and(|gone| now.since(gone) < REMOVAL_GRACE)
            })
            .count();
        vanished >= VANISHED_MIN && vanished * 3 >= replicas().count()
    }

    fn doubt_all(&mut self, service: &str, now: Time) {
        for listed in self.replicas.values_mut() {
            let young = listed
                .removed_at
                .is_some_and(|gone| now.since(gone) < REMOVAL_GRACE);
            listed.provisional |= young && &*listed.record.service == service;
        }
    }

    /// Takes a whole list as of `revision`: what is known and not in it has gone.
    pub fn apply_list(
        &mut self,
        records: Vec<(u64, Record)>,
        revision: u64,
        now: Time,
        shaky: bool,
    ) -> Effect {
        if revision < self.replicas_at {
            return Effect::None;
        }
        if !self.has_replica_list() {
            self.removals_from = revision;
        }
        let mut effect = Effect::None;
        let missing: Vec<Arc<str>> = self
            .replicas
            .keys()
            .filter(|id| !records.iter().any(|(_, record)| record.id == **id))
            .cloned()
            .collect();
        for (at, record) in records {
            if self.learn_replica(at, record) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        for id in missing {
            if self.forget_replica(revision, &id, now, shaky) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        self.advance_list(revision);
        effect
    }

    /// What changed in the list after `since`, unless removals of that time are forgotten.
    pub fn changes_since(&self, since: u64) -> Option<Changes> {
        if !self.has_replica_list() || since < self.removals_from {
            return None;
        }
        let present = self.replicas.values();
        let present =
            present.filter(|listed| listed.removed_at.is_none() && listed.revision > since);
        let removals = self.removals.iter();
        let removals = removals.filter(|(_, revision)| **revision > since);
        Some(Changes {
            since,
            revision: self.replicas_changed,
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

    /// Takes what changed in the list, if all before that is known.
    pub fn apply_changes(&mut self, changes: Changes, now: Time, shaky: bool) -> Effect {
        if !self.has_replica_list() || self.replicas_changed.max(self.replicas_at) < changes.since {
            return Effect::None;
        }
        let shaky = shaky || changes.store_unstable;
        let mut effect = Effect::None;
        for RevisionedRecord { revision, record } in changes.records {
            if self.learn_replica(revision, record) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        for Removal { revision, id } in changes.removals {
            if self.forget_replica(revision, &id, now, shaky) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        self.advance_list(changes.revision);
        effect
    }

    /// The list of replicas is known up to `revision`.
    pub fn advance_list(&mut self, revision: u64) {
        self.replicas_at = self.replicas_at.max(revision);
    }

    /// Takes a wanted version that another process has known for `age`.
    pub fn apply_aged(
        &mut self,
        model: Arc<str>,
        wanted: DesiredVersion,
        age: Duration,
        now: Time,
    ) -> Effect {
        let since = now - age;
        let effect = self.learn_version(wanted.revision, model.clone(), wanted.version, since);
        let named = self.versions.get_mut(&model).into_iter().flatten();
        let mut dated_back = false;
        for known in named.filter(|known| known.version == wanted.version) {
            dated_back |= known.since.since(since) >= DATED_BACK_MIN;
            known.since = known.since.min(since);
        }
        match effect {
            Effect::None if dated_back => Effect::Version,
            effect => effect,
        }
    }

    /// Drops replicas that went long enough ago. Returns whether any was dropped.
    pub fn remove_expired(&mut self, now: Time) -> bool {
        let before = self.replicas.len();
        self.replicas.retain(|_, listed| match listed.removed_at {
            None => true,
            Some(gone) => listed.provisional && now.since(gone) < REMOVAL_GRACE,
        });
        while self.removals.len() > REMOVALS_MAX {
            let oldest = self.removals.iter().min_by_key(|(_, revision)| **revision);
            let Some((id, revision)) = oldest.map(|(id, revision)| (id.clone(), *revision)) else {
                break;
            };
            self.removals.remove(&id);
            self.removals_from = self.removals_from.max(revision);
        }
        before != self.replicas.len()
    }
}
