//! Fleet experiments in virtual time: spending and unserved demand of several kinds of fleet, weeks
//! with a clock change, and reclaims of cheap upstreams.

#[cfg(test)]
mod tests;
mod week;

use base::WallTime;
use error_stack::ResultExt as _;
use fleet::CivilClock;
use serde::Deserialize;

use self::week::{FleetKind, WeekOutcome, run_week};
use crate::{
    RunFailed, RunResult, flags,
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

const DAY_MILLIS: i64 = 86_400_000;

/// Scenario file of the subcommand. Demand is in concurrent streams, and the prices are per hour
/// and upstream.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetScenario {
    pub(crate) time_zone: String,
    pub(crate) start: jiff::Timestamp,
    pub(crate) weeks: i64,
    pub(crate) learn_weeks: i64,
    pub(crate) zone_shares: Vec<f64>,
    pub(crate) capacity: f64,
    pub(crate) live_peak: f64,
    pub(crate) night_share: f64,
    pub(crate) weekend_share: f64,
    pub(crate) work_starts_hour: f64,
    pub(crate) work_ends_hour: f64,
    pub(crate) ramp_hours: f64,
    pub(crate) samples: f64,
    pub(crate) noise: f64,
    pub(crate) start_up_seconds: u64,
    pub(crate) regular_price: u32,
    pub(crate) cheap_price: u32,
    pub(crate) reclaims_per_week: f64,
    pub(crate) unavailable_minutes: u64,
    pub(crate) utilization: f64,
    pub(crate) clock_changes: Vec<ClockChange>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClockChange {
    pub(crate) time_zone: String,
    pub(crate) change: jiff::Timestamp,
}

pub(crate) fn run(flags: &flags::Fleet) -> RunResult {
    let failed = || RunFailed(format!("cannot read scenario {}", flags.scenario.display()));
    let text = std::fs::read_to_string(&flags.scenario).change_context_lazy(failed)?;
    let scenario: FleetScenario = toml::from_str(&text).change_context_lazy(failed)?;
    let clock = CivilClock::named(&scenario.time_zone).change_context_lazy(failed)?;
    let title = format!("{} with seed {}", flags.scenario.display(), flags.seed);
    let mut report = RunReport { title, ..RunReport::default() };
    let start = WallTime(scenario.start.as_millisecond());
    report_spending(&scenario, &clock, start, flags.seed, &mut report);
    report_changes(&scenario, flags.seed, &mut report)?;
    Ok(report)
}

fn report_spending(
    scenario: &FleetScenario,
    clock: &CivilClock,
    start: WallTime,
    seed: u64,
    report: &mut RunReport,
) {
    let columns = [
        "spending",
        "unserved live %",
        "short minutes",
        "samples delayed %",
        "work on cheap %",
        "reclaims",
        "live harmed by reclaim %",
        "orders",
    ];
    let mut table = ReportTable::new("spending against service", &columns);
    let days = 7 * scenario.weeks;
    let mut run = |name: &str, kind| {
        let outcome = run_week(scenario, clock, start, days, kind, seed);
        table.push(name, outcome.values());
        outcome
    };
    let static_fleet = run("static, sized for the peak", FleetKind::Static);
    run("reactive", FleetKind::Reactive);
    run("plan, regular only", FleetKind::RegularPlan);
    let plan = run("plan", FleetKind::Plan);
    report.tables.push(table);
    let target = |name, bound, measured| TargetLine::new(name, TargetBound::Below, bound, measured);
    report.targets.push(target(
        "spending against static",
        0.75,
        plan.spending / static_fleet.spending,
    ));
    // The planner gives the same service as a static fleet if the unserved part of the live demand
    // is less than 0.01 percentage points larger.
    let unserved = plan.unserved_percent() - static_fleet.unserved_percent();
    report.targets.push(target("unserved live % above static", 0.01, unserved));
    report.targets.push(target("live harmed by reclaims %", 0.01, plan.harmed_percent()));
}

/// Runs the week around each clock change, from three days before it to four days after it.
fn report_changes(scenario: &FleetScenario, seed: u64, report: &mut RunReport) -> RunResult<()> {
    let columns = [
        "unserved live %",
        "without rule",
        "short minutes",
        "without rule",
        "spending",
        "without rule",
    ];
    let mut table = ReportTable::new("week around a clock change", &columns);
    for ClockChange { time_zone, change } in &scenario.clock_changes {
        let failed = || RunFailed(format!("cannot load time zone {time_zone} of the scenario"));
        let clock = CivilClock::named(time_zone).change_context_lazy(failed)?;
        let start = WallTime(change.as_millisecond() - 3 * DAY_MILLIS);
        let run = |kind| run_week(scenario, &clock, start, 7, kind, seed);
        let (plan, without): (WeekOutcome, WeekOutcome) =
            (run(FleetKind::Plan), run(FleetKind::PlanWithoutClockChange));
        table.push(
            format!("{time_zone} {}", change.strftime("%Y-%m-%d")),
            vec![
                plan.unserved_percent(),
                without.unserved_percent(),
                plan.short_minutes as f64,
                without.short_minutes as f64,
                plan.spending,
                without.spending,
            ],
        );
    }
    report.tables.push(table);
    Ok(())
}
