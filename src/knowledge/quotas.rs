//! Distributes the quotas that replicas state among entries.
//!
//! Heartbeats and their answers carry the known quotas. An entry to which a replica states a change
//! also notifies the entries of its hall and two entries of each other hall at once, which notify
//! those of theirs. Sidecars report the quotas of their replicas with the replicas' state.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use rand::RngExt;

use super::Knowledge;
use super::fanout::{self, Message};
use super::gossip;
use super::poison;
use crate::clock::Time;
use crate::config::catalog::Effect;
use crate::member::replica::Instance;
use crate::route::quota::{Change, InstanceReport, Report, Statement, Teller};

/// Longest delay before other entries are notified of a change. An entry that is notified of it
/// meanwhile, as a replica states its quota to many at once, notifies nobody.
const SHARE_DELAY_MAX: Duration = Duration::from_millis(100);

/// Notifies other entries of changes that replicas stated to this one, until dropped.
pub async fn run(knowledge: Rc<Knowledge>) {
    loop {
        knowledge.quotas_changed.notified().await;
        let delay = knowledge.rng.borrow_mut().random_range(0.0..1.0);
        sleep(SHARE_DELAY_MAX.mul_f64(delay)).await;
        if !knowledge.quotas.borrow().has_unshared() {
            continue;
        }
        knowledge.quotas.borrow_mut().mark_shared();
        fanout::send(&knowledge, &Message::Notice, knowledge.local_peers());
        let remote = poison::remote_receivers(&knowledge);
        gossip::send_heartbeats(&knowledge, remote, false);
    }
}

impl Knowledge {
    /// Records what `instance` states about its quota in response to a request sent at `sent_at`.
    pub fn record_quota(
        &self,
        instance: &Instance,
        statement: Statement,
        sent_at: Time,
    ) -> Option<Change> {
        let mut quotas = self.quotas.borrow_mut();
        let change = quotas.record(instance, statement, sent_at, self.now());
        drop(quotas);
        if change.is_some() {
            self.notify(Effect::Replicas);
            self.quotas_changed.notify_one();
        }
        change
    }

    /// Applies what another process reported at `at` of the quota of `instance`. Returns whether that
    /// changed anything.
    pub fn merge_quota(
        &self,
        instance: &Instance,
        report: Report,
        teller: Teller,
        at: Time,
    ) -> bool {
        let mut quotas = self.quotas.borrow_mut();
        let change = quotas.merge(instance, report, teller, at);
        drop(quotas);
        if let Some(change) = change {
            log::info!(
                replica = &*instance.id, origin:? = teller, age_ms = report.age_ms;
                "quota {change}"
            );
            self.notify(Effect::Replicas);
        }
        change.is_some()
    }

    /// Applies the quotas in a message from an entry in `hall`.
    pub(super) fn merge_quotas(&self, reports: &[InstanceReport], hall: &str) {
        let now = self.now();
        for told in reports {
            let changed = self.merge_quota(&told.instance, told.report, Teller::Entry, now);
            // The sender notifies only two entries of this hall.
            if changed && *hall != *self.identity.hall {
                self.quotas.borrow_mut().mark_unshared(&told.instance);
                self.quotas_changed.notify_one();
            }
        }
    }

    /// The quotas to tell another entry.
    pub(super) fn quota_reports(&self) -> Vec<InstanceReport> {
        if !self.identity.entry {
            return Vec::new();
        }
        self.quotas.borrow().reports(self.now())
    }
}
