use base::WallTime;
use fleet::CivilClock;

use super::{FleetKind, FleetScenario, run_week};

/// Guards against a comparison that shows nothing: a plan that ignores the clock change in spring
/// must leave more live demand unserved.
#[test]
fn plan_that_ignores_the_clock_change_leaves_callers_unserved() {
    let text = include_str!("../../scenarios/fleet.toml");
    let scenario: FleetScenario = toml::from_str(text).expect("the scenario is valid");
    let clock =
        CivilClock::named("Australia/Hobart").expect("Australia/Hobart is a known time zone");
    let monday =
        "2026-10-04T13:00:00Z".parse::<jiff::Timestamp>().expect("the text is a valid time");
    let start = WallTime(monday.as_millisecond());
    let run = |kind| run_week(&scenario, &clock, start, 1, kind, 1).unserved_percent();
    assert!(run(FleetKind::Plan) < run(FleetKind::PlanWithoutClockChange));
}
