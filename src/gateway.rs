//! The gateway: accepts callers' requests according to the routing configuration and forwards them
//! directly to the replicas that the platform lists.
//!
//! * [`dialect`] translates between the gateway and the headers of callers and replicas.
//! * [`intake`] validates a request and reads its body; [`handler`] takes it through admission and
//!   attempts, with the state in [`dispatch`] and the limits on the first event in `limit`.
//! * [`attempt`] is one exchange with a replica; [`race`] runs several at the same time while
//!   replicas are silent; [`reader`] reads its response, from the replica or
//!   from the buffer of the sidecar; [`event`] splits a stream into events; [`relay`] forwards
//!   them, with what it reads ahead of the caller in `lead`; [`plain`] forwards plain responses.
//! * [`place`] asks sidecars for a lease on a place in their replica's engine or queue.
//! * `late` holds retries until there is capacity for them.
//! * `probe` asks a replica that has closed a response without a length whether it still runs.
//! * `poison` blocks requests whose earlier attempts coincided with crashes of replicas.
//! * [`retry`] is a retry taken from a service's budget.
//! * [`trace`] collects what is logged about a request, [`status`] holds the metrics.
//! * [`control`] answers other processes of the system; [`halls`] exchanges reports with the
//!   entries of this hall and polls other halls; [`bootstrap`] contacts the sidecars after a start.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::audit::{Event, Trail};
use crate::burst::host::{Connections, Host, Instruments, reconnect_when_silent};
use crate::burst::manager::{self, Manager, Origins};
use crate::clock::Time;
use crate::config::catalog::Catalog;
use crate::config::residency::Regions;
use crate::daemon;
use crate::exchange::{self, path::Paths};
use crate::http::cap::{self, Cap};
use crate::http::counted::Counted;
use crate::http::{self, ClientSetting, Server, Timing, Wrap};
use crate::knowledge;
use crate::knowledge::hub::Hub;
use crate::knowledge::polls::Polls;
use crate::knowledge::{Identity, Knowledge, gossip, store, traffic};
use crate::limit::retry::{Rejection, Rejections};
use crate::limit::size::{self, Sizes};
use crate::limit::{connection, memory};
use crate::log::Repeats;
use crate::member::Role;
use crate::member::replica::Record;
use crate::metric::{self, Metrics};
use crate::policy::Policy;
use crate::request::budget::{self, Budget};
use crate::route::estimate;
use crate::route::pool::{Key, Pool};
use crate::route::replica::Schedule;
use crate::source::{Source, Topic};
use crate::spread;
use crate::stop::{self, Tracker};
use crate::version::rollout;
use crate::weight::Store;
use crate::wire::sync::Summary;

pub mod attempt;
pub mod bootstrap;
pub mod control;
pub mod dialect;
pub mod dispatch;
pub mod event;
pub mod halls;
pub mod handler;
pub mod intake;
pub mod job;
mod late;
mod lead;
pub mod level;
mod limit;
pub mod place;
pub mod plain;
mod poison;
mod probe;
mod quota;
pub mod race;
pub mod reader;
pub mod relay;
pub mod retry;
pub mod startup;
pub mod status;
pub mod trace;

use dialect::Dialect;
use job::Job;

/// Interval of periodic maintenance: removes expired records from the catalog and the poison
/// registry, closes idle connections, and updates gauges.
const TICK: Duration = Duration::from_millis(200);

/// Longest idle time after which a connection to a replica is reused.
pub const IDLE_MAX: Duration = Duration::from_millis(2_000);

/// Timeout for opening a connection to a replica or its sidecar.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time before the cutoff of a version change from which on requests that have not started on the
/// older version are given up.
const START_MARGIN: Duration = Duration::from_millis(600);

/// Ticks between two log lines with the number of attempts in flight.
const TICKS_PER_LOG: u32 = 5;

/// Interval at which the members of a burst are checked; a change of knowledge triggers it earlier.
const BURST_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an idle connection is kept beyond the idle timeout that callers are given.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// One part in this many of the machine's memory may hold weights; the rest is left to requests.
const MEMORY_DIVISOR: u64 = 8;

/// Bytes of weights that a process may hold on a machine with `machine_bytes` of memory.
pub fn memory_for_weights(machine_bytes: u64) -> u64 {
    machine_bytes / MEMORY_DIVISOR
}

/// The rollout wave of each host, by service and hall.
type Waves = BTreeMap<(Arc<str>, Arc<str>), BTreeMap<String, u32>>;

/// A gateway's settings.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The process's name, hall and control address.
    pub identity: Identity,
    /// Addresses of processes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The regions of data halls.
    pub regions: Regions,
    /// The port that sidecars listen on.
    pub sidecar_port: u16,
    /// Limits of the retry budget that all entries share.
    pub budget: budget::Setting,
    /// Settings of version rollouts.
    pub rollout: rollout::Setting,
    /// Settings of bursts.
    pub spread: spread::Setting,
    /// Whether the whole system is starting for the first time.
    pub first_start: bool,
    /// Bytes of weights that the process may hold to relay them.
    pub memory_bytes: u64,
    /// Bytes that the process may hold for callers: bodies, and responses that are not written.
    pub held_bytes: u64,
    /// Bounds of the listeners.
    pub connections: connection::Plan,
    /// Seed of random choices.
    pub seed: u64,
    /// Which mechanisms are enabled, and their parameters.
    pub policy: Policy,
}

/// A gateway. It is confined to one thread.
pub struct Gateway {
    /// Settings.
    pub setting: Setting,
    /// What the process knows of the system: configuration, replicas, other entries.
    pub knowledge: Rc<Knowledge>,
    /// Translates headers of callers and replicas.
    pub dialect: Rc<dyn Dialect>,
    /// HTTP client for exchanges with replicas and sidecars.
    pub client: exchange::Client,
    /// The known replicas.
    pub pool: RefCell<Pool>,
    /// Metrics.
    pub metrics: Metrics,
    /// Counts requests and carries out a planned stop.
    pub tracker: Rc<Tracker>,
    /// The value of `knowledge.changed` at the last refresh of the pool.
    pool_generation: Cell<u64>,
    budgets: RefCell<BTreeMap<Arc<str>, Budget>>,
    began: Time,
    instruments: status::Instruments,
    bursts: Manager,
    halls: RefCell<Polls>,
    hub: RefCell<Hub>,
    /// Recently rejected requests, here or at other entries.
    rejections: RefCell<Rejections>,
    /// By service and urgency: a size is never reserved for a less urgent one.
    sizes: RefCell<BTreeMap<(Arc<str>, u8), Sizes>>,
    levels: RefCell<level::Levels>,
    suspects: RefCell<poison::Suspects>,
    counts: RefCell<quota::Counts>,
    /// The memory that is held for callers.
    pub held: memory::Budget,
    /// The usual sizes of responses, by route.
    usual_sizes: RefCell<BTreeMap<Arc<str>, memory::Usual>>,
    /// Bounds the log lines about requests.
    lines: trace::Lines,
    /// Requests that wait for the first configuration.
    unconfigured: Cell<u32>,
    /// Seconds for which the process was found not ready.
    unready: Repeats,
    /// Late requests that wait for capacity.
    late: RefCell<late::Held>,
}

/// What a gateway is started with.
pub struct Dependencies {
    /// Translates headers of callers and replicas.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub source: Rc<dyn Source>,
    /// Resolves the origin of weights.
    pub origins: Rc<dyn Origins>,
    /// State of the process's network paths, shared with `source`.
    pub paths: Rc<Paths>,
}

/// The sockets that a gateway listens on.
#[derive(Debug)]
pub struct Listeners {
    /// Requests of callers.
    pub front: TcpListener,
    /// Readiness checks of the load balancer.
    pub ready: TcpListener,
    /// Messages of other processes of the system.
    pub control: TcpListener,
    /// Scrapes of the metrics.
    pub metrics: Option<TcpListener>,
}

/// A running gateway. Dropping it aborts its background tasks.
pub struct Running {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// The server for callers.
    pub front: Server,
    _servers: Vec<Server>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Running {
    /// Serves until a stop signal arrives, then drains for at most `grace`.
    pub async fn serve_until_stopped(self, grace: Duration) -> Result<(), daemon::Error> {
        let identity = &self.gateway.setting.identity;
        log::info!(
            name = &*identity.name, hall = &*identity.hall, address:% = identity.address,
            version = env!("CARGO_PKG_VERSION");
            "started"
        );
        daemon::stop_signal().await?;
        let in_flight = self.gateway.in_flight();
        log::info!(in_flight; "planned stop begins");
        let setting = stop::Setting::within(grace);
        self.gateway.tracker.stop(setting, &self.front).await;
        Ok(())
    }
}

fn relay_host(setting: &Setting, knowledge: &Rc<Knowledge>, metrics: &Metrics) -> Host {
    let trail = RefCell::new(Trail::default());
    Host {
        name: setting.identity.address.to_string().into(),
        hall: setting.identity.hall.clone(),
        clock: knowledge.clock,
        connections: Connections::new(ClientSetting::default()),
        spread: setting.spread.for_relay(),
        store: RefCell::new(Store::new(setting.memory_bytes)),
        instruments: Instruments::new(&metrics.meter()),
        bytes_sent: Cell::new(0),
        wake: Notify::new(),
        trail: Rc::new(move |event: Event| trail.borrow_mut().add(0, event)),
        local_chunks: None,
    }
}

impl Gateway {
    /// Starts a gateway on the current thread.
    pub fn start(
        setting: Setting,
        edges: Dependencies,
        listeners: Listeners,
    ) -> Result<Running, metric::Error> {
        let Dependencies {
            dialect,
            source,
            origins,
            paths,
        } = edges;
        let metrics = Metrics::new()?;
        let knowledge = Knowledge::new(
            setting.identity.clone(),
            setting.seeds.clone(),
            setting.seed,
            setting.policy,
            paths.clone(),
        );
        knowledge.traffic.register(&metrics.meter());
        knowledge.store_failures.register(&metrics.meter());
        knowledge.regions.replace(setting.regions.clone());
        let host = Rc::new(relay_host(&setting, &knowledge, &metrics));
        let all_silent = paths.all_silent();
        let windows = paths.windows().clone();
        let gateway = Rc::new(Self {
            bursts: Manager::new(host.clone(), origins, setting.first_start),
            client: exchange::Client::sharing(paths),
            pool: RefCell::new(Pool::new(setting.identity.hall.clone(), setting.policy)),
            rejections: RefCell::default(),
            sizes: RefCell::default(),
            levels: RefCell::default(),
            suspects: RefCell::default(),
            late: RefCell::default(),
            counts: RefCell::new(quota::Counts::new(setting.identity.address)),
            held: memory::Budget::new(setting.held_bytes),
            usual_sizes: RefCell::default(),
            lines: trace::Lines::default(),
            unconfigured: Cell::new(0),
            unready: Repeats::default(),
            pool_generation: Cell::new(0),
            budgets: RefCell::default(),
            began: knowledge.now(),
            halls: RefCell::default(),
            hub: RefCell::new(Hub::new(
                knowledge.rng.borrow_mut().random(),
                knowledge.now(),
            )),
            instruments: status::Instruments::new(&metrics.meter()),
            tracker: Tracker::new(knowledge.clock, &metrics.meter()),
            metrics,
            knowledge: knowledge.clone(),
            dialect,
            setting,
        });
        let targets = gateway.clone();
        let mut tasks = vec![
            actix_rt::spawn(store::follow(
                knowledge.clone(),
                source.clone(),
                Topic::Operator,
            )),
            actix_rt::spawn(store::follow(knowledge.clone(), source, Topic::Replicas)),
            actix_rt::spawn(gossip::announce_updates(knowledge.clone())),
            actix_rt::spawn(traffic::log(knowledge.clone())),
            actix_rt::spawn(knowledge::poison::run(knowledge.clone())),
            actix_rt::spawn(knowledge::quotas::run(knowledge.clone())),
            actix_rt::spawn(gossip::run(knowledge, move || targets.sidecars())),
            actix_rt::spawn(gateway.clone().tick()),
            actix_rt::spawn(gateway.clone().relay_weights()),
            actix_rt::spawn(halls::run(gateway.clone())),
            actix_rt::spawn(bootstrap::run(gateway.clone())),
            actix_rt::spawn(reconnect_when_silent(host, all_silent)),
        ];
        let connections = gateway.setting.connections;
        let [callers, ready, peers, scrapes] = [
            Cap::new("callers", connections.callers),
            Cap::new("ready", connections.checks),
            Cap::new("peers", connections.peers),
            Cap::new("metrics", connections.checks),
        ];
        let front = gateway.serve_front(listeners.front, &callers);
        let mut servers = vec![
            gateway.serve(listeners.ready, &ready, control::ready),
            gateway.serve(listeners.control, &peers, control::handle),
        ];
        if let Some(listener) = listeners.metrics {
            servers.push(gateway.serve(listener, &scrapes, control::metrics));
        }
        let caps = vec![callers, ready, peers, scrapes];
        let reporting = cap::report(gateway.metrics.meter(), caps, windows);
        tasks.push(actix_rt::spawn(reporting));
        Ok(Running {
            gateway,
            front,
            _servers: servers,
            tasks,
        })
    }

    fn serve_front(self: &Rc<Self>, listener: TcpListener, cap: &Cap) -> Server {
        let gateway = self.clone();
        let timed = self.clone();
        let held = self.held.clone();
        let counted: Wrap =
            Rc::new(move |stream, _| Box::new(Counted::new(stream, held.connect())));
        Server::capped(
            listener,
            cap,
            counted,
            move |request, _| handler::handle(gateway.clone(), request),
            move || timed.timing(),
        )
    }

    fn serve<F, Fut>(self: &Rc<Self>, listener: TcpListener, cap: &Cap, answer: F) -> Server
    where
        F: Fn(Rc<Self>, actix_http::Request) -> Fut + Copy + 'static,
        Fut: Future<Output = http::Answer> + 'static,
    {
        let gateway = self.clone();
        let handler = move |request, _| answer(gateway.clone(), request);
        Server::capped(listener, cap, http::plain(), handler, Timing::default)
    }

    /// Timeouts for callers' connections, from the limits of the current configuration.
    fn timing(&self) -> Timing {
        let catalog = self.knowledge.catalog.borrow();
        let limits = catalog
            .routing()
            .map(|routing| routing.document.limits)
            .unwrap_or_default();
        Timing {
            head: Duration::from_millis(limits.head_ms),
            idle: Duration::from_millis(limits.idle_ms) + IDLE_MARGIN,
            half_closed: false,
            write_buffer: memory::WRITE_BUFFER,
        }
    }

    /// Addresses of the sidecars of all listed replicas that hold models.
    fn sidecars(&self) -> Vec<SocketAddr> {
        let catalog = self.knowledge.catalog.borrow();
        let mut hosts: Vec<IpAddr> = catalog
            .replicas()
            .values()
            .filter(|listed| !listed.record.models.is_empty())
            .map(|listed| listed.record.address.ip())
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        let port = self.setting.sidecar_port;
        hosts
            .into_iter()
            .map(|host| SocketAddr::new(host, port))
            .collect()
    }

    /// The address of the sidecar of replica `key`; `None` unless it has reported recently and is
    /// to be asked for leases.
    fn sidecar_of(&self, key: Key) -> Option<SocketAddr> {
        let now = self.knowledge.now();
        let pool = self.pool.borrow();
        if !pool.grants_leases(key, now) {
            return None;
        }
        let host = pool.get(key)?.record.address.ip();
        Some(SocketAddr::new(host, self.setting.sidecar_port))
    }

    /// Joins the burst of the wanted version as a relay: this process has a fast link, the boxes
    /// have slow ones.
    async fn relay_weights(self: Rc<Self>) {
        loop {
            self.join_burst();
            let mut changed = self.knowledge.changed.subscribe();
            let _ = actix_rt::time::timeout(BURST_CHECK_INTERVAL, changed.changed()).await;
        }
    }

    fn join_burst(&self) {
        if !self.setting.policy.relays {
            return;
        }
        let knowledge = &self.knowledge;
        let brief = knowledge.summary();
        self.bursts
            .expect(brief.as_ref().map(Summary::layout).unwrap_or_default());
        let origin_chunk_time = brief.as_ref().and_then(Summary::chunk);
        let origin = brief.and_then(|brief| brief.origin);
        let (Some(target), Some(origin)) = (manager::newest(knowledge), origin) else {
            return;
        };
        let service = {
            let catalog = knowledge.catalog.borrow();
            let mut services = catalog.routing().into_iter().flat_map(|routing| {
                let services = routing.document.services.iter();
                services.filter(|service| service.engine.is_some())
            });
            services.next().map(|service| service.name.clone())
        };
        let members = manager::members(knowledge, service.as_deref(), self.setting.sidecar_port);
        let identity = &self.setting.identity;
        let own = manager::member(
            identity.address.to_string(),
            identity.hall.clone(),
            identity.address,
            Role::Entry,
        );
        let oldest = manager::oldest(knowledge, &target, self.setting.rollout.bound);
        let topology = manager::Topology {
            origin,
            origin_chunk_time,
            members,
            own,
        };
        self.bursts.join(&target, oldest, topology);
    }

    fn log_in_flight(&self) {
        let under_way = self.pool.borrow().in_flight();
        self.instruments.set_in_flight(under_way);
        if under_way > 0 {
            log::info!(under_way; "attempts in flight");
        }
    }

    async fn tick(self: Rc<Self>) {
        for tick in 1_u32.. {
            sleep(TICK).await;
            let now = self.knowledge.now();
            self.observe_entries();
            if tick.is_multiple_of(TICKS_PER_LOG) {
                self.log_in_flight();
                self.report_missing();
                self.lines.log_left_out();
                self.probe_silent_entries();
            }
            let swept = self.knowledge.catalog.borrow_mut().remove_expired(now);
            if swept {
                self.knowledge.changed.send_modify(|count| *count += 1);
            }
            self.client.reap(IDLE_MAX);
            self.knowledge.client.reap(gossip::IDLE_MAX);
            let losses = self.knowledge.losses.borrow().count;
            self.instruments.set_losses(losses);
            self.instruments.set_held(&self.held);
            let mut quotas = self.knowledge.quotas.borrow_mut();
            quotas.remove_expired(now);
            self.instruments.set_quotas(quotas.stated());
            drop(quotas);
            let mut register = self.knowledge.poison.borrow_mut();
            register.remove_expired(now);
            self.instruments.set_blocked(register.blocked());
        }
    }

    /// Updates the pool if anything known has changed, and closes idle connections to replicas that
    /// have restarted.
    fn refresh_pool(&self) {
        let changes = *self.knowledge.changed.borrow();
        if self.pool_generation.replace(changes) != changes {
            let catalog = self.knowledge.catalog.borrow();
            let list = catalog.replicas();
            let rollout = self.knowledge.rollout(self.setting.rollout);
            let waves = self.waves(&catalog, rollout.waves);
            let schedule = |record: &Record| self.schedule(&catalog, rollout, &waves, record);
            let evacuated = catalog.evacuations().active().cloned().collect();
            let mut pool = self.pool.borrow_mut();
            pool.update(list, schedule);
            pool.set_evacuated(evacuated);
            pool.set_quotas(&self.knowledge.quotas.borrow());
            pool.refresh_cold(self.knowledge.now());
        }
        let restarted = self.pool.borrow_mut().take_restarted();
        for address in restarted {
            log::info!(replica:% = address; "replica restarted; closing idle connections to its address");
            self.client.close_idle(address);
        }
    }

    /// The waves in which replicas switch to the wanted version, computed once for each service in
    /// each hall.
    fn waves(&self, catalog: &Catalog, waves: u32) -> Waves {
        let mut hosts: BTreeMap<(Arc<str>, Arc<str>), Vec<String>> = BTreeMap::new();
        for listed in catalog.replicas().values() {
            let record = &listed.record;
            let group = (record.service.clone(), record.hall.clone());
            let host = record.address.ip().to_string();
            hosts.entry(group).or_default().push(host);
        }
        let placed = hosts.into_iter().filter_map(|(group, hosts)| {
            let model = self.knowledge.model_of(&group.0)?;
            let label = manager::label(&model, catalog.desired_version(&model)?.version);
            let hosts = hosts.iter().map(String::as_str);
            Some((group, rollout::assign_waves(label, hosts, waves)))
        });
        placed.collect()
    }

    /// The version changes ahead of a replica, timed as its sidecar will carry them out.
    fn schedule(
        &self,
        catalog: &Catalog,
        rollout: rollout::Setting,
        waves: &Waves,
        record: &Record,
    ) -> Option<Schedule> {
        let group = (record.service.clone(), record.hall.clone());
        let host = record.address.ip().to_string();
        let wave = *waves.get(&group)?.get(&host)?;
        let model = self.knowledge.model_of(&record.service)?;
        Some(Schedule {
            versions: catalog.desired_versions(&model).to_vec(),
            drain_after: rollout::wave_start(rollout, wave).saturating_sub(rollout.notice),
            cutoff: rollout.bound.saturating_sub(START_MARGIN),
        })
    }

    /// Whether the gateway can serve requests: not stopping, with a configuration and at least a part of
    /// the list of replicas.
    pub fn ready(&self) -> bool {
        let catalog = self.knowledge.catalog.borrow();
        !self.tracker.is_stopping() && catalog.can_route()
    }

    /// Announces a stop: the readiness check fails, and each response closes its caller's
    /// connection.
    pub fn drain(&self) {
        self.tracker.begin(stop::Setting::default());
    }

    /// Requests in progress, both of callers and of processes that fetch chunks.
    pub fn in_flight(&self) -> u64 {
        self.tracker.in_flight()
    }

    /// Late requests that wait for capacity.
    pub fn waiting(&self) -> usize {
        self.late.borrow().count()
    }

    fn count_request(&self, service: &Arc<str>) {
        let now = self.knowledge.now();
        self.budget(service).request(self.setting.budget, now);
    }

    fn budget(&self, service: &Arc<str>) -> RefMut<'_, Budget> {
        RefMut::map(self.budgets.borrow_mut(), |budgets| {
            let new = || Budget::new(self.setting.budget, self.began);
            budgets.entry(service.clone()).or_insert_with(new)
        })
    }

    /// Size class of a request among the recent ones of its route, if it is for an engine.
    fn size_class(&self, job: &Job) -> Option<size::Class> {
        job.meta.inference.as_ref()?;
        let service = job.routing.service(&job.service)?;
        let engine = service.engine.as_ref()?;
        let work = estimate::work(engine, job.demand());
        let prefill = estimate::prefill(engine, job.demand().prompt, 1.0);
        let mut sizes = self.sizes(job);
        Some(sizes.classify(&job.route.name, work, prefill, job.arrived))
    }

    /// The sizes of the requests that are as urgent as `job`.
    fn sizes(&self, job: &Job) -> RefMut<'_, Sizes> {
        let key = (job.service.clone(), job.priority);
        RefMut::map(self.sizes.borrow_mut(), |sizes| {
            sizes.entry(key).or_default()
        })
    }

    /// Records the size of a response, by which memory is reserved for the next ones of its route.
    fn record_response_size(&self, route: &Arc<str>, bytes: u64) {
        let mut sizes = self.usual_sizes.borrow_mut();
        sizes.entry(route.clone()).or_default().record(bytes);
    }

    /// When the caller first tried a request that was rejected before.
    fn first_try(&self, job: &Job) -> Option<Time> {
        let rejections = self.rejections.borrow();
        rejections.first_try(job.fingerprint, job.arrived)
    }

    /// Merges rejections that another process reported.
    fn merge_rejections(&self, reported: &[Rejection], now: Time) {
        self.rejections.borrow_mut().merge(reported, now);
    }

    /// Records a rejected request whose caller first tried at `first`. Only requests to engines are
    /// recorded: other services are rarely short of capacity.
    fn record_rejection(&self, job: &Job, first: Time) {
        if job.meta.inference.is_none() {
            return;
        }
        let mut rejections = self.rejections.borrow_mut();
        rejections.record(job.fingerprint, first, job.deadline);
    }
}
