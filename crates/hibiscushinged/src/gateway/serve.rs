//! HTTP server for callers and trainers.

#[cfg(test)]
mod tests;

use std::{
    cell::OnceCell, convert::Infallible, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use admission::StopSchedule;
use base::{Moment, Refusal, RefusalCode, Span, derive_copy};
use bytes::{Bytes, BytesMut};
use dispatch::RequestOrigin;
use futures_util::StreamExt as _;
use platform::{RequestMetadata, RequestTarget, parse_request_head, parse_request_target};
use protocol::ForwardOutcome;
use routebook::{ConfigIndex, HomeRegions, RequestDecision, RequestKind, RouteSpec};
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    accept::serve_connections,
    clock::to_duration,
    connections::{
        self, ClientKind, ConnectionRegistry, ServedBody, gateway_registry, guarded_service,
    },
    gateway::{
        cleanup, crash_check, crash_records, evacuation,
        forward::{self, ForwardedRequest},
        group, handover, item_records, layout, limits, links,
        node::{LAST_TOTALS_TIMEOUT, NodeState},
        peers,
        plain::{PlainJob, run_plain},
        relay, response, runner, stream_origins,
        submit::{self, NewSubmission, SubmissionRef},
        traffic_state::TrafficState,
        upstreams::{UpstreamUpdate, close_idle_channels, follow_upstreams},
    },
    shared::InFlightGuard,
    telemetry::log_event,
};

/// Idle timeout of callers' connections. It is above any limit that an operator sets, so that a
/// caller that keeps to that limit never finds its connection closed.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Timeout for the head of a request. Operators allow 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for the body of a request that has no deadline.
const BODY_TIMEOUT: Span = Span::from_secs(10);

/// Retry-After of a request to a node that has no configuration yet.
const STARTUP_RETRY_AFTER: Span = Span::from_millis(300);

/// Time from the start of a planned stop during which the load balancer may still open connections
/// to this node. It takes the node out after two failed checks, one a second.
pub(crate) const LOAD_BALANCER_LAG: Span = Span::from_millis(2_600);

/// Timeout for running items at a planned stop, and for the records of those that are left then.
const ITEM_STOP_TIMEOUT: Span =
    Span(submissions::ITEM_DRAIN_TIMEOUT.0 + handover::LEFT_RUNS_TIMEOUT.0);

/// Time for writing out the responses that are due at the end of a planned stop.
const FLUSH_TIME: Span = Span::from_millis(100);

/// Longest usual duration of a call about a submission: a long poll of 1 s, and reading what the
/// cache of its partition lacks.
const SUBMISSION_CALL_TIME: Span = Span::from_millis(2_500);

/// Interval between checks of whether the process may end.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// The server and the tasks of the traffic thread.
pub(crate) struct TrafficServer {
    traffic: Rc<TrafficState>,
}

/// A request with its body and its parsed head.
struct CallerRequest<'a> {
    request: &'a Request,
    metadata: &'a RequestMetadata,
    path: &'a str,
    body: Bytes,
    arrived_at: Moment,
    /// What the other node says that has passed the request on, if one has.
    forwarded: Option<ForwardedRequest>,
}

derive_copy! {
    /// Who sends requests to a listener.
    enum RequestSource {
        Caller,
        /// Another node, which does not reach the upstreams.
        Node,
    }
}

impl TrafficServer {
    /// Binds the address for callers and starts all tasks of the traffic thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub(crate) fn start(
        node: Arc<NodeState>,
        changes: mpsc::UnboundedReceiver<UpstreamUpdate>,
    ) -> io::Result<Self> {
        let callers = listen(node.settings.listen)?;
        let nodes = listen(node.settings.peer)?;
        let traffic = Rc::new(TrafficState::new(node));
        let of_callers = gateway_registry(&traffic.node, ClientKind::Callers);
        let of_nodes = gateway_registry(&traffic.node, ClientKind::Nodes);
        let of_nodes = of_nodes.sharing_bodies_with(&of_callers);
        actix_rt::spawn(accept(Rc::clone(&traffic), callers, of_callers, RequestSource::Caller));
        actix_rt::spawn(accept(Rc::clone(&traffic), nodes, of_nodes, RequestSource::Node));
        actix_rt::spawn(links::follow_control_failures(Rc::clone(&traffic)));
        actix_rt::spawn(peers::announce_node(Rc::clone(&traffic)));
        actix_rt::spawn(peers::follow_nodes(Rc::clone(&traffic)));
        actix_rt::spawn(follow_upstreams(Rc::clone(&traffic), changes));
        actix_rt::spawn(close_idle_channels(Rc::clone(&traffic)));
        actix_rt::spawn(evacuation::follow_evacuations(Rc::clone(&traffic)));
        actix_rt::spawn(layout::agree_on_partitions(Rc::clone(&traffic)));
        actix_rt::spawn(group::stay_in_group(Rc::clone(&traffic)));
        actix_rt::spawn(runner::place_items(Rc::clone(&traffic)));
        actix_rt::spawn(item_records::store_results(Rc::clone(&traffic)));
        actix_rt::spawn(item_records::store_failures(Rc::clone(&traffic)));
        actix_rt::spawn(handover::store_ended_runs(Rc::clone(&traffic)));
        actix_rt::spawn(cleanup::delete_old(Rc::clone(&traffic)));
        actix_rt::spawn(crash_records::follow_crash_records(Rc::clone(&traffic)));
        actix_rt::spawn(crash_records::store_crash_records(Rc::clone(&traffic)));
        actix_rt::spawn(stream_origins::store_origins(Rc::clone(&traffic)));
        actix_rt::spawn(limits::follow_limits(Rc::clone(&traffic)));
        actix_rt::spawn(limits::claim_shares(Rc::clone(&traffic)));
        Ok(Self { traffic })
    }

    /// Leaves the consumer group and waits for running items and requests. Returns when no more
    /// requests are expected, or when there is only time left to store the last usage totals.
    pub(crate) async fn drain(&self, schedule: StopSchedule) {
        let node = &self.traffic.node;
        let started = node.now();
        self.traffic.items.stop();
        let withdrawing = peers::withdraw_node(&self.traffic);
        tokio::join!(withdrawing, group::leave_group(&self.traffic));
        let totals_due = schedule.responses_due() - LAST_TOTALS_TIMEOUT;
        loop {
            let now = node.now();
            let items_running =
                self.traffic.items.unfinished_count() > 0 && now.since(started) < ITEM_STOP_TIMEOUT;
            let busy = node.in_flight() > 0 || items_running || now < schedule.routed_until();
            if !busy || now >= totals_due {
                return;
            }
            tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
        }
    }

    /// Waits until no request is in flight, or until those are left that cannot end in time.
    pub(crate) async fn finish_requests(&self, schedule: StopSchedule) {
        let node = &self.traffic.node;
        let ends_at = schedule.responses_due() + FLUSH_TIME;
        while node.in_flight() > 0 && node.now() < ends_at {
            tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
        }
    }
}

/// Binds a listening socket.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn accept(
    traffic: Rc<TrafficState>,
    listener: TcpListener,
    registry: ConnectionRegistry,
    source: RequestSource,
) {
    let http = HttpService::build()
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(Duration::from_secs(1))
        // `HalfClose::EndsRequest` of the registry says the same.
        .h1_allow_half_closed(false)
        .on_connect_ext(connections::attach)
        .finish(move |mut request| {
            let traffic = Rc::clone(&traffic);
            let guard = connections::begin_request(&mut request);
            async move {
                let response = serve(traffic, request, source).await;
                Ok::<_, Infallible>(ServedBody::respond(response, guard))
            }
        });
    serve_connections(listener, guarded_service(registry, http)).await;
}

async fn serve(
    traffic: Rc<TrafficState>,
    mut request: Request,
    source: RequestSource,
) -> Response<BoxBody> {
    let forwarded = match source {
        RequestSource::Caller => None,
        RequestSource::Node => {
            if let Some(service) = forward::asked_service(&request) {
                let reached = links::answer_question(&traffic, &service).await;
                return forward::answer(reached);
            }
            Some(forward::take_forwarded(&mut request))
        }
    };
    let arrived_at = traffic.node.now();
    let in_flight = traffic.node.track_in_flight();
    let metadata = parse_request_head(request.head());
    let path = request.uri().path_and_query().map_or_else(String::new, ToString::to_string);
    let result = match read_body(&traffic, &metadata, &mut request).await {
        Ok(body) => {
            let caller = CallerRequest {
                request: &request,
                metadata: &metadata,
                path: &path,
                body,
                arrived_at,
                forwarded,
            };
            tokio::select! {
                biased;
                result = handle_request(&traffic, &caller, in_flight) => result,
                () = traffic.node.responses_due() => Err(stopped()),
            }
        }
        Err(refusal) => Err(refusal),
    };
    let id = metadata.id.as_deref().unwrap_or_default();
    let took_ms = traffic.node.now().since(arrived_at).as_millis();
    let outcome = match &result {
        Ok(_) => ForwardOutcome::Response,
        Err(refusal) => forward::refusal_outcome(refusal),
    };
    let mut response = match result {
        Ok(response) => {
            let status = response.status().as_u16();
            traffic.node.metrics.observe_response(status, traffic.node.now().since(arrived_at));
            log_event!(RequestCompleted, request = id, status, took_ms);
            response
        }
        Err(refusal) => {
            traffic.node.metrics.observe_refusal(refusal.code);
            log_event!(
                RequestRefused,
                request = id,
                host = metadata.host,
                path,
                code = refusal.code.as_str(),
                ran = refusal.execution.as_str(),
                reason = refusal.message,
                config = traffic.node.config.load().as_ref().map(|config| config.version()),
                took_ms,
            );
            response::refusal(&refusal)
        }
    };
    if source == RequestSource::Node {
        forward::set_outcome(response.headers_mut(), outcome);
    }
    response::close_when_draining(&traffic.node, &mut response);
    response::track_body(&traffic.node, response)
}

/// Returns the refusal of a request that is in flight when the process has to end.
fn stopped() -> Refusal {
    let message = "the node that ran the request is stopping";
    Refusal::may_have_run(RefusalCode::DeadlineExceeded, message)
}

async fn read_body(
    traffic: &TrafficState,
    metadata: &RequestMetadata,
    request: &mut Request,
) -> Result<Bytes, Refusal> {
    let config = traffic.node.config.load();
    let max_bytes = config.as_ref().map_or(usize::MAX, |config| config.limits().max_body_bytes);
    connections::expect_body(request)?;
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    let reading = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| {
                Refusal::not_run(
                    RefusalCode::RequestInvalid,
                    format!("the body of the request ended early: {error}"),
                )
            })?;
            if body.len() + chunk.len() > max_bytes {
                let message = format!("the body of the request exceeds {max_bytes} bytes");
                return Err(Refusal::not_run(RefusalCode::BodyTooLong, message));
            }
            connections::count_body(request, &chunk)?;
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    let timeout = metadata.deadline.unwrap_or(BODY_TIMEOUT);
    match tokio::time::timeout(to_duration(timeout), reading).await {
        Ok(result) => {
            connections::finish_body(request);
            result.map(|()| body.freeze())
        }
        Err(_) => {
            let message = "the body of the request did not arrive before the timeout";
            Err(Refusal::not_run(RefusalCode::RequestTimeout, message))
        }
    }
}

async fn handle_request(
    traffic: &Rc<TrafficState>,
    caller: &CallerRequest<'_>,
    in_flight: InFlightGuard,
) -> Result<Response<BoxBody>, Refusal> {
    let Some(config) = traffic.config() else {
        let message = "this node has no configuration yet";
        return Err(
            Refusal::not_run(RefusalCode::Isolated, message).with_retry_after(STARTUP_RETRY_AFTER)
        );
    };
    let target = parse_request_target(&caller.request.head().method, caller.path);
    let submission = match target {
        RequestTarget::Route => return handle_route(traffic, caller, &config, in_flight).await,
        RequestTarget::Results { submission, .. }
        | RequestTarget::ItemBody { submission, .. }
        | RequestTarget::EndSubmission { submission } => submission,
    };
    let Some(customer) = authenticate(&config, caller)? else {
        return Err(key_refused());
    };
    traffic.node.admit(caller.arrived_at + SUBMISSION_CALL_TIME)?;
    let submission_ref = SubmissionRef { submission, customer };
    match target {
        RequestTarget::Results { after, .. } => {
            let wait = caller.metadata.max_wait.unwrap_or(Span::ZERO).min(Span::from_secs(1));
            submit::results(traffic, &submission_ref, after, wait).await
        }
        RequestTarget::ItemBody { item, .. } => {
            submit::item_body(traffic, &submission_ref, item).await
        }
        RequestTarget::EndSubmission { .. } | RequestTarget::Route => {
            submit::end(traffic, &submission_ref).await
        }
    }
}

fn authenticate<'b>(
    config: &'b ConfigIndex,
    caller: &CallerRequest<'_>,
) -> Result<Option<&'b str>, Refusal> {
    if !config.needs_keys() {
        return Ok(None);
    }
    let found = caller.metadata.key.and_then(|key| config.customer(key));
    found.map(|customer| Some(customer.name.as_str())).ok_or_else(key_refused)
}

fn key_refused() -> Refusal {
    Refusal::not_run(RefusalCode::KeyRefused, "the request has no valid API key")
}

async fn handle_route(
    traffic: &Rc<TrafficState>,
    caller: &CallerRequest<'_>,
    config: &ConfigIndex,
    in_flight: InFlightGuard,
) -> Result<Response<BoxBody>, Refusal> {
    let metadata = caller.metadata;
    let found = find_route(config, caller);
    let decision = caller.forwarded.as_ref().and_then(|forwarded| forwarded.decision.as_ref());
    if let Some(decision) = decision {
        check_decision(config, decision, &found)?;
    }
    let (route, customer) = found?;
    let home = HomeRegions::of_request(config, route, customer);
    if let Some(forwarded) = &caller.forwarded {
        forward::check_region(traffic, &home, forwarded)?;
    }
    let id = metadata.id.as_deref().unwrap_or_default();
    let timeout = match metadata.deadline {
        // The other node has bounded it by its own route.
        Some(deadline) if decision.is_some() => deadline,
        deadline => deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout)),
    };
    if route.kind == RequestKind::Submission {
        let Some(customer) = customer else { return Err(key_refused()) };
        // The route's timeout applies to the items. Only the sender's own deadline bounds the
        // append.
        let deadline = caller.arrived_at + metadata.deadline.unwrap_or(BODY_TIMEOUT);
        traffic.node.admit(deadline.min(traffic.node.now() + SUBMISSION_CALL_TIME))?;
        let host = metadata.host.as_str();
        let new_submission =
            NewSubmission { id, customer, host, path: caller.path, body: &caller.body, deadline };
        return submit::accept(traffic, &new_submission).await;
    }
    let deadline = traffic.node.admit(caller.arrived_at + timeout)?;
    let mut job = plain_job(caller, config, route, customer, deadline)?;
    job.home = home;
    if let Some(forwarded) = &caller.forwarded {
        job.home = job.home.and(&forwarded.home);
    }
    crash_check::check_convicted(traffic, &job)?;
    if route.kind == RequestKind::Stream {
        if let Some(resume) = &metadata.resume {
            let version = stream_origins::resumed_version(traffic, &job, resume).await?;
            job.software_version = Some(version);
        }
        return relay::relay(traffic, &job, in_flight).await;
    }
    run_plain(traffic, &job).await.map(response::relayed)
}

/// Finds the route of a request, and the customer whose key it carries.
fn find_route<'c>(
    config: &'c ConfigIndex,
    caller: &CallerRequest<'_>,
) -> Result<(&'c RouteSpec, Option<&'c str>), Refusal> {
    let (host, path) = (&caller.metadata.host, caller.path);
    let Some(route) = config.route(host, path) else {
        let message = format!("no route of host \"{host}\" matches path \"{path}\"");
        return Err(Refusal::not_run(RefusalCode::RouteUnknown, message));
    };
    let customer = if route.public { None } else { authenticate(config, caller)? };
    Ok((route, customer))
}

/// Checks that this node's configuration allows what another node has decided about a request that it
/// passes on. Otherwise one of the two is outdated, and which one is not known here.
fn check_decision(
    config: &ConfigIndex,
    decision: &RequestDecision,
    found: &Result<(&RouteSpec, Option<&str>), Refusal>,
) -> Result<(), Refusal> {
    if let Ok((route, customer)) = found
        && decision.is_allowed_by(route, *customer)
    {
        return Ok(());
    }
    let message = format!(
        "version {} of the configuration does not allow the request as version {} of the other node",
        config.version(),
        decision.config_version,
    );
    Err(Refusal::not_run(RefusalCode::ConfigDiffers, message))
}

fn plain_job<'a>(
    caller: &'a CallerRequest<'_>,
    config: &ConfigIndex,
    route: &'a RouteSpec,
    customer: Option<&'a str>,
    deadline: Moment,
) -> Result<PlainJob<'a>, Refusal> {
    let decision = caller.forwarded.as_ref().and_then(|forwarded| forwarded.decision.as_ref());
    let service = match decision {
        Some(decision) => Some(decision.service.as_str()),
        None => route.pick_service(rand::random()),
    };
    let Some(service) = service else {
        let message = format!("route \"{}\" has no service", route.name);
        return Err(Refusal::not_run(RefusalCode::NoUpstream, message));
    };
    let head = caller.request.head();
    let max_attempts = route.max_attempts as usize;
    let forwarded_attempts = caller.forwarded.as_ref().map(|forwarded| forwarded.attempts);
    Ok(PlainJob {
        id: caller.metadata.id.as_deref().unwrap_or_default(),
        method: head.method.clone(),
        path: caller.path,
        host: &caller.metadata.host,
        headers: &head.headers,
        body: caller.body.clone(),
        customer,
        service,
        deadline,
        latency_objective: route.latency_objective,
        max_attempts: forwarded_attempts.unwrap_or(max_attempts).min(max_attempts),
        retryable: route.is_retryable(),
        config_version: config.version(),
        resumable: route.kind == RequestKind::Stream && route.can_resume,
        origin: RequestOrigin::Caller,
        forwarded: caller.forwarded.is_some(),
        on_probation: false,
        home: HomeRegions::default(),
        software_version: None,
        digest: OnceCell::new(),
    })
}

/// Serves requests with a synchronous handler on an address of its own, as for readiness and
/// metrics.
pub(crate) fn serve_endpoint(
    node: &Arc<NodeState>,
    listener: TcpListener,
    handler: impl Fn(&Request) -> Response<BoxBody> + Clone + 'static,
) {
    let registry = gateway_registry(node, ClientKind::Operators);
    let http = HttpService::build()
        .client_disconnect_timeout(Duration::from_secs(1))
        .on_connect_ext(connections::attach)
        .finish(move |mut request: Request| {
            let handler = handler.clone();
            let guard = connections::begin_request(&mut request);
            async move { Ok::<_, Infallible>(ServedBody::respond(handler(&request), guard)) }
        });
    actix_rt::spawn(serve_connections(listener, guarded_service(registry, http)));
}
