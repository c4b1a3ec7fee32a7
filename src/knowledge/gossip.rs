//! Calls to other processes of the system: heartbeats to entries, and updates and fetches in return.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_rt::time::sleep;
use bytes::Bytes;
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Knowledge;
use super::fanout::{self, FRAME_FORWARD_PATH, Message};
use super::fetches::Locality;
use super::poison;
use super::readers::Readers;
use super::rounds::{Round, RoundInput, RoundPlanner};
use super::traffic::Purpose;
use crate::config::catalog::Revisions;
use crate::exchange::{Options, Recorder, Request};
use crate::lease;
use crate::source::Topic;
use crate::timeout::{self, Progress};
use crate::wire::sync::{FRAME_PATH, HALL_PATH, Heartbeat, REPORT_PATH, SYNC_PATH, Update};

/// Minimum interval between two notices of updates.
const NOTICE_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without an answer on a used connection after which a message is sent again on a new one. A few
/// chunks of weights on a narrow link delay an answer by less, and a lost packet is retransmitted by then.
const HEDGE_AFTER: Duration = Duration::from_millis(250);

/// Maximum idle time after which a connection to another process is reused. While it is idle, the kernel
/// probes its other end every 1.5 s, and most exchanges occur either at least once a second or rarely.
pub const IDLE_MAX: Duration = Duration::from_secs(3);

/// Maximum size of an answer in bytes. The largest ones contain a configuration with many routes.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Why a call to a process failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] crate::exchange::Error),
    /// The call timed out or was cancelled.
    #[error(transparent)]
    Timeout(#[from] timeout::Error),
    /// The process answered with an error status.
    #[error("answered {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The codec rejected a message.
    #[error("codec: {reason}")]
    Codec {
        /// The codec's error message.
        reason: String,
    },
}

/// Sends `message` to another process of the system and applies the update in its answer.
pub async fn post<T: Serialize>(
    knowledge: &Rc<Knowledge>,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<(), Error> {
    post_recorded(knowledge, peer, path, message, &Recorder::default()).await
}

/// Like [`post`], and records in `recorder` which connection it uses.
pub async fn post_recorded<T: Serialize>(
    knowledge: &Rc<Knowledge>,
    peer: SocketAddr,
    path: &str,
    message: &T,
    recorder: &Recorder,
) -> Result<(), Error> {
    let call = Call::new(peer, path, encode(message)?);
    let update = call.exchange(knowledge, recorder, || true).await?;
    apply_answer(knowledge, peer, update);
    Ok(())
}

/// Applies the answer of `peer`, and fetches the configuration from it if it has a newer one.
pub fn apply_answer(knowledge: &Rc<Knowledge>, peer: SocketAddr, update: Update) {
    let (hall, revisions, entry) = (update.hall.clone(), update.revisions, update.entry);
    let digest = update.poison;
    knowledge.apply_update(peer, update);
    if entry {
        start_fetch(knowledge, peer, revisions, || knowledge.locality_of(&hall));
    }
    // Sidecars keep the cases for entries that start again all at the same time. They ask: only
    // entries answer.
    if entry && digest != knowledge.poison.borrow().digest(knowledge.now()) {
        actix_rt::spawn(poison::compare(knowledge.clone(), peer));
    }
}

/// Sends `message` to another process of the system and reads its answer.
pub async fn call<T: Serialize, A: DeserializeOwned>(
    knowledge: &Knowledge,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<A, Error> {
    let call = Call::new(peer, path, encode(message)?);
    call.exchange(knowledge, &Recorder::default(), || true)
        .await
}

/// Sends `message` to another process of the system and reads its answer. If a used connection brings
/// no answer within `timeout`, sends the message again on a new one, which has another `retry_timeout`.
/// Records in `recorder` which connection it uses.
pub async fn call_within<T: Serialize, A: DeserializeOwned>(
    knowledge: &Knowledge,
    peer: SocketAddr,
    path: &str,
    message: &T,
    (timeout, retry_timeout): (Duration, Duration),
    recorder: &Recorder,
) -> Result<A, Error> {
    let call = Call {
        hedge_after: Some(timeout),
        ..Call::new(peer, path, encode(message)?)
    };
    let after = timeout + retry_timeout;
    let answer = actix_rt::time::timeout(after, call.exchange(knowledge, recorder, || true)).await;
    answer.unwrap_or(Err(timeout::Error::NoAnswer { after }.into()))
}

/// Sends an already encoded message to another process of the system and reads its answer.
pub async fn call_encoded(
    knowledge: &Knowledge,
    peer: SocketAddr,
    path: &str,
    encoded: Bytes,
) -> Result<Update, Error> {
    let call = Call::new(peer, path, encoded);
    call.exchange(knowledge, &Recorder::default(), || true)
        .await
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    let body = rmp_serde::to_vec_named(message);
    body.map(Bytes::from).map_err(|error| Error::Codec {
        reason: error.to_string(),
    })
}

/// A message to another process of the system.
struct Call<'a> {
    peer: SocketAddr,
    path: &'a str,
    body: Bytes,
    /// Time without an answer on a used connection after which the message is sent again on a new one.
    hedge_after: Option<Duration>,
}

impl<'a> Call<'a> {
    fn new(peer: SocketAddr, path: &'a str, body: Bytes) -> Self {
        Self {
            peer,
            path,
            body,
            hedge_after: Some(HEDGE_AFTER),
        }
    }

    /// Sends the message and reads the answer for as long as `needed` returns true.
    async fn exchange<A: DeserializeOwned>(
        &self,
        knowledge: &Knowledge,
        recorder: &Recorder,
        needed: impl Fn() -> bool,
    ) -> Result<A, Error> {
        let progress = Progress::default();
        let exchange = async {
            let head = Request::new(Method::POST, self.path).head(self.peer)?;
            let options = Options {
                connect_timeout: CONNECT_TIMEOUT,
                idle_max: IDLE_MAX,
                hedge_after: self.hedge_after,
                ..Options::default()
            };
            let (client, body) = (&knowledge.client, Some(self.body.clone()));
            let answer = client.exchange_recorded(self.peer, head, body, options, recorder);
            let mut answer = answer.await?;
            let body = answer.read_tracked(ANSWER_BYTES_MAX, &progress).await?;
            let bytes = self.body.len() + body.len();
            knowledge.traffic.count(purpose(self.path), bytes);
            if !answer.status.is_success() {
                let status = answer.status.as_u16();
                return Err(Error::Status { status });
            }
            rmp_serde::from_slice(&body).map_err(|error| Error::Codec {
                reason: error.to_string(),
            })
        };
        let timeouts = timeout::Config::default();
        timeout::wait_while(exchange, &progress, timeouts, || {}, needed).await?
    }
}

fn purpose(path: &str) -> Purpose {
    match path {
        REPORT_PATH => Purpose::Report,
        HALL_PATH => Purpose::HallPoll,
        FRAME_PATH | FRAME_FORWARD_PATH => Purpose::Forward,
        lease::PATH => Purpose::Lease,
        poison::PATH | poison::TRIAL_PATH => Purpose::Poison,
        _ => Purpose::Heartbeat,
    }
}

/// Fetches the configuration, and the list of replicas if this entry has none yet, from `peer`, if
/// `revisions` show that the peer has them and [`Knowledge::begin_fetch`] selects it at its `locality`.
fn start_fetch(
    knowledge: &Rc<Knowledge>,
    peer: SocketAddr,
    revisions: Revisions,
    locality: impl FnOnce() -> Locality,
) {
    if !knowledge.needs_fetch(revisions) {
        return;
    }
    let locality = locality();
    if !knowledge.begin_fetch(peer, locality) {
        return;
    }
    let is_remote = matches!(locality, Locality::RemoteDelegate | Locality::Remote);
    let knowledge = knowledge.clone();
    actix_rt::spawn(async move {
        let heartbeat = Heartbeat {
            wants_routing: true,
            wants_list: true,
            ..knowledge.heartbeat(false)
        };
        let began = knowledge.now();
        let needed = || knowledge.needs_fetch(revisions);
        let result = fetch_while(&knowledge, peer, &heartbeat, needed).await;
        knowledge.finish_fetch(peer);
        let ms = knowledge.now().since(began).as_millis() as u64;
        match result {
            Ok(update) => {
                let bytes = update
                    .routing
                    .as_ref()
                    .map_or(0, |dated| dated.packed.len());
                let list_bytes = update.list.as_ref().map_or(0, |list| list.packed.len());
                log::info!(peer:% = peer, bytes, list_bytes, ms; "configuration fetched");
                knowledge.apply_update(peer, update);
                if is_remote {
                    // The hall's readers may have no connection to the store.
                    fanout::send(&knowledge, &Message::Notice, knowledge.local_peers());
                }
            }
            Err(Error::Timeout(timeout::Error::Cancelled)) => {}
            Err(error) => log::warn!(peer:% = peer, ms; "failed to fetch configuration: {error}"),
        }
    });
}

/// Sends `heartbeat`, which requests missing state, and waits for the answer while it is `needed`. The
/// message is not sent again on a new connection: the answer may be large and take the peer long to
/// write.
async fn fetch_while(
    knowledge: &Knowledge,
    peer: SocketAddr,
    heartbeat: &Heartbeat,
    needed: impl Fn() -> bool,
) -> Result<Update, Error> {
    let call = Call {
        hedge_after: None,
        ..Call::new(peer, SYNC_PATH, encode(heartbeat)?)
    };
    call.exchange(knowledge, &Recorder::default(), needed).await
}

/// Exchanges heartbeats with other entries until dropped. `sidecars` returns the addresses of sidecars,
/// which also know entries and are asked if no entry answers.
pub async fn run(knowledge: Rc<Knowledge>, sidecars: impl Fn() -> Vec<SocketAddr>) {
    let mut planner = RoundPlanner::default();
    loop {
        let round = plan_round(&knowledge, &mut planner, &sidecars);
        for peer in round.targets {
            let knowledge = knowledge.clone();
            actix_rt::spawn(async move {
                let heartbeat = knowledge.heartbeat_with(round.peer_exchange);
                if let Err(error) = post(&knowledge, peer, SYNC_PATH, &heartbeat).await {
                    knowledge.mark_unreachable(peer);
                    if let Some(lost) = knowledge.heartbeat_failures.count() {
                        log::warn!(peer:% = peer, lost; "heartbeat failed: {error}");
                    }
                }
            });
        }
        knowledge.peers.borrow_mut().remove_expired(knowledge.now());
        let jitter = knowledge.rng.borrow_mut().random_range(0.8..1.2);
        sleep(round.pause.mul_f64(jitter)).await;
    }
}

fn plan_round(
    knowledge: &Knowledge,
    planner: &mut RoundPlanner,
    sidecars: impl Fn() -> Vec<SocketAddr>,
) -> Round {
    let input = RoundInput {
        own: knowledge.identity.address,
        hall: &knowledge.identity.hall,
        peers: &knowledge.peers.borrow(),
        seeds: &knowledge.seeds.borrow(),
        lacks_initial_state: knowledge.lacks_initial_state(),
    };
    let mut rng = knowledge.rng.borrow_mut();
    planner.plan(input, sidecars, knowledge.now(), &mut *rng)
}

/// Notifies the other entries of the hall of updates without delay if this one reads the store for them,
/// either regularly or in place of a reader that receives no answers. Runs until dropped.
pub async fn announce_updates(knowledge: Rc<Knowledge>) {
    loop {
        knowledge.update_notify.notified().await;
        let local_peers = knowledge.local_peers();
        let is_reader = Readers::is_reader(knowledge.identity.address, &local_peers);
        if !is_reader && !knowledge.reads(Topic::Operator) {
            continue;
        }
        fanout::send(&knowledge, &Message::Notice, local_peers);
        sleep(NOTICE_INTERVAL).await;
    }
}

/// Sends a heartbeat to each of `processes`, which need not answer. With `names_entries`, it lists the
/// entries that this process knows and requests those that the receivers know.
pub fn send_heartbeats(knowledge: &Rc<Knowledge>, processes: Vec<SocketAddr>, names_entries: bool) {
    for process in processes {
        let knowledge = knowledge.clone();
        actix_rt::spawn(async move {
            let heartbeat = knowledge.heartbeat(names_entries);
            if let Err(error) = post(&knowledge, process, SYNC_PATH, &heartbeat).await {
                log::debug!(process:% = process; "failed to send a heartbeat: {error}");
            }
        });
    }
}

/// Fetches an update from `peer` of the own hall, whose `revisions` are newer than those of this process.
/// If `is_hub` is set, the peer sends frames to the whole hall, and the configuration is fetched from
/// it only after a delay.
pub async fn fetch_update(
    knowledge: Rc<Knowledge>,
    peer: SocketAddr,
    revisions: Revisions,
    is_hub: bool,
) {
    start_fetch(&knowledge, peer, revisions, || {
        knowledge.locality_in_own_hall(is_hub)
    });
    // The fetch of the configuration includes everything else, but completes later.
    if !knowledge.is_behind(revisions.without_routing()) {
        return;
    }
    // Several processes may announce the same update.
    if knowledge.fetching.replace(true) {
        return;
    }
    let heartbeat = knowledge.heartbeat(false);
    if let Err(error) = post(&knowledge, peer, SYNC_PATH, &heartbeat).await {
        log::warn!(peer:% = peer; "failed to fetch an update: {error}");
    }
    knowledge.fetching.set(false);
}
