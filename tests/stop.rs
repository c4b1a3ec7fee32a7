//! Model check of a planned stop: explores every interleaving of requests, polls and time, and verifies
//! that no request is cut. Two deliberately faulty rules show that the check detects violations.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::stop::{Decision, Kind, Phase, Setting, Stop};

/// Time step of the model.
const STEP: Duration = Duration::from_millis(1);

const SETTING: Setting = Setting {
    announce_period: Duration::from_millis(1),
    time_limit: Duration::from_millis(5),
    flush_period: Duration::from_millis(2),
    close_period: Duration::from_millis(1),
    reachable: false,
};

/// Number of steps after which the process may exit even if requests are in flight.
const END: u64 = 8;

/// Number of steps after which time no longer advances in the model.
const HORIZON: u64 = 16;

/// Maximum number of polls from [`END`] on, one per step, until the process exits.
const POLLS_MAX: u32 = 8;

/// The decisions of a stop that the model checks.
trait Rule: Copy + Eq + Hash + Debug {
    fn begin(now: Time) -> Self;
    fn admit(&mut self, kind: Kind, now: Time) -> Decision;
    fn finish(&mut self, decision: Decision, now: Time);
    fn poll(&mut self, now: Time) -> Phase;
}

impl Rule for Stop {
    fn begin(now: Time) -> Self {
        let mut stop = Self::default();
        stop.begin(SETTING, now);
        stop
    }

    fn admit(&mut self, kind: Kind, now: Time) -> Decision {
        Stop::admit(self, kind, now)
    }

    fn finish(&mut self, _: Decision, now: Time) {
        Stop::finish(self, now);
    }

    fn poll(&mut self, now: Time) -> Phase {
        Stop::poll(self, now)
    }
}

/// Faulty: accepts every request, and does not check again after it has once found no request in
/// flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ChecksOnce {
    began: Time,
    idle: Option<Time>,
    in_flight: u64,
}

impl Rule for ChecksOnce {
    fn begin(now: Time) -> Self {
        Self {
            began: now,
            idle: None,
            in_flight: 0,
        }
    }

    fn admit(&mut self, _: Kind, _: Time) -> Decision {
        self.in_flight += 1;
        Decision::Accepted
    }

    fn finish(&mut self, _: Decision, _: Time) {
        self.in_flight -= 1;
    }

    fn poll(&mut self, now: Time) -> Phase {
        let elapsed = now.since(self.began);
        if elapsed >= SETTING.time_limit
            || (elapsed >= SETTING.announce_period && self.in_flight == 0)
        {
            self.idle.get_or_insert(now);
        }
        match self.idle {
            Some(idle) if now.since(idle) >= SETTING.flush_period => Phase::Done,
            _ => Phase::Announced,
        }
    }
}

/// Faulty: refuses requests in time, but does not wait until the refusals have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct IgnoresRefusals(Stop);

impl Rule for IgnoresRefusals {
    fn begin(now: Time) -> Self {
        Self(Rule::begin(now))
    }

    fn admit(&mut self, kind: Kind, now: Time) -> Decision {
        let mut attempt = self.0;
        let decision = attempt.admit(kind, now);
        if decision == Decision::Accepted {
            self.0 = attempt;
        }
        decision
    }

    fn finish(&mut self, decision: Decision, now: Time) {
        if decision == Decision::Accepted {
            self.0.finish(now);
        }
    }

    fn poll(&mut self, now: Time) -> Phase {
        self.0.poll(now)
    }
}

/// A connection of a caller and the one request that may arrive on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Request {
    /// The connection is open and idle.
    Idle(Kind),
    /// The request was read and has not been answered.
    Read(Decision),
    /// The answer was handed over.
    Answered(Time),
    /// The answer has left the process, or the idle connection was closed.
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct State<R> {
    rule: R,
    now: Time,
    phase: Phase,
    requests: [Request; 2],
}

impl<R: Rule> State<R> {
    fn elapsed(&self) -> u64 {
        self.now.0 / STEP.as_micros() as u64
    }

    /// Checks that the exit of the process cuts no request.
    fn check_exit(&self) -> Result<(), String> {
        if self.elapsed() >= END {
            return Ok(());
        }
        for request in self.requests {
            let cut = match request {
                Request::Idle(_) | Request::Closed => false,
                Request::Read(_) => true,
                Request::Answered(at) => self.now.since(at) < SETTING.flush_period,
            };
            if cut {
                return Err(format!("cut: {self:?}"));
            }
        }
        Ok(())
    }

    /// Returns all possible next states, or an error if one violates the rules of a stop.
    fn successors(&self) -> Result<Vec<Self>, String> {
        let mut next = Vec::new();
        if self.elapsed() < HORIZON {
            let mut later = *self;
            later.now = self.now + STEP;
            next.push(later);
        }
        let mut polled = *self;
        polled.phase = polled.rule.poll(self.now);
        match polled.phase {
            Phase::Done => polled.check_exit()?,
            _ => next.push(polled),
        }
        for index in 0..self.requests.len() {
            next.extend(self.request_successors(index)?);
        }
        Ok(next)
    }

    /// Returns the possible next states in which one request advances.
    fn request_successors(&self, index: usize) -> Result<Vec<Self>, String> {
        let with = |request: Request| {
            let mut next = *self;
            next.requests[index] = request;
            next
        };
        Ok(match self.requests[index] {
            Request::Idle(kind) => {
                let mut read = *self;
                let decision = read.rule.admit(kind, self.now);
                read.requests[index] = Request::Read(decision);
                if decision == Decision::Accepted && self.phase >= Phase::Aborting {
                    return Err(format!("accepted too late: {self:?}"));
                }
                let mut next = vec![read];
                if self.phase == Phase::Closing {
                    next.push(with(Request::Closed));
                }
                next
            }
            Request::Read(decision) => {
                let mut answered = with(Request::Answered(self.now));
                answered.rule.finish(decision, self.now);
                vec![answered]
            }
            Request::Answered(_) => vec![with(Request::Closed)],
            Request::Closed => Vec::new(),
        })
    }

    /// Whether the process exits within [`POLLS_MAX`] polls from [`END`] on.
    fn exits_in_time(&self) -> bool {
        let mut rule = self.rule;
        let end = Time::default() + STEP * END as u32;
        (0..POLLS_MAX).any(|poll| rule.poll(self.now.max(end) + STEP * poll) == Phase::Done)
    }
}

/// Explores all reachable states. Returns their number, or the first violation.
fn explore<R: Rule>(kinds: [Kind; 2]) -> Result<usize, String> {
    let first = State {
        rule: R::begin(Time::default()),
        now: Time::default(),
        phase: Phase::Announced,
        requests: kinds.map(Request::Idle),
    };
    let mut seen = HashSet::from([first]);
    let mut pending = vec![first];
    while let Some(state) = pending.pop() {
        if !state.exits_in_time() {
            return Err(format!("process does not exit: {state:?}"));
        }
        for next in state.successors()? {
            if seen.insert(next) {
                pending.push(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_interleaving_cuts_a_request_or_delays_the_exit() {
    for kinds in [[Kind::New, Kind::New], [Kind::New, Kind::Continued]] {
        let count = explore::<Stop>(kinds).unwrap();
        assert!(count > 1_000, "only {count} states explored");
    }
}

#[test]
fn a_rule_that_checks_once_fails() {
    let violation = explore::<ChecksOnce>([Kind::New, Kind::New]).unwrap_err();
    assert!(violation.starts_with("cut"), "{violation}");
}

#[test]
fn a_rule_that_does_not_wait_for_refusals_fails() {
    let violation = explore::<IgnoresRefusals>([Kind::New, Kind::New]).unwrap_err();
    assert!(violation.starts_with("cut"), "{violation}");
}

#[test]
fn a_peer_request_is_dismissed_and_does_not_delay_the_stop() {
    let now = Time::default();
    let mut stop = <Stop as Rule>::begin(now);
    assert_eq!(stop.admit(Kind::Peer, now), Decision::Accepted);
    stop.finish(now);
    let later = now + SETTING.announce_period;
    assert_eq!(stop.poll(later), Phase::Refusing);
    assert_eq!(stop.admit(Kind::Peer, later), Decision::Dismissed);
    assert_eq!(stop.in_flight(), 0);
    assert_eq!(stop.poll(later), Phase::Flushing);
}

#[test]
fn connections_are_accepted_while_requests_are_in_flight_if_reachable_is_set() {
    let now = Time::default();
    for reachable in [false, true] {
        let mut stop = Stop::default();
        let setting = Setting {
            reachable,
            ..SETTING
        };
        stop.begin(setting, now);
        assert!(stop.accepts_connections());
        assert_eq!(stop.admit(Kind::New, now), Decision::Accepted);
        let later = now + SETTING.announce_period;
        assert_eq!(stop.poll(later), Phase::Refusing);
        assert_eq!(stop.accepts_connections(), reachable);
        assert_eq!(stop.admit(Kind::Continued, later), Decision::Accepted);
        stop.finish(later);
        stop.finish(later);
        assert_eq!(stop.poll(later), Phase::Flushing);
        assert!(!stop.accepts_connections());
    }
}

#[test]
fn a_stop_completes_within_its_grace_period() {
    for grace_ms in [0, 3_500, 5_000, 8_000, 60_000] {
        let grace = Duration::from_millis(grace_ms);
        let mut stop = Stop::default();
        let began = Time::default();
        stop.begin(Setting::within(grace), began);
        assert_eq!(stop.admit(Kind::New, began), Decision::Accepted);
        let mut now = began;
        while stop.poll(now) != Phase::Done {
            now = now + Duration::from_millis(50);
        }
        // The stop is announced for the full period even if the grace period is shorter.
        let least = Setting::default().announce_period + Duration::from_millis(700);
        assert!(now.since(began) <= grace.max(least), "{grace_ms}: {now:?}");
    }
}
