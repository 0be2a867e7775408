//! Interface of the pick policies: the picker and the baselines.

use base::{Moment, Span, UpstreamKey, WeightVersion, derive_copy};
use rand::Rng;

use crate::{RouteUpstreams, UpstreamTable, upstream::UpstreamRow};

/// Parameters of one choice of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Estimated tokens of the request without its prompt.
    pub tokens: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hash of the prompt's prefix, if it may be in an upstream's cache.
    pub prefix: Option<u64>,
    /// Lowest weight version that may serve the request.
    pub min_version: Option<WeightVersion>,
    /// Upstreams that this request has already tried.
    pub avoid: &'a [UpstreamKey],
}

derive_copy! {
    /// Why an upstream was chosen.
    pub enum PickReason {
        /// It has the earliest expected completion among the sampled ones.
        EarliestCompletion,
        /// It probably has the prompt's prefix in its cache, and its load is within the bound.
        PrefixOwner,
        /// None of the sampled upstreams accepted the request; it has the earliest expected
        /// completion in a scan of all.
        FullScan,
        /// No upstream accepts the request. The chosen one is suspect, or the request was sent to
        /// it before.
        LastResort,
        /// A baseline policy chose it.
        Baseline,
    }

    /// A chosen upstream, with the reasons for the log.
    pub struct PickResult {
        /// The chosen upstream.
        pub upstream: UpstreamKey,
        /// Why it was chosen.
        pub reason: PickReason,
        /// Expected completion time by which it was compared, with network latency. The node's own
        /// work is scaled up for the other nodes, see [`UpstreamTable::set_node_count`]. Zero for
        /// baselines.
        pub expected: Span,
        /// Expected completion time of the second best candidate, or `None` when there was no
        /// other.
        pub runner_up: Option<Span>,
        /// Number of candidates that were compared.
        pub compared: u16,
    }
}

/// A policy that chooses an upstream for a request.
pub trait PickPolicy {
    /// Chooses an upstream, or returns `None` when no upstream of the route can take the request.
    fn pick(
        &mut self,
        now: Moment,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickResult>;
}

impl PickRequest<'_> {
    /// Returns whether the request may be sent to an upstream: it takes work, has the weights and
    /// was not tried before.
    pub(crate) fn accepts(&self, upstream: UpstreamKey, row: &UpstreamRow) -> bool {
        row.takes_work() && self.accepts_version(row) && !self.avoid.contains(&upstream)
    }

    /// Returns whether the upstream's last reported weights are new enough for the request.
    pub(crate) fn accepts_version(&self, row: &UpstreamRow) -> bool {
        self.min_version
            .is_none_or(|min_version| row.version.is_some_and(|version| version >= min_version))
    }
}

/// Draws a uniform random number below `bound`, which must not be 0. The method is that of Lemire,
/// "Fast random integer generation in an interval" (2019), without the rejection step; the bias is
/// below 1 in a million for the bounds used here.
pub(crate) fn random_below(rng: &mut impl Rng, bound: usize) -> usize {
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}
