//! JSON messages of the platform's and the engines' interfaces.
//!
//! docs/design.md, sections 6.1 and 6.2, specifies the fields.

mod convert;

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

macro_rules! wire {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)] $item)*
    };
}

/// A JSON message is well-formed but has a value that the interface does not allow. Holds the
/// reason.
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
        /// Writer and sequence number in hexadecimal, separated by a hyphen.
        pub id: String,
        /// Encoded record in base16.
        pub data: String,
    }

    /// Response to `POST /log/<stream>`.
    pub struct Appended {
        /// Offset of the first record that was appended.
        pub first: u64,
    }

    /// Response to `GET /log/<stream>`.
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
        /// Position of the record in its stream.
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
        /// Whether to start or stop upstreams.
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
        /// Fencing token of the zone's lease.
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

    /// Response to `POST /orders` and `GET /orders/<id>`.
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
        /// The platform has accepted the order and is carrying it out.
        Accepted,
        /// The order has taken effect.
        Done,
        /// The platform refused the order, which has no effect.
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
        /// Address to which requests are sent.
        pub address: SocketAddr,
        /// State.
        pub state: UpstreamStatus,
        /// Whether the upstream is cheap, so that the platform may reclaim it.
        pub cheap: bool,
    }

    /// State of an upstream.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum UpstreamStatus {
        /// Ordered, but does not accept requests yet.
        Starting,
        /// Accepts requests.
        Running,
        /// Is about to stop.
        Leaving,
    }

    /// One entry of `GET /reclaims`.
    pub struct Reclaim {
        /// Zone whose cheap upstreams are reclaimed.
        pub zone: String,
        /// When they are reclaimed, in milliseconds since 1970.
        pub at_ms: i64,
    }

    /// Body of `POST /usage-reports`.
    pub struct Report {
        /// Number of the window.
        pub window: u64,
        /// Fencing token of the `usage` lease.
        pub fencing: u64,
        /// Usage by customer name.
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
        /// Address to which other daemons send messages.
        pub address: SocketAddr,
        /// State.
        pub state: VmStatus,
    }

    /// State of a VM.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum VmStatus {
        /// The VM is running.
        Live,
        /// The VM is about to stop.
        Leaving,
    }

    /// Body of `POST /generate`.
    pub struct Generate {
        /// Id that every line of the response repeats.
        pub id: String,
        /// Text that the engine continues.
        pub prompt: String,
        /// Largest number of tokens of the whole generation, including those before `offset`.
        pub max_tokens: u32,
        /// Index of the first token to return; above 0 when a generation is resumed.
        #[serde(default)]
        pub offset: u32,
        /// Random seed of the generation.
        #[serde(default)]
        pub seed: u64,
        /// Scheduling priority on the engine.
        pub priority: Priority,
    }

    /// Priority of a generation.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Priority {
        /// Live request, whose caller waits.
        Live,
        /// Sample of a trainer.
        Sample,
    }

    /// One line of the response to `POST /generate`.
    #[serde(untagged)]
    pub enum TokenLine {
        /// A token.
        Token {
            /// Id of the request.
            id: String,
            /// Index in the whole generation, starting at 0.
            index: u32,
            /// Text of the token.
            token: String,
            /// Weight version that generated the token.
            version: u64,
        },
        /// The last line, which confirms that the generation is complete.
        End {
            /// Id of the request.
            id: String,
            /// Always true.
            end: bool,
            /// Number of tokens of the whole generation.
            tokens: u32,
            /// Number of tokens in the prompt.
            prompt_tokens: u32,
        },
    }

    /// Response to `GET /load`.
    pub struct EngineLoadReport {
        /// Number of running generations.
        pub running: u32,
        /// Number of queued generations.
        pub queued: u32,
        /// Tokens per second, summed over all running generations.
        pub tokens_per_second: u32,
        /// Weight version in use.
        pub version: u64,
        /// Whether the engine is about to stop.
        pub leaving: bool,
        /// Digests of the prompt prefixes in the KV cache.
        pub cached_prefixes: Vec<u64>,
        /// When the values were measured, in milliseconds since 1970.
        pub measured_at_ms: i64,
    }

    /// Body of `POST /load-version`.
    pub struct LoadVersion {
        /// Name of the model.
        pub model: String,
        /// Version to load.
        pub version: u64,
        /// Fencing token of the zone's lease.
        pub fencing: u64,
    }

    /// Body of `POST /cancel` and `POST /kv/export`.
    pub struct StreamId {
        /// Id of the generation.
        pub id: String,
    }

    /// Response to `POST /kv/export`, and body of `POST /kv/import`.
    pub struct Kv {
        /// Id of the generation.
        pub id: String,
        /// Contents in base16.
        pub data: String,
    }
}

impl TokenLine {
    /// Returns the id of the generation to which the line belongs.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Token { id, .. } | Self::End { id, .. } => id,
        }
    }
}
