//! The list of replicas in a catalog: single entries, whole lists and changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{
    Catalog, Changes, Effect, Fact, ListedReplica, MASS_REMOVAL_MIN, REMOVAL_GRACE, Removal,
    Revisioned, RevisionedRecord, revision,
};
use crate::clock::Time;
use crate::member::replica::Record;

impl Catalog {
    /// Applies a record of a list. If the store has just come back from an older copy, one of a
    /// replica that was removed before is put aside if it was `read` from the store, or else left to
    /// the processes that read it.
    pub(super) fn apply_listed(
        &mut self,
        revision: u64,
        record: Record,
        read: bool,
        now: Time,
    ) -> Effect {
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

    /// Whether the replica is listed with a newer record than that of `revision`.
    pub(super) fn lists_newer(&self, id: &Arc<str>, revision: u64) -> bool {
        let listed = self.replicas.get(id);
        listed.is_some_and(|listed| listed.removed_at.is_none() && listed.revision > revision)
    }

    /// Drops the record of a replica that was put aside, if it is not newer than `revision`.
    pub(super) fn drop_aside(&mut self, id: &Arc<str>, revision: u64) {
        self.aside.retain(|aside| {
            let same = matches!(&aside.fact, Fact::Replica(record) if record.id == *id);
            !same || aside.revision > revision
        });
    }

    pub(super) fn apply_replica(&mut self, revision: u64, mut record: Record) -> Effect {
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

    pub(super) fn remove_replica(
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
            // Others may have known it, and hear of its removal only from this process.
            self.removals.entry(id.clone()).or_insert(revision);
            self.replicas_changed_at = self.replicas_changed_at.max(revision);
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

    pub(super) fn apply_whole(
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
        // The sender has kept what it knew before the copy, until it has settled.
        let is_older = |(at, _): &(u64, Record)| revision::era(*at) < self.era;
        self.restored |= !read && records.iter().any(is_older);
        if !self.has_replica_list() {
            self.removals_since = revision;
        } else if revision > self.replicas_revision {
            self.removals_since = self.removals_since.max(self.unread.end);
            self.unread = self.replicas_revision..revision;
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
        self.partial_list = false;
        self.advance_list(revision);
        effect
    }

    /// Applies the part of the list that could be read from the store. Replicas that it lacks stay.
    pub fn apply_partial_list(&mut self, records: Vec<(u64, Record)>, now: Time) -> Effect {
        let is_first = !self.has_replica_list() && !self.partial_list;
        self.partial_list = true;
        let mut effect = if is_first {
            Effect::Replicas
        } else {
            Effect::None
        };
        for (revision, record) in records {
            if self.apply_listed(revision, record, true, now) != Effect::None {
                effect = Effect::Replicas;
            }
        }
        effect
    }

    /// Returns the changes to the list after `since`, or `None` if not all removals since then are
    /// remembered.
    pub fn changes_since(&self, since: u64) -> Option<Changes> {
        let is_unread = self.unread.contains(&since) && since != self.unread.start;
        if !self.has_replica_list() || since < self.removals_since || is_unread {
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
        if self.partial_list {
            return;
        }
        self.replicas_revision = self.replicas_revision.max(revision);
    }
}
