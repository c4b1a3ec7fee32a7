//! `pumicelatch-bench route`.

use std::time::Duration;

use super::Error;
use crate::bench::route::{self, Report, SCENARIOS, Setting};
use crate::entry::daemon::parse_strategy;
use crate::option::{self, Spec, Values};

const SPECS: [Spec; 7] = [
    Spec::with_default(
        "scenario",
        "NAME",
        "steady",
        "what happens; --list names them",
    ),
    Spec::with_default(
        "policy",
        "NAME",
        "expected",
        "expected, least-of-two, round-robin or declared",
    ),
    Spec::optional(
        "rate",
        "R",
        "requests a second; by default a share of the capacity",
    ),
    Spec::with_default("seconds", "S", "9", "how long requests are sent"),
    Spec::with_default("seed", "S", "1", "seed of prompts and faults"),
    Spec::flag("json", "print one JSON object"),
    Spec::flag("list", "name the scenarios and stop"),
];

fn setting(values: &Values) -> Result<Setting, option::Error> {
    let name: String = values.get("scenario", "a scenario's name")?;
    let found = SCENARIOS.iter().find(|(_, known)| *known == name);
    let Some((scenario, _)) = found else {
        return Err(option::Error::Value {
            name: "scenario",
            value: name,
            reason: "there is no such scenario".to_owned(),
            expected: "one that --list names".to_owned(),
        });
    };
    let rate: Option<f64> = values.optional("rate", "requests a second, over 0")?;
    if let Some(rate) = rate.filter(|rate| !(0.1..=50_000.0).contains(rate)) {
        return Err(option::Error::Value {
            name: "rate",
            value: rate.to_string(),
            reason: "it is out of range".to_owned(),
            expected: "a number from 0.1 to 50000".to_owned(),
        });
    }
    let name: String = values.get("policy", "a policy's name")?;
    Ok(Setting {
        scenario: *scenario,
        policy: parse_strategy(&name)?,
        rate,
        duration: Duration::from_secs_f64(values.number("seconds", 1.0..=600.0)?),
        seed: values.number("seed", 0..=u64::MAX)?,
    })
}

/// Runs the command.
pub async fn run(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Requests to 12 engines and 3 services in three halls, through 3 entries.
Exit code 1 if a promise was broken.";
    let program = "pumicelatch-bench route";
    let Some(values) = option::values(program, summary, &SPECS, arguments)? else {
        return Ok(0);
    };
    if values.flag("list") {
        SCENARIOS.iter().for_each(|(_, name)| println!("{name}"));
        return Ok(0);
    }
    let report = route::run(setting(&values)?).await?;
    if values.flag("json") {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print_table(&report);
    }
    Ok(i32::from(report.violations > 0))
}

fn print_table(report: &Report) {
    println!(
        "scenario    {} at {:.0} of {:.0} requests a second",
        report.scenario, report.rate, report.capacity
    );
    println!(
        "requests    {} sent, {} ran, {} not run, {} unknown",
        report.sent, report.ran, report.not_run, report.unknown
    );
    println!(
        "answers     {:.1} ms median, {:.1} ms 99%, first token {:.1} ms 95%",
        report.p50_ms, report.p99_ms, report.first_token_p95_ms
    );
    println!(
        "refusals    {:.1} ms median, {:.1} ms 99%",
        report.refused_p50_ms, report.refused_p99_ms
    );
    println!("goodput     {:.2} of the capacity", report.goodput_ratio);
    println!(
        "violations  {} (doubled {}, falsely not run {}, not whole {}, mixed {}, late to leaving {})",
        report.violations,
        report.doubled,
        report.falsely_not_run,
        report.not_whole,
        report.mixed,
        report.late_to_leaving
    );
}
