//! When an item is given up because its runs or its reward calls fail.

/// Failed runs of an item, or failed reward calls, against the number that gives it up.
///
/// A result is final, while a configuration may lack a route or lower its limit for a moment. So the
/// highest limit counts that any configuration has named, and without one nothing is given up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailureBudget {
    failures: u32,
    limit: Option<u32>,
}

impl FailureBudget {
    /// Creates the budget of a route whose configuration allows this many failures.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { failures: 0, limit: Some(limit) }
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
