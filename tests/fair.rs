//! Fair shares among requests of one urgency: the decision, and a model of a hall in which a route, a customer or a
//! hall asks for several times its usual load.

mod common;

use std::time::Duration;

use common::hall::kind::{Burst, Kind};
use common::hall::{Group, Hall, NOW, Setting, Slow};
use pumicelatch::clock::Time;
use pumicelatch::config::routing::Engine;
use pumicelatch::lease;
use pumicelatch::limit::fair::{Claim, GROUPS_MAX, Shares, Sort};
use pumicelatch::limit::retry::Fingerprint;
use pumicelatch::route::estimate;
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const LIMIT: Duration = Duration::from_millis(400);

/// Part of the other groups' requests that has to be served in time while one group asks for more.
const SERVED_MIN: f64 = 0.75;

/// Work delivered, relative to that without shares.
const WORK_MIN: f64 = 0.95;

/// Replicas of the model.
const REPLICAS: usize = 16;

/// Streams per second and replica of each route at full load: 333, 232 and 258 for 58 replicas.
const RATES: [f64; 3] = [5.74, 4.0, 4.45];

/// Part of the full load at which the model serves nearly all requests, and other routes at 0.58 and 0.57 while one
/// asks for four times as much, as was seen of the fleet. At full load it serves 0.60 of all.
const LOAD: f64 = 0.56;

const BURST: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(30));

fn engine() -> Engine {
    Engine {
        slots: 12,
        memory_tokens: 317_000,
        step_ms: 7.4,
        sequence_ms: 0.0387,
        context_ms_per_thousand: 0.0203,
        read_per_s: 31_900.0,
        pairs_ms_per_million: 0.733,
        stride: 7,
        mean_prompt_tokens: 974.0,
        mean_answer_tokens: 108.0,
        models: vec!["model".into()],
        chunks: 96,
        chunk_bytes: 24_576,
        incomplete: false,
    }
}

/// A group: its part of the callers, and by how much it asks for more during the burst.
type Part = (&'static str, f64, f64);

const CUSTOMERS: [Part; 4] = [
    ("c-0", 0.25, 1.0),
    ("c-1", 0.25, 1.0),
    ("c-2", 0.25, 1.0),
    ("c-3", 0.25, 1.0),
];

const HALLS: [Part; 3] = [("h-0", 0.5, 1.0), ("h-1", 0.25, 1.0), ("h-2", 0.25, 1.0)];

/// Callers of all routes, customers and halls; `factors` are those of the routes.
fn setting(factors: [f64; 3], customers: &[Part], halls: &[Part]) -> (Setting, Vec<Group>) {
    let routes = [
        ("report", 1_330.0, 1.5, 18.0),
        ("explain", 827.0, 1.2, 18.0),
        ("hint", 647.0, 1.6, 10.0),
    ];
    let (mut kinds, mut groups) = (Vec::new(), Vec::new());
    for (route, (name, prompt, variation, events)) in routes.into_iter().enumerate() {
        for (customer, customers, customer_factor) in customers {
            for (hall, callers, hall_factor) in halls {
                kinds.push(Kind {
                    name,
                    prompt,
                    prompt_max: prompt * 3.0,
                    output: events * 7.0,
                    variation,
                    share: RATES[route] * customers * callers,
                    urgency: 1,
                    objective: LIMIT,
                    burst: Some(Burst {
                        from: BURST.0,
                        until: BURST.1,
                        factor: factors[route] * customer_factor * hall_factor,
                    }),
                });
                groups.push(Group { customer, hall });
            }
        }
    }
    let setting = Setting {
        engine: engine(),
        kinds,
        paces: vec![1.0; REPLICAS],
        per_s: REPLICAS as f64 * LOAD,
        swing: 0.22,
        duration: Duration::from_secs(34),
        deadline: Duration::from_secs(6),
        fair: true,
        urgencies: true,
        retries: true,
        polled: true,
        levels: false,
        seed: 1,
    };
    (setting, groups)
}

/// Runs the model. Sidecars that are told no groups decide as without shares.
fn run(setting: Setting, groups: Vec<Group>) -> Hall {
    let mut hall = Hall::new(setting);
    hall.slow = Slow {
        share: 0.15,
        pace: 2.5,
        period_ms: 600,
    };
    hall.groups = groups;
    hall.complete()
}

/// The part of the requests of each of the kinds `of` in the burst that was served in time, and the work delivered.
fn outcome(hall: &Hall, of: &dyn Fn(usize) -> Option<usize>) -> (Vec<f64>, f64) {
    let (mut counts, mut work) = (vec![(0.0, 0.0); 4], 0.0);
    for (request, seen) in hall.requests.iter().zip(&hall.seen) {
        if request.arrived < NOW + BURST.0 || request.arrived >= NOW + BURST.1 {
            continue;
        }
        let first_event = seen.first_event.filter(|_| seen.complete);
        if first_event.is_some() {
            work += estimate::work(&hall.setting.engine, request.demand()).as_secs_f64();
        }
        if let Some(part) = of(request.kind) {
            let in_time = first_event.is_some_and(|at| at.since(request.arrived) <= LIMIT);
            counts[part].0 += f64::from(u8::from(in_time));
            counts[part].1 += 1.0;
        }
    }
    let counts = counts.into_iter().filter(|(_, all)| *all > 0.0);
    (counts.map(|(served, all)| served / all).collect(), work)
}

/// Asserts that all parts that `of` gives are served while another asks for more, by the mean of three runs.
fn others_are_served(
    name: &str,
    (setting, groups): (Setting, Vec<Group>),
    of: &dyn Fn(usize) -> Option<usize>,
) {
    let mean = |groups: &[Group]| {
        let mut sums: (Vec<f64>, f64) = (Vec::new(), 0.0);
        for seed in 1..=3 {
            let setting = Setting {
                seed,
                ..setting.clone()
            };
            let (served, work) = outcome(&run(setting, groups.to_vec()), of);
            sums.0.resize(served.len(), 0.0);
            sums.0
                .iter_mut()
                .zip(served)
                .for_each(|(sum, served)| *sum += served / 3.0);
            sums.1 += work / 3.0;
        }
        sums
    };
    let ((before, work_before), (served, work)) = (mean(&[]), mean(&groups));
    let work = work / work_before;
    println!("{name}: others {before:.2?} without shares, {served:.2?} with them; work {work:.3}");
    assert!(
        served.iter().all(|served| *served >= SERVED_MIN),
        "{name}: {served:.2?}"
    );
    assert!(work >= WORK_MIN, "{name}: {work:.3}");
}

const PARTS: usize = CUSTOMERS.len() * HALLS.len();

/// Guards against a route that takes the capacity of all others.
#[test]
fn other_routes_are_served_while_one_asks_for_four_times_as_much() {
    for route in 0..3 {
        let mut factors = [1.0; 3];
        factors[route] = 4.0;
        let of = |kind: usize| Some(kind / PARTS).filter(|other| *other != route);
        others_are_served(
            &format!("route {route}"),
            setting(factors, &CUSTOMERS, &HALLS),
            &of,
        );
    }
}

/// Guards against a customer that takes the capacity of all others.
#[test]
fn other_customers_are_served_while_one_asks_for_four_times_as_much() {
    let mut customers = CUSTOMERS;
    customers[0].2 = 4.0;
    let of = |kind: usize| Some(kind / HALLS.len() % CUSTOMERS.len()).filter(|other| *other != 0);
    others_are_served("customer", setting([1.0; 3], &customers, &HALLS), &of);
}

/// Guards against callers who ask in another hall than theirs and take the capacity of its own callers.
#[test]
fn other_halls_are_served_while_nine_in_ten_callers_of_one_ask_in_another() {
    let mut halls = HALLS;
    halls[0].2 = 0.1;
    halls[1].2 = (0.25 + 0.9 * 0.5) / 0.25;
    let of = |kind: usize| Some(kind % HALLS.len()).filter(|other| *other != 1);
    others_are_served("hall", setting([1.0; 3], &CUSTOMERS, &halls), &of);
}

/// Guards against chance that throttles someone: the choices are those without shares, request by request, at the load
/// that is just served and at the full one.
#[test]
fn nothing_changes_while_all_ask_as_usual() {
    for load in [1.0, 1.0 / LOAD] {
        for seed in 1..=3 {
            let (setting, groups) = setting([1.0; 3], &CUSTOMERS, &HALLS);
            let setting = Setting {
                per_s: setting.per_s * load,
                duration: Duration::from_secs(60),
                seed,
                ..setting
            };
            let before = run(setting.clone(), Vec::new());
            let hall = run(setting, groups);
            assert!(hall.seen == before.seen, "load {load:.2}, seed {seed}");
        }
    }
}

/// A request of the route `group`.
fn claim(group: usize) -> Claim {
    Claim {
        urgency: 1,
        route: group as u32 + 1,
        ..Claim::default()
    }
}

/// Records that `count` requests of 10 ms ask, and that some of them are granted.
fn record(shares: &mut Shares, group: usize, (count, granted): (u8, u8), now: Time) {
    let work = Duration::from_millis(10);
    for number in 0..count {
        let key = [group as u64, number.into(), now.0].map(u64::to_le_bytes);
        let request = Fingerprint::of(key.iter().map(|part| &part[..]));
        shares.ask(claim(group), request, work, now);
    }
    (0..granted).for_each(|_| shares.grant(claim(group), work, now));
    shares.refuse(claim(group), now);
}

/// Shares that have seen `groups` ask for the same for 6 s, which is over by [`NOW`].
fn learned(groups: usize) -> Shares {
    let mut shares = Shares::default();
    for step in 0..24 {
        let now = NOW - Duration::from_secs(9) + Duration::from_millis(250) * step;
        (0..groups).for_each(|group| record(&mut shares, group, (3, 3), now));
    }
    shares
}

/// The max-min fair share, by bisection.
fn level(asked: &[f64], capacity: f64) -> f64 {
    let (mut low, mut high) = (
        0.0,
        asked.iter().fold(capacity, |most, asked| most.max(*asked)),
    );
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        let used: f64 = asked.iter().map(|asked| asked.min(middle)).sum();
        *(if used <= capacity {
            &mut low
        } else {
            &mut high
        }) = middle;
    }
    low
}

#[test]
#[ignore = "once: the group that asks for exactly its share is throttled; issue 55"]
fn who_asks_for_no_more_than_its_share_is_not_throttled() {
    fn property(loads: Vec<(u8, u8)>) -> bool {
        let loads: Vec<(u8, u8)> = loads
            .into_iter()
            .take(12)
            .map(|(asked, granted)| (asked % 100, granted.min(asked % 100)))
            .collect();
        let mut shares = learned(loads.len());
        for (group, load) in loads.iter().enumerate() {
            record(&mut shares, group, *load, NOW);
        }
        let now = NOW + Duration::from_millis(250);
        let asked: Vec<f64> = loads.iter().map(|load| load.0.into()).collect();
        let level = level(&asked, loads.iter().map(|load| f64::from(load.1)).sum());
        let mut within = (0..loads.len()).filter(|group| asked[*group] <= level);
        within.all(|group| shares.fraction(claim(group), false, now) == 1.0)
    }
    quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn what_ends_is_forgotten_within_two_seconds() {
    fn property(loads: Vec<(u8, u8)>) -> bool {
        let mut shares = learned(4);
        let mut last = NOW;
        for (index, load) in loads.into_iter().enumerate() {
            last = NOW + Duration::from_millis(40) * index as u32;
            record(&mut shares, index % 4, load, last);
        }
        let now = last + Duration::from_secs(2);
        shares.settle(now);
        let throttled: usize = Sort::ALL.iter().map(|sort| shares.throttled(*sort)).sum();
        throttled == 0 && (0..4).all(|group| shares.fraction(claim(group), false, now) == 1.0)
    }
    quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against customers that come and go and fill the memory.
#[test]
fn as_many_groups_as_are_recent_are_remembered() {
    let mut shares = Shares::default();
    for group in 0..1_000 {
        let now = NOW + Duration::from_millis(3) * group as u32;
        record(&mut shares, 0, (10, 0), now);
        record(&mut shares, group, (1, 1), now);
        let remembered = Sort::ALL.map(|sort| shares.remembered(sort));
        assert!(remembered[0] <= GROUPS_MAX, "{remembered:?}");
    }
}

/// A peer of an earlier release states no groups. All its requests are one group, which alone is never throttled.
#[test]
fn requests_of_earlier_releases_are_one_group() {
    let mut message = serde_json::to_value(lease::Request::default()).unwrap();
    let fields = message.as_object_mut().unwrap();
    assert!(fields.remove("route").is_some() && fields.remove("customer").is_some());
    let request: lease::Request = serde_json::from_value(message).unwrap();
    assert_eq!((request.route, request.customer, request.hall), (0, 0, 0));
    let mut shares = learned(0);
    for step in 0..60 {
        let now = NOW + Duration::from_millis(250) * step;
        let count = if step < 30 { 3 } else { 200 };
        record(&mut shares, 0, (count, 3), now);
        assert!(shares.fraction(claim(0), false, now) == 1.0, "step {step}");
    }
}

/// What one of several deciders has.
#[derive(Default)]
struct Decider {
    shares: Shares,
    /// When its engine has done what it has.
    busy_until: Time,
}

/// Requests at deciders that know nothing of each other, each of which does 10 requests a second.
struct Field {
    deciders: Vec<Decider>,
    /// Part of all capacity that each group asks for as usual. The first asks for `factor` times as much for 10 s.
    groups: Vec<f64>,
    factor: f64,
    rng: SmallRng,
}

impl Field {
    /// Runs for 32 s. Returns how many of each group's requests were granted in the last 7 s of the burst, of how many,
    /// and the number of all that were granted.
    fn run(&mut self, grouped: bool) -> (Vec<(f64, f64)>, usize) {
        let (mut counts, mut all) = (vec![(0.0, 0.0); self.groups.len()], 0);
        for step in 0..32_000 {
            let now = NOW + Duration::from_millis(step);
            for (group, count) in counts.iter_mut().enumerate() {
                let is_burst = group == 0 && (20_000..30_000).contains(&step);
                let factor = if is_burst { self.factor } else { 1.0 };
                let per_ms = self.groups[group] * factor * self.deciders.len() as f64 * 0.01;
                let requests = per_ms as usize + usize::from(self.rng.random_bool(per_ms.fract()));
                for number in 0..requests {
                    let granted = self.ask(if grouped { group } else { 0 }, (number, now));
                    all += usize::from(granted);
                    if (23_000..30_000).contains(&step) {
                        count.0 += f64::from(u8::from(granted));
                        count.1 += 1.0;
                    }
                }
            }
        }
        (counts, all)
    }

    /// Asks three deciders at random.
    fn ask(&mut self, group: usize, (number, now): (usize, Time)) -> bool {
        let key = [group as u64, number as u64, now.0].map(u64::to_le_bytes);
        let request = Fingerprint::of(key.iter().map(|part| &part[..]));
        let work = Duration::from_millis(100);
        for _ in 0..3 {
            let index = self.rng.random_range(0..self.deciders.len());
            let Decider { shares, busy_until } = &mut self.deciders[index];
            let wait = busy_until.since(now);
            shares.ask(claim(group), request, work, now);
            let fraction = shares.fraction(claim(group), wait.is_zero(), now);
            if (wait + work).div_f64(fraction) <= LIMIT {
                shares.grant(claim(group), work, now);
                *busy_until = now.max(*busy_until) + work;
                return true;
            }
            shares.refuse(claim(group), now);
        }
        false
    }
}

/// Guards against shares that only hold where one process sees everything, and against idle capacity.
#[test]
fn few_and_many_deciders_serve_who_asks_for_no_more_than_its_share() {
    let mut rng = SmallRng::seed_from_u64(7);
    for count in [3, 20, 58, 150] {
        for seed in 0..3 {
            let parts: Vec<f64> = (0..rng.random_range(3..8))
                .map(|_| rng.random_range(0.5..1.5))
                .collect();
            let sum = parts.iter().sum::<f64>() / 0.95;
            let groups: Vec<f64> = parts.iter().map(|part| part / sum).collect();
            let factor = rng.random_range(4.0..10.0);
            let field = || Field {
                deciders: (0..count).map(|_| Decider::default()).collect(),
                groups: groups.clone(),
                factor,
                rng: SmallRng::seed_from_u64(seed),
            };
            let mut asked = groups.clone();
            asked[0] *= factor;
            let level = level(&asked, 1.0);
            let (before, all_before) = field().run(false);
            let mut field = field();
            let (granted, all) = field.run(true);
            let work = all as f64 / all_before as f64;
            let within: Vec<usize> = (1..groups.len())
                .filter(|group| asked[*group] <= level)
                .collect();
            if within.is_empty() {
                continue;
            }
            // Of a small group, three deciders see some 30 requests in 7 s, which is too few for a rate of its own.
            let rate = |counts: &[(f64, f64)]| {
                let sum = |of: fn(&(f64, f64)) -> f64| -> f64 {
                    within.iter().map(|group| of(&counts[*group])).sum()
                };
                sum(|count| count.0) / sum(|count| count.1)
            };
            let (before, served) = (rate(&before), rate(&granted));
            println!(
                "{count} deciders, {asked:.2?}: {before:.2} before, {served:.2}; work {work:.3}"
            );
            assert!(served >= SERVED_MIN, "{count} deciders: {served:.2}");
            assert!(work >= WORK_MIN, "{count} deciders: {work:.3}");
            let end = NOW + Duration::from_secs(32);
            for Decider { shares, .. } in &mut field.deciders {
                assert!(
                    shares.fraction(claim(0), false, end) == 1.0,
                    "{count} deciders"
                );
            }
        }
    }
}
