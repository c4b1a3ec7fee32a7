//! A client: one request, one try, on a kept connection or a new one.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Response};

/// How a try ended.
pub enum End {
    /// With a response, which tells itself whether it is complete.
    Response(Response),
    /// The connection ended without a response, or could not be opened.
    Nothing,
}

pub struct Client {
    front: SocketAddr,
    kept: Option<BufReader<TcpStream>>,
}

pub struct Try<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
    /// Further header lines, each with its end.
    pub more: &'a str,
}

impl Client {
    pub fn new(front: SocketAddr) -> Self {
        Self { front, kept: None }
    }

    pub fn send(&mut self, request: &Try<'_>) -> End {
        let mut from = match self.kept.take() {
            Some(kept) => kept,
            None => match TcpStream::connect_timeout(&self.front, Duration::from_secs(1)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    BufReader::new(stream)
                }
                Err(_) => return End::Nothing,
            },
        };
        let patience = Duration::from_millis(request.deadline_ms + 1_000);
        let _ = from.get_ref().set_read_timeout(Some(patience));
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Pumicelatch-Attempt-Id: {}\r\n\
             X-Pumicelatch-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
            request.method, request.path, request.host, request.id, request.deadline_ms, request.key
        );
        if request.method != "GET" {
            text += &format!("Content-Length: {}\r\n", request.body.len());
        }
        text += request.more;
        text += "\r\n";
        let bytes = [text.as_bytes(), request.body].concat();
        if from.get_mut().write_all(&bytes).is_err() {
            return End::Nothing;
        }
        match http::read_response(&mut from) {
            Ok(Some(response)) => {
                if response.keeps() {
                    self.kept = Some(from);
                }
                End::Response(response)
            }
            _ => End::Nothing,
        }
    }
}
