//! An admitted request: the resources that it holds until it ends, and the reports of its end to
//! the control thread, the metrics and the log.

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

/// An admitted request. Dropping it ends its claim. The drop of its fields releases the admission
/// ticket and ends the count as a request in flight.
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    pub(crate) route: ResolvedRoute,
    /// `None` on open routes.
    pub(crate) owner: Option<KeyOwner>,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: Moment,
    pub(crate) deadline: Moment,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) tracker: AttemptTracker,
    /// The claim of the idempotency key that the request holds and must end.
    pub(crate) claim: Option<ClaimKey>,
    pub(crate) _in_flight: InFlightGuard,
    pub(crate) meter: RequestMeter,
}

/// Releases the admission ticket and reports the usage when it is dropped, so that both happen
/// however the request ends.
pub(crate) struct RequestMeter {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) ticket: Option<AdmissionTicket>,
    /// Customer to whom the usage is charged, `None` on open routes.
    pub(crate) customer: Option<String>,
    pub(crate) amount: UsageAmount,
}

/// Sends a message to the control thread. If the channel is full, a task waits for room, so that
/// the message is not lost and the caller of this function does not block.
pub(crate) fn send_to_control(shared: &SharedState, message: ControlMessage) {
    let Err(TrySendError::Full(message)) = shared.control.try_send(message) else { return };
    let control = shared.control.clone();
    actix_rt::spawn(async move {
        let _ = control.send(message).await;
    });
}

/// Waits until an upstream is reserved for the request if it is suspect. Returns `None` at once if
/// it is not.
///
/// # Errors
///
/// Returns the refusal of the suspect table, for example when no upstream becomes free in time.
pub(crate) async fn await_isolation(
    shared: &SharedState,
    request: &CallerRequest,
) -> Result<Option<UpstreamKey>, Refusal> {
    let (now, wall) = (shared.clock.now(), wall_now());
    let (reply, reserved) = oneshot::channel();
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
    forward_suspect_actions(shared, actions);
    let mut guard = IsolationGuard { shared, request: Some(request.id) };
    let result = reserved.await;
    guard.request = None;
    match result {
        Ok(Ok(upstream)) => Ok(Some(upstream)),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => {
            let mut refusal = Refusal::not_run(
                RefusalCode::NoUpstream,
                "no upstream is free for an isolated run",
            );
            refusal.execution = request.tracker.execution();
            Err(refusal.with_retry_after(Span::from_secs(1)))
        }
    }
}

/// Withdraws a suspect that waits for an isolated run when its caller disconnects.
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
        forward_suspect_actions(self.shared, actions);
    }
}

/// Passes actions of the suspect table to the control thread, which informs the other nodes.
pub(crate) fn forward_suspect_actions(shared: &SharedState, actions: Vec<delivery::SuspectAction>) {
    if !actions.is_empty() {
        // If the channel is full, the message is dropped, so that the request does not wait. The
        // other nodes then do not learn of these actions, which are not sent again.
        let _ = shared.control.try_send(ControlMessage::Suspicion(actions));
    }
}

impl CallerRequest {
    /// Sends the metrics of a completed request: its duration since arrival and its generated
    /// tokens.
    pub(crate) fn count_answered(&self, shared: &SharedState) {
        let took = shared.clock.now().since(self.arrived_at);
        let tokens = self.meter.amount.generated_tokens;
        shared.metrics.count_answered(&self.route.entry.service, took, tokens);
    }

    /// Returns the name of the customer, empty on open routes.
    pub(crate) fn customer(&self) -> &str {
        self.owner.as_ref().map_or("", |owner| &owner.customer)
    }

    /// Sets the usage of the request so far. Generated tokens are billed even if the response ends
    /// early.
    pub(crate) const fn set_usage(&mut self, amount: UsageAmount) {
        self.meter.amount = amount;
    }

    /// Reports the outcome of the idempotency claim. Does nothing if the request holds no claim or
    /// has ended it.
    pub(crate) fn end_claim(&mut self, shared: &SharedState, outcome: ClaimOutcome) {
        if self.claim.take().is_none() {
            return;
        }
        send_to_control(shared, ControlMessage::ClaimEnded { request: self.id, outcome });
    }

    /// Returns the claim's outcome for a request that ended without a complete response. It is
    /// unknown once an upstream may have run the request.
    pub(crate) const fn failed_outcome(&self) -> ClaimOutcome {
        match self.tracker.execution() {
            Execution::NotRun => ClaimOutcome::NotRun,
            Execution::MayHaveRun => ClaimOutcome::Unknown,
        }
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        // The claim is still held only if the request was abandoned before it reported an outcome.
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
        send_to_control(&self.shared, ControlMessage::UsageMetered(usage));
    }
}

/// Counts and logs a refusal and keeps it for `explain`.
pub(crate) fn log_refusal(shared: &SharedState, id: RequestId, refusal: &Refusal) {
    shared.metrics.count_refused(refusal);
    log_event!(RequestRefused, request = format_request_id(id), refusal = %refusal);
    record_decision(shared, id, base::EventCode::RequestRefused, refusal.to_string());
}

/// Sends a decision event to be kept for `explain`. It is dropped if the channel is full: the log
/// has the same event.
pub(crate) fn record_decision(
    shared: &SharedState,
    id: RequestId,
    code: base::EventCode,
    detail: String,
) {
    let event = DecisionEvent { subject: format_request_id(id), code, detail };
    let _ = shared.control.try_send(ControlMessage::Decision(event));
}

/// Returns the time left before the deadline of a request, zero when it has passed.
pub(crate) fn time_left(shared: &SharedState, deadline: Moment) -> std::time::Duration {
    to_duration(deadline.since(shared.clock.now()))
}
