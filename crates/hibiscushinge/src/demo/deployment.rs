//! The deployment of the demo: platform, upstreams, daemons, callers and an operator, all in this
//! process.

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
    caller::{CallerRequest, DemoCaller, GenerationRequest},
    checks::UsageCount,
    config::{UpstreamList, document_text},
};

/// Availability zones, with one daemon in each.
pub(crate) const ZONES: [&str; 3] = ["hobart-a", "hobart-b", "kingston-c"];

/// Zone of each engine, as an index in [`ZONES`].
const ENGINE_ZONES: [usize; 4] = [0, 0, 1, 2];

/// Zone of the plain service, as an index in [`ZONES`].
const PLAIN_ZONE: usize = 1;

const CUSTOMERS: [&str; 4] = ["huon-cordials", "tamar-ales", "bruny-preserves", "sorell-cider"];

/// Name of the trainer.
pub(crate) const TRAINER: &str = "layouts";

/// Bound on each wait for an observed state. Even loaded machines need far less.
const WAIT_TIMEOUT: Duration = Duration::from_secs(45);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A customer with its key.
#[derive(Debug, Clone)]
pub(crate) struct DemoCustomer {
    pub(crate) name: &'static str,
    pub(crate) key: String,
    /// Whether [`DemoDeployment::document`] leaves the key out.
    pub(crate) withdrawn: bool,
}

/// A daemon with the name of its VM.
pub(crate) struct DemoDaemon {
    pub(crate) vm: String,
    pub(crate) addresses: DaemonAddresses,
    /// `None` once the daemon was stopped.
    pub(crate) daemon: Option<Daemon>,
}

/// The whole deployment.
pub(crate) struct DemoDeployment {
    pub(crate) platform: Platform,
    pub(crate) engines: Vec<Engine>,
    pub(crate) plain: PlainService,
    pub(crate) daemons: Vec<DemoDaemon>,
    pub(crate) customers: Vec<DemoCustomer>,
    pub(crate) trainer_key: String,
    pub(crate) operator: OperatorClient,
    pub(crate) admin: AdminClient,
    pub(crate) caller: DemoCaller,
    /// Usage that the callers counted.
    pub(crate) counted: UsageCount,
    rng: ChaCha8Rng,
    http: HttpClient,
}

impl DemoDeployment {
    /// Starts platform, upstreams and daemons. The environment has no document yet.
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
        let deployment = Self {
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
        deployment.register_vms().await?;
        Ok(deployment)
    }

    /// Prints the addresses of platform, upstreams and daemons.
    pub(crate) fn print_addresses(&self) {
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

    /// Returns the document with the current keys of the customers.
    pub(crate) fn document(&self) -> String {
        let engines = self.engines.iter().zip(ENGINE_ZONES);
        let engines = engines.map(|(engine, zone)| (zone, engine.address())).collect();
        let plain = vec![(PLAIN_ZONE, self.plain.address())];
        document_text(&UpstreamList { engines, plain }, &self.customers, &self.trainer_key)
    }

    /// Creates a generation request with a unique prompt.
    pub(crate) fn generation(&mut self, max_tokens: u32) -> GenerationRequest {
        let number = self.rng.random::<u64>();
        let prompt = format!("a sleeve for batch {number:x} of plum cordial");
        GenerationRequest { prompt, max_tokens, seed: self.rng.random::<u64>() >> 1 }
    }

    /// Returns a text that is unique, since it ends with a random number.
    pub(crate) fn unique_text(&mut self, prefix: &str) -> String {
        format!("{prefix}-{:016x}", self.rng.random::<u64>())
    }

    /// Creates a request of a customer to a daemon, both given by index.
    pub(crate) fn request(
        &self,
        daemon: usize,
        customer: usize,
        path: &'static str,
        body: String,
    ) -> CallerRequest {
        CallerRequest {
            daemon: self.daemons[daemon].addresses.listen,
            path,
            key: Some(self.customers[customer].key.clone()),
            idempotency_key: None,
            body,
        }
    }

    /// Returns the status of all daemons that run and respond.
    pub(crate) async fn statuses(&self) -> Vec<NodeStatus> {
        let mut found = Vec::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.daemon.is_some()) {
            if let Ok(status) = self.admin.status(daemon.addresses.admin).await {
                found.push(status);
            }
        }
        found
    }

    /// Returns what `GET /inspect` of each upstream shows: what it received.
    pub(crate) async fn inspect_upstreams(&self) -> Result<Vec<Value>, String> {
        let mut views = self.engines.iter().map(Engine::inspect).collect::<Vec<_>>();
        let request = HttpRequest::get(self.plain.address(), "/inspect");
        let response = self.http.exchange(request, Span::from_secs(5), 16 << 20).await;
        let response =
            response.map_err(|error| format!("inspecting the plain service failed: {error}"))?;
        views.push(serde_json::from_slice(&response.body).unwrap_or_default());
        Ok(views)
    }

    /// Returns the number of requests that the upstreams have run.
    pub(crate) async fn upstream_runs(&self) -> Result<u64, String> {
        let views = self.inspect_upstreams().await?;
        let runs = views.iter().filter_map(|view| view["runs"].as_object());
        Ok(runs.flat_map(|runs| runs.values()).filter_map(Value::as_u64).sum())
    }

    /// Stops the daemons that still run.
    pub(crate) async fn stop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(daemon) = daemon.daemon.take() {
                daemon.abort().await;
            }
        }
    }

    /// Registers the daemons' VMs at the platform, so that the daemons find each other.
    async fn register_vms(&self) -> Result<(), String> {
        let vms = self.daemons.iter().zip(ZONES).map(|(daemon, zone)| {
            json!({
                "name": daemon.vm, "zone": zone, "address": daemon.addresses.peer,
                "state": "live",
            })
        });
        let body = Bytes::from(vms.collect::<Value>().to_string());
        let request = HttpRequest::post(self.platform.address(), "/vms", body);
        let response = self.http.exchange(request, Span::from_secs(5), 1 << 10).await;
        response
            .map(|_| ())
            .map_err(|error| format!("registering the VMs at the platform failed: {error}"))
    }
}

fn random_key(rng: &mut ChaCha8Rng) -> String {
    format!("{:016x}{:016x}", rng.random::<u64>(), rng.random::<u64>())
}

/// Polls a value until it is as wanted or [`WAIT_TIMEOUT`] has passed, and returns the last one
/// read. The caller checks it, so that the evidence of a broken promise shows what was observed.
pub(crate) async fn poll_until<T, F: Future<Output = T>>(
    mut read: impl FnMut() -> F,
    wanted: impl Fn(&T) -> bool,
) -> T {
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let value = read().await;
        if wanted(&value) || std::time::Instant::now() >= end {
            return value;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
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
