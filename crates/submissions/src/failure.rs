//! When an item is given up because its runs or its reward calls fail, and when a blocked call is tried
//! again.

use base::{Moment, Span, derive_copy};

use crate::{SubmissionRecord, SubmissionTable, item::RECORD_OVERHEAD_BYTES};

/// Failed runs of an item, or failed reward calls, against the number that gives it up.
///
/// A result is final, while a configuration may lack a route or lower its limit for a moment. So the
/// highest limit counts that any configuration has named, and without one nothing is given up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FailureBudget {
    failures: u32,
    limit: Option<u32>,
}

impl FailureBudget {
    /// Creates the budget of a route by the configuration of the moment, which allows this many failures
    /// or lacks the route.
    #[must_use]
    pub const fn new(limit: Option<u32>) -> Self {
        Self { failures: 0, limit }
    }

    /// Restores a budget from a record of it.
    #[must_use]
    pub const fn restored(failures: u32, limit: Option<u32>) -> Self {
        Self { failures, limit }
    }

    /// Returns the number of failures so far.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the highest limit that any configuration has named.
    #[must_use]
    pub const fn limit(&self) -> Option<u32> {
        self.limit
    }

    /// Adopts what another owner of the item has counted, and returns whether that is news. Each owner
    /// goes on from the count of the one before, so the higher count holds.
    pub fn merge(&mut self, other: Self) -> bool {
        let before = *self;
        self.failures = self.failures.max(other.failures);
        self.limit = self.limit.max(other.limit);
        *self != before
    }

    /// Records a failure under a configuration that names this limit, or lacks the route. Returns the
    /// number of failures so far.
    pub fn record_failure(&mut self, limit: Option<u32>) -> u32 {
        self.limit = self.limit.max(limit);
        self.failures = self.failures.saturating_add(1);
        self.failures
    }

    /// Returns whether the item is given up.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.limit.is_some_and(|limit| self.failures >= limit)
    }
}

derive_copy! {
    /// Failures of one item, which count on whoever owns its partition.
    #[derive(Default)]
    pub struct ItemFailures {
        /// Runs that ended with status 500.
        pub runs: FailureBudget,
        /// Reward calls that ended with status 500.
        pub reward_calls: FailureBudget,
    }
}

impl ItemFailures {
    /// Does what [`FailureBudget::merge`] does for both counts.
    pub fn merge(&mut self, other: Self) -> bool {
        let runs = self.runs.merge(other.runs);
        self.reward_calls.merge(other.reward_calls) || runs
    }

    /// Returns whether the item is given up.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.runs.is_exhausted() || self.reward_calls.is_exhausted()
    }
}

/// Failures of one item that are to be put on record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailureReport {
    /// Identifier of the submission.
    pub submission: String,
    /// Identifier of the item.
    pub item: String,
    /// Failures so far.
    pub failures: ItemFailures,
}

impl FailureReport {
    /// Returns an upper bound of the bytes of the record.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.submission.len()
    }
}

/// Returns the records of these failures. Those of items that are resolved, of ended or unknown
/// submissions, and those that are on record are left out.
#[must_use]
pub fn failure_records(
    table: &SubmissionTable,
    reports: &[FailureReport],
) -> Vec<SubmissionRecord> {
    let mut records = Vec::new();
    for FailureReport { submission, item, failures: reported } in reports {
        let Some(state) = table.get(submission) else { continue };
        let Some(index) = state.item_index(item) else { continue };
        // What other owners have counted stays in the record, which replaces theirs.
        let mut failures = state.failures(item);
        if state.is_ended() || state.is_resolved(item) || !failures.merge(*reported) {
            continue;
        }
        records.push(SubmissionRecord::Failed { submission: submission.clone(), index, failures });
    }
    records
}

/// Time from the block of a call to its first further run. Upstreams that have ended are back by
/// then. The time to the second one is twice as long.
const FIRST_PROBATION_DELAY: Span = Span::from_secs(5);

/// Further runs of a blocked call. Each may end another upstream, of which three may be lost to a call
/// after it was blocked.
const MAX_PROBATION_RUNS: u32 = 2;

/// Further runs of a call that is blocked because upstreams ended while they ran it.
///
/// A call that only ran beside the one that ended them is blocked too. A response to a further run
/// lifts its block, and a call that ends upstreams has few of these runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallProbation {
    next_run_at: Option<Moment>,
    runs: u32,
}

impl CallProbation {
    /// Records that the call is blocked. Returns whether it is run once more now.
    pub fn observe_block(&mut self, now: Moment) -> bool {
        let next_run_at = *self.next_run_at.get_or_insert(now + FIRST_PROBATION_DELAY);
        if self.runs == MAX_PROBATION_RUNS || now < next_run_at {
            return false;
        }
        self.runs += 1;
        self.next_run_at = Some(now + Span(FIRST_PROBATION_DELAY.0 << self.runs));
        true
    }

    /// Returns whether the call has been blocked.
    #[must_use]
    pub const fn is_blocked(&self) -> bool {
        self.next_run_at.is_some()
    }
}
