//! Tests of execution guarantees: a request that is reported as not run was not executed, and a
//! non-repeatable request is executed at most once.

mod common;

use std::time::Duration;

use common::{Served, Shape, run, until};
use pumicelatch::bench::caller::{Ask, Caller, Seen, Told};
use pumicelatch::entry::caller::Code;
use pumicelatch::request::Outcome;
use pumicelatch::standin::engine;

fn with_services(entries: usize) -> Shape {
    Shape {
        boxes: 1,
        services: 3,
        entries,
        engine: engine::Setting {
            first_token: Duration::from_millis(300),
            ..engine::Setting::default()
        },
        ..Shape::default()
    }
}

fn code(seen: &Seen) -> Option<Code> {
    match &seen.told {
        Told::Refused(failure) => Some(failure.code),
        _ => None,
    }
}

/// Index of the box that a key is bound to.
fn bound_box(served: &Served, key: &str) -> usize {
    let boxes = &served.fleet.boxes;
    let found = boxes
        .iter()
        .position(|member| key.starts_with(&format!("{}~", member.name)));
    found.expect("the key names a box")
}

/// Number of executions at the plain services so far.
fn service_runs(served: &Served) -> u32 {
    served.fleet.runs.total()
}

#[test]
fn a_repeat_with_the_same_key_through_another_entry_receives_the_first_answer() {
    run(async {
        let served = Served::start(with_services(2)).await;
        let key = served.caller.key(&served.entry(0)).await.unwrap();
        let headers = Caller::keyed(&key);
        let first = served
            .caller
            .call(&served.entry(0), "boat 1", &headers)
            .await;
        let repeat = served
            .caller
            .call(&served.entry(1), "boat 1", &headers)
            .await;
        assert_eq!(first.told, Told::Whole);
        assert_eq!(repeat.told, Told::Whole);
        assert_eq!(first.run, repeat.run, "the answer of the first execution");
        assert_eq!(service_runs(&served), 1);
    });
}

#[test]
fn concurrent_requests_with_the_same_key_through_two_entries_are_executed_once() {
    run(async {
        let served = Served::start(with_services(2)).await;
        let key = served.caller.key(&served.entry(0)).await.unwrap();
        let headers = Caller::keyed(&key);
        let (entry_a, entry_b) = (served.entry(0), served.entry(1));
        let calls = (0..8).map(|number| {
            let entry = if number % 2 == 0 { &entry_a } else { &entry_b };
            served.caller.call(entry, "boat 2", &headers)
        });
        let all = futures_util::future::join_all(calls).await;
        assert_eq!(service_runs(&served), 1);
        let complete = all.iter().filter(|seen| seen.told == Told::Whole).count();
        assert_eq!(complete, 1);
        for seen in all.iter().filter(|seen| seen.told != Told::Whole) {
            assert_eq!(code(seen), Some(Code::KeyInProgress));
            assert_eq!(seen.outcome(), Outcome::Unknown);
        }
    });
}

#[test]
fn a_box_that_lost_its_keys_in_a_restart_does_not_execute_a_request_again() {
    run(async {
        let mut served = Served::start(with_services(1)).await;
        let key = served.caller.key(&served.entry(0)).await.unwrap();
        let headers = Caller::keyed(&key);
        let first = served
            .caller
            .call(&served.entry(0), "boat 3", &headers)
            .await;
        assert_eq!(first.told, Told::Whole);
        let index = bound_box(&served, &key);
        served.fleet.restart_box(index).unwrap();
        let deadline = std::time::Instant::now() + common::PATIENCE;
        loop {
            let repeat = served
                .caller
                .call(&served.entry(0), "boat 3", &headers)
                .await;
            assert_eq!(repeat.outcome(), Outcome::Unknown);
            assert_eq!(service_runs(&served), 1);
            let reached = code(&repeat) == Some(Code::KeyLost);
            if reached && served.fleet.boxes[index].probe().ready {
                return;
            }
            assert!(std::time::Instant::now() < deadline);
        }
    });
}

#[test]
fn a_box_that_was_paused_executes_a_keyed_request_once() {
    run(async {
        let served = Served::start(with_services(2)).await;
        let key = served.caller.key(&served.entry(0)).await.unwrap();
        let index = bound_box(&served, &key);
        served.fleet.boxes[index].pause(Duration::from_millis(1_500));
        let mut headers = Caller::keyed(&key);
        headers.push(("x-deadline-ms", "400".to_owned()));
        let first = served
            .caller
            .call(&served.entry(0), "boat 4", &headers)
            .await;
        assert_eq!(
            first.outcome(),
            Outcome::Unknown,
            "the paused box may still execute it"
        );
        let headers = Caller::keyed(&key);
        let deadline = std::time::Instant::now() + common::PATIENCE;
        loop {
            let repeat = served
                .caller
                .call(&served.entry(1), "boat 4", &headers)
                .await;
            assert!(service_runs(&served) <= 1);
            if repeat.told == Told::Whole {
                break;
            }
            assert!(std::time::Instant::now() < deadline);
        }
        assert_eq!(service_runs(&served), 1);
    });
}

#[test]
fn a_request_with_the_key_of_another_customer_is_not_executed() {
    run(async {
        let served = Served::start(with_services(1)).await;
        let key = served.caller.key(&served.entry(0)).await.unwrap();
        let template = served.fleet.platform.text("customers/nordvind").unwrap();
        served
            .fleet
            .platform
            .publish("customers/simulab", Some(&template));
        let other = Caller::new("simulab");
        let deadline = std::time::Instant::now() + common::PATIENCE;
        loop {
            let seen = other
                .call(&served.entry(0), "x", &Caller::keyed(&key))
                .await;
            assert!(std::time::Instant::now() < deadline);
            if code(&seen) == Some(Code::UnknownCustomer) {
                continue;
            }
            assert_eq!(code(&seen), Some(Code::KeyLost));
            break;
        }
        assert_eq!(service_runs(&served), 0);
    });
}

#[test]
fn a_non_repeatable_request_is_not_sent_twice_when_its_box_is_killed() {
    run(async {
        let mut served = Served::start(with_services(1)).await;
        let entry = served.entry(0);
        let call =
            actix_rt::spawn(
                async move { Caller::default().call(&entry, "curtailment 5", &[]).await },
            );
        until("a service executes the request", || {
            service_runs(&served) == 1
        })
        .await;
        let busy = |member: &&mut pumicelatch::standin::fleet::Box| {
            member
                .service
                .as_ref()
                .is_some_and(|service| service.in_flight() > 0)
        };
        served
            .fleet
            .boxes
            .iter_mut()
            .find(busy)
            .expect("a box with a request in progress")
            .kill();
        let seen = call.await.unwrap();
        assert_eq!(seen.outcome(), Outcome::Unknown);
        assert_eq!(service_runs(&served), 1);
    });
}

#[test]
fn a_killed_box_is_skipped_and_requests_reported_as_not_run_were_not_executed() {
    run(async {
        let mut served = Served::start(with_services(1)).await;
        served.fleet.boxes[1].kill();
        let mut answered = 0;
        for number in 0..12 {
            let before = service_runs(&served);
            let body = format!("order {number}");
            let seen = served.caller.call(&served.entry(0), &body, &[]).await;
            let ran = service_runs(&served) - before;
            match seen.outcome() {
                Outcome::Ran => {
                    assert_eq!(ran, 1);
                    answered += 1;
                }
                Outcome::NotRun => assert_eq!(ran, 0, "reported as not run, but executed"),
                Outcome::Unknown => assert!(ran <= 1),
            }
        }
        assert!(
            answered >= 10,
            "a request is retried at another box after a refused connection, since it was not executed"
        );
    });
}

#[test]
fn overload_is_refused_as_not_run_with_a_retry_delay() {
    run(async {
        let engine = engine::Setting {
            capacity: 1,
            first_token: Duration::from_millis(150),
            ..engine::Setting::default()
        };
        let served = Served::start(Shape {
            boxes: 1,
            engine,
            ..Shape::default()
        })
        .await;
        let asks: Vec<Ask> = (0..30)
            .map(|number| Ask {
                prompt: format!("flood {number}"),
                ..Ask::default()
            })
            .collect();
        let calls = asks.iter().map(|ask| served.complete(ask));
        let all = futures_util::future::join_all(calls).await;
        let refused: Vec<&Seen> = all.iter().filter(|seen| seen.told != Told::Whole).collect();
        assert!(
            !refused.is_empty(),
            "30 concurrent requests exceed a capacity of 1"
        );
        for seen in &refused {
            assert_eq!(seen.outcome(), Outcome::NotRun);
            let Told::Refused(failure) = &seen.told else {
                panic!("the response contains no reason")
            };
            assert!(failure.retry_after_ms.is_some(), "contains a retry delay");
        }
        let complete = all.len() - refused.len();
        assert_eq!(
            served.fleet.runs.total() as usize,
            complete,
            "refused requests were not executed"
        );
        assert!(complete >= 1);
    });
}
