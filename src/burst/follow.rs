//! Announces the chunks of this box to its followers, and applies the announcements of the peers
//! that it follows.

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
use crate::spread::swarm::{Announcement, PeerKey};
use crate::wire::{self, Have};

/// Chunks received within this time are announced in one frame.
const COALESCE_DELAY: Duration = Duration::from_millis(10);

/// Maximum time between two frames, also if nothing has changed.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Delay before a peer is first followed again, doubled up to [`RECONNECT_DELAY_MAX`].
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Maximum of this delay.
const RECONNECT_DELAY_MAX: Duration = Duration::from_secs(1);

/// Timeout for the response of a peer, and for each further part of it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

impl Burst {
    /// Returns the announcements of this box for one follower, as a stream of encoded [`Have`]
    /// frames. The first frame lists all chunks held.
    pub fn have_stream(
        self: &Rc<Self>,
    ) -> impl Stream<Item = Result<Bytes, std::io::Error>> + 'static {
        let updates = self.updates.subscribe();
        let burst = Rc::downgrade(self);
        stream::unfold(
            (burst, updates, None),
            |(burst, mut updates, sent)| async move {
                if sent.is_some() {
                    let update = async {
                        if updates.changed().await.is_ok() {
                            sleep(COALESCE_DELAY).await;
                        }
                    };
                    let _ = actix_rt::time::timeout(HEARTBEAT_PERIOD, update).await;
                }
                updates.mark_unchanged();
                let strong = burst.upgrade()?;
                let from = sent.unwrap_or(0);
                let have = Have {
                    gained: strong.received.borrow()[from..].to_vec(),
                    load: strong.uploads.borrow().load() as u32,
                    manifest: strong.swarm.borrow().is_some(),
                    fetching: strong.origin_fetches(),
                    origin_age_ms: strong.origin_age(),
                };
                let sent = Some(from + have.gained.len());
                let frame = wire::encode(&have).map_err(std::io::Error::other);
                Some((frame, (burst, updates, sent)))
            },
        )
    }
}

/// Follows a peer until the task is aborted or the burst dropped.
pub(super) async fn follow(
    host: Rc<Host>,
    burst: Weak<Burst>,
    peer: Descriptor,
    key: Rc<Cell<Option<PeerKey>>>,
) {
    let mut pause = RECONNECT_DELAY;
    loop {
        let received = {
            let followed = pin!(follow_once(&host, &burst, &peer, &key));
            match select(followed, pin!(host.connections.reconnected())).await {
                Either::Left((received, _)) => received,
                Either::Right(_) => true,
            }
        };
        let Some(strong) = burst.upgrade() else {
            return;
        };
        if let (Some(key), Some(swarm)) = (key.take(), strong.swarm.borrow_mut().as_mut()) {
            swarm.remove_peer(key);
        }
        drop(strong);
        pause = if received {
            RECONNECT_DELAY
        } else {
            (pause * 2).min(RECONNECT_DELAY_MAX)
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(jitter)).await;
    }
}

/// Reads the frames of a peer until the stream ends. Returns whether there were any.
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
    let Ok(Ok(mut response)) = actix_rt::time::timeout(RESPONSE_TIMEOUT, request).await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    let mut decoder = wire::Decoder::default();
    let mut received = false;
    while let Ok(Some(Ok(part))) = actix_rt::time::timeout(RESPONSE_TIMEOUT, response.next()).await
    {
        decoder.push(&part);
        loop {
            let have: Have = match decoder.next_frame() {
                Ok(Some(have)) => have,
                Ok(None) => break,
                Err(error) => {
                    log::warn!(peer = &*peer.name; "{error}");
                    return received;
                }
            };
            let Some(strong) = burst.upgrade() else {
                return received;
            };
            received = true;
            strong.apply_announcement(host, peer, key, &have);
        }
    }
    received
}

impl Burst {
    fn apply_announcement(
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
                None => swarm.add_peer(peer.name.clone(), now),
            };
            key.set(Some(known));
            let announcement = Announcement {
                gained: &have.gained,
                load: have.load,
                fetching: &have.fetching,
                origin_age: have.origin_age_ms.map(Duration::from_millis),
            };
            swarm.update_peer(known, announcement, now);
        }
        if !have.gained.is_empty() {
            self.run_plan(host);
        }
    }
}
