//! Decides what counts as the head of a response. The codec of `actix-http` repairs some that the
//! protocol forbids, so none reaches it unchecked.

/// Maximum number of headers, as many as the codec takes.
const HEADERS_MAX: usize = 96;

/// Why bytes are not the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// They break the grammar of RFC 9112.
    #[error(transparent)]
    Syntax(#[from] httparse::Error),
}

/// Checks the head that `bytes` begin with, as far as it has arrived.
pub fn check(bytes: &[u8]) -> Result<(), Fault> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(bytes)?;
    Ok(())
}
