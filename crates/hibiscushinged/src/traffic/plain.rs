//! Calls to plain services, whose answers have a known length.

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
        admitted::{self, CallerRequest, record},
        choice::{self, ChosenUpstream},
        response,
        worker::TrafficWorker,
    },
    view::PLAIN_CALL_TOKENS,
};

/// A call, also of a caller that disconnects before the answer.
struct PlainCall {
    worker: Rc<TrafficWorker>,
    request: CallerRequest,
    running: Option<UpstreamKey>,
}

pub(crate) async fn run(worker: Rc<TrafficWorker>, request: CallerRequest) -> Response<BoxBody> {
    let id = request.id;
    let mut call = PlainCall { worker: Rc::clone(&worker), request, running: None };
    match call.attempts().await {
        Ok(found) => {
            let body = found.body.clone();
            let status = found.status.as_u16();
            let outcome = ClaimOutcome::Answered { status, body: body.to_vec() };
            call.request.end_claim(&worker.shared, outcome);
            call.request.count_answered(&worker.shared);
            log_event!(
                RequestCompleted,
                request = format_request_id(id),
                customer = call.request.customer()
            );
            let detail = format!("status {status}, {} bytes", body.len());
            record(&worker.shared, id, base::EventCode::RequestCompleted, detail);
            response::with_body(found.status, "application/octet-stream", body)
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
    async fn attempts(&mut self) -> Result<HttpResponse, Refusal> {
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
            self.running = Some(upstream);
            let result = self.exchange(&chosen).await;
            let outcome = match &result {
                Ok(_) => RequestOutcome::Completed { tokens: PLAIN_CALL_TOKENS },
                Err(_) => RequestOutcome::Failed,
            };
            shared.scheduler().finish(shared.clock.now(), in_flight, outcome);
            match result {
                Ok(found) => {
                    self.settle(upstream);
                    self.handle(AttemptEvent::Answered);
                    let amount = UsageAmount { requests: 1, ..UsageAmount::default() };
                    self.request.count(amount);
                    return Ok(found);
                }
                Err(error) => self.failed(upstream, &error).await?,
            }
        }
    }

    async fn choose(&self) -> Result<ChosenUpstream, Refusal> {
        let shared = &self.worker.shared;
        if let Some(upstream) = admitted::isolation(shared, &self.request).await? {
            return choice::isolated(shared, &self.request, upstream);
        }
        let size = choice::WorkSize { tokens: PLAIN_CALL_TOKENS, prompt_tokens: 0, prefix: None };
        choice::pick(shared, &self.request, &size)
    }

    async fn exchange(&self, chosen: &ChosenUpstream) -> Result<HttpResponse, CallError> {
        let path = format!("/{}", self.request.route.entry.path);
        let mut request = HttpRequest::post(chosen.address, path, self.request.body.clone());
        if let Ok(id) = HeaderValue::from_str(&format_request_id(self.request.id)) {
            request = request.with_header(response::REQUEST_ID, id);
        }
        let left = self.request.deadline.since(self.worker.shared.clock.now());
        let longest = self.worker.shared.settings.bounds.answer_bytes as usize;
        let found = self.worker.http.exchange(request, left, longest).await?;
        if found.status == StatusCode::SERVICE_UNAVAILABLE {
            // The service says that it cannot serve the call, but not that it did not run it.
            return Err(CallError {
                failure: clients::CallFailure::Status(503),
                execution: base::Execution::MayHaveRun,
                retry_after: None,
                message: String::from("the service is unavailable"),
            });
        }
        Ok(found)
    }

    async fn failed(&mut self, upstream: UpstreamKey, error: &CallError) -> Result<(), Refusal> {
        let shared = &self.worker.shared;
        if error.may_have_run() && shared.clock.now() >= self.request.deadline {
            // Nothing follows that could crash a second upstream, so the answer need not wait.
            choice::check_crash_later(shared, upstream, &self.request);
            self.running = None;
            self.handle(AttemptEvent::Sending);
        } else if error.may_have_run() {
            choice::check_crash(shared, upstream, &self.request).await;
            self.running = None;
            self.handle(AttemptEvent::Sending);
        } else {
            self.settle(upstream);
            choice::suspect_down(&self.worker.shared, upstream);
        }
        let now = self.worker.shared.clock.now();
        if now >= self.request.deadline {
            return match self.refusal_of(AttemptEvent::Tick) {
                Some(refusal) => Err(refusal),
                None => Err(self.own_refusal(RefusalCode::DeadlineExceeded, "the deadline passed")),
            };
        }
        let cause = match error.failure {
            clients::CallFailure::Malformed => FailureCause::AnswerTruncated,
            clients::CallFailure::Status(503) => FailureCause::UpstreamBusy,
            _ if !error.may_have_run() => FailureCause::ConnectFailed,
            _ => FailureCause::ConnectionBroken,
        };
        if let Some(refusal) = self.refusal_of(AttemptEvent::Failed(cause)) {
            return Err(refusal);
        }
        if !self.worker.shared.scheduler().take_retry() {
            return Err(self.own_refusal(RefusalCode::UpstreamFailed, &error.message));
        }
        Ok(())
    }

    /// Notes that the request left an upstream that did not crash.
    fn settle(&mut self, upstream: UpstreamKey) {
        self.running = None;
        let shared = &self.worker.shared;
        let event = SuspectEvent::Finished { upstream, fingerprint: self.request.fingerprint };
        let actions =
            shared.scheduler().handle_suspect_event(shared.clock.now(), wall_now(), event);
        admitted::forward(shared, actions);
    }

    fn own_refusal(&self, code: RefusalCode, message: &str) -> Refusal {
        let mut refusal = Refusal::not_run(code, message);
        refusal.execution = self.request.tracker.execution();
        refusal
    }

    fn refusal_of(&mut self, event: AttemptEvent) -> Option<Refusal> {
        let now = self.worker.shared.clock.now();
        let actions = self.request.tracker.handle(now, event);
        actions.into_iter().find_map(|action| match action {
            AttemptAction::Refuse(refusal) => Some(refusal),
            _ => None,
        })
    }

    fn handle(&mut self, event: AttemptEvent) {
        let now = self.worker.shared.clock.now();
        self.request.tracker.handle(now, event);
    }
}

impl Drop for PlainCall {
    fn drop(&mut self) {
        // A caller that disconnects ends the call here. The service may have run it.
        let Some(upstream) = self.running else { return };
        self.handle(AttemptEvent::Sending);
        self.settle(upstream);
    }
}
