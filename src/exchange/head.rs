//! Decides what counts as the head of a response. The codec of `actix-http` repairs some that the
//! protocol forbids, and reads others as if they had no body, so none reaches it unchecked.

use std::ops::RangeInclusive;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use httparse::Header;

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
    /// Its transfer coding is not just `chunked`, or not allowed in its version of the protocol.
    #[error("unsupported transfer coding")]
    Coding,
    /// Its headers contradict each other, or its status, on its body.
    #[error("contradictory framing of the body")]
    Framing,
}

/// Checks the head that `bytes` begin with, as far as it has arrived.
pub fn check(bytes: &[u8]) -> Result<(), Fault> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let is_complete = response.parse(bytes)?.is_complete();
    let (Some(version), Some(code)) = (response.version, response.code) else {
        return Ok(());
    };
    if !STATUSES.contains(&code) {
        return Err(Fault::Status(code));
    }
    if is_complete {
        check_framing(version, code, response.headers)?;
    }
    Ok(())
}

/// Checks that the headers tell in one way only where the body ends (RFC 9112, section 6).
fn check_framing(minor_version: u8, code: u16, headers: &[Header<'_>]) -> Result<(), Fault> {
    let mut lengths = values(headers, &CONTENT_LENGTH);
    let mut codings = values(headers, &TRANSFER_ENCODING);
    let has_no_body = code < 200 || code == StatusCode::NO_CONTENT.as_u16();
    if let Some(coding) = codings.next() {
        if lengths.next().is_some() || has_no_body {
            return Err(Fault::Framing);
        }
        let is_chunked = coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
        if !is_chunked || minor_version == 0 {
            return Err(Fault::Coding);
        }
    }
    if has_no_body && lengths.any(|length| length != b"0") {
        return Err(Fault::Framing);
    }
    Ok(())
}

/// The values of the headers of one name.
fn values<'a>(headers: &'a [Header<'a>], name: &HeaderName) -> impl Iterator<Item = &'a [u8]> {
    let named = headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name.as_str()));
    named.map(|header| header.value)
}
