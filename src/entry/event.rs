//! Server-sent events of an answer: passes each token once, in order, and sees where it stopped.

use bytes::{Bytes, BytesMut};

/// Longest event.
const EVENT_MAX: usize = 1 << 20;

/// The event that ends an answer.
const DONE: &[u8] = b"data: [DONE]";

/// What a stream of events did wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is too long to be one.
    #[error("event is over {EVENT_MAX} bytes")]
    TooLong,
    /// A token was skipped.
    #[error("token {found} came where {expected} was due")]
    Gap {
        /// The token that was due.
        expected: u32,
        /// The one that came.
        found: u32,
    },
}

/// Splits an answer into events and keeps count of its tokens.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    next: u32,
    done: bool,
}

impl Reader {
    /// The next token that is due.
    pub fn next_token(&self) -> u32 {
        self.next
    }

    /// Whether the answer is whole.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Drops a half event: the answer is taken up anew after the last whole one.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Takes received bytes and returns the whole events that are due. Tokens that came before are
    /// dropped; after a gap nothing more may be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            if self.done {
                continue;
            }
            match token_number(&event) {
                Some(number) if number < self.next => continue,
                Some(number) if number > self.next => {
                    return Err(Error::Gap {
                        expected: self.next,
                        found: number,
                    });
                }
                Some(_) => self.next += 1,
                None => self.done = event.starts_with(DONE),
            }
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
    buffer
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// The number in an event's `id:` line.
fn token_number(event: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
