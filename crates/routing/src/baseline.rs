//! Usual policies, for comparison in experiments.

use base::{Moment, Span, UpstreamKey};
use rand::Rng;

use crate::{
    PickPolicy, PickReason, PickRequest, PickResult, RouteUpstreams, UpstreamTable, policy::below,
};

/// Chooses any upstream that takes work.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomPick;

/// Chooses each upstream in turn.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Chooses the upstream with the fewest own requests, one of them at random.
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
        let usable = usable_from(table, upstreams, request, 0).count();
        if usable == 0 {
            return None;
        }
        let position = below(rng, usable);
        usable_from(table, upstreams, request, 0)
            .nth(position)
            .map(|(_, upstream)| choice(upstream))
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
        Some(choice(upstream))
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
        // The scan starts anywhere and keeps the first minimum, so that ties are spread.
        let start = below(rng, upstreams.keys().len().max(1));
        usable_from(table, upstreams, request, start)
            .min_by_key(|(_, upstream)| table.own_requests(*upstream))
            .map(|(_, upstream)| choice(upstream))
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

const fn choice(upstream: UpstreamKey) -> PickResult {
    PickResult {
        upstream,
        reason: PickReason::Baseline,
        expected: Span::ZERO,
        runner_up: None,
        compared: 0,
    }
}
