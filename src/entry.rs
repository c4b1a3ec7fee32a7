//! The entry: takes callers' requests, admits, routes, retries, and streams answers back.

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

/// An entry's settings.
#[derive(Debug, Clone)]
pub struct Setting {
    /// What all daemons share.
    pub node: node::Setting,
    /// Keys of the inner hop.
    pub keyring: Keyring,
    /// How targets are chosen.
    pub strategy: Strategy,
    /// Targets of each other hall that this entry follows.
    pub remote_targets: usize,
    /// Seed of random choices.
    pub seed: u64,
}

/// An entry. It lives on one thread.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub setting: Setting,
    /// The shared part.
    pub node: Rc<Node>,
    /// The targets that it knows.
    pub table: RefCell<Table>,
    customers: RefCell<Customers>,
    retry_budget: RefCell<RetryBudget>,
    rng: RefCell<SmallRng>,
    /// Lets requests in.
    pub tracker: Rc<Tracker>,
    counters: status::Counters,
    instruments: status::Instruments,
}

/// A running entry. Dropping it stops its loops.
#[derive(Debug)]
pub struct Running {
    /// The entry.
    pub entry: Rc<Entry>,
    /// Its server.
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
    /// Starts an entry on the present thread.
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

    /// Announces that the entry stops: it fails its readiness check, so that the balancer sends
    /// nothing more, and finishes what it has.
    pub fn drain(&self) {
        if !self.tracker.is_stopping() {
            self.node.audit(Event::Draining);
            self.tracker.begin(stop::Setting::default());
        }
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> u64 {
        self.counters.in_flight.get()
    }
}
