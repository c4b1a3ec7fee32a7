//! Heartbeats to entries, and what they bring back.

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
use super::draws::Place;
use super::fanout::{self, FRAME_FORWARD_PATH, Message};
use super::poison;
use super::readers::Readers;
use super::rounds::{Round, RoundInput, RoundPlanner};
use super::traffic::Purpose;
use crate::config::catalog::Revisions;
use crate::exchange::{Note, Options, Request};
use crate::lease;
use crate::source::Topic;
use crate::timeout::{self, Progress};
use crate::wire::sync::{FRAME_PATH, HALL_PATH, Heartbeat, REPORT_PATH, SYNC_PATH, Update};

/// Shortest time between two rounds of telling that there is news.
const NEWS_GAP: Duration = Duration::from_millis(150);

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a used connection may leave a message unanswered before it is sent again on a new one: a few
/// chunks of weights on a narrow link hold it up for less, and a packet that was lost is sent again by then.
const RENEWS_AFTER: Duration = Duration::from_millis(250);

/// Longest rest of a connection to another process that is used again: while it rests, the kernel
/// probes its other end every 1.5 s, and most exchanges come at least once a second or rarely.
pub const IDLE_MAX: Duration = Duration::from_secs(3);

/// Longest answer: a configuration of many routes.
const NEWS_MAX: usize = 16 << 20;

/// Why a process brought no news.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] crate::exchange::Error),
    /// It was not waited for any longer.
    #[error(transparent)]
    Patience(#[from] timeout::Error),
    /// It answered with a failure.
    #[error("answered {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The codec rejects a message.
    #[error("codec: {reason}")]
    Codec {
        /// What it reported.
        reason: String,
    },
}

/// Sends `message` to another process of the system and takes the news that it answers.
pub async fn post<T: Serialize>(
    knowledge: &Rc<Knowledge>,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<(), Error> {
    post_noting(knowledge, peer, path, message, &Note::default()).await
}

/// Does the same, and notes which connection it takes.
pub async fn post_noting<T: Serialize>(
    knowledge: &Rc<Knowledge>,
    peer: SocketAddr,
    path: &str,
    message: &T,
    note: &Note,
) -> Result<(), Error> {
    let call = Call::new(peer, path, packed(message)?);
    let news = call.exchange(knowledge, note, || true).await?;
    apply_answer(knowledge, peer, news);
    Ok(())
}

/// Takes what `peer` answered, and draws the configuration from it if that is newer there.
pub fn apply_answer(knowledge: &Rc<Knowledge>, peer: SocketAddr, news: Update) {
    let (hall, revisions, entry) = (news.hall.clone(), news.revisions, news.entry);
    let digest = news.poison;
    knowledge.apply_update(peer, news);
    if entry {
        draw(knowledge, peer, revisions, || knowledge.place_of(&hall));
    }
    let both = entry && knowledge.identity.entry;
    if both && digest != knowledge.poison.borrow().digest(knowledge.now()) {
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
    let call = Call::new(peer, path, packed(message)?);
    call.exchange(knowledge, &Note::default(), || true).await
}

/// Sends `message` to another process of the system and reads its answer, which is due `within`. If
/// a used connection brings none, it is sent again on a new one, over which it is due within `again`.
/// Notes which connection it takes.
pub async fn call_within<T: Serialize, A: DeserializeOwned>(
    knowledge: &Knowledge,
    peer: SocketAddr,
    path: &str,
    message: &T,
    (within, again): (Duration, Duration),
    note: &Note,
) -> Result<A, Error> {
    let call = Call {
        renews_after: Some(within),
        ..Call::new(peer, path, packed(message)?)
    };
    let after = within + again;
    let answer = actix_rt::time::timeout(after, call.exchange(knowledge, note, || true)).await;
    answer.unwrap_or(Err(timeout::Error::NoAnswer { after }.into()))
}

/// Sends an already encoded message to another process of the system and reads its answer.
pub async fn call_encoded(
    knowledge: &Knowledge,
    peer: SocketAddr,
    path: &str,
    packed: Bytes,
) -> Result<Update, Error> {
    let call = Call::new(peer, path, packed);
    call.exchange(knowledge, &Note::default(), || true).await
}

fn packed<T: Serialize>(message: &T) -> Result<Bytes, Error> {
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
    /// How long a used connection may leave it unanswered before it is sent again on a new one.
    renews_after: Option<Duration>,
}

impl<'a> Call<'a> {
    fn new(peer: SocketAddr, path: &'a str, body: Bytes) -> Self {
        Self {
            peer,
            path,
            body,
            renews_after: Some(RENEWS_AFTER),
        }
    }

    /// Sends it and reads the answer while that is `needed`.
    async fn exchange<A: DeserializeOwned>(
        &self,
        knowledge: &Knowledge,
        note: &Note,
        needed: impl Fn() -> bool,
    ) -> Result<A, Error> {
        let progress = Progress::default();
        let exchange = async {
            let head = Request::new(Method::POST, self.path).head(self.peer)?;
            let options = Options {
                connect_timeout: CONNECT_TIMEOUT,
                idle_max: IDLE_MAX,
                renews_after: self.renews_after,
                ..Options::default()
            };
            let (client, body) = (&knowledge.client, Some(self.body.clone()));
            let answer = client.exchange_noting(self.peer, head, body, options, note);
            let mut answer = answer.await?;
            let body = answer.read_noting(NEWS_MAX, &progress).await?;
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
        let waits = timeout::Config::default();
        timeout::wait_while(exchange, &progress, waits, || {}, needed).await?
    }
}

fn purpose(path: &str) -> Purpose {
    match path {
        REPORT_PATH => Purpose::Report,
        HALL_PATH => Purpose::HallPoll,
        FRAME_PATH | FRAME_FORWARD_PATH => Purpose::Forward,
        lease::PATH => Purpose::Place,
        poison::PATH | poison::TRY_PATH => Purpose::Poison,
        _ => Purpose::Heartbeat,
    }
}

/// Draws the configuration, and the list of replicas if this entry has none yet, from `peer`, if
/// `marks` show that the peer has them and [`Knowledge::begins_draw`] selects it at its `place`.
fn draw(
    knowledge: &Rc<Knowledge>,
    peer: SocketAddr,
    revisions: Revisions,
    place: impl FnOnce() -> Place,
) {
    if !knowledge.needs_draw(revisions) {
        return;
    }
    let place = place();
    if !knowledge.begins_draw(peer, place) {
        return;
    }
    let far = matches!(place, Place::FarForAll | Place::Far);
    let knowledge = knowledge.clone();
    actix_rt::spawn(async move {
        let sync = Heartbeat {
            wants_routing: true,
            wants_list: true,
            ..knowledge.heartbeat(false)
        };
        let began = knowledge.now();
        let needed = || knowledge.needs_draw(revisions);
        let drawn = draw_while(&knowledge, peer, &sync, needed).await;
        knowledge.drew(peer);
        let ms = knowledge.now().since(began).as_millis() as u64;
        match drawn {
            Ok(news) => {
                let bytes = news.routing.as_ref().map_or(0, |dated| dated.packed.len());
                let list_bytes = news.list.as_ref().map_or(0, |list| list.packed.len());
                log::info!(peer:% = peer, bytes, list_bytes, ms; "configuration drawn");
                knowledge.apply_update(peer, news);
                if far {
                    // The hall's readers of the store may be cut off from it.
                    fanout::send(&knowledge, &Message::Notice, knowledge.local_peers());
                }
            }
            Err(Error::Patience(timeout::Error::Cancelled)) => {}
            Err(error) => log::warn!(peer:% = peer, ms; "configuration not drawn: {error}"),
        }
    });
}

/// Asks for what `sync` tells to be lacking while that is `needed`. It is not sent twice: the answer may
/// be long, and its sender may take its time to write it.
async fn draw_while(
    knowledge: &Knowledge,
    peer: SocketAddr,
    sync: &Heartbeat,
    needed: impl Fn() -> bool,
) -> Result<Update, Error> {
    let call = Call {
        renews_after: None,
        ..Call::new(peer, SYNC_PATH, packed(sync)?)
    };
    call.exchange(knowledge, &Note::default(), needed).await
}

/// Exchanges heartbeats with other entries until dropped. `others` names processes beside replicas,
/// which know entries too: they are asked when no entry answers.
pub async fn run(knowledge: Rc<Knowledge>, others: impl Fn() -> Vec<SocketAddr>) {
    let mut planner = RoundPlanner::default();
    loop {
        let round = plan_round(&knowledge, &mut planner, &others);
        for peer in round.targets {
            let knowledge = knowledge.clone();
            actix_rt::spawn(async move {
                let sync = knowledge.heartbeat_with(round.peer_exchange);
                if let Err(error) = post(&knowledge, peer, SYNC_PATH, &sync).await {
                    knowledge.mark_unreachable(peer);
                    if let Some(lost) = knowledge.lost_heartbeats.count() {
                        log::warn!(peer:% = peer, lost; "heartbeat lost: {error}");
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
    others: impl Fn() -> Vec<SocketAddr>,
) -> Round {
    let input = RoundInput {
        own: knowledge.identity.address,
        hall: &knowledge.identity.hall,
        peers: &knowledge.peers.borrow(),
        seeds: &knowledge.seeds.borrow(),
        lacks_initial_state: knowledge.lacks_initial_state(),
    };
    let mut rng = knowledge.rng.borrow_mut();
    planner.plan(input, others, knowledge.now(), &mut *rng)
}

/// Tells the other entries of the hall at once that there is news, if this one reads the store for
/// them, for good or in place of one that hears nothing. Runs until dropped.
pub async fn announce_updates(knowledge: Rc<Knowledge>) {
    loop {
        knowledge.news.notified().await;
        let local_peers = knowledge.local_peers();
        let reader = Readers::is_reader(knowledge.identity.address, &local_peers);
        if !reader && !knowledge.reads(Topic::Operator) {
            continue;
        }
        fanout::send(&knowledge, &Message::Notice, local_peers);
        sleep(NEWS_GAP).await;
    }
}

/// Sends a heartbeat to each of `processes`, which may well not answer. With `names_entries` it
/// tells the entries that this process knows, and wants to be told.
pub fn send_heartbeats(knowledge: &Rc<Knowledge>, processes: Vec<SocketAddr>, names_entries: bool) {
    for process in processes {
        let knowledge = knowledge.clone();
        actix_rt::spawn(async move {
            let sync = knowledge.heartbeat(names_entries);
            if let Err(error) = post(&knowledge, process, SYNC_PATH, &sync).await {
                log::debug!(process:% = process; "not told: {error}");
            }
        });
    }
}

/// Fetches news from `peer` of the own hall, whose `marks` are newer than those of this process.
/// With `is_hub`, the peer sends frames to the whole hall, and the configuration is drawn from it
/// only after a delay.
pub async fn fetch_update(
    knowledge: Rc<Knowledge>,
    peer: SocketAddr,
    revisions: Revisions,
    is_hub: bool,
) {
    draw(&knowledge, peer, revisions, || {
        knowledge.place_in_own_hall(is_hub)
    });
    // A draw brings all the rest too, but later.
    if !knowledge.is_behind(revisions.without_routing()) {
        return;
    }
    // Several tell of the same news.
    if knowledge.fetching.replace(true) {
        return;
    }
    let sync = knowledge.heartbeat(false);
    if let Err(error) = post(&knowledge, peer, SYNC_PATH, &sync).await {
        log::warn!(peer:% = peer; "news lost: {error}");
    }
    knowledge.fetching.set(false);
}
