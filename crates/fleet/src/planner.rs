//! Desired number of regular and cheap upstreams per service and zone.

mod mix;

use std::collections::BTreeMap;

use base::{Moment, Span, ZoneKey, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::planner::mix::{Bounds, ZonePools, apportion, choose_mix};

/// How long no cheap upstreams are planned in a zone after a reclaim or a refused order.
const CHEAP_PAUSE: Span = Span::from_secs(600);

/// Upper bound on the upstreams of a pool, which bounds the search for a mix whatever the settings
/// and the demand are.
const MAX_POOL_SIZE: u32 = 10_000;

derive_copy! {
    /// Whether an upstream is regular or cheap (reclaimable).
    pub enum PriceClass {
        /// Runs until it is ordered to stop.
        Regular,
        /// Costs less, but the platform can reclaim it with seconds of notice, and sometimes has
        /// none.
        Cheap,
    }

    /// Upstreams of one service, zone and price class that can be ordered.
    pub struct PoolSettings {
        /// The zone.
        pub zone: ZoneKey,
        /// The price class.
        pub price_class: PriceClass,
        /// Lowest number of upstreams, which always run.
        pub min: u32,
        /// Largest number of upstreams.
        pub max: u32,
        /// Price of an upstream per hour, in a unit that is the same for all pools.
        pub price: u32,
        /// Time from an order until the upstream serves requests.
        pub startup: Span,
    }

    /// Desired number of upstreams of one service in one zone.
    pub struct DesiredCounts {
        /// Regular upstreams.
        pub regular: u32,
        /// Cheap upstreams.
        pub cheap: u32,
    }
}

derive_value! {
    /// Number of upstreams of one service, zone and price class in the platform's list.
    pub struct UpstreamCount {
        /// Name of the service.
        pub service: String,
        /// The zone.
        pub zone: ZoneKey,
        /// The price class.
        pub price_class: PriceClass,
        /// Upstreams that are running or starting, including those of unfinished orders and
        /// excluding those that are leaving.
        pub count: u32,
    }

    /// An order that the caller must give to the platform.
    pub enum FleetAction {
        /// Start upstreams.
        Start {
            /// Name of the service.
            service: String,
            /// The zone.
            zone: ZoneKey,
            /// The price class.
            price_class: PriceClass,
            /// Number of upstreams.
            count: u32,
        },
        /// Drain and stop upstreams.
        Stop {
            /// Name of the service.
            service: String,
            /// The zone.
            zone: ZoneKey,
            /// The price class.
            price_class: PriceClass,
            /// Number of upstreams.
            count: u32,
        },
    }
}

/// Highest forecast of one service and zone over [`FleetPlanner::lookahead`].
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneForecast {
    /// Name of the service.
    pub service: String,
    /// The zone.
    pub zone: ZoneKey,
    /// Demand of live requests, whose callers wait.
    pub live: f64,
    /// Demand of samples and other work that can be resumed.
    pub samples: f64,
}

/// Settings of one service. The unit of `capacity` is that of the demand.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub service: String,
    /// Demand that one upstream can serve.
    pub capacity: f64,
    /// Planned utilization of the capacity, from 0 to 1.
    pub utilization: f64,
    /// Utilization by live requests that is allowed after one zone has lost its cheap upstreams.
    pub utilization_after_loss: f64,
    /// Smallest share of the upstreams for live requests that must be regular, from 0 to 1.
    pub min_regular_share: f64,
    /// How long fewer upstreams must be desired before any is stopped.
    pub stop_hold: Span,
    /// Pools from which upstreams can be ordered, at most one per zone and price class.
    pub pools: Vec<PoolSettings>,
}

impl ServiceSettings {
    /// Returns settings with default utilizations, regular share and stop hold.
    #[must_use]
    pub fn new(
        service: impl Into<String>,
        capacity: f64,
        pools: impl IntoIterator<Item = PoolSettings>,
    ) -> Self {
        Self {
            service: service.into(),
            capacity,
            utilization: 0.75,
            utilization_after_loss: 0.9,
            min_regular_share: 0.4,
            stop_hold: Span::from_secs(900),
            pools: pools.into_iter().collect(),
        }
    }

    fn pool(&self, zone: ZoneKey, price_class: PriceClass) -> Bounds {
        let pool =
            self.pools.iter().find(|pool| pool.zone == zone && pool.price_class == price_class);
        pool.map_or(Bounds::NONE, |pool| Bounds {
            min: pool.min.min(MAX_POOL_SIZE),
            max: pool.max.min(MAX_POOL_SIZE),
            price: pool.price,
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Surplus {
    since: Moment,
    /// Highest number desired since then.
    desired: u32,
}

type CountKey = (String, ZoneKey, PriceClass);

/// Computes desired counts and orders of all services, over the zones that this node can reach.
#[derive(Debug, Clone, Default)]
pub struct FleetPlanner {
    services: BTreeMap<String, ServiceSettings>,
    zones: Vec<ZoneKey>,
    cheap_paused: BTreeMap<ZoneKey, Moment>,
    surplus: BTreeMap<CountKey, Surplus>,
    desired: BTreeMap<(String, ZoneKey), DesiredCounts>,
}

impl FleetPlanner {
    /// Creates a planner over `zones` without services.
    #[must_use]
    pub fn new(zones: impl IntoIterator<Item = ZoneKey>) -> Self {
        Self { zones: zones.into_iter().collect(), ..Self::default() }
    }

    /// Replaces the zones. For zones that remain, pauses of cheap upstreams and stop holds
    /// continue.
    pub fn set_zones(&mut self, zones: impl IntoIterator<Item = ZoneKey>) {
        self.zones = zones.into_iter().collect();
        let zones = &self.zones;
        self.desired.retain(|(_, zone), _| zones.contains(zone));
        self.surplus.retain(|(_, zone, _), _| zones.contains(zone));
    }

    /// Adds a service or replaces its settings.
    pub fn set_service(&mut self, settings: ServiceSettings) {
        self.services.insert(settings.service.clone(), settings);
    }

    /// Removes a service. Its running upstreams are left to the caller.
    pub fn remove_service(&mut self, service: &str) {
        self.services.remove(service);
        self.desired.retain(|(name, _), _| name != service);
        self.surplus.retain(|(name, _, _), _| name != service);
    }

    /// Returns the horizon of the forecasts to pass to [`FleetPlanner::plan`]: the longest startup
    /// time of the service plus the stop hold. An upstream that will be needed again within this
    /// time is not stopped.
    #[must_use]
    pub fn lookahead(&self, service: &str) -> Span {
        let Some(settings) = self.services.get(service) else { return Span::ZERO };
        let startup = settings.pools.iter().map(|pool| pool.startup).max();
        startup.unwrap_or(Span::ZERO) + settings.stop_hold
    }

    /// Notes that the platform reclaims the cheap upstreams of `zone`. The caller sends them no
    /// more work, leaves them out of the counts and calls [`FleetPlanner::plan`] at once for
    /// replacements.
    pub fn record_reclaim(&mut self, now: Moment, zone: ZoneKey) {
        self.cheap_paused.insert(zone, now + CHEAP_PAUSE);
    }

    /// Notes that the platform refused an order of cheap upstreams in `zone`.
    pub fn record_cheap_refusal(&mut self, now: Moment, zone: ZoneKey) {
        self.record_reclaim(now, zone);
    }

    /// Compares the desired counts with `counts` and returns the orders that make up the
    /// difference. Starts are ordered at once, stops only after fewer upstreams were desired for
    /// the whole stop hold.
    pub fn plan(
        &mut self,
        now: Moment,
        forecasts: &[ZoneForecast],
        counts: &[UpstreamCount],
    ) -> SmallVec<[FleetAction; 4]> {
        let mut actions = SmallVec::new();
        self.cheap_paused.retain(|_, until| *until > now);
        for settings in self.services.values() {
            let desired = self.desired_counts(settings, forecasts);
            for (&zone, desired) in self.zones.iter().zip(desired) {
                self.desired.insert((settings.service.clone(), zone), desired);
                for (price_class, desired) in
                    [(PriceClass::Regular, desired.regular), (PriceClass::Cheap, desired.cheap)]
                {
                    let key = (settings.service.clone(), zone, price_class);
                    let current = current_count(counts, &key);
                    if desired >= current {
                        self.surplus.remove(&key);
                    }
                    if desired > current {
                        let (service, count) = (key.0, desired - current);
                        actions.push(FleetAction::Start { service, zone, price_class, count });
                        continue;
                    }
                    if desired == current {
                        continue;
                    }
                    let new_surplus = Surplus { since: now, desired };
                    let surplus = self.surplus.entry(key.clone()).or_insert(new_surplus);
                    surplus.desired = surplus.desired.max(desired);
                    if now.since(surplus.since) < settings.stop_hold {
                        continue;
                    }
                    let count = current.saturating_sub(surplus.desired);
                    self.surplus.remove(&key);
                    if count > 0 {
                        actions.push(FleetAction::Stop {
                            service: key.0,
                            zone,
                            price_class,
                            count,
                        });
                    }
                }
            }
        }
        actions
    }

    /// Returns the desired counts of a zone that the last call to [`FleetPlanner::plan`] computed.
    #[must_use]
    pub fn desired(&self, service: &str, zone: ZoneKey) -> Option<DesiredCounts> {
        self.desired.get(&(String::from(service), zone)).copied()
    }

    /// Computes the desired counts of a service, in the order of the zones.
    fn desired_counts(
        &self,
        settings: &ServiceSettings,
        forecasts: &[ZoneForecast],
    ) -> Vec<DesiredCounts> {
        let mut live = vec![0.0; self.zones.len()];
        let mut total = 0.0;
        for forecast in forecasts.iter().filter(|f| f.service == settings.service) {
            let Some(index) = self.zones.iter().position(|&zone| zone == forecast.zone) else {
                continue;
            };
            live[index] += forecast.live.max(0.0);
            total += forecast.live.max(0.0) + forecast.samples.max(0.0);
        }
        let pools: Vec<_> = self.zones.iter().map(|&zone| self.pools_of(settings, zone)).collect();
        let mix = choose_mix(settings, live.iter().sum(), total, &pools);
        let regular = apportion(mix.regular, &live, &pools);
        let desired = regular.into_iter().zip(mix.cheap);
        desired.map(|(regular, cheap)| DesiredCounts { regular, cheap }).collect()
    }

    fn pools_of(&self, settings: &ServiceSettings, zone: ZoneKey) -> ZonePools {
        let is_paused = self.cheap_paused.contains_key(&zone);
        let cheap = settings.pool(zone, PriceClass::Cheap);
        ZonePools {
            regular: settings.pool(zone, PriceClass::Regular),
            cheap: if is_paused { Bounds::NONE } else { cheap },
        }
    }
}

fn current_count(counts: &[UpstreamCount], key: &CountKey) -> u32 {
    let (service, zone, price_class) = key;
    let matching = counts
        .iter()
        .filter(|c| c.service == *service && c.zone == *zone && c.price_class == *price_class);
    matching.map(|c| c.count).sum()
}
