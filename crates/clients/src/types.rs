//! Parameters and results of the interfaces in `traits`.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{
    FencingToken, LogOffset, RecordId, Span, WallTime, WeightVersion, derive_copy, derive_value,
};
use bytes::Bytes;

derive_value! {
    /// A record to append to the log.
    pub struct NewRecord {
        /// Id chosen by the writer, by which readers drop repeats.
        pub id: RecordId,
        /// Encoded record.
        pub data: Bytes,
    }

    /// A record read from the log.
    pub struct StoredRecord {
        /// Position of the record in its stream.
        pub offset: LogOffset,
        /// Encoded record, or empty when the platform's base16 text of it is malformed.
        pub data: Bytes,
    }

    /// Consecutive records of a log stream.
    pub struct LogPage {
        /// Oldest offset that the log retains.
        pub first: LogOffset,
        /// Offset of the next record to be appended.
        pub next: LogOffset,
        /// Records in order of their offsets.
        pub records: Vec<StoredRecord>,
    }

    /// An order to start or stop upstreams of one zone.
    pub struct UpstreamOrder {
        /// Id that makes the order idempotent.
        pub id: String,
        /// Zone of the upstreams.
        pub zone: String,
        /// Service of the upstreams.
        pub service: String,
        /// Whether to start or stop upstreams.
        pub kind: OrderKind,
        /// Fencing token of the zone's lease.
        pub fencing: FencingToken,
    }

    /// Action of an order.
    pub enum OrderKind {
        /// Start upstreams.
        Start {
            /// Number of upstreams.
            count: u32,
            /// Whether the upstreams are cheap, so that the platform may reclaim them.
            cheap: bool,
        },
        /// Stop one upstream.
        Stop {
            /// Name of the upstream.
            upstream: String,
        },
    }

    /// State of an order in the platform's response.
    pub struct OrderInfo {
        /// State of the order.
        pub state: OrderState,
        /// Names of the upstreams started or stopped.
        pub upstreams: Vec<String>,
    }

    /// An upstream in the platform's list.
    pub struct UpstreamInfo {
        /// Name.
        pub name: String,
        /// Zone.
        pub zone: String,
        /// Service.
        pub service: String,
        /// Address to which requests are sent.
        pub address: SocketAddr,
        /// State.
        pub state: UpstreamState,
        /// Whether the upstream is cheap, so that the platform may reclaim it.
        pub cheap: bool,
    }

    /// Notice that the platform will reclaim the cheap upstreams of a zone.
    pub struct ReclaimNotice {
        /// Zone.
        pub zone: String,
        /// When the upstreams are reclaimed.
        pub at: WallTime,
    }

    /// Report of one usage window.
    pub struct UsageReport {
        /// Number of the window.
        pub window: u64,
        /// Fencing token of the `usage` lease.
        pub fencing: FencingToken,
        /// Usage by customer name.
        pub figures: BTreeMap<String, CustomerUsage>,
    }

    /// A VM in the platform's list.
    pub struct VmInfo {
        /// Name.
        pub name: String,
        /// Zone.
        pub zone: String,
        /// Address to which other daemons send messages.
        pub address: SocketAddr,
        /// State.
        pub state: VmState,
    }

    /// A generation to run on an engine.
    pub struct GenerateRequest {
        /// Id assigned by the daemon. Every line of the response repeats it.
        pub id: String,
        /// Text that the engine continues.
        pub prompt: String,
        /// Largest number of tokens of the whole generation, including those before `offset`.
        pub max_tokens: u32,
        /// Index of the first token to return; above 0 when a generation is resumed.
        pub offset: u32,
        /// Random seed of the generation.
        pub seed: u64,
        /// Scheduling priority on the engine.
        pub priority: EnginePriority,
    }

    /// Content of one line of a generation's response.
    pub enum TokenEvent {
        /// A token.
        Token {
            /// Index in the whole generation, starting at 0.
            index: u32,
            /// Text of the token.
            text: String,
            /// Weight version that generated the token.
            version: WeightVersion,
        },
        /// The generation is complete.
        End {
            /// Number of tokens of the whole generation, including those before the offset.
            tokens: u32,
            /// Number of tokens in the prompt.
            prompt_tokens: u32,
        },
    }

    /// Load and state that an engine reports about itself.
    pub struct EngineReport {
        /// Number of running generations.
        pub running: u32,
        /// Number of queued generations.
        pub queued: u32,
        /// Tokens per second, summed over all running generations.
        pub tokens_per_second: u32,
        /// Weight version in use.
        pub version: WeightVersion,
        /// Whether the engine is about to stop.
        pub leaving: bool,
        /// Digests of the prompt prefixes in the engine's KV cache.
        pub cached_prefixes: Vec<u64>,
        /// When the values were measured, by the engine's clock.
        pub measured_at: WallTime,
    }

    /// An order to an engine to load a weight version.
    pub struct WeightLoadOrder {
        /// Name of the model.
        pub model: String,
        /// Version to load.
        pub version: WeightVersion,
        /// Fencing token of the zone's lease.
        pub fencing: FencingToken,
    }

    /// KV cache of one generation, to move it to another engine.
    pub struct KvCache {
        /// Id of the generation.
        pub id: String,
        /// Contents, which only engines interpret.
        pub data: Bytes,
    }
}

derive_copy! {
    /// Usage of one customer in one window.
    pub struct CustomerUsage {
        /// Number of requests.
        pub requests: u64,
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Number of generated tokens.
        pub generated_tokens: u64,
    }

    /// State of an order.
    pub enum OrderState {
        /// The platform has accepted the order and is carrying it out.
        Accepted,
        /// The order has taken effect.
        Done,
        /// The platform refused the order, which has no effect.
        Refused,
    }

    /// State of an upstream.
    pub enum UpstreamState {
        /// Ordered, but does not accept requests yet.
        Starting,
        /// Accepts requests.
        Running,
        /// Is about to stop.
        Leaving,
    }

    /// State of a VM.
    pub enum VmState {
        /// The VM is running.
        Live,
        /// The VM is about to stop.
        Leaving,
    }

    /// Response to a usage report.
    pub enum ReportOutcome {
        /// The platform has stored this usage for the window, from this report or an equal one.
        Accepted,
        /// The platform has different usage for the window, or a report with a higher fencing
        /// token.
        Conflict,
    }

    /// Response of the weight store.
    pub enum WeightFetch {
        /// The weights were fetched; their length in bytes.
        Fetched(u64),
        /// The rate limit of the store is reached. The value is the delay before the next attempt.
        RateLimited(Span),
    }

    /// Priority of a generation on an engine.
    pub enum EnginePriority {
        /// Live request, whose caller waits.
        Live,
        /// Sample of a trainer.
        Sample,
    }
}
