//! The replica instances in the pool, kept up to date from the replica list and from reports.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Key, Pool};
use crate::clock::Time;
use crate::config::catalog::ListedReplica;
use crate::member::replica::{Instance, Record};
use crate::route::replica::{Load, Replica, Schedule};

impl Pool {
    /// Applies the current replica list. `schedule` gives a replica's place in the rollout.
    pub fn update(
        &mut self,
        list: &BTreeMap<Arc<str>, ListedReplica>,
        schedule: impl Fn(&Record) -> Option<Schedule>,
    ) {
        let services_with_start_times: BTreeSet<&str> = list
            .values()
            .filter(|listed| listed.record.born > 0)
            .map(|listed| &*listed.record.service)
            .collect();
        let usable = |listed: &ListedReplica| {
            // Where a service's replicas tell when they started, an entry without that comes from
            // another writer.
            let same_writer = listed.record.born > 0
                || !services_with_start_times.contains(&*listed.record.service);
            same_writer && (listed.removed_at.is_none() || listed.provisional)
        };
        let gone: Vec<Arc<str>> = self
            .ids
            .keys()
            .filter(|id| !list.get(*id).is_some_and(usable))
            .cloned()
            .collect();
        for id in gone {
            if let Some(key) = self.ids.remove(&id) {
                self.replicas.remove(key);
            }
        }
        for (id, listed) in list.iter().filter(|(_, listed)| usable(listed)) {
            let instance = self
                .ids
                .get(id)
                .map(|&key| (key, self.replicas[key].record.born));
            let key = match instance {
                Some((key, born)) if born >= listed.record.born => key,
                Some((key, _)) => self.begin_instance(key, listed.record.clone()),
                None => {
                    let mut replica = Replica::new(listed.record.clone());
                    // The list entry of an instance may expire and come back; its suspension
                    // persists.
                    replica.suspension = self.suspensions.get(&listed.record.instance());
                    let key = self.replicas.insert(replica);
                    self.ids.insert(id.clone(), key);
                    key
                }
            };
            let replica = &mut self.replicas[key];
            if replica.record.born == listed.record.born {
                replica.record = listed.record.clone();
            }
            replica.schedule = schedule(&listed.record);
        }
        self.rebuild_indexes();
    }

    /// Replaces a replica by its later instance. All state of the earlier one goes with its key:
    /// weights, load, requests in flight, pace, pauses and invalidation. Returns the new key.
    fn begin_instance(&mut self, earlier: Key, record: Record) -> Key {
        self.replicas.remove(earlier);
        self.restarted.push(record.address);
        let id = record.id.clone();
        let key = self.replicas.insert(Replica::new(record));
        self.ids.insert(id, key);
        key
    }

    /// Addresses of replicas of which a later instance began since the last call. Connections to
    /// the earlier one are dead.
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.restarted)
    }

    fn replicas_at(&self, address: SocketAddr) -> impl Iterator<Item = &Replica> {
        let replicas = self.addresses.get(&address).into_iter().flatten();
        replicas.filter_map(|&key| self.replicas.get(key))
    }

    /// The instances known at `address`, or the one of them that started at `born` if that is not 0.
    pub fn instances_at(&self, address: SocketAddr, born: u64) -> Vec<Instance> {
        let replicas = self.replicas_at(address);
        let replicas = replicas.filter(|replica| born == 0 || replica.record.born == born);
        replicas.map(|replica| replica.record.instance()).collect()
    }

    /// The key of `instance`, if it is known.
    pub fn key_of(&self, instance: &Instance) -> Option<Key> {
        let key = *self.ids.get(&instance.id)?;
        (self.replicas.get(key)?.record.born == instance.born).then_some(key)
    }

    /// Ids of the known replicas at `address`.
    pub fn ids_at(&self, address: SocketAddr) -> Vec<Arc<str>> {
        let replicas = self.replicas_at(address);
        replicas.map(|replica| replica.record.id.clone()).collect()
    }

    /// Whether there is a fresh report of a replica at `address`.
    pub fn recently_reported(&self, address: SocketAddr, now: Time) -> bool {
        self.replicas_at(address)
            .any(|replica| replica.fresh_report(now).is_some())
    }

    /// Whether the instance that started at `born` at `address` is gone, where the replicas with
    /// the ids `known` were: a later instance or another replica is known there, or its sidecar
    /// has found for longer than a pause that the replica does not answer.
    pub fn superseded(
        &self,
        address: SocketAddr,
        born: u64,
        known: &[Arc<str>],
        now: Time,
    ) -> bool {
        let is_later = |replica: &Replica| {
            let restarted = born > 0 && replica.record.born > born;
            restarted || !known.contains(&replica.record.id)
        };
        self.replicas_at(address)
            .any(|replica| is_later(replica) || replica.has_crashed(now))
    }

    fn rebuild_indexes(&mut self) {
        self.services.clear();
        self.addresses.clear();
        for (key, replica) in &self.replicas {
            let address = replica.record.address;
            self.addresses.entry(address).or_default().push(key);
            let service = replica.record.service.clone();
            self.services.entry(service).or_default().push(key);
        }
    }

    /// Applies a report from the sidecar of the replica at `address`, received at `at`. Returns
    /// whether any replica is known there.
    pub fn report(&mut self, address: SocketAddr, load: &Load, at: Time) -> bool {
        let Some(replicas) = self.addresses.get(&address).cloned() else {
            return false;
        };
        let start_times = replicas.iter().map(|&key| self.replicas[key].record.born);
        let known = load.born > 0 && start_times.clone().any(|born| born == load.born);
        let restarted = load.born > 0 && !known && start_times.clone().any(|born| born < load.born);
        for key in replicas {
            let record = &self.replicas[key].record;
            if load.born == 0 || load.born == record.born {
                let instance = record.instance();
                self.apply_notice(key, &instance, load.notice(), at);
                self.replicas[key].report(load, at);
            } else if !known && record.born < load.born {
                // The replica list does not show this instance yet.
                let record = record.restarted(load.born);
                let schedule = self.replicas[key].schedule.clone();
                let key = self.begin_instance(key, record);
                self.replicas[key].schedule = schedule;
                self.replicas[key].report(load, at);
            }
        }
        if restarted {
            self.rebuild_indexes();
        }
        true
    }
}
