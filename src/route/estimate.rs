//! Time estimates for a model engine, from the figures in its configuration.
//!
//! An engine prefills prompts and decodes answers. It admits new requests between two iterations,
//! each of `stride` decode steps.

use std::time::Duration;

use crate::config::routing::Engine;

/// Size of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens, as far as known in advance.
    pub output: u32,
}

/// Work that an engine has already.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Requests in prefill, in decode or queued.
    pub requests: u32,
    /// Prompt tokens of the requests whose decode has not begun.
    pub prompt_tokens: f64,
    /// Factor on all of the engine's times; slow above 1.
    pub pace: f64,
}

/// Prefill time per unit of decode time on a full engine.
const PREFILL_SHARE: f64 = 0.8;

/// Fraction of an iteration that a new request waits on average before it is scheduled.
pub const ITERATION_WAIT_FRACTION: f64 = 0.5;

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64((value / 1_000.0).clamp(0.0, 3_600.0))
}

/// Duration of one decode step with `batch` requests, in milliseconds.
fn step_ms(engine: &Engine, batch: f64) -> f64 {
    let context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2.0;
    let per_request_ms = engine.sequence_ms + engine.context_ms_per_thousand * context / 1_000.0;
    engine.step_ms + per_request_ms * batch
}

fn prefill_ms(engine: &Engine, tokens: f64) -> f64 {
    if engine.read_per_s <= 0.0 {
        return 0.0;
    }
    tokens / engine.read_per_s * 1_000.0
}

/// Batch size with a new request beside `requests` others.
fn batch(engine: &Engine, requests: u32) -> f64 {
    f64::from(requests.min(engine.slots.max(1) - 1) + 1)
}

fn iteration_ms(engine: &Engine, requests: u32) -> f64 {
    step_ms(engine, batch(engine, requests)) * f64::from(engine.stride.max(1))
}

/// Duration of an iteration without prefill, with a new request beside `requests` others.
pub fn iteration(engine: &Engine, requests: u32, pace: f64) -> Duration {
    millis(iteration_ms(engine, requests) * pace.max(1.0))
}

/// Time that the prefill of one prompt adds to an iteration.
pub fn prefill(engine: &Engine, prompt: u32, pace: f64) -> Duration {
    let tokens = f64::from(prompt);
    let attention_ms = tokens * tokens / 2.0 / 1e6 * engine.pairs_ms_per_million;
    millis((prefill_ms(engine, tokens) + attention_ms) * pace.max(1.0))
}

/// Engine time that a request takes: its prefill, and its share of the decode steps of a full
/// engine.
pub fn work(engine: &Engine, demand: Demand) -> Duration {
    let slots = f64::from(engine.slots.max(1));
    let decode_ms = f64::from(demand.output) * step_ms(engine, slots) / slots;
    prefill(engine, demand.prompt, 1.0) + millis(decode_ms)
}

/// Time until a slot is free for a new request beside `requests` others. `queue_spread` is a factor
/// on the mean queueing time, in percent.
pub fn queue_wait(engine: &Engine, requests: u32, pace: f64, queue_spread: u32) -> Duration {
    let waiting = requests.saturating_sub(engine.slots.max(1) - 1);
    completion_interval(engine, pace) * waiting * queue_spread / 100
}

/// Time between two completions on an engine whose slots are all taken.
pub fn completion_interval(engine: &Engine, pace: f64) -> Duration {
    let slots = f64::from(engine.slots.max(1));
    let decode_ms = engine.mean_answer_tokens * step_ms(engine, slots) / slots;
    let prefill_ms_per_request = prefill_ms(engine, engine.mean_prompt_tokens);
    millis((decode_ms + prefill_ms_per_request) * pace.max(1.0))
}

/// Time until the first event of a request that is sent now.
///
/// `queue_spread` is a factor on the mean queueing time, in percent.
pub fn first_event(
    engine: &Engine,
    backlog: Backlog,
    demand: Demand,
    queue_spread: u32,
) -> Duration {
    let iteration_time = iteration_ms(engine, backlog.requests);
    let prefill_time = prefill_ms(engine, backlog.prompt_tokens + f64::from(demand.prompt));
    let pace = backlog.pace.max(1.0);
    let queue_time = queue_wait(engine, backlog.requests, pace, queue_spread);
    queue_time
        + millis(iteration_time * (1.0 + ITERATION_WAIT_FRACTION) + prefill_time).mul_f64(pace)
}

/// Time from a request's first event to its last.
pub fn decode(engine: &Engine, backlog: Backlog, demand: Demand) -> Duration {
    let slots = engine.slots.max(1);
    let batch = batch(engine, backlog.requests);
    // Between the decode steps, the engine prefills requests that arrive meanwhile.
    let prefill_share = batch / f64::from(slots) * PREFILL_SHARE;
    let step = step_ms(engine, batch) * (1.0 + prefill_share);
    millis(step * f64::from(demand.output)).mul_f64(backlog.pace.max(1.0))
}
