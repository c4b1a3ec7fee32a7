//! Uploads chunks to peers, a few at a time.

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

/// Bytes of a chunk that are passed to a connection at a time.
const SLICE_BYTES: usize = 16 * 1024;

/// Response header with the number of uploads of a box.
const LOAD_HEADER: &str = "x-load";

impl Burst {
    /// Uploads a chunk to a peer, at once or when the queue starts it.
    pub async fn upload(self: Rc<Self>, host: Rc<Host>, chunk: u32) -> Answer {
        let Some(bytes) = host.store.borrow().get(self.version, chunk) else {
            return http::status(StatusCode::NOT_FOUND);
        };
        let now = host.clock.now();
        self.last_served.set(now);
        let admission = self.uploads.borrow_mut().request(chunk, now);
        let guard = match admission {
            Admission::Busy => return self.busy(),
            Admission::Start(key) => UploadGuard::new(&host, &self, key),
            Admission::Wait(key) => {
                let guard = UploadGuard::new(&host, &self, key);
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(key, sender);
                if receiver.await.is_err() {
                    return http::status(StatusCode::SERVICE_UNAVAILABLE);
                }
                guard
            }
        };
        let load = self.uploads.borrow().load();
        let body = UploadBody {
            bytes,
            offset: 0,
            guard,
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

    /// Starts the waiting uploads for which a slot is free.
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

/// An upload in the queue. Dropping it removes the upload.
struct UploadGuard {
    host: Rc<Host>,
    burst: Rc<Burst>,
    key: UploadKey,
    completed: bool,
}

impl UploadGuard {
    fn new(host: &Rc<Host>, burst: &Rc<Burst>, key: UploadKey) -> Self {
        Self {
            host: host.clone(),
            burst: burst.clone(),
            key,
            completed: false,
        }
    }

    fn record_progress(&self) {
        let now = self.host.clock.now();
        self.burst
            .uploads
            .borrow_mut()
            .record_progress(self.key, now);
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.burst.waiters.borrow_mut().remove(&self.key);
        self.burst
            .uploads
            .borrow_mut()
            .finish(self.key, self.completed);
        self.burst.wake_uploads(&self.host);
    }
}

/// Body of an upload, passed on in slices so that the progress of the reader can be observed.
struct UploadBody {
    bytes: Bytes,
    offset: usize,
    guard: UploadGuard,
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
        let end = self.bytes.len().min(self.offset + SLICE_BYTES);
        let slice = self.bytes.slice(self.offset..end);
        self.offset = end;
        self.guard.record_progress();
        self.guard.completed = end == self.bytes.len();
        let host = &self.guard.host;
        let sent = host.bytes_sent.get() + slice.len() as u64;
        host.bytes_sent.set(sent);
        Poll::Ready(Some(Ok(slice)))
    }
}
