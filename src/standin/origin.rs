//! The origin of weights: manifests and chunks over HTTP, behind one rate-limited link.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use actix_http::{Request, StatusCode};
use bytes::Bytes;
use tokio::net::TcpListener;

use crate::http::{self, Answer, Server, Wrap};
use crate::weight::{Digest, Manifest};

/// A model at the origin.
#[derive(Debug, Clone)]
struct Model {
    manifest: Manifest,
    bytes: Bytes,
}

/// What the origin holds and has sent.
#[derive(Debug, Default)]
pub struct Origin {
    models: Mutex<HashMap<Digest, Model>>,
    down: AtomicBool,
    sent: AtomicU64,
}

impl Origin {
    /// Adds a model and returns the digest that names it.
    pub fn add(&self, bytes: Bytes, chunk_bytes: u32) -> Digest {
        let manifest = Manifest::of(&bytes, chunk_bytes);
        let digest = manifest.digest();
        let mut models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        models.insert(digest, Model { manifest, bytes });
        digest
    }

    /// Makes every call fail, or ends that.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Bytes of weights that were drawn.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Serves on the present thread.
    pub fn serve(self: &Arc<Self>, listener: TcpListener, wrap: Wrap) -> Server {
        let origin = self.clone();
        Server::start(listener, wrap, move |request, _| {
            let answer = origin.answer(&request);
            async move { answer }
        })
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.down.load(Ordering::Relaxed) {
            return http::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let parts: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["weights", digest, "manifest"] => self.manifest(digest),
            ["weights", digest, "chunks", index] => self.chunk(digest, index),
            _ => http::status(StatusCode::NOT_FOUND),
        }
    }

    fn model(&self, digest: &str) -> Option<Model> {
        let digest: Digest = digest.parse().ok()?;
        let models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        models.get(&digest).cloned()
    }

    fn manifest(&self, digest: &str) -> Answer {
        match self.model(digest) {
            Some(model) => http::pack(StatusCode::OK, &model.manifest),
            None => http::status(StatusCode::NOT_FOUND),
        }
    }

    fn chunk(&self, digest: &str, index: &str) -> Answer {
        let Some(model) = self.model(digest) else {
            return http::status(StatusCode::NOT_FOUND);
        };
        let Ok(index) = index.parse::<u32>() else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        let length = model.manifest.chunk_len(index) as usize;
        if length == 0 {
            return http::status(StatusCode::NOT_FOUND);
        }
        let start = index as usize * model.manifest.chunk_bytes as usize;
        self.sent.fetch_add(length as u64, Ordering::Relaxed);
        http::body(
            StatusCode::OK,
            "application/octet-stream",
            model.bytes.slice(start..start + length),
        )
    }
}
