//! Decides what counts as the head of a response. The codec of `actix-http` repairs some that the
//! protocol forbids, so none reaches it unchecked.

use std::ops::RangeInclusive;

/// Maximum number of headers, as many as the codec takes.
const HEADERS_MAX: usize = 96;

/// Status codes that the protocol knows (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Why bytes are not the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// They break the grammar of RFC 9112.
    #[error(transparent)]
    Syntax(#[from] httparse::Error),
    /// Its status code has no meaning.
    #[error("invalid status code {0}")]
    Status(u16),
}

/// Checks the head that `bytes` begin with, as far as it has arrived.
pub fn check(bytes: &[u8]) -> Result<(), Fault> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(bytes)?;
    match response.code {
        Some(code) if !STATUSES.contains(&code) => Err(Fault::Status(code)),
        _ => Ok(()),
    }
}
