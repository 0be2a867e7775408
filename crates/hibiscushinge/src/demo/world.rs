//! The deployment: platform, upstreams, daemons and an operator, all in this process.

use std::{future::Future, net::SocketAddr, time::Duration};

use base::{Incarnation, Span};
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use document::DaemonSettings;
use hibiscushinge::{AdminClient, NodeStatus, OperatorClient};
use hibiscushinged::{Daemon, DaemonAddresses};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use stand_ins::{
    CrashAction, Engine, EngineOptions, PlainOptions, PlainService, Platform, PlatformOptions,
};

use super::{
    account::UsageCount,
    caller::{CallerAsk, DemoCaller, GenerateAsk},
    config::{UpstreamList, document_text},
};

/// Zones, with one daemon in each.
pub(crate) const ZONES: [&str; 3] = ["hobart-a", "hobart-b", "kingston-c"];

/// Zone of each engine, by position in [`ZONES`].
const ENGINE_ZONES: [usize; 4] = [0, 0, 1, 2];

/// Zone of the plain service.
const PLAIN_ZONE: usize = 1;

const CUSTOMERS: [&str; 4] = ["huon-cordials", "tamar-ales", "bruny-preserves", "sorell-cider"];

/// Name of the trainer.
pub(crate) const TRAINER: &str = "layouts";

/// Longest wait for anything that is observed. Loaded machines need far less.
const WAIT_LIMIT: Duration = Duration::from_secs(45);

const POLL: Duration = Duration::from_millis(20);

/// A customer of the demo.
#[derive(Debug, Clone)]
pub(crate) struct DemoCustomer {
    pub(crate) name: &'static str,
    pub(crate) key: String,
    pub(crate) withdrawn: bool,
}

/// A daemon of the demo.
pub(crate) struct DemoDaemon {
    pub(crate) vm: String,
    pub(crate) addresses: DaemonAddresses,
    /// `None` once the daemon has been stopped.
    pub(crate) daemon: Option<Daemon>,
}

/// The whole deployment.
pub(crate) struct DemoWorld {
    pub(crate) platform: Platform,
    pub(crate) engines: Vec<Engine>,
    pub(crate) plain: PlainService,
    pub(crate) daemons: Vec<DemoDaemon>,
    pub(crate) customers: Vec<DemoCustomer>,
    pub(crate) trainer_key: String,
    pub(crate) operator: OperatorClient,
    pub(crate) admin: AdminClient,
    pub(crate) caller: DemoCaller,
    /// What the callers counted.
    pub(crate) counted: UsageCount,
    rng: ChaCha8Rng,
    http: HttpClient,
}

impl DemoWorld {
    /// Starts everything. No document is in force yet.
    pub(crate) async fn start(seed: u64) -> Result<Self, String> {
        let failed = |error: std::io::Error| format!("starting the deployment failed: {error}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let platform = Platform::start(PlatformOptions::default()).map_err(failed)?;
        let engine = |_| {
            let crash = CrashAction::StayDown(Duration::from_secs(2));
            Engine::start(EngineOptions { crash, ..EngineOptions::default() })
        };
        let engines = ENGINE_ZONES.iter().map(engine).collect::<Result<_, _>>().map_err(failed)?;
        let plain = PlainService::start(PlainOptions::default()).map_err(failed)?;
        let mut daemons = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let vm = format!("entry-{index}");
            let settings = settings(&vm, zone, platform.address(), rng.random::<u64>() >> 1)?;
            let daemon = Daemon::start(settings).map_err(failed)?;
            daemons.push(DemoDaemon { vm, addresses: daemon.addresses(), daemon: Some(daemon) });
        }
        let customers = CUSTOMERS.iter().map(|name| DemoCustomer {
            name,
            key: random_key(&mut rng),
            withdrawn: false,
        });
        let customers = customers.collect();
        let trainer_key = random_key(&mut rng);
        let operator = OperatorClient::new(platform.address(), Incarnation(rng.random()));
        let world = Self {
            platform,
            engines,
            plain,
            daemons,
            customers,
            trainer_key,
            operator,
            admin: AdminClient::new(),
            caller: DemoCaller::new(),
            counted: UsageCount::default(),
            rng,
            http: HttpClient::new(Span::from_secs(5)),
        };
        world.list_vms().await?;
        Ok(world)
    }

    /// Prints the addresses in use.
    pub(crate) fn describe(&self) {
        println!("  platform {}", self.platform.address());
        for (engine, zone) in self.engines.iter().zip(ENGINE_ZONES) {
            println!("  engine {} in {}", engine.address(), ZONES[zone]);
        }
        println!("  plain service {} in {}", self.plain.address(), ZONES[PLAIN_ZONE]);
        for (daemon, zone) in self.daemons.iter().zip(ZONES) {
            let DaemonAddresses { listen, admin, .. } = daemon.addresses;
            println!("  daemon {} in {zone}: callers {listen}, operators {admin}", daemon.vm);
        }
    }

    /// Builds the document with the customers as they are now.
    pub(crate) fn document(&self) -> String {
        let engines = self.engines.iter().zip(ENGINE_ZONES);
        let engines = engines.map(|(engine, zone)| (zone, engine.address())).collect();
        let plain = vec![(PLAIN_ZONE, self.plain.address())];
        document_text(&UpstreamList { engines, plain }, &self.customers, &self.trainer_key)
    }

    /// Builds a generation with a prompt of its own.
    pub(crate) fn generation(&mut self, max_tokens: u32) -> GenerateAsk {
        let number = self.rng.random::<u64>();
        let prompt = format!("a sleeve for batch {number:x} of plum cordial");
        GenerateAsk { prompt, max_tokens, seed: self.rng.random::<u64>() >> 1 }
    }

    /// Returns a text that no other call returns.
    pub(crate) fn unique(&mut self, prefix: &str) -> String {
        format!("{prefix}-{:016x}", self.rng.random::<u64>())
    }

    /// Builds a request of a customer to a daemon, both by position.
    pub(crate) fn ask(
        &self,
        daemon: usize,
        customer: usize,
        path: &'static str,
        body: String,
    ) -> CallerAsk {
        CallerAsk {
            daemon: self.daemons[daemon].addresses.listen,
            path,
            key: Some(self.customers[customer].key.clone()),
            idempotency_key: None,
            body,
        }
    }

    /// Reads the status of all daemons that run.
    pub(crate) async fn statuses(&self) -> Vec<NodeStatus> {
        let mut found = Vec::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.daemon.is_some()) {
            if let Ok(status) = self.admin.status(daemon.addresses.admin).await {
                found.push(status);
            }
        }
        found
    }

    /// Returns what the upstreams received, one value for each.
    pub(crate) async fn upstream_views(&self) -> Result<Vec<Value>, String> {
        let mut views = self.engines.iter().map(Engine::inspect).collect::<Vec<_>>();
        let ask = HttpRequest::get(self.plain.address(), "/inspect");
        let answer = self.http.exchange(ask, Span::from_secs(5), 16 << 20).await;
        let answer = answer.map_err(|error| format!("the plain service: {error}"))?;
        views.push(serde_json::from_slice(&answer.body).unwrap_or_default());
        Ok(views)
    }

    /// Counts the requests that upstreams have run.
    pub(crate) async fn upstream_runs(&self) -> Result<u64, String> {
        let views = self.upstream_views().await?;
        let runs = views.iter().filter_map(|view| view["runs"].as_object());
        Ok(runs.flat_map(|runs| runs.values()).filter_map(Value::as_u64).sum())
    }

    /// Stops what still runs.
    pub(crate) async fn stop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(daemon) = daemon.daemon.take() {
                daemon.abort().await;
            }
        }
    }

    async fn list_vms(&self) -> Result<(), String> {
        let vms = self.daemons.iter().zip(ZONES).map(|(daemon, zone)| {
            json!({
                "name": daemon.vm, "zone": zone, "address": daemon.addresses.peer,
                "state": "live",
            })
        });
        let body = Bytes::from(vms.collect::<Value>().to_string());
        let ask = HttpRequest::post(self.platform.address(), "/vms", body);
        let answer = self.http.exchange(ask, Span::from_secs(5), 1 << 10).await;
        answer.map(|_| ()).map_err(|error| format!("listing the VMs: {error}"))
    }
}

fn random_key(rng: &mut ChaCha8Rng) -> String {
    format!("{:016x}{:016x}", rng.random::<u64>(), rng.random::<u64>())
}

/// Reads a value until it is as wanted, and returns the last one that was read. The caller judges
/// it, so that a wait that ends in vain shows what was observed.
pub(crate) async fn observe<T, F: Future<Output = T>>(
    mut read: impl FnMut() -> F,
    wanted: impl Fn(&T) -> bool,
) -> T {
    let end = std::time::Instant::now() + WAIT_LIMIT;
    loop {
        let value = read().await;
        if wanted(&value) || std::time::Instant::now() >= end {
            return value;
        }
        actix_rt::time::sleep(POLL).await;
    }
}

fn settings(
    vm: &str,
    zone: &str,
    platform: SocketAddr,
    seed: u64,
) -> Result<DaemonSettings, String> {
    let text = format!(
        "vm_name = \"{vm}\"\nzone = \"{zone}\"\nenvironment = \"production\"\n\
         listen = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         platform = \"{platform}\"\nplatform_fencing = \"checked\"\ntraffic_threads = 1\nseed = {seed}\n\
         [timeouts]\nlimit_grant = \"1s\"\n"
    );
    DaemonSettings::parse("demo", &text)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
}
