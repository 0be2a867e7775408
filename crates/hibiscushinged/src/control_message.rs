//! Messages to the control thread.

use base::{Refusal, UpstreamKey};
use delivery::{ClaimKey, ClaimOutcome, Fingerprint, RequestId, SuspectAction};
use tokio::sync::oneshot;
use usage::UsageByCustomer;

use crate::trace::DecisionEvent;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Usage of finished requests.
    UsageMetered(UsageByCustomer),
    /// A request with an idempotency key wants to run.
    Claim { request: ClaimRequest, reply: oneshot::Sender<ClaimDecision> },
    /// A request that was told to run has ended.
    ClaimEnded { request: RequestId, outcome: ClaimOutcome },
    /// An exchange broke off; the upstream may have crashed.
    CrashCheck { upstream: UpstreamKey, fingerprint: Fingerprint, reply: oneshot::Sender<()> },
    /// Suspicions, convictions and isolated upstreams to be spread.
    Suspicion(Vec<SuspectAction>),
    /// A decision to keep for `explain`.
    Decision(DecisionEvent),
    /// A request of a trainer.
    Trainer { request: TrainerRequest, reply: oneshot::Sender<Result<serde_json::Value, Refusal>> },
    /// Finish running requests and stop.
    Drain(oneshot::Sender<()>),
}

/// A request that wants its idempotency key.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClaimRequest {
    pub(crate) claim: ClaimKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) request: RequestId,
    pub(crate) deadline: base::Moment,
}

/// What a request with an idempotency key must do.
#[derive(Debug)]
pub(crate) enum ClaimDecision {
    Run,
    Replay { status: u16, body: Vec<u8> },
    Refuse(Refusal),
}

/// A request of an operator.
#[derive(Debug)]
pub(crate) enum AdminRequest {
    Status,
    Usage,
    Explain(String),
}

/// A request of a trainer whose key was checked.
#[derive(Debug)]
pub(crate) enum TrainerRequest {
    /// Opens a step.
    OpenStep(StepRequest),
    /// Fetches samples after a delivery number.
    FetchSamples { trainer: String, after: u64, version: u64 },
}

/// Body of a request that opens a step.
#[derive(Debug, Clone)]
pub(crate) struct StepRequest {
    pub(crate) trainer: String,
    pub(crate) step: u64,
    pub(crate) version: u64,
    /// Highest delivery number that the trainer has. `None` leaves what it stated last.
    pub(crate) after: Option<u64>,
    pub(crate) prompts: Vec<String>,
    pub(crate) samples_per_group: u32,
    pub(crate) max_tokens: u32,
}
