//! A process's part in the burst of one wanted version at a time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::host::{Host, Origin};
use super::{Burst, Holders, Purpose};
use crate::audit::Deed;
use crate::clock::Time;
use crate::knowledge::Knowledge;
use crate::member::{Listed, Role, State};
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
    pub named: Time,
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
    let brief = knowledge.brief()?;
    let figures = brief.engine.as_ref();
    let told = figures.and_then(|engine| engine.models.first().cloned());
    let model = told.or_else(|| knowledge.belief.borrow().held_model(None))?;
    let wanted = knowledge.belief.borrow().wanted(&model);
    Some(Target {
        version: wanted.map_or(FIRST_VERSION, |wanted| wanted.version),
        named: wanted.map_or(Time::default(), |wanted| wanted.since),
        model,
    })
}

/// The members of the burst around the replicas of `service`: the processes beside them, which
/// listen at `port`, and the entries as relays.
pub fn members(knowledge: &Knowledge, service: Option<&str>, port: u16) -> Vec<Listed> {
    let belief = knowledge.belief.borrow();
    let records = belief.replicas().values().map(|listed| &listed.record);
    let fellows = records.filter(|record| Some(&*record.service) == service);
    let mut members: Vec<Listed> = fellows
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
pub fn member(name: String, hall: Arc<str>, address: SocketAddr, role: Role) -> Listed {
    Listed {
        name: name.into(),
        hall,
        rack: "".into(),
        address,
        role,
        capacity_bytes: 0,
        state: State::Live,
    }
}

/// The burst that a process takes part in.
pub struct Joined {
    /// The process's side of it.
    pub host: Rc<Host>,
    origins: Rc<dyn Origins>,
    first_start: bool,
    burst: RefCell<Option<Rc<Burst>>>,
}

impl Joined {
    /// None yet. `first_start` tells that the whole system begins now for the first time.
    pub fn new(host: Rc<Host>, origins: Rc<dyn Origins>, first_start: bool) -> Self {
        Self {
            host,
            origins,
            first_start,
            burst: RefCell::default(),
        }
    }

    /// Takes part in the burst of `target`, and in no other.
    pub fn join(&self, target: &Target, origin: SocketAddr, mut members: Vec<Listed>, own: Listed) {
        let label = target.label();
        let known = self.get(label);
        let burst = known.unwrap_or_else(|| {
            self.leave();
            log::info!(model = &*target.model, version = target.version; "burst joined");
            let origin = self.origins.of(origin, &target.model, target.version);
            let purpose = Purpose {
                favour: Favour::Time,
                holders: self.holders(target),
            };
            let burst = Burst::start(&self.host, origin, label, purpose);
            self.burst.replace(Some(burst.clone()));
            burst
        });
        members.retain(|listed| listed.name != own.name);
        members.push(own);
        burst.set_members(&self.host, members);
    }

    fn holders(&self, target: &Target) -> Holders {
        let named = self.host.clock.now().since(target.named);
        match target.version {
            FIRST_VERSION if self.first_start => Holders::All,
            FIRST_VERSION => Holders::Some,
            _ if named < FRESH => Holders::Nobody,
            _ => Holders::Some,
        }
    }

    /// Takes part in none.
    pub fn leave(&self) {
        let Some(old) = self.burst.take() else {
            return;
        };
        let version = old.version();
        self.host.store.borrow_mut().release(version);
        let version = version.short();
        self.host.audit(Deed::Released { version });
    }

    /// The burst of `version`, if the process takes part in it.
    pub fn get(&self, version: Digest) -> Option<Rc<Burst>> {
        let burst = self.burst.borrow();
        burst
            .as_ref()
            .filter(|burst| burst.version() == version)
            .cloned()
    }

    /// Whether it takes part in any.
    pub fn any(&self) -> bool {
        self.burst.borrow().is_some()
    }
}
