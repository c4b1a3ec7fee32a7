//! What the tests share: a small fleet on loopback, and waiting on conditions.
#![allow(dead_code, reason = "each test crate uses a part")]

pub mod hall;

use std::time::{Duration, Instant};

use pumicelatch::bench::caller::{Ask, Caller, Seen};
use pumicelatch::bench::sample;
use pumicelatch::bench::spread::model;
use pumicelatch::member::Role;
use pumicelatch::route::Strategy;
use pumicelatch::spread::Favour;
use pumicelatch::standin::engine;
use pumicelatch::standin::fleet::{Fleet, Setting};
use pumicelatch::weight::Digest;

/// A wait that ends without its condition fails the test.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Bytes of the tests' models.
pub const MODEL_BYTES: u64 = 256 << 10;

/// Bytes of their chunks.
pub const CHUNK_BYTES: u32 = 16 << 10;

/// Runs a test's body on a runtime of its own.
pub fn run<F: Future<Output = ()>>(body: F) {
    actix_rt::System::new().block_on(body);
}

/// Waits until `condition` holds.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain: {what}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// What a test's fleet has.
pub struct Shape {
    pub boxes: usize,
    pub services: usize,
    pub entries: usize,
    pub halls: usize,
    pub engine: engine::Setting,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            boxes: 3,
            services: 0,
            entries: 1,
            halls: 1,
            engine: engine::Setting::default(),
        }
    }
}

/// A fleet whose boxes all hold a servable replica of one version.
pub struct Served {
    pub fleet: Fleet,
    pub version: Digest,
    pub content: Digest,
    pub caller: Caller,
}

/// Adds a random model to the origin. Returns its version and the digest of its bytes.
pub fn add_model(fleet: &Fleet, seed: u64) -> (Digest, Digest) {
    let bytes = model(MODEL_BYTES, seed);
    let content = Digest::of(&bytes);
    (fleet.origin.add(bytes, CHUNK_BYTES), content)
}

/// Starts a fleet, without configuration.
pub fn start(shape: &Shape) -> Fleet {
    let setting = Setting {
        halls: (0..shape.halls)
            .map(|hall| format!("hall-{hall}"))
            .collect(),
        engine: shape.engine,
        ..Setting::default()
    };
    let mut fleet = Fleet::start(setting).unwrap();
    for _ in 0..shape.boxes {
        fleet.add_box(Role::Model).unwrap();
    }
    for _ in 0..shape.services {
        fleet
            .add_box(Role::Service(sample::SERVICE.to_owned()))
            .unwrap();
    }
    for entry in 0..shape.entries {
        fleet
            .add_entry(entry % shape.halls, Strategy::default())
            .unwrap();
    }
    fleet.list_all();
    fleet
}

/// Publishes `version` as the one that all boxes carry.
pub fn publish(fleet: &Fleet, version: Digest) {
    let template = sample::template(&fleet.setting.halls, Favour::Time);
    let customer = sample::customer(version, MODEL_BYTES, 1_000);
    fleet.platform.publish(sample::TEMPLATE, Some(&template));
    fleet.platform.publish(sample::CUSTOMER, Some(&customer));
}

/// Whether every living model box serves `version`.
pub fn all_serve(fleet: &Fleet, version: Digest) -> bool {
    let models = fleet
        .boxes
        .iter()
        .filter(|member| member.alive() && member.listed.role == Role::Model);
    let mut models = models.peekable();
    models.peek().is_some()
        && models.all(|member| {
            let servable = member.probe().servable;
            servable.iter().any(|(digest, _)| *digest == version)
        })
}

impl Served {
    /// Starts a fleet and waits until requests are answered at every entry.
    pub async fn start(shape: Shape) -> Self {
        let fleet = start(&shape);
        let (version, content) = add_model(&fleet, 1);
        publish(&fleet, version);
        until("all boxes serve", || all_serve(&fleet, version)).await;
        let served = Self {
            fleet,
            version,
            content,
            caller: Caller::default(),
        };
        for entry in 0..shape.entries {
            served
                .until_targets(entry, shape.boxes + shape.services)
                .await;
        }
        served
    }

    /// Waits until an entry answers, so that its targets' reports have come.
    async fn until_targets(&self, entry: usize, targets: usize) {
        let url = format!("{}/status", self.entry(entry));
        let client = pumicelatch::http::client(pumicelatch::http::ClientSetting::default());
        let deadline = Instant::now() + PATIENCE;
        loop {
            let status: Result<pumicelatch::entry::status::Status, _> =
                pumicelatch::http::get_json(&client, &url, 1 << 20, Duration::from_secs(5)).await;
            if status.is_ok_and(|status| status.reporting >= targets && status.revision >= 2) {
                return;
            }
            assert!(Instant::now() < deadline, "entry {entry} hears no targets");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Where an entry listens.
    pub fn entry(&self, index: usize) -> String {
        self.fleet.entries[index].url()
    }

    /// Sends one request to the first entry.
    pub async fn complete(&self, ask: &Ask) -> Seen {
        self.caller.complete(&self.entry(0), ask).await
    }
}
