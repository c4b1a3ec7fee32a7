//! What the daemons share at their outermost edge: options, signals.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use actix_rt::time::timeout;
use nix::sys::resource::{Resource, getrlimit};
use tokio::signal::unix::{SignalKind, signal};

use crate::auth::Keyring;
use crate::http;
use crate::limit::connection;
use crate::member::Role;
use crate::metric;
use crate::node;
use crate::option::{self, EXIT_USAGE, Spec, Values};

/// How often a settings file is looked at.
const RELOAD_LOOK: Duration = Duration::from_secs(1);

/// Why a daemon ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are wrong.
    #[error(transparent)]
    Option(#[from] option::Error),
    /// A socket could not be opened.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// Metrics could not be started.
    #[error(transparent)]
    Metric(#[from] metric::Error),
    /// Signals cannot be handled.
    #[error("cannot handle signals: {0}")]
    Signal(#[from] std::io::Error),
}

impl Error {
    /// The process's exit code for this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Option(_) => EXIT_USAGE,
            _ => 1,
        }
    }
}

/// Options that every daemon has.
pub const SPECS: [Spec; 10] = [
    Spec::required(
        "name",
        "NAME",
        "the box's name, as the list of boxes has it",
    ),
    Spec::required("hall", "HALL", "the data hall it stands in"),
    Spec::with_default(
        "listen",
        "ADDRESS",
        "127.0.0.1:0",
        "IP address and port to listen on",
    ),
    Spec::required("config-url", "URL", "the platform's configuration service"),
    Spec::required("list-url", "URL", "the platform's list of boxes"),
    Spec::required(
        "inner-keys",
        "NAME:HEX,...",
        "keys of the inner hop, 64 hexadecimal digits each; the first signs, all verify",
    ),
    Spec::with_default(
        "log-level",
        "LEVEL",
        "info",
        "error, warn, info, debug or trace",
    ),
    Spec::with_default(
        "drain-seconds",
        "N",
        "600",
        "longest time that a planned stop waits for requests in progress",
    ),
    Spec::with_default(
        "connections",
        "N",
        "0",
        "connections that may be open to it; 0 means half of the descriptors that it may open",
    ),
    Spec::with_default(
        "input-bytes",
        "N",
        "8388608",
        "bytes that these may hold unread",
    ),
];

/// Settings that every daemon has.
#[derive(Debug)]
pub struct Common {
    /// For [`node::Node`].
    pub node: node::Setting,
    /// Keys of the inner hop.
    pub keyring: Keyring,
    /// How much is logged.
    pub log_level: log::LevelFilter,
    /// Longest planned stop.
    pub drain: Duration,
}

/// Reads and checks the common settings.
pub fn common(values: &Values, role: Role) -> Result<Common, option::Error> {
    let name: String = values.get("name", "a name")?;
    if name.is_empty() || name.contains(['~', '/', ' ']) {
        return Err(option::Error::Value {
            name: "name",
            value: name,
            reason: "it is empty or has a space, a slash or a tilde".to_owned(),
            expected: "a name such as bergen-hall-007".to_owned(),
        });
    }
    let hall: String = values.get("hall", "a data hall's name")?;
    let listen: SocketAddr = values.get("listen", "IP:PORT, such as 10.0.0.7:8100")?;
    Ok(Common {
        node: node::Setting {
            name: name.into(),
            hall: hall.into(),
            role,
            listen,
            config_url: values.url("config-url")?,
            list_url: values.url("list-url")?,
            connections: connections(values)?,
        },
        keyring: values.get("inner-keys", "name:hex, with 64 hexadecimal digits")?,
        log_level: values.get("log-level", "error, warn, info, debug or trace")?,
        drain: Duration::from_secs(values.number("drain-seconds", 0..=86_400)?),
    })
}

/// Bounds of the daemon's listener: the settings, or else by the descriptors that it may open.
fn connections(values: &Values) -> Result<connection::Setting, option::Error> {
    let given = values.number("connections", 0..=1 << 20)?;
    let input_bytes = values.number("input-bytes", 1..=1 << 40)?;
    let connections = match given {
        0 => connection::callers_of(descriptors()),
        given => given,
    };
    Ok(connection::Setting {
        connections,
        input_bytes,
    })
}

/// Number of descriptors that the process may open.
fn descriptors() -> usize {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
        Err(error) => {
            log::warn!("cannot read the limit of open descriptors: {error}");
            connection::Setting::default().connections
        }
    }
}

/// Parses the command line of a daemon, or prints what it asks for and returns `None`.
pub fn values(
    program: &str,
    summary: &str,
    specs: &[Spec],
) -> Result<Option<Values>, option::Error> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let values = option::values(program, summary, specs, &arguments)?;
    if let Some(extra) = values.as_ref().and_then(|values| values.free.first()) {
        return Err(option::Error::CommandLine {
            reason: format!("unexpected argument `{extra}`"),
        });
    }
    Ok(values)
}

/// Waits for SIGTERM or SIGINT.
pub async fn stop_signal() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let either =
        futures_util::future::select(Box::pin(terminate.recv()), Box::pin(interrupt.recv()));
    either.await;
    Ok(())
}

/// A task that has a settings file read again: on SIGHUP, and when the file changes by itself.
/// Dropping it ends that.
#[derive(Debug)]
pub struct Reload(actix_rt::task::JoinHandle<()>);

impl Drop for Reload {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Reload {
    /// Calls `read` whenever the file at `path` may have changed.
    pub fn watch(path: PathBuf, read: impl Fn() -> Result<(), String> + 'static) -> Self {
        Self(actix_rt::spawn(async move {
            let mut hangup = signal(SignalKind::hangup()).ok();
            let mut known = stamp(&path);
            loop {
                let told = async {
                    match &mut hangup {
                        Some(hangup) => hangup.recv().await,
                        None => std::future::pending().await,
                    }
                };
                let signalled = timeout(RELOAD_LOOK, told).await.is_ok();
                let found = stamp(&path);
                if !signalled && found == known {
                    continue;
                }
                known = found;
                match read() {
                    Ok(()) => log::info!(signalled; "settings read again"),
                    Err(error) => log::error!("settings not read again: {error}"),
                }
            }
        }))
    }
}

/// What tells one content of a file from another.
fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let data = std::fs::metadata(path).ok()?;
    Some((data.modified().ok()?, data.len()))
}

/// Ends the process with what `result` says.
pub fn exit(program: &str, result: Result<(), Error>) -> ! {
    match result {
        Ok(()) => std::process::exit(0),
        Err(error) => {
            eprintln!("{program}: {error}");
            std::process::exit(error.exit_code())
        }
    }
}
