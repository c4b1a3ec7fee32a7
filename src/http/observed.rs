//! A response body that notifies an observer when it was handed over, and drops it with the body.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

/// Observes a body. It is dropped with the body.
pub trait Observer: Unpin {
    /// Called when the body was handed over completely.
    fn completed(&mut self) {}
}

/// A body with its observer.
pub struct Observed<O> {
    body: BoxBody,
    observer: O,
}

impl<O: Observer> Observed<O> {
    /// Wraps `body` so that `observer` is notified of its completion.
    pub fn new(body: BoxBody, mut observer: O) -> Self {
        // A body without bytes is never polled.
        if matches!(body.size(), BodySize::None | BodySize::Sized(0)) {
            observer.completed();
        }
        Self { body, observer }
    }
}

impl<O: Observer> MessageBody for Observed<O> {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_next(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.observer.completed();
        }
        polled
    }
}
