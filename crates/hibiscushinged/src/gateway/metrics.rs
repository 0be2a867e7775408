//! Counters and latency histograms in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;

use base::{RefusalCode, Span};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// Metrics of one gateway. Histograms are in seconds.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    responses: Family<StatusLabel, Counter>,
    response_time: Histogram,
    refusals: Family<CodeLabel, Counter>,
    closed_connections: Family<ReasonLabel, Counter>,
    run_time: Histogram,
    reward_time: Histogram,
    pub(crate) store_failures: Counter,
    pub(crate) channels_opened: Counter,
    pub(crate) silent_channels: Counter,
    pub(crate) upstream_crashes: Counter,
    pub(crate) cold_upstreams: Counter,
    pub(crate) loads_ordered: Counter<u64, AtomicU64>,
    pub(crate) usage_reports: Counter,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) evacuation_orders: Counter,
    pub(crate) evacuated_runs: Counter,
    pub(crate) home_refusals: Counter,
    pub(crate) items_handed_over: Counter,
    pub(crate) items_held: Counter,
    pub(crate) items_continued: Counter,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        // Bucket bounds from 1 ms to 16 s, doubling.
        let times = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        Self {
            responses: Family::default(),
            response_time: times(),
            refusals: Family::default(),
            closed_connections: Family::default(),
            run_time: times(),
            reward_time: times(),
            store_failures: Counter::default(),
            channels_opened: Counter::default(),
            silent_channels: Counter::default(),
            upstream_crashes: Counter::default(),
            cold_upstreams: Counter::default(),
            loads_ordered: Counter::default(),
            usage_reports: Counter::default(),
            evacuated_zones: Gauge::default(),
            evacuation_orders: Counter::default(),
            evacuated_runs: Counter::default(),
            home_refusals: Counter::default(),
            items_handed_over: Counter::default(),
            items_held: Counter::default(),
            items_continued: Counter::default(),
        }
    }
}

impl GatewayMetrics {
    /// Counts a request that was not refused, with the time from its arrival to the response.
    pub(crate) fn observe_response(&self, status: u16, took: Span) {
        let label = StatusLabel { status: u32::from(status) };
        self.responses.get_or_create(&label).inc();
        self.response_time.observe(took.as_secs_f64());
    }

    /// Counts a refused request.
    pub(crate) fn observe_refusal(&self, code: RefusalCode) {
        let label = CodeLabel { code: String::from(code.as_str()) };
        self.refusals.get_or_create(&label).inc();
    }

    /// Counts a client's connection that was closed because of a limit.
    pub(crate) fn count_closed_connection(&self, reason: &'static str) {
        let label = ReasonLabel { reason: String::from(reason) };
        self.closed_connections.get_or_create(&label).inc();
    }

    /// Records the duration of an item's run on one engine.
    pub(crate) fn observe_run(&self, took: Span) {
        self.run_time.observe(took.as_secs_f64());
    }

    /// Records the duration of a successful reward call.
    pub(crate) fn observe_reward(&self, took: Span) {
        self.reward_time.observe(took.as_secs_f64());
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub(crate) fn render(&self) -> String {
        let mut registry = Registry::with_prefix("hibiscushinge");
        let responses = "Requests answered, by status";
        registry.register("answers", responses, self.responses.clone());
        let time = "Seconds from arrival to the answer";
        registry.register("answer_seconds", time, self.response_time.clone());
        registry.register("refusals", "Requests refused, by code", self.refusals.clone());
        let closed = "Connections of clients closed because of a limit, by reason";
        registry.register("closed_connections", closed, self.closed_connections.clone());
        registry.register("run_seconds", "Seconds of a run of an item", self.run_time.clone());
        let reward = "Seconds of a reward call";
        registry.register("reward_seconds", reward, self.reward_time.clone());
        let store = "Calls to the store that failed";
        registry.register("store_failures", store, self.store_failures.clone());
        let channels = "Connections opened to upstreams";
        registry.register("channels_opened", channels, self.channels_opened.clone());
        let silent = "Connections to upstreams given up because they had worked and fell silent";
        registry.register("silent_channels", silent, self.silent_channels.clone());
        let crashes = "Requests in flight on an upstream that ended";
        registry.register("upstream_crashes", crashes, self.upstream_crashes.clone());
        let cold = "Times that this node learned that an upstream is cold";
        registry.register("cold_upstreams", cold, self.cold_upstreams.clone());
        let loads = "Weight loads ordered";
        registry.register("loads_ordered", loads, self.loads_ordered.clone());
        let usage = "Usage windows reported";
        registry.register("usage_reports", usage, self.usage_reports.clone());
        let zones = "Zones that are evacuated at present";
        registry.register("evacuated_zones", zones, self.evacuated_zones.clone());
        let orders = "Orders to evacuate a zone that took effect";
        registry.register("evacuation_orders", orders, self.evacuation_orders.clone());
        let moved = "Runs of items moved out of an evacuated zone";
        registry.register("evacuated_runs", moved, self.evacuated_runs.clone());
        let home = "Requests refused without a usable upstream in their home regions";
        registry.register("home_refusals", home, self.home_refusals.clone());
        let handed_over = "Items handed over to the next owner of their partition";
        registry.register("items_handed_over", handed_over, self.items_handed_over.clone());
        let held = "Items held while an earlier owner of their partition may be running them";
        registry.register("items_held", held, self.items_held.clone());
        let continued = "Items started with a text that an earlier owner handed over";
        registry.register("items_continued", continued, self.items_continued.clone());
        let mut page = String::new();
        if let Err(error) = encode(&mut page, &registry) {
            tracing::warn!(%error, "rendering the metrics failed; the page is incomplete");
        }
        page
    }
}
