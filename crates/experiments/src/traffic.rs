//! Routing, admission and crash isolation against baselines, in virtual time.

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
        crash::{CrashGuard, CrashWorld},
        measure::RunMeasure,
        scenario::{ScenarioKind, TrafficScenario},
        world::{GateKind, World},
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

fn play<P: PickPolicy + Clone>(
    scenario: &TrafficScenario,
    policy: &P,
    gate: GateKind,
    aggressor_factor: f64,
    seed: u64,
) -> RunMeasure {
    World::new(scenario, policy, gate, aggressor_factor, seed).run()
}

fn routing(scenario: &TrafficScenario, seed: u64) -> RunReport {
    let gate = GateKind::Open;
    let runs = [
        ("random", play(scenario, &RandomPick, gate, 1.0, seed)),
        ("round robin", play(scenario, &RoundRobin::default(), gate, 1.0, seed)),
        ("least outstanding", play(scenario, &LeastOutstanding, gate, 1.0, seed)),
        ("route picker", play(scenario, &UpstreamPicker::default(), gate, 1.0, seed)),
    ];
    let mut table = ReportTable::new("policy", &["p50 ms", "p90 ms", "p99 ms", "goodput %"]);
    for (name, run) in &runs {
        let goodput = run.goodput(scenario.capacity());
        let percentiles = [50.0, 90.0, 99.0].map(|percent| run.percentile(percent));
        table.push(*name, percentiles.into_iter().chain([goodput]).collect());
    }
    let (baseline, picker) = (runs[2].1.percentile(99.0), runs[3].1.percentile(99.0));
    let cut = (1.0 - picker / baseline) * 100.0;
    let name = "p99 below least outstanding, %";
    let targets = vec![TargetLine::new(name, TargetBound::AtLeast, 30.0, cut)];
    let plot = Some(latency_plot(&scenario.name, &runs));
    RunReport { tables: vec![table], targets, plot, ..RunReport::default() }
}

fn fairness(scenario: &TrafficScenario, seed: u64) -> RunReport {
    let picker = UpstreamPicker::default();
    let columns = ["others' p99 ms", "with aggressor", "worst change %", "others refused %"];
    let mut table = ReportTable::new("queue", &columns);
    let mut targets = Vec::new();
    let mut runs = Vec::new();
    let gates = [
        ("first come", GateKind::FirstCome),
        ("fair, no limits", GateKind::Fair),
        ("fair, limits at the share", GateKind::LimitedFair),
    ];
    for (name, gate) in gates {
        let calm = play(scenario, &picker, gate, 1.0, seed);
        let pressed = play(scenario, &picker, gate, scenario.aggressor_factor, seed);
        let customers = 1..scenario.customers as usize;
        let changes = customers.clone().map(|customer| {
            let before = calm.customer_percentile(customer, 99.0);
            (pressed.customer_percentile(customer, 99.0) / before - 1.0) * 100.0
        });
        let worst = changes.fold(f64::NEG_INFINITY, f64::max);
        let highest = |run: &RunMeasure| {
            let percentiles =
                customers.clone().map(|customer| run.customer_percentile(customer, 99.0));
            percentiles.fold(0.0, f64::max)
        };
        let refused = pressed.refused_percent(1);
        table.push(name, vec![highest(&calm), highest(&pressed), worst, refused]);
        if gate != GateKind::FirstCome {
            let name = format!("change of another customer's p99 ({name}), %");
            targets.push(TargetLine::new(name, TargetBound::AtMost, 20.0, worst));
        }
        runs.push((name, pressed));
    }
    let plot = Some(latency_plot(&scenario.name, &runs));
    RunReport { tables: vec![table], targets, plot, ..RunReport::default() }
}

fn overload(scenario: &TrafficScenario, seed: u64) -> RunReport {
    let picker = UpstreamPicker::default();
    let runs = [
        ("none", play(scenario, &picker, GateKind::Open, 1.0, seed)),
        ("first come", play(scenario, &picker, GateKind::FirstCome, 1.0, seed)),
        ("fair", play(scenario, &picker, GateKind::Fair, 1.0, seed)),
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
    let runs = [("none", CrashGuard::None), ("suspect table", CrashGuard::Suspects)];
    let runs = runs.map(|(name, guard)| (name, CrashWorld::new(scenario, guard, seed).run()));
    let columns = ["lost", "completed", "others refused", "interrupted", "of those refused"];
    let mut table = ReportTable::new("guard", &columns);
    for (name, run) in &runs {
        let counts = [run.lost, run.completed, run.others_refused, run.interrupted];
        let counts = counts.into_iter().chain([run.interrupted_refused]);
        table.push(*name, counts.map(|count| count as f64).collect());
    }
    let guarded = &runs[1].1;
    let lost = guarded.lost as f64 / f64::from(scenario.crashing_requests.max(1));
    let refused = (guarded.others_refused + guarded.interrupted_refused) as f64;
    let targets = vec![
        TargetLine::new("upstreams lost per crashing request", TargetBound::AtMost, 2.0, lost),
        TargetLine::new("other requests refused", TargetBound::AtMost, 0.0, refused),
    ];
    RunReport { tables: vec![table], targets, ..RunReport::default() }
}

fn latency_plot(title: &str, runs: &[(&str, RunMeasure)]) -> PlotFrame {
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
