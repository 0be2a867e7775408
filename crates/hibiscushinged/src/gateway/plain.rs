//! Requests that are answered whole: tries, hedges and the final answer.

use std::rc::Rc;

use actix_http::{Method, header::HeaderMap};
use base::{Moment, Refusal, RefusalCode, Span, UpstreamKey};
use bytes::Bytes;
use dispatch::PlainPickRequest;
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use platform::{UpstreamRequestMetadata, forward_headers};
use smallvec::SmallVec;

use crate::{
    gateway::{
        attempt::{
            AttemptCall, AttemptError, WholeAnswer, log_attempt, wait_until, whole_exchange,
        },
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Part of the objective after which a request that may run twice is sent to a second upstream. What
/// is left is enough for a usual answer.
const HEDGE_SHARE: f64 = 0.6;

/// Least time that a try needs. A request with less left is not sent.
const LEAST_TRY: Span = Span::from_millis(5);

/// Pause before a refused caller may try again while upstreams are full.
const RETRY_PAUSE: Span = Span::from_millis(150);

/// Pause before the next try after all upstreams refused one.
const FULL_PAUSE: Span = Span::from_millis(20);

/// A request that is answered whole.
pub(crate) struct PlainJob<'a> {
    pub(crate) id: &'a str,
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) host: &'a str,
    pub(crate) headers: &'a HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) customer: Option<&'a str>,
    pub(crate) service: &'a str,
    pub(crate) deadline: Moment,
    pub(crate) latency_objective: Span,
    pub(crate) max_attempts: usize,
    pub(crate) retryable: bool,
}

impl PlainJob<'_> {
    /// Builds the request for one upstream, with the time that is left.
    pub(crate) fn call(
        &self,
        traffic: &TrafficState,
        upstream: UpstreamKey,
        left: Span,
    ) -> AttemptCall<'_> {
        let instance = traffic.balancer.borrow().entry(upstream).id.clone();
        let metadata = UpstreamRequestMetadata {
            id: self.id,
            host: self.host,
            customer: self.customer,
            instance: &instance,
            deadline: Some(left),
            resume_after: None,
        };
        AttemptCall {
            upstream,
            id: self.id,
            method: self.method.clone(),
            path: self.path,
            headers: forward_headers(self.headers, &metadata),
            body: self.body.clone(),
            billed: self.customer,
        }
    }
}

/// State of the tries of one request.
#[derive(Default)]
struct TryState {
    tried: SmallVec<[UpstreamKey; 4]>,
    may_have_run: bool,
    failed_answer: Option<WholeAnswer>,
    last_reason: Option<String>,
}

/// Runs a request and returns its answer, which may be a failure of the upstream.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run.
pub(crate) async fn run_plain(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
) -> Result<WholeAnswer, Refusal> {
    let mut state = TryState::default();
    let mut running = FuturesUnordered::new();
    let hedge = Span((job.latency_objective.0 as f64 * HEDGE_SHARE) as u64);
    let mut hedge_at = traffic.node.now();
    loop {
        let now = traffic.node.now();
        let left = job.deadline.since(now);
        let may_send = state.tried.len() < job.max_attempts
            && left >= LEAST_TRY
            && (job.retryable || !state.may_have_run);
        let hedges = job.retryable && now >= hedge_at && running.len() == 1;
        if may_send && (running.is_empty() || hedges) {
            if let Some(upstream) = pick(traffic, job, &state.tried) {
                state.tried.push(upstream);
                log_attempt(traffic, job.id, upstream, state.tried.len(), left);
                running.push(one_try(traffic, job, upstream, left));
            }
            hedge_at = now + hedge;
        }
        if running.is_empty() {
            return state.give_up(left);
        }
        let next = if running.len() == 1 { hedge_at.min(job.deadline) } else { job.deadline };
        tokio::select! {
            Some((upstream, result)) = running.next() => {
                if let Some(answer) = state.take(traffic, job, upstream, result) {
                    return Ok(answer);
                }
                if running.is_empty() && !state.may_have_run {
                    wait_until(traffic, (traffic.node.now() + FULL_PAUSE).min(job.deadline)).await;
                }
            }
            () = wait_until(traffic, next) => {
                if traffic.node.now() >= job.deadline {
                    state.may_have_run = true;
                    return state.give_up(Span::ZERO);
                }
            }
        }
    }
}

/// Chooses the next upstream for a request.
pub(crate) fn pick(
    traffic: &TrafficState,
    job: &PlainJob<'_>,
    tried: &[UpstreamKey],
) -> Option<UpstreamKey> {
    let zone = &traffic.node.settings.zone;
    let connected = &traffic.pool.connected();
    let jitter_seed = rand::random();
    let request = PlainPickRequest { service: job.service, zone, tried, connected, jitter_seed };
    traffic.balancer.borrow().pick_plain(traffic.node.now(), &request)
}

async fn one_try(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    upstream: UpstreamKey,
    left: Span,
) -> (UpstreamKey, Result<WholeAnswer, AttemptError>) {
    let call = job.call(traffic, upstream, left);
    (upstream, whole_exchange(traffic, call).await)
}

impl TryState {
    /// Takes the end of a try, and returns the answer when it is final.
    fn take(
        &mut self,
        traffic: &TrafficState,
        job: &PlainJob<'_>,
        upstream: UpstreamKey,
        result: Result<WholeAnswer, AttemptError>,
    ) -> Option<WholeAnswer> {
        let balancer = traffic.balancer.borrow();
        let name = &balancer.entry(upstream).id;
        match result {
            Ok(answer) if answer.status.as_u16() < 500 => return Some(answer),
            Ok(answer) => {
                log_event!(
                    AttemptFailed,
                    request = job.id,
                    upstream = name,
                    status = answer.status.as_u16()
                );
                self.may_have_run = true;
                if !job.retryable {
                    return Some(answer);
                }
                self.failed_answer = Some(answer);
            }
            Err(error) => {
                let ran = matches!(error, AttemptError::MaybeRun(_));
                log_event!(
                    AttemptFailed,
                    request = job.id,
                    upstream = name,
                    may_have_run = ran,
                    reason = error.reason(),
                );
                self.may_have_run |= ran;
                self.last_reason = Some(String::from(error.reason()));
            }
        }
        None
    }

    /// Ends a request that cannot be sent again.
    fn give_up(&mut self, left: Span) -> Result<WholeAnswer, Refusal> {
        if let Some(answer) = self.failed_answer.take() {
            return Ok(answer);
        }
        if left < LEAST_TRY {
            return Err(self.refuse(RefusalCode::DeadlineExceeded, "the deadline has passed"));
        }
        let code = match (&self.last_reason, self.may_have_run) {
            (_, true) => RefusalCode::UpstreamFailed,
            (Some(_), false) => RefusalCode::Overloaded,
            (None, false) => RefusalCode::NoUpstream,
        };
        let reason = self.last_reason.as_deref().unwrap_or("no upstream is usable");
        Err(self.refuse(code, reason))
    }

    fn refuse(&self, code: RefusalCode, reason: &str) -> Refusal {
        if self.may_have_run {
            return Refusal::may_have_run(code, reason);
        }
        let code = match code {
            RefusalCode::DeadlineExceeded => RefusalCode::Overloaded,
            code => code,
        };
        Refusal::not_run(code, reason).with_retry_after(RETRY_PAUSE)
    }
}
