//! Requests whose response is not streamed: attempts, hedging and the final response.

use std::{cell::OnceCell, rc::Rc};

use actix_http::{Method, header::HeaderMap};
use base::{Execution, Moment, Refusal, RefusalCode, Span, UpstreamKey};
use bytes::Bytes;
use delivery::Fingerprint;
use dispatch::{LinkState, PlainPickRequest, RequestOrigin};
use futures_util::{StreamExt as _, future::Either, stream::FuturesUnordered};
use platform::{UpstreamRequestMetadata, forward_headers};
use protocol::ForwardOutcome;
use routebook::{HomeRegions, RequestDecision};
use smallvec::SmallVec;

use crate::{
    gateway::{
        attempt::{AttemptCall, AttemptError, FullResponse, log_attempt, run_exchange, wait_until},
        crash_check::{self, RequestRun, RunTarget},
        forward::{self, ForwardError},
        links, suspect_runs,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Fraction of the latency objective after which a retryable request is also sent to a second
/// upstream. The rest of the objective is enough for a usual response.
const HEDGE_FRACTION: f64 = 0.6;

/// Fraction of the latency objective from which a silent connection that is not new may be dead. It
/// is below [`HEDGE_FRACTION`], so that the second attempt can use a connection that is not as old.
const SILENCE_FRACTION: f64 = 0.5;

/// Shortest silence from which a connection may be dead, however short the latency objective is.
pub(crate) const MIN_SILENCE: Span = Span::from_millis(50);

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
    /// Version of the configuration that decided about the request.
    pub(crate) config_version: u64,
    /// Whether the response is a stream that another upstream may go on with.
    pub(crate) resumable: bool,
    pub(crate) origin: RequestOrigin,
    /// Whether another node passed the request on, so that this one must not.
    pub(crate) forwarded: bool,
    /// Whether the request is sent although its fingerprint is convicted.
    pub(crate) on_probation: bool,
    /// Regions in which the request may run.
    pub(crate) home: HomeRegions,
    /// Software version at which a stream goes on, if the request resumes one.
    pub(crate) software_version: Option<String>,
    /// Fingerprint, once it was needed.
    pub(crate) digest: OnceCell<Fingerprint>,
}

impl PlainJob<'_> {
    /// Returns the fingerprint by which every node recognizes repeats of the request. A caller's repeat
    /// has another identifier. A reward call keeps its own, and calls of other items may have equal
    /// bodies, so that a crash under one of them says nothing of the others.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.digest.get_or_init(|| match self.origin {
            RequestOrigin::Caller => {
                Fingerprint::of(self.customer.unwrap_or_default(), self.path, &self.body)
            }
            RequestOrigin::Item => Fingerprint::of(self.id, self.path, &self.body),
        })
    }

    /// Returns whether the request may be passed to another node that reaches its upstreams.
    pub(crate) fn may_forward(&self) -> bool {
        self.origin == RequestOrigin::Caller && !self.forwarded
    }

    /// Returns what this node has decided about the request.
    pub(crate) fn decision(&self) -> RequestDecision {
        RequestDecision {
            config_version: self.config_version,
            service: String::from(self.service),
            customer: self.customer.map(String::from),
            retryable: self.retryable,
        }
    }

    /// Builds the request for one upstream, with the time that is left as its deadline. Its connection
    /// must have delivered since `trusted_since`.
    pub(crate) fn call(
        &self,
        traffic: &TrafficState,
        upstream: UpstreamKey,
        time_left: Span,
        trusted_since: Moment,
    ) -> AttemptCall<'_> {
        let (instance, has_warmup) = {
            let balancer = traffic.balancer.borrow();
            (balancer.entry(upstream).id.clone(), balancer.has_warmup(self.service))
        };
        let metadata = UpstreamRequestMetadata {
            id: self.id,
            host: self.host,
            customer: self.customer,
            instance: &instance,
            deadline: Some(time_left),
            resume_after: None,
        };
        let silence_limit = Span((self.latency_objective.0 as f64 * SILENCE_FRACTION) as u64);
        AttemptCall {
            upstream,
            id: self.id,
            method: self.method.clone(),
            path: self.path,
            headers: forward_headers(self.headers, &metadata),
            body: self.body.clone(),
            billed_customer: self.customer,
            origin: self.origin,
            process_bound: self.resumable || has_warmup,
            trusted_since,
            silence_limit: silence_limit.max(MIN_SILENCE),
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
    /// Moment since which the connection of the next attempt must have delivered.
    trusted_since: Moment,
    /// Upstreams that ended while they ran the request.
    crashes: usize,
    may_have_run: bool,
    /// Attempts that have run or may still run.
    runs: usize,
    /// Whether an attempt failed before an upstream ran it.
    send_failed: bool,
    /// Whether the request was passed to another node.
    forwarded: bool,
    failed_response: Option<FullResponse>,
    last_reason: Option<String>,
}

/// Result of one attempt.
struct AttemptResult {
    /// The upstream, or none if another node got the request.
    upstream: Option<UpstreamKey>,
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
    let response = run_attempts(traffic, job, &mut state).await;
    response.map_err(|refusal| refusal.after_attempts(state.may_have_run))
}

async fn run_attempts(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    state: &mut AttemptState,
) -> Result<FullResponse, Refusal> {
    if job.forwarded && traffic.links.state(job.service) == LinkState::Lost {
        return Err(forward::links_lost());
    }
    let mut running = FuturesUnordered::new();
    let hedge_delay = Span((job.latency_objective.0 as f64 * HEDGE_FRACTION) as u64);
    let mut hedge_at = traffic.node.now();
    let mut permit = None;
    loop {
        if running.is_empty()
            && permit.is_none()
            && state.may_send(traffic, job)
            && !state.should_forward(traffic, job)
        {
            match suspect_runs::acquire(traffic, job).await {
                Ok(acquired) => permit = acquired,
                Err(refusal) if state.tried.is_empty() => return Err(refusal),
                Err(_) => {
                    let time_left = job.deadline.since(traffic.node.now());
                    return state.give_up(traffic, job, time_left);
                }
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
        if time_left >= MIN_ATTEMPT_TIME
            && (running.is_empty() || job.retryable)
            && state.should_forward(traffic, job)
        {
            // The other node runs a suspect by its own claim.
            permit = None;
            state.forwarded = true;
            let attempts = job.max_attempts - state.runs;
            running.push(Either::Right(run_forwarded(traffic, job, attempts)));
        } else if may_send && !state.forwarded && (running.is_empty() || should_hedge) {
            if let Some(upstream) = pick(traffic, job, &state.tried) {
                state.tried.push(upstream);
                state.observe_silence(traffic);
                let target = RunTarget::new(traffic, upstream).permitted_by(permit.as_ref());
                state.running.push(target);
                log_attempt(traffic, job, upstream, state.tried.len(), time_left);
                state.runs += 1;
                let call = job.call(traffic, upstream, time_left, state.trusted_since);
                running.push(Either::Left(run_attempt(traffic, job, target, call)));
            }
            hedge_at = now + hedge_delay;
        }
        if running.is_empty() {
            if state.forwarded && !state.may_have_run {
                return Err(forward::links_lost());
            }
            if may_send && state.tried.is_empty() {
                return Err(no_upstream(traffic, job));
            }
            return state.give_up(traffic, job, time_left);
        }
        let next = if hedge_at > now { hedge_at.min(job.deadline) } else { job.deadline };
        tokio::select! {
            Some(attempt) = running.next() => {
                if let Some(response) = state.record_result(traffic, job, attempt) {
                    return Ok(response);
                }
                if running.is_empty() && !state.may_have_run {
                    wait_until(traffic, (traffic.node.now() + RETRY_DELAY).min(job.deadline)).await;
                }
            }
            () = traffic.links.changed.notified() => {}
            () = wait_until(traffic, next) => {
                for target in &state.running {
                    links::record_failure(traffic, target.upstream, target.sent_at);
                }
                if traffic.node.now() >= job.deadline {
                    state.may_have_run = true;
                    for target in &state.running {
                        RequestRun::new(job, *target).record_unanswered(traffic);
                    }
                    return state.give_up(traffic, job, Span::ZERO);
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
    let connected = &traffic.pool.idle_counts(traffic.node.now());
    let suspect = crash_check::is_suspect(traffic, job);
    let request = PlainPickRequest {
        service: job.service,
        zone,
        tried,
        connected,
        suspect,
        origin: job.origin,
        software_version: job.software_version.as_deref(),
        home: job.home.as_list(),
        jitter_seed: rand::random(),
    };
    traffic.balancer.borrow().pick_plain(traffic.node.now(), &request)
}

/// Returns the refusal of a request for which no upstream can be picked, by the limits of the
/// upstreams if these are the reason.
pub(crate) fn no_upstream(traffic: &TrafficState, job: &PlainJob<'_>) -> Refusal {
    let now = traffic.node.now();
    let home = job.home.as_list();
    let limited = traffic.balancer.borrow_mut().record_limited(now, job.service, job.origin, home);
    let (code, message, retry_after) = match limited {
        Some(span) => {
            let message = "all usable upstreams have reached the limits on requests that they name";
            (RefusalCode::UpstreamsLimited, message, span)
        }
        None if home.is_some() => {
            traffic.node.metrics.home_refusals.inc();
            let message = "no upstream in the home regions of the request is usable";
            (RefusalCode::NoUpstream, message, RETRY_AFTER)
        }
        None => (RefusalCode::NoUpstream, "no upstream is usable", RETRY_AFTER),
    };
    Refusal::not_run(code, message).with_retry_after(retry_after)
}

async fn run_attempt(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    target: RunTarget,
    call: AttemptCall<'_>,
) -> AttemptResult {
    let upstream = target.upstream;
    let mut result = run_exchange(traffic, call).await;
    if let Ok(response) = &mut result
        && job.forwarded
        && response.metadata.leaving
    {
        forward::name_leaving(&mut response.headers, target.process());
    }
    let crashed = match &result {
        Err(AttemptError::MaybeRun(_)) => RequestRun::new(job, target).check_crash(traffic).await,
        Ok(response) if response.status.as_u16() < 500 => {
            crash_check::record_response(traffic, job, target);
            false
        }
        _ => false,
    };
    AttemptResult { upstream: Some(upstream), result, crashed }
}

/// Passes a request to another node. A refusal is returned as the response if it is true for the
/// request as a whole.
async fn run_forwarded(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    attempts: usize,
) -> AttemptResult {
    let result = match forward::run(traffic, job, attempts).await {
        Ok((response, ForwardOutcome::Refused(Execution::NotRun))) => {
            Err(AttemptError::Refused(Box::new(response)))
        }
        Ok((response, _)) => Ok(response),
        Err(ForwardError::Unreached) => {
            Err(AttemptError::NotRun(String::from("no other node reaches an upstream either")))
        }
        Err(ForwardError::Broken(reason)) => Err(AttemptError::MaybeRun(reason)),
    };
    AttemptResult { upstream: None, result, crashed: false }
}

impl AttemptState {
    /// Returns whether the request may be sent to a further upstream.
    fn may_send(&self, traffic: &TrafficState, job: &PlainJob<'_>) -> bool {
        self.tried.len() < job.max_attempts
            && (job.retryable || !self.may_have_run)
            && !self.is_blocked(traffic, job)
    }

    /// Returns whether the request should be passed to another node, because this one does not
    /// reach the upstreams.
    fn should_forward(&self, traffic: &TrafficState, job: &PlainJob<'_>) -> bool {
        let unreached = match traffic.links.state(job.service) {
            LinkState::Working => false,
            LinkState::Doubtful => self.send_failed,
            LinkState::Lost => true,
        };
        unreached
            && job.may_forward()
            && !self.forwarded
            && self.runs < job.max_attempts
            && (job.retryable || !self.may_have_run && self.running.is_empty())
            && !self.is_blocked(traffic, job)
    }

    /// Returns whether upstreams have ended under the request or its repeats so often that it is
    /// not sent again.
    fn is_blocked(&self, traffic: &TrafficState, job: &PlainJob<'_>) -> bool {
        self.crashes >= MAX_CRASHES || crash_check::check_convicted(traffic, job).is_err()
    }

    /// Notes which connections may be dead, by the silence that the running attempts have met.
    fn observe_silence(&mut self, traffic: &TrafficState) {
        let now = traffic.node.now();
        for target in &self.running {
            if let Some(since) = traffic.pool.silence_of(now, target.upstream, target.sent_at) {
                self.trusted_since = self.trusted_since.max(since);
            }
        }
    }

    /// Records the result of an attempt, and returns the response if it is final.
    fn record_result(
        &mut self,
        traffic: &TrafficState,
        job: &PlainJob<'_>,
        attempt: AttemptResult,
    ) -> Option<FullResponse> {
        let AttemptResult { upstream, result, crashed } = attempt;
        self.running.retain(|running| Some(running.upstream) != upstream);
        self.crashes += usize::from(crashed);
        let balancer = traffic.balancer.borrow();
        let name = upstream.map(|upstream| balancer.entry(upstream).id.as_str());
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
            Err(AttemptError::Refused(response))
                if !self.may_have_run && self.running.is_empty() =>
            {
                return Some(*response);
            }
            Err(error) => {
                let ran = matches!(error, AttemptError::MaybeRun(_));
                let fingerprint = ran.then(|| job.fingerprint().to_string());
                log_event!(
                    AttemptFailed,
                    request = job.id,
                    upstream = name,
                    may_have_run = ran,
                    reason = error.reason(),
                    fingerprint,
                );
                self.may_have_run |= ran;
                if !ran && upstream.is_some() {
                    self.runs -= 1;
                    self.send_failed = true;
                }
                self.last_reason = Some(String::from(error.reason()));
            }
        }
        None
    }

    /// Returns the end of a request that gets no further attempt: the last failed response, or a
    /// refusal.
    fn give_up(
        &mut self,
        traffic: &TrafficState,
        job: &PlainJob<'_>,
        time_left: Span,
    ) -> Result<FullResponse, Refusal> {
        if let Some(response) = self.failed_response.take() {
            return Ok(response);
        }
        if !self.may_have_run
            && self.send_failed
            && traffic.links.state(job.service) != LinkState::Working
        {
            return Err(forward::links_lost());
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
