//! Tests of untrusted input: invalid requests, forged headers, malformed frames and event streams, and
//! command lines.

mod common;

use std::process::{Command, Output};

use common::{Served, Shape, run};
use pumicelatch::agent::proxy;
use pumicelatch::bench::caller::{Ask, Told};
use pumicelatch::entry::caller::{Body, Code};
use pumicelatch::entry::event::Reader;
use pumicelatch::http::{self, ClientSetting};
use pumicelatch::request::Outcome;
use pumicelatch::wire::{self, Decoder, FRAME_MAX, Have, Report};
use quickcheck::{Gen, QuickCheck};
use serde::Serialize;

/// Posts to `url` and returns the status and the body.
async fn post(url: &str, headers: &[(&'static str, &str)], body: &str) -> (u16, Vec<u8>) {
    let client = http::client(ClientSetting::default());
    let mut request = client.post(url);
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let mut response = request.send_body(body.to_owned()).await.unwrap();
    let bytes = http::read_response(&mut response, 1 << 20).await.unwrap();
    (response.status().as_u16(), bytes.to_vec())
}

/// Headers, body, and the expected status and error code.
type BadRequest<'a> = (&'a [(&'static str, &'a str)], &'a str, u16, Code);

#[test]
fn invalid_requests_get_a_4xx_and_reach_no_target() {
    run(async {
        let served = Served::start(Shape {
            boxes: 1,
            ..Shape::default()
        })
        .await;
        let completions = format!("{}/v1/completions", served.entry(0));
        let valid = r#"{"model":"fault-summary","prompt":"p"}"#;
        let long = format!(
            r#"{{"model":"fault-summary","prompt":"{}"}}"#,
            "x".repeat(1 << 20)
        );
        let customer = ("x-customer", "nordvind");
        let cases: [BadRequest<'_>; 11] = [
            (&[], valid, 400, Code::BadHeader),
            (
                &[("x-customer", "nobody")],
                valid,
                404,
                Code::UnknownCustomer,
            ),
            (&[customer], "{", 400, Code::BadBody),
            (
                &[customer],
                r#"{"model":"none","prompt":""}"#,
                404,
                Code::UnknownModel,
            ),
            (&[customer], &long, 413, Code::BodyTooLong),
            (
                &[customer, ("x-priority", "urgent")],
                valid,
                400,
                Code::BadHeader,
            ),
            (
                &[customer, ("x-deadline-ms", "0")],
                valid,
                400,
                Code::BadHeader,
            ),
            (
                &[customer, ("x-repeatable", "maybe")],
                valid,
                400,
                Code::BadHeader,
            ),
            (
                &[customer, ("idempotency-key", "mine")],
                valid,
                400,
                Code::BadKey,
            ),
            (
                &[customer, ("x-proof", "forged")],
                valid,
                400,
                Code::InternalHeader,
            ),
            (
                &[customer, ("x-version", "aa")],
                valid,
                400,
                Code::InternalHeader,
            ),
        ];
        for (headers, body, status, code) in cases {
            let (found, bytes) = post(&completions, headers, body).await;
            let failure: Body = serde_json::from_slice(&bytes).unwrap();
            assert_eq!((found, failure.error.code), (status, code), "{headers:?}");
            assert_eq!(failure.error.outcome, Outcome::NotRun);
        }
        let service = format!("{}/v1/services/nothing/x", served.entry(0));
        let (status, _) = post(&service, &[customer], "").await;
        assert_eq!(status, 404);
        assert_eq!(served.fleet.runs.total(), 0);
        assert_eq!(served.complete(&Ask::default()).await.told, Told::Whole);
    });
}

#[test]
fn agents_reject_requests_without_a_valid_signature() {
    run(async {
        let served = Served::start(Shape {
            boxes: 1,
            ..Shape::default()
        })
        .await;
        let address = served.fleet.boxes[0].listed.address;
        let version = served.version.to_string();
        let forged = format!(
            "bench.{}.{}",
            pumicelatch::clock::unix_millis(),
            "0".repeat(64)
        );
        for signature in ["", "x", &forged] {
            let headers = [
                ("x-request-id", "1"),
                ("x-version", version.as_str()),
                ("x-customer", "nordvind"),
                ("x-deadline-ms", "1000"),
                ("x-proof", signature),
            ];
            let (status, body) = post(&format!("http://{address}/v1/run"), &headers, "{}").await;
            let rejection: proxy::Error = serde_json::from_slice(&body).unwrap();
            assert_eq!(status, 403, "{rejection:?}");
            let (status, _) = post(&format!("http://{address}/v1/keys"), &headers, "").await;
            assert_eq!(status, 403);
        }
        assert_eq!(served.fleet.runs.total(), 0);
    });
}

#[test]
fn weights_are_served_only_to_the_engine_of_the_same_box() {
    run(async {
        let served = Served::start(Shape {
            boxes: 1,
            ..Shape::default()
        })
        .await;
        let address = served.fleet.boxes[0].listed.address;
        let url = format!("http://{address}/v1/weights/{}", served.version);
        let client = http::client(ClientSetting::default());
        let response = client.get(url).send().await.unwrap();
        assert_eq!(response.status().as_u16(), 403);
    });
}

#[test]
fn decoder_does_not_panic_and_rejects_oversized_frames() {
    fn property(parts: Vec<Vec<u8>>) -> bool {
        let mut decoder = Decoder::default();
        for part in parts {
            decoder.push(&part);
            loop {
                match decoder.next_frame::<Have>() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => return true,
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Vec<u8>>) -> bool);
    let mut decoder = Decoder::default();
    decoder.push(&(FRAME_MAX as u32 + 1).to_be_bytes());
    assert!(matches!(
        decoder.next_frame::<Have>(),
        Err(wire::Error::TooLong { .. })
    ));
}

/// A report as a later release may send it, with an unknown field.
#[derive(Serialize)]
struct LaterReport {
    b: u64,
    f: u32,
    new_field: Vec<String>,
}

#[test]
fn reports_with_unknown_or_missing_fields_are_decoded() {
    let later = LaterReport {
        b: 7,
        f: 3,
        new_field: vec!["x".to_owned()],
    };
    let mut decoder = Decoder::default();
    decoder.push(&wire::encode(&later).unwrap());
    let report: Report = decoder.next_frame().unwrap().unwrap();
    assert_eq!(
        report,
        Report {
            boot: 7,
            in_flight: 3,
            ..Report::default()
        }
    );
}

#[test]
fn events_are_forwarded_once_and_in_order_however_they_are_split() {
    fn property(splits: Vec<u8>, repeats: Vec<u8>) -> bool {
        let mut bytes = Vec::new();
        for number in 0..20u32 {
            let event = format!("id: {number}\ndata: {{}}\n\n");
            let times = 1 + repeats.get(number as usize).map_or(0, |repeat| repeat % 2);
            bytes.extend(event.repeat(times as usize).into_bytes());
        }
        bytes.extend(b"data: [DONE]\n\n");
        let mut reader = Reader::default();
        let mut out = Vec::new();
        let mut rest = bytes.as_slice();
        for length in splits.into_iter().chain(std::iter::repeat(255)) {
            let (part, tail) = rest.split_at(rest.len().min(length as usize));
            out.extend_from_slice(&reader.push(part).unwrap());
            rest = tail;
            if rest.is_empty() {
                break;
            }
        }
        let text = String::from_utf8(out).unwrap();
        reader.is_done() && reader.next_token() == 20 && text.matches("id:").count() == 20
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 13))
        .tests(500)
        .quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
    let mut reader = Reader::default();
    assert!(
        reader.push(b"id: 1\ndata: {}\n\n").is_err(),
        "a skipped token was accepted"
    );
}

fn program(path: &str, arguments: &[&str]) -> Output {
    Command::new(path)
        .args(arguments)
        .env("RUST_BACKTRACE", "0")
        .output()
        .unwrap()
}

#[test]
fn command_lines_are_validated_at_startup() {
    let agent = env!("CARGO_BIN_EXE_pumicelatch-agent");
    let entry = env!("CARGO_BIN_EXE_pumicelatch-entry");
    let bench = env!("CARGO_BIN_EXE_pumicelatch-bench");
    let ctl = env!("CARGO_BIN_EXE_pumicectl");
    let common = [
        "--name",
        "b",
        "--hall",
        "h",
        "--config-url",
        "http://127.0.0.1:1",
        "--list-url",
        "http://127.0.0.1:1",
    ];
    let with = |extra: &[&'static str]| [&common[..], extra].concat();
    let cases: Vec<(&str, Vec<&str>, &str)> = vec![
        (
            agent,
            vec![],
            "option --name is missing; give it, or set PUMICELATCH_NAME",
        ),
        (entry, with(&[]), "option --inner-keys is missing"),
        (
            entry,
            with(&["--inner-keys", "a:zz"]),
            "key `a` is not 64 hexadecimal digits",
        ),
        (entry, vec!["--nonsense"], "--help"),
        (
            entry,
            vec!["--name", "a", "--name", "b"],
            "option --name is given 2 times",
        ),
        (
            bench,
            vec!["spread", "--boxes", "0"],
            "option --boxes: `0` is wrong: it is out of range; give a number from 1 to 400",
        ),
        (
            bench,
            vec!["spread", "--fault", "meteor@3"],
            "no such kind of fault",
        ),
        (
            bench,
            vec!["spread", "--boxes", "400", "--model-bytes", "1073741824"],
            "give fewer boxes or a smaller model",
        ),
        (bench, vec!["dance"], "no command `dance`"),
        (ctl, vec!["dance"], "no command `dance`"),
        (ctl, vec!["check"], "the directory is missing"),
    ];
    for (path, arguments, expected) in cases {
        let output = program(path, &arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(
            text.contains(expected),
            "{arguments:?} gave {text:?}, not {expected:?}"
        );
    }
    for path in [agent, entry, bench, ctl] {
        for argument in ["--help", "--version"] {
            let output = program(path, &[argument]);
            assert_eq!(output.status.code(), Some(0));
            assert!(!output.stdout.is_empty());
        }
    }
}

#[test]
fn pumicectl_reads_directories_and_box_lists() {
    let ctl = env!("CARGO_BIN_EXE_pumicectl");
    let root = env!("CARGO_MANIFEST_DIR");
    let nordvind = format!("{root}/samples/nordvind");
    let boxes = format!("{root}/samples/boxes.json");
    let cases: [(&[&str], i32, &str); 6] = [
        (&["check", &nordvind], 0, "2 customers checked, 0 wrong"),
        (
            &["render", &nordvind, "vestland-coast"],
            0,
            "name = \"fault-summary\"",
        ),
        (&["diff", &nordvind, &nordvind], 0, ""),
        (
            &["plan", &nordvind, "--boxes", &boxes],
            0,
            "bytes to receive",
        ),
        (
            &["plan", &nordvind, &nordvind, "--boxes", &boxes],
            0,
            "0 boxes change, 0 bytes to receive",
        ),
        (
            &["explain", &nordvind, "bergen-hall-000", "--boxes", &boxes],
            0,
            "vestland-coast fault-summary",
        ),
    ];
    for (arguments, code, expected) in cases {
        let output = program(ctl, arguments);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {errors}");
        assert!(text.contains(expected), "{arguments:?} gave {text:?}");
    }
    let output = program(ctl, &["render", &nordvind, "nobody"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text.contains("there are: finnmark-offshore, vestland-coast"),
        "{text}"
    );
}
