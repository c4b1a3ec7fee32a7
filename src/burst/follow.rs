//! Tells peers what this box gains, and listens to what they tell.

use std::cell::Cell;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::{Stream, StreamExt, stream};
use rand::RngExt;

use super::Burst;
use super::host::{Host, swarm_url};
use crate::member::Descriptor;
use crate::spread::swarm::{Notice, PeerKey};
use crate::wire::{self, Have};

/// Chunks gained within so long are told in one frame.
const COALESCE: Duration = Duration::from_millis(10);

/// How often a peer tells that it lives, with or without news.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// First pause before a peer is followed again, doubled up to [`FOLLOW_PAUSE_MAX`].
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before a peer is followed again.
const FOLLOW_PAUSE_MAX: Duration = Duration::from_secs(1);

/// A peer that does not answer for so long is asked anew.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

impl Burst {
    /// The stream of what this box gains, for one follower.
    pub fn have_stream(
        self: &Rc<Self>,
    ) -> impl Stream<Item = Result<Bytes, std::io::Error>> + 'static {
        let told = self.told.subscribe();
        let burst = Rc::downgrade(self);
        stream::unfold((burst, told, None), |(burst, mut told, sent)| async move {
            if sent.is_some() {
                let news = async {
                    if told.changed().await.is_ok() {
                        sleep(COALESCE).await;
                    }
                };
                let _ = actix_rt::time::timeout(HEARTBEAT, news).await;
            }
            told.mark_unchanged();
            let strong = burst.upgrade()?;
            let from = sent.unwrap_or(0);
            let have = Have {
                gained: strong.gained.borrow()[from..].to_vec(),
                load: strong.uploads.borrow().load() as u32,
                manifest: strong.swarm.borrow().is_some(),
                fetching: strong.drawing(),
                origin_age_ms: strong.origin_age(),
            };
            let sent = Some(from + have.gained.len());
            let frame = wire::encode(&have).map_err(std::io::Error::other);
            Some((frame, (burst, told, sent)))
        })
    }
}

/// Follows one peer until dropped.
pub(super) async fn follow(
    host: Rc<Host>,
    burst: Weak<Burst>,
    peer: Descriptor,
    key: Rc<Cell<Option<PeerKey>>>,
) {
    let mut pause = FOLLOW_PAUSE;
    loop {
        let heard = {
            let followed = pin!(follow_once(&host, &burst, &peer, &key));
            match select(followed, pin!(host.connections.reconnected())).await {
                Either::Left((heard, _)) => heard,
                Either::Right(_) => true,
            }
        };
        let Some(strong) = burst.upgrade() else {
            return;
        };
        if let (Some(key), Some(swarm)) = (key.take(), strong.swarm.borrow_mut().as_mut()) {
            swarm.leave(key);
        }
        drop(strong);
        pause = if heard {
            FOLLOW_PAUSE
        } else {
            (pause * 2).min(FOLLOW_PAUSE_MAX)
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(jitter)).await;
    }
}

/// Reads one peer's frames until they end. Returns whether any came.
async fn follow_once(
    host: &Rc<Host>,
    burst: &Weak<Burst>,
    peer: &Descriptor,
    key: &Cell<Option<PeerKey>>,
) -> bool {
    let Some(version) = burst.upgrade().map(|burst| burst.version) else {
        return false;
    };
    let url = format!("{}/have", swarm_url(peer.address, version));
    let request = host.connections.get(&url).send();
    let Ok(Ok(mut response)) = actix_rt::time::timeout(FOLLOW_TIMEOUT, request).await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    let mut decoder = wire::Decoder::default();
    let mut heard = false;
    while let Ok(Some(Ok(part))) = actix_rt::time::timeout(FOLLOW_TIMEOUT, response.next()).await {
        decoder.push(&part);
        loop {
            let have: Have = match decoder.next_frame() {
                Ok(Some(have)) => have,
                Ok(None) => break,
                Err(error) => {
                    log::warn!(peer = &*peer.name; "{error}");
                    return heard;
                }
            };
            let Some(strong) = burst.upgrade() else {
                return heard;
            };
            heard = true;
            strong.hear(host, peer, key, &have);
        }
    }
    heard
}

impl Burst {
    fn hear(
        self: &Rc<Self>,
        host: &Rc<Host>,
        peer: &Descriptor,
        key: &Cell<Option<PeerKey>>,
        have: &Have,
    ) {
        let now = host.clock.now();
        if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
            let known = match key.get() {
                Some(known) => known,
                None => swarm.join(peer.name.clone(), now),
            };
            key.set(Some(known));
            let notice = Notice {
                gained: &have.gained,
                load: have.load,
                drawing: &have.fetching,
                origin_age: have.origin_age_ms.map(Duration::from_millis),
            };
            swarm.notice(known, notice, now);
        }
        if !have.gained.is_empty() {
            self.plan(host);
        }
    }
}
