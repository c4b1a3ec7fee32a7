//! Polls the replica's state and reports it to the entries.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use rand::RngExt;

use super::Sidecar;
use super::engine::{Error, State};
use super::reconcile::Staged;
use crate::backoff::Backoff;
use crate::clock::Time;
use crate::exchange::{Acquisition, Recorder};
use crate::grant;
use crate::knowledge::gossip::post_recorded;
use crate::knowledge::hub;
use crate::knowledge::readers::Readers;
use crate::knowledge::traffic::Purpose;
use crate::lease;
use crate::route::notice::{Notice, Suspension};
use crate::route::quota::{self, Change, Quota, Statement};
use crate::route::replica::Load;
use crate::source::Topic;
use crate::timeout::{self, Progress};
use crate::wire::sync::{Heartbeat, REPORT_PATH, Report};

/// Interval at which the replica's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of polls per log line and metric sample of the requests at the replica.
const POLLS_PER_LOG: u32 = 10;

/// Longest additional pause between two polls while the replica asks for a backoff. Only polls show
/// that it is still alive.
const BACKOFF_POLL_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of consecutive failed polls after which the replica counts as gone.
pub(super) const MISSES_MAX: u32 = 2;

/// Interval at which it is checked whether a report to an entry is due.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two reports to an entry, unless the replica's availability changes. Load
/// may be reported late, since an entry requests a slot lease here before it sends a request, and
/// uses reports only to select where to ask.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// Maximum interval between two reports to an entry.
const REPORT_INTERVAL_MAX: Duration = Duration::from_millis(1_000);

/// Delay before the report to an entry that did not answer is repeated. The entry may just be
/// starting.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval at which an entry is asked for the entries that it knows.
const PEERS_REQUEST_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time without an answer of any entry after which the store is read.
const STORE_READ_DELAY: Duration = Duration::from_millis(2_500);

/// Timeout for the first byte of the store's answer.
const STORE_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum delay between two reads of the store while no entry answers, before jitter. Each read
/// transfers the whole configuration over the narrow link of a box, and over the links between
/// regions to all boxes at once.
const STORE_READ_DELAY_MAX: Duration = Duration::from_secs(20);

/// Polls the replica until dropped.
pub async fn poll_replica(sidecar: Rc<Sidecar>) {
    for poll in 1_u32.. {
        sidecar.knowledge.traffic.count(Purpose::Probe, 0);
        let state = timeout(POLL_TIMEOUT, sidecar.engine.state()).await;
        match state {
            Ok(Ok(state)) => {
                sidecar.misses.set(0);
                sidecar.apply_state(Some(state));
            }
            // It is alive, but asks to be polled less often.
            Ok(Err(Error::Rejected { backoff })) => {
                sidecar.misses.set(0);
                let notice = Notice {
                    backoff: Some(backoff),
                    ..Notice::default()
                };
                sidecar.apply_notice(notice);
                sleep(backoff.min(BACKOFF_POLL_INTERVAL_MAX)).await;
            }
            failed => {
                sidecar.misses.set(sidecar.misses.get() + 1);
                if sidecar.misses.get() == MISSES_MAX {
                    log::warn!(failed:? = failed.map(|result| result.err()); "replica lost");
                    sidecar.apply_state(None);
                }
            }
        }
        sidecar.remove_expired_runs();
        let now = sidecar.knowledge.now();
        sidecar.knowledge.poison.borrow_mut().remove_expired(now);
        if poll.is_multiple_of(POLLS_PER_LOG) {
            sidecar.log_requests();
            sidecar.report_room();
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl Sidecar {
    /// Logs and records the number of requests at the replica. Requests that all replicas have in excess
    /// of those in progress at all entries have no reader.
    fn log_requests(&self) {
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else {
            return;
        };
        let State {
            running, queued, ..
        } = *state;
        self.requests.record(u64::from(running + queued), &[]);
        if running + queued > 0 {
            let leased = self.ledger.borrow().leased();
            log::info!(running, queued, leased; "requests at the replica");
        }
    }

    fn apply_state(&self, state: Option<State>) {
        if let Some(state) = &state {
            if state.born < self.born.get() {
                // The answer is from an earlier instance, or lacks the start time.
                return;
            }
            if self.born.replace(state.born) < state.born {
                self.reset_for_instance(state.born);
            }
        }
        match &state {
            Some(state) => {
                self.apply_notice(Notice::new(state.leaving, None));
                // Replicas need not state their quota in answers to polls.
                if state.quota != Statement::Absent {
                    self.record_quota(state.quota, self.knowledge.now());
                }
            }
            // If start times are not reported, a new instance can only be inferred from an outage.
            None if self.born.get() == 0 => {
                self.suspension.set(Suspension::default());
                self.quota.set(Quota::default());
            }
            None => {}
        }
        let before = self.state.replace(state);
        let after = self.state.borrow();
        let mut ledger = self.ledger.borrow_mut();
        match &*after {
            Some(state) => ledger.observe(state.running + state.queued, self.knowledge.now()),
            None => ledger.reset(),
        }
        let availability = |state: &Option<State>| {
            let state = state.as_ref();
            state.map(|state| (state.busy, state.models.clone()))
        };
        if availability(&before) != availability(&after) {
            log::info!(takes:? = availability(&after); "replica's loaded models or busy state changed");
            self.availability_changes
                .set(self.availability_changes.get() + 1);
        }
        if before != *after {
            self.state_changes.set(self.state_changes.get() + 1);
        }
    }

    /// Discards the state of earlier instances of the replica, because the current one started at
    /// `born`: slot leases, orders, and the record of staged chunks. Chunks that are staged nevertheless
    /// are read back before they are used.
    fn reset_for_instance(&self, born: u64) {
        log::info!(born; "new instance of the replica");
        self.suspension.set(Suspension::default());
        self.quota.set(Quota::default());
        self.state.replace(None);
        self.ledger.borrow_mut().reset();
        self.client.close_idle(self.engine.address());
        self.staged.replace(Staged::default());
        self.set_notice_since(None);
    }

    /// Applies a notice of the replica. It applies to the requests of all entries that pass through this
    /// process.
    pub(super) fn apply_notice(&self, notice: Notice) {
        let mut suspension = self.suspension.get();
        if suspension.apply(notice, self.knowledge.now()) {
            log::info!(notice:% = notice; "notice from the replica");
            self.suspension.set(suspension);
            self.availability_changes
                .set(self.availability_changes.get() + 1);
        }
    }

    /// Records what the replica states about its quota in response to a request sent at `sent_at`.
    pub(super) fn record_quota(&self, statement: Statement, sent_at: Time) {
        let mut quota = self.quota.get();
        let change = quota.record(statement, sent_at, self.knowledge.now());
        self.quota.set(quota);
        self.announce_quota(change);
    }

    /// Applies what an entry knows of the quota of the replica's current instance.
    fn merge_quota(&self, report: quota::Report) {
        let mut quota = self.quota.get();
        let change = quota.merge(report, self.knowledge.now());
        self.quota.set(quota);
        self.announce_quota(change);
    }

    fn announce_quota(&self, change: Option<Change>) {
        if let Some(change) = change {
            log::info!("quota {change}");
            self.availability_changes
                .set(self.availability_changes.get() + 1);
        }
    }

    /// Requests per second that the replica takes from all processes; `None` if that is not limited.
    pub(super) fn quota_per_s(&self) -> Option<f64> {
        self.quota.get().per_s(self.knowledge.now())
    }

    /// Answers an entry that asks for a grant under the replica's quota.
    pub(super) fn grant(&self, message: &grant::Request) -> grant::Response {
        if message.instance.born != self.born.get() {
            return grant::Response::denied(grant::RETRY_DELAY);
        }
        if let Some(report) = message.quota {
            self.merge_quota(report);
        }
        let now = self.knowledge.now();
        let taken = self.quota_per_s().map_or(Ok(()), |per_s| {
            let gate = &mut self.ledger.borrow_mut().gate;
            gate.take(message.urgency, per_s, now)
        });
        grant::Response::of(taken)
    }

    /// Sets since when the switch of the replica is announced; `None` once it has switched.
    pub(super) fn set_notice_since(&self, notice_since: Option<Time>) {
        if self.notice_since.replace(notice_since) != notice_since {
            self.availability_changes
                .set(self.availability_changes.get() + 1);
        }
    }

    /// Answers an entry that requests a slot lease.
    pub(super) fn grant_lease(&self, request: &lease::Request) -> lease::Response {
        let engine = self.knowledge.summary().and_then(|summary| summary.engine);
        let now = self.knowledge.now();
        if let Some(report) = request.quota {
            self.merge_quota(report);
        }
        let load = self.load();
        let mut ledger = self.ledger.borrow_mut();
        ledger.answer(&self.with_hall(request), load, engine.as_ref(), now)
    }

    fn load(&self) -> Load {
        let notice = self.suspension.get().notice(self.knowledge.now());
        Load {
            leaving: notice.leaving,
            rest_ms: notice
                .backoff
                .map_or(0, |backoff| backoff.as_millis() as u32),
            quota: self.quota.get().report(self.knowledge.now()),
            meters: true,
            ..self.observed_load()
        }
    }

    /// The replica's load, without its notices.
    fn observed_load(&self) -> Load {
        let rtt = self.rtt.borrow_mut().min(self.knowledge.now());
        let round_trip_ms = rtt.as_millis() as u64;
        let (chunks_held, chunks) = self.transfer_progress();
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else {
            return Load {
                born: self.born.get(),
                alive: self.misses.get() < MISSES_MAX,
                pace: 1.0,
                round_trip_ms,
                chunks_held,
                chunks,
                ..Load::default()
            };
        };
        Load {
            born: state.born,
            running: state.running,
            queued: state.queued,
            pace: state.pace,
            models: state.models.clone(),
            switching: state.busy || self.notice_since.get().is_some(),
            alive: true,
            round_trip_ms,
            chunks_held,
            chunks,
            ..Load::default()
        }
    }

    /// The number of chunks held of the weights that the replica should load, and their total number.
    /// Both are 0 if the replica has any model loaded.
    fn transfer_progress(&self) -> (u32, u32) {
        let state = self.state.borrow();
        // The usual case comes first, since this is called for every report.
        let any_loaded = state.as_ref().is_some_and(|state| !state.models.is_empty());
        if any_loaded {
            return (0, 0);
        }
        let fallback = self.fallback.borrow().clone();
        let Some(target) = fallback.or_else(|| self.target()) else {
            return (0, 0);
        };
        let (held, total) = self.host.store.borrow().progress(target.label());
        (held as u32, total as u32)
    }

    /// The entries to report to, in order of their rank.
    fn report_targets(&self, deliveries: &BTreeMap<SocketAddr, Delivery>) -> Vec<SocketAddr> {
        let is_silent = |entry| deliveries.get(&entry).is_some_and(|last| last.failed);
        let local_peers = self.knowledge.local_peers();
        let digests = self.knowledge.policy.digests;
        let known = if digests && !local_peers.is_empty() {
            local_peers
        } else {
            let peers = self.knowledge.peers.borrow();
            let alive = peers.alive(self.knowledge.now());
            alive.map(|(address, _)| address).collect()
        };
        if known.is_empty() {
            return self.knowledge.seeds.borrow().clone();
        }
        if !digests {
            return known;
        }
        // These forward the report to the other entries of the hall and to other halls.
        hub::report_targets(&Readers::ranked(&known), is_silent)
    }
}

/// The last report to an entry.
#[derive(Debug, Clone, Copy)]
struct Delivery {
    sent_at: Time,
    /// [`Sidecar::state_changes`] when it was sent.
    state_changes: u64,
    /// [`Sidecar::availability_changes`] when it was sent.
    availability_changes: u64,
    /// Whether the answer is outstanding.
    pending: bool,
    /// Whether the last completed report failed.
    failed: bool,
    /// When the entry was last asked for the entries that it knows.
    peers_requested_at: Option<Time>,
}

impl Delivery {
    /// Whether another report is due, given the current numbers of changes of the replica's state and of
    /// its availability.
    fn is_due(&self, state_changes: u64, availability_changes: u64, now: Time) -> bool {
        if self.pending {
            return false;
        }
        let age = now.since(self.sent_at);
        let retry = self.failed && age >= REPORT_RETRY_DELAY;
        let changed = self.state_changes != state_changes && age >= REPORT_INTERVAL_MIN;
        retry
            || changed
            || self.availability_changes != availability_changes
            || age >= REPORT_INTERVAL_MAX
    }
}

/// Reports to the entries until dropped.
pub async fn report(sidecar: Rc<Sidecar>) {
    let deliveries: Rc<RefCell<BTreeMap<SocketAddr, Delivery>>> = Rc::default();
    loop {
        let entries = sidecar.report_targets(&deliveries.borrow());
        deliveries
            .borrow_mut()
            .retain(|entry, _| entries.contains(entry));
        for (rank, entry) in entries.into_iter().enumerate() {
            report_if_due(&sidecar, &deliveries, entry, rank == 0);
        }
        let now = sidecar.knowledge.now();
        sidecar.knowledge.peers.borrow_mut().remove_expired(now);
        sidecar.knowledge.catalog.borrow_mut().settle(now);
        sleep(REPORT_CHECK_INTERVAL).await;
    }
}

fn report_if_due(
    sidecar: &Rc<Sidecar>,
    deliveries: &Rc<RefCell<BTreeMap<SocketAddr, Delivery>>>,
    entry: SocketAddr,
    first: bool,
) {
    let now = sidecar.knowledge.now();
    let (state_changes, availability_changes) = (
        sidecar.state_changes.get(),
        sidecar.availability_changes.get(),
    );
    let last = deliveries.borrow().get(&entry).copied();
    if last.is_some_and(|last| !last.is_due(state_changes, availability_changes, now)) {
        return;
    }
    let requested_at = last.and_then(|last| last.peers_requested_at);
    // The first entry is asked for the entries that it knows. So are new targets, which may replace one
    // that does not answer, and those that failed to answer.
    let wants_peers = (first || last.is_none_or(|last| last.failed))
        && requested_at.is_none_or(|at| now.since(at) >= PEERS_REQUEST_INTERVAL);
    let delivery = Delivery {
        sent_at: now,
        state_changes,
        availability_changes,
        pending: true,
        failed: last.is_some_and(|last| last.failed),
        peers_requested_at: if wants_peers { Some(now) } else { requested_at },
    };
    deliveries.borrow_mut().insert(entry, delivery);
    let (sidecar, deliveries) = (sidecar.clone(), deliveries.clone());
    actix_rt::spawn(async move {
        let answered = send_report(&sidecar, entry, wants_peers).await;
        if let Some(last) = deliveries.borrow_mut().get_mut(&entry) {
            last.failed = !answered;
            last.pending = false;
        }
    });
}

/// Sends a report to an entry. Returns whether it answered.
async fn send_report(sidecar: &Sidecar, entry: SocketAddr, wants_peers: bool) -> bool {
    let report = Report {
        address: sidecar.setting.replica,
        load: sidecar.load(),
        heartbeat: Heartbeat {
            wants_list: !sidecar.knowledge.catalog.borrow().has_replica_list(),
            ..sidecar.knowledge.heartbeat(wants_peers)
        },
    };
    let (sent_at, recorder) = (sidecar.knowledge.now(), Recorder::default());
    match post_recorded(&sidecar.knowledge, entry, REPORT_PATH, &report, &recorder).await {
        // The duration of a report that was sent twice is no measure of the link.
        Ok(()) if recorder.acquisition() == Some(Acquisition::Renewed) => {}
        Ok(()) => {
            let now = sidecar.knowledge.now();
            sidecar.rtt.borrow_mut().record(now.since(sent_at), now);
        }
        Err(error) => {
            log::debug!(entry:% = entry; "report failed: {error}");
            return false;
        }
    }
    true
}

/// Reads the store as long as no entry answers, until dropped.
pub async fn read_store_when_isolated(sidecar: Rc<Sidecar>) {
    let mut backoff = Backoff::new(STORE_READ_DELAY, STORE_READ_DELAY_MAX);
    let mut delay = backoff.next_delay();
    loop {
        sleep(delay).await;
        let now = sidecar.knowledge.now();
        if sidecar.knowledge.peers.borrow().alive(now).next().is_some() {
            backoff.reset();
            delay = backoff.next_delay();
            continue;
        }
        log::info!("no entry answers; reading the store");
        for topic in [Topic::Operator, Topic::Replicas] {
            read_store(&sidecar, topic).await;
        }
        let jitter = sidecar.knowledge.rng.borrow_mut().random_range(0.7..1.3);
        delay = backoff.next_delay().mul_f64(jitter);
    }
}

async fn read_store(sidecar: &Sidecar, topic: Topic) {
    let progress = Progress::default();
    let call = sidecar.source.read(topic, progress.clone());
    let config = timeout::Config::with_first_byte(STORE_FIRST_BYTE_TIMEOUT);
    match timeout::wait(call, &progress, config).await {
        Ok(Ok(batch)) => sidecar.knowledge.apply_batch(topic, true, batch),
        Ok(Err(error)) => {
            sidecar
                .knowledge
                .store_failures
                .count(topic, error.failure());
            log::info!(topic:? = topic; "cannot read the store: {error}");
        }
        Err(error) => log::info!(topic:? = topic; "cannot read the store: {error}"),
    }
}
