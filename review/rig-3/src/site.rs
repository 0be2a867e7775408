//! A small deployment on loopback: a store, gateways and engines.

use std::{
    fs::File,
    io::Write as _,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use site_stand_in::{ServiceOptions, SiteService, SiteStore, StoreOptions};
use tokio::{
    io::{AsyncBufReadExt as _, BufReader},
    net::TcpStream,
    process::{Child, Command},
    sync::Notify,
};

use crate::http;

pub const HOST: &str = "studio.example";
pub const KEY: &str = "Token key-1";

/// What was sent, answered and run, in the order of the driver's clock.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<(File, Vec<String>)>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { lines: Arc::new(Mutex::new((file, Vec::new()))), started: Instant::now() })
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.started.elapsed().as_secs_f64(), line.as_ref());
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines.0, "{line}");
        lines.1.push(line);
    }

    /// Returns the lines so far that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines.1.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A temporary folder, which is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("rig-3-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns whether the disruption of the case is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Returns a loopback address of its own for a process. The address follows from the process id of the
/// driver and a counter, so that drivers that run at the same time need no agreement.
fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let octets =
        [127, 16 + (process % 200) as u8, (process / 200 % 250) as u8, 1 + (number % 250) as u8];
    Ipv4Addr::from(octets)
}

/// Returns addresses of a process with different ports that were free a moment ago.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let ip = own_ip();
    let listeners =
        [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a loopback address has a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound listener has an address"))
}

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Settings of a gateway besides its addresses.
#[derive(Clone)]
pub struct GatewayOptions {
    pub cores: f64,
    pub memory_mb: u32,
    pub store: SocketAddr,
    pub duties: SocketAddr,
}

impl Gateway {
    /// Writes the settings file that the template of the deploy file gives. `first_start` is the
    /// platform's `bootstrap`.
    pub fn new(folder: &Path, index: usize, options: &GatewayOptions) -> Self {
        let name = format!("front-zone-a-{index}");
        let [address, ready, metrics, peer] = free_addresses();
        let gateway = Self {
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            name,
            address,
            ready,
            child: None,
        };
        let text = format!(
            "vm_name = \"{}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
             zones = '{{\"zone-a\":\"region-a\"}}'\nfirst_start = FIRST\ncores = {}\nmemory_mb = {}\n\
             listen = \"{address}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\npeer = \"{peer}\"\n\
             duties = \"{}\"\n\n[store]\naddress = \"{}\"\npartitions = 12\nreads_per_s = 2000\n\
             record_bytes = 262144\ncall_bytes = 2097152\nleast_member_life_ms = 1000\n\n[promises]\n\
             drain_ms = 2000\ngrace_s = 8\nlease_ms = 3000\nwindow_s = 5\nusage_due_s = 10\n\
             results_s = 120\nsettle_ms = 1000\nstable_ms = 3000\n",
            gateway.name, options.cores, options.memory_mb, options.duties, options.store
        );
        std::fs::write(&gateway.settings, text.replace("FIRST", "true")).expect("settings");
        gateway
    }

    pub fn start(&mut self, program: &Path, record: &Record) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command.arg("--gateway").arg(&self.settings).kill_on_drop(true);
        command.stdout(Stdio::from(log.try_clone()?)).stderr(Stdio::from(log));
        let child = command.spawn()?;
        // For the script, which ends the gateways if the driver is killed.
        let pids = self.settings.with_file_name("pids");
        if let Some(id) = child.id() {
            writeln!(File::options().create(true).append(true).open(pids)?, "{id}")?;
        }
        self.child = Some(child);
        record.note(format!("gateway {} started", self.name));
        Ok(())
    }

    /// Starts the process again. The system has started before, so `first_start` is false.
    pub fn restart(&mut self, program: &Path, record: &Record) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace("first_start = true", "first_start = false"))?;
        self.start(program, record)
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends a signal to the process by name, for example `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let _ = std::process::Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits until the readiness check succeeds.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            let answer =
                http::send(self.ready, "GET", "/readyz", &[("Host", HOST)], b"", second).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Returns the log lines of this process and earlier ones that say that an item was started.
    fn start_lines(&self, item: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let item = format!("\"item\":\"{item}\"");
        let lines =
            text.lines().filter(|line| line.contains("ItemStarted") && line.contains(&item));
        lines.map(String::from).collect()
    }

    /// Returns how often the gateway has started an item.
    pub fn starts(&self, item: &str) -> usize {
        self.start_lines(item).len()
    }

    /// Returns the time stamp of its last start of an item.
    pub fn last_start(&self, item: &str) -> Option<String> {
        let line = self.start_lines(item).pop()?;
        line.split('"').nth(3).map(String::from)
    }

    /// Returns the peak of the memory that the process holds, in kB.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = text.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// An engine process.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    /// Proxy through which the gateways reach the engine, if there is one.
    proxy: Option<Proxy>,
    arguments: Vec<String>,
    child: Option<Child>,
}

impl Engine {
    pub fn new(index: usize, arguments: &[(&str, String)]) -> Self {
        let arguments =
            arguments.iter().flat_map(|(name, value)| [String::from(*name), value.clone()]);
        Self {
            id: format!("i-engine-{index}"),
            address: free_addresses::<1>()[0],
            proxy: None,
            arguments: arguments.collect(),
            child: None,
        }
    }

    /// Has the gateways reach the engine through a proxy.
    pub async fn with_proxy(mut self) -> std::io::Result<Self> {
        self.proxy = Some(Proxy::start(self.address).await?);
        Ok(self)
    }

    /// Silences the open connections of the proxy for good, without a reset. New ones work.
    pub fn silence(&self) {
        if let Some(proxy) = &self.proxy {
            proxy.epoch.fetch_add(1, Ordering::AcqRel);
            proxy.changed.notify_waiters();
        }
    }

    /// Starts the process and writes its entry. What it reports is copied into the record.
    pub async fn start(&mut self, store: &SiteStore, record: &Record) -> std::io::Result<()> {
        let born = unix_ms();
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("engine").args(["--id", &self.id, "--born", &born.to_string()]);
        command.args(["--listen", &self.address.to_string(), "--model", "m0", "--slots", "8"]);
        command.args(&self.arguments).stdin(Stdio::piped());
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.kill_on_drop(true).spawn()?;
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let first = tokio::time::timeout(Duration::from_secs(5), lines.next_line()).await;
        if !matches!(first, Ok(Ok(Some(_)))) {
            return Err(std::io::Error::other("the engine did not start"));
        }
        let copy = record.clone();
        actix_rt::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                copy.note(format!("engine {}", line.split_once(' ').map_or("", |(_, rest)| rest)));
            }
        });
        self.child = Some(child);
        store.put_upstream(
            &self.id,
            &json!({
                "service": "drafts", "address": self.proxy.as_ref().map_or(self.address, |proxy| proxy.address), "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "warmup_ms": 0, "seqno": 0, "born": born,
                "models": [{"name": "m0", "version": 1, "adapters": []}],
            }),
        );
        record.note(format!("engine started {} born {born}", self.id));
        Ok(())
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }
}

/// Passes connections on to an engine, and can silence the open ones.
struct Proxy {
    address: SocketAddr,
    epoch: Arc<AtomicU32>,
    changed: Arc<Notify>,
}

impl Proxy {
    async fn start(engine: SocketAddr) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind((own_ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (epoch, changed) = (Arc::new(AtomicU32::new(0)), Arc::new(Notify::new()));
        let proxy = Self { address, epoch: Arc::clone(&epoch), changed: Arc::clone(&changed) };
        actix_rt::spawn(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let (epoch, changed) = (Arc::clone(&epoch), Arc::clone(&changed));
                actix_rt::spawn(async move {
                    let opened_in = epoch.load(Ordering::Acquire);
                    let Ok(mut server) = TcpStream::connect(engine).await else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let silenced = async {
                        while epoch.load(Ordering::Acquire) == opened_in {
                            let notified = changed.notified();
                            if epoch.load(Ordering::Acquire) == opened_in {
                                notified.await;
                            }
                        }
                    };
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => return,
                        () = silenced => {}
                    }
                    // Both ends stay open, and nothing passes any more.
                    std::future::pending::<()>().await;
                });
            }
        });
        Ok(proxy)
    }
}

/// Starts upstreams of the plain service and writes their entries.
pub fn start_portals(
    store: &SiteStore,
    service: &str,
    count: usize,
    service_time: Duration,
) -> Vec<SiteService> {
    let portals = (0..count).map(|index| {
        let options = ServiceOptions {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            id: format!("i-{service}-{index}"),
            service: String::from(service),
            zone: String::from("zone-a"),
            slots: 8,
            service_time,
            lose_response_every: 0,
            crash_marker: None,
            crash_delay: Duration::ZERO,
            down_time: Duration::from_secs(1),
        };
        let portal = SiteService::start(options).expect("a portal can listen on loopback");
        store.put_upstream(portal.id(), &portal.entry());
        portal
    });
    portals.collect()
}

pub fn start_store() -> SiteStore {
    SiteStore::start(StoreOptions::default()).expect("the store can listen on loopback")
}

/// Returns a manifest with the route of the submissions (`attempts` as given), that of the reward
/// calls, which goes to the service `scorer`, and a plain one.
pub fn manifest(version: u64, attempts: u32, scorer: &str) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "fetch", "host": HOST, "prefix": "/fetch/", "kind": "safe", "deadline_ms": 2000,
             "goal_ms": 400, "priority": 2, "service": "portal", "attempts": 2, "public": false},
            {"name": "score", "host": HOST, "prefix": "/score/", "kind": "safe", "deadline_ms": 2000,
             "goal_ms": 400, "priority": 2, "service": scorer, "attempts": 4, "public": true},
            {"name": "draft", "host": HOST, "prefix": "/draft/", "kind": "rollout",
             "deadline_ms": 10000, "goal_ms": 500, "priority": 1, "service": "drafts",
             "attempts": attempts, "public": false, "run_target_ms": 7500, "retention_s": 40},
        ],
        "services": [
            {"name": "drafts", "health": "/healthz", "max_conns": 140,
             "engine": {"slots": 8, "models": [{"name": "m0"}]}},
            {"name": "portal", "health": "/healthz", "max_conns": 110},
            {"name": "portal-new", "health": "/healthz", "max_conns": 110},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "brewer", "keys": ["key-1"]}],
    })
}

/// Returns the body of a submission with these items, all of one group.
pub fn submission(items: &[&str]) -> Value {
    let items = items.iter().map(|id| {
        json!({
            "id": id, "path": "/draft/1", "body": "AAEC", "tokens": 370, "group": "g1",
            "headers": {"X-Model": "m0", "X-Token-Count": "20,350", "X-Prompt-Prefix": "aa:10,bb:10"},
            "scorer": {"id": format!("{id}-score"), "host": HOST, "path": "/score/1", "body": "AAEC"},
        })
    });
    json!({"step": 0, "model": "m0", "min_version": 1, "target_groups": 1,
           "items": items.collect::<Vec<_>>()})
}

/// Returns the program of the deploy file's command. The rig's build folder is inside of that of the
/// repository.
pub fn gateway_program() -> PathBuf {
    std::env::var_os("GATEWAY")
        .map_or_else(|| PathBuf::from("target/release/hibiscushinged"), PathBuf::from)
}
