//! `pumicelatch-bench spread`.

use std::fmt::Write;
use std::time::Duration;

use serde::Serialize;

use super::{Error, progress_bar};
use crate::bench::baseline;
use crate::bench::fault::KINDS;
use crate::bench::spread::{Experiment, MEMORY_MAX, Report, Setting};
use crate::option::{self, Spec, Values};
use crate::spread::Favour;

const SPECS: [Spec; 17] = [
    Spec::with_default("boxes", "N", "100", "boxes, 1 to 400"),
    Spec::with_default("halls", "H", "3", "data halls, 1 to 20"),
    Spec::with_default("model-bytes", "B", "16777216", "bytes of the model"),
    Spec::with_default("chunk-bytes", "C", "131072", "bytes of a chunk"),
    Spec::with_default(
        "window-seconds",
        "T",
        "20",
        "window in which the origin's link carries 4 copies and a box's link 2 each way",
    ),
    Spec::with_default("favour", "WHAT", "time", "time or origin-bytes"),
    Spec::repeated(
        "fault",
        "KIND@SECONDS",
        "a fault, and when; kinds are listed below",
    ),
    Spec::with_default(
        "baseline",
        "WHICH",
        "none",
        "none, origin-only or tree: run it too, on links of its own",
    ),
    Spec::with_default("seed", "S", "1", "seed of models and faults"),
    Spec::with_default(
        "hall-neighbours",
        "N",
        "8",
        "peers followed in the box's hall",
    ),
    Spec::with_default("fleet-neighbours", "N", "6", "peers followed anywhere"),
    Spec::with_default("fetches", "N", "4", "chunks that a box draws at once"),
    Spec::with_default("upload-slots", "N", "2", "uploads that share a box's link"),
    Spec::with_default("upload-queue", "N", "2", "uploads that wait for a slot"),
    Spec::with_default("sponsors", "N", "8", "boxes that draw from the origin"),
    Spec::flag("json", "print one JSON object"),
    Spec::flag("quiet", "show no progress"),
];

/// The object that `--json` prints.
#[derive(Debug, Serialize)]
struct Output {
    #[serde(flatten)]
    report: Report,
    #[serde(skip_serializing_if = "Option::is_none")]
    baseline: Option<baseline::Report>,
}

fn summary() -> String {
    let mut text = String::from(
        "A burst of one model to many boxes behind shaped links.\n\nKinds of faults:\n",
    );
    for (_, name, what) in KINDS {
        let _ = writeln!(text, "  {name}: {what}");
    }
    text.push_str(
        "\nExit code 1 if an invariant was breached or a living box did not become servable.",
    );
    text
}

fn spread_setting(values: &Values) -> Result<crate::spread::Setting, option::Error> {
    Ok(crate::spread::Setting {
        hall_neighbours: values.number("hall-neighbours", 1..=32)?,
        fleet_neighbours: values.number("fleet-neighbours", 0..=32)?,
        fetches_max: values.number("fetches", 1..=32)?,
        upload_slots: values.number("upload-slots", 1..=16)?,
        upload_queue_max: values.number("upload-queue", 0..=64)?,
        sponsors: values.number("sponsors", 1..=32)?,
        ..crate::spread::Setting::default()
    })
}

fn setting(values: &Values) -> Result<(Setting, Option<baseline::Kind>), option::Error> {
    let favour: String = values.get("favour", "time or origin-bytes")?;
    let favour = match favour.as_str() {
        "time" => Favour::Time,
        "origin-bytes" => Favour::OriginBytes,
        _ => return Err(unknown("favour", favour, "time or origin-bytes")),
    };
    let kind: String = values.get("baseline", "none, origin-only or tree")?;
    let kind = match kind.as_str() {
        "none" => None,
        "origin-only" => Some(baseline::Kind::OriginOnly),
        "tree" => Some(baseline::Kind::Tree),
        _ => return Err(unknown("baseline", kind, "none, origin-only or tree")),
    };
    let setting = Setting {
        boxes: values.number("boxes", 1..=400)?,
        halls: values.number("halls", 1..=20)?,
        model_bytes: values.number("model-bytes", 1..=4 << 30)?,
        chunk_bytes: values.number("chunk-bytes", 1024..=64 << 20)?,
        window: Duration::from_secs_f64(values.number("window-seconds", 1.0..=3600.0)?),
        favour,
        faults: values.all(
            "fault",
            "KIND@SECONDS, such as kill@3; --help lists the kinds",
        )?,
        seed: values.number("seed", 0..=u64::MAX)?,
        spread: spread_setting(values)?,
        ..Setting::default()
    };
    let memory = setting.model_bytes * setting.boxes as u64;
    if memory > MEMORY_MAX {
        return Err(option::Error::Conflict {
            name: "model-bytes",
            reason: format!(
                "{} boxes would hold {memory} bytes, over the limit of {MEMORY_MAX}; give fewer boxes or a smaller model",
                setting.boxes
            ),
        });
    }
    let chunks = setting.model_bytes.div_ceil(u64::from(setting.chunk_bytes));
    if chunks > crate::weight::CHUNKS_MAX as u64 {
        return Err(option::Error::Conflict {
            name: "chunk-bytes",
            reason: format!(
                "the model would have {chunks} chunks, over the limit of {}; give larger chunks",
                crate::weight::CHUNKS_MAX
            ),
        });
    }
    Ok((setting, kind))
}

fn unknown(name: &'static str, value: String, expected: &str) -> option::Error {
    option::Error::Value {
        name,
        value,
        reason: "there is no such choice".to_owned(),
        expected: expected.to_owned(),
    }
}

/// Runs the command.
pub async fn run(arguments: &[String]) -> Result<i32, Error> {
    let Some(values) = option::values("pumicelatch-bench spread", &summary(), &SPECS, arguments)?
    else {
        return Ok(0);
    };
    let (setting, kind) = setting(&values)?;
    let baseline = match kind {
        None => None,
        Some(kind) => Some(baseline::run(&setting, kind).await?),
    };
    let mut experiment = Experiment::start(setting).await?;
    let bar = if values.flag("quiet") {
        indicatif::ProgressBar::hidden()
    } else {
        progress_bar(0)
    };
    experiment.publish();
    let report = experiment
        .run(|servable, alive| {
            bar.set_length(alive as u64);
            bar.set_position(servable as u64);
        })
        .await;
    bar.finish_and_clear();
    let passed = report.passed();
    let output = Output { report, baseline };
    if values.flag("json") {
        println!("{}", serde_json::to_string(&output)?);
    } else {
        print_table(&output);
    }
    Ok(i32::from(!passed))
}

fn print_table(output: &Output) {
    let report = &output.report;
    println!(
        "servable       {} of {} boxes",
        report.servable, report.boxes
    );
    println!(
        "time           {:.2} s, {:.2} times the limit of {:.2} s",
        report.seconds, report.time_ratio, report.limit_seconds
    );
    println!(
        "half, 99%      {:.2} s, {:.2} s",
        report.servable_p50_seconds, report.servable_p99_seconds
    );
    println!(
        "origin         {:.2} copies, {} bytes",
        report.origin_copies, report.origin_bytes
    );
    println!(
        "control        {:.0} bytes a second at each box",
        report.control_bytes_per_box_second
    );
    println!("violations     {}", report.violations);
    for violation in &report.violation_list {
        println!("  {violation}");
    }
    if let Some(baseline) = &output.baseline {
        println!(
            "baseline       {:.2} s, {:.2} times the limit, {:.1} origin copies",
            baseline.seconds, baseline.time_ratio, baseline.origin_copies
        );
    }
}
