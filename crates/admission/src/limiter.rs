//! Enforcement of customer limits on one node.

use std::collections::BTreeMap;

use base::{
    CustomerKey, Incarnation, Moment, Refusal, RefusalCode, Span, derive_copy, derive_value,
};

derive_copy! {
    /// Identifier of a grant.
    pub struct GrantId {
        /// The delegate that issued the grant.
        pub delegate: Incarnation,
        /// Number of the grant among those of its delegate, starting at 1.
        pub number: u64,
    }

    /// Request of a node to the zone's delegate for a share of a customer's limit.
    pub struct GrantRequest {
        /// The node that sends the request.
        pub node: Incarnation,
        /// The customer.
        pub customer: CustomerKey,
        /// Tokens per second that the node's callers have asked for since the last request.
        pub demand: u32,
        /// Number of the request among those of its node and customer, starting at 1.
        pub sequence: u64,
        /// The grant that the node uses, if it has had one.
        pub held: Option<GrantId>,
    }

    /// Time-limited share of a customer's limit, the delegate's response to a [`GrantRequest`].
    pub struct LimitGrant {
        /// The node that sent the request.
        pub node: Incarnation,
        /// The customer.
        pub customer: CustomerKey,
        /// Sequence number of the request that this answers.
        pub sequence: u64,
        /// Identifier by which the node names the grant in its next request.
        pub id: GrantId,
        /// Granted rate in tokens per second, on top of the node's guaranteed rate.
        pub rate: u32,
        /// How long the grant lasts, counted from when the node sent the request.
        pub duration: Span,
    }

    /// Settings of a [`RateLimiter`].
    pub struct LimiterSettings {
        /// Time between two grant requests for a customer with demand.
        pub request_interval: Span,
        /// Capacity of a token bucket, as the time in which the rate fills it.
        pub burst: Span,
        /// Time without demand after which a customer's bucket is dropped and no more grants are
        /// requested for it.
        pub idle_after: Span,
        /// How long requests of a customer wait for the customer's first grant on this node before
        /// they are refused, counted from the first request.
        pub first_grant_timeout: Span,
    }
}

derive_value! {
    /// Whether a request of a customer that has a limit may be queued.
    pub enum LimitDecision {
        /// The tokens were taken from the bucket.
        Admitted,
        /// The bucket is empty and the node waits for the customer's first grant. Try again when it
        /// arrives.
        AwaitGrant,
        /// The bucket is empty. The refusal states when to retry.
        Refused(Refusal),
    }
}

/// Token bucket of one customer, with the state of its grant requests.
#[derive(Debug, Clone)]
struct CustomerBucket {
    /// Rate that needs no grant, in tokens per second.
    guaranteed_rate: u32,
    /// Rate of the last grant, in tokens per second, in force until `expires_at`.
    rate: u32,
    expires_at: Moment,
    held: Option<GrantId>,
    /// Sequence number of the last grant request.
    sequence: u64,
    requested_at: Option<Moment>,
    /// Sequence number of the last grant request that was answered, or 0.
    answered_sequence: u64,
    /// Tokens that callers asked for since the last grant request.
    demanded_tokens: u64,
    last_demand_at: Moment,
    first_demand_at: Moment,
    /// Level of the bucket in millionths of a token. A negative level is a debt.
    level_micro_tokens: i64,
    refilled_at: Moment,
}

/// Token buckets of the customers that have a limit, on one node.
///
/// A bucket fills at the node's guaranteed rate plus the rate of its current grant.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    me: Incarnation,
    settings: LimiterSettings,
    guaranteed_rates: BTreeMap<CustomerKey, u32>,
    buckets: BTreeMap<CustomerKey, CustomerBucket>,
}

/// Units of a bucket's level in one token.
const MICRO_TOKENS: i64 = 1_000_000;

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            request_interval: Span::from_secs(3),
            // A small customer's share on one node is less than one request per second. A burst of
            // 1 s refused 23% of the requests of customers that were below their limit.
            burst: Span::from_secs(10),
            idle_after: Span::from_secs(30),
            first_grant_timeout: Span::from_millis(500),
        }
    }
}

impl RateLimiter {
    /// Creates the limiter of the node `me`, without any bucket.
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
        bucket.refill(now, self.settings.burst);
        bucket.guaranteed_rate = guaranteed_rate;
    }

    /// Takes `tokens` from the bucket of a customer that has a limit.
    ///
    /// A request may overdraw a bucket that is not empty, since one larger than the bucket could
    /// otherwise never run. The debt must be refilled before the next request is admitted.
    pub fn admit(&mut self, now: Moment, customer: CustomerKey, tokens: u32) -> LimitDecision {
        let guaranteed_rate = self.guaranteed_rates.get(&customer).copied().unwrap_or(0);
        let new_bucket = || CustomerBucket::new(now, guaranteed_rate);
        let bucket = self.buckets.entry(customer).or_insert_with(new_bucket);
        bucket.demanded_tokens = bucket.demanded_tokens.saturating_add(u64::from(tokens));
        bucket.last_demand_at = now;
        bucket.refill(now, self.settings.burst);
        if bucket.level_micro_tokens > 0 {
            bucket.level_micro_tokens -= i64::from(tokens) * MICRO_TOKENS;
            return LimitDecision::Admitted;
        }
        if bucket.answered_sequence == 0
            && now < bucket.first_demand_at + self.settings.first_grant_timeout
        {
            return LimitDecision::AwaitGrant;
        }
        let retry_after = match u64::from(bucket.rate_at(now)) {
            0 => self.settings.request_interval,
            rate => Span(bucket.level_micro_tokens.unsigned_abs() / rate + 1),
        };
        let message = "the customer's token rate limit is reached";
        let refusal = Refusal::not_run(RefusalCode::LimitReached, message);
        LimitDecision::Refused(refusal.with_retry_after(retry_after))
    }

    /// Charges the difference between the true and the estimated cost of an admitted request.
    pub fn reconcile(&mut self, customer: CustomerKey, difference: i64) {
        let Some(bucket) = self.buckets.get_mut(&customer) else { return };
        let burst = i64::try_from(self.settings.burst.0).unwrap_or(i64::MAX);
        let rate = i64::from(bucket.rate) + i64::from(bucket.guaranteed_rate);
        let capacity = rate.saturating_mul(burst);
        bucket.level_micro_tokens = bucket
            .level_micro_tokens
            .saturating_sub(difference.saturating_mul(MICRO_TOKENS))
            .min(capacity);
    }

    /// Returns the grant requests that are due at `now`, to be sent to the zone's delegate. Drops
    /// the buckets of idle customers.
    pub fn due_requests(&mut self, now: Moment) -> Vec<GrantRequest> {
        let settings = self.settings;
        self.buckets.retain(|_, bucket| now.since(bucket.last_demand_at) < settings.idle_after);
        let mut requests = Vec::new();
        for (customer, bucket) in &mut self.buckets {
            if bucket.requested_at.is_some_and(|at| now.since(at) < settings.request_interval) {
                continue;
            }
            let elapsed = bucket.requested_at.map_or(settings.request_interval, |at| now.since(at));
            let demand = bucket.demanded_tokens.saturating_mul(1_000_000) / elapsed.0.max(1);
            bucket.demanded_tokens = 0;
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

    /// Applies a grant. One that does not answer the last request, or was applied before, is
    /// ignored.
    pub fn apply_grant(&mut self, now: Moment, grant: LimitGrant) {
        let Some(bucket) = self.buckets.get_mut(&grant.customer) else { return };
        let Some(requested_at) = bucket.requested_at else { return };
        let answers_last_request =
            grant.sequence == bucket.sequence && grant.sequence > bucket.answered_sequence;
        if grant.node != self.me || !answers_last_request {
            return;
        }
        bucket.refill(now, self.settings.burst);
        bucket.answered_sequence = grant.sequence;
        bucket.held = Some(grant.id);
        bucket.rate = grant.rate;
        bucket.expires_at = requested_at + grant.duration;
        bucket.refill(now, self.settings.burst);
    }

    /// Returns the guaranteed rate plus the rate of an unexpired grant, in tokens per second.
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
            answered_sequence: 0,
            demanded_tokens: 0,
            last_demand_at: now,
            first_demand_at: now,
            level_micro_tokens: 0,
            refilled_at: now,
        }
    }

    fn rate_at(&self, now: Moment) -> u32 {
        let granted_rate = if now < self.expires_at { self.rate } else { 0 };
        self.guaranteed_rate.saturating_add(granted_rate)
    }

    /// Refills the bucket up to its capacity: by the guaranteed rate, and by the granted rate for
    /// the time in which the grant was in force.
    fn refill(&mut self, now: Moment, burst: Span) {
        let micro_tokens = |rate: u32, span: Span| {
            i64::from(rate).saturating_mul(i64::try_from(span.0).unwrap_or(i64::MAX))
        };
        let granted_until = now.min(self.expires_at);
        let granted_tokens = micro_tokens(self.rate, granted_until.since(self.refilled_at));
        let added_tokens = granted_tokens
            .saturating_add(micro_tokens(self.guaranteed_rate, now.since(self.refilled_at)));
        self.refilled_at = self.refilled_at.max(now);
        let capacity = micro_tokens(self.rate_at(now), burst);
        self.level_micro_tokens =
            self.level_micro_tokens.saturating_add(added_tokens).min(capacity);
    }
}
