//! Compares routing, fair queueing and crash isolation with baselines, in virtual time.

mod crash;
mod engine;
mod measure;
mod scenario;
#[cfg(test)]
mod tests;
mod world;

use routing::{LeastOutstanding, PickPolicy, RandomPick, RoundRobin, UpstreamPicker};

use crate::{
    RunResult, flags,
    report::{PlotFrame, PlotSeries, ReportTable, RunReport, TargetBound, TargetLine},
    traffic::{
        crash::{CrashProtection, CrashWorld},
        measure::RunMeasurements,
        scenario::{ScenarioKind, TrafficScenario},
        world::{QueueKind, World},
    },
};

pub(crate) fn run(flags: &flags::Traffic) -> RunResult {
    let scenario = TrafficScenario::read(&flags.scenario)?;
    let mut report = match scenario.kind {
        ScenarioKind::Routing => routing(&scenario, flags.seed),
        ScenarioKind::Fairness => fairness(&scenario, flags.seed),
        ScenarioKind::Overload => overload(&scenario, flags.seed),
        ScenarioKind::Crash => crash(&scenario, flags.seed),
    };
    let services =
        scenario.engines.iter().map(|group| format!("{} {}", group.count, group.service));
    let services = services.collect::<Vec<_>>().join(", ");
    report.title = format!(
        "{}: {services}; {} nodes, {}% load, seed {}",
        scenario.name,
        scenario.nodes,
        scenario.load * 100.0,
        flags.seed
    );
    Ok(report)
}

fn simulate<P: PickPolicy + Clone>(
    scenario: &TrafficScenario,
    policy: &P,
    queue: QueueKind,
    aggressor_factor: f64,
    seed: u64,
) -> RunMeasurements {
    World::new(scenario, policy, queue, aggressor_factor, seed).run()
}

fn routing(scenario: &TrafficScenario, seed: u64) -> RunReport {
    let queue = QueueKind::None;
    let runs = [
        ("random", simulate(scenario, &RandomPick, queue, 1.0, seed)),
        ("round robin", simulate(scenario, &RoundRobin::default(), queue, 1.0, seed)),
        ("least outstanding", simulate(scenario, &LeastOutstanding, queue, 1.0, seed)),
        ("route picker", simulate(scenario, &UpstreamPicker::default(), queue, 1.0, seed)),
    ];
    let mut table = ReportTable::new("policy", &["p50 ms", "p90 ms", "p99 ms", "goodput %"]);
    for (name, run) in &runs {
        let goodput = run.goodput(scenario.capacity());
        let percentiles = [50.0, 90.0, 99.0].map(|percent| run.percentile(percent));
        table.push(*name, percentiles.into_iter().chain([goodput]).collect());
    }
    let (baseline, picker) = (runs[2].1.percentile(99.0), runs[3].1.percentile(99.0));
    let reduction_percent = (1.0 - picker / baseline) * 100.0;
    let name = "p99 below least outstanding, %";
    let targets = vec![TargetLine::new(name, TargetBound::AtLeast, 30.0, reduction_percent)];
    let plot = Some(latency_plot(&scenario.name, &runs));
    RunReport { tables: vec![table], targets, plot, ..RunReport::default() }
}

fn fairness(scenario: &TrafficScenario, seed: u64) -> RunReport {
    let picker = UpstreamPicker::default();
    let columns = ["others' p99 ms", "with aggressor", "worst change %", "others refused %"];
    let mut table = ReportTable::new("queue", &columns);
    let mut targets = Vec::new();
    let mut runs = Vec::new();
    let queues = [
        ("first come", QueueKind::Fifo),
        ("fair, no limits", QueueKind::Fair),
        ("fair, limits at the share", QueueKind::LimitedFair),
    ];
    for (name, queue) in queues {
        let without_aggressor = simulate(scenario, &picker, queue, 1.0, seed);
        let with_aggressor = simulate(scenario, &picker, queue, scenario.aggressor_factor, seed);
        let customers = 1..scenario.customers as usize;
        let changes = customers.clone().map(|customer| {
            let before = without_aggressor.customer_percentile(customer, 99.0);
            (with_aggressor.customer_percentile(customer, 99.0) / before - 1.0) * 100.0
        });
        let max_change = changes.fold(f64::NEG_INFINITY, f64::max);
        let max_p99 = |run: &RunMeasurements| {
            let percentiles =
                customers.clone().map(|customer| run.customer_percentile(customer, 99.0));
            percentiles.fold(0.0, f64::max)
        };
        let refused = with_aggressor.refused_percent(1);
        table.push(
            name,
            vec![max_p99(&without_aggressor), max_p99(&with_aggressor), max_change, refused],
        );
        if queue != QueueKind::Fifo {
            let name = format!("change of another customer's p99 ({name}), %");
            targets.push(TargetLine::new(name, TargetBound::AtMost, 20.0, max_change));
        }
        runs.push((name, with_aggressor));
    }
    let plot = Some(latency_plot(&scenario.name, &runs));
    RunReport { tables: vec![table], targets, plot, ..RunReport::default() }
}

fn overload(scenario: &TrafficScenario, seed: u64) -> RunReport {
    let picker = UpstreamPicker::default();
    let runs = [
        ("none", simulate(scenario, &picker, QueueKind::None, 1.0, seed)),
        ("first come", simulate(scenario, &picker, QueueKind::Fifo, 1.0, seed)),
        ("fair", simulate(scenario, &picker, QueueKind::Fair, 1.0, seed)),
    ];
    let mut table = ReportTable::new("queue", &["goodput %", "p99 ms", "refused %"]);
    for (name, run) in &runs {
        let goodput = run.goodput(scenario.capacity());
        table.push(*name, vec![goodput, run.percentile(99.0), run.refused_percent(0)]);
    }
    let goodput = runs[2].1.goodput(scenario.capacity());
    let name = "goodput, % of capacity";
    let targets = vec![TargetLine::new(name, TargetBound::AtLeast, 95.0, goodput)];
    let plot = Some(latency_plot(&scenario.name, &runs));
    RunReport { tables: vec![table], targets, plot, ..RunReport::default() }
}

fn crash(scenario: &TrafficScenario, seed: u64) -> RunReport {
    let runs = [("none", CrashProtection::None), ("suspect table", CrashProtection::SuspectTable)];
    let runs =
        runs.map(|(name, protection)| (name, CrashWorld::new(scenario, protection, seed).run()));
    let columns = ["lost", "completed", "others refused", "interrupted", "of those refused"];
    let mut table = ReportTable::new("guard", &columns);
    for (name, run) in &runs {
        let counts = [run.lost, run.completed, run.others_refused, run.interrupted];
        let counts = counts.into_iter().chain([run.interrupted_refused]);
        table.push(*name, counts.map(|count| count as f64).collect());
    }
    let protected = &runs[1].1;
    let lost = protected.lost as f64 / f64::from(scenario.crashing_requests.max(1));
    let refused = (protected.others_refused + protected.interrupted_refused) as f64;
    let targets = vec![
        TargetLine::new("upstreams lost per crashing request", TargetBound::AtMost, 2.0, lost),
        TargetLine::new("other requests refused", TargetBound::AtMost, 0.0, refused),
    ];
    RunReport { tables: vec![table], targets, ..RunReport::default() }
}

fn latency_plot(title: &str, runs: &[(&str, RunMeasurements)]) -> PlotFrame {
    let series = runs.iter().map(|(name, run)| {
        let points = (1..=99).map(|percent| {
            let percent = f64::from(percent);
            (percent, run.percentile(percent))
        });
        PlotSeries { name: String::from(*name), points: points.collect() }
    });
    PlotFrame {
        title: String::from(title),
        x_label: String::from("percentile"),
        y_label: String::from("latency in ms"),
        series: series.collect(),
    }
}
