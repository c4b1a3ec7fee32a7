//! A repeat that was taken from its service's budget, until it is known what became of it.

use std::rc::Rc;
use std::sync::Arc;

use super::Gateway;
use crate::exchange;
use crate::request::attempt::Ended;
use crate::request::budget::Key;

/// A repeat. Dropped, it gives itself back if it was not sent; otherwise it may have been on its way until now.
pub struct Retry {
    gateway: Rc<Gateway>,
    service: Arc<str>,
    key: Key,
    sent: bool,
}

impl Retry {
    /// Takes one, if there is one.
    pub fn acquire(gateway: &Rc<Gateway>, service: &Arc<str>) -> Option<Self> {
        let now = gateway.knowledge.now();
        let entries = gateway.knowledge.peers.borrow().bound();
        let mut budget = gateway.budget(service);
        let key = budget.spend(gateway.setting.budget, entries, now)?;
        Some(Self {
            gateway: gateway.clone(),
            service: service.clone(),
            key,
            sent: false,
        })
    }

    /// It is about to be sent.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// The attempt that it was sent with ended so, or an answer to it has begun.
    pub fn settle(mut self, ended: Option<Ended>) {
        match ended {
            Some(Ended::NotSent) => self.sent = false,
            Some(Ended::Broken) => {}
            Some(Ended::Refused | Ended::Misdirected | Ended::Failed) | None => {
                let now = self.gateway.knowledge.now();
                self.gateway.budget(&self.service).arrived(self.key, now);
            }
        }
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        let mut budget = self.gateway.budget(&self.service);
        if self.sent {
            // What left just before its connection was closed is delivered within so long, or not at all.
            let latest = self.gateway.knowledge.now() + exchange::LOST;
            budget.arrived(self.key, latest);
        } else {
            budget.unsent(self.key);
        }
    }
}
