//! The fleet under test, its course, and the report.

use std::{cell::RefCell, collections::BTreeMap, fmt, rc::Rc, time::Duration};

use process_tests::{GatewayProcess, SiteFleet, SiteShape, TcpRelay};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use site_stand_in::{EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore};

use crate::{SoakOptions, callers, faults, trainer};

/// Time that is left after the last fault until all submissions must be complete.
const SETTLING: Duration = Duration::from_secs(45);

/// Time between two writes of the entries.
const ENTRY_PERIOD: Duration = Duration::from_millis(500);

/// Promises that a run found broken, and what it did.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Broken promises.
    pub broken: Vec<String>,
    /// Counts of what happened, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// Faults in order, with their time in milliseconds since the start.
    pub faults: Vec<String>,
}

/// A gateway with the relay through which it reaches the store.
pub(crate) struct SoakNode {
    pub(crate) process: GatewayProcess,
    pub(crate) store_path: TcpRelay,
    /// Whether the process is stopped, paused or being stopped.
    pub(crate) away: bool,
}

/// An engine or a plain service with the relay through which all gateways reach it.
pub(crate) struct SoakUpstream<T> {
    pub(crate) upstream: T,
    pub(crate) path: TcpRelay,
}

/// Everything of a run.
pub(crate) struct SoakWorld {
    pub(crate) options: SoakOptions,
    pub(crate) store: SiteStore,
    pub(crate) nodes: RefCell<Vec<SoakNode>>,
    pub(crate) engines: Vec<SoakUpstream<SiteEngine>>,
    pub(crate) services: Vec<SoakUpstream<SiteService>>,
    pub(crate) report: RefCell<SoakReport>,
    pub(crate) version: RefCell<u64>,
    pub(crate) stopping: RefCell<bool>,
}

impl SoakWorld {
    /// Starts all parts and waits until the gateways are ready.
    pub(crate) async fn start(options: SoakOptions) -> Rc<Self> {
        let shape = SiteShape::default();
        let store = SiteStore::start(shape.store.clone()).expect("the store starts");
        let mut engines = Vec::new();
        for index in 0..options.engines {
            let engine = EngineOptions { id: format!("engine-{index}"), ..shape.engine.clone() };
            let upstream = SiteEngine::start(engine).expect("the engine starts");
            let path = TcpRelay::start().await;
            path.set_target(upstream.address());
            engines.push(SoakUpstream { upstream, path });
        }
        let mut services = Vec::new();
        for index in 0..2 {
            let service = ServiceOptions {
                id: format!("portal-{index}"),
                lose_every: 23,
                ..shape.service.clone()
            };
            let upstream = SiteService::start(service).expect("the service starts");
            let path = TcpRelay::start().await;
            path.set_target(upstream.address());
            services.push(SoakUpstream { upstream, path });
        }
        store.put_operator("config", &SiteFleet::config(1, &["key-1"]));
        let mut nodes = Vec::new();
        for index in 0..options.gateways {
            let store_path = TcpRelay::start().await;
            store_path.set_target(store.address());
            let process = GatewayProcess::start(store_path.address(), index, true);
            nodes.push(SoakNode { process, store_path, away: false });
        }
        let world = Self {
            options,
            store,
            nodes: RefCell::new(nodes),
            engines,
            services,
            report: RefCell::new(SoakReport { seed: options.seed, ..Default::default() }),
            version: RefCell::new(1),
            stopping: RefCell::new(false),
        };
        world.write_entries();
        let addresses: Vec<_> =
            world.nodes.borrow().iter().map(|node| node.process.ready()).collect();
        for address in addresses {
            process_tests::wait_for("a gateway that is ready", || async move {
                let answer = process_tests::get(address, "/readyz", &[]).await;
                (answer.status == 200).then_some(())
            })
            .await;
        }
        Rc::new(world)
    }

    /// Writes the entries of all upstreams, with the addresses of their relays.
    pub(crate) fn write_entries(&self) {
        for engine in &self.engines {
            let mut entry = engine.upstream.entry();
            entry["address"] = engine.path.address().to_string().into();
            self.store.put_upstream(engine.upstream.id(), &entry);
        }
        for service in &self.services {
            let mut entry = service.upstream.entry();
            entry["address"] = service.path.address().to_string().into();
            self.store.put_upstream(service.upstream.id(), &entry);
        }
    }

    /// Writes the entries again and again, as engines do when their versions change.
    async fn refresh_entries(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ENTRY_PERIOD).await;
            self.write_entries();
        }
    }

    pub(crate) fn count(&self, what: &'static str) {
        *self.report.borrow_mut().counts.entry(what).or_default() += 1;
    }

    pub(crate) fn broken(&self, what: String) {
        self.report.borrow_mut().broken.push(what);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Injects faults for the length of the run, heals everything, and checks what must hold then.
    pub(crate) async fn run(self: Rc<Self>) -> SoakReport {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed);
        actix_rt::spawn(Rc::clone(&self).refresh_entries());
        let mut callers = Vec::new();
        for index in 0..self.options.callers {
            callers.push(actix_rt::spawn(callers::run(Rc::clone(&self), index)));
        }
        let trainer = actix_rt::spawn(trainer::run(Rc::clone(&self)));
        faults::inject(&self, &mut random).await;
        faults::heal(&self).await;
        *self.stopping.borrow_mut() = true;
        for caller in callers {
            if let Err(error) = caller.await {
                self.broken(format!("a caller failed: {error}"));
            }
        }
        match tokio::time::timeout(SETTLING, trainer).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => self.broken(format!("the trainer failed: {error}")),
            Err(_) => self.broken(String::from("submissions are not complete after the faults")),
        }
        self.check_upstreams();
        self.report.borrow().clone()
    }

    /// Collects what the stand-ins saw.
    fn check_upstreams(&self) {
        for violation in self.store.violations() {
            self.broken(format!("store: {violation}"));
        }
        for engine in &self.engines {
            for violation in engine.upstream.violations() {
                self.broken(format!("{}: {violation}", engine.upstream.id()));
            }
        }
        let repeated = self.services.iter().flat_map(|service| service.upstream.repeated());
        for request in repeated.filter(|request| request.starts_with("once-")) {
            self.broken(format!("request {request} ran twice at one upstream"));
        }
        let mut nodes = self.nodes.borrow_mut();
        for node in nodes.iter_mut().filter(|node| !node.away) {
            if let Some(code) = node.process.exit_code() {
                self.broken(format!("a gateway ended by itself with code {code}"));
            }
        }
    }

    /// Tells at how many upstreams a request has run.
    pub(crate) fn runs_of(&self, request: &str) -> usize {
        self.services.iter().filter(|service| service.upstream.has_run(request)).count()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.broken.is_empty() { "passed" } else { "FAILED" };
        writeln!(f, "seed {} {verdict}", self.seed)?;
        let counts = self.counts.iter().map(|(name, count)| format!("{name} {count}"));
        writeln!(f, "  {}", counts.collect::<Vec<_>>().join(", "))?;
        for line in &self.broken {
            writeln!(f, "  broken: {line}")?;
        }
        if !self.broken.is_empty() {
            writeln!(f, "  faults: {}", self.faults.join("; "))?;
            writeln!(f, "  again: cargo run --release --bin soak -- --seed {}", self.seed)?;
        }
        Ok(())
    }
}
