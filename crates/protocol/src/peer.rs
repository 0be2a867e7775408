//! Messages between daemons.

use serde::{Deserialize, Serialize};

use crate::record::{UsageBatch, WireId, wire};

wire! {
    /// A request or an answer between two daemons.
    pub enum PeerMessage {
        /// Sign of life inside a zone.
        Heartbeat(HeartbeatMessage),
        /// Exchange between delegates.
        Summary(ZoneSummary),
        /// Asks for a document.
        ConfigFetch(ConfigFetch),
        /// Answers with a document.
        ConfigCopy(ConfigCopy),
        /// Asks to hold a usage batch.
        UsageHold(UsageHold),
        /// Asks to hold a sample, or answers with one.
        SampleCopy(SampleCopy),
        /// Asks for a sample.
        SampleFetch(SampleFetch),
        /// Asks for shares of limits.
        LimitAsk(LimitAsk),
        /// Answers with shares of limits.
        LimitGrant(LimitGrant),
        /// The message was taken.
        Done,
        /// The receiver does not have what was asked for.
        Missing,
    }

    /// State of one upstream as its watcher sees it.
    pub struct LoadEntry {
        /// Name of the upstream.
        pub upstream: String,
        /// Requests running.
        pub running: u32,
        /// Requests waiting.
        pub queued: u32,
        /// Speed of one stream.
        pub tokens_per_second: u32,
        /// Weight version held.
        pub version: u64,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Whether it answers.
        pub up: bool,
        /// Age of the report when the message was sent.
        pub age_ms: u32,
    }

    /// A request fingerprint that crashed an upstream.
    pub struct SuspectEntry {
        /// Digest of customer, route and body.
        pub fingerprint: u64,
        /// Upstreams that crashed with it.
        pub upstreams: Vec<String>,
        /// Whether the fingerprint is blocked.
        pub convicted: bool,
        /// Time until the entry expires.
        pub expires_in_ms: u64,
    }

    /// Periodic sign of life inside a zone.
    pub struct HeartbeatMessage {
        /// Sender.
        pub vm: String,
        /// Zone of the sender.
        pub zone: String,
        /// Run of the sender.
        pub incarnation: u64,
        /// Number of the heartbeat.
        pub sequence: u64,
        /// Configuration in force at the sender.
        pub config_version: u64,
        /// Whether the sender is stopping.
        pub draining: bool,
        /// Changed upstream states.
        pub loads: Vec<LoadEntry>,
        /// Suspect and convicted fingerprints.
        pub suspects: Vec<SuspectEntry>,
    }

    /// Exchange between the delegates of two zones.
    pub struct ZoneSummary {
        /// Sender.
        pub vm: String,
        /// Zone of the sender.
        pub zone: String,
        /// Run of the sender.
        pub incarnation: u64,
        /// Configuration in force at the sender.
        pub config_version: u64,
        /// Live VMs of the zone.
        pub live_vms: Vec<String>,
        /// States of the zone's upstreams.
        pub loads: Vec<LoadEntry>,
        /// Suspect and convicted fingerprints.
        pub suspects: Vec<SuspectEntry>,
    }

    /// Asks for the latest document of an environment.
    pub struct ConfigFetch {
        /// Environment.
        pub environment: String,
    }

    /// The latest document that the sender holds.
    pub struct ConfigCopy {
        /// Environment.
        pub environment: String,
        /// Version.
        pub version: u64,
        /// Document.
        pub text: String,
    }

    /// Asks the receiver to hold a copy of a usage batch.
    pub struct UsageHold {
        /// Id of the batch's log record.
        pub id: WireId,
        /// The batch.
        pub batch: UsageBatch,
    }

    /// The bytes of a sample.
    pub struct SampleCopy {
        /// Id of the sample.
        pub sample: WireId,
        /// Name of the trainer.
        pub trainer: String,
        /// Text of the sample.
        pub text: String,
    }

    /// Asks for the bytes of a sample.
    pub struct SampleFetch {
        /// Id of the sample.
        pub sample: WireId,
    }

    /// Asks the zone's delegate for a share of the customers' limits.
    pub struct LimitAsk {
        /// Sender.
        pub vm: String,
        /// Tokens per second wanted, by customer.
        pub demand: Vec<(String, u64)>,
    }

    /// Shares of the customers' limits.
    pub struct LimitGrant {
        /// Tokens per second granted, by customer.
        pub shares: Vec<(String, u64)>,
        /// Time until the shares expire.
        pub valid_ms: u64,
    }
}
