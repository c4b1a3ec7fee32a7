//! Runs that are kept for whoever reads them: every byte once, whatever becomes of connections, and no run that was said
//! not to be one.

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

fn tape() -> Rc<RefCell<Buffer>> {
    Rc::default()
}

/// A reader that loses its connection again and again, with bytes on their way, and asks for the rest each time.
#[test]
fn a_body_comes_whole_over_any_number_of_connections() {
    fn property(steps: Vec<(u16, u8, bool)>) -> bool {
        let mut tape = Buffer::default();
        let (mut sent, mut came) = (Vec::new(), Vec::new());
        let mut reader = tape.open(0);
        for (length, lost, breaks) in steps {
            let part: Vec<u8> = (0..length).map(|byte| byte as u8).collect();
            if tape.has_room() {
                tape.push(&part);
                sent.extend_from_slice(&part);
            }
            if let Part::Bytes(bytes) = tape.next(reader.unwrap()) {
                let kept = if breaks {
                    bytes.len().saturating_sub(usize::from(lost) * 64)
                } else {
                    bytes.len()
                };
                came.extend_from_slice(&bytes[..kept]);
            }
            if breaks {
                tape.close(reader.unwrap(), at(0));
                reader = tape.open(came.len() as u64);
            }
        }
        tape.end(Ended::Complete, at(0));
        while let Part::Bytes(bytes) = tape.next(reader.unwrap()) {
            came.extend_from_slice(&bytes);
        }
        tape.next(reader.unwrap()) == Part::End(Ended::Complete) && came == sent
    }
    quickcheck(property as fn(Vec<(u16, u8, bool)>) -> bool);
}

#[test]
fn what_is_read_is_not_kept_for_ever_and_what_is_not_read_is_not_taken() {
    let mut tape = Buffer::default();
    let reader = tape.open(0).unwrap();
    let mut came = 0;
    while came < 4 << 20 {
        assert!(tape.has_room());
        tape.push(&[7; 8_192]);
        let Part::Bytes(bytes) = tape.next(reader) else {
            panic!("bytes are there");
        };
        came += bytes.len() as u64;
    }
    assert!(tape.open(0).is_none(), "it keeps everything");
    assert!(
        tape.open(came - 65_536).is_some(),
        "it keeps what may be lost"
    );
    while tape.has_room() {
        tape.push(&[7; 8_192]);
    }
}

#[test]
fn only_the_last_reader_reads_and_a_break_is_told_once_all_is_read() {
    let mut tape = Buffer::default();
    let first = tape.open(0).unwrap();
    tape.push(b"one");
    let second = tape.open(0).unwrap();
    assert_eq!(tape.next(first), Part::Gone);
    tape.end(Ended::Broken, at(0));
    assert_eq!(
        tape.next(second),
        Part::Bytes(bytes::Bytes::from_static(b"one"))
    );
    assert_eq!(tape.next(second), Part::End(Ended::Broken));
    assert!(
        tape.open(3).is_none(),
        "whoever has all of it would ask for ever"
    );
    assert!(tape.open(4).is_none(), "so much never came");
}

#[test]
fn a_run_ends_when_nobody_reads_it_and_not_before() {
    let mut shelf = Registry::default();
    let kept = tape();
    assert_eq!(shelf.start(Key(1), kept.clone(), "run"), Acceptance::Run);
    let first = kept.borrow_mut().open(0).unwrap();
    let second = kept.borrow_mut().open(0).unwrap();
    // The connection of the first one breaks when the second reads already.
    kept.borrow_mut().close(first, at(0));
    assert_eq!(shelf.sweep(at(10_000)), []);
    kept.borrow_mut().close(second, at(10_000));
    let soon = at(10_000) + UNREAD_TIMEOUT;
    assert_eq!(shelf.sweep(soon - Duration::from_millis(1)), []);
    assert_eq!(shelf.sweep(soon), [(Key(1), "run")]);
    assert_eq!(shelf.get(Key(1), soon), Lookup::Over);
}

/// An entry that is told that a run is not known tries elsewhere: what it had sent may come later.
#[test]
fn a_run_that_was_said_not_to_be_known_never_begins() {
    let mut shelf: Registry<&str> = Registry::default();
    assert_eq!(shelf.get(Key(1), at(0)), Lookup::Unknown);
    assert_eq!(shelf.start(Key(1), tape(), "late"), Acceptance::NotRun);
    assert_eq!(shelf.end(Key(2), at(0)), None);
    assert_eq!(shelf.start(Key(2), tape(), "late"), Acceptance::NotRun);
    assert_eq!(shelf.start(Key(3), tape(), "new"), Acceptance::Run);
    assert_eq!(shelf.start(Key(3), tape(), "again"), Acceptance::Known);
}

/// An entry that stood still asks for its run when that was ended, or is long over and not kept any more.
#[test]
fn a_run_that_was_here_is_never_said_not_to_have_run() {
    let mut shelf = Registry::default();
    let (ended, over) = (tape(), tape());
    shelf.start(Key(1), ended, "ended");
    shelf.start(Key(2), over.clone(), "over");
    over.borrow_mut().end(Ended::Complete, at(0));
    assert_eq!(shelf.end(Key(1), at(0)), Some("ended"));
    for second in 0..13 {
        let now = at(second * 1_000);
        shelf.sweep(now);
        for key in [Key(1), Key(2)] {
            let age = now.since(at(0));
            let told = match shelf.get(key, now) {
                Lookup::Kept(_) | Lookup::Over => Disposition::Broken,
                Lookup::Unknown => Disposition::Unknown { up: age * 2 },
            };
            assert!(!told.not_run(age), "{key} after {second} s");
        }
    }
    let up = Duration::from_secs(2);
    assert!(Disposition::Unknown { up }.not_run(Duration::from_secs(1)));
    assert!(!Disposition::Unknown { up }.not_run(Duration::from_secs(3)));
}

#[test]
fn calls_are_read_as_they_were_written_and_leave_the_path_as_it_is() {
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
    for told in [
        Disposition::Replica,
        Disposition::NotSent,
        Disposition::Broken,
        Disposition::Unknown { up },
    ] {
        assert_eq!(Disposition::parse(&told.to_string()), Some(told));
    }
    assert_eq!(Disposition::parse(""), None);
}
