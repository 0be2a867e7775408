//! Calls to plain services, whose responses are read completely before they are passed on.

use std::rc::Rc;

use actix_http::{Response, StatusCode, body::BoxBody, header::HeaderValue};
use base::{Refusal, RefusalCode, UpstreamKey};
use clients::{CallError, HttpRequest, HttpResponse};
use delivery::{AttemptAction, AttemptEvent, ClaimOutcome, FailureCause, SuspectEvent};
use routing::RequestOutcome;
use usage::UsageAmount;

use crate::{
    clock::wall_now,
    shared::format_request_id,
    telemetry::log_event,
    traffic::{
        admitted::{self, CallerRequest, record_decision},
        choice::{self, ChosenUpstream},
        response,
        worker::TrafficWorker,
    },
    view::PLAIN_CALL_TOKENS,
};

/// A call with its attempts. It is dropped when the caller disconnects, which ends the running
/// attempt.
struct PlainCall {
    worker: Rc<TrafficWorker>,
    request: CallerRequest,
    /// The upstream of the running attempt.
    running_on: Option<UpstreamKey>,
}

/// Runs a call to a plain service, with retries, and returns the response for the caller.
pub(crate) async fn run(worker: Rc<TrafficWorker>, request: CallerRequest) -> Response<BoxBody> {
    let id = request.id;
    let mut call = PlainCall { worker: Rc::clone(&worker), request, running_on: None };
    match call.run_attempts().await {
        Ok(upstream_response) => {
            let body = upstream_response.body.clone();
            let status = upstream_response.status.as_u16();
            let outcome = ClaimOutcome::Answered { status, body: body.to_vec() };
            call.request.end_claim(&worker.shared, outcome);
            call.request.count_answered(&worker.shared);
            log_event!(
                RequestCompleted,
                request = format_request_id(id),
                customer = call.request.customer()
            );
            let detail = format!("status {status}, {} bytes", body.len());
            record_decision(&worker.shared, id, base::EventCode::RequestCompleted, detail);
            response::with_body(upstream_response.status, "application/octet-stream", body)
        }
        Err(refusal) => {
            let outcome = call.request.failed_outcome();
            call.request.end_claim(&worker.shared, outcome);
            admitted::log_refusal(&worker.shared, id, &refusal);
            response::refusal(&refusal)
        }
    }
}

impl PlainCall {
    /// Tries upstreams until one has answered or the call is refused.
    async fn run_attempts(&mut self) -> Result<HttpResponse, Refusal> {
        let worker = Rc::clone(&self.worker);
        let shared = &worker.shared;
        loop {
            let chosen = self.choose().await?;
            let upstream = chosen.key;
            self.handle(AttemptEvent::Chosen(upstream));
            let fingerprint = Some(self.request.fingerprint);
            let (now, wall) = (shared.clock.now(), wall_now());
            let in_flight =
                shared.scheduler().start(now, wall, upstream, PLAIN_CALL_TOKENS, fingerprint);
            self.running_on = Some(upstream);
            let result = self.exchange(&chosen).await;
            let outcome = match &result {
                Ok(_) => RequestOutcome::Completed { tokens: PLAIN_CALL_TOKENS },
                Err(_) => RequestOutcome::Failed,
            };
            shared.scheduler().finish(shared.clock.now(), in_flight, outcome);
            match result {
                Ok(upstream_response) => {
                    self.record_finished(upstream);
                    self.handle(AttemptEvent::Answered);
                    let amount = UsageAmount { requests: 1, ..UsageAmount::default() };
                    self.request.set_usage(amount);
                    return Ok(upstream_response);
                }
                Err(error) => self.handle_failure(upstream, &error).await?,
            }
        }
    }

    /// Picks an upstream, or waits for a reserved one if the request is suspect.
    async fn choose(&self) -> Result<ChosenUpstream, Refusal> {
        let shared = &self.worker.shared;
        if let Some(upstream) = admitted::await_isolation(shared, &self.request).await? {
            return choice::isolated_upstream(shared, &self.request, upstream);
        }
        let size = choice::WorkSize { tokens: PLAIN_CALL_TOKENS, prompt_tokens: 0, prefix: None };
        choice::pick(shared, &self.request, &size)
    }

    /// Sends the request to an upstream and reads the complete response.
    async fn exchange(&self, chosen: &ChosenUpstream) -> Result<HttpResponse, CallError> {
        let path = format!("/{}", self.request.route.entry.path);
        let mut request = HttpRequest::post(chosen.address, path, self.request.body.clone());
        if let Ok(id) = HeaderValue::from_str(&format_request_id(self.request.id)) {
            request = request.with_header(response::REQUEST_ID, id);
        }
        let timeout = self.request.deadline.since(self.worker.shared.clock.now());
        let max_bytes = self.worker.shared.settings.bounds.answer_bytes as usize;
        let upstream_response = self.worker.http.exchange(request, timeout, max_bytes).await?;
        if upstream_response.status == StatusCode::SERVICE_UNAVAILABLE {
            // Status 503 does not say that the service has not run the call.
            return Err(CallError {
                failure: clients::CallFailure::Status(503),
                execution: base::Execution::MayHaveRun,
                retry_after: None,
                message: String::from("the service answered with status 503 (service unavailable)"),
            });
        }
        Ok(upstream_response)
    }

    /// Records a failed attempt. Returns the refusal that ends the call, or `Ok` when it may be
    /// retried.
    async fn handle_failure(
        &mut self,
        upstream: UpstreamKey,
        error: &CallError,
    ) -> Result<(), Refusal> {
        let shared = &self.worker.shared;
        if error.may_have_run() && shared.clock.now() >= self.request.deadline {
            // The request runs on no second upstream after its deadline, so the caller need not
            // wait for the crash check.
            choice::check_crash_in_background(shared, upstream, &self.request);
            self.running_on = None;
            self.handle(AttemptEvent::Sending);
        } else if error.may_have_run() {
            choice::check_crash(shared, upstream, &self.request).await;
            self.running_on = None;
            self.handle(AttemptEvent::Sending);
        } else {
            self.record_finished(upstream);
            choice::mark_upstream_suspect(&self.worker.shared, upstream);
        }
        let now = self.worker.shared.clock.now();
        if now >= self.request.deadline {
            return match self.handle_for_refusal(AttemptEvent::Tick) {
                Some(refusal) => Err(refusal),
                None => Err(self.build_refusal(
                    RefusalCode::DeadlineExceeded,
                    "the deadline passed before the service answered",
                )),
            };
        }
        let cause = match error.failure {
            clients::CallFailure::Malformed => FailureCause::AnswerTruncated,
            clients::CallFailure::Status(503) => FailureCause::UpstreamBusy,
            _ if !error.may_have_run() => FailureCause::ConnectFailed,
            _ => FailureCause::ConnectionBroken,
        };
        if let Some(refusal) = self.handle_for_refusal(AttemptEvent::Failed(cause)) {
            return Err(refusal);
        }
        if !self.worker.shared.scheduler().withdraw_retry() {
            return Err(self.build_refusal(RefusalCode::UpstreamFailed, &error.message));
        }
        Ok(())
    }

    /// Tells the suspect table that the request is no longer in flight on an upstream that did not
    /// crash.
    fn record_finished(&mut self, upstream: UpstreamKey) {
        self.running_on = None;
        let shared = &self.worker.shared;
        let event = SuspectEvent::Finished { upstream, fingerprint: self.request.fingerprint };
        let actions =
            shared.scheduler().handle_suspect_event(shared.clock.now(), wall_now(), event);
        admitted::forward_suspect_actions(shared, actions);
    }

    /// Builds a refusal that says whether an attempt may have run.
    fn build_refusal(&self, code: RefusalCode, message: &str) -> Refusal {
        let mut refusal = Refusal::not_run(code, message);
        refusal.execution = self.request.tracker.execution();
        refusal
    }

    /// Applies an event to the attempt tracker and returns the refusal that follows from it, if
    /// any.
    fn handle_for_refusal(&mut self, event: AttemptEvent) -> Option<Refusal> {
        let now = self.worker.shared.clock.now();
        let actions = self.request.tracker.handle(now, event);
        actions.into_iter().find_map(|action| match action {
            AttemptAction::Refuse(refusal) => Some(refusal),
            _ => None,
        })
    }

    /// Passes an event to the attempt tracker and ignores the actions that it returns.
    fn handle(&mut self, event: AttemptEvent) {
        let now = self.worker.shared.clock.now();
        self.request.tracker.handle(now, event);
    }
}

impl Drop for PlainCall {
    fn drop(&mut self) {
        // The caller disconnected during an attempt. The service may have run the call.
        let Some(upstream) = self.running_on else { return };
        self.handle(AttemptEvent::Sending);
        self.record_finished(upstream);
    }
}
