//! A planned stop cuts nothing: every interleaving of requests, looks and time, for the rule as it is
//! and for two that are broken.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::stop::{Decision, Kind, Phase, Setting, Stop};

/// A step of time.
const STEP: Duration = Duration::from_millis(1);

const SETTING: Setting = Setting {
    announce_period: Duration::from_millis(1),
    time_limit: Duration::from_millis(5),
    last_bytes: Duration::from_millis(2),
    close: Duration::from_millis(1),
    reachable: false,
};

/// Steps after which the process may end whatever is under way.
const END: u64 = 8;

/// Steps after which nothing new is looked at.
const HORIZON: u64 = 16;

/// Looks after [`END`] at the latest of which the process ends.
const LOOKS_MAX: u32 = 8;

/// Who decides about a stop.
trait Rule: Copy + Eq + Hash + Debug {
    fn begin(now: Time) -> Self;
    fn arrive(&mut self, kind: Kind, now: Time) -> Decision;
    fn end(&mut self, verdict: Decision, now: Time);
    fn look(&mut self, now: Time) -> Phase;
}

impl Rule for Stop {
    fn begin(now: Time) -> Self {
        let mut stop = Self::default();
        stop.begin(SETTING, now);
        stop
    }

    fn arrive(&mut self, kind: Kind, now: Time) -> Decision {
        Stop::arrive(self, kind, now)
    }

    fn end(&mut self, _: Decision, now: Time) {
        Stop::end(self, now);
    }

    fn look(&mut self, now: Time) -> Phase {
        Stop::look(self, now)
    }
}

/// Broken: it takes whatever comes, sees once that it is idle, and never looks again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LooksOnce {
    began: Time,
    idle: Option<Time>,
    under_way: u64,
}

impl Rule for LooksOnce {
    fn begin(now: Time) -> Self {
        Self {
            began: now,
            idle: None,
            under_way: 0,
        }
    }

    fn arrive(&mut self, _: Kind, _: Time) -> Decision {
        self.under_way += 1;
        Decision::Taken
    }

    fn end(&mut self, _: Decision, _: Time) {
        self.under_way -= 1;
    }

    fn look(&mut self, now: Time) -> Phase {
        let spent = now.since(self.began);
        if spent >= SETTING.time_limit || (spent >= SETTING.announce_period && self.under_way == 0)
        {
            self.idle.get_or_insert(now);
        }
        match self.idle {
            Some(idle) if now.since(idle) >= SETTING.last_bytes => Phase::Over,
            _ => Phase::Announced,
        }
    }
}

/// Broken: it refuses in time, and does not wait until the refusals have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ForgetsRefusals(Stop);

impl Rule for ForgetsRefusals {
    fn begin(now: Time) -> Self {
        Self(Rule::begin(now))
    }

    fn arrive(&mut self, kind: Kind, now: Time) -> Decision {
        let mut tried = self.0;
        let verdict = tried.arrive(kind, now);
        if verdict == Decision::Taken {
            self.0 = tried;
        }
        verdict
    }

    fn end(&mut self, verdict: Decision, now: Time) {
        if verdict == Decision::Taken {
            self.0.end(now);
        }
    }

    fn look(&mut self, now: Time) -> Phase {
        self.0.look(now)
    }
}

/// A caller's connection and the one request that may come on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Request {
    /// The connection is open and rests.
    Resting(Kind),
    /// It was read and is not answered.
    Read(Decision),
    /// Its answer was handed over.
    Answered(Time),
    /// Its answer has left, or its connection was closed at rest.
    Gone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct World<R> {
    rule: R,
    now: Time,
    phase: Phase,
    requests: [Request; 2],
}

impl<R: Rule> World<R> {
    fn spent(&self) -> u64 {
        self.now.0 / STEP.as_micros() as u64
    }

    /// What a request meets that is not over when the process ends.
    fn ends(&self) -> Result<(), String> {
        if self.spent() >= END {
            return Ok(());
        }
        for request in self.requests {
            let cut = match request {
                Request::Resting(_) | Request::Gone => false,
                Request::Read(_) => true,
                Request::Answered(at) => self.now.since(at) < SETTING.last_bytes,
            };
            if cut {
                return Err(format!("cut: {self:?}"));
            }
        }
        Ok(())
    }

    /// All that may happen next. An error is a broken promise.
    fn next(&self) -> Result<Vec<Self>, String> {
        let mut all = Vec::new();
        if self.spent() < HORIZON {
            let mut later = *self;
            later.now = self.now + STEP;
            all.push(later);
        }
        let mut looked = *self;
        looked.phase = looked.rule.look(self.now);
        match looked.phase {
            Phase::Over => looked.ends()?,
            _ => all.push(looked),
        }
        for index in 0..self.requests.len() {
            all.extend(self.request(index)?);
        }
        Ok(all)
    }

    /// What may happen to one request.
    fn request(&self, index: usize) -> Result<Vec<Self>, String> {
        let with = |request: Request| {
            let mut next = *self;
            next.requests[index] = request;
            next
        };
        Ok(match self.requests[index] {
            Request::Resting(kind) => {
                let mut read = *self;
                let verdict = read.rule.arrive(kind, self.now);
                read.requests[index] = Request::Read(verdict);
                if verdict == Decision::Taken && self.phase >= Phase::Ending {
                    return Err(format!("taken too late: {self:?}"));
                }
                let mut both = vec![read];
                if self.phase == Phase::Closing {
                    both.push(with(Request::Gone));
                }
                both
            }
            Request::Read(verdict) => {
                let mut answered = with(Request::Answered(self.now));
                answered.rule.end(verdict, self.now);
                vec![answered]
            }
            Request::Answered(_) => vec![with(Request::Gone)],
            Request::Gone => Vec::new(),
        })
    }

    /// Whether the process ends soon once it must.
    fn ends_in_time(&self) -> bool {
        let mut rule = self.rule;
        let end = Time::default() + STEP * END as u32;
        (0..LOOKS_MAX).any(|look| rule.look(self.now.max(end) + STEP * look) == Phase::Over)
    }
}

/// Goes through all that may happen. Returns the number of states, or what broke first.
fn explore<R: Rule>(kinds: [Kind; 2]) -> Result<usize, String> {
    let first = World {
        rule: R::begin(Time::default()),
        now: Time::default(),
        phase: Phase::Announced,
        requests: kinds.map(Request::Resting),
    };
    let mut seen = HashSet::from([first]);
    let mut open = vec![first];
    while let Some(world) = open.pop() {
        if !world.ends_in_time() {
            return Err(format!("it does not end: {world:?}"));
        }
        for next in world.next()? {
            if seen.insert(next) {
                open.push(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_interleaving_cuts_a_request_or_holds_the_process_up() {
    for kinds in [[Kind::New, Kind::New], [Kind::New, Kind::Continued]] {
        let states = explore::<Stop>(kinds).unwrap();
        assert!(states > 1_000, "{states} states are too few");
    }
}

#[test]
fn a_rule_that_looks_once_is_caught() {
    let broken = explore::<LooksOnce>([Kind::New, Kind::New]).unwrap_err();
    assert!(broken.starts_with("cut"), "{broken}");
}

#[test]
fn a_rule_that_does_not_wait_for_refusals_is_caught() {
    let broken = explore::<ForgetsRefusals>([Kind::New, Kind::New]).unwrap_err();
    assert!(broken.starts_with("cut"), "{broken}");
}

#[test]
fn a_peer_is_dismissed_and_holds_nobody_up() {
    let now = Time::default();
    let mut stop = <Stop as Rule>::begin(now);
    assert_eq!(stop.arrive(Kind::Peer, now), Decision::Taken);
    stop.end(now);
    let later = now + SETTING.announce_period;
    assert_eq!(stop.look(later), Phase::Refusing);
    assert_eq!(stop.arrive(Kind::Peer, later), Decision::Dismissed);
    assert_eq!(stop.in_flight(), 0);
    assert_eq!(stop.look(later), Phase::LastBytes);
}

#[test]
fn connections_are_accepted_for_what_is_under_way_where_that_needs_them() {
    let now = Time::default();
    for reachable in [false, true] {
        let mut stop = Stop::default();
        let setting = Setting {
            reachable,
            ..SETTING
        };
        stop.begin(setting, now);
        assert!(stop.accepts());
        assert_eq!(stop.arrive(Kind::New, now), Decision::Taken);
        let later = now + SETTING.announce_period;
        assert_eq!(stop.look(later), Phase::Refusing);
        assert_eq!(stop.accepts(), reachable);
        assert_eq!(stop.arrive(Kind::Continued, later), Decision::Taken);
        stop.end(later);
        stop.end(later);
        assert_eq!(stop.look(later), Phase::LastBytes);
        assert!(!stop.accepts());
    }
}

#[test]
fn a_stop_is_over_within_its_grace() {
    for grace_ms in [0, 3_500, 5_000, 8_000, 60_000] {
        let grace = Duration::from_millis(grace_ms);
        let mut stop = Stop::default();
        let began = Time::default();
        stop.begin(Setting::within(grace), began);
        assert_eq!(stop.arrive(Kind::New, began), Decision::Taken);
        let mut now = began;
        while stop.look(now) != Phase::Over {
            now = now + Duration::from_millis(50);
        }
        // Who routes here hears of it in any case.
        let least = Setting::default().announce_period + Duration::from_millis(700);
        assert!(now.since(began) <= grace.max(least), "{grace_ms}: {now:?}");
    }
}
