//! Stand-in of the platform: log, orders for upstreams, usage reports, weight store and lists of
//! VMs and upstreams.

mod log;
mod state;
mod upstreams;

pub(crate) use self::upstreams::now_ms;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use clients::wire;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    EngineOptions, PlainOptions,
    http::{ReceivedRequest, RequestHandler, ServerControl, ServerResponse},
    platform::state::PlatformState,
};

/// Settings of the platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Threads that serve requests.
    pub workers: usize,
    /// Number of newest records that each log stream retains. Older ones are dropped.
    pub retained_records: usize,
    /// Appends accepted per second, over all streams. Others are refused with status 429.
    pub appends_per_second: u32,
    /// Whether orders and usage reports with an outdated fencing token are refused.
    pub check_fencing: bool,
    /// Time from accepting an order until its upstreams run or are removed.
    pub order_delay: Duration,
    /// Time until a change shows in the list of VMs.
    pub vm_lag: Duration,
    /// Reads of weights accepted per second. Others are refused with status 429.
    pub weights_per_second: u32,
    /// Size of one weight version, in bytes.
    pub weight_bytes: usize,
    /// Services and what an order for them starts. Orders for other services are refused.
    pub services: Vec<(String, LaunchKind)>,
    /// Upstreams that are listed from the start.
    pub upstreams: Vec<wire::Upstream>,
    /// VMs that are listed from the start.
    pub vms: Vec<wire::Vm>,
}

/// What an order for a service starts.
#[derive(Debug, Clone)]
pub enum LaunchKind {
    /// An engine stand-in in this process.
    Engine(Box<EngineOptions>),
    /// A plain service stand-in in this process.
    Plain(PlainOptions),
    /// Nothing; connections to the listed address are refused.
    Nothing,
}

/// A running platform.
#[derive(Debug, Clone)]
pub struct Platform {
    control: ServerControl,
    handler: PlatformHandler,
}

#[derive(Debug, Clone)]
pub(crate) struct PlatformHandler {
    pub(crate) options: Arc<PlatformOptions>,
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            workers: 1,
            retained_records: 100_000,
            appends_per_second: 300,
            check_fencing: true,
            order_delay: Duration::from_millis(500),
            vm_lag: Duration::from_secs(2),
            weights_per_second: 50,
            weight_bytes: 64 << 10,
            services: Vec::new(),
            upstreams: Vec::new(),
            vms: Vec::new(),
        }
    }
}

impl Platform {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let (listen, workers) = (options.listen, options.workers);
        let state = Arc::new(Mutex::new(PlatformState::new(&options, Instant::now())));
        let options = Arc::new(options);
        let mut handler = None;
        let control = ServerControl::start(listen, workers, |control| {
            let built = PlatformHandler { options, address: control.address(), state };
            handler = Some(built.clone());
            built
        })?;
        let handler = handler.expect("`ServerControl::start` calls the closure when it succeeds");
        Ok(Self { control, handler })
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the body of `GET /inspect`: what the platform received and its injected faults.
    #[must_use]
    pub fn inspect(&self) -> Value {
        self.handler.state().inspect()
    }

    /// Stops the platform. Upstreams that it launched keep running.
    pub async fn stop(&self) {
        self.control.stop().await;
    }
}

impl RequestHandler for PlatformHandler {
    async fn handle(&self, request: ReceivedRequest) -> ServerResponse {
        let parts = request.path.trim_start_matches('/').split('/').collect::<Vec<_>>();
        let response = match (request.method.as_str(), parts.as_slice()) {
            ("POST", ["log", stream]) => self.append(stream, &request).await,
            ("GET", ["log", stream]) => Ok(self.read(stream, &request).await),
            ("POST", ["orders"]) => self.place_order(&request),
            ("GET", ["orders", id]) => Ok(self.find_order(id).await),
            ("POST", ["usage-reports"]) => self.report(&request),
            ("GET", ["weights", model, version]) => Ok(self.weights(model, version)),
            ("POST", ["faults"]) => self.update_state(&request, PlatformState::change_faults),
            ("POST", ["vms"]) => {
                self.update_state(&request, |state, vms| state.vms.set(Instant::now(), vms))
            }
            ("POST", ["upstreams"]) => self.update_state(&request, PlatformState::add_upstream),
            ("POST", ["reclaims"]) => self.reclaim(&request),
            _ if request.method == Method::GET => Ok(self.list(&request.path)),
            _ => Ok(ServerResponse::status(StatusCode::NOT_FOUND)),
        };
        response.unwrap_or_else(|refusal| refusal)
    }
}

impl PlatformHandler {
    pub(crate) fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    fn update_state<T: DeserializeOwned>(
        &self,
        request: &ReceivedRequest,
        apply: impl FnOnce(&mut PlatformState, T),
    ) -> Result<ServerResponse, ServerResponse> {
        apply(&mut self.state(), request.json()?);
        Ok(ServerResponse::status(StatusCode::OK))
    }

    fn list(&self, path: &str) -> ServerResponse {
        let mut state = self.state();
        match path {
            "/upstreams" => ServerResponse::json(&state.upstreams),
            "/reclaims" => ServerResponse::json(&state.reclaims),
            "/vms" => ServerResponse::json(state.vms.get(Instant::now())),
            "/inspect" => ServerResponse::json(&state.inspect()),
            _ => ServerResponse::status(StatusCode::NOT_FOUND),
        }
    }

    fn report(&self, request: &ReceivedRequest) -> Result<ServerResponse, ServerResponse> {
        let report = request.json::<wire::Report>()?;
        let accepted = self.state().accept_report(report, self.options.check_fencing);
        Ok(ServerResponse::status(if accepted { StatusCode::OK } else { StatusCode::CONFLICT }))
    }

    fn weights(&self, model: &str, version: &str) -> ServerResponse {
        let mut state = self.state();
        if !state.weight_rate.take(Instant::now()) {
            return ServerResponse::too_many_requests();
        }
        *state.weight_reads.entry(format!("{model}/{version}")).or_default() += 1;
        let body = vec![0; self.options.weight_bytes].into();
        ServerResponse::Json { status: StatusCode::OK, retry_after: None, body }
    }
}
