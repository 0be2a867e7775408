//! Messages from the traffic threads and from [`crate::Daemon`] to the control thread.

use base::{Refusal, UpstreamKey};
use delivery::{ClaimKey, ClaimOutcome, Fingerprint, RequestId, SuspectAction};
use tokio::sync::oneshot;
use usage::UsageByCustomer;

use crate::trace::DecisionEvent;

/// A message to the control thread, which handles messages in the order of their arrival.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Usage of finished requests, to be added to the current usage batch.
    UsageMetered(UsageByCustomer),
    /// A request asks for the claim of its idempotency key before it runs.
    Claim { request: ClaimRequest, reply: oneshot::Sender<ClaimDecision> },
    /// A request that was granted its claim has ended, or its caller disconnected before the
    /// decision.
    ClaimEnded { request: RequestId, outcome: ClaimOutcome },
    /// An exchange failed and the upstream may have crashed. The reply is sent when the control
    /// thread has probed the upstream and recorded the result.
    CrashCheck { upstream: UpstreamKey, fingerprint: Fingerprint, reply: oneshot::Sender<()> },
    /// Suspicions, convictions, and reserved or released upstreams, to be sent to the other nodes.
    Suspicion(Vec<SuspectAction>),
    /// A decision event to be kept for the `explain` command.
    Decision(DecisionEvent),
    /// An authenticated request of a trainer. The reply is the JSON body of the response or a
    /// refusal.
    Trainer { request: TrainerRequest, reply: oneshot::Sender<Result<serde_json::Value, Refusal>> },
    /// Finish the requests in flight, hand over usage and leases, and reply when that is done.
    Drain(oneshot::Sender<()>),
}

/// A request for the claim of an idempotency key. The claim lets one request per key run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClaimRequest {
    pub(crate) claim: ClaimKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) request: RequestId,
    /// Time by which the caller must be answered.
    pub(crate) deadline: base::Moment,
}

/// The reply to a [`ClaimRequest`].
#[derive(Debug)]
pub(crate) enum ClaimDecision {
    /// The request holds the claim and must run.
    Run,
    /// An earlier request with the key was answered; its response is sent again.
    Replay {
        status: u16,
        body: Vec<u8>,
    },
    Refuse(Refusal),
}

/// A request of an operator to the admin address.
#[derive(Debug)]
pub(crate) enum AdminRequest {
    Status,
    Usage,
    /// Decision events of the request, sample or order with this id.
    Explain(String),
}

/// A request of a trainer whose API key has been checked.
#[derive(Debug)]
pub(crate) enum TrainerRequest {
    /// Opens a training step.
    OpenStep(StepRequest),
    /// Fetches samples with delivery numbers above `after`. `version` is the trainer's current
    /// weight version.
    FetchSamples { trainer: String, after: u64, version: u64 },
}

/// Parameters of a training step that a trainer opens.
#[derive(Debug, Clone)]
pub(crate) struct StepRequest {
    pub(crate) trainer: String,
    pub(crate) step: u64,
    /// The trainer's current weight version.
    pub(crate) version: u64,
    /// Highest delivery number that the trainer has received. With `None` the number of its
    /// previous statement stays in force.
    pub(crate) after: Option<u64>,
    pub(crate) prompts: Vec<String>,
    pub(crate) samples_per_group: u32,
    pub(crate) max_tokens: u32,
}
