//! The response of an exchange. Its body ends only at its declared length or its last chunk, or at
//! the orderly close of its connection if its sender is known to run after that
//! ([`super::liveness`]); a reusable connection then returns to the pool.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_codec::Framed;
use actix_http::h1::{ClientPayloadCodec, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::{Stream, StreamExt};
use tokio::io::{AsyncRead, ReadBuf};

use super::codec::Codec;
use super::liveness::Witness;
use super::path::Guard;
use super::socket::Socket;
use super::{Alarm, Client, Connection, Error, IdleConnection, Options, Unframed, broken};
use crate::clock::Time;
use crate::timeout::Progress;

/// Maximum number of idle connections to one peer.
const IDLE_PER_PEER_MAX: usize = 64;

/// Size of one read of a body without a length.
const RAW_READ_BYTES: usize = 8 * 1024;

/// How long before the announced close by the peer an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The state of a response body.
enum BodyState {
    /// The codec reads the rest from this connection.
    Codec(Framed<Socket, ClientPayloadCodec>),
    /// Bytes follow until the connection closes; the codec leaves reading those to its caller.
    UntilClose(Socket, BytesMut),
    /// The connection was closed, and it is being checked whether the peer still runs.
    Closed(LocalBoxFuture<'static, Result<(), Error>>),
    /// The whole body was read.
    Complete,
    /// The body was truncated.
    Broken,
}

/// A response. Its body is a stream that ends without an error only if the body is complete.
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    hop: Hop,
    body: BodyState,
    /// Shows whether the peer still runs when the body ends with its connection.
    witness: Option<Witness>,
    unframed: bool,
}

/// The connection of a response, and whether it can be reused.
pub(super) struct Hop {
    pub client: Client,
    pub peer: SocketAddr,
    pub opened: Time,
    /// When the request was sent.
    pub sent_at: Time,
    pub reusable: bool,
    /// A failure of the connection that was reported while the request was sent.
    pub failure: Option<io::ErrorKind>,
    /// Whether the response has no body whatever its headers say.
    pub bodiless: bool,
    pub options: Options,
    pub guard: Guard,
    pub alarm: Option<Alarm>,
}

impl Hop {
    fn witness(&self) -> Option<Witness> {
        let Unframed::Confirmed(probe) = &self.options.unframed else {
            return None;
        };
        let (client, options) = (self.client.clone(), self.options.clone());
        let probe = probe.clone();
        Some(Witness::open(
            client,
            self.peer,
            options,
            probe,
            self.sent_at,
        ))
    }
}

impl fmt::Debug for Response {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Response({})", self.status)
    }
}

impl Response {
    pub(super) fn new(hop: Hop, head: ResponseHead, connection: Connection) -> Self {
        let kind = connection.codec_ref().message_type();
        let unframed = !hop.bodiless && is_unframed(&head);
        let witness = unframed.then(|| hop.witness()).flatten();
        let mut response = Self {
            status: head.status,
            headers: head.headers,
            hop,
            body: BodyState::Complete,
            witness,
            unframed,
        };
        match kind {
            MessageType::None if unframed => {
                let parts = connection.into_parts();
                response.body = match response.witness {
                    None => BodyState::Broken,
                    Some(_) => BodyState::UntilClose(parts.io, parts.read_buf),
                };
            }
            MessageType::None => response.release(connection),
            MessageType::Payload | MessageType::Stream => {
                let payload = connection.into_map_codec(Codec::into_payload_codec);
                response.body = BodyState::Codec(payload);
            }
        }
        response
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

    /// Reads the whole body of at most `limit` bytes, and reports to `progress` when bytes arrive.
    pub async fn read_tracked(
        &mut self,
        limit: usize,
        progress: &Progress,
    ) -> Result<Bytes, Error> {
        collect(self, limit, progress).await
    }

    fn release(&self, connection: Connection) {
        // Bytes after the complete response belong to no request, so the connection cannot be
        // reused.
        let clean = connection.is_read_buf_empty();
        let usable = clean && connection.codec_ref().keep_alive();
        if !self.hop.reusable || !usable || !connection.io_ref().may_rest() {
            return;
        }
        let mut idle = self.hop.client.idle.borrow_mut();
        let kept = idle.entry(self.hop.peer).or_default();
        if kept.len() < IDLE_PER_PEER_MAX {
            kept.push(IdleConnection {
                connection,
                opened: self.hop.opened,
                last_received: self.hop.guard.now(),
                keep_alive_limit: self.keep_alive_limit(),
            });
        }
    }

    /// How long the connection may be idle according to the peer's `keep-alive` header.
    fn keep_alive_limit(&self) -> Option<Duration> {
        let words = self.header("keep-alive").split(',');
        let seconds = words
            .filter_map(|word| word.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.trim().parse().ok())?;
        Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
    }

    /// Whether the body has neither a length nor chunks.
    pub fn is_unframed(&self) -> bool {
        self.unframed
    }

    /// Begins to check whether the body is complete, because its connection was closed.
    fn close(&mut self) {
        self.body = match self.witness.take() {
            Some(witness) => BodyState::Closed(Box::pin(witness.confirm(self.hop.failure))),
            None => BodyState::Broken,
        };
    }

    fn complete(&mut self) {
        let body = std::mem::replace(&mut self.body, BodyState::Complete);
        if let BodyState::Codec(payload) = body {
            self.release(payload.into_map_codec(Codec::after));
        }
    }
}

/// Reads all of `parts`, of at most `limit` bytes, and reports to `progress` when bytes arrive.
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

/// Whether a response has a body with neither a length nor a transfer encoding.
fn is_unframed(head: &ResponseHead) -> bool {
    let bodiless = head.status.is_informational()
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    let framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    !bodiless && !framed
}

/// The next bytes of a connection, empty at its orderly close.
fn read_raw(
    stream: &mut Socket,
    buffer: &mut BytesMut,
    cx: &mut Context<'_>,
) -> Poll<io::Result<Bytes>> {
    if !buffer.is_empty() {
        return Poll::Ready(Ok(buffer.split().freeze()));
    }
    let mut space = [0; RAW_READ_BYTES];
    let mut part = ReadBuf::new(&mut space);
    std::task::ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    Poll::Ready(Ok(Bytes::copy_from_slice(part.filled())))
}

impl Response {
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        match &mut self.body {
            BodyState::Codec(payload) => payload.io_mut().begin_turn(),
            BodyState::UntilClose(socket, _) => socket.begin_turn(),
            BodyState::Closed(_) | BodyState::Complete | BodyState::Broken => {}
        }
        loop {
            let part = match &mut self.body {
                BodyState::Complete => return Poll::Ready(None),
                BodyState::Broken => {
                    return Poll::Ready(Some(Err(broken("the answer was cut off"))));
                }
                BodyState::Closed(check) => {
                    let checked = std::task::ready!(check.as_mut().poll(cx));
                    self.body = match checked {
                        Ok(()) => BodyState::Complete,
                        Err(_) => BodyState::Broken,
                    };
                    return Poll::Ready(checked.err().map(Err));
                }
                BodyState::UntilClose(stream, buffer) => {
                    let part = std::task::ready!(read_raw(stream, buffer, cx));
                    part.map(|part| (!part.is_empty()).then_some(part))
                        .map_err(broken)
                }
                BodyState::Codec(payload) => {
                    match std::task::ready!(Pin::new(payload).next_item(cx)) {
                        Some(Ok(Some(part))) => Ok(Some(part)),
                        Some(Ok(None)) => {
                            self.complete();
                            return Poll::Ready(None);
                        }
                        None => Ok(None),
                        Some(Err(error)) => Err(broken(error)),
                    }
                }
            };
            match part {
                Ok(Some(part)) => return Poll::Ready(Some(Ok(part))),
                Ok(None) => self.close(),
                Err(error) => {
                    self.body = BodyState::Broken;
                    return Poll::Ready(Some(Err(error)));
                }
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
                self.hop.guard.touch();
            }
            return part;
        }
        let is_open = !matches!(self.body, BodyState::Closed(_));
        if is_open && let Some(witness) = &mut self.witness {
            witness.record_open(cx);
        }
        if is_open && Pin::new(&mut self.hop.guard).poll(cx).is_ready() {
            if self.hop.options.guarded {
                self.body = BodyState::Broken;
                return Poll::Ready(Some(Err(Error::Silent)));
            }
            self.hop.alarm.iter().for_each(Alarm::raise);
        }
        Poll::Pending
    }
}
