//! An agent freezes while it checks the staged pieces, and some turn bad meanwhile.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::case_recover::{configuration, list, SERVICE};
use crate::client::{Client, End, Try};
use crate::entry::{self, Agent, Entry};
use crate::fleet::{self, Replica};
use crate::record::Record;
use crate::store::Store;
use crate::weights::{Origin, MODEL};

/// One of nine agents freezes (0.111).
const ENGINES: usize = 9;
const FREEZE: Duration = Duration::from_millis(3_900);
/// Of 96 pieces (0.052).
const ROTTEN: usize = 5;

fn client(number: usize, front: SocketAddr, stop: &AtomicBool, served: &AtomicU64, record: &Record) {
    let mut client = Client::new(front);
    for turn in 0_u64.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{number:02x}{turn:06x}");
        let more = format!(
            "X-Pumicelatch-Model: {MODEL}\r\nX-Pumicelatch-Token-Count: 640,70\r\n\
             X-Pumicelatch-Prompt-Prefix: 5c1e07a2:40,{id}:600\r\n"
        );
        let end = client.send(&Try {
            method: "POST",
            path: "/mark/1",
            host: "lab.example",
            id: &id,
            key: fleet::KEY,
            deadline_ms: 6_000,
            body: b"report",
            more: &more,
        });
        match end {
            End::Response(response) if response.complete && response.status == 200 => {
                served.fetch_add(1, Ordering::Relaxed);
                let seal = response.header("x-pumicelatch-replica-seal");
                record.line(&format!("client {id}: 200, seal {seal}"));
            }
            End::Response(response) => {
                record.line(&format!("client {id}: {}", response.status));
                std::thread::sleep(Duration::from_millis(200));
            }
            End::Nothing => record.line(&format!("client {id}: no answer")),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn signal(pid: u32, name: &str) {
    let id = pid.to_string();
    let _ = std::process::Command::new("kill").args(["-s", name, &id]).status();
}

/// Waits until one of the engines told this since `from`; returns its index.
fn until_told(engines: &[Replica], word: &str, id: &str, from: Instant, patience: Duration) -> Option<usize> {
    while from.elapsed() < patience {
        for (index, engine) in engines.iter().enumerate() {
            let told = engine.told.lock().unwrap();
            let mut since = told.iter().rev().take_while(|told| told.at >= from);
            if since.any(|told| told.word == word && (id.is_empty() || told.id == id)) {
                return Some(index);
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    None
}

pub fn play(folder: &str) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let origin = Origin::start(&record)?;
    store.put("op/config", &configuration(origin.address));
    store.put(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"));
    let temporary = entry::temporary("whole")?;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let address = SocketAddr::from((entry::own_ip(), 8_080));
        let id = format!("i-{index}-0");
        let engine = Replica::engine(&id, address, true, &record)?;
        list(&store, &id, address, 1);
        engines.push(engine);
    }
    let place = entry::place()?;
    let seeds = [place.control];
    let entry = Entry::start("edge-lis-a-1", place, store.address, &seeds, &temporary)?;
    let mut agents = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let name = format!("side-lis-a-{}", index + 1);
        agents.push(Agent::start(&name, engine.address, entry::PORTS, store.address, &seeds, &temporary)?);
    }
    entry.until_ready()?;
    std::thread::sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (stop, served, record, front) = (stop.clone(), served.clone(), record.clone(), entry.front);
            std::thread::spawn(move || client(number, front, &stop, &served, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));

    let named = Instant::now();
    store.put(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"));
    record.say("version 2 is named");
    // The first agent that checks its pieces.
    let Some(index) = until_told(&engines, "get", "40", named, Duration::from_secs(12)) else {
        return Err("no agent checks the staged pieces".to_owned());
    };
    if crate::trouble() {
        signal(agents[index].child.id(), "STOP");
        record.say(&format!("the agent of {} freezes for {} ms", engines[index].id, FREEZE.as_millis()));
        let rot = Client::new(engines[index].address).send(&Try {
            method: "GET",
            path: &format!("/stand/rot?count={ROTTEN}"),
            host: "stand",
            id: "-",
            key: "-",
            deadline_ms: 1_000,
            body: b"",
            more: "",
        });
        if !matches!(rot, End::Response(_)) {
            return Err("the pieces cannot be spoilt".to_owned());
        }
        record.say(&format!("{ROTTEN} of the pieces that lie at {} turn bad", engines[index].id));
        std::thread::sleep(FREEZE);
        signal(agents[index].child.id(), "CONT");
        record.say("the agent wakes");
    }
    // Each replica tells what it has loaded.
    let until = named + Duration::from_secs(16);
    let mut listed = vec![1_u64; ENGINES];
    while Instant::now() < until {
        for (index, engine) in engines.iter().enumerate() {
            let told = engine.told.lock().unwrap();
            let loaded = told.iter().filter(|told| told.word == "models").last();
            let loaded = loaded.and_then(|told| told.id.parse().ok()).unwrap_or(1);
            drop(told);
            if listed[index] != loaded {
                listed[index] = loaded;
                list(&store, &engine.id, engine.address, loaded);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut spoilt = 0;
    for engine in &engines {
        for told in engine.told.lock().unwrap().iter() {
            if told.word == "take" && told.framing != "bad:" {
                record.say(&format!("{} took version {} with spoilt pieces: {}", engine.id, told.id, told.framing));
            }
            spoilt += usize::from(told.word == "run" && told.framing == "SPOILT");
        }
    }
    drop(agents);
    let served = served.load(Ordering::Relaxed);
    record.say(&format!(
        "served {served}; versions at the end {listed:?}; requests whose tokens were made with spoilt layers: {spoilt}; service {SERVICE}"
    ));
    if served < 50 {
        return Err("too few requests were served".to_owned());
    }
    Ok(spoilt == 0)
}
