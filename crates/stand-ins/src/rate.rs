//! Token bucket rate limiter.

use std::time::Instant;

/// A token bucket whose capacity is the refill of one second.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, tokens: per_second, updated: now }
    }

    /// Takes one token, or returns `false` when none is left.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second.max(1.0));
        self.updated = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
