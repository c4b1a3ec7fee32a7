//! Commands that query running processes: status and audit trail.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::time::Duration;

use futures_util::future::join_all;
use serde::Serialize;

use super::inventory::{RESPONSE_BYTES_MAX, SPECS, TIMEOUT};
use super::{Error, inventory, parse_options, to_json};
use crate::agent::status::Status;
use crate::audit;
use crate::entry;
use crate::http::{self, ClientSetting};
use crate::member::{Descriptor, Role};
use crate::option::Spec;
use crate::weight::Digest;

/// Interval between queries with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Width of a progress bar, in characters.
const BAR_WIDTH: usize = 20;

/// Status of the processes of a fleet.
#[derive(Debug, Default, Serialize)]
struct Overview {
    boxes: Vec<Status>,
    entries: Vec<entry::status::Status>,
    /// Names of the processes without a valid response.
    #[serde(rename = "silent")]
    unresponsive: Vec<String>,
}

/// Counts of one version over all boxes.
#[derive(Debug, Default)]
struct VersionTotals {
    desired: usize,
    servable: usize,
    chunks_held: usize,
    chunks: usize,
}

async fn overview(boxes: &[Descriptor]) -> Overview {
    let client = http::client(ClientSetting::default());
    let mut overview = Overview::default();
    let requests = boxes.iter().map(|descriptor| {
        let url = format!("http://{}/status", descriptor.address);
        let client = &client;
        async move { http::get(client, &url, RESPONSE_BYTES_MAX, TIMEOUT).await }
    });
    for (descriptor, answer) in boxes.iter().zip(join_all(requests).await) {
        let bytes = answer.unwrap_or_default();
        let parsed = if descriptor.role == Role::Entry {
            let status = serde_json::from_slice(&bytes);
            status.map(|status| overview.entries.push(status))
        } else {
            let status = serde_json::from_slice(&bytes);
            status.map(|status| overview.boxes.push(status))
        };
        if parsed.is_err() {
            overview.unresponsive.push(descriptor.name.to_string());
        }
    }
    overview
}

/// `pumicectl status`.
pub async fn status(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Shows boxes, versions and bursts of a running fleet:
pumicectl status (--boxes FILE | --list-url URL)";
    let mut specs = SPECS.to_vec();
    specs.push(Spec::flag("json", "print JSON"));
    specs.push(Spec::flag(
        "watch",
        "query again every second until interrupted",
    ));
    let Some(values) = parse_options("status", summary, &specs, arguments)? else {
        return Ok(0);
    };
    loop {
        let boxes = inventory::boxes(&values).await?;
        let overview = overview(&boxes).await;
        if values.flag("json") {
            println!("{}", to_json(&overview)?);
        } else {
            print_overview(&overview);
        }
        if !values.flag("watch") {
            return Ok(i32::from(!overview.unresponsive.is_empty()));
        }
        actix_rt::time::sleep(WATCH_INTERVAL).await;
    }
}

fn versions(overview: &Overview) -> BTreeMap<Digest, VersionTotals> {
    let mut lines: BTreeMap<Digest, VersionTotals> = BTreeMap::new();
    for version in overview.boxes.iter().flat_map(|status| &status.versions) {
        let line = lines.entry(version.digest).or_default();
        line.desired += usize::from(version.wanted);
        line.servable += usize::from(version.servable);
        line.chunks_held += version.chunks_held;
        line.chunks += version.chunks;
    }
    lines
}

fn print_overview(overview: &Overview) {
    println!(
        "{:<24} {:<16} {:>8} {:>8} {:>9}",
        "box", "hall", "revision", "requests", "state"
    );
    for status in &overview.boxes {
        let state = match (status.leaving, status.ready) {
            (true, _) => "leaving",
            (false, true) => "ready",
            (false, false) => "starting",
        };
        println!(
            "{:<24} {:<16} {:>8} {:>8} {:>9}",
            status.name, status.hall, status.revision, status.in_flight, state
        );
    }
    for status in &overview.entries {
        println!(
            "{:<24} {:<16} {:>8} {:>8} {:>9}",
            status.name, status.hall, status.revision, status.in_flight, "entry"
        );
    }
    for name in &overview.unresponsive {
        println!("{name:<24} does not answer");
    }
    for (digest, line) in versions(overview) {
        let filled = line.chunks_held * BAR_WIDTH / line.chunks.max(1);
        println!(
            "version {} [{:<BAR_WIDTH$}] {} of {} boxes servable",
            digest.short(),
            "=".repeat(filled),
            line.servable,
            line.desired
        );
    }
    print_rejected(overview);
}

fn print_rejected(overview: &Overview) {
    let of_boxes = overview.boxes.iter().flat_map(|status| &status.rejected);
    let of_entries = overview.entries.iter().flat_map(|status| &status.rejected);
    let unique: BTreeMap<&String, _> = of_boxes
        .chain(of_entries)
        .map(|(customer, rejected)| (customer, rejected))
        .collect();
    let (red, plain) = if std::io::stdout().is_terminal() {
        ("\x1b[31m", "\x1b[0m")
    } else {
        ("", "")
    };
    for (customer, rejected) in unique {
        println!(
            "{red}customer {customer}: revision {} is invalid, the last valid one stays active: {}{plain}",
            rejected.revision.0, rejected.error
        );
    }
}

/// `pumicectl audit`.
pub async fn audit(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Shows who made which change and when, oldest first:
pumicectl audit (--boxes FILE | --list-url URL)";
    let mut specs = SPECS.to_vec();
    specs.push(Spec::flag("json", "print JSON lines"));
    let Some(values) = parse_options("audit", summary, &specs, arguments)? else {
        return Ok(0);
    };
    let boxes = inventory::boxes(&values).await?;
    let client = http::client(ClientSetting::default());
    let requests = boxes.iter().map(|descriptor| {
        let url = format!("http://{}/audit", descriptor.address);
        let client = &client;
        async move {
            http::get_json::<Vec<audit::Record>>(client, &url, RESPONSE_BYTES_MAX, TIMEOUT).await
        }
    });
    let mut all = Vec::new();
    let mut unresponsive = 0;
    for (descriptor, answer) in boxes.iter().zip(join_all(requests).await) {
        match answer {
            Ok(records) => all.extend(
                records
                    .into_iter()
                    .map(|record| (descriptor.name.clone(), record)),
            ),
            Err(error) => {
                eprintln!("{}: {error}", descriptor.name);
                unresponsive += 1;
            }
        }
    }
    all.sort_by_key(|(_, record)| record.time_ms);
    for (name, record) in all {
        let text = serde_json::to_string(&record).unwrap_or_default();
        if values.flag("json") {
            println!("{{\"box\":\"{name}\",\"entry\":{text}}}");
        } else {
            println!(
                "{} {name:<24} revision {:<6} {:?}",
                record.time_ms, record.revision, record.event
            );
        }
    }
    Ok(i32::from(unresponsive > 0))
}
