//! A replica leaves as planned while it writes a stream that finishes with its connection.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Client, End, Try};
use crate::entry::{self, Entry};
use crate::fleet::{self, Replica};
use crate::record::Record;
use crate::replica;
use crate::store::Store;

/// One of seven leaves (0.143).
const REPLICAS: usize = 7;
const CLIENTS: usize = 56;
/// Each 20th answer (0.05) of three of the replicas (0.43) has no length.
const UNFRAMED_EVERY: u64 = 20;
const UNFRAMED: [usize; 3] = [0, 2, 4];
const LEAVING: usize = 3;
/// `drainMs`, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);
const SERVICE: &str = "tutor-llm";

#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    cut: AtomicU64,
    broken: Mutex<Vec<String>>,
}

fn client(number: usize, front: std::net::SocketAddr, stop: &AtomicBool, tally: &Tally, record: &Record) {
    let mut client = Client::new(front);
    let whole: String = (1..=replica::EVENTS).map(replica::event).collect();
    // Clients begin at different times.
    std::thread::sleep(Duration::from_millis(70 * number as u64));
    for turn in 0_u64.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{number:02x}{turn:06x}");
        tally.sent.fetch_add(1, Ordering::Relaxed);
        let end = client.send(&Try {
            method: "POST",
            path: "/mark/1",
            host: "lab.example",
            id: &id,
            key: fleet::KEY,
            deadline_ms: 6_000,
            body: b"report",
            more: "",
        });
        let response = match end {
            End::Response(response) if response.complete => response,
            _ => {
                tally.cut.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("client {id}: cut off"));
                continue;
            }
        };
        let events = String::from_utf8_lossy(&response.body).matches("id: ").count();
        match response.status {
            200 if response.body == whole.as_bytes() => {
                tally.whole.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("client {id}: whole"));
            }
            200 => {
                let text = format!(
                    "client {id}: the stream ended as complete after {events} of {} pieces (seal {:?})",
                    replica::EVENTS,
                    response.header("x-pumicelatch-replica-seal")
                );
                record.say(&format!("BROKEN: {text}"));
                tally.broken.lock().unwrap().push(text);
            }
            status => {
                tally.refused.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("client {id}: {status}"));
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

pub fn play(folder: &str) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let routes = [fleet::route("mark", "streaming", SERVICE, 6_000, true)];
    store.put("op/config", &fleet::configuration(1, &routes, &[SERVICE]));
    let unframed = |index: usize| if UNFRAMED.contains(&index) { UNFRAMED_EVERY } else { 0 };
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let replica = Replica::start(&format!("i-{index}-0"), "stream", unframed(index), &record)?;
        replica.list(&store, SERVICE, "ready");
        replicas.push(replica);
    }
    let temporary = entry::temporary("order")?;
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
    std::thread::sleep(Duration::from_secs(6));
    for turn in 0..LEAVING {
        // The operator takes a replica away while it writes a stream without a length.
        let index = UNFRAMED[turn % UNFRAMED.len()];
        let began = Instant::now();
        let found = loop {
            let told = replicas[index].told.lock().unwrap();
            let run = told.iter().rev().find(|told| {
                told.word == "run" && told.framing == "unframed" && told.at >= began
            });
            if let Some(run) = run {
                break Some(run.id.clone());
            }
            drop(told);
            if began.elapsed() > Duration::from_secs(25) {
                break None;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let Some(id) = found else {
            return Err("no stream without a length was written in 25 s".to_owned());
        };
        if !crate::trouble() {
            std::thread::sleep(Duration::from_secs(5));
            continue;
        }
        let gone = replicas[index].id.clone();
        record.say(&format!("scale_in: {gone} says draining while it writes stream {id}"));
        replicas[index].list(&store, SERVICE, "draining");
        std::thread::sleep(DRAIN);
        record.say(&format!("scale_in: {gone} ends"));
        replicas[index].signal("TERM");
        let _ = replicas[index].child.wait();
        store.remove(&format!("servers/{gone}"));
        std::thread::sleep(Duration::from_secs(3));
        let id = format!("i-{index}-{}", turn + 1);
        replicas[index] = Replica::start(&id, "stream", unframed(index), &record)?;
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
        "sent {}, whole {}, refused {}, cut {}, ORDER broken {broken}",
        count(&tally.sent),
        count(&tally.whole),
        count(&tally.refused),
        count(&tally.cut)
    ));
    if count(&tally.whole) < 50 {
        return Err("too few requests were served".to_owned());
    }
    Ok(broken == 0)
}
