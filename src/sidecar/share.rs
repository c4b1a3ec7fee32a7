//! The hall of an entry that asks for a lease, and reports of the fair shares at the replica.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use opentelemetry::KeyValue;

use super::Sidecar;
use crate::lease;
use crate::limit::fair::{self, Change, Sort};

/// Interval at which the shares are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

impl Sidecar {
    /// `request` with the hall of the entry that sends it, if that is known.
    pub(super) fn with_hall(&self, request: &lease::Request) -> lease::Request {
        let peers = self.knowledge.peers.borrow();
        let hall = request.from.and_then(|from| peers.hall(from));
        lease::Request {
            hall: fair::group(hall),
            ..request.clone()
        }
    }
}

/// Reports which groups are throttled until dropped.
pub async fn report(sidecar: Rc<Sidecar>) {
    let throttled = sidecar
        .metrics
        .meter()
        .u64_gauge("pumicelatch.agent.fair")
        .with_description("Groups of requests that are over their fair share, by sort")
        .build();
    loop {
        sleep(REPORT_INTERVAL).await;
        let now = sidecar.knowledge.now();
        let mut ledger = sidecar.ledger.borrow_mut();
        ledger.shares.settle(now);
        for sort in Sort::ALL {
            let count = ledger.shares.throttled(sort) as u64;
            throttled.record(count, &[KeyValue::new("sort", sort.name())]);
        }
        if let Some(change) = ledger.shares.take_change(now) {
            log_change(&change);
        }
    }
}

fn log_change(change: &Change) {
    let millis = |time: Duration| time.as_millis() as u64;
    log::info!(
        urgency = change.urgency, sort = change.sort.name(), group = change.group,
        share_ms:? = change.share.map(millis), asked_ms = millis(change.asked),
        granted_ms = millis(change.granted);
        "throttling of a group {}", if change.starts { "starts" } else { "ends" }
    );
}
