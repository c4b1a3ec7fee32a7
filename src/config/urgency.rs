//! The urgency of a request, from the priorities of its customer and its route.
//!
//! A customer's priority goes before that of the route. Where customers have the same one, as when
//! all are of one class, the routes' priorities decide among their requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::routing::{Document, Route};

/// The lowest urgency that replicas distinguish.
pub const URGENCY_MAX: u8 = 9;

/// A customer's priority, or else its route's, and the route's.
type Pair = (u8, u8);

fn pair(customer: Option<u8>, route: u8) -> Pair {
    (customer.unwrap_or(route), route)
}

/// The urgencies of the requests to each service.
#[derive(Debug, Default)]
pub struct Urgencies {
    /// The pairs of each service whose routes differ, the most urgent first.
    ranks: BTreeMap<Arc<str>, Vec<Pair>>,
}

impl Urgencies {
    /// Ranks the requests that `document` allows.
    pub fn new(document: &Document) -> Self {
        let mut customers: BTreeSet<Option<u8>> = document
            .customers
            .iter()
            .map(|customer| customer.priority)
            .collect();
        customers.insert(None);
        let mut pairs: BTreeMap<Arc<str>, BTreeSet<Pair>> = BTreeMap::new();
        for route in &document.routes {
            for share in &route.shares {
                let known = pairs.entry(share.service.clone()).or_default();
                known.extend(customers.iter().map(|own| pair(*own, route.priority)));
            }
        }
        let differ = |pairs: &BTreeSet<Pair>| {
            let routes: BTreeSet<u8> = pairs.iter().map(|(_, route)| *route).collect();
            routes.len() > 1
        };
        let ranks = pairs.into_iter().filter(|(_, pairs)| differ(pairs));
        Self {
            ranks: ranks
                .map(|(service, pairs)| (service, pairs.into_iter().collect()))
                .collect(),
        }
    }

    /// The urgency of a request to `service`, 0 for the most urgent. If all routes to the service have
    /// the same priority, it is the customer's, or else the route's.
    pub fn of(&self, service: &str, customer: Option<u8>, route: &Route) -> u8 {
        let own = pair(customer, route.priority);
        match self.ranks.get(service) {
            Some(ranks) => {
                let rank = ranks.partition_point(|other| *other < own);
                u8::try_from(rank).map_or(URGENCY_MAX, |rank| rank.min(URGENCY_MAX))
            }
            None => own.0.min(URGENCY_MAX),
        }
    }
}
