//! A caller's request from its arrival to its admission: validation, rate limit, queue and claim of
//! the idempotency key.

use std::{rc::Rc, sync::Arc};

use actix_http::{Method, Request, Response, body::BoxBody};
use admission::{LimitDecision, RequestClass};
use base::{Refusal, RefusalCode, Span};
use bytes::Bytes;
use delivery::{
    AttemptTracker, ClaimKey, ClaimOutcome, Fingerprint, FingerprintStatus, RequestId,
    RequestIdempotency, RetryPolicy,
};
use document::{RoutePriority, ServiceKind};
use tokio::sync::oneshot;
use usage::UsageAmount;

use crate::{
    clock::wall_now,
    control_message::{ClaimDecision, ClaimRequest, ControlMessage},
    scheduler::{AdmissionRequest, AdmissionTicket},
    shared::{SharedState, format_request_id},
    traffic::{
        admitted::{CallerRequest, RequestMeter, log_refusal, send_to_control},
        plain,
        request::{self, GenerateBody},
        response, stream,
        worker::TrafficWorker,
    },
    view::PLAIN_CALL_TOKENS,
};

/// Bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Kind of work that a request runs.
pub(crate) enum RequestWork {
    /// A generation on a model engine.
    Generate(GenerateBody),
    /// A call to a plain service.
    Plain,
}

/// Serves a caller's request. `path` is the part of the path after `/v1/`. The response has the
/// request id in the header [`response::REQUEST_ID`].
pub(crate) async fn serve(
    worker: Rc<TrafficWorker>,
    path: &str,
    mut incoming: Request,
) -> Response<BoxBody> {
    let id = worker.shared.next_request_id();
    let response = match accept(&worker, id, path, &mut incoming).await {
        Ok((request, RequestWork::Generate(body))) => stream::run(worker, request, body).await,
        Ok((request, RequestWork::Plain)) => plain::run(worker, request).await,
        Err(EarlyResponse::Refused(refusal)) => {
            log_refusal(&worker.shared, id, &refusal);
            response::refusal(&refusal)
        }
        Err(EarlyResponse::Replayed { status, body }) => {
            let status = actix_http::StatusCode::from_u16(status).unwrap_or_default();
            response::with_body(status, "application/octet-stream", Bytes::from(body))
        }
    };
    with_id(response, id)
}

/// How a request is answered without being run: refused, or with the response to an earlier request
/// that had the same idempotency key.
enum EarlyResponse {
    Refused(Refusal),
    Replayed { status: u16, body: Vec<u8> },
}

impl From<Refusal> for EarlyResponse {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Validates a request and waits until it is admitted and may run.
async fn accept(
    worker: &TrafficWorker,
    id: RequestId,
    path: &str,
    incoming: &mut Request,
) -> Result<(CallerRequest, RequestWork), EarlyResponse> {
    let shared = &worker.shared;
    // The request is counted before the phase is read. Otherwise a drain that starts in between
    // could neither refuse the request nor wait for it.
    let in_flight = shared.track_in_flight();
    let arrived_at = shared.clock.now();
    request::check_phase(shared)?;
    let view = shared.view.load_full();
    let Some(route) = view.routes.get(path) else {
        let message = format!("route \"{path}\" does not exist");
        return Err(Refusal::not_run(RefusalCode::RouteUnknown, message).into());
    };
    if *incoming.method() != Method::POST {
        let message = format!("method {} is not allowed, use POST", incoming.method());
        return Err(Refusal::not_run(RefusalCode::RequestInvalid, message).into());
    }
    let owner = request::authenticate(&view, route, incoming)?;
    let deadline = request::deadline(shared.clock.now(), route, incoming)?;
    let idempotency_key = request::idempotency_key(incoming)?;
    let max_bytes = shared.settings.bounds.request_bytes as usize;
    let body = request::read_body(incoming, max_bytes).await?;
    let (work, tokens) = match route.kind {
        ServiceKind::Model => {
            let generate = request::parse::<GenerateBody>(&body)?;
            let prompt_tokens = (generate.prompt.len() / BYTES_PER_TOKEN) as u32;
            let tokens = generate.max_tokens.saturating_add(prompt_tokens);
            (RequestWork::Generate(generate), tokens)
        }
        ServiceKind::Plain => (RequestWork::Plain, PLAIN_CALL_TOKENS),
    };
    let customer = owner.as_ref().map(|owner| owner.customer.as_str());
    let customer_name = customer.unwrap_or("");
    let fingerprint = Fingerprint::of(customer_name, path, &body);
    check_conviction(shared, fingerprint)?;

    let mut meter = RequestMeter {
        shared: Arc::clone(shared),
        ticket: None,
        customer: customer.map(String::from),
        amount: UsageAmount::default(),
    };
    let class = match route.entry.priority {
        RoutePriority::Live => RequestClass::Live,
        RoutePriority::Sample => RequestClass::Sample(admission::TrainerKey(u32::MAX)),
    };
    let admission = AdmissionRequest {
        customer: view.customer_key(customer),
        class,
        tokens,
        min_charge: view.min_charge(customer_name),
        deadline,
    };
    meter.ticket = admit(shared, &route.entry.service, admission).await?;

    let idempotency = match route.entry.idempotent {
        true => RequestIdempotency::Idempotent,
        false => RequestIdempotency::NonIdempotent,
    };
    let mut claim = None;
    if let Some(key) = idempotency_key.filter(|_| idempotency == RequestIdempotency::NonIdempotent)
    {
        let claim_key = ClaimKey::of(customer_name, &key);
        let claim_request = ClaimRequest { claim: claim_key, fingerprint, request: id, deadline };
        take_claim(shared, claim_request).await?;
        claim = Some(claim_key);
    }
    let request = CallerRequest {
        id,
        route: route.clone(),
        owner,
        body,
        arrived_at,
        deadline,
        fingerprint,
        tracker: AttemptTracker::new(idempotency, deadline, RetryPolicy::default()),
        claim,
        _in_flight: in_flight,
        meter,
    };
    Ok((request, work))
}

/// Refuses a request whose fingerprint is convicted.
fn check_conviction(shared: &SharedState, fingerprint: Fingerprint) -> Result<(), Refusal> {
    let status = shared.scheduler().fingerprint_status(wall_now(), fingerprint);
    let FingerprintStatus::Convicted { retry_after } = status else { return Ok(()) };
    let message = "this request has crashed upstreams and is blocked until its conviction expires";
    Err(Refusal::not_run(RefusalCode::Convicted, message).with_retry_after(retry_after))
}

/// Charges the customer's limit and waits in the queue until the request may start.
///
/// # Errors
///
/// Returns the refusal of the rate limiter or of the queue.
async fn admit(
    shared: &Arc<SharedState>,
    service: &str,
    request: AdmissionRequest,
) -> Result<Option<AdmissionTicket>, Refusal> {
    loop {
        let decision = shared.scheduler().charge_limit(shared.clock.now(), &request);
        match decision {
            LimitDecision::Admitted => break,
            LimitDecision::Refused(refusal) => return Err(refusal),
            LimitDecision::AwaitGrant => actix_rt::time::sleep(GRANT_POLL_PERIOD).await,
        }
    }
    let (reply, queue_decision) = oneshot::channel();
    let ticket = shared.scheduler().enqueue(shared.clock.now(), service, request, reply);
    // The guard removes the request from the queue if its caller disconnects while it waits.
    let mut guard = QueueGuard { shared: Arc::clone(shared), ticket };
    match queue_decision.await {
        Ok(Ok(())) => Ok(guard.ticket.take()),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::not_run(
            RefusalCode::Overloaded,
            "the request was removed from the queue before it was admitted",
        )),
    }
}

/// Period at which a request checks whether the node's first grant of its customer's limit has
/// arrived.
const GRANT_POLL_PERIOD: std::time::Duration = std::time::Duration::from_millis(20);

/// Releases the ticket when it is dropped, unless the ticket was taken out.
struct QueueGuard {
    shared: Arc<SharedState>,
    ticket: Option<AdmissionTicket>,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.shared.scheduler().release(self.shared.clock.now(), ticket, 0);
        }
    }
}

/// Waits for the control thread's decision on the claim of an idempotency key.
async fn take_claim(shared: &SharedState, request: ClaimRequest) -> Result<(), EarlyResponse> {
    let unavailable = || {
        let message = "the claim of the idempotency key cannot be decided at present";
        let refusal = Refusal::not_run(RefusalCode::LogUnavailable, message);
        EarlyResponse::Refused(refusal.with_retry_after(Span::from_secs(1)))
    };
    let (reply, decision) = oneshot::channel();
    let claim_message = ControlMessage::Claim { request, reply };
    let mut guard = ClaimGuard { shared, request: Some(request.request) };
    shared.control.send(claim_message).await.map_err(|_| unavailable())?;
    let decision = decision.await;
    guard.request = None;
    match decision {
        Ok(ClaimDecision::Run) => Ok(()),
        Ok(ClaimDecision::Refuse(refusal)) => Err(refusal.into()),
        Ok(ClaimDecision::Replay { status, body }) => Err(EarlyResponse::Replayed { status, body }),
        Err(_) => Err(unavailable()),
    }
}

/// Ends the claim as not run when the caller disconnects before the claim is decided.
struct ClaimGuard<'a> {
    shared: &'a SharedState,
    request: Option<RequestId>,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            send_to_control(
                self.shared,
                ControlMessage::ClaimEnded { request, outcome: ClaimOutcome::NotRun },
            );
        }
    }
}

/// Adds the header with the request id to a response.
fn with_id(mut response: Response<BoxBody>, id: RequestId) -> Response<BoxBody> {
    if let Ok(value) = actix_http::header::HeaderValue::from_str(&format_request_id(id)) {
        response.headers_mut().insert(response::REQUEST_ID, value);
    }
    response
}
