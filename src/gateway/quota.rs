//! Keeps the quotas of replicas together with the other entries.
//!
//! Each request to a replica with a quota needs a grant. The replica's sidecar grants it, as it
//! counts for all entries. If there is none, the entry does that ranks first for the replica.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use tokio::net::TcpStream;

use super::Gateway;
use super::dispatch::Dispatch;
use crate::clock::Time;
use crate::exchange::Recorder;
use crate::grant::{self, Request, Response};
use crate::knowledge::gossip;
use crate::member::peer;
use crate::member::replica::Instance;
use crate::member::share::{self, History, Located};
use crate::route::meter::Meter;
use crate::route::pool::Key;
use crate::route::quota::{self, Teller};
use crate::route::replica::Load;

/// Timeouts for the answer to a request for a grant: over a used connection, and then over a new
/// one.
const ANSWER_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(60));

/// Timeout for the connection that shows whether a process runs at the address of an entry.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Entries that are probed at a time.
const PROBES_MAX: usize = 64;

/// Time without a request for a grant after which the count of a replica is dropped.
const RETENTION: Duration = Duration::from_secs(60);

/// What this entry counts on behalf of all entries.
#[derive(Debug)]
pub(super) struct Counts {
    history: History,
    replicas: BTreeMap<Instance, Count>,
}

/// The count of one replica.
#[derive(Debug, Default)]
struct Count {
    meter: Meter,
    /// The share of the quota that was last applied.
    share: f64,
    asked_at: Time,
}

impl Counts {
    pub(super) fn new(own: SocketAddr) -> Self {
        Self {
            history: History::new(own),
            replicas: BTreeMap::new(),
        }
    }

    /// Takes a grant under a quota of `per_s` requests per second, of which this entry counts
    /// `share`.
    fn take(
        &mut self,
        request: &Request,
        per_s: f64,
        share: f64,
        now: Time,
    ) -> Result<(), Duration> {
        self.replicas
            .retain(|_, count| now.since(count.asked_at) < RETENTION);
        let count = self.replicas.entry(request.instance.clone()).or_default();
        count.asked_at = now;
        if count.share != share {
            log::info!(replica = &*request.instance.id, per_s, share; "counted share of a quota changed");
            count.share = share;
        }
        if share == 0.0 {
            count.meter = Meter::default();
            return Err(grant::RETRY_DELAY);
        }
        count.meter.take(request.urgency, per_s * share, now)
    }
}

impl Gateway {
    /// The entries that are alive, this one included.
    fn alive_entries(&self, now: Time) -> Vec<Located> {
        let identity = &self.setting.identity;
        let peers = self.knowledge.peers.borrow();
        let others = peers
            .alive(now)
            .map(|(address, hall)| (address, hall.clone()));
        let mut entries: Vec<Located> = others.collect();
        entries.push((identity.address, identity.hall.clone()));
        entries.sort_unstable();
        entries
    }

    /// Records which entries are known, for the share of the quotas that this one counts.
    pub(super) fn observe_entries(&self) {
        let now = self.knowledge.now();
        let alive = self.alive_entries(now);
        let missing = {
            let (peers, seeds) = (self.knowledge.peers.borrow(), self.knowledge.seeds.borrow());
            peers.missing_of(&seeds, now.since(self.began), now)
        };
        let history = &mut self.counts.borrow_mut().history;
        history.observe(alive, missing, now);
    }

    /// Finds out whether processes run at the addresses of entries that are not alive, if any
    /// replica has a quota.
    pub(super) fn probe_silent_entries(self: &Rc<Self>) {
        if self.knowledge.quotas.borrow().is_empty() {
            return;
        }
        let silent = self.knowledge.peers.borrow().silent(self.knowledge.now());
        for entry in silent.into_iter().take(PROBES_MAX) {
            let gateway = self.clone();
            actix_rt::spawn(async move {
                let connection = timeout(PROBE_TIMEOUT, TcpStream::connect(entry)).await;
                if let Ok(Err(error)) = connection
                    && error.kind() == io::ErrorKind::ConnectionRefused
                {
                    let now = gateway.knowledge.now();
                    let mut peers = gateway.knowledge.peers.borrow_mut();
                    peers.mark_refused(entry, now);
                }
            });
        }
    }

    /// Applies the report of a replica's sidecar that was made at `at`.
    pub(super) fn apply_load(&self, address: SocketAddr, load: &Load, at: Time) {
        self.pool.borrow_mut().report(address, load, at);
        let Some(report) = load.quota else {
            return;
        };
        let instances = self.pool.borrow().instances_at(address, load.born);
        for instance in instances {
            let knowledge = &self.knowledge;
            knowledge.merge_quota(&instance, report, Teller::Sidecar, at);
        }
    }

    /// Answers an entry that asks for a grant.
    pub(super) fn answer_grant(&self, request: &Request) -> Response {
        let now = self.knowledge.now();
        if let Some(report) = request.quota {
            let knowledge = &self.knowledge;
            knowledge.merge_quota(&request.instance, report, Teller::Entry, now);
        }
        let quota = self.knowledge.quotas.borrow().get(&request.instance);
        let Some(per_s) = quota.per_s(now) else {
            return Response::of(Ok(()));
        };
        let share = self.share(request, now);
        let mut counts = self.counts.borrow_mut();
        Response::of(counts.take(request, per_s, share, now))
    }

    /// The share of a replica's quota that this entry counts: none until its sidecar has been
    /// silent for long enough that no entry asks it.
    fn share(&self, request: &Request, now: Time) -> f64 {
        let sidecar = {
            let pool = self.pool.borrow();
            pool.key_of(&request.instance)
                .and_then(|key| pool.get(key)?.metering_report_age(now))
        };
        if sidecar.is_some_and(|age| age < share::SETTLING + peer::ALIVE_TIMEOUT) {
            return 0.0;
        }
        let subject = &request.instance.id;
        let history = &self.counts.borrow().history;
        history.share(subject, &request.hall, now)
    }
}

impl Dispatch {
    /// What this entry knows of the quota of the replica `key`.
    pub(super) fn quota_report(&self, key: Key) -> Option<quota::Report> {
        let knowledge = &self.gateway.knowledge;
        let instance = self.gateway.pool.borrow().get(key)?.record.instance();
        let quota = knowledge.quotas.borrow().get(&instance);
        quota.report(knowledge.now())
    }

    /// Takes a grant for this request if the replica `key` has a quota. `leased` is whether its
    /// sidecar has granted a lease, which counts. The error is the time after which to ask again.
    pub(super) async fn take_grant(&self, key: Key, leased: bool) -> Result<(), Duration> {
        let gateway = &self.gateway;
        let now = gateway.knowledge.now();
        let (instance, hall, metered) = {
            let pool = gateway.pool.borrow();
            let Some(replica) = pool.get(key) else {
                return Ok(());
            };
            if replica.quota_per_s(now).is_none() {
                return Ok(());
            }
            let record = &replica.record;
            let metered = replica.has_metering_sidecar(now);
            (record.instance(), record.hall.clone(), metered)
        };
        if leased && metered {
            return Ok(());
        }
        let request = Request {
            quota: self.quota_report(key),
            instance,
            hall,
            urgency: self.job.priority,
        };
        let counter = if metered {
            gateway.sidecar_of(key)
        } else {
            let entries = gateway.alive_entries(now);
            share::counter(&entries, &request.instance.id, &request.hall)
        };
        let answer = match counter {
            None => Response::denied(grant::RETRY_DELAY),
            Some(counter) if counter == gateway.setting.identity.address => {
                gateway.answer_grant(&request)
            }
            Some(counter) => self.ask_for_grant(counter, &request).await,
        };
        gateway.instruments.count_grant(answer.given);
        if answer.given {
            Ok(())
        } else {
            Err(Duration::from_millis(answer.wait_ms))
        }
    }

    async fn ask_for_grant(&self, counter: SocketAddr, request: &Request) -> Response {
        let knowledge = &self.gateway.knowledge;
        let recorder = Recorder::default();
        let answer = gossip::call_within::<_, Response>(
            knowledge,
            counter,
            grant::PATH,
            request,
            ANSWER_TIMEOUTS,
            &recorder,
        );
        answer.await.unwrap_or_else(|error| {
            log::info!(
                request = self.job.meta.id.as_str(), replica = &*request.instance.id,
                process:% = counter, connection:% = recorder;
                "no grant: {error}"
            );
            Response::denied(grant::RETRY_DELAY)
        })
    }

    /// Records that no request like this one is granted at the replica `key` for `wait`.
    pub(super) fn mark_quota_used(&self, key: Key, wait: Duration) {
        let now = self.gateway.knowledge.now();
        let mut pool = self.gateway.pool.borrow_mut();
        pool.mark_quota_used(key, self.job.priority, wait, now);
    }
}
