//! Serves chunks to peers, a few at a time.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use tokio::sync::oneshot;

use super::Burst;
use super::host::Host;
use crate::http::{self, Answer};
use crate::spread::upload::{Admission, UploadKey};

/// Bytes of a chunk that are handed to a connection at a time.
const SLICE: usize = 16 * 1024;

/// Header that tells how many uploads a box has.
const LOAD_HEADER: &str = "x-load";

impl Burst {
    /// Serves a chunk to a peer, now or when its turn comes.
    pub async fn upload(self: Rc<Self>, host: Rc<Host>, chunk: u32) -> Answer {
        let Some(bytes) = host.store.borrow().get(self.version, chunk) else {
            return http::status(StatusCode::NOT_FOUND);
        };
        let now = host.clock.now();
        self.served.set(now);
        let admission = self.uploads.borrow_mut().request(chunk, now);
        let turn = match admission {
            Admission::Busy => return self.busy(),
            Admission::Start(key) => Turn::new(&host, &self, key),
            Admission::Wait(key) => {
                let turn = Turn::new(&host, &self, key);
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(key, sender);
                if receiver.await.is_err() {
                    return http::status(StatusCode::SERVICE_UNAVAILABLE);
                }
                turn
            }
        };
        let load = self.uploads.borrow().load();
        let body = UploadBody {
            bytes,
            offset: 0,
            turn,
        };
        let mut answer = Response::with_body(StatusCode::OK, body.boxed());
        set_load(&mut answer, load);
        answer
    }

    fn busy(&self) -> Answer {
        let mut answer = http::status(StatusCode::SERVICE_UNAVAILABLE);
        set_load(&mut answer, self.uploads.borrow().load());
        answer
    }

    /// Wakes the uploads whose turn has come.
    pub(super) fn wake_uploads(&self, host: &Host) {
        let now = host.clock.now();
        loop {
            let next = self.uploads.borrow_mut().next(now);
            let Some(key) = next else {
                return;
            };
            let waiter = self.waiters.borrow_mut().remove(&key);
            if waiter.is_none_or(|waiter| waiter.send(()).is_err()) {
                self.uploads.borrow_mut().finish(key, false);
            }
        }
    }
}

fn set_load(answer: &mut Response<BoxBody>, load: usize) {
    if let Ok(value) = HeaderValue::from_str(&load.to_string()) {
        let name = HeaderName::from_static(LOAD_HEADER);
        answer.headers_mut().insert(name, value);
    }
}

/// An upload's place in the queue, given back when dropped.
struct Turn {
    host: Rc<Host>,
    burst: Rc<Burst>,
    key: UploadKey,
    whole: bool,
}

impl Turn {
    fn new(host: &Rc<Host>, burst: &Rc<Burst>, key: UploadKey) -> Self {
        Self {
            host: host.clone(),
            burst: burst.clone(),
            key,
            whole: false,
        }
    }

    fn progress(&self) {
        let now = self.host.clock.now();
        self.burst
            .uploads
            .borrow_mut()
            .record_progress(self.key, now);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.burst.waiters.borrow_mut().remove(&self.key);
        self.burst.uploads.borrow_mut().finish(self.key, self.whole);
        self.burst.wake_uploads(&self.host);
    }
}

/// A chunk on its way out, handed over slice by slice so that its pace is known.
struct UploadBody {
    bytes: Bytes,
    offset: usize,
    turn: Turn,
}

impl MessageBody for UploadBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.offset == self.bytes.len() {
            return Poll::Ready(None);
        }
        let end = self.bytes.len().min(self.offset + SLICE);
        let slice = self.bytes.slice(self.offset..end);
        self.offset = end;
        self.turn.progress();
        self.turn.whole = end == self.bytes.len();
        let host = &self.turn.host;
        let sent = host.bytes_sent.get() + slice.len() as u64;
        host.bytes_sent.set(sent);
        Poll::Ready(Some(Ok(slice)))
    }
}
