//! The process beside a model replica whose weights it looks after: it takes part in bursts, stages
//! verified chunks for its replica, orders the change of version when its wave comes, and tells the
//! entries how the replica does.
//!
//! * [`engine`] is what a replica offers to the process beside it.
//! * [`reconcile`] brings the replica to the wanted version.
//! * [`observe`] asks the replica how it does, and tells the entries.
//! * [`carry`] carries callers' requests out at the replica.
//! * [`trip`] measures the box's link by that.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, StatusCode};
use actix_rt::task::JoinHandle;
use opentelemetry::metrics::Gauge;
use tokio::net::TcpListener;

use crate::audit::{Event, Trail};
use crate::burst::host::{Connections, Host, Instruments, LocalChunks, reconnect_when_silent};
use crate::burst::manager::{self, Manager, Origins, Target, label};
use crate::burst::{self};
use crate::clock::Time;
use crate::config::catalog::first_missing;
use crate::daemon;
use crate::exchange::{self, path::Paths};
use crate::gateway::control::decode;
use crate::http::{self, Answer, ClientSetting, Server};
use crate::knowledge::{Identity, Knowledge, traffic};
use crate::lease::{self, Ledger};
use crate::member::Descriptor;
use crate::metric::{self, Metrics};
use crate::policy::Policy;
use crate::route::notice::Suspension;
use crate::run::{Call, Shelf};
use crate::source::Source;
use crate::spread;
use crate::stop::{self, Tracker};
use crate::version::rollout;
use crate::weight::{Digest, Store};
use crate::wire::sync::{Heartbeat, SYNC_PATH};

mod carry;
pub mod engine;
pub mod observe;
pub mod reconcile;
pub mod trip;

use engine::{Engine, State};

/// Part of its machine's memory that a process gives to weights: two versions and what is on its way fit in.
const MEMORY_PART: u64 = 4;

/// Bytes of weights that a process may hold on a machine of `machine_bytes`.
pub fn memory_for_weights(machine_bytes: u64) -> u64 {
    machine_bytes / MEMORY_PART
}

/// A sidecar's settings.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Who the process is, and where it listens.
    pub identity: Identity,
    /// Entries to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Where the replica listens.
    pub replica: SocketAddr,
    /// Whether the whole system begins now for the first time.
    pub first_start: bool,
    /// Settings of the burst.
    pub spread: spread::Setting,
    /// Settings of the change of versions.
    pub rollout: rollout::Setting,
    /// Bytes of weights that the process may hold.
    pub memory_bytes: u64,
    /// Megabits that its machine's link carries in a second.
    pub link_mbps: f64,
    /// Seed of random choices.
    pub seed: u64,
    /// The mechanisms of the policy.
    pub policy: Policy,
}

/// A sidecar. It lives on one thread.
pub struct Sidecar {
    /// Settings.
    pub setting: Setting,
    /// What the process knows.
    pub knowledge: Rc<Knowledge>,
    /// The bursts' side of the process.
    pub host: Rc<Host>,
    /// Metrics.
    pub metrics: Metrics,
    /// Lets requests in.
    pub tracker: Rc<Tracker>,
    engine: Rc<dyn Engine>,
    bursts: Manager,
    source: Rc<dyn Source>,
    state: Rc<RefCell<Option<State>>>,
    misses: Cell<u32>,
    /// The replica's life, as [`State::born`].
    born: Cell<u64>,
    /// What it wants in this life.
    wish: Cell<Suspension>,
    noticed: Cell<Option<Time>>,
    staged: RefCell<reconcile::Staged>,
    /// An older version that the replica takes while the newest cannot be had.
    stopgap: RefCell<Option<Target>>,
    /// The version that was complete last, and since when.
    complete: Cell<Option<(Digest, Time)>>,
    roll: RefCell<Option<reconcile::Roll>>,
    joined_with: RefCell<Option<(Digest, Rc<[Descriptor]>)>>,
    trips: RefCell<trip::Trips>,
    ledger: RefCell<Ledger>,
    told: Cell<u64>,
    turned: Cell<u64>,
    /// What callers' requests bring.
    runs: RefCell<Shelf<Rc<carry::Run>>>,
    /// Exchanges with the replica for callers.
    client: exchange::Client,
    began: Time,
    /// Requests at the replica, whoever sent them.
    requests: Gauge<u64>,
}

/// A running sidecar. Dropping it stops its loops.
pub struct Running {
    /// The sidecar.
    pub sidecar: Rc<Sidecar>,
    control: Server,
    _metrics: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.sidecar.bursts.leave();
    }
}

impl Running {
    /// Runs until a planned stop, which lasts `grace` at most, is over: what runs at the replica is read to its
    /// end, and peers get the chunks that are on their way to them. Nobody has to hear of it before.
    pub async fn serve_until_stopped(self, grace: Duration) -> Result<(), daemon::Error> {
        let identity = &self.sidecar.setting.identity;
        log::info!(
            name = &*identity.name, hall = &*identity.hall, address:% = identity.address,
            replica:% = self.sidecar.setting.replica, version = env!("CARGO_PKG_VERSION");
            "started"
        );
        daemon::stop_signal().await?;
        log::info!("planned stop begins");
        let setting = stop::Setting {
            announce_period: Duration::ZERO,
            ..stop::Setting::within(grace)
        };
        self.sidecar.tracker.stop(setting, &self.control).await;
        Ok(())
    }
}

/// The sockets that a sidecar listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For other processes of the system.
    pub control: TcpListener,
    /// For those who read metrics.
    pub metrics: Option<TcpListener>,
}

/// What a sidecar works with.
pub struct Edges {
    /// Its replica.
    pub engine: Rc<dyn Engine>,
    /// Names the origin of weights.
    pub origins: Rc<dyn Origins>,
    /// The platform's store, for when no entry answers.
    pub source: Rc<dyn Source>,
    /// What is known of the process's connections; replica and source share it.
    pub paths: Rc<Paths>,
}

/// The chunks that lie staged at the replica.
struct StagedChunks {
    engine: Rc<dyn Engine>,
    state: Rc<RefCell<Option<State>>>,
    first: Cell<bool>,
}

impl LocalChunks for StagedChunks {
    fn chunk(
        &self,
        version: Digest,
        chunk: u32,
    ) -> futures_util::future::LocalBoxFuture<'_, Option<bytes::Bytes>> {
        Box::pin(async move {
            let model = {
                let state = self.state.borrow();
                let held = state.as_ref()?.models.first()?.clone();
                let same = label(&held.model, held.version) == version;
                // A process that began anew may find what its predecessor had staged.
                (same || self.first.get()).then_some(held.model)?
            };
            self.engine.staged(&model, chunk).await.ok().flatten()
        })
    }

    fn done(&self) {
        self.first.set(false);
    }
}

impl Sidecar {
    /// Starts a sidecar on the present thread.
    pub fn start(
        setting: Setting,
        edges: Edges,
        listeners: Listeners,
    ) -> Result<Running, metric::Error> {
        let metrics = Metrics::new()?;
        let identity = setting.identity.clone();
        let knowledge = Knowledge::new(
            identity.clone(),
            setting.seeds.clone(),
            setting.seed,
            setting.policy,
            edges.paths.clone(),
        );
        knowledge.traffic.register(&metrics.meter());
        let state = Rc::new(RefCell::new(None));
        let local = StagedChunks {
            engine: edges.engine.clone(),
            state: state.clone(),
            first: Cell::new(true),
        };
        let trail = RefCell::new(Trail::default());
        let host = Host {
            name: identity.address.ip().to_string().into(),
            hall: identity.hall,
            clock: knowledge.clock,
            connections: Connections::new(ClientSetting::default()),
            spread: setting.spread,
            store: RefCell::new(Store::new(setting.memory_bytes)),
            instruments: Instruments::new(&metrics.meter()),
            bytes_sent: Cell::new(0),
            wake: tokio::sync::Notify::new(),
            trail: Rc::new(move |event: Event| trail.borrow_mut().add(0, event)),
            local_chunks: Some(Rc::new(local)),
        };
        let host = Rc::new(host);
        let now = knowledge.now();
        let requests = metrics
            .meter()
            .u64_gauge("pumicelatch.agent.requests")
            .with_description("Requests at the replica, running and waiting")
            .build();
        let sidecar = Rc::new(Self {
            tracker: Tracker::new(knowledge.clock, &metrics.meter()),
            knowledge,
            bursts: Manager::new(host.clone(), edges.origins, setting.first_start),
            host,
            metrics,
            engine: edges.engine,
            source: edges.source,
            state,
            misses: Cell::new(0),
            born: Cell::new(0),
            wish: Cell::default(),
            noticed: Cell::new(None),
            staged: RefCell::default(),
            stopgap: RefCell::default(),
            complete: Cell::new(None),
            roll: RefCell::default(),
            joined_with: RefCell::default(),
            trips: RefCell::new(trip::Trips::new(now)),
            ledger: RefCell::default(),
            told: Cell::new(0),
            turned: Cell::new(0),
            runs: RefCell::default(),
            client: exchange::Client::sharing(edges.paths.clone()),
            began: now,
            requests,
            setting,
        });
        let tasks = vec![
            actix_rt::spawn(observe::observe(sidecar.clone())),
            actix_rt::spawn(observe::tell(sidecar.clone())),
            actix_rt::spawn(observe::read_store_when_alone(sidecar.clone())),
            actix_rt::spawn(reconcile::run(sidecar.clone())),
            actix_rt::spawn(traffic::log(sidecar.knowledge.clone())),
            actix_rt::spawn(reconnect_when_silent(
                sidecar.host.clone(),
                edges.paths.all_silent(),
            )),
        ];
        let (control, metrics) = sidecar.serve(listeners);
        Ok(Running {
            sidecar,
            control,
            _metrics: metrics,
            tasks,
        })
    }

    fn serve(self: &Rc<Self>, listeners: Listeners) -> (Server, Option<Server>) {
        let sidecar = self.clone();
        let control = Server::start(listeners.control, http::plain(), move |request, _| {
            answer(sidecar.clone(), request)
        });
        let metrics = listeners.metrics.map(|listener| {
            let sidecar = self.clone();
            Server::start(listener, http::plain(), move |_, _| {
                let answer = sidecar.metrics.answer();
                async move { answer }
            })
        });
        (control, metrics)
    }

    /// The version that the replica is to hold, counted from when the oldest was named that it
    /// lacks; `None` while nothing is known.
    pub fn target(&self) -> Option<Target> {
        let target = manager::newest(&self.knowledge)?;
        let state = self.state.borrow();
        let held = state.as_ref().and_then(|state| state.held(&target.model));
        let catalog = self.knowledge.catalog.borrow();
        let lacking =
            held.and_then(|held| first_missing(catalog.desired_versions(&target.model), held));
        Some(Target {
            published: lacking.map_or(target.published, |wanted| wanted.since),
            ..target
        })
    }
}

async fn answer(sidecar: Rc<Sidecar>, mut request: Request) -> Answer {
    let path = request.path().to_owned();
    if let Some(call) = request
        .uri()
        .path_and_query()
        .and_then(|path| Call::of(path.as_str()))
    {
        return sidecar.answer_run(call, request).await;
    }
    if path == SYNC_PATH {
        return match decode::<Heartbeat>(&mut request).await {
            Ok(sync) => http::pack(StatusCode::OK, &sidecar.knowledge.update_for(&sync, false)),
            Err(answer) => answer,
        };
    }
    if path == lease::PATH {
        let permit = sidecar.tracker.admit(stop::Kind::Peer);
        if permit.is_refused() {
            return http::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = match decode::<lease::Request>(&mut request).await {
            Ok(ask) => http::pack(StatusCode::OK, &sidecar.place(&ask)),
            Err(answer) => answer,
        };
        return permit.attach(answer);
    }
    burst::serve::answer_path(&sidecar.bursts, &sidecar.tracker, &path).await
}
