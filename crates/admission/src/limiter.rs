//! A node's side of the customers' limits.

use std::collections::BTreeMap;

use base::{
    CustomerKey, Incarnation, Moment, Refusal, RefusalCode, Span, derive_copy, derive_value,
};

derive_copy! {
    /// Identifier of a grant.
    pub struct GrantId {
        /// The delegate that granted.
        pub delegate: Incarnation,
        /// Number of the grant among those of its delegate, starting at 1.
        pub number: u64,
    }

    /// Asks the zone's delegate for a share of a customer's limit.
    pub struct GrantRequest {
        /// The node that asks.
        pub node: Incarnation,
        /// The customer.
        pub customer: CustomerKey,
        /// Tokens per second that the node's callers ask for.
        pub demand: u32,
        /// Number of the ask among those of its node and customer, starting at 1.
        pub sequence: u64,
        /// The grant that the node uses.
        pub held: Option<GrantId>,
    }

    /// Grants a share of a customer's limit.
    pub struct LimitGrant {
        /// The node that asked.
        pub node: Incarnation,
        /// The customer.
        pub customer: CustomerKey,
        /// Number of the ask that this answers.
        pub sequence: u64,
        /// Identifier of the grant.
        pub id: GrantId,
        /// Tokens per second.
        pub rate: u32,
        /// How long the grant lasts, counted from the moment before its ask was sent.
        pub duration: Span,
    }

    /// Settings of a node's shares.
    pub struct LimiterSettings {
        /// Time between two asks for a customer with demand.
        pub request_interval: Span,
        /// A full bucket holds this much time's worth of the rate.
        pub burst: Span,
        /// A customer without demand for this long is no longer asked for.
        pub idle_after: Span,
        /// A node without any grant yet waits this long for its first.
        pub first_wait: Span,
    }
}

derive_value! {
    /// Answer to a request of a customer that has a limit.
    pub enum LimitDecision {
        /// The tokens are taken from the bucket.
        Admitted,
        /// The node has not heard its first grant. Ask again when it arrives.
        AwaitGrant,
        /// The bucket is empty, or no grant is in force.
        Refused(Refusal),
    }
}

#[derive(Debug, Clone)]
struct CustomerBucket {
    /// Rate that needs no grant.
    guaranteed_rate: u32,
    rate: u32,
    expires_at: Moment,
    held: Option<GrantId>,
    sequence: u64,
    requested_at: Option<Moment>,
    answered: u64,
    /// Tokens that callers asked for since the last ask.
    wanted: u64,
    wanted_at: Moment,
    first_wanted_at: Moment,
    /// Millionths of a token in the bucket. A negative level is a debt.
    level: i64,
    filled_at: Moment,
}

/// Shares of the customers' limits on one node, each with a token bucket.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    me: Incarnation,
    settings: LimiterSettings,
    guaranteed_rates: BTreeMap<CustomerKey, u32>,
    buckets: BTreeMap<CustomerKey, CustomerBucket>,
}

const MICRO: i64 = 1_000_000;

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            request_interval: Span::from_secs(3),
            // A node's share of a small customer is less than one request a second. A bucket of one
            // second refused 23% of the requests of customers that were below their limit.
            burst: Span::from_secs(10),
            idle_after: Span::from_secs(30),
            first_wait: Span::from_millis(500),
        }
    }
}

impl RateLimiter {
    /// Creates the shares of the node `me`.
    #[must_use]
    pub const fn new(me: Incarnation, settings: LimiterSettings) -> Self {
        Self { me, settings, guaranteed_rates: BTreeMap::new(), buckets: BTreeMap::new() }
    }

    /// Sets the rate of a customer that this node may use without a grant, in tokens per second.
    pub fn set_guaranteed_rate(
        &mut self,
        now: Moment,
        customer: CustomerKey,
        guaranteed_rate: u32,
    ) {
        self.guaranteed_rates.insert(customer, guaranteed_rate);
        let Some(bucket) = self.buckets.get_mut(&customer) else { return };
        bucket.fill(now, self.settings.burst);
        bucket.guaranteed_rate = guaranteed_rate;
    }

    /// Takes `tokens` from the bucket of a customer that has a limit.
    ///
    /// A request may overdraw a bucket that holds anything, so that one larger than the bucket can
    /// run at all. The debt is paid before the next request.
    pub fn admit(&mut self, now: Moment, customer: CustomerKey, tokens: u32) -> LimitDecision {
        let guaranteed_rate = self.guaranteed_rates.get(&customer).copied().unwrap_or(0);
        let new_bucket = || CustomerBucket::new(now, guaranteed_rate);
        let bucket = self.buckets.entry(customer).or_insert_with(new_bucket);
        bucket.wanted = bucket.wanted.saturating_add(u64::from(tokens));
        bucket.wanted_at = now;
        bucket.fill(now, self.settings.burst);
        if bucket.level > 0 {
            bucket.level -= i64::from(tokens) * MICRO;
            return LimitDecision::Admitted;
        }
        if bucket.answered == 0 && now < bucket.first_wanted_at + self.settings.first_wait {
            return LimitDecision::AwaitGrant;
        }
        let retry_after = match u64::from(bucket.rate_at(now)) {
            0 => self.settings.request_interval,
            rate => Span(bucket.level.unsigned_abs() / rate + 1),
        };
        let message = "the customer's limit is reached";
        let refusal = Refusal::not_run(RefusalCode::LimitReached, message);
        LimitDecision::Refused(refusal.with_retry_after(retry_after))
    }

    /// Charges the difference between the true and the estimated cost of an admitted request.
    pub fn reconcile(&mut self, customer: CustomerKey, difference: i64) {
        let Some(bucket) = self.buckets.get_mut(&customer) else { return };
        let burst = i64::try_from(self.settings.burst.0).unwrap_or(i64::MAX);
        let rate = i64::from(bucket.rate) + i64::from(bucket.guaranteed_rate);
        let full = rate.saturating_mul(burst);
        bucket.level = bucket.level.saturating_sub(difference.saturating_mul(MICRO)).min(full);
    }

    /// Returns the asks that are due at `now`, to be sent to the zone's delegate.
    pub fn due_requests(&mut self, now: Moment) -> Vec<GrantRequest> {
        let settings = self.settings;
        self.buckets.retain(|_, bucket| now.since(bucket.wanted_at) < settings.idle_after);
        let mut requests = Vec::new();
        for (customer, bucket) in &mut self.buckets {
            if bucket.requested_at.is_some_and(|at| now.since(at) < settings.request_interval) {
                continue;
            }
            let passed = bucket.requested_at.map_or(settings.request_interval, |at| now.since(at));
            let demand = bucket.wanted.saturating_mul(1_000_000) / passed.0.max(1);
            bucket.wanted = 0;
            bucket.requested_at = Some(now);
            bucket.sequence += 1;
            requests.push(GrantRequest {
                node: self.me,
                customer: *customer,
                demand: u32::try_from(demand).unwrap_or(u32::MAX),
                sequence: bucket.sequence,
                held: bucket.held,
            });
        }
        requests
    }

    /// Takes in a grant. One that answers an ask other than the last is ignored.
    pub fn apply_grant(&mut self, now: Moment, grant: LimitGrant) {
        let Some(bucket) = self.buckets.get_mut(&grant.customer) else { return };
        let Some(asked_at) = bucket.requested_at else { return };
        let is_last = grant.sequence == bucket.sequence && grant.sequence > bucket.answered;
        if grant.node != self.me || !is_last {
            return;
        }
        bucket.fill(now, self.settings.burst);
        bucket.answered = grant.sequence;
        bucket.held = Some(grant.id);
        bucket.rate = grant.rate;
        bucket.expires_at = asked_at + grant.duration;
        bucket.fill(now, self.settings.burst);
    }

    /// Returns the rate in force, in tokens per second.
    #[must_use]
    pub fn rate(&self, now: Moment, customer: CustomerKey) -> u32 {
        match self.buckets.get(&customer) {
            Some(bucket) => bucket.rate_at(now),
            None => self.guaranteed_rates.get(&customer).copied().unwrap_or(0),
        }
    }

    /// Returns when [`RateLimiter::due_requests`] is due, or `None` when no customer has demand.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let due = |bucket: &CustomerBucket| {
            bucket.requested_at.map_or(Moment(0), |at| at + self.settings.request_interval)
        };
        self.buckets.values().map(due).min()
    }
}

impl CustomerBucket {
    const fn new(now: Moment, guaranteed_rate: u32) -> Self {
        Self {
            guaranteed_rate,
            rate: 0,
            expires_at: Moment(0),
            held: None,
            sequence: 0,
            requested_at: None,
            answered: 0,
            wanted: 0,
            wanted_at: now,
            first_wanted_at: now,
            level: 0,
            filled_at: now,
        }
    }

    fn rate_at(&self, now: Moment) -> u32 {
        let granted = if now < self.expires_at { self.rate } else { 0 };
        self.guaranteed_rate.saturating_add(granted)
    }

    /// Fills the bucket by the reserve, and by the grant for the time that it was in force, up to
    /// one burst.
    fn fill(&mut self, now: Moment, burst: Span) {
        let gain = |rate: u32, span: Span| {
            i64::from(rate).saturating_mul(i64::try_from(span.0).unwrap_or(i64::MAX))
        };
        let granted_until = now.min(self.expires_at);
        let granted = gain(self.rate, granted_until.since(self.filled_at));
        let gained = granted.saturating_add(gain(self.guaranteed_rate, now.since(self.filled_at)));
        self.filled_at = self.filled_at.max(now);
        let full = gain(self.rate_at(now), burst);
        self.level = self.level.saturating_add(gained).min(full);
    }
}
