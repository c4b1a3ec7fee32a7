//! What replicas want by their own words: read, remembered for a life, and kept to.

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

const LEAVES: Notice = Notice {
    leaving: true,
    backoff: None,
};

fn rest(millis: u64) -> Notice {
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

fn list(pool: &mut Pool, records: &[Record]) {
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
    list(&mut pool, records);
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
        tried: &[],
        full: &[],
        connections_max: 20,
        residency: &Residency::Anywhere,
        regions: &regions,
        cold_per_s: 0.0,
    };
    let mut rng = SmallRng::seed_from_u64(7);
    pool.choose(ask, now, &mut rng).map(|choice| choice.key)
}

/// Has the replica that is chosen tell `notice`.
fn tell(pool: &mut Pool, notice: Notice, now: Time) -> Key {
    let key = choose(pool, now).unwrap();
    let instance = pool.get(key).unwrap().record.instance();
    assert!(pool.apply_notice(key, &instance, notice, now));
    key
}

#[test]
fn a_time_that_is_none_is_no_wish_for_rest() {
    let of = |seconds| Notice::new(false, Some(seconds)).backoff;
    for seconds in [0.0, -3.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(of(seconds), None, "{seconds}");
    }
    assert_eq!(of(0.25), Some(Duration::from_millis(250)));
    assert_eq!(of(1e12), Some(Duration::from_secs(600)));
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut wish = Suspension::default();
    assert!(wish.apply(rest(3_000), NOW));
    assert!(!wish.apply(rest(500), after(100)));
    assert!(wish.rejects(after(2_999)));
    assert!(!wish.rejects(after(3_000)));
}

#[test]
fn one_that_rests_is_passed_over_until_its_rest_is_over() {
    let mut pool = pool(&[record(1, 0), record(2, 0)]);
    let resting = tell(&mut pool, rest(3_000), NOW);
    assert_ne!(choose(&pool, after(1)).unwrap(), resting);
    tell(&mut pool, rest(1_000), after(1));
    let shortage = choose(&pool, after(501)).unwrap_err();
    let first = Duration::from_millis(500);
    assert_eq!(shortage, Unavailable::BackingOff { remaining: first });
    assert!(choose(&pool, after(1_001)).is_ok());
}

#[test]
fn one_that_leaves_is_passed_over_for_its_life_whatever_the_list_says() {
    let mut pool = pool(&[record(1, 5)]);
    tell(&mut pool, LEAVES, NOW);
    let later = after(3_000_000);
    assert_eq!(choose(&pool, later), Err(Unavailable::NoneEligible));
    list(&mut pool, &[]);
    list(&mut pool, &[record(1, 5)]);
    assert_eq!(choose(&pool, later), Err(Unavailable::NoneEligible));
}

#[test]
fn what_one_life_wanted_does_not_bind_the_next() {
    let mut pool = pool(&[record(1, 5)]);
    tell(&mut pool, LEAVES, NOW);
    list(&mut pool, &[record(1, 6)]);
    assert!(choose(&pool, NOW).is_ok());
}

#[test]
fn entries_hear_it_from_the_process_beside_the_replica() {
    let mut pool = pool(&[record(1, 5), record(2, 5)]);
    let load = Load {
        born: 5,
        alive: true,
        rest_ms: 800,
        ..Load::default()
    };
    pool.report("10.0.0.1:80".parse().unwrap(), &load, NOW);
    let leaves = Load {
        leaving: true,
        rest_ms: 0,
        ..load
    };
    pool.report("10.0.0.2:80".parse().unwrap(), &leaves, NOW);
    let first = Duration::from_millis(700);
    let shortage = choose(&pool, after(100)).unwrap_err();
    assert_eq!(shortage, Unavailable::BackingOff { remaining: first });
    let one = pool.get(choose(&pool, after(900)).unwrap()).unwrap();
    assert_eq!(&*one.record.id, "i-1");
}

quickcheck! {
    fn what_is_written_is_read(leaving: bool, millis: u16) -> bool {
        let notice = Notice::new(leaving, Some(f64::from(millis) / 1_000.0));
        Notice::parse(&notice.to_string()) == notice
    }

    fn what_is_no_notice_tells_nothing_or_less(text: String) -> bool {
        let notice = Notice::parse(&text);
        notice.backoff.is_none_or(|rest| rest <= Duration::from_secs(600))
    }

    /// A rest is over when the longest of those asked for is.
    fn rests_are_kept_to_the_end_of_the_last(told: Vec<(u16, u16)>) -> bool {
        let mut told = told;
        told.sort_unstable();
        let (mut wish, mut until) = (Suspension::default(), Time::default());
        for (at, millis) in told {
            wish.apply(rest(u64::from(millis)), after(at.into()));
            until = until.max(after(u64::from(at) + u64::from(millis)));
        }
        until == Time::default() || (wish.backoff(until).is_zero() && wish.rejects(until - Duration::from_millis(1)))
    }
}
