//! One process: the daemon's state machines, and the work that their driver does.

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
};

use ::usage::{
    LedgerOutcome, OriginState, PendingBatches, ReplicaStore, ReportResponse, UsageAmount,
    UsageBatch, UsageByCustomer, UsageLedger, UsageRecord, WindowClose, WindowNumber, WindowReport,
    WindowReporter,
};
use authority::{CallEnd, LeaseAction, LeaseManager, LeaseRole, LeaseScope, LeaseSettings};
use base::{Incarnation, LogOffset, Moment, RecordId, Span, derive_copy};

use super::{ReportInTransit, UsageGuards, UsageModel, UsageState, UsageStep, UsageStreamRecord};

/// Added to the incarnation of a process when it restarts, so that incarnations stay unique.
const RESTART_STRIDE: u64 = 10;

/// Delay, in units of time, after which an unanswered hold request, append, snapshot or report is
/// retried.
const RETRY_DELAY: Span = Span(2);

/// Delay, in units of time, after which a replica holder appends a batch that the log does not
/// show.
const REPLICA_TAKEOVER_DELAY: Span = Span(3);

/// Batches that a replica holder keeps at most.
const MAX_REPLICAS: usize = 2;

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

/// A process: its state machines, and the work that its driver has queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageProcess {
    /// Lease manager of the daemon.
    pub lease_manager: LeaseManager,
    /// Usage ledger of the daemon. Processes with equal ledgers share one to save memory.
    pub ledger: Rc<UsageLedger>,
    pub(crate) reporter: WindowReporter,
    pub(crate) pending_batches: PendingBatches,
    pub(crate) replicas: ReplicaStore,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) next_offset: LogOffset,
    pub(crate) outbox: Vec<Rc<UsageStreamRecord>>,
    pub(crate) queued_holds: Vec<UsageBatch>,
    /// A report that has not passed the clock check yet.
    pub(crate) unchecked_report: Option<WindowReport>,
    /// A report that passed the clock check and is not yet written.
    pub(crate) checked_report: Option<WindowReport>,
    pub(crate) closing_window: Option<WindowNumber>,
    pub(crate) snapshot_tried_at: Option<Moment>,
    pub(crate) activity: Activity,
    pub(crate) access: LogAccess,
}

/// Leaves out contents that the read offset and the hashed fields imply in nearly all states.
impl Hash for UsageProcess {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.lease_manager.hash(hasher);
        (self.incarnation, self.sequence, self.next_offset, &self.outbox).hash(hasher);
        (self.pending_batches.len(), self.pending_batches.next_deadline()).hash(hasher);
        (self.replicas.len(), self.replicas.next_deadline()).hash(hasher);
        (self.reporter.next_deadline(), self.queued_holds.len()).hash(hasher);
        (self.unchecked_report.is_some(), self.checked_report.is_some()).hash(hasher);
        (self.closing_window, self.snapshot_tried_at, self.activity, self.access).hash(hasher);
    }
}

impl UsageProcess {
    pub(crate) fn new(
        settings: LeaseSettings,
        now: Moment,
        first: LogOffset,
        incarnation: u64,
    ) -> Self {
        let incarnation = Incarnation(incarnation);
        let mut lease_manager =
            LeaseManager::new(settings, LeaseScope::Usage, incarnation, LeaseRole::Candidate);
        lease_manager.restart_from(now, first);
        let mut ledger = UsageLedger::new();
        ledger.note_retention(first);
        Self {
            lease_manager,
            ledger: Rc::new(ledger),
            reporter: WindowReporter::new(RETRY_DELAY),
            pending_batches: PendingBatches::new(RETRY_DELAY),
            replicas: ReplicaStore::new(MAX_REPLICAS, RETRY_DELAY, REPLICA_TAKEOVER_DELAY),
            incarnation,
            sequence: 0,
            next_offset: first,
            outbox: Vec::new(),
            queued_holds: Vec::new(),
            unchecked_report: None,
            checked_report: None,
            closing_window: None,
            snapshot_tried_at: None,
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
            || self.unchecked_report.is_some()
            || self.checked_report.is_some()
            || !self.queued_holds.is_empty()
    }

    fn queue(&mut self, record: UsageStreamRecord) {
        // As in the daemon's log writer, a record that is already queued is not queued again.
        if !self.outbox.iter().any(|queued| **queued == record) {
            self.outbox.push(Rc::new(record));
        }
    }

    fn queue_lease(&mut self, actions: impl IntoIterator<Item = LeaseAction>) {
        for action in actions {
            if let LeaseAction::Append(record) = action {
                self.queue(UsageStreamRecord::Lease(record));
            }
        }
    }

    fn queue_usage(&mut self, record: UsageRecord) {
        self.queue(UsageStreamRecord::Usage(record));
    }

    /// Handles a report without a response, which may still arrive.
    fn lose_response(&mut self, now: Moment) {
        self.lease_manager.end_call(now, CallEnd::Unanswered);
        self.reporter.handle_response(now, ReportResponse::Lost);
    }
}

impl<G: UsageGuards> UsageModel<G> {
    /// Runs the timers that are due, in the order in which the daemon's driver does, unless the
    /// process is paused.
    pub(crate) fn run_timers(&self, state: &mut UsageState, index: usize) {
        let now = state.now;
        let process = Rc::make_mut(&mut state.processes[index]);
        if process.activity == Activity::Paused {
            return;
        }
        let clock = match process.lease_manager.held_token(now) {
            Some(_) => now,
            None => self.guards.claim_clock(now),
        };
        let actions = process.lease_manager.tick(clock);
        process.queue_lease(actions);
        process.queued_holds.extend(process.pending_batches.poll(now));
        for batch in process.replicas.poll(now) {
            process.queue_usage(UsageRecord::Batch(self.guards.replica(batch)));
        }
        let Some(fencing) = process.lease_manager.held_token(now) else {
            process.closing_window = None;
            return;
        };
        let due = process.ledger.window_to_close(self.window_at(now));
        if let Some(window) = due
            && process.closing_window != due
        {
            process.closing_window = due;
            process.queue_usage(UsageRecord::Close(WindowClose { window, fencing }));
        }
        let may_snapshot = process.snapshot_tried_at.is_none_or(|at| now.since(at) >= RETRY_DELAY);
        if may_snapshot && process.ledger.snapshot_due() {
            let snapshot =
                process.ledger.snapshot().expect("a ledger that has a snapshot due can build it");
            process.snapshot_tried_at = Some(now);
            process.queue_usage(UsageRecord::Snapshot { snapshot: Box::new(snapshot), fencing });
        }
        if let Some(report) = process.reporter.poll(now, &process.ledger, fencing) {
            process.unchecked_report = Some(self.guards.report(&process.ledger, report));
        }
    }

    pub(crate) fn read(&self, state: &mut UsageState, index: usize) {
        let now = state.now;
        let process = Rc::make_mut(&mut state.processes[index]);
        while let Some(record) = state.log.get(process.next_offset.0 as usize) {
            let offset = process.next_offset;
            process.next_offset = offset.next();
            match &**record {
                UsageStreamRecord::Lease(record) => {
                    let actions = process.lease_manager.read(now, offset, record);
                    process.queue_lease(actions);
                }
                UsageStreamRecord::Usage(record) => {
                    let valid = self.guards.valid_claim(now, &process.lease_manager);
                    let outcome = Rc::make_mut(&mut process.ledger).apply(offset, record, valid);
                    if let UsageRecord::Batch(batch) = record {
                        process.pending_batches.mark_committed(batch.id);
                        process.replicas.mark_committed(batch.id);
                    }
                    match outcome {
                        LedgerOutcome::Closed(_) => process.closing_window = None,
                        LedgerOutcome::Restored(next) => process.next_offset = next,
                        _ => {}
                    }
                }
            }
        }
        // Sharing equal ledgers between processes halves the memory of the search.
        let read = &state.processes[index].ledger;
        let equal = state.processes.iter().map(|process| &process.ledger);
        let equal = equal.filter(|ledger| !Rc::ptr_eq(ledger, read)).find(|ledger| *ledger == read);
        if let Some(shared) = equal.cloned() {
            Rc::make_mut(&mut state.processes[index]).ledger = shared;
        }
        self.run_timers(state, index);
    }

    /// Adds the steps of a running process that has pending work.
    pub(crate) fn due_steps(
        &self,
        state: &UsageState,
        index: usize,
        steps: &mut Vec<(UsageStep, UsageState)>,
    ) {
        self.log_steps(state, index, steps);
        self.hold_steps(state, index, steps);
        self.report_steps(state, index, steps);
        self.fault_steps(state, index, steps);
    }

    /// Adds the steps of a process while no running process has pending work.
    pub(crate) fn idle_steps(
        &self,
        state: &UsageState,
        index: usize,
        steps: &mut Vec<(UsageStep, UsageState)>,
    ) {
        let process = &state.processes[index];
        if process.activity == Activity::Paused {
            let mut next = state.clone();
            Rc::make_mut(&mut next.processes[index]).activity = Activity::Running;
            self.run_timers(&mut next, index);
            steps.push((UsageStep::Resume(index), next));
            return;
        }
        if process.access == LogAccess::CutOff {
            let mut next = state.clone();
            Rc::make_mut(&mut next.processes[index]).access = LogAccess::Reachable;
            steps.push((UsageStep::Reconnect(index), next));
        }
        if let Some(batches_left) = state.batches_left.checked_sub(1) {
            let mut next = UsageState { batches_left, ..state.clone() };
            let process = Rc::make_mut(&mut next.processes[index]);
            process.sequence += 1;
            let id = RecordId { writer: process.incarnation, sequence: process.sequence };
            let mut usage = UsageByCustomer::default();
            let amount = UsageAmount { requests: 1, ..UsageAmount::default() };
            usage.0.insert(format!("customer {batches_left}"), amount);
            let batch = UsageBatch { id, usage };
            process.pending_batches.add(state.now, batch.clone());
            process.queue_usage(UsageRecord::Batch(batch));
            self.run_timers(&mut next, index);
            steps.push((UsageStep::Meter(index), next));
        }
        self.fault_steps(state, index, steps);
    }

    fn log_steps(
        &self,
        state: &UsageState,
        index: usize,
        steps: &mut Vec<(UsageStep, UsageState)>,
    ) {
        let process = &state.processes[index];
        if process.access == LogAccess::CutOff {
            return;
        }
        if (process.next_offset.0 as usize) < state.log.len() {
            let mut next = state.clone();
            self.read(&mut next, index);
            steps.push((UsageStep::Read(index), next));
        }
        let Some(record) = process.outbox.first() else { return };
        let mut next = state.clone();
        Rc::make_mut(&mut next.processes[index]).outbox.remove(0);
        next.log.push(Rc::clone(record));
        steps.push((UsageStep::Append(index), next));
        if let Some(mut next) = self.spend_fault(state) {
            next.log.push(Rc::clone(record));
            steps.push((UsageStep::AppendAnswerLost(index), next));
        }
        if let Some(mut next) = self.spend_fault(state) {
            next.delayed_appends.push(Rc::clone(record));
            steps.push((UsageStep::AppendDelayed(index), next));
        }
    }

    fn hold_steps(
        &self,
        state: &UsageState,
        index: usize,
        steps: &mut Vec<(UsageStep, UsageState)>,
    ) {
        if state.processes[index].queued_holds.is_empty() {
            return;
        }
        let mut lost = state.clone();
        let batch = Rc::make_mut(&mut lost.processes[index]).queued_holds.remove(0);
        let holder = (index + 1) % state.processes.len();
        if state.processes[holder].activity == Activity::Paused {
            // A paused process does not respond. Its pause was counted as a fault already.
            steps.push((UsageStep::HoldLost(index), lost));
            return;
        }
        let mut held = lost.clone();
        let process = Rc::make_mut(&mut held.processes[holder]);
        process.replicas.hold(state.now, batch.clone(), OriginState::Live);
        let incarnation = process.incarnation;
        if let Some(faults_left) = state.faults_left.checked_sub(1) {
            steps.push((UsageStep::HoldLost(index), UsageState { faults_left, ..lost }));
            let unanswered = UsageState { faults_left, ..held.clone() };
            steps.push((UsageStep::HoldAnswerLost(index), unanswered));
        }
        Rc::make_mut(&mut held.processes[index]).pending_batches.mark_held(batch.id, incarnation);
        steps.push((UsageStep::Hold(index), held));
    }

    fn report_steps(
        &self,
        state: &UsageState,
        index: usize,
        steps: &mut Vec<(UsageStep, UsageState)>,
    ) {
        let now = state.now;
        let mut next = state.clone();
        let process = Rc::make_mut(&mut next.processes[index]);
        if let Some(report) = process.unchecked_report.take() {
            match process.lease_manager.held_token(now) {
                Some(_) => {
                    process.lease_manager.begin_call();
                    process.checked_report = Some(report);
                }
                None => drop(process.reporter.handle_response(now, ReportResponse::Lost)),
            }
            steps.push((UsageStep::CheckClock(index), next));
            return;
        }
        let Some(report) = process.checked_report.take() else { return };
        if let Some(mut next) = self.spend_fault(&next) {
            self.receive(&mut next, &report);
            Rc::make_mut(&mut next.processes[index]).lose_response(now);
            steps.push((UsageStep::ReportAnswerLost(index), next));
        }
        if let Some(mut next) = self.spend_fault(&next) {
            let due = now + Self::LEASE.order_timeout;
            next.in_transit.push(ReportInTransit { report: report.clone(), due });
            Rc::make_mut(&mut next.processes[index]).lose_response(now);
            steps.push((UsageStep::ReportDelayed(index), next));
        }
        let response = self.receive(&mut next, &report);
        let process = Rc::make_mut(&mut next.processes[index]);
        process.lease_manager.end_call(now, CallEnd::Answered);
        if let Some(reported) = process.reporter.handle_response(now, response) {
            process.queue_usage(UsageRecord::Reported(reported));
        }
        steps.push((UsageStep::Report(index), next));
    }

    fn fault_steps(
        &self,
        state: &UsageState,
        index: usize,
        steps: &mut Vec<(UsageStep, UsageState)>,
    ) {
        let Some(faulted) = self.spend_fault(state) else { return };
        let process = &state.processes[index];
        let mut next = faulted.clone();
        Rc::make_mut(&mut next.processes[index]).activity = Activity::Paused;
        steps.push((UsageStep::Pause(index), next));
        if process.access == LogAccess::Reachable {
            let mut next = faulted.clone();
            Rc::make_mut(&mut next.processes[index]).access = LogAccess::CutOff;
            steps.push((UsageStep::CutOff(index), next));
        }
        steps.push((UsageStep::Restart(index), self.restart(state, faulted.clone(), index)));
        if process.lease_manager.held_token(state.now).is_some() {
            let mut next = faulted;
            let process = Rc::make_mut(&mut next.processes[index]);
            let actions = process.lease_manager.resign(state.now);
            process.queue_lease(actions);
            steps.push((UsageStep::Resign(index), next));
        }
    }

    /// Restarts a process without any state. The other processes learn at once that its former
    /// incarnation has ended.
    fn restart(&self, state: &UsageState, mut next: UsageState, index: usize) -> UsageState {
        let first = self.first_retained(state);
        let ended = state.processes[index].incarnation;
        let incarnation = ended.0 + RESTART_STRIDE;
        next.processes[index] =
            Rc::new(UsageProcess::new(Self::LEASE, state.now, first, incarnation));
        for (other, process) in next.processes.iter_mut().enumerate() {
            if other != index {
                let process = Rc::make_mut(process);
                process.replicas.origin_ended(state.now, ended);
                process.pending_batches.holder_lost(state.now, ended);
            }
        }
        for other in 0..next.processes.len() {
            self.run_timers(&mut next, other);
        }
        next
    }
}
