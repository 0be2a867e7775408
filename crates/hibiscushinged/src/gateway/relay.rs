//! Streamed responses, relayed to the caller as they arrive.

use std::{pin::pin, rc::Rc};

use actix_http::{
    Response,
    body::{BodyStream, BoxBody},
};
use base::{Execution, Moment, ProcessDigest, Refusal, RefusalCode, Span, UpstreamKey};
use dispatch::{ExchangeOutcome, LinkState, PeerOutcome};
use futures_util::stream;
use platform::{EventBoundary, relay_headers};
use protocol::ForwardOutcome;
use smallvec::SmallVec;

use crate::{
    clock::to_duration,
    gateway::{
        attempt::{
            AttemptCall, AttemptError, AttemptGuard, log_attempt, open_exchange, wait_until,
        },
        channel::{ChannelError, Exchange},
        crash_check::{self, RequestRun, RunTarget},
        forward::{self, ForwardError, ForwardedExchange},
        links,
        plain::{MAX_CRASHES, MIN_SILENCE, PlainJob, no_upstream, pick},
        response,
        stream_origins::record_origin,
        suspect_runs::{self, RunPermit},
        traffic_state::TrafficState,
    },
    shared::InFlightGuard,
    telemetry::log_event,
};

/// Retry-After of a refused request.
const RETRY_AFTER: Span = Span::from_millis(150);

/// Time after the deadline of a request for which its stream may still end by itself. Upstreams end
/// their responses at the deadline that they are given.
const STREAM_END_GRACE: Span = Span::from_millis(400);

/// Time without a response after which a stream that may run again leaves a connection that is probably
/// dead: this, or as many latency objectives as [`MAX_SILENT_OBJECTIVES`] if that is longer. Callers
/// wait for twice as long, which leaves the next attempt as much.
const MIN_SILENT_WAIT: Span = Span::from_secs(1);

/// See [`MIN_SILENT_WAIT`].
const MAX_SILENT_OBJECTIVES: u64 = 2;

/// State of a relayed stream. It counts as in flight until it is dropped.
struct RelayState {
    traffic: Rc<TrafficState>,
    upstream: UpstreamKey,
    exchange: Option<Exchange>,
    attempt: Option<AttemptGuard>,
    run: RequestRun,
    /// Whether the stream so far ends after an event, if its end is that of its connection.
    boundary: Option<EventBoundary>,
    /// When the stream is cut if it has not ended.
    ends_at: Moment,
    _permit: Option<RunPermit>,
    _in_flight: InFlightGuard,
}

/// Sends a request with a streamed response and relays the chunks as they arrive. If the upstream's
/// stream fails, the caller's connection is closed, so that the response does not look complete.
///
/// # Errors
///
/// Returns a refusal when no upstream has begun to respond. It says whether any attempt may have run.
pub(crate) async fn relay(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    in_flight: InFlightGuard,
) -> Result<Response<BoxBody>, Refusal> {
    let mut may_have_run = false;
    let response = run_attempts(traffic, job, in_flight, &mut may_have_run).await;
    response.map_err(|refusal| refusal.after_attempts(may_have_run))
}

/// Makes the attempts of a request. Sets `may_have_run` once one of them may have run the request
/// without a response.
async fn run_attempts(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    in_flight: InFlightGuard,
    may_have_run: &mut bool,
) -> Result<Response<BoxBody>, Refusal> {
    if job.forwarded && traffic.links.state(job.service) == LinkState::Lost {
        return Err(forward::links_lost());
    }
    let mut tried: SmallVec<[UpstreamKey; 4]> = SmallVec::new();
    let mut reason = String::from("no upstream is usable");
    let mut crashes = 0;
    let mut permit = None;
    let mut send_failed = false;
    let mut trusted_since = Moment(0);
    while tried.len() < job.max_attempts && crashes < MAX_CRASHES {
        if crash_check::check_convicted(traffic, job).is_err() {
            break;
        }
        if should_forward(traffic, job, send_failed) {
            let attempts = job.max_attempts - tried.len();
            return forward(traffic, job, attempts, in_flight, *may_have_run).await;
        }
        if permit.is_none() {
            match suspect_runs::acquire(traffic, job).await {
                Ok(acquired) => permit = acquired,
                Err(refusal) if tried.is_empty() => return Err(refusal),
                Err(refusal) => {
                    reason = refusal.message;
                    break;
                }
            }
        }
        let time_left = job.deadline.since(traffic.node.now());
        let Some(upstream) = pick(traffic, job, &tried) else {
            if tried.is_empty() {
                return Err(no_upstream(traffic, job));
            }
            break;
        };
        tried.push(upstream);
        log_attempt(traffic, job, upstream, tried.len(), time_left);
        let software = traffic.balancer.borrow().entry(upstream).software_version.clone();
        let attempt = AttemptGuard::acquire(traffic, upstream, job.origin);
        let target = RunTarget::new(traffic, upstream).permitted_by(permit.as_ref());
        let may_retry = job.retryable && tried.len() < job.max_attempts;
        let mut call = job.call(traffic, upstream, time_left, trusted_since);
        call.silence_limit = job.latency_objective.max(MIN_SILENCE);
        let began = begin(traffic, job, call, may_retry).await;
        if let Some(since) = traffic.pool.silence_of(traffic.node.now(), upstream, target.sent_at) {
            trusted_since = since;
        }
        match began {
            Ok(exchange) => {
                let begins = job.retryable && job.software_version.is_none();
                if begins && exchange.head().status.is_success() {
                    record_origin(traffic, job, &software).await;
                }
                let state = RelayState {
                    traffic: Rc::clone(traffic),
                    upstream,
                    exchange: None,
                    attempt: Some(attempt),
                    run: RequestRun::new(job, target),
                    boundary: (exchange.ends_with_connection()
                        && exchange.head().status.is_success())
                    .then(EventBoundary::default),
                    ends_at: job.deadline + STREAM_END_GRACE,
                    _permit: permit,
                    _in_flight: in_flight,
                };
                let leaving = job.forwarded && exchange.metadata().leaving;
                let leaving = leaving.then(|| target.process());
                return Ok(stream_response(exchange, leaving, state));
            }
            Err((AttemptError::NotRun(cause), outcome)) => {
                attempt.finish(outcome);
                log_event!(AttemptFailed, request = job.id, may_have_run = false, reason = cause);
                reason = cause;
                send_failed = true;
            }
            Err((error, outcome)) => {
                let cause = String::from(error.reason());
                attempt.finish(outcome);
                log_event!(AttemptFailed, request = job.id, may_have_run = true, reason = cause);
                let run = RequestRun::new(job, target);
                crashes += usize::from(run.check_crash(traffic).await);
                reason = cause;
                *may_have_run = true;
                if !job.retryable {
                    break;
                }
            }
        }
    }
    if !*may_have_run && send_failed && traffic.links.state(job.service) != LinkState::Working {
        if should_forward(traffic, job, send_failed) {
            return forward(traffic, job, job.max_attempts, in_flight, false).await;
        }
        return Err(forward::links_lost());
    }
    Err(Refusal::not_run(RefusalCode::Overloaded, reason).with_retry_after(RETRY_AFTER))
}

/// Returns whether a request should be passed to another node, because this one does not reach the
/// upstreams.
fn should_forward(traffic: &TrafficState, job: &PlainJob<'_>, send_failed: bool) -> bool {
    let unreached = match traffic.links.state(job.service) {
        LinkState::Working => false,
        LinkState::Doubtful => send_failed,
        LinkState::Lost => true,
    };
    unreached && job.may_forward()
}

/// Passes a request to another node and relays its response. `may_have_run` says whether an attempt
/// of this node may have run the request, so that a refusal by the other node does not answer it.
///
/// # Errors
///
/// Returns a refusal that says whether the other node may have run the request.
async fn forward(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    attempts: usize,
    in_flight: InFlightGuard,
    may_have_run: bool,
) -> Result<Response<BoxBody>, Refusal> {
    match forward::open(traffic, job, attempts).await {
        Ok(ForwardedExchange { outcome: ForwardOutcome::Refused(Execution::NotRun), .. })
            if may_have_run =>
        {
            let reason = "another node refused the request, which an upstream may have run before";
            Err(Refusal::may_have_run(RefusalCode::UpstreamFailed, reason))
        }
        Ok(forwarded) => Ok(forwarded_response(forwarded, in_flight)),
        Err(ForwardError::Unreached) => Err(forward::links_lost()),
        Err(ForwardError::Broken(reason)) => {
            log_event!(ForwardFailed, request = job.id, service = job.service, reason);
            Err(Refusal::may_have_run(RefusalCode::UpstreamFailed, reason))
        }
    }
}

/// Relays the response of another node. If it breaks off, so does the caller's.
fn forwarded_response(forwarded: ForwardedExchange, in_flight: InFlightGuard) -> Response<BoxBody> {
    let status = forwarded.exchange.head().status;
    let headers = forward::relay_headers(&forwarded.exchange);
    let state = (forwarded, in_flight);
    let chunks = stream::unfold(Some(state), async |state| {
        let (mut forwarded, in_flight) = state?;
        match forwarded.exchange.chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some((forwarded, in_flight)))),
            Ok(None) => {
                forwarded.guard.finish(PeerOutcome::Answered);
                None
            }
            Err(error) => Some((Err(std::io::Error::other(error.to_string())), None)),
        }
    });
    response::with_headers(status, BoxBody::new(BodyStream::new(Box::pin(chunks))), headers)
}

/// Sends a request, and returns its exchange once the head of the response has arrived. If it
/// `may_retry`, it does not wait on a connection that is probably dead.
async fn begin(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    call: AttemptCall<'_>,
    may_retry: bool,
) -> Result<Exchange, (AttemptError, ExchangeOutcome)> {
    let (upstream, sent_at) = (call.upstream, traffic.node.now());
    let silent_wait = Span(job.latency_objective.0 * MAX_SILENT_OBJECTIVES).max(MIN_SILENT_WAIT);
    let leaves_at = sent_at + silent_wait;
    let silent_error = |reason: &str| {
        let reason = String::from(reason);
        Err((AttemptError::MaybeRun(reason), ExchangeOutcome::TimedOut))
    };
    let mut check_at = sent_at + job.latency_objective;
    let mut opening = pin!(open_exchange(traffic, call));
    loop {
        tokio::select! {
            result = &mut opening => return result,
            () = traffic.links.changed.notified() => {}
            () = wait_until(traffic, check_at.min(job.deadline)) => {
                links::record_failure(traffic, upstream, sent_at);
                check_at += job.latency_objective.max(MIN_SILENCE);
            }
        }
        let now = traffic.node.now();
        if now >= job.deadline {
            return silent_error("the upstream sent no response before the deadline");
        }
        // A silent connection says nothing more once the links are lost.
        if job.retryable && traffic.links.state(job.service) == LinkState::Lost {
            return silent_error("the links to all upstreams were lost during the request");
        }
        if may_retry
            && now >= leaves_at
            && traffic.pool.silence().is_alone_silent(now, upstream, sent_at)
        {
            return silent_error("the connection to the upstream fell silent");
        }
    }
}

/// Relays the response of an upstream. `leaving` is its process if another node has to learn that
/// it is leaving.
fn stream_response(
    exchange: Exchange,
    leaving: Option<ProcessDigest>,
    mut state: RelayState,
) -> Response<BoxBody> {
    let status = exchange.head().status;
    let mut headers = relay_headers(exchange.head());
    if let Some(process) = leaving {
        forward::name_leaving(&mut headers, process);
    }
    state.exchange = Some(exchange);
    let body = BodyStream::new(Box::pin(stream::unfold(state, next_chunk)));
    response::with_headers(status, BoxBody::new(body), headers)
}

async fn next_chunk(
    mut state: RelayState,
) -> Option<(Result<bytes::Bytes, std::io::Error>, RelayState)> {
    let exchange = state.exchange.as_mut()?;
    let time_left = state.ends_at.since(state.traffic.node.now());
    let Ok(chunk) = tokio::time::timeout(to_duration(time_left), exchange.chunk()).await else {
        state.exchange = None;
        if let Some(attempt) = state.attempt.take() {
            attempt.finish(ExchangeOutcome::TimedOut);
        }
        let error = std::io::Error::other("the stream did not end before the deadline");
        return Some((Err(error), state));
    };
    let is_cut = state.boundary.is_some_and(|boundary| !boundary.is_after_event());
    let chunk = match chunk {
        Ok(None) if is_cut => Err(ChannelError::Closed(String::from(
            "closed in the middle of an event, or before the first one",
        ))),
        chunk => chunk,
    };
    match chunk {
        Ok(Some(chunk)) => {
            if let Some(boundary) = &mut state.boundary {
                boundary.feed(&chunk);
            }
            Some((Ok(chunk), state))
        }
        Ok(None) => {
            let exchange = state.exchange.take()?;
            let outcome = if exchange.head().status.as_u16() < 500 {
                state.run.record_response(&state.traffic);
                ExchangeOutcome::Completed
            } else {
                ExchangeOutcome::Cancelled
            };
            state.traffic.keep_channel(state.upstream, exchange);
            if let Some(attempt) = state.attempt.take() {
                attempt.finish(outcome);
            }
            None
        }
        Err(error) => {
            state.exchange = None;
            if let Some(attempt) = state.attempt.take() {
                attempt.finish(ExchangeOutcome::TransportError);
            }
            state.run.check_crash(&state.traffic).await;
            Some((Err(std::io::Error::other(error.to_string())), state))
        }
    }
}
