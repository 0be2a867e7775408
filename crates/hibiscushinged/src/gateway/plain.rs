//! Requests whose response is not streamed: attempts, hedging and the final response.

use std::{cell::OnceCell, rc::Rc};

use actix_http::{Method, header::HeaderMap};
use base::{Moment, Refusal, RefusalCode, Span, UpstreamKey};
use bytes::Bytes;
use delivery::Fingerprint;
use dispatch::{PlainPickRequest, RequestOrigin};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use platform::{UpstreamRequestMetadata, forward_headers};
use smallvec::SmallVec;

use crate::{
    gateway::{
        attempt::{AttemptCall, AttemptError, FullResponse, log_attempt, run_exchange, wait_until},
        crash_check::{self, CallerRun, RunTarget},
        suspect_runs,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Fraction of the latency objective after which a retryable request is also sent to a second
/// upstream. The rest of the objective is enough for a usual response.
const HEDGE_FRACTION: f64 = 0.6;

/// Minimum time that an attempt needs. A request with less time left is not sent.
const MIN_ATTEMPT_TIME: Span = Span::from_millis(5);

/// Retry-After of a refused request that no upstream has run.
const RETRY_AFTER: Span = Span::from_millis(150);

/// Delay before the next attempt when no upstream has run the request.
const RETRY_DELAY: Span = Span::from_millis(20);

/// A request whose response is not streamed; `relay` also uses it for streams.
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
    pub(crate) origin: RequestOrigin,
    /// Software version at which a stream goes on, if the request resumes one.
    pub(crate) software_version: Option<String>,
    /// Fingerprint, once it was needed.
    pub(crate) digest: OnceCell<Fingerprint>,
}

impl PlainJob<'_> {
    /// Returns the fingerprint by which every node recognizes repeats of a caller's request, or
    /// `None` for a reward call: an item is owed even if upstreams crash while they run it.
    pub(crate) fn fingerprint(&self) -> Option<Fingerprint> {
        if self.origin == RequestOrigin::Item {
            return None;
        }
        let customer = self.customer.unwrap_or_default();
        Some(*self.digest.get_or_init(|| Fingerprint::of(customer, self.path, &self.body)))
    }

    /// Builds the request for one upstream, with the time that is left as its deadline.
    pub(crate) fn call(
        &self,
        traffic: &TrafficState,
        upstream: UpstreamKey,
        time_left: Span,
    ) -> AttemptCall<'_> {
        let instance = traffic.balancer.borrow().entry(upstream).id.clone();
        let metadata = UpstreamRequestMetadata {
            id: self.id,
            host: self.host,
            customer: self.customer,
            instance: &instance,
            deadline: Some(time_left),
            resume_after: None,
        };
        AttemptCall {
            upstream,
            id: self.id,
            method: self.method.clone(),
            path: self.path,
            headers: forward_headers(self.headers, &metadata),
            body: self.body.clone(),
            billed_customer: self.customer,
            origin: self.origin,
        }
    }
}

/// Upstreams that may end while they run one request. Then it is not sent again; its caller can
/// repeat it.
pub(crate) const MAX_CRASHES: usize = 2;

/// State of the attempts of one request.
#[derive(Default)]
struct AttemptState {
    tried: SmallVec<[UpstreamKey; 4]>,
    /// Attempts without a result yet.
    running: SmallVec<[RunTarget; 4]>,
    /// Upstreams that ended while they ran the request.
    crashes: usize,
    may_have_run: bool,
    failed_response: Option<FullResponse>,
    last_reason: Option<String>,
}

/// Result of one attempt.
struct AttemptResult {
    upstream: UpstreamKey,
    result: Result<FullResponse, AttemptError>,
    /// Whether the upstream ended while it ran the request.
    crashed: bool,
}

/// Runs a request and returns its response, which may be an upstream's status of 500 or above.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run.
pub(crate) async fn run_plain(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
) -> Result<FullResponse, Refusal> {
    let mut state = AttemptState::default();
    let mut running = FuturesUnordered::new();
    let hedge_delay = Span((job.latency_objective.0 as f64 * HEDGE_FRACTION) as u64);
    let mut hedge_at = traffic.node.now();
    let mut permit = None;
    loop {
        if running.is_empty() && permit.is_none() && state.may_send(traffic, job) {
            match suspect_runs::acquire(traffic, job).await {
                Ok(acquired) => permit = acquired,
                Err(refusal) if state.tried.is_empty() => return Err(refusal),
                Err(_) => return state.give_up(job.deadline.since(traffic.node.now())),
            }
        }
        let now = traffic.node.now();
        let time_left = job.deadline.since(now);
        let may_send = time_left >= MIN_ATTEMPT_TIME && state.may_send(traffic, job);
        // A suspect runs on one upstream at a time.
        let should_hedge = job.retryable
            && now >= hedge_at
            && running.len() == 1
            && !crash_check::is_suspect(traffic, job);
        if may_send && (running.is_empty() || should_hedge) {
            if let Some(upstream) = pick(traffic, job, &state.tried) {
                state.tried.push(upstream);
                let target = RunTarget::new(traffic, upstream).permitted_by(permit.as_ref());
                state.running.push(target);
                log_attempt(traffic, job, upstream, state.tried.len(), time_left);
                running.push(run_attempt(traffic, job, target, time_left));
            }
            hedge_at = now + hedge_delay;
        }
        if running.is_empty() {
            if may_send && state.tried.is_empty() {
                return Err(no_upstream(traffic, job));
            }
            return state.give_up(time_left);
        }
        let next = if running.len() == 1 { hedge_at.min(job.deadline) } else { job.deadline };
        tokio::select! {
            Some(attempt) = running.next() => {
                if let Some(response) = state.record_result(traffic, job, attempt) {
                    return Ok(response);
                }
                if running.is_empty() && !state.may_have_run {
                    wait_until(traffic, (traffic.node.now() + RETRY_DELAY).min(job.deadline)).await;
                }
            }
            () = wait_until(traffic, next) => {
                if traffic.node.now() >= job.deadline {
                    state.may_have_run = true;
                    for target in &state.running {
                        if let Some(run) = CallerRun::new(job, *target) {
                            run.record_unanswered(traffic);
                        }
                    }
                    return state.give_up(Span::ZERO);
                }
            }
        }
    }
}

/// Chooses the upstream for the next attempt.
pub(crate) fn pick(
    traffic: &TrafficState,
    job: &PlainJob<'_>,
    tried: &[UpstreamKey],
) -> Option<UpstreamKey> {
    let zone = &traffic.node.settings.zone;
    let connected = &traffic.pool.connected();
    let suspect = crash_check::is_suspect(traffic, job);
    let request = PlainPickRequest {
        service: job.service,
        zone,
        tried,
        connected,
        suspect,
        origin: job.origin,
        software_version: job.software_version.as_deref(),
        jitter_seed: rand::random(),
    };
    traffic.balancer.borrow().pick_plain(traffic.node.now(), &request)
}

/// Returns the refusal of a request for which no upstream can be picked, by the limits of the
/// upstreams if these are the reason.
pub(crate) fn no_upstream(traffic: &TrafficState, job: &PlainJob<'_>) -> Refusal {
    let now = traffic.node.now();
    let limited = traffic.balancer.borrow_mut().record_limited(now, job.service, job.origin);
    let (code, message, retry_after) = match limited {
        Some(span) => {
            let message = "all usable upstreams have reached the limits on requests that they name";
            (RefusalCode::UpstreamsLimited, message, span)
        }
        None => (RefusalCode::NoUpstream, "no upstream is usable", RETRY_AFTER),
    };
    Refusal::not_run(code, message).with_retry_after(retry_after)
}

async fn run_attempt(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    target: RunTarget,
    time_left: Span,
) -> AttemptResult {
    let upstream = target.upstream;
    let call = job.call(traffic, upstream, time_left);
    let result = run_exchange(traffic, call).await;
    let crashed = match &result {
        Err(AttemptError::MaybeRun(_)) => match CallerRun::new(job, target) {
            Some(run) => run.check_crash(traffic).await,
            None => false,
        },
        Ok(response) if response.status.as_u16() < 500 => {
            crash_check::record_response(traffic, job, target);
            false
        }
        _ => false,
    };
    AttemptResult { upstream, result, crashed }
}

impl AttemptState {
    /// Returns whether the request may be sent to a further upstream.
    fn may_send(&self, traffic: &TrafficState, job: &PlainJob<'_>) -> bool {
        self.tried.len() < job.max_attempts
            && (job.retryable || !self.may_have_run)
            && !self.is_blocked(traffic, job)
    }

    /// Returns whether upstreams have ended under the request or its repeats so often that it is
    /// not sent again.
    fn is_blocked(&self, traffic: &TrafficState, job: &PlainJob<'_>) -> bool {
        self.crashes >= MAX_CRASHES || crash_check::check_convicted(traffic, job).is_err()
    }

    /// Records the result of an attempt, and returns the response if it is final.
    fn record_result(
        &mut self,
        traffic: &TrafficState,
        job: &PlainJob<'_>,
        attempt: AttemptResult,
    ) -> Option<FullResponse> {
        let AttemptResult { upstream, result, crashed } = attempt;
        self.running.retain(|running| running.upstream != upstream);
        self.crashes += usize::from(crashed);
        let balancer = traffic.balancer.borrow();
        let name = &balancer.entry(upstream).id;
        match result {
            Ok(response) if response.status.as_u16() < 500 => return Some(response),
            Ok(response) => {
                log_event!(
                    AttemptFailed,
                    request = job.id,
                    upstream = name,
                    status = response.status.as_u16()
                );
                self.may_have_run = true;
                if !job.retryable {
                    return Some(response);
                }
                self.failed_response = Some(response);
            }
            Err(error) => {
                let ran = matches!(error, AttemptError::MaybeRun(_));
                let fingerprint = job.fingerprint().filter(|_| ran).map(|found| found.to_string());
                log_event!(
                    AttemptFailed,
                    request = job.id,
                    upstream = name,
                    may_have_run = ran,
                    reason = error.reason(),
                    fingerprint,
                );
                self.may_have_run |= ran;
                self.last_reason = Some(String::from(error.reason()));
            }
        }
        None
    }

    /// Returns the end of a request that gets no further attempt: the last failed response, or a
    /// refusal.
    fn give_up(&mut self, time_left: Span) -> Result<FullResponse, Refusal> {
        if let Some(response) = self.failed_response.take() {
            return Ok(response);
        }
        if time_left < MIN_ATTEMPT_TIME {
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
        Refusal::not_run(code, reason).with_retry_after(RETRY_AFTER)
    }
}
