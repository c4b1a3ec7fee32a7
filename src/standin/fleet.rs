//! A fleet on loopback: the real agents against the stand-ins, each box on a thread of its own.
//!
//! A box's thread can be stopped (the box dies, its connections close) or put to sleep (the box
//! freezes and wakes late). Links can be stalled, cut and made to corrupt.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_rt::Arbiter;

use super::engine::{self, Engine, Runs};
use super::link::{Link, Net};
use super::origin::Origin;
use super::platform::Platform;
use super::service::Service;
use super::{PLATFORM_ADDRESS, any_port, box_address};
use crate::agent::{self, Agent};
use crate::auth::Keyring;
use crate::entry::{self, Entry};
use crate::http;
use crate::limit::connection;
use crate::member::{Descriptor, Role, State};
use crate::node;
use crate::route::Strategy;
use crate::spread;
use crate::spread::swarm::Tally;
use crate::weight::Digest;

/// Rate of links that are not shaped, in bytes a second.
pub const UNSHAPED: f64 = 1e12;

/// The stand-ins' hall, apart from every box's.
const PLATFORM_HALL: &str = "platform";

/// Key of the inner hop in stand-in fleets.
pub const KEYRING: &str = "bench:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Racks in a hall.
const RACKS: usize = 4;

/// Places in a hall's addresses from which entries begin.
const ENTRY_PLACES: usize = 1_000;

/// Targets of each other hall that an entry follows.
const REMOTE_TARGETS: usize = 16;

/// How often a box's counters are sampled.
const SAMPLE: Duration = Duration::from_millis(40);

/// A fleet's settings.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Names of its halls.
    pub halls: Vec<String>,
    /// Bytes of weights that each box may hold.
    pub memory_bytes: u64,
    /// Each box's link, each way, in bytes a second.
    pub box_rate: f64,
    /// The origin's link, in bytes a second.
    pub origin_rate: f64,
    /// How engines behave.
    pub engine: engine::Setting,
    /// The burst.
    pub spread: spread::Setting,
    /// Seed of links' faults.
    pub seed: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            halls: vec![
                "hall-a".to_owned(),
                "hall-b".to_owned(),
                "hall-c".to_owned(),
            ],
            memory_bytes: 1 << 30,
            box_rate: UNSHAPED,
            origin_rate: UNSHAPED,
            engine: engine::Setting::default(),
            spread: spread::Setting::default(),
            seed: 1,
        }
    }
}

/// What a box's agent says of itself, readable from other threads.
#[derive(Debug, Clone, Default)]
pub struct Probe {
    /// Versions that may take requests, and since when.
    pub servable: Vec<(Digest, Instant)>,
    /// Bytes of chunks that it sent to other boxes.
    pub chunk_bytes_sent: u64,
    /// How its fetches ended.
    pub tally: Tally,
    /// Whether it has a configuration.
    pub ready: bool,
    /// Whether it knows its place in the list.
    pub listed: bool,
}

/// A box.
#[derive(Debug)]
pub struct Box {
    /// Its name.
    pub name: Arc<str>,
    /// Its hall.
    pub hall: String,
    /// What the list says of it.
    pub listed: Descriptor,
    /// Its link.
    pub link: Arc<Link>,
    /// Where its engine or service listens.
    pub target_address: SocketAddr,
    /// Its engine, if that is what it has.
    pub engine: Arc<Engine>,
    /// Its plain service, if that is what it has.
    pub service: Option<Arc<Service>>,
    probe: Arc<Mutex<Probe>>,
    arbiter: Option<Arbiter>,
}

impl Box {
    /// Whether it was not killed.
    pub fn alive(&self) -> bool {
        self.arbiter.is_some()
    }

    /// What its agent says of itself.
    pub fn probe(&self) -> Probe {
        self.probe
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        if let Some(arbiter) = self.arbiter.take() {
            arbiter.stop();
        }
    }

    /// Freezes it.
    pub fn pause(&self, duration: Duration) {
        if let Some(arbiter) = &self.arbiter {
            arbiter.spawn_fn(move || std::thread::sleep(duration));
        }
    }

    /// Has its agent announce a planned stop.
    pub fn drain(&self) {
        if let Some(arbiter) = &self.arbiter {
            arbiter.spawn_fn(|| with_agent(Agent::drain));
        }
    }
}

thread_local! {
    /// The agent of the box whose thread this is.
    static AGENT: RefCell<Weak<Agent>> = const { RefCell::new(Weak::new()) };
    /// The entry of the box whose thread this is.
    static ENTRY: RefCell<Weak<Entry>> = const { RefCell::new(Weak::new()) };
}

fn with_agent(act: impl FnOnce(&Agent)) {
    let agent = AGENT.with(|agent| agent.borrow().upgrade());
    if let Some(agent) = agent {
        act(&agent);
    }
}

/// An entry of a fleet.
#[derive(Debug)]
pub struct EntryBox {
    /// What the list says of it.
    pub listed: Descriptor,
    arbiter: Option<Arbiter>,
}

impl EntryBox {
    /// Has it announce a planned stop.
    pub fn drain(&self) {
        if let Some(arbiter) = &self.arbiter {
            arbiter.spawn_fn(|| {
                let entry = ENTRY.with(|entry| entry.borrow().upgrade());
                if let Some(entry) = entry {
                    entry.drain();
                }
            });
        }
    }

    /// Where callers reach it.
    pub fn url(&self) -> String {
        format!("http://{}", self.listed.address)
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        if let Some(arbiter) = self.arbiter.take() {
            arbiter.stop();
        }
    }

    /// Freezes it.
    pub fn pause(&self, duration: Duration) {
        if let Some(arbiter) = &self.arbiter {
            arbiter.spawn_fn(move || std::thread::sleep(duration));
        }
    }
}

/// A fleet. Dropping it stops every thread it started.
#[derive(Debug)]
pub struct Fleet {
    /// Settings.
    pub setting: Setting,
    /// The links.
    pub net: Arc<Net>,
    /// The origin of weights.
    pub origin: Arc<Origin>,
    /// The origin's link.
    pub origin_link: Arc<Link>,
    /// Configuration service and list.
    pub platform: Arc<Platform>,
    /// What the targets ran.
    pub runs: Arc<Runs>,
    /// The boxes.
    pub boxes: Vec<Box>,
    /// The entries.
    pub entries: Vec<EntryBox>,
    /// Where the origin listens.
    pub origin_address: SocketAddr,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    platform_arbiters: Vec<Arbiter>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for arbiter in &self.platform_arbiters {
            arbiter.stop();
        }
        for member in &mut self.boxes {
            member.kill();
        }
        for entry in &mut self.entries {
            entry.kill();
        }
    }
}

impl Fleet {
    /// Starts the platform's stand-ins, without boxes.
    pub fn start(setting: Setting) -> Result<Self, http::Error> {
        let net = Arc::new(Net::default());
        let origin = Arc::new(Origin::default());
        let platform = Arc::new(Platform::default());
        // The origin has an address of its own, so that its link is known by it.
        let origin_ip = IpAddr::from([127, 0, 0, 2]);
        let origin_link = net.add(origin_ip, PLATFORM_HALL, setting.origin_rate, setting.seed);
        net.add(PLATFORM_ADDRESS, PLATFORM_HALL, UNSHAPED, setting.seed);
        let origin_listener = http::bind(any_port(origin_ip))?;
        let platform_listener = http::bind(any_port(PLATFORM_ADDRESS))?;
        let origin_address = address_of(&origin_listener);
        let platform_address = address_of(&platform_listener);
        let origin_arbiter = Arbiter::new();
        let platform_arbiter = Arbiter::new();
        {
            let (origin, links) = (origin.clone(), net.clone());
            origin_arbiter.spawn_fn(move || {
                keep(
                    http::adopt(origin_listener)
                        .map(|listener| origin.serve(listener, links.wrap(origin_ip))),
                );
            });
            let (platform, links) = (platform.clone(), net.clone());
            platform_arbiter.spawn_fn(move || {
                keep(
                    http::adopt(platform_listener)
                        .map(|listener| platform.serve(listener, links.wrap(PLATFORM_ADDRESS))),
                );
            });
        }
        Ok(Self {
            setting,
            net,
            origin,
            origin_link,
            platform,
            runs: Arc::default(),
            boxes: Vec::new(),
            entries: Vec::new(),
            origin_address,
            platform_address,
            platform_arbiters: vec![origin_arbiter, platform_arbiter],
        })
    }

    /// Starts a box, without listing it.
    pub fn add_box(&mut self, role: Role) -> Result<&Descriptor, http::Error> {
        let index = self.boxes.len();
        let started = self.start_box(index, role)?;
        self.boxes.push(started);
        Ok(&self.boxes[index].listed)
    }

    /// Kills a box and starts it again, empty, under its name and another port; lists it anew.
    pub fn restart_box(&mut self, index: usize) -> Result<(), http::Error> {
        self.boxes[index].kill();
        let role = self.boxes[index].listed.role.clone();
        self.boxes[index] = self.start_box(index, role)?;
        self.list_all();
        Ok(())
    }

    fn start_box(&self, index: usize, role: Role) -> Result<Box, http::Error> {
        let hall = index % self.setting.halls.len();
        let place = index / self.setting.halls.len();
        let ip = box_address(hall, place);
        let hall_name = self.setting.halls[hall].clone();
        let seed = self.setting.seed.wrapping_add(index as u64 + 1);
        let link = self.net.add(ip, &hall_name, self.setting.box_rate, seed);
        let listener = http::bind(any_port(ip))?;
        let target_listener = http::bind(any_port(ip))?;
        let listed = Descriptor {
            name: format!("{hall_name}-{place:03}").into(),
            hall: hall_name.as_str().into(),
            rack: format!("rack-{}", place % RACKS).into(),
            address: address_of(&listener),
            role,
            capacity_bytes: self.setting.memory_bytes,
            state: State::Live,
        };
        let target_address = address_of(&target_listener);
        let setting = self.agent_setting(&listed, target_address);
        let engine = Engine::new(self.setting.engine, self.runs.clone());
        let service = match listed.role {
            Role::Service(_) => Some(Service::new(
                self.setting.engine.first_token,
                self.runs.clone(),
            )),
            _ => None,
        };
        let probe = Arc::new(Mutex::new(Probe::default()));
        let arbiter = Arbiter::new();
        {
            let (engine, service) = (engine.clone(), service.clone());
            let (net, probe) = (self.net.clone(), probe.clone());
            arbiter.spawn_fn(move || {
                keep(http::adopt(target_listener).map(|listener| match service {
                    Some(service) => service.serve(listener),
                    None => engine.serve(listener),
                }));
                start_agent(setting, listener, &net, probe);
            });
        }
        Ok(Box {
            name: listed.name.clone(),
            hall: hall_name,
            listed,
            link,
            target_address,
            engine,
            service,
            probe,
            arbiter: Some(arbiter),
        })
    }

    /// Starts an entry in hall `hall`, without listing it.
    pub fn add_entry(&mut self, hall: usize, strategy: Strategy) -> Result<&EntryBox, http::Error> {
        let index = self.entries.len();
        let ip = box_address(hall, ENTRY_PLACES + index);
        let hall_name = self.setting.halls[hall].clone();
        self.net.add(ip, &hall_name, UNSHAPED, self.setting.seed);
        let listener = http::bind(any_port(ip))?;
        let listed = Descriptor {
            name: format!("{hall_name}-entry-{index}").into(),
            hall: hall_name.as_str().into(),
            rack: "".into(),
            address: address_of(&listener),
            role: Role::Entry,
            capacity_bytes: 0,
            state: State::Live,
        };
        let setting = entry::Setting {
            node: self.node_setting(&listed),
            keyring: keyring(),
            strategy,
            remote_targets: REMOTE_TARGETS,
            seed: self.setting.seed,
        };
        let arbiter = Arbiter::new();
        let net = self.net.clone();
        arbiter.spawn_fn(move || {
            let wrap = net.wrap(ip);
            let running = match http::adopt(listener) {
                Ok(listener) => Entry::start(setting, listener, wrap),
                Err(error) => return log::error!("{error}"),
            };
            if let Ok(running) = &running {
                ENTRY.with(|entry| entry.replace(Rc::downgrade(&running.entry)));
            }
            keep(running);
        });
        self.entries.push(EntryBox {
            listed,
            arbiter: Some(arbiter),
        });
        Ok(&self.entries[index])
    }

    fn node_setting(&self, listed: &Descriptor) -> node::Setting {
        node::Setting {
            name: listed.name.clone(),
            hall: listed.hall.clone(),
            role: listed.role.clone(),
            listen: listed.address,
            config_url: format!("http://{}", self.platform_address),
            list_url: format!("http://{}", self.platform_address),
            connections: connection::Setting::default(),
        }
    }

    /// Settings of the agent of box `listed`, whose target listens at `target`.
    pub fn agent_setting(&self, listed: &Descriptor, target: SocketAddr) -> agent::Setting {
        agent::Setting {
            node: self.node_setting(listed),
            origin_url: format!("http://{}", self.origin_address),
            target_address: target,
            memory_bytes: self.setting.memory_bytes,
            spread: self.setting.spread,
            keyring: keyring(),
        }
    }

    /// The box of this name.
    pub fn named(&self, name: &str) -> Option<&Box> {
        self.boxes.iter().find(|member| &*member.name == name)
    }

    /// Puts every living box on the list.
    pub fn list_all(&self) {
        let boxes = self.boxes.iter().filter(|member| member.alive());
        let entries = self.entries.iter().map(|entry| entry.listed.clone());
        let listed = boxes.map(|member| member.listed.clone());
        self.platform.set_boxes(listed.chain(entries).collect());
    }
}

/// The keyring of stand-in fleets.
pub fn keyring() -> Keyring {
    KEYRING.parse().expect("the constant is a keyring")
}

fn address_of(listener: &std::net::TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("a bound socket has an address")
}

/// Keeps a server for as long as its thread's runtime lives.
fn keep<T: 'static, E: std::fmt::Display>(server: Result<T, E>) {
    match server {
        Err(error) => log::error!("{error}"),
        Ok(server) => {
            actix_rt::spawn(async move {
                let _server = server;
                std::future::pending::<()>().await;
            });
        }
    }
}

fn start_agent(
    setting: agent::Setting,
    listener: std::net::TcpListener,
    net: &Arc<Net>,
    probe: Arc<Mutex<Probe>>,
) {
    let wrap = net.wrap(setting.node.listen.ip());
    let running = match http::adopt(listener) {
        Ok(listener) => Agent::start(setting, listener, wrap),
        Err(error) => return log::error!("{error}"),
    };
    match running {
        Err(error) => log::error!("{error}"),
        Ok(running) => {
            AGENT.with(|agent| agent.replace(Rc::downgrade(&running.agent)));
            actix_rt::spawn(watch(running, probe));
        }
    }
}

/// Copies what an agent says of itself into its probe.
async fn watch(running: agent::Running, probe: Arc<Mutex<Probe>>) {
    let agent = &running.agent;
    let mut reports = agent.reports();
    loop {
        let now = Instant::now();
        let servable = agent.servable();
        {
            let mut probe = probe.lock().unwrap_or_else(PoisonError::into_inner);
            probe
                .servable
                .retain(|(digest, _)| servable.contains(digest));
            for digest in servable {
                if !probe.servable.iter().any(|(known, _)| *known == digest) {
                    probe.servable.push((digest, now));
                }
            }
            probe.chunk_bytes_sent = agent.chunk_bytes_sent();
            probe.tally = agent.tally();
            probe.ready = *agent.node.ready.borrow();
            let view = agent.node.view.borrow();
            probe.listed = view.get(&agent.setting.node.name).is_some();
        }
        let _ = actix_rt::time::timeout(SAMPLE, reports.changed()).await;
    }
}
