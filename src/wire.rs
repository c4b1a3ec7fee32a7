//! Messages between the system's own processes, as MessagePack with named fields.
//!
//! Fields may be added with a default and are ignored by older readers; a message whose meaning
//! changes gets a new [`VERSION`] and a new path.

pub mod pack;
pub mod sync;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// The wire version, which leads every path between processes.
pub const VERSION: u32 = 1;

/// Longest frame that a reader accepts, in bytes.
pub const FRAME_MAX: usize = 512 * 1024;

/// Bytes of a frame's length prefix.
const PREFIX: usize = 4;

/// What a box tells its followers of one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Have {
    /// Chunks gained since the last frame; all that are held in the first.
    #[serde(default, rename = "g")]
    pub gained: Vec<u32>,
    /// Uploads waiting or running.
    #[serde(default, rename = "l")]
    pub load: u32,
    /// Whether the manifest can be had here.
    #[serde(default, rename = "m")]
    pub manifest: bool,
    /// Chunks that are being drawn from the origin here.
    #[serde(default, rename = "d")]
    pub fetching: Vec<u32>,
    /// Milliseconds since the origin brought a chunk to anyone, as far as is known here.
    #[serde(default, rename = "o")]
    pub origin_age_ms: Option<u64>,
}

/// Why bytes are no frame.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The prefix announces more than [`FRAME_MAX`].
    #[error("frame of {length} bytes is over the limit of {FRAME_MAX}")]
    TooLong {
        /// Announced length.
        length: usize,
    },
    /// The codec rejects the bytes.
    #[error("cannot decode frame: {reason}")]
    Decode {
        /// What the codec reported.
        reason: String,
    },
    /// The codec rejects the value.
    #[error("cannot encode frame: {reason}")]
    Encode {
        /// What the codec reported.
        reason: String,
    },
}

/// Encodes one frame with its length prefix.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    let body = rmp_serde::to_vec_named(message).map_err(|error| Error::Encode {
        reason: error.to_string(),
    })?;
    if body.len() > FRAME_MAX {
        return Err(Error::TooLong { length: body.len() });
    }
    let mut frame = Vec::with_capacity(PREFIX + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame.into())
}

/// Collects bytes and yields the frames in them.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame, `None` when more bytes are needed.
    pub fn next_frame<T: for<'de> Deserialize<'de>>(&mut self) -> Result<Option<T>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > FRAME_MAX {
            return Err(Error::TooLong { length });
        }
        if self.buffer.len() < PREFIX + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX);
        let body = self.buffer.split_to(length);
        rmp_serde::from_slice(&body)
            .map(Some)
            .map_err(|error| Error::Decode {
                reason: error.to_string(),
            })
    }
}

/// What an agent tells the entries of its target.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Drawn anew by each process: a box that was restarted shows another one.
    #[serde(default, rename = "b")]
    pub boot: u64,
    /// The configuration revision that the agent has in force.
    #[serde(default, rename = "r")]
    pub revision: u64,
    /// Whether the target takes no more work.
    #[serde(default, rename = "x")]
    pub leaving: bool,
    /// Versions that may take requests.
    #[serde(default, rename = "v")]
    pub servable: Vec<crate::weight::Digest>,
    /// The plain service behind the agent, if that is what it has.
    #[serde(default, rename = "s")]
    pub service: Option<String>,
    /// Requests in progress.
    #[serde(default, rename = "f")]
    pub in_flight: u32,
    /// Requests that the target works on at once.
    #[serde(default, rename = "c")]
    pub capacity: u32,
}

/// Headers between entry and agent.
pub mod header {
    /// Names the request.
    pub const REQUEST: &str = "x-request-id";
    /// The digest that the request is for, and in the answer the digest that served it.
    pub const VERSION: &str = "x-version";
    /// The plain service that the request is for.
    pub const SERVICE: &str = "x-service";
    /// The path at the plain service.
    pub const PATH: &str = "x-target-path";
    /// The customer.
    pub const CUSTOMER: &str = "x-customer";
    /// The request's priority.
    pub const PRIORITY: &str = "x-priority";
    /// Milliseconds that are left.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// The key of a request that must run at most once.
    pub const KEY: &str = "x-key";
    /// From which token on the answer is wanted.
    pub const FROM: &str = "x-from-token";
    /// Whether the request may run twice (`yes` or `no`).
    pub const REPEATABLE: &str = "x-repeatable";
    /// In an answer: whether the request was admitted (`yes`, `no`, or `unknown`).
    pub const ADMITTED: &str = "x-admitted";
    /// Authenticates the inner hop.
    pub const PROOF: &str = "x-proof";
}
