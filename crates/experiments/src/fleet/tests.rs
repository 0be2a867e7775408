use base::WallTime;
use fleet::CivilClock;

use super::{FleetKind, FleetScenario, run_week};

/// A plan that ignores a change in spring must be seen to fail, or the comparison shows nothing.
#[test]
fn plan_that_ignores_the_clock_change_leaves_callers_unserved() {
    let text = include_str!("../../scenarios/fleet.toml");
    let scenario: FleetScenario = toml::from_str(text).expect("the scenario is valid");
    let clock = CivilClock::named("Australia/Hobart").expect("the zone exists");
    let monday = "2026-10-04T13:00:00Z".parse::<jiff::Timestamp>().expect("a valid time");
    let start = WallTime(monday.as_millisecond());
    let run = |kind| run_week(&scenario, &clock, start, 1, kind, 1).unserved_percent();
    assert!(run(FleetKind::Plan) < run(FleetKind::PlanWithoutClockChange));
}
