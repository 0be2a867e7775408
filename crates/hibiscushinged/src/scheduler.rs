//! The traffic scheduler: admission, choice of upstream and isolation of suspects.
//!
//! All traffic threads of a node share one scheduler behind a mutex, so that queues, limits and
//! isolated runs apply to the whole node. Each call makes one decision and never blocks; decisions
//! that come later are sent through a reply channel.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use admission::{
    FairQueue, LimitDecision, LimiterSettings, QueueAction, QueueActions, QueueEvent,
    QueueSettings, QueuedRequest, RateLimiter, RequestClass, RetryBudget, ServiceCapacity,
    TicketNumber,
};
use base::{CustomerKey, Incarnation, Moment, Refusal, Span, UpstreamKey, WallTime, ZoneKey};
use delivery::{
    Fingerprint, FingerprintStatus, IsolationRequest, RequestId, SuspectAction, SuspectActions,
    SuspectEvent, SuspectPolicy, SuspectTable,
};
use document::DaemonSettings;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use routing::{
    InFlightRequest, LoadMeasurement, PickPolicy as _, PickRequest, PickResult, PickerSettings,
    RequestOutcome, RouteUpstreams, TableSettings, UpstreamPicker, UpstreamProperties,
    UpstreamState, UpstreamTable,
};
use tokio::sync::oneshot;

use crate::view::OPEN_ROUTE_CUSTOMER;

/// Bound on the work of this node that runs on a service's upstreams, as time at the node's part of
/// the service's speed. It keeps the engines busy between two decisions and leaves the other
/// requests in the fair queue, where the fair order still applies to them.
const SERVICE_HORIZON: Span = Span::from_secs(1);

/// Tokens of work that may always run on a service's upstreams, whatever [`SERVICE_HORIZON`]
/// allows, so that a service of unknown speed gets its first requests.
const MIN_IN_SERVICE_TOKENS: u32 = 2_000;

/// Reply to a queued request: `Ok` when it may start, or the refusal.
pub(crate) type QueueReply = oneshot::Sender<Result<(), Refusal>>;

/// Reply to a suspect that waits for an isolated run: the reserved upstream, or the refusal.
pub(crate) type IsolationReply = oneshot::Sender<Result<UpstreamKey, Refusal>>;

/// State of one node that queues requests, charges limits and picks upstreams.
pub(crate) struct TrafficScheduler {
    table: UpstreamTable,
    own_zone: ZoneKey,
    services: HashMap<String, ServiceQueue>,
    service_by_upstream: HashMap<UpstreamKey, String>,
    limiter: RateLimiter,
    retry_budget: RetryBudget,
    suspects: SuspectTable,
    /// Reply channels of the suspects that wait for an isolated run.
    isolation_replies: HashMap<RequestId, IsolationReply>,
    picker: UpstreamPicker,
    rng: ChaCha8Rng,
    last_ticket: u64,
    live_nodes: u32,
    /// Bound on the queued requests of each service.
    max_queued_requests: usize,
}

/// Upstreams and fair queue of one service.
struct ServiceQueue {
    candidates: RouteUpstreams,
    upstreams: Vec<UpstreamKey>,
    queue: FairQueue,
    /// Requests that this node has started on the upstreams since the process started.
    started: u64,
    /// Reply channels of the queued requests.
    replies: HashMap<TicketNumber, QueueReply>,
}

/// Parameters of the admission of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmissionRequest {
    pub(crate) customer: CustomerKey,
    pub(crate) class: RequestClass,
    /// Estimated cost.
    pub(crate) tokens: u32,
    /// Lowest charge against the customer's limit. It also bounds the customer's requests per
    /// second, see `RoutingView::min_charge`.
    pub(crate) min_charge: u32,
    pub(crate) deadline: Moment,
}

/// Handle of a queued or running request, given back with [`TrafficScheduler::release`].
#[derive(Debug, Clone)]
pub(crate) struct AdmissionTicket {
    pub(crate) service: String,
    pub(crate) number: TicketNumber,
    pub(crate) customer: CustomerKey,
    /// Estimated cost.
    pub(crate) tokens: u32,
    pub(crate) min_charge: u32,
}

impl TrafficScheduler {
    pub(crate) fn new(incarnation: Incarnation, settings: &DaemonSettings) -> Self {
        // A third of a grant's lifetime, so that a grant is renewed twice before it expires.
        let grant_request_interval = Span(settings.timeouts.limit_grant.0 / 3);
        let max_queued_requests = settings.bounds.queued_requests as usize;
        Self {
            table: UpstreamTable::new(TableSettings::default(), Vec::new()),
            own_zone: ZoneKey(0),
            services: HashMap::new(),
            service_by_upstream: HashMap::new(),
            limiter: RateLimiter::new(
                incarnation,
                LimiterSettings {
                    request_interval: grant_request_interval,
                    ..LimiterSettings::default()
                },
            ),
            retry_budget: RetryBudget::new(),
            suspects: SuspectTable::new(incarnation, SuspectPolicy::default()),
            isolation_replies: HashMap::new(),
            picker: UpstreamPicker::new(PickerSettings::default()),
            rng: ChaCha8Rng::seed_from_u64(incarnation.0),
            last_ticket: 0,
            live_nodes: 1,
            max_queued_requests,
        }
    }

    /// Sets the zone of this node and the one-way latencies to all zones. The latencies are ignored
    /// once an upstream has been added.
    pub(crate) fn set_zones(&mut self, own_zone: ZoneKey, zone_latencies: Vec<Span>) {
        self.own_zone = own_zone;
        if self.table.is_empty() {
            self.table = UpstreamTable::new(TableSettings::default(), zone_latencies);
        }
    }

    /// Sets the number of live nodes, this one included, among which the capacity of a service is
    /// divided.
    pub(crate) fn set_live_nodes(&mut self, nodes: usize) {
        self.live_nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        self.table.set_node_count(self.live_nodes);
    }

    /// Sets the customer's weight in the fair queues of all services that have an upstream by now.
    pub(crate) fn set_weight(&mut self, now: Moment, customer: CustomerKey, weight: u32) {
        for service in self.services.values_mut() {
            let event = QueueEvent::WeightChanged { customer, weight };
            let actions = service.queue.handle(now, event);
            service.apply(actions);
        }
    }

    /// Adds an upstream, with its speed in tokens per second if the document states one. Upstreams
    /// must be added in the same order as to the routing view, so that their keys are equal.
    pub(crate) fn add_upstream(
        &mut self,
        service: &str,
        info: UpstreamProperties,
        speed: Option<u32>,
    ) -> UpstreamKey {
        let key = match speed {
            Some(speed) => self.table.add_with_speed(info, speed),
            None => self.table.add(info),
        };
        self.service_by_upstream.insert(key, String::from(service));
        let seed = self.rng.random();
        let service_queue = self
            .services
            .entry(String::from(service))
            .or_insert_with(|| ServiceQueue::new(&self.table, self.own_zone, seed));
        service_queue.upstreams.push(key);
        service_queue.candidates =
            RouteUpstreams::new(&self.table, self.own_zone, service_queue.upstreams.clone());
        key
    }

    pub(crate) fn set_state(&mut self, upstream: UpstreamKey, state: UpstreamState) {
        self.table.set_state(upstream, state);
    }

    pub(crate) fn state(&self, upstream: UpstreamKey) -> Option<UpstreamState> {
        self.table.state(upstream)
    }

    /// Applies a load report. An upstream without load can take a waiting suspect; returns the
    /// actions of this for the control thread.
    pub(crate) fn apply_load_report(
        &mut self,
        now: Moment,
        wall: WallTime,
        upstream: UpstreamKey,
        load: LoadMeasurement,
    ) -> Vec<SuspectAction> {
        self.table.record_load(now, upstream, load);
        let (requests, measured_at) = (load.running + load.queued, load.measured_at);
        let event = SuspectEvent::LoadReported { upstream, requests, measured_at };
        self.handle_suspect_event(now, wall, event)
    }

    /// Queues a request whose customer's limit has been charged. The decision is sent to `reply`.
    ///
    /// Returns no ticket when the request is refused immediately, since the service has no upstream
    /// or the queue is full.
    pub(crate) fn enqueue(
        &mut self,
        now: Moment,
        service: &str,
        request: AdmissionRequest,
        reply: QueueReply,
    ) -> Option<AdmissionTicket> {
        self.last_ticket += 1;
        let ticket = TicketNumber(self.last_ticket);
        let Some(service_queue) = self.services.get_mut(service) else {
            let message = format!("service \"{service}\" has no upstream that this node knows");
            let refusal = Refusal::not_run(base::RefusalCode::NoUpstream, message);
            let _ = reply.send(Err(refusal.with_retry_after(Span::from_secs(1))));
            return None;
        };
        if service_queue.replies.len() >= self.max_queued_requests {
            let message = "the request queue of this node is full";
            let refusal = Refusal::not_run(base::RefusalCode::Overloaded, message);
            let retry_after = Span::from_millis(self.rng.random_range(500..1_500));
            let _ = reply.send(Err(refusal.with_retry_after(retry_after)));
            return None;
        }
        service_queue.replies.insert(ticket, reply);
        let AdmissionRequest { customer, class, tokens, min_charge, deadline } = request;
        let request = QueuedRequest { ticket, customer, class, tokens, deadline };
        let actions = service_queue.queue.handle(now, QueueEvent::Offered(request));
        service_queue.apply(actions);
        let service = String::from(service);
        Some(AdmissionTicket { service, number: ticket, customer, tokens, min_charge })
    }

    /// Takes the request's tokens from its customer's token bucket. Open routes have no limit.
    pub(crate) fn charge_limit(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
    ) -> LimitDecision {
        if request.customer == OPEN_ROUTE_CUSTOMER {
            return LimitDecision::Admitted;
        }
        self.limiter.admit(now, request.customer, request.tokens.max(request.min_charge))
    }

    pub(crate) const fn limiter(&mut self) -> &mut RateLimiter {
        &mut self.limiter
    }

    /// Releases the admission of a queued or running request and charges the difference between
    /// its true and its estimated cost. `tokens` is the true cost, 0 when it did not run.
    pub(crate) fn release(&mut self, now: Moment, ticket: &AdmissionTicket, tokens: u32) {
        if ticket.customer != OPEN_ROUTE_CUSTOMER {
            let charged = ticket.tokens.max(ticket.min_charge);
            let due = tokens.max(ticket.min_charge);
            let difference = i64::from(due) - i64::from(charged);
            self.limiter.reconcile(ticket.customer, difference);
        }
        let Some(service) = self.services.get_mut(&ticket.service) else { return };
        service.replies.remove(&ticket.number);
        let mut actions = service.queue.handle(now, QueueEvent::CallerDisconnected(ticket.number));
        actions
            .extend(service.queue.handle(now, QueueEvent::Done { ticket: ticket.number, tokens }));
        service.apply(actions);
    }

    /// Picks an upstream of a service, or `None` when none can take the request. A picked upstream
    /// is not reserved: the load counts from [`TrafficScheduler::start`] on.
    pub(crate) fn pick(
        &mut self,
        now: Moment,
        service: &str,
        request: &PickRequest<'_>,
    ) -> Option<PickResult> {
        let service_queue = self.services.get(service)?;
        self.picker.pick(now, &self.table, &service_queue.candidates, request, &mut self.rng)
    }

    /// Counts a request as in flight on an upstream, with its estimated tokens. The suspect table
    /// records its fingerprint, if there is one, and makes it a suspect if the upstream crashes.
    pub(crate) fn start(
        &mut self,
        now: Moment,
        wall: WallTime,
        upstream: UpstreamKey,
        tokens: u32,
        fingerprint: Option<Fingerprint>,
    ) -> InFlightRequest {
        if let Some(fingerprint) = fingerprint {
            self.suspects.handle(now, wall, SuspectEvent::Started { upstream, fingerprint });
        }
        let service = self.service_by_upstream.get(&upstream);
        if let Some(service_queue) = service.and_then(|service| self.services.get_mut(service)) {
            service_queue.started += 1;
        }
        self.table.start(now, upstream, tokens)
    }

    /// Returns the number of requests that this node has started on the upstreams of a service
    /// since the process started.
    pub(crate) fn started_requests(&self, service: &str) -> u64 {
        self.services.get(service).map_or(0, |service_queue| service_queue.started)
    }

    /// Returns the number of this node's requests in flight on an upstream.
    pub(crate) fn own_requests(&self, upstream: UpstreamKey) -> u32 {
        self.table.own_requests(upstream)
    }

    /// Ends a request that [`TrafficScheduler::start`] counted. A success adds to the retry budget.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        request: InFlightRequest,
        outcome: RequestOutcome,
    ) {
        if matches!(outcome, RequestOutcome::Completed { .. }) {
            self.retry_budget.record_success();
        }
        self.table.finish(now, request, outcome);
    }

    /// Withdraws one retry from the node's retry budget. Returns false when the budget is used up.
    pub(crate) const fn withdraw_retry(&mut self) -> bool {
        self.retry_budget.try_withdraw()
    }

    pub(crate) fn fingerprint_status(
        &self,
        wall: WallTime,
        fingerprint: Fingerprint,
    ) -> FingerprintStatus {
        self.suspects.fingerprint_status(wall, fingerprint)
    }

    pub(crate) const fn suspects(&self) -> &SuspectTable {
        &self.suspects
    }

    /// Applies an event to the suspect table. Sends the replies that follow from it and returns the
    /// actions that the control thread must perform.
    pub(crate) fn handle_suspect_event(
        &mut self,
        now: Moment,
        wall: WallTime,
        event: SuspectEvent,
    ) -> Vec<SuspectAction> {
        let actions = self.suspects.handle(now, wall, event);
        self.apply_suspect_actions(actions)
    }

    /// Queues a suspect for an isolated run. `reply` gets the upstream that is reserved for it, or
    /// the refusal. Returns the actions for the control thread.
    pub(crate) fn request_isolation(
        &mut self,
        now: Moment,
        wall: WallTime,
        service: &str,
        mut request: IsolationRequest,
        reply: IsolationReply,
    ) -> Vec<SuspectAction> {
        self.isolation_replies.insert(request.request, reply);
        request.upstreams = self.upstreams_by_backlog(service).into_iter().collect();
        self.handle_suspect_event(now, wall, SuspectEvent::Requested(request))
    }

    /// Advances all timers. Updates the capacity of the services, lets queued requests start or
    /// expire, and returns the actions of the suspect table for the control thread.
    pub(crate) fn tick(&mut self, now: Moment, wall: WallTime) -> Vec<SuspectAction> {
        self.table.refresh_max_speed();
        for service in self.services.values_mut() {
            let capacity = service.capacity(&self.table, self.live_nodes);
            let mut actions = service.queue.handle(now, QueueEvent::Tick);
            if let Some(capacity) = capacity {
                actions.extend(service.queue.handle(now, QueueEvent::CapacityChanged(capacity)));
            }
            service.apply(actions);
        }
        self.handle_suspect_event(now, wall, SuspectEvent::Tick)
    }

    /// Returns the estimated tokens of the queued requests of all services.
    pub(crate) fn queued_tokens(&self) -> u64 {
        self.services.values().map(|service| service.queue.waiting_tokens()).sum()
    }

    /// Returns the upstreams of a service that are up, the smallest backlog first.
    fn upstreams_by_backlog(&self, service: &str) -> Vec<UpstreamKey> {
        let Some(service_queue) = self.services.get(service) else { return Vec::new() };
        let is_up = |key: &UpstreamKey| self.table.state(*key) == Some(UpstreamState::Up);
        let mut upstreams =
            service_queue.upstreams.iter().copied().filter(is_up).collect::<Vec<_>>();
        upstreams.sort_by_key(|key| self.table.backlog(*key));
        upstreams
    }

    /// Performs the actions that concern this node and returns the others, which the control thread
    /// must perform.
    fn apply_suspect_actions(&mut self, actions: SuspectActions) -> Vec<SuspectAction> {
        let mut remaining = Vec::new();
        for action in actions {
            match action {
                SuspectAction::RunIsolated { request, upstream } => {
                    if let Some(reply) = self.isolation_replies.remove(&request) {
                        let _ = reply.send(Ok(upstream));
                    }
                }
                SuspectAction::Refuse { request, refusal } => {
                    if let Some(reply) = self.isolation_replies.remove(&request) {
                        let _ = reply.send(Err(refusal));
                    }
                }
                SuspectAction::Reserve(notice) => {
                    self.table.reserve(notice.upstream);
                    remaining.push(SuspectAction::Reserve(notice));
                }
                SuspectAction::Release(notice) => {
                    self.table.release(notice.upstream);
                    remaining.push(SuspectAction::Release(notice));
                }
                other => remaining.push(other),
            }
        }
        remaining
    }
}

impl ServiceQueue {
    fn new(table: &UpstreamTable, own_zone: ZoneKey, seed: u64) -> Self {
        let capacity = ServiceCapacity {
            tokens_per_second: 1_000,
            max_in_service_tokens: MIN_IN_SERVICE_TOKENS,
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            candidates: RouteUpstreams::new(table, own_zone, []),
            upstreams: Vec::new(),
            started: 0,
            queue: FairQueue::new(QueueSettings::default(), capacity, rng),
            replies: HashMap::new(),
        }
    }

    /// Returns the part of the service's capacity that this node may use: an equal part, or what
    /// the other nodes leave unused if that is more. Returns `None` while no upstream can be
    /// picked, so that requests pass the queue and are refused by the picker for lack of an
    /// upstream. With a rate of zero the queue would refuse them as an overload.
    fn capacity(&self, table: &UpstreamTable, live_nodes: u32) -> Option<ServiceCapacity> {
        let mut total_speed = 0.0;
        let mut others_backlog = 0.0;
        for key in &self.upstreams {
            // An upstream counts as suspect after a single refused or closed connection, and it can
            // still be picked.
            if !matches!(table.state(*key), Some(UpstreamState::Up | UpstreamState::Suspect)) {
                continue;
            }
            total_speed += table.speed(*key).unwrap_or(0.0);
            others_backlog += table.other_nodes_backlog(*key).unwrap_or(0.0);
        }
        if total_speed <= 0.0 {
            return None;
        }
        let horizon_seconds = SERVICE_HORIZON.as_secs_f64() as f32;
        let unused_share =
            (1.0 - others_backlog / (total_speed * horizon_seconds).max(1.0)).max(0.0);
        let share = unused_share.max(1.0 / live_nodes as f32);
        let tokens_per_second = (total_speed * share).max(1.0) as u32;
        let max_in_service_tokens =
            ((tokens_per_second as f32 * horizon_seconds) as u32).max(MIN_IN_SERVICE_TOKENS);
        Some(ServiceCapacity { tokens_per_second, max_in_service_tokens })
    }

    /// Sends the decisions of the queue to the requests that wait for them.
    fn apply(&mut self, actions: QueueActions) {
        for action in actions {
            let (ticket, result) = match action {
                QueueAction::Dispatch(ticket) => (ticket, Ok(())),
                QueueAction::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            // The reply channel is missing when the caller disconnected:
            // `TrafficScheduler::release` has removed it.
            if let Some(reply) = self.replies.remove(&ticket) {
                let _ = reply.send(result);
            }
        }
    }
}
