//! An admitted request: what it holds until it ends, and how its ends are told.

use std::sync::Arc;

use base::{Execution, Moment, Refusal, RefusalCode, Span, UpstreamKey};
use bytes::Bytes;
use delivery::{
    AttemptTracker, ClaimKey, ClaimOutcome, Fingerprint, FingerprintStatus, IsolationRequest,
    RequestId, SuspectEvent,
};
use tokio::sync::{mpsc::error::TrySendError, oneshot};
use usage::{UsageAmount, UsageByCustomer};

use crate::{
    clock::{to_duration, wall_now},
    control_message::ControlMessage,
    scheduler::AdmissionTicket,
    shared::{InFlightGuard, SharedState, format_request_id},
    telemetry::log_event,
    trace::DecisionEvent,
    traffic::request::KeyOwner,
    view::ResolvedRoute,
};

/// An admitted request.
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    pub(crate) route: ResolvedRoute,
    pub(crate) owner: Option<KeyOwner>,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: Moment,
    pub(crate) deadline: Moment,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) tracker: AttemptTracker,
    /// Whether the request holds an idempotency claim that must be ended.
    pub(crate) claim: Option<ClaimKey>,
    pub(crate) _in_flight: InFlightGuard,
    pub(crate) meter: RequestMeter,
}

/// Frees the request's place in the queue and meters its usage when the request ends, however it
/// ends.
pub(crate) struct RequestMeter {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) ticket: Option<AdmissionTicket>,
    pub(crate) customer: Option<String>,
    pub(crate) amount: UsageAmount,
}

/// Sends a message that must not be lost, waiting in a task when the channel is full.
pub(crate) fn tell_control(shared: &SharedState, message: ControlMessage) {
    let Err(TrySendError::Full(message)) = shared.control.try_send(message) else { return };
    let control = shared.control.clone();
    actix_rt::spawn(async move {
        let _ = control.send(message).await;
    });
}

/// An upstream that a suspect may use alone, or `None` when the request is not suspect.
pub(crate) async fn isolation(
    shared: &SharedState,
    request: &CallerRequest,
) -> Result<Option<UpstreamKey>, Refusal> {
    let (now, wall) = (shared.clock.now(), wall_now());
    let (reply, answer) = oneshot::channel();
    let actions = {
        let mut scheduler = shared.scheduler();
        match scheduler.fingerprint_status(wall, request.fingerprint) {
            FingerprintStatus::Clear => return Ok(None),
            FingerprintStatus::Convicted { .. } | FingerprintStatus::Suspect => {}
        }
        let isolation = IsolationRequest {
            request: request.id,
            fingerprint: request.fingerprint,
            route: request.route.key,
            deadline: request.deadline,
            execution: request.tracker.execution(),
            upstreams: smallvec::SmallVec::new(),
        };
        scheduler.request_isolation(now, wall, &request.route.entry.service, isolation, reply)
    };
    forward(shared, actions);
    let mut guard = IsolationGuard { shared, request: Some(request.id) };
    let result = answer.await;
    guard.request = None;
    match result {
        Ok(Ok(upstream)) => Ok(Some(upstream)),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => {
            let mut refusal = Refusal::not_run(RefusalCode::NoUpstream, "no upstream is free");
            refusal.execution = request.tracker.execution();
            Err(refusal.with_retry_after(Span::from_secs(1)))
        }
    }
}

/// Takes a suspect out of the queue when its caller disconnects.
struct IsolationGuard<'a> {
    shared: &'a SharedState,
    request: Option<RequestId>,
}

impl Drop for IsolationGuard<'_> {
    fn drop(&mut self) {
        let Some(request) = self.request else { return };
        let event = SuspectEvent::CallerDisconnected(request);
        let actions = self.shared.scheduler().handle_suspect_event(
            self.shared.clock.now(),
            wall_now(),
            event,
        );
        forward(self.shared, actions);
    }
}

/// Sends what other nodes must learn about suspects to the control thread.
pub(crate) fn forward(shared: &SharedState, actions: Vec<delivery::SuspectAction>) {
    if !actions.is_empty() {
        // A full channel delays the spread; the next heartbeat carries the same state.
        let _ = shared.control.try_send(ControlMessage::Suspicion(actions));
    }
}

impl CallerRequest {
    /// Counts the request as answered.
    pub(crate) fn count_answered(&self, shared: &SharedState) {
        let took = shared.clock.now().since(self.arrived_at);
        let tokens = self.meter.amount.generated_tokens;
        shared.metrics.count_answered(&self.route.entry.service, took, tokens);
    }

    pub(crate) fn customer(&self) -> &str {
        self.owner.as_ref().map_or("", |owner| &owner.customer)
    }

    /// Counts generated tokens, which are billed also when the answer ends early.
    pub(crate) const fn count(&mut self, amount: UsageAmount) {
        self.meter.amount = amount;
    }

    /// Ends the idempotency claim.
    pub(crate) fn end_claim(&mut self, shared: &SharedState, outcome: ClaimOutcome) {
        if self.claim.take().is_none() {
            return;
        }
        tell_control(shared, ControlMessage::ClaimEnded { request: self.id, outcome });
    }

    /// Returns the outcome of a claim whose request ended without a whole answer.
    pub(crate) const fn failed_outcome(&self) -> ClaimOutcome {
        match self.tracker.execution() {
            Execution::NotRun => ClaimOutcome::NotRun,
            Execution::MayHaveRun => ClaimOutcome::Unknown,
        }
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        // A request that ended without stating an outcome was given up on the way.
        let (shared, outcome) = (Arc::clone(&self.meter.shared), self.failed_outcome());
        self.end_claim(&shared, outcome);
    }
}

impl Drop for RequestMeter {
    fn drop(&mut self) {
        let tokens = self.amount.generated_tokens + self.amount.prompt_tokens;
        if let Some(ticket) = self.ticket.take() {
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            self.shared.scheduler().release(self.shared.clock.now(), &ticket, tokens);
        }
        let Some(customer) = self.customer.take() else { return };
        if self.amount == UsageAmount::default() {
            return;
        }
        let mut usage = UsageByCustomer::default();
        if usage.add(&customer, self.amount).is_err() {
            return;
        }
        tell_control(&self.shared, ControlMessage::UsageMetered(usage));
    }
}

pub(crate) fn log_refusal(shared: &SharedState, id: RequestId, refusal: &Refusal) {
    shared.metrics.count_refused(refusal);
    log_event!(RequestRefused, request = format_request_id(id), refusal = %refusal);
    record(shared, id, base::EventCode::RequestRefused, refusal.to_string());
}

/// Keeps a decision for `explain`. A full channel drops it, since the log has the same line.
pub(crate) fn record(shared: &SharedState, id: RequestId, code: base::EventCode, detail: String) {
    let event = DecisionEvent { subject: format_request_id(id), code, detail };
    let _ = shared.control.try_send(ControlMessage::Decision(event));
}

/// Time left before the deadline of a request.
pub(crate) fn time_left(shared: &SharedState, deadline: Moment) -> std::time::Duration {
    to_duration(deadline.since(shared.clock.now()))
}
