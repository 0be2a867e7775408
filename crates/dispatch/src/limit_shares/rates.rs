//! Rates that nodes want, claim and have of the limits of upstreams.

use base::{Incarnation, Moment, ProcessDigest, RequestRate, derive_copy, derive_value};

/// A claim and a wanted rate are written again when they change by more than one in this.
const CHANGE_DIVISOR: u64 = 4;

derive_copy! {
    /// Rate of requests that a node could send to an upstream, by their origin.
    #[derive(Default)]
    pub struct WantedRate {
        /// Requests of callers.
        pub callers: RequestRate,
        /// Requests of items and their reward calls.
        pub items: RequestRate,
    }

    /// What a node wants of an upstream, and which other upstreams can serve the same requests.
    #[derive(Default)]
    pub struct LimitDemand {
        /// Digest of the upstream's service.
        pub service: u64,
        /// Rate of requests for the service, or nothing while the node leaves its share unused.
        pub wanted: WantedRate,
    }

    /// What a node wants and claims of one upstream's limit.
    pub struct LimitClaim {
        /// Process of the upstream.
        pub process: ProcessDigest,
        /// Rate that the node could use.
        pub wanted: WantedRate,
        /// Rate that the node claims.
        pub claimed: RequestRate,
        /// Whether a response has named the limit to the node since its record before.
        pub is_seen: bool,
    }

    /// How this node takes part in the division of one limit.
    #[derive(Default)]
    pub struct LimitShare {
        /// Limit that the upstream names, or that holds while it is cold.
        pub limit: RequestRate,
        /// Whether the limit holds because the upstream is cold.
        pub is_warmup: bool,
        /// When the limit ends by itself, if it does: the upstream is cold until then and names no
        /// limit.
        pub ends_at: Option<Moment>,
        /// Rate that this node could use.
        pub wanted: WantedRate,
        /// Rate that this node may use without a claim.
        pub guaranteed: RequestRate,
        /// Rate that this node may use by its claim.
        pub claimed: RequestRate,
        /// Part of the limit to which its demand entitles this node, of which it may have more or
        /// less at a time.
        pub entitled: RequestRate,
    }
}

derive_value! {
    /// Record of one node: all of its claims.
    pub struct NodeClaims {
        /// Incarnation of the node's process. Claims of an earlier one are void.
        pub incarnation: Incarnation,
        /// Number of the record among those of the process, from 1.
        pub sequence: u64,
        /// Claims, one for each limited upstream that the node uses.
        pub claims: Vec<LimitClaim>,
    }
}

impl WantedRate {
    /// Returns whether nothing is wanted.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            callers: RequestRate(self.callers.0 + other.callers.0),
            items: RequestRate(self.items.0 + other.items.0),
        }
    }

    pub(super) fn differs(self, current: Self) -> bool {
        differs(self.callers, current.callers) || differs(self.items, current.items)
    }
}

impl LimitShare {
    /// Returns the rate that this node may use.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        RequestRate(self.guaranteed.0 + self.claimed.0)
    }
}

/// Returns whether a rate differs so much from the one that was written that it is written again.
pub(super) const fn differs(written: RequestRate, current: RequestRate) -> bool {
    let tolerance = written.0 / CHANGE_DIVISOR;
    written.0.abs_diff(current.0) > tolerance || (written.0 == 0) != (current.0 == 0)
}
