//! Order of waiting requests and refusal of those that would wait too long.

use std::collections::BTreeMap;

use base::{CustomerKey, Moment, Refusal, RefusalCode, Span, derive_copy, derive_value};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::{
    RequestClass,
    ring::{FlowKey, FlowRing},
};

derive_copy! {
    /// Number that the driver gives a waiting request.
    pub struct TicketNumber(pub u64);

    /// A request that asks for service.
    pub struct QueuedRequest {
        /// The driver's number.
        pub ticket: TicketNumber,
        /// Who pays.
        pub customer: CustomerKey,
        /// Who waits.
        pub class: RequestClass,
        /// Estimated cost in tokens.
        pub tokens: u32,
        /// When it must be answered.
        pub deadline: Moment,
    }

    /// What this node may use of the upstreams.
    pub struct ServiceCapacity {
        /// Tokens per second that this node can expect to be served.
        pub tokens_per_second: u32,
        /// Estimated tokens that may be in service at once.
        pub max_in_service_tokens: u32,
    }

    /// Settings of the queue.
    pub struct QueueSettings {
        /// Share of the tokens that samples get while live requests wait, in hundredths.
        pub sample_share: u32,
        /// Shortest retry time of a refusal. The stated one is up to twice as long, by a seeded
        /// draw, so that refused callers do not come back at once.
        pub min_retry: Span,
        /// Time between two checks of the waiting requests' deadlines.
        pub check_period: Span,
    }

    /// Something that concerns the queue.
    pub enum QueueEvent {
        /// A request asks for service.
        Offered(QueuedRequest),
        /// A dispatched request has ended.
        Done {
            /// The request.
            ticket: TicketNumber,
            /// Its true cost, 0 when it did not run.
            tokens: u32,
        },
        /// The caller of a waiting request has disconnected.
        CallerDisconnected(TicketNumber),
        /// The service rate has changed.
        CapacityChanged(ServiceCapacity),
        /// A customer's weight has changed. Customers have weight 1 until stated otherwise.
        WeightChanged {
            /// The customer.
            customer: CustomerKey,
            /// Its weight, at least 1.
            weight: u32,
        },
        /// Time has passed.
        Tick,
    }
}

derive_value! {
    /// What the driver must do.
    pub enum QueueAction {
        /// Send the request now.
        Dispatch(TicketNumber),
        /// Give the caller this final answer now.
        Refuse {
            /// The request.
            ticket: TicketNumber,
            /// The answer.
            refusal: Refusal,
        },
    }
}

/// Actions that follow from one event.
pub type QueueActions = SmallVec<[QueueAction; 4]>;

/// Waiting and dispatched requests of one service on one node.
#[derive(Debug, Clone)]
pub struct FairQueue {
    settings: QueueSettings,
    capacity: ServiceCapacity,
    weights: BTreeMap<CustomerKey, u32>,
    live: FlowRing,
    samples: FlowRing,
    /// Tokens that samples are owed out of the live requests served while they waited.
    sample_credit: f64,
    in_service: BTreeMap<TicketNumber, ServedItem>,
    in_service_tokens: u64,
    times: ServiceTimes,
    checked_at: Moment,
    rng: ChaCha8Rng,
}

#[derive(Debug, Clone, Copy)]
struct ServedItem {
    flow_key: FlowKey,
    tokens: u32,
    started_at: Moment,
}

/// Measured times in service, in microseconds.
#[derive(Debug, Clone, Copy)]
struct ServiceTimes {
    mean: f64,
    deviation: f64,
}

/// What the estimate of a wait depends on.
#[derive(Debug, Clone, Copy)]
struct WaitEstimate {
    capacity: ServiceCapacity,
    sample_share: f64,
    in_service_tokens: u64,
    times: ServiceTimes,
    /// Waiting tokens and the weight of the flows that wait.
    live: (u64, u64),
    samples: (u64, u64),
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            sample_share: 10,
            min_retry: Span::from_millis(250),
            check_period: Span::from_millis(100),
        }
    }
}

impl FairQueue {
    /// Creates an empty queue. `rng` spreads the retry times of refusals.
    #[must_use]
    pub fn new(settings: QueueSettings, capacity: ServiceCapacity, rng: ChaCha8Rng) -> Self {
        Self {
            settings,
            capacity,
            weights: BTreeMap::new(),
            live: FlowRing::default(),
            samples: FlowRing::default(),
            sample_credit: 0.0,
            in_service: BTreeMap::new(),
            in_service_tokens: 0,
            times: ServiceTimes { mean: 0.0, deviation: 0.0 },
            checked_at: Moment(0),
            rng,
        }
    }

    /// Applies one event.
    pub fn handle(&mut self, now: Moment, event: QueueEvent) -> QueueActions {
        let mut actions = QueueActions::new();
        match event {
            QueueEvent::Offered(request) => {
                let wait = self.expected_wait(request.customer, request.class);
                if now + wait + self.estimate().run_time(request.tokens) > request.deadline {
                    actions.push(self.refuse(request.ticket, wait));
                    return actions;
                }
                let flow_key = FlowKey { customer: request.customer, class: request.class };
                let weight = self.weight(request.customer);
                self.ring(request.class).push(flow_key, weight, request);
            }
            QueueEvent::Done { ticket, tokens } => self.done(now, ticket, tokens),
            QueueEvent::CallerDisconnected(ticket) => {
                self.live.retain(|request, _, _| request.ticket != ticket);
                self.samples.retain(|request, _, _| request.ticket != ticket);
            }
            QueueEvent::CapacityChanged(capacity) => {
                self.capacity = capacity;
                self.check(now, &mut actions);
            }
            QueueEvent::WeightChanged { customer, weight } => {
                self.weights.insert(customer, weight.max(1));
            }
            QueueEvent::Tick if self.next_deadline().is_some_and(|due| due <= now) => {
                self.check(now, &mut actions);
            }
            QueueEvent::Tick => (),
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns when [`QueueEvent::Tick`] is due, or `None` when nothing waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let is_empty = self.live.is_empty() && self.samples.is_empty();
        (!is_empty).then(|| self.checked_at + self.settings.check_period)
    }

    /// Returns how long a new request would wait before it is dispatched.
    #[must_use]
    pub fn expected_wait(&self, customer: CustomerKey, class: RequestClass) -> Span {
        let flow_key = FlowKey { customer, class };
        let before = self.ring_of(class).flow_tokens(flow_key);
        self.estimate().wait(class, before, self.weight(customer))
    }

    /// Returns the estimated tokens of all waiting requests.
    #[must_use]
    pub const fn waiting_tokens(&self) -> u64 {
        self.live.waiting_tokens() + self.samples.waiting_tokens()
    }

    /// Returns the estimated tokens of all dispatched requests.
    #[must_use]
    pub const fn in_service_tokens(&self) -> u64 {
        self.in_service_tokens
    }

    fn weight(&self, customer: CustomerKey) -> u32 {
        self.weights.get(&customer).copied().unwrap_or(1)
    }

    const fn ring(&mut self, class: RequestClass) -> &mut FlowRing {
        match class {
            RequestClass::Live => &mut self.live,
            RequestClass::Sample(_) => &mut self.samples,
        }
    }

    const fn ring_of(&self, class: RequestClass) -> &FlowRing {
        match class {
            RequestClass::Live => &self.live,
            RequestClass::Sample(_) => &self.samples,
        }
    }

    fn estimate(&self) -> WaitEstimate {
        WaitEstimate {
            capacity: self.capacity,
            sample_share: f64::from(self.settings.sample_share) / 100.0,
            in_service_tokens: self.in_service_tokens,
            times: self.times,
            live: (self.live.waiting_tokens(), self.live.active_weight()),
            samples: (self.samples.waiting_tokens(), self.samples.active_weight()),
        }
    }

    fn done(&mut self, now: Moment, ticket: TicketNumber, tokens: u32) {
        let Some(served) = self.in_service.remove(&ticket) else { return };
        self.in_service_tokens -= u64::from(served.tokens);
        let difference = i64::from(tokens) - i64::from(served.tokens);
        self.ring(served.flow_key.class).reconcile(served.flow_key, difference);
        if tokens > 0 {
            self.times.learn(now.since(served.started_at));
        }
    }

    fn dispatch(&mut self, now: Moment, actions: &mut QueueActions) {
        while self.in_service_tokens < u64::from(self.capacity.max_in_service_tokens) {
            let Some(request) = self.next_item() else { break };
            if now + self.estimate().run_time(request.tokens) > request.deadline {
                let wait = self.expected_wait(request.customer, request.class);
                actions.push(self.refuse(request.ticket, wait));
                continue;
            }
            let flow_key = FlowKey { customer: request.customer, class: request.class };
            let served = ServedItem { flow_key, tokens: request.tokens, started_at: now };
            self.in_service.insert(request.ticket, served);
            self.in_service_tokens += u64::from(request.tokens);
            actions.push(QueueAction::Dispatch(request.ticket));
        }
        if self.in_service.is_empty() {
            self.live.reset();
            self.samples.reset();
        }
    }

    fn next_item(&mut self) -> Option<QueuedRequest> {
        let Some(sample_tokens) = self.samples.head_tokens() else {
            self.sample_credit = 0.0;
            return self.live.pop();
        };
        if self.live.is_empty() {
            return self.samples.pop();
        }
        if self.sample_credit >= f64::from(sample_tokens) {
            self.sample_credit -= f64::from(sample_tokens);
            return self.samples.pop();
        }
        let request = self.live.pop()?;
        let share = f64::from(self.settings.sample_share.min(99)) / 100.0;
        self.sample_credit += f64::from(request.tokens) * share / (1.0 - share);
        Some(request)
    }

    /// Refuses the waiting requests that can no longer be served in time.
    fn check(&mut self, now: Moment, actions: &mut QueueActions) {
        self.checked_at = now;
        let estimate = self.estimate();
        let mut late = Vec::new();
        for ring in [&mut self.live, &mut self.samples] {
            late.extend(ring.retain(|request, before, weight| {
                let wait = estimate.wait(request.class, before, weight);
                now + wait + estimate.run_time(request.tokens) <= request.deadline
            }));
        }
        for request in late {
            let wait = self.expected_wait(request.customer, request.class);
            actions.push(self.refuse(request.ticket, wait));
        }
    }

    fn refuse(&mut self, ticket: TicketNumber, wait: Span) -> QueueAction {
        let shortest = wait.max(self.settings.min_retry).0;
        let retry_after = Span(self.rng.random_range(shortest..=shortest.saturating_mul(2)));
        let message = "the expected wait exceeds the deadline";
        let refusal = Refusal::not_run(RefusalCode::Overloaded, message);
        QueueAction::Refuse { ticket, refusal: refusal.with_retry_after(retry_after) }
    }
}

impl WaitEstimate {
    /// Wait behind `before` tokens of the same flow. The flow gets its share of the rate, and
    /// never waits for more than everything that is queued.
    fn wait(&self, class: RequestClass, before: u64, weight: u32) -> Span {
        let (queued, active_weight) = match class {
            RequestClass::Live => self.live,
            RequestClass::Sample(_) => self.samples,
        };
        let own_weight = f64::from(weight.max(1));
        let total_weight = (active_weight as f64).max(own_weight);
        let tokens = (before as f64 * total_weight / own_weight).min(queued as f64);
        let tokens = match class {
            RequestClass::Live if self.samples.0 == 0 => tokens,
            RequestClass::Live => tokens / (1.0 - self.sample_share.min(0.99)),
            RequestClass::Sample(_) => {
                (tokens + self.live.0 as f64).min(tokens / self.sample_share.max(0.01))
            }
        };
        self.time_for(tokens)
    }

    /// Time in service of a request that enters it behind what is there.
    ///
    /// The service is shared, so requests take longer than the rate alone says. An idle service
    /// takes every request that can end in time by its rate.
    fn run_time(&self, tokens: u32) -> Span {
        let ahead = self.in_service_tokens.min(u64::from(self.capacity.max_in_service_tokens));
        let by_rate = self.time_for(ahead as f64 + f64::from(tokens));
        if self.in_service_tokens == 0 {
            return by_rate;
        }
        by_rate.max(Span((self.times.mean + self.times.deviation) as u64))
    }

    fn time_for(&self, tokens: f64) -> Span {
        let rate = f64::from(self.capacity.tokens_per_second.max(1));
        Span::from_micros((tokens / rate * 1e6) as u64)
    }
}

impl ServiceTimes {
    /// Mean and mean deviation after Jacobson, "Congestion avoidance and control" (1988).
    fn learn(&mut self, took: Span) {
        let error = took.0 as f64 - self.mean;
        self.mean += error / 8.0;
        self.deviation += (error.abs() - self.deviation) / 4.0;
    }
}
