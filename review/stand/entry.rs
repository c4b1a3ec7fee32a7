//! The project's entry as a process, with the command of the deploy file and settings on loopback.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// The bounds of the site, as every process gets them.
const BOUNDS: &str = "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\n\
    drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
    outerBoundMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
    budgetWindowS = 10\nretryBudgetSlack = 100\nrecoveryS = 12\niterationMs = 120\nretryAfterS = 0\n\
    version_ms = 8000\nversion_all_ms = 0\n";

/// The first of the ports that are free on every machine for what nodes say to each other.
pub const PORTS: u16 = 7_700;

static GIVEN_OUT: AtomicU8 = AtomicU8::new(0);

/// A loopback address that no other process of this run uses.
pub fn own_ip() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = GIVEN_OUT.fetch_add(1, Ordering::Relaxed) + 1;
    Ipv4Addr::new(127, 64 | (high & 63), low, number)
}

pub struct Entry {
    pub name: String,
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal("CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The addresses of an entry.
#[derive(Clone, Copy)]
pub struct Place {
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

/// Free ports on an address of the entry's own.
pub fn place() -> Result<Place, String> {
    let ip = own_ip();
    let listeners: Result<Vec<TcpListener>, _> =
        (0..3).map(|_| TcpListener::bind((ip, 0))).collect();
    let listeners = listeners.map_err(|error| error.to_string())?;
    let address = |index: usize| listeners[index].local_addr().map_err(|error| error.to_string());
    Ok(Place {
        ip,
        front: address(0)?,
        ready: address(1)?,
        control: address(2)?,
    })
}

impl Entry {
    /// Starts an entry; `folder` takes its settings and its log.
    pub fn start(
        name: &str,
        place: Place,
        store: SocketAddr,
        seeds: &[SocketAddr],
        folder: &std::path::Path,
    ) -> Result<Self, String> {
        let ports = PORTS;
        let Place {
            ip,
            front,
            ready,
            control,
        } = place;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"lis-a\"\nregion = \"lis\"\n\
             internalPorts = [{ports},{last}]\nseeds = [{seeds}]\nbootstrap = false\n\
             countsAsLoss = false\ndiscovery = \"platform\"\nentryMode = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"]\n\
             [zones]\nlis-a = \"lis\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 3\nzones = 1\nregions = 0\n\
             {BOUNDS}\
             [platformConfig]\naddress = \"{store}\"\nform = \"read\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistoryS = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            last = ports + 15,
            seeds = seeds.join(",")
        );
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let child = Self::spawn(&settings, &log)?;
        Ok(Self {
            name: name.to_owned(),
            child,
            front,
            ready,
            control,
            log,
            settings,
        })
    }

    fn spawn(settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
        spawn("target/release/pumicelatch-platform-entry", settings, log)
    }

    /// Starts the entry again after it was killed.
    pub fn start_again(&mut self) -> Result<(), String> {
        self.child = Self::spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let answer = http::read_response(&mut BufReader::new(stream))?;
            Ok(answer.is_some_and(|answer| answer.status == 200))
        };
        ask().unwrap_or(false)
    }

    pub fn until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(format!("{} does not become ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

/// Starts a program of the deploy file, as it stands there, from the project's root.
fn spawn(program: &str, settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let open = File::options().create(true).append(true).open(log);
    let out = open.map_err(|error| error.to_string())?;
    let errors = out.try_clone().map_err(|error| error.to_string())?;
    Command::new(program)
        .args(["--metrics-port", "9464"])
        .env("PUMICELATCH_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("cannot start {program}: {error}"))
}

/// The project's agent as a process, on the machine of a model replica.
pub struct Agent {
    pub child: Child,
    pub settings: PathBuf,
    pub log: PathBuf,
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Agent {
    /// Starts an agent at `ip`, beside the replica at `app`.
    pub fn start(
        name: &str,
        app: SocketAddr,
        ports: u16,
        store: SocketAddr,
        seeds: &[SocketAddr],
        folder: &std::path::Path,
    ) -> Result<Self, String> {
        let ip = app.ip();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"agent\"\nmachineClass = \"side\"\nserves = [\"side\"]\n\
             ip = \"{ip}\"\nzone = \"lis-a\"\nregion = \"lis\"\napp = \"{app}\"\n\
             internalPorts = [{ports},{last}]\nseeds = [{seeds}]\nbootstrap = false\ncountsAsLoss = false\n\
             discovery = \"platform\"\nheartbeatMs = 1200\n[zones]\nlis-a = \"lis\"\n\
             [listen]\nready = \"{ip}:8002\"\n\
             [limits]\ncpuShare = 0.3\ncores = 1\nmemoryMb = 128\nmaxFds = 2048\nlinkMbps = 7.3\ndiskMb = 0\n\
             {BOUNDS}[platformConfig]\naddress = \"{store}\"\nform = \"read\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistoryS = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            last = ports + 15,
            seeds = seeds.join(",")
        );
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let child = spawn("target/release/pumicelatch-platform-agent", &settings, &log)?;
        Ok(Self {
            child,
            settings,
            log,
        })
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn start_again(&mut self) -> Result<(), String> {
        self.child = spawn("target/release/pumicelatch-platform-agent", &self.settings, &self.log)?;
        Ok(())
    }
}

/// A folder for the settings and logs of one run. It is removed at the end, unless KEEP is in the
/// environment.
pub struct Folder(PathBuf);

impl std::ops::Deref for Folder {
    type Target = std::path::Path;

    fn deref(&self) -> &std::path::Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

pub fn temporary(case: &str) -> Result<Folder, String> {
    let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
    Ok(Folder(path))
}
