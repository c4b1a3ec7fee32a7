//! Splits a stream into complete server-sent events and tracks the number of the last one.

use bytes::{Bytes, BytesMut};

use crate::http::event::Buffer;

/// Largest event, in bytes.
const EVENT_MAX: usize = 1 << 20;

/// Why a stream is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event exceeds the size limit.
    #[error("event is over {EVENT_MAX} bytes")]
    TooLong,
}

/// Splits a stream into events. Events that were already forwarded before a resume are dropped.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Buffer,
    last: Option<u64>,
    forwarded: u64,
}

impl Splitter {
    /// A splitter for a caller who already has the events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The number of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of events that were forwarded.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes of a partial event that are buffered.
    pub fn partial_bytes(&self) -> u64 {
        self.buffer.len() as u64
    }

    /// Goes on with `other`, which began after the last complete event. A partial event is discarded.
    pub fn resume(&mut self, other: Self) {
        self.buffer = other.buffer;
        self.last = other.last;
        self.forwarded += other.forwarded;
    }

    /// Adds received bytes and returns the complete events.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, Error> {
        self.buffer.extend(&bytes);
        let mut out = BytesMut::new();
        while let Some(event) = self.buffer.next_event() {
            let number = event_number(&event);
            if let (Some(number), Some(last)) = (number, self.last)
                && number <= last
            {
                continue;
            }
            self.last = number.or(self.last);
            self.forwarded += 1;
            out.extend_from_slice(&event);
        }
        if self.buffer.len() > EVENT_MAX {
            return Err(Error::TooLong);
        }
        Ok(out.freeze())
    }
}

/// The number in an event's `id:` line.
fn event_number(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
