//! Builds heartbeats and their answers, and applies answers of other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_bytes::ByteBuf;

use super::Knowledge;
use super::readers::Readers;
use super::rounds::PeerExchange;
use crate::clock::Time;
use crate::config::catalog::{
    Catalog, Changes, DesiredVersion, Effect, Fact, Revisioned, RevisionedRecord, Revisions,
};
use crate::member::peer::Advertisement;
use crate::wire::pack;
use crate::wire::sync::{
    Heartbeat, PackedReplicaList, PublishedVersion, ReplicaList, RevisionedDocument, Update,
};

/// How long after its publication a version is repeated, with its age, to processes that may know it. It
/// exceeds every bound that is counted from the publication.
const VERSION_REPEAT_PERIOD: Duration = Duration::from_secs(20);

impl Knowledge {
    /// Applies the answer of another process.
    pub fn apply_update(&self, from: SocketAddr, update: Update) {
        self.update_peers(|peers| peers.merge(&update.peers, self.now()));
        if let Some(packed) = &update.packed_peers {
            match pack::unpack::<Vec<Advertisement>>(packed) {
                Ok(entries) => self.update_peers(|peers| peers.merge(&entries, self.now())),
                Err(error) => {
                    log::warn!(from:% = from; "cannot unpack the list of entries: {error}");
                }
            }
        }
        if update.entry {
            self.record_peer(from, &update.hall, update.store_age_ms);
            self.merge_quotas(&update.quotas, &update.hall);
        }
        if let Some(dated) = update.routing {
            self.apply_document(from, dated);
        }
        for published in update.versions {
            self.apply_version(published);
        }
        for evacuation in update.evacuations {
            let revision = evacuation.revision;
            let fact = Fact::Evacuation {
                hall: evacuation.hall,
                active: evacuation.active,
            };
            self.apply_fact(Revisioned { revision, fact }, &from.to_string());
        }
        if let Some(list) = update.replicas {
            self.apply_whole_list(from, list, update.revisions.settled_era);
        }
        if let Some(packed) = update.list {
            self.apply_packed_list(from, packed, update.revisions.settled_era);
        }
        if let Some(changes) = update.changes {
            self.apply_changes_from(changes, &from.to_string());
        }
        if let Some(summary) = update.summary {
            let newer = self
                .summary
                .borrow()
                .as_ref()
                .is_none_or(|known| known.revision < summary.revision);
            if newer {
                self.summary.replace(Some(summary));
                self.notify(Effect::Routing);
            }
        }
    }

    fn apply_changes_from(&self, changes: Changes, origin: &str) {
        let revision = changes.revision;
        let (written, removed) = (changes.records.len(), changes.removals.len());
        let store_unstable = changes.store_unstable || self.store_unstable();
        let now = self.now();
        let effect = self
            .catalog
            .borrow_mut()
            .apply_changes(changes, now, store_unstable);
        if effect != Effect::None {
            log::info!(revision, origin, written, removed, shaky = store_unstable; "applied: changes of replicas");
        }
        self.notify(effect);
    }

    /// Applies the whole list of replicas, received from `from`, which has settled in `era`.
    fn apply_whole_list(&self, from: SocketAddr, list: ReplicaList, era: u64) {
        let records = list.records.into_iter();
        let records = records.map(|dated| (dated.revision, dated.record));
        let store_unstable = list.store_unstable || self.store_unstable();
        self.apply_list(
            |catalog, records, at, now, store_unstable| {
                catalog.apply_settled_list(records, at, era, now, store_unstable)
            },
            records.collect(),
            list.revision,
            store_unstable,
            &from.to_string(),
        );
    }

    fn apply_packed_list(&self, from: SocketAddr, list: PackedReplicaList, era: u64) {
        let PackedReplicaList {
            revision,
            store_unstable,
            packed,
        } = list;
        match pack::unpack(&packed) {
            Ok(records) => self.apply_whole_list(
                from,
                ReplicaList {
                    revision,
                    store_unstable,
                    records,
                },
                era,
            ),
            Err(error) => {
                log::warn!(from:% = from, revision; "cannot unpack the list of replicas: {error}");
            }
        }
    }

    fn apply_document(&self, from: SocketAddr, dated: RevisionedDocument) {
        let revision = dated.revision;
        match pack::unpack(&dated.packed) {
            Ok(document) => {
                let fact = Fact::Routing(Arc::new(document));
                self.apply_fact(Revisioned { revision, fact }, &from.to_string());
            }
            Err(error) => {
                log::warn!(from:% = from, revision; "cannot unpack the configuration: {error}");
            }
        }
    }

    fn apply_version(&self, published: PublishedVersion) {
        let now = self.now();
        let age = Duration::from_millis(published.age_ms);
        let desired = DesiredVersion {
            version: published.version,
            revision: published.revision,
            since: now,
        };
        let model = published.model.clone();
        let effect = self
            .catalog
            .borrow_mut()
            .apply_aged(model, desired, age, now);
        if effect != Effect::None {
            log::info!(
                model = &*published.model, version = published.version, age_ms = published.age_ms;
                "applied: version published"
            );
        }
        self.notify(effect);
    }

    /// The heartbeat that this process sends. With `names_entries`, it lists the known entries and requests
    /// those that the receiver knows.
    pub fn heartbeat(&self, names_entries: bool) -> Heartbeat {
        let exchange = if names_entries {
            PeerExchange::PushPull
        } else {
            PeerExchange::Skip
        };
        self.heartbeat_with(exchange)
    }

    /// The heartbeat that this process sends. `exchange` selects whether it sends and requests known
    /// entries.
    pub fn heartbeat_with(&self, exchange: PeerExchange) -> Heartbeat {
        let now = self.now();
        Heartbeat {
            from: self.identity.address,
            hall: self.identity.hall.clone(),
            entry: self.identity.entry,
            revisions: self.catalog.borrow().revisions(),
            store_age_ms: self.store_age_ms(now),
            peers: match exchange {
                _ if !self.identity.entry => Vec::new(),
                PeerExchange::PushPull => self.peers.borrow().advertise(now),
                PeerExchange::PushPullHall => self.hall_peers(now),
                PeerExchange::Skip | PeerExchange::Pull => Vec::new(),
            },
            wants_peers: exchange != PeerExchange::Skip,
            wants_routing: false,
            wants_list: false,
            draws_list: !self.catalog.borrow().has_replica_list(),
            takes_changes: true,
            takes_packed_peers: true,
            takes_packed_digest: true,
            poison: self.poison.borrow().digest(now),
            quotas: self.quota_reports(),
        }
    }

    /// The update since `revisions` without the configuration, if there is any.
    pub fn update_since(&self, revisions: Revisions) -> Option<Update> {
        let has_update = {
            let catalog = self.catalog.borrow();
            let own = catalog.revisions().without_routing();
            own.any_newer_than(revisions) || has_recent_versions(&catalog, self.now())
        };
        has_update.then(|| {
            let heartbeat = Heartbeat {
                entry: false,
                revisions,
                ..self.heartbeat(false)
            };
            self.update_for(&heartbeat, false)
        })
    }

    /// The answer to a poll of an entry of another hall: what its sender lacks. It lists only entries of
    /// this hall, because the sender polls the other halls as well.
    pub fn update_for_hall(&self, heartbeat: &Heartbeat) -> Update {
        self.update_with_entries(heartbeat, false, |now| self.hall_peers(now))
    }

    /// The other entries of the own hall, as advertised to other processes.
    fn hall_peers(&self, now: Time) -> Vec<Advertisement> {
        let local_peers = self.local_peers();
        let peers = self.peers.borrow();
        peers.advertise_filtered(now, |entry| local_peers.contains(&entry))
    }

    /// The answer to a heartbeat: what its sender lacks. `wants_summary` is set for senders that do not keep
    /// the configuration itself.
    pub fn update_for(&self, heartbeat: &Heartbeat, wants_summary: bool) -> Update {
        self.update_with_entries(heartbeat, wants_summary, |now| {
            self.entries_to_send(heartbeat, now)
        })
    }

    /// The answer to a heartbeat. It lists the result of `entries` if the sender requests entries.
    fn update_with_entries(
        &self,
        heartbeat: &Heartbeat,
        wants_summary: bool,
        entries: impl FnOnce(Time) -> Vec<Advertisement>,
    ) -> Update {
        let now = self.now();
        self.update_peers(|peers| peers.merge(&heartbeat.peers, now));
        if heartbeat.entry {
            self.record_peer(heartbeat.from, &heartbeat.hall, heartbeat.store_age_ms);
            self.merge_quotas(&heartbeat.quotas, &heartbeat.hall);
        }
        let catalog = self.catalog.borrow();
        let revisions = catalog.revisions();
        let advertisements = if heartbeat.wants_peers {
            entries(now)
        } else {
            Vec::new()
        };
        let newer_routing = revisions.has_newer_routing_than(heartbeat.revisions);
        let settled = revisions.has_settled_since(heartbeat.revisions);
        let newer_list = settled || revisions.replicas > heartbeat.revisions.replicas;
        let changes = (newer_list && !settled && heartbeat.takes_changes)
            .then(|| catalog.changes_since(heartbeat.revisions.replicas))
            .flatten();
        let changes = changes.map(|changes| Changes {
            store_unstable: self.store_unstable(),
            ..changes
        });
        let packed_peers = if heartbeat.takes_packed_peers {
            pack_peers(&advertisements)
        } else {
            None
        };
        let needs_whole_list = newer_list && changes.is_none();
        Update {
            hall: self.identity.hall.clone(),
            entry: self.identity.entry,
            revisions,
            store_age_ms: self.store_age_ms(now),
            peers: if packed_peers.is_none() {
                advertisements
            } else {
                Vec::new()
            },
            packed_peers,
            routing: (newer_routing && heartbeat.wants_routing)
                .then(|| self.packed_document())
                .flatten(),
            versions: if revisions.versions > heartbeat.revisions.versions
                || has_recent_versions(&catalog, now)
            {
                self.published_versions(now)
            } else {
                Vec::new()
            },
            evacuations: if settled || revisions.evacuations > heartbeat.revisions.evacuations {
                catalog.evacuations().all()
            } else {
                Vec::new()
            },
            // A starting process contacts several others, so it receives the list only from the one that
            // it fetches it from.
            replicas: (needs_whole_list && !heartbeat.draws_list)
                .then(|| replica_list(&catalog, self.store_unstable())),
            list: (needs_whole_list && heartbeat.draws_list && heartbeat.wants_list)
                .then(|| self.packed_list())
                .flatten(),
            changes,
            summary: (newer_routing && wants_summary)
                .then(|| self.summary())
                .flatten(),
            poison: self.poison.borrow().digest(now),
            quotas: if heartbeat.entry {
                self.quota_reports()
            } else {
                Vec::new()
            },
        }
    }

    /// The entries that the answer to `heartbeat` lists: all known ones if the sender is an entry, a
    /// bounded subset if it is a sidecar, unless sidecars report to all entries.
    fn entries_to_send(&self, heartbeat: &Heartbeat, now: Time) -> Vec<Advertisement> {
        let peers = self.peers.borrow();
        if heartbeat.entry || !self.policy.digests {
            return peers.advertise(now);
        }
        let selected = Readers::entries_for_sidecar(heartbeat.from, &heartbeat.hall, &peers, now);
        peers.advertise_filtered(now, |entry| selected.contains(&entry))
    }

    /// The packed configuration, for processes that fetch it.
    fn packed_document(&self) -> Option<RevisionedDocument> {
        let catalog = self.catalog.borrow();
        let routing = catalog.routing()?;
        let revision = catalog.revisions().routing;
        let mut cache = self.packed_routing.borrow_mut();
        match cache.get_or_pack(revision, || &*routing.document) {
            Ok(packed) => Some(RevisionedDocument { revision, packed }),
            Err(error) => {
                log::error!(revision; "cannot pack configuration: {error}");
                None
            }
        }
    }

    /// The packed list of replicas, for processes that have none yet.
    fn packed_list(&self) -> Option<PackedReplicaList> {
        let catalog = self.catalog.borrow();
        let at = catalog.revisions().replicas;
        let mut cache = self.packed_list.borrow_mut();
        match cache.get_or_pack(at, || present_records(&catalog)) {
            Ok(packed) => Some(PackedReplicaList {
                revision: at,
                store_unstable: self.store_unstable(),
                packed,
            }),
            Err(error) => {
                log::error!(revision = at; "cannot pack the list of replicas: {error}");
                None
            }
        }
    }

    fn published_versions(&self, now: Time) -> Vec<PublishedVersion> {
        let catalog = self.catalog.borrow();
        let versions = catalog.versions();
        versions
            .map(|(model, desired)| PublishedVersion {
                model: model.clone(),
                version: desired.version,
                revision: desired.revision,
                age_ms: now.since(desired.since).as_millis() as u64,
            })
            .collect()
    }
}

/// Encodes `advertisements` for [`Update::packed_peers`]. Returns `None` if it is empty or cannot be packed.
fn pack_peers(advertisements: &[Advertisement]) -> Option<ByteBuf> {
    if advertisements.is_empty() {
        return None;
    }
    match pack::pack(&advertisements) {
        Ok(packed) => Some(packed.into()),
        Err(error) => {
            log::error!("cannot pack the list of entries: {error}");
            None
        }
    }
}

/// Whether a version was published recently. In that case, a process that knows the newest version may
/// still lack the previous one, which the store no longer returns, or may have learned of both later than
/// this process.
fn has_recent_versions(catalog: &Catalog, now: Time) -> bool {
    let mut published = catalog.versions();
    published.any(|(_, desired)| now.since(desired.since) < VERSION_REPEAT_PERIOD)
}

fn replica_list(catalog: &Catalog, store_unstable: bool) -> ReplicaList {
    ReplicaList {
        revision: catalog.revisions().replicas,
        store_unstable,
        records: present_records(catalog),
    }
}

fn present_records(catalog: &Catalog) -> Vec<RevisionedRecord> {
    let present = catalog.replicas().values();
    let present = present.filter(|listed| listed.removed_at.is_none());
    let dated = present.map(|listed| RevisionedRecord {
        revision: listed.revision,
        record: listed.record.clone(),
    });
    dated.collect()
}
