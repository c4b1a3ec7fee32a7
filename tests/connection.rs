//! Which connections are closed when there are too many.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::limit::connection::{Key, Machine, Plan, Setting, Table, Verdict};

const SECOND: Duration = Duration::from_secs(1);

fn table(connections: usize) -> Table {
    Table::new(Setting { connections })
}

fn accepted(table: &mut Table, now: Time) -> Key {
    match table.open(now) {
        Verdict::Accepted(key) => key,
        other => panic!("{other:?}"),
    }
}

fn replaced(table: &mut Table, now: Time) -> Key {
    match table.open(now) {
        Verdict::Replaces { old, .. } => old,
        other => panic!("{other:?}"),
    }
}

/// Guards against silent connections that keep out callers, and cost those at rest their connections.
#[test]
fn connections_without_a_request_go_before_idle_ones_and_those_before_young_ones() {
    let mut table = table(4);
    let start = Time::default();
    let idle = accepted(&mut table, start);
    table.begin(idle);
    table.end(idle, start + SECOND);
    let busy = accepted(&mut table, start);
    table.begin(busy);
    let silent = accepted(&mut table, start + SECOND);
    let young = accepted(&mut table, start + 5 * SECOND / 2);
    let now = start + 3 * SECOND;
    assert_eq!(replaced(&mut table, now), silent);
    assert_eq!(replaced(&mut table, now), idle);
    assert_eq!(replaced(&mut table, now), young);
    assert_eq!(table.count(), 4);
}

/// Guards against requests that are cut off for new connections.
#[test]
fn a_connection_is_refused_when_all_others_are_busy() {
    let mut table = table(2);
    let now = Time::default();
    for _ in 0..2 {
        let key = accepted(&mut table, now);
        table.begin(key);
    }
    assert_eq!(table.open(now + SECOND), Verdict::Refused);
    assert_eq!(table.count(), 2);
}

/// Guards against listeners that leave no descriptors for replicas, or none for a small machine's callers.
#[test]
fn listeners_leave_descriptors_on_each_machine() {
    for descriptors in [0, 200, 400, 2_048, 2_870, 4_100, 16_384] {
        let plan = Plan::on(Machine { descriptors });
        let parts = [plan.callers, plan.peers, plan.checks, plan.checks];
        let all: usize = parts.iter().map(|part| part.connections).sum();
        assert!(parts.iter().all(|part| part.connections > 0));
        assert!(
            descriptors <= 200 || all + descriptors / 8 <= descriptors,
            "{descriptors}: {plan:?}"
        );
    }
}
