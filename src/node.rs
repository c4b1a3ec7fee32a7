//! What every process of the system has: a clock, the configuration in force, the boxes it knows,
//! an audit trail, metrics and a client; and the loops that keep the first two current.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use rand::RngExt;
use tokio::sync::watch;

use crate::audit::{Event, Trail};
use crate::clock::{self, Clock};
use crate::config::{Change, Configuration, Delta, Effect, Revision};
use crate::exchange;
use crate::http::cap::{self, Cap};
use crate::http::{self, ClientSetting, Error};
use crate::limit::connection;
use crate::member::{Listing, Role, View};
use crate::metric::{self, Metrics};

/// How long one watch waits at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How much longer than its wait an answer may take to begin.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Pause after a failed call, with a jitter of up to as much again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a peer may take to begin its answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest answer of the platform: many values of a megabyte each.
const ANSWER_MAX: usize = 64 << 20;

/// Peers that a process asks for newer configuration at a time.
const PEERS_ASKED: usize = 2;

/// How often peers are compared with, beside the service: a stale service must not hold anyone back.
const COMPARE_EVERY: Duration = Duration::from_secs(2);

/// Name of a daemon's listener in metrics and logs.
const LISTENER: &str = "all";

/// Settings that all daemons share.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The box's name.
    pub name: Arc<str>,
    /// The data hall it stands in.
    pub hall: Arc<str>,
    /// What stands in the box.
    pub role: Role,
    /// Where the process listens.
    pub listen: SocketAddr,
    /// The platform's configuration service.
    pub config_url: String,
    /// The platform's list of boxes.
    pub list_url: String,
    /// Bounds of the connections to it.
    pub connections: connection::Setting,
}

impl Setting {
    /// How the process's clients connect: from the address that it listens at, so that it is known by it.
    pub fn client(&self) -> ClientSetting {
        let own = self.listen.ip();
        ClientSetting {
            local_address: Some(own).filter(|address| !address.is_unspecified()),
            ..ClientSetting::default()
        }
    }
}

/// The shared part of a daemon. It lives on one thread.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub setting: Setting,
    /// Monotonic time.
    pub clock: Clock,
    /// The configuration in force.
    pub book: RefCell<Configuration>,
    /// Boxes.
    pub view: RefCell<View>,
    /// The audit trail.
    pub trail: RefCell<Trail>,
    /// Metrics.
    pub metrics: Metrics,
    /// Calls to other processes.
    pub client: ClientHandle,
    /// Exchanges on the hops that requests travel.
    pub exchange: exchange::Client,
    /// The connections to it.
    pub cap: Cap,
    /// Counts changes of configuration or boxes.
    pub changed: watch::Sender<u64>,
    /// Whether the service or a peer has answered with a configuration.
    pub ready: watch::Sender<bool>,
}

/// `awc::Client`, which shows nothing of itself.
#[derive(Clone)]
pub struct ClientHandle(pub awc::Client);

impl std::fmt::Debug for ClientHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Client")
    }
}

impl Node {
    /// A node without any knowledge yet.
    pub fn new(setting: Setting) -> Result<Rc<Self>, metric::Error> {
        let client_setting = setting.client();
        let cap = Cap::new(LISTENER, setting.connections);
        Ok(Rc::new(Self {
            setting,
            clock: Clock::default(),
            book: RefCell::default(),
            view: RefCell::default(),
            trail: RefCell::default(),
            metrics: Metrics::new()?,
            client: ClientHandle(http::client(client_setting)),
            exchange: exchange::Client::new(client_setting.local_address),
            cap,
            changed: watch::Sender::new(0),
            ready: watch::Sender::new(false),
        }))
    }

    /// All metrics, as an answer.
    pub fn metrics_answer(&self) -> http::Answer {
        self.metrics.answer()
    }

    /// What a peer lacks of the configuration, as the platform's service would answer it.
    pub fn config_answer(&self, query: Option<&str>) -> http::Answer {
        let after = query
            .unwrap_or_default()
            .split('&')
            .find_map(|pair| pair.strip_prefix("after="))
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let delta = self.book.borrow().delta_since(Revision(after));
        http::json(StatusCode::OK, &delta)
    }

    /// Adds to the audit trail.
    pub fn audit(&self, event: Event) {
        let revision = self.book.borrow().revision().0;
        self.trail.borrow_mut().add(revision, event);
    }

    /// Applies a delta from the service or a peer.
    pub fn apply(&self, delta: Delta) {
        let applied = self.book.borrow_mut().apply(delta, clock::unix_millis());
        match applied {
            Ok(changes) => {
                for change in changes {
                    self.audit_change(change);
                }
                self.changed.send_modify(|count| *count += 1);
            }
            Err(refusal) => log::debug!("configuration not applied: {refusal}"),
        }
    }

    fn audit_change(&self, change: Change) {
        let customer = change.customer;
        let event = match change.effect {
            Effect::Accepted => Event::ConfigAccepted { customer },
            Effect::Removed => Event::CustomerRemoved { customer },
            Effect::Rejected { reason } => Event::ConfigRejected { customer, reason },
        };
        self.trail.borrow_mut().add(change.revision.0, event);
    }

    /// Follows the configuration service and the list of boxes until dropped.
    pub fn follow(self: &Rc<Self>) -> Vec<actix_rt::task::JoinHandle<()>> {
        vec![
            actix_rt::spawn(self.clone().follow_config()),
            actix_rt::spawn(self.clone().follow_boxes()),
            actix_rt::spawn(self.clone().compare_with_peers()),
            actix_rt::spawn(cap::report(
                self.metrics.meter(),
                vec![self.cap.clone()],
                self.exchange.windows(),
            )),
        ]
    }

    async fn follow_config(self: Rc<Self>) {
        loop {
            let after = self.book.borrow().revision();
            match self.watch_config(after).await {
                Ok(delta) => {
                    let stale = delta.to < after;
                    self.apply(delta);
                    self.ready.send_replace(true);
                    if stale {
                        // A stale service answers at once instead of waiting.
                        self.pause().await;
                    }
                }
                Err(error) => {
                    log::debug!("configuration service: {error}");
                    self.pause().await;
                }
            }
        }
    }

    async fn watch_config(&self, after: Revision) -> Result<Delta, Error> {
        let url = format!(
            "{}/v1/config?after={}&wait_ms={}",
            self.setting.config_url,
            after.0,
            WATCH_WAIT.as_millis()
        );
        http::get_json(&self.client.0, &url, ANSWER_MAX, WATCH_WAIT + WATCH_MARGIN).await
    }

    async fn follow_boxes(self: Rc<Self>) {
        loop {
            let after = self.view.borrow().version();
            let url = format!(
                "{}/v1/boxes?after={after}&wait_ms={}",
                self.setting.list_url,
                WATCH_WAIT.as_millis()
            );
            let timeout = WATCH_WAIT + WATCH_MARGIN;
            let answer: Result<Listing, Error> =
                http::get_json(&self.client.0, &url, ANSWER_MAX, timeout).await;
            match answer {
                Ok(listing) => {
                    if self.view.borrow_mut().update(listing) {
                        self.changed.send_modify(|count| *count += 1);
                    }
                }
                Err(error) => {
                    log::debug!("list of boxes: {error}");
                    self.pause().await;
                }
            }
        }
    }

    /// Asks a few peers for anything newer. A peer that knows less is no news.
    async fn compare_with_peers(self: Rc<Self>) {
        loop {
            for peer in self.random_peers() {
                let after = self.book.borrow().revision();
                let url = format!("http://{peer}/v1/config?after={}", after.0);
                let answer = http::get_json(&self.client.0, &url, ANSWER_MAX, PEER_TIMEOUT).await;
                if let Ok(delta) = answer {
                    self.apply(delta);
                    self.ready.send_replace(true);
                }
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            actix_rt::time::sleep(COMPARE_EVERY.mul_f64(jitter)).await;
        }
    }

    fn random_peers(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let mut addresses: Vec<SocketAddr> = view
            .boxes()
            .filter(|listed| listed.name != self.setting.name)
            .filter(|listed| listed.hall == self.setting.hall || listed.role == Role::Entry)
            .map(|listed| listed.address)
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < PEERS_ASKED && !addresses.is_empty() {
            let index = rand::rng().random_range(0..addresses.len());
            chosen.push(addresses.swap_remove(index));
        }
        chosen
    }

    async fn pause(&self) {
        let jitter = rand::rng().random_range(1.0..2.0);
        actix_rt::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
    }
}
