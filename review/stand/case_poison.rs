//! One part of prompts crashes each replica that begins to write an answer on it, from the start of the entries on.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Client, End, Try};
use crate::entry::{self, Entry};
use crate::fleet::{self, Replica};
use crate::record::Record;
use crate::replica::DEADLY;
use crate::store::Store;

const ENTRIES: usize = 3;
const REPLICAS: usize = 12;
const SERVICE: &str = "lm-serve";
const AWAY: Duration = Duration::from_millis(3_000);
/// `contactMs`.
const CONTACT_MS: f64 = 3_000.0;

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Random numbers that need no library.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

#[derive(Default)]
struct Tally {
    /// By kind (sound, deadly): sent, whole, 422, other refusals, cut.
    counts: [[AtomicU64; 5]; 2],
}

pub fn play(folder: &str) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let routes = [fleet::route("digest", "streaming", SERVICE, 6_000, true)];
    store.put("op/config", &fleet::configuration(1, &routes, &[SERVICE]));
    let replicas: Arc<Mutex<Vec<Replica>>> = Arc::default();
    for index in 0..REPLICAS {
        let replica = Replica::start(&format!("i-{index}-0"), "deadly", 0, &record)?;
        replica.list(&store, SERVICE, "ready");
        replicas.lock().unwrap().push(replica);
    }
    let temporary = entry::temporary("poison")?;
    let places: Result<Vec<_>, _> = (0..ENTRIES).map(|_| entry::place()).collect();
    let places = places?;
    let seeds: Vec<SocketAddr> = places.iter().map(|place| place.control).collect();
    let mut entries = Vec::new();
    for (index, place) in places.iter().enumerate() {
        let name = format!("edge-{}", index + 1);
        entries.push(Entry::start(&name, *place, store.address, &seeds, &temporary)?);
    }
    for entry in &entries {
        entry.until_ready()?;
    }
    std::thread::sleep(Duration::from_secs_f64(env("QUIET_S", 4.0)));
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();

    // Replicas that crashed are back after some seconds.
    let done = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let runs: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let keeper = {
        let (replicas, store, record, done, crashes, runs) =
            (replicas.clone(), store.clone(), record.clone(), done.clone(), crashes.clone(), runs.clone());
        std::thread::spawn(move || {
            let mut down: Vec<(Instant, usize, u64)> = Vec::new();
            let mut life = vec![0_u64; REPLICAS];
            while !done.load(Ordering::Relaxed) {
                {
                    let mut replicas = replicas.lock().unwrap();
                    for index in 0..REPLICAS {
                        let is_down = down.iter().any(|(_, known, _)| *known == index);
                        if !is_down && matches!(replicas[index].child.try_wait(), Ok(Some(_))) {
                            crashes.lock().unwrap().push(record.ms());
                            down.push((Instant::now(), index, life[index]));
                        }
                    }
                    let (back, left): (Vec<_>, Vec<_>) = down.into_iter().partition(|(at, _, _)| at.elapsed() >= AWAY);
                    down = left;
                    for (_, index, _) in back {
                        std::thread::sleep(Duration::from_millis(1));
                        let told: Vec<(f64, String)> = replicas[index].told.lock().unwrap().iter()
                            .filter(|told| told.word == "run").map(|told| (told.ms, told.id.clone())).collect();
                        runs.lock().unwrap().extend(told);
                        store.remove(&format!("servers/{}", replicas[index].id));
                        life[index] += 1;
                        let id = format!("i-{index}-{}", life[index]);
                        if let Ok(replica) = Replica::start(&id, "deadly", 0, &record) {
                            replica.list(&store, SERVICE, "ready");
                            replicas[index] = replica;
                        }
                    }
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };

    let tally: Arc<Tally> = Arc::default();
    let seed = env("SEED", 1.0) as u64;
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let (sound_per_s, deadly_per_s) = (env("SOUND", 100.0), if crate::trouble() { env("DEADLY", 15.0) } else { 0.0 });
    let deadly_from = Duration::from_secs_f64(env("DEADLY_FROM_S", 0.0));
    let beside = Duration::from_secs_f64(env("BESIDE_S", 0.0));
    let two = env("PARTS", 1.0) as u64;
    let began = Instant::now();
    let length = Duration::from_secs_f64(env("LENGTH_S", 30.0));
    let mut threads = Vec::new();
    let mut due = [0.0_f64; 2];
    let mut number = 0_u64;
    while began.elapsed() < length {
        let elapsed = began.elapsed();
        for kind in 0..2 {
            let rate = if kind == 0 { sound_per_s } else { deadly_per_s };
            if rate == 0.0 || kind == 1 && elapsed < deadly_from {
                continue;
            }
            if due[kind] == 0.0 {
                due[kind] = elapsed.as_secs_f64();
            }
            while due[kind] <= elapsed.as_secs_f64() {
                due[kind] += (0.5 + random.below(1_000) as f64 / 1_000.0) / rate;
                number += 1;
                let id = format!("{}{number:07x}", if kind == 0 { "50" } else { "de" });
                let mut parts = vec![
                    format!("f{}:40", random.below(3)),
                    format!("b{:02}:60", random.below(20)),
                    format!("c{:04}:200", random.below(2_000)),
                ];
                if kind == 1 {
                    parts.insert(random.below(3) as usize, format!("{DEADLY}{}:80", 1 + random.below(two)));
                }
                if kind == 1 && elapsed < beside {
                    parts.push("be51de01:50".to_owned());
                }
                parts.push(format!("{id}:400"));
                let front = fronts[random.below(fronts.len() as u64) as usize];
                let (tally, record) = (tally.clone(), record.clone());
                threads.push(std::thread::spawn(move || ask(kind, &id, &parts.join(","), front, &tally, &record)));
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    for thread in threads {
        let _ = thread.join();
    }
    done.store(true, Ordering::Relaxed);
    let _ = keeper.join();
    for replica in replicas.lock().unwrap().iter() {
        let told = replica.told.lock().unwrap();
        let ran = told.iter().filter(|told| told.word == "run");
        runs.lock().unwrap().extend(ran.map(|told| (told.ms, told.id.clone())));
    }
    let count = |kind: usize, what: usize| tally.counts[kind][what].load(Ordering::Relaxed);
    for (kind, name) in ["sound", "deadly"].iter().enumerate() {
        record.say(&format!(
            "{name}: sent {}, whole {}, 422 {}, otherwise refused {}, cut {}",
            count(kind, 0), count(kind, 1), count(kind, 2), count(kind, 3), count(kind, 4)
        ));
    }
    let crashes = crashes.lock().unwrap();
    let fifth = crashes.get(4).copied();
    let late = fifth.map_or(0, |fifth| {
        runs.lock().unwrap().iter().filter(|(at, id)| id.starts_with("de") && *at > fifth + CONTACT_MS).count()
    });
    let allowed = 5 + (count(0, 0) + count(1, 0)) / 500;
    record.say(&format!(
        "crashes {}, the fifth at {fifth:?}; deadly requests that reached replicas over {CONTACT_MS} ms later: {late} (BUDGET allows 3); \
         sound requests that got 422: {} (DENIED allows {allowed})",
        crashes.len(), count(0, 2)
    ));
    Ok(late <= 3 && count(0, 2) <= allowed)
}

fn ask(kind: usize, id: &str, prefix: &str, front: SocketAddr, tally: &Tally, record: &Record) {
    let count = |what: usize| tally.counts[kind][what].fetch_add(1, Ordering::Relaxed);
    count(0);
    let more = format!(
        "X-Pumicelatch-Model: daka\r\nX-Pumicelatch-Token-Count: 700,70\r\nX-Pumicelatch-Prompt-Prefix: {prefix}\r\n"
    );
    let end = Client::new(front).send(&Try {
        method: "POST",
        path: "/digest/1",
        host: "lab.example",
        id,
        key: fleet::KEY,
        deadline_ms: 6_000,
        body: id.as_bytes(),
        more: &more,
    });
    match end {
        End::Response(response) if response.status == 200 && response.complete => count(1),
        End::Response(response) if response.status == 422 => {
            record.line(&format!("client {id}: 422 {prefix} {}", String::from_utf8_lossy(&response.body)));
            count(2)
        }
        End::Response(response) if response.status != 200 => {
            record.line(&format!("client {id}: {}", response.status));
            count(3)
        }
        _ => count(4),
    };
}
