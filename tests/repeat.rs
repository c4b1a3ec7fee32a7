//! The budget of repeated requests under loads that spend it: entries are killed and start again while
//! replicas shed half of what they get, streams break off by the hundred, and links hold repeats up.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::request::Outcome;
use pumicelatch::request::attempt::{self, Ended, Next, Situation};
use pumicelatch::request::budget::{Budget, Setting};
use quickcheck::quickcheck;

const SETTING: Setting = Setting {
    ratio: 0.2,
    slack: 100.0,
    window: Duration::from_secs(10),
    full_at_start: true,
};

const ENTRIES: usize = 7;

/// Whether repeats keep within the budget in every window that ends with one.
fn holds(requests: &[Time], repeats: &[Time]) -> bool {
    repeats.iter().all(|&end| {
        let within = |at: &&Time| **at <= end && end.since(**at) < SETTING.window;
        let asked = requests.iter().filter(within).count() as f64;
        let spent = repeats.iter().filter(within).count() as f64;
        spent <= SETTING.ratio * asked + SETTING.slack
    })
}

/// Every entry wants to repeat more than it may. Six of seven are killed once, at any moment, and start
/// again without a memory of what was spent.
#[test]
fn entries_that_start_again_do_not_spend_the_slack_twice() {
    fn property(killed: u8) -> bool {
        let killed = Time::from_millis(50_000 + u64::from(killed) * 80);
        let mut budgets: Vec<Budget> = (0..ENTRIES)
            .map(|_| Budget::new(SETTING, Time::default()))
            .collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut again = false;
        for step in 0..3_000u64 {
            let now = Time::from_millis(50_000 + step * 10);
            if now >= killed && !again {
                again = true;
                let setting = Setting {
                    full_at_start: false,
                    ..SETTING
                };
                budgets[..ENTRIES - 1].fill_with(|| Budget::new(setting, now));
            }
            let budget = &mut budgets[step as usize % ENTRIES];
            budget.request(SETTING, now);
            requests.push(now);
            for _ in 0..2 {
                if repeat(budget, now, now) {
                    repeats.push(now);
                }
            }
        }
        holds(&requests, &repeats)
    }
    quickcheck(property as fn(u8) -> bool);
}

/// Two of five streams break off, each in the middle. Taking one up is a repeat like any other.
#[test]
fn streams_that_break_off_by_the_hundred_are_taken_up_within_the_budget() {
    let broken = Situation {
        repeatable: true,
        tainted: true,
        sent: 1,
        sent_max: 2,
        connect_failures: 0,
        time_left: true,
    };
    assert_eq!(
        attempt::after(Ended::Broken, broken),
        Next::Elsewhere { charged: true }
    );
    let twice = Situation { sent: 2, ..broken };
    assert_eq!(
        attempt::after(Ended::Broken, twice),
        Next::GiveUp(Outcome::Unknown)
    );
    let mut budget = Budget::new(SETTING, Time::default());
    let (mut requests, mut repeats, mut wanted) = (Vec::new(), Vec::new(), 0);
    for step in 0..1_500u64 {
        let now = Time::from_millis(50_000 + step * 10);
        budget.request(SETTING, now);
        requests.push(now);
        if step % 5 < 2 {
            wanted += 1;
            if let Some(repeat) = budget.reserve(SETTING, 1, now) {
                budget.arrived(repeat, now);
                repeats.push(now);
            }
        }
    }
    assert!(holds(&requests, &repeats));
    assert!(repeats.len() * 2 > wanted, "{} of {wanted}", repeats.len());
}

/// Incident: repeats piled up beyond what is allowed.
///
/// Seen: a service got more arrivals beyond the first of their requests in a window than its budget allows, while
/// connections were silent. How it comes about: all entries spend all that they may, what they send is held up on its way,
/// and a window later they spend as much again, which arrives at once. Cause: a repeat was counted when it was
/// decided, and the bound is on when it arrives; nothing bounds what lies between. Shown by reading and by this model; days
/// that broke the bound were not found.
#[test]
fn repeats_that_are_held_up_on_their_way_count_when_they_arrive() {
    fn property(held_up: u8, later: u8) -> bool {
        let held_up = Duration::from_millis(u64::from(held_up) * 12);
        let mut budgets: Vec<Budget> = (0..ENTRIES)
            .map(|_| Budget::new(SETTING, Time::default()))
            .collect();
        let first = Time::from_millis(62_000);
        let second = first + SETTING.window + Duration::from_millis(300 + u64::from(later) * 4);
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for step in 0..2_600u64 {
            let now = Time::from_millis(50_000 + step * 10);
            budgets[step as usize % ENTRIES].request(SETTING, now);
            requests.push(now);
            let way = match now {
                now if now == first => held_up,
                now if now.since(second) < Duration::from_millis(10) && now >= second => {
                    Duration::ZERO
                }
                _ => continue,
            };
            for budget in &mut budgets {
                while repeat(budget, now, now + way) {
                    repeats.push(now + way);
                }
            }
        }
        repeats.sort();
        holds(&requests, &repeats)
    }
    quickcheck(property as fn(u8, u8) -> bool);
}

/// Takes a repeat that is decided at `now` and arrives at `arrives`, if there is one.
fn repeat(budget: &mut Budget, now: Time, arrives: Time) -> bool {
    let repeat = budget.reserve(SETTING, ENTRIES, now);
    if let Some(repeat) = repeat {
        budget.arrived(repeat, arrives);
    }
    repeat.is_some()
}

/// A repeat that turns out not to have been sent is another's, and one that may still be on its way is nobody's, however long that
/// takes.
#[test]
fn a_repeat_counts_until_it_is_known_what_became_of_it() {
    let setting = Setting {
        slack: 1.0,
        ..SETTING
    };
    let mut budget = Budget::new(setting, Time::default());
    let at = |seconds: u64| Time::from_millis(50_000 + seconds * 1_000);
    let unsent = budget.reserve(setting, 1, at(0)).unwrap();
    assert_eq!(budget.reserve(setting, 1, at(0)), None);
    budget.release(unsent);
    let sent = budget.reserve(setting, 1, at(0)).unwrap();
    assert_eq!(budget.reserve(setting, 1, at(60)), None);
    budget.arrived(sent, at(60));
    assert_eq!(budget.reserve(setting, 1, at(70)), None);
    assert!(budget.reserve(setting, 1, at(71)).is_some());
}

/// Incident: repeats piled up beyond what is allowed, the second way.
///
/// Seen: 549 arrivals beyond the first of their requests in 10 s for 2,244 requests, one more than allowed. How it came about: replicas shed
/// half of what they got, entries had calm seconds behind them and spent what those allowed, were killed, and began again.
/// Cause: a life that begins knows of no repeat of the one before, and what that had spent of the ratio was allowed by
/// requests older than the window. Proved by the sums: 0.16 of a window's requests and the slack before, and
/// 0.16 of half a window's after; and by this model.
#[test]
fn entries_that_spend_what_calm_seconds_allow_and_start_again_keep_the_budget() {
    fn property(lives: u8, apart: u8) -> bool {
        let mut budgets: Vec<Budget> = (0..ENTRIES)
            .map(|_| Budget::new(SETTING, Time::default()))
            .collect();
        let first = Time::from_millis(62_000);
        let apart = Duration::from_millis(300 + u64::from(apart) * 30);
        let mut deaths: Vec<Time> = (0..1 + u32::from(lives % 3))
            .map(|life| first + apart * life)
            .collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for step in 0..3_600u64 {
            let now = Time::from_millis(50_000 + step * 10);
            budgets[step as usize % ENTRIES].request(SETTING, now);
            requests.push(now);
            if now + Duration::from_millis(200) < first {
                continue;
            }
            if deaths.first().is_some_and(|death| now >= *death) {
                deaths.remove(0);
                let setting = Setting {
                    full_at_start: false,
                    ..SETTING
                };
                budgets.fill_with(|| Budget::new(setting, now));
            }
            for budget in &mut budgets {
                while repeat(budget, now, now) {
                    repeats.push(now);
                }
            }
        }
        holds(&requests, &repeats)
    }
    quickcheck(property as fn(u8, u8) -> bool);
}
