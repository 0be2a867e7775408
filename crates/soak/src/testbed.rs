//! The test bed of a run: gateways, stand-ins and relays, the course of the run, and its report.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use process_tests::{GatewayProcess, SiteFleet, SiteOptions, TcpRelay};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreOptions,
};

use crate::{SoakOptions, callers, crashing, faults, streams, trainer};

/// Time after the last fault within which the trainer must complete all submissions.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(45);

/// Time between two writes of the upstream entries to the store.
const ENTRY_WRITE_PERIOD: Duration = Duration::from_millis(500);

/// Keys in one page of the store.
const PAGE_KEYS: usize = 20;

/// Number of plain services that the gateways reach without a relay.
const DIRECT_SERVICES: usize = 6;

/// Time for which a crashed upstream refuses connections.
const DOWN_TIME: Duration = Duration::from_millis(800);

/// Time that a request to the slow service takes. The last sixth of the grace of a planned stop, 8 s,
/// begins after 6.67 s.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(6_600);

/// Number of events of a complete stream of an engine.
pub(crate) const EVENTS_PER_STREAM: u64 = 10;

/// Callers of event streams.
const STREAM_CALLERS: usize = 2;

/// Requests per second that one engine and one plain service accept from all gateways together.
const UPSTREAM_LIMIT: f64 = 4.0;

/// Time after which all gateways must keep to a limit.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time over which the requests to a limited upstream are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Violations that a run found, and statistics of the run.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Descriptions of the violated guarantees. Empty if the run passed.
    pub violations: Vec<String>,
    /// Number of occurrences of each kind of event, by its name.
    pub counts: BTreeMap<&'static str, u64>,
    /// Faults in the order in which they started, each with its time in milliseconds since the
    /// start.
    pub faults: Vec<String>,
}

/// A gateway process, with the relay through which it reaches the store.
pub(crate) struct SoakNode {
    pub(crate) process: GatewayProcess,
    pub(crate) store_relay: TcpRelay,
    /// Whether a fault has stopped or paused the process, or is stopping it.
    pub(crate) unavailable: bool,
    /// Number of restarts so far.
    pub(crate) restarts: usize,
}

/// An engine or a plain service, with the relay through which all gateways reach it.
pub(crate) struct SoakUpstream<T> {
    pub(crate) upstream: T,
    pub(crate) relay: TcpRelay,
}

/// All parts of a run, shared by the tasks of its callers, its trainer and its faults.
pub(crate) struct SoakTestbed {
    pub(crate) options: SoakOptions,
    pub(crate) store: SiteStore,
    pub(crate) nodes: RefCell<Vec<SoakNode>>,
    pub(crate) engines: Vec<SoakUpstream<SiteEngine>>,
    pub(crate) services: Vec<SoakUpstream<SiteService>>,
    /// Plain services without a relay. A relay accepts connections while its service is down.
    pub(crate) direct: Vec<SiteService>,
    /// The service of the route `/slow/`, whose requests take [`SLOW_SERVICE_TIME`].
    pub(crate) slow: SiteService,
    pub(crate) report: RefCell<SoakReport>,
    /// Newest weight version that the trainer has published.
    pub(crate) weight_version: RefCell<u64>,
    /// Newest version of the configuration.
    config_version: Cell<u64>,
    /// Whether the fault period is over, so that callers and trainer finish.
    pub(crate) stopping: RefCell<bool>,
}

impl SoakTestbed {
    /// Starts the stand-ins, relays and gateways, and waits until the gateways are ready.
    pub(crate) async fn start(options: SoakOptions) -> Rc<Self> {
        let site_options = SiteOptions::default();
        // Submissions with similar identifiers fill several pages of keys.
        let store_options = StoreOptions { page_keys: PAGE_KEYS, ..site_options.store.clone() };
        let store =
            SiteStore::start(store_options).expect("the store stand-in can listen on loopback");
        let mut engines = Vec::new();
        for index in 0..options.engines {
            // Two versions of the software serve side by side.
            let engine = EngineOptions {
                id: format!("engine-{index}"),
                software_version: format!("v{}", 1 + index % 2),
                started_at_ms: 1,
                ..site_options.engine.clone()
            };
            let upstream =
                SiteEngine::start(engine).expect("an engine stand-in can listen on loopback");
            let relay = TcpRelay::start().await;
            relay.set_target(upstream.address());
            engines.push(SoakUpstream { upstream, relay });
        }
        let mut services = Vec::new();
        for index in 0..2 {
            let service = ServiceOptions {
                id: format!("portal-{index}"),
                lose_response_every: 23,
                crash_marker: Some(String::from(crashing::CRASH_MARKER)),
                crash_delay: crashing::CRASH_DELAY,
                down_time: DOWN_TIME,
                ..site_options.service.clone()
            };
            let upstream = SiteService::start(service)
                .expect("a plain service stand-in can listen on loopback");
            let relay = TcpRelay::start().await;
            relay.set_target(upstream.address());
            services.push(SoakUpstream { upstream, relay });
        }
        let direct = (0..DIRECT_SERVICES).map(|index| {
            let service = ServiceOptions {
                id: format!("direct-{index}"),
                crash_marker: Some(String::from(crashing::CRASH_MARKER)),
                crash_delay: crashing::CRASH_DELAY,
                down_time: DOWN_TIME,
                ..site_options.service.clone()
            };
            SiteService::start(service).expect("a plain service stand-in can listen on loopback")
        });
        let direct = direct.collect();
        let slow = SiteService::start(ServiceOptions {
            id: String::from("slow-0"),
            service: String::from("slow"),
            service_time: SLOW_SERVICE_TIME,
            ..site_options.service.clone()
        });
        let slow = slow.expect("a plain service stand-in can listen on loopback");
        store.put_operator_key("config", &config(1, &["key-1"]));
        let mut nodes = Vec::new();
        for index in 0..options.gateways {
            let store_relay = TcpRelay::start().await;
            store_relay.set_target(store.address());
            let process = GatewayProcess::start(store_relay.address(), index, true);
            nodes.push(SoakNode { process, store_relay, unavailable: false, restarts: 0 });
        }
        let testbed = Self {
            options,
            store,
            nodes: RefCell::new(nodes),
            engines,
            services,
            direct,
            slow,
            report: RefCell::new(SoakReport { seed: options.seed, ..Default::default() }),
            weight_version: RefCell::new(1),
            config_version: Cell::new(1),
            stopping: RefCell::new(false),
        };
        testbed.write_entries();
        testbed.wait_ready().await;
        Rc::new(testbed)
    }

    /// Waits until the readiness check of each gateway succeeds.
    pub(crate) async fn wait_ready(&self) {
        let addresses: Vec<_> =
            self.nodes.borrow().iter().map(|node| node.process.ready_address()).collect();
        for address in addresses {
            process_tests::wait_for("a gateway that is ready", || async move {
                let response = process_tests::get(address, "/readyz", &[]).await;
                (response.status == 200).then_some(())
            })
            .await;
        }
    }

    /// Writes the entries of all upstreams to the store, with the addresses of their relays.
    pub(crate) fn write_entries(&self) {
        for engine in &self.engines {
            let mut entry = engine.upstream.entry();
            entry["address"] = engine.relay.address().to_string().into();
            self.store.put_upstream(engine.upstream.id(), &entry);
        }
        for service in &self.services {
            let mut entry = service.upstream.entry();
            entry["address"] = service.relay.address().to_string().into();
            self.store.put_upstream(service.upstream.id(), &entry);
        }
        for service in self.direct.iter().chain([&self.slow]) {
            self.store.put_upstream(service.id(), &service.entry());
        }
    }

    /// Puts the next version of the configuration in force. Without `scored`, it lacks the route of the
    /// reward calls.
    pub(crate) fn change_config(&self, scored: bool) {
        let version = self.config_version.get() + 1;
        self.config_version.set(version);
        let mut config = config(version, &["key-1", "key-2"]);
        if !scored && let Some(routes) = config["routes"].as_array_mut() {
            routes.retain(|route| route["name"] != "score");
        }
        self.store.put_operator_key("config", &config);
    }

    /// Writes the entries periodically, since they name the weight versions that the engines have
    /// loaded.
    async fn refresh_entries(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ENTRY_WRITE_PERIOD).await;
            self.write_entries();
        }
    }

    pub(crate) fn count(&self, what: &'static str) {
        self.add(what, 1);
    }

    pub(crate) fn add(&self, what: &'static str, count: u64) {
        *self.report.borrow_mut().counts.entry(what).or_default() += count;
    }

    /// Returns how often an upstream has crashed under a request.
    pub(crate) fn crashes(&self) -> u64 {
        self.all_services().map(SiteService::crashes).sum()
    }

    /// Returns all plain services.
    fn all_services(&self) -> impl Iterator<Item = &SiteService> {
        self.services.iter().map(|service| &service.upstream).chain(&self.direct)
    }

    pub(crate) fn report_violation(&self, what: String) {
        self.report.borrow_mut().violations.push(what);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Injects faults for the fault period, ends them, waits for callers and trainer, and checks
    /// what must hold then.
    pub(crate) async fn run(self: Rc<Self>) -> SoakReport {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed);
        actix_rt::spawn(Rc::clone(&self).refresh_entries());
        let mut callers = Vec::new();
        for index in 0..self.options.callers {
            callers.push(actix_rt::spawn(callers::run(Rc::clone(&self), index)));
        }
        callers.push(actix_rt::spawn(crashing::run(Rc::clone(&self))));
        for index in 0..STREAM_CALLERS {
            callers.push(actix_rt::spawn(streams::run(Rc::clone(&self), index)));
        }
        self.engines[0].upstream.set_limit(Some(UPSTREAM_LIMIT));
        self.direct[0].set_limit(Some(UPSTREAM_LIMIT));
        let limited_at = Instant::now();
        let trainer = actix_rt::spawn(trainer::run(Rc::clone(&self)));
        let mut wide_random = ChaCha8Rng::seed_from_u64(self.options.seed);
        wide_random.set_stream(1);
        let mut silence_random = ChaCha8Rng::seed_from_u64(self.options.seed);
        silence_random.set_stream(2);
        tokio::join!(
            faults::inject(&self, &mut random),
            faults::inject_wide(&self, &mut wide_random),
            faults::inject_silence(&self, &mut silence_random)
        );
        faults::end_faults(&self).await;
        *self.stopping.borrow_mut() = true;
        for caller in callers {
            if let Err(error) = caller.await {
                self.report_violation(format!("caller task failed: {error}"));
            }
        }
        match tokio::time::timeout(SETTLE_TIMEOUT, trainer).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => self.report_violation(format!("trainer task failed: {error}")),
            Err(_) => self.report_violation(String::from(
                "submissions were not complete within the settle timeout after the faults",
            )),
        }
        self.check_upstreams();
        self.check_limits(limited_at + LIMIT_SETTLE_TIME);
        self.report.borrow().clone()
    }

    /// Adds the violations that the stand-ins observed, and gateways that exited unexpectedly.
    fn check_upstreams(&self) {
        for violation in self.store.violations() {
            self.report_violation(format!("store: {violation}"));
        }
        for engine in &self.engines {
            for violation in engine.upstream.violations() {
                self.report_violation(format!("{}: {violation}", engine.upstream.id()));
            }
        }
        let repeated = self.all_services().flat_map(SiteService::repeated_requests);
        for request in repeated.filter(|request| request.starts_with("once-")) {
            self.report_violation(format!(
                "non-idempotent request {request} ran more than once on one upstream"
            ));
        }
        let mut nodes = self.nodes.borrow_mut();
        for node in nodes.iter_mut().filter(|node| !node.unavailable) {
            if let Some(code) = node.process.exit_code() {
                self.report_violation(format!("a gateway exited unexpectedly with code {code}"));
            }
        }
    }

    /// Adds a violation for each limited upstream that got more requests than the gateways may send
    /// in any [`LIMIT_WINDOW`] from `since` on: one and a half times the limit, and five more.
    fn check_limits(&self, since: Instant) {
        let allowed = (UPSTREAM_LIMIT * LIMIT_WINDOW.as_secs_f64() * 1.5) as usize + 5;
        let engine = &self.engines[0].upstream;
        let service = &self.direct[0];
        let busiest = [
            (engine.id(), engine.busiest(LIMIT_WINDOW, since)),
            (service.id(), service.busiest(LIMIT_WINDOW, since)),
        ];
        for (upstream, requests) in busiest {
            if requests > allowed {
                self.report_violation(format!(
                    "{upstream} names a limit of {UPSTREAM_LIMIT} requests per second and got \
                     {requests} in {LIMIT_WINDOW:?}; {allowed} are allowed"
                ));
            }
        }
    }

    /// Returns the number of plain services on which a request has run.
    pub(crate) fn runs_of(&self, request: &str) -> usize {
        self.all_services().filter(|service| service.has_run(request)).count()
    }
}

/// Returns the configuration of the test fleet with the route `/slow/`.
fn config(version: u64, keys: &[&str]) -> Value {
    let mut config = SiteFleet::config(version, keys);
    let mut route = config["routes"][1].clone();
    route["name"] = "slow".into();
    route["prefix"] = "/slow/".into();
    route["service"] = "slow".into();
    route["deadline_ms"] = 10_000.into();
    let service = json!({"name": "slow", "health": "/healthz", "max_conns": 100});
    for (list, entry) in [("routes", route), ("services", service)] {
        config[list].as_array_mut().expect("the configuration has this list").push(entry);
    }
    config
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.violations.is_empty() { "passed" } else { "FAILED" };
        writeln!(f, "seed {} {verdict}", self.seed)?;
        let counts = self.counts.iter().map(|(name, count)| format!("{name} {count}"));
        writeln!(f, "  {}", counts.collect::<Vec<_>>().join(", "))?;
        for line in &self.violations {
            writeln!(f, "  broken: {line}")?;
        }
        if !self.violations.is_empty() {
            writeln!(f, "  faults: {}", self.faults.join("; "))?;
            writeln!(f, "  to repeat: cargo run --release --bin soak -- --seed {}", self.seed)?;
        }
        Ok(())
    }
}
