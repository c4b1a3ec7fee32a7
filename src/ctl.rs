//! `pumicectl`: the operator's command line. It reads files and processes, and writes nothing.

use crate::option::{self, EXIT_USAGE};

pub mod directory;
pub mod fleet;
pub mod plan;
pub mod show;

/// What the program is for.
const SUMMARY: &str = "The operator's command line of pumicelatch. It changes nothing.

Commands (each with its own --help):
  check     check a directory of templates/ and customers/
  render    show what a customer's fleet comes to
  diff      compare two directories, customer by customer
  plan      which boxes would gain or lose which weights, and how many bytes
  explain   why a box holds or lacks a customer's weights
  status    boxes, versions and bursts of a running fleet
  audit     who carried out which change when

A directory holds what is published: templates/NAME.toml and customers/NAME.toml.
Exit codes: 0 all is well, 1 a check failed or a process did not answer, 2 wrong command line.";

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
    /// An argument is missing.
    #[error("{what} is missing; see --help")]
    Argument {
        /// What is missing.
        what: &'static str,
    },
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A file is not of the expected form.
    #[error("{path}: {reason}")]
    Form {
        /// The file.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// There is no such customer.
    #[error("no customer `{name}`; there are: {known}")]
    Customer {
        /// The name that was given.
        name: String,
        /// The customers that exist.
        known: String,
    },
    /// A template or a customer's file is wrong.
    #[error(transparent)]
    Template(#[from] crate::template::Error),
    /// A process does not answer.
    #[error("{url}: {source}")]
    Process {
        /// Where it should be.
        url: String,
        /// What happened.
        source: crate::http::Error,
    },
    /// A result cannot be written as JSON or TOML.
    #[error("cannot write the result: {reason}")]
    Write {
        /// What the library reported.
        reason: String,
    },
}

impl Error {
    /// The process's exit code for this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Option(_) | Self::Command { .. } | Self::Argument { .. } => EXIT_USAGE,
            _ => 1,
        }
    }
}

/// Runs a command and returns the process's exit code.
pub async fn run(arguments: &[String]) -> Result<i32, Error> {
    let Some((name, rest)) = arguments.split_first() else {
        println!("{SUMMARY}");
        return Ok(EXIT_USAGE);
    };
    match name.as_str() {
        "check" => directory::check(rest),
        "render" => directory::render(rest),
        "diff" => directory::diff(rest),
        "plan" => plan::plan(rest).await,
        "explain" => plan::explain(rest).await,
        "status" => show::status(rest).await,
        "audit" => show::audit(rest).await,
        "-h" | "--help" => {
            println!("{SUMMARY}");
            Ok(0)
        }
        "--version" => {
            println!("pumicectl {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
        other => Err(Error::Command {
            name: other.to_owned(),
        }),
    }
}

/// Parses a command's options; `None` when it printed its help instead.
fn values(
    command: &str,
    summary: &str,
    specs: &[option::Spec],
    arguments: &[String],
) -> Result<Option<option::Values>, Error> {
    let program = format!("pumicectl {command}");
    Ok(option::values(&program, summary, specs, arguments)?)
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<String, Error> {
    serde_json::to_string_pretty(value).map_err(|error| Error::Write {
        reason: error.to_string(),
    })
}
