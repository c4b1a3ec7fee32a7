//! Sidecar of a model replica. It participates in bursts, stages verified chunks at its replica,
//! orders the switch to a new version when the replica's wave starts, and reports the replica's
//! state to the entries.
//!
//! * [`engine`] is the interface of a replica towards its sidecar.
//! * [`reconcile`] brings the replica to the desired version.
//! * [`observe`] polls the replica's state and reports it to the entries.
//! * [`executor`] executes callers' requests at the replica.
//! * [`rtt`] estimates the delay of the box's link from the duration of reports.
//! * [`share`] reports the fair shares at the replica.

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
use crate::grant;
use crate::http::cap::{self, Cap};
use crate::http::{self, Answer, ClientSetting, Server, Timing};
use crate::knowledge::{Identity, Knowledge, traffic};
use crate::lease::{self, Ledger};
use crate::limit::{connection, memory};
use crate::member::Descriptor;
use crate::metric::{self, Metrics};
use crate::policy::Policy;
use crate::route::notice::Suspension;
use crate::route::quota::Quota;
use crate::run::{Call, Registry};
use crate::source::Source;
use crate::spread;
use crate::stop::{self, Tracker};
use crate::version::rollout;
use crate::weight::{Digest, Store};
use crate::wire::sync::{Heartbeat, SYNC_PATH};

pub mod engine;
mod executor;
pub mod observe;
mod probe;
pub mod reconcile;
mod room;
pub mod rtt;
mod share;

use engine::{Engine, State};

/// Divisor of the machine's memory that yields the memory for weights, which holds two versions and
/// the chunks that are being transferred.
const MEMORY_DIVISOR: u64 = 4;

/// Maximum number of bytes of weights that a process may hold on a machine with `machine_bytes` of
/// memory.
pub fn memory_for_weights(machine_bytes: u64) -> u64 {
    machine_bytes / MEMORY_DIVISOR
}

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Name, hall, and listening address of the process.
    pub identity: Identity,
    /// Entries to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Address on which the replica listens.
    pub replica: SocketAddr,
    /// Whether the whole system is starting for the first time.
    pub first_start: bool,
    /// Settings of the burst.
    pub spread: spread::Setting,
    /// Settings of the rollout of versions.
    pub rollout: rollout::Setting,
    /// Maximum number of bytes of weights that the process may hold.
    pub memory_bytes: u64,
    /// Maximum number of bytes to hold for entries: bodies of requests, and responses.
    pub held_bytes: u64,
    /// Bounds of the listeners.
    pub connections: connection::Plan,
    /// Bandwidth of the machine's link in megabits per second.
    pub link_mbps: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The enabled mechanisms.
    pub policy: Policy,
}

/// A sidecar. It is confined to one thread.
pub struct Sidecar {
    /// Settings.
    pub setting: Setting,
    /// Knowledge of the configuration, the replicas, and the entries.
    pub knowledge: Rc<Knowledge>,
    /// State shared by the bursts of the process.
    pub host: Rc<Host>,
    /// Metrics.
    pub metrics: Metrics,
    /// Admits requests.
    pub tracker: Rc<Tracker>,
    engine: Rc<dyn Engine>,
    bursts: Manager,
    source: Rc<dyn Source>,
    state: Rc<RefCell<Option<State>>>,
    misses: Cell<u32>,
    /// Start time of the replica's current instance, as [`State::born`].
    born: Cell<u64>,
    /// Whether the current instance is leaving, and until when it accepts no requests.
    suspension: Cell<Suspension>,
    /// The quota of the current instance.
    quota: Cell<Quota>,
    /// Since when the switch of the replica has been announced.
    notice_since: Cell<Option<Time>>,
    staged: RefCell<reconcile::Staged>,
    /// The older version that the replica loads while the newest is not available.
    fallback: RefCell<Option<Target>>,
    /// The version that was last found complete, and since when it is.
    complete: Cell<Option<(Digest, Time)>>,
    member_cache: RefCell<Option<reconcile::MemberCache>>,
    /// The burst that was joined last, and the members that it was joined with.
    joined_members: RefCell<Option<(Digest, Rc<[Descriptor]>)>>,
    rtt: RefCell<rtt::Window>,
    ledger: RefCell<Ledger>,
    room: room::Report,

    /// Number of changes of the replica's state.
    state_changes: Cell<u64>,
    /// Number of changes of whether and for which versions the replica accepts requests.
    availability_changes: Cell<u64>,
    /// Callers' requests at the replica, with their responses.
    runs: RefCell<Registry<Rc<executor::Run>>>,
    /// The memory that is held for them.
    held: memory::Budget,
    held_bytes: Gauge<u64>,
    /// Client for callers' requests to the replica.
    client: exchange::Client,
    started_at: Time,
    /// Requests at the replica, from any sender.
    requests: Gauge<u64>,
}

/// A running sidecar. Dropping it stops its tasks.
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
    /// Runs until a planned stop, which takes at most `grace`, is over. Responses of requests at the
    /// replica are read to their end, and transfers of chunks to peers are completed. The stop is not
    /// announced in advance.
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

/// The sockets on which a sidecar listens.
#[derive(Debug)]
pub struct Listeners {
    /// For other processes of the system.
    pub control: TcpListener,
    /// For readers of metrics.
    pub metrics: Option<TcpListener>,
}

/// Interfaces to the environment of a sidecar.
pub struct Dependencies {
    /// Its replica.
    pub engine: Rc<dyn Engine>,
    /// Creates the origins of weights.
    pub origins: Rc<dyn Origins>,
    /// The platform's store, which is read if no entry answers.
    pub source: Rc<dyn Source>,
    /// State of the process's network paths, shared with the replica and the source.
    pub paths: Rc<Paths>,
}

/// The chunks that are staged at the replica.
struct StagedChunks {
    engine: Rc<dyn Engine>,
    state: Rc<RefCell<Option<State>>>,
    /// Whether staged chunks are returned whichever version the replica has loaded. It is true until
    /// all chunks of one version have been requested.
    accepts_any_version: Cell<bool>,
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
                let loaded = state.as_ref()?.models.first()?.clone();
                let same = label(&loaded.model, loaded.version) == version;
                // After a restart, the chunks that the previous process staged may still be there.
                (same || self.accepts_any_version.get()).then_some(loaded.model)?
            };
            self.engine.staged(&model, chunk).await.ok().flatten()
        })
    }

    fn done(&self) {
        self.accepts_any_version.set(false);
    }
}

impl Sidecar {
    /// Starts a sidecar on the current thread.
    pub fn start(
        setting: Setting,
        dependencies: Dependencies,
        listeners: Listeners,
    ) -> Result<Running, metric::Error> {
        let metrics = Metrics::new()?;
        let identity = setting.identity.clone();
        let knowledge = Knowledge::new(
            identity.clone(),
            setting.seeds.clone(),
            setting.seed,
            setting.policy,
            dependencies.paths.clone(),
        );
        knowledge.traffic.register(&metrics.meter());
        knowledge.store_failures.register(&metrics.meter());
        let state = Rc::new(RefCell::new(None));
        let local = StagedChunks {
            engine: dependencies.engine.clone(),
            state: state.clone(),
            accepts_any_version: Cell::new(true),
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
        let held_bytes = metrics
            .meter()
            .u64_gauge("pumicelatch.agent.held_bytes")
            .with_unit("By")
            .with_description("Memory held or reserved for entries, by what it is for")
            .build();
        let held_limit = setting.held_bytes;
        let room = room::Report::new(&metrics.meter());
        let sidecar = Rc::new(Self {
            tracker: Tracker::new(knowledge.clock, &metrics.meter()),
            knowledge,
            bursts: Manager::new(host.clone(), dependencies.origins, setting.first_start),
            host,
            metrics,
            engine: dependencies.engine,
            source: dependencies.source,
            state,
            misses: Cell::new(0),
            born: Cell::new(0),
            suspension: Cell::default(),
            quota: Cell::default(),
            notice_since: Cell::new(None),
            staged: RefCell::default(),
            fallback: RefCell::default(),
            complete: Cell::new(None),
            member_cache: RefCell::default(),
            joined_members: RefCell::default(),
            rtt: RefCell::new(rtt::Window::new(now)),
            ledger: RefCell::default(),
            room,
            state_changes: Cell::new(0),
            availability_changes: Cell::new(0),
            runs: RefCell::default(),
            held: memory::Budget::new(held_limit),
            held_bytes,
            client: exchange::Client::sharing(dependencies.paths.clone()),
            started_at: now,
            requests,
            setting,
        });
        let mut tasks = vec![
            actix_rt::spawn(observe::poll_replica(sidecar.clone())),
            actix_rt::spawn(observe::report(sidecar.clone())),
            actix_rt::spawn(share::report(sidecar.clone())),
            actix_rt::spawn(observe::read_store_when_isolated(sidecar.clone())),
            actix_rt::spawn(reconcile::run(sidecar.clone())),
            actix_rt::spawn(traffic::log(sidecar.knowledge.clone())),
            actix_rt::spawn(reconnect_when_silent(
                sidecar.host.clone(),
                dependencies.paths.all_silent(),
            )),
        ];
        let connections = sidecar.setting.connections;
        let caps = [
            Cap::new("control", connections.callers),
            Cap::new("metrics", connections.checks),
        ];
        let (control, metrics) = sidecar.serve(listeners, &caps);
        let windows = dependencies.paths.windows().clone();
        let reporting = cap::report(sidecar.metrics.meter(), caps.into(), windows);
        tasks.push(actix_rt::spawn(reporting));
        Ok(Running {
            sidecar,
            control,
            _metrics: metrics,
            tasks,
        })
    }

    fn serve(
        self: &Rc<Self>,
        listeners: Listeners,
        [control, scrapes]: &[Cap; 2],
    ) -> (Server, Option<Server>) {
        let sidecar = self.clone();
        let handler = move |request, _| handle(sidecar.clone(), request);
        // What isn't written of a run stays in its buffer, where it is counted.
        let timing = || Timing {
            write_buffer: memory::WRITE_BUFFER,
            ..Timing::default()
        };
        let wrap = http::plain();
        let control = Server::capped(listeners.control, control, wrap, handler, timing);
        let metrics = listeners.metrics.map(|listener| {
            let sidecar = self.clone();
            let handler = move |_, _| {
                let answer = sidecar.metrics.answer();
                async move { answer }
            };
            Server::capped(listener, scrapes, http::plain(), handler, Timing::default)
        });
        (control, metrics)
    }

    /// The version that the replica should load, with the publication time of the oldest version that
    /// it lacks; `None` while no version is known.
    pub fn target(&self) -> Option<Target> {
        let target = manager::newest(&self.knowledge)?;
        let state = self.state.borrow();
        let loaded = state.as_ref().and_then(|state| state.loaded(&target.model));
        let catalog = self.knowledge.catalog.borrow();
        let missing = loaded
            .and_then(|loaded| first_missing(catalog.desired_versions(&target.model), loaded));
        Some(Target {
            published: missing.map_or(target.published, |missing| missing.since),
            ..target
        })
    }
}

async fn handle(sidecar: Rc<Sidecar>, mut request: Request) -> Answer {
    let path = request.path().to_owned();
    if let Some(call) = request
        .uri()
        .path_and_query()
        .and_then(|path| Call::parse(path.as_str()))
    {
        return sidecar.handle_run(call, request).await;
    }
    if path == SYNC_PATH {
        return match decode::<Heartbeat>(&mut request).await {
            Ok(heartbeat) => http::pack(
                StatusCode::OK,
                &sidecar.knowledge.update_for(&heartbeat, false),
            ),
            Err(answer) => answer,
        };
    }
    if path == lease::PATH {
        let permit = sidecar.tracker.admit(stop::Kind::Peer);
        if permit.is_refused() {
            return http::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = match decode::<lease::Request>(&mut request).await {
            Ok(request) => http::pack(StatusCode::OK, &sidecar.grant_lease(&request)),
            Err(answer) => answer,
        };
        return permit.attach(answer);
    }
    if path == grant::PATH {
        return match decode::<grant::Request>(&mut request).await {
            Ok(request) => http::pack(StatusCode::OK, &sidecar.grant(&request)),
            Err(answer) => answer,
        };
    }
    burst::serve::answer_path(&sidecar.bursts, &sidecar.tracker, &path).await
}
