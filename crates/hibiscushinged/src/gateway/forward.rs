//! Passes requests to other nodes when this node does not reach the upstreams.
//!
//! The other node handles the request as one of a caller: it checks the key, chooses the upstream,
//! counts usage and crashes, and keeps to limits. It never passes the request on. Each request names
//! what the sender's configuration has decided about it, and a node whose configuration does not
//! allow the same refuses it: one of the two nodes may be cut off from the store.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_http::{
    Method, Request, RequestHead, Response, StatusCode,
    body::BoxBody,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use base::{Execution, ProcessDigest, Refusal, RefusalCode, Span, VmKey, derive_value};
use bytes::Bytes;
use dispatch::{PeerOutcome, PeerTable};
use protocol::{
    ATTEMPTS_HEADER, CALLER_REGION_HEADER, CONFIG_HEADER, CUSTOMER_HEADER, ForwardOutcome,
    HOME_REGIONS_HEADER, LEAVING_HEADER, LINKS_PATH, OUTCOME_HEADER, RETRYABLE_HEADER,
    SERVICE_HEADER, decode_leaving, encode_leaving,
};
use routebook::{HomeRegions, RequestDecision};
use smallvec::SmallVec;

use crate::{
    clock::to_duration,
    gateway::{
        attempt::{FullResponse, read_body},
        channel::{Exchange, UpstreamChannel},
        plain::PlainJob,
        response,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

const ATTEMPTS: HeaderName = HeaderName::from_static(ATTEMPTS_HEADER);
const CALLER_REGION: HeaderName = HeaderName::from_static(CALLER_REGION_HEADER);
const HOME_REGIONS: HeaderName = HeaderName::from_static(HOME_REGIONS_HEADER);
const CONFIG: HeaderName = HeaderName::from_static(CONFIG_HEADER);
const CUSTOMER: HeaderName = HeaderName::from_static(CUSTOMER_HEADER);
const LEAVING: HeaderName = HeaderName::from_static(LEAVING_HEADER);
const OUTCOME: HeaderName = HeaderName::from_static(OUTCOME_HEADER);
const RETRYABLE: HeaderName = HeaderName::from_static(RETRYABLE_HEADER);
const SERVICE: HeaderName = HeaderName::from_static(SERVICE_HEADER);

/// Nodes that are asked, one after the other, before a request is refused because none of them
/// reaches the upstreams.
const MAX_NODES: usize = 4;

/// Timeout for connecting to another node. A network hop takes one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Host and identifier of the question whether a node reaches a service. A response is matched to
/// its request by the identifier.
const LINKS_HOST: &str = "node";
const QUESTION_ID: &str = "links";

/// Timeout of the question whether a node reaches a service. It covers a probe.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Retry-After of a request that no node can serve. A node probes its links in this interval.
const RETRY_AFTER: Span = Span::from_millis(300);

/// Other nodes. Each request to one has a connection of its own: requests are passed on while links
/// fail, when an idle connection may be dead, and a new one costs a round trip.
#[derive(Default)]
pub(crate) struct PeerNodes {
    pub(crate) table: RefCell<PeerTable>,
}

/// Why a request that was passed on got no response.
#[derive(Debug)]
pub(crate) enum ForwardError {
    /// No node reaches the upstreams. The request has not run.
    Unreached,
    /// The node did not respond. The request may have run.
    Broken(String),
}

derive_value! {
    /// What another node says of a request that it passes on.
    pub(crate) struct ForwardedRequest {
        /// Upstreams that may run the request.
        pub(crate) attempts: usize,
        /// Decision that this node must agree with. Earlier builds do not name theirs.
        pub(crate) decision: Option<RequestDecision>,
        /// Home regions by the configuration of that node.
        pub(crate) home: HomeRegions,
        /// Region of the node to which the caller connected, if it is known.
        pub(crate) caller_region: Option<String>,
    }
}

/// Response of another node whose head has arrived.
pub(crate) struct ForwardedExchange {
    pub(crate) exchange: Exchange,
    pub(crate) outcome: ForwardOutcome,
    pub(crate) guard: PeerGuard,
}

/// Counts a request as in flight at another node. A guard that is dropped without
/// [`finish`](Self::finish) records the request as cancelled.
pub(crate) struct PeerGuard {
    traffic: Rc<TrafficState>,
    peer: VmKey,
    service: String,
    ended: bool,
}

impl PeerGuard {
    fn acquire(traffic: &Rc<TrafficState>, peer: VmKey, service: &str) -> Self {
        traffic.peers.table.borrow_mut().begin_request(peer);
        Self { traffic: Rc::clone(traffic), peer, service: String::from(service), ended: false }
    }

    pub(crate) fn finish(mut self, outcome: PeerOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: PeerOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.traffic.node.now();
            let mut table = self.traffic.peers.table.borrow_mut();
            table.finish_request(now, self.peer, &self.service, outcome);
        }
    }
}

impl Drop for PeerGuard {
    fn drop(&mut self) {
        self.record(PeerOutcome::Cancelled);
    }
}

/// Passes a request to another node, which may send it to as many upstreams as `attempts`. Returns
/// the response once its head has arrived.
///
/// # Errors
///
/// Returns an error when no node reaches the upstreams and agrees with this one about the request, or
/// when the node does not respond.
pub(crate) async fn open(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    attempts: usize,
) -> Result<ForwardedExchange, ForwardError> {
    let mut tried: SmallVec<[VmKey; MAX_NODES]> = SmallVec::new();
    while tried.len() < MAX_NODES {
        let Some(peer) = pick(traffic, job.service, &tried, &job.home) else { break };
        tried.push(peer);
        let guard = PeerGuard::acquire(traffic, peer, job.service);
        let Some(channel) = connect(traffic, peer).await else {
            log_skipped(traffic, job, peer, "it accepts no connection");
            guard.finish(PeerOutcome::Failed);
            continue;
        };
        let time_left = job.deadline.since(traffic.node.now());
        log_event!(
            RequestForwarded,
            request = job.id,
            service = job.service,
            node = traffic.peers.table.borrow().entry(peer).name,
            attempts,
            left_ms = time_left.as_millis(),
        );
        let mut headers = platform::node_headers(job.headers, job.host, job.id, time_left);
        headers.insert(ATTEMPTS, HeaderValue::from(attempts));
        if set_decision(&mut headers, &job.decision()).is_none()
            || set_regions(&mut headers, &job.home, own_region(traffic)).is_none()
        {
            return Err(ForwardError::Unreached);
        }
        let head = request_head(job.method.clone(), job.path, headers);
        let Some(head) = head else { return Err(ForwardError::Unreached) };
        let sending = channel.send(head, job.body.clone(), job.id);
        let exchange = match tokio::time::timeout(to_duration(time_left), sending).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => {
                guard.finish(PeerOutcome::Failed);
                return Err(ForwardError::Broken(error.to_string()));
            }
            Err(_) => {
                guard.finish(PeerOutcome::Failed);
                let reason = "the node sent no response before the deadline";
                return Err(ForwardError::Broken(String::from(reason)));
            }
        };
        if exchange.ends_with_connection() {
            guard.finish(PeerOutcome::Failed);
            let reason = "the response of the node has no length and may be incomplete";
            return Err(ForwardError::Broken(String::from(reason)));
        }
        let outcome = exchange.head().headers.get(OUTCOME).and_then(|value| value.to_str().ok());
        let Some(outcome) = outcome.map(ForwardOutcome::parse) else {
            guard.finish(PeerOutcome::Failed);
            let status = exchange.head().status.as_u16();
            let reason = format!("the node sent status {status} and does not say what it means");
            return Err(ForwardError::Broken(reason));
        };
        if outcome == ForwardOutcome::LinksLost {
            log_skipped(traffic, job, peer, "it does not reach the upstreams either");
            guard.finish(PeerOutcome::Unreached);
            continue;
        }
        if contradicts(outcome, exchange.head().status) {
            log_skipped(traffic, job, peer, "its configuration does not allow the request");
            guard.finish(PeerOutcome::Answered);
            continue;
        }
        let leaving = exchange.head().headers.get(LEAVING).and_then(|value| value.to_str().ok());
        if let Some(process) = leaving.and_then(decode_leaving) {
            traffic.record_leaving(process);
        }
        return Ok(ForwardedExchange { exchange, outcome, guard });
    }
    Err(ForwardError::Unreached)
}

/// Returns whether a node has refused a request because its configuration differs. This node has found
/// the route and the customer, so that "unknown" is no answer of the system. Earlier builds answer so.
fn contradicts(outcome: ForwardOutcome, status: StatusCode) -> bool {
    let unknown =
        matches!(status, StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN | StatusCode::NOT_FOUND);
    outcome == ForwardOutcome::ConfigDiffers
        || outcome == ForwardOutcome::Refused(Execution::NotRun) && unknown
}

/// Returns what the node that passed a request on is told of its refusal.
pub(crate) fn refusal_outcome(refusal: &Refusal) -> ForwardOutcome {
    match (refusal.execution, refusal.code) {
        (
            Execution::NotRun,
            RefusalCode::LinksLost | RefusalCode::Draining | RefusalCode::Isolated,
        ) => ForwardOutcome::LinksLost,
        (Execution::NotRun, RefusalCode::ConfigDiffers) => ForwardOutcome::ConfigDiffers,
        (execution, _) => ForwardOutcome::Refused(execution),
    }
}

/// Names the decision about a request to another node. Returns `None` if a name in it cannot be sent.
fn set_decision(headers: &mut HeaderMap, decision: &RequestDecision) -> Option<()> {
    headers.insert(SERVICE, HeaderValue::from_str(&decision.service).ok()?);
    headers.insert(
        RETRYABLE,
        HeaderValue::from_static(if decision.retryable { "true" } else { "false" }),
    );
    headers.remove(&CUSTOMER);
    if let Some(customer) = &decision.customer {
        headers.insert(CUSTOMER, HeaderValue::from_str(customer).ok()?);
    }
    headers.insert(CONFIG, HeaderValue::from(decision.config_version));
    Some(())
}

/// Removes the decision of the node that passed a request on from its headers, and returns it.
fn take_decision(headers: &mut HeaderMap) -> Option<RequestDecision> {
    let mut take = |name| {
        let value = headers.remove(&name).next()?;
        value.to_str().ok().map(String::from)
    };
    let (service, customer) = (take(SERVICE), take(CUSTOMER));
    let (config_version, retryable) = (take(CONFIG), take(RETRYABLE));
    Some(RequestDecision {
        config_version: config_version?.parse().ok()?,
        service: service?,
        customer,
        retryable: retryable?.parse().ok()?,
    })
}

/// Names the home regions of a request to another node, and the region of its caller. Returns `None`
/// if a name in them cannot be sent.
fn set_regions(
    headers: &mut HeaderMap,
    home: &HomeRegions,
    caller_region: Option<&str>,
) -> Option<()> {
    headers.remove(&HOME_REGIONS);
    headers.remove(&CALLER_REGION);
    if let Some(home) = home.as_list() {
        if home.iter().any(|region| region.contains(',')) {
            return None;
        }
        headers.insert(HOME_REGIONS, HeaderValue::from_str(&home.join(",")).ok()?);
    }
    if let Some(region) = caller_region {
        headers.insert(CALLER_REGION, HeaderValue::from_str(region).ok()?);
    }
    Some(())
}

/// Removes the home regions and the caller's region from the headers of a forwarded request, and
/// returns them.
fn take_regions(headers: &mut HeaderMap) -> (HomeRegions, Option<String>) {
    let mut take = |name| {
        let value = headers.remove(&name).next()?;
        value.to_str().ok().map(String::from)
    };
    let home = take(HOME_REGIONS)
        .map(|home| HomeRegions::only(home.split(',').filter(|region| !region.is_empty())));
    (home.unwrap_or_default(), take(CALLER_REGION))
}

/// Logs why a node does not get a request, which is passed to the next node or refused then.
fn log_skipped(traffic: &TrafficState, job: &PlainJob<'_>, peer: VmKey, reason: &str) {
    let table = traffic.peers.table.borrow();
    let (request, service, node) = (job.id, job.service, &table.entry(peer).name);
    log_event!(ForwardFailed, request, service, node, reason);
}

/// Passes a request to another node and returns its complete response, with what became of it.
///
/// # Errors
///
/// Returns an error when no node reaches the upstreams, or when there is no complete response.
pub(crate) async fn run(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    attempts: usize,
) -> Result<(FullResponse, ForwardOutcome), ForwardError> {
    let ForwardedExchange { mut exchange, outcome, guard } = open(traffic, job, attempts).await?;
    let body = match read_body(traffic, &mut exchange).await {
        Ok(body) => body,
        Err(error) => {
            guard.finish(PeerOutcome::Failed);
            return Err(ForwardError::Broken(error.to_string()));
        }
    };
    let response = FullResponse {
        status: exchange.head().status,
        headers: relay_headers(&exchange),
        metadata: exchange.metadata().clone(),
        body,
    };
    guard.finish(PeerOutcome::Answered);
    Ok((response, outcome))
}

/// Returns the headers of a node's response that the caller gets.
pub(crate) fn relay_headers(exchange: &Exchange) -> Vec<(HeaderName, HeaderValue)> {
    let mut headers = platform::relay_headers(exchange.head());
    headers.retain(|(name, _)| *name != OUTCOME && *name != LEAVING);
    headers
}

/// Names a process that is leaving in the response to the node that passed the request on.
pub(crate) fn name_leaving(headers: &mut Vec<(HeaderName, HeaderValue)>, process: ProcessDigest) {
    if let Ok(value) = HeaderValue::from_str(&encode_leaving(process)) {
        headers.push((LEAVING, value));
    }
}

/// Removes the headers of the forwarding node from a request, and returns what they say.
pub(crate) fn take_forwarded(request: &mut Request) -> ForwardedRequest {
    let headers = &mut request.head_mut().headers;
    let attempts = headers.get(&ATTEMPTS).and_then(|value| value.to_str().ok()?.parse().ok());
    headers.remove(&ATTEMPTS);
    let (home, caller_region) = take_regions(headers);
    let decision = take_decision(headers);
    ForwardedRequest { attempts: attempts.unwrap_or(1), decision, home, caller_region }
}

/// Checks that this node may have the body of a request that another node passes on, by its home
/// regions and the region of its caller.
///
/// # Errors
///
/// Returns a refusal when it may not.
pub(crate) fn check_region(
    traffic: &TrafficState,
    home: &HomeRegions,
    forwarded: &ForwardedRequest,
) -> Result<(), Refusal> {
    if home.allows_node(own_region(traffic), forwarded.caller_region.as_deref()) {
        return Ok(());
    }
    let message = "this node is neither in a home region of the request nor in that of its caller";
    Err(Refusal::not_run(RefusalCode::ConfigDiffers, message))
}

/// Returns the service of a node's question whether this node reaches it.
pub(crate) fn asked_service(request: &Request) -> Option<String> {
    if request.path() != LINKS_PATH {
        return None;
    }
    request.head().headers.get(&SERVICE)?.to_str().ok().map(String::from)
}

/// Builds the answer to a node's question whether this node reaches a service.
pub(crate) fn answer(reached: bool) -> Response<BoxBody> {
    let status = if reached { StatusCode::NO_CONTENT } else { StatusCode::SERVICE_UNAVAILABLE };
    let mut response = response::status(status);
    platform::set_host_and_id(response.headers_mut(), LINKS_HOST, QUESTION_ID);
    response
}

/// Marks the response to a forwarded request with what became of it.
pub(crate) fn set_outcome(headers: &mut HeaderMap, outcome: ForwardOutcome) {
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
}

/// Asks other nodes, one after the other, whether they reach the upstreams of a service. Returns
/// whether one does.
pub(crate) async fn is_reached_elsewhere(traffic: &Rc<TrafficState>, service: &str) -> bool {
    let mut tried: SmallVec<[VmKey; MAX_NODES]> = SmallVec::new();
    while tried.len() < MAX_NODES {
        // The question has no body of a caller.
        let home = HomeRegions::default();
        let Some(peer) = pick(traffic, service, &tried, &home) else { break };
        tried.push(peer);
        let guard = PeerGuard::acquire(traffic, peer, service);
        let Ok(value) = HeaderValue::from_str(service) else { return false };
        let mut headers = HeaderMap::new();
        headers.insert(SERVICE, value);
        platform::set_host_and_id(&mut headers, LINKS_HOST, QUESTION_ID);
        let asking = async {
            let channel = connect(traffic, peer).await?;
            let head = request_head(Method::GET, LINKS_PATH, headers)?;
            channel.send(head, Bytes::new(), QUESTION_ID).await.ok()
        };
        match tokio::time::timeout(QUESTION_TIMEOUT, asking).await {
            Ok(Some(exchange)) if exchange.head().status == StatusCode::NO_CONTENT => {
                guard.finish(PeerOutcome::Answered);
                return true;
            }
            Ok(Some(_)) => guard.finish(PeerOutcome::Unreached),
            Ok(None) | Err(_) => guard.finish(PeerOutcome::Failed),
        }
    }
    false
}

fn pick(
    traffic: &TrafficState,
    service: &str,
    tried: &[VmKey],
    home: &HomeRegions,
) -> Option<VmKey> {
    let settings = &traffic.node.settings;
    let table = traffic.peers.table.borrow();
    let caller_region = own_region(traffic);
    let (now, seed) = (traffic.node.now(), rand::random());
    table.pick_among(now, &settings.zone, service, tried, seed, |entry| {
        home.allows_node(settings.region_of(&entry.zone), caller_region)
    })
}

/// Returns the region of this node, if it is known.
pub(crate) fn own_region(traffic: &TrafficState) -> Option<&str> {
    let settings = &traffic.node.settings;
    settings.region_of(&settings.zone)
}

/// Opens a connection to a node.
async fn connect(traffic: &TrafficState, peer: VmKey) -> Option<UpstreamChannel> {
    let address = traffic.peers.table.borrow().entry(peer).address;
    let opening = UpstreamChannel::open(address, traffic.pool.config());
    tokio::time::timeout(CONNECT_TIMEOUT, opening).await.ok()?.ok()
}

fn request_head(method: Method, path: &str, headers: HeaderMap) -> Option<RequestHead> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse().ok()?;
    head.headers = headers;
    Some(head)
}

/// Returns the refusal of a request whose upstreams no node reaches.
pub(crate) fn links_lost() -> Refusal {
    let message = "neither this node nor another one reaches an upstream of the service";
    Refusal::not_run(RefusalCode::LinksLost, message).with_retry_after(RETRY_AFTER)
}
