//! A process's part in bursts: it draws the newest version, and serves on what it holds of older ones while
//! requests may still start on them, for replicas that come up empty.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::host::{Host, Origin};
use super::{Burst, Holders, Options};
use crate::audit::Deed;
use crate::clock::Time;
use crate::knowledge::Knowledge;
use crate::member::{Descriptor, Role, State};
use crate::spread::Favour;
use crate::weight::Digest;

/// The version that replicas hold before any was named.
pub const FIRST_VERSION: u64 = 1;

/// A version that was named less than this ago is with nobody yet.
const FRESH: Duration = Duration::from_millis(1_500);

/// Names the origin of one version of a model.
pub trait Origins {
    /// The origin at `address`, as far as `version` of `model` is concerned.
    fn of(&self, address: SocketAddr, model: &str, version: u64) -> Rc<dyn Origin>;
}

/// A version of a model, and the name that it has in bursts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// When the oldest version was named that is lacked.
    pub published: Time,
}

impl Target {
    /// Its name in bursts.
    pub fn label(&self) -> Digest {
        label(&self.model, self.version)
    }
}

/// The name of a model's version in bursts.
pub fn label(model: &str, version: u64) -> Digest {
    Digest::of(format!("{model}\n{version}").as_bytes())
}

/// The newest version that was named for the model that is served; `None` while nothing is known.
pub fn newest(knowledge: &Knowledge) -> Option<Target> {
    let brief = knowledge.summary()?;
    let figures = brief.engine.as_ref();
    let told = figures.and_then(|engine| engine.models.first().cloned());
    let model = told.or_else(|| knowledge.catalog.borrow().loaded_model(None))?;
    let wanted = knowledge.catalog.borrow().wanted(&model);
    Some(Target {
        version: wanted.map_or(FIRST_VERSION, |wanted| wanted.version),
        published: wanted.map_or(Time::default(), |wanted| wanted.since),
        model,
    })
}

/// The oldest version that is served on to peers while `target` is the newest, where a version is due
/// `bound` after it was named.
pub fn oldest(knowledge: &Knowledge, target: &Target, bound: Duration) -> u64 {
    let catalog = knowledge.catalog.borrow();
    catalog.oldest_allowed(&target.model, bound, knowledge.now())
}

/// The members of the burst around the replicas of `service`: the processes beside them, which
/// listen at `port`, and the entries as relays.
pub fn members(knowledge: &Knowledge, service: Option<&str>, port: u16) -> Vec<Descriptor> {
    let catalog = knowledge.catalog.borrow();
    let records = catalog.replicas().values().map(|listed| &listed.record);
    let fellows = records.filter(|record| Some(&*record.service) == service);
    let mut members: Vec<Descriptor> = fellows
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

/// One member.
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

/// Older versions that a process keeps for replicas that start meanwhile: the one that most serve, and
/// one that was just being passed on.
const KEPT_MAX: usize = 2;

/// A version of which the process has a part.
struct Part {
    target: Target,
    burst: Rc<Burst>,
}

/// Who takes part in a burst, and where weights come from.
pub struct Topology {
    /// The origin.
    pub origin: SocketAddr,
    /// How long a chunk takes over its link, if that is known.
    pub origin_chunk_time: Option<Duration>,
    /// The members, this process included or not.
    pub members: Vec<Descriptor>,
    /// This process.
    pub own: Descriptor,
}

impl Topology {
    fn all(mut self) -> Vec<Descriptor> {
        let own = self.own;
        self.members.retain(|listed| listed.name != own.name);
        self.members.push(own);
        self.members
    }
}

/// The bursts that a process takes part in: that of the newest version, and those of older ones that it
/// serves to others yet.
pub struct Manager {
    /// The process's side of them.
    pub host: Rc<Host>,
    origins: Rc<dyn Origins>,
    first_start: bool,
    /// The newest version first.
    parts: RefCell<Vec<Part>>,
}

impl Manager {
    /// None yet. `first_start` tells that the whole system begins now for the first time.
    pub fn new(host: Rc<Host>, origins: Rc<dyn Origins>, first_start: bool) -> Self {
        Self {
            host,
            origins,
            first_start,
            parts: RefCell::default(),
        }
    }

    /// Takes part in the burst of `target`. Of older versions, from `oldest` on, it serves what it holds.
    pub fn join(&self, target: &Target, oldest: u64, topology: Topology) {
        let label = target.label();
        let burst = self.get(label).unwrap_or_else(|| {
            self.rest_others();
            self.make_room();
            log::info!(model = &*target.model, version = target.version; "burst joined");
            self.begin(target, &topology, false)
        });
        self.let_go(|place, part| place > 0 && part.target.version < oldest);
        burst.set_members(&self.host, topology.all());
    }

    /// Takes `target`, an older version than the newest, from peers that hold it.
    pub fn join_older(&self, target: &Target, topology: Topology) {
        let known = self.get(target.label());
        let burst = known.unwrap_or_else(|| {
            log::info!(model = &*target.model, version = target.version; "older version joined");
            self.begin(target, &topology, true)
        });
        burst.resume(&self.host);
        burst.set_members(&self.host, topology.all());
    }

    fn begin(&self, target: &Target, topology: &Topology, peers_only: bool) -> Rc<Burst> {
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
        let part = Part {
            target: target.clone(),
            burst: burst.clone(),
        };
        let mut parts = self.parts.borrow_mut();
        let place = parts.partition_point(|known| known.target.version > target.version);
        parts.insert(place, part);
        burst
    }

    /// Nothing more of the versions so far is drawn.
    fn rest_others(&self) {
        for part in &*self.parts.borrow() {
            part.burst.rest();
        }
        self.let_go(|place, part| place >= KEPT_MAX || part.burst.progress().0 == 0);
    }

    /// Lets the oldest versions go until another of their size finds room.
    fn make_room(&self) {
        loop {
            let size = {
                let parts = self.parts.borrow();
                let store = self.host.store.borrow();
                let newest = parts.first();
                newest
                    .and_then(|part| store.manifest(part.burst.version()))
                    .map_or(0, |manifest| manifest.model_bytes)
            };
            let (used, capacity) = self.host.store.borrow().usage();
            let last = self.parts.borrow().len();
            if last == 0 || used + size <= capacity {
                return;
            }
            self.let_go(|place, _| place + 1 == last);
        }
    }

    fn holders(&self, target: &Target) -> Holders {
        let named = self.host.clock.now().since(target.published);
        match target.version {
            FIRST_VERSION if self.first_start => Holders::All,
            FIRST_VERSION => Holders::Some,
            _ if named < FRESH => Holders::Nobody,
            _ => Holders::Some,
        }
    }

    /// Takes part in none.
    pub fn leave(&self) {
        self.let_go(|_, _| true);
    }

    /// Lets those parts go that `goes` names by their places and themselves.
    fn let_go(&self, goes: impl Fn(usize, &Part) -> bool) {
        let mut place = 0;
        self.parts.borrow_mut().retain(|part| {
            let gone = goes(place, part);
            place += 1;
            if gone {
                part.burst.rest();
                let version = part.burst.version();
                self.host.store.borrow_mut().release(version);
                let version = version.short();
                self.host.audit(Deed::Released { version });
            }
            !gone
        });
    }

    /// The burst of `version`, if the process takes part in it.
    pub fn get(&self, version: Digest) -> Option<Rc<Burst>> {
        let parts = self.parts.borrow();
        let mut parts = parts.iter();
        let part = parts.find(|part| part.burst.version() == version);
        part.map(|part| part.burst.clone())
    }

    /// Whether it takes part in any.
    pub fn any(&self) -> bool {
        !self.parts.borrow().is_empty()
    }
}
