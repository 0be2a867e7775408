//! Stand-in of a plain service. Its response is a deterministic function of path and body, and it
//! counts how often each request ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::http::{CrashAction, ReceivedRequest, RequestHandler, ServerControl, ServerResponse};

/// Header with the request id that the daemon assigns. Runs are counted by this id.
const REQUEST_ID: &str = "x-request-id";

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct PlainOptions {
    /// Address to listen on. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Threads that serve requests.
    pub workers: usize,
    /// Time from a request to its response.
    pub service_time: Duration,
    /// What a crash does.
    pub crash: CrashAction,
    /// A request whose body contains this text crashes the service.
    pub crash_marker: Option<String>,
}

/// A running plain service.
#[derive(Debug, Clone)]
pub struct PlainService {
    control: ServerControl,
    handler: PlainHandler,
}

#[derive(Debug, Clone)]
struct PlainHandler {
    options: Arc<PlainOptions>,
    control: ServerControl,
    state: Arc<Mutex<PlainState>>,
}

#[derive(Debug, Default, Serialize)]
struct PlainState {
    runs: BTreeMap<String, u64>,
    headers: BTreeSet<(String, String)>,
    #[serde(skip)]
    faults: PlainFaults,
}

/// Faults to inject into the next requests: how many requests of each kind remain. Each request
/// uses up at most one.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlainFaults {
    /// Requests that run and get no response; their connection stays open.
    stall: u32,
    /// Requests that run and get a truncated response.
    truncate: u32,
    /// Requests that run and then crash the service.
    crash: u32,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            workers: 1,
            service_time: Duration::from_millis(2),
            crash: CrashAction::StayDown(Duration::from_secs(2)),
            crash_marker: None,
        }
    }
}

impl PlainService {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(options: PlainOptions) -> io::Result<Self> {
        let (listen, workers) = (options.listen, options.workers);
        let options = Arc::new(options);
        let state = Arc::default();
        let mut handler = None;
        let control = ServerControl::start(listen, workers, |control| {
            let built = PlainHandler { options, control, state };
            handler = Some(built.clone());
            built
        })?;
        let handler = handler.expect("`ServerControl::start` calls the closure when it succeeds");
        Ok(Self { control, handler })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns how often a request with this `x-request-id` has run.
    #[must_use]
    pub fn runs(&self, id: &str) -> u64 {
        let state = self.handler.state.lock().expect("no thread panics while it holds the state");
        state.runs.get(id).copied().unwrap_or_default()
    }

    /// Stops the service and closes its connections.
    pub async fn stop(&self) {
        self.control.stop().await;
    }
}

/// Returns the response body for a request: its path, the length of its body, and the SHA-256
/// digest of both.
#[must_use]
pub fn plain_body(path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    digest.update(path.as_bytes());
    digest.update([0]);
    digest.update(body);
    let digest = clients::base16::encode(&digest.finalize());
    format!("{{\"path\":\"{path}\",\"bytes\":{},\"digest\":\"{digest}\"}}", body.len())
}

/// Returns the response body of a scoring request, with a score of at least 0 and below 1 that
/// depends on the request body only.
fn score_body(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    format!("{{\"score\":{}}}", f64::from(digest[0]) / 256.0)
}

impl RequestHandler for PlainHandler {
    async fn handle(&self, request: ReceivedRequest) -> ServerResponse {
        match (request.method.clone(), request.path.as_str()) {
            (Method::GET, "/inspect") => ServerResponse::json(
                &*self.state.lock().expect("no thread panics while it holds the state"),
            ),
            (Method::POST, "/faults") => match request.json::<PlainFaults>() {
                Ok(faults) => {
                    self.state.lock().expect("no thread panics while it holds the state").faults =
                        faults;
                    ServerResponse::status(StatusCode::OK)
                }
                Err(response) => response,
            },
            (Method::POST, _) => self.run(request).await,
            _ => ServerResponse::status(StatusCode::NOT_FOUND),
        }
    }
}

enum PlainOutcome {
    Respond,
    Stall,
    Truncate,
    Crash,
}

impl PlainHandler {
    async fn run(&self, request: ReceivedRequest) -> ServerResponse {
        let outcome = self.record_run(&request);
        actix_rt::time::sleep(self.options.service_time).await;
        let body = match request.path.as_str() {
            "/score" => score_body(&request.body),
            path => plain_body(path, &request.body),
        };
        let body = Bytes::from(body);
        match outcome {
            PlainOutcome::Respond => {
                ServerResponse::Json { status: StatusCode::OK, retry_after: None, body }
            }
            PlainOutcome::Stall => std::future::pending().await,
            PlainOutcome::Truncate => ServerResponse::Truncated {
                content_length: body.len(),
                body: body.slice(..body.len() / 2),
            },
            PlainOutcome::Crash => {
                self.control.crash(self.options.crash);
                std::future::pending().await
            }
        }
    }

    fn record_run(&self, request: &ReceivedRequest) -> PlainOutcome {
        let mut state = self.state.lock().expect("no thread panics while it holds the state");
        if let Some(id) = request.header(REQUEST_ID) {
            *state.runs.entry(String::from(id)).or_default() += 1;
        }
        state.headers.extend(request.headers.iter().cloned());
        let marker = self.options.crash_marker.as_deref();
        let has_marker = marker.is_some_and(|marker| {
            request.body.windows(marker.len().max(1)).any(|part| part == marker.as_bytes())
        });
        let faults = &mut state.faults;
        for (remaining, outcome) in [
            (&mut faults.stall, PlainOutcome::Stall),
            (&mut faults.truncate, PlainOutcome::Truncate),
            (&mut faults.crash, PlainOutcome::Crash),
        ] {
            if *remaining > 0 {
                *remaining -= 1;
                return outcome;
            }
        }
        if has_marker { PlainOutcome::Crash } else { PlainOutcome::Respond }
    }
}
