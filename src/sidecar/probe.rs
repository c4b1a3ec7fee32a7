//! Asks the replica on this machine whether it still runs, after a response that ended with its
//! connection.

use std::fmt;
use std::rc::Rc;

use super::Sidecar;
use crate::config::routing::health_path_default;
use crate::exchange::liveness::{self, Contact, Identity, Report};
use crate::exchange::{Request, Response};
use crate::knowledge::traffic::Purpose;
use crate::member::replica::Instance;
use crate::run::Key;

/// Probes the replica that executes a run.
pub(super) struct Probe {
    sidecar: Rc<Sidecar>,
    run: Key,
    /// The replica's instance at the start of the run; its id is empty if it is not listed.
    instance: Instance,
}

impl fmt::Debug for Probe {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Probe({}, {:?})", self.run, self.instance)
    }
}

impl Probe {
    /// A probe of the replica, which executes `run`.
    pub fn new(sidecar: &Rc<Sidecar>, run: Key) -> Self {
        let listed = sidecar.replica_record().map(|record| record.id);
        Self {
            sidecar: sidecar.clone(),
            run,
            instance: Instance {
                id: listed.unwrap_or_default(),
                born: sidecar.born.get(),
            },
        }
    }

    /// Whether the replica's report on its state suffices. It shows the start time, but not the id.
    /// Unlike a health check, it does not wait for a slot.
    fn asks_for_state(&self, contact: Contact) -> bool {
        contact == Contact::Earlier || self.instance.born != 0
    }
}

impl liveness::Probe for Probe {
    fn request(&self, contact: Contact) -> Request {
        let Self {
            sidecar, instance, ..
        } = self;
        sidecar.knowledge.traffic.count(Purpose::Probe, 0);
        if self.asks_for_state(contact) {
            return sidecar.engine.state_request();
        }
        let summary = sidecar.knowledge.summary();
        let path = summary.map_or_else(health_path_default, |summary| summary.health_path);
        sidecar.engine.health_request(&instance.id, &path)
    }

    fn identify(&self, answer: &Response, body: &[u8]) -> Identity {
        if self.instance.id.is_empty() && self.instance.born == 0 {
            return Identity::Unknown;
        }
        let engine = &self.sidecar.engine;
        let named = engine.instance(&answer.headers, body);
        // A report on the state names no id, but only one replica listens here.
        let id = || self.instance.id.clone();
        let named = named.or_else(|| {
            let born = engine.born(body);
            (born != 0).then(|| Instance { id: id(), born })
        });
        liveness::identify(&self.instance, named.as_ref())
    }

    fn record(&self, report: &Report) {
        log::info!(
            run:% = self.run, probes = report.probes, ms = report.took.as_millis() as u64;
            "response without a length ended with its connection: {report}"
        );
    }
}
