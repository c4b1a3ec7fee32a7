//! The configuration service, which is only read and watched, and the lagging list of boxes.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_http::{Request, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::config::{Delta, Revision, Value};
use crate::http::{self, Answer, Server, Wrap};
use crate::member::{Descriptor, Listing, State};
use crate::template::VALUE_BYTES_MAX;

/// Longest wait of one watch.
const WAIT_MAX: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Values {
    revision: u64,
    values: BTreeMap<String, Value>,
}

/// The two services.
#[derive(Debug)]
pub struct Platform {
    values: Mutex<Values>,
    listing: Mutex<Listing>,
    config_changed: watch::Sender<u64>,
    list_changed: watch::Sender<u64>,
    config_down: AtomicBool,
    config_reads: AtomicU64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            values: Mutex::default(),
            listing: Mutex::default(),
            config_changed: watch::Sender::new(0),
            list_changed: watch::Sender::new(0),
            config_down: AtomicBool::new(false),
            config_reads: AtomicU64::new(0),
        }
    }
}

impl Platform {
    /// Publishes one value, or removes it, as the operator's tools of the platform do.
    pub fn publish(&self, name: &str, text: Option<&str>) -> Revision {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        values.revision += 1;
        let revision = Revision(values.revision);
        let value = Value {
            revision,
            text: text.map(str::to_owned),
        };
        values.values.insert(name.to_owned(), value);
        drop(values);
        self.config_changed.send_replace(revision.0);
        revision
    }

    /// Falls back to what stood at `revision`, as a service restored from an old copy. Values that
    /// were changed since are gone.
    pub fn revert_to(&self, revision: Revision) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        values.revision = revision.0;
        values.values.retain(|_, value| value.revision <= revision);
        drop(values);
        self.config_changed.send_replace(revision.0);
    }

    /// The text that was published last under `name`.
    pub fn text(&self, name: &str) -> Option<String> {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        values.values.get(name)?.text.clone()
    }

    /// Makes every call of the configuration service fail, or ends that.
    pub fn set_config_down(&self, down: bool) {
        self.config_down.store(down, Ordering::Relaxed);
        // Wakes the watches that wait, so that they fail as well.
        self.config_changed.send_modify(|_| ());
    }

    /// Calls of the configuration service so far, a waiting watch counted as one.
    pub fn config_reads(&self) -> u64 {
        self.config_reads.load(Ordering::Relaxed)
    }

    /// Replaces the list of boxes.
    pub fn set_boxes(&self, boxes: Vec<Descriptor>) {
        self.change_list(|listing| listing.boxes = boxes);
    }

    /// Marks a box as leaving.
    pub fn set_leaving(&self, name: &str) {
        self.change_list(|listing| {
            for listed in listing
                .boxes
                .iter_mut()
                .filter(|listed| &*listed.name == name)
            {
                listed.state = State::Leaving;
            }
        });
    }

    /// Adds a box.
    pub fn add_box(&self, listed: Descriptor) {
        self.change_list(|listing| listing.boxes.push(listed));
    }

    /// Removes boxes.
    pub fn remove_boxes(&self, names: &[&str]) {
        self.change_list(|listing| {
            listing
                .boxes
                .retain(|listed| !names.contains(&&*listed.name));
        });
    }

    fn change_list(&self, change: impl FnOnce(&mut Listing)) {
        let mut listing = self.listing.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut listing);
        listing.version += 1;
        let version = listing.version;
        drop(listing);
        self.list_changed.send_replace(version);
    }

    /// Serves on the present thread.
    pub fn serve(self: &Arc<Self>, listener: TcpListener, wrap: Wrap) -> Server {
        let platform = self.clone();
        Server::start(listener, wrap, move |request, _| {
            platform.clone().answer(request)
        })
    }

    async fn answer(self: Arc<Self>, mut request: Request) -> Answer {
        match (request.method().as_str(), request.path()) {
            ("GET", "/v1/config") => self.config(&request).await,
            ("GET", "/v1/boxes") => self.boxes(&request).await,
            // The operator's side of the platform: the system itself never calls these.
            ("PUT", path) if path.starts_with("/admin/values/") => {
                let name = path["/admin/values/".len()..].to_owned();
                self.put(&name, &mut request).await
            }
            ("PUT", "/admin/boxes") => self.put_boxes(&mut request).await,
            _ => http::status(StatusCode::NOT_FOUND),
        }
    }

    async fn config(&self, request: &Request) -> Answer {
        self.config_reads.fetch_add(1, Ordering::Relaxed);
        let query = Query::of(request);
        let changed = self.config_changed.subscribe();
        wait_for(changed, query, || self.config_down.load(Ordering::Relaxed)).await;
        if self.config_down.load(Ordering::Relaxed) {
            return http::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        http::json(StatusCode::OK, &self.delta(Revision(query.after)))
    }

    fn delta(&self, from: Revision) -> Delta {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = values
            .values
            .iter()
            .filter(|(_, value)| value.revision > from);
        Delta {
            from,
            to: Revision(values.revision),
            values: newer
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        }
    }

    async fn boxes(&self, request: &Request) -> Answer {
        let query = Query::of(request);
        wait_for(self.list_changed.subscribe(), query, || false).await;
        let listing = self.listing.lock().unwrap_or_else(PoisonError::into_inner);
        http::json(StatusCode::OK, &*listing)
    }

    async fn put(&self, name: &str, request: &mut Request) -> Answer {
        let Ok(bytes) = http::read_request(request, VALUE_BYTES_MAX).await else {
            return http::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match std::str::from_utf8(&bytes) {
            Ok(text) => http::json(StatusCode::OK, &self.publish(name, Some(text))),
            Err(_) => http::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn put_boxes(&self, request: &mut Request) -> Answer {
        let Ok(bytes) = http::read_request(request, VALUE_BYTES_MAX).await else {
            return http::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match serde_json::from_slice(&bytes) {
            Ok(boxes) => {
                self.set_boxes(boxes);
                http::status(StatusCode::OK)
            }
            Err(error) => http::body(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
        }
    }
}

/// The query of a watch: answer when something newer than `after` is there, or when time is up.
#[derive(Debug, Clone, Copy)]
struct Query {
    after: u64,
    wait: Duration,
}

impl Query {
    fn of(request: &Request) -> Self {
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        Self {
            after: number("after"),
            wait: Duration::from_millis(number("wait_ms")).min(WAIT_MAX),
        }
    }
}

async fn wait_for(mut changed: watch::Receiver<u64>, query: Query, give_up: impl Fn() -> bool) {
    let newer = async {
        while *changed.borrow_and_update() <= query.after && !give_up() {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(query.wait, newer).await;
}
