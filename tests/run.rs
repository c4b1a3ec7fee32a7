//! Buffered runs: a reader gets every byte exactly once, however often its connection fails, and a
//! run that was reported as not run never runs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::run::{
    Acceptance, Buffer, Call, Disposition, Ended, Key, Lookup, Part, Registry, UNREAD_TIMEOUT,
};
use quickcheck::quickcheck;

fn at(millis: u64) -> Time {
    Time::from_millis(50_000 + millis)
}

fn buffer() -> Rc<RefCell<Buffer>> {
    Rc::default()
}

/// A reader loses its connection repeatedly, with bytes in transit, and asks for the rest each
/// time.
#[test]
fn body_is_complete_after_any_number_of_reconnects() {
    fn property(steps: Vec<(u16, u8, bool)>) -> bool {
        let mut buffer = Buffer::default();
        let (mut sent, mut received) = (Vec::new(), Vec::new());
        let mut reader = buffer.open(0);
        for (length, lost, breaks) in steps {
            let part: Vec<u8> = (0..length).map(|byte| byte as u8).collect();
            if buffer.has_room() {
                buffer.push(&part);
                sent.extend_from_slice(&part);
            }
            if let Part::Bytes(bytes) = buffer.next(reader.unwrap()) {
                let kept = if breaks {
                    bytes.len().saturating_sub(usize::from(lost) * 64)
                } else {
                    bytes.len()
                };
                received.extend_from_slice(&bytes[..kept]);
            }
            if breaks {
                buffer.close(reader.unwrap(), at(0));
                reader = buffer.open(received.len() as u64);
            }
        }
        buffer.end(Ended::Complete, at(0));
        while let Part::Bytes(bytes) = buffer.next(reader.unwrap()) {
            received.extend_from_slice(&bytes);
        }
        buffer.next(reader.unwrap()) == Part::End(Ended::Complete) && received == sent
    }
    quickcheck(property as fn(Vec<(u16, u8, bool)>) -> bool);
}

#[test]
fn buffer_is_bounded_for_read_and_unread_bytes() {
    let mut buffer = Buffer::default();
    let reader = buffer.open(0).unwrap();
    let mut received = 0;
    while received < 4 << 20 {
        assert!(buffer.has_room());
        buffer.push(&[7; 8_192]);
        let Part::Bytes(bytes) = buffer.next(reader) else {
            panic!("bytes are there");
        };
        received += bytes.len() as u64;
    }
    assert!(buffer.open(0).is_none(), "the buffer keeps everything");
    assert!(
        buffer.open(received - 65_536).is_some(),
        "the buffer keeps what may be lost in transit"
    );
    while buffer.has_room() {
        buffer.push(&[7; 8_192]);
    }
}

#[test]
fn only_last_reader_reads_and_break_is_reported_after_last_byte() {
    let mut buffer = Buffer::default();
    let first = buffer.open(0).unwrap();
    buffer.push(b"one");
    let second = buffer.open(0).unwrap();
    assert_eq!(buffer.next(first), Part::Gone);
    buffer.end(Ended::Broken, at(0));
    assert_eq!(
        buffer.next(second),
        Part::Bytes(bytes::Bytes::from_static(b"one"))
    );
    assert_eq!(buffer.next(second), Part::End(Ended::Broken));
    assert!(
        buffer.open(3).is_none(),
        "a reader that has everything would ask again forever"
    );
    assert!(
        buffer.open(4).is_none(),
        "the offset is beyond the received bytes"
    );
}

#[test]
fn run_ends_only_after_unread_timeout() {
    let mut registry = Registry::default();
    let kept = buffer();
    assert_eq!(registry.start(Key(1), kept.clone(), "run"), Acceptance::Run);
    let first = kept.borrow_mut().open(0).unwrap();
    let second = kept.borrow_mut().open(0).unwrap();
    // The first reader's connection fails while the second is already reading.
    kept.borrow_mut().close(first, at(0));
    assert_eq!(registry.sweep(at(10_000)), []);
    kept.borrow_mut().close(second, at(10_000));
    let soon = at(10_000) + UNREAD_TIMEOUT;
    assert_eq!(registry.sweep(soon - Duration::from_millis(1)), []);
    assert_eq!(registry.sweep(soon), [(Key(1), "run")]);
    assert_eq!(registry.get(Key(1), soon), Lookup::Over);
}

/// An entry that is told that a run is unknown tries another replica. Its request may arrive here
/// later, and would then run twice.
#[test]
fn run_reported_unknown_never_starts() {
    let mut registry: Registry<&str> = Registry::default();
    assert_eq!(registry.get(Key(1), at(0)), Lookup::Unknown);
    assert_eq!(registry.start(Key(1), buffer(), "late"), Acceptance::NotRun);
    assert_eq!(registry.end(Key(2), at(0)), None);
    assert_eq!(registry.start(Key(2), buffer(), "late"), Acceptance::NotRun);
    assert_eq!(registry.start(Key(3), buffer(), "new"), Acceptance::Run);
    assert_eq!(registry.start(Key(3), buffer(), "again"), Acceptance::Known);
}

/// An entry that was suspended asks for its run after that was ended, or is over and no longer
/// kept.
#[test]
fn known_run_is_never_reported_as_not_run() {
    let mut registry = Registry::default();
    let (ended, over) = (buffer(), buffer());
    registry.start(Key(1), ended, "ended");
    registry.start(Key(2), over.clone(), "over");
    over.borrow_mut().end(Ended::Complete, at(0));
    assert_eq!(registry.end(Key(1), at(0)), Some("ended"));
    for second in 0..13 {
        let now = at(second * 1_000);
        registry.sweep(now);
        for key in [Key(1), Key(2)] {
            let age = now.since(at(0));
            let disposition = match registry.get(key, now) {
                Lookup::Kept(_) | Lookup::Over => Disposition::Broken,
                Lookup::Unknown => Disposition::Unknown { up: age * 2 },
            };
            assert!(!disposition.not_run(age), "{key} after {second} s");
        }
    }
    let up = Duration::from_secs(2);
    assert!(Disposition::Unknown { up }.not_run(Duration::from_secs(1)));
    assert!(!Disposition::Unknown { up }.not_run(Duration::from_secs(3)));
}

#[test]
fn calls_and_dispositions_parse_as_written() {
    fn property(key: u64, from: u64) -> bool {
        let calls = [
            Call::Start {
                key: Key(key),
                target: "/v1/run/%2F//x?a=b/c&%20".to_owned(),
            },
            Call::Read {
                key: Key(key),
                from,
            },
            Call::End { key: Key(key) },
        ];
        calls
            .into_iter()
            .all(|call| Call::parse(&call.to_string()) == Some(call))
    }
    quickcheck(property as fn(u64, u64) -> bool);
    for other in [
        "/v1/place",
        "/v1/run/",
        "/v1/run/xy/a",
        "/v1/run-from/1",
        "/",
    ] {
        assert_eq!(Call::parse(other), None, "{other}");
    }
    let up = Duration::from_millis(12);
    for disposition in [
        Disposition::Replica,
        Disposition::NotSent,
        Disposition::Broken,
        Disposition::Unknown { up },
    ] {
        assert_eq!(
            Disposition::parse(&disposition.to_string()),
            Some(disposition)
        );
    }
    assert_eq!(Disposition::parse(""), None);
}
