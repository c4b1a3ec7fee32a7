//! Each program alone as a process: settings, a request end to end, metrics, a planned stop.

mod common;

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::{PATIENCE, run};
use pumicelatch::bench::caller::{Ask, Caller, Seen, Told};
use pumicelatch::bench::command::standin::Ready;
use pumicelatch::bench::sample;
use pumicelatch::http::{self, ClientSetting};
use pumicelatch::spread::Favour;
use pumicelatch::standin::fleet::KEYRING;

/// A process that ends with its test.
struct Process {
    child: Child,
    lines: BufReader<Box<dyn Read + Send>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a program whose first lines come on standard output or, as logs, on standard error.
    fn start(path: &str, arguments: &[&str], logs: bool) -> Self {
        let mut child = Command::new(path)
            .args(arguments)
            .stdout(if logs { Stdio::null() } else { Stdio::piped() })
            .stderr(if logs { Stdio::piped() } else { Stdio::null() })
            .spawn()
            .unwrap();
        let output: Box<dyn Read + Send> = if logs {
            Box::new(child.stderr.take().unwrap())
        } else {
            Box::new(child.stdout.take().unwrap())
        };
        Self {
            child,
            lines: BufReader::new(output),
        }
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.lines.read_line(&mut line).unwrap();
        line
    }

    /// The address in the first log line.
    fn address(&mut self) -> SocketAddr {
        let line: serde_json::Value = serde_json::from_str(&self.line()).unwrap();
        line["address"].as_str().unwrap().parse().unwrap()
    }

    /// Sends SIGTERM.
    fn terminate(&self) {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
    }

    /// Waits for the end and returns the exit code.
    fn wait(&mut self) -> Option<i32> {
        // Logs must not fill the pipe while the process drains.
        let _ = self.lines.read_to_string(&mut String::new());
        self.child.wait().unwrap().code()
    }
}

async fn put(platform: SocketAddr, path: &str, body: String) {
    let client = http::client(ClientSetting::default());
    let url = format!("http://{platform}/admin/{path}");
    let response = client.put(url).send_body(body).await.unwrap();
    assert!(response.status().is_success());
}

async fn text(url: &str) -> String {
    let client = http::client(ClientSetting::default());
    let bytes = http::get(&client, url, 1 << 20, Duration::from_secs(5)).await;
    String::from_utf8(bytes.unwrap().to_vec()).unwrap()
}

async fn until_whole(entry: &str, ask: &Ask) -> Seen {
    let caller = Caller::default();
    let deadline = Instant::now() + PATIENCE;
    loop {
        let seen = caller.complete(entry, ask).await;
        if seen.told == Told::Whole {
            return seen;
        }
        assert!(Instant::now() < deadline, "{seen:?}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Descriptors that a program may open, fewer than a crowd has connections.
const DESCRIPTORS: usize = 400;

/// Connections of a crowd.
const CROWD: usize = 600;

/// An entry and an agent that may open few descriptors, and reach no service.
fn alone() -> [Process; 2] {
    let programs = [
        (env!("CARGO_BIN_EXE_pumicelatch-entry"), vec![]),
        (
            env!("CARGO_BIN_EXE_pumicelatch-agent"),
            vec![
                "--target-address",
                "127.0.0.1:9",
                "--origin-url",
                "http://127.0.0.1:9",
            ],
        ),
    ];
    programs.map(|(path, own)| {
        let limited = format!("ulimit -n {DESCRIPTORS}; exec \"$0\" \"$@\"");
        let common = [
            "--name",
            "box",
            "--hall",
            "hall",
            "--config-url",
            "http://127.0.0.1:9",
            "--list-url",
            "http://127.0.0.1:9",
            "--inner-keys",
            KEYRING,
        ];
        let arguments = [&["-c", &limited, path][..], &common, &own].concat();
        Process::start("sh", &arguments, true)
    })
}

async fn until_live(address: SocketAddr) {
    let client = http::client(ClientSetting::default());
    let url = format!("http://{address}/health/live");
    let deadline = Instant::now() + PATIENCE;
    while let Err(error) = http::get(&client, &url, 1 << 20, Duration::from_secs(5)).await {
        assert!(Instant::now() < deadline, "{error}");
    }
}

/// Guards against idle connections that take the descriptors for engines and the service.
#[test]
fn silent_connections_leave_descriptors_of_the_programs() {
    run(async {
        for mut process in alone() {
            let address = process.address();
            let connect = |_| std::net::TcpStream::connect(address);
            let crowd: Vec<_> = (0..CROWD).map(connect).collect();
            let folder = format!("/proc/{}/fd", process.child.id());
            let mut open = 0;
            // All of the crowd are accepted meanwhile if there is room.
            for _ in 0..50 {
                open = open.max(std::fs::read_dir(&folder).unwrap().count());
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            until_live(address).await;
            println!("{open} descriptors beside {} connections", crowd.len());
            assert!(open < DESCRIPTORS, "{open}");
        }
    });
}

#[test]
fn the_programs_serve_a_request_end_to_end_and_stop_without_cutting_it_off() {
    run(async {
        let bench = env!("CARGO_BIN_EXE_pumicelatch-bench");
        let mut standin = Process::start(bench, &["standin", "--token-ms", "20"], false);
        let ready: Ready = serde_json::from_str(&standin.line()).unwrap();
        let platform = format!("http://{}", ready.platform);
        let origin = format!("http://{}", ready.origin);
        let target = ready.engine.to_string();
        let common = [
            "--hall",
            "hall",
            "--config-url",
            &platform,
            "--list-url",
            &platform,
            "--inner-keys",
            KEYRING,
        ];
        let own = [
            "--name",
            "box",
            "--target-address",
            &target,
            "--origin-url",
            &origin,
            "--memory-bytes",
            "10000000",
        ];
        let agent_path = env!("CARGO_BIN_EXE_pumicelatch-agent");
        let mut agent = Process::start(agent_path, &[&common[..], &own].concat(), true);
        let agent_address = agent.address();
        let entry_path = env!("CARGO_BIN_EXE_pumicelatch-entry");
        let arguments = [&common[..], &["--name", "entry"]].concat();
        let mut entry = Process::start(entry_path, &arguments, true);
        let entry_url = format!("http://{}", entry.address());
        let boxes = serde_json::json!([{
            "name": "box", "hall": "hall", "address": agent_address, "role": "model",
            "capacity_bytes": 10_000_000, "state": "live",
        }]);
        put(ready.platform, "boxes", boxes.to_string()).await;
        let template = sample::template(&["hall".to_owned()], Favour::Time);
        put(ready.platform, "values/templates/burst", template).await;
        let customer = sample::customer(ready.digest.parse().unwrap(), ready.bytes, 1);
        put(ready.platform, "values/customers/nordvind", customer).await;

        let ask = Ask {
            tokens: 4,
            ..Ask::default()
        };
        let seen = until_whole(&entry_url, &ask).await;
        assert!(seen.unmixed(&ask.prompt));
        let metrics = text(&format!("{entry_url}/metrics")).await;
        assert!(
            metrics.contains("pumicelatch_entry_requests_total"),
            "{metrics}"
        );
        let metrics = text(&format!("http://{agent_address}/metrics")).await;
        assert!(
            metrics.contains("pumicelatch_agent_origin_bytes_total"),
            "{metrics}"
        );
        let audit = text(&format!("http://{agent_address}/audit")).await;
        for deed in [
            "config-accepted",
            "receive-done",
            "load-ordered",
            "servable",
        ] {
            assert!(audit.contains(deed), "{deed} is missing: {audit}");
        }

        // Longer than the time for which a stopping process goes on accepting, so that only its
        // waiting for requests in progress can save this one.
        let long = Ask {
            tokens: 300,
            ..Ask::default()
        };
        let call = actix_rt::spawn({
            let (entry_url, long) = (entry_url.clone(), long.clone());
            async move { Caller::default().complete(&entry_url, &long).await }
        });
        let status = format!("http://{agent_address}/status");
        while text(&status).await.contains("\"in_flight\":0") {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        agent.terminate();
        entry.terminate();
        let stops = std::thread::spawn(move || (agent.wait(), entry.wait()));
        let seen = call.await.unwrap();
        assert_eq!(seen.told, Told::Whole, "a planned stop cuts nothing off");
        assert_eq!(seen.tokens.len(), 300);
        while !stops.is_finished() {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(stops.join().unwrap(), (Some(0), Some(0)));
        standin.terminate();
        assert_eq!(standin.wait(), Some(0));
    });
}
