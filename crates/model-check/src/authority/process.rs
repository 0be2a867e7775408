//! One process: the daemon's lease manager and order manager, and the work that their driver does.

use std::rc::Rc;

use authority::{
    AuthorityRecord, CallEnd, LeaseAction, LeaseManager, LeaseRole, LeaseScope, OrderAction,
    OrderId, OrderIntent, OrderKind, OrderManager, OrderRequest, PriceClass,
};
use base::{FencingToken, Incarnation, LogOffset, Moment, derive_copy};

use super::{
    AuthorityGuards, AuthorityModel, AuthorityState, AuthorityStep, ModelSettings, OrderInTransit,
    RestartPosition,
};

/// Scope of the lease. This variant allocates nothing, which keeps states small.
const SCOPE: LeaseScope = LeaseScope::Fleet;

/// Added to the incarnation of a process when it restarts, so that incarnations stay unique.
const RESTART_STRIDE: u64 = 10;

derive_copy! {
    pub(crate) enum Activity {
        Running,
        Paused,
    }

    pub(crate) enum LogAccess {
        Reachable,
        CutOff,
    }
}

/// An order that passed the clock check and is not yet written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CheckedOrder {
    pub(crate) intent: OrderIntent,
    pub(crate) fencing: FencingToken,
    pub(crate) checked_at: Moment,
}

/// A process: its state machines, and the work that its driver has queued.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ProcessState {
    /// Lease manager of the daemon.
    pub lease_manager: LeaseManager,
    /// Order manager of the daemon.
    pub order_manager: OrderManager,
    pub(crate) incarnation: Incarnation,
    pub(crate) next_offset: LogOffset,
    pub(crate) outbox: Vec<Rc<AuthorityRecord>>,
    pub(crate) queued_orders: Vec<OrderIntent>,
    pub(crate) queued_queries: Vec<OrderId>,
    pub(crate) checked: Option<CheckedOrder>,
    pub(crate) activity: Activity,
    pub(crate) access: LogAccess,
}

impl ProcessState {
    pub(crate) fn new(
        settings: &ModelSettings,
        now: Moment,
        first: LogOffset,
        incarnation: u64,
    ) -> Self {
        let incarnation = Incarnation(incarnation);
        let role = LeaseRole::Candidate;
        let mut lease_manager = LeaseManager::new(settings.lease, SCOPE, incarnation, role);
        lease_manager.restart_from(now, first);
        Self {
            lease_manager,
            order_manager: OrderManager::new(settings.orders, SCOPE, incarnation),
            incarnation,
            next_offset: first,
            outbox: Vec::new(),
            queued_orders: Vec::new(),
            queued_queries: Vec::new(),
            checked: None,
            activity: Activity::Running,
            access: LogAccess::Reachable,
        }
    }

    /// Returns whether the process has work to do before the clock advances.
    pub(crate) fn has_pending_work(&self, log_length: usize) -> bool {
        if self.activity == Activity::Paused {
            return false;
        }
        let has_log_work = (self.next_offset.0 as usize) < log_length || !self.outbox.is_empty();
        has_log_work && self.access == LogAccess::Reachable
            || self.checked.is_some()
            || !self.queued_orders.is_empty()
            || !self.queued_queries.is_empty()
    }

    fn queue_actions(&mut self, actions: impl IntoIterator<Item = OrderAction>) {
        for action in actions {
            match action {
                OrderAction::Append(record) => self.outbox.push(Rc::new(record)),
                OrderAction::Send(intent) => self.queued_orders.push(intent),
                OrderAction::Query(id) => self.queued_queries.push(id),
                OrderAction::Settled(_) | OrderAction::Voided(_) => {}
            }
        }
    }
}

impl<G: AuthorityGuards> AuthorityModel<G> {
    /// Runs the timers that are due, unless the process is paused.
    pub(crate) fn run_timers(&self, state: &mut AuthorityState, index: usize) {
        let now = state.now;
        let process = &mut state.processes[index];
        if process.activity == Activity::Paused {
            return;
        }
        let clock = match process.lease_manager.held_token(now) {
            Some(_) => now,
            None => self.guards.claim_clock(now),
        };
        for action in process.lease_manager.tick(clock) {
            if let LeaseAction::Append(record) = action {
                process.outbox.push(Rc::new(record));
            }
        }
        let actions = process.order_manager.tick(now, &process.lease_manager);
        process.queue_actions(actions);
    }

    pub(crate) fn read(&self, state: &mut AuthorityState, index: usize) {
        let now = state.now;
        let process = &mut state.processes[index];
        for record in &state.log[process.next_offset.0 as usize..] {
            for action in process.lease_manager.read(now, process.next_offset, record) {
                match action {
                    LeaseAction::Append(record) => process.outbox.push(Rc::new(record)),
                    LeaseAction::Acquired(_) => {
                        process.order_manager =
                            self.guards.manager_after_takeover(process.order_manager.clone());
                    }
                    LeaseAction::ReleaseDeferred(_) | LeaseAction::Lost { .. } => {}
                }
            }
            let actions = process.order_manager.read(now, &process.lease_manager, record);
            process.next_offset = process.next_offset.next();
            process.queue_actions(actions);
        }
        self.run_timers(state, index);
    }

    /// Adds the steps of a running process that has pending work.
    pub(crate) fn due_steps(
        &self,
        state: &AuthorityState,
        index: usize,
        steps: &mut Vec<(AuthorityStep, AuthorityState)>,
    ) {
        self.log_steps(state, index, steps);
        self.order_steps(state, index, steps);
        self.fault_steps(state, index, steps);
    }

    /// Adds the steps of a process while no running process has pending work.
    pub(crate) fn idle_steps(
        &self,
        state: &AuthorityState,
        index: usize,
        steps: &mut Vec<(AuthorityStep, AuthorityState)>,
    ) {
        let process = &state.processes[index];
        if process.activity == Activity::Paused {
            let mut next = state.clone();
            next.processes[index].activity = Activity::Running;
            self.run_timers(&mut next, index);
            steps.push((AuthorityStep::Resume(index), next));
            return;
        }
        if process.access == LogAccess::CutOff {
            let mut next = state.clone();
            next.processes[index].access = LogAccess::Reachable;
            steps.push((AuthorityStep::Reconnect(index), next));
        }
        if let Some(next) = self.submit_order(state, index) {
            steps.push((AuthorityStep::Order(index), next));
        }
        self.fault_steps(state, index, steps);
    }

    fn log_steps(
        &self,
        state: &AuthorityState,
        index: usize,
        steps: &mut Vec<(AuthorityStep, AuthorityState)>,
    ) {
        let process = &state.processes[index];
        if process.access == LogAccess::CutOff {
            return;
        }
        if process.next_offset < state.log_end() {
            let mut next = state.clone();
            self.read(&mut next, index);
            steps.push((AuthorityStep::Read(index), next));
        }
        let Some(record) = process.outbox.first() else { return };
        let mut next = state.clone();
        next.processes[index].outbox.remove(0);
        self.append(&mut next, Rc::clone(record));
        steps.push((AuthorityStep::Append(index), next));
        if let Some(mut next) = self.spend_fault(state) {
            self.append(&mut next, Rc::clone(record));
            steps.push((AuthorityStep::AppendAnswerLost(index), next));
        }
        if let Some(mut next) = self.spend_fault(state) {
            next.delayed_appends.push(Rc::clone(record));
            steps.push((AuthorityStep::AppendDelayed(index), next));
        }
    }

    fn order_steps(
        &self,
        state: &AuthorityState,
        index: usize,
        steps: &mut Vec<(AuthorityStep, AuthorityState)>,
    ) {
        let process = &state.processes[index];
        if !process.queued_queries.is_empty() {
            let mut next = state.clone();
            let id = next.processes[index].queued_queries.remove(0);
            let response = self.guards.interpret_query_response(next.receiver.state(id));
            let process = &mut next.processes[index];
            let actions = process.order_manager.handle_response(
                state.now,
                &process.lease_manager,
                id,
                response,
            );
            process.queue_actions(actions);
            steps.push((AuthorityStep::Query(index), next));
        }
        if let Some(checked) = &process.checked {
            self.write_steps(state, index, checked, steps);
        } else if let Some(intent) = process.queued_orders.first() {
            let mut next = state.clone();
            let fencing = self.guards.check_clock(state.now, process, intent.id);
            let process = &mut next.processes[index];
            let intent = process.queued_orders.remove(0);
            if fencing.is_some() && self.guards.counts_calls() {
                process.lease_manager.begin_call();
            }
            process.checked =
                fencing.map(|fencing| CheckedOrder { intent, fencing, checked_at: state.now });
            steps.push((AuthorityStep::CheckClock(index), next));
        }
    }

    fn submit_order(&self, state: &AuthorityState, index: usize) -> Option<AuthorityState> {
        let mut next = state.clone();
        next.orders_left = state.orders_left.checked_sub(1)?;
        let process = &mut next.processes[index];
        let fencing = process.lease_manager.held_token(state.now)?;
        let kind = OrderKind::Start { count: 1, price: PriceClass::Regular };
        let request = OrderRequest { service: String::new(), kind };
        let (_, action) =
            process.order_manager.submit(state.now, &process.lease_manager, request).ok()?;
        if let OrderAction::Append(AuthorityRecord::Intent(intent)) = &action {
            process.queued_orders.extend(self.guards.send_before_intent(intent));
        }
        process.queue_actions([action]);
        next.receiver.newest_submit_token = next.receiver.newest_submit_token.max(fencing);
        Some(next)
    }

    fn write_steps(
        &self,
        state: &AuthorityState,
        index: usize,
        checked: &CheckedOrder,
        steps: &mut Vec<(AuthorityStep, AuthorityState)>,
    ) {
        let now = state.now;
        let mut next = state.clone();
        self.end_call(&mut next, index, CallEnd::Answered);
        let response = self.receive(&mut next, &checked.intent, checked.fencing);
        let process = &mut next.processes[index];
        let actions = process.order_manager.handle_response(
            now,
            &process.lease_manager,
            checked.intent.id,
            response,
        );
        process.queue_actions(actions);
        steps.push((AuthorityStep::Write(index), next));
        if let Some(mut next) = self.spend_fault(state) {
            self.end_call(&mut next, index, CallEnd::Unanswered);
            self.receive(&mut next, &checked.intent, checked.fencing);
            steps.push((AuthorityStep::WriteAnswerLost(index), next));
        }
        if let Some(mut next) = self.spend_fault(state) {
            self.end_call(&mut next, index, CallEnd::Unanswered);
            let CheckedOrder { intent, fencing, .. } = checked.clone();
            let due = now + self.settings.lease.order_timeout;
            next.in_transit.push(OrderInTransit { intent, fencing, due });
            steps.push((AuthorityStep::WriteDelayed(index), next));
        }
    }

    fn end_call(&self, state: &mut AuthorityState, index: usize, end: CallEnd) {
        let now = state.now;
        let process = &mut state.processes[index];
        process.checked = None;
        if self.guards.counts_calls() {
            process.lease_manager.end_call(now, end);
        }
    }

    fn fault_steps(
        &self,
        state: &AuthorityState,
        index: usize,
        steps: &mut Vec<(AuthorityStep, AuthorityState)>,
    ) {
        let Some(faulted) = self.spend_fault(state) else { return };
        let process = &state.processes[index];
        let mut next = faulted.clone();
        next.processes[index].activity = Activity::Paused;
        steps.push((AuthorityStep::Pause(index), next));
        if process.access == LogAccess::Reachable {
            let mut next = faulted.clone();
            next.processes[index].access = LogAccess::CutOff;
            steps.push((AuthorityStep::CutOff(index), next));
        }
        let mut next = faulted.clone();
        let first = match self.settings.bounds.restart {
            RestartPosition::Beginning => LogOffset(0),
            RestartPosition::End => state.log_end(),
        };
        let incarnation = process.incarnation.0 + RESTART_STRIDE;
        next.processes[index] = ProcessState::new(&self.settings, state.now, first, incarnation);
        steps.push((AuthorityStep::Restart(index), next));
        if process.lease_manager.held_token(state.now).is_some() {
            let mut next = faulted;
            let process = &mut next.processes[index];
            for action in process.lease_manager.resign(state.now) {
                if let LeaseAction::Append(record) = action {
                    process.outbox.push(Rc::new(record));
                }
            }
            steps.push((AuthorityStep::Resign(index), next));
        }
    }
}
