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

/// How long after its naming a version is told to those who know it, with its age: longer than any
/// bound that is counted from there.
const VERSIONS_TOLD: Duration = Duration::from_secs(20);

impl Knowledge {
    /// Takes what another process answered.
    pub fn apply_update(&self, from: SocketAddr, news: Update) {
        self.update_peers(|peers| peers.merge(&news.peers, self.now()));
        if let Some(packed) = &news.packed_peers {
            match pack::unpack::<Vec<Advertisement>>(packed) {
                Ok(told) => self.update_peers(|peers| peers.merge(&told, self.now())),
                Err(error) => {
                    log::warn!(from:% = from; "cannot unpack the list of entries: {error}");
                }
            }
        }
        if news.entry {
            self.hear(from, &news.hall, news.store_age_ms);
        }
        if let Some(dated) = news.routing {
            self.take_document(from, dated);
        }
        for named in news.versions {
            self.take_named(named);
        }
        for told in news.evacuations {
            let revision = told.revision;
            let fact = Fact::Evacuation {
                hall: told.hall,
                active: told.active,
            };
            self.learn(Revisioned { revision, fact }, &from.to_string());
        }
        if let Some(list) = news.replicas {
            self.take_whole_list(from, list);
        }
        if let Some(packed) = news.list {
            self.take_packed_list(from, packed);
        }
        if let Some(changes) = news.changes {
            self.take_changes(changes, &from.to_string());
        }
        if let Some(brief) = news.summary {
            let newer = self
                .summary
                .borrow()
                .as_ref()
                .is_none_or(|known| known.revision < brief.revision);
            if newer {
                self.summary.replace(Some(brief));
                self.tell(Effect::Routing);
            }
        }
    }

    fn take_changes(&self, changes: Changes, origin: &str) {
        let revision = changes.revision;
        let (written, removed) = (changes.records.len(), changes.removals.len());
        let shaky = changes.store_unstable || self.shaky();
        let now = self.now();
        let effect = self.catalog.borrow_mut().apply_changes(changes, now, shaky);
        if effect != Effect::None {
            log::info!(revision, origin, written, removed, shaky; "learned: changes of replicas");
        }
        self.tell(effect);
    }

    /// Applies the whole list of replicas, received from `from`.
    fn take_whole_list(&self, from: SocketAddr, list: ReplicaList) {
        let records = list.records.into_iter();
        let records = records.map(|dated| (dated.revision, dated.record));
        let shaky = list.store_unstable || self.shaky();
        self.take_list(records.collect(), list.revision, shaky, &from.to_string());
    }

    fn take_packed_list(&self, from: SocketAddr, list: PackedReplicaList) {
        let PackedReplicaList {
            revision,
            store_unstable,
            packed,
        } = list;
        match pack::unpack(&packed) {
            Ok(records) => self.take_whole_list(
                from,
                ReplicaList {
                    revision,
                    store_unstable,
                    records,
                },
            ),
            Err(error) => {
                log::warn!(from:% = from, revision; "cannot unpack the list of replicas: {error}");
            }
        }
    }

    fn take_document(&self, from: SocketAddr, dated: RevisionedDocument) {
        let revision = dated.revision;
        match pack::unpack(&dated.packed) {
            Ok(document) => {
                let fact = Fact::Routing(Arc::new(document));
                self.learn(Revisioned { revision, fact }, &from.to_string());
            }
            Err(error) => log::warn!(from:% = from, revision; "configuration: {error}"),
        }
    }

    fn take_named(&self, named: PublishedVersion) {
        let now = self.now();
        let age = Duration::from_millis(named.age_ms);
        let wanted = DesiredVersion {
            version: named.version,
            revision: named.revision,
            since: now,
        };
        let model = named.model.clone();
        let effect = self
            .catalog
            .borrow_mut()
            .apply_aged(model, wanted, age, now);
        if effect != Effect::None {
            log::info!(
                model = &*named.model, version = named.version, age_ms = named.age_ms;
                "learned: version named"
            );
        }
        self.tell(effect);
    }

    /// The heartbeat that this process sends. With `names_entries` it tells the entries that it
    /// knows, and wants to be told.
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
        }
    }

    /// The news since `marks` without the configuration, if there is any.
    pub fn update_since(&self, revisions: Revisions) -> Option<Update> {
        let has_news = {
            let catalog = self.catalog.borrow();
            let own = catalog.revisions().without_routing();
            own.any_newer_than(revisions) || names_young(&catalog, self.now())
        };
        has_news.then(|| {
            let sync = Heartbeat {
                entry: false,
                revisions,
                ..self.heartbeat(false)
            };
            self.update_for(&sync, false)
        })
    }

    /// The answer to an entry of another hall that polls this one: what its sender lacks. It lists
    /// only entries of this hall, because the sender polls the other halls as well.
    pub fn update_for_hall(&self, sync: &Heartbeat) -> Update {
        self.news_with_entries(sync, false, |now| self.hall_peers(now))
    }

    /// What this process tells others about the other entries of its own hall.
    fn hall_peers(&self, now: Time) -> Vec<Advertisement> {
        let local_peers = self.local_peers();
        let peers = self.peers.borrow();
        peers.advertise_filtered(now, |entry| local_peers.contains(&entry))
    }

    /// The answer to a heartbeat: what its sender lacks. `brief` for one that does not keep the
    /// whole configuration.
    pub fn update_for(&self, sync: &Heartbeat, brief: bool) -> Update {
        self.news_with_entries(sync, brief, |now| self.entries_to_send(sync, now))
    }

    /// The answer to a heartbeat. It lists the result of `entries` if the sender requests entries.
    fn news_with_entries(
        &self,
        sync: &Heartbeat,
        brief: bool,
        entries: impl FnOnce(Time) -> Vec<Advertisement>,
    ) -> Update {
        let now = self.now();
        self.update_peers(|peers| peers.merge(&sync.peers, now));
        if sync.entry {
            self.hear(sync.from, &sync.hall, sync.store_age_ms);
        }
        let catalog = self.catalog.borrow();
        let revisions = catalog.revisions();
        let told = if sync.wants_peers {
            entries(now)
        } else {
            Vec::new()
        };
        let newer_routing = revisions.routing > sync.revisions.routing;
        let newer_list = revisions.replicas > sync.revisions.replicas;
        let changes = (newer_list && sync.takes_changes)
            .then(|| catalog.changes_since(sync.revisions.replicas))
            .flatten();
        let changes = changes.map(|changes| Changes {
            store_unstable: self.shaky(),
            ..changes
        });
        let packed_peers = if sync.takes_packed_peers {
            pack_peers(&told)
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
                told
            } else {
                Vec::new()
            },
            packed_peers,
            routing: (newer_routing && sync.wants_routing)
                .then(|| self.document())
                .flatten(),
            versions: if revisions.versions > sync.revisions.versions || names_young(&catalog, now)
            {
                self.named(now)
            } else {
                Vec::new()
            },
            evacuations: if revisions.evacuations > sync.revisions.evacuations {
                catalog.evacuations().all()
            } else {
                Vec::new()
            },
            // A process that begins contacts several others, so it gets the list only from the one it
            // draws it from.
            replicas: (needs_whole_list && !sync.draws_list).then(|| list(&catalog, self.shaky())),
            list: (needs_whole_list && sync.draws_list && sync.wants_list)
                .then(|| self.packed_list())
                .flatten(),
            changes,
            summary: (newer_routing && brief).then(|| self.summary()).flatten(),
            poison: self.poison.borrow().digest(now),
        }
    }

    /// The entries that the reply to `sync` lists: all known ones if the sender is an entry, a
    /// bounded subset if it is a sidecar, unless sidecars report to all entries.
    fn entries_to_send(&self, sync: &Heartbeat, now: Time) -> Vec<Advertisement> {
        let peers = self.peers.borrow();
        if sync.entry || !self.policy.digests {
            return peers.advertise(now);
        }
        let selected = Readers::entries_for_sidecar(sync.from, &sync.hall, &peers, now);
        peers.advertise_filtered(now, |entry| selected.contains(&entry))
    }

    /// The configuration as others draw it.
    fn document(&self) -> Option<RevisionedDocument> {
        let catalog = self.catalog.borrow();
        let routing = catalog.routing()?;
        let revision = catalog.revisions().routing;
        let mut cache = self.packed.borrow_mut();
        match cache.get_or_pack(revision, || &*routing.document) {
            Ok(packed) => Some(RevisionedDocument { revision, packed }),
            Err(error) => {
                log::error!(revision; "configuration: {error}");
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
                store_unstable: self.shaky(),
                packed,
            }),
            Err(error) => {
                log::error!(revision = at; "cannot pack the list of replicas: {error}");
                None
            }
        }
    }

    fn named(&self, now: Time) -> Vec<PublishedVersion> {
        let catalog = self.catalog.borrow();
        let versions = catalog.versions();
        versions
            .map(|(model, wanted)| PublishedVersion {
                model: model.clone(),
                version: wanted.version,
                revision: wanted.revision,
                age_ms: now.since(wanted.since).as_millis() as u64,
            })
            .collect()
    }
}

/// Encodes `told` for [`Update::packed_peers`]. Returns `None` if it is empty or cannot be packed.
fn pack_peers(told: &[Advertisement]) -> Option<ByteBuf> {
    if told.is_empty() {
        return None;
    }
    match pack::pack(&told) {
        Ok(packed) => Some(packed.into()),
        Err(error) => {
            log::error!("cannot pack the list of entries: {error}");
            None
        }
    }
}

/// Whether a version was named lately. Then a process that knows the newest may still lack the one before,
/// which the store tells nobody any more, or have heard of them later than this one.
fn names_young(catalog: &Catalog, now: Time) -> bool {
    let mut named = catalog.versions();
    named.any(|(_, wanted)| now.since(wanted.since) < VERSIONS_TOLD)
}

fn list(catalog: &Catalog, shaky: bool) -> ReplicaList {
    ReplicaList {
        revision: catalog.revisions().replicas,
        store_unstable: shaky,
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
