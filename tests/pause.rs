//! Tests of pauses: a sound target, or its box, stands still on all connections for up to 2.2 s and
//! goes on. No answer may be lost because of that, and nothing may run twice.

mod common;

use std::time::Duration;

use common::{Served, Shape, run, until};
use futures_util::StreamExt;
use pumicelatch::bench::caller::{Ask, Seen, Told};
use pumicelatch::bench::sample;
use pumicelatch::http::{self, ClientSetting};
use pumicelatch::standin::engine::{self, Engine, Moment};
use pumicelatch::wire::header;

/// How long the target stands still.
const PAUSE: Duration = Duration::from_millis(2_200);

/// Tokens of an answer.
const TOKENS: u32 = 40;

/// A fleet whose engines send a token every 30 ms.
async fn served(boxes: usize) -> Served {
    Served::start(Shape {
        boxes,
        engine: engine::Setting {
            token_interval: Duration::from_millis(30),
            ..engine::Setting::default()
        },
        ..Shape::default()
    })
    .await
}

fn ask(prompt: &str, repeatable: bool) -> Ask {
    let headers = match repeatable {
        true => Vec::new(),
        false => vec![("x-repeatable", "no".to_owned())],
    };
    Ask {
        prompt: prompt.to_owned(),
        tokens: TOKENS,
        headers,
        ..Ask::default()
    }
}

fn assert_whole(seen: &Seen, prompt: &str) {
    assert_eq!(seen.told, Told::Whole, "{seen:?}");
    assert_eq!(seen.tokens.len(), TOKENS as usize);
    assert!(seen.unmixed(prompt));
}

fn engine(served: &Served) -> &Engine {
    &served.fleet.boxes[0].engine
}

/// Sends `ask` in a task of its own. Returns it when the caller has received the first token.
async fn stream(served: &Served, ask: &Ask) -> actix_rt::task::JoinHandle<String> {
    let body = serde_json::json!({
        "model": sample::MODEL,
        "prompt": ask.prompt,
        "max_tokens": ask.tokens,
        "stream": true,
    });
    let client = http::client(ClientSetting::default());
    let mut request = client
        .post(format!("{}/v1/completions", served.entry(0)))
        .insert_header((header::CUSTOMER, sample::CUSTOMER_NAME));
    for (name, value) in &ask.headers {
        request = request.insert_header((*name, value.as_str()));
    }
    let mut response = request.send_body(body.to_string()).await.unwrap();
    let first = response.next().await.unwrap().unwrap();
    let mut text = String::from_utf8(first.to_vec()).unwrap();
    actix_rt::spawn(async move {
        while let Some(Ok(part)) = response.next().await {
            text.push_str(std::str::from_utf8(&part).unwrap());
        }
        text
    })
}

/// Checks that `text` holds every token of the answer to `prompt` once, and its end.
fn assert_whole_text(served: &Served, text: &str, prompt: &str) {
    let tokens: Vec<String> = (0..TOKENS)
        .map(|index| engine::token(prompt, served.version, index))
        .collect();
    let received: Vec<String> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .filter_map(|event: serde_json::Value| Some(event["token"].as_str()?.to_owned()))
        .collect();
    assert_eq!(received, tokens, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"));
}

/// Guards against broken answers where the only target that can resume a stream is silent for more
/// than the time after which another one is asked.
#[test]
fn a_broken_stream_is_resumed_by_a_target_that_pauses() {
    for repeatable in [false, true] {
        run(async {
            let served = served(1).await;
            engine(&served).break_next_stream(7);
            engine(&served).pause_at(Moment::Break, PAUSE);
            let ask = ask("main bearing", repeatable);
            let seen = served.complete(&ask).await;
            assert_whole(&seen, &ask.prompt);
            assert!(seen.took > PAUSE);
            assert_eq!(served.fleet.runs.count(&seen.request), 1);
        });
    }
}

/// Guards against repeatable requests that wait for a silent target although another one is free.
#[test]
fn a_broken_repeatable_stream_continues_elsewhere_while_its_target_pauses() {
    run(async {
        let served = served(2).await;
        let pause = Duration::from_secs(8);
        for member in &served.fleet.boxes {
            member.engine.break_next_stream(7);
            member.engine.pause_at(Moment::Break, pause);
        }
        let ask = ask("pitch motor", true);
        let call = stream(&served, &ask).await;
        let boxes = &served.fleet.boxes;
        let serving = boxes
            .iter()
            .position(|member| member.engine.in_flight() > 0);
        let other = 1 - serving.expect("a box serves the request");
        boxes[other].engine.break_next_stream(0);
        let began = std::time::Instant::now();
        let text = call.await.unwrap();
        assert_whole_text(&served, &text, &ask.prompt);
        assert!(began.elapsed() < pause);
    });
}

/// Guards against the cancellation of a run whose resume waits in the sockets of a silent box.
#[test]
fn a_run_is_not_cancelled_while_its_box_is_silent() {
    run(async {
        let served = served(1).await;
        let member = &served.fleet.boxes[0];
        member.engine.break_next_stream(7);
        let ask = ask("hub", false);
        let call = stream(&served, &ask).await;
        member.link.set_stalled(true);
        until("the stream breaks", || member.engine.in_flight() == 0).await;
        actix_rt::time::sleep(PAUSE).await;
        assert_eq!(member.engine.cancelled(), 0);
        member.link.set_stalled(false);
        let text = call.await.unwrap();
        assert_whole_text(&served, &text, &ask.prompt);
        assert_eq!(served.fleet.runs.total(), 1);
    });
}

/// Guards against refused resumes: an engine that was silent still has its streams.
#[test]
fn a_stream_that_breaks_after_a_pause_of_its_target_is_resumed() {
    run(async {
        let served = served(1).await;
        engine(&served).break_next_stream(14);
        let ask = ask("gear oil", false);
        let call = stream(&served, &ask).await;
        engine(&served).pause_at(Moment::Report, PAUSE);
        let text = call.await.unwrap();
        assert_whole_text(&served, &text, &ask.prompt);
        assert_eq!(served.fleet.runs.total(), 1);
    });
}

/// Guards against refused requests after a pause: an engine that was silent still has its weights.
#[test]
fn requests_are_answered_by_their_only_target_after_its_pause() {
    run(async {
        let served = served(1).await;
        engine(&served).pause_at(Moment::Report, PAUSE);
        until("the pause is over", || !engine(&served).is_pausing()).await;
        let ended = std::time::Instant::now();
        let mut refused = 0;
        let ask = ask("grid code", false);
        let seen = loop {
            let seen = served.complete(&ask).await;
            if seen.told == Told::Whole {
                break seen;
            }
            refused += 1;
            assert!(ended.elapsed() < common::PATIENCE);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        };
        let answered = ended.elapsed() - seen.took;
        assert_eq!(refused, 0, "refused for {answered:?} after the pause");
    });
}

/// Guards against requests to an engine that hangs: its versions stop being servable.
#[test]
fn an_engine_that_stays_silent_is_not_servable() {
    run(async {
        let served = served(1).await;
        engine(&served).pause_at(Moment::Report, Duration::from_secs(15));
        let member = &served.fleet.boxes[0];
        until("no version is servable", || {
            member.probe().servable.is_empty()
        })
        .await;
        assert!(engine(&served).is_pausing());
    });
}
