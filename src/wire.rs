//! Messages between the system's own processes, encoded as MessagePack with named fields.
//!
//! Fields may be added with a default; older readers ignore them. A message whose meaning changes
//! gets a new [`VERSION`] and a new path.

pub mod pack;
pub mod sync;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// Protocol version; every path between processes starts with it.
pub const VERSION: u32 = 1;

/// Maximum length of a frame in bytes.
pub const FRAME_MAX: usize = 512 * 1024;

/// Length of a frame's length prefix in bytes.
const PREFIX_LEN: usize = 4;

/// What a box tells its followers about one version: the chunks that it has.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Have {
    /// Chunks added since the last frame; the first frame lists all.
    #[serde(default, rename = "g")]
    pub gained: Vec<u32>,
    /// Uploads that are queued or running.
    #[serde(default, rename = "l")]
    pub load: u32,
    /// Whether the manifest is available here.
    #[serde(default, rename = "m")]
    pub manifest: bool,
    /// Chunks that this box is fetching from the origin.
    #[serde(default, rename = "d")]
    pub fetching: Vec<u32>,
    /// Milliseconds since the origin delivered a chunk to any process, as far as known here.
    #[serde(default, rename = "o")]
    pub origin_age_ms: Option<u64>,
}

/// Why a frame could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The length exceeds [`FRAME_MAX`].
    #[error("frame of {length} bytes is over the limit of {FRAME_MAX}")]
    TooLong {
        /// The length.
        length: usize,
    },
    /// The codec rejected the bytes.
    #[error("cannot decode frame: {reason}")]
    Decode {
        /// The error of the codec.
        reason: String,
    },
    /// The codec rejected the value.
    #[error("cannot encode frame: {reason}")]
    Encode {
        /// The error of the codec.
        reason: String,
    },
}

/// Encodes a message as one frame with its length prefix.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    let body = rmp_serde::to_vec_named(message).map_err(|error| Error::Encode {
        reason: error.to_string(),
    })?;
    if body.len() > FRAME_MAX {
        return Err(Error::TooLong { length: body.len() });
    }
    let mut frame = Vec::with_capacity(PREFIX_LEN + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame.into())
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next frame, or returns `None` if it is not complete yet.
    pub fn next_frame<T: for<'de> Deserialize<'de>>(&mut self) -> Result<Option<T>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_LEN>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > FRAME_MAX {
            return Err(Error::TooLong { length });
        }
        if self.buffer.len() < PREFIX_LEN + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_LEN);
        let body = self.buffer.split_to(length);
        rmp_serde::from_slice(&body)
            .map(Some)
            .map_err(|error| Error::Decode {
                reason: error.to_string(),
            })
    }
}

/// An agent's report to the entries of its target.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Random number of the process, so that a restart is noticed.
    #[serde(default, rename = "b")]
    pub boot: u64,
    /// The active configuration revision of the agent.
    #[serde(default, rename = "r")]
    pub revision: u64,
    /// Whether the target accepts no more requests.
    #[serde(default, rename = "x")]
    pub leaving: bool,
    /// Versions that may receive requests.
    #[serde(default, rename = "v")]
    pub servable: Vec<crate::weight::Digest>,
    /// The plain service behind the agent, if it has one.
    #[serde(default, rename = "s")]
    pub service: Option<String>,
    /// Requests in progress.
    #[serde(default, rename = "f")]
    pub in_flight: u32,
    /// Maximum number of concurrent requests of the target.
    #[serde(default, rename = "c")]
    pub capacity: u32,
}

/// HTTP headers between entry and agent.
pub mod header {
    /// The request's id.
    pub const REQUEST: &str = "x-request-id";
    /// The version that the request is for; in a response, the version that served it.
    pub const VERSION: &str = "x-version";
    /// The plain service that the request is for.
    pub const SERVICE: &str = "x-service";
    /// The path at the plain service.
    pub const PATH: &str = "x-target-path";
    /// The customer.
    pub const CUSTOMER: &str = "x-customer";
    /// The request's priority.
    pub const PRIORITY: &str = "x-priority";
    /// Milliseconds until the deadline.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// The key of a request that must run at most once.
    pub const KEY: &str = "x-key";
    /// The token from which the response should start.
    pub const FROM: &str = "x-from-token";
    /// Whether the request may run more than once (`yes` or `no`).
    pub const REPEATABLE: &str = "x-repeatable";
    /// In a response: whether the request was admitted (`yes`, `no`, or `unknown`).
    pub const ADMITTED: &str = "x-admitted";
    /// Authenticates the request between entry and agent.
    pub const PROOF: &str = "x-proof";
}
