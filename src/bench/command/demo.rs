//! `pumicelatch-bench demo`: the whole path, shown in under a minute.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::{Error, progress_bar};
use crate::bench::caller::{Ask, Caller, Seen, Told};
use crate::bench::spread::{Experiment, Report, Setting};
use crate::option::{self, Spec};

/// Boxes.
const BOXES: usize = 24;

/// Halls.
const HALLS: usize = 3;

/// Bytes of the model.
const MODEL_BYTES: u64 = 32 << 20;

/// Pause between two of the demo's requests.
const REQUEST_EVERY: Duration = Duration::from_millis(250);

const SPECS: [Spec; 2] = [
    Spec::with_default(
        "window-seconds",
        "T",
        "12",
        "window in which a box's link carries 2 copies",
    ),
    Spec::with_default("seed", "S", "1", "seed of the model"),
];

/// Runs the command.
pub async fn run(arguments: &[String]) -> Result<i32, Error> {
    let summary =
        "A burst of one model to 24 boxes in three halls, with requests answered during it.";
    let Some(values) = option::values("pumicelatch-bench demo", summary, &SPECS, arguments)? else {
        return Ok(0);
    };
    let setting = Setting {
        boxes: BOXES,
        halls: HALLS,
        model_bytes: MODEL_BYTES,
        window: Duration::from_secs_f64(values.number("window-seconds", 2.0..=60.0)?),
        seed: values.number("seed", 0..=u64::MAX)?,
        entries: HALLS,
        ..Setting::default()
    };
    println!(
        "{BOXES} boxes in {HALLS} halls; a model of {} MiB; each box's link carries it twice in {} s",
        MODEL_BYTES >> 20,
        setting.window.as_secs_f64()
    );
    let mut experiment = Experiment::start(setting).await?;
    let entries: Vec<String> = experiment
        .fleet()
        .entries
        .iter()
        .map(|entry| entry.url())
        .collect();
    let seen = Rc::new(RefCell::new(Vec::new()));
    experiment.publish();
    let calls = actix_rt::spawn(call(entries, seen.clone()));
    let bar = progress_bar(BOXES as u64);
    let report = experiment
        .run(|servable, _| bar.set_position(servable as u64))
        .await;
    bar.finish_and_clear();
    // One more round, with every box servable.
    actix_rt::time::sleep(REQUEST_EVERY * 8).await;
    calls.abort();
    let seen = seen.borrow();
    let wrong = wrong_answers(&seen);
    print_report(&report, &seen, wrong);
    let answered = seen.iter().any(|(_, seen)| seen.told == Told::Whole);
    Ok(i32::from(!report.passed() || wrong > 0 || !answered))
}

type Calls = Rc<RefCell<Vec<(String, Seen)>>>;

/// Sends requests to the entries in turn.
async fn call(entries: Vec<String>, seen: Calls) {
    let caller = Caller::default();
    for number in 0.. {
        let ask = Ask {
            prompt: format!("turbine {number}: summarise the fault"),
            ..Ask::default()
        };
        let entry = &entries[number % entries.len()];
        let one = caller.complete(entry, &ask).await;
        seen.borrow_mut().push((ask.prompt, one));
        actix_rt::time::sleep(REQUEST_EVERY).await;
    }
}

/// Answers that are another request's, of mixed versions, or silently cut short.
fn wrong_answers(seen: &[(String, Seen)]) -> usize {
    let tokens = Ask::default().tokens as usize;
    let wrong = |(prompt, seen): &&(String, Seen)| {
        !seen.unmixed(prompt) || (seen.told == Told::Whole && seen.tokens.len() != tokens)
    };
    seen.iter().filter(wrong).count()
}

fn print_report(report: &Report, seen: &[(String, Seen)], wrong: usize) {
    let answered = seen.iter().filter(|(_, seen)| seen.told == Told::Whole);
    println!(
        "servable    {} of {} boxes in {:.2} s ({:.2} times the physical limit of {:.2} s)",
        report.servable, report.boxes, report.seconds, report.time_ratio, report.limit_seconds
    );
    println!(
        "origin      {} bytes, {:.2} copies",
        report.origin_bytes, report.origin_copies
    );
    println!(
        "requests    {} sent, {} answered whole, the others refused as not run",
        seen.len(),
        answered.count()
    );
    println!(
        "checked     {} violations, {wrong} wrong answers",
        report.violations
    );
    for violation in &report.violation_list {
        println!("            {violation}");
    }
}
