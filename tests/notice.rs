//! Notices of replicas: parsing, retention per instance, and their effect on the choice of
//! replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::catalog::ListedReplica;
use pumicelatch::config::residency::{Regions, Residency};
use pumicelatch::member::replica::Record;
use pumicelatch::policy::Policy;
use pumicelatch::route::estimate::Demand;
use pumicelatch::route::notice::{Notice, Suspension};
use pumicelatch::route::pool::{Key, Pool, Query, Unavailable};
use pumicelatch::route::replica::Load;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Time = Time::from_millis(3_600_000);

const LEAVING: Notice = Notice {
    leaving: true,
    backoff: None,
};

fn backoff(millis: u64) -> Notice {
    Notice {
        leaving: false,
        backoff: Some(Duration::from_millis(millis)),
    }
}

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

fn record(index: u8, born: u64) -> Record {
    Record {
        id: format!("i-{index}").into(),
        born,
        service: "plain".into(),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        hall: "lis-a".into(),
        slots: 6,
        leaving: false,
        models: Vec::new(),
        cold_ms: 0,
    }
}

fn update_list(pool: &mut Pool, records: &[Record]) {
    let list: BTreeMap<Arc<str>, ListedReplica> = records
        .iter()
        .map(|record| {
            let listed = ListedReplica {
                record: record.clone(),
                revision: 1,
                removed_at: None,
                provisional: false,
            };
            (record.id.clone(), listed)
        })
        .collect();
    pool.update(&list, |_| None);
}

fn pool(records: &[Record]) -> Pool {
    let mut pool = Pool::new("lis-a".into(), Policy::default());
    update_list(&mut pool, records);
    pool
}

fn choose(pool: &Pool, now: Time) -> Result<Key, Unavailable> {
    let regions = Regions::default();
    let ask = Query {
        service: "plain",
        model: None,
        engine: None,
        demand: Demand {
            prompt: 0,
            output: 0,
        },
        remaining: None,
        terms: None,
        tried: &[],
        full: &[],
        connections_max: 20,
        residency: &Residency::Anywhere,
        regions: &regions,
        cold_per_s: 0.0,
        urgency: 1,
    };
    let mut rng = SmallRng::seed_from_u64(7);
    pool.choose(ask, now, &mut rng).map(|choice| choice.key)
}

/// Applies `notice` to the replica that is chosen.
fn receive(pool: &mut Pool, notice: Notice, now: Time) -> Key {
    let key = choose(pool, now).unwrap();
    let instance = pool.get(key).unwrap().record.instance();
    assert!(pool.apply_notice(key, &instance, notice, now));
    key
}

#[test]
fn an_invalid_backoff_is_ignored() {
    let of = |seconds| Notice::new(false, Some(seconds)).backoff;
    for seconds in [0.0, -3.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(of(seconds), None, "{seconds}");
    }
    assert_eq!(of(0.25), Some(Duration::from_millis(250)));
    assert_eq!(of(1e12), Some(Duration::from_secs(600)));
}

#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut suspension = Suspension::default();
    assert!(suspension.apply(backoff(3_000), NOW));
    assert!(!suspension.apply(backoff(500), after(100)));
    assert!(suspension.rejects(after(2_999)));
    assert!(!suspension.rejects(after(3_000)));
}

#[test]
fn a_replica_is_skipped_until_its_backoff_ends() {
    let mut pool = pool(&[record(1, 0), record(2, 0)]);
    let backing_off = receive(&mut pool, backoff(3_000), NOW);
    assert_ne!(choose(&pool, after(1)).unwrap(), backing_off);
    receive(&mut pool, backoff(1_000), after(1));
    let unavailable = choose(&pool, after(501)).unwrap_err();
    let first = Duration::from_millis(500);
    assert_eq!(unavailable, Unavailable::BackingOff { remaining: first });
    assert!(choose(&pool, after(1_001)).is_ok());
}

#[test]
fn a_leaving_instance_is_skipped_whatever_the_list_shows() {
    let mut pool = pool(&[record(1, 5)]);
    receive(&mut pool, LEAVING, NOW);
    let later = after(3_000_000);
    assert_eq!(choose(&pool, later), Err(Unavailable::NoneEligible));
    update_list(&mut pool, &[]);
    update_list(&mut pool, &[record(1, 5)]);
    assert_eq!(choose(&pool, later), Err(Unavailable::NoneEligible));
}

#[test]
fn a_notice_does_not_bind_the_next_instance() {
    let mut pool = pool(&[record(1, 5)]);
    receive(&mut pool, LEAVING, NOW);
    update_list(&mut pool, &[record(1, 6)]);
    assert!(choose(&pool, NOW).is_ok());
}

#[test]
fn entries_learn_of_notices_from_sidecar_reports() {
    let mut pool = pool(&[record(1, 5), record(2, 5)]);
    let load = Load {
        born: 5,
        alive: true,
        rest_ms: 800,
        ..Load::default()
    };
    pool.report("10.0.0.1:80".parse().unwrap(), &load, NOW);
    let leaving_load = Load {
        leaving: true,
        rest_ms: 0,
        ..load
    };
    pool.report("10.0.0.2:80".parse().unwrap(), &leaving_load, NOW);
    let first = Duration::from_millis(700);
    let unavailable = choose(&pool, after(100)).unwrap_err();
    assert_eq!(unavailable, Unavailable::BackingOff { remaining: first });
    let replica = pool.get(choose(&pool, after(900)).unwrap()).unwrap();
    assert_eq!(&*replica.record.id, "i-1");
}

quickcheck! {
    fn a_notice_is_parsed_as_written(leaving: bool, millis: u16) -> bool {
        let notice = Notice::new(leaving, Some(f64::from(millis) / 1_000.0));
        Notice::parse(&notice.to_string()) == notice
    }

    fn malformed_notices_are_bounded(text: String) -> bool {
        let notice = Notice::parse(&text);
        notice.backoff.is_none_or(|backoff| backoff <= Duration::from_secs(600))
    }

    /// A backoff ends when the longest of those asked for does.
    fn backoffs_last_until_the_longest_ends(notices: Vec<(u16, u16)>) -> bool {
        let mut notices = notices;
        notices.sort_unstable();
        let (mut suspension, mut until) = (Suspension::default(), Time::default());
        for (at, millis) in notices {
            suspension.apply(backoff(u64::from(millis)), after(at.into()));
            until = until.max(after(u64::from(at) + u64::from(millis)));
        }
        until == Time::default() || (suspension.backoff(until).is_zero() && suspension.rejects(until - Duration::from_millis(1)))
    }
}
