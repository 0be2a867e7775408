//! Choice by expected completion time over sampled candidates.

use base::{Moment, Span, UpstreamKey, derive_copy};
use rand::Rng;

use crate::{
    PickPolicy, PickReason, PickRequest, PickResult, RouteUpstreams, UpstreamState, UpstreamTable,
    policy::below, upstream::UpstreamRow,
};

derive_copy! {
    /// Settings of the picker.
    pub struct PickerSettings {
        /// Candidates sampled from the own zone.
        pub own_zone_samples: u8,
        /// Candidates sampled from all other zones.
        pub other_zone_samples: u8,
        /// A prompt token costs this many thousandths of a generated token.
        pub prompt_cost: u32,
        /// A prefix owner is passed over when its expected wait exceeds the best sampled one's by
        /// more than this many hundredths.
        pub owner_load_bound: u32,
    }
}

/// Chooses the earliest expected completion among sampled candidates.
///
/// Comparing two or more random candidates follows Mitzenmacher, "The power of two choices in
/// randomized load balancing" (2001). Candidates are drawn in proportion to learned speed, since
/// uniform samples of mixed speeds hold only slow upstreams too often. The bound on the load of a
/// prefix owner follows Mirrokni et al., "Consistent hashing with bounded loads" (2018).
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamPicker {
    settings: PickerSettings,
}

/// Draws per wanted candidate before the picker gives up sampling.
const DRAWS_PER_SAMPLE: usize = 4;

#[derive(Debug, Clone, Copy)]
struct BestCandidates {
    best: Option<(UpstreamKey, f32)>,
    runner_up: Option<f32>,
    compared: u16,
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self { own_zone_samples: 2, other_zone_samples: 2, prompt_cost: 100, owner_load_bound: 125 }
    }
}

impl UpstreamPicker {
    /// Creates a picker.
    #[must_use]
    pub const fn new(settings: PickerSettings) -> Self {
        Self { settings }
    }

    fn work(&self, request: &PickRequest<'_>) -> f32 {
        let prompt = request.prompt_tokens as f32 * self.settings.prompt_cost as f32 / 1_000.0;
        request.tokens as f32 + prompt
    }

    fn sample(
        &self,
        found: &mut BestCandidates,
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
        let mut wanted = usize::from(samples).min(keys.len());
        for _ in 0..usize::from(samples) * DRAWS_PER_SAMPLE {
            if wanted == 0 {
                return;
            }
            let upstream = keys[below(rng, keys.len())];
            let Some(row) = table.row(upstream) else { continue };
            let accepted = rng.next_u32() as f32 * table.max_speed() <= row.speed * u32::MAX as f32;
            if !accepted || !request.accepts(upstream, row) {
                continue;
            }
            wanted -= 1;
            found.offer(upstream, cost(table, row, work));
        }
    }

    /// Returns the prefix owner that is not overloaded, with its cost in seconds.
    fn owner(
        &self,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        best: f32,
    ) -> Option<(UpstreamKey, f32)> {
        let bound = best * self.settings.owner_load_bound as f32 / 100.0;
        for upstream in upstreams.owners(request.prefix?) {
            let Some(row) = table.row(*upstream) else { continue };
            if !request.accepts(*upstream, row) {
                continue;
            }
            // The owner saves the work on the prompt.
            let time = cost(table, row, request.tokens as f32);
            if time <= bound {
                return Some((*upstream, time));
            }
        }
        None
    }

    fn scan(
        &self,
        table: &UpstreamTable,
        upstreams: &RouteUpstreams,
        request: &PickRequest<'_>,
        accepts: impl Fn(UpstreamKey, &UpstreamRow) -> bool,
    ) -> BestCandidates {
        let work = self.work(request);
        let mut found = BestCandidates::new();
        for upstream in upstreams.keys() {
            let Some(row) = table.row(*upstream) else { continue };
            if accepts(*upstream, row) {
                found.offer(*upstream, cost(table, row, work));
            }
        }
        found
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
        let mut found = BestCandidates::new();
        self.sample(&mut found, table, upstreams.own_zone(), own_zone_samples, request, rng);
        self.sample(&mut found, table, upstreams.other_zones(), other_zone_samples, request, rng);
        let Some((_, best)) = found.best else {
            let accepts = |upstream, row: &UpstreamRow| request.accepts(upstream, row);
            let found = self.scan(table, upstreams, request, accepts);
            if found.best.is_some() {
                return found.choice(PickReason::FullScan);
            }
            let accepts = |_, row: &UpstreamRow| is_last_resort(request, row);
            let found = self.scan(table, upstreams, request, accepts);
            return found.choice(PickReason::LastResort);
        };
        let Some((owner, time)) = self.owner(table, upstreams, request, best) else {
            return found.choice(PickReason::EarliestCompletion);
        };
        let compared = found.compared + 1;
        Some(PickResult {
            upstream: owner,
            reason: PickReason::PrefixOwner,
            expected: span(time),
            runner_up: Some(span(best)),
            compared,
        })
    }
}

impl BestCandidates {
    const fn new() -> Self {
        Self { best: None, runner_up: None, compared: 0 }
    }

    fn offer(&mut self, upstream: UpstreamKey, time: f32) {
        self.compared += 1;
        match self.best {
            // A candidate may be drawn twice.
            Some((best, _)) if best == upstream => (),
            Some((_, best)) if best <= time => {
                self.runner_up = Some(self.runner_up.map_or(time, |known| known.min(time)));
            }
            previous => {
                self.runner_up = previous.map(|(_, best)| best);
                self.best = Some((upstream, time));
            }
        }
    }

    fn choice(&self, reason: PickReason) -> Option<PickResult> {
        let (upstream, time) = self.best?;
        let runner_up = self.runner_up.map(span);
        let compared = self.compared;
        Some(PickResult { upstream, reason, expected: span(time), runner_up, compared })
    }
}

/// Upstreams under suspicion, and those that the request has tried, are better than a refusal.
fn is_last_resort(request: &PickRequest<'_>, row: &UpstreamRow) -> bool {
    matches!(row.state, UpstreamState::Up | UpstreamState::Suspect)
        && !row.reserved
        && request.accepts_version(row)
}

/// Time to completion in seconds by which candidates are compared, both ways of the network
/// included.
fn cost(table: &UpstreamTable, row: &UpstreamRow, work: f32) -> f32 {
    let network = table.zone_latency(row.properties.zone).0 as f32 * 2e-6;
    row.expected(work, table.own_weight(), table.mean_token_time()) + network
}

fn span(seconds: f32) -> Span {
    Span::from_micros((seconds * 1e6) as u64)
}
