//! A caller always receives the whole answer to its own request, of one complete version.

mod common;

use std::time::Duration;

use common::{Served, Shape, run, until};
use pumicelatch::bench::caller::{Ask, Told};
use pumicelatch::request::Outcome;
use pumicelatch::standin::engine;

fn long(prompt: &str, stream: bool) -> Ask {
    Ask {
        prompt: prompt.to_owned(),
        tokens: 40,
        stream,
        ..Ask::default()
    }
}

fn slow_engine() -> engine::Setting {
    engine::Setting {
        token_interval: Duration::from_millis(20),
        ..engine::Setting::default()
    }
}

#[test]
fn answers_are_whole_streamed_or_not() {
    run(async {
        let served = Served::start(Shape::default()).await;
        for stream in [true, false] {
            let ask = long("gearbox 12", stream);
            let seen = served.complete(&ask).await;
            assert_eq!(seen.told, Told::Whole);
            assert_eq!(seen.tokens.len(), 40);
            assert_eq!(seen.version, Some(served.version));
            assert!(seen.unmixed(&ask.prompt));
        }
    });
}

#[test]
fn a_broken_stream_is_taken_up_where_it_stopped() {
    run(async {
        let served = Served::start(Shape::default()).await;
        for member in &served.fleet.boxes {
            member.engine.break_next_stream(7);
        }
        let ask = long("blade 3", true);
        let seen = served.complete(&ask).await;
        assert_eq!(seen.told, Told::Whole);
        assert_eq!(seen.tokens.len(), 40);
        assert!(seen.unmixed(&ask.prompt));
        assert_eq!(
            served.fleet.runs.count(&seen.request),
            1,
            "resumed, not run again"
        );
    });
}

#[test]
fn a_stream_that_breaks_before_its_first_token_does_not_run_twice() {
    run(async {
        let served = Served::start(Shape::default()).await;
        for member in &served.fleet.boxes {
            member.engine.refuse_before_first_token();
        }
        let headers = vec![("x-repeatable", "no".to_owned())];
        let ask = Ask {
            headers,
            ..long("nacelle", true)
        };
        let seen = served.complete(&ask).await;
        assert_eq!(seen.told, Told::Whole);
        assert_eq!(seen.tokens.len(), 40);
        assert_eq!(served.fleet.runs.count(&seen.request), 1);
    });
}

#[test]
fn repeated_tokens_are_dropped() {
    run(async {
        let served = Served::start(Shape::default()).await;
        for member in &served.fleet.boxes {
            member.engine.set_repeat_tokens(true);
        }
        let ask = long("yaw drive", true);
        let seen = served.complete(&ask).await;
        assert_eq!(seen.told, Told::Whole);
        assert_eq!(seen.tokens.len(), 40);
        assert!(seen.unmixed(&ask.prompt));
    });
}

/// Kills the box that serves `request` once tokens have come.
async fn kill_serving_box(served: &mut Served, ask: &Ask) -> pumicelatch::bench::caller::Seen {
    let entry = served.entry(0);
    let call = {
        let ask = ask.clone();
        actix_rt::spawn(async move {
            pumicelatch::bench::caller::Caller::default()
                .complete(&entry, &ask)
                .await
        })
    };
    until("the request runs", || {
        served
            .fleet
            .boxes
            .iter()
            .any(|member| member.engine.in_flight() > 0)
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    let serving = |member: &&mut pumicelatch::standin::fleet::Box| member.engine.in_flight() > 0;
    let member = served.fleet.boxes.iter_mut().find(serving);
    member.expect("a box serves").kill();
    call.await.unwrap()
}

#[test]
fn a_repeatable_answer_goes_on_at_another_box_when_its_engine_dies() {
    run(async {
        let shape = Shape {
            engine: slow_engine(),
            ..Shape::default()
        };
        let mut served = Served::start(shape).await;
        let ask = long("tower 9", true);
        let seen = kill_serving_box(&mut served, &ask).await;
        assert_eq!(seen.told, Told::Whole);
        assert_eq!(seen.tokens.len(), 40);
        assert!(seen.unmixed(&ask.prompt));
    });
}

#[test]
fn a_cut_answer_that_may_not_run_again_is_never_passed_off_as_whole() {
    run(async {
        let shape = Shape {
            engine: slow_engine(),
            ..Shape::default()
        };
        let mut served = Served::start(shape).await;
        let headers = vec![("x-repeatable", "no".to_owned())];
        let ask = Ask {
            headers,
            ..long("work order 77", true)
        };
        let seen = kill_serving_box(&mut served, &ask).await;
        assert_eq!(seen.told, Told::Broken);
        assert_eq!(seen.outcome(), Outcome::Unknown);
        assert!(seen.tokens.len() < 40);
        assert_eq!(served.fleet.runs.count(&seen.request), 1);
    });
}

#[test]
fn a_caller_that_goes_away_cancels_the_work() {
    run(async {
        let shape = Shape {
            engine: slow_engine(),
            ..Shape::default()
        };
        let served = Served::start(shape).await;
        let entry = served.entry(0);
        let call = actix_rt::spawn(async move {
            let caller = pumicelatch::bench::caller::Caller::default();
            caller.complete(&entry, &long("gone", true)).await
        });
        let busy = || {
            served
                .fleet
                .boxes
                .iter()
                .any(|member| member.engine.in_flight() > 0)
        };
        until("the request runs", busy).await;
        call.abort();
        until("the engine was told", || {
            served
                .fleet
                .boxes
                .iter()
                .any(|member| member.engine.cancelled() > 0)
        })
        .await;
        until("the engine is idle", || !busy()).await;
    });
}

#[test]
fn many_answers_at_once_reach_their_own_callers() {
    run(async {
        let served = Served::start(Shape::default()).await;
        let asks: Vec<Ask> = (0..64)
            .map(|number| long(&format!("request {number}"), true))
            .collect();
        let calls = asks.iter().map(|ask| served.complete(ask));
        let all = futures_util::future::join_all(calls).await;
        for (ask, seen) in asks.iter().zip(all) {
            assert_eq!(seen.told, Told::Whole);
            assert_eq!(seen.tokens.len(), 40);
            assert!(seen.unmixed(&ask.prompt), "another request's answer");
        }
    });
}

#[test]
fn a_service_answer_that_is_cut_off_is_not_passed_off_as_whole() {
    run(async {
        let shape = Shape {
            boxes: 1,
            services: 1,
            ..Shape::default()
        };
        let served = Served::start(shape).await;
        let service = served.fleet.boxes[1].service.as_ref().unwrap();
        let whole = served.caller.call(&served.entry(0), "notice", &[]).await;
        assert_eq!(whole.told, Told::Whole);
        let key = served.caller.key(&served.entry(0)).await.unwrap();
        let keyed = pumicelatch::bench::caller::Caller::keyed(&key);
        for headers in [vec![], keyed] {
            service.cut_next_answer();
            let cut = served
                .caller
                .call(&served.entry(0), "notice", &headers)
                .await;
            assert_ne!(cut.told, Told::Whole);
            assert_eq!(cut.outcome(), Outcome::Unknown);
        }
    });
}
