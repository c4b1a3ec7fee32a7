//! A model engine that batches requests, in a time that the caller keeps.
//!
//! In each iteration it prefills the prompts that it admits, and decodes a few steps for each running
//! request.

use std::collections::VecDeque;
use std::time::Duration;

use crate::config::routing::Engine;

/// A request at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work<T> {
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens that it generates.
    pub output: u32,
    /// Tokens that were generated so far.
    pub generated: u32,
    /// Its urgency; 0 is the highest.
    pub urgency: u8,
    /// Its caller.
    pub caller: T,
}

impl<T> Work<T> {
    /// A request that waits.
    pub fn new(prompt: u32, output: u32, caller: T) -> Self {
        Self {
            prompt,
            output,
            generated: 0,
            urgency: 0,
            caller,
        }
    }

    /// Whether all of its tokens were generated.
    pub fn is_complete(&self) -> bool {
        self.generated >= self.output
    }
}

/// Requests at one engine.
#[derive(Debug, Clone)]
pub struct Batch<T> {
    engine: Engine,
    queue: VecDeque<Work<T>>,
    running: Vec<Work<T>>,
}

impl<T> Batch<T> {
    /// An idle engine.
    pub fn new(engine: Engine) -> Self {
        Self {
            engine,
            queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Adds a request to the queue, before those that are less urgent.
    pub fn push(&mut self, work: Work<T>) {
        let at = self
            .queue
            .partition_point(|waiting| waiting.urgency <= work.urgency);
        self.queue.insert(at, work);
    }

    /// Number of requests in progress.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of requests that wait.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Drops requests whose caller has left.
    pub fn retain(&mut self, mut is_present: impl FnMut(&Work<T>) -> bool) {
        self.queue.retain(&mut is_present);
        self.running.retain(&mut is_present);
    }

    /// Admits requests from the queue. Returns how long the iteration takes at full pace; `None` if there
    /// is nothing to do.
    pub fn begin_iteration(&mut self) -> Option<Duration> {
        let free = (self.engine.slots as usize).saturating_sub(self.running.len());
        let admitted: Vec<Work<T>> = self.queue.drain(..free.min(self.queue.len())).collect();
        let prefill_ms: f64 = admitted.iter().map(|work| self.prefill_ms(work)).sum();
        self.running.extend(admitted);
        if self.running.is_empty() {
            return None;
        }
        let context: u32 = self
            .running
            .iter()
            .map(|work| work.prompt + work.generated)
            .sum();
        let step_ms = self.engine.step_ms
            + self.engine.sequence_ms * self.running.len() as f64
            + self.engine.context_ms_per_thousand * f64::from(context) / 1_000.0;
        let decode_ms = step_ms * f64::from(self.engine.stride);
        Some(Duration::from_secs_f64((prefill_ms + decode_ms) / 1_000.0))
    }

    fn prefill_ms(&self, work: &Work<T>) -> f64 {
        let tokens = f64::from(work.prompt);
        let attention_ms = tokens * tokens / 2e6 * self.engine.pairs_ms_per_million;
        tokens / self.engine.read_per_s * 1_000.0 + attention_ms
    }

    /// Ends the iteration: calls `on_event` for each running request, and drops those that are complete.
    pub fn end_iteration(&mut self, mut on_event: impl FnMut(&Work<T>)) {
        for work in &mut self.running {
            work.generated += self.engine.stride;
            on_event(work);
        }
        self.running.retain(|work| !work.is_complete());
    }
}
