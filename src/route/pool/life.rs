//! Which lives of replicas the pool has: what the list and reports say of who is there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Key, Pool};
use crate::clock::Time;
use crate::config::catalog::ListedReplica;
use crate::member::replica::Record;
use crate::route::replica::{Load, Replica, Schedule};

impl Pool {
    /// Takes the list as it stands now, and what change of version each replica has before it.
    pub fn update(
        &mut self,
        list: &BTreeMap<Arc<str>, ListedReplica>,
        due: impl Fn(&Record) -> Option<Schedule>,
    ) {
        let tell_lives: BTreeSet<&str> = list
            .values()
            .filter(|listed| listed.record.born > 0)
            .map(|listed| &*listed.record.service)
            .collect();
        let usable = |listed: &ListedReplica| {
            // Where replicas tell when they started, an entry without that is by another writer.
            let tells = listed.record.born > 0 || !tell_lives.contains(&*listed.record.service);
            tells && (listed.removed_at.is_none() || listed.provisional)
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
                Some((key, _)) => self.begin_life(key, listed.record.clone()),
                None => {
                    let mut replica = Replica::new(listed.record.clone());
                    // The entry of a life may lapse and come back, and what it wants holds all the same.
                    replica.wish = self.wishes.of(&listed.record.instance());
                    let key = self.replicas.insert(replica);
                    self.ids.insert(id.clone(), key);
                    key
                }
            };
            let replica = &mut self.replicas[key];
            if replica.record.born == listed.record.born {
                replica.record = listed.record.clone();
            }
            replica.due = due(&listed.record);
        }
        self.index();
    }

    /// A later life of a replica begins. Whatever was believed of the earlier one goes with its key:
    /// weights, load, requests under way, pace, penalties, doubts. Returns the new key.
    fn begin_life(&mut self, earlier: Key, record: Record) -> Key {
        self.replicas.remove(earlier);
        self.reborn.push(record.address);
        let id = record.id.clone();
        let key = self.replicas.insert(Replica::new(record));
        self.ids.insert(id, key);
        key
    }

    /// Addresses of replicas of which a later life began since the last call: connections to the
    /// earlier one lead nowhere.
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.reborn)
    }

    fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Replica> {
        let here = self.addresses.get(&address).into_iter().flatten();
        here.filter_map(|&key| self.replicas.get(key))
    }

    /// The ids of the replicas that are known at `address`.
    pub fn ids_at(&self, address: SocketAddr) -> Vec<Arc<str>> {
        let here = self.at(address);
        here.map(|replica| replica.record.id.clone()).collect()
    }

    /// Whether the process beside a replica at `address` was heard of lately.
    pub fn recently_reported(&self, address: SocketAddr, now: Time) -> bool {
        self.at(address)
            .any(|replica| replica.reported(now).is_some())
    }

    /// Whether the life that started at `born` at `address` is over, where only the replicas of the ids `known` were: a later one is
    /// known there, or the process beside it finds nobody.
    pub fn superseded(
        &self,
        address: SocketAddr,
        born: u64,
        known: &[Arc<str>],
        now: Time,
    ) -> bool {
        let later = |replica: &Replica| {
            let reborn = born > 0 && replica.record.born > born;
            reborn || !known.contains(&replica.record.id)
        };
        self.at(address)
            .any(|replica| later(replica) || replica.dead(now))
    }

    fn index(&mut self) {
        self.services.clear();
        self.addresses.clear();
        for (key, replica) in &self.replicas {
            let address = replica.record.address;
            self.addresses.entry(address).or_default().push(key);
            let service = replica.record.service.clone();
            self.services.entry(service).or_default().push(key);
        }
    }

    /// The process beside the replica at `address` reported at `at`. Returns whether anyone is
    /// there.
    pub fn report(&mut self, address: SocketAddr, load: &Load, at: Time) -> bool {
        let Some(here) = self.addresses.get(&address).cloned() else {
            return false;
        };
        let instances = here.iter().map(|&key| self.replicas[key].record.born);
        let known = load.born > 0 && instances.clone().any(|born| born == load.born);
        let reborn = load.born > 0 && !known && instances.clone().any(|born| born < load.born);
        for key in here {
            let record = &self.replicas[key].record;
            if load.born == 0 || load.born == record.born {
                let instance = record.instance();
                self.apply_notice(key, &instance, load.notice(), at);
                self.replicas[key].report(load, at);
            } else if !known && record.born < load.born {
                // The list does not tell of this life yet.
                let record = record.restarted(load.born);
                let due = self.replicas[key].due.clone();
                let key = self.begin_life(key, record);
                self.replicas[key].due = due;
                self.replicas[key].report(load, at);
            }
        }
        if reborn {
            self.index();
        }
        true
    }
}
