//! The program `pumicelatch-agent`, which runs an agent.

use super::{Agent, Setting};
use crate::daemon::{self, Error, SPECS};
use crate::http;
use crate::member::Role;
use crate::option::{Spec, Values};
use crate::spread;
use crate::stop::{self, ANNOUNCE_PERIOD};

/// Name of the program.
pub const PROGRAM: &str = "pumicelatch-agent";

const SUMMARY: &str =
    "Receives and relays model weights, sends orders to the engine in its box, and is the proxy
through which requests reach it.";

const OWN_SPECS: [Spec; 5] = [
    Spec::with_default(
        "service",
        "NAME",
        "",
        "the plain service in this box; empty for a model engine",
    ),
    Spec::required(
        "target-address",
        "IP:PORT",
        "where the engine or service in this box listens",
    ),
    Spec::required("origin-url", "URL", "the origin of weights"),
    Spec::with_default(
        "memory-bytes",
        "N",
        "17179869184",
        "bytes of weights that this process may hold",
    ),
    Spec::with_default(
        "neighbours",
        "N",
        "8",
        "peers in its hall that it follows during a burst",
    ),
];

fn setting(values: &Values) -> Result<(Setting, daemon::Common), crate::option::Error> {
    let service: String = values.get("service", "a service's name")?;
    let role = if service.is_empty() {
        Role::Model
    } else {
        Role::Service(service)
    };
    let common = daemon::common(values, role)?;
    let setting = Setting {
        node: common.node.clone(),
        origin_url: values.url("origin-url")?,
        target_address: values.get("target-address", "IP:PORT, such as 127.0.0.1:9000")?,
        memory_bytes: values.number("memory-bytes", 1..=1 << 50)?,
        spread: spread::Setting {
            hall_neighbours: values.number("neighbours", 1..=16)?,
            ..spread::Setting::default()
        },
        keyring: common.keyring.clone(),
    };
    Ok((setting, common))
}

/// Runs the agent until a planned stop is over.
pub async fn run() -> Result<(), Error> {
    let specs: Vec<Spec> = SPECS.iter().chain(&OWN_SPECS).copied().collect();
    let Some(values) = daemon::values(PROGRAM, SUMMARY, &specs)? else {
        return Ok(());
    };
    let (mut setting, common) = setting(&values)?;
    crate::log::start(PROGRAM, common.log_level);
    let listener = http::bind(setting.node.listen)?;
    if let Ok(address) = listener.local_addr() {
        setting.node.listen = address;
    }
    log::info!(address:% = setting.node.listen, version = env!("CARGO_PKG_VERSION"); "listening");
    let running = Agent::start(setting, http::adopt(listener)?, http::plain())?;
    daemon::stop_signal().await?;
    log::info!("planned stop begins");
    running.agent.drain();
    // Connections are still accepted because entries resume and cancel requests in progress over them.
    let setting = stop::Setting {
        time_limit: ANNOUNCE_PERIOD + common.drain,
        reachable: true,
        ..stop::Setting::default()
    };
    running.agent.tracker.stop(setting, &running.server).await;
    Ok(())
}
