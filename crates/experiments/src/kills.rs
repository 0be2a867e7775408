//! Usage answered to callers against usage billed, under kills of nodes and of a zone.

mod node;
#[cfg(test)]
mod tests;
mod world;

use crate::{
    RunResult, flags,
    kills::world::{KillKind, ReplicaUse, ScheduleResult, run_schedule},
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

const DEFAULT_SEEDS: u64 = 200;

const KINDS: [(KillKind, &str); 4] = [
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
    let (mut beyond, mut double, mut excess, mut without_kill) = (0, 0, 0, 0);
    for (kind, name) in KINDS {
        let results = (1..=seeds).map(|seed| run_schedule(kind, ReplicaUse::OtherZone, seed));
        let results = results.collect::<Vec<_>>();
        let baseline = (1..=seeds).map(|seed| run_schedule(kind, ReplicaUse::Unused, seed).lost());
        let max_baseline = baseline.max().unwrap_or(0);
        beyond += count(&results, |result| result.lost_beyond_bound > 0);
        double += count(&results, |result| result.billed_twice > 0);
        excess += count(&results, |result| result.billed_unanswered > 0);
        if kind == KillKind::None {
            without_kill += count(&results, |result| result.lost() > 0);
        }
        let lost = results.iter().map(ScheduleResult::lost);
        let sum = lost.clone().sum::<u64>() as f64;
        table.push(
            name,
            vec![
                seeds as f64,
                results.iter().map(|result| result.answered).sum::<u64>() as f64,
                lost.max().unwrap_or(0) as f64,
                sum / seeds.max(1) as f64,
                results.iter().map(|result| result.oldest_lost.as_secs_f64()).fold(0.0, f64::max),
                max_baseline as f64,
            ],
        );
    }
    let none =
        |name: &str, found: u64| TargetLine::new(name, TargetBound::AtMost, 0.0, found as f64);
    Ok(RunReport {
        title: format!("{seeds} seeded schedules of each kind, with log outages and lost answers"),
        tables: vec![table],
        targets: vec![
            none("schedules that lost more than the bound", beyond),
            none("schedules that billed a batch twice", double),
            none("schedules that billed more than was answered", excess),
            none("schedules without a kill that lost usage", without_kill),
        ],
        plot: None,
    })
}

fn count(results: &[ScheduleResult], is_found: impl Fn(&ScheduleResult) -> bool) -> u64 {
    results.iter().filter(|result| is_found(result)).count() as u64
}
