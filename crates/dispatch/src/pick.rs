//! Choice of an upstream for one request.

use base::{Moment, UpstreamKey, WeightVersion, derive_copy, rendezvous_weight};

use smallvec::SmallVec;

use crate::{UpstreamBalancer, stats::UpstreamStats};

derive_copy! {
    /// A model and the oldest version of its weights that may run a request.
    pub struct ModelRequirement<'a> {
        /// Name of the model.
        pub model: &'a str,
        /// Oldest version that may be used.
        pub min_version: WeightVersion,
    }

    /// A plain request that needs an upstream.
    pub struct PlainPickRequest<'a> {
        /// Service that runs the request.
        pub service: &'a str,
        /// Availability zone of this node.
        pub zone: &'a str,
        /// Upstreams that the request was sent to before.
        pub tried: &'a [UpstreamKey],
        /// Upstreams to which an idle connection is open.
        pub connected: &'a [UpstreamKey],
        /// Random number that spreads equal choices of several nodes.
        pub jitter_seed: u64,
    }

    /// A generation that needs an engine.
    pub struct GenerationPickRequest<'a> {
        /// Service that runs the generation.
        pub service: &'a str,
        /// Model and version.
        pub requirement: ModelRequirement<'a>,
        /// Engines that failed the generation. They are used only when no other is left.
        pub tried: &'a [UpstreamKey],
        /// Engine that has read the shared part of the prompt, if any.
        pub warm_engine: Option<UpstreamKey>,
        /// Engines to which an idle connection is open.
        pub connected: &'a [UpstreamKey],
        /// Random number that spreads equal choices of several nodes.
        pub jitter_seed: u64,
    }
}

/// Time of a plain request on an upstream of which nothing is known, in microseconds.
const ASSUMED_ANSWER: f64 = 30_000.0;

/// Time between two events of an engine of which nothing is known, in microseconds.
const ASSUMED_EVENT: f64 = 30_000.0;

/// Factor on the cost of an upstream in another availability zone. It is below that of an upstream at
/// half of its slots, so a zone's work stays there until then. Zones can be cut off from each other.
const ZONE_FACTOR: f64 = 1.2;

/// Factor on the cost of an upstream in the zone of one that has failed the request or is silent. The
/// zone may be out of reach.
const SAME_ZONE_FACTOR: f64 = 2.0;

/// Part by which the cost of an upstream has risen when all of its slots are taken.
const SLOT_RISE: f64 = 0.5;

/// Part by which each running request slows the others of an engine.
const SLOT_SLOWDOWN: f64 = 0.04;

/// Random part of a cost, which keeps nodes with equal knowledge from choosing alike.
const JITTER: f64 = 0.15;

/// Factor on the cost of an upstream to which an idle connection is open. Connections are priced, and
/// opening one costs a round trip.
const CONNECTED_FACTOR: f64 = 0.8;

/// A running generation is moved when the other engine needs less than this part of the time between
/// events. The prompt and text are read again, which takes some milliseconds, and the connection is
/// lost, which is priced; engines that were bought as slower ones stay above this bound.
const MOVE_BOUND: f64 = 0.4;

/// An engine that has read the shared prompt is preferred while its cost is below the best one's
/// times this.
const WARM_BOUND: f64 = 1.2;

impl UpstreamBalancer {
    /// Chooses the upstream with the least expected time for a plain request. Suspended upstreams,
    /// then those that failed the request, are used only when no other is left.
    #[must_use]
    pub fn pick_plain(&self, now: Moment, request: &PlainPickRequest<'_>) -> Option<UpstreamKey> {
        let tried = request.tried.iter().map(|key| self.upstreams[*key].entry.zone.as_str());
        let tried: SmallVec<[&str; 4]> = tried.collect();
        let mut best: Option<(u8, f64, UpstreamKey)> = None;
        for upstream in self.members(request.service) {
            if !self.is_usable(now, *upstream) {
                continue;
            }
            let row = &self.upstreams[*upstream];
            let rank = self.rank(now, *upstream, request.tried);
            let cost = plain_cost(now, row, &tried, request)
                * jitter(request.jitter_seed, *upstream)
                * connected_factor(request.connected, *upstream);
            if best.is_none_or(|(top, least, _)| (rank, cost) < (top, least)) {
                best = Some((rank, cost, *upstream));
            }
        }
        best.map(|(_, _, upstream)| upstream)
    }

    /// Chooses an engine with a free slot for a generation, or `None` while all are taken or suspended.
    #[must_use]
    pub fn pick_generation(
        &self,
        now: Moment,
        request: &GenerationPickRequest<'_>,
    ) -> Option<UpstreamKey> {
        let mut best: Option<(u8, f64, UpstreamKey)> = None;
        let mut warm_engine = None;
        for upstream in self.members(request.service) {
            let row = &self.upstreams[*upstream];
            let paused = row.is_model_paused(now, request.requirement.model);
            let full = row.load(now) >= row.entry.slots;
            // Waiting for a suspension to end is better than a run that cannot begin.
            if paused
                || full
                || row.is_suspended(now)
                || !self.accepts(now, *upstream, request.requirement)
            {
                continue;
            }
            let rank = self.rank(now, *upstream, request.tried);
            let cost = generation_cost(now, row)
                * jitter(request.jitter_seed, *upstream)
                * connected_factor(request.connected, *upstream);
            if request.warm_engine == Some(*upstream) {
                warm_engine = Some((rank, cost, *upstream));
            }
            if best.is_none_or(|(top, least, _)| (rank, cost) < (top, least)) {
                best = Some((rank, cost, *upstream));
            }
        }
        let (rank, cost, upstream) = best?;
        match warm_engine {
            Some((warm_rank, warm_cost, warm_engine))
                if warm_rank == rank && warm_cost <= cost * WARM_BOUND =>
            {
                Some(warm_engine)
            }
            _ => Some(upstream),
        }
    }

    /// Tells whether an engine may run a generation now, whatever its load.
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

    /// Tells whether a generation that runs on an engine should go on at another one, which is known to
    /// be much faster.
    #[must_use]
    pub fn should_migrate(&self, now: Moment, from: UpstreamKey, to: UpstreamKey) -> bool {
        let (from, to) = (&self.upstreams[from], &self.upstreams[to]);
        let (Some(slow), Some(fast)) = (from.event_time, to.event_time) else { return false };
        let added = 1.0 + SLOT_SLOWDOWN * f64::from(to.load(now));
        fast * added * to.failure_factor() < slow * MOVE_BOUND
    }

    fn rank(&self, now: Moment, upstream: UpstreamKey, tried: &[UpstreamKey]) -> u8 {
        let row = &self.upstreams[upstream];
        let mut rank = 0;
        if row.is_suspended(now) {
            rank += 1;
        }
        if row.removed_until.is_some() {
            rank += 2;
        }
        if tried.contains(&upstream) {
            rank += 4;
        }
        rank
    }
}

fn plain_cost(
    now: Moment,
    row: &UpstreamStats,
    tried: &[&str],
    request: &PlainPickRequest<'_>,
) -> f64 {
    let time = row.answer_time.unwrap_or(ASSUMED_ANSWER) * row.failure_factor();
    let slots = f64::from(row.entry.slots.max(1));
    let share = f64::from(row.load(now) + 1) / slots;
    // A free slot runs the request at once; beyond that it waits for its share of the queue.
    let wait = if share <= 1.0 { 1.0 + share * SLOT_RISE } else { (1.0 + SLOT_RISE) * share };
    let zone = if row.entry.zone == request.zone { 1.0 } else { ZONE_FACTOR };
    let again = if tried.contains(&row.entry.zone.as_str()) { SAME_ZONE_FACTOR } else { 1.0 };
    time * wait * zone * again
}

fn generation_cost(now: Moment, row: &UpstreamStats) -> f64 {
    let time = row.event_time.unwrap_or(ASSUMED_EVENT) * row.failure_factor();
    time * (1.0 + SLOT_SLOWDOWN * f64::from(row.load(now)))
}

fn connected_factor(connected: &[UpstreamKey], upstream: UpstreamKey) -> f64 {
    if connected.contains(&upstream) { CONNECTED_FACTOR } else { 1.0 }
}

fn jitter(seed: u64, upstream: UpstreamKey) -> f64 {
    let weight = rendezvous_weight(u64::from(upstream.0), seed) >> 11;
    1.0 + JITTER * (weight as f64 / (1u64 << 53) as f64)
}
