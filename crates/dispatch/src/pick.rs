//! Choice of an upstream for one request.

use base::{Moment, UpstreamKey, WeightVersion, derive_copy, rendezvous_weight};

use smallvec::SmallVec;

use crate::{HomeFilter, IdleConnections, UpstreamBalancer, stats::UpstreamStats};

derive_copy! {
    /// A model and the oldest weight version that may generate its tokens.
    pub struct ModelRequirement<'a> {
        /// Name of the model.
        pub model: &'a str,
        /// Oldest version that may be used.
        pub min_version: WeightVersion,
    }

    /// What a request is sent for.
    pub enum RequestOrigin {
        /// A caller, who may send the same request again at any node.
        Caller,
        /// An item or its reward call.
        Item,
    }

    /// Parameters of the choice of an upstream for a plain request.
    pub struct PlainPickRequest<'a> {
        /// Service that runs the request.
        pub service: &'a str,
        /// Availability zone of this node.
        pub zone: &'a str,
        /// Upstreams to which the request was sent before. They are used only when no other is
        /// left.
        pub tried: &'a [UpstreamKey],
        /// Idle connections of this node.
        pub connected: &'a IdleConnections,
        /// Whether the request was in flight on an upstream that crashed. It then goes to an
        /// upstream that runs nothing else, if there is one, so that no other request fails with
        /// it.
        pub suspect: bool,
        /// What the request is sent for.
        pub origin: RequestOrigin,
        /// Software version that the upstream must have, if the request resumes a stream.
        pub software_version: Option<&'a str>,
        /// Regions in which the upstream must be.
        pub home: HomeFilter<'a>,
        /// Seed of the jitter that keeps nodes with equal knowledge from the same choice.
        pub jitter_seed: u64,
    }

    /// Parameters of the choice of an engine for a generation.
    pub struct GenerationPickRequest<'a> {
        /// Service that runs the generation.
        pub service: &'a str,
        /// Model of the generation, and the oldest weight version that may generate its tokens.
        pub requirement: ModelRequirement<'a>,
        /// Software version that the engine must have, if the generation continues a text.
        pub software_version: Option<&'a str>,
        /// Regions in which the engine must be.
        pub home: HomeFilter<'a>,
        /// Engines on which the generation failed. They are used only when no other is left.
        pub tried: &'a [UpstreamKey],
        /// Engine that has the shared part of the prompt in its cache, if any.
        pub warm_engine: Option<UpstreamKey>,
        /// Idle connections of this node that no other placement of the round has claimed.
        pub connected: &'a IdleConnections,
        /// Seed of the jitter that keeps nodes with equal knowledge from the same choice.
        pub jitter_seed: u64,
    }
}

/// Response time assumed for a plain request while no upstream of its service has measurements, in
/// microseconds. Later the mean of the others is assumed for one without.
const ASSUMED_RESPONSE_US: f64 = 30_000.0;

/// Time between two events assumed for an engine without measurements, in microseconds.
const ASSUMED_EVENT_INTERVAL_US: f64 = 30_000.0;

/// Factor on the cost of an upstream in another availability zone, since zones can be cut off from
/// each other. It is below the factor of an upstream with half of its slots taken, so requests stay
/// in their zone until about then.
const OTHER_ZONE_FACTOR: f64 = 1.2;

/// Factor on the cost of an upstream in the availability zone of one on which the request failed or
/// got no response: the whole zone may be unreachable.
const TRIED_ZONE_FACTOR: f64 = 2.0;

/// Factor on the cost of an upstream that runs other requests, for a suspect request.
const SUSPECT_BUSY_FACTOR: f64 = 8.0;

/// Relative rise of an upstream's cost from no to all slots taken.
const FULL_SLOTS_COST_RISE: f64 = 0.5;

/// Relative slowdown of an engine's requests by each further running one.
const SLOWDOWN_PER_REQUEST: f64 = 0.04;

/// Largest relative jitter added to a cost, which keeps nodes with equal knowledge from the same
/// choice.
const MAX_JITTER: f64 = 0.15;

/// Factor on the cost of an upstream to which an idle connection is open, for a generation or a caller's
/// request. Opening a new one costs a round trip and, for a moment, a slot of the upstream. The factor
/// outweighs the zone, the jitter and an upstream whose slots are half taken, but not one that is full
/// or nearly twice as slow as others.
const CONNECTED_FACTOR: f64 = 0.65;

/// The same factor for a reward call. Nobody waits for a single one, so all slots of the connected
/// upstreams are taken before a connection to another one is opened.
const CONNECTED_REWARD_FACTOR: f64 = 0.4;

/// A running generation is migrated when the other engine's time between events is below this part
/// of the current one's. A migration costs some milliseconds for reading the prompt and text again,
/// and a new connection, which has a cost of its own (see [`CONNECTED_FACTOR`]). Engines of the
/// slower kinds stay above this bound, so their runs are migrated only for the time that they save.
const MAX_MIGRATION_INTERVAL_RATIO: f64 = 0.4;

/// A running generation is also migrated when that saves this time, in microseconds. A group is whole
/// no sooner than its longest item, so a long one on a slow engine delays its whole step.
const MIN_MIGRATION_GAIN_US: f64 = 1_000_000.0;

/// An engine that has the shared prompt in its cache is preferred while its cost is at most that of
/// the best engine times this.
const MAX_WARM_COST_RATIO: f64 = 1.2;

impl UpstreamBalancer {
    /// Chooses the upstream with the lowest cost for a plain request, or returns `None` when none
    /// is usable or has tokens left of its limit. Suspended upstreams, then those with a removed
    /// entry, then those tried before are used only when no other is left.
    #[must_use]
    pub fn pick_plain(&self, now: Moment, request: &PlainPickRequest<'_>) -> Option<UpstreamKey> {
        let tried_zones = request.tried.iter().map(|key| self.upstreams[*key].entry.zone.as_str());
        let tried_zones: SmallVec<[&str; 4]> = tried_zones.collect();
        let connected = match request.origin {
            RequestOrigin::Caller => CONNECTED_FACTOR,
            RequestOrigin::Item => CONNECTED_REWARD_FACTOR,
        };
        let assumed_us = self.mean_response_us(request.service);
        let mut best: Option<(u8, f64, UpstreamKey)> = None;
        for upstream in self.service_upstreams(request.service) {
            if !self.is_usable_at_home(now, *upstream, request.home)
                || !self.admits(now, *upstream, request.origin)
            {
                continue;
            }
            let stats = &self.upstreams[*upstream];
            if request
                .software_version
                .is_some_and(|version| version != stats.entry.software_version)
            {
                continue;
            }
            let rank = self.rank(now, *upstream, request.tried);
            let cost = plain_cost(now, stats, assumed_us, &tried_zones, request)
                * jitter(request.jitter_seed, *upstream)
                * connected_factor(request.connected, *upstream, connected);
            if best.is_none_or(|(best_rank, best_cost, _)| (rank, cost) < (best_rank, best_cost)) {
                best = Some((rank, cost, *upstream));
            }
        }
        best.map(|(_, _, upstream)| upstream)
    }

    /// Chooses the engine with the lowest cost and a free slot for a generation, or returns `None`
    /// while all are full, of another software version, suspended, without the weights or without
    /// tokens left of their limits. An engine with the shared prompt in its cache is preferred
    /// unless it costs much more than the best one.
    #[must_use]
    pub fn pick_generation(
        &self,
        now: Moment,
        request: &GenerationPickRequest<'_>,
    ) -> Option<UpstreamKey> {
        let mut best: Option<(u8, f64, UpstreamKey)> = None;
        let mut warm_engine = None;
        for upstream in self.service_upstreams(request.service) {
            let stats = &self.upstreams[*upstream];
            let other_software = request
                .software_version
                .is_some_and(|version| version != stats.entry.software_version);
            let paused = stats.is_model_paused(now, request.requirement.model);
            let full = stats.load(now) >= stats.entry.slots;
            // Waiting for a suspension to end is better than a run that fails to start.
            if other_software
                || paused
                || full
                || stats.is_suspended(now)
                || !self.accepts(now, *upstream, request.requirement)
                || !self.is_usable_at_home(now, *upstream, request.home)
                || !self.admits(now, *upstream, RequestOrigin::Item)
            {
                continue;
            }
            let rank = self.rank(now, *upstream, request.tried);
            let cost = generation_cost(now, stats)
                * jitter(request.jitter_seed, *upstream)
                * connected_factor(request.connected, *upstream, CONNECTED_FACTOR);
            if request.warm_engine == Some(*upstream) {
                warm_engine = Some((rank, cost, *upstream));
            }
            if best.is_none_or(|(best_rank, best_cost, _)| (rank, cost) < (best_rank, best_cost)) {
                best = Some((rank, cost, *upstream));
            }
        }
        let (rank, cost, upstream) = best?;
        match warm_engine {
            Some((warm_rank, warm_cost, warm_engine))
                if warm_rank == rank && warm_cost <= cost * MAX_WARM_COST_RATIO =>
            {
                Some(warm_engine)
            }
            _ => Some(upstream),
        }
    }

    /// Returns whether an engine is usable and has new enough weights for a generation, regardless
    /// of its load.
    #[must_use]
    pub fn accepts(
        &self,
        now: Moment,
        upstream: UpstreamKey,
        requirement: ModelRequirement<'_>,
    ) -> bool {
        let version = self.upstreams[upstream].entry.version(requirement.model);
        self.is_usable(now, upstream)
            && version.is_some_and(|version| version >= requirement.min_version)
    }

    /// Returns whether a generation that runs on the engine `from`, and is expected to send this many
    /// further events, should be migrated to the engine `to`, because measurements show it to be
    /// much faster or to end the generation much sooner.
    #[must_use]
    pub fn should_migrate(
        &self,
        now: Moment,
        from: UpstreamKey,
        to: UpstreamKey,
        remaining_events: u64,
    ) -> bool {
        let (from, to) = (&self.upstreams[from], &self.upstreams[to]);
        let (Some(from_interval), Some(to_interval)) = (from.event_interval, to.event_interval)
        else {
            return false;
        };
        let slowdown = 1.0 + SLOWDOWN_PER_REQUEST * f64::from(to.load(now));
        let to_interval = to_interval * slowdown * to.failure_factor();
        let gain = (from_interval - to_interval) * remaining_events as f64;
        to_interval < from_interval * MAX_MIGRATION_INTERVAL_RATIO || gain >= MIN_MIGRATION_GAIN_US
    }

    /// Returns the mean response time of the measured upstreams of a service, in microseconds.
    /// Requests of services differ much in their work, and a low value would send requests to each
    /// upstream in turn that has no measurements yet.
    fn mean_response_us(&self, service: &str) -> f64 {
        let (mut total, mut count) = (0.0, 0);
        for upstream in self.service_upstreams(service) {
            if let Some(time) = self.upstreams[*upstream].response_time {
                total += time;
                count += 1;
            }
        }
        if count == 0 { ASSUMED_RESPONSE_US } else { total / f64::from(count) }
    }

    /// Returns the rank of an upstream, which is compared before the cost; 0 is best. Suspension
    /// adds 1, a removed entry 2, and an earlier try 4.
    fn rank(&self, now: Moment, upstream: UpstreamKey, tried: &[UpstreamKey]) -> u8 {
        let stats = &self.upstreams[upstream];
        let mut rank = 0;
        if stats.is_suspended(now) {
            rank += 1;
        }
        if stats.removed_until.is_some() {
            rank += 2;
        }
        if tried.contains(&upstream) {
            rank += 4;
        }
        rank
    }
}

/// Returns the expected time of a plain request in microseconds, weighted by the zone factors.
/// `assumed_us` is the time assumed without measurements, and `tried_zones` holds the availability
/// zones of the upstreams tried before.
fn plain_cost(
    now: Moment,
    stats: &UpstreamStats,
    assumed_us: f64,
    tried_zones: &[&str],
    request: &PlainPickRequest<'_>,
) -> f64 {
    let time = stats.response_time.unwrap_or(assumed_us) * stats.failure_factor();
    let slots = f64::from(stats.entry.slots.max(1));
    let utilization = (f64::from(stats.load(now)) + 1.0) / slots;
    // With a free slot the request runs at once; without one it waits in proportion to the queue.
    let load_factor = if utilization <= 1.0 {
        1.0 + utilization * FULL_SLOTS_COST_RISE
    } else {
        (1.0 + FULL_SLOTS_COST_RISE) * utilization
    };
    let zone_factor = if stats.entry.zone == request.zone { 1.0 } else { OTHER_ZONE_FACTOR };
    let tried_zone_factor =
        if tried_zones.contains(&stats.entry.zone.as_str()) { TRIED_ZONE_FACTOR } else { 1.0 };
    let suspect_factor =
        if request.suspect && stats.load(now) > 0 { SUSPECT_BUSY_FACTOR } else { 1.0 };
    time * load_factor * zone_factor * tried_zone_factor * suspect_factor
}

/// Returns the expected time between two events of a generation in microseconds.
fn generation_cost(now: Moment, stats: &UpstreamStats) -> f64 {
    let time = stats.event_interval.unwrap_or(ASSUMED_EVENT_INTERVAL_US) * stats.failure_factor();
    time * (1.0 + SLOWDOWN_PER_REQUEST * f64::from(stats.load(now)))
}

fn connected_factor(connected: &IdleConnections, upstream: UpstreamKey, factor: f64) -> f64 {
    if connected.contains(upstream) { factor } else { 1.0 }
}

/// Returns a factor from 1 to 1 + [`MAX_JITTER`], which depends on the seed and the upstream.
fn jitter(seed: u64, upstream: UpstreamKey) -> f64 {
    let hash = rendezvous_weight(u64::from(upstream.0), seed) >> 11;
    1.0 + MAX_JITTER * (hash as f64 / (1u64 << 53) as f64)
}
