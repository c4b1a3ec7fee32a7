//! The command line of `pumicelatch-bench`.

use std::io::IsTerminal;

use crate::option;

pub mod demo;
pub mod relay;
pub mod route;
pub mod spread;
pub mod standin;

/// What the program is for.
const SUMMARY: &str =
    "Experiments against the real entry and agent code, with stand-ins on loopback.

Commands (each with its own --help):
  demo     a burst to 24 boxes in three halls, with requests answered during it
  spread   a burst behind shaped links, with faults and baselines
  route    requests under load and faults
  relay    one agent's relay and one entry's requests against bare HTTP, in one run
  standin  serves the stand-ins, to run the daemons against";

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error(transparent)]
    Option(#[from] option::Error),
    /// There is no such command.
    #[error("no command `{name}`; see --help")]
    Command {
        /// The name that was given.
        name: String,
    },
    /// A stand-in could not start.
    #[error(transparent)]
    Http(#[from] crate::http::Error),
    /// Signals cannot be handled.
    #[error(transparent)]
    Daemon(#[from] crate::daemon::Error),
    /// Metrics could not be started.
    #[error(transparent)]
    Metric(#[from] crate::metric::Error),
    /// The result could not be written.
    #[error("cannot write the result: {0}")]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// The process's exit code for this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Option(_) | Self::Command { .. } => option::EXIT_USAGE,
            _ => 1,
        }
    }
}

/// Runs a command and returns the process's exit code.
pub async fn run(arguments: &[String]) -> Result<i32, Error> {
    let Some((name, rest)) = arguments.split_first() else {
        println!("{SUMMARY}");
        return Ok(option::EXIT_USAGE);
    };
    match name.as_str() {
        "demo" => demo::run(rest).await,
        "spread" => spread::run(rest).await,
        "route" => route::run(rest).await,
        "standin" => standin::run(rest).await,
        "relay" => relay::run(rest).await,
        "-h" | "--help" => {
            println!("{SUMMARY}");
            Ok(0)
        }
        "--version" => {
            println!("pumicelatch-bench {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
        other => Err(Error::Command {
            name: other.to_owned(),
        }),
    }
}

/// A progress bar on a terminal, nothing elsewhere.
fn progress_bar(length: u64) -> indicatif::ProgressBar {
    if !std::io::stderr().is_terminal() {
        return indicatif::ProgressBar::hidden();
    }
    let bar = indicatif::ProgressBar::new(length);
    let style = indicatif::ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} [{elapsed}]");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.set_message("servable boxes");
    bar
}
