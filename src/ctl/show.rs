//! What running processes say of themselves: status and audit trail.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::time::Duration;

use futures_util::future::join_all;
use serde::Serialize;

use super::fleet::{ANSWER_MAX, SPECS, TIMEOUT};
use super::{Error, fleet, to_json, values};
use crate::agent::status::Status;
use crate::audit;
use crate::entry;
use crate::http::{self, ClientSetting};
use crate::member::{Descriptor, Role};
use crate::option::Spec;
use crate::weight::Digest;

/// How often `--watch` looks.
const WATCH_EVERY: Duration = Duration::from_secs(1);

/// Digits of a share in a bar.
const BAR: usize = 20;

/// A fleet as its processes describe it.
#[derive(Debug, Default, Serialize)]
struct Overview {
    boxes: Vec<Status>,
    entries: Vec<entry::status::Status>,
    silent: Vec<String>,
}

/// One version over the fleet.
#[derive(Debug, Default)]
struct VersionLine {
    wanted: usize,
    servable: usize,
    chunks_held: usize,
    chunks: usize,
}

async fn overview(boxes: &[Descriptor]) -> Overview {
    let client = http::client(ClientSetting::default());
    let mut overview = Overview::default();
    let asked = boxes.iter().map(|listed| {
        let url = format!("http://{}/status", listed.address);
        let client = &client;
        async move { http::get(client, &url, ANSWER_MAX, TIMEOUT).await }
    });
    for (listed, answer) in boxes.iter().zip(join_all(asked).await) {
        let bytes = answer.unwrap_or_default();
        let known = if listed.role == Role::Entry {
            let status = serde_json::from_slice(&bytes);
            status.map(|status| overview.entries.push(status))
        } else {
            let status = serde_json::from_slice(&bytes);
            status.map(|status| overview.boxes.push(status))
        };
        if known.is_err() {
            overview.silent.push(listed.name.to_string());
        }
    }
    overview
}

/// `pumicectl status`.
pub async fn status(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Boxes, versions and bursts of a running fleet:
pumicectl status (--boxes FILE | --list-url URL)";
    let mut specs = SPECS.to_vec();
    specs.push(Spec::flag("json", "print JSON"));
    specs.push(Spec::flag(
        "watch",
        "look again every second until interrupted",
    ));
    let Some(values) = values("status", summary, &specs, arguments)? else {
        return Ok(0);
    };
    loop {
        let boxes = fleet::boxes(&values).await?;
        let overview = overview(&boxes).await;
        if values.flag("json") {
            println!("{}", to_json(&overview)?);
        } else {
            print_overview(&overview);
        }
        if !values.flag("watch") {
            return Ok(i32::from(!overview.silent.is_empty()));
        }
        actix_rt::time::sleep(WATCH_EVERY).await;
    }
}

fn versions(overview: &Overview) -> BTreeMap<Digest, VersionLine> {
    let mut lines: BTreeMap<Digest, VersionLine> = BTreeMap::new();
    for version in overview.boxes.iter().flat_map(|status| &status.versions) {
        let line = lines.entry(version.digest).or_default();
        line.wanted += usize::from(version.wanted);
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
    for name in &overview.silent {
        println!("{name:<24} does not answer");
    }
    for (digest, line) in versions(overview) {
        let held = line.chunks_held * BAR / line.chunks.max(1);
        println!(
            "version {} [{:<BAR$}] {} of {} boxes servable",
            digest.short(),
            "=".repeat(held),
            line.servable,
            line.wanted
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
            "{red}customer {customer}: revision {} is invalid, the last good one is in force: {}{plain}",
            rejected.revision.0, rejected.error
        );
    }
}

/// `pumicectl audit`.
pub async fn audit(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Who carried out which change when, oldest first:
pumicectl audit (--boxes FILE | --list-url URL)";
    let mut specs = SPECS.to_vec();
    specs.push(Spec::flag("json", "print JSON lines"));
    let Some(values) = values("audit", summary, &specs, arguments)? else {
        return Ok(0);
    };
    let boxes = fleet::boxes(&values).await?;
    let client = http::client(ClientSetting::default());
    let asked = boxes.iter().map(|listed| {
        let url = format!("http://{}/audit", listed.address);
        let client = &client;
        async move { http::get_json::<Vec<audit::Record>>(client, &url, ANSWER_MAX, TIMEOUT).await }
    });
    let mut all = Vec::new();
    let mut silent = 0;
    for (listed, answer) in boxes.iter().zip(join_all(asked).await) {
        match answer {
            Ok(entries) => all.extend(
                entries
                    .into_iter()
                    .map(|entry| (listed.name.clone(), entry)),
            ),
            Err(error) => {
                eprintln!("{}: {error}", listed.name);
                silent += 1;
            }
        }
    }
    all.sort_by_key(|(_, entry)| entry.time_ms);
    for (name, entry) in all {
        let text = serde_json::to_string(&entry).unwrap_or_default();
        if values.flag("json") {
            println!("{{\"box\":\"{name}\",\"entry\":{text}}}");
        } else {
            println!(
                "{} {name:<24} revision {:<6} {:?}",
                entry.time_ms, entry.revision, entry.event
            );
        }
    }
    Ok(i32::from(silent > 0))
}
