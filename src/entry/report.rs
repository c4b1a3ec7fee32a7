//! Subscribes to the load reports of targets: of all in the entry's own hall, and of a bounded
//! sample in every other hall.

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

/// Delay before reconnecting to a target whose stream delivered a report. It doubles up to
/// [`BACKOFF_MAX`] with each connection that delivers none.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Maximum delay before reconnecting to a target.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A target is reconnected to if it sends nothing for this long.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Keeps the subscriptions in line with the box list until dropped.
pub async fn subscribe_targets(entry: Rc<Entry>) {
    let mut changed = entry.node.changed.subscribe();
    let mut subscriptions: BTreeMap<Arc<str>, Subscription> = BTreeMap::new();
    loop {
        update_subscriptions(&entry, &mut subscriptions);
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Subscription to a target's reports; dropping it ends the subscription.
struct Subscription {
    address: std::net::SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn update_subscriptions(entry: &Rc<Entry>, subscriptions: &mut BTreeMap<Arc<str>, Subscription>) {
    let targets = select_targets(entry);
    subscriptions.retain(|name, _| {
        let kept = targets.iter().any(|descriptor| descriptor.name == *name);
        if !kept {
            entry.table.borrow_mut().remove(name);
        }
        kept
    });
    for descriptor in targets {
        let key = {
            let mut table = entry.table.borrow_mut();
            let key = table.add(&descriptor.name, &descriptor.hall, descriptor.address);
            table.set_listed_leaving(key, descriptor.state == State::Leaving);
            key
        };
        let moved = subscriptions
            .get(&descriptor.name)
            .is_none_or(|subscription| subscription.address != descriptor.address);
        if moved {
            let address = descriptor.address;
            let task = actix_rt::spawn(subscribe(entry.clone(), key, address));
            subscriptions.insert(descriptor.name.clone(), Subscription { address, task });
        }
    }
}

/// Selects all targets of the entry's hall, and the first [`remote_targets`] of every other hall by
/// rendezvous hashing, so that different entries subscribe to different targets.
///
/// [`remote_targets`]: super::Setting::remote_targets
fn select_targets(entry: &Entry) -> Vec<Descriptor> {
    let view = entry.node.view.borrow();
    let own_hall = &entry.node.setting.hall;
    let mut targets = Vec::new();
    let mut remote: BTreeMap<Arc<str>, Vec<(u64, Descriptor)>> = BTreeMap::new();
    for descriptor in view
        .boxes()
        .filter(|descriptor| descriptor.role != Role::Entry)
    {
        if descriptor.hall == *own_hall {
            targets.push(descriptor.clone());
            continue;
        }
        let name = format!("{}\n{}", entry.node.setting.name, descriptor.name);
        let score = hash_of(name.as_bytes());
        let hall = remote.entry(descriptor.hall.clone()).or_default();
        hall.push((score, descriptor.clone()));
    }
    for mut ranked in remote.into_values() {
        ranked.sort_by_key(|(score, _)| *score);
        let chosen = ranked.into_iter().take(entry.setting.remote_targets);
        targets.extend(chosen.map(|(_, descriptor)| descriptor));
    }
    targets
}

/// Reads a target's reports, and reconnects with a jittered backoff whenever the stream ends.
async fn subscribe(entry: Rc<Entry>, key: ReplicaKey, address: std::net::SocketAddr) {
    let mut backoff = BACKOFF_MIN;
    loop {
        let received = read_reports(&entry, key, address).await;
        backoff = if received {
            BACKOFF_MIN
        } else {
            (backoff * 2).min(BACKOFF_MAX)
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(backoff.mul_f64(jitter)).await;
    }
}

/// Reads a target's reports until the stream ends. Returns whether it delivered any.
async fn read_reports(entry: &Entry, key: ReplicaKey, address: std::net::SocketAddr) -> bool {
    let url = format!("http://{address}/v1/report");
    let request = entry.node.client.0.get(url).send();
    let Ok(Ok(mut response)) = actix_rt::time::timeout(IDLE_TIMEOUT, request).await else {
        return false;
    };
    let mut decoder = wire::Decoder::default();
    let mut received = false;
    while let Ok(Some(Ok(part))) = actix_rt::time::timeout(IDLE_TIMEOUT, response.next()).await {
        decoder.push(&part);
        loop {
            match decoder.next_frame::<Report>() {
                Ok(Some(report)) => {
                    received = true;
                    let now = entry.node.clock.now();
                    entry.table.borrow_mut().report(key, load(report), now);
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!(target_address:% = address; "invalid report: {error}");
                    return received;
                }
            }
        }
    }
    received
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
