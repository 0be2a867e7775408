//! Rollout experiments: trainer idle time under several rerun rules, and exactly-once delivery of
//! samples under faults.

mod faults;
mod steps;
#[cfg(test)]
mod tests;

use base::Span;
use error_stack::ResultExt as _;
use rollout::{CostBenefitRule, FixedTimeoutRule, NoRerun};
use serde::Deserialize;

use self::{
    faults::{FaultOutcome, FaultScenario, run_schedule},
    steps::{StepOutcome, StepScenario, run_steps},
};
use crate::{
    RunFailed, RunResult, flags,
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

/// Scenario file of the subcommand.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutScenario {
    steps: StepScenario,
    faults: FaultScenario,
}

pub(crate) fn run(flags: &flags::Rollout) -> RunResult {
    let failed = || RunFailed(format!("cannot read scenario {}", flags.scenario.display()));
    let text = std::fs::read_to_string(&flags.scenario).change_context_lazy(failed)?;
    let scenario: RolloutScenario = toml::from_str(&text).change_context_lazy(failed)?;
    let title = format!("{} with seed {}", flags.scenario.display(), flags.seed);
    let mut report = RunReport { title, ..RunReport::default() };
    report_steps(&scenario.steps, flags.seed, &mut report);
    report_faults(&scenario.faults, flags.seed, &mut report);
    Ok(report)
}

fn report_steps(scenario: &StepScenario, seed: u64, report: &mut RunReport) {
    let columns = [
        "idle s/step",
        "idle share",
        "step p50 s",
        "step p99 s",
        "mean staleness",
        "max staleness",
        "extra tokens %",
        "re-runs",
        "steps",
    ];
    let mut table = ReportTable::new("stragglers", &columns);
    let mut push = |name: &str, outcome: &StepOutcome| {
        table.push(
            name,
            vec![
                outcome.idle_per_step,
                outcome.idle_share,
                outcome.completion_p50,
                outcome.completion_p99,
                outcome.mean_staleness,
                outcome.max_staleness as f64,
                100.0 * outcome.extra_share,
                outcome.reruns as f64,
                outcome.steps as f64,
            ],
        );
    };
    let timeout = Span::from_micros((scenario.fixed_limit_seconds * 1e6) as u64);
    let rule = CostBenefitRule { tokens_per_second: scenario.tokens_per_second_gained };
    let no_rerun = run_steps(scenario, seed, NoRerun);
    push("no re-run", &no_rerun);
    push("fixed time limit", &run_steps(scenario, seed, FixedTimeoutRule { timeout }));
    let cost_benefit = run_steps(scenario, seed, rule);
    push("gain over cost", &cost_benefit);
    report.tables.push(table);
    let idle_ratio = cost_benefit.idle_per_step / no_rerun.idle_per_step.max(1e-9);
    let extra_percent = 100.0 * cost_benefit.extra_share;
    let target = |name, bound, measured| TargetLine::new(name, TargetBound::Below, bound, measured);
    report.targets.push(target("trainer idle time against no re-run", 0.5, idle_ratio));
    report.targets.push(target("extra tokens %", 5.0, extra_percent));
}

fn report_faults(scenario: &FaultScenario, first_seed: u64, report: &mut RunReport) {
    let mut total = FaultOutcome::default();
    for seed in first_seed..first_seed + scenario.schedules {
        let outcome = run_schedule(scenario, seed);
        if !outcome.is_clean() {
            total.dirty_schedules += 1;
            eprintln!("schedule with seed {seed}: {outcome:?}");
        }
        total.add(&outcome);
    }
    let title = format!("{} fault schedules", scenario.schedules);
    let mut table = ReportTable::new(title, &["count"]);
    for (name, count) in total.rows() {
        table.push(name, vec![count as f64]);
    }
    report.tables.push(table);
    let violations = [
        ("stale samples", total.stale),
        ("double samples", total.double),
        ("lost samples", total.lost),
        ("numbers bound twice", total.rebound),
        ("samples with wrong versions", total.wrong_spans),
        ("books that differ", total.different_books),
    ];
    for (name, count) in violations {
        report.targets.push(TargetLine::new(name, TargetBound::Below, 1.0, count as f64));
    }
}
