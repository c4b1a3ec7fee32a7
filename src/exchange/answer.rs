//! The answer of an exchange: its body ends only where its length or its last chunk says so, and its
//! connection is kept for others if it is good for that.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_codec::Framed;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use super::path::Guard;
use super::{Connection, Error, Idle, Kept, Unframed, broken};
use crate::clock::Time;
use crate::timeout::Progress;

/// Idle connections kept for each peer.
const IDLE_MAX: usize = 64;

/// Bytes that are read at once of an answer without a length.
const RAW_PART: usize = 8 * 1024;

/// How long before a peer closes an idle connection, by its own word, it is not used any more.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// What is left to read of an answer.
enum Rest {
    /// Bytes are to come on this connection.
    Open(Framed<TcpStream, ClientPayloadCodec>),
    /// Bytes are to come until the connection ends; the codec leaves those to its caller.
    UntilClose(TcpStream, BytesMut),
    /// The answer is whole.
    Whole,
    /// It was cut off.
    Cut,
}

/// An answer. Its body is a stream that ends only if the answer is whole.
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    hop: Hop,
    rest: Rest,
    until_close: bool,
}

/// Where an answer came from, and what becomes of its connection.
pub(super) struct Hop {
    pub idle: Idle,
    pub peer: SocketAddr,
    pub opened: Time,
    pub reusable: bool,
    pub unframed: Unframed,
    pub guard: Guard,
    pub guarded: bool,
}

impl fmt::Debug for Response {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Response({})", self.status)
    }
}

impl Response {
    pub(super) fn new(hop: Hop, head: ResponseHead, connection: Connection) -> Self {
        let kind = connection.codec_ref().message_type();
        let unframed = matches!(kind, MessageType::None) && without_length(&head);
        let mut response = Self {
            status: head.status,
            headers: head.headers,
            hop,
            rest: Rest::Whole,
            until_close: unframed || matches!(kind, MessageType::Stream),
        };
        match kind {
            MessageType::None if unframed => {
                let parts = connection.into_parts();
                response.rest = match response.hop.unframed {
                    Unframed::Broken => Rest::Cut,
                    Unframed::EndsWithConnection => Rest::UntilClose(parts.io, parts.read_buf),
                };
            }
            MessageType::None => response.keep(connection),
            MessageType::Payload | MessageType::Stream => {
                let payload = connection.into_map_codec(ClientCodec::into_payload_codec);
                response.rest = Rest::Open(payload);
            }
        }
        response
    }

    /// Sets whether it ends with [`Error::Silent`] when its connection turns out to be silent.
    pub fn set_guarded(&mut self, guarded: bool) {
        self.hop.guarded = guarded;
    }

    /// The value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Reads the whole body of at most `limit` bytes.
    pub async fn read(&mut self, limit: usize) -> Result<Bytes, Error> {
        self.read_tracked(limit, &Progress::default()).await
    }

    /// Reads the whole body of at most `limit` bytes, and notes when bytes come.
    pub async fn read_tracked(
        &mut self,
        limit: usize,
        progress: &Progress,
    ) -> Result<Bytes, Error> {
        collect(self, limit, progress).await
    }

    fn keep(&self, connection: Connection) {
        // Bytes after the whole answer belong to no request; nothing may follow them.
        let clean = connection.is_read_buf_empty();
        if !self.hop.reusable || !clean || !connection.codec_ref().keep_alive() {
            return;
        }
        let mut idle = self.hop.idle.borrow_mut();
        let kept = idle.entry(self.hop.peer).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(Kept {
                connection,
                opened: self.hop.opened,
                heard: self.hop.guard.now(),
                good_for: self.good_for(),
            });
        }
    }

    /// How long the peer will keep the connection, by its own word.
    fn good_for(&self) -> Option<Duration> {
        let words = self.header("keep-alive").split(',');
        let seconds = words
            .filter_map(|word| word.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.trim().parse().ok())?;
        Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
    }

    fn take_raw(&mut self, part: io::Result<Bytes>) -> Option<Result<Bytes, Error>> {
        match part {
            Ok(part) if part.is_empty() => {
                self.rest = Rest::Whole;
                None
            }
            Ok(part) => Some(Ok(part)),
            Err(error) => {
                self.rest = Rest::Cut;
                Some(Err(broken(error)))
            }
        }
    }

    fn ends_with_connection(&self) -> bool {
        self.until_close && self.hop.unframed == Unframed::EndsWithConnection
    }

    fn ended(&mut self) {
        let rest = std::mem::replace(&mut self.rest, Rest::Whole);
        if let Rest::Open(payload) = rest {
            self.keep(payload.into_map_codec(ClientPayloadCodec::into_message_codec));
        }
    }
}

/// Reads all of `parts`, of at most `limit` bytes, and notes when bytes come.
pub async fn collect(
    parts: &mut (impl Stream<Item = Result<Bytes, Error>> + Unpin),
    limit: usize,
    progress: &Progress,
) -> Result<Bytes, Error> {
    let mut all = BytesMut::new();
    progress.touch();
    while let Some(part) = parts.next().await {
        let part = part?;
        progress.touch();
        if all.len() + part.len() > limit {
            return Err(Error::TooLong { limit });
        }
        all.extend_from_slice(&part);
    }
    Ok(all.freeze())
}

/// Whether an answer has a body whose length it does not tell.
fn without_length(head: &ResponseHead) -> bool {
    let bodiless = head.status.is_informational()
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    let told =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    !bodiless && !told
}

/// The next bytes of a connection, empty at its orderly end.
fn read_raw(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    cx: &mut Context<'_>,
) -> Poll<io::Result<Bytes>> {
    if !buffer.is_empty() {
        return Poll::Ready(Ok(buffer.split().freeze()));
    }
    let mut space = [0; RAW_PART];
    let mut part = ReadBuf::new(&mut space);
    std::task::ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    Poll::Ready(Ok(Bytes::copy_from_slice(part.filled())))
}

impl Response {
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        let payload = match &mut self.rest {
            Rest::Whole => return Poll::Ready(None),
            Rest::Cut => return Poll::Ready(Some(Err(broken("the answer was cut off")))),
            Rest::UntilClose(stream, buffer) => {
                let part = std::task::ready!(read_raw(stream, buffer, cx));
                return Poll::Ready(self.take_raw(part));
            }
            Rest::Open(payload) => payload,
        };
        let item = std::task::ready!(Pin::new(payload).next_item(cx));
        match item {
            Some(Ok(Some(part))) => Poll::Ready(Some(Ok(part))),
            Some(Ok(None)) if !self.until_close => {
                self.ended();
                Poll::Ready(None)
            }
            Some(Ok(None)) | None if self.ends_with_connection() => {
                self.rest = Rest::Whole;
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                self.rest = Rest::Cut;
                Poll::Ready(Some(Err(broken(error))))
            }
            Some(Ok(None)) | None => {
                self.rest = Rest::Cut;
                Poll::Ready(Some(Err(broken("the answer was cut off"))))
            }
        }
    }
}

impl Stream for Response {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let part = self.poll_part(cx);
        if part.is_ready() {
            if matches!(part, Poll::Ready(Some(Ok(_)))) {
                self.hop.guard.heard();
            }
            return part;
        }
        if self.hop.guarded && Pin::new(&mut self.hop.guard).poll(cx).is_ready() {
            self.rest = Rest::Cut;
            return Poll::Ready(Some(Err(Error::Silent)));
        }
        Poll::Pending
    }
}
