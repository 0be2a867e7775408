//! One attempt: a request to one upstream and its response.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use actix_http::{
    Method, RequestHead, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use base::{Moment, Span, UpstreamKey};
use bytes::Bytes;
use dispatch::{ConnectionAge, ExchangeOutcome, RequestOrigin};
use platform::ResponseMetadata;

use crate::{
    clock::to_duration,
    gateway::{
        channel::{ChannelError, Exchange, UpstreamChannel},
        limits::{self, StatementSource},
        links,
        plain::PlainJob,
        pool::ExchangeWatch,
        process_check::check_process,
        response_buffer::BodyTooLong,
        traffic_state::TrafficState,
        warmup,
    },
    telemetry::log_event,
};

/// Timeout for connecting to an upstream. A network hop takes one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A request for one upstream.
pub(crate) struct AttemptCall<'a> {
    pub(crate) upstream: UpstreamKey,
    pub(crate) id: &'a str,
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Customer to whose usage the request is counted, if any.
    pub(crate) billed_customer: Option<&'a str>,
    pub(crate) origin: RequestOrigin,
    /// Whether only the process that this node knows as the upstream may run the request, since the
    /// response is joined with others of the same software version, or since a new process may be
    /// cold.
    pub(crate) process_bound: bool,
    /// Moment since which the connection must have delivered, since older ones may be dead.
    pub(crate) trusted_since: Moment,
    /// Silence from which a connection that is not new may be dead.
    pub(crate) silence_limit: Span,
}

/// A response of an upstream with its complete body.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) body: Bytes,
}

/// Why an attempt gave no response that can be returned to the caller.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// The request was not sent, or the upstream says that it did not run it.
    NotRun(String),
    /// The request may have run.
    MaybeRun(String),
    /// Another node to which the request was passed has refused it with this response. It did not
    /// run there.
    Refused(Box<FullResponse>),
}

/// Counts a request as in flight at its upstream. A guard that is dropped without
/// [`finish`](Self::finish) records the request as cancelled.
pub(crate) struct AttemptGuard {
    traffic: Rc<TrafficState>,
    upstream: UpstreamKey,
    started_at: Moment,
    ended: bool,
}

impl AttemptGuard {
    pub(crate) fn acquire(
        traffic: &Rc<TrafficState>,
        upstream: UpstreamKey,
        origin: RequestOrigin,
    ) -> Self {
        let now = traffic.node.now();
        traffic.balancer.borrow_mut().begin_request(now, upstream, origin);
        Self { traffic: Rc::clone(traffic), upstream, started_at: now, ended: false }
    }

    pub(crate) fn finish(mut self, outcome: ExchangeOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: ExchangeOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.traffic.node.now();
            self.traffic.balancer.borrow_mut().finish_request(now, self.upstream, outcome);
            match outcome {
                ExchangeOutcome::TransportError | ExchangeOutcome::TimedOut => {
                    links::record_failure(&self.traffic, self.upstream, self.started_at);
                }
                _ => {}
            }
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.record(ExchangeOutcome::Cancelled);
    }
}

/// Sends a request and returns the exchange once the head of the response has arrived. A response
/// which says that the request did not run is returned as an error.
///
/// # Errors
///
/// Returns an error when there is no response to return. The caller must still record the outcome
/// with the balancer.
pub(crate) async fn open_exchange(
    traffic: &Rc<TrafficState>,
    call: AttemptCall<'_>,
) -> Result<Exchange, (AttemptError, ExchangeOutcome)> {
    let (address, process) = {
        let balancer = traffic.balancer.borrow();
        let entry = balancer.entry(call.upstream);
        (entry.address, entry.process())
    };
    let mut head = RequestHead::default();
    head.method = call.method.clone();
    head.uri = call
        .path
        .parse()
        .map_err(|error| not_run_error(format!("the path of the request is invalid: {error}")))?;
    head.headers = call.headers;
    let was_limited =
        traffic.balancer.borrow().is_warmup_limited(traffic.node.now(), call.upstream);
    let now = traffic.node.now();
    let (channel, age) = match traffic.pool.take(now, call.upstream, call.id, call.trusted_since) {
        Some((channel, idle_since)) => (channel, ConnectionAge::Reused(idle_since)),
        None => {
            traffic.node.metrics.channels_opened.inc();
            let opening = UpstreamChannel::open(address, traffic.pool.config());
            match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
                Ok(Ok(channel)) => (channel, ConnectionAge::New),
                Ok(Err(error)) => {
                    let reason = format!("connecting to upstream {address} failed: {error}");
                    return Err((AttemptError::NotRun(reason), ExchangeOutcome::TransportError));
                }
                Err(_) => {
                    let reason = format!(
                        "connecting to upstream {address} took longer than {CONNECT_TIMEOUT:?}"
                    );
                    return Err((AttemptError::NotRun(reason), ExchangeOutcome::TimedOut));
                }
            }
        }
    };
    let mut channel = if call.process_bound {
        match check_process(traffic, call.upstream, channel, age).await {
            Ok(channel) => channel,
            Err(failed) => return Err((AttemptError::NotRun(failed.reason), failed.outcome)),
        }
    } else {
        channel
    };
    // Connecting and the check of the process have taken time.
    if !traffic.balancer.borrow().is_usable(traffic.node.now(), call.upstream) {
        let reason = "the upstream was taken out of use while the connection was prepared";
        return Err(not_run_error(String::from(reason)));
    }
    warmup::admit_late(traffic, call.upstream, call.origin, was_limited)?;
    let counted_request = call.billed_customer.map(|customer| traffic.node.count_request(customer));
    let sent_at = traffic.node.now();
    let watch = ExchangeWatch::begin(traffic, call.upstream, age, call.silence_limit);
    channel.set_watch(watch);
    let exchange = match channel.send(head, call.body, call.id).await {
        Ok(exchange) => exchange,
        Err(error) => {
            return Err((
                AttemptError::MaybeRun(error.to_string()),
                ExchangeOutcome::TransportError,
            ));
        }
    };
    links::record_response(traffic, call.upstream);
    let metadata = exchange.metadata();
    if let Some(load) = metadata.load {
        traffic.balancer.borrow_mut().record_load_report(traffic.node.now(), call.upstream, load);
    }
    if !metadata.misdirected {
        if metadata.leaving {
            traffic.record_leaving(process);
        }
        let statement = StatementSource {
            upstream: call.upstream,
            request: call.id,
            sent_at,
            ran: exchange.head().status.is_success(),
        };
        limits::record_statement(traffic, statement, metadata.limit);
        if let Some(remaining) = metadata.cold_time {
            warmup::record_cold_time(traffic, call.upstream, process, remaining);
        }
    }
    if !metadata.not_run {
        return Ok(exchange);
    }
    if let Some(counted_request) = &counted_request {
        traffic.node.uncount_request(counted_request);
    }
    let misdirected = metadata.misdirected;
    let status = exchange.head().status.as_u16();
    discard_body(traffic, call.upstream, exchange).await;
    let outcome =
        if misdirected { ExchangeOutcome::Misdirected } else { ExchangeOutcome::Overloaded };
    Err((
        AttemptError::NotRun(format!("the upstream refused the request with status {status}")),
        outcome,
    ))
}

/// Reads and discards the rest of a response, and keeps the connection for reuse.
async fn discard_body(traffic: &Rc<TrafficState>, upstream: UpstreamKey, mut exchange: Exchange) {
    /// Timeout for the rest of a refusal, which has little or no body.
    const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);
    let discarding = async { while let Ok(Some(_)) = exchange.chunk().await {} };
    if tokio::time::timeout(DISCARD_TIMEOUT, discarding).await.is_ok() {
        traffic.keep_channel(upstream, exchange);
    }
}

/// Sends a request, reads its complete response, and records the outcome with the balancer.
///
/// # Errors
///
/// Returns an error when there is no complete response to return.
pub(crate) async fn run_exchange(
    traffic: &Rc<TrafficState>,
    call: AttemptCall<'_>,
) -> Result<FullResponse, AttemptError> {
    let upstream = call.upstream;
    let attempt = AttemptGuard::acquire(traffic, upstream, call.origin);
    let started = traffic.node.now();
    let mut exchange = match open_exchange(traffic, call).await {
        Ok(exchange) => exchange,
        Err((error, outcome)) => {
            attempt.finish(outcome);
            return Err(error);
        }
    };
    match read_body(traffic, &mut exchange).await {
        Ok(body) => {
            let took = traffic.node.now().since(started);
            let status = exchange.head().status;
            let outcome = if status.as_u16() < 500 {
                ExchangeOutcome::Answered(took)
            } else {
                ExchangeOutcome::ServerError
            };
            attempt.finish(outcome);
            let headers = platform::relay_headers(exchange.head());
            let metadata = exchange.metadata().clone();
            traffic.keep_channel(upstream, exchange);
            Ok(FullResponse { status, headers, metadata, body })
        }
        Err(error) => {
            attempt.finish(ExchangeOutcome::TransportError);
            Err(AttemptError::MaybeRun(error.to_string()))
        }
    }
}

pub(crate) async fn read_body(
    traffic: &TrafficState,
    exchange: &mut Exchange,
) -> Result<Bytes, ChannelError> {
    let mut body = traffic.body_budget.buffer();
    while let Some(chunk) = exchange.chunk().await? {
        body.push(&chunk).map_err(|BodyTooLong { bytes }| {
            ChannelError::Malformed(format!(
                "the body has {bytes} bytes and more, for which no memory is free",
            ))
        })?;
    }
    Ok(body.finish())
}

const fn not_run_error(reason: String) -> (AttemptError, ExchangeOutcome) {
    (AttemptError::NotRun(reason), ExchangeOutcome::Cancelled)
}

/// Logs which upstream was chosen for an attempt, with the load of its service and the time left.
pub(crate) fn log_attempt(
    traffic: &TrafficState,
    job: &PlainJob<'_>,
    upstream: UpstreamKey,
    attempt: usize,
    time_left: Span,
) {
    let balancer = traffic.balancer.borrow();
    let entry = balancer.entry(upstream);
    let (slots, load) = balancer.occupancy(traffic.node.now(), &entry.service);
    log_event!(
        AttemptStarted,
        request = job.id,
        origin = ?job.origin,
        upstream = entry.id,
        service = entry.service,
        zone = entry.zone,
        attempt,
        left_ms = time_left.as_millis(),
        service_load = load,
        service_slots = slots,
    );
}

/// Sleeps until a moment of the node's clock.
pub(crate) async fn wait_until(traffic: &TrafficState, until: Moment) {
    tokio::time::sleep(to_duration(until.since(traffic.node.now()))).await;
}

impl AttemptError {
    pub(crate) fn reason(&self) -> &str {
        match self {
            Self::NotRun(reason) | Self::MaybeRun(reason) => reason,
            Self::Refused(_) => "another node has refused the request",
        }
    }
}
