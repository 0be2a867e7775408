//! Number of upstreams wanted per service and zone, regular and cheap.

mod mix;

use std::collections::BTreeMap;

use base::{Moment, Span, ZoneKey, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::planner::mix::{Bounds, ZonePools, apportion, choose_mix};

/// How long a zone's cheap upstreams are left alone after a reclaim or a refused order.
const CHEAP_PAUSE: Span = Span::from_secs(600);

/// Bounds the search for a mix, whatever the settings and the demand say.
const MAX_POOL: u32 = 10_000;

derive_copy! {
    /// How an upstream is paid for.
    pub enum PriceClass {
        /// Runs until it is stopped.
        Regular,
        /// Costs less, but can be reclaimed with seconds of notice and is sometimes unavailable.
        Cheap,
    }

    /// Upstreams of one service, zone and kind that can be ordered.
    pub struct PoolSettings {
        /// The zone.
        pub zone: ZoneKey,
        /// The kind.
        pub price_class: PriceClass,
        /// Upstreams that always run.
        pub min: u32,
        /// Largest number of upstreams.
        pub max: u32,
        /// Price of an upstream for an hour, in any unit.
        pub price: u32,
        /// Time from an order to the first request served.
        pub startup: Span,
    }

    /// Upstreams wanted in one zone.
    pub struct DesiredCounts {
        /// Regular upstreams.
        pub regular: u32,
        /// Cheap upstreams.
        pub cheap: u32,
    }
}

derive_value! {
    /// Upstreams of one service, zone and kind, as the platform lists them.
    pub struct UpstreamCount {
        /// Name of the service.
        pub service: String,
        /// The zone.
        pub zone: ZoneKey,
        /// The kind.
        pub price_class: PriceClass,
        /// Upstreams that run or start, with those of unsettled orders, without leaving ones.
        pub count: u32,
    }

    /// What the caller must order.
    pub enum FleetAction {
        /// Start upstreams.
        Start {
            /// Name of the service.
            service: String,
            /// The zone.
            zone: ZoneKey,
            /// The kind.
            price_class: PriceClass,
            /// How many.
            count: u32,
        },
        /// Drain and stop upstreams.
        Stop {
            /// Name of the service.
            service: String,
            /// The zone.
            zone: ZoneKey,
            /// The kind.
            price_class: PriceClass,
            /// How many.
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
    /// Demand of callers who wait.
    pub live: f64,
    /// Demand of samples and other resumable work.
    pub samples: f64,
}

/// Settings of one service. The unit of `capacity` is that of the demand.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub service: String,
    /// Demand that one upstream can serve.
    pub capacity: f64,
    /// Share of the capacity that is planned for.
    pub utilization: f64,
    /// Share of the capacity that live callers may take after a zone lost its cheap upstreams.
    pub utilization_after_loss: f64,
    /// Smallest share of the live need that regular upstreams cover.
    pub min_regular_share: f64,
    /// How long fewer upstreams must be wanted before any is stopped.
    pub stop_hold: Span,
    /// Pools from which upstreams can be ordered, at most one of each zone and kind.
    pub pools: Vec<PoolSettings>,
}

impl ServiceSettings {
    /// Returns settings with the usual shares for upstreams of the given capacity.
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
            min: pool.min.min(MAX_POOL),
            max: pool.max.min(MAX_POOL),
            price: pool.price,
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Surplus {
    since: Moment,
    /// Highest number wanted since then.
    wanted: u32,
}

type CountKey = (String, ZoneKey, PriceClass);

/// Plans the fleet of all services over the zones that this node can see.
#[derive(Debug, Clone, Default)]
pub struct FleetPlanner {
    services: BTreeMap<String, ServiceSettings>,
    zones: Vec<ZoneKey>,
    cheap_paused: BTreeMap<ZoneKey, Moment>,
    surplus: BTreeMap<CountKey, Surplus>,
    desired: BTreeMap<(String, ZoneKey), DesiredCounts>,
}

impl FleetPlanner {
    /// Creates a plan over `zones`.
    #[must_use]
    pub fn new(zones: impl IntoIterator<Item = ZoneKey>) -> Self {
        Self { zones: zones.into_iter().collect(), ..Self::default() }
    }

    /// Replaces the zones. Pauses of cheap upstreams and hold times of the zones that stay go on.
    pub fn set_zones(&mut self, zones: impl IntoIterator<Item = ZoneKey>) {
        self.zones = zones.into_iter().collect();
        let zones = &self.zones;
        self.desired.retain(|(_, zone), _| zones.contains(zone));
        self.surplus.retain(|(_, zone, _), _| zones.contains(zone));
    }

    /// Sets a service.
    pub fn set_service(&mut self, settings: ServiceSettings) {
        self.services.insert(settings.service.clone(), settings);
    }

    /// Removes a service. Its upstreams are left to the caller.
    pub fn remove_service(&mut self, service: &str) {
        self.services.remove(service);
        self.desired.retain(|(name, _), _| name != service);
        self.surplus.retain(|(name, _, _), _| name != service);
    }

    /// Returns how far ahead the forecast passed to [`FleetPlanner::plan`] must look. An upstream
    /// that is needed again before a stop would pay off is not stopped.
    #[must_use]
    pub fn lookahead(&self, service: &str) -> Span {
        let Some(settings) = self.services.get(service) else { return Span::ZERO };
        let startup = settings.pools.iter().map(|pool| pool.startup).max();
        startup.unwrap_or(Span::ZERO) + settings.stop_hold
    }

    /// Notes that the platform reclaims the cheap upstreams of `zone`. The caller stops placing work
    /// on them, leaves them out of the counts and calls [`FleetPlanner::plan`] at once for replacements.
    pub fn record_reclaim(&mut self, now: Moment, zone: ZoneKey) {
        self.cheap_paused.insert(zone, now + CHEAP_PAUSE);
    }

    /// Notes that no cheap upstream could be had in `zone`.
    pub fn record_cheap_refusal(&mut self, now: Moment, zone: ZoneKey) {
        self.record_reclaim(now, zone);
    }

    /// Compares what is wanted with `counts` and returns the orders. Starts come at once; stops
    /// only after fewer were wanted for the whole hold time.
    pub fn plan(
        &mut self,
        now: Moment,
        forecasts: &[ZoneForecast],
        counts: &[UpstreamCount],
    ) -> SmallVec<[FleetAction; 4]> {
        let mut actions = SmallVec::new();
        self.cheap_paused.retain(|_, until| *until > now);
        for settings in self.services.values() {
            let wanted = self.desired_of(settings, forecasts);
            for (&zone, wanted) in self.zones.iter().zip(wanted) {
                self.desired.insert((settings.service.clone(), zone), wanted);
                for (price_class, wanted) in
                    [(PriceClass::Regular, wanted.regular), (PriceClass::Cheap, wanted.cheap)]
                {
                    let key = (settings.service.clone(), zone, price_class);
                    let have = count_of(counts, &key);
                    if wanted >= have {
                        self.surplus.remove(&key);
                    }
                    if wanted > have {
                        let (service, count) = (key.0, wanted - have);
                        actions.push(FleetAction::Start { service, zone, price_class, count });
                        continue;
                    }
                    if wanted == have {
                        continue;
                    }
                    let fresh = Surplus { since: now, wanted };
                    let surplus = self.surplus.entry(key.clone()).or_insert(fresh);
                    surplus.wanted = surplus.wanted.max(wanted);
                    if now.since(surplus.since) < settings.stop_hold {
                        continue;
                    }
                    let count = have.saturating_sub(surplus.wanted);
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

    /// Returns what the last [`FleetPlanner::plan`] wanted in a zone.
    #[must_use]
    pub fn desired(&self, service: &str, zone: ZoneKey) -> Option<DesiredCounts> {
        self.desired.get(&(String::from(service), zone)).copied()
    }

    /// Returns the wanted numbers in the order of the zones.
    fn desired_of(
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
        let wanted = regular.into_iter().zip(mix.cheap);
        wanted.map(|(regular, cheap)| DesiredCounts { regular, cheap }).collect()
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

fn count_of(counts: &[UpstreamCount], key: &CountKey) -> u32 {
    let (service, zone, price_class) = key;
    let matching = counts
        .iter()
        .filter(|c| c.service == *service && c.zone == *zone && c.price_class == *price_class);
    matching.map(|c| c.count).sum()
}
