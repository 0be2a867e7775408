//! What the cases of the second review share: gateways as separate processes, a small HTTP client,
//! the manifest of a small deployment, and the record of a run.

use std::{
    cell::RefCell,
    fs::File,
    io::Write as _,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Host of all routes.
pub const HOST: &str = "studio.example";

/// Longest time of a case, the end of its processes left out.
const CASE_TIMEOUT: Duration = Duration::from_secs(100);

/// Exit code of a case that could not run.
const COULD_NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Rc<RefCell<File>>,
    started: Instant,
}

/// What a case found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// A gateway process, which is killed when its handle is dropped.
pub struct Gateway {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    /// Address for requesters.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
}

/// An answer, or status 0 with the reason if none arrived whole.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status, or 0.
    pub status: u16,
    /// Head of the answer.
    pub head: String,
    /// Body of the answer, or the reason why there is none.
    pub body: Vec<u8>,
}

impl Record {
    /// Opens the record file of a case.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Rc::new(RefCell::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {}\n", text.as_ref());
        print!("{line}");
        // The record is a report; a case goes on without it.
        let _ = self.file.borrow_mut().write_all(line.as_bytes());
    }
}

/// Runs a case and exits with its code. `TROUBLE=0` in the environment leaves the disruption out.
pub fn run_case<F: Future<Output = Result<Verdict, String>>>(
    case: impl FnOnce(Record, PathBuf, bool) -> F,
) -> ! {
    let mut arguments = std::env::args().skip(1);
    let (Some(record), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: CASE RECORD-FILE TEMPORARY-FOLDER");
        std::process::exit(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(&record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record file cannot be created: {error}");
            std::process::exit(COULD_NOT_RUN);
        }
    };
    record.line(if trouble { "run with the disruption" } else { "run without the disruption" });
    // The future of the case owns the gateways, so they end with it, also after a signal.
    let outcome = actix_rt::System::new().block_on(async {
        let case = case(record.clone(), PathBuf::from(&folder), trouble);
        tokio::select! {
            outcome = tokio::time::timeout(CASE_TIMEOUT, case) => outcome,
            reason = stop_signal() => Ok(Err(reason)),
        }
    });
    let code = match outcome {
        Ok(Ok(Verdict::Held)) => {
            record.line("the rule held");
            0
        }
        Ok(Ok(Verdict::Broken)) => {
            record.line("the rule was broken");
            1
        }
        Ok(Err(reason)) => {
            record.line(format!("the case could not run: {reason}"));
            COULD_NOT_RUN
        }
        Err(_) => {
            record.line(format!("the case did not end within {CASE_TIMEOUT:?}"));
            COULD_NOT_RUN
        }
    };
    // The script does this too, unless it was killed.
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(code);
}

/// Waits until the script that started the case has ended, also if it was killed.
async fn script_end() {
    let script = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == script {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Waits for a signal that asks the case to stop, or for the end of the script that started it.
async fn stop_signal() -> String {
    let terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
    let Ok(mut terminate) = terminate else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = script_end() => return String::from("its script has ended"),
    }
    String::from("it was stopped by a signal")
}

/// Returns addresses with free ports for a gateway. Each gateway of each run has a loopback address of its
/// own, so that connections of others, which come from 127.0.0.1, do not take the ports meanwhile.
fn free_addresses(count: usize, index: usize) -> std::io::Result<Vec<SocketAddr>> {
    let process = std::process::id();
    let octets = [127, 16 + (process % 200) as u8, (process / 200 % 250) as u8, 1 + index as u8];
    let listeners: Result<Vec<_>, _> =
        (0..count).map(|_| TcpListener::bind((Ipv4Addr::from(octets), 0))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, from the root of the repository.
    pub fn start(
        store: SocketAddr,
        duties: SocketAddr,
        index: usize,
        folder: &Path,
    ) -> Result<Self, String> {
        let addresses = free_addresses(4, index).map_err(|error| error.to_string())?;
        let settings = folder.join(format!("gateway-{index}.toml"));
        let zone = ["hobart-a", "hobart-b", "kingston-c"][index % 3];
        let text = format!(
            r#"vm_name = "front-{zone}-{index}"
zone = "{zone}"
region = "tas-south"
zones = '{{"hobart-a":"tas-south","hobart-b":"tas-south","kingston-c":"tas-south"}}'
first_start = true
cores = 0.5
memory_mb = 280
listen = "{}"
ready = "{}"
metrics = "{}"
peer = "{}"
duties = "{duties}"

[store]
address = "{store}"
partitions = 12
reads_per_s = 2000
record_bytes = 262144
call_bytes = 2097152
least_member_life_ms = 1000

[promises]
drain_ms = 2000
grace_s = 8
lease_ms = 3000
window_s = 5
usage_due_s = 10
results_s = 120
settle_ms = 1000
"#,
            addresses[0], addresses[1], addresses[2], addresses[3],
        );
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = folder.join(format!("gateway-{index}.log"));
        let mut gateway =
            Self { child: None, settings, log, front: addresses[0], ready: addresses[1] };
        gateway.restart()?;
        Ok(gateway)
    }

    /// Kills the process if it runs, and starts it again with the same settings.
    pub fn restart(&mut self) -> Result<(), String> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/hibiscushinged");
        command.arg("--gateway").arg(&self.settings).stdin(Stdio::null());
        command.stdout(Stdio::from(log)).stderr(Stdio::from(errors));
        self.child = Some(command.spawn().map_err(|error| {
            format!(
                "the gateway cannot be started (is the build of the deploy file there?): {error}"
            )
        })?);
        Ok(())
    }

    /// Replaces a line of the settings file, as the platform does when the settings change.
    pub fn change_settings(&self, from: &str, to: &str) -> Result<(), String> {
        let text = std::fs::read_to_string(&self.settings).map_err(|error| error.to_string())?;
        if !text.contains(from) {
            return Err(format!("the settings have no line {from:?}"));
        }
        std::fs::write(&self.settings, text.replace(from, to)).map_err(|error| error.to_string())
    }

    /// Waits for the end of the process after a signal, and returns how long that took.
    pub async fn wait_ended(&mut self, timeout: Duration) -> Result<Duration, String> {
        let started = Instant::now();
        while !self.has_ended() {
            if started.elapsed() > timeout {
                return Err(format!("the process has not ended after {timeout:?}"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(started.elapsed())
    }

    /// Waits until the readiness check answers 200.
    pub async fn wait_ready(&self) -> Result<(), String> {
        for _ in 0..300 {
            if call(self.ready, "GET", "/readyz", &[], b"", Duration::from_secs(1)).await.status
                == 200
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("the gateway at {} is not ready after 15 s", self.front))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let Some(child) = &self.child else { return Err(String::from("the gateway does not run")) };
        let status =
            Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("signal {name} could not be sent: {other:?}")),
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the lines of the log that contain a text.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(String::from).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request on a connection of its own and reads the whole answer.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
        if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            head.push_str("Host: review.example\r\n");
        }
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(bytes)) => parse(&bytes),
        Ok(Err(error)) => failed(&error.to_string()),
        Err(_) => failed("no whole answer in time"),
    }
}

fn failed(reason: &str) -> Answer {
    Answer { status: 0, head: String::new(), body: reason.as_bytes().to_vec() }
}

fn parse(bytes: &[u8]) -> Answer {
    let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") else {
        return failed("the answer ends in its head");
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let body = bytes[end + 4..].to_vec();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    if length.is_some_and(|length| length != body.len()) {
        return failed("the body of the answer is not whole");
    }
    Answer { status, head, body }
}

impl Answer {
    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Returns the headers of a request with this id by the tenant `brewer`.
#[must_use]
pub fn headers(id: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Host", String::from(HOST)),
        ("X-Request-Id", String::from(id)),
        ("Authorization", String::from("Token key-1")),
    ]
}

/// Returns the manifest of a small deployment: two plain routes (`/fetch/` safe, `/once/` unsafe), the
/// public route `/score/` for reward calls and the rollout route `/draft/`.
#[must_use]
pub fn manifest(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "fetch", "host": HOST, "prefix": "/fetch/", "kind": "safe",
             "deadline_ms": 800, "goal_ms": 150, "priority": 2, "service": "portal",
             "attempts": 2, "public": false},
            {"name": "once", "host": HOST, "prefix": "/once/", "kind": "unsafe",
             "deadline_ms": 2000, "goal_ms": 400, "priority": 2, "service": "portal",
             "attempts": 2, "public": false},
            {"name": "score", "host": HOST, "prefix": "/score/", "kind": "safe",
             "deadline_ms": 2000, "goal_ms": 400, "priority": 2, "service": "portal",
             "attempts": 4, "public": true},
            {"name": "draft", "host": HOST, "prefix": "/draft/", "kind": "rollout",
             "deadline_ms": 12000, "goal_ms": 500, "priority": 1, "service": "drafts",
             "attempts": 3, "public": false, "run_target_ms": 7500, "retention_s": 40},
        ],
        "services": [
            {"name": "drafts", "health": "/healthz", "max_conns": 140,
             "engine": {"slots": 8, "models": [{"name": "m0"}]}},
            {"name": "portal", "health": "/healthz", "max_conns": 110},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33_554_432,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "brewer", "keys": ["key-1"]}],
    })
}

/// Returns the body of a batch submission whose items are scored by the plain service. Four
/// consecutive items form a group. `score_body` returns the base64 of the body of an item's reward call.
#[must_use]
pub fn submission(id: &str, items: usize, score_body: impl Fn(usize) -> String) -> Value {
    let items: Vec<Value> = (0..items)
        .map(|index| {
            json!({
                "id": format!("{id}-{index}"),
                "path": "/draft/1",
                "headers": {"X-Model": "m0", "X-Token-Count": "20,350",
                            "X-Prompt-Prefix": format!("a{}:10,b{index}:10", index / 4)},
                "body": "AAEC",
                "tokens": 370,
                "group": format!("g{}", index / 4),
                "scorer": {"id": format!("{id}-{index}-score"), "host": HOST, "path": "/score/1",
                           "body": score_body(index)},
            })
        })
        .collect();
    json!({"step": 1, "model": "m0", "min_version": 1, "target_groups": items.len() / 4,
           "items": items})
}
