//! Asks a replica whether it still runs, after a response that ended with its connection.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::StatusCode;

use super::Gateway;
use super::job::Job;
use crate::config::routing::health_path_default;
use crate::exchange::liveness::{self, Contact, Doubt, Identity, Report};
use crate::exchange::{Request, Response};
use crate::knowledge::traffic::Purpose;
use crate::member::replica::Instance;

/// Probes the replica of an attempt.
pub(super) struct Probe {
    gateway: Rc<Gateway>,
    instance: Instance,
    health_path: Arc<str>,
    request: String,
}

impl fmt::Debug for Probe {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Probe({:?})", self.instance)
    }
}

impl Probe {
    /// A probe of `instance`, which runs the request of `job`.
    pub fn new(gateway: &Rc<Gateway>, job: &Job, instance: &Instance) -> Self {
        let service = job.routing.service(&job.service);
        Self {
            gateway: gateway.clone(),
            instance: instance.clone(),
            health_path: service
                .map_or_else(health_path_default, |service| service.health_path.clone()),
            request: job.meta.id.clone(),
        }
    }
}

impl liveness::Probe for Probe {
    fn request(&self, _: Contact) -> Request {
        self.gateway.knowledge.traffic.count(Purpose::Probe, 0);
        self.gateway
            .dialect
            .health_request(&self.instance.id, &self.health_path)
    }

    fn identify(&self, answer: &Response, body: &[u8]) -> Identity {
        let named = self.gateway.dialect.instance(&answer.headers, body);
        match liveness::identify(&self.instance, named.as_ref()) {
            Identity::Unknown if answer.status == StatusCode::MISDIRECTED_REQUEST => {
                Identity::Other
            }
            identity => identity,
        }
    }

    fn record(&self, report: &Report) {
        let outcome = match report.result {
            Ok(()) => "runs",
            Err(Doubt::SendFailed(_)) => "send_failed",
            Err(Doubt::Exited) => "exited",
            Err(Doubt::Replaced) => "replaced",
            Err(Doubt::Unconfirmed) => "unconfirmed",
        };
        self.gateway.instruments.count_closed_response(outcome);
        log::info!(
            request = self.request.as_str(), replica = &*self.instance.id, outcome,
            probes = report.probes, ms = report.took.as_millis() as u64;
            "response without a length ended with its connection: {report}"
        );
    }
}
