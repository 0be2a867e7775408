//! Token bucket for the requests of one node to an upstream with a limit.

use base::{Moment, RequestRate, Span, derive_copy};

/// Time in which the rate fills an empty bucket. The requests of all nodes in a time T then stay
/// below the limit times (T + 2 s), because the rates of all nodes add up to the limit.
const FILL_TIME: Span = Span::from_secs(2);

/// Time without a request after which tokens count as unused. A small rate yields a token in two
/// seconds.
const UNUSED_TIME: Span = Span::from_secs(4);

/// Millionths of a request, in which the level is counted.
const MICRO_REQUESTS: i64 = 1_000_000;

derive_copy! {
    /// Token bucket with one token for each request. It starts empty.
    pub struct RequestBucket {
        rate: RequestRate,
        level_micro_requests: i64,
        refilled_at: Moment,
        /// Highest rate so far.
        peak_rate: RequestRate,
        /// When a token was last taken, or the rate last rose from zero.
        idle_since: Moment,
    }
}

impl RequestBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(now: Moment, rate: RequestRate) -> Self {
        Self { rate, level_micro_requests: 0, refilled_at: now, peak_rate: rate, idle_since: now }
    }

    /// Sets the rate at which tokens are added from now on.
    pub fn set_rate(&mut self, now: Moment, rate: RequestRate) {
        self.level_micro_requests = self.level(now);
        self.refilled_at = self.refilled_at.max(now);
        if self.rate == RequestRate::ZERO {
            self.idle_since = now;
        }
        self.rate = rate;
        self.peak_rate = self.peak_rate.max(rate);
        self.level_micro_requests = self.level_micro_requests.min(self.capacity());
    }

    /// Sets the rate as [`set_rate`](Self::set_rate) does. A rate above all earlier ones adds at once
    /// what the rise brings in [`FILL_TIME`]. So the tokens of all nodes stay within what their
    /// buckets hold together, and a rate that falls and rises again adds nothing.
    pub fn set_rate_filled(&mut self, now: Moment, rate: RequestRate) {
        let rise = rate.saturating_sub(self.peak_rate);
        self.set_rate(now, rate);
        let fill_ms = i64::try_from(FILL_TIME.as_millis()).unwrap_or(i64::MAX);
        let added = i64::try_from(rise.0).unwrap_or(i64::MAX).saturating_mul(fill_ms);
        let level = self.level_micro_requests.saturating_add(added);
        self.level_micro_requests = level.min(self.capacity());
    }

    /// Returns whether the bucket has a token.
    #[must_use]
    pub fn has_token(&self, now: Moment) -> bool {
        self.level(now) >= MICRO_REQUESTS
    }

    /// Adds a token if there is none.
    pub fn add_token(&mut self, now: Moment) {
        self.level_micro_requests = self.level(now).max(MICRO_REQUESTS);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether the bucket has had tokens for some time that no request took.
    #[must_use]
    pub fn is_unused(&self, now: Moment) -> bool {
        self.has_token(now) && now.since(self.idle_since) >= UNUSED_TIME
    }

    /// Takes a token for a request, whether there is one or not. Without one the bucket is in debt.
    pub fn take(&mut self, now: Moment) {
        self.level_micro_requests = self.level(now) - MICRO_REQUESTS;
        self.refilled_at = self.refilled_at.max(now);
        self.idle_since = now;
    }

    fn level(&self, now: Moment) -> i64 {
        let elapsed = i64::try_from(now.since(self.refilled_at).0).unwrap_or(i64::MAX);
        let added = self.rate_milli_requests().saturating_mul(elapsed) / 1_000;
        // A token that was added above the capacity stays.
        let level = self.level_micro_requests;
        level.saturating_add(added).min(self.capacity().max(level))
    }

    /// A rate below one request in [`FILL_TIME`] fills the bucket up to one token.
    fn capacity(&self) -> i64 {
        let fill_ms = i64::try_from(FILL_TIME.as_millis()).unwrap_or(i64::MAX);
        match self.rate_milli_requests() {
            0 => 0,
            rate => rate.saturating_mul(fill_ms).max(MICRO_REQUESTS),
        }
    }

    fn rate_milli_requests(&self) -> i64 {
        i64::try_from(self.rate.0).unwrap_or(i64::MAX)
    }
}
