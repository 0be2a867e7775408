//! Cold times of upstreams.
//!
//! Some upstreams are cold for a time after they start under traffic, and crash when they get many
//! requests then. What all nodes together may send to a cold upstream is divided as a limit that the
//! upstream names: see [`LimitShares::set_warmup`](crate::LimitShares::set_warmup).

use std::collections::HashMap;

use base::{Moment, RequestRate, Span, UpstreamKey, derive_copy};

use crate::{RequestOrigin, UpstreamBalancer};

derive_copy! {
    /// How the upstreams of a service warm up.
    pub struct ServiceWarmup {
        /// Time for which an upstream is cold after it starts under traffic.
        pub duration: Span,
        /// Requests that a cold upstream sustains from all nodes together.
        pub rate: RequestRate,
    }

    /// Limit that holds while an upstream is cold.
    pub struct WarmupLimit {
        /// Requests of all nodes together, as they are divided.
        pub rate: RequestRate,
        /// End of the cold time, by this node's clock.
        pub until: Moment,
    }
}

/// A cold upstream's rate is divided by this before it is shared. The buckets of a limit hold what it
/// allows in 2 s, so that three times the divided limit may arrive within a second: that is one and a
/// half times the rate, which a cold upstream still bears.
const RATE_DIVISOR: u64 = 2;

/// Longest time for which an upstream counts as cold. Warm-ups take seconds; a longer time is an error
/// in an entry or a response, by which the upstream would be held back for good.
const MAX_COLD_TIME: Span = Span::from_secs(600);

impl UpstreamBalancer {
    /// Sets the services whose upstreams have to warm up. A service that is not named, or whose rate
    /// is zero, has none.
    pub fn set_warmups(&mut self, mut warmups: HashMap<String, ServiceWarmup>) {
        warmups.retain(|_, warmup| warmup.rate > RequestRate::ZERO);
        self.warmups = warmups;
    }

    /// Returns whether the upstreams of a service have to warm up.
    #[must_use]
    pub fn has_warmup(&self, service: &str) -> bool {
        self.warmups.contains_key(service)
    }

    /// Counts an upstream as cold for a time from now on, and for longer if it is known to be.
    pub fn mark_cold(&mut self, now: Moment, upstream: UpstreamKey, span: Span) {
        let stats = &mut self.upstreams[upstream];
        stats.cold_until = stats.cold_until.max(now + span.min(MAX_COLD_TIME));
    }

    /// Counts an upstream as cold for the time that its service names, as after a time without
    /// traffic.
    pub fn restart_warmup(&mut self, now: Moment, upstream: UpstreamKey) {
        let service = &self.upstreams[upstream].entry.service;
        if let Some(ServiceWarmup { duration, .. }) = self.warmups.get(service).copied() {
            self.mark_cold(now, upstream, duration);
        }
    }

    /// Records the remaining cold time that an upstream names. It replaces what was assumed.
    pub fn record_cold_time(&mut self, now: Moment, upstream: UpstreamKey, remaining: Span) {
        self.upstreams[upstream].cold_until = now + remaining.min(MAX_COLD_TIME);
    }

    /// Records the cold time that the newest entry of an upstream names. One that has returned after
    /// its removal without naming any is cold for the time of its service: whether it had traffic
    /// meanwhile is not known.
    pub fn record_entry_warmup(&mut self, now: Moment, upstream: UpstreamKey) {
        let stats = &mut self.upstreams[upstream];
        let reappeared = std::mem::take(&mut stats.reappeared);
        let remaining = stats.entry.warmup;
        if remaining > Span::ZERO {
            self.record_cold_time(now, upstream, remaining);
        } else if reappeared {
            self.restart_warmup(now, upstream);
        }
    }

    /// Returns the limit on the requests of all nodes together to an upstream that is cold.
    #[must_use]
    pub fn warmup_limit(&self, now: Moment, upstream: UpstreamKey) -> Option<WarmupLimit> {
        let stats = &self.upstreams[upstream];
        let warmup = self.warmups.get(&stats.entry.service)?;
        let limit = WarmupLimit {
            rate: RequestRate((warmup.rate.0 / RATE_DIVISOR).max(1)),
            until: stats.cold_until,
        };
        (now < limit.until).then_some(limit)
    }

    /// Takes a token for a request that was begun before the upstream was known to be cold. Returns
    /// whether the request may be sent.
    pub fn take_late_token(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        origin: RequestOrigin,
    ) -> bool {
        let admits = self.admits(now, upstream, origin);
        let bucket = self.upstreams[upstream].bucket.as_mut().filter(|_| admits);
        if let Some(bucket) = bucket {
            bucket.take(now);
        }
        admits
    }

    /// Returns whether the requests to an upstream are limited because it is cold.
    #[must_use]
    pub fn is_warmup_limited(&self, now: Moment, upstream: UpstreamKey) -> bool {
        let stats = &self.upstreams[upstream];
        stats.bucket(now).is_some() && self.warmup_limit(now, upstream).is_some()
    }

    /// Returns the upstreams whose cold times have not ended.
    pub fn cold_upstreams(&self, now: Moment) -> impl Iterator<Item = UpstreamKey> {
        let cold = self.upstreams.iter().filter(move |(_, stats)| now < stats.cold_until);
        cold.map(|(upstream, _)| upstream)
    }
}
