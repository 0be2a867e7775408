//! Choice of the earliest expected completion among sampled candidates.

use base::{Moment, Span, UpstreamKey, derive_copy};
use rand::Rng;

use crate::{
    PickPolicy, PickReason, PickRequest, PickResult, RouteUpstreams, UpstreamState, UpstreamTable,
    policy::random_below, upstream::UpstreamRow,
};

derive_copy! {
    /// Settings of the picker.
    pub struct PickerSettings {
        /// Candidates sampled from this node's zone.
        pub own_zone_samples: u8,
        /// Candidates sampled from all other zones.
        pub other_zone_samples: u8,
        /// Cost of a prompt token in thousandths of that of a generated token.
        pub prompt_cost_permille: u32,
        /// Bound on a prefix owner's expected completion time, in percent of the best sampled
        /// candidate's. An owner above it is passed over.
        pub owner_load_bound_percent: u32,
    }
}

/// Chooses the upstream with the earliest expected completion among sampled candidates, or the
/// upstream that owns the prompt's prefix while its load permits.
///
/// Comparing two or more random candidates follows Mitzenmacher, "The power of two choices in
/// randomized load balancing" (2001). Candidates are drawn in proportion to their estimated speed,
/// since uniform samples from upstreams of mixed speeds too often hold only slow ones. The bound on
/// the load of a prefix owner follows Mirrokni et al., "Consistent hashing with bounded loads"
/// (2018).
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamPicker {
    settings: PickerSettings,
}

/// Random draws per wanted candidate. Draws that hit an upstream which does not accept the request,
/// or are rejected by its speed, yield no candidate.
const MAX_DRAWS_PER_SAMPLE: usize = 4;

/// The best of the candidates compared so far.
#[derive(Debug, Clone, Copy)]
struct BestCandidates {
    /// Best candidate with its expected completion time in seconds.
    best: Option<(UpstreamKey, f32)>,
    /// Expected completion time of the second best candidate in seconds.
    runner_up: Option<f32>,
    compared: u16,
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self {
            own_zone_samples: 2,
            other_zone_samples: 2,
            prompt_cost_permille: 100,
            owner_load_bound_percent: 125,
        }
    }
}

impl UpstreamPicker {
    /// Creates a picker.
    #[must_use]
    pub const fn new(settings: PickerSettings) -> Self {
        Self { settings }
    }

    /// Returns the work of a request in tokens, with the prompt by its cost.
    fn work(&self, request: &PickRequest<'_>) -> f32 {
        let prompt =
            request.prompt_tokens as f32 * self.settings.prompt_cost_permille as f32 / 1_000.0;
        request.tokens as f32 + prompt
    }

    /// Draws up to `samples` candidates from `keys` and compares them.
    fn compare_samples(
        &self,
        candidates: &mut BestCandidates,
        table: &UpstreamTable,
        keys: &[UpstreamKey],
        samples: u8,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) {
        if keys.is_empty() {
            return;
        }
        let work = self.work(request);
        let mut remaining = usize::from(samples).min(keys.len());
        for _ in 0..usize::from(samples) * MAX_DRAWS_PER_SAMPLE {
            if remaining == 0 {
                return;
            }
            let upstream = keys[random_below(rng, keys.len())];
            let Some(row) = table.row(upstream) else { continue };
            let accepted = rng.next_u32() as f32 * table.max_speed() <= row.speed * u32::MAX as f32;
            if !accepted || !request.accepts(upstream, row) {
                continue;
            }
            remaining -= 1;
            candidates.compare(upstream, completion_seconds(table, row, work));
        }
    }

    /// Returns the first owner of the prompt's prefix that is within the load bound, with its
    /// expected completion time in seconds.
    fn find_owner(
        &self,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        best: f32,
    ) -> Option<(UpstreamKey, f32)> {
        let bound = best * self.settings.owner_load_bound_percent as f32 / 100.0;
        for upstream in upstreams.owners(request.prefix?) {
            let Some(row) = table.row(*upstream) else { continue };
            if !request.accepts(*upstream, row) {
                continue;
            }
            // The owner has the prefix in its cache, so the prompt is not counted.
            let seconds = completion_seconds(table, row, request.tokens as f32);
            if seconds <= bound {
                return Some((*upstream, seconds));
            }
        }
        None
    }

    /// Compares all upstreams of the route that `accepts` admits.
    fn compare_all(
        &self,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        accepts: impl Fn(UpstreamKey, &UpstreamRow) -> bool,
    ) -> BestCandidates {
        let work = self.work(request);
        let mut candidates = BestCandidates::new();
        for upstream in upstreams.keys() {
            let Some(row) = table.row(*upstream) else { continue };
            if accepts(*upstream, row) {
                candidates.compare(*upstream, completion_seconds(table, row, work));
            }
        }
        candidates
    }
}

impl PickPolicy for UpstreamPicker {
    fn pick(
        &mut self,
        _now: Moment,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickResult> {
        let PickerSettings { own_zone_samples, other_zone_samples, .. } = self.settings;
        let mut candidates = BestCandidates::new();
        self.compare_samples(
            &mut candidates,
            table,
            upstreams.own_zone(),
            own_zone_samples,
            request,
            rng,
        );
        self.compare_samples(
            &mut candidates,
            table,
            upstreams.other_zones(),
            other_zone_samples,
            request,
            rng,
        );
        let Some((_, best)) = candidates.best else {
            let accepts = |upstream, row: &UpstreamRow| request.accepts(upstream, row);
            let candidates = self.compare_all(table, upstreams, request, accepts);
            if candidates.best.is_some() {
                return candidates.result(PickReason::FullScan);
            }
            let accepts = |_, row: &UpstreamRow| is_last_resort(request, row);
            let candidates = self.compare_all(table, upstreams, request, accepts);
            return candidates.result(PickReason::LastResort);
        };
        let Some((owner, seconds)) = self.find_owner(table, upstreams, request, best) else {
            return candidates.result(PickReason::EarliestCompletion);
        };
        let compared = candidates.compared + 1;
        Some(PickResult {
            upstream: owner,
            reason: PickReason::PrefixOwner,
            expected: span_from_seconds(seconds),
            runner_up: Some(span_from_seconds(best)),
            compared,
        })
    }
}

impl BestCandidates {
    const fn new() -> Self {
        Self { best: None, runner_up: None, compared: 0 }
    }

    fn compare(&mut self, upstream: UpstreamKey, seconds: f32) {
        self.compared += 1;
        match self.best {
            // The best candidate was drawn again.
            Some((best, _)) if best == upstream => (),
            Some((_, best)) if best <= seconds => {
                self.runner_up =
                    Some(self.runner_up.map_or(seconds, |runner_up| runner_up.min(seconds)));
            }
            previous => {
                self.runner_up = previous.map(|(_, best)| best);
                self.best = Some((upstream, seconds));
            }
        }
    }

    fn result(&self, reason: PickReason) -> Option<PickResult> {
        let (upstream, seconds) = self.best?;
        let runner_up = self.runner_up.map(span_from_seconds);
        let compared = self.compared;
        Some(PickResult {
            upstream,
            reason,
            expected: span_from_seconds(seconds),
            runner_up,
            compared,
        })
    }
}

/// Returns whether an upstream may serve the request when no other accepts it. Suspect upstreams
/// and those already tried are allowed, since trying them is better than refusing the request.
fn is_last_resort(request: &PickRequest<'_>, row: &UpstreamRow) -> bool {
    matches!(row.state, UpstreamState::Up | UpstreamState::Suspect)
        && !row.reserved
        && request.accepts_version(row)
}

/// Returns the expected completion time in seconds by which candidates are compared. It includes
/// the network latency in both directions.
fn completion_seconds(table: &UpstreamTable, row: &UpstreamRow, work: f32) -> f32 {
    let network = table.zone_latency(row.properties.zone).0 as f32 * 2e-6;
    row.expected_seconds(work, table.own_work_factor(), table.mean_token_time()) + network
}

fn span_from_seconds(seconds: f32) -> Span {
    Span::from_micros((seconds * 1e6) as u64)
}
