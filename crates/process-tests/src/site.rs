//! Gateways as separate processes, in front of in-process stand-ins for the users' platform.

use std::{
    fs::{File, Permissions},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    os::unix::fs::PermissionsExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use serde_json::{Value, json};
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreOptions,
    rendered_settings,
};

use crate::{
    process::{binary_path, memory_and_descriptors, wait_for},
    relay::TcpRelay,
};

/// Host name of all routes.
const HOST: &str = "studio.example";

/// Ports of a gateway. They are the same for all gateways, since each has a loopback address of its
/// own.
const CALLER_PORT: u16 = 18_405;
const READY_PORT: u16 = 18_406;
const METRICS_PORT: u16 = 18_407;
const PEER_PORT: u16 = 18_408;

/// Size of a [`SiteFleet`] and options of its stand-ins.
#[derive(Debug, Clone)]
pub struct SiteOptions {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of model engines with the next version of the software, besides those.
    pub newer_engines: usize,
    /// Number of upstreams of the plain service.
    pub services: usize,
    /// Options of each engine. The identifiers are set by [`SiteFleet::start`].
    pub engine: EngineOptions,
    /// Options of each upstream of the plain service. The identifiers are set by
    /// [`SiteFleet::start`].
    pub service: ServiceOptions,
    /// Options of the store.
    pub store: StoreOptions,
    /// Whether the gateways reach each upstream through a relay.
    pub relayed: bool,
}

/// Running gateways with their store and upstreams.
#[derive(Debug)]
pub struct SiteFleet {
    /// Store of the platform.
    pub store: SiteStore,
    /// Model engines.
    pub engines: Vec<SiteEngine>,
    /// Upstreams of the plain service.
    pub services: Vec<SiteService>,
    /// Relays in front of the engines and the plain service, if [`SiteOptions::relayed`] is set.
    pub relays: Vec<TcpRelay>,
    /// Gateways, in the order of their VM names.
    pub gateways: Vec<GatewayProcess>,
}

/// A gateway process, which is killed when its handle is dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    address: IpAddr,
}

impl Default for SiteOptions {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            gateways: 2,
            engines: 2,
            newer_engines: 0,
            services: 2,
            engine: EngineOptions {
                listen,
                id: String::new(),
                service: String::from("drafts"),
                zone: String::from("zone-a"),
                software_version: String::from("v1"),
                started_at_ms: 1,
                models: vec![String::from("m0")],
                slots: 8,
                event_interval: Duration::from_millis(20),
                events: 10,
                load_time: Duration::from_millis(300),
                break_stream_every: 0,
                lease: Duration::from_secs(3),
            },
            service: ServiceOptions {
                listen,
                id: String::new(),
                service: String::from("portal"),
                zone: String::from("zone-a"),
                slots: 8,
                service_time: Duration::from_millis(5),
                lose_response_every: 0,
                crash_marker: None,
                crash_delay: Duration::ZERO,
                down_time: Duration::from_secs(1),
            },
            store: StoreOptions::default(),
            relayed: false,
        }
    }
}

impl SiteFleet {
    /// Starts the stand-ins and gateways, writes the first configuration, and waits until all
    /// gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics when a part cannot be started or a gateway does not become ready within 60 s.
    pub async fn start(options: SiteOptions) -> Self {
        let store = SiteStore::start(options.store.clone())
            .expect("the store stand-in can listen on loopback");
        let mut relays = Vec::new();
        let mut engines = Vec::new();
        for index in 0..options.engines + options.newer_engines {
            let mut engine_options =
                EngineOptions { id: format!("engine-{index}"), ..options.engine.clone() };
            if index >= options.engines {
                engine_options.software_version = String::from("v2");
            }
            let engine = SiteEngine::start(engine_options)
                .expect("the engine stand-in can listen on loopback");
            let mut entry = engine.entry();
            if options.relayed {
                relays.push(relay_entry(&mut entry, engine.address()).await);
            }
            store.put_upstream(engine.id(), &entry);
            engines.push(engine);
        }
        let mut services = Vec::new();
        for index in 0..options.services {
            let service_options =
                ServiceOptions { id: format!("portal-{index}"), ..options.service.clone() };
            let service = SiteService::start(service_options)
                .expect("the plain service stand-in can listen on loopback");
            let mut entry = service.entry();
            if options.relayed {
                relays.push(relay_entry(&mut entry, service.address()).await);
            }
            store.put_upstream(service.id(), &entry);
            services.push(service);
        }
        store.put_operator_key("config", &Self::config(1, &["key-1"]));
        let gateways =
            (0..options.gateways).map(|index| GatewayProcess::start(store.address(), index, true));
        let fleet = Self { gateways: gateways.collect(), store, engines, services, relays };
        for gateway in &fleet.gateways {
            gateway.wait_ready().await;
        }
        fleet
    }

    /// Waits until all upstreams of the plain service accept connections, and writes their entries
    /// as they are now. A crashed one has another process then.
    pub async fn announce_services(&self) {
        for service in &self.services {
            wait_for("a connection to an upstream of the plain service", || async {
                tokio::net::TcpStream::connect(service.address()).await.ok()
            })
            .await;
            self.store.put_upstream(service.id(), &service.entry());
        }
    }

    /// Returns a configuration with two non-public plain routes (`/fetch/` idempotent, `/once/`
    /// not), the public route `/score/`, the rollout route `/draft/`, the resumable stream route
    /// `/talk/`, and the customer `brewer` with these keys.
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
                {"name": "talk", "host": HOST, "prefix": "/talk/", "kind": "stream",
                 "deadline_ms": 10000, "goal_ms": 500, "priority": 1, "service": "drafts",
                 "attempts": 3, "public": false, "can_resume": true},
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

    /// Returns the headers of a request with this identifier by the customer `brewer`, with
    /// `key-1`.
    #[must_use]
    pub fn headers(id: &str) -> Vec<(&'static str, String)> {
        vec![
            ("host", String::from(HOST)),
            ("x-request-id", String::from(id)),
            ("authorization", String::from("Token key-1")),
        ]
    }
}

/// Starts a relay to an upstream, and names it in the upstream's entry in place of the upstream.
async fn relay_entry(entry: &mut Value, target: SocketAddr) -> TcpRelay {
    let relay = TcpRelay::start().await;
    relay.set_target(target);
    entry["address"] = json!(relay.address().to_string());
    relay
}

/// Returns the body of a submission whose items are scored by the plain service. No token may come
/// from weights older than `min_version`. Each four consecutive items form a group.
#[must_use]
pub fn submission_body(id: &str, items: usize, min_version: u64) -> Value {
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
        "min_version": min_version,
        "target_groups": 1,
        "items": items.collect::<Vec<_>>(),
    })
}

impl GatewayProcess {
    /// Starts a gateway on a loopback address of its own, as VM `vm-{index}`. `first_start` is the
    /// setting of that name.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    #[must_use]
    pub fn start(store: SocketAddr, index: usize, first_start: bool) -> Self {
        static NEXT_GATEWAY_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_GATEWAY_NUMBER.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        // All of 127.0.0.0/8 is loopback. The address follows from the process id and a counter, so
        // that tests that run at the same time need no agreement on ports.
        let octets =
            [127, 16 + (process % 200) as u8, (process / 200 % 250) as u8, 1 + number as u8];
        let address = IpAddr::from(Ipv4Addr::from(octets));
        let folder = std::env::temp_dir().join(format!("hibiscushinge-site-{process}"));
        std::fs::create_dir_all(&folder)
            .expect("the folder of the gateway's log and settings can be created");
        let settings = folder.join(format!("gateway-{number}.toml"));
        let text = format!(
            r#"
            vm_name = "vm-{index}"
            zone = "zone-a"
            region = "region-a"
            zones = '{{"zone-a":"region-a","zone-b":"region-b"}}'
            first_start = {first_start}
            cores = 1.0
            memory_mb = 120
            listen = "{address}:{CALLER_PORT}"
            ready = "{address}:{READY_PORT}"
            metrics = "{address}:{METRICS_PORT}"
            peer = "{address}:{PEER_PORT}"
            duties = "{store}"
            "#,
        ) + &rendered_settings(store, 12, 4500);
        std::fs::write(&settings, text).expect("the gateway's settings file can be written");
        let log = folder.join(format!("gateway-{number}.log"));
        let mut process = Self { child: None, settings, log, address };
        process.restart();
        process
    }

    /// Replaces a line of the settings file, as the platform does when the settings change. The
    /// process reads it at its next start.
    ///
    /// # Panics
    ///
    /// Panics when the file has no such line, or cannot be written.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings);
        let text = text.expect("the gateway's settings file can be read");
        assert!(text.contains(from), "the settings have no line \"{from}\"");
        std::fs::write(&self.settings, text.replace(from, to))
            .expect("the gateway's settings file can be written");
    }

    /// Kills the process if it runs, and starts it again with the same settings, addresses and log
    /// file.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn restart(&mut self) {
        self.restart_as(&binary_path("hibiscushinged"));
    }

    /// Does what [`Self::restart`] does with another build of the daemon.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn restart_as(&mut self, program: &Path) {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the gateway's log file can be opened");
        let stderr =
            log.try_clone().expect("the gateway's log file can be used for both output streams");
        let mut command = Command::new(program);
        command.arg("--gateway").arg(&self.settings);
        command.stdout(Stdio::from(log)).stderr(Stdio::from(stderr));
        self.child = Some(
            command.spawn().expect("hibiscushinged can be started; `cargo xtask test` builds it"),
        );
    }

    /// Does what [`Self::restart`] does, with a limit on the open descriptors of the process.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn restart_with_descriptors(&mut self, limit: usize) {
        let program = self.settings.with_extension("sh");
        let daemon = binary_path("hibiscushinged");
        let script = format!("#!/bin/sh\nulimit -n {limit}\nexec '{}' \"$@\"\n", daemon.display());
        std::fs::write(&program, script).expect("the script can be written");
        std::fs::set_permissions(&program, Permissions::from_mode(0o755))
            .expect("the script can be made executable");
        self.restart_as(&program);
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLER_PORT)
    }

    /// Returns the address of the readiness check.
    #[must_use]
    pub const fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, READY_PORT)
    }

    /// Returns the address of the metrics page.
    #[must_use]
    pub const fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, METRICS_PORT)
    }

    /// Returns the address for other gateways.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, PEER_PORT)
    }

    /// Returns the process id, or `None` after [`Self::kill`].
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the log lines so far, those of earlier starts included. Lines that are not JSON are
    /// left out.
    #[must_use]
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Waits until the readiness check of the gateway succeeds.
    pub async fn wait_ready(&self) {
        let ready_address = self.ready_address();
        wait_for("status 200 from the gateway's readiness check", || async move {
            let response = crate::get(ready_address, "/readyz", &[]).await;
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Kills the process without notice, as the failure of its VM would, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, for example `STOP`, `CONT` or `TERM`. Does nothing after
    /// [`Self::kill`].
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "cannot send signal {name} to process {id}"
        );
    }

    /// Returns the largest amount of memory in bytes that the process has held so far, or `None` if it
    /// does not run.
    #[must_use]
    pub fn peak_memory(&self) -> Option<u64> {
        memory_and_descriptors(self.id()?).map(|(memory, _)| memory)
    }

    /// Returns the exit code if the process has ended by itself. Returns `None` while it runs,
    /// after [`Self::kill`], and if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.as_mut()?.try_wait().ok().flatten().and_then(|status| status.code())
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
