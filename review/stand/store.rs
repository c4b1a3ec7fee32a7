//! The platform's store: keys, values, one revision counter; ranges and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;

struct Item {
    revision: u64,
    made: u64,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - part.len()));
        for place in 0..4 {
            if place > part.len() {
                out.push('=');
            } else {
                out.push(SIGNS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            }
        }
    }
    out
}

impl Store {
    pub fn start() -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let store = Self {
            address,
            state: Arc::default(),
        };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key. Returns the revision, which is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(base64(value.as_bytes())))
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).map_or(revision, |item| item.made);
        let item = Item {
            revision,
            made,
            value,
        };
        state.items.insert(key.to_owned(), item);
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut from) {
            // An answer takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let prefix = request.parameter("pathPrefix");
            let (status, body) = match request.path.as_str() {
                "/-/kv-range" => (200, self.range(&prefix, &request.parameter("afterRev"))),
                "/-/kv-watch" => {
                    let after = request.parameter("afterRev").parse().unwrap_or(0);
                    let wait = request.parameter("waitMs").parse().unwrap_or(0_u64);
                    (200, self.watch(&prefix, after, wait.min(30_000)))
                }
                "/-/kv-key" => match self.key(&request.parameter("tlsKey")) {
                    Some(body) => (200, body),
                    None => (404, String::from("{}")),
                },
                _ => (404, String::from("{}")),
            };
            let json = [("Content-Type", "application/json")];
            if http::respond(&mut out, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn written(key: &str, item: &Item) -> String {
        match &item.value {
            Some(value) => format!(
                "{{\"tlsKey\":\"{key}\",\"value\":\"{value}\",\"revision\":{},\"made\":{},\"lease\":0}}",
                item.revision, item.made
            ),
            None => format!(
                "{{\"tlsKey\":\"{key}\",\"revision\":{},\"gone\":true}}",
                item.revision
            ),
        }
    }

    fn key(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let item = state.items.get(key).filter(|item| item.value.is_some())?;
        let at = state.revision;
        Some(format!("{{\"item\":{},\"at\":{at}}}", Self::written(key, item)))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        const PAGE: usize = 500;
        let state = self.state.0.lock().unwrap();
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, item)| {
                key.starts_with(prefix) && key.as_str() > after && item.value.is_some()
            })
            .map(|(key, item)| Self::written(key, item))
            .collect();
        let more = found.len() > PAGE;
        let items = found[..found.len().min(PAGE)].join(",");
        format!("{{\"items\":[{items}],\"more\":{more},\"at\":{}}}", state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut found: Vec<(u64, String)> = state
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
                .map(|(key, item)| (item.revision, Self::written(key, item)))
                .collect();
            found.sort();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let events: Vec<String> = found.into_iter().map(|(_, text)| text).collect();
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"at\":{}}}", state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
