//! The final fault takes the power of every machine; as all return, the origin's first answers are spoilt.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::{Client, End, Try};
use crate::entry::{self, Agent, Entry};
use crate::fleet::{self, Replica};
use crate::record::Record;
use crate::store::Store;
use crate::weights::{Origin, MODEL, PIECES, PIECE_BYTES};

const ENTRIES: usize = 2;
const ENGINES: usize = 4;
const CLIENTS: usize = 6;
/// Spoilt answers, of about a hundred that the origin sends after the fault.
const SPOILT: u64 = 2;
/// How long the machines are without power (`down_s`).
const DOWN: Duration = Duration::from_millis(1_100);
/// `recoveryS`.
const RECOVERY_MS: f64 = 12_000.0;
/// How long requests are sent and judged after that.
const JUDGED: Duration = Duration::from_secs(18);
pub const SERVICE: &str = "tutor-llm";

/// A request: when it was sent, and whether it was served.
type Sent = Arc<Mutex<Vec<(f64, bool)>>>;

fn client(number: usize, fronts: &[SocketAddr], stop: &AtomicBool, sent: &Sent, record: &Record) {
    for turn in 0_u64.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{number:02x}{turn:06x}");
        let mut client = Client::new(fronts[(number + turn as usize) % fronts.len()]);
        let at = record.ms();
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
        let (served, text) = match end {
            End::Response(response) => (
                response.complete && response.status == 200,
                format!("{} {}", response.status, String::from_utf8_lossy(&response.body).lines().next().unwrap_or("")),
            ),
            End::Nothing => (false, "no answer".to_owned()),
        };
        let text: String = text.chars().take(150).collect();
        record.line(&format!("client {id}: sent at {at:.0}, {text}"));
        sent.lock().unwrap().push((at, served));
        std::thread::sleep(Duration::from_millis(if served { 50 } else { 250 }));
    }
}

pub fn configuration(origin: SocketAddr) -> String {
    let route = fleet::route("mark", "streaming", SERVICE, 6_000, true);
    format!(
        "{{\"version\":7,\"routes\":[{route}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\
         \"maxConnections\":264,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"kvCapacity\":317000,\
         \"kvTokenBytes\":262144,\"linkMbps\":400000.0,\"stride\":5,\"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\
         \"loadS\":4.0,\"warmupS\":0.3}}],\"sizeMb\":149000.0,\"adapterSlots\":8,\"loadPerS\":0.0,\"step_ms\":9.27,\
         \"per_seq_ms\":0.0232,\"context_per_k\":0.0322,\"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"loads_at_once\":8,\"delays\":[],\"usual\":{{\"prompt\":979,\"answer\":92}},\
         \"layers\":16,\"layer_mb\":4090.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,\"chunks\":{PIECES},\
         \"chunkBytes\":{PIECE_BYTES}}}}},{{\"name\":\"campus-misc\",\"origin\":\"{origin}\",\"zone\":\"lis-a\",\
         \"linkMbps\":7.3,\"maxConnections\":48}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"apiKeys\":[\"{}\"],\"priority\":1}}]}}",
        fleet::KEY
    )
}

/// Writes a model replica's entry.
pub fn list(store: &Store, id: &str, address: SocketAddr, loaded: u64) {
    let models = match loaded {
        0 => String::new(),
        version => format!("{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}"),
    };
    let text = format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"lis-a\",\"version\":\"v1\",\"slots\":16,\
         \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{models}],\"callSeq\":0}}"
    );
    store.put(&format!("servers/{id}"), &text);
}

/// Keeps the replicas' entries as they are, as each would itself.
fn keep_entries(engines: &Mutex<Vec<(String, SocketAddr, Arc<Mutex<Vec<fleet::Told>>>)>>, store: &Store, stop: &AtomicBool) {
    let mut known = std::collections::BTreeMap::new();
    while !stop.load(Ordering::Relaxed) {
        for (id, address, told) in engines.lock().unwrap().iter() {
            let told = told.lock().unwrap();
            let loads = told.iter().filter(|told| told.word == "models");
            if let Some(loaded) = loads.last().and_then(|told| told.id.parse().ok()) {
                if known.insert(id.clone(), loaded) != Some(loaded) {
                    list(store, id, *address, loaded);
                }
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn play(folder: &str) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let origin = Origin::start(&record)?;
    store.put("op/config", &configuration(origin.address));
    let version = format!("{{\"model\":\"{MODEL}\",\"version\":1}}");
    store.put(&format!("op/version/{MODEL}"), &version);
    let temporary = entry::temporary("recover")?;
    let mut engines = Vec::new();
    let listed: Arc<Mutex<Vec<_>>> = Arc::default();
    for index in 0..ENGINES {
        let address = SocketAddr::from((entry::own_ip(), 8_080));
        let id = format!("i-{index}-0");
        let engine = Replica::engine(&id, address, true, &record)?;
        list(&store, &id, address, 1);
        listed.lock().unwrap().push((id, address, engine.told.clone()));
        engines.push(engine);
    }
    let places: Result<Vec<_>, _> = (0..ENTRIES).map(|_| entry::place()).collect();
    let places = places?;
    let seeds: Vec<SocketAddr> = places.iter().map(|place| place.control).collect();
    let mut entries = Vec::new();
    for (index, place) in places.iter().enumerate() {
        let name = format!("edge-lis-a-{}", index + 1);
        entries.push(Entry::start(&name, *place, store.address, &seeds, &temporary)?);
    }
    let mut agents = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let name = format!("side-lis-a-{}", index + 1);
        agents.push(Agent::start(&name, engine.address, entry::PORTS, store.address, &seeds, &temporary)?);
    }
    for entry in &entries {
        entry.until_ready()?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    {
        let (listed, store, stop) = (listed.clone(), store.clone(), stop.clone());
        std::thread::spawn(move || keep_entries(&listed, &store, &stop));
    }
    std::thread::sleep(Duration::from_secs(4));

    let sent = Sent::default();
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fronts, stop, sent, record) = (fronts.clone(), stop.clone(), sent.clone(), record.clone());
            std::thread::spawn(move || client(number, &fronts, &stop, &sent, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));

    // The final fault: every machine loses power; replicas lose what was staged, and start again under
    // new ids.
    let fault = record.ms();
    record.say(&format!("final fault: all {} processes and all replicas lose power", ENTRIES + ENGINES));
    entries.iter_mut().for_each(Entry::kill);
    agents.iter_mut().for_each(Agent::kill);
    engines.clear();
    for (id, _, _) in listed.lock().unwrap().drain(..) {
        store.remove(&format!("servers/{id}"));
    }
    origin.pieces.store(0, Ordering::Relaxed);
    origin.manifests.store(0, Ordering::Relaxed);
    origin.spoil.store(if crate::trouble() { SPOILT } else { 0 }, Ordering::Relaxed);
    std::thread::sleep(DOWN);
    for index in 0..ENGINES {
        let address = SocketAddr::from((agents_ip(&agents[index])?, 8_080));
        let id = format!("i-{index}-1");
        let engine = Replica::engine(&id, address, false, &record)?;
        list(&store, &id, address, 0);
        listed.lock().unwrap().push((id, address, engine.told.clone()));
        engines.push(engine);
    }
    for entry in &mut entries {
        entry.start_again()?;
    }
    for agent in &mut agents {
        agent.start_again()?;
    }
    let back = record.ms();
    record.say("all machines are back");
    std::thread::sleep(Duration::from_millis(RECOVERY_MS as u64) + JUDGED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let count = |from: f64, to: f64| {
        let among = sent.iter().filter(|(at, _)| *at >= from && *at < to);
        among.fold((0_u32, 0_u32), |(all, served), (_, is)| (all + 1, served + u32::from(*is)))
    };
    let (before, before_served) = count(0.0, fault);
    let (between, between_served) = count(back, back + RECOVERY_MS);
    let (after, after_served) = count(back + RECOVERY_MS, f64::MAX);
    record.say(&format!(
        "before the fault {before_served} of {before} served; in the 12 s after the return {between_served} of {between}; \
         later {after_served} of {after}"
    ));
    record.say(&format!(
        "the origin sent {} manifests, {} of them spoilt, and {} pieces (a copy has {PIECES})",
        origin.manifests.load(Ordering::Relaxed),
        origin.spoilt.load(Ordering::Relaxed),
        origin.pieces.load(Ordering::Relaxed)
    ));
    if before_served * 4 < before || before == 0 || after == 0 {
        return Err("too few requests were served before the fault".to_owned());
    }
    let broken = after_served * 4 < after;
    record.say(if broken { "RECOVER broken" } else { "RECOVER held" });
    Ok(!broken)
}

/// The address of an agent's machine, from its settings.
pub fn agents_ip(agent: &Agent) -> Result<std::net::Ipv4Addr, String> {
    let text = std::fs::read_to_string(&agent.settings).map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("ip = \""));
    line.and_then(|line| line.trim_end_matches('"').parse().ok())
        .ok_or_else(|| "the agent's settings have no address".to_owned())
}
