//! Fair order of queued requests, and refusal of those that would miss their deadline.

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
    /// Number by which the owner of the queue knows a request.
    pub struct TicketNumber(pub u64);

    /// A request to be queued.
    pub struct QueuedRequest {
        /// Number of the request, unique among those queued or dispatched.
        pub ticket: TicketNumber,
        /// Customer to which the tokens are charged.
        pub customer: CustomerKey,
        /// Whether a live caller or a trainer waits for it.
        pub class: RequestClass,
        /// Estimated cost in tokens.
        pub tokens: u32,
        /// When its response must be complete.
        pub deadline: Moment,
    }

    /// Share of a service's upstreams that this node may use.
    pub struct ServiceCapacity {
        /// Tokens per second that this node can expect to be served.
        pub tokens_per_second: u32,
        /// Estimated tokens that may be in service at once. No request is dispatched while they are
        /// reached or exceeded.
        pub max_in_service_tokens: u32,
    }

    /// Settings of the queue.
    pub struct QueueSettings {
        /// Guaranteed share of the tokens for samples while live requests wait, in percent.
        pub sample_share_percent: u32,
        /// Lower bound of the Retry-After of a refusal. The stated time is drawn at random between
        /// the longer of this and the expected wait, and twice as long, so that refused callers do
        /// not all retry at the same time.
        pub min_retry_after: Span,
        /// Time between two checks of the queued requests' deadlines.
        pub deadline_check_interval: Span,
    }

    /// Input of the queue.
    pub enum QueueEvent {
        /// A request arrived. It is queued, or refused at once when it would miss its deadline.
        Offered(QueuedRequest),
        /// A dispatched request has ended.
        Done {
            /// The request.
            ticket: TicketNumber,
            /// Its true cost, 0 when it did not run.
            tokens: u32,
        },
        /// The caller of a queued request has disconnected; the request is dropped.
        CallerDisconnected(TicketNumber),
        /// The capacity has changed. Requests that can no longer meet their deadline are refused.
        CapacityChanged(ServiceCapacity),
        /// A customer's weight has changed. The default weight is 1.
        WeightChanged {
            /// The customer.
            customer: CustomerKey,
            /// Its weight, at least 1.
            weight: u32,
        },
        /// Time has passed. Checks the deadlines when [`FairQueue::next_deadline`] is reached.
        Tick,
    }
}

derive_value! {
    /// What the owner of the queue must do.
    pub enum QueueAction {
        /// Send the request now.
        Dispatch(TicketNumber),
        /// Send this final response now.
        Refuse {
            /// The request.
            ticket: TicketNumber,
            /// The response.
            refusal: Refusal,
        },
    }
}

/// Actions that follow from one event, in order.
pub type QueueActions = SmallVec<[QueueAction; 4]>;

/// Queued and dispatched requests of one service on one node.
#[derive(Debug, Clone)]
pub struct FairQueue {
    settings: QueueSettings,
    capacity: ServiceCapacity,
    weights: BTreeMap<CustomerKey, u32>,
    live: FlowRing,
    samples: FlowRing,
    /// Tokens that samples may send before the next live request. Grows with the live requests
    /// dispatched while samples wait.
    sample_credit: f64,
    in_service: BTreeMap<TicketNumber, InServiceRequest>,
    in_service_tokens: u64,
    service_times: ServiceTimes,
    deadlines_checked_at: Moment,
    rng: ChaCha8Rng,
}

/// A dispatched request that has not ended.
#[derive(Debug, Clone, Copy)]
struct InServiceRequest {
    flow_key: FlowKey,
    tokens: u32,
    started_at: Moment,
}

/// Mean and mean deviation of the measured times in service, in microseconds.
#[derive(Debug, Clone, Copy)]
struct ServiceTimes {
    mean: f64,
    deviation: f64,
}

/// Values from which expected waits and run times are computed.
#[derive(Debug, Clone, Copy)]
struct WaitEstimate {
    capacity: ServiceCapacity,
    sample_share: f64,
    in_service_tokens: u64,
    service_times: ServiceTimes,
    /// Queued tokens, and the total weight of the flows that have any.
    live: (u64, u64),
    /// The same for samples.
    samples: (u64, u64),
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            sample_share_percent: 10,
            min_retry_after: Span::from_millis(250),
            deadline_check_interval: Span::from_millis(100),
        }
    }
}

impl FairQueue {
    /// Creates an empty queue. `rng` adds jitter to the Retry-After times of refusals.
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
            service_times: ServiceTimes { mean: 0.0, deviation: 0.0 },
            deadlines_checked_at: Moment(0),
            rng,
        }
    }

    /// Applies one event.
    pub fn handle(&mut self, now: Moment, event: QueueEvent) -> QueueActions {
        let mut actions = QueueActions::new();
        match event {
            QueueEvent::Offered(request) => {
                let wait = self.expected_wait(request.customer, request.class);
                if now + wait + self.wait_estimate().run_time(request.tokens) > request.deadline {
                    actions.push(self.refuse(request.ticket, wait));
                    return actions;
                }
                let flow_key = FlowKey { customer: request.customer, class: request.class };
                let weight = self.weight(request.customer);
                self.ring_mut(request.class).push(flow_key, weight, request);
            }
            QueueEvent::Done { ticket, tokens } => self.complete(now, ticket, tokens),
            QueueEvent::CallerDisconnected(ticket) => {
                self.live.retain(|request, _, _| request.ticket != ticket);
                self.samples.retain(|request, _, _| request.ticket != ticket);
            }
            QueueEvent::CapacityChanged(capacity) => {
                self.capacity = capacity;
                self.refuse_late(now, &mut actions);
            }
            QueueEvent::WeightChanged { customer, weight } => {
                self.weights.insert(customer, weight.max(1));
            }
            QueueEvent::Tick if self.next_deadline().is_some_and(|due| due <= now) => {
                self.refuse_late(now, &mut actions);
            }
            QueueEvent::Tick => (),
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns when [`QueueEvent::Tick`] is due, or `None` when no request is queued.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let is_empty = self.live.is_empty() && self.samples.is_empty();
        (!is_empty).then(|| self.deadlines_checked_at + self.settings.deadline_check_interval)
    }

    /// Returns how long a new request would wait before it is dispatched.
    #[must_use]
    pub fn expected_wait(&self, customer: CustomerKey, class: RequestClass) -> Span {
        let flow_key = FlowKey { customer, class };
        let tokens_ahead = self.ring(class).flow_tokens(flow_key);
        self.wait_estimate().wait(class, tokens_ahead, self.weight(customer))
    }

    /// Returns the estimated tokens of all queued requests.
    #[must_use]
    pub const fn waiting_tokens(&self) -> u64 {
        self.live.waiting_tokens() + self.samples.waiting_tokens()
    }

    /// Returns the estimated tokens of all dispatched requests that have not ended.
    #[must_use]
    pub const fn in_service_tokens(&self) -> u64 {
        self.in_service_tokens
    }

    fn weight(&self, customer: CustomerKey) -> u32 {
        self.weights.get(&customer).copied().unwrap_or(1)
    }

    const fn ring_mut(&mut self, class: RequestClass) -> &mut FlowRing {
        match class {
            RequestClass::Live => &mut self.live,
            RequestClass::Sample(_) => &mut self.samples,
        }
    }

    const fn ring(&self, class: RequestClass) -> &FlowRing {
        match class {
            RequestClass::Live => &self.live,
            RequestClass::Sample(_) => &self.samples,
        }
    }

    fn wait_estimate(&self) -> WaitEstimate {
        WaitEstimate {
            capacity: self.capacity,
            sample_share: f64::from(self.settings.sample_share_percent) / 100.0,
            in_service_tokens: self.in_service_tokens,
            service_times: self.service_times,
            live: (self.live.waiting_tokens(), self.live.active_weight()),
            samples: (self.samples.waiting_tokens(), self.samples.active_weight()),
        }
    }

    fn complete(&mut self, now: Moment, ticket: TicketNumber, tokens: u32) {
        let Some(in_service) = self.in_service.remove(&ticket) else { return };
        self.in_service_tokens -= u64::from(in_service.tokens);
        let difference = i64::from(tokens) - i64::from(in_service.tokens);
        self.ring_mut(in_service.flow_key.class).reconcile(in_service.flow_key, difference);
        if tokens > 0 {
            self.service_times.record(now.since(in_service.started_at));
        }
    }

    fn dispatch(&mut self, now: Moment, actions: &mut QueueActions) {
        while self.in_service_tokens < u64::from(self.capacity.max_in_service_tokens) {
            let Some(request) = self.next_request() else { break };
            if now + self.wait_estimate().run_time(request.tokens) > request.deadline {
                let wait = self.expected_wait(request.customer, request.class);
                actions.push(self.refuse(request.ticket, wait));
                continue;
            }
            let flow_key = FlowKey { customer: request.customer, class: request.class };
            let in_service = InServiceRequest { flow_key, tokens: request.tokens, started_at: now };
            self.in_service.insert(request.ticket, in_service);
            self.in_service_tokens += u64::from(request.tokens);
            actions.push(QueueAction::Dispatch(request.ticket));
        }
        if self.in_service.is_empty() {
            self.live.reset();
            self.samples.reset();
        }
    }

    fn next_request(&mut self) -> Option<QueuedRequest> {
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
        let share = f64::from(self.settings.sample_share_percent.min(99)) / 100.0;
        self.sample_credit += f64::from(request.tokens) * share / (1.0 - share);
        Some(request)
    }

    /// Refuses the queued requests that can no longer meet their deadline.
    fn refuse_late(&mut self, now: Moment, actions: &mut QueueActions) {
        self.deadlines_checked_at = now;
        let estimate = self.wait_estimate();
        let mut late = Vec::new();
        for ring in [&mut self.live, &mut self.samples] {
            late.extend(ring.retain(|request, tokens_ahead, weight| {
                let wait = estimate.wait(request.class, tokens_ahead, weight);
                now + wait + estimate.run_time(request.tokens) <= request.deadline
            }));
        }
        for request in late {
            let wait = self.expected_wait(request.customer, request.class);
            actions.push(self.refuse(request.ticket, wait));
        }
    }

    fn refuse(&mut self, ticket: TicketNumber, wait: Span) -> QueueAction {
        let min_retry_after = wait.max(self.settings.min_retry_after).0;
        let retry_after =
            Span(self.rng.random_range(min_retry_after..=min_retry_after.saturating_mul(2)));
        let message = "the service is overloaded: the request would miss its deadline";
        let refusal = Refusal::not_run(RefusalCode::Overloaded, message);
        QueueAction::Refuse { ticket, refusal: refusal.with_retry_after(retry_after) }
    }
}

impl WaitEstimate {
    /// Returns the expected wait behind `tokens_ahead` tokens of the same flow. The flow gets its
    /// weighted share of the rate, and waits at most for all queued tokens.
    fn wait(&self, class: RequestClass, tokens_ahead: u64, weight: u32) -> Span {
        let (queued_tokens, active_weight) = match class {
            RequestClass::Live => self.live,
            RequestClass::Sample(_) => self.samples,
        };
        let own_weight = f64::from(weight.max(1));
        let total_weight = (active_weight as f64).max(own_weight);
        let tokens = (tokens_ahead as f64 * total_weight / own_weight).min(queued_tokens as f64);
        let tokens = match class {
            RequestClass::Live if self.samples.0 == 0 => tokens,
            RequestClass::Live => tokens / (1.0 - self.sample_share.min(0.99)),
            RequestClass::Sample(_) => {
                (tokens + self.live.0 as f64).min(tokens / self.sample_share.max(0.01))
            }
        };
        self.time_for(tokens)
    }

    /// Returns the expected time in service of a request that is dispatched behind those already in
    /// service.
    ///
    /// Requests share the service and take longer than the rate alone suggests, so the measured
    /// time (mean plus mean deviation) is a lower bound. It is not applied to an idle service,
    /// where every request that meets its deadline by the rate is accepted.
    fn run_time(&self, tokens: u32) -> Span {
        let ahead = self.in_service_tokens.min(u64::from(self.capacity.max_in_service_tokens));
        let by_rate = self.time_for(ahead as f64 + f64::from(tokens));
        if self.in_service_tokens == 0 {
            return by_rate;
        }
        by_rate.max(Span((self.service_times.mean + self.service_times.deviation) as u64))
    }

    /// Returns the time in which the service processes `tokens`.
    fn time_for(&self, tokens: f64) -> Span {
        let rate = f64::from(self.capacity.tokens_per_second.max(1));
        Span::from_micros((tokens / rate * 1e6) as u64)
    }
}

impl ServiceTimes {
    /// Updates the mean with smoothing factor 1/8 and the mean deviation with 1/4, as in Jacobson,
    /// "Congestion avoidance and control" (1988).
    fn record(&mut self, time_in_service: Span) {
        let error = time_in_service.0 as f64 - self.mean;
        self.mean += error / 8.0;
        self.deviation += (error.abs() - self.deviation) / 4.0;
    }
}
