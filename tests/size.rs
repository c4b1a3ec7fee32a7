//! Admission by size: size classes, what is reserved for them, limits at fast and slow replicas, and a model of a
//! hall under overload.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::hall::kind::Kind;
use common::hall::site::{MODEL, Site, pool_of};
use common::hall::{self, Hall, NOW};
use pumicelatch::config::residency::Regions;
use pumicelatch::config::routing::Engine;
use pumicelatch::lease::DEFAULT_URGENCY;
use pumicelatch::limit::size::{Class, Sizes};
use pumicelatch::route::estimate::{self, Demand};
use pumicelatch::route::pool::limit::Terms;
use pumicelatch::route::pool::{Key, Pool};
use quickcheck::{TestResult, quickcheck};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const LIMIT: Duration = Duration::from_millis(400);

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 317_000,
        step_ms: 9.27,
        sequence_ms: 0.0232,
        context_ms_per_thousand: 0.0322,
        read_per_s: 20_700.0,
        pairs_ms_per_million: 1.18,
        stride: 5,
        mean_prompt_tokens: 930.0,
        mean_answer_tokens: 90.0,
        models: vec![MODEL.into()],
        chunks: 96,
        chunk_bytes: 24_576,
        incomplete: false,
    }
}

fn site() -> Site {
    Site {
        engine: engine(),
        regions: Regions::default(),
    }
}

/// Requests to a hall of replicas with the given paces, at a load that twelve do not quite carry.
fn setting(paces: &[f64], fair: bool, seed: u64) -> hall::Setting {
    let kind = |name, prompt, prompt_max, output, share| Kind {
        name,
        prompt,
        prompt_max,
        output,
        variation: 1.0,
        share,
        urgency: DEFAULT_URGENCY,
        objective: LIMIT,
        burst: None,
    };
    hall::Setting {
        engine: engine(),
        kinds: vec![
            kind("report", 1_290.0, 3_880.0, 100.0, 0.41),
            kind("explain", 787.0, 3_330.0, 100.0, 0.31),
            kind("hint", 607.0, 2_640.0, 70.0, 0.28),
        ],
        paces: paces.to_vec(),
        per_s: 152.0,
        swing: 0.0,
        duration: Duration::from_secs(60),
        deadline: Duration::from_secs(6),
        fair,
        urgencies: false,
        levels: false,
        retries: false,
        polled: false,
        seed,
    }
}

fn terms() -> Terms {
    Terms {
        limit: LIMIT,
        spent: Duration::ZERO,
        long_prefill: Duration::from_millis(130),
        reserve: 0.0,
    }
}

/// The part of the limit that is left for the wait before a prompt of `prompt` tokens is prefilled.
fn wait_limit(pool: &Pool, key: Key, prompt: u32, terms: Terms, pace: f64) -> Duration {
    let site = site();
    let demand = Demand { prompt, output: 90 };
    let limit = pool.first_event_limit(key, site.query(demand, Some(terms)), NOW);
    let prefill = estimate::prefill(&site.engine, prompt, pace);
    limit.unwrap().saturating_sub(prefill)
}

/// Guards against a limit that leaves long prompts no time to wait.
#[test]
fn prompts_of_all_lengths_may_wait_equally_long() {
    fn property(prompts: (u16, u16), spent_ms: u8) -> bool {
        let (pool, terms) = (
            pool_of(&[1.0, 1.0]),
            Terms {
                spent: Duration::from_millis(spent_ms.into()),
                ..terms()
            },
        );
        let key = pool.by_service("tutor")[0];
        let waits = [prompts.0, prompts.1]
            .map(|prompt| wait_limit(&pool, key, u32::from(prompt % 4_000), terms, 1.0));
        // A long prompt that has waited for so long is in time.
        waits[0] == waits[1] && waits[0] + terms.long_prefill + terms.spent <= LIMIT
    }
    quickcheck(property as fn((u16, u16), u8) -> bool);
}

#[test]
fn slow_replicas_leave_long_prompts_to_fast_ones() {
    let pool = pool_of(&[4.0, 1.0, 1.0]);
    let site = site();
    let limit = |index: usize, prompt| {
        let key = pool.by_service("tutor")[index];
        let query = site.query(Demand { prompt, output: 90 }, Some(terms()));
        pool.first_event_limit(key, query, NOW).unwrap()
    };
    assert_eq!((limit(0, 200), limit(0, 3_900)), (LIMIT, LIMIT));
    assert!(limit(1, 3_900) > LIMIT);
}

/// Guards against halls without a replica that can serve a long prompt in time, which refused all of them.
#[test]
fn half_of_a_slow_halls_capacity_serves_long_prompts() {
    for (paces, long) in [
        (vec![4.0; 8], 4),
        (vec![3.0; 5], 3),
        // The fast one has a third of the capacity; one slow one makes up half.
        (vec![1.0, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0], 3),
        (vec![1.0, 1.0, 4.0], 2),
    ] {
        let pool = pool_of(&paces);
        let site = site();
        let serves_long = |key: &&Key| {
            let prompt = 3_900;
            let query = site.query(Demand { prompt, output: 90 }, Some(terms()));
            pool.first_event_limit(**key, query, NOW).unwrap() > LIMIT
        };
        let serving = pool.by_service("tutor").iter().filter(serves_long);
        assert_eq!(serving.count(), long, "{paces:?}");
    }
}

#[test]
fn size_classes_are_the_largest_tenth_and_the_fifth_below() {
    let mut sizes = Sizes::default();
    let mut rng = SmallRng::seed_from_u64(49);
    let kind: Arc<str> = "kind".into();
    let mut counts: BTreeMap<Class, u32> = BTreeMap::new();
    for _ in 0..20_000 {
        let work = Duration::from_micros(rng.random_range(1_000..300_000));
        let class = sizes.classify(&kind, work, work, NOW);
        *counts.entry(class).or_default() += 1;
    }
    assert!(
        (1_900..2_200).contains(&counts[&Class::Largest]),
        "{counts:?}"
    );
    assert!(
        (3_800..4_200).contains(&counts[&Class::Large]),
        "{counts:?}"
    );
}

/// Guards against routes of earlier configurations that take the place of those in use.
#[test]
fn kinds_without_requests_make_room_for_new_ones() {
    let mut sizes = Sizes::default();
    for generation in 0..3 {
        let now = NOW + Duration::from_secs(600) * generation;
        for number in 0..256 {
            let kind: Arc<str> = format!("{generation}-{number}").into();
            for size in 1..=10 {
                let work = Duration::from_millis(size);
                let class = sizes.classify(&kind, work, work, now);
                sizes.record(&kind, class, true, now);
                assert_eq!(class == Class::Largest, size > 1, "{kind}");
            }
        }
    }
}

/// The sizes that are admitted less often have the whole limit, and the others leave room for them.
#[test]
fn the_reserve_favours_the_sizes_that_are_behind() {
    fn property(larger: (u8, u8), smaller: (u8, u8)) -> TestResult {
        if larger.1 > larger.0 || smaller.1 > smaller.0 || larger.0 < 20 || smaller.0 < 20 {
            return TestResult::discard();
        }
        let mut sizes = Sizes::default();
        let kind: Arc<str> = "kind".into();
        sizes.classify(&kind, Duration::ZERO, Duration::ZERO, NOW);
        for (class, (offered, admitted)) in [(Class::Large, larger), (Class::Small, smaller)] {
            for number in 0..offered {
                sizes.record(&kind, class, number < admitted, NOW);
            }
        }
        let rate = |(offered, admitted): (u8, u8)| f64::from(admitted) / f64::from(offered);
        let of = |class| sizes.reserve(&kind, class);
        let (of_larger, of_smaller) = (of(Class::Large), of(Class::Small));
        let (behind, ahead) = if rate(larger) < rate(smaller) {
            (of_larger, of_smaller)
        } else {
            (of_smaller, of_larger)
        };
        let difference = (rate(larger) - rate(smaller)).abs();
        TestResult::from_bool(behind == 0.0 && (ahead > 0.0) == (difference > 0.0))
    }
    quickcheck(property as fn((u8, u8), (u8, u8)) -> TestResult);
}

/// The share of all requests that was served, and the lowest share of a kind's largest tenth and of the fifth
/// below, relative to the kind's.
fn shares(hall: &Hall) -> (f64, f64) {
    let rate = |callers: &[usize]| {
        let served = callers.iter().filter(|caller| hall.seen[**caller].complete);
        served.count() as f64 / callers.len() as f64
    };
    let all: Vec<usize> = (0..hall.requests.len()).collect();
    let mut lowest = f64::MAX;
    for kind in 0..hall.setting.kinds.len() {
        let of_kind = |caller: &usize| hall.requests[*caller].kind == kind;
        let mut callers: Vec<usize> = all.iter().copied().filter(of_kind).collect();
        callers.sort_by_key(|caller| hall.requests[*caller].size());
        let (below, largest) = callers.split_at(callers.len() * 9 / 10);
        let large = &below[callers.len() * 7 / 10..];
        for class in [large, largest] {
            lowest = lowest.min(rate(class) / rate(&callers));
        }
    }
    (rate(&all), lowest)
}

/// Paces of twelve replicas, three of which are fast.
fn mostly_slow(pace: f64) -> Vec<f64> {
    let mut paces = vec![pace; 12];
    paces[..3].fill(1.0);
    paces
}

/// Mean shares over three runs at the load that twelve replicas do not quite carry.
fn mean_shares(paces: &[f64], fair: bool) -> (f64, f64) {
    let shares = [1, 2, 3].map(|seed| shares(&Hall::run(setting(paces, fair, seed))));
    let mean = |of: fn(&(f64, f64)) -> f64| shares.iter().map(of).sum::<f64>() / 3.0;
    (mean(|shares| shares.0), mean(|shares| shares.1))
}

/// Asserts that each kind's largest tenth and the fifth below are served at `bound` of the kind's rate.
fn sizes_are_served(overloads: &[(&str, Vec<f64>)], bound: f64) {
    for (name, paces) in overloads {
        let (served, lowest) = mean_shares(paces, true);
        let (unfair_served, unfair_lowest) = mean_shares(paces, false);
        println!(
            "{name}: {served:.2} served, lowest class {lowest:.2} of its kind; without size classes \
             {unfair_served:.2} and {unfair_lowest:.2}"
        );
        assert!(
            lowest >= bound,
            "{name}: lowest class {lowest:.2} of its kind"
        );
    }
}

/// Guards against large requests being left unserved under overload.
#[test]
fn the_largest_requests_of_each_kind_are_served_at_four_fifths_of_its_rate_under_overload() {
    let overloads = [
        ("three in four gone", vec![1.0; 3]),
        ("nothing slow", vec![1.0; 12]),
    ];
    sizes_are_served(&overloads, 0.8);
}

/// Guards against large requests being left unserved while most replicas are slow.
#[test]
fn the_largest_requests_of_each_kind_are_served_at_half_of_its_rate_by_few_fast_replicas() {
    let overloads = [
        ("three in four at a quarter", mostly_slow(4.0)),
        ("three in four at a third", mostly_slow(3.0)),
    ];
    sizes_are_served(&overloads, 0.5);
}

/// Guards against short prompts taking the fast replicas that long ones need.
#[test]
#[ignore = "lowest class 0.67 of its kind with three in four replicas at a quarter of their pace and 0.61 at a third, 0.8 aimed at (half, as the rule asks, holds); issue 49"]
fn the_largest_requests_of_each_kind_are_served_at_four_fifths_of_its_rate_by_few_fast_replicas() {
    let overloads = [
        ("three in four at a quarter", mostly_slow(4.0)),
        ("three in four at a third", mostly_slow(3.0)),
    ];
    sizes_are_served(&overloads, 0.8);
}
