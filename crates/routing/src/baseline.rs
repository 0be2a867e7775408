//! Common load balancing policies, as baselines in experiments.

use base::{Moment, Span, UpstreamKey};
use rand::Rng;

use crate::{
    PickPolicy, PickReason, PickRequest, PickResult, RouteUpstreams, UpstreamTable,
    policy::random_below,
};

/// Chooses uniformly among the upstreams that accept the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomPick;

/// Chooses the upstreams one after another, passing over those that do not accept the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Chooses the upstream with the fewest requests of this node in flight. Ties are broken at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastOutstanding;

impl PickPolicy for RandomPick {
    fn pick(
        &mut self,
        _now: Moment,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickResult> {
        let usable_count = usable_from(table, upstreams, request, 0).count();
        if usable_count == 0 {
            return None;
        }
        let position = random_below(rng, usable_count);
        usable_from(table, upstreams, request, 0)
            .nth(position)
            .map(|(_, upstream)| baseline_result(upstream))
    }
}

impl PickPolicy for RoundRobin {
    fn pick(
        &mut self,
        _now: Moment,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        _rng: &mut impl Rng,
    ) -> Option<PickResult> {
        let (position, upstream) = usable_from(table, upstreams, request, self.next).next()?;
        self.next = position + 1;
        Some(baseline_result(upstream))
    }
}

impl PickPolicy for LeastOutstanding {
    fn pick(
        &mut self,
        _now: Moment,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickResult> {
        // The scan starts at a random position and keeps the first minimum, which breaks ties.
        let start = random_below(rng, upstreams.keys().len().max(1));
        usable_from(table, upstreams, request, start)
            .min_by_key(|(_, upstream)| table.own_requests(*upstream))
            .map(|(_, upstream)| baseline_result(upstream))
    }
}

/// Iterates once over the upstreams that accept the request, from position `start` on.
fn usable_from<'a>(
    table: &'a UpstreamTable,
    upstreams: &'a RouteUpstreams,
    request: &'a PickRequest<'_>,
    start: usize,
) -> impl Iterator<Item = (usize, UpstreamKey)> + 'a {
    let keys = upstreams.keys();
    let positions = (0..keys.len()).map(move |step| (start + step) % keys.len());
    positions.map(|position| (position, keys[position])).filter(|(_, upstream)| {
        table.row(*upstream).is_some_and(|row| request.accepts(*upstream, row))
    })
}

/// Builds the result of a baseline, which has no expected time.
const fn baseline_result(upstream: UpstreamKey) -> PickResult {
    PickResult {
        upstream,
        reason: PickReason::Baseline,
        expected: Span::ZERO,
        runner_up: None,
        compared: 0,
    }
}
