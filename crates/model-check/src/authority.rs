//! Specification of leases and orders: several processes, one stream, one receiver of orders.
//!
//! Every process holds a real [`LeaseManager`] and a real [`OrderManager`]. Running processes do all due
//! work before time moves on, in the order of their numbers. A pause is possible before each step of
//! a process, so other orders need a pause. Free interleaving gave 31,128 states for three units of
//! time and one fault, too many for a takeover. Every fault takes one from a common budget, so the
//! search covers all combinations of so many faults.

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
    receiver::{OrderReceiver, WireOrder},
};
use crate::search::Specification;

/// Two processes hold the lease by their own clock checks at the same time.
pub const ONE_HOLDER: &str = "at most one process holds the lease by its own clock check";
/// The receiver took an order of an old fencing number after one of a newer number.
pub const FENCED: &str = "no order of an old fencing number is accepted after a newer one";
/// An order id took effect twice.
pub const ONE_EFFECT: &str = "each order id takes effect at most once";
/// An order took effect after a later holder had given a new order.
pub const RECONCILED: &str = "no new order while the outcome of an earlier holder's is unknown";
/// An order took effect although the log says that it was refused.
pub const TRUE_OUTCOME: &str = "an order with the outcome `refused` never takes effect";

derive_copy! {
    /// Sizes of a model. Times are in units of one microsecond, which stand for any length.
    pub struct ModelBounds {
        /// Time at which the model ends.
        pub horizon: u64,
        /// Number of faults of any kind.
        pub faults: u8,
        /// Number of new orders of all processes together.
        pub orders: u8,
        /// Longest time between the clock check and the write of an order, if bounded.
        pub pause_limit: Option<u64>,
        /// What the receiver does with fencing numbers.
        pub receiver: FencingSupport,
        /// Where a restarted process starts to read.
        pub restart: RestartReading,
    }

    /// Where a restarted process starts to read.
    pub enum RestartReading {
        /// At the beginning of the stream.
        Beginning,
        /// At the end: retention has dropped everything before.
        End,
    }

    /// One transition. The number is that of the process, record or order concerned.
    pub enum AuthorityStep {
        /// Time moves on by one unit.
        Advance,
        /// Reads all new records.
        Read(usize),
        /// Appends a record and gets the answer.
        Append(usize),
        /// Appends a record and loses the answer, so that it is sent again.
        AppendAnswerLost(usize),
        /// Sends a record that takes effect at any later time, and again.
        AppendDelayed(usize),
        /// A delayed record takes effect.
        DelayedAppendLands(usize),
        /// Decides on a new order.
        Order(usize),
        /// Checks the clock before an order is written.
        CheckClock(usize),
        /// Writes the checked order and gets the answer.
        Write(usize),
        /// Writes the checked order and loses the answer.
        WriteAnswerLost(usize),
        /// Writes the checked order, which arrives within the order timeout.
        WriteDelayed(usize),
        /// A delayed order arrives.
        DelayedOrderArrives(usize),
        /// Asks the receiver for an order by its id.
        Ask(usize),
        /// Stops to run, at any point.
        Pause(usize),
        /// Runs again.
        Resume(usize),
        /// Loses the log.
        CutOff(usize),
        /// Reaches the log again.
        Reconnect(usize),
        /// Starts anew with nothing kept.
        Restart(usize),
        /// Gives up the lease in a planned stop.
        Resign(usize),
    }
}

derive_value! {
    /// Times and bounds of a model.
    pub struct ModelSettings {
        /// Times of the lease.
        pub lease: LeaseSettings,
        /// Times of orders.
        pub orders: OrderSettings,
        /// Sizes of the model.
        pub bounds: ModelBounds,
    }
}

/// Steps that guard an invariant. A test replaces one of them to show that the search notices.
pub trait GuardedSteps {
    /// Checks the clock as the last step before the write.
    fn check_clock(
        &self,
        now: Moment,
        process: &ProcessState,
        id: OrderId,
    ) -> Option<FencingToken> {
        process.order_manager.permit(now, &process.lease_manager, id).ok()
    }

    /// Returns the time by which a process without the lease decides to claim.
    fn waiting_clock(&self, now: Moment) -> Moment {
        now
    }

    /// Returns the record as the log takes it at `offset`.
    fn take_effect(&self, _offset: LogOffset, record: Rc<AuthorityRecord>) -> Rc<AuthorityRecord> {
        record
    }

    /// Tells whether the receiver takes an order with this number.
    fn accepts(&self, receiver: &OrderReceiver, fencing: FencingToken) -> bool {
        receiver.support == FencingSupport::Ignored || fencing >= receiver.highest
    }

    /// Tells whether the receiver recognises an order that it has carried out.
    fn recognises(&self, receiver: &OrderReceiver, id: OrderId) -> bool {
        receiver.has_carried_out(id)
    }

    /// Returns what a process makes of the receiver's answer to a question.
    fn understand(&self, response: OrderResponse) -> OrderResponse {
        response
    }

    /// Returns the desk with which a process goes on after it has acquired the lease.
    fn take_over(&self, orders: OrderManager) -> OrderManager {
        orders
    }

    /// Returns an order to send although its intent is not read back.
    fn send_early(&self, _intent: &OrderIntent) -> Option<OrderIntent> {
        None
    }
}

/// The steps as the product takes them.
#[derive(Debug, Clone, Copy)]
pub struct ProductSteps;

impl GuardedSteps for ProductSteps {}

/// Leases and orders of one scope.
#[derive(Debug, Clone)]
pub struct AuthorityModel<G> {
    /// Times and bounds.
    pub settings: ModelSettings,
    /// Steps that guard the invariants.
    pub steps: G,
}

/// State of all processes, the stream, the receiver and messages under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AuthorityState {
    pub(crate) now: Moment,
    pub(crate) log: Vec<Rc<AuthorityRecord>>,
    pub(crate) delayed_appends: Vec<Rc<AuthorityRecord>>,
    pub(crate) wire: Vec<WireOrder>,
    pub(crate) processes: Vec<ProcessState>,
    pub(crate) receiver: OrderReceiver,
    pub(crate) faults_left: u8,
    pub(crate) orders_left: u8,
    pub(crate) broken: Option<&'static str>,
}

impl ModelSettings {
    /// Returns small times that keep all relations of the defaults: a lease of 2 units, and a
    /// successor's wait of 5.
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

    /// Returns the processes that hold the lease by their own clock check, paused ones included.
    fn holders(&self) -> usize {
        let holds = |process: &&ProcessState| process.lease_manager.held_token(self.now).is_some();
        self.processes.iter().filter(holds).count()
    }

    fn last_record(&self) -> LogOffset {
        LogOffset(self.log.len() as u64)
    }
}

impl<G: GuardedSteps> AuthorityModel<G> {
    fn fault(&self, state: &AuthorityState) -> Option<AuthorityState> {
        let faults_left = state.faults_left.checked_sub(1)?;
        Some(AuthorityState { faults_left, ..state.clone() })
    }

    fn append(&self, state: &mut AuthorityState, record: Rc<AuthorityRecord>) {
        let record = self.steps.take_effect(state.last_record(), record);
        state.log.push(record);
    }

    /// Time may move on when no running process has anything left to do.
    fn may_advance(&self, state: &AuthorityState) -> bool {
        let bounds = self.settings.bounds;
        if state.now.0 >= bounds.horizon || state.wire.iter().any(|order| order.due <= state.now) {
            return false;
        }
        for process in &state.processes {
            if process.is_due(state.log.len()) {
                return false;
            }
            if let (Some(checked), Some(limit)) = (&process.checked, bounds.pause_limit)
                && state.now.since(checked.at) >= Span(limit)
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
                self.settle(&mut next, index);
            }
            steps.push((AuthorityStep::Advance, next));
        }
        for index in 0..state.delayed_appends.len() {
            let mut next = state.clone();
            let record = next.delayed_appends.remove(index);
            self.append(&mut next, record);
            steps.push((AuthorityStep::DelayedAppendLands(index), next));
        }
        for index in 0..state.wire.len() {
            let mut next = state.clone();
            let order = next.wire.remove(index);
            self.receive(&mut next, &order.intent, order.fencing);
            steps.push((AuthorityStep::DelayedOrderArrives(index), next));
        }
    }
}

impl<G: GuardedSteps> Specification for AuthorityModel<G> {
    type State = AuthorityState;
    type Step = AuthorityStep;

    /// The first process holds the lease, and all have read its claim.
    fn initial(&self) -> AuthorityState {
        let bounds = self.settings.bounds;
        let now = Moment(0);
        let mut state = AuthorityState {
            now,
            log: Vec::new(),
            delayed_appends: Vec::new(),
            wire: Vec::new(),
            processes: Vec::new(),
            receiver: OrderReceiver::new(bounds.receiver),
            faults_left: bounds.faults,
            orders_left: bounds.orders,
            broken: None,
        };
        for index in 0..3 {
            let process = ProcessState::new(&self.settings, now, LogOffset(0), index + 1);
            state.processes.push(process);
        }
        self.settle(&mut state, 0);
        let claim = state.processes[0].outbox.remove(0);
        self.append(&mut state, claim);
        for index in 0..3 {
            self.read(&mut state, index);
        }
        state
    }

    fn steps(&self, state: &AuthorityState) -> Vec<(AuthorityStep, AuthorityState)> {
        let mut steps = Vec::new();
        if self.broken(state).is_some() {
            return steps;
        }
        let is_due = |process: &ProcessState| process.is_due(state.log.len());
        if let Some(index) = state.processes.iter().position(is_due) {
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
        &[ONE_HOLDER, FENCED, ONE_EFFECT, RECONCILED, TRUE_OUTCOME]
    }

    fn broken(&self, state: &AuthorityState) -> Option<&'static str> {
        if state.holders() > 1 {
            return Some(ONE_HOLDER);
        }
        state.broken
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
