//! Discrete-event simulation of nodes that queue requests and pick among simulated engines, each
//! with its own view of their load.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use admission::{
    AllocatorSettings, FairQueue, LimitAllocator, LimitDecision, LimiterSettings, QueueAction,
    QueueEvent, QueueSettings, QueuedRequest, RateLimiter, RequestClass, ServiceCapacity,
    TicketNumber, ZoneLimit,
};
use base::{CustomerKey, Incarnation, Moment, Span, UpstreamKey, ZoneKey, derive_copy};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use routing::{
    InFlightRequest, LoadMeasurement, PickPolicy, PickRequest, PriceClass, RequestOutcome,
    RouteUpstreams, TableSettings, UpstreamProperties, UpstreamTable,
};

use super::{engine::EngineModel, measure::RunMeasurements, scenario::TrafficScenario};

/// Queue in front of the pick policy of each node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueKind {
    /// No queue: every request is sent at once.
    None,
    /// A queue in order of arrival, which refuses requests past their deadline.
    Fifo,
    /// The fair queue.
    Fair,
    /// The fair queue behind rate limits that give each customer an equal share of the capacity.
    LimitedFair,
}

/// The queue of one node. `in_service` counts the estimated tokens of the requests sent to engines.
enum RequestQueue {
    None,
    Fifo { waiting: VecDeque<usize>, in_service: u64 },
    Fair(Box<FairQueue>),
}

struct Node<P> {
    zone: ZoneKey,
    table: UpstreamTable,
    upstreams: RouteUpstreams,
    policy: P,
    queue: RequestQueue,
    rate_limiter: Option<RateLimiter>,
}

struct Request {
    customer: u32,
    node: usize,
    tokens: u32,
    arrived_at: Moment,
    in_flight: Option<InFlightRequest>,
}

derive_copy! {
    enum Event {
        Arrival,
        EngineDone { engine: usize, generation: u64 },
        MeasureLoad,
        LoadReported { engine: usize, running: u32, queued: u32, measured_at: Moment },
        QueueTick { node: usize },
        RefreshMaxSpeed,
    }
}

pub(super) struct World<'a, P> {
    scenario: &'a TrafficScenario,
    customer_weights: Vec<f64>,
    /// Mean time between two arrivals, in microseconds.
    mean_arrival_gap: f64,
    now: Moment,
    sequence: u64,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    engines: Vec<EngineModel>,
    nodes: Vec<Node<P>>,
    /// The limit allocator of the delegate of each zone.
    allocators: Vec<LimitAllocator>,
    requests: Vec<Request>,
    /// Capacity that each node may use.
    capacity: ServiceCapacity,
    rng: ChaCha8Rng,
    measurements: RunMeasurements,
}

impl<'a, P: PickPolicy + Clone> World<'a, P> {
    pub(super) fn new(
        scenario: &'a TrafficScenario,
        policy: &P,
        queue_kind: QueueKind,
        aggressor_factor: f64,
        seed: u64,
    ) -> Self {
        let zones = scenario.zones.len().max(1) as u32;
        let mut engines = Vec::new();
        for group in &scenario.engines {
            for _ in 0..group.count {
                let zone = ZoneKey(engines.len() as u32 % zones);
                engines.push(EngineModel::new(zone, group.tokens_per_second, group.batch));
            }
        }
        let capacity = scenario.capacity();
        let service_capacity = ServiceCapacity {
            tokens_per_second: (capacity / u64::from(scenario.nodes)) as u32,
            max_in_service_tokens: (capacity * scenario.target_service_ms
                / (1_000 * u64::from(scenario.nodes))) as u32,
        };
        let mut nodes = Vec::new();
        for number in 0..scenario.nodes {
            let zone = ZoneKey(number % zones);
            let distance = Span::from_millis(scenario.zone_distance_ms);
            let zone_latencies =
                (0..zones).map(|other| if other == zone.0 { Span::ZERO } else { distance });
            let mut table = UpstreamTable::new(TableSettings::default(), zone_latencies.collect());
            table.set_node_count(scenario.nodes);
            for (index, engine) in engines.iter().enumerate() {
                let (name_hash, price_class) = (index as u64 + 1, PriceClass::Regular);
                table.add(UpstreamProperties { name_hash, zone: engine.zone, price_class });
            }
            let upstreams =
                RouteUpstreams::new(&table, zone, (0..engines.len() as u32).map(UpstreamKey));
            let me = Incarnation(u64::from(number));
            let is_limited = queue_kind == QueueKind::LimitedFair;
            let rate_limiter = is_limited.then(|| {
                let mut rate_limiter = RateLimiter::new(me, LimiterSettings::default());
                let limit = zone_limit(scenario, zone.0, zones);
                for customer in 0..scenario.customers {
                    rate_limiter.set_guaranteed_rate(
                        Moment(0),
                        CustomerKey(customer),
                        limit.guaranteed_rate,
                    );
                }
                rate_limiter
            });
            let queue = match queue_kind {
                QueueKind::None => RequestQueue::None,
                QueueKind::Fifo => RequestQueue::Fifo { waiting: VecDeque::new(), in_service: 0 },
                QueueKind::Fair | QueueKind::LimitedFair => {
                    let rng = ChaCha8Rng::seed_from_u64(seed ^ u64::from(number) << 32);
                    RequestQueue::Fair(Box::new(FairQueue::new(
                        QueueSettings::default(),
                        service_capacity,
                        rng,
                    )))
                }
            };
            nodes.push(Node {
                zone,
                table,
                upstreams,
                policy: policy.clone(),
                queue,
                rate_limiter,
            });
        }
        let allocators = (0..zones).map(|zone| allocator(scenario, zone, zones)).collect();
        let mut customer_weights = vec![1.0; scenario.customers as usize];
        customer_weights[0] = aggressor_factor;
        let load_factor = customer_weights.iter().sum::<f64>() / f64::from(scenario.customers);
        let per_second =
            scenario.load * load_factor * capacity as f64 / f64::from(scenario.mean_tokens);
        let warmup = Moment(0) + Span::from_secs(scenario.warmup_seconds);
        Self {
            scenario,
            customer_weights,
            mean_arrival_gap: 1e6 / per_second,
            now: Moment(0),
            sequence: 0,
            events: BinaryHeap::new(),
            engines,
            nodes,
            allocators,
            requests: Vec::new(),
            capacity: service_capacity,
            rng: ChaCha8Rng::seed_from_u64(seed),
            measurements: RunMeasurements::new(warmup, scenario.customers as usize),
        }
    }

    pub(super) fn run(mut self) -> RunMeasurements {
        let end = Moment(0) + Span::from_secs(self.scenario.seconds);
        self.schedule(Span::ZERO, Event::Arrival);
        self.schedule(Span::ZERO, Event::MeasureLoad);
        self.schedule(Span::from_secs(1), Event::RefreshMaxSpeed);
        for node in 0..self.nodes.len() {
            self.schedule(Span::from_millis(100), Event::QueueTick { node });
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.measurements.finish(end);
        self.measurements
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::EngineDone { engine, generation } => self.engine_done(engine, generation),
            Event::MeasureLoad => {
                for engine in 0..self.engines.len() {
                    let (running, queued) = self.engines[engine].counts();
                    let measured_at = self.now;
                    let event = Event::LoadReported { engine, running, queued, measured_at };
                    self.schedule(Span::from_millis(self.scenario.report_lag_ms), event);
                }
                self.schedule(
                    Span::from_millis(self.scenario.report_period_ms),
                    Event::MeasureLoad,
                );
            }
            Event::LoadReported { engine, running, queued, measured_at } => {
                let load = LoadMeasurement { running, queued, version: None, measured_at };
                for node in &mut self.nodes {
                    node.table.record_load(self.now, UpstreamKey(engine as u32), load);
                }
            }
            Event::QueueTick { node } => {
                if let RequestQueue::Fair(queue) = &mut self.nodes[node].queue {
                    let actions = queue.handle(self.now, QueueEvent::Tick);
                    self.apply_actions(&actions);
                }
                self.schedule(Span::from_millis(100), Event::QueueTick { node });
            }
            Event::RefreshMaxSpeed => {
                for node in &mut self.nodes {
                    node.table.refresh_max_speed();
                }
                self.schedule(Span::from_secs(1), Event::RefreshMaxSpeed);
            }
        }
    }

    fn arrival(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * self.mean_arrival_gap;
        self.schedule(Span::from_micros(gap as u64), Event::Arrival);
        let mean = f64::from(self.scenario.mean_tokens);
        let tokens = (-(1.0 - self.rng.random::<f64>()).ln() * mean).max(1.0) as u32;
        let total = self.customer_weights.iter().sum::<f64>();
        let mut drawn = self.rng.random::<f64>() * total;
        let mut customer = 0;
        for (index, weight) in self.customer_weights.iter().enumerate() {
            customer = index;
            drawn -= weight;
            if drawn < 0.0 {
                break;
            }
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let (request, arrived_at) = (self.requests.len(), self.now);
        let customer = customer as u32;
        self.requests.push(Request { customer, node, tokens, arrived_at, in_flight: None });
        self.measurements.offered(arrived_at, customer);
        let deadline = self.deadline(request);
        if !self.admit(node, customer) {
            self.count_refusal(request);
            return;
        }
        match &mut self.nodes[node].queue {
            RequestQueue::None => self.send(request),
            RequestQueue::Fifo { waiting, .. } => {
                waiting.push_back(request);
                self.dispatch_fifo(node);
            }
            RequestQueue::Fair(queue) => {
                let queued = QueuedRequest {
                    ticket: TicketNumber(request as u64),
                    customer: CustomerKey(customer),
                    class: RequestClass::Live,
                    tokens: self.scenario.mean_tokens,
                    deadline,
                };
                let actions = queue.handle(self.now, QueueEvent::Offered(queued));
                self.apply_actions(&actions);
            }
        }
    }

    /// Takes the estimated cost from the customer's token bucket, if the node has rate limits.
    /// Grant requests and grants arrive without delay, since the network latency within a zone is
    /// short against the period of the grant requests.
    fn admit(&mut self, node: usize, customer: u32) -> bool {
        let Node { rate_limiter, zone, .. } = &mut self.nodes[node];
        let Some(rate_limiter) = rate_limiter else { return true };
        let (customer, tokens) = (CustomerKey(customer), self.scenario.mean_tokens);
        let decision = rate_limiter.admit(self.now, customer, tokens);
        for request in rate_limiter.due_requests(self.now) {
            if let Some(grant) = self.allocators[zone.0 as usize].grant(self.now, request) {
                rate_limiter.apply_grant(self.now, grant);
            }
        }
        decision == LimitDecision::Admitted
    }

    fn deadline(&self, request: usize) -> Moment {
        self.requests[request].arrived_at + Span::from_millis(self.scenario.deadline_ms)
    }

    fn apply_actions(&mut self, actions: &[QueueAction]) {
        for action in actions {
            match action {
                QueueAction::Dispatch(ticket) => self.send(ticket.0 as usize),
                QueueAction::Refuse { ticket, .. } => self.count_refusal(ticket.0 as usize),
            }
        }
    }

    fn count_refusal(&mut self, request: usize) {
        let Request { customer, arrived_at, .. } = self.requests[request];
        self.measurements.refused(arrived_at, customer);
    }

    fn dispatch_fifo(&mut self, node: usize) {
        loop {
            let RequestQueue::Fifo { waiting, in_service } = &mut self.nodes[node].queue else {
                return;
            };
            if *in_service >= u64::from(self.capacity.max_in_service_tokens) {
                return;
            }
            let Some(request) = waiting.pop_front() else { return };
            if self.deadline(request) <= self.now {
                self.count_refusal(request);
                continue;
            }
            if let RequestQueue::Fifo { in_service, .. } = &mut self.nodes[node].queue {
                *in_service += u64::from(self.scenario.mean_tokens);
            }
            self.send(request);
        }
    }

    fn send(&mut self, request: usize) {
        let tokens = self.scenario.mean_tokens;
        let pick_request =
            PickRequest { tokens, prompt_tokens: 0, prefix: None, min_version: None, avoid: &[] };
        let node = &mut self.nodes[self.requests[request].node];
        let Node { table, upstreams, policy, .. } = node;
        let Some(choice) = policy.pick(self.now, table, upstreams, &pick_request, &mut self.rng)
        else {
            self.count_refusal(request);
            return;
        };
        self.requests[request].in_flight = Some(table.start(self.now, choice.upstream, tokens));
        let engine = choice.upstream.0 as usize;
        self.engines[engine].push(self.now, request, self.requests[request].tokens);
        self.schedule_done(engine);
    }

    fn schedule_done(&mut self, engine: usize) {
        let model = &self.engines[engine];
        let generation = model.generation;
        let Some(at) = model.next_done() else { return };
        self.schedule(at.since(self.now), Event::EngineDone { engine, generation });
    }

    fn engine_done(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        while let Some(request) = self.engines[engine].pop_done(self.now) {
            self.completed(engine, request);
        }
        self.schedule_done(engine);
    }

    fn completed(&mut self, engine: usize, request: usize) {
        let deadline = self.deadline(request);
        let Request { customer, node, tokens, arrived_at, in_flight } = self.requests[request];
        let outcome = RequestOutcome::Completed { tokens };
        let in_flight = in_flight
            .expect("a request that an engine completed was started in the upstream table");
        let Node { zone, table, queue, .. } = &mut self.nodes[node];
        table.finish(self.now, in_flight, outcome);
        let zone_latency = table.zone_latency(self.engines[engine].zone);
        let network = if *zone == self.engines[engine].zone {
            Span::ZERO
        } else {
            zone_latency + zone_latency
        };
        let ended_at = self.now + network;
        self.measurements.completed(arrived_at, ended_at, customer, tokens, ended_at <= deadline);
        match queue {
            RequestQueue::None => (),
            RequestQueue::Fifo { in_service, .. } => {
                *in_service -= u64::from(self.scenario.mean_tokens);
                self.dispatch_fifo(node);
            }
            RequestQueue::Fair(queue) => {
                let done = QueueEvent::Done { ticket: TicketNumber(request as u64), tokens };
                let actions = queue.handle(self.now, done);
                self.apply_actions(&actions);
            }
        }
    }
}

fn allocator(scenario: &TrafficScenario, zone: u32, zones: u32) -> LimitAllocator {
    let vms = vms_of(scenario, zone, zones);
    let me = Incarnation(u64::from(zone));
    let mut allocator = LimitAllocator::new(me, AllocatorSettings::new(vms), Moment(0), vms);
    let limit = zone_limit(scenario, zone, zones);
    for customer in 0..scenario.customers {
        allocator.set_zone_limit(CustomerKey(customer), limit);
    }
    allocator
}

fn vms_of(scenario: &TrafficScenario, zone: u32, zones: u32) -> u32 {
    (0..scenario.nodes).filter(|node| node % zones == zone).count() as u32
}

fn zone_limit(scenario: &TrafficScenario, zone: u32, zones: u32) -> ZoneLimit {
    let vms = vms_of(scenario, zone, zones);
    let share = scenario.capacity() / u64::from(scenario.customers);
    let rate = (share * u64::from(vms) / u64::from(scenario.nodes)) as u32;
    ZoneLimit::with_guaranteed_rate(rate, vms)
}
