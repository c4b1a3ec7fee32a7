//! The codec of a connection to a peer: that of `actix-http`, which gets only heads that are valid.

use std::io;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHeadType, ResponseHead};
use bytes::BytesMut;

use super::head::{self, Fault};

/// Why no head was read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are not the head of a response.
    #[error(transparent)]
    Head(#[from] Fault),
    /// The codec can't decode the head.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

/// Encodes requests and decodes heads of responses.
#[derive(Debug, Default)]
pub(super) struct Codec {
    inner: ClientCodec,
}

impl Codec {
    /// What follows the head of the last response.
    pub fn message_type(&self) -> MessageType {
        self.inner.message_type()
    }

    /// Whether the connection stays open after the last response.
    pub fn keep_alive(&self) -> bool {
        self.inner.keep_alive()
    }

    /// The codec of the last response's body.
    pub fn into_payload_codec(self) -> ClientPayloadCodec {
        self.inner.into_payload_codec()
    }

    /// The codec of the connection after a response's body.
    pub fn after(payload: ClientPayloadCodec) -> Self {
        Self {
            inner: payload.into_message_codec(),
        }
    }
}

impl Decoder for Codec {
    type Item = ResponseHead;
    type Error = Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<ResponseHead>, Error> {
        // The codec reads no body where a response offers to switch to another protocol.
        if head::check(bytes)?.offers_upgrade {
            head::remove_upgrade(bytes);
        }
        Ok(self.inner.decode(bytes)?)
    }
}

impl Encoder<Message<(RequestHeadType, BodySize)>> for Codec {
    type Error = io::Error;

    fn encode(
        &mut self,
        item: Message<(RequestHeadType, BodySize)>,
        bytes: &mut BytesMut,
    ) -> Result<(), io::Error> {
        self.inner.encode(item, bytes)
    }
}
