//! Specification of usage windows: three processes, the stream `usage` and the platform's receiver
//! of usage reports.
//!
//! Every process runs the daemon's [`LeaseManager`], [`UsageLedger`], [`WindowReporter`],
//! [`PendingBatches`] and [`ReplicaStore`]. Lease records share the stream with batches, closes,
//! reports and snapshots. As in [`crate::authority`], running processes finish their pending work
//! in the order of their indices before the clock advances, and other interleavings need a pause.
//! The ledger reads repeated records, which the daemon's log reader drops, so the model is
//! stricter.
//!
//! [`LeaseManager`]: authority::LeaseManager
//! [`WindowReporter`]: ::usage::WindowReporter
//! [`PendingBatches`]: ::usage::PendingBatches
//! [`ReplicaStore`]: ::usage::ReplicaStore

mod process;
mod sink;

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
};

use ::usage::{UsageBatch, UsageLedger, UsageRecord, WindowNumber, WindowReport};
use authority::{AuthorityRecord, FencingSupport, LeaseManager, LeaseSettings};
use base::{FencingToken, LogOffset, Moment, Span, derive_copy, derive_value};

use crate::search::Specification;
pub use crate::usage::{
    process::UsageProcess,
    sink::{ReportInTransit, ReportSink},
};

/// Violated when a window is reported twice with different usage.
pub const ONE_USAGE_PER_WINDOW: &str = "no window is reported twice with different usage";
/// Violated when a report arrives while two processes hold the lease, each by its own clock check.
pub const ONE_REPORTER: &str = "no report arrives while two processes hold the lease";
/// Violated when a batch in the log is counted in no window or more than once.
pub const BATCH_COUNTED_ONCE: &str = "a batch in the log is counted in exactly one window";
/// Violated when two ledgers that have read the log up to the same offset differ.
pub const EQUAL_LEDGERS: &str = "two ledgers at the same offset are equal";
/// Violated when a platform that checks fencing tokens accepts a report after one with a higher
/// token.
pub const FENCED_REPORTS: &str = "no report is accepted after one with a higher fencing token";

derive_copy! {
    /// Bounds of the search. Times are in microseconds; since all times are scaled alike, one
    /// microsecond stands for any unit.
    pub struct UsageBounds {
        /// Time at which the clock stops.
        pub horizon: u64,
        /// Length of a usage window.
        pub window: u64,
        /// Maximum number of faults of all kinds together.
        pub faults: u8,
        /// Maximum number of batches of all processes together.
        pub batches: u8,
        /// Whether the platform checks fencing tokens.
        pub platform: FencingSupport,
        /// Records that the log still holds when a process restarts.
        pub retention: UsageRetention,
    }

    /// Records that the log still holds when a process restarts. It reads them from the first one.
    pub enum UsageRetention {
        /// All records.
        Everything,
        /// The records that the newest snapshot in the log does not contain.
        SinceSnapshot,
    }

    /// One transition. The number is the index of the process, delayed record or delayed report.
    pub enum UsageStep {
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
        /// A process creates a usage batch, and queues it for the log and for the replica holder.
        Meter(usize),
        /// The replica holder receives a batch, and the process receives its response.
        Hold(usize),
        /// The replica holder receives a batch, and its response is lost.
        HoldAnswerLost(usize),
        /// A batch is lost on its way to the replica holder.
        HoldLost(usize),
        /// A process checks by its clock that it still holds the lease, before it writes a report.
        CheckClock(usize),
        /// A process writes the checked report and receives the response.
        Report(usize),
        /// A process writes the checked report and the response is lost.
        ReportAnswerLost(usize),
        /// A process writes the checked report, which is delayed by at most the order timeout.
        ReportDelayed(usize),
        /// A delayed report arrives at the platform.
        DelayedReportArrives(usize),
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
        /// A lease holder resigns the lease, as in a planned stop.
        Resign(usize),
    }
}

derive_value! {
    /// A record of the stream `usage`.
    pub enum UsageStreamRecord {
        /// A lease record of the scope `usage`.
        Lease(AuthorityRecord),
        /// A batch, close, report or snapshot.
        Usage(UsageRecord),
    }
}

/// Leaves out contents that the id or fencing token of a record implies in nearly all states, which
/// keeps hashing cheap.
impl Hash for UsageStreamRecord {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        match self {
            Self::Lease(record) => record.hash(hasher),
            Self::Usage(UsageRecord::Batch(batch)) => batch.id.hash(hasher),
            Self::Usage(UsageRecord::Close(close)) => (0, close).hash(hasher),
            Self::Usage(UsageRecord::Reported(reported)) => (1, reported).hash(hasher),
            Self::Usage(UsageRecord::Snapshot { fencing, .. }) => (2, fencing).hash(hasher),
        }
    }
}

/// Steps on which the invariants depend. A test replaces one of them by a faulty one, to show that
/// the search finds the violation.
pub trait UsageGuards {
    /// Returns the time by which a process without the lease decides whether to claim it.
    fn claim_clock(&self, now: Moment) -> Moment {
        now
    }

    /// Returns the fencing token that the ledger accepts as valid at the offset that it reads.
    fn valid_claim(&self, _now: Moment, lease_manager: &LeaseManager) -> Option<FencingToken> {
        lease_manager.claim_in_force()
    }

    /// Returns the report that is sent for `report`.
    fn report(&self, _ledger: &UsageLedger, report: WindowReport) -> WindowReport {
        report
    }

    /// Returns the batch that the replica holder appends to the log for `batch`.
    fn replica(&self, batch: UsageBatch) -> UsageBatch {
        batch
    }

    /// Returns whether the platform accepts a report with this fencing token.
    fn accepts(&self, sink: &ReportSink, fencing: FencingToken) -> bool {
        sink.fencing_support == FencingSupport::Ignored || fencing >= sink.highest_token
    }
}

/// The steps as the daemon performs them.
#[derive(Debug, Clone, Copy)]
pub struct ProductGuards;

impl UsageGuards for ProductGuards {}

/// Specification of usage windows and their reports.
#[derive(Debug, Clone)]
pub struct UsageModel<G> {
    /// Bounds of the search.
    pub bounds: UsageBounds,
    /// Steps on which the invariants depend.
    pub guards: G,
}

/// State of all processes, the stream, the platform and messages in transit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UsageState {
    pub(crate) now: Moment,
    pub(crate) log: Vec<Rc<UsageStreamRecord>>,
    pub(crate) delayed_appends: Vec<Rc<UsageStreamRecord>>,
    pub(crate) in_transit: Vec<ReportInTransit>,
    pub(crate) processes: Vec<Rc<UsageProcess>>,
    pub(crate) sink: ReportSink,
    pub(crate) faults_left: u8,
    pub(crate) batches_left: u8,
    pub(crate) broken_invariant: Option<&'static str>,
}

impl UsageState {
    /// Returns the platform's receiver of reports.
    #[must_use]
    pub const fn sink(&self) -> &ReportSink {
        &self.sink
    }

    /// Returns how many faults may still happen.
    #[must_use]
    pub const fn faults_left(&self) -> u8 {
        self.faults_left
    }

    /// Returns whether the log holds a snapshot.
    #[must_use]
    pub fn has_snapshot(&self) -> bool {
        let is_snapshot = |record: &Rc<UsageStreamRecord>| {
            matches!(**record, UsageStreamRecord::Usage(UsageRecord::Snapshot { .. }))
        };
        self.log.iter().any(is_snapshot)
    }

    pub(crate) fn holders(&self) -> usize {
        let holds =
            |process: &&Rc<UsageProcess>| process.lease_manager.held_token(self.now).is_some();
        self.processes.iter().filter(holds).count()
    }

    fn ledgers_differ(&self) -> bool {
        let ledgers = self.processes.iter().map(|process| &process.ledger);
        let read = ledgers.filter(|ledger| ledger.next_offset().is_some()).collect::<Vec<_>>();
        read.iter().enumerate().any(|(index, left)| {
            read[index + 1..].iter().any(|right| {
                // A ledger that was restored from a snapshot lacks bookkeeping of earlier
                // snapshots, so ledgers that differ count as equal if their own snapshots are
                // equal.
                !Rc::ptr_eq(left, right)
                    && left.next_offset() == right.next_offset()
                    && left != right
                    && left.snapshot() != right.snapshot()
            })
        })
    }

    fn has_miscounted_batch(&self) -> bool {
        self.processes.iter().any(|process| {
            let Some(next) = process.ledger.next_offset() else { return false };
            self.log[..next.0 as usize].iter().any(|record| {
                let UsageStreamRecord::Usage(UsageRecord::Batch(batch)) = &**record else {
                    return false;
                };
                // Each batch has a customer of its own.
                let customer = batch
                    .usage
                    .0
                    .keys()
                    .next()
                    .expect("a batch of the model holds the usage of one customer");
                let closed = process.ledger.windows().map(|(_, closed)| &closed.usage);
                let usage = closed.chain([process.ledger.open_usage()]);
                usage.map(|usage| usage.get(customer).requests).sum::<u64>() != 1
            })
        })
    }
}

impl<G: UsageGuards> UsageModel<G> {
    /// Small durations that keep the relations between the defaults: a holder may use the lease for
    /// 2 units, and a successor waits for 5 units.
    pub(crate) const LEASE: LeaseSettings = LeaseSettings {
        term: Span(3),
        renewal: Span(1),
        margin: Span(1),
        order_timeout: Span(1),
        extra_wait: Span(2),
    };

    pub(crate) fn window_at(&self, now: Moment) -> WindowNumber {
        WindowNumber(now.0 / self.bounds.window)
    }

    pub(crate) fn spend_fault(&self, state: &UsageState) -> Option<UsageState> {
        let faults_left = state.faults_left.checked_sub(1)?;
        Some(UsageState { faults_left, ..state.clone() })
    }

    /// Returns the offset at which a restarted process starts to read.
    pub(crate) fn first_retained(&self, state: &UsageState) -> LogOffset {
        if self.bounds.retention == UsageRetention::Everything {
            return LogOffset(0);
        }
        let snapshot = state.log.iter().rev().find_map(|record| match &**record {
            UsageStreamRecord::Usage(UsageRecord::Snapshot { snapshot, .. }) => Some(snapshot.next),
            _ => None,
        });
        snapshot.unwrap_or(LogOffset(0))
    }

    /// The clock may advance when no running process has pending work and no delayed report is due.
    fn may_advance(&self, state: &UsageState) -> bool {
        state.now.0 < self.bounds.horizon
            && state.in_transit.iter().all(|report| report.due > state.now)
            && !state.processes.iter().any(|process| process.has_pending_work(state.log.len()))
    }

    fn environment_steps(&self, state: &UsageState, steps: &mut Vec<(UsageStep, UsageState)>) {
        if self.may_advance(state) {
            let mut next = state.clone();
            next.now += Span(1);
            for index in 0..next.processes.len() {
                self.run_timers(&mut next, index);
            }
            steps.push((UsageStep::Advance, next));
        }
        for index in 0..state.delayed_appends.len() {
            let mut next = state.clone();
            let record = next.delayed_appends.remove(index);
            next.log.push(record);
            steps.push((UsageStep::DelayedAppendLands(index), next));
        }
        for index in 0..state.in_transit.len() {
            let mut next = state.clone();
            let ReportInTransit { report, .. } = next.in_transit.remove(index);
            self.receive(&mut next, &report);
            steps.push((UsageStep::DelayedReportArrives(index), next));
        }
    }
}

impl<G: UsageGuards> Specification for UsageModel<G> {
    type State = UsageState;
    type Step = UsageStep;

    /// Returns the state in which the first process holds the lease and all have read its claim.
    fn initial(&self) -> UsageState {
        let now = Moment(0);
        let mut state = UsageState {
            now,
            log: Vec::new(),
            delayed_appends: Vec::new(),
            in_transit: Vec::new(),
            processes: Vec::new(),
            sink: ReportSink::new(self.bounds.platform),
            faults_left: self.bounds.faults,
            batches_left: self.bounds.batches,
            broken_invariant: None,
        };
        for index in 0..3 {
            let process = UsageProcess::new(Self::LEASE, now, LogOffset(0), index + 1);
            state.processes.push(Rc::new(process));
        }
        self.run_timers(&mut state, 0);
        let claim = Rc::make_mut(&mut state.processes[0]).outbox.remove(0);
        state.log.push(claim);
        for index in 0..3 {
            self.read(&mut state, index);
        }
        state
    }

    fn steps(&self, state: &UsageState) -> Vec<(UsageStep, UsageState)> {
        let mut steps = Vec::new();
        if self.broken_invariant(state).is_some() {
            return steps;
        }
        let has_pending_work =
            |process: &Rc<UsageProcess>| process.has_pending_work(state.log.len());
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
        &[ONE_USAGE_PER_WINDOW, ONE_REPORTER, BATCH_COUNTED_ONCE, EQUAL_LEDGERS, FENCED_REPORTS]
    }

    fn broken_invariant(&self, state: &UsageState) -> Option<&'static str> {
        if state.broken_invariant.is_some() {
            return state.broken_invariant;
        }
        if state.ledgers_differ() {
            return Some(EQUAL_LEDGERS);
        }
        state.has_miscounted_batch().then_some(BATCH_COUNTED_ONCE)
    }

    fn describe(&self, state: &UsageState) -> String {
        let read = |process: &Rc<UsageProcess>| {
            let held = process.lease_manager.held_token(state.now);
            let held = held.map_or("-".to_owned(), |fencing| fencing.0.to_string());
            format!("{held}@{}", process.next_offset.0)
        };
        let read: Vec<_> = state.processes.iter().map(read).collect();
        format!(
            "time {}, lease@offset [{}], {} records, reports {:?}",
            state.now.0,
            read.join(" "),
            state.log.len(),
            state.sink.summary()
        )
    }
}
