//! The log record of one request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use crate::clock::Time;
use crate::limit::size;
use crate::log::Allowance;
use crate::request::poison::Subject;
use crate::route::estimate::Demand;

/// Log lines a second about requests that are at fault themselves.
const FAULTY_LINES_PER_S: u32 = 20;

/// Such lines that may come at once.
const FAULTY_LINES_AT_ONCE: u32 = 200;

/// Log lines a second about other requests.
const LINES_PER_S: u32 = 1_000;

/// Such lines that may come at once.
const LINES_AT_ONCE: u32 = 4_000;

/// Bounds the log lines about requests that have ended.
#[derive(Debug)]
pub(super) struct Lines {
    /// About requests that are at fault themselves.
    faulty: Allowance,
    others: Allowance,
}

impl Default for Lines {
    fn default() -> Self {
        Self {
            faulty: Allowance::new(FAULTY_LINES_PER_S, FAULTY_LINES_AT_ONCE),
            others: Allowance::new(LINES_PER_S, LINES_AT_ONCE),
        }
    }
}

impl Lines {
    /// Logs how many lines were left out since the last call.
    pub(super) fn log_left_out(&self) {
        let faulty = self.faulty.take_left_out();
        let others = self.others.take_left_out();
        if faulty + others > 0 {
            log::warn!(faulty, others; "lines about ended requests left out");
        }
    }
}

/// What was expected of the replica when it was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Time from the request's arrival to the choice.
    pub chosen: Duration,
    /// Expected time to the first event.
    pub first: Duration,
    /// Requests that the replica was known to have.
    pub requests: u32,
}

/// What admission last compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Judgement {
    /// Expected time to the first event at the best replica.
    pub expected: Duration,
    /// Part of it that is the prefill of the request's own prompt.
    pub prefill: Duration,
    /// Limit on the expected time.
    pub limit: Duration,
}

/// Collects what is known about a request; when dropped, logs it and updates the metrics.
pub struct Trace {
    gateway: Rc<Gateway>,
    /// The id of the request.
    pub id: String,
    /// What crashes of replicas are counted under, once the body was read: first the request itself.
    pub subjects: Rc<[Subject]>,
    /// The name of its route.
    pub route: Arc<str>,
    /// The replica that responds, or the last one tried.
    pub replica: Option<Arc<str>>,
    /// What was expected of that replica.
    pub expected: Option<Estimate>,
    /// What admission last compared.
    pub judgement: Option<Judgement>,
    /// Its demand on an engine.
    pub demand: Demand,
    /// Maximum number of tokens to generate.
    pub output_max: u32,
    /// Time from arrival to deadline.
    pub timeout: Option<Duration>,
    /// Its urgency, once it is known.
    pub urgency: Option<u8>,
    /// The level of the replicas that excluded it.
    pub level: Option<u8>,
    /// Its size class among the requests of its route, if it is for an engine.
    pub size: Option<size::Class>,
    /// Its service, once it is known.
    pub service: Option<Arc<str>>,
    /// Number of replicas that received the request.
    pub sent: u32,
    /// Number of replicas that may receive it.
    pub sent_max: u32,
    /// Number of sidecars that were asked for a lease.
    pub asked: u32,
    /// Whether the last search was granted a lease.
    pub leased: bool,
    /// Time from arrival to the first event of the stream.
    pub first: Option<Duration>,
    /// Longest pause between two events of the stream.
    pub gap: Duration,
    /// Whether this is a retry of a request that was refused before.
    pub returned: bool,
    /// Whether it was to be served late.
    pub late: bool,
    /// How long it was held until there was capacity for it.
    pub held: Duration,
    /// Whether it was refused for what its caller sent.
    pub is_callers_fault: bool,
    /// Why the request ended that way.
    pub reason: String,
    /// When the head of the request arrived.
    pub arrived: Time,
    /// When its replica last sent something.
    pub received_at: Option<Time>,
    /// Version of the configuration under which it is handled.
    pub config: u64,
    outcome: &'static str,
}

impl Trace {
    /// Begins the record of a request whose head has arrived.
    pub fn begin(gateway: &Rc<Gateway>, arrived: Time) -> Self {
        Self {
            gateway: gateway.clone(),
            id: String::new(),
            subjects: Rc::default(),
            route: "".into(),
            replica: None,
            expected: None,
            judgement: None,
            demand: Demand::default(),
            output_max: 0,
            timeout: None,
            urgency: None,
            level: None,
            size: None,
            service: None,
            sent: 0,
            sent_max: 0,
            asked: 0,
            leased: false,
            first: None,
            gap: Duration::ZERO,
            returned: false,
            late: false,
            held: Duration::ZERO,
            is_callers_fault: false,
            reason: String::new(),
            arrived,
            received_at: None,
            config: 0,
            outcome: "caller_left",
        }
    }

    /// Sets how the request ended.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Records that its replica sent something.
    pub fn record_received(&mut self) {
        self.received_at = Some(self.gateway.knowledge.now());
    }

    /// Retries that the budget of its service still allows, if it did not end well.
    fn retries_left(&self) -> Option<u32> {
        let service = self.service.as_ref()?;
        let entries = self.gateway.knowledge.peers.borrow().upper_bound();
        let (setting, now) = (self.gateway.setting.budget, self.gateway.knowledge.now());
        (self.outcome != "whole").then(|| self.gateway.budget(service).left(setting, entries, now))
    }

    /// Time since the request's head arrived.
    pub fn elapsed(&self) -> Duration {
        self.gateway.knowledge.now().since(self.arrived)
    }
}

/// The subjects as they appear in logs.
pub(super) fn names(subjects: Option<&[Subject]>) -> String {
    let subjects = subjects.unwrap_or_default().iter();
    let subjects: Vec<String> = subjects.map(Subject::to_string).collect();
    subjects.join(" ")
}

fn millis(time: Option<Duration>) -> u64 {
    time.map_or(0, |time| time.as_millis() as u64)
}

impl Drop for Trace {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let took = self.elapsed();
        let now = gateway.knowledge.now();
        let silent = self.received_at.map(|at| now.since(at));
        let retries_left = self.retries_left();
        gateway.instruments.record_request(self.outcome, took);
        if self.returned {
            gateway.instruments.count_return(self.outcome);
        }
        if let Some(size) = self.size {
            gateway
                .instruments
                .record_size(&self.route, size, self.outcome);
        }
        if let Some(urgency) = self.urgency {
            gateway.instruments.record_urgency(urgency, self.outcome);
        }
        let lines = if self.is_callers_fault {
            &gateway.lines.faulty
        } else {
            &gateway.lines.others
        };
        if !lines.take(now) {
            return;
        }
        let catalog = gateway.knowledge.catalog.borrow();
        let version = catalog
            .routing()
            .map_or(0, |routing| routing.document.version);
        log::info!(
            request = self.id.as_str(),
            name = names(self.subjects.get(..1)),
            parts = names(self.subjects.get(1..)),
            route = &*self.route,
            outcome = self.outcome,
            replica = self.replica.as_deref().unwrap_or_default(),
            sent = self.sent,
            sent_max = self.sent_max,
            retries_left,
            asked = self.asked,
            place = self.leased,
            ms = took.as_millis() as u64,
            chosen_ms = millis(self.expected.map(|expected| expected.chosen)),
            expected_ms = millis(self.expected.map(|expected| expected.first)),
            known_requests = self.expected.map_or(0, |expected| expected.requests),
            first_ms = millis(self.first),
            gap_ms = self.gap.as_millis() as u64,
            silent_ms = silent.map(|silent| silent.as_millis() as u64),
            returned = self.returned,
            late = self.late,
            held_ms = self.held.as_millis() as u64,
            prompt = self.demand.prompt,
            output = self.demand.output,
            output_max = self.output_max,
            deadline_ms = millis(self.timeout),
            urgency = self.urgency,
            level = self.level,
            size = self.size.map_or("", size::Class::name),
            judged_ms = millis(self.judgement.map(|judgement| judgement.expected)),
            prefill_ms = millis(self.judgement.map(|judgement| judgement.prefill)),
            limit_ms = millis(self.judgement.map(|judgement| judgement.limit)),
            config_begin = self.config,
            config = version,
            reason = self.reason.as_str();
            "request ended"
        );
    }
}
