//! Cuts a stream into whole events and keeps the number of the last one.

use bytes::{Bytes, BytesMut};

/// Longest event.
const EVENT_MAX: usize = 1 << 20;

/// What is wrong with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is too long to be one.
    #[error("event is over {EVENT_MAX} bytes")]
    TooLong,
}

/// Cuts a stream into events. After a resume, events that were passed on already are dropped.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last: Option<u64>,
    forwarded: u64,
}

impl Splitter {
    /// A cutter whose caller has the events up to `last` already.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events that were passed on.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Whether part of an event is waiting for its rest.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops a part of an event: the stream is taken up after the last whole one.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Takes received bytes and returns the whole events in them.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(&bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
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

/// Where the first event ends, after its empty line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, _) in buffer
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
    {
        let line = &buffer[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// The number in an event's `id:` line.
fn event_number(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
