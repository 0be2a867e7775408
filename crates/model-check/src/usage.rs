//! Specification of usage windows: several processes, the stream `usage` and the platform's report
//! interface.
//!
//! Every process holds a real [`LeaseManager`], [`UsageLedger`], [`WindowReporter`], [`PendingBatches`]
//! and [`ReplicaStore`]. Lease records share the stream with batches, closes, reports and
//! snapshots. Running processes do all due work before time moves on, in the order of their
//! numbers, as in [`crate::authority`]; other orders need a pause. The log shows repeats of a record
//! to the ledger, which is stricter than the daemon's follower.
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
    sink::{ReportSink, WireReport},
};

/// A window was reported with two different figures.
pub const ONE_FIGURE: &str = "no window is reported with two different figures";
/// A report arrived while two processes held the lease by their own clock checks.
pub const ONE_REPORTER: &str = "no report arrives while two processes hold the lease";
/// A batch in the log counts in no window or more than once.
pub const ONE_WINDOW: &str = "a batch in the log counts in exactly one window";
/// Two ledgers that have read the same prefix differ.
pub const EQUAL_LEDGERS: &str = "two ledgers at the same offset are equal";
/// A report of an old fencing number was accepted after one of a newer number.
pub const FENCED_REPORTS: &str = "no report of an old fencing number is accepted after a newer one";

derive_copy! {
    /// Sizes of a model. Times are in units of one microsecond, which stand for any length.
    pub struct UsageBounds {
        /// Time at which the model ends.
        pub horizon: u64,
        /// Length of a usage window.
        pub window: u64,
        /// Number of faults of any kind.
        pub faults: u8,
        /// Number of batches of all processes together.
        pub batches: u8,
        /// What the platform does with fencing numbers.
        pub platform: FencingSupport,
        /// Where a restarted process starts to read.
        pub retention: UsageRetention,
    }

    /// Which records a restarted process finds.
    pub enum UsageRetention {
        /// All records.
        Everything,
        /// The records that the newest snapshot in the log does not contain.
        SinceSnapshot,
    }

    /// One transition. The number is that of the process, record or report concerned.
    pub enum UsageStep {
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
        /// Cuts a batch.
        Meter(usize),
        /// Gives a batch to the replica holder and gets the answer.
        Hold(usize),
        /// Gives a batch to the replica holder and loses the answer.
        HoldAnswerLost(usize),
        /// Loses a batch on the way to the replica holder.
        HoldLost(usize),
        /// Checks the clock before a report is written.
        CheckClock(usize),
        /// Writes the checked report and gets the answer.
        Report(usize),
        /// Writes the checked report and loses the answer.
        ReportAnswerLost(usize),
        /// Writes the checked report, which arrives within the order timeout.
        ReportDelayed(usize),
        /// A delayed report arrives.
        DelayedReportArrives(usize),
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
    /// A record of the stream.
    pub enum UsageStreamRecord {
        /// A lease record of the scope `usage`.
        Lease(AuthorityRecord),
        /// A batch, close, report or snapshot.
        Usage(UsageRecord),
    }
}

/// Leaves out contents that the identity of a record implies, which keeps hashing cheap.
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

/// Steps that guard an invariant. A test replaces one of them to show that the search notices.
pub trait UsageGuards {
    /// Returns the time by which a process without the lease decides to claim.
    fn waiting_clock(&self, now: Moment) -> Moment {
        now
    }

    /// Returns the fencing number that the ledger takes as valid at the present position.
    fn valid_claim(&self, _now: Moment, lease_manager: &LeaseManager) -> Option<FencingToken> {
        lease_manager.claim_in_force()
    }

    /// Returns the report to send.
    fn report(&self, _ledger: &UsageLedger, report: WindowReport) -> WindowReport {
        report
    }

    /// Returns the batch as its replica holder appends it.
    fn replica(&self, batch: UsageBatch) -> UsageBatch {
        batch
    }

    /// Tells whether the platform takes a report with this number.
    fn accepts(&self, sink: &ReportSink, fencing: FencingToken) -> bool {
        sink.support == FencingSupport::Ignored || fencing >= sink.highest
    }
}

/// The steps as the product takes them.
#[derive(Debug, Clone, Copy)]
pub struct ProductGuards;

impl UsageGuards for ProductGuards {}

/// Usage windows and their reports.
#[derive(Debug, Clone)]
pub struct UsageModel<G> {
    /// Sizes of the model.
    pub bounds: UsageBounds,
    /// Steps that guard the invariants.
    pub guards: G,
}

/// State of all processes, the stream, the platform and messages under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UsageState {
    pub(crate) now: Moment,
    pub(crate) log: Vec<Rc<UsageStreamRecord>>,
    pub(crate) delayed_appends: Vec<Rc<UsageStreamRecord>>,
    pub(crate) wire: Vec<WireReport>,
    pub(crate) processes: Vec<Rc<UsageProcess>>,
    pub(crate) sink: ReportSink,
    pub(crate) faults_left: u8,
    pub(crate) batches_left: u8,
    pub(crate) broken: Option<&'static str>,
}

impl UsageState {
    /// Returns the platform's report interface.
    #[must_use]
    pub const fn sink(&self) -> &ReportSink {
        &self.sink
    }

    /// Returns how many faults may still happen.
    #[must_use]
    pub const fn faults_left(&self) -> u8 {
        self.faults_left
    }

    /// Tells whether the log holds a snapshot.
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
                // A ledger that continued from a snapshot knows less of earlier snapshots.
                !Rc::ptr_eq(left, right)
                    && left.next_offset() == right.next_offset()
                    && left != right
                    && left.snapshot() != right.snapshot()
            })
        })
    }

    fn is_miscounted(&self) -> bool {
        self.processes.iter().any(|process| {
            let Some(next) = process.ledger.next_offset() else { return false };
            self.log[..next.0 as usize].iter().any(|record| {
                let UsageStreamRecord::Usage(UsageRecord::Batch(batch)) = &**record else {
                    return false;
                };
                // Each batch has a customer of its own.
                let customer = batch.usage.0.keys().next().expect("a batch names a customer");
                let closed = process.ledger.windows().map(|(_, closed)| &closed.usage);
                let figures = closed.chain([process.ledger.open_usage()]);
                figures.map(|figures| figures.get(customer).requests).sum::<u64>() != 1
            })
        })
    }
}

impl<G: UsageGuards> UsageModel<G> {
    /// Small times that keep all relations of the defaults: a lease of 2 units, and a successor's
    /// wait of 5.
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

    pub(crate) fn fault(&self, state: &UsageState) -> Option<UsageState> {
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

    /// Time may move on when no running process has anything left to do.
    fn may_advance(&self, state: &UsageState) -> bool {
        state.now.0 < self.bounds.horizon
            && state.wire.iter().all(|report| report.due > state.now)
            && !state.processes.iter().any(|process| process.is_due(state.log.len()))
    }

    fn environment_steps(&self, state: &UsageState, steps: &mut Vec<(UsageStep, UsageState)>) {
        if self.may_advance(state) {
            let mut next = state.clone();
            next.now += Span(1);
            for index in 0..next.processes.len() {
                self.settle(&mut next, index);
            }
            steps.push((UsageStep::Advance, next));
        }
        for index in 0..state.delayed_appends.len() {
            let mut next = state.clone();
            let record = next.delayed_appends.remove(index);
            next.log.push(record);
            steps.push((UsageStep::DelayedAppendLands(index), next));
        }
        for index in 0..state.wire.len() {
            let mut next = state.clone();
            let WireReport { report, .. } = next.wire.remove(index);
            self.receive(&mut next, &report);
            steps.push((UsageStep::DelayedReportArrives(index), next));
        }
    }
}

impl<G: UsageGuards> Specification for UsageModel<G> {
    type State = UsageState;
    type Step = UsageStep;

    /// The first process holds the lease.
    fn initial(&self) -> UsageState {
        let now = Moment(0);
        let mut state = UsageState {
            now,
            log: Vec::new(),
            delayed_appends: Vec::new(),
            wire: Vec::new(),
            processes: Vec::new(),
            sink: ReportSink::new(self.bounds.platform),
            faults_left: self.bounds.faults,
            batches_left: self.bounds.batches,
            broken: None,
        };
        for index in 0..3 {
            let process = UsageProcess::new(Self::LEASE, now, LogOffset(0), index + 1);
            state.processes.push(Rc::new(process));
        }
        self.settle(&mut state, 0);
        let claim = Rc::make_mut(&mut state.processes[0]).outbox.remove(0);
        state.log.push(claim);
        for index in 0..3 {
            self.read(&mut state, index);
        }
        state
    }

    fn steps(&self, state: &UsageState) -> Vec<(UsageStep, UsageState)> {
        let mut steps = Vec::new();
        if self.broken(state).is_some() {
            return steps;
        }
        let is_due = |process: &Rc<UsageProcess>| process.is_due(state.log.len());
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
        &[ONE_FIGURE, ONE_REPORTER, ONE_WINDOW, EQUAL_LEDGERS, FENCED_REPORTS]
    }

    fn broken(&self, state: &UsageState) -> Option<&'static str> {
        if state.broken.is_some() {
            return state.broken;
        }
        if state.ledgers_differ() {
            return Some(EQUAL_LEDGERS);
        }
        state.is_miscounted().then_some(ONE_WINDOW)
    }

    fn describe(&self, state: &UsageState) -> String {
        let read = |process: &Rc<UsageProcess>| {
            let held = process.lease_manager.held_token(state.now);
            let held = held.map_or("-".to_owned(), |fencing| fencing.0.to_string());
            format!("{held}@{}", process.next.0)
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
