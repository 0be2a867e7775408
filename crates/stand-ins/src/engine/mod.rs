//! Stand-in of a model engine.

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
    http::{Call, CallHandler, CrashAction, Reply, ServerControl},
};

pub use crate::engine::generation::token_text;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Threads that serve requests.
    pub workers: usize,
    /// Tokens per second of one generation that runs alone.
    pub tokens_per_second: u32,
    /// Share by which each further generation lengthens the time per token.
    pub batch_slowdown: f64,
    /// Generations that run at once. Others wait, samples behind live ones.
    pub max_running: usize,
    /// Time to read one prompt token that is not in the cache.
    pub prefill_per_token: Duration,
    /// Prompts whose prefix is kept in the cache.
    pub cached_prefixes: usize,
    /// Time until the load report shows a change.
    pub report_lag: Duration,
    /// Weight version at the start.
    pub version: u64,
    /// Time to load a version beside reading it from the store.
    pub load_time: Duration,
    /// Platform whose weight store is read, if any.
    pub platform: Option<SocketAddr>,
    /// Number of the next weight swaps that fail.
    pub failing_swaps: u32,
    /// Whether orders with an old fencing number are refused.
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
    /// Wakes generations when a slot is free, and running ones when one is cancelled.
    pub(crate) changed: Arc<Notify>,
    state: Arc<Mutex<EngineState>>,
}

/// Body of `POST /faults`. Fields that are left out keep their value.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EngineChange {
    failing_swaps: Option<u32>,
    tokens_per_second: Option<u32>,
    crash_ms: Option<u64>,
}

/// Body of `POST /reclaim`.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReclaimCall {
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
            let built = EngineHandler { options, control, changed: Arc::default(), state };
            handler = Some(built.clone());
            built
        })?;
        let handler = handler.expect("start calls the closure");
        Ok(Self { control, handler })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns what `GET /inspect` answers.
    #[must_use]
    pub fn inspect(&self) -> Value {
        self.handler.state().inspect()
    }

    /// Drops all connections and stays down for `time`.
    pub fn crash(&self, time: Duration) {
        self.control.crash(CrashAction::StayDown(time));
    }

    /// Stops the engine.
    pub async fn stop(&self) {
        self.control.stop().await;
    }
}

impl CallHandler for EngineHandler {
    async fn handle(&self, call: Call) -> Reply {
        if call.path != "/faults" && call.path != "/inspect" {
            self.state().record_headers(&call.headers);
        }
        let reply = match (call.method.clone(), call.path.as_str()) {
            (Method::POST, "/generate") => call.json().map(|request| self.generate(request)),
            (Method::POST, "/cancel") => call.json().map(|stream: wire::StreamId| {
                self.state().cancel(stream.id);
                self.changed.notify_waiters();
                Reply::status(StatusCode::OK)
            }),
            (Method::GET, "/load") => Ok(Reply::json(self.state().load.get(Instant::now()))),
            (Method::POST, "/load-version") => {
                call.json().map(|order: wire::LoadVersion| self.load_version(order))
            }
            (Method::POST, "/kv/export") => call.json().map(|stream| self.export(stream)),
            (Method::POST, "/kv/import") => call.json().map(|cache: wire::Kv| {
                self.state().imported.insert(cache.id);
                Reply::status(StatusCode::OK)
            }),
            (Method::POST, "/reclaim") => call.json().map(|reclaim| self.reclaim(reclaim)),
            (Method::POST, "/faults") => call.json().map(|change| self.change(change)),
            (Method::GET, "/inspect") => Ok(Reply::json(&self.state().inspect())),
            _ => Ok(Reply::status(StatusCode::NOT_FOUND)),
        };
        reply.unwrap_or_else(|refusal| refusal)
    }
}

impl EngineHandler {
    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder panics")
    }

    fn export(&self, stream: wire::StreamId) -> Reply {
        let state = self.state();
        match state.progress_of(&stream.id) {
            Some(index) => {
                let data = base16::encode(&index.to_be_bytes());
                Reply::json(&wire::Kv { id: stream.id, data })
            }
            None => Reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn change(&self, change: EngineChange) -> Reply {
        let mut state = self.state();
        state.failing_swaps = change.failing_swaps.unwrap_or(state.failing_swaps);
        state.tokens_per_second = change.tokens_per_second.unwrap_or(state.tokens_per_second);
        if let Some(time) = change.crash_ms {
            self.control.crash(CrashAction::StayDown(Duration::from_millis(time)));
        }
        Reply::status(StatusCode::OK)
    }

    /// Announces that the engine goes, and stops it after the notice.
    fn reclaim(&self, reclaim: ReclaimCall) -> Reply {
        self.state().set_leaving(Instant::now());
        let control = self.control.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(reclaim.after_ms)).await;
            control.stop().await;
        });
        Reply::status(StatusCode::OK)
    }
}
