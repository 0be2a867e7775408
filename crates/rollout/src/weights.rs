//! Weight loads under the store's rate limit, keeping most engines of a zone in service.

use std::collections::BTreeMap;

use base::{Moment, Span, UpstreamKey, WeightVersion, ZoneKey, derive_value};
use smallvec::SmallVec;

const FIRST_RETRY: Span = Span::from_millis(500);
const LONGEST_RETRY: Span = Span::from_secs(60);

/// Settings of a [`WeightScheduler`]. The public fields have the defaults of the design.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightSettings {
    /// Largest share of the engines of one service and zone that swap at once.
    pub max_swapping_share: f64,
    /// Loads per second that the store admits for this plan.
    pub loads_per_second: f64,
    /// Loads that may start at the same moment.
    pub burst: u32,
    /// Time after which a load without a report of the version counts as failed.
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
    /// What the caller must do.
    pub enum WeightAction {
        /// Tell the engine to load a version.
        Load {
            /// The engine.
            upstream: UpstreamKey,
            /// The version.
            version: WeightVersion,
        },
        /// A load was not reported in time and is tried again after a wait.
        Failed {
            /// The engine.
            upstream: UpstreamKey,
            /// The version.
            version: WeightVersion,
        },
    }

    /// An engine as the plan knows it.
    pub struct EngineWeights {
        /// Service of the engine.
        pub service: String,
        /// Zone of the engine.
        pub zone: ZoneKey,
        /// Version in the engine's last report.
        pub reported: Option<WeightVersion>,
        /// The load that was ordered and not reported yet, with its deadline.
        pub loading: Option<(WeightVersion, Moment)>,
        /// Samples that wait for the new version on this engine.
        pub waiting: u32,
        failures: u32,
        retry_at: Moment,
    }
}

/// Decides which engine loads the announced version next.
#[derive(Debug, Clone)]
pub struct WeightScheduler {
    settings: WeightSettings,
    engines: BTreeMap<UpstreamKey, EngineWeights>,
    targets: BTreeMap<String, WeightVersion>,
    tokens: f64,
    refilled: Moment,
    paused_until: Moment,
}

impl WeightScheduler {
    /// Creates a plan without engines.
    #[must_use]
    pub fn new(now: Moment, settings: WeightSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            targets: BTreeMap::new(),
            tokens: f64::from(settings.burst),
            refilled: now,
            paused_until: now,
        }
    }

    /// Notes an engine, or its move to another service.
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

    /// Forgets an engine.
    pub fn engine_left(&mut self, upstream: UpstreamKey) {
        self.engines.remove(&upstream);
    }

    /// Sets the version that the engines of `service` should hold. A lower one is ignored.
    pub fn set_target(&mut self, service: &str, version: WeightVersion) {
        let target = self.targets.entry(String::from(service)).or_insert(version);
        *target = (*target).max(version);
    }

    /// Takes the version from an engine's report. Only this makes a load count as done.
    pub fn reported(&mut self, upstream: UpstreamKey, version: WeightVersion) {
        let Some(engine) = self.engines.get_mut(&upstream) else { return };
        engine.reported = Some(version);
        if engine.loading.is_some_and(|(wanted, _)| version >= wanted) {
            engine.loading = None;
            engine.failures = 0;
        }
    }

    /// Sets how many samples wait for a newer version on this engine.
    pub fn set_waiting(&mut self, upstream: UpstreamKey, samples: u32) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.waiting = samples;
        }
    }

    /// Notes that the engine refused or failed its load.
    pub fn load_failed(&mut self, now: Moment, upstream: UpstreamKey) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.fail(now);
        }
    }

    /// Notes that the store asked to wait before the next load.
    pub fn store_refused(&mut self, now: Moment, retry_after: Span) {
        self.paused_until = self.paused_until.max(now + retry_after);
    }

    /// Returns the loads to start now and those that were not reported in time.
    pub fn poll(&mut self, now: Moment) -> SmallVec<[WeightAction; 4]> {
        let mut actions = SmallVec::new();
        self.expire(now, &mut actions);
        self.refill(now);
        if now < self.paused_until {
            return actions;
        }
        for upstream in self.candidates(now) {
            if self.tokens < 1.0 {
                break;
            }
            let Some(engine) = self.engines.get(&upstream) else { continue };
            let (swapping, bound) = self.swapping(&engine.service, engine.zone);
            let Some(&version) = self.targets.get(&engine.service) else { continue };
            if engine.reported.is_some() && swapping >= bound {
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

    /// Returns when [`WeightScheduler::poll`] has work next, or `None` when it waits for an event.
    #[must_use]
    pub fn next_deadline(&self, now: Moment) -> Option<Moment> {
        let deadlines = self.engines.values().filter_map(|engine| Some(engine.loading?.1));
        let wanting = self.engines.values().filter(|engine| self.wants_load(engine));
        let retries = wanting.filter(|engine| {
            let (swapping, bound) = self.swapping(&engine.service, engine.zone);
            engine.reported.is_none() || swapping < bound
        });
        let missing = (1.0 - self.tokens).max(0.0) / self.settings.loads_per_second.max(1e-6);
        let token = self.refilled + Span((missing * 1e6).ceil() as u64);
        let earliest = token.max(self.paused_until);
        let retries = retries.map(|engine| engine.retry_at.max(earliest));
        deadlines.chain(retries).min().map(|at| at.max(now))
    }

    /// Tells whether the engine may take a new sample of a trainer that is at version `trainer` and
    /// is expected to be `lead` versions further when the sample is delivered.
    #[must_use]
    pub fn may_take(
        &self,
        upstream: UpstreamKey,
        trainer: WeightVersion,
        staleness_bound: u64,
        lead: u64,
    ) -> bool {
        let Some(engine) = self.engines.get(&upstream) else { return false };
        let Some(reported) = engine.reported else { return false };
        engine.loading.is_none() && reported.0 + staleness_bound >= trainer.0 + lead
    }

    /// Returns the state of an engine.
    #[must_use]
    pub fn engine(&self, upstream: UpstreamKey) -> Option<&EngineWeights> {
        self.engines.get(&upstream)
    }

    fn wants_load(&self, engine: &EngineWeights) -> bool {
        let target = self.targets.get(&engine.service);
        let behind = target.is_some_and(|&target| engine.reported < Some(target));
        behind && engine.loading.is_none()
    }

    /// Returns the engines that should load, those with waiting samples and the oldest version first.
    fn candidates(&self, now: Moment) -> Vec<UpstreamKey> {
        let wanting = self.engines.iter().filter(|(_, engine)| self.wants_load(engine));
        let due = wanting.filter(|(_, engine)| engine.retry_at <= now);
        let mut order: Vec<_> = due
            .map(|(&upstream, e)| ((u32::MAX - e.waiting, e.failures, e.reported), upstream))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// Returns how many engines of the service and zone swap now, and how many may.
    ///
    /// An engine without a reported version serves nothing, so its load takes no capacity away.
    fn swapping(&self, service: &str, zone: ZoneKey) -> (usize, usize) {
        let peers = self.engines.values().filter(|e| e.service == service && e.zone == zone);
        let (mut all, mut swapping) = (0, 0);
        for engine in peers {
            all += 1;
            swapping += usize::from(engine.loading.is_some() && engine.reported.is_some());
        }
        // One engine may always swap; a service with two engines in a zone would never load.
        let bound = (all as f64 * self.settings.max_swapping_share) as usize;
        (swapping, bound.max(1))
    }

    fn expire(&mut self, now: Moment, actions: &mut SmallVec<[WeightAction; 4]>) {
        for (&upstream, engine) in &mut self.engines {
            let Some((version, deadline)) = engine.loading else { continue };
            if deadline <= now {
                engine.fail(now);
                actions.push(WeightAction::Failed { upstream, version });
            }
        }
    }

    fn refill(&mut self, now: Moment) {
        let gained = now.since(self.refilled).as_secs_f64() * self.settings.loads_per_second;
        self.tokens = (self.tokens + gained).min(f64::from(self.settings.burst.max(1)));
        self.refilled = self.refilled.max(now);
    }
}

impl EngineWeights {
    fn fail(&mut self, now: Moment) {
        let wait = Span(FIRST_RETRY.0 << self.failures.min(7)).min(LONGEST_RETRY);
        self.loading = None;
        self.failures += 1;
        self.retry_at = now + wait;
    }
}
