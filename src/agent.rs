//! The agent: one small process in each target box's slot. It receives and relays weights, gives
//! the engine fenced orders, and is the only door through which requests reach its target.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;

use rand::RngExt;

use crate::audit::Event;
use crate::auth::Keyring;
use crate::http::{Server, Wrap};
use crate::limit;
use crate::member::Descriptor;
use crate::metric;
use crate::node::{self, Node};
use crate::placement::{self, Assignment};
use crate::request::Ledger;
use crate::spread;
use crate::spread::swarm::Tally;
use crate::stop::Tracker;
use crate::version::{EngineState, Fence};
use crate::weight::{Digest, Store};

pub mod daemon;
pub mod door;
pub mod engine;
pub mod serve;
pub mod status;

use crate::burst::host::{Connections, ContentOrigin, Host, Instruments, Origin};
use crate::burst::{Burst, Holders, Options};

/// Keys for requests that run at most once, kept at a time.
const KEYS_MAX: usize = 16_384;

/// Longest answer that is kept for a repeat of its request, in bytes.
const KEPT_ANSWER_MAX: usize = 16 * 1024;

/// An agent's settings.
#[derive(Debug, Clone)]
pub struct Setting {
    /// What all daemons share.
    pub node: node::Setting,
    /// The origin of weights.
    pub origin_url: String,
    /// The engine or service in this box.
    pub target_address: SocketAddr,
    /// Bytes of weights that this process may hold.
    pub memory_bytes: u64,
    /// The burst.
    pub spread: spread::Setting,
    /// Keys of the inner hop.
    pub keyring: Keyring,
}

/// What the agent knows of its engine.
#[derive(Debug, Default)]
struct Gate {
    incarnation: u64,
    engine: EngineState,
    ordered: BTreeSet<Digest>,
    servable: Vec<Digest>,
    outranked: bool,
}

/// An agent. It lives on one thread.
#[derive(Debug)]
pub struct Agent {
    /// Settings.
    pub setting: Setting,
    /// The shared part.
    pub node: Rc<Node>,
    host: Rc<Host>,
    origin: Rc<dyn Origin>,
    bursts: RefCell<BTreeMap<Digest, Rc<Burst>>>,
    gate: RefCell<Gate>,
    leaving: Cell<bool>,
    tracker: Rc<Tracker>,
    in_flight: RefCell<limit::Target>,
    ledger: RefCell<Ledger>,
    keyring: Keyring,
    resumed: RefCell<BTreeMap<String, u64>>,
    boot: u64,
    reported: watch::Sender<u64>,
    instruments: status::Instruments,
}

/// A running agent. Dropping it stops its loops.
#[derive(Debug)]
pub struct Running {
    /// The agent.
    pub agent: Rc<Agent>,
    /// Its server.
    pub server: Server,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.agent.bursts.borrow_mut().clear();
    }
}

fn host(setting: &Setting, node: &Rc<Node>) -> Host {
    let trail = node.clone();
    Host {
        name: setting.node.name.clone(),
        hall: setting.node.hall.clone(),
        clock: node.clock,
        connections: Connections::new(node.setting.client()),
        spread: setting.spread,
        store: RefCell::new(Store::new(setting.memory_bytes)),
        instruments: Instruments::new(&node.metrics.meter()),
        bytes_sent: Cell::new(0),
        wake: tokio::sync::Notify::new(),
        trail: Rc::new(move |event| trail.audit(event)),
        local_chunks: None,
    }
}

impl Agent {
    /// Starts an agent on the present thread.
    pub fn start(
        setting: Setting,
        listener: TcpListener,
        wrap: Wrap,
    ) -> Result<Running, metric::Error> {
        let node = Node::new(setting.node.clone())?;
        let boot = rand::rng().random();
        let origin = ContentOrigin {
            url: setting.origin_url.clone(),
        };
        let agent = Rc::new(Self {
            host: Rc::new(host(&setting, &node)),
            origin: Rc::new(origin),
            node: node.clone(),
            bursts: RefCell::default(),
            gate: RefCell::default(),
            leaving: Cell::new(false),
            tracker: Tracker::new(node.clock, &node.metrics.meter()),
            in_flight: RefCell::default(),
            ledger: RefCell::new(Ledger::new(boot, KEYS_MAX, KEPT_ANSWER_MAX)),
            keyring: setting.keyring.clone(),
            resumed: RefCell::default(),
            boot,
            reported: watch::Sender::new(0),
            instruments: status::Instruments::new(&node.metrics.meter()),
            setting,
        });
        let mut tasks = node.follow();
        tasks.push(actix_rt::spawn(agent.clone().follow_changes()));
        tasks.push(actix_rt::spawn(engine::run(agent.clone())));
        let server = serve::start(&agent, listener, wrap);
        Ok(Running {
            agent,
            server,
            tasks,
        })
    }

    /// Announces that the box leaves: it finishes its work and takes no more.
    pub fn drain(&self) {
        if !self.leaving.replace(true) {
            self.node.audit(Event::Draining);
            self.report();
        }
    }

    /// Bytes of chunks that were sent to other boxes.
    pub fn chunk_bytes_sent(&self) -> u64 {
        self.host.bytes_sent.get()
    }

    /// Versions that may take requests here.
    pub fn servable(&self) -> Vec<Digest> {
        self.gate.borrow().servable.clone()
    }

    /// How fetches of chunks ended, over all versions.
    pub fn tally(&self) -> Tally {
        let mut sum = Tally::default();
        for burst in self.bursts.borrow().values() {
            sum += burst.tally();
        }
        sum
    }

    /// Counts the changes of what entries are told.
    pub fn reports(&self) -> watch::Receiver<u64> {
        self.reported.subscribe()
    }

    /// Tells those who listen that the report changed.
    fn report(&self) {
        self.reported.send_modify(|count| *count += 1);
    }

    async fn follow_changes(self: Rc<Self>) {
        let mut changed = self.node.changed.subscribe();
        loop {
            self.reconcile();
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Brings the bursts to what configuration and boxes ask for.
    fn reconcile(self: &Rc<Self>) {
        let view = self.node.view.borrow();
        if view.get(&self.node.setting.name).is_none() {
            // Until the list shows this box, what it should carry is unknown; let nothing go.
            return;
        }
        let demands = placement::demands(&self.node.book.borrow());
        let assignment = placement::assign(&demands, view.live_model_boxes());
        self.reconcile_bursts(&assignment, |name| view.get(name).cloned());
        drop(view);
        self.host.wake.notify_one();
    }

    fn reconcile_bursts(
        self: &Rc<Self>,
        assignment: &Assignment,
        lookup: impl Fn(&str) -> Option<Descriptor>,
    ) {
        let own = &self.node.setting.name;
        let carried = assignment
            .boxes
            .get(own)
            .map(Vec::as_slice)
            .unwrap_or_default();
        for carry in carried {
            let options = Options {
                peers_only: false,
                origin_chunk_time: None,
                favour: carry.favour,
                holders: Holders::Nobody,
            };
            let members: Vec<Descriptor> = assignment
                .holders(carry.digest)
                .filter_map(|name| lookup(name))
                .collect();
            let burst = self
                .bursts
                .borrow_mut()
                .entry(carry.digest)
                .or_insert_with(|| {
                    Burst::start(&self.host, self.origin.clone(), carry.digest, options)
                })
                .clone();
            burst.set_wanted(true);
            burst.set_members(&self.host, members);
        }
        for (digest, burst) in self.bursts.borrow().iter() {
            if !carried.iter().any(|carry| carry.digest == *digest) {
                burst.set_wanted(false);
            }
        }
    }

    fn fence(&self) -> Fence {
        Fence {
            incarnation: self.gate.borrow().incarnation,
            revision: self.node.book.borrow().revision().0,
        }
    }

    fn burst(&self, version: Digest) -> Option<Rc<Burst>> {
        self.bursts.borrow().get(&version).cloned()
    }

    fn name(&self) -> &Arc<str> {
        &self.node.setting.name
    }
}
