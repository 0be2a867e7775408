//! Compares the usage of answered requests with the usage billed while nodes or a zone are killed.

mod node;
#[cfg(test)]
mod tests;
mod world;

use crate::{
    RunResult, flags,
    kills::world::{KillKind, ReplicaUse, ScheduleResult, run_schedule},
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

/// Schedules of each kind.
const DEFAULT_SEEDS: u64 = 200;

const KILL_KINDS: [(KillKind, &str); 4] = [
    (KillKind::None, "no kill"),
    (KillKind::Single, "single kill"),
    (KillKind::Double, "double kill"),
    (KillKind::Zone, "lost zone"),
];

pub(crate) fn run(flags: &flags::KillSchedules) -> RunResult {
    let seeds = flags.seeds.unwrap_or(DEFAULT_SEEDS);
    let mut table = ReportTable::new(
        "requests lost",
        &["schedules", "answered", "max", "mean", "oldest s", "max unreplicated"],
    );
    let (mut over_bound, mut billed_twice, mut billed_unanswered, mut lost_without_kill) =
        (0, 0, 0, 0);
    for (kind, name) in KILL_KINDS {
        let results = (1..=seeds).map(|seed| run_schedule(kind, ReplicaUse::OtherZone, seed));
        let results = results.collect::<Vec<_>>();
        let baseline = (1..=seeds).map(|seed| run_schedule(kind, ReplicaUse::Unused, seed).lost());
        let max_unreplicated = baseline.max().unwrap_or(0);
        over_bound += count(&results, |result| result.lost_beyond_bound > 0);
        billed_twice += count(&results, |result| result.billed_twice > 0);
        billed_unanswered += count(&results, |result| result.billed_unanswered > 0);
        if kind == KillKind::None {
            lost_without_kill += count(&results, |result| result.lost() > 0);
        }
        let lost = results.iter().map(ScheduleResult::lost);
        let total_lost = lost.clone().sum::<u64>() as f64;
        table.push(
            name,
            vec![
                seeds as f64,
                results.iter().map(|result| result.answered).sum::<u64>() as f64,
                lost.max().unwrap_or(0) as f64,
                total_lost / seeds.max(1) as f64,
                results.iter().map(|result| result.oldest_lost.as_secs_f64()).fold(0.0, f64::max),
                max_unreplicated as f64,
            ],
        );
    }
    let zero_target =
        |name: &str, found: u64| TargetLine::new(name, TargetBound::AtMost, 0.0, found as f64);
    Ok(RunReport {
        title: format!("{seeds} seeded schedules of each kind, with log outages and lost answers"),
        tables: vec![table],
        targets: vec![
            zero_target("schedules that lost more than the bound", over_bound),
            zero_target("schedules that billed a batch twice", billed_twice),
            zero_target("schedules that billed more than was answered", billed_unanswered),
            zero_target("schedules without a kill that lost usage", lost_without_kill),
        ],
        plot: None,
    })
}

fn count(results: &[ScheduleResult], is_counted: impl Fn(&ScheduleResult) -> bool) -> u64 {
    results.iter().filter(|result| is_counted(result)).count() as u64
}
