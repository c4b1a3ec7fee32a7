//! Tree-based distribution of messages to all entries of a hall.
//!
//! A message lists its remaining receivers. The sender splits them into at most [`DEGREE`] branches
//! and sends the message to the first entry of each, which forwards it to the rest of the branch.
//! If all of these answer, no entry sends it more than [`DEGREE`] times, whatever the size of the hall.
//!
//! * Frames, which carry replica status, are forwarded unchanged on arrival.
//! * Notices of updates are forwarded once the forwarding entry has fetched the update, so that its
//!   receivers can fetch it from there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::timeout;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Knowledge;
use super::gossip::{self, Error};
use crate::clock::Time;
use crate::config::catalog::Revisions;
use crate::wire::sync::{FRAME_PATH, Heartbeat, SYNC_PATH, Update};

/// Maximum number of branches into which an entry splits the receivers of a message.
pub const DEGREE: usize = 4;

/// Path for forwarding a frame; the message is a [`ForwardedFrame`].
pub const FRAME_FORWARD_PATH: &str = "/v1/hall/frame/pass";

/// Path for forwarding a notice of an update; the message is a [`ForwardedSync`].
pub const SYNC_FORWARD_PATH: &str = "/v1/sync/pass";

/// How long an entry is ordered last among receivers after it failed to answer a message.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(4);

/// How long an entry waits for an announced update before it forwards the notice without having it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// A frame and the entries to forward it to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedFrame {
    /// The remaining receivers.
    pub receivers: Vec<SocketAddr>,
    /// A packed [`crate::wire::sync::Frame`].
    #[serde(with = "serde_bytes")]
    pub frame: Vec<u8>,
}

/// A notice of an update and the entries to forward it to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedSync {
    /// The remaining receivers.
    pub receivers: Vec<SocketAddr>,
    /// The heartbeat of the sender, whose revisions identify the update.
    pub sync: Heartbeat,
}

/// Splits `receivers` into at most [`DEGREE`] branches. The first entry of a branch forwards the
/// message to the others in it.
pub fn branches(receivers: &[SocketAddr]) -> Vec<Vec<SocketAddr>> {
    let count = DEGREE.min(receivers.len());
    (0..count)
        .map(|branch| {
            receivers
                .iter()
                .skip(branch)
                .step_by(count)
                .copied()
                .collect()
        })
        .collect()
}

/// Entries that recently failed to answer a message.
#[derive(Debug, Default)]
pub struct UnresponsiveEntries(BTreeMap<SocketAddr, Time>);

impl UnresponsiveEntries {
    /// Records whether an entry answered a message.
    pub fn record(&mut self, entry: SocketAddr, answered: bool, now: Time) {
        if answered {
            self.0.remove(&entry);
        } else {
            self.0.insert(entry, now);
        }
        self.0.retain(|_, at| now.since(*at) < UNRESPONSIVE_PERIOD);
    }

    /// Moves unresponsive entries to the end, so that they delay no other receiver.
    pub fn order(&self, mut receivers: Vec<SocketAddr>, now: Time) -> Vec<SocketAddr> {
        let unresponsive = |entry: &SocketAddr| {
            let at = self.0.get(entry);
            at.is_some_and(|at| now.since(*at) < UNRESPONSIVE_PERIOD)
        };
        receivers.sort_by_key(unresponsive);
        receivers
    }
}

/// A message to the entries of a hall.
#[derive(Debug, Clone)]
pub enum Message {
    /// A packed [`crate::wire::sync::Frame`].
    Frame(Bytes),
    /// A notice that this entry has an update.
    Notice,
}

/// Sends `message` to all `receivers`, directly or through other entries.
pub fn send(knowledge: &Rc<Knowledge>, message: &Message, receivers: Vec<SocketAddr>) {
    let receivers = knowledge
        .unresponsive
        .borrow()
        .order(receivers, knowledge.now());
    for branch in branches(&receivers) {
        let sending = send_branch(knowledge.clone(), message.clone(), branch);
        actix_rt::spawn(sending);
    }
}

/// Sends `message` to the entries of `branch` in turn until one accepts it and forwards it to those
/// after it.
async fn send_branch(knowledge: Rc<Knowledge>, message: Message, branch: Vec<SocketAddr>) {
    let mut branch = branch.as_slice();
    while let Some((&first, rest)) = branch.split_first() {
        let sent = message.send(&knowledge, first, rest).await;
        let now = knowledge.now();
        let mut unresponsive = knowledge.unresponsive.borrow_mut();
        unresponsive.record(first, sent.is_ok(), now);
        drop(unresponsive);
        match sent {
            Ok(update) => return gossip::apply_answer(&knowledge, first, update),
            Err(Error::Status { status }) if status == StatusCode::NOT_FOUND => {
                // Entries of earlier releases cannot forward and get the plain message.
                let (knowledge, message) = (knowledge.clone(), message.clone());
                actix_rt::spawn(async move {
                    if let Ok(update) = message.send(&knowledge, first, &[]).await {
                        gossip::apply_answer(&knowledge, first, update);
                    }
                });
            }
            Err(error) => {
                log::debug!(
                    entry:% = first, remaining = rest.len();
                    "failed to send a message to an entry of the hall: {error}"
                );
            }
        }
        branch = rest;
    }
}

impl Message {
    async fn send(
        &self,
        knowledge: &Knowledge,
        to: SocketAddr,
        rest: &[SocketAddr],
    ) -> Result<Update, Error> {
        match self {
            Self::Frame(frame) if rest.is_empty() => {
                gossip::call_encoded(knowledge, to, FRAME_PATH, frame.clone()).await
            }
            Self::Frame(frame) => {
                let forwarded = ForwardedFrame {
                    receivers: rest.to_vec(),
                    frame: frame.to_vec(),
                };
                gossip::call(knowledge, to, FRAME_FORWARD_PATH, &forwarded).await
            }
            Self::Notice if rest.is_empty() => {
                gossip::call(knowledge, to, SYNC_PATH, &knowledge.heartbeat(false)).await
            }
            Self::Notice => {
                let forwarded = ForwardedSync {
                    receivers: rest.to_vec(),
                    sync: knowledge.heartbeat(false),
                };
                gossip::call(knowledge, to, SYNC_FORWARD_PATH, &forwarded).await
            }
        }
    }
}

/// Fetches the update announced by another entry and forwards the notice.
pub async fn forward_notice(knowledge: Rc<Knowledge>, notice: ForwardedSync) {
    let revisions = notice.sync.revisions;
    let fetch = gossip::fetch_update(knowledge.clone(), notice.sync.from, revisions, false);
    actix_rt::spawn(fetch);
    if timeout(FETCH_TIMEOUT, wait_until_known(&knowledge, revisions))
        .await
        .is_err()
    {
        log::info!(from:% = notice.sync.from; "notice forwarded before the update was fetched");
    }
    send(&knowledge, &Message::Notice, notice.receivers);
}

async fn wait_until_known(knowledge: &Knowledge, revisions: Revisions) {
    let mut changed = knowledge.changed.subscribe();
    while knowledge.is_behind(revisions) {
        let _ = changed.changed().await;
    }
}
