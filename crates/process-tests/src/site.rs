//! Gateways as separate processes in front of stand-ins that speak the users' platform.

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use serde_json::{Value, json};
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreOptions,
    rendered_settings,
};

use crate::process::{binary_path, wait_for};

/// Host of all routes.
const HOST: &str = "studio.example";

/// Ports of a gateway on its own loopback address.
const CALLER_PORT: u16 = 18_405;
const READY_PORT: u16 = 18_406;
const METRICS_PORT: u16 = 18_407;

/// Shape of a fleet.
#[derive(Debug, Clone)]
pub struct SiteShape {
    /// Gateways.
    pub gateways: usize,
    /// Model engines.
    pub engines: usize,
    /// Upstreams of the plain service.
    pub services: usize,
    /// Settings of each engine.
    pub engine: EngineOptions,
    /// Settings of each upstream of the plain service.
    pub service: ServiceOptions,
    /// Settings of the store.
    pub store: StoreOptions,
}

/// A running fleet.
#[derive(Debug)]
pub struct SiteFleet {
    /// The store.
    pub store: SiteStore,
    /// Model engines.
    pub engines: Vec<SiteEngine>,
    /// Upstreams of the plain service.
    pub services: Vec<SiteService>,
    /// Gateways.
    pub gateways: Vec<GatewayProcess>,
}

/// A gateway process that ends with its handle.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    address: IpAddr,
}

impl Default for SiteShape {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            gateways: 2,
            engines: 2,
            services: 2,
            engine: EngineOptions {
                listen,
                id: String::new(),
                service: String::from("drafts"),
                zone: String::from("zone-a"),
                models: vec![String::from("m0")],
                slots: 8,
                event_time: Duration::from_millis(20),
                events: 10,
                load_time: Duration::from_millis(300),
                break_every: 0,
                lease: Duration::from_secs(3),
            },
            service: ServiceOptions {
                listen,
                id: String::new(),
                service: String::from("portal"),
                zone: String::from("zone-a"),
                slots: 8,
                work: Duration::from_millis(5),
                lose_every: 0,
            },
            store: StoreOptions::default(),
        }
    }
}

impl SiteFleet {
    /// Starts the stand-ins and gateways, writes the first configuration, and waits until all
    /// gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics when something cannot be started.
    pub async fn start(shape: SiteShape) -> Self {
        let store = SiteStore::start(shape.store.clone()).expect("the store starts");
        let mut engines = Vec::new();
        for index in 0..shape.engines {
            let options = EngineOptions { id: format!("engine-{index}"), ..shape.engine.clone() };
            let engine = SiteEngine::start(options).expect("the engine starts");
            store.put_upstream(engine.id(), &engine.entry());
            engines.push(engine);
        }
        let mut services = Vec::new();
        for index in 0..shape.services {
            let options = ServiceOptions { id: format!("portal-{index}"), ..shape.service.clone() };
            let service = SiteService::start(options).expect("the service starts");
            store.put_upstream(service.id(), &service.entry());
            services.push(service);
        }
        store.put_operator("config", &Self::config(1, &["key-1"]));
        let gateways =
            (0..shape.gateways).map(|index| GatewayProcess::start(store.address(), index, true));
        let fleet = Self { gateways: gateways.collect(), store, engines, services };
        for gateway in &fleet.gateways {
            gateway.wait_ready().await;
        }
        fleet
    }

    /// Returns a configuration with the given keys of the customer `brewer`.
    #[must_use]
    pub fn config(version: u64, keys: &[&str]) -> Value {
        json!({
            "version": version,
            "routes": [
                {"name": "fetch", "host": HOST, "prefix": "/fetch/", "kind": "safe",
                 "deadline_ms": 2000, "goal_ms": 400, "priority": 2, "service": "portal",
                 "attempts": 2, "public": false},
                {"name": "once", "host": HOST, "prefix": "/once/", "kind": "unsafe",
                 "deadline_ms": 2000, "goal_ms": 400, "priority": 2, "service": "portal",
                 "attempts": 2, "public": false},
                {"name": "score", "host": HOST, "prefix": "/score/", "kind": "safe",
                 "deadline_ms": 2000, "goal_ms": 400, "priority": 2, "service": "portal",
                 "attempts": 4, "public": true},
                {"name": "draft", "host": HOST, "prefix": "/draft/", "kind": "rollout",
                 "deadline_ms": 10000, "goal_ms": 500, "priority": 1, "service": "drafts",
                 "attempts": 3, "public": false, "run_target_ms": 7500, "retention_s": 40},
            ],
            "services": [
                {"name": "drafts", "health": "/healthz", "max_conns": 140,
                 "engine": {"slots": 8, "models": [{"name": "m0"}]}},
                {"name": "portal", "health": "/healthz", "max_conns": 100},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "brewer", "keys": keys}],
        })
    }

    /// Returns the headers of a request of the customer `brewer`.
    #[must_use]
    pub fn headers(id: &str) -> Vec<(&'static str, String)> {
        vec![
            ("host", String::from(HOST)),
            ("x-request-id", String::from(id)),
            ("authorization", String::from("Token key-1")),
        ]
    }
}

/// Returns the body of a submission with items that are scored by the plain service.
#[must_use]
pub fn submission(id: &str, items: usize, least_version: u64) -> Value {
    let items = (0..items).map(|index| {
        json!({
            "id": format!("{id}-{index}"),
            "path": "/draft/1",
            "headers": {"X-Model": "m0", "X-Token-Count": "20,350", "X-Prompt-Prefix": "aa:10,bb:10"},
            "body": "AAEC",
            "tokens": 370,
            "group": format!("g{}", index / 4),
            "scorer": {"id": format!("{id}-{index}-score"), "host": HOST, "path": "/score/1",
                       "body": "AAEC"},
        })
    });
    json!({
        "step": 1,
        "model": "m0",
        "min_version": least_version,
        "target_groups": 1,
        "items": items.collect::<Vec<_>>(),
    })
}

impl GatewayProcess {
    /// Starts a gateway on a loopback address of its own.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    #[must_use]
    pub fn start(store: SocketAddr, index: usize, first_start: bool) -> Self {
        static LAST_FLEET: AtomicU32 = AtomicU32::new(0);
        let number = LAST_FLEET.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        // All of 127.0.0.0/8 is loopback, so tests that run at once need no common ports.
        let octets =
            [127, 16 + (process % 200) as u8, (process / 200 % 250) as u8, 1 + number as u8];
        let address = IpAddr::from(Ipv4Addr::from(octets));
        let folder = std::env::temp_dir().join(format!("hibiscushinge-site-{process}"));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let settings = folder.join(format!("gateway-{number}.toml"));
        let text = format!(
            r#"
            vm_name = "vm-{index}"
            zone = "zone-a"
            first_start = {first_start}
            cores = 1.0
            listen = "{address}:{CALLER_PORT}"
            ready = "{address}:{READY_PORT}"
            metrics = "{address}:{METRICS_PORT}"
            duties = "{store}"
            "#,
        ) + &rendered_settings(store, 12, 4500);
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("gateway-{number}.log"));
        let mut process = Self { child: None, settings, log, address };
        process.restart();
        process
    }

    /// Starts the process again, after it was killed.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn restart(&mut self) {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log file can be opened");
        let errors = log.try_clone().expect("the log file can be shared");
        let mut command = Command::new(binary_path("hibiscushinged"));
        command.arg("--gateway").arg(&self.settings);
        command.stdout(Stdio::from(log)).stderr(Stdio::from(errors));
        self.child = Some(command.spawn().expect("the daemon starts; run `cargo xtask test`"));
    }

    /// Address of callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLER_PORT)
    }

    /// Address of the readiness check.
    #[must_use]
    pub const fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.address, READY_PORT)
    }

    /// Address of the metrics page.
    #[must_use]
    pub const fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.address, METRICS_PORT)
    }

    /// Returns the log lines so far, those of earlier starts included.
    #[must_use]
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Waits until the gateway is ready.
    pub async fn wait_ready(&self) {
        let ready = self.ready();
        wait_for("a gateway that is ready", || async move {
            let answer = crate::get(ready, "/readyz", &[]).await;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Ends the process as a failed VM does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors mean that the process has ended, which is what was asked for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, for example `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "signal {name} to process {id}");
    }

    /// Tells whether the process has ended by itself, with its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.as_mut()?.try_wait().ok().flatten().and_then(|status| status.code())
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
