//! Decides what counts as the head of a response. The codec of `actix-http` repairs some that the
//! protocol forbids, and reads others as if they had no body, so none reaches it unchecked.

use std::ops::RangeInclusive;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING, UPGRADE};
use bytes::BytesMut;
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

/// A valid head, as far as it has arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Head {
    /// Whether it offers to switch to another protocol.
    pub offers_upgrade: bool,
}

/// Checks the head that `bytes` begin with, as far as it has arrived.
pub fn check(bytes: &[u8]) -> Result<Head, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let is_complete = response.parse(bytes)?.is_complete();
    let (Some(version), Some(code)) = (response.version, response.code) else {
        return Ok(Head::default());
    };
    if !STATUSES.contains(&code) {
        return Err(Fault::Status(code));
    }
    if !is_complete {
        return Ok(Head::default());
    }
    check_framing(version, code, response.headers)?;
    let mut offers = values(response.headers, &UPGRADE);
    Ok(Head {
        offers_upgrade: offers.next().is_some(),
    })
}

/// Removes the `upgrade` headers from the complete head that `bytes` begin with. They concern the
/// connection alone.
pub fn remove_upgrade(bytes: &mut BytesMut) {
    let mut kept = BytesMut::with_capacity(bytes.len());
    while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
        let line = bytes.split_to(end + 1).freeze();
        let name = line.split(|byte| *byte == b':').next();
        if name.is_none_or(|name| !name.eq_ignore_ascii_case(UPGRADE.as_str().as_bytes())) {
            kept.extend_from_slice(&line);
        }
        if line.trim_ascii().is_empty() {
            break;
        }
    }
    kept.unsplit(std::mem::take(bytes));
    *bytes = kept;
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
