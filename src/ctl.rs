//! `pumicectl`, the operator's command line. It reads files, queries processes and changes nothing.

use crate::option::{self, EXIT_USAGE};

pub mod directory;
pub mod inspect;
pub mod inventory;
pub mod plan;

/// Help text of the program.
const SUMMARY: &str = "The operator's command line of pumicelatch. It changes nothing.

Commands (each with its own --help):
  check     check a directory of templates/ and customers/
  render    print a customer's rendered fleet
  diff      compare the rendered fleets of two directories
  plan      show which boxes would gain or lose which weights, and their sizes
  explain   show why a box holds or lacks a customer's weights
  status    show boxes, versions and bursts of a running fleet
  audit     show the audit trail: who made which change, and when

A directory holds what is published: templates/NAME.toml and customers/NAME.toml.
Exit codes: 0 success, 1 a check failed or a process did not answer, 2 invalid command line.";

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option is invalid.
    #[error(transparent)]
    Option(#[from] option::Error),
    /// The command does not exist.
    #[error("no command `{name}`; see --help")]
    UnknownCommand {
        /// The unknown name.
        name: String,
    },
    /// An argument is missing.
    #[error("{what} is missing; see --help")]
    MissingArgument {
        /// Description of the argument.
        what: &'static str,
    },
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A file does not have the expected format.
    #[error("{path}: {reason}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The parser's message.
        reason: String,
    },
    /// The customer does not exist.
    #[error("no customer `{name}`; there are: {known}")]
    UnknownCustomer {
        /// The unknown name.
        name: String,
        /// Names of the existing customers.
        known: String,
    },
    /// A template or a customer's file is invalid.
    #[error(transparent)]
    Template(#[from] crate::template::Error),
    /// A request failed, or its response is invalid.
    #[error("{url}: {source}")]
    Request {
        /// URL of the request.
        url: String,
        /// The underlying error.
        source: crate::http::Error,
    },
    /// A result cannot be serialized as JSON or TOML.
    #[error("cannot serialize the result: {reason}")]
    Serialize {
        /// The serializer's message.
        reason: String,
    },
}

impl Error {
    /// Exit code of the process for this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Option(_) | Self::UnknownCommand { .. } | Self::MissingArgument { .. } => {
                EXIT_USAGE
            }
            _ => 1,
        }
    }
}

/// Runs a command and returns the exit code of the process.
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
        "status" => inspect::status(rest).await,
        "audit" => inspect::audit(rest).await,
        "-h" | "--help" => {
            println!("{SUMMARY}");
            Ok(0)
        }
        "--version" => {
            println!("pumicectl {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
        other => Err(Error::UnknownCommand {
            name: other.to_owned(),
        }),
    }
}

/// Parses the options of a command. Returns `None` if it printed the help text instead.
fn parse_options(
    command: &str,
    summary: &str,
    specs: &[option::Spec],
    arguments: &[String],
) -> Result<Option<option::Values>, Error> {
    let program = format!("pumicectl {command}");
    Ok(option::values(&program, summary, specs, arguments)?)
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<String, Error> {
    serde_json::to_string_pretty(value).map_err(|error| Error::Serialize {
        reason: error.to_string(),
    })
}
