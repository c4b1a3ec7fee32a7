//! Follows the reports of targets: all of the entry's own hall, and a bounded sample of others.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use futures_util::StreamExt;
use rand::RngExt;

use super::Entry;
use crate::member::{Descriptor, Role, State};
use crate::route::{Load, ReplicaKey, Resource, hash_of};
use crate::wire::{self, Report};

/// First pause before a target is followed again, doubled up to [`PAUSE_MAX`].
const PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before a target is followed again.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// A target whose stream is quiet for so long is asked anew.
const QUIET: Duration = Duration::from_millis(2_500);

/// Follows targets until dropped.
pub async fn follow_targets(entry: Rc<Entry>) {
    let mut changed = entry.node.changed.subscribe();
    let mut follows: BTreeMap<Arc<str>, Follow> = BTreeMap::new();
    loop {
        review(&entry, &mut follows);
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// A target that is being followed; dropping it ends that.
struct Follow {
    address: std::net::SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Follow {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn review(entry: &Rc<Entry>, follows: &mut BTreeMap<Arc<str>, Follow>) {
    let wanted = wanted(entry);
    follows.retain(|name, _| {
        let kept = wanted.iter().any(|listed| listed.name == *name);
        if !kept {
            entry.table.borrow_mut().remove(name);
        }
        kept
    });
    for listed in wanted {
        let key = {
            let mut table = entry.table.borrow_mut();
            let key = table.add(&listed.name, &listed.hall, listed.address);
            table.set_listed_leaving(key, listed.state == State::Leaving);
            key
        };
        let moved = follows
            .get(&listed.name)
            .is_none_or(|follow| follow.address != listed.address);
        if moved {
            let address = listed.address;
            let task = actix_rt::spawn(follow(entry.clone(), key, address));
            follows.insert(listed.name.clone(), Follow { address, task });
        }
    }
}

/// All targets of the entry's hall, and of every other hall the first few by rendezvous hashing, so
/// that entries differ in whom they follow.
fn wanted(entry: &Entry) -> Vec<Descriptor> {
    let view = entry.node.view.borrow();
    let own_hall = &entry.node.setting.hall;
    let mut wanted = Vec::new();
    let mut remote: BTreeMap<Arc<str>, Vec<(u64, Descriptor)>> = BTreeMap::new();
    for listed in view.boxes().filter(|listed| listed.role != Role::Entry) {
        if listed.hall == *own_hall {
            wanted.push(listed.clone());
            continue;
        }
        let name = format!("{}\n{}", entry.node.setting.name, listed.name);
        let score = hash_of(name.as_bytes());
        let hall = remote.entry(listed.hall.clone()).or_default();
        hall.push((score, listed.clone()));
    }
    for mut ranked in remote.into_values() {
        ranked.sort_by_key(|(score, _)| *score);
        let chosen = ranked.into_iter().take(entry.setting.remote_targets);
        wanted.extend(chosen.map(|(_, listed)| listed));
    }
    wanted
}

async fn follow(entry: Rc<Entry>, key: ReplicaKey, address: std::net::SocketAddr) {
    let mut pause = PAUSE;
    loop {
        let heard = follow_once(&entry, key, address).await;
        pause = if heard {
            PAUSE
        } else {
            (pause * 2).min(PAUSE_MAX)
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(jitter)).await;
    }
}

/// Reads one target's reports until they end. Returns whether any came.
async fn follow_once(entry: &Entry, key: ReplicaKey, address: std::net::SocketAddr) -> bool {
    let url = format!("http://{address}/v1/report");
    let request = entry.node.client.0.get(url).send();
    let Ok(Ok(mut response)) = actix_rt::time::timeout(QUIET, request).await else {
        return false;
    };
    let mut decoder = wire::Decoder::default();
    let mut heard = false;
    while let Ok(Some(Ok(part))) = actix_rt::time::timeout(QUIET, response.next()).await {
        decoder.push(&part);
        loop {
            match decoder.next_frame::<Report>() {
                Ok(Some(report)) => {
                    heard = true;
                    let now = entry.node.clock.now();
                    entry.table.borrow_mut().report(key, load(report), now);
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!(target_address:% = address; "{error}");
                    return heard;
                }
            }
        }
    }
    heard
}

fn load(report: Report) -> Load {
    let versions = report.servable.into_iter().map(Resource::Version);
    let service = report.service.map(|name| Resource::Service(name.into()));
    Load {
        serves: versions.chain(service).collect(),
        leaving: report.leaving,
        boot: report.boot,
        in_flight: report.in_flight,
        capacity: report.capacity,
    }
}
