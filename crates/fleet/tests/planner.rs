//! Tests of the fleet planner: cheap upstreams, reclaims and hysteresis.

use base::{Moment, Span, ZoneKey};
use fleet::{
    FleetAction, FleetPlanner, PoolSettings, PriceClass, ServiceSettings, UpstreamCount,
    ZoneForecast,
};
use proptest::prelude::*;

const ZONES: [ZoneKey; 3] = [ZoneKey(0), ZoneKey(1), ZoneKey(2)];
const SERVICE: &str = "draft-models";

fn settings(cheap_price: u32, cheap_max: u32, regular_max: u32) -> ServiceSettings {
    let pool = |zone, price_class, min, max, price| PoolSettings {
        zone,
        price_class,
        min,
        max,
        price,
        startup: Span::from_secs(180),
    };
    let pools = ZONES.into_iter().flat_map(|zone| {
        let cheap = pool(zone, PriceClass::Cheap, 0, cheap_max, cheap_price);
        [pool(zone, PriceClass::Regular, 1, regular_max, 100), cheap]
    });
    ServiceSettings::new(SERVICE, 10.0, pools)
}

fn at(secs: u64) -> Moment {
    Moment(0) + Span::from_secs(secs)
}

fn forecasts(live: f64, samples: f64) -> Vec<ZoneForecast> {
    let forecast = |zone| ZoneForecast {
        service: String::from(SERVICE),
        zone,
        live: live / 3.0,
        samples: samples / 3.0,
    };
    ZONES.into_iter().map(forecast).collect()
}

/// A simulated platform that carries out every order at once.
struct Platform {
    planner: FleetPlanner,
    counts: Vec<UpstreamCount>,
    orders: usize,
}

impl Platform {
    fn new(settings: ServiceSettings) -> Self {
        let mut planner = FleetPlanner::new(ZONES);
        planner.set_service(settings);
        Self { planner, counts: Vec::new(), orders: 0 }
    }

    fn step(&mut self, now: Moment, live: f64, samples: f64) {
        for action in self.planner.plan(now, &forecasts(live, samples), &self.counts) {
            self.orders += 1;
            let (service, zone, price_class, change) = match action {
                FleetAction::Start { service, zone, price_class, count } => {
                    (service, zone, price_class, i64::from(count))
                }
                FleetAction::Stop { service, zone, price_class, count } => {
                    (service, zone, price_class, -i64::from(count))
                }
            };
            let is_same = |c: &UpstreamCount| c.zone == zone && c.price_class == price_class;
            let index = self.counts.iter().position(is_same).unwrap_or_else(|| {
                self.counts.push(UpstreamCount { service, zone, price_class, count: 0 });
                self.counts.len() - 1
            });
            let count = &mut self.counts[index].count;
            *count = u32::try_from(i64::from(*count) + change)
                .expect("more upstreams are stopped than are running");
        }
    }

    fn count(&self, price_class: PriceClass, zone: Option<ZoneKey>) -> u32 {
        let matching = self.counts.iter().filter(|c| c.price_class == price_class);
        matching.filter(|c| zone.is_none_or(|zone| c.zone == zone)).map(|c| c.count).sum()
    }

    fn lose_cheap(&mut self, now: Moment, zone: ZoneKey) {
        self.counts.retain(|c| c.zone != zone || c.price_class != PriceClass::Cheap);
        self.planner.record_reclaim(now, zone);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        cases: 300,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn live_requests_are_served_after_the_loss_of_any_zones_cheap_upstreams(
        live in 0.0..2_000.0_f64,
        samples in 0.0..2_000.0_f64,
        cheap_price in 1..120_u32,
    ) {
        let mut platform = Platform::new(settings(cheap_price, 500, 500));
        platform.step(at(0), live, samples);
        let (regular, cheap) =
            (platform.count(PriceClass::Regular, None), platform.count(PriceClass::Cheap, None));
        prop_assert!(f64::from(regular + cheap) * 10.0 * 0.75 >= live + samples - 1e-6);
        for zone in ZONES {
            let left = regular + cheap - platform.count(PriceClass::Cheap, Some(zone));
            prop_assert!(f64::from(left) * 10.0 * 0.9 >= live - 1e-6);
        }
    }
}

#[test]
fn cheap_upstreams_are_used_only_if_they_cost_less() {
    fn check(cheap_price: u32, expect_cheap: bool) {
        let mut platform = Platform::new(settings(cheap_price, 500, 500));
        platform.step(at(0), 300.0, 300.0);
        assert_eq!(platform.count(PriceClass::Cheap, None) > 0, expect_cheap, "{cheap_price}");
    }
    check(30, true);
    check(100, false);
}

#[test]
fn reclaim_is_replaced_at_once_and_pauses_cheap_upstreams_of_the_zone() {
    let mut platform = Platform::new(settings(30, 500, 500));
    platform.step(at(0), 300.0, 300.0);
    platform.lose_cheap(at(60), ZONES[1]);
    platform.step(at(60), 300.0, 300.0);
    assert_eq!(platform.count(PriceClass::Cheap, Some(ZONES[1])), 0);
    let all = platform.count(PriceClass::Regular, None) + platform.count(PriceClass::Cheap, None);
    assert!(f64::from(all) * 7.5 >= 600.0, "{all} upstreams");
    platform.step(at(660), 300.0, 300.0);
    assert!(
        platform.count(PriceClass::Cheap, Some(ZONES[1])) > 0,
        "no cheap upstreams after the pause"
    );
}

#[test]
fn regular_upstreams_replace_refused_cheap_ones() {
    let mut platform = Platform::new(settings(30, 500, 500));
    for zone in ZONES {
        platform.planner.record_cheap_refusal(at(0), zone);
    }
    platform.step(at(0), 300.0, 300.0);
    assert_eq!(platform.count(PriceClass::Cheap, None), 0);
    assert_eq!(platform.count(PriceClass::Regular, None), 80);
}

/// Guards against a change of the document that ends or restarts the pause of cheap upstreams.
#[test]
fn pause_of_cheap_upstreams_outlasts_a_change_of_the_document() {
    let mut platform = Platform::new(settings(30, 500, 500));
    platform.planner.record_cheap_refusal(at(0), ZONES[1]);
    for secs in [0, 300, 599] {
        platform.planner.set_zones(ZONES);
        platform.planner.set_service(settings(30, 500, 500));
        platform.step(at(secs), 300.0, 300.0);
        assert_eq!(platform.count(PriceClass::Cheap, Some(ZONES[1])), 0, "after {secs} s");
    }
    platform.step(at(601), 300.0, 600.0);
    assert!(
        platform.count(PriceClass::Cheap, Some(ZONES[1])) > 0,
        "no cheap upstreams after the pause"
    );
}

#[test]
fn plan_is_stable_while_demand_oscillates_around_a_boundary() {
    let mut platform = Platform::new(settings(30, 500, 500));
    platform.step(at(0), 300.0, 0.0);
    let orders_before = platform.orders;
    for minute in 1..600 {
        platform.step(at(60 * minute), if minute % 4 < 2 { 290.0 } else { 300.0 }, 0.0);
    }
    assert_eq!(platform.orders, orders_before);
}

#[test]
fn surplus_is_stopped_only_after_the_stop_hold() {
    let mut platform = Platform::new(settings(30, 500, 500));
    platform.step(at(0), 300.0, 300.0);
    let counts_before = platform.counts.clone();
    platform.step(at(60), 30.0, 0.0);
    platform.step(at(900), 30.0, 0.0);
    assert_eq!(platform.counts, counts_before);
    platform.step(at(961), 30.0, 0.0);
    assert!(platform.counts.iter().map(|c| c.count).sum::<u32>() <= 9);
    let each_zone = |zone| platform.count(PriceClass::Regular, Some(zone)) >= 1;
    assert!(ZONES.into_iter().all(each_zone), "every zone must keep a regular upstream");
}

#[test]
fn counts_stay_within_the_bounds_of_the_pools() {
    fn check(cheap_max: u32, regular_max: u32, expected: (u32, u32)) {
        let mut platform = Platform::new(settings(30, cheap_max, regular_max));
        platform.step(at(0), 300.0, 300.0);
        let counts =
            (platform.count(PriceClass::Regular, None), platform.count(PriceClass::Cheap, None));
        assert_eq!(counts, expected, "cheap {cheap_max}, regular {regular_max}");
    }
    check(0, 100, (80, 0));
    check(5, 100, (65, 15));
    // The pools are too small for the demand, so all their upstreams run.
    check(5, 10, (30, 15));
}
