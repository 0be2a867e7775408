//! Simulates one fleet over some days, minute by minute.

use base::{Moment, Span, WallTime, ZoneKey};
use fleet::{
    CivilClock, DemandKey, DemandModel, FleetAction, FleetPlanner, PoolSettings, PriceClass,
    SLOT_MINUTES, ServiceSettings, UpstreamCount, WorkClass, ZoneForecast,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::fleet::FleetScenario;

const SERVICE: &str = "draft-models";
const MINUTE_MILLIS: i64 = 60_000;
const DAY_MINUTES: i64 = 24 * 60;

/// Maximum of upstreams in every pool, far above what the scenarios need.
const MAX_POOL_SIZE: u32 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FleetKind {
    /// Enough regular upstreams for the largest demand (without noise), at all times.
    Static,
    /// The planner with the present demand in place of a forecast.
    Reactive,
    /// The planner without cheap upstreams.
    RegularPlan,
    /// The planner with forecasts.
    Plan,
    /// The planner, whose forecasts keep the offset from UTC of the time when learning began.
    PlanWithoutClockChange,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct WeekOutcome {
    // Prices are per hour. Demand is summed over minutes.
    pub(crate) spending: f64,
    /// Minutes with any unserved live demand.
    pub(crate) short_minutes: u64,
    live: f64,
    unserved: f64,
    /// Unserved live demand while upstreams that replace reclaimed ones start.
    unserved_after_reclaim: f64,
    samples: f64,
    samples_delayed: f64,
    served: f64,
    on_cheap: f64,
    reclaims: u64,
    /// Starts and stops that the planner ordered, refused ones included.
    orders: u64,
}

/// Upstreams of one zone and price class.
#[derive(Debug, Clone, Default)]
struct Pool {
    running: u32,
    /// When each starting upstream will run.
    starting: Vec<Moment>,
}

struct Week<'a> {
    scenario: &'a FleetScenario,
    clock: &'a CivilClock,
    noise_rng: ChaCha8Rng,
    /// A generator of its own, so that every kind of fleet meets the same reclaims.
    reclaim_rng: ChaCha8Rng,
    /// Regular and cheap upstreams of each zone.
    pools: Vec<[Pool; 2]>,
    /// Per zone: until when orders for cheap upstreams are refused.
    cheap_unavailable_until: Vec<Moment>,
    /// When the replacements of the last reclaimed upstreams will run.
    replacing_until: Moment,
    outcome: WeekOutcome,
}

/// Runs a fleet of `kind` for `days` from `start`. The outcome depends only on the arguments.
pub(crate) fn run_week(
    scenario: &FleetScenario,
    clock: &CivilClock,
    start: WallTime,
    days: i64,
    kind: FleetKind,
    seed: u64,
) -> WeekOutcome {
    let zones = scenario.zone_shares.len();
    let mut week = Week {
        scenario,
        clock,
        noise_rng: ChaCha8Rng::seed_from_u64(seed),
        reclaim_rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
        pools: vec![<[Pool; 2]>::default(); zones],
        cheap_unavailable_until: vec![Moment(0); zones],
        replacing_until: Moment(0),
        outcome: WeekOutcome::default(),
    };
    week.run(start, days, kind)
}

impl Week<'_> {
    fn run(&mut self, start: WallTime, days: i64, kind: FleetKind) -> WeekOutcome {
        let learn_from =
            WallTime(start.0 - self.scenario.learn_weeks * 7 * DAY_MINUTES * MINUTE_MILLIS);
        let clock = match kind {
            FleetKind::PlanWithoutClockChange => self.clock.with_fixed_offset(learn_from),
            _ => self.clock.clone(),
        };
        let mut model = DemandModel::new(clock);
        let keys = self.demand_keys();
        for minute in (0..self.scenario.learn_weeks * 7 * DAY_MINUTES).step_by(5) {
            self.observe(&mut model, &keys, WallTime(learn_from.0 + minute * MINUTE_MILLIS));
        }
        let mut planner = FleetPlanner::new((0..).map(ZoneKey).take(self.pools.len()));
        planner.set_service(self.settings(kind));
        self.start_static_fleet(kind);
        for minute in 0..days * DAY_MINUTES {
            let wall = WallTime(start.0 + minute * MINUTE_MILLIS);
            let now = Moment(0) + Span::from_secs(60 * minute.unsigned_abs());
            let demand = self.observe(&mut model, &keys, wall);
            self.complete_starts(now);
            if minute > 0 {
                self.reclaim(now, &mut planner);
            }
            if kind != FleetKind::Static {
                let forecasts = match kind {
                    FleetKind::Reactive => demand.clone(),
                    _ => self.forecasts(&model, &keys, wall, planner.lookahead(SERVICE)),
                };
                // After a refused order for cheap upstreams, the planner runs again in the same
                // minute.
                while self.execute_plan(now, &mut planner, &forecasts) {}
            }
            if minute == 0 {
                // Every fleet starts the week with its desired upstreams running.
                self.complete_starts(Moment(u64::MAX));
            }
            self.account(now, &demand);
        }
        self.outcome.clone()
    }

    fn settings(&self, kind: FleetKind) -> ServiceSettings {
        let scenario = self.scenario;
        let cheap_max = if kind == FleetKind::RegularPlan { 0 } else { MAX_POOL_SIZE };
        let startup = Span::from_secs(scenario.start_up_seconds);
        let pools = (0..).map(ZoneKey).take(self.pools.len()).flat_map(|zone| {
            let pool = |kind, min, max, price| PoolSettings {
                zone,
                price_class: kind,
                min,
                max,
                price,
                startup,
            };
            [
                pool(PriceClass::Regular, 1, MAX_POOL_SIZE, scenario.regular_price),
                pool(PriceClass::Cheap, 0, cheap_max, scenario.cheap_price),
            ]
        });
        let settings = ServiceSettings::new(SERVICE, scenario.capacity, pools);
        ServiceSettings { utilization: scenario.utilization, ..settings }
    }

    fn start_static_fleet(&mut self, kind: FleetKind) {
        if kind != FleetKind::Static {
            return;
        }
        let scenario = self.scenario;
        let peak = scenario.live_peak + scenario.samples;
        for (pools, share) in self.pools.iter_mut().zip(&scenario.zone_shares) {
            let count = peak * share / (scenario.capacity * scenario.utilization);
            pools[0].running = count.ceil() as u32;
        }
    }

    fn demand_keys(&self) -> Vec<[DemandKey; 2]> {
        let key = |zone: usize, class| DemandKey {
            service: String::from(SERVICE),
            zone: format!("zone-{zone}"),
            class,
        };
        let zones = 0..self.scenario.zone_shares.len();
        zones.map(|zone| [key(zone, WorkClass::Live), key(zone, WorkClass::Samples)]).collect()
    }

    /// Draws the demand at `wall` and gives it to the demand model.
    fn observe(
        &mut self,
        model: &mut DemandModel,
        keys: &[[DemandKey; 2]],
        wall: WallTime,
    ) -> Vec<ZoneForecast> {
        let scenario = self.scenario;
        let live = scenario.live_peak * self.activity(wall);
        let mut demand = Vec::new();
        for (index, (share, [live_key, samples_key])) in
            (0..).zip(scenario.zone_shares.iter().zip(keys))
        {
            let mut noisy = || 1.0 + self.noise_rng.random_range(-scenario.noise..=scenario.noise);
            let live = live * share * noisy();
            let samples = scenario.samples * share * noisy();
            model.observe(wall, live_key, live);
            model.observe(wall, samples_key, samples);
            let service = String::from(SERVICE);
            demand.push(ZoneForecast { service, zone: ZoneKey(index), live, samples });
        }
        demand
    }

    /// Returns the live demand at the local time of `wall` as a share of its peak.
    fn activity(&self, wall: WallTime) -> f64 {
        let scenario = self.scenario;
        let slot = self.clock.slot(wall).0;
        let slots_per_day = 24 * 60 / SLOT_MINUTES;
        let in_slot = wall.0.rem_euclid(i64::from(SLOT_MINUTES) * MINUTE_MILLIS) as f64 / 3.6e6;
        let hour = f64::from(slot % slots_per_day * SLOT_MINUTES) / 60.0 + in_slot;
        let top = if slot / slots_per_day < 5 { 1.0 } else { scenario.weekend_share };
        let rise = (hour - scenario.work_starts_hour) / scenario.ramp_hours;
        let fall = (scenario.work_ends_hour - hour) / scenario.ramp_hours;
        let work = rise.min(fall).clamp(0.0, 1.0);
        scenario.night_share + (top - scenario.night_share) * work
    }

    fn forecasts(
        &self,
        model: &DemandModel,
        keys: &[[DemandKey; 2]],
        wall: WallTime,
        ahead: Span,
    ) -> Vec<ZoneForecast> {
        let forecast = |(zone, [live, samples]): (u32, &[DemandKey; 2])| ZoneForecast {
            service: String::from(SERVICE),
            zone: ZoneKey(zone),
            live: model.peak(wall, ahead, live),
            samples: model.peak(wall, ahead, samples),
        };
        (0..).zip(keys).map(forecast).collect()
    }

    fn complete_starts(&mut self, now: Moment) {
        for pool in self.pools.iter_mut().flatten() {
            let started = pool.starting.extract_if(.., |at| *at <= now).count();
            pool.running += started as u32;
        }
    }

    /// Takes all cheap upstreams of a random zone away, on average `reclaims_per_week` times a
    /// week, and refuses new ones there for `unavailable_minutes`.
    fn reclaim(&mut self, now: Moment, planner: &mut FleetPlanner) {
        let per_minute = self.scenario.reclaims_per_week / (7 * DAY_MINUTES) as f64;
        let (is_reclaim, zone) = (
            self.reclaim_rng.random_bool(per_minute),
            self.reclaim_rng.random_range(0..self.pools.len()),
        );
        if !is_reclaim {
            return;
        }
        self.cheap_unavailable_until[zone] =
            now + Span::from_secs(60 * self.scenario.unavailable_minutes);
        let cheap = std::mem::take(&mut self.pools[zone][1]);
        if cheap.running == 0 && cheap.starting.is_empty() {
            return;
        }
        self.outcome.reclaims += 1;
        self.replacing_until = now + Span::from_secs(self.scenario.start_up_seconds);
        planner.record_reclaim(now, ZoneKey(zone as u32));
    }

    /// Runs the planner and executes its orders. Returns whether an order for cheap upstreams was
    /// refused.
    fn execute_plan(
        &mut self,
        now: Moment,
        planner: &mut FleetPlanner,
        forecasts: &[ZoneForecast],
    ) -> bool {
        let counts = self.counts();
        let mut was_refused = false;
        for action in planner.plan(now, forecasts, &counts) {
            self.outcome.orders += 1;
            match action {
                FleetAction::Start { zone, price_class, count, .. } => {
                    let index = zone.0 as usize;
                    if price_class == PriceClass::Cheap && now < self.cheap_unavailable_until[index]
                    {
                        planner.record_cheap_refusal(now, zone);
                        was_refused = true;
                        continue;
                    }
                    let at = now + Span::from_secs(self.scenario.start_up_seconds);
                    let pool = &mut self.pools[index][price_class as usize];
                    pool.starting.extend(std::iter::repeat_n(at, count as usize));
                }
                FleetAction::Stop { zone, price_class, count, .. } => {
                    let pool = &mut self.pools[zone.0 as usize][price_class as usize];
                    let from_starting = pool.starting.len().min(count as usize);
                    pool.starting.truncate(pool.starting.len() - from_starting);
                    pool.running -= count - from_starting as u32;
                }
            }
        }
        was_refused
    }

    fn counts(&self) -> Vec<UpstreamCount> {
        let mut counts = Vec::new();
        for (zone, pools) in (0..).map(ZoneKey).zip(&self.pools) {
            for (price_class, pool) in
                [PriceClass::Regular, PriceClass::Cheap].into_iter().zip(pools)
            {
                let count = pool.running + pool.starting.len() as u32;
                counts.push(UpstreamCount {
                    service: String::from(SERVICE),
                    zone,
                    price_class,
                    count,
                });
            }
        }
        counts
    }

    /// Adds one minute to the outcome. Live demand is served first, on regular upstreams as far as
    /// they suffice; samples use what is left, cheap upstreams first.
    fn account(&mut self, now: Moment, demand: &[ZoneForecast]) {
        let scenario = self.scenario;
        let live: f64 = demand.iter().map(|zone| zone.live).sum();
        let samples: f64 = demand.iter().map(|zone| zone.samples).sum();
        let capacity = |class: usize| {
            let running: u32 = self.pools.iter().map(|pools| pools[class].running).sum();
            f64::from(running) * scenario.capacity
        };
        let (regular, cheap) = (capacity(0), capacity(1));
        let live_on_regular = live.min(regular);
        let live_on_cheap = (live - live_on_regular).min(cheap);
        let samples_on_cheap = samples.min(cheap - live_on_cheap);
        let samples_on_regular = (samples - samples_on_cheap).min(regular - live_on_regular);
        let unserved = live - live_on_regular - live_on_cheap;
        let outcome = &mut self.outcome;
        outcome.live += live;
        outcome.unserved += unserved;
        outcome.short_minutes += u64::from(unserved > 0.0);
        outcome.samples += samples;
        outcome.samples_delayed += samples - samples_on_cheap - samples_on_regular;
        outcome.on_cheap += live_on_cheap + samples_on_cheap;
        outcome.served += live - unserved + samples_on_cheap + samples_on_regular;
        if now < self.replacing_until {
            outcome.unserved_after_reclaim += unserved;
        }
        for pools in &self.pools {
            let prices = [scenario.regular_price, scenario.cheap_price];
            for (pool, price) in pools.iter().zip(prices) {
                let upstreams = f64::from(pool.running) + pool.starting.len() as f64;
                outcome.spending += upstreams * f64::from(price) / 60.0;
            }
        }
    }
}

impl WeekOutcome {
    pub(crate) fn unserved_percent(&self) -> f64 {
        100.0 * self.unserved / self.live
    }

    pub(crate) fn harmed_percent(&self) -> f64 {
        100.0 * self.unserved_after_reclaim / self.live
    }

    pub(crate) fn values(&self) -> Vec<f64> {
        vec![
            self.spending,
            self.unserved_percent(),
            self.short_minutes as f64,
            100.0 * self.samples_delayed / self.samples,
            100.0 * self.on_cheap / self.served,
            self.reclaims as f64,
            self.harmed_percent(),
            self.orders as f64,
        ]
    }
}
