//! `pumicelatch-bench relay`.

use super::Error;
use crate::bench::relay;
use crate::option::{self, Spec};

const SPECS: [Spec; 1] = [Spec::flag("json", "print one JSON object")];

/// Runs the command.
pub async fn run(arguments: &[String]) -> Result<i32, Error> {
    let program = "pumicelatch-bench relay";
    let summary = "One agent's relay and one entry's small requests, unshaped, against bare HTTP.";
    let Some(values) = option::values(program, summary, &SPECS, arguments)? else {
        return Ok(0);
    };
    let report = relay::run().await?;
    if values.flag("json") {
        println!("{}", serde_json::to_string(&report)?);
        return Ok(0);
    }
    println!(
        "relay     {:.2} GB/s, {:.2} of a bare GET with BLAKE3 ({:.2} GB/s)",
        report.relay_bytes_per_second / 1e9,
        report.relay_ratio,
        report.bare_bytes_per_second / 1e9
    );
    println!(
        "verify    {:.2} GB/s in memory",
        relay::verify_speed() / 1e9
    );
    println!(
        "latency   direct {:.0} us, through entry and agent {:.0} us: {:.2} times the direct call added",
        report.direct_p50_us, report.routed_p50_us, report.added_ratio
    );
    println!(
        "requests  {:.0} a second through one entry, {:.0} a second at a bare server",
        report.entry_requests_per_second, report.bare_requests_per_second
    );
    Ok(0)
}
