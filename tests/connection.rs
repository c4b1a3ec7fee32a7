//! Which connections are closed when there are too many, or when they hold too much.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::limit::connection::{Key, Machine, Plan, Setting, Table, Verdict};
use quickcheck::quickcheck;

const SECOND: Duration = Duration::from_secs(1);

fn table(connections: usize, input_bytes: u64) -> Table {
    Table::new(Setting {
        connections,
        input_bytes,
    })
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
    let mut table = table(4, 0);
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
    let mut table = table(2, 0);
    let now = Time::default();
    for _ in 0..2 {
        let key = accepted(&mut table, now);
        table.begin(key);
    }
    assert_eq!(table.open(now + SECOND), Verdict::Refused);
    assert_eq!(table.count(), 2);
}

/// Guards against a sound client that is closed for what others have sent ahead.
#[test]
fn the_connection_that_holds_most_is_closed() {
    let mut table = table(10, 100);
    let now = Time::default();
    let [sound, large, last] = [0; 3].map(|_| accepted(&mut table, now));
    assert_eq!(table.set_input(sound, 20), None);
    assert_eq!(table.set_input(large, 70), None);
    assert_eq!(table.set_input(last, 30), Some(large));
    assert_eq!(table.input(), 50);
    table.close(sound);
    assert_eq!(table.input(), 30);
}

/// Guards against listeners that leave no descriptors for replicas, or none for a small machine's callers.
#[test]
fn listeners_leave_descriptors_on_each_machine() {
    for descriptors in [0, 200, 400, 2_048, 2_870, 4_100, 16_384] {
        let plan = Plan::on(Machine {
            descriptors,
            memory_bytes: 112 << 20,
        });
        let parts = [plan.callers, plan.peers, plan.checks, plan.checks];
        let all: usize = parts.iter().map(|part| part.connections).sum();
        assert!(parts.iter().all(|part| part.connections > 0));
        assert!(
            descriptors <= 200 || all + descriptors / 8 <= descriptors,
            "{descriptors}: {plan:?}"
        );
    }
}

quickcheck! {
    /// Guards against sums that drift, so that connections are closed without need or never.
    fn the_sums_are_those_of_the_open_connections(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut table = table(5, 50_000);
        let mut open: Vec<(Key, u64)> = Vec::new();
        let mut now = Time::default();
        for (action, place, bytes) in steps {
            now = now + SECOND / 4;
            let chosen = open.get(usize::from(place) % open.len().max(1)).copied();
            match (action % 5, chosen) {
                (0, _) | (_, None) => match table.open(now) {
                    Verdict::Accepted(key) => open.push((key, 0)),
                    Verdict::Replaces { new, old } => {
                        open.retain(|(key, _)| *key != old);
                        open.push((new, 0));
                    }
                    Verdict::Refused => {}
                },
                (1, Some((key, _))) => table.begin(key),
                (2, Some((key, _))) => table.end(key, now),
                (3, Some((key, _))) => {
                    table.close(key);
                    open.retain(|(other, _)| *other != key);
                }
                (_, Some((key, _))) => {
                    let closed = table.set_input(key, bytes.into());
                    for (other, held) in &mut open {
                        if *other == key {
                            *held = bytes.into();
                        }
                    }
                    open.retain(|(other, _)| Some(*other) != closed);
                }
            }
            let input: u64 = open.iter().map(|(_, held)| held).sum();
            if table.count() != open.len() || table.input() != input || input > 50_000 {
                return false;
            }
        }
        true
    }
}
