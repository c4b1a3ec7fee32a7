//! HTTP helpers around `actix-http` and `awc`.
//!
//! * [`server`] accepts connections and serves them.
//! * [`counted`] is a connection that holds a value until it is closed.
//! * [`event`] splits a stream of server-sent events.
//! * `pipeline` passes a connection's requests to the server one at a time.
//! * [`cap`] keeps the connections of a listener within their bounds.
//! * [`target`] builds the path and query of a request.
//! * [`observed`] wraps a response body to observe its completion.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::limit::memory::Reservation;
use crate::timeout::{self, Progress};

pub mod cap;
pub mod counted;
pub mod event;
pub mod observed;
mod pipeline;
pub mod server;
pub mod target;

pub use server::{Io, Server, Timing, Wrap, plain};

/// Timeout of a client for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of the listen queue.
const BACKLOG: i32 = 1024;

/// Why sending or reading a message failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The connection failed before a request was written to it.
    #[error("cannot connect: {reason}")]
    Connect {
        /// The client library's error.
        reason: String,
    },
    /// The exchange broke off after bytes may have been sent.
    #[error("exchange broke: {reason}")]
    Exchange {
        /// The client library's error.
        reason: String,
    },
    /// The peer answered with a status other than success.
    #[error("peer answered {status}")]
    Status {
        /// The status code.
        status: u16,
    },
    /// A body exceeds its reader's limit.
    #[error("body is longer than {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// A body does not fit into the memory for requests.
    #[error("no memory for the body")]
    OutOfMemory,
    /// A body could not be decoded.
    #[error("cannot decode body: {reason}")]
    Decode {
        /// The codec's error.
        reason: String,
    },
}

impl From<awc::error::SendRequestError> for Error {
    fn from(error: awc::error::SendRequestError) -> Self {
        use awc::error::{ConnectError, SendRequestError as Send};
        match error {
            // awc also reports a connect error when the peer closes the connection after the
            // request was written and before a response arrived. It is then unknown whether the
            // request ran.
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

/// The response type of all handlers.
pub type Answer = Response<BoxBody>;

/// Opens a listening socket, which any runtime may then [`adopt`]. With port 0, the kernel chooses
/// one.
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

/// Registers a listening socket with the current thread's runtime.
pub fn adopt(listener: std::net::TcpListener) -> Result<TcpListener, Error> {
    let address = listener
        .local_addr()
        .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
    TcpListener::from_std(listener).map_err(|source| Error::Listen { address, source })
}

/// Settings of an HTTP client.
#[derive(Debug, Clone, Copy)]
pub struct ClientSetting {
    /// The local address of connections, by which peers recognise a box.
    pub local_address: Option<IpAddr>,
    /// Maximum number of connections kept, for one peer and in total.
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

/// Creates a client without a response timeout: callers limit the time of each exchange.
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

/// Creates an empty response.
pub fn status(code: StatusCode) -> Answer {
    Response::with_body(code, BoxBody::new(()))
}

/// Creates a response with `body` of the given content type.
pub fn body(code: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::with_body(code, BoxBody::new(body.into()));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// Creates a JSON response.
pub fn json<T: Serialize>(code: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => body(code, "application/json", bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Creates a MessagePack response. This codec is used between the system's own processes.
pub fn pack<T: Serialize>(code: StatusCode, value: &T) -> Answer {
    match rmp_serde::to_vec_named(value) {
        Ok(bytes) => body(code, "application/msgpack", bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Creates a streamed response. An error item closes the connection, so that the reader sees the
/// body as truncated.
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

/// The header names listed in the `connection` header, in lower case.
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

/// Reads a request's body of at most `limit` bytes, which are counted in `held`.
pub async fn read_request_held(
    request: &mut Request,
    limit: usize,
    held: &mut Reservation,
) -> Result<Bytes, Error> {
    let base = held.used();
    let length = request.head().headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let mut payload = request.take_payload();
    // A body of known length isn't copied as it grows.
    let mut all = BytesMut::with_capacity(length.unwrap_or(0).min(limit));
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| Error::Exchange {
            reason: error.to_string(),
        })?;
        let length = all.len() + part.len();
        if length > limit {
            return Err(Error::TooLong { limit });
        }
        if !held.set(base + length as u64) {
            return Err(Error::OutOfMemory);
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
    read_tracked(payload, limit, &Progress::default()).await
}

/// Reads a response's body of at most `limit` bytes, and reports to `progress` when bytes arrive.
async fn read_tracked<S>(payload: &mut S, limit: usize, progress: &Progress) -> Result<Bytes, Error>
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

/// Gets `url`, whose response must begin within `first_byte`, and decodes its JSON.
pub async fn get_json<T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first_byte: Duration,
) -> Result<T, Error> {
    let bytes = get(client, url, limit, first_byte).await?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Decode {
        reason: error.to_string(),
    })
}

/// Gets `url`, whose response must begin within `first_byte`, and decodes its MessagePack.
pub async fn get_pack<T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first_byte: Duration,
) -> Result<T, Error> {
    let bytes = get(client, url, limit, first_byte).await?;
    rmp_serde::from_slice(&bytes).map_err(|error| Error::Decode {
        reason: error.to_string(),
    })
}

/// Gets `url`, whose response must begin within `first_byte`.
pub async fn get(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first_byte: Duration,
) -> Result<Bytes, Error> {
    receive(client.get(url), limit, first_byte).await
}

/// Sends `request` and reads its response, which must begin within `first_byte`. A long response
/// may take longer while bytes arrive.
pub async fn receive(
    request: awc::ClientRequest,
    limit: usize,
    first_byte: Duration,
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
        read_tracked(&mut response, limit, &progress).await
    };
    with_timeout(first_byte, &progress, exchange).await
}

/// Posts JSON and decodes a JSON response, which must begin within `first_byte`. A status other
/// than success is an error.
pub async fn post_json<B: Serialize, T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    value: &B,
    first_byte: Duration,
) -> Result<T, Error> {
    /// Maximum length of the response, in bytes.
    const LIMIT: usize = 1 << 20;
    let progress = Progress::default();
    let exchange = async {
        let mut response = client.post(url).send_json(value).await?;
        let status = response.status();
        let bytes = read_tracked(&mut response, LIMIT, &progress).await?;
        if !status.is_success() {
            return Err(Error::Status {
                status: status.as_u16(),
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| Error::Decode {
            reason: error.to_string(),
        })
    };
    with_timeout(first_byte, &progress, exchange).await
}

async fn with_timeout<T>(
    first_byte: Duration,
    progress: &Progress,
    exchange: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let config = timeout::Config::with_first_byte(first_byte);
    let ended = timeout::wait(exchange, progress, config).await;
    ended.unwrap_or_else(|error| {
        Err(Error::Exchange {
            reason: error.to_string(),
        })
    })
}
