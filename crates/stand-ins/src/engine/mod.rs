//! Stand-in of a model engine, with a queue, a batch, a prefix cache and weight versions.

mod generation;
mod state;
mod weights;

#[cfg(test)]
mod tests;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use clients::{base16, wire};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::Notify;

use crate::{
    engine::state::EngineState,
    http::{CrashAction, ReceivedRequest, RequestHandler, ServerControl, ServerResponse},
};

pub use crate::engine::generation::token_text;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Threads that serve requests.
    pub workers: usize,
    /// Tokens per second of a single generation.
    pub tokens_per_second: u32,
    /// Increase of the time per token with each further running generation, as a fraction of the
    /// time that a single one takes.
    pub batch_slowdown: f64,
    /// Maximum number of generations that run at once. Others are queued, samples behind live
    /// requests.
    pub max_running: usize,
    /// Time to process one prompt token that is not in the cache.
    pub prefill_per_token: Duration,
    /// Maximum number of prefixes of prompts in the cache. The least recently used one is dropped.
    pub cached_prefixes: usize,
    /// Time until a change shows in the load report.
    pub report_lag: Duration,
    /// Weight version at the start.
    pub version: u64,
    /// Time to load a version, in addition to reading it from the store.
    pub load_time: Duration,
    /// Platform from whose store weights are read. Without one, loading reads nothing.
    pub platform: Option<SocketAddr>,
    /// How many of the next switches to a loaded weight version fail.
    pub failing_swaps: u32,
    /// Whether weight load orders with an outdated fencing token are refused.
    pub check_fencing: bool,
    /// A prompt that contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// What a crash does.
    pub crash: CrashAction,
}

/// A running engine.
#[derive(Debug, Clone)]
pub struct Engine {
    control: ServerControl,
    handler: EngineHandler,
}

#[derive(Debug, Clone)]
pub(crate) struct EngineHandler {
    pub(crate) options: Arc<EngineOptions>,
    pub(crate) control: ServerControl,
    /// Wakes the queued generations when a slot may be free or one of them was cancelled. Running
    /// ones check for cancellation before each chunk of lines.
    pub(crate) queue_changed: Arc<Notify>,
    state: Arc<Mutex<EngineState>>,
}

/// Body of `POST /faults`. Settings whose field is left out stay as they are.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EngineChange {
    failing_swaps: Option<u32>,
    tokens_per_second: Option<u32>,
    crash_ms: Option<u64>,
}

/// Body of `POST /reclaim`.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReclaimRequest {
    after_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            workers: 1,
            tokens_per_second: 200,
            batch_slowdown: 0.05,
            max_running: 32,
            prefill_per_token: Duration::from_micros(200),
            cached_prefixes: 64,
            report_lag: Duration::from_secs(2),
            version: 1,
            load_time: Duration::from_secs(1),
            platform: None,
            failing_swaps: 0,
            check_fencing: true,
            crash_marker: None,
            crash: CrashAction::StayDown(Duration::from_secs(3)),
        }
    }
}

impl Engine {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let (listen, workers) = (options.listen, options.workers);
        let state = Arc::new(Mutex::new(EngineState::new(&options, Instant::now())));
        let options = Arc::new(options);
        let mut handler = None;
        let control = ServerControl::start(listen, workers, |control| {
            let built = EngineHandler { options, control, queue_changed: Arc::default(), state };
            handler = Some(built.clone());
            built
        })?;
        let handler = handler.expect("`ServerControl::start` calls the closure when it succeeds");
        Ok(Self { control, handler })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the body of `GET /inspect`: counters and what the engine received.
    #[must_use]
    pub fn inspect(&self) -> Value {
        self.handler.state().inspect()
    }

    /// Drops all connections, refuses new ones for `time`, then serves again.
    pub fn crash(&self, time: Duration) {
        self.control.crash(CrashAction::StayDown(time));
    }

    /// Stops the engine and closes its connections.
    pub async fn stop(&self) {
        self.control.stop().await;
    }
}

impl RequestHandler for EngineHandler {
    async fn handle(&self, request: ReceivedRequest) -> ServerResponse {
        if request.path != "/faults" && request.path != "/inspect" {
            self.state().record_headers(&request.headers);
        }
        let response = match (request.method.clone(), request.path.as_str()) {
            (Method::POST, "/generate") => request.json().map(|body| self.generate(body)),
            (Method::POST, "/cancel") => request.json().map(|stream: wire::StreamId| {
                self.state().cancel(stream.id);
                self.queue_changed.notify_waiters();
                ServerResponse::status(StatusCode::OK)
            }),
            (Method::GET, "/load") => {
                Ok(ServerResponse::json(self.state().load.get(Instant::now())))
            }
            (Method::POST, "/load-version") => {
                request.json().map(|order: wire::LoadVersion| self.load_version(order))
            }
            (Method::POST, "/kv/export") => request.json().map(|stream| self.export(stream)),
            (Method::POST, "/kv/import") => request.json().map(|cache: wire::Kv| {
                self.state().imported_caches.insert(cache.id);
                ServerResponse::status(StatusCode::OK)
            }),
            (Method::POST, "/reclaim") => request.json().map(|reclaim| self.reclaim(reclaim)),
            (Method::POST, "/faults") => request.json().map(|change| self.change(change)),
            (Method::GET, "/inspect") => Ok(ServerResponse::json(&self.state().inspect())),
            _ => Ok(ServerResponse::status(StatusCode::NOT_FOUND)),
        };
        response.unwrap_or_else(|refusal| refusal)
    }
}

impl EngineHandler {
    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    fn export(&self, stream: wire::StreamId) -> ServerResponse {
        let state = self.state();
        match state.progress_of(&stream.id) {
            Some(index) => {
                let data = base16::encode(&index.to_be_bytes());
                ServerResponse::json(&wire::Kv { id: stream.id, data })
            }
            None => ServerResponse::status(StatusCode::NOT_FOUND),
        }
    }

    fn change(&self, change: EngineChange) -> ServerResponse {
        let mut state = self.state();
        state.failing_swaps = change.failing_swaps.unwrap_or(state.failing_swaps);
        state.tokens_per_second = change.tokens_per_second.unwrap_or(state.tokens_per_second);
        if let Some(time) = change.crash_ms {
            self.control.crash(CrashAction::StayDown(Duration::from_millis(time)));
        }
        ServerResponse::status(StatusCode::OK)
    }

    /// Reports the engine as leaving, and stops it after the announced time.
    fn reclaim(&self, reclaim: ReclaimRequest) -> ServerResponse {
        self.state().set_leaving(Instant::now());
        let control = self.control.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(reclaim.after_ms)).await;
            control.stop().await;
        });
        ServerResponse::status(StatusCode::OK)
    }
}
