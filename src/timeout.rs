//! Timeouts for transfers, which wait as long as data arrives.
//!
//! A limit on the total time of a transfer has to guess its length and the link's rate. Above some
//! length it aborts every transfer, each retry takes bandwidth from those that could have
//! completed, and none completes any more. So the main limit is on idle time: a transfer that still
//! receives data is waited for.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use futures_util::future::{Either, select};

use crate::clock::Time;
use crate::exchange;

/// Interval of the checks for progress, and so the longest delay in noticing an idle transfer.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time of a transfer's last progress, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    last: Rc<Cell<Option<Instant>>>,
}

impl Progress {
    /// Records that bytes arrived now.
    pub fn touch(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// When bytes last arrived, if any did.
    pub fn last(&self) -> Option<Instant> {
        self.last.get()
    }
}

/// Limits of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Limit until the first byte.
    pub first_byte: Duration,
    /// Limit between two arrivals of bytes.
    pub idle: Duration,
    /// Limit on the whole transfer, so that a peer that sends a byte now and then cannot hold it
    /// open forever.
    pub total: Duration,
}

impl Config {
    /// Returns the defaults for a transfer whose first byte is due within `first`.
    pub fn with_first_byte(first: Duration) -> Self {
        Self {
            first_byte: first,
            ..Self::default()
        }
    }
}

impl Default for Config {
    /// The idle limit is the time after which the kernel gives up on a silent peer. Within the
    /// total limit, a document of one megabyte crosses a link of half a megabit per second.
    fn default() -> Self {
        Self {
            first_byte: Duration::from_millis(1_000),
            idle: exchange::LOSS_TIMEOUT,
            total: Duration::from_secs(20),
        }
    }
}

/// Why a transfer was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No data arrived.
    #[error("no answer within {} ms", after.as_millis())]
    NoAnswer {
        /// The exceeded limit.
        after: Duration,
    },
    /// No more data arrived.
    #[error("transfer stalled: no more data for {} ms", after.as_millis())]
    Stalled {
        /// The exceeded limit.
        after: Duration,
    },
    /// The transfer exceeded its total limit.
    #[error("transfer incomplete after {} ms", after.as_millis())]
    TooLong {
        /// The exceeded limit.
        after: Duration,
    },
    /// The result is not needed any more.
    #[error("transfer cancelled: its result is not needed any more")]
    Cancelled,
}

/// Waits for `transfer`, which records its `progress`.
pub async fn wait<F: Future>(
    transfer: F,
    progress: &Progress,
    config: Config,
) -> Result<F::Output, Error> {
    wait_while(transfer, progress, config, || {}, || true).await
}

/// Waits for `transfer`, which records its `progress`. `on_progress` is called after each check that
/// finds progress, and `is_needed` tells at each check whether to go on.
pub async fn wait_while<F: Future>(
    transfer: F,
    progress: &Progress,
    config: Config,
    mut on_progress: impl FnMut(),
    is_needed: impl Fn() -> bool,
) -> Result<F::Output, Error> {
    let mut transfer = pin!(transfer);
    let began = Instant::now();
    let mut last_seen = None;
    loop {
        match select(transfer, pin!(sleep(CHECK_INTERVAL))).await {
            Either::Left((ended, _)) => return Ok(ended),
            Either::Right((_, rest)) => transfer = rest,
        }
        if progress.last() != last_seen {
            last_seen = progress.last();
            on_progress();
        }
        if let Some(error) = exceeded(config, began, last_seen) {
            return Err(error);
        }
        if !is_needed() {
            return Err(Error::Cancelled);
        }
    }
}

/// Longest delay in noticing that a limit expired while the machine was suspended.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Waits for `operation` up to `limit`, by the clock that `now` reads. The runtime's timers stop while
/// the machine is suspended, so the clock is checked during longer waits.
pub async fn within<T>(
    now: impl Fn() -> Time,
    limit: Duration,
    operation: impl Future<Output = T>,
) -> Option<T> {
    let mut operation = pin!(operation);
    let end = now() + limit;
    loop {
        let remaining = end.since(now()).min(SUSPENSION_CHECK_INTERVAL);
        if let Ok(done) = timeout(remaining, &mut operation).await {
            return Some(done);
        }
        if now() >= end {
            return None;
        }
    }
}

fn exceeded(config: Config, began: Instant, last: Option<Instant>) -> Option<Error> {
    let Config {
        first_byte,
        idle,
        total,
    } = config;
    if began.elapsed() >= total {
        return Some(Error::TooLong { after: total });
    }
    match last {
        None => (began.elapsed() >= first_byte).then_some(Error::NoAnswer { after: first_byte }),
        Some(last) => (last.elapsed() >= idle).then_some(Error::Stalled { after: idle }),
    }
}
