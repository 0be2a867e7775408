//! JSON shapes of the platform's and the engines' interfaces.
//!
//! The fields are those of the design page, sections 6.1 and 6.2.

mod convert;

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

macro_rules! wire {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)] $item)*
    };
}

/// The value lies outside what the interface describes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(pub String);

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

wire! {
    /// One record of `POST /log/<stream>`.
    pub struct AppendRecord {
        /// Writer and sequence, both in hexadecimal, with a hyphen between them.
        pub id: String,
        /// Encoded record in base16.
        pub data: String,
    }

    /// Answer to `POST /log/<stream>`.
    pub struct Appended {
        /// Offset of the first record.
        pub first: u64,
    }

    /// Answer to `GET /log/<stream>`.
    pub struct Page {
        /// Oldest offset retained.
        pub first: u64,
        /// Offset of the next record to be appended.
        pub next: u64,
        /// Records in order of their offsets.
        pub records: Vec<PageRecord>,
    }

    /// One record of a [`Page`].
    pub struct PageRecord {
        /// Position of the record.
        pub offset: u64,
        /// Encoded record in base16.
        pub data: String,
    }

    /// Body of `POST /orders`.
    pub struct Order {
        /// Id that makes the order idempotent.
        pub id: String,
        /// Zone of the upstreams.
        pub zone: String,
        /// Service of the upstreams.
        pub service: String,
        /// What is ordered.
        pub kind: OrderVerb,
        /// Number of upstreams to start.
        #[serde(default)]
        pub count: u32,
        /// Whether the platform may reclaim the upstreams to start.
        #[serde(default)]
        pub cheap: bool,
        /// Name of the upstream to stop.
        #[serde(default)]
        pub upstream: Option<String>,
        /// Fencing number of the zone's lease.
        pub fencing: u64,
    }

    /// Kind of an [`Order`].
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum OrderVerb {
        /// Start upstreams.
        Start,
        /// Stop one upstream.
        Stop,
    }

    /// Answer to `POST /orders` and `GET /orders/<id>`.
    pub struct OrderReply {
        /// State of the order.
        pub state: OrderStatus,
        /// Names of the upstreams started or stopped.
        pub upstreams: Vec<String>,
    }

    /// State of an order.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum OrderStatus {
        /// The order is being carried out.
        Accepted,
        /// The order has taken effect.
        Done,
        /// The order has no effect.
        Refused,
    }

    /// One entry of `GET /upstreams`.
    pub struct Upstream {
        /// Name.
        pub name: String,
        /// Zone.
        pub zone: String,
        /// Service.
        pub service: String,
        /// Address that serves requests.
        pub address: SocketAddr,
        /// State.
        pub state: UpstreamStatus,
        /// Whether the platform may reclaim it.
        pub cheap: bool,
    }

    /// State of an upstream.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum UpstreamStatus {
        /// Ordered, takes no work yet.
        Starting,
        /// Takes work.
        Running,
        /// About to stop.
        Leaving,
    }

    /// One entry of `GET /reclaims`.
    pub struct Reclaim {
        /// Zone whose cheap upstreams go.
        pub zone: String,
        /// When they go, in milliseconds since 1970.
        pub at_ms: i64,
    }

    /// Body of `POST /usage-reports`.
    pub struct Report {
        /// Number of the window.
        pub window: u64,
        /// Fencing number of the usage lease.
        pub fencing: u64,
        /// Figures by customer name.
        pub figures: BTreeMap<String, UsageAmount>,
    }

    /// Usage of one customer in one window.
    #[derive(Copy)]
    pub struct UsageAmount {
        /// Number of requests.
        pub requests: u64,
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Number of generated tokens.
        pub generated_tokens: u64,
    }

    /// One entry of `GET /vms`.
    pub struct Vm {
        /// Name.
        pub name: String,
        /// Zone.
        pub zone: String,
        /// Address that serves other daemons.
        pub address: SocketAddr,
        /// State.
        pub state: VmStatus,
    }

    /// State of a VM.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum VmStatus {
        /// The VM runs.
        Live,
        /// The VM is about to stop.
        Leaving,
    }

    /// Body of `POST /generate`.
    pub struct Generate {
        /// Id that every line of the answer repeats.
        pub id: String,
        /// Prompt.
        pub prompt: String,
        /// Number of tokens in the whole generation.
        pub max_tokens: u32,
        /// Index of the first token wanted.
        #[serde(default)]
        pub offset: u32,
        /// Seed of the generation.
        #[serde(default)]
        pub seed: u64,
        /// Priority.
        pub priority: Priority,
    }

    /// Priority of a generation.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Priority {
        /// A caller waits.
        Live,
        /// Sample for a trainer.
        Sample,
    }

    /// One line of the answer to `POST /generate`.
    #[serde(untagged)]
    pub enum TokenLine {
        /// A token.
        Token {
            /// Id of the request.
            id: String,
            /// Position in the generation.
            index: u32,
            /// Text.
            token: String,
            /// Weight version that produced it.
            version: u64,
        },
        /// The end marker.
        End {
            /// Id of the request.
            id: String,
            /// Always true.
            end: bool,
            /// Number of tokens in the whole generation.
            tokens: u32,
            /// Number of tokens in the prompt.
            prompt_tokens: u32,
        },
    }

    /// Answer to `GET /load`.
    pub struct EngineLoadReport {
        /// Generations running.
        pub running: u32,
        /// Generations waiting.
        pub queued: u32,
        /// Tokens per second over all running generations.
        pub tokens_per_second: u32,
        /// Weight version in use.
        pub version: u64,
        /// Whether the engine is about to stop.
        pub leaving: bool,
        /// Digests of the prompt prefixes in the cache.
        pub cached_prefixes: Vec<u64>,
        /// When the figures were taken, in milliseconds since 1970.
        pub measured_at_ms: i64,
    }

    /// Body of `POST /load-version`.
    pub struct LoadVersion {
        /// Name of the model.
        pub model: String,
        /// Version to load.
        pub version: u64,
        /// Fencing number of the zone's lease.
        pub fencing: u64,
    }

    /// Body of `POST /cancel` and `POST /kv/export`.
    pub struct StreamId {
        /// Id of the generation.
        pub id: String,
    }

    /// Answer to `POST /kv/export` and body of `POST /kv/import`.
    pub struct Kv {
        /// Id of the generation.
        pub id: String,
        /// Contents in base16.
        pub data: String,
    }
}

impl TokenLine {
    /// Returns the id of the request that the line answers.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Token { id, .. } | Self::End { id, .. } => id,
        }
    }
}
