//! Rules that decide whether a running attempt is late.

use base::Span;

/// Share of extra tokens at which no further slot is run again. Design section 1.2 asks for less
/// than 5%; the rest is left for attempts already running when the limit is reached.
const EXTRA_TOKENS_LIMIT: f64 = 0.04;

/// What a rule knows about an attempt. Rates are tokens per second of one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptView {
    /// Time since the attempt was sent.
    pub elapsed: Span,
    /// Tokens so far.
    pub tokens: u32,
    /// Rate of the attempt.
    pub rate: f64,
    /// Expected tokens of the whole sample.
    pub expected_tokens: f64,
    /// Rate that another engine is expected to have.
    pub typical_rate: f64,
    /// Tokens of all finished samples.
    pub useful_tokens: u64,
    /// Tokens of attempts that lost, failed or will lose.
    pub extra_tokens: u64,
}

/// Decides which attempts are run again elsewhere.
pub trait RerunRule {
    /// Returns the expected gain in time when the slot should run again, or `None`.
    fn gain(&self, attempt: &AttemptView) -> Option<Span>;
}

/// Baseline: no slot is run again.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoRerun;

impl RerunRule for NoRerun {
    fn gain(&self, _: &AttemptView) -> Option<Span> {
        None
    }
}

/// Baseline: a slot is run again after a fixed time.
#[derive(Debug, Clone, Copy)]
pub struct FixedTimeoutRule {
    /// The time.
    pub timeout: Span,
}

impl RerunRule for FixedTimeoutRule {
    fn gain(&self, attempt: &AttemptView) -> Option<Span> {
        (attempt.elapsed >= self.timeout).then(|| attempt.elapsed.saturating_sub(self.timeout))
    }
}

/// Runs a slot again when the expected gain in time, valued in tokens, exceeds the expected cost.
#[derive(Debug, Clone, Copy)]
pub struct CostBenefitRule {
    /// Tokens that one second of an earlier step is worth.
    pub tokens_per_second: f64,
}

impl Default for CostBenefitRule {
    fn default() -> Self {
        Self { tokens_per_second: 50.0 }
    }
}

impl RerunRule for CostBenefitRule {
    fn gain(&self, attempt: &AttemptView) -> Option<Span> {
        let done = f64::from(attempt.tokens);
        let stay = (attempt.expected_tokens - done).max(0.0) / attempt.rate;
        let again = attempt.expected_tokens / attempt.typical_rate;
        let gain = stay - again;
        // The late attempt runs on until the new one finishes, and all its tokens are then extra.
        let cost = done + attempt.rate * again;
        if gain <= 0.0 || gain * self.tokens_per_second <= cost {
            return None;
        }
        let total =
            (attempt.useful_tokens as f64).max(attempt.expected_tokens / EXTRA_TOKENS_LIMIT);
        let fits = attempt.extra_tokens as f64 + cost <= EXTRA_TOKENS_LIMIT * total;
        fits.then_some(Span((gain * 1e6) as u64))
    }
}
