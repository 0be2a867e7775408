//! Retry budget: bounds retries, so that they cannot multiply the load of a failing service.

/// Successes needed for one retry: retries are at most 10% of successes.
const SUCCESSES_PER_RETRY: u32 = 10;

/// Maximum number of retries in the budget, which bounds a burst of retries after a long time
/// without failures.
const MAX_SAVED_RETRIES: u32 = 100;

/// Retries allowed before any success, so that a node that has just started can retry.
const INITIAL_RETRIES: u32 = 10;

/// Budget of retries that grows with successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Unused successes. Each retry takes [`SUCCESSES_PER_RETRY`] of them.
    unused_successes: u32,
}

impl RetryBudget {
    /// Creates a budget with 10 retries.
    #[must_use]
    pub const fn new() -> Self {
        Self { unused_successes: INITIAL_RETRIES * SUCCESSES_PER_RETRY }
    }

    /// Counts a request that succeeded.
    pub fn record_success(&mut self) {
        self.unused_successes =
            (self.unused_successes + 1).min(MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Takes one retry from the budget. Returns `false` when none is left, and the request must not
    /// be retried.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.unused_successes < SUCCESSES_PER_RETRY {
            return false;
        }
        self.unused_successes -= SUCCESSES_PER_RETRY;
        true
    }

    /// Returns how many retries are left before further successes.
    #[must_use]
    pub const fn left(&self) -> u32 {
        self.unused_successes / SUCCESSES_PER_RETRY
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
