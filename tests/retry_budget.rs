//! Tests the retry budget under loads that exhaust it: entries are killed and restarted while
//! replicas reject half of their requests, hundreds of streams break off, and links delay retries.

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

/// Whether the retries keep the budget in every window that ends with one of them.
fn keeps_budget(requests: &[Time], retries: &[Time]) -> bool {
    retries.iter().all(|&end| {
        let in_window = |at: &&Time| **at <= end && end.since(**at) < SETTING.window;
        let request_count = requests.iter().filter(in_window).count() as f64;
        let retry_count = retries.iter().filter(in_window).count() as f64;
        retry_count <= SETTING.ratio * request_count + SETTING.slack
    })
}

/// Every entry wants to retry more than allowed. Six of seven are killed once, at any time, and
/// restart without knowing what was spent.
#[test]
fn restarted_entries_do_not_spend_the_slack_twice() {
    fn property(killed: u8) -> bool {
        let killed = Time::from_millis(50_000 + u64::from(killed) * 80);
        let mut budgets: Vec<Budget> = (0..ENTRIES)
            .map(|_| Budget::new(SETTING, Time::default()))
            .collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut restarted = false;
        for step in 0..3_000u64 {
            let now = Time::from_millis(50_000 + step * 10);
            if now >= killed && !restarted {
                restarted = true;
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
                if reserve(budget, now, now) {
                    retries.push(now);
                }
            }
        }
        keeps_budget(&requests, &retries)
    }
    quickcheck(property as fn(u8) -> bool);
}

/// Two of five streams break off halfway. Resuming a stream counts as a retry.
#[test]
fn hundreds_of_broken_streams_are_resumed_within_the_budget() {
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
    let sent_twice = Situation { sent: 2, ..broken };
    assert_eq!(
        attempt::after(Ended::Broken, sent_twice),
        Next::GiveUp(Outcome::Unknown)
    );
    let mut budget = Budget::new(SETTING, Time::default());
    let (mut requests, mut retries, mut broken_count) = (Vec::new(), Vec::new(), 0);
    for step in 0..1_500u64 {
        let now = Time::from_millis(50_000 + step * 10);
        budget.request(SETTING, now);
        requests.push(now);
        if step % 5 < 2 {
            broken_count += 1;
            if let Some(reservation) = budget.reserve(SETTING, 1, now) {
                budget.arrived(reservation, now);
                retries.push(now);
            }
        }
    }
    assert!(keeps_budget(&requests, &retries));
    assert!(
        retries.len() * 2 > broken_count,
        "{} of {broken_count}",
        retries.len()
    );
}

/// Guards against delayed retries exceeding the budget. Retries used to count when they were
/// decided, while the limit applies to arrivals, and nothing bounds the time in between. Entries
/// could spend their whole budget on retries that were delayed in transit while connections were
/// silent, and as much again a window later, and all of them arrived at once. Found by reading the
/// code and with this model; no simulated day that exceeded the limit was found.
#[test]
fn delayed_retries_count_when_they_arrive() {
    fn property(delay: u8, offset: u8) -> bool {
        let delay = Duration::from_millis(u64::from(delay) * 12);
        let mut budgets: Vec<Budget> = (0..ENTRIES)
            .map(|_| Budget::new(SETTING, Time::default()))
            .collect();
        let first_burst = Time::from_millis(62_000);
        let second_burst =
            first_burst + SETTING.window + Duration::from_millis(300 + u64::from(offset) * 4);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in 0..2_600u64 {
            let now = Time::from_millis(50_000 + step * 10);
            budgets[step as usize % ENTRIES].request(SETTING, now);
            requests.push(now);
            let transit_time = match now {
                now if now == first_burst => delay,
                now if now.since(second_burst) < Duration::from_millis(10)
                    && now >= second_burst =>
                {
                    Duration::ZERO
                }
                _ => continue,
            };
            for budget in &mut budgets {
                while reserve(budget, now, now + transit_time) {
                    retries.push(now + transit_time);
                }
            }
        }
        retries.sort();
        keeps_budget(&requests, &retries)
    }
    quickcheck(property as fn(u8, u8) -> bool);
}

/// Reserves a retry that is decided at `now` and arrives at `arrives`, if the budget allows it.
fn reserve(budget: &mut Budget, now: Time, arrives: Time) -> bool {
    let reservation = budget.reserve(SETTING, ENTRIES, now);
    if let Some(reservation) = reservation {
        budget.arrived(reservation, arrives);
    }
    reservation.is_some()
}

/// A released retry is available again. A retry that may be in transit stays reserved, however
/// long that takes.
#[test]
fn retry_counts_until_its_arrival_or_release() {
    let setting = Setting {
        slack: 1.0,
        ..SETTING
    };
    let mut budget = Budget::new(setting, Time::default());
    let at = |seconds: u64| Time::from_millis(50_000 + seconds * 1_000);
    let released = budget.reserve(setting, 1, at(0)).unwrap();
    assert_eq!(budget.reserve(setting, 1, at(0)), None);
    budget.release(released);
    let sent = budget.reserve(setting, 1, at(0)).unwrap();
    assert_eq!(budget.reserve(setting, 1, at(60)), None);
    budget.arrived(sent, at(60));
    assert_eq!(budget.reserve(setting, 1, at(70)), None);
    assert!(budget.reserve(setting, 1, at(71)).is_some());
}

/// Guards against restarted entries exceeding the budget. With replicas rejecting half of their
/// requests, entries spent what a quiet period had earned, were killed, and started again without
/// knowing their earlier retries, which had been earned by requests older than the window.
/// Observed: 549 arrivals beyond the first of each request in 10 s for 2,244 requests, one more
/// than allowed. By calculation, entries spent 0.16 of a window's requests and the slack before the
/// restart, and 0.16 of half a window's requests after it.
#[test]
fn restarted_entries_keep_the_budget_after_a_quiet_period() {
    fn property(restart_count: u8, interval: u8) -> bool {
        let mut budgets: Vec<Budget> = (0..ENTRIES)
            .map(|_| Budget::new(SETTING, Time::default()))
            .collect();
        let first_restart = Time::from_millis(62_000);
        let interval = Duration::from_millis(300 + u64::from(interval) * 30);
        let mut restarts: Vec<Time> = (0..1 + u32::from(restart_count % 3))
            .map(|index| first_restart + interval * index)
            .collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in 0..3_600u64 {
            let now = Time::from_millis(50_000 + step * 10);
            budgets[step as usize % ENTRIES].request(SETTING, now);
            requests.push(now);
            if now + Duration::from_millis(200) < first_restart {
                continue;
            }
            if restarts.first().is_some_and(|restart| now >= *restart) {
                restarts.remove(0);
                let setting = Setting {
                    full_at_start: false,
                    ..SETTING
                };
                budgets.fill_with(|| Budget::new(setting, now));
            }
            for budget in &mut budgets {
                while reserve(budget, now, now) {
                    retries.push(now);
                }
            }
        }
        keeps_budget(&requests, &retries)
    }
    quickcheck(property as fn(u8, u8) -> bool);
}
