//! Unshaped speed on one core: an agent's relay and an entry's requests against bare HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::{Method, StatusCode};
use actix_rt::Arbiter;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::join_all;
use serde::Serialize;
use tokio::sync::oneshot;

use super::caller::{Caller, Told};
use super::sample;
use super::spread::model;
use crate::exchange;
use crate::http::{self, ClientSetting, Server, plain};
use crate::member::Role;
use crate::route::Strategy;
use crate::spread::Favour;
use crate::standin::any_port;
use crate::standin::engine::{self, Runs};
use crate::standin::fleet::{Fleet, Setting as FleetSetting};
use crate::standin::service::Service;
use crate::weight::{Digest, Manifest, Store};

/// Bytes of the model that is relayed.
const MODEL_BYTES: u64 = 512 << 20;

/// Bytes of its chunks.
const CHUNK_BYTES: u32 = 1 << 20;

/// Calls of each latency measurement.
const CALLS: usize = 2_000;

/// Calls in progress while throughput is measured.
const AT_ONCE: usize = 64;

/// How long throughput is measured.
const THROUGHPUT: Duration = Duration::from_secs(3);

/// What came of the measurements. All in one run, so that the ratios hold on a noisy machine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Bytes a second that a bare chunk GET with BLAKE3 receives on one core for each side.
    pub bare_bytes_per_second: f64,
    /// Bytes a second that an agent receives from another one, verified and held.
    pub relay_bytes_per_second: f64,
    /// The second over the first.
    pub relay_ratio: f64,
    /// Median of a direct call to a service, in microseconds.
    pub direct_p50_us: f64,
    /// Median of the same call through entry and agent.
    pub routed_p50_us: f64,
    /// What entry and agent add, over the direct call.
    pub added_ratio: f64,
    /// Small requests a second through one entry on one core.
    pub entry_requests_per_second: f64,
    /// Small requests a second of a bare server on one core, by the same callers.
    pub bare_requests_per_second: f64,
}

/// Runs all measurements.
pub async fn run() -> Result<Report, http::Error> {
    let bare_bytes_per_second = bare_get().await?;
    let relay_bytes_per_second = relay().await?;
    let routed = routed().await?;
    Ok(Report {
        bare_bytes_per_second,
        relay_bytes_per_second,
        relay_ratio: relay_bytes_per_second / bare_bytes_per_second,
        direct_p50_us: routed.direct,
        routed_p50_us: routed.routed,
        added_ratio: (routed.routed - routed.direct) / routed.direct,
        entry_requests_per_second: routed.entry_rate,
        bare_requests_per_second: routed.bare_rate,
    })
}

fn local() -> SocketAddr {
    any_port([127, 0, 0, 1].into())
}

fn address_of(listener: &std::net::TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|_| local())
}

/// Runs a server on a thread of its own until the arbiter stops.
fn serve_on<F>(arbiter: &Arbiter, listener: std::net::TcpListener, start: F)
where
    F: FnOnce(tokio::net::TcpListener) -> Server + Send + 'static,
{
    arbiter.spawn_fn(move || {
        if let Ok(listener) = http::adopt(listener) {
            let server = start(listener);
            actix_rt::spawn(async move {
                let _server = server;
                std::future::pending::<()>().await;
            });
        }
    });
}

/// Runs what `act` makes on the arbiter's thread, where it need not be `Send`.
fn run_on<F, Fut>(arbiter: &Arbiter, act: F)
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    arbiter.spawn_fn(move || {
        actix_rt::spawn(act());
    });
}

/// Chunks over bare HTTP: one serving thread, one receiving thread that hashes.
async fn bare_get() -> Result<f64, http::Error> {
    let bytes = model(MODEL_BYTES, 1);
    let listener = http::bind(local())?;
    let url = format!("http://{}/", address_of(&listener));
    let arbiter = Arbiter::new();
    serve_on(&arbiter, listener, move |listener| {
        Server::start(listener, plain(), move |request, _| {
            let index: usize = request.path().trim_matches('/').parse().unwrap_or(0);
            let start = index * CHUNK_BYTES as usize;
            let chunk = bytes.slice(start..start + CHUNK_BYTES as usize);
            async move { http::body(StatusCode::OK, "application/octet-stream", chunk) }
        })
    });
    let receiver = Arbiter::new();
    let (sender, finished) = oneshot::channel();
    run_on(&receiver, async move || {
        let client = http::client(ClientSetting::default());
        let began = Instant::now();
        let count = MODEL_BYTES / u64::from(CHUNK_BYTES);
        let draws = (0..4).map(|lane| draw_lane(&client, &url, lane, count));
        join_all(draws).await;
        let _ = sender.send(began.elapsed());
    });
    let took = finished.await.unwrap_or(Duration::MAX);
    arbiter.stop();
    receiver.stop();
    Ok(MODEL_BYTES as f64 / took.as_secs_f64())
}

async fn draw_lane(client: &awc::Client, url: &str, lane: u64, count: u64) {
    for index in (lane..count).step_by(4) {
        let Ok(mut response) = client.get(format!("{url}{index}")).send().await else {
            return;
        };
        let mut hasher = blake3::Hasher::new();
        let mut held = Vec::with_capacity(CHUNK_BYTES as usize);
        while let Some(Ok(part)) = response.next().await {
            hasher.update(&part);
            held.extend_from_slice(&part);
        }
        std::hint::black_box((hasher.finalize(), held));
    }
}

/// The same bytes from one agent to another.
async fn relay() -> Result<f64, http::Error> {
    let mut fleet = Fleet::start(FleetSetting {
        halls: vec!["hall".to_owned()],
        ..FleetSetting::default()
    })?;
    let version = fleet.origin.add(model(MODEL_BYTES, 2), CHUNK_BYTES);
    let template = sample::template(&fleet.setting.halls, Favour::Time);
    let customer = sample::customer(version, MODEL_BYTES, 2);
    fleet.platform.publish(sample::TEMPLATE, Some(&template));
    fleet.platform.publish(sample::CUSTOMER, Some(&customer));
    fleet.add_box(Role::Model)?;
    fleet.list_all();
    until(|| holds(&fleet, 0, version)).await;
    // The second box can draw from the first alone.
    fleet.origin.set_down(true);
    fleet.add_box(Role::Model)?;
    let began = Instant::now();
    fleet.list_all();
    until(|| fleet.boxes[1].probe().tally.stored > 0).await;
    let first = Instant::now();
    let chunks = MODEL_BYTES / u64::from(CHUNK_BYTES);
    until(|| fleet.boxes[1].probe().tally.stored >= chunks).await;
    let took = first.elapsed().max(Duration::from_micros(1));
    log::info!(
        "the first chunk came after {} ms",
        (first - began).as_millis()
    );
    Ok((MODEL_BYTES - u64::from(CHUNK_BYTES)) as f64 / took.as_secs_f64())
}

fn holds(fleet: &Fleet, index: usize, version: Digest) -> bool {
    let servable = fleet.boxes[index].probe().servable;
    servable.iter().any(|(digest, _)| *digest == version)
}

async fn until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
}

struct Routed {
    direct: f64,
    routed: f64,
    entry_rate: f64,
    bare_rate: f64,
}

fn median_us(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    let middle = times.get(times.len() / 2).copied().unwrap_or_default();
    middle.as_secs_f64() * 1e6
}

/// Small requests to a service that answers at once: directly, and through entry and agent.
async fn routed() -> Result<Routed, http::Error> {
    let mut fleet = Fleet::start(FleetSetting {
        halls: vec!["hall".to_owned()],
        engine: engine::Setting {
            first_token: Duration::ZERO,
            ..engine::Setting::default()
        },
        ..FleetSetting::default()
    })?;
    for _ in 0..3 {
        fleet.add_box(Role::Service(sample::SERVICE.to_owned()))?;
    }
    fleet.add_entry(0, Strategy::Expected)?;
    let template = sample::template(&fleet.setting.halls, Favour::Time);
    let template = template.replace("repeatable = false", "repeatable = true");
    let limits = format!("{template}\n[limits]\nin_flight = 10000\n");
    let customer = sample::customer(Digest::of(b"none"), 1, 1);
    fleet.platform.publish(sample::TEMPLATE, Some(&limits));
    fleet.platform.publish(sample::CUSTOMER, Some(&customer));
    fleet.list_all();
    let entry = fleet.entries[0].url();
    let caller = Caller::default();
    let deadline = Instant::now() + Duration::from_secs(30);
    while caller.call(&entry, "x", &[]).await.told != Told::Whole && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let service = Service::new(Duration::ZERO, Arc::new(Runs::default()));
    let listener = http::bind(local())?;
    let bare = address_of(&listener);
    let arbiter = Arbiter::new();
    serve_on(&arbiter, listener, move |listener| service.serve(listener));
    let direct = latency(&format!("http://{bare}/")).await;
    let path = format!("/v1/services/{}/x", sample::SERVICE);
    let routed = latency(&format!("{entry}{path}")).await;
    let bare_rate = throughput(bare, "/").await;
    let entry_rate = throughput(fleet.entries[0].listed.address, &path).await;
    arbiter.stop();
    Ok(Routed {
        direct,
        routed,
        entry_rate,
        bare_rate,
    })
}

async fn latency(url: &str) -> f64 {
    let client = http::client(ClientSetting::default());
    let mut times = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let began = Instant::now();
        let request = client
            .post(url)
            .insert_header(("x-customer", sample::CUSTOMER_NAME));
        if let Ok(mut response) = request.send_body("small").await {
            let _ = http::read_response(&mut response, 1 << 16).await;
            times.push(began.elapsed());
        }
    }
    median_us(times)
}

/// Successful calls a second with [`AT_ONCE`] in progress, from two calling threads.
async fn throughput(peer: SocketAddr, path: &str) -> f64 {
    let mut finished = Vec::new();
    let mut arbiters = Vec::new();
    for _ in 0..2 {
        let (sender, receiver) = oneshot::channel();
        let path = path.to_owned();
        let arbiter = Arbiter::new();
        run_on(&arbiter, async move || {
            let _ = sender.send(call_for_a_while(peer, &path).await);
        });
        finished.push(receiver);
        arbiters.push(arbiter);
    }
    let mut calls = 0;
    for receiver in finished {
        calls += receiver.await.unwrap_or(0);
    }
    for arbiter in arbiters {
        arbiter.stop();
    }
    calls as f64 / THROUGHPUT.as_secs_f64()
}

async fn call_for_a_while(peer: SocketAddr, path: &str) -> u64 {
    let client = Rc::new(exchange::Client::default());
    let mut request = exchange::Request::new(Method::POST, path);
    request
        .headers
        .push(("x-customer", sample::CUSTOMER_NAME.to_owned()));
    request.body = Bytes::from_static(b"small");
    let end = Instant::now() + THROUGHPUT;
    let lanes = (0..AT_ONCE / 2).map(|_| async {
        let mut calls = 0;
        while Instant::now() < end {
            if let Ok(mut response) = client.send(peer, &request).await {
                let whole = response.read(1 << 16).await.is_ok();
                calls += u64::from(whole && response.status == StatusCode::OK);
            }
        }
        calls
    });
    join_all(lanes).await.into_iter().sum()
}

/// Bytes a second at which one core verifies and holds chunks that are in memory already.
pub fn verify_speed() -> f64 {
    let bytes = model(MODEL_BYTES, 3);
    let manifest = Manifest::of(&bytes, CHUNK_BYTES);
    let version = manifest.digest();
    let mut store = Store::new(MODEL_BYTES);
    let began = Instant::now();
    if store.admit(version, manifest).is_err() {
        return 0.0;
    }
    for (index, chunk) in bytes.chunks(CHUNK_BYTES as usize).enumerate() {
        let received = store
            .receive(version, index as u32)
            .and_then(|mut receipt| {
                receipt.push(chunk)?;
                receipt.finish()
            });
        if let Ok(chunk) = received {
            let _ = store.put(chunk);
        }
    }
    MODEL_BYTES as f64 / began.elapsed().as_secs_f64()
}
