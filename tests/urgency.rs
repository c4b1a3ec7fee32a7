//! The urgency of requests, from the priorities of their customers and routes.

use std::sync::Arc;

use pumicelatch::config::routing::{Customer, Document, Route, Share};
use pumicelatch::config::urgency::{URGENCY_MAX, Urgencies};
use quickcheck::{TestResult, quickcheck};

const SERVICE: &str = "orders";

fn route(priority: u8) -> Route {
    Route {
        priority,
        shares: vec![Share {
            service: SERVICE.into(),
            weight: 1,
        }],
        ..Route::default()
    }
}

fn urgencies(customers: &[u8], routes: &[u8]) -> Urgencies {
    let customer = |priority: &u8| Customer {
        name: Arc::from(format!("c-{priority}")),
        keys: Vec::new(),
        priority: Some(*priority),
        residency: Default::default(),
    };
    Urgencies::new(&Document {
        customers: customers.iter().map(customer).collect(),
        routes: routes.iter().map(|priority| route(*priority)).collect(),
        ..Document::default()
    })
}

/// Guards against routes of different priority that become alike because all customers have one priority.
#[test]
fn routes_are_told_apart_where_customers_are_alike() {
    let urgencies = urgencies(&[1, 1, 1], &[0, 1, 2]);
    let [first, second, third] =
        [0, 1, 2].map(|priority| urgencies.of(SERVICE, Some(1), &route(priority)));
    assert!(first < second && second < third, "{first} {second} {third}");
}

/// Guards against a route that goes before the priority of a customer.
#[test]
fn the_priority_of_the_customer_goes_first() {
    let urgencies = urgencies(&[0, 1], &[0, 2]);
    let first = urgencies.of(SERVICE, Some(0), &route(2));
    assert!(first < urgencies.of(SERVICE, Some(1), &route(0)));
}

/// Guards against urgencies that change where the routes to a service have one priority.
#[test]
fn alike_routes_have_the_urgency_of_the_customer_or_else_their_own() {
    fn property(customers: Vec<u8>, priority: u8) -> bool {
        let urgencies = urgencies(&customers, &[priority, priority]);
        let route = route(priority);
        let own = customers.iter().all(|customer| {
            urgencies.of(SERVICE, Some(*customer), &route) == (*customer).min(URGENCY_MAX)
        });
        own && urgencies.of(SERVICE, None, &route) == priority.min(URGENCY_MAX)
    }
    quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

/// Guards against an order of urgency that is not that of the priorities, and against numbers that replicas do not
/// accept.
#[test]
fn urgencies_follow_the_priorities() {
    fn property(customers: Vec<u8>, routes: Vec<u8>) -> TestResult {
        if customers.is_empty() || routes.is_empty() {
            return TestResult::discard();
        }
        let urgencies = urgencies(&customers, &routes);
        let mut pairs: Vec<(u8, u8)> = customers
            .iter()
            .flat_map(|customer| routes.iter().map(|route| (*customer, *route)))
            .collect();
        pairs.sort_unstable();
        let ranks: Vec<u8> = pairs
            .iter()
            .map(|(customer, priority)| urgencies.of(SERVICE, Some(*customer), &route(*priority)))
            .collect();
        TestResult::from_bool(ranks.is_sorted() && ranks.iter().all(|rank| *rank <= URGENCY_MAX))
    }
    quickcheck(property as fn(Vec<u8>, Vec<u8>) -> TestResult);
}
