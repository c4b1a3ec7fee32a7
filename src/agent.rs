//! The agent: one process in the slot of each target box. It receives and relays weights, sends fenced
//! orders to the engine, and is the only proxy through which requests reach its target.

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
pub mod engine;
pub mod proxy;
pub mod serve;
pub mod status;

use crate::burst::host::{Connections, ContentOrigin, Host, Instruments, Origin};
use crate::burst::{Burst, Holders, Options};

/// Maximum number of keys for requests that run at most once.
const KEYS_MAX: usize = 16_384;

/// Maximum size of an answer that is stored for repeats of its request, in bytes.
const STORED_ANSWER_MAX: usize = 16 * 1024;

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Settings common to all daemons.
    pub node: node::Setting,
    /// URL of the origin of weights.
    pub origin_url: String,
    /// Address of the engine or service in this box.
    pub target_address: SocketAddr,
    /// Maximum number of bytes of weights that this process may hold.
    pub memory_bytes: u64,
    /// Settings of the burst.
    pub spread: spread::Setting,
    /// Keys that authenticate requests between entries and agents.
    pub keyring: Keyring,
}

/// The version gate: state of the engine and the versions that may receive requests.
#[derive(Debug, Default)]
struct Gate {
    /// Incarnation of this process in fences; 0 before the engine has answered.
    incarnation: u64,
    /// The engine's last report.
    engine: EngineState,
    /// Versions whose load order the engine accepted from this process.
    ordered: BTreeSet<Digest>,
    /// Versions that may receive requests.
    servable: Vec<Digest>,
    /// Whether a process with a higher incarnation controls the engine.
    outranked: bool,
}

/// An agent. It is confined to one thread.
#[derive(Debug)]
pub struct Agent {
    /// Settings.
    pub setting: Setting,
    /// State common to all daemons.
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
    /// How often each unfinished stream was resumed, by request id.
    resume_counts: RefCell<BTreeMap<String, u64>>,
    /// Random identifier of this process.
    boot: u64,
    /// Number of changes of the report to entries.
    report_changes: watch::Sender<u64>,
    instruments: status::Instruments,
}

/// A running agent. Dropping it stops its tasks.
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
    let audit_node = node.clone();
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
        trail: Rc::new(move |event| audit_node.audit(event)),
        local_chunks: None,
    }
}

impl Agent {
    /// Starts an agent on the current thread.
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
            ledger: RefCell::new(Ledger::new(boot, KEYS_MAX, STORED_ANSWER_MAX)),
            keyring: setting.keyring.clone(),
            resume_counts: RefCell::default(),
            boot,
            report_changes: watch::Sender::new(0),
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

    /// Announces that the box is leaving. Requests in progress are completed; no new ones are accepted.
    pub fn drain(&self) {
        if !self.leaving.replace(true) {
            self.node.audit(Event::Draining);
            self.notify_report();
        }
    }

    /// Bytes of chunks sent to other boxes.
    pub fn chunk_bytes_sent(&self) -> u64 {
        self.host.bytes_sent.get()
    }

    /// Versions that may receive requests here.
    pub fn servable(&self) -> Vec<Digest> {
        self.gate.borrow().servable.clone()
    }

    /// Outcomes of chunk fetches, over all versions.
    pub fn tally(&self) -> Tally {
        let mut sum = Tally::default();
        for burst in self.bursts.borrow().values() {
            sum += burst.tally();
        }
        sum
    }

    /// Subscribes to the number of changes of the report to entries.
    pub fn reports(&self) -> watch::Receiver<u64> {
        self.report_changes.subscribe()
    }

    /// Notifies subscribers that the report has changed.
    fn notify_report(&self) {
        self.report_changes.send_modify(|count| *count += 1);
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

    /// Starts and updates bursts according to the configuration and the list of boxes.
    fn reconcile(self: &Rc<Self>) {
        let view = self.node.view.borrow();
        if view.get(&self.node.setting.name).is_none() {
            // Until this box is listed, its assignment is unknown, so no version is released.
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
        let assigned = assignment
            .boxes
            .get(own)
            .map(Vec::as_slice)
            .unwrap_or_default();
        for artifact in assigned {
            let options = Options {
                peers_only: false,
                origin_chunk_time: None,
                favour: artifact.favour,
                holders: Holders::Nobody,
            };
            let members: Vec<Descriptor> = assignment
                .holders(artifact.digest)
                .filter_map(|name| lookup(name))
                .collect();
            let burst = self
                .bursts
                .borrow_mut()
                .entry(artifact.digest)
                .or_insert_with(|| {
                    Burst::start(&self.host, self.origin.clone(), artifact.digest, options)
                })
                .clone();
            burst.set_wanted(true);
            burst.set_members(&self.host, members);
        }
        for (digest, burst) in self.bursts.borrow().iter() {
            if !assigned.iter().any(|artifact| artifact.digest == *digest) {
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
