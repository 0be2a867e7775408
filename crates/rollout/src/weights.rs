//! Scheduling of weight loads within the rate limit of the weight store, while most engines of a
//! zone stay in service.

use std::collections::BTreeMap;

use base::{Moment, Span, UpstreamKey, WeightVersion, ZoneKey, derive_value};
use smallvec::SmallVec;

const MIN_RETRY_DELAY: Span = Span::from_millis(500);
const MAX_RETRY_DELAY: Span = Span::from_secs(60);

/// Settings of a [`WeightScheduler`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightSettings {
    /// Maximum share of the engines of one service and zone that replace their weights at the same
    /// time, from 0 to 1. At least one engine may always do so.
    pub max_swapping_share: f64,
    /// Rate of the token bucket for loads: loads per second that the store admits for this
    /// scheduler.
    pub loads_per_second: f64,
    /// Size of the token bucket: number of loads that may start at the same time.
    pub burst: u32,
    /// Time after which a load counts as failed if the engine has not reported the version.
    pub load_timeout: Span,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            max_swapping_share: 0.34,
            loads_per_second: 50.0,
            burst: 4,
            load_timeout: Span::from_secs(30),
        }
    }
}

derive_value! {
    /// Output of [`WeightScheduler::poll`], to be carried out by the caller.
    pub enum WeightAction {
        /// Tell the engine to load a version.
        Load {
            /// The engine.
            upstream: UpstreamKey,
            /// The version.
            version: WeightVersion,
        },
        /// The engine did not report the version within the load timeout. The load is retried after
        /// a backoff.
        Failed {
            /// The engine.
            upstream: UpstreamKey,
            /// The version.
            version: WeightVersion,
        },
    }

    /// State of an engine in the scheduler.
    pub struct EngineWeights {
        /// Service of the engine.
        pub service: String,
        /// Zone of the engine.
        pub zone: ZoneKey,
        /// Weight version in the engine's last report.
        pub reported: Option<WeightVersion>,
        /// The ordered load, not reported as done yet, with its deadline.
        pub loading: Option<(WeightVersion, Moment)>,
        /// Number of samples that wait for a newer version on this engine.
        pub waiting: u32,
        failures: u32,
        retry_at: Moment,
    }
}

/// Decides which engine loads the target version of its service next.
#[derive(Debug, Clone)]
pub struct WeightScheduler {
    settings: WeightSettings,
    engines: BTreeMap<UpstreamKey, EngineWeights>,
    targets: BTreeMap<String, WeightVersion>,
    tokens: f64,
    refilled_at: Moment,
    paused_until: Moment,
}

impl WeightScheduler {
    /// Creates a scheduler without engines and with a full token bucket.
    #[must_use]
    pub fn new(now: Moment, settings: WeightSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            targets: BTreeMap::new(),
            tokens: f64::from(settings.burst),
            refilled_at: now,
            paused_until: now,
        }
    }

    /// Adds an engine, or moves it to another service or zone. Its state is reset when it moves.
    pub fn engine_joined(&mut self, upstream: UpstreamKey, service: &str, zone: ZoneKey) {
        let known = self.engines.get(&upstream);
        if known.is_some_and(|engine| engine.service == service && engine.zone == zone) {
            return;
        }
        let engine = EngineWeights {
            service: String::from(service),
            zone,
            reported: None,
            loading: None,
            waiting: 0,
            failures: 0,
            retry_at: Moment(0),
        };
        self.engines.insert(upstream, engine);
    }

    /// Removes an engine.
    pub fn engine_left(&mut self, upstream: UpstreamKey) {
        self.engines.remove(&upstream);
    }

    /// Sets the target version of the engines of `service`. A version below the current target is
    /// ignored.
    pub fn set_target(&mut self, service: &str, version: WeightVersion) {
        let target = self.targets.entry(String::from(service)).or_insert(version);
        *target = (*target).max(version);
    }

    /// Records the version in an engine's report. A load counts as done only by such a report.
    pub fn reported(&mut self, upstream: UpstreamKey, version: WeightVersion) {
        let Some(engine) = self.engines.get_mut(&upstream) else { return };
        engine.reported = Some(version);
        if engine.loading.is_some_and(|(wanted, _)| version >= wanted) {
            engine.loading = None;
            engine.failures = 0;
        }
    }

    /// Sets the number of samples that wait for a newer version on this engine. Engines with more
    /// waiting samples load first.
    pub fn set_waiting(&mut self, upstream: UpstreamKey, samples: u32) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.waiting = samples;
        }
    }

    /// Records that the engine refused or failed its load. It is retried after a backoff.
    pub fn load_failed(&mut self, now: Moment, upstream: UpstreamKey) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.schedule_retry(now);
        }
    }

    /// Records that the store refused a load, and starts no load within `retry_after`.
    pub fn store_refused(&mut self, now: Moment, retry_after: Span) {
        self.paused_until = self.paused_until.max(now + retry_after);
    }

    /// Returns the loads to start now and those that timed out.
    pub fn poll(&mut self, now: Moment) -> SmallVec<[WeightAction; 4]> {
        let mut actions = SmallVec::new();
        self.expire_loads(now, &mut actions);
        self.refill(now);
        if now < self.paused_until {
            return actions;
        }
        for upstream in self.candidates(now) {
            if self.tokens < 1.0 {
                break;
            }
            let Some(engine) = self.engines.get(&upstream) else { continue };
            let (swapping, max_swapping) = self.swap_counts(&engine.service, engine.zone);
            let Some(&version) = self.targets.get(&engine.service) else { continue };
            if engine.reported.is_some() && swapping >= max_swapping {
                continue;
            }
            self.tokens -= 1.0;
            let deadline = now + self.settings.load_timeout;
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.loading = Some((version, deadline));
            }
            actions.push(WeightAction::Load { upstream, version });
        }
        actions
    }

    /// Returns when [`WeightScheduler::poll`] must be called next, or `None` if it has nothing to
    /// do until another method is called.
    #[must_use]
    pub fn next_deadline(&self, now: Moment) -> Option<Moment> {
        let deadlines = self.engines.values().filter_map(|engine| Some(engine.loading?.1));
        let needing_load = self.engines.values().filter(|engine| self.needs_load(engine));
        let retries = needing_load.filter(|engine| {
            let (swapping, max_swapping) = self.swap_counts(&engine.service, engine.zone);
            engine.reported.is_none() || swapping < max_swapping
        });
        let missing = (1.0 - self.tokens).max(0.0) / self.settings.loads_per_second.max(1e-6);
        let token = self.refilled_at + Span((missing * 1e6).ceil() as u64);
        let earliest = token.max(self.paused_until);
        let retries = retries.map(|engine| engine.retry_at.max(earliest));
        deadlines.chain(retries).min().map(|at| at.max(now))
    }

    /// Returns whether the engine may start a new sample of a trainer with the current version
    /// `trainer_version`, which is expected to be `lead` versions higher when the sample is
    /// delivered.
    ///
    /// The engine may not while it loads weights, before it has reported a version, or if its
    /// version would then be further behind than `staleness_bound` versions.
    #[must_use]
    pub fn may_take(
        &self,
        upstream: UpstreamKey,
        trainer_version: WeightVersion,
        staleness_bound: u64,
        lead: u64,
    ) -> bool {
        let Some(engine) = self.engines.get(&upstream) else { return false };
        let Some(reported) = engine.reported else { return false };
        engine.loading.is_none() && reported.0 + staleness_bound >= trainer_version.0 + lead
    }

    /// Returns the state of an engine, or `None` if it is unknown.
    #[must_use]
    pub fn engine(&self, upstream: UpstreamKey) -> Option<&EngineWeights> {
        self.engines.get(&upstream)
    }

    fn needs_load(&self, engine: &EngineWeights) -> bool {
        let target = self.targets.get(&engine.service);
        let behind = target.is_some_and(|&target| engine.reported < Some(target));
        behind && engine.loading.is_none()
    }

    /// Returns the engines whose load is due, ordered by most waiting samples, then fewest
    /// failures, then oldest version.
    fn candidates(&self, now: Moment) -> Vec<UpstreamKey> {
        let needing_load = self.engines.iter().filter(|(_, engine)| self.needs_load(engine));
        let due = needing_load.filter(|(_, engine)| engine.retry_at <= now);
        let mut order: Vec<_> = due
            .map(|(&upstream, e)| ((u32::MAX - e.waiting, e.failures, e.reported), upstream))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// Returns how many engines of the service and zone replace their weights now, and how many may
    /// at most.
    ///
    /// An engine without a reported version serves no requests, so its load does not count.
    fn swap_counts(&self, service: &str, zone: ZoneKey) -> (usize, usize) {
        let peers = self.engines.values().filter(|e| e.service == service && e.zone == zone);
        let (mut total, mut swapping) = (0, 0);
        for engine in peers {
            total += 1;
            swapping += usize::from(engine.loading.is_some() && engine.reported.is_some());
        }
        // At least one engine may replace its weights, otherwise a service with two engines in a
        // zone would never load a new version.
        let max_swapping = (total as f64 * self.settings.max_swapping_share) as usize;
        (swapping, max_swapping.max(1))
    }

    fn expire_loads(&mut self, now: Moment, actions: &mut SmallVec<[WeightAction; 4]>) {
        for (&upstream, engine) in &mut self.engines {
            let Some((version, deadline)) = engine.loading else { continue };
            if deadline <= now {
                engine.schedule_retry(now);
                actions.push(WeightAction::Failed { upstream, version });
            }
        }
    }

    fn refill(&mut self, now: Moment) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.settings.loads_per_second;
        self.tokens = (self.tokens + gained).min(f64::from(self.settings.burst.max(1)));
        self.refilled_at = self.refilled_at.max(now);
    }
}

impl EngineWeights {
    fn schedule_retry(&mut self, now: Moment) {
        let delay = Span(MIN_RETRY_DELAY.0 << self.failures.min(7)).min(MAX_RETRY_DELAY);
        self.loading = None;
        self.failures += 1;
        self.retry_at = now + delay;
    }
}
