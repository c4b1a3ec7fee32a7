//! An answer's body that keeps something until it is handed over or given up.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

/// What a body keeps. It is dropped with the body.
pub trait Observer: Unpin {
    /// The body was handed over whole.
    fn completed(&mut self) {}
}

/// A body and what it keeps.
pub struct Observed<K> {
    body: BoxBody,
    keeper: K,
}

impl<K: Observer> Observed<K> {
    /// `body`, which keeps `keeper`.
    pub fn new(body: BoxBody, mut keeper: K) -> Self {
        // A body without bytes is not asked for any.
        if matches!(body.size(), BodySize::None | BodySize::Sized(0)) {
            keeper.completed();
        }
        Self { body, keeper }
    }
}

impl<K: Observer> MessageBody for Observed<K> {
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
            self.keeper.completed();
        }
        polled
    }
}
