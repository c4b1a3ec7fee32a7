//! Heartbeats to entries, and what they bring back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Knowledge;
use super::readers::Readers;
use crate::exchange::{Options, Request};
use crate::wire::sync::{News, SYNC_PATH};

/// How often an entry asks others.
const EVERY: Duration = Duration::from_millis(500);

/// How often an entry asks others while it knows none: it has just begun, perhaps with all others.
const EVERY_ALONE: Duration = Duration::from_millis(120);

/// Processes beside replicas that are asked at a time.
const ASKED: usize = 2;

/// First rounds that follow each other soon while no other entry of the hall is known.
const ALONE_ROUNDS: u32 = 20;

/// Rounds between two in which the seeds and an entry of any hall are asked as well.
const SEED_ROUNDS: u32 = 6;

/// Shortest time between two rounds of telling that there is news.
const NEWS_GAP: Duration = Duration::from_millis(150);

/// How long a process may take to answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest answer: a configuration of many routes.
const NEWS_MAX: usize = 16 << 20;

/// Why a process brought no news.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] crate::exchange::Error),
    /// It took too long.
    #[error("no answer within {} ms", TIMEOUT.as_millis())]
    Timeout,
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
    knowledge: &Knowledge,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<(), Error> {
    let news: News = ask(knowledge, peer, path, message).await?;
    knowledge.take_news(peer, news);
    Ok(())
}

/// Sends `message` to another process of the system and reads its answer.
pub async fn ask<T: Serialize, A: DeserializeOwned>(
    knowledge: &Knowledge,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<A, Error> {
    let body = rmp_serde::to_vec_named(message).map_err(|error| Error::Codec {
        reason: error.to_string(),
    })?;
    let exchange = async {
        let head = Request::new(Method::POST, path).head(peer)?;
        let options = Options {
            connect_timeout: CONNECT_TIMEOUT,
            ..Options::default()
        };
        let body = Some(Bytes::from(body));
        let mut answer = knowledge.client.exchange(peer, head, body, options).await?;
        let body = answer.read(NEWS_MAX).await?;
        if !answer.status.is_success() {
            let status = answer.status.as_u16();
            return Err(Error::Status { status });
        }
        rmp_serde::from_slice(&body).map_err(|error| Error::Codec {
            reason: error.to_string(),
        })
    };
    timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| Error::Timeout)?
}

/// Exchanges heartbeats with other entries until dropped. `others` names processes beside replicas,
/// which know entries too: they are asked when no entry answers.
pub async fn run(knowledge: Rc<Knowledge>, others: impl Fn() -> Vec<SocketAddr>) {
    let mut round = 0;
    loop {
        for peer in targets(&knowledge, round, &others) {
            let knowledge = knowledge.clone();
            actix_rt::spawn(async move {
                let sync = knowledge.sync(true);
                if let Err(error) = post(&knowledge, peer, SYNC_PATH, &sync).await {
                    knowledge.lost(peer);
                    let lost = knowledge.count_lost_heartbeat();
                    if lost.is_power_of_two() {
                        log::warn!(peer:% = peer, lost; "heartbeat lost: {error}");
                    }
                }
            });
        }
        round += 1;
        knowledge.peers.borrow_mut().sweep(knowledge.now());
        let jitter = knowledge.rng.borrow_mut().random_range(0.8..1.2);
        let alone = round <= ALONE_ROUNDS && knowledge.fellows().is_empty();
        let pause = if alone { EVERY_ALONE } else { EVERY };
        sleep(pause.mul_f64(jitter)).await;
    }
}

/// Tells the other entries of the hall at once that there is news, if this one reads the store for
/// them. Runs until dropped.
pub async fn tell_news(knowledge: Rc<Knowledge>) {
    loop {
        knowledge.news.notified().await;
        let fellows = knowledge.fellows();
        if !Readers::is_reader(knowledge.identity.address, &fellows) {
            continue;
        }
        tell(&knowledge, fellows, false);
        sleep(NEWS_GAP).await;
    }
}

/// Sends a heartbeat to each of `processes`, which may well not answer. With `names_entries` it
/// tells the entries that this process knows, and wants to be told.
pub fn tell(knowledge: &Rc<Knowledge>, processes: Vec<SocketAddr>, names_entries: bool) {
    for process in processes {
        let knowledge = knowledge.clone();
        actix_rt::spawn(async move {
            let sync = knowledge.sync(names_entries);
            if let Err(error) = post(&knowledge, process, SYNC_PATH, &sync).await {
                log::debug!(process:% = process; "not told: {error}");
            }
        });
    }
}

/// Asks `peer`, which knows something newer, for its news.
pub async fn fetch_news(knowledge: Rc<Knowledge>, peer: SocketAddr) {
    // Several tell of the same news; a configuration is too long to be drawn twice.
    if knowledge.fetching.replace(true) {
        return;
    }
    let sync = knowledge.sync(false);
    if let Err(error) = post(&knowledge, peer, SYNC_PATH, &sync).await {
        log::warn!(peer:% = peer; "news lost: {error}");
    }
    knowledge.fetching.set(false);
}

fn targets(
    knowledge: &Knowledge,
    round: u32,
    others: impl Fn() -> Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    let now = knowledge.now();
    let mut rng = knowledge.rng.borrow_mut();
    let mut chosen = Readers::asked(&knowledge.fellows());
    let peers = knowledge.peers.borrow();
    // Bytes between halls are dear.
    let wide = round.is_multiple_of(SEED_ROUNDS);
    if wide || chosen.is_empty() {
        chosen.extend(peers.sample(1, now, &mut *rng));
    }
    let alone = chosen.is_empty();
    if alone || wide {
        let own = knowledge.identity.address;
        let seeds = knowledge.seeds.borrow();
        chosen.extend(seeds.iter().copied().filter(|seed| *seed != own));
    }
    if alone && round > SEED_ROUNDS {
        let mut others = others();
        for _ in 0..ASKED.min(others.len()) {
            let index = rng.random_range(0..others.len());
            chosen.push(others.swap_remove(index));
        }
    }
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}
