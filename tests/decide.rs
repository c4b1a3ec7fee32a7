//! The pure decisions about requests: outcomes, keys, routes, limits, proofs, the version gate.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::auth::{Keyring, Refusal, SKEW_MAX_MS};
use pumicelatch::clock::Time;
use pumicelatch::limit::{self, Customers, Target};
use pumicelatch::request::{
    Admission, Answer, Interruption, Key, Ledger, Next, Outcome, RetryBudget, Situation,
    after_interruption,
};
use pumicelatch::route::{Completion, Load, Query, ReplicaKey, Resource, Strategy, Table};
use pumicelatch::template::fleet::Priority;
use pumicelatch::version::{self, Command, EngineState, Fence, LoadState, LocalState};
use pumicelatch::weight::Digest;
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn every_situation() -> Vec<(Interruption, Situation)> {
    let breaks = [
        Interruption::NotReached,
        Interruption::NotAdmitted,
        Interruption::NoAnswer,
        Interruption::Lost,
        Interruption::MidAnswer,
    ];
    let mut all = Vec::new();
    for found in breaks {
        for bits in 0..64u32 {
            let bit = |place: u32| bits >> place & 1 == 1;
            all.push((
                found,
                Situation {
                    repeatable: bit(0),
                    keyed: bit(1),
                    resumable: bit(2),
                    tainted: bit(3),
                    begun: bit(4),
                    attempts: if bit(5) { 4 } else { 1 },
                    remaining_ms: 1_000,
                },
            ));
        }
    }
    all
}

#[test]
fn in_every_situation_not_run_is_sure_and_nothing_unsure_runs_again() {
    for (found, situation) in every_situation() {
        let next = after_interruption(found, situation, &mut RetryBudget::default());
        let may_have_run = situation.tainted
            || situation.begun
            || matches!(
                found,
                Interruption::NoAnswer | Interruption::Lost | Interruption::MidAnswer
            );
        let case = format!("{found:?} {situation:?}");
        match next {
            Next::GiveUp(Outcome::NotRun) => {
                assert!(!may_have_run, "{case}");
                assert!(
                    !situation.keyed || found == Interruption::NotAdmitted,
                    "{case}"
                );
            }
            Next::GiveUp(outcome) => assert_eq!(outcome, Outcome::Unknown, "{case}"),
            Next::Elsewhere => {
                assert!(situation.repeatable || !may_have_run, "{case}");
                assert!(!situation.keyed, "{case}");
                assert!(!situation.begun, "{case}: the caller has part of an answer");
            }
            Next::Resume => assert!(situation.resumable && !situation.keyed, "{case}"),
        }
    }
}

#[test]
fn retries_cannot_multiply_an_overload() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        while budget.spend() {
            retries += 1;
        }
    }
    assert!(
        retries <= 10_000 / 10 + 20,
        "{retries} retries of 10000 requests"
    );
}

/// What can happen to one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Act {
    /// A caller sends the request through some entry: a message is under way.
    Send,
    /// The oldest message under way arrives (again, if it was duplicated).
    Deliver,
    /// The message under way is duplicated.
    Duplicate,
    /// The run ends well.
    Done,
    /// How the run ends stays unknown.
    Lost,
    /// The target refused the run.
    NotRun,
    /// The box starts anew, empty.
    Restart,
}

const ACTS: [Act; 7] = [
    Act::Send,
    Act::Deliver,
    Act::Duplicate,
    Act::Done,
    Act::Lost,
    Act::NotRun,
    Act::Restart,
];

/// Plays acts on a real ledger. Returns how often the request ran. `forgetful` makes a restarted
/// box trust keys of its former self: the broken variant.
fn runs(acts: &[Act], forgetful: bool) -> u32 {
    let name: Arc<str> = "box".into();
    let mut boot = 1;
    let mut ledger = Ledger::new(boot, 8, 100);
    let key = ledger.issue(&name, "customer", 99).unwrap();
    let mut under_way: VecDeque<Key> = VecDeque::new();
    let mut running = false;
    let mut ran = 0;
    for act in acts {
        match act {
            Act::Send => under_way.push_back(key.clone()),
            Act::Duplicate => under_way.extend(under_way.front().cloned()),
            Act::Deliver => {
                let Some(key) = under_way.pop_front() else {
                    continue;
                };
                if ledger.admit(&key, "customer") == Admission::Run {
                    running = true;
                    ran += 1;
                }
            }
            Act::Done if running => {
                let body = "receipt".into();
                let content_type = String::new();
                ledger.done(
                    &key,
                    Answer {
                        status: 200,
                        content_type,
                        body,
                    },
                );
                running = false;
            }
            Act::Lost if running => {
                ledger.lost(&key);
                running = false;
            }
            Act::NotRun if running => {
                ledger.not_run(&key);
                running = false;
                ran -= 1;
            }
            Act::Restart => {
                boot += u64::from(!forgetful);
                ledger = Ledger::new(boot, 8, 100);
                if forgetful {
                    let _ = ledger.issue(&name, "customer", 99);
                }
                running = false;
            }
            Act::Done | Act::Lost | Act::NotRun => {}
        }
    }
    ran
}

/// Every schedule of `depth` acts in which `broken` shows.
fn schedules_that_double(depth: usize, forgetful: bool) -> u64 {
    let mut doubled = 0;
    let count = ACTS.len().pow(depth as u32);
    let mut acts = vec![Act::Send; depth];
    for number in 0..count {
        let mut rest = number;
        for act in &mut acts {
            *act = ACTS[rest % ACTS.len()];
            rest /= ACTS.len();
        }
        doubled += u64::from(runs(&acts, forgetful) > 1);
    }
    doubled
}

#[test]
fn no_schedule_of_six_acts_runs_a_key_twice() {
    assert_eq!(schedules_that_double(6, false), 0);
}

#[test]
fn the_exploration_finds_the_fault_of_a_forgetful_box() {
    assert!(schedules_that_double(5, true) > 0);
}

#[test]
fn random_long_schedules_run_a_key_once() {
    fn holds(numbers: Vec<u8>) -> bool {
        let acts: Vec<Act> = numbers
            .iter()
            .map(|number| ACTS[*number as usize % ACTS.len()])
            .collect();
        runs(&acts, false) <= 1
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(1_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_full_ledger_drops_old_keys_for_good() {
    let name: Arc<str> = "box".into();
    let mut ledger = Ledger::new(1, 2, 100);
    let keys: Vec<Key> = (0..3)
        .map(|secret| ledger.issue(&name, "c", secret).unwrap())
        .collect();
    assert_eq!(ledger.admit(&keys[0], "c"), Admission::NoSuchKey);
    assert_eq!(ledger.admit(&keys[1], "other"), Admission::NoSuchKey);
    let guessed = Key {
        secret: 77,
        ..keys[1].clone()
    };
    assert_eq!(ledger.admit(&guessed, "c"), Admission::NoSuchKey);
    assert_eq!(ledger.admit(&keys[1], "c"), Admission::Run);
    assert_eq!(keys[1].to_string().parse(), Ok(keys[1].clone()));
}

fn need() -> Resource {
    Resource::Version(Digest::of(b"v"))
}

fn load(in_flight: u32) -> Load {
    Load {
        serves: vec![need()],
        leaving: false,
        boot: 1,
        in_flight,
        capacity: 10,
    }
}

fn table(count: usize) -> (Table, Vec<ReplicaKey>) {
    let mut table = Table::new("hall".into());
    let keys = (0..count)
        .map(|index| {
            let name: Arc<str> = format!("box-{index}").into();
            let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
            let key = table.add(&name, &"hall".into(), address);
            table.report(key, load(0), Time::default());
            key
        })
        .collect();
    (table, keys)
}

fn choose(
    table: &mut Table,
    tried: &[ReplicaKey],
    policy: Strategy,
    now: Time,
) -> Option<ReplicaKey> {
    let need = need();
    let ask = Query {
        resource: &need,
        halls: &[],
        prefix: None,
        tried,
    };
    let mut rng = SmallRng::seed_from_u64(now.0);
    table
        .choose(ask, policy, now, &mut rng)
        .map(|choice| choice.replica)
}

const POLICIES: [Strategy; 4] = [
    Strategy::RoundRobin,
    Strategy::LeastOfTwo,
    Strategy::Expected,
    Strategy::Declared,
];

#[test]
fn no_policy_chooses_a_target_that_leaves_is_silent_or_lacks_the_version() {
    for policy in POLICIES {
        let (mut table, keys) = table(5);
        let mut leaving = load(0);
        leaving.leaving = true;
        table.report(keys[0], leaving, Time::default());
        table.report(keys[0], load(0), Time::default());
        table.set_listed_leaving(keys[1], true);
        let mut empty = load(0);
        empty.serves.clear();
        table.report(keys[2], empty, Time::default());
        let later = Time::from_millis(2_600);
        table.report(keys[4], load(0), later);
        for step in 0..50 {
            let chosen = choose(&mut table, &[], policy, later + Duration::from_micros(step));
            assert_eq!(chosen, Some(keys[4]), "{policy:?}");
        }
        assert_eq!(choose(&mut table, &[keys[4]], policy, later), None);
    }
}

#[test]
fn a_failed_target_is_put_aside_and_tried_by_one_request_at_a_time() {
    let (mut table, keys) = table(2);
    let start = Time::default();
    table.begin(keys[0]);
    table.end(keys[0], Completion::Failed, start);
    for step in 0..20 {
        let now = start + Duration::from_millis(step);
        assert_eq!(
            choose(&mut table, &[], Strategy::RoundRobin, now),
            Some(keys[1])
        );
    }
    let later = start + Duration::from_millis(300);
    let chosen: Vec<_> = (0..10)
        .map(|_| choose(&mut table, &[], Strategy::RoundRobin, later))
        .collect();
    let tries = chosen
        .iter()
        .filter(|chosen| **chosen == Some(keys[0]))
        .count();
    assert_eq!(
        tries, 1,
        "one request tries it while the others go elsewhere"
    );
}

#[test]
fn the_least_loaded_is_preferred_and_own_requests_count_before_they_are_reported() {
    let (mut table, keys) = table(2);
    table.report(keys[0], load(9), Time::default());
    let mut to_second = 0;
    for step in 0..30 {
        let now = Time(step);
        let chosen = choose(&mut table, &[], Strategy::Expected, now).unwrap();
        table.begin(chosen);
        to_second += usize::from(chosen == keys[1]);
    }
    assert!(
        (15..30).contains(&to_second),
        "{to_second} of 30 went to the idle one"
    );
}

#[test]
fn a_target_judges_by_queue_deadline_and_priority() {
    let mut target = Target::default();
    target.set_capacity(2);
    let second = Duration::from_secs(1);
    for _ in 0..2 {
        target.check(Priority::Low, second).unwrap();
        target.begin(None);
    }
    target.begin(None);
    target.end(None, Some(Duration::from_millis(400)));
    assert!(target.check(Priority::High, second).is_ok());
    let hasty = target.check(Priority::High, Duration::from_millis(10));
    assert!(matches!(hasty, Err(limit::Refusal::Deadline { .. })));
    let mut admitted = BTreeMap::new();
    for priority in [Priority::Low, Priority::Normal, Priority::High] {
        while target.check(priority, Duration::from_secs(60)).is_ok() {
            target.begin(None);
            *admitted.entry(priority).or_insert(0) += 1;
        }
    }
    assert!(
        admitted.contains_key(&Priority::High),
        "room is left for the urgent"
    );
    assert!(target.total() <= 10);
}

#[test]
fn a_customer_that_floods_stays_within_its_limit() {
    let mut customers = Customers::default();
    let flood: Arc<str> = "flood".into();
    let taken = (0..100)
        .filter(|_| customers.begin(&flood, 7).is_ok())
        .count();
    assert_eq!(taken, 7);
    assert!(customers.begin(&"other".into(), 7).is_ok());
    customers.end(&flood);
    assert!(customers.begin(&flood, 7).is_ok());
}

fn key(name: &str, digit: &str) -> String {
    format!("{name}:{}", digit.repeat(64))
}

#[test]
fn a_proof_holds_for_its_request_its_key_and_its_time() {
    let old: Keyring = key("old", "1").parse().unwrap();
    let rotated: Keyring = format!("{},{}", key("new", "2"), key("old", "1"))
        .parse()
        .unwrap();
    let parts = ["path", "request"];
    let now = 1_000_000;
    let proof = old.prove(now, &parts);
    assert_eq!(rotated.verify(Some(&proof), now, &parts), Ok(()));
    assert_eq!(
        rotated.verify(Some(&proof), now, &["path", "other"]),
        Err(Refusal::Mismatch)
    );
    assert_eq!(
        rotated.verify(Some(&proof), now, &["pathr", "equest"]),
        Err(Refusal::Mismatch)
    );
    let late = now + SKEW_MAX_MS + 1;
    assert_eq!(
        rotated.verify(Some(&proof), late, &parts),
        Err(Refusal::OutOfTime)
    );
    let signed = rotated.prove(now, &parts);
    assert_eq!(
        old.verify(Some(&signed), now, &parts),
        Err(Refusal::UnknownKey)
    );
    assert_eq!(old.verify(None, now, &parts), Err(Refusal::Missing));
    assert_eq!(old.verify(Some("x.y"), now, &parts), Err(Refusal::Missing));
    assert!("no-colon".parse::<Keyring>().is_err());
    assert!("short:abc".parse::<Keyring>().is_err());
}

#[test]
fn the_gate_opens_only_when_all_of_it_holds() {
    for bits in 0..16u32 {
        let bit = |place: u32| bits >> place & 1 == 1;
        let local = LocalState {
            desired: bit(0),
            complete: bit(1),
            ordered: bit(2),
            in_flight: 0,
        };
        let residence = if bit(3) {
            LoadState::Loaded
        } else {
            LoadState::Loading
        };
        assert_eq!(version::servable(local, Some(residence)), bits == 15);
        assert!(!version::servable(local, None));
    }
}

#[test]
fn a_version_is_unloaded_only_when_no_configuration_and_no_request_needs_it() {
    let digest = Digest::of(b"v");
    let engine = EngineState {
        versions: [(digest, LoadState::Loaded)].into(),
        ..EngineState::default()
    };
    let steps = |wanted, in_flight| {
        let local = LocalState {
            desired: wanted,
            complete: true,
            in_flight,
            ordered: true,
        };
        version::plan(&[(digest, local)].into(), &engine)
    };
    assert_eq!(steps(true, 0), []);
    assert_eq!(steps(false, 1), []);
    assert_eq!(steps(false, 0), [Command::Unload(digest)]);
}

#[test]
fn a_new_process_outranks_whatever_the_engine_has_seen() {
    let seen = Fence {
        incarnation: 5_000,
        revision: 9,
    };
    assert!(Fence::next_incarnation(seen, 100) > 5_000);
    assert!(Fence::next_incarnation(Fence::default(), 100) >= 100);
    let newer = Fence {
        incarnation: 5_001,
        revision: 0,
    };
    assert!(newer > seen, "a newer process outranks a newer revision");
}
