//! Late requests at one entry: which are held until there is capacity, in which order they ask for it,
//! and when they are refused.
//!
//! A caller whose retry is refused has lost its request, so a retry is held while it is expected to be
//! served before its deadline. A request that is held and then refused has cost its caller the time, so
//! without evidence of capacity it is held for a short part of its time only.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Time;
use crate::lease::late;

/// Requests that one entry holds. With 39 entries before 40 replicas of 12 slots, they fill each slot
/// five times.
pub const HELD_MAX: usize = 64;

/// Interval at which the head of a queue asks for capacity: one iteration without prefill.
pub const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the other requests of a queue are evaluated again: a fortieth of the time that
/// retries have left, so that a refusal is not much later than it could be.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time over which the rate of service is measured.
const RATE_WINDOW: Duration = Duration::from_millis(1_000);

/// Shortest run of successes whose rate is used. The first success after a while of none says little
/// about the rate of the following ones.
const RATE_AGE_MIN: Duration = Duration::from_millis(500);

/// Time without success after which a run of successes is over.
const RUN_GAP: Duration = Duration::from_millis(500);

/// Part of its time that a request is held while capacity is short for longer than expected, in percent.
/// With the time until the next evaluation, this is less than the tenth that a caller may lose.
const TRIAL_PERCENT: u32 = 8;

/// Shortest expected shortage. Bursts take 3 to 5 s.
const SHORTAGE_MIN: Duration = Duration::from_millis(3_000);

/// Time without a refused first attempt after which a shortage is over.
const SHORTAGE_GAP: Duration = Duration::from_millis(1_000);

/// Time without a refused first attempt after which the next one begins another shortage. In a long
/// overload by a fifth, each entry refuses one per second on average.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(3_000);

/// Time after the arrival of weights or the end of a shortage in which held requests find free slots.
const BACKLOG_TIME: Duration = Duration::from_millis(3_000);

/// Shortest retry delay given to a refused caller.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);

/// Part of its remaining time up to which a caller respects the retry delay, in percent: a little less
/// than the third in the platform's protocol.
const RETRY_DELAY_SHARE_PERCENT: u32 = 32;

/// Part of the longest retry delay over which retries are spread.
const RETRY_SPREAD: f64 = 0.2;

/// A held request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Its urgency; 0 is the highest.
    pub urgency: u8,
    /// When its response has to be complete.
    pub deadline: Time,
    /// Time that its response takes once it is sent.
    pub response: Duration,
    /// Since when it is held.
    pub since: Time,
    /// The entry's share of the slots of all replicas that can serve it.
    pub slots: u32,
}

impl Waiting {
    /// Time from the return of capacity until the request at `position`, counted from 1, is served: late
    /// requests hold a part of the slots, each for the time of a response.
    fn backlog(self, position: usize) -> Duration {
        let at_a_time = (self.slots / late::SLOTS_DIVISOR).max(1);
        self.response * (position - 1) as u32 / at_a_time
    }
}

/// What is known of the capacity for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Capacity {
    /// Replicas have weights.
    Present,
    /// No replica has weights, and some receive them. They are expected after this time, if known.
    Arriving(Option<Duration>),
    /// No replica can take the request, and none is known to become available.
    Absent,
}

/// What a held request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ask sidecars for a late lease.
    Ask,
    /// Wait for this time at most and evaluate again.
    Wait(Duration),
    /// Give up: it will not be served before its deadline.
    GiveUp,
}

/// Identifies a held request in its queue, and gives its place: by urgency, then by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    urgency: u8,
    deadline: Time,
    number: u64,
}

/// Late requests of one entry for the same replicas.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Place, Entry>,
    last_number: u64,
    asking: Option<Place>,
    next_ask: Time,
    /// When late requests were served within [`RATE_WINDOW`].
    served: VecDeque<Time>,
    /// Begin of the current or last run of successes, and the last success.
    run: Option<(Time, Time)>,
    /// Until when no replica is expected to have weights.
    weights_at: Time,
    shortage: Option<Shortage>,
}

/// A time in which first attempts find no capacity.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    begin: Time,
    last: Time,
}

impl Shortage {
    /// When it is expected to end, at `now`: it takes as long again as it has taken so far.
    fn expected_end(self, now: Time) -> Time {
        self.begin + (now.since(self.begin) * 2).max(SHORTAGE_MIN)
    }
}

/// A held request in a queue.
#[derive(Debug, Clone, Copy)]
struct Entry {
    request: Waiting,
    /// Until when it is held, if capacity is short.
    until: Time,
}

impl Queue {
    /// Number of requests that are held.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The request that may ask for capacity.
    pub fn head(&self) -> Option<Place> {
        self.waiting.keys().next().copied()
    }

    /// Whether nothing is left to remember.
    pub fn is_idle(&self, now: Time) -> bool {
        self.waiting.is_empty() && !self.is_moving(now) && self.last_shortage(now).is_none()
    }

    /// Adds a request, of which `held` are held by the entry in all. With [`HELD_MAX`], it takes the
    /// place of the last one of this queue or is not held.
    pub fn enter(&mut self, request: Waiting, held: usize) -> Option<Place> {
        self.last_number += 1;
        let place = Place {
            urgency: request.urgency,
            deadline: request.deadline,
            number: self.last_number,
        };
        if held >= HELD_MAX {
            let last = *self.waiting.keys().next_back()?;
            if last < place {
                return None;
            }
            self.waiting.remove(&last);
        }
        let until = request.since;
        self.waiting.insert(place, Entry { request, until });
        Some(place)
    }

    /// Records that a first attempt was refused for lack of capacity.
    pub fn refused(&mut self, now: Time) {
        let known = self.last_shortage(now);
        let begin = known.map_or(now, |shortage| shortage.begin);
        self.shortage = Some(Shortage { begin, last: now });
    }

    fn last_shortage(&self, now: Time) -> Option<Shortage> {
        self.shortage
            .filter(|shortage| now.since(shortage.last) < SHORTAGE_PAUSE)
    }

    fn shortage_at(&self, now: Time) -> Option<Shortage> {
        self.shortage
            .filter(|shortage| now.since(shortage.last) < SHORTAGE_GAP)
    }

    /// Forgets a request: it was sent or refused, or its caller has left.
    pub fn leave(&mut self, place: Place) {
        self.waiting.remove(&place);
        if self.asking == Some(place) {
            self.asking = None;
        }
    }

    /// Returns what the request at `place` does next.
    pub fn step(&mut self, place: Place, capacity: Capacity, now: Time) -> Step {
        let Some(Entry { request, .. }) = self.waiting.get(&place).copied() else {
            // A more urgent request has taken its place.
            return Step::GiveUp;
        };
        let latest = request.deadline - request.response;
        if latest <= now {
            return Step::GiveUp;
        }
        let position = self.waiting.range(..=place).count();
        match capacity {
            Capacity::Absent => Step::GiveUp,
            Capacity::Arriving(Some(arrival)) => {
                self.weights_at = now + arrival;
                if self.weights_at + request.backlog(position) > latest {
                    return Step::GiveUp;
                }
                Step::Wait(arrival.clamp(ASK_INTERVAL, RECHECK_INTERVAL))
            }
            Capacity::Arriving(None) if now > self.trial_end(request) => Step::GiveUp,
            Capacity::Arriving(None) => Step::Wait(RECHECK_INTERVAL),
            Capacity::Present => self.step_with_capacity(place, position, now),
        }
    }

    fn step_with_capacity(&mut self, place: Place, position: usize, now: Time) -> Step {
        let Some(Entry { request, .. }) = self.waiting.get(&place).copied() else {
            return Step::GiveUp;
        };
        let in_vain = match self.expected(position, now) {
            Some(expected) => now + expected + request.response > request.deadline,
            None => !self.is_moving(now) && self.is_short_for_long(place, position, now),
        };
        if in_vain {
            return Step::GiveUp;
        }
        if position > 1 {
            return Step::Wait(RECHECK_INTERVAL);
        }
        if self.asking.is_some() || self.next_ask > now {
            let wait = self.next_ask.since(now);
            return Step::Wait(wait.clamp(Duration::from_millis(1), ASK_INTERVAL));
        }
        self.asking = Some(place);
        self.next_ask = now + ASK_INTERVAL;
        Step::Ask
    }

    /// Whether capacity is short for longer than the request can wait, or than was expected when that was
    /// last decided.
    fn is_short_for_long(&mut self, place: Place, position: usize, now: Time) -> bool {
        let Some(Entry { request, until }) = self.waiting.get(&place).copied() else {
            return true;
        };
        let trial_end = self.trial_end(request);
        let Some(shortage) = self.shortage_at(now) else {
            let ended = self.shortage.map_or(Time::default(), |known| known.last);
            let has_backlog = now.since(self.weights_at.max(ended)) < BACKLOG_TIME;
            return !has_backlog && now > trial_end;
        };
        if now <= until {
            return false;
        }
        let end = shortage.expected_end(now);
        if end + request.backlog(position) + request.response > request.deadline {
            return now > trial_end;
        }
        let until = end + request.deadline.since(request.since) * TRIAL_PERCENT / 100;
        self.waiting.insert(place, Entry { request, until });
        false
    }

    /// Until when a request is held without evidence of capacity.
    fn trial_end(&self, request: Waiting) -> Time {
        let begin = request.since.max(self.weights_at);
        let begin = begin.max(self.run.map_or(Time::default(), |(_, last)| last));
        begin + request.deadline.since(request.since) * TRIAL_PERCENT / 100
    }

    /// Records whether the request at `place` got a lease after [`Step::Ask`]. After a success, the
    /// next one may ask at once.
    pub fn asked(&mut self, place: Place, granted: bool, now: Time) {
        if self.asking == Some(place) {
            self.asking = None;
        }
        if !granted {
            return;
        }
        self.waiting.remove(&place);
        self.next_ask = now;
        let begin = match self.run {
            Some((begin, last)) if now.since(last) < RUN_GAP => begin,
            _ => now,
        };
        self.run = Some((begin, now));
        self.served.push_back(now);
        self.forget(now);
    }

    fn forget(&mut self, now: Time) {
        while let Some(first) = self.served.front()
            && now.since(*first) >= RATE_WINDOW
        {
            self.served.pop_front();
        }
    }

    /// Whether late requests are being served.
    fn is_moving(&self, now: Time) -> bool {
        self.run.is_some_and(|(_, last)| now.since(last) < RUN_GAP)
    }

    /// Expected time until the request at `position`, counted from 1, is served, by the rate at which
    /// others recently were; `None` if there is no such rate.
    pub fn expected(&mut self, position: usize, now: Time) -> Option<Duration> {
        self.forget(now);
        let (begin, _) = self.run.filter(|_| self.is_moving(now))?;
        let age = now.since(begin);
        if age < RATE_AGE_MIN || self.served.is_empty() {
            return None;
        }
        let interval = age.min(RATE_WINDOW) / self.served.len() as u32;
        Some(interval * position as u32)
    }

    /// Expected time until a request that enters last is served, if known.
    pub fn expected_last(&mut self, now: Time) -> Option<Duration> {
        let position = self.waiting.len() + 1;
        self.expected(position, now)
    }
}

/// Retry delay for the caller of a first attempt that finds no capacity in time. Capacity is expected
/// after `expected`, if known. `spread`, between 0 and 1, keeps retries apart.
///
/// The response to a retry is late in any case, so the delay is long: the later the retry, the more of
/// a burst is over.
pub fn retry_after(expected: Option<Duration>, remaining: Duration, spread: f64) -> Duration {
    let longest = remaining * RETRY_DELAY_SHARE_PERCENT / 100;
    let range = longest.mul_f64(RETRY_SPREAD);
    let earliest = expected.map_or(longest, |expected| expected.min(longest));
    let earliest = earliest.clamp(
        RETRY_DELAY_MIN,
        longest.saturating_sub(range).max(RETRY_DELAY_MIN),
    );
    (earliest + range.mul_f64(spread)).clamp(RETRY_DELAY_MIN, longest.max(RETRY_DELAY_MIN))
}
