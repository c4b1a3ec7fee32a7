//! Replicas as processes, and the operator's documents about them.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;

/// What a replica told: "run ID FRAMING", "half ID FRAMING", "done ID FRAMING".
pub struct Told {
    pub at: Instant,
    pub ms: f64,
    pub word: String,
    pub id: String,
    pub framing: String,
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub child: Child,
    pub told: Arc<Mutex<Vec<Told>>>,
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Replica {
    pub fn start(
        id: &str,
        kind: &str,
        unframed_every: u64,
        record: &Record,
    ) -> Result<Self, String> {
        let free = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = free.local_addr().map_err(|error| error.to_string())?;
        drop(free);
        let words = ["replica", &address.to_string(), id, kind, &unframed_every.to_string()];
        Self::spawn(id, address, &words, record)
    }

    /// A model replica at `address`, on the machine of its agent.
    pub fn engine(id: &str, address: SocketAddr, filled: bool, record: &Record) -> Result<Self, String> {
        let what = if filled { "filled" } else { "empty" };
        let words = ["engine", &address.to_string(), id, what];
        Self::spawn(id, address, &words, record)
    }

    fn spawn(id: &str, address: SocketAddr, words: &[&str], record: &Record) -> Result<Self, String> {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(own)
            .args(words)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("cannot start a replica: {error}"))?;
        let out = child.stdout.take().ok_or("a replica has no output")?;
        let told: Arc<Mutex<Vec<Told>>> = Arc::default();
        let (lines, name, record) = (told.clone(), id.to_owned(), record.clone());
        let (up, is_up) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if line == "up" {
                    let _ = up.send(());
                    continue;
                }
                record.line(&format!("replica {name}: {line}"));
                let mut words = line.split(' ').map(str::to_owned);
                let mut word = || words.next().unwrap_or_default();
                lines.lock().unwrap().push(Told {
                    at: Instant::now(),
                    ms: record.ms(),
                    word: word(),
                    id: word(),
                    framing: word(),
                });
            }
        });
        let wait: Receiver<()> = is_up;
        wait.recv_timeout(Duration::from_secs(5))
            .map_err(|_| "a replica does not start".to_owned())?;
        Ok(Self {
            id: id.to_owned(),
            address,
            child,
            told,
        })
    }

    /// Writes the replica's entry into the store.
    pub fn list(&self, store: &Store, service: &str, state: &str) -> u64 {
        list(store, &self.id, self.address, service, state)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }
}

pub fn list(store: &Store, id: &str, address: SocketAddr, service: &str, state: &str) -> u64 {
    let text = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"lis-a\",\"version\":\"v1\",\
         \"slots\":16,\"state\":\"{state}\",\"coldRemainingMs\":0,\"callSeq\":0}}"
    );
    store.put(&format!("servers/{id}"), &text)
}

/// A route as the operator writes it.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, resume: bool) -> String {
    let attempts = if kind == "non_idempotent" { 1 } else { 2 };
    let stream = if kind == "streaming" {
        format!(",\"streamResume\":{resume},\"targetGapMs\":400")
    } else {
        String::new()
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"lab.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":400,\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"anonymousAccess\":false{stream}}}"
    )
}

/// The key that all clients use.
pub const KEY: &str = "bvk9m68k7b2ex5wa5xwy";

pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":96,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}
