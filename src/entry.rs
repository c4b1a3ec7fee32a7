//! The entry: accepts requests from callers, routes them to targets, retries failed attempts, and
//! streams the responses back.

use std::cell::RefCell;
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;

use crate::audit::Event;
use crate::auth::Keyring;
use crate::http::{Server, Wrap};
use crate::limit::Customers;
use crate::metric;
use crate::node::{self, Node};
use crate::request::RetryBudget;
use crate::route::{Strategy, Table};
use crate::stop::{self, Tracker};

mod attempt;
pub mod call;
pub mod caller;
pub mod daemon;
pub mod event;
pub mod key;
mod relay;
pub mod report;
pub mod serve;
pub mod status;

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Settings common to all daemons.
    pub node: node::Setting,
    /// Keys that sign requests from entries to agents.
    pub keyring: Keyring,
    /// Load-balancing strategy.
    pub strategy: Strategy,
    /// Maximum number of targets in each other hall whose reports this entry subscribes to.
    pub remote_targets: usize,
    /// Seed of the random number generator that target selection uses.
    pub seed: u64,
}

/// An entry. It runs on a single thread.
#[derive(Debug)]
pub struct Entry {
    /// Its settings.
    pub setting: Setting,
    /// State common to all daemons.
    pub node: Rc<Node>,
    /// The known targets.
    pub table: RefCell<Table>,
    customers: RefCell<Customers>,
    retry_budget: RefCell<RetryBudget>,
    rng: RefCell<SmallRng>,
    /// Admits requests, and tracks them during a planned stop.
    pub tracker: Rc<Tracker>,
    counters: status::Counters,
    instruments: status::Instruments,
}

/// A running entry. Dropping it aborts its background tasks.
#[derive(Debug)]
pub struct Running {
    /// The entry.
    pub entry: Rc<Entry>,
    /// Its HTTP server.
    pub server: Server,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Entry {
    /// Starts an entry on the current thread.
    pub fn start(
        setting: Setting,
        listener: TcpListener,
        wrap: Wrap,
    ) -> Result<Running, metric::Error> {
        let node = Node::new(setting.node.clone())?;
        let entry = Rc::new(Self {
            table: RefCell::new(Table::new(setting.node.hall.clone())),
            customers: RefCell::default(),
            retry_budget: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(setting.seed)),
            tracker: Tracker::new(node.clock, &node.metrics.meter()),
            counters: status::Counters::default(),
            instruments: status::Instruments::new(&node.metrics.meter()),
            node: node.clone(),
            setting,
        });
        let mut tasks = node.follow();
        tasks.push(actix_rt::spawn(report::subscribe_targets(entry.clone())));
        let server = serve::start(&entry, listener, wrap);
        Ok(Running {
            entry,
            server,
            tasks,
        })
    }

    /// Begins a planned stop: the readiness check fails, so that the load balancer sends no new
    /// requests, and requests in progress run to completion.
    pub fn drain(&self) {
        if !self.tracker.is_stopping() {
            self.node.audit(Event::Draining);
            self.tracker.begin(stop::Setting::default());
        }
    }

    /// Number of requests in progress.
    pub fn in_flight(&self) -> u64 {
        self.counters.in_flight.get()
    }
}
