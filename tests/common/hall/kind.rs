//! Kinds of requests, and their sizes.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::route::estimate::Demand;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::NOW;

/// Most output tokens of a request.
const OUTPUT_MAX: u32 = 250;

/// A time in which a kind asks for a multiple of its usual load.
#[derive(Clone, Copy)]
pub struct Burst {
    /// Begin and end, counted from the start of the model.
    pub from: Duration,
    pub until: Duration,
    pub factor: f64,
}

/// A kind of request.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    /// Mean prompt tokens.
    pub prompt: f64,
    pub prompt_max: f64,
    /// Mean output tokens.
    pub output: f64,
    /// Variation of the prompt's length.
    pub variation: f64,
    /// Share of all requests at usual load.
    pub share: f64,
    pub urgency: u8,
    pub objective: Duration,
    pub burst: Option<Burst>,
}

impl Kind {
    pub fn share_at(&self, elapsed: Duration) -> f64 {
        let burst = self.burst;
        let burst = burst.filter(|burst| (burst.from..burst.until).contains(&elapsed));
        self.share * burst.map_or(1.0, |burst| burst.factor)
    }
}

/// A request of a caller.
#[derive(Clone, Copy)]
pub struct Request {
    pub kind: usize,
    pub prompt: u32,
    pub output: u32,
    pub hint: u32,
    /// When its first attempt arrived.
    pub arrived: Time,
}

impl Request {
    pub fn demand(&self) -> Demand {
        Demand {
            prompt: self.prompt,
            output: self.hint.min(OUTPUT_MAX),
        }
    }

    /// Its size in tokens; one of output takes as long as about ten of the prompt.
    pub fn size(&self) -> u32 {
        self.prompt + 10 * self.output
    }
}

fn log_normal(rng: &mut SmallRng, mean: f64, variation: f64) -> f64 {
    let variance = (1.0 + variation * variation).ln();
    let uniform = |rng: &mut SmallRng| rng.random_range(f64::MIN_POSITIVE..1.0);
    let radius = (-2.0 * uniform(rng).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(rng)).cos();
    (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp()
}

pub fn draw(rng: &mut SmallRng, kinds: &[Kind], arrived: Time) -> Request {
    let shares: Vec<f64> = kinds
        .iter()
        .map(|kind| kind.share_at(arrived.since(NOW)))
        .collect();
    let at = rng.random_range(0.0..1.0) * shares.iter().sum::<f64>();
    let mut upper = 0.0;
    let kind = shares.iter().position(|share| {
        upper += share;
        at < upper
    });
    let kind = kind.unwrap_or(kinds.len() - 1);
    let Kind {
        prompt,
        prompt_max,
        output,
        variation,
        ..
    } = kinds[kind];
    let output = log_normal(rng, output, 0.85).min(f64::from(OUTPUT_MAX));
    Request {
        kind,
        prompt: log_normal(rng, prompt, variation).min(prompt_max) as u32,
        output: output as u32,
        hint: (output * log_normal(rng, 1.0, 0.5)) as u32,
        arrived,
    }
}
