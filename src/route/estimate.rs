//! How long a model engine takes, from the figures that its configuration gives.

use std::time::Duration;

use crate::config::routing::Engine;

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// Tokens to read.
    pub prompt: u32,
    /// Tokens to write, as far as can be told beforehand.
    pub output: u32,
}

/// What an engine has to do already.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Requests that it writes, reads, or that wait there.
    pub requests: u32,
    /// Prompt tokens of those that have not begun to be written.
    pub prompt_tokens: f64,
    /// Factor on all its times; above 1 it is slow.
    pub pace: f64,
}

/// Time that a full engine reads for each unit of time that it writes.
const READING: f64 = 0.8;

/// Part of a pass that a new request waits on average before it is looked at.
pub const PASS_WAITED: f64 = 0.5;

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64((value / 1_000.0).clamp(0.0, 3_600.0))
}

/// Milliseconds of one step with `batch` requests.
fn step_ms(engine: &Engine, batch: f64) -> f64 {
    let context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2.0;
    let each = engine.sequence_ms + engine.context_ms_per_thousand * context / 1_000.0;
    engine.step_ms + each * batch
}

fn read_ms(engine: &Engine, tokens: f64) -> f64 {
    if engine.read_per_s <= 0.0 {
        return 0.0;
    }
    tokens / engine.read_per_s * 1_000.0
}

/// Requests that are written at once where there are `requests` beside a new one.
fn batch(engine: &Engine, requests: u32) -> f64 {
    f64::from(requests.min(engine.slots.max(1) - 1) + 1)
}

fn pass_ms(engine: &Engine, requests: u32) -> f64 {
    step_ms(engine, batch(engine, requests)) * f64::from(engine.stride.max(1))
}

/// Time of a pass in which nothing is read, where there are `requests` beside a new one.
pub fn iteration(engine: &Engine, requests: u32, pace: f64) -> Duration {
    millis(pass_ms(engine, requests) * pace.max(1.0))
}

/// Time that the reading of one prompt adds to a pass.
pub fn prefill(engine: &Engine, prompt: u32, pace: f64) -> Duration {
    let tokens = f64::from(prompt);
    let pairs = tokens * tokens / 2.0 / 1e6 * engine.pairs_ms_per_million;
    millis((read_ms(engine, tokens) + pairs) * pace.max(1.0))
}

/// Time until a place is free where there are `requests` already, and `queue_spread` is the factor on
/// the mean time in a queue, in hundredths.
pub fn queue_wait(engine: &Engine, requests: u32, pace: f64, queue_spread: u32) -> Duration {
    let waiting = requests.saturating_sub(engine.slots.max(1) - 1);
    completion_interval(engine, pace) * waiting * queue_spread / 100
}

/// Time between two requests that end at an engine whose slots are all taken.
pub fn completion_interval(engine: &Engine, pace: f64) -> Duration {
    let slots = f64::from(engine.slots.max(1));
    let writing = engine.mean_answer_tokens * step_ms(engine, slots) / slots;
    let reading = read_ms(engine, engine.mean_prompt_tokens);
    millis((writing + reading) * pace.max(1.0))
}

/// Time until the first event of a request that is sent now.
///
/// `queue_spread` is the factor on the mean time in a queue, in hundredths.
pub fn first_event(engine: &Engine, work: Backlog, demand: Demand, queue_spread: u32) -> Duration {
    let pass = pass_ms(engine, work.requests);
    let read = read_ms(engine, work.prompt_tokens + f64::from(demand.prompt));
    let pace = work.pace.max(1.0);
    let queue = queue_wait(engine, work.requests, pace, queue_spread);
    queue + millis(pass * (1.0 + PASS_WAITED) + read).mul_f64(pace)
}

/// Time that a request takes from its first event to its last.
pub fn decode(engine: &Engine, work: Backlog, demand: Demand) -> Duration {
    let slots = engine.slots.max(1);
    let batch = batch(engine, work.requests);
    // While it is written, others come and are read between its steps.
    let reading = batch / f64::from(slots) * READING;
    let step = step_ms(engine, batch) * (1.0 + reading);
    millis(step * f64::from(demand.output)).mul_f64(work.pace.max(1.0))
}
