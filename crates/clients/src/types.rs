//! Values that the interfaces take and return.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{
    FencingToken, LogOffset, RecordId, Span, WallTime, WeightVersion, derive_copy, derive_value,
};
use bytes::Bytes;

derive_value! {
    /// A record to append to the log.
    pub struct NewRecord {
        /// Id chosen by the writer.
        pub id: RecordId,
        /// Encoded record.
        pub data: Bytes,
    }

    /// A record read from the log.
    pub struct StoredRecord {
        /// Position of the record.
        pub offset: LogOffset,
        /// Encoded record, or empty when the platform's text for it is malformed.
        pub data: Bytes,
    }

    /// Part of a log stream.
    pub struct LogPage {
        /// Oldest offset that the log still holds.
        pub first: LogOffset,
        /// Offset that the next record will get.
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
        /// What is ordered.
        pub kind: OrderKind,
        /// Offset of the claim that gives the right to order.
        pub fencing: FencingToken,
    }

    /// What an order asks for.
    pub enum OrderKind {
        /// Start upstreams.
        Start {
            /// Number of upstreams.
            count: u32,
            /// Whether the platform may reclaim them.
            cheap: bool,
        },
        /// Stop one upstream.
        Stop {
            /// Name of the upstream.
            upstream: String,
        },
    }

    /// The platform's answer to an order.
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
        /// Address that serves requests.
        pub address: SocketAddr,
        /// State.
        pub state: UpstreamState,
        /// Whether the platform may reclaim it.
        pub cheap: bool,
    }

    /// Announcement that the cheap upstreams of a zone will be taken away.
    pub struct ReclaimNotice {
        /// Zone.
        pub zone: String,
        /// When the upstreams go.
        pub at: WallTime,
    }

    /// Report of one usage window.
    pub struct UsageReport {
        /// Number of the window.
        pub window: u64,
        /// Offset of the claim that gives the right to report.
        pub fencing: FencingToken,
        /// Figures by customer name.
        pub figures: BTreeMap<String, CustomerUsage>,
    }

    /// A VM in the platform's list.
    pub struct VmInfo {
        /// Name.
        pub name: String,
        /// Zone.
        pub zone: String,
        /// Address that serves other daemons.
        pub address: SocketAddr,
        /// State.
        pub state: VmState,
    }

    /// A generation to run on an engine.
    pub struct GenerateRequest {
        /// Id assigned by the system. Every line of the answer repeats it.
        pub id: String,
        /// Prompt.
        pub prompt: String,
        /// Number of tokens in the whole generation, those before `offset` included.
        pub max_tokens: u32,
        /// Index of the first token wanted.
        pub offset: u32,
        /// Seed of the generation.
        pub seed: u64,
        /// Priority on the engine.
        pub priority: EnginePriority,
    }

    /// One line of a generation.
    pub enum TokenEvent {
        /// A token.
        Token {
            /// Position in the generation, starting at 0.
            index: u32,
            /// Text.
            text: String,
            /// Weight version that produced it.
            version: WeightVersion,
        },
        /// The generation is complete.
        End {
            /// Number of tokens in the whole generation, those before the offset included.
            tokens: u32,
            /// Number of tokens in the prompt.
            prompt_tokens: u32,
        },
    }

    /// What an engine says about itself.
    pub struct EngineReport {
        /// Generations running.
        pub running: u32,
        /// Generations waiting.
        pub queued: u32,
        /// Tokens per second over all running generations.
        pub tokens_per_second: u32,
        /// Weight version in use.
        pub version: WeightVersion,
        /// Whether the engine is about to stop.
        pub leaving: bool,
        /// Digests of the prompt prefixes in its cache.
        pub cached_prefixes: Vec<u64>,
        /// When the figures were taken, on the engine's clock.
        pub measured_at: WallTime,
    }

    /// An order to an engine to load a weight version.
    pub struct WeightLoadOrder {
        /// Name of the model.
        pub model: String,
        /// Version to load.
        pub version: WeightVersion,
        /// Offset of the claim that gives the right to order.
        pub fencing: FencingToken,
    }

    /// KV cache of one stream.
    pub struct KvCache {
        /// Id of the stream.
        pub id: String,
        /// Contents, opaque to the system.
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
        /// The platform carries the order out.
        Accepted,
        /// The order has taken effect.
        Done,
        /// The order has no effect and never will.
        Refused,
    }

    /// State of an upstream.
    pub enum UpstreamState {
        /// Ordered, takes no work yet.
        Starting,
        /// Takes work.
        Running,
        /// About to stop.
        Leaving,
    }

    /// State of a VM.
    pub enum VmState {
        /// The VM runs.
        Live,
        /// The VM is about to stop.
        Leaving,
    }

    /// Answer to a usage report.
    pub enum ReportOutcome {
        /// The window has these figures, from this report or an equal one.
        Accepted,
        /// The window was reported with other figures, or by a newer holder.
        Conflict,
    }

    /// Answer of the weight store.
    pub enum WeightFetch {
        /// The weights were read; the number of bytes.
        Fetched(u64),
        /// The store is at its rate limit and asks for this pause.
        RateLimited(Span),
    }

    /// Priority of a generation on an engine.
    pub enum EnginePriority {
        /// A caller waits.
        Live,
        /// Sample for a trainer.
        Sample,
    }
}
