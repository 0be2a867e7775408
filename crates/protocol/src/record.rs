//! Records of the platform's log.

use base::{Incarnation, RecordId};
use serde::{Deserialize, Serialize};

macro_rules! wire {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)] $item)*
    };
}
pub(crate) use wire;

wire! {
    /// Writer and sequence number of a record, an order, a request or a sample.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct WireId {
        /// Incarnation of the writer.
        pub writer: u64,
        /// Number among those of the writer.
        pub sequence: u64,
    }

    /// One record of the log.
    pub enum LogRecord {
        /// An operator's edit of a document.
        ConfigEdit(ConfigEdit),
        /// An operator's promotion of a document to another environment.
        ConfigPromote(ConfigPromote),
        /// Snapshot of an environment's latest document.
        ConfigCarry(ConfigCarry),
        /// A process claims a scope.
        LeaseClaim(LeaseClaim),
        /// The holder extends its lease.
        LeaseRenew(LeaseRenew),
        /// The holder gives its lease up.
        LeaseRelease(LeaseRelease),
        /// The holder of a zone intends an upstream order.
        OrderIntent(OrderIntent),
        /// What became of an upstream order.
        OrderOutcome(OrderOutcome),
        /// Usage that one node metered.
        UsageBatch(UsageBatch),
        /// The holder of the usage scope closes a window.
        WindowClose(WindowClose),
        /// The platform accepted the report of a window.
        WindowReported(WindowReported),
        /// A trainer asked for the samples of a step.
        StepOpened(StepOpened),
        /// A sample for a slot exists.
        SampleFilled(SampleFilled),
        /// A delivery number is bound to a sample.
        SampleBound(SampleBound),
        /// A sample will not be delivered, or no longer.
        SampleVoided(SampleVoided),
        /// A trainer stated its weight version.
        TrainerStated(TrainerStated),
        /// A node claims the right to run a request with an idempotency key.
        ClaimTaken(ClaimTaken),
        /// A claimed request has ended.
        ClaimDone(ClaimDone),
        /// A request fingerprint is blocked.
        Verdict(Verdict),
        /// Snapshot of the demand model.
        DemandCarry(DemandCarry),
    }

    /// An operator's edit of a document.
    pub struct ConfigEdit {
        /// Environment of the document.
        pub environment: String,
        /// Version the edit builds on; 0 for the first.
        pub base_version: u64,
        /// Whole new document.
        pub text: String,
        /// Operator, for the record.
        pub author: String,
    }

    /// An operator's promotion of a document to another environment.
    pub struct ConfigPromote {
        /// Environment whose document is copied.
        pub from_environment: String,
        /// Version that is copied.
        pub from_version: u64,
        /// Environment that receives it.
        pub to_environment: String,
        /// Version of the receiving environment that the promotion builds on.
        pub base_version: u64,
        /// Operator, for the record.
        pub author: String,
    }

    /// Snapshot of an environment's latest document.
    pub struct ConfigCarry {
        /// Environment of the document.
        pub environment: String,
        /// Version of the document.
        pub version: u64,
        /// Whole document.
        pub text: String,
    }

    /// A process claims a scope.
    pub struct LeaseClaim {
        /// Zone name, `usage` or `fleet`.
        pub scope: String,
        /// Incarnation of the claimant.
        pub holder: u64,
        /// VM name of the claimant.
        pub holder_name: String,
        /// Length of the lease.
        pub term_ms: u64,
        /// Offset of the claim that this one succeeds.
        pub after: Option<u64>,
    }

    /// The holder extends its lease.
    pub struct LeaseRenew {
        /// Scope of the lease.
        pub scope: String,
        /// Incarnation of the holder.
        pub holder: u64,
        /// Offset of the holder's claim.
        pub fencing: u64,
    }

    /// The holder gives its lease up.
    pub struct LeaseRelease {
        /// Scope of the lease.
        pub scope: String,
        /// Incarnation of the holder.
        pub holder: u64,
        /// Offset of the holder's claim.
        pub fencing: u64,
    }

    /// The holder of a zone intends an upstream order.
    pub struct OrderIntent {
        /// Idempotent id of the order.
        pub order: WireId,
        /// Zone of the order.
        pub zone: String,
        /// Service of the order.
        pub service: String,
        /// `start` or `stop`.
        pub kind: String,
        /// Number of upstreams to start.
        pub count: u32,
        /// Upstream to stop, or empty.
        pub upstream: String,
        /// Fencing number of the holder.
        pub fencing: u64,
    }

    /// What became of an upstream order.
    pub struct OrderOutcome {
        /// Id of the order.
        pub order: WireId,
        /// Zone of the order.
        pub zone: String,
        /// Whether the platform carried it out.
        pub accepted: bool,
        /// The platform's answer.
        pub detail: String,
    }

    /// Usage of one customer.
    pub struct UsageLine {
        /// Name of the customer.
        pub customer: String,
        /// Completed or partly run requests.
        pub requests: u64,
        /// Prompt tokens.
        pub prompt_tokens: u64,
        /// Generated tokens.
        pub generated_tokens: u64,
    }

    /// Usage that one node metered.
    pub struct UsageBatch {
        /// The node that served.
        pub incarnation: u64,
        /// Number of the batch, starting at 1.
        pub sequence: u64,
        /// Usage by customer.
        pub lines: Vec<UsageLine>,
    }

    /// The holder of the usage scope closes a window.
    pub struct WindowClose {
        /// Number of the window.
        pub window: u64,
        /// Fencing number of the holder.
        pub fencing: u64,
    }

    /// The platform accepted the report of a window.
    pub struct WindowReported {
        /// Number of the window.
        pub window: u64,
        /// Fencing number of the holder.
        pub fencing: u64,
    }

    /// A trainer asked for the samples of a step.
    pub struct StepOpened {
        /// Name of the trainer.
        pub trainer: String,
        /// Number of the step.
        pub step: u64,
        /// One prompt for each group.
        pub prompts: Vec<String>,
        /// Samples of each group.
        pub samples_per_group: u32,
        /// Bound on the tokens of a sample.
        pub max_tokens: u32,
        /// The trainer's weight version at the time.
        pub version: u64,
    }

    /// Tokens of a sample generated by one weight version.
    pub struct WireVersionSpan {
        /// Weight version as the engine reported it.
        pub version: u64,
        /// Number of tokens.
        pub tokens: u32,
    }

    /// A sample for a slot exists.
    pub struct SampleFilled {
        /// Name of the trainer.
        pub trainer: String,
        /// Step of the slot.
        pub step: u64,
        /// Group of the slot.
        pub group: u32,
        /// Index in the group.
        pub index: u32,
        /// Id of the sample.
        pub sample: WireId,
        /// Weight versions in token order.
        pub versions: Vec<WireVersionSpan>,
        /// Digest of the sample's bytes.
        pub digest: u64,
        /// VMs that hold the bytes.
        pub holders: Vec<String>,
    }

    /// A delivery number is bound to a sample.
    pub struct SampleBound {
        /// Name of the trainer.
        pub trainer: String,
        /// Delivery number.
        pub number: u64,
        /// Id of the sample.
        pub sample: WireId,
    }

    /// A sample will not be delivered, or no longer.
    pub struct SampleVoided {
        /// Name of the trainer.
        pub trainer: String,
        /// Id of the sample.
        pub sample: WireId,
        /// Why it is void.
        pub reason: String,
    }

    /// A trainer stated its weight version.
    pub struct TrainerStated {
        /// Name of the trainer.
        pub trainer: String,
        /// Weight version.
        pub version: u64,
    }

    /// A node claims the right to run a request with an idempotency key.
    pub struct ClaimTaken {
        /// Customer of the request.
        pub customer: String,
        /// Digest of the idempotency key.
        pub key_digest: u64,
        /// The request.
        pub request: WireId,
        /// Wall time of expiry.
        pub expires_ms: i64,
    }

    /// A claimed request has ended.
    pub struct ClaimDone {
        /// Customer of the request.
        pub customer: String,
        /// Digest of the idempotency key.
        pub key_digest: u64,
        /// The request.
        pub request: WireId,
        /// `answered`, `not-run` or `may-have-run`.
        pub outcome: String,
    }

    /// A request fingerprint is blocked.
    pub struct Verdict {
        /// Digest of customer, route and body.
        pub fingerprint: u64,
        /// Wall time of expiry.
        pub expires_ms: i64,
    }

    /// Snapshot of the demand model.
    pub struct DemandCarry {
        /// The model in its own text form.
        pub data: String,
    }
}

impl From<RecordId> for WireId {
    fn from(id: RecordId) -> Self {
        Self { writer: id.writer.0, sequence: id.sequence }
    }
}

impl From<WireId> for RecordId {
    fn from(id: WireId) -> Self {
        Self { writer: Incarnation(id.writer), sequence: id.sequence }
    }
}
