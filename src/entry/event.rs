//! Server-sent events of a response: forwards each token exactly once and in order, and tracks the
//! offset at which an interrupted response resumes.

use bytes::{Bytes, BytesMut};

use crate::http::event::Buffer;

/// Maximum length in bytes of an event.
const EVENT_MAX: usize = 1 << 20;

/// The event that ends a response.
const DONE: &[u8] = b"data: [DONE]";

/// Why a stream of events is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The buffered data exceeds the maximum length of an event.
    #[error("event is longer than {EVENT_MAX} bytes")]
    TooLong,
    /// A token was skipped.
    #[error("expected token {expected}, got token {found}")]
    Gap {
        /// Number of the expected token.
        expected: u32,
        /// Number of the received token.
        found: u32,
    },
}

/// Splits a response into events and counts its tokens.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Buffer,
    next: u32,
    done: bool,
}

impl Reader {
    /// Number of the next expected token.
    pub fn next_token(&self) -> u32 {
        self.next
    }

    /// Whether the response is complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Discards a partial event: the response is resumed after the last complete one.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Adds received bytes, and returns the complete events to forward. Tokens that were already
    /// forwarded are dropped. After an error, nothing more of the stream may be forwarded.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend(bytes);
        let mut out = BytesMut::new();
        while let Some(event) = self.buffer.next_event() {
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

/// Token number in the event's `id:` line.
fn token_number(event: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
