//! Admission by size: size classes, what is reserved for them, limits at fast and slow replicas, and a model of a
//! hall under overload.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::catalog::ListedReplica;
use pumicelatch::config::residency::{Regions, Residency};
use pumicelatch::config::routing::Engine;
use pumicelatch::lease::{self, Ledger};
use pumicelatch::limit::size::{Class, Sizes};
use pumicelatch::member::replica::{LoadedModel, Record};
use pumicelatch::policy::Policy;
use pumicelatch::route::estimate::{self, Demand};
use pumicelatch::route::pool::limit::Terms;
use pumicelatch::route::pool::{Choice, Key, ModelQuery, Pool, Query, Unavailable};
use pumicelatch::route::replica::Load;
use pumicelatch::route::search::{Reply, Search, Step};
use pumicelatch::standin::batch::{Batch, Work};
use quickcheck::{TestResult, quickcheck};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const MODEL: &str = "model";
const NOW: Time = Time::from_millis(50_000);
const LIMIT: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(6);

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

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:80", index + 1).parse().unwrap()
}

fn load(running: u32, queued: u32, pace: f64) -> Load {
    Load {
        running,
        queued,
        pace,
        alive: true,
        models: vec![LoadedModel {
            model: MODEL.into(),
            version: 1,
        }],
        ..Load::default()
    }
}

/// A pool of idle replicas, one for each of `paces`.
fn pool_of(paces: &[f64]) -> Pool {
    let mut pool = Pool::new("hall".into(), Policy::default());
    let listed = |index: usize| {
        let record = Record {
            id: format!("i-{index}").into(),
            born: 0,
            service: "tutor".into(),
            address: address(index),
            hall: "hall".into(),
            slots: 16,
            leaving: false,
            models: vec![LoadedModel {
                model: MODEL.into(),
                version: 1,
            }],
            cold_ms: 0,
        };
        ListedReplica {
            record,
            revision: 1,
            removed_at: None,
            provisional: false,
        }
    };
    let list: BTreeMap<Arc<str>, ListedReplica> = (0..paces.len())
        .map(listed)
        .map(|listed| (listed.record.id.clone(), listed))
        .collect();
    pool.update(&list, |_| None);
    for (index, pace) in paces.iter().enumerate() {
        pool.report(address(index), &load(0, 0, *pace), NOW);
    }
    pool
}

/// The engines' figures and the regions, which a query refers to.
struct Site {
    engine: Engine,
    regions: Regions,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            engine: engine(),
            regions: Regions::default(),
        }
    }
}

impl Site {
    fn query(&self, demand: Demand, terms: Option<Terms>) -> Query<'_> {
        Query {
            service: "tutor",
            model: Some(ModelQuery {
                model: MODEL,
                min_version: 0,
                pinned_version: None,
            }),
            engine: Some(&self.engine),
            demand,
            remaining: None,
            terms,
            tried: &[],
            full: &[],
            connections_max: 200,
            residency: &Residency::Anywhere,
            regions: &self.regions,
            cold_per_s: 0.0,
            urgency: 1,
        }
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
    let site = Site::default();
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
    let site = Site::default();
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
        let site = Site::default();
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

/// A request in the model.
#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    prompt: u32,
    output: u32,
    hint: u32,
    arrived: Time,
}

impl Request {
    fn demand(&self) -> Demand {
        Demand {
            prompt: self.prompt,
            output: self.hint.min(OUTPUT_MAX),
        }
    }

    /// Its size in tokens; one of output takes as long as about ten of the prompt.
    fn size(&self) -> u32 {
        self.prompt + 10 * self.output
    }
}

const OUTPUT_MAX: u32 = 250;

/// A kind of request.
struct Kind {
    name: &'static str,
    /// Mean prompt tokens.
    prompt: f64,
    prompt_max: f64,
    /// Mean output tokens.
    output: f64,
    /// Share of all requests.
    share: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "report",
        prompt: 1_290.0,
        prompt_max: 3_880.0,
        output: 100.0,
        share: 0.41,
    },
    Kind {
        name: "explain",
        prompt: 787.0,
        prompt_max: 3_330.0,
        output: 100.0,
        share: 0.31,
    },
    Kind {
        name: "hint",
        prompt: 607.0,
        prompt_max: 2_640.0,
        output: 70.0,
        share: 0.28,
    },
];

fn log_normal(rng: &mut SmallRng, mean: f64, variation: f64) -> f64 {
    let variance = (1.0 + variation * variation).ln();
    let uniform = |rng: &mut SmallRng| rng.random_range(f64::MIN_POSITIVE..1.0);
    let radius = (-2.0 * uniform(rng).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(rng)).cos();
    (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp()
}

fn draw(rng: &mut SmallRng, arrived: Time) -> Request {
    let at = rng.random_range(0.0..1.0);
    let kind = if at < KINDS[0].share {
        0
    } else {
        1 + usize::from(at >= KINDS[0].share + KINDS[1].share)
    };
    let Kind {
        prompt,
        prompt_max,
        output,
        ..
    } = KINDS[kind];
    let output = log_normal(rng, output, 0.85).min(f64::from(OUTPUT_MAX));
    Request {
        kind,
        prompt: log_normal(rng, prompt, 1.0).min(prompt_max) as u32,
        output: output as u32,
        hint: (output * log_normal(rng, 1.0, 0.5)) as u32,
        arrived,
    }
}

struct Replica {
    pace: f64,
    ledger: Ledger,
    batch: Batch<usize>,
    iteration_end: Option<Time>,
}

/// One entry before replicas, in simulated time.
struct Hall {
    site: Site,
    pool: Pool,
    sizes: Sizes,
    kinds: [Arc<str>; 3],
    replicas: Vec<Replica>,
    requests: Vec<Request>,
    /// Where each request was sent, and its number there.
    sent: BTreeMap<usize, (Key, u64)>,
    served: Vec<bool>,
    fair: bool,
    rng: SmallRng,
}

impl Hall {
    fn new(paces: &[f64], fair: bool, seed: u64) -> Self {
        let replica = |pace: &f64| Replica {
            pace: *pace,
            ledger: Ledger::default(),
            batch: Batch::new(engine()),
            iteration_end: None,
        };
        Self {
            site: Site::default(),
            pool: pool_of(paces),
            sizes: Sizes::default(),
            kinds: KINDS.map(|kind| kind.name.into()),
            replicas: paces.iter().map(replica).collect(),
            requests: Vec::new(),
            sent: BTreeMap::new(),
            served: Vec::new(),
            fair,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sends requests at `per_s` for 60 s.
    fn run(&mut self, per_s: f64) {
        for step in 0..60_000 {
            let now = NOW + Duration::from_millis(step);
            self.iterate(now);
            if step % 100 == 0 {
                self.report(now, step % 500 == 0);
            }
            if self.rng.random_bool(per_s / 1_000.0) {
                let request = draw(&mut self.rng, now);
                self.requests.push(request);
                self.served.push(false);
                self.admit(self.requests.len() - 1, now);
            }
        }
    }

    fn report(&mut self, now: Time, to_entries: bool) {
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            let (running, queued) = (replica.batch.running(), replica.batch.queued());
            replica.ledger.observe(running + queued, now);
            if to_entries {
                let load = load(running, queued, replica.pace);
                self.pool.report(address(index), &load, now);
            }
        }
    }

    fn iterate(&mut self, now: Time) {
        let (requests, served, sent) = (&self.requests, &mut self.served, &mut self.sent);
        for replica in &mut self.replicas {
            if replica.iteration_end.is_some_and(|end| end > now) {
                continue;
            }
            if replica.iteration_end.take().is_some() {
                replica.batch.end_iteration(|work| {
                    let (key, number) = sent[&work.caller];
                    let demand = requests[work.caller].demand();
                    self.pool.record_first_event(key, number, demand, true, now);
                    served[work.caller] |= work.is_complete();
                    if work.is_complete() {
                        self.pool.end(key, number);
                    }
                });
            }
            replica.batch.retain(|work| {
                let present = now < requests[work.caller].arrived + DEADLINE;
                if !present && let Some((key, number)) = sent.remove(&work.caller) {
                    self.pool.end(key, number);
                }
                present
            });
            let iteration = replica.batch.begin_iteration();
            replica.iteration_end = iteration.map(|time| now + time.mul_f64(replica.pace));
        }
    }

    fn admit(&mut self, caller: usize, now: Time) {
        let request = self.requests[caller];
        let kind = self.kinds[request.kind].clone();
        let work = estimate::work(&self.site.engine, request.demand());
        let prefill = estimate::prefill(&self.site.engine, request.prompt, 1.0);
        let class = self.sizes.classify(&kind, work, prefill, now);
        let terms = self.fair.then(|| Terms {
            limit: LIMIT,
            spent: Duration::ZERO,
            long_prefill: self.sizes.long_prefill(),
            reserve: self.sizes.reserve(&kind, class),
        });
        let chosen = self.search(request, terms, now);
        if chosen != Err(Unavailable::TooSlow) {
            let admitted = chosen.as_ref().is_ok_and(Option::is_some);
            self.sizes.record(&kind, class, admitted, now);
        }
        if let Ok(Some(choice)) = chosen {
            let number = self
                .pool
                .begin(choice.key, request.demand(), choice.expected, now);
            self.sent.insert(caller, (choice.key, number));
            let index = self.index(choice.key);
            let work = Work::new(request.prompt, request.output, caller);
            self.replicas[index].batch.push(work);
        }
    }

    fn index(&self, key: Key) -> usize {
        let ip = self.pool.get(key).unwrap().record.address.ip();
        let addresses = 0..self.replicas.len();
        addresses
            .into_iter()
            .find(|index| address(*index).ip() == ip)
            .unwrap()
    }

    /// Finds a replica as an entry does; `None` if none is expected to meet the limit.
    fn search(
        &mut self,
        request: Request,
        terms: Option<Terms>,
        now: Time,
    ) -> Result<Option<Choice>, Unavailable> {
        let mut search = Search::new(3);
        loop {
            let query = self.site.query(request.demand(), terms);
            let (taken, places) = self.pool.occupancy(query, now);
            let idle = taken * 2 < places;
            let query = Query {
                remaining: terms.filter(|_| !idle).map(|_| DEADLINE),
                full: search.probed(),
                ..query
            };
            let known = self.pool.choose(query, now, &mut self.rng)?;
            let (key, again) = match search.step() {
                Step::Probe if search.probed().contains(&known.key) => {
                    search.exhausted();
                    continue;
                }
                Step::Probe => (known.key, false),
                Step::Retry(key) => (key, true),
                Step::Decide => return Ok(idle.then_some(known)),
            };
            let limit = self
                .pool
                .first_event_limit(key, query, now)
                .unwrap_or(LIMIT);
            let limits = self.pool.limits(key, query, limit, now).unwrap();
            let at = if again {
                limits.queued
            } else {
                limits.immediate
            };
            let message = lease::Request {
                prompt: request.prompt,
                output: request.demand().output,
                limit_ms: at.as_millis() as u64,
                queue_spread: Policy::default().queue_spread,
                ..lease::Request::default()
            };
            let index = self.index(key);
            let replica = &mut self.replicas[index];
            let load = load(
                replica.batch.running(),
                replica.batch.queued(),
                replica.pace,
            );
            let answer = replica
                .ledger
                .answer(&message, load, Some(&self.site.engine), now);
            let expected = Duration::from_millis(answer.expected_ms.unwrap());
            if answer.given {
                return Ok(Some(Choice { key, ..known }));
            }
            search.record(key, Reply::Queued { expected, limit });
        }
    }

    /// The share of all requests that was served, and the lowest share of a kind's largest tenth and of the fifth
    /// below, relative to the kind's.
    fn shares(&self) -> (f64, f64) {
        let rate = |callers: &[usize]| {
            let served = callers.iter().filter(|caller| self.served[**caller]);
            served.count() as f64 / callers.len() as f64
        };
        let all: Vec<usize> = (0..self.requests.len()).collect();
        let mut lowest = f64::MAX;
        for kind in 0..KINDS.len() {
            let of_kind = |caller: &usize| self.requests[*caller].kind == kind;
            let mut callers: Vec<usize> = all.iter().copied().filter(of_kind).collect();
            callers.sort_by_key(|caller| self.requests[*caller].size());
            let (below, largest) = callers.split_at(callers.len() * 9 / 10);
            let large = &below[callers.len() * 7 / 10..];
            for class in [large, largest] {
                lowest = lowest.min(rate(class) / rate(&callers));
            }
        }
        (rate(&all), lowest)
    }
}

/// Paces of twelve replicas, three of which are fast.
fn mostly_slow(pace: f64) -> Vec<f64> {
    let mut paces = vec![pace; 12];
    paces[..3].fill(1.0);
    paces
}

/// Mean shares over three runs at the load that twelve replicas do not quite carry.
fn mean_shares(paces: &[f64], fair: bool) -> (f64, f64) {
    let shares = [1, 2, 3].map(|seed| {
        let mut hall = Hall::new(paces, fair, seed);
        hall.run(152.0);
        hall.shares()
    });
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
fn the_largest_requests_of_each_kind_are_served_at_four_fifths_of_its_rate_by_few_fast_replicas() {
    let overloads = [
        ("three in four at a quarter", mostly_slow(4.0)),
        ("three in four at a third", mostly_slow(3.0)),
    ];
    sizes_are_served(&overloads, 0.8);
}
