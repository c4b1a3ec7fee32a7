//! Waiting for a transfer as long as it moves.
//!
//! A limit on a whole transfer has to guess its length and the link's rate. Above some length it
//! ends every transfer, whoever begins anew takes the link from those that might have ended, and
//! none ends any more. So the limit is on silence: what still comes in is waited for.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use futures_util::future::{Either, select};

use crate::clock::Time;
use crate::exchange;

/// How often it is looked whether bytes came: silence is noticed so much later at most.
const LOOK: Duration = Duration::from_millis(100);

/// When bytes of a transfer came last. Clones tell of the same transfer.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    last: Rc<Cell<Option<Instant>>>,
}

impl Progress {
    /// Bytes came now.
    pub fn touch(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// When bytes came last, if any did.
    pub fn last(&self) -> Option<Instant> {
        self.last.get()
    }
}

/// How long a transfer is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Until its first byte.
    pub first_byte: Duration,
    /// From one byte to the next.
    pub idle: Duration,
    /// In all: a peer that hands out a byte now and then holds nobody for ever.
    pub total: Duration,
}

impl Config {
    /// The default for a transfer whose first byte is due within `first`.
    pub fn with_first_byte(first: Duration) -> Self {
        Self {
            first_byte: first,
            ..Self::default()
        }
    }
}

impl Default for Config {
    /// The pause is that after which the kernel gives a silent peer up. In the longest time a
    /// document of a megabyte crosses a link of half a megabit per second.
    fn default() -> Self {
        Self {
            first_byte: Duration::from_millis(1_000),
            idle: exchange::LOST,
            total: Duration::from_secs(20),
        }
    }
}

/// Why a transfer was not waited for any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing came.
    #[error("no answer within {} ms", after.as_millis())]
    NoAnswer {
        /// How long it was waited for.
        after: Duration,
    },
    /// It stopped.
    #[error("nothing more came for {} ms", after.as_millis())]
    Stalled {
        /// How long it was waited for more.
        after: Duration,
    },
    /// It took too long in all.
    #[error("not whole after {} ms", after.as_millis())]
    TooLong {
        /// How long it was waited for.
        after: Duration,
    },
    /// Whoever waited does not need it any more.
    #[error("not needed any more")]
    Cancelled,
}

/// Waits for `transfer`, which notes its `progress`.
pub async fn wait<F: Future>(
    transfer: F,
    progress: &Progress,
    setting: Config,
) -> Result<F::Output, Error> {
    wait_while(transfer, progress, setting, || {}, || true).await
}

/// Waits for `transfer`, which notes its `progress`. `moved` is called when it has moved since the
/// last look, and `needed` says at each look whether to go on.
pub async fn wait_while<F: Future>(
    transfer: F,
    progress: &Progress,
    setting: Config,
    mut moved: impl FnMut(),
    needed: impl Fn() -> bool,
) -> Result<F::Output, Error> {
    let mut transfer = pin!(transfer);
    let began = Instant::now();
    let mut seen = None;
    loop {
        match select(transfer, pin!(sleep(LOOK))).await {
            Either::Left((ended, _)) => return Ok(ended),
            Either::Right((_, rest)) => transfer = rest,
        }
        if progress.last() != seen {
            seen = progress.last();
            moved();
        }
        if let Some(error) = given_up(setting, began, seen) {
            return Err(error);
        }
        if !needed() {
            return Err(Error::Cancelled);
        }
    }
}

/// How late it may be noticed that a limit is over because the machine was suspended.
const SUSPENDED_LOOK: Duration = Duration::from_millis(400);

/// Waits for `step` for as long as `limit`, by the clock that `now` reads. The runtime's timers stand still while the
/// machine is suspended: whoever waits for seconds looks at the clock meanwhile.
pub async fn within<T>(
    now: impl Fn() -> Time,
    limit: Duration,
    step: impl Future<Output = T>,
) -> Option<T> {
    let mut step = pin!(step);
    let end = now() + limit;
    loop {
        let left = end.since(now()).min(SUSPENDED_LOOK);
        if let Ok(done) = timeout(left, &mut step).await {
            return Some(done);
        }
        if now() >= end {
            return None;
        }
    }
}

fn given_up(setting: Config, began: Instant, last: Option<Instant>) -> Option<Error> {
    let Config {
        first_byte: first,
        idle: pause,
        total: whole,
    } = setting;
    if began.elapsed() >= whole {
        return Some(Error::TooLong { after: whole });
    }
    match last {
        None => (began.elapsed() >= first).then_some(Error::NoAnswer { after: first }),
        Some(last) => (last.elapsed() >= pause).then_some(Error::Stalled { after: pause }),
    }
}
