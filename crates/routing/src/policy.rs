//! The interface that the picker and the baselines share.

use base::{Moment, Span, UpstreamKey, WeightVersion, derive_copy};
use rand::Rng;

use crate::{RouteUpstreams, UpstreamTable, upstream::UpstreamRow};

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Expected work without the prompt, in tokens.
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
        /// It probably holds the prompt's prefix and is not overloaded.
        PrefixOwner,
        /// None of the sampled ones could take the request; it is the best one of a full scan.
        FullScan,
        /// Only upstreams under suspicion are left.
        LastResort,
        /// A baseline chose it.
        Baseline,
    }

    /// A choice with what explains it in the log line.
    pub struct PickResult {
        /// The chosen upstream.
        pub upstream: UpstreamKey,
        /// Why it was chosen.
        pub reason: PickReason,
        /// Time to completion by which it was compared, network included. Own work stands for that
        /// of the other nodes too, see [`UpstreamTable::set_node_count`].
        pub expected: Span,
        /// The same of the next best candidate, or `None` when there was no other.
        pub runner_up: Option<Span>,
        /// Number of candidates that were compared.
        pub compared: u16,
    }
}

/// A way to choose an upstream.
pub trait PickPolicy {
    /// Chooses an upstream, or none when no upstream of the route can take the request.
    fn pick(
        &mut self,
        now: Moment,
        table: &UpstreamTable,
        members: &RouteUpstreams,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickResult>;
}

impl PickRequest<'_> {
    pub(crate) fn accepts(&self, upstream: UpstreamKey, row: &UpstreamRow) -> bool {
        row.takes_work() && self.accepts_version(row) && !self.avoid.contains(&upstream)
    }

    pub(crate) fn accepts_version(&self, row: &UpstreamRow) -> bool {
        self.min_version.is_none_or(|lowest| row.version.is_some_and(|version| version >= lowest))
    }
}

/// Draws a number below `bound`, which must not be 0 (Lemire, "Fast random integer generation in
/// an interval", 2019, without the rejection step: the bias is below 1 in a million here).
pub(crate) fn below(rng: &mut impl Rng, bound: usize) -> usize {
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}
