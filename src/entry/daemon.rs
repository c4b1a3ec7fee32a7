//! `pumicelatch-entry`: runs an entry as its own process.

use rand::RngExt;

use super::{Entry, Setting};
use crate::daemon::{self, Error, SPECS};
use crate::http;
use crate::member::Role;
use crate::option::{self, Spec, Values};
use crate::route::Strategy;
use crate::stop::{self, ANNOUNCE_PERIOD};

/// The program's name.
pub const PROGRAM: &str = "pumicelatch-entry";

const SUMMARY: &str = "Takes callers' requests, admits, routes, retries, and streams answers back.";

const OWN_SPECS: [Spec; 2] = [
    Spec::with_default(
        "policy",
        "NAME",
        "expected",
        "how targets are chosen: expected, least-of-two, round-robin or declared",
    ),
    Spec::with_default(
        "remote-targets",
        "N",
        "16",
        "targets of each other hall that it follows",
    ),
];

/// Parses the name of a strategy, as given to `--policy`.
pub fn parse_strategy(name: &str) -> Result<Strategy, option::Error> {
    match name {
        "expected" => Ok(Strategy::Expected),
        "least-of-two" => Ok(Strategy::LeastOfTwo),
        "round-robin" => Ok(Strategy::RoundRobin),
        "declared" => Ok(Strategy::Declared),
        _ => Err(option::Error::Value {
            name: "policy",
            value: name.to_owned(),
            reason: "there is no such policy".to_owned(),
            expected: "expected, least-of-two, round-robin or declared".to_owned(),
        }),
    }
}

fn setting(values: &Values) -> Result<(Setting, daemon::Common), option::Error> {
    let common = daemon::common(values, Role::Entry)?;
    let name: String = values.get("policy", "a policy's name")?;
    let setting = Setting {
        node: common.node.clone(),
        keyring: common.keyring.clone(),
        strategy: parse_strategy(&name)?,
        remote_targets: values.number("remote-targets", 0..=1024)?,
        seed: rand::rng().random(),
    };
    Ok((setting, common))
}

/// Runs the entry until a stop signal arrives and the planned stop is complete.
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
    let running = Entry::start(setting, http::adopt(listener)?, http::plain())?;
    daemon::stop_signal().await?;
    log::info!("planned stop");
    running.entry.drain();
    let setting = stop::Setting {
        time_limit: ANNOUNCE_PERIOD + common.drain,
        ..stop::Setting::default()
    };
    running.entry.tracker.stop(setting, &running.server).await;
    Ok(())
}
