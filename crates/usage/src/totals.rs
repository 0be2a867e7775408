//! Requests per customer and usage window: running totals of one process, and their sum over all
//! processes.

use std::collections::{BTreeMap, BTreeSet};

use base::{Span, WallTime, derive_copy};

use crate::WindowNumber;

/// Number of requests by customer name.
pub type CustomerCounts = BTreeMap<String, u64>;

/// Running totals of one process. A change marks its window to be written again. A write replaces
/// the totals written before, so it is idempotent.
#[derive(Debug, Default)]
pub struct WindowTotals {
    windows: BTreeMap<WindowNumber, CustomerCounts>,
    changed: BTreeSet<WindowNumber>,
}

impl WindowTotals {
    /// Counts a request that has started.
    pub fn add(&mut self, window: WindowNumber, customer: &str) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(customer) {
            Some(count) => *count += 1,
            None => {
                counts.insert(String::from(customer), 1);
            }
        }
        self.changed.insert(window);
    }

    /// Reverts the count of a request that did not run after all.
    pub fn remove(&mut self, window: WindowNumber, customer: &str) {
        let counts = self.windows.entry(window).or_default();
        if let Some(count) = counts.get_mut(customer) {
            *count = count.saturating_sub(1);
            self.changed.insert(window);
        }
    }

    /// Returns the windows whose totals changed since the last call, with their totals. The next
    /// call returns only later changes.
    pub fn take_changed(&mut self) -> Vec<(WindowNumber, CustomerCounts)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .filter_map(|window| Some((window, self.windows.get(&window)?.clone())))
            .collect()
    }

    /// Marks a window as changed again after its totals could not be written.
    pub fn mark_changed(&mut self, window: WindowNumber) {
        if self.windows.contains_key(&window) {
            self.changed.insert(window);
        }
    }

    /// Returns the totals of a window, which are empty when nothing was counted.
    #[must_use]
    pub fn totals(&self, window: WindowNumber) -> CustomerCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }

    /// Drops the windows before `oldest`.
    pub fn forget_before(&mut self, oldest: WindowNumber) {
        self.windows = self.windows.split_off(&oldest);
        self.changed = self.changed.split_off(&oldest);
    }
}

/// Returns the number of the window that contains `at`. Times before 1970 are in window 0.
#[must_use]
pub fn window_of(at: WallTime, length: Span) -> WindowNumber {
    let millis = u64::try_from(at.0).unwrap_or(0);
    WindowNumber(millis / length.as_millis().max(1))
}

/// Returns the time at which a window ends, which is the start of the next one.
#[must_use]
pub fn window_end(window: WindowNumber, length: Span) -> WallTime {
    let millis = (window.0 + 1).saturating_mul(length.as_millis());
    WallTime(i64::try_from(millis).unwrap_or(i64::MAX))
}

/// Sums the totals of several processes. Customers without requests are left out.
#[must_use]
pub fn sum_counts<'a>(totals: impl IntoIterator<Item = &'a CustomerCounts>) -> CustomerCounts {
    let mut sum = CustomerCounts::new();
    for counts in totals {
        for (customer, count) in counts {
            if *count > 0 {
                *sum.entry(customer.clone()).or_default() += count;
            }
        }
    }
    sum
}

derive_copy! {
    /// Whether the totals of a process for a window are final.
    pub enum TotalsPhase {
        /// The process may still count requests in the window.
        Open,
        /// The totals are final, and the process goes on with the next window.
        Closed,
        /// The totals are final, because the process has stopped as planned by the window's end.
        Last,
    }
}

/// Totals of all processes, collected by the process that reports a window.
#[derive(Debug, Default)]
pub struct WindowAggregator {
    totals: BTreeMap<WindowNumber, BTreeMap<u64, ProcessTotals>>,
}

#[derive(Debug)]
struct ProcessTotals {
    counts: CustomerCounts,
    phase: TotalsPhase,
}

impl WindowAggregator {
    /// Stores the totals of a process, in place of earlier ones for the same window.
    pub fn insert(
        &mut self,
        window: WindowNumber,
        process: u64,
        counts: CustomerCounts,
        phase: TotalsPhase,
    ) {
        let totals = ProcessTotals { counts, phase };
        self.totals.entry(window).or_default().insert(process, totals);
    }

    /// Returns whether every process that is known to have run in a window has closed it. These are
    /// the processes that closed the previous window and went on, and those that stored totals for
    /// this one. Returns `false` when no process is known to have gone on from the previous window.
    #[must_use]
    pub fn is_closed(&self, window: WindowNumber) -> bool {
        let Some(previous) =
            window.0.checked_sub(1).and_then(|w| self.totals.get(&WindowNumber(w)))
        else {
            return false;
        };
        let Some(current) = self.totals.get(&window) else { return false };
        let closed = |process: &u64| {
            current.get(process).is_some_and(|totals| totals.phase != TotalsPhase::Open)
        };
        let continues = |totals: &ProcessTotals| totals.phase == TotalsPhase::Closed;
        previous.iter().filter(|(_, totals)| continues(totals)).all(|(process, _)| closed(process))
            && current.keys().all(closed)
            && previous.values().any(continues)
    }

    /// Returns the totals of a window over all processes.
    #[must_use]
    pub fn totals(&self, window: WindowNumber) -> CustomerCounts {
        let totals = self.totals.get(&window).into_iter().flat_map(BTreeMap::values);
        sum_counts(totals.map(|totals| &totals.counts))
    }

    /// Drops the windows before `oldest`, and returns them with the processes that had stored
    /// totals for them.
    pub fn forget_before(&mut self, oldest: WindowNumber) -> Vec<(WindowNumber, Vec<u64>)> {
        let kept = self.totals.split_off(&oldest);
        let removed = std::mem::replace(&mut self.totals, kept);
        removed.into_iter().map(|(window, totals)| (window, totals.into_keys().collect())).collect()
    }
}
