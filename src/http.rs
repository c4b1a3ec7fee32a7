//! HTTP at a process's edge: small helpers around `actix-http` and `awc`.
//!
//! * [`server`] is the accept loop and what becomes of connections.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::timeout::{self, Progress};

pub mod observed;
pub mod server;

pub use server::{Io, Server, Timing, Wrap, plain};

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// What goes wrong while a message is sent or read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// Why the system refused.
        source: io::Error,
    },
    /// The connection failed before a request was written to it.
    #[error("cannot connect: {reason}")]
    Connect {
        /// What the client library reported.
        reason: String,
    },
    /// The exchange broke after bytes may have left.
    #[error("exchange broke: {reason}")]
    Exchange {
        /// What the client library reported.
        reason: String,
    },
    /// The peer answered with a status that is not a success.
    #[error("peer answered {status}")]
    Status {
        /// The status code.
        status: u16,
    },
    /// A body is longer than its reader allows.
    #[error("body is longer than {limit} bytes")]
    TooLong {
        /// The bound, in bytes.
        limit: usize,
    },
    /// A body could not be decoded.
    #[error("cannot decode body: {reason}")]
    Decode {
        /// What the codec reported.
        reason: String,
    },
}

impl From<awc::error::SendRequestError> for Error {
    fn from(error: awc::error::SendRequestError) -> Self {
        use awc::error::{ConnectError, SendRequestError as Send};
        match error {
            // awc calls it a connect error, too, when the peer closes the connection after the
            // request was written and before an answer came. Nobody knows then whether it ran.
            Send::Connect(ConnectError::Disconnected) => Self::Exchange {
                reason: "the peer closed the connection".to_owned(),
            },
            Send::Connect(reason) => Self::Connect {
                reason: reason.to_string(),
            },
            Send::Url(reason) => Self::Connect {
                reason: reason.to_string(),
            },
            other => Self::Exchange {
                reason: other.to_string(),
            },
        }
    }
}

/// The answer type of all handlers.
pub type Answer = Response<BoxBody>;

/// Opens a listening socket, which any runtime may then [`adopt`]. Port 0 lets the kernel choose.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let open = || -> io::Result<std::net::TcpListener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    };
    open().map_err(|source| Error::Listen { address, source })
}

/// Hands a listening socket to the present thread's runtime.
pub fn adopt(listener: std::net::TcpListener) -> Result<TcpListener, Error> {
    let address = listener
        .local_addr()
        .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
    TcpListener::from_std(listener).map_err(|source| Error::Listen { address, source })
}

/// Settings of an HTTP client.
#[derive(Debug, Clone, Copy)]
pub struct ClientSetting {
    /// The address that connections leave from, so that a box is known by it.
    pub local_address: Option<IpAddr>,
    /// Connections kept for one peer and in all.
    pub connections: usize,
}

impl Default for ClientSetting {
    fn default() -> Self {
        Self {
            local_address: None,
            connections: 1024,
        }
    }
}

/// A client without a timeout of its own: callers bound each exchange.
pub fn client(setting: ClientSetting) -> awc::Client {
    let mut connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .handshake_timeout(CONNECT_TIMEOUT)
        .limit(setting.connections);
    if let Some(address) = setting.local_address {
        connector = connector.local_address(address);
    }
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// An empty answer.
pub fn status(code: StatusCode) -> Answer {
    Response::with_body(code, BoxBody::new(()))
}

/// An answer of `body` under a content type.
pub fn body(code: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::with_body(code, BoxBody::new(body.into()));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// A JSON answer.
pub fn json<T: Serialize>(code: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => body(code, "application/json", bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A MessagePack answer, the codec between the system's own processes.
pub fn pack<T: Serialize>(code: StatusCode, value: &T) -> Answer {
    match rmp_serde::to_vec_named(value) {
        Ok(bytes) => body(code, "application/msgpack", bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A streamed answer; an error item breaks the connection, so that the reader sees the break.
pub fn stream<S>(code: StatusCode, content_type: &'static str, items: S) -> Answer
where
    S: Stream<Item = Result<Bytes, io::Error>> + 'static,
{
    let body = BodyStream::new(Box::pin(items) as Pin<Box<dyn Stream<Item = _>>>);
    let mut answer = Response::with_body(code, body.boxed());
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// Headers that the connection's own header names as its own.
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Reads a request's body of at most `limit` bytes.
pub async fn read_request(request: &mut Request, limit: usize) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let mut all = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| Error::Exchange {
            reason: error.to_string(),
        })?;
        if all.len() + part.len() > limit {
            return Err(Error::TooLong { limit });
        }
        all.extend_from_slice(&part);
    }
    Ok(all.freeze())
}

/// Reads a response's body of at most `limit` bytes.
pub async fn read_response<S>(payload: &mut S, limit: usize) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    read_noting(payload, limit, &Progress::default()).await
}

/// Reads a response's body of at most `limit` bytes, and notes when bytes come.
async fn read_noting<S>(payload: &mut S, limit: usize, progress: &Progress) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut all = BytesMut::new();
    progress.touch();
    while let Some(part) = payload.next().await {
        progress.touch();
        let part = part.map_err(|error| Error::Exchange {
            reason: error.to_string(),
        })?;
        if all.len() + part.len() > limit {
            return Err(Error::TooLong { limit });
        }
        all.extend_from_slice(&part);
    }
    Ok(all.freeze())
}

/// Gets `url`, whose answer begins within `first`, and decodes its JSON.
pub async fn get_json<T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first: Duration,
) -> Result<T, Error> {
    let bytes = get(client, url, limit, first).await?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Decode {
        reason: error.to_string(),
    })
}

/// Gets `url`, whose answer begins within `first`, and decodes its MessagePack.
pub async fn get_pack<T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first: Duration,
) -> Result<T, Error> {
    let bytes = get(client, url, limit, first).await?;
    rmp_serde::from_slice(&bytes).map_err(|error| Error::Decode {
        reason: error.to_string(),
    })
}

/// Gets `url`, whose answer begins within `first`.
pub async fn get(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first: Duration,
) -> Result<Bytes, Error> {
    receive(client.get(url), limit, first).await
}

/// Sends `request` and reads its answer, which begins within `first`. A long one may take its time.
pub async fn receive(
    request: awc::ClientRequest,
    limit: usize,
    first: Duration,
) -> Result<Bytes, Error> {
    let progress = Progress::default();
    let exchange = async {
        let mut response = request.send().await?;
        let status = response.status();
        if !status.is_success() {
            return Err(Error::Status {
                status: status.as_u16(),
            });
        }
        read_noting(&mut response, limit, &progress).await
    };
    while_moving(first, &progress, exchange).await
}

/// Posts JSON and decodes a JSON answer, which begins within `first`. Statuses other than success
/// are errors.
pub async fn post_json<B: Serialize, T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    value: &B,
    first: Duration,
) -> Result<T, Error> {
    /// Longest answer to a post.
    const LIMIT: usize = 1 << 20;
    let progress = Progress::default();
    let exchange = async {
        let mut response = client.post(url).send_json(value).await?;
        let status = response.status();
        let bytes = read_noting(&mut response, LIMIT, &progress).await?;
        if !status.is_success() {
            return Err(Error::Status {
                status: status.as_u16(),
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| Error::Decode {
            reason: error.to_string(),
        })
    };
    while_moving(first, &progress, exchange).await
}

async fn while_moving<T>(
    first: Duration,
    progress: &Progress,
    exchange: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let waits = timeout::Config::with_first_byte(first);
    let ended = timeout::wait(exchange, progress, waits).await;
    ended.unwrap_or_else(|error| {
        Err(Error::Exchange {
            reason: error.to_string(),
        })
    })
}
