//! Scenario files of the traffic experiments.

use std::path::Path;

use error_stack::ResultExt as _;
use serde::Deserialize;

use crate::{RunFailed, RunResult};

/// What a scenario compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ScenarioKind {
    /// Pick policies, without a queue in front of them.
    Routing,
    /// Queues, while the first customer sends `aggressor_factor` times its share of the load.
    Fairness,
    /// Queues, under load beyond the capacity.
    Overload,
    /// Isolation of requests that crash upstreams.
    Crash,
}

/// Simulated upstreams and load. The names of the fields are the keys of the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TrafficScenario {
    pub(crate) name: String,
    pub(crate) kind: ScenarioKind,
    pub(crate) seconds: u64,
    pub(crate) warmup_seconds: u64,
    pub(crate) nodes: u32,
    pub(crate) zones: Vec<String>,
    /// One-way network latency between two zones.
    pub(crate) zone_distance_ms: u64,
    pub(crate) customers: u32,
    /// Offered tokens as a share of the tokens that all engines can generate.
    pub(crate) load: f64,
    pub(crate) mean_tokens: u32,
    pub(crate) deadline_ms: u64,
    /// A node's queue holds requests back once the node's share of the capacity needs this long for
    /// those in service.
    pub(crate) target_service_ms: u64,
    pub(crate) report_period_ms: u64,
    pub(crate) report_lag_ms: u64,
    #[serde(default)]
    pub(crate) aggressor_factor: f64,
    /// Number of distinct requests that crash each upstream that runs them.
    #[serde(default)]
    pub(crate) crashing_requests: u32,
    pub(crate) engines: Vec<EngineGroup>,
}

/// Engines of one speed, spread over the zones in turn.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EngineGroup {
    pub(crate) service: String,
    pub(crate) count: u32,
    pub(crate) tokens_per_second: u64,
    /// Requests that an engine runs at once. Further ones wait at the engine.
    pub(crate) batch: usize,
}

impl TrafficScenario {
    /// # Errors
    ///
    /// Fails when the file cannot be read, lacks a setting or has an unknown one.
    pub(crate) fn read(file: &Path) -> RunResult<Self> {
        let failed = || RunFailed(format!("cannot read scenario {}", file.display()));
        let text = std::fs::read_to_string(file).change_context_lazy(failed)?;
        toml::from_str(&text).change_context_lazy(failed)
    }

    /// Returns the tokens per second that all engines can generate together.
    pub(crate) fn capacity(&self) -> u64 {
        let groups = self.engines.iter();
        groups.map(|group| u64::from(group.count) * group.tokens_per_second).sum()
    }
}
