//! Streamed responses, relayed to the caller as they arrive.

use std::rc::Rc;

use actix_http::{
    Response,
    body::{BodyStream, BoxBody},
};
use base::{Refusal, RefusalCode, Span, UpstreamKey};
use dispatch::ExchangeOutcome;
use futures_util::stream;
use platform::relay_headers;
use smallvec::SmallVec;

use crate::{
    gateway::{
        attempt::{AttemptError, AttemptGuard, log_attempt, open_exchange},
        channel::Exchange,
        crash_check::{self, CallerRun, RunTarget},
        plain::{MAX_CRASHES, PlainJob, no_upstream, pick},
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

/// State of a relayed stream. It counts as in flight until it is dropped.
struct RelayState {
    traffic: Rc<TrafficState>,
    upstream: UpstreamKey,
    exchange: Option<Exchange>,
    attempt: Option<AttemptGuard>,
    run: Option<CallerRun>,
    _permit: Option<RunPermit>,
    _in_flight: InFlightGuard,
}

/// Sends a request with a streamed response and relays the chunks as they arrive. If the upstream's
/// stream fails, the caller's connection is closed, so that the response does not look complete.
///
/// # Errors
///
/// Returns a refusal when no upstream has begun to respond.
pub(crate) async fn relay(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    in_flight: InFlightGuard,
) -> Result<Response<BoxBody>, Refusal> {
    let mut tried: SmallVec<[UpstreamKey; 4]> = SmallVec::new();
    let mut reason = String::from("no upstream is usable");
    let mut may_have_run = false;
    let mut crashes = 0;
    let mut permit = None;
    while tried.len() < job.max_attempts && crashes < MAX_CRASHES {
        if crash_check::check_convicted(traffic, job).is_err() {
            break;
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
        match begin(traffic, job, upstream, time_left).await {
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
                    run: CallerRun::new(job, target),
                    _permit: permit,
                    _in_flight: in_flight,
                };
                return Ok(stream_response(exchange, state));
            }
            Err((AttemptError::NotRun(cause), outcome)) => {
                attempt.finish(outcome);
                log_event!(AttemptFailed, request = job.id, may_have_run = false, reason = cause);
                reason = cause;
            }
            Err((AttemptError::MaybeRun(cause), outcome)) => {
                attempt.finish(outcome);
                log_event!(AttemptFailed, request = job.id, may_have_run = true, reason = cause);
                if let Some(run) = CallerRun::new(job, target) {
                    crashes += usize::from(run.check_crash(traffic).await);
                }
                reason = cause;
                may_have_run = true;
                if !job.retryable {
                    break;
                }
            }
        }
    }
    if may_have_run {
        return Err(Refusal::may_have_run(RefusalCode::UpstreamFailed, reason));
    }
    Err(Refusal::not_run(RefusalCode::Overloaded, reason).with_retry_after(RETRY_AFTER))
}

async fn begin(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    upstream: UpstreamKey,
    time_left: Span,
) -> Result<Exchange, (AttemptError, ExchangeOutcome)> {
    let call = job.call(traffic, upstream, time_left);
    let timeout = crate::clock::to_duration(time_left);
    match tokio::time::timeout(timeout, open_exchange(traffic, call)).await {
        Ok(result) => result,
        Err(_) => {
            let reason = String::from("the upstream sent no response before the deadline");
            Err((AttemptError::MaybeRun(reason), ExchangeOutcome::TimedOut))
        }
    }
}

fn stream_response(exchange: Exchange, mut state: RelayState) -> Response<BoxBody> {
    let status = exchange.head().status;
    let headers = relay_headers(exchange.head());
    state.exchange = Some(exchange);
    let body = BodyStream::new(Box::pin(stream::unfold(state, next_chunk)));
    response::with_headers(status, BoxBody::new(body), headers)
}

async fn next_chunk(
    mut state: RelayState,
) -> Option<(Result<bytes::Bytes, std::io::Error>, RelayState)> {
    let exchange = state.exchange.as_mut()?;
    match exchange.chunk().await {
        Ok(Some(chunk)) => Some((Ok(chunk), state)),
        Ok(None) => {
            let exchange = state.exchange.take()?;
            if let Some(run) = &state.run
                && exchange.head().status.as_u16() < 500
            {
                run.record_response(&state.traffic);
            }
            state.traffic.keep_channel(state.upstream, exchange);
            if let Some(attempt) = state.attempt.take() {
                attempt.finish(ExchangeOutcome::Cancelled);
            }
            None
        }
        Err(error) => {
            state.exchange = None;
            if let Some(attempt) = state.attempt.take() {
                attempt.finish(ExchangeOutcome::TransportError);
            }
            if let Some(run) = &state.run {
                run.check_crash(&state.traffic).await;
            }
            Some((Err(std::io::Error::other(error.to_string())), state))
        }
    }
}
