//! A replica crashes while it writes an answer that finishes with its connection.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Client, End, Try};
use crate::entry::{self, Entry};
use crate::fleet::{self, Replica};
use crate::record::Record;
use crate::replica;
use crate::store::Store;

const REPLICAS: usize = 6;
const CLIENTS: usize = 12;
/// Each 20th answer (0.05) of half of the replicas has no length.
const UNFRAMED_EVERY: u64 = 20;
/// Crashes of one replica of six (0.167), each down for 4.5 s.
const CRASHES: usize = 4;
const DOWN: Duration = Duration::from_millis(4_500);
/// The store drops a silent replica's entry after three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_600);
const SERVICE: &str = "labbench";

#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    cut: AtomicU64,
    broken: Mutex<Vec<String>>,
}

fn client(number: usize, front: std::net::SocketAddr, stop: &AtomicBool, tally: &Tally, record: &Record) {
    let mut client = Client::new(front);
    for turn in 0_u64.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{number:02x}{turn:06x}");
        let safe = turn % 2 == 0;
        let (method, path) = if safe { ("GET", "/sheet/1") } else { ("POST", "/state/1") };
        tally.sent.fetch_add(1, Ordering::Relaxed);
        let end = client.send(&Try {
            method,
            path,
            host: "lab.example",
            id: &id,
            key: fleet::KEY,
            deadline_ms: 1_500,
            body: if safe { b"" } else { b"save" },
            more: "",
        });
        let response = match end {
            End::Response(response) => response,
            End::Nothing => {
                tally.cut.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("client {id}: connection closed without an answer"));
                continue;
            }
        };
        if !response.complete {
            tally.cut.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("client {id}: {} cut off", response.status));
            continue;
        }
        match response.status {
            200..=299 if response.body == replica::body(&id) => {
                tally.whole.fetch_add(1, Ordering::Relaxed);
            }
            200..=299 => {
                let text = format!(
                    "client {id} {method} {path}: {}, complete by its own framing (content-length {:?}, transfer-encoding {:?}), \
                     seal {:?}, {} bytes of the replica's {}",
                    response.status,
                    response.header("content-length"),
                    response.header("transfer-encoding"),
                    response.header("x-pumicelatch-replica-seal"),
                    response.body.len(),
                    replica::BODY
                );
                record.say(&format!("BROKEN: {text}"));
                tally.broken.lock().unwrap().push(text);
            }
            503 | 429 => {
                tally.refused.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(100));
            }
            status => {
                tally.failed.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("client {id}: {status}"));
            }
        }
    }
}

pub fn play(folder: &str) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let routes = [
        fleet::route("sheet", "idempotent", SERVICE, 1_500, false),
        fleet::route("state", "non_idempotent", SERVICE, 1_500, false),
    ];
    store.put("op/config", &fleet::configuration(1, &routes, &[SERVICE]));
    let unframed = |index: usize| if index % 2 == 0 { UNFRAMED_EVERY } else { 0 };
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let replica = Replica::start(&format!("i-{index}-0"), "plain", unframed(index), &record)?;
        replica.list(&store, SERVICE, "ready");
        replicas.push(replica);
    }
    let temporary = entry::temporary("mixed")?;
    let entry = Entry::start("edge-lis-a-1", entry::place()?, store.address, &[], &temporary)?;
    entry.until_ready()?;

    let stop = Arc::new(AtomicBool::new(false));
    let tally: Arc<Tally> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, tally, record, front) = (stop.clone(), tally.clone(), record.clone(), entry.front);
            std::thread::spawn(move || client(number, front, &stop, &tally, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    for crash in 0..CRASHES {
        // The replica crashes while it writes an answer without a length: those take 0.3 s each.
        let index = (crash * 2) % REPLICAS;
        let began = Instant::now();
        let found = loop {
            let told = replicas[index].told.lock().unwrap();
            let half = told.iter().rev().find(|told| {
                told.word == "half" && told.framing == "unframed" && told.at >= began
            });
            if let Some(half) = half {
                break Some(half.id.clone());
            }
            drop(told);
            if began.elapsed() > Duration::from_secs(12) {
                break None;
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        let Some(id) = found else {
            return Err("no answer without a length was written in 12 s".to_owned());
        };
        if !crate::trouble() {
            std::thread::sleep(DOWN);
            continue;
        }
        let gone = replicas[index].id.clone();
        replicas[index].child.kill().map_err(|error| error.to_string())?;
        record.say(&format!("crash: SIGKILL of replica {gone} in the middle of its answer to {id}"));
        std::thread::sleep(LAPSE);
        store.remove(&format!("servers/{gone}"));
        std::thread::sleep(DOWN - LAPSE);
        let id = format!("i-{index}-{}", crash + 1);
        replicas[index] = Replica::start(&id, "plain", unframed(index), &record)?;
        replicas[index].list(&store, SERVICE, "ready");
    }
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let broken = tally.broken.lock().unwrap().len();
    record.say(&format!(
        "sent {}, whole {}, refused {}, failed {}, cut {}, MIXED broken {broken}",
        count(&tally.sent),
        count(&tally.whole),
        count(&tally.refused),
        count(&tally.failed),
        count(&tally.cut)
    ));
    if count(&tally.whole) < 50 {
        return Err("too few requests were served".to_owned());
    }
    Ok(broken == 0)
}
