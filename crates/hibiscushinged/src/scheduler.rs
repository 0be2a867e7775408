//! Decisions of the traffic threads: admission, choice of upstream and isolation of suspects.
//!
//! All traffic threads of a node share one desk behind a lock, so that queues, limits and isolated
//! runs cover the whole node. Each call is one decision and does not wait.

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

use crate::view::OPEN_CALLERS;

/// Work that a node may have in service at one upstream, as time at the upstream's speed. It keeps
/// engines busy between two decisions and leaves the rest of the queue to the fair order.
const SERVICE_HORIZON: Span = Span::from_secs(1);

/// Smallest amount of work in service, so that a service without known speed can start.
const MIN_IN_SERVICE: u32 = 2_000;

/// Answer to a queued request.
pub(crate) type QueueReply = oneshot::Sender<Result<(), Refusal>>;

/// Answer to a suspect that waits for an isolated run.
pub(crate) type IsolationReply = oneshot::Sender<Result<UpstreamKey, Refusal>>;

/// Traffic decisions of one node.
pub(crate) struct TrafficScheduler {
    table: UpstreamTable,
    own_zone: ZoneKey,
    services: HashMap<String, ServiceQueue>,
    service_of: HashMap<UpstreamKey, String>,
    limiter: RateLimiter,
    budget: RetryBudget,
    suspects: SuspectTable,
    isolated: HashMap<RequestId, IsolationReply>,
    picker: UpstreamPicker,
    rng: ChaCha8Rng,
    last_ticket: u64,
    live_nodes: u32,
    max_waiting: usize,
}

struct ServiceQueue {
    candidates: RouteUpstreams,
    upstreams: Vec<UpstreamKey>,
    queue: FairQueue,
    started: u64,
    waiting: HashMap<TicketNumber, QueueReply>,
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmissionRequest {
    pub(crate) customer: CustomerKey,
    pub(crate) class: RequestClass,
    pub(crate) tokens: u32,
    /// Least charge against the customer's limit, which also bounds its requests per second.
    pub(crate) min_charge: u32,
    pub(crate) deadline: Moment,
}

/// Place of an admitted or waiting request.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionTicket {
    pub(crate) service: String,
    pub(crate) number: TicketNumber,
    pub(crate) customer: CustomerKey,
    pub(crate) tokens: u32,
    pub(crate) min_charge: u32,
}

impl TrafficScheduler {
    pub(crate) fn new(incarnation: Incarnation, settings: &DaemonSettings) -> Self {
        // A share is renewed twice before it ends.
        let ask_period = Span(settings.timeouts.limit_grant.0 / 3);
        let max_waiting = settings.bounds.queued_requests as usize;
        Self {
            table: UpstreamTable::new(TableSettings::default(), Vec::new()),
            own_zone: ZoneKey(0),
            services: HashMap::new(),
            service_of: HashMap::new(),
            limiter: RateLimiter::new(
                incarnation,
                LimiterSettings { request_interval: ask_period, ..LimiterSettings::default() },
            ),
            budget: RetryBudget::new(),
            suspects: SuspectTable::new(incarnation, SuspectPolicy::default()),
            isolated: HashMap::new(),
            picker: UpstreamPicker::new(PickerSettings::default()),
            rng: ChaCha8Rng::seed_from_u64(incarnation.0),
            last_ticket: 0,
            live_nodes: 1,
            max_waiting,
        }
    }

    /// Sets the own zone and the one-way times to all zones, which must precede any upstream.
    pub(crate) fn set_zones(&mut self, own_zone: ZoneKey, zone_latencies: Vec<Span>) {
        self.own_zone = own_zone;
        if self.table.is_empty() {
            self.table = UpstreamTable::new(TableSettings::default(), zone_latencies);
        }
    }

    pub(crate) fn set_live_nodes(&mut self, nodes: usize) {
        self.live_nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        self.table.set_node_count(self.live_nodes);
    }

    pub(crate) fn set_weight(&mut self, now: Moment, customer: CustomerKey, weight: u32) {
        for service in self.services.values_mut() {
            let event = QueueEvent::WeightChanged { customer, weight };
            let actions = service.queue.handle(now, event);
            service.apply(actions);
        }
    }

    /// Adds an upstream. Its key equals the one in the routing view.
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
        self.service_of.insert(key, String::from(service));
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

    /// Takes in a load report and returns what it means for waiting suspects.
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

    /// Checks the customer's limit and queues the request.
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
            let message = format!("service \"{service}\" has no upstream");
            let refusal = Refusal::not_run(base::RefusalCode::NoUpstream, message);
            let _ = reply.send(Err(refusal.with_retry_after(Span::from_secs(1))));
            return None;
        };
        if service_queue.waiting.len() >= self.max_waiting {
            let message = "the queue of this node is full";
            let refusal = Refusal::not_run(base::RefusalCode::Overloaded, message);
            let retry_after = Span::from_millis(self.rng.random_range(500..1_500));
            let _ = reply.send(Err(refusal.with_retry_after(retry_after)));
            return None;
        }
        service_queue.waiting.insert(ticket, reply);
        let AdmissionRequest { customer, class, tokens, min_charge, deadline } = request;
        let request = QueuedRequest { ticket, customer, class, tokens, deadline };
        let actions = service_queue.queue.handle(now, QueueEvent::Offered(request));
        service_queue.apply(actions);
        let service = String::from(service);
        Some(AdmissionTicket { service, number: ticket, customer, tokens, min_charge })
    }

    /// Takes the request's tokens from the customer's limit. Open routes have none.
    pub(crate) fn charge_limit(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
    ) -> LimitDecision {
        if request.customer == OPEN_CALLERS {
            return LimitDecision::Admitted;
        }
        self.limiter.admit(now, request.customer, request.tokens.max(request.min_charge))
    }

    pub(crate) const fn limiter(&mut self) -> &mut RateLimiter {
        &mut self.limiter
    }

    /// Ends a request that was admitted or waits. `tokens` is its true cost, 0 when it did not run.
    pub(crate) fn release(&mut self, now: Moment, ticket: &AdmissionTicket, tokens: u32) {
        if ticket.customer != OPEN_CALLERS {
            let charged = ticket.tokens.max(ticket.min_charge);
            let due = tokens.max(ticket.min_charge);
            let difference = i64::from(due) - i64::from(charged);
            self.limiter.reconcile(ticket.customer, difference);
        }
        let Some(service) = self.services.get_mut(&ticket.service) else { return };
        service.waiting.remove(&ticket.number);
        let mut actions = service.queue.handle(now, QueueEvent::CallerDisconnected(ticket.number));
        actions
            .extend(service.queue.handle(now, QueueEvent::Done { ticket: ticket.number, tokens }));
        service.apply(actions);
    }

    pub(crate) fn pick(
        &mut self,
        now: Moment,
        service: &str,
        request: &PickRequest<'_>,
    ) -> Option<PickResult> {
        let service_queue = self.services.get(service)?;
        self.picker.pick(now, &self.table, &service_queue.candidates, request, &mut self.rng)
    }

    /// Counts a request as running on an upstream.
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
        let service = self.service_of.get(&upstream);
        if let Some(service_queue) = service.and_then(|service| self.services.get_mut(service)) {
            service_queue.started += 1;
        }
        self.table.start(now, upstream, tokens)
    }

    /// Requests that this node has started on the upstreams of a service.
    pub(crate) fn started_requests(&self, service: &str) -> u64 {
        self.services.get(service).map_or(0, |service_queue| service_queue.started)
    }

    /// Requests of this node that run on an upstream.
    pub(crate) fn own_requests(&self, upstream: UpstreamKey) -> u32 {
        self.table.own_requests(upstream)
    }

    pub(crate) fn finish(
        &mut self,
        now: Moment,
        request: InFlightRequest,
        outcome: RequestOutcome,
    ) {
        if matches!(outcome, RequestOutcome::Completed { .. }) {
            self.budget.record_success();
        }
        self.table.finish(now, request, outcome);
    }

    pub(crate) const fn take_retry(&mut self) -> bool {
        self.budget.try_withdraw()
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

    /// Applies an event that concerns suspects. Returns the actions for the control thread.
    pub(crate) fn handle_suspect_event(
        &mut self,
        now: Moment,
        wall: WallTime,
        event: SuspectEvent,
    ) -> Vec<SuspectAction> {
        let actions = self.suspects.handle(now, wall, event);
        self.apply_suspect(actions)
    }

    /// Asks for an isolated run of a suspect.
    pub(crate) fn request_isolation(
        &mut self,
        now: Moment,
        wall: WallTime,
        service: &str,
        mut request: IsolationRequest,
        reply: IsolationReply,
    ) -> Vec<SuspectAction> {
        self.isolated.insert(request.request, reply);
        request.upstreams = self.calm_upstreams(service).into_iter().collect();
        self.handle_suspect_event(now, wall, SuspectEvent::Requested(request))
    }

    /// Performs what is due by time.
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

    pub(crate) fn queued_tokens(&self) -> u64 {
        self.services.values().map(|service| service.queue.waiting_tokens()).sum()
    }

    /// Live upstreams of a service, those with least work first.
    fn calm_upstreams(&self, service: &str) -> Vec<UpstreamKey> {
        let Some(service_queue) = self.services.get(service) else { return Vec::new() };
        let is_up = |key: &UpstreamKey| self.table.state(*key) == Some(UpstreamState::Up);
        let mut upstreams =
            service_queue.upstreams.iter().copied().filter(is_up).collect::<Vec<_>>();
        upstreams.sort_by_key(|key| self.table.backlog(*key));
        upstreams
    }

    fn apply_suspect(&mut self, actions: SuspectActions) -> Vec<SuspectAction> {
        let mut rest = Vec::new();
        for action in actions {
            match action {
                SuspectAction::RunIsolated { request, upstream } => {
                    if let Some(reply) = self.isolated.remove(&request) {
                        let _ = reply.send(Ok(upstream));
                    }
                }
                SuspectAction::Refuse { request, refusal } => {
                    if let Some(reply) = self.isolated.remove(&request) {
                        let _ = reply.send(Err(refusal));
                    }
                }
                SuspectAction::Reserve(notice) => {
                    self.table.reserve(notice.upstream);
                    rest.push(SuspectAction::Reserve(notice));
                }
                SuspectAction::Release(notice) => {
                    self.table.release(notice.upstream);
                    rest.push(SuspectAction::Release(notice));
                }
                other => rest.push(other),
            }
        }
        rest
    }
}

impl ServiceQueue {
    fn new(table: &UpstreamTable, own_zone: ZoneKey, seed: u64) -> Self {
        let capacity =
            ServiceCapacity { tokens_per_second: 1_000, max_in_service_tokens: MIN_IN_SERVICE };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            candidates: RouteUpstreams::new(table, own_zone, []),
            upstreams: Vec::new(),
            started: 0,
            queue: FairQueue::new(QueueSettings::default(), capacity, rng),
            waiting: HashMap::new(),
        }
    }

    /// Returns what this node can expect: its equal part of the service, or what the other nodes
    /// leave unused when that is more. `None` while no upstream can be chosen: the choice then
    /// refuses for the true reason, where a rate of zero would claim an overload.
    fn capacity(&self, table: &UpstreamTable, live_nodes: u32) -> Option<ServiceCapacity> {
        let mut total = 0.0;
        let mut others = 0.0;
        for key in &self.upstreams {
            // A suspect upstream may have closed one idle connection only, and can be chosen.
            if !matches!(table.state(*key), Some(UpstreamState::Up | UpstreamState::Suspect)) {
                continue;
            }
            total += table.speed(*key).unwrap_or(0.0);
            others += table.other_nodes_backlog(*key).unwrap_or(0.0);
        }
        if total <= 0.0 {
            return None;
        }
        let horizon = SERVICE_HORIZON.as_secs_f64() as f32;
        let unused = (1.0 - others / (total * horizon).max(1.0)).max(0.0);
        let share = unused.max(1.0 / live_nodes as f32);
        let tokens_per_second = (total * share).max(1.0) as u32;
        let max_in_service_tokens =
            ((tokens_per_second as f32 * horizon) as u32).max(MIN_IN_SERVICE);
        Some(ServiceCapacity { tokens_per_second, max_in_service_tokens })
    }

    fn apply(&mut self, actions: QueueActions) {
        for action in actions {
            let (ticket, answer) = match action {
                QueueAction::Dispatch(ticket) => (ticket, Ok(())),
                QueueAction::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            // A caller that has gone is taken out of the queue by `TrafficScheduler::release`.
            if let Some(reply) = self.waiting.remove(&ticket) {
                let _ = reply.send(answer);
            }
        }
    }
}
