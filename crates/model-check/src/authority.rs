//! Specification of leases and orders: three processes, one stream of the log, one receiver of
//! orders.
//!
//! Every process runs the daemon's [`LeaseManager`] and [`OrderManager`]. Before the clock
//! advances, running processes finish their pending work one after the other, in the order of their
//! indices. Other interleavings arise because a process may pause before each of its steps, which
//! counts as a fault. Free interleaving gave 31,128 states for three units of time and one fault,
//! too many to search the longer runs in which a lease is taken over. All faults draw on one
//! budget, so the search covers every combination of up to that many faults.

mod process;
mod receiver;

use std::rc::Rc;

use authority::{
    AuthorityRecord, FencingSupport, LeaseManager, LeaseSettings, OrderId, OrderIntent,
    OrderManager, OrderResponse, OrderSettings,
};
use base::{FencingToken, LogOffset, Moment, Span, derive_copy, derive_value};

pub use crate::authority::{
    process::{CheckedOrder, ProcessState},
    receiver::{OrderInTransit, OrderReceiver},
};
use crate::search::Specification;

/// Violated when two processes hold the lease at the same time, each by its own clock check.
pub const ONE_HOLDER: &str = "at most one process holds the lease by its own clock check";
/// Violated when the receiver accepts an order with a lower fencing token than that of an order
/// that it accepted before.
pub const FENCED_ORDERS: &str = "no order is accepted after one with a higher fencing token";
/// Violated when an order id takes effect twice.
pub const ONE_EFFECT: &str = "each order id takes effect at most once";
/// Violated when an order takes effect after a later holder has submitted a new order.
pub const RECONCILED: &str =
    "no new order while the outcome of an earlier holder's order is unknown";
/// Violated when an order takes effect although the log holds the outcome `refused` for it.
pub const REFUSED_HAS_NO_EFFECT: &str = "an order with the outcome `refused` never takes effect";

derive_copy! {
    /// Bounds of the search. Times are in microseconds; since all times are scaled alike, one
    /// microsecond stands for any unit.
    pub struct ModelBounds {
        /// Time at which the clock stops.
        pub horizon: u64,
        /// Maximum number of faults of all kinds together.
        pub faults: u8,
        /// Maximum number of new orders of all processes together.
        pub orders: u8,
        /// Longest time between the clock check and the write of an order. Unbounded if `None`.
        pub pause_limit: Option<u64>,
        /// Whether the receiver checks fencing tokens.
        pub receiver: FencingSupport,
        /// Offset at which a restarted process starts to read the log.
        pub restart: RestartPosition,
    }

    /// Offset at which a restarted process starts to read the log.
    pub enum RestartPosition {
        /// The beginning of the stream.
        Beginning,
        /// The end of the stream: retention has dropped all records.
        End,
    }

    /// One transition. The number is the index of the process, delayed record or delayed order.
    pub enum AuthorityStep {
        /// The clock advances by one unit, and timers that are due run.
        Advance,
        /// A process reads all new records of the log.
        Read(usize),
        /// A process appends a record and receives the ack.
        Append(usize),
        /// A process appends a record and the ack is lost, so it will append the record again.
        AppendAnswerLost(usize),
        /// An append is delayed and may take effect at any later time. The process will send the
        /// record again.
        AppendDelayed(usize),
        /// A delayed append takes effect.
        DelayedAppendLands(usize),
        /// A lease holder submits a new order to its order manager.
        Order(usize),
        /// A process checks by its clock that it still holds the lease, before it writes an order.
        CheckClock(usize),
        /// A process writes the checked order and receives the response.
        Write(usize),
        /// A process writes the checked order and the response is lost.
        WriteAnswerLost(usize),
        /// A process writes the checked order, which is delayed by at most the order timeout.
        WriteDelayed(usize),
        /// A delayed order arrives at the receiver.
        DelayedOrderArrives(usize),
        /// A process queries the state of an order by its id.
        Query(usize),
        /// A process stops running, at any point.
        Pause(usize),
        /// A paused process runs again.
        Resume(usize),
        /// A process loses its connection to the log.
        CutOff(usize),
        /// A process can reach the log again.
        Reconnect(usize),
        /// A process restarts under a new incarnation, without any state.
        Restart(usize),
        /// A lease holder resigns the lease, as in a planned stop, with orders in any state.
        Resign(usize),
    }
}

derive_value! {
    /// Settings of the state machines, and bounds of the search.
    pub struct ModelSettings {
        /// Durations of the lease.
        pub lease: LeaseSettings,
        /// Timeouts of orders, and whether the receiver checks fencing tokens.
        pub orders: OrderSettings,
        /// Bounds of the search.
        pub bounds: ModelBounds,
    }
}

/// Steps on which the invariants depend. A test replaces one of them by a faulty one, to show that
/// the search finds the violation.
pub trait AuthorityGuards {
    /// Checks the clock as the last step before an order is written. Returns the fencing token to
    /// send, or `None` if the process must not write.
    fn check_clock(
        &self,
        now: Moment,
        process: &ProcessState,
        id: OrderId,
    ) -> Option<FencingToken> {
        process.order_manager.permit(now, &process.lease_manager, id).ok()
    }

    /// Returns the time by which a process without the lease decides whether to claim it.
    fn claim_clock(&self, now: Moment) -> Moment {
        now
    }

    /// Returns the record that the log stores at `offset` when `record` is appended.
    fn stored_record(
        &self,
        _offset: LogOffset,
        record: Rc<AuthorityRecord>,
    ) -> Rc<AuthorityRecord> {
        record
    }

    /// Returns whether the receiver accepts an order with this fencing token.
    fn accepts(&self, receiver: &OrderReceiver, fencing: FencingToken) -> bool {
        receiver.fencing_support == FencingSupport::Ignored || fencing >= receiver.highest_token
    }

    /// Returns whether the receiver recognizes the order as one that it has already carried out.
    fn is_duplicate(&self, receiver: &OrderReceiver, id: OrderId) -> bool {
        receiver.has_executed(id)
    }

    /// Returns the response to a query as the process interprets it.
    fn interpret_query_response(&self, response: OrderResponse) -> OrderResponse {
        response
    }

    /// Returns the order manager with which a process continues after it has acquired the lease.
    fn manager_after_takeover(&self, orders: OrderManager) -> OrderManager {
        orders
    }

    /// Returns whether the lease manager knows the orders that may still arrive, and releases the
    /// lease only after them.
    fn counts_calls(&self) -> bool {
        true
    }

    /// Returns an order to send before its intent has been read back from the log.
    fn send_before_intent(&self, _intent: &OrderIntent) -> Option<OrderIntent> {
        None
    }
}

/// The steps as the daemon performs them.
#[derive(Debug, Clone, Copy)]
pub struct ProductGuards;

impl AuthorityGuards for ProductGuards {}

/// Specification of the lease and the orders of one scope.
#[derive(Debug, Clone)]
pub struct AuthorityModel<G> {
    /// Settings of the state machines, and bounds of the search.
    pub settings: ModelSettings,
    /// Steps on which the invariants depend.
    pub guards: G,
}

/// State of all processes, the stream, the receiver and messages in transit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AuthorityState {
    pub(crate) now: Moment,
    pub(crate) log: Vec<Rc<AuthorityRecord>>,
    pub(crate) delayed_appends: Vec<Rc<AuthorityRecord>>,
    pub(crate) in_transit: Vec<OrderInTransit>,
    pub(crate) processes: Vec<ProcessState>,
    pub(crate) receiver: OrderReceiver,
    pub(crate) faults_left: u8,
    pub(crate) orders_left: u8,
    pub(crate) broken_invariant: Option<&'static str>,
}

impl ModelSettings {
    /// Returns small durations that keep the relations between the defaults: a holder may use the
    /// lease for 2 units, and a successor waits for 5 units.
    #[must_use]
    pub const fn small(bounds: ModelBounds) -> Self {
        let lease = LeaseSettings {
            term: Span(3),
            renewal: Span(1),
            margin: Span(1),
            order_timeout: Span(1),
            extra_wait: Span(2),
        };
        let orders = OrderSettings {
            order_timeout: Span(1),
            query_retry_delay: Span(1),
            fencing_support: bounds.receiver,
        };
        Self { lease, orders, bounds }
    }
}

impl AuthorityState {
    /// Returns the receiver of orders.
    #[must_use]
    pub const fn receiver(&self) -> &OrderReceiver {
        &self.receiver
    }

    /// Returns the number of processes that hold the lease by their own clock check, paused ones
    /// included.
    fn holders(&self) -> usize {
        let holds = |process: &&ProcessState| process.lease_manager.held_token(self.now).is_some();
        self.processes.iter().filter(holds).count()
    }

    fn log_end(&self) -> LogOffset {
        LogOffset(self.log.len() as u64)
    }
}

impl<G: AuthorityGuards> AuthorityModel<G> {
    fn spend_fault(&self, state: &AuthorityState) -> Option<AuthorityState> {
        let faults_left = state.faults_left.checked_sub(1)?;
        Some(AuthorityState { faults_left, ..state.clone() })
    }

    fn append(&self, state: &mut AuthorityState, record: Rc<AuthorityRecord>) {
        let record = self.guards.stored_record(state.log_end(), record);
        state.log.push(record);
    }

    /// The clock may advance when no running process has pending work, no delayed order is due, and
    /// no checked order has reached the pause limit.
    fn may_advance(&self, state: &AuthorityState) -> bool {
        let bounds = self.settings.bounds;
        if state.now.0 >= bounds.horizon
            || state.in_transit.iter().any(|order| order.due <= state.now)
        {
            return false;
        }
        for process in &state.processes {
            if process.has_pending_work(state.log.len()) {
                return false;
            }
            if let (Some(checked), Some(limit)) = (&process.checked, bounds.pause_limit)
                && state.now.since(checked.checked_at) >= Span(limit)
            {
                return false;
            }
        }
        true
    }

    fn environment_steps(
        &self,
        state: &AuthorityState,
        steps: &mut Vec<(AuthorityStep, AuthorityState)>,
    ) {
        if self.may_advance(state) {
            let mut next = state.clone();
            next.now += Span(1);
            for index in 0..next.processes.len() {
                self.run_timers(&mut next, index);
            }
            steps.push((AuthorityStep::Advance, next));
        }
        for index in 0..state.delayed_appends.len() {
            let mut next = state.clone();
            let record = next.delayed_appends.remove(index);
            self.append(&mut next, record);
            steps.push((AuthorityStep::DelayedAppendLands(index), next));
        }
        for index in 0..state.in_transit.len() {
            let mut next = state.clone();
            let order = next.in_transit.remove(index);
            self.receive(&mut next, &order.intent, order.fencing);
            steps.push((AuthorityStep::DelayedOrderArrives(index), next));
        }
    }
}

impl<G: AuthorityGuards> Specification for AuthorityModel<G> {
    type State = AuthorityState;
    type Step = AuthorityStep;

    /// Returns the state in which the first process holds the lease and all have read its claim.
    fn initial(&self) -> AuthorityState {
        let bounds = self.settings.bounds;
        let now = Moment(0);
        let mut state = AuthorityState {
            now,
            log: Vec::new(),
            delayed_appends: Vec::new(),
            in_transit: Vec::new(),
            processes: Vec::new(),
            receiver: OrderReceiver::new(bounds.receiver),
            faults_left: bounds.faults,
            orders_left: bounds.orders,
            broken_invariant: None,
        };
        for index in 0..3 {
            let process = ProcessState::new(&self.settings, now, LogOffset(0), index + 1);
            state.processes.push(process);
        }
        self.run_timers(&mut state, 0);
        let claim = state.processes[0].outbox.remove(0);
        self.append(&mut state, claim);
        for index in 0..3 {
            self.read(&mut state, index);
        }
        state
    }

    fn steps(&self, state: &AuthorityState) -> Vec<(AuthorityStep, AuthorityState)> {
        let mut steps = Vec::new();
        if self.broken_invariant(state).is_some() {
            return steps;
        }
        let has_pending_work = |process: &ProcessState| process.has_pending_work(state.log.len());
        if let Some(index) = state.processes.iter().position(has_pending_work) {
            self.due_steps(state, index, &mut steps);
            return steps;
        }
        self.environment_steps(state, &mut steps);
        for index in 0..state.processes.len() {
            self.idle_steps(state, index, &mut steps);
        }
        steps
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[ONE_HOLDER, FENCED_ORDERS, ONE_EFFECT, RECONCILED, REFUSED_HAS_NO_EFFECT]
    }

    fn broken_invariant(&self, state: &AuthorityState) -> Option<&'static str> {
        if state.holders() > 1 {
            return Some(ONE_HOLDER);
        }
        state.broken_invariant
    }

    fn describe(&self, state: &AuthorityState) -> String {
        let holds = |process: &ProcessState| {
            let lease_manager: &LeaseManager = &process.lease_manager;
            lease_manager
                .held_token(state.now)
                .map_or("-".to_owned(), |fencing| fencing.0.to_string())
        };
        let held: Vec<_> = state.processes.iter().map(holds).collect();
        format!(
            "time {}, held [{}], {} records, accepted {:?}",
            state.now.0,
            held.join(" "),
            state.log.len(),
            state.receiver.accepted
        )
    }
}
