//! Tests of the version gate: no box serves partial or mixed weights, engines obey only the newest
//! fence, leaving targets receive no new requests, requests in progress are completed during a planned
//! stop, and a disconnected hall keeps working.

mod common;

use std::time::{Duration, Instant};

use common::{Served, Shape, add_model, all_serve, publish, run, start, until};
use pumicelatch::bench::caller::{Ask, Caller, Told};
use pumicelatch::http::{self, ClientSetting};
use pumicelatch::standin::engine;
use pumicelatch::version::{Fence, Order, OrderKind};

fn slow_engine() -> engine::Setting {
    engine::Setting {
        token_interval: Duration::from_millis(20),
        ..engine::Setting::default()
    }
}

#[test]
fn corrupt_chunks_from_peers_and_origin_never_reach_an_engine() {
    run(async {
        let fleet = start(&Shape {
            boxes: 8,
            entries: 0,
            halls: 2,
            ..Shape::default()
        });
        let (version, content) = add_model(&fleet, 1);
        for member in &fleet.boxes {
            member.link.set_corrupt(0.3);
        }
        fleet.origin_link.set_corrupt(0.3);
        publish(&fleet, version);
        until("all boxes serve", || all_serve(&fleet, version)).await;
        let corrupt: u64 = fleet
            .boxes
            .iter()
            .map(|member| member.probe().tally.corrupt)
            .sum();
        assert!(corrupt > 0, "corrupt chunks were received");
        for member in &fleet.boxes {
            assert_eq!(member.engine.loaded(), vec![(version, content)]);
        }
    });
}

#[test]
fn a_version_replaced_during_its_transfer_is_not_mixed_with_the_new_one() {
    run(async {
        let setting = pumicelatch::standin::fleet::Setting {
            box_rate: 200_000.0,
            origin_rate: 400_000.0,
            ..pumicelatch::standin::fleet::Setting::default()
        };
        let mut fleet = pumicelatch::standin::fleet::Fleet::start(setting).unwrap();
        for _ in 0..6 {
            fleet.add_box(pumicelatch::member::Role::Model).unwrap();
        }
        fleet.list_all();
        let (old, _) = add_model(&fleet, 1);
        let (new, content) = add_model(&fleet, 2);
        publish(&fleet, old);
        until("a box has stored some chunks", || {
            fleet
                .boxes
                .iter()
                .any(|member| member.probe().tally.stored > 2)
        })
        .await;
        publish(&fleet, new);
        until("all boxes serve the new version", || all_serve(&fleet, new)).await;
        for member in &fleet.boxes {
            assert!(member.engine.loaded().contains(&(new, content)));
        }
        until("the old version is unloaded", || {
            fleet
                .boxes
                .iter()
                .all(|member| member.engine.loaded().len() == 1)
        })
        .await;
    });
}

#[test]
fn a_restarted_engine_serves_nothing_until_it_is_loaded_again() {
    run(async {
        let served = Served::start(Shape {
            boxes: 1,
            ..Shape::default()
        })
        .await;
        served.fleet.boxes[0].engine.restart();
        let seen = served.complete(&Ask::default()).await;
        assert!(seen.told == Told::Whole || seen.tokens.is_empty());
        until("the version is loaded again", || {
            served.fleet.boxes[0].engine.loaded() == vec![(served.version, served.content)]
        })
        .await;
    });
}

/// Sends an order to an engine in place of another agent.
async fn order(url: &str, fence: Fence, kind: OrderKind) -> Result<Fence, http::Error> {
    let client = http::client(ClientSetting::default());
    let url = format!("{url}/v1/orders");
    http::post_json(
        &client,
        &url,
        &Order { fence, kind },
        Duration::from_secs(5),
    )
    .await
}

#[test]
fn an_outranked_agent_serves_nothing_and_sends_no_more_orders() {
    // If the engine does not check fences, only the agent's own check prevents orders.
    for checks_fence in [true, false] {
        run(outrank(checks_fence));
    }
}

async fn outrank(checks_fence: bool) {
    let engine = engine::Setting {
        checks_fence,
        ..engine::Setting::default()
    };
    let shape = Shape {
        boxes: 1,
        engine,
        ..Shape::default()
    };
    let served = Served::start(shape).await;
    let member = &served.fleet.boxes[0];
    let url = format!("http://{}", member.target_address);
    let unload = OrderKind::Unload {
        digest: served.version,
    };
    if checks_fence {
        let stale = Fence {
            incarnation: 1,
            revision: 999,
        };
        let refused = order(&url, stale, unload.clone()).await;
        assert!(
            refused.is_err(),
            "an older incarnation is refused even with a newer revision"
        );
    }
    // A newer process takes control of the engine, and the version stays loaded.
    let newer = Fence {
        incarnation: u64::MAX / 2,
        revision: 0,
    };
    let keep = OrderKind::Load {
        digest: served.version,
        source: String::new(),
        bytes: 0,
    };
    order(&url, newer, keep).await.unwrap();
    until("no version is servable at the outranked agent", || {
        member.probe().servable.is_empty()
    })
    .await;
    assert_eq!(member.engine.loaded().len(), 1);
    order(&url, newer, unload).await.unwrap();
    publish(&served.fleet, served.version);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    assert!(
        member.engine.loaded().is_empty(),
        "the outranked agent ordered a load"
    );
}

#[test]
fn a_leaving_target_receives_no_new_requests_and_completes_those_in_progress() {
    run(async {
        let served = Served::start(Shape {
            boxes: 2,
            engine: slow_engine(),
            ..Shape::default()
        })
        .await;
        let entry = served.entry(0);
        let ask = Ask {
            tokens: 100,
            ..Ask::default()
        };
        let call = actix_rt::spawn({
            let ask = ask.clone();
            async move { Caller::default().complete(&entry, &ask).await }
        });
        let busy = || {
            served
                .fleet
                .boxes
                .iter()
                .position(|member| member.engine.in_flight() > 0)
        };
        until("a request is in progress", || busy().is_some()).await;
        let leaving = busy().unwrap();
        let name = served.fleet.boxes[leaving].name.clone();
        served.fleet.boxes[leaving].drain();
        let announced = Instant::now();
        let mut late = 0;
        while announced.elapsed() < Duration::from_millis(4_000) {
            let began = announced.elapsed();
            let seen = served.complete(&Ask::default()).await;
            assert_eq!(seen.told, Told::Whole, "the other box serves the request");
            let settled = began > Duration::from_secs(3);
            late += usize::from(settled && seen.served_by == *name);
        }
        assert_eq!(late, 0);
        let seen = call.await.unwrap();
        assert_eq!(
            seen.told,
            Told::Whole,
            "the request in progress was not aborted"
        );
        assert_eq!(seen.tokens.len(), 100);
        assert_eq!(seen.served_by, *name);
    });
}

#[test]
fn a_target_that_is_listed_as_leaving_receives_no_new_requests() {
    run(async {
        let served = Served::start(Shape {
            boxes: 2,
            ..Shape::default()
        })
        .await;
        let name = served.fleet.boxes[0].name.clone();
        served.fleet.platform.set_leaving(&name);
        let deadline = Instant::now() + common::PATIENCE;
        let mut elsewhere = 0;
        while elsewhere < 30 {
            let seen = served
                .complete(&Ask {
                    prompt: format!("p{elsewhere}"),
                    ..Ask::default()
                })
                .await;
            assert!(Instant::now() < deadline);
            elsewhere = if seen.served_by == *name {
                0
            } else {
                elsewhere + 1
            };
        }
    });
}

#[test]
fn a_disconnected_hall_keeps_serving() {
    run(async {
        let served = Served::start(Shape {
            boxes: 6,
            entries: 2,
            halls: 2,
            ..Shape::default()
        })
        .await;
        served.fleet.net.set_cut("hall-0", true);
        for (entry, hall) in [(0, "hall-0"), (1, "hall-1")] {
            let mut complete = 0;
            let deadline = Instant::now() + common::PATIENCE;
            while complete < 20 {
                let headers = vec![("x-deadline-ms", "1000".to_owned())];
                let ask = Ask {
                    headers,
                    prompt: format!("cut {complete}"),
                    ..Ask::default()
                };
                let seen = served.caller.complete(&served.entry(entry), &ask).await;
                assert!(Instant::now() < deadline, "{hall} stopped serving");
                assert!(seen.unmixed(&ask.prompt));
                if seen.told == Told::Whole && seen.served_by.starts_with(hall) {
                    complete += 1;
                }
            }
        }
    });
}

#[test]
fn a_disconnected_hall_receives_the_version_once_it_is_reconnected() {
    run(async {
        let fleet = start(&Shape {
            boxes: 8,
            entries: 0,
            halls: 2,
            ..Shape::default()
        });
        let (version, content) = add_model(&fleet, 1);
        fleet.net.set_cut("hall-0", true);
        fleet.platform.publish("unrelated", Some(""));
        publish(&fleet, version);
        let in_hall = |hall: &str| {
            let members = fleet.boxes.iter().filter(|member| member.hall == hall);
            members
                .filter(|member| !member.probe().servable.is_empty())
                .count()
        };
        until("the hall with the platform serves", || {
            in_hall("hall-1") == 4
        })
        .await;
        assert_eq!(
            in_hall("hall-0"),
            0,
            "the hall cannot have learned of the version"
        );
        fleet.net.set_cut("hall-0", false);
        until("the reconnected hall serves", || in_hall("hall-0") == 4).await;
        for member in &fleet.boxes {
            assert_eq!(member.engine.loaded(), vec![(version, content)]);
        }
    });
}
