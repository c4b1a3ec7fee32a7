//! The bursts that a process participates in. It fetches the newest version, and keeps serving the
//! chunks that it holds of older versions as long as requests may still start on them, so that
//! replicas that start empty can load one of them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::host::{Host, Origin};
use super::{Burst, Holders, Options};
use crate::audit::Event;
use crate::clock::Time;
use crate::knowledge::Knowledge;
use crate::member::{Descriptor, Role, State};
use crate::spread::Favour;
use crate::weight::{Digest, Layout};

/// Version that replicas hold before any version was published.
pub const FIRST_VERSION: u64 = 1;

/// No peer is assumed to hold a version that was published less than this ago.
const NEW_VERSION_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Creates the origin for a version of a model.
pub trait Origins {
    /// Returns the origin at `address` for `version` of `model`.
    fn of(&self, address: SocketAddr, model: &str, version: u64) -> Rc<dyn Origin>;
}

/// A version of a model that the process should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the model.
    pub model: Arc<str>,
    /// Version number.
    pub version: u64,
    /// When the oldest version that the replica lacks was published.
    pub published: Time,
}

impl Target {
    /// Returns the digest that identifies this version in bursts.
    pub fn label(&self) -> Digest {
        label(&self.model, self.version)
    }
}

/// Returns the digest that identifies `version` of `model` in bursts.
pub fn label(model: &str, version: u64) -> Digest {
    Digest::of(format!("{model}\n{version}").as_bytes())
}

/// Returns the newest published version of the served model, or `None` while the model is unknown.
pub fn newest(knowledge: &Knowledge) -> Option<Target> {
    let summary = knowledge.summary()?;
    let engine = summary.engine.as_ref();
    let declared = engine.and_then(|engine| engine.models.first().cloned());
    let model = declared.or_else(|| knowledge.catalog.borrow().loaded_model(None))?;
    let desired = knowledge.catalog.borrow().desired_version(&model);
    Some(Target {
        version: desired.map_or(FIRST_VERSION, |desired| desired.version),
        published: desired.map_or(Time::default(), |desired| desired.since),
        model,
    })
}

/// Returns the oldest version that is still served to peers while `target` is the newest, if
/// replicas must hold a version `bound` after it was published.
pub fn oldest(knowledge: &Knowledge, target: &Target, bound: Duration) -> u64 {
    let catalog = knowledge.catalog.borrow();
    catalog.oldest_allowed(&target.model, bound, knowledge.now())
}

/// Returns the members of a burst for `service`: the agents beside its replicas, which listen on
/// `port`, and the live entries as relays.
pub fn members(knowledge: &Knowledge, service: Option<&str>, port: u16) -> Vec<Descriptor> {
    let catalog = knowledge.catalog.borrow();
    let records = catalog.replicas().values().map(|listed| &listed.record);
    let matching = records.filter(|record| Some(&*record.service) == service);
    let mut members: Vec<Descriptor> = matching
        .map(|record| {
            let address = SocketAddr::new(record.address.ip(), port);
            let name = address.ip().to_string();
            member(name, record.hall.clone(), address, Role::Model)
        })
        .collect();
    let now = knowledge.now();
    let peers = knowledge.peers.borrow();
    for (address, hall) in peers.alive(now) {
        members.push(member(
            address.to_string(),
            hall.clone(),
            address,
            Role::Entry,
        ));
    }
    members
}

/// Builds the descriptor of a member.
pub fn member(name: String, hall: Arc<str>, address: SocketAddr, role: Role) -> Descriptor {
    Descriptor {
        name: name.into(),
        hall,
        rack: "".into(),
        address,
        role,
        capacity_bytes: 0,
        state: State::Live,
    }
}

/// Number of older versions that a process retains for replicas that start meanwhile: the one that
/// most replicas serve, and one whose distribution was still in progress.
const RETAINED_VERSIONS_MAX: usize = 2;

/// The burst of one version.
struct VersionBurst {
    target: Target,
    burst: Rc<Burst>,
}

/// The members of a burst and the origin of the weights.
pub struct Topology {
    /// Address of the origin.
    pub origin: SocketAddr,
    /// Time to transfer a chunk over the origin's link, if known.
    pub origin_chunk_time: Option<Duration>,
    /// The members. This process may be missing.
    pub members: Vec<Descriptor>,
    /// Descriptor of this process.
    pub own: Descriptor,
}

impl Topology {
    fn into_members(mut self) -> Vec<Descriptor> {
        let own = self.own;
        self.members.retain(|listed| listed.name != own.name);
        self.members.push(own);
        self.members
    }
}

/// The bursts that a process participates in: that of the newest version, and those of older ones
/// that it still serves.
pub struct Manager {
    /// State shared by all bursts of the process.
    pub host: Rc<Host>,
    origins: Rc<dyn Origins>,
    first_start: bool,
    /// In descending order of versions.
    bursts: RefCell<Vec<VersionBurst>>,
}

impl Manager {
    /// Creates a manager without bursts. `first_start` means that the whole system is starting for
    /// the first time.
    pub fn new(host: Rc<Host>, origins: Rc<dyn Origins>, first_start: bool) -> Self {
        Self {
            host,
            origins,
            first_start,
            bursts: RefCell::default(),
        }
    }

    /// Joins the burst of `target`. Held chunks of older versions, down to `oldest`, stay available
    /// to peers; versions before `oldest` are released.
    pub fn join(&self, target: &Target, oldest: u64, topology: Topology) {
        let label = target.label();
        let burst = self.get(label).unwrap_or_else(|| {
            self.suspend_all();
            self.free_capacity();
            log::info!(model = &*target.model, version = target.version; "burst joined");
            self.start(target, &topology, false)
        });
        self.release_if(|index, joined| index > 0 && joined.target.version < oldest);
        burst.set_members(&self.host, topology.into_members());
    }

    /// Fetches `target`, which is older than the newest version, from peers that hold it.
    pub fn join_older(&self, target: &Target, topology: Topology) {
        let known = self.get(target.label());
        let burst = known.unwrap_or_else(|| {
            log::info!(model = &*target.model, version = target.version; "older version joined");
            self.start(target, &topology, true)
        });
        burst.resume(&self.host);
        burst.set_members(&self.host, topology.into_members());
    }

    fn start(&self, target: &Target, topology: &Topology, peers_only: bool) -> Rc<Burst> {
        let origin = self
            .origins
            .of(topology.origin, &target.model, target.version);
        let options = Options {
            favour: Favour::Time,
            holders: self.holders(target),
            peers_only,
            origin_chunk_time: topology.origin_chunk_time,
        };
        let burst = Burst::start(&self.host, origin, target.label(), options);
        let joined = VersionBurst {
            target: target.clone(),
            burst: burst.clone(),
        };
        let mut bursts = self.bursts.borrow_mut();
        let index = bursts.partition_point(|known| known.target.version > target.version);
        bursts.insert(index, joined);
        burst
    }

    /// Stops all fetches, and releases versions of which no chunk is held or that exceed
    /// [`RETAINED_VERSIONS_MAX`].
    fn suspend_all(&self) {
        for joined in &*self.bursts.borrow() {
            joined.burst.suspend();
        }
        self.release_if(|index, joined| {
            index >= RETAINED_VERSIONS_MAX || joined.burst.progress().0 == 0
        });
    }

    /// Releases the oldest versions until there is capacity for another one as large as the newest.
    fn free_capacity(&self) {
        loop {
            let size = {
                let bursts = self.bursts.borrow();
                let store = self.host.store.borrow();
                let newest = bursts.first();
                newest
                    .and_then(|joined| store.manifest(joined.burst.version()))
                    .map_or(0, |manifest| manifest.model_bytes)
            };
            let (used, capacity) = self.host.store.borrow().usage();
            let last = self.bursts.borrow().len();
            if last == 0 || used + size <= capacity {
                return;
            }
            self.release_if(|index, _| index + 1 == last);
        }
    }

    /// Sets the number and size of chunks that manifests must list. Versions whose manifests contradict
    /// them are released, so that another copy of the manifest is asked for when they are joined again.
    pub fn expect(&self, layout: Layout) {
        let contradicting = {
            let mut store = self.host.store.borrow_mut();
            store.expect(layout);
            store.contradicting()
        };
        if contradicting.is_empty() {
            return;
        }
        log::warn!(expected:% = layout, versions:? = contradicting; "manifests contradict the configuration; their versions are received again");
        self.release_if(|_, joined| contradicting.contains(&joined.burst.version()));
    }

    fn holders(&self, target: &Target) -> Holders {
        let age = self.host.clock.now().since(target.published);
        match target.version {
            FIRST_VERSION if self.first_start => Holders::All,
            FIRST_VERSION => Holders::Some,
            _ if age < NEW_VERSION_MAX_AGE => Holders::Nobody,
            _ => Holders::Some,
        }
    }

    /// Leaves all bursts and releases their versions.
    pub fn leave(&self) {
        self.release_if(|_, _| true);
    }

    /// Releases the bursts for which `obsolete` returns true. It is called with the index and the
    /// burst.
    fn release_if(&self, obsolete: impl Fn(usize, &VersionBurst) -> bool) {
        let mut index = 0;
        self.bursts.borrow_mut().retain(|joined| {
            let released = obsolete(index, joined);
            index += 1;
            if released {
                joined.burst.close();
                let version = joined.burst.version();
                self.host.store.borrow_mut().release(version);
                let version = version.short();
                self.host.audit(Event::Released { version });
            }
            !released
        });
    }

    /// Returns the burst of `version`, if the process participates in it.
    pub fn get(&self, version: Digest) -> Option<Rc<Burst>> {
        let bursts = self.bursts.borrow();
        let mut bursts = bursts.iter();
        let joined = bursts.find(|joined| joined.burst.version() == version);
        joined.map(|joined| joined.burst.clone())
    }

    /// Whether the process participates in any burst.
    pub fn any(&self) -> bool {
        !self.bursts.borrow().is_empty()
    }
}
