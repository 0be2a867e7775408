//! Counts of requests by usage window, as running totals of one process.

use std::collections::{BTreeMap, BTreeSet};

use base::{Span, WallTime, derive_copy};

use crate::WindowNumber;

/// Requests by customer.
pub type CustomerCounts = BTreeMap<String, u64>;

/// Running totals of one process. Each change marks its window for the next write, which replaces
/// the totals written before, so a repeated write changes nothing.
#[derive(Debug, Default)]
pub struct WindowTotals {
    windows: BTreeMap<WindowNumber, CustomerCounts>,
    changed: BTreeSet<WindowNumber>,
}

impl WindowTotals {
    /// Counts a request that began to run.
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

    /// Takes back a request that turned out not to have run.
    pub fn remove(&mut self, window: WindowNumber, customer: &str) {
        let counts = self.windows.entry(window).or_default();
        if let Some(count) = counts.get_mut(customer) {
            *count = count.saturating_sub(1);
            self.changed.insert(window);
        }
    }

    /// Returns the windows whose totals changed since the last call, with their totals.
    pub fn take_changed(&mut self) -> Vec<(WindowNumber, CustomerCounts)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .filter_map(|window| Some((window, self.windows.get(&window)?.clone())))
            .collect()
    }

    /// Marks a window again, after its totals could not be written.
    pub fn mark_changed(&mut self, window: WindowNumber) {
        if self.windows.contains_key(&window) {
            self.changed.insert(window);
        }
    }

    /// Returns the totals of a window, which may be empty.
    #[must_use]
    pub fn totals(&self, window: WindowNumber) -> CustomerCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }

    /// Forgets windows before `oldest`.
    pub fn forget_before(&mut self, oldest: WindowNumber) {
        self.windows = self.windows.split_off(&oldest);
        self.changed = self.changed.split_off(&oldest);
    }
}

/// Returns the window of a point in time, counted from 1970.
#[must_use]
pub fn window_of(at: WallTime, length: Span) -> WindowNumber {
    let millis = u64::try_from(at.0).unwrap_or(0);
    WindowNumber(millis / length.as_millis().max(1))
}

/// Returns the end of a window.
#[must_use]
pub fn window_end(window: WindowNumber, length: Span) -> WallTime {
    let millis = (window.0 + 1).saturating_mul(length.as_millis());
    WallTime(i64::try_from(millis).unwrap_or(i64::MAX))
}

/// Adds the totals of all processes. Customers without requests are left out.
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
    /// Whether a process may still count in a window.
    pub enum TotalsPhase {
        /// It may.
        Open,
        /// The window has ended for it.
        Closed,
        /// The process has ended as planned, in or before the window's end.
        Last,
    }
}

/// Totals of all processes, for the one that reports a window.
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
    /// Takes the totals of a process. Later ones replace earlier ones.
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

    /// Tells whether all processes that are known to live have closed a window: those that closed the
    /// one before and went on, and those that counted in this one.
    #[must_use]
    pub fn is_closed(&self, window: WindowNumber) -> bool {
        let Some(before) = window.0.checked_sub(1).and_then(|w| self.totals.get(&WindowNumber(w)))
        else {
            return false;
        };
        let Some(now) = self.totals.get(&window) else { return false };
        let closed = |process: &u64| {
            now.get(process).is_some_and(|totals| totals.phase != TotalsPhase::Open)
        };
        let goes_on = |totals: &ProcessTotals| totals.phase == TotalsPhase::Closed;
        before.iter().filter(|(_, totals)| goes_on(totals)).all(|(process, _)| closed(process))
            && now.keys().all(closed)
            && before.values().any(goes_on)
    }

    /// Returns the figures of a window.
    #[must_use]
    pub fn totals(&self, window: WindowNumber) -> CustomerCounts {
        let totals = self.totals.get(&window).into_iter().flat_map(BTreeMap::values);
        sum_counts(totals.map(|totals| &totals.counts))
    }

    /// Forgets windows before `oldest`, and returns them with the processes that counted in them.
    pub fn forget_before(&mut self, oldest: WindowNumber) -> Vec<(WindowNumber, Vec<u64>)> {
        let kept = self.totals.split_off(&oldest);
        let old = std::mem::replace(&mut self.totals, kept);
        old.into_iter().map(|(window, totals)| (window, totals.into_keys().collect())).collect()
    }
}
