//! `pumicelatch-bench standin`: the platform's stand-ins as a process, to run the daemons against.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Error;
use crate::bench::spread::model;
use crate::daemon;
use crate::http::{self, plain};
use crate::option::{self, Spec};
use crate::standin::any_port;
use crate::standin::engine::{self, Engine, Runs};
use crate::standin::origin::Origin;
use crate::standin::platform::Platform;
use crate::standin::service::Service;

/// How long the stand-in service takes for a call.
const SERVICE_DELAY: Duration = Duration::from_millis(20);

const SPECS: [Spec; 4] = [
    Spec::with_default(
        "model-bytes",
        "B",
        "1048576",
        "bytes of the model at the origin",
    ),
    Spec::with_default("chunk-bytes", "C", "65536", "bytes of a chunk"),
    Spec::with_default("token-ms", "N", "1", "milliseconds between tokens"),
    Spec::with_default("seed", "S", "1", "seed of the model"),
];

/// What the command prints once it serves, as one JSON line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ready {
    /// Configuration service and list of boxes; `PUT /admin/values/NAME` and `PUT /admin/boxes`
    /// change them.
    pub platform: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
    /// A model engine.
    pub engine: SocketAddr,
    /// A plain service.
    pub service: SocketAddr,
    /// The model's version.
    pub digest: String,
    /// Its bytes.
    pub bytes: u64,
}

/// Runs the command.
pub async fn run(arguments: &[String]) -> Result<i32, Error> {
    let program = "pumicelatch-bench standin";
    let summary =
        "Serves the platform's stand-ins until stopped: configuration service, list of boxes,
origin with one model, a model engine and a plain service. Prints their addresses as JSON.";
    let Some(values) = option::values(program, summary, &SPECS, arguments)? else {
        return Ok(0);
    };
    let bytes = values.number("model-bytes", 1..=1 << 30)?;
    let chunk_bytes = values.number("chunk-bytes", 1024..=64 << 20)?;
    let token = Duration::from_millis(values.number("token-ms", 0..=10_000)?);
    let seed = values.number("seed", 0..=u64::MAX)?;
    let runs = Arc::new(Runs::default());
    let platform = Arc::new(Platform::default());
    let origin = Arc::new(Origin::default());
    let engine = Engine::new(
        engine::Setting {
            token_interval: token,
            ..engine::Setting::default()
        },
        runs.clone(),
    );
    let service = Service::new(SERVICE_DELAY, runs);
    let digest = origin.add(model(bytes, seed), chunk_bytes);
    let listen = || http::bind(any_port(IpAddr::V4(Ipv4Addr::LOCALHOST)));
    let listeners = [listen()?, listen()?, listen()?, listen()?];
    let mut addresses = Vec::new();
    for listener in &listeners {
        addresses.push(
            listener
                .local_addr()
                .unwrap_or_else(|_| any_port(Ipv4Addr::LOCALHOST.into())),
        );
    }
    let [for_platform, for_origin, for_engine, for_service] = listeners;
    let _servers = [
        platform.serve(http::adopt(for_platform)?, plain()),
        origin.serve(http::adopt(for_origin)?, plain()),
        engine.serve(http::adopt(for_engine)?),
        service.serve(http::adopt(for_service)?),
    ];
    let ready = Ready {
        platform: addresses[0],
        origin: addresses[1],
        engine: addresses[2],
        service: addresses[3],
        digest: digest.to_string(),
        bytes,
    };
    println!("{}", serde_json::to_string(&ready)?);
    let _ = std::io::stdout().flush();
    daemon::stop_signal().await?;
    Ok(0)
}
