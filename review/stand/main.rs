//! Stand-ins of the platform's store, of replicas and of clients, and the cases that use them.
//!
//! `stand replica ...` and `stand engine ...` are replicas as processes of their own; `stand CASE FOLDER`
//! plays a case (mixed, order, whole, recover), writes
//! `record.txt` into its folder and exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With `TROUBLE=0` in the environment there is no disruption.

mod case_mixed;
mod case_order;
mod case_poison;
mod case_recover;
mod case_whole;
mod client;
mod engine;
mod entry;
mod fleet;
mod http;
mod record;
mod replica;
mod store;
mod weights;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let folder = args.get(1).cloned().unwrap_or_default();
    let verdict = match args.first().map(String::as_str) {
        Some("replica") => {
            replica::run(&args[1..]);
            return;
        }
        Some("engine") => {
            engine::run(&args[1..]);
            return;
        }
        Some("mixed") => case_mixed::play(&folder),
        Some("order") => case_order::play(&folder),
        Some("whole") => case_whole::play(&folder),
        Some("poison") => case_poison::play(&folder),
        Some("recover") => case_recover::play(&folder),
        _ => Err("stand CASE FOLDER, or stand replica ...".to_owned()),
    };
    std::process::exit(match verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    });
}

/// Whether the disruption is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
