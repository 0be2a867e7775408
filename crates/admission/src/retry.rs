//! Bound on retries, so that they cannot multiply the load of a failing service.

/// Successes that pay for one retry: retries are at most 10% of successes.
const SUCCESSES_PER_RETRY: u32 = 10;

/// Retries that can be saved up, which bounds the burst after a long quiet time.
const MAX_SAVED: u32 = 100;

/// Retries that are allowed before any success, so that a fresh node can retry at all.
const FIRST_SAVED: u32 = 10;

/// Budget of retries that grows with successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Saved successes, of which each retry uses [`SUCCESSES_PER_RETRY`].
    saved: u32,
}

impl RetryBudget {
    /// Creates a budget with a few retries.
    #[must_use]
    pub const fn new() -> Self {
        Self { saved: FIRST_SAVED * SUCCESSES_PER_RETRY }
    }

    /// Counts a request that succeeded.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + 1).min(MAX_SAVED * SUCCESSES_PER_RETRY);
    }

    /// Takes one retry from the budget, or returns false when it is used up.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.saved < SUCCESSES_PER_RETRY {
            return false;
        }
        self.saved -= SUCCESSES_PER_RETRY;
        true
    }

    /// Returns how many retries are left.
    #[must_use]
    pub const fn left(&self) -> u32 {
        self.saved / SUCCESSES_PER_RETRY
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
