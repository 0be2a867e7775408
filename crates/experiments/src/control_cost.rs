//! CPU time, memory and control traffic of each daemon against the number of daemons, measured on
//! separate processes that talk over loopback. Also times edits of the document and lease
//! takeovers.

mod process;
mod takeover;
#[cfg(test)]
mod tests;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use configuration::ConfigVersion;
use error_stack::ResultExt as _;
use futures_util::future::join_all;
use hibiscushinge::EditOutcome;
use process_tests::{FleetOptions, TestFleet, call, caller_key, document_text, get_json};
use serde_json::Value;

use self::process::{ProcessResources, least_squares, read_resources};
use crate::{
    RunFailed, RunResult,
    flags::ControlCost,
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

const ZONES: [&str; 3] = ["hobart-a", "hobart-b", "kingston-c"];

/// Larger fleets would measure the load on this machine instead of the daemons.
const MAX_DAEMONS: usize = 100;
const MAX_SECONDS: u64 = 600;

const ENGINES: usize = 4;

/// Edits of the document per fleet, each timed until all daemons have the new version.
const EDITS: u64 = 5;

/// Default time between the start of a fleet and its measurement. After 5 s, hardly any usage batch
/// has reached the log.
const DEFAULT_SETTLING_SECONDS: u64 = 40;

const COLUMNS: [&str; 11] = [
    "cpu % of core",
    "cpu max",
    "MB",
    "peer B/s",
    "peer B/s max",
    "log B/s",
    "platform B/s",
    "upstream B/s",
    "log reads/s, all",
    "appends/s, all",
    "answers/s, all",
];

/// Kinds of exchange by their names in `/admin/status`, grouped by column of the report.
const EXCHANGE_KINDS: [&[&str]; 4] =
    [&["peers_asked", "peers_served"], &["log"], &["platform"], &["upstreams"]];

/// What one daemon has used since it started.
struct DaemonReading {
    process: ProcessResources,
    /// Bytes sent and received per entry of `EXCHANGE_KINDS`.
    bytes: [f64; EXCHANGE_KINDS.len()],
}

pub(crate) fn run(flags: &ControlCost) -> RunResult {
    let counts = flags.daemons.split(',').map(|word| word.trim().parse::<usize>());
    let counts = counts.collect::<Result<Vec<_>, _>>().change_context_lazy(|| {
        RunFailed(format!(
            "--daemons \"{}\" is not a list of numbers with commas between them",
            flags.daemons
        ))
    })?;
    let seconds = flags.seconds.unwrap_or(20);
    if counts.iter().any(|count| !(1..=MAX_DAEMONS).contains(count))
        || !(1..=MAX_SECONDS).contains(&seconds)
    {
        let bounds = format!(
            "each number of --daemons must be 1 to {MAX_DAEMONS}, and --seconds 1 to \
             {MAX_SECONDS}; got {counts:?} and {seconds}"
        );
        return Err(RunFailed(bounds).into());
    }
    actix_rt::System::new().block_on(measure(flags, &counts, Duration::from_secs(seconds)))
}

async fn measure(flags: &ControlCost, counts: &[usize], length: Duration) -> RunResult {
    let rate = flags.rate.unwrap_or(1);
    let settling = flags.settle.unwrap_or(DEFAULT_SETTLING_SECONDS).min(MAX_SECONDS);
    let settling = Duration::from_secs(settling);
    let mut cost = ReportTable::new("daemons", &COLUMNS);
    let mut edits = ReportTable::new("daemons", &["median ms", "max ms", "edits"]);
    let mut takeovers = ReportTable::new("takeover", &["median ms", "max ms", "kills", "daemons"]);
    let mut points = Vec::new();
    for (index, count) in counts.iter().enumerate() {
        eprintln!("{count} daemons: starting");
        let mut fleet = start_fleet(*count).await;
        let values = measure_fleet(&fleet, settling, length, rate).await?;
        cost.push(count.to_string(), values.clone());
        points.push((*count as f64, values));
        eprintln!("{count} daemons: editing the document");
        let times = time_edits(&fleet).await?;
        edits.push(count.to_string(), summary(times));
        if index + 1 < counts.len() {
            continue;
        }
        eprintln!("{count} daemons: killing lease holders");
        let kills = flags.takeovers.unwrap_or(5);
        let version = 1 + EDITS;
        let mut values = summary(takeover::time_takeovers(&mut fleet, kills, version).await?);
        values.push(*count as f64);
        takeovers.push("usage scope", values);
    }
    let mut fit = ReportTable::new("least squares over daemons", &COLUMNS);
    let fits = (0..COLUMNS.len()).map(|column| {
        let line = points.iter().map(|(count, values)| (*count, values[column]));
        least_squares(&line.collect::<Vec<_>>())
    });
    let (slopes, intercepts) = fits.unzip();
    fit.push("slope per daemon", slopes);
    fit.push("intercept", intercepts);
    let targets = targets(&cost);
    let title = format!(
        "control cost, {} s per point, {rate} requests/s per daemon, {ENGINES} engines",
        length.as_secs()
    );
    Ok(RunReport { title, tables: vec![cost, fit, edits, takeovers], targets, plot: None })
}

/// Compares the last fleet of this run with the targets for one node, without extrapolation.
fn targets(cost: &ReportTable) -> Vec<TargetLine> {
    let Some(row) = cost.rows.last() else { return Vec::new() };
    let values = &row.values;
    let control = values[3] + values[5] + values[6] + values[7];
    let target_name = |what: &str| format!("{what} per node at {} daemons", row.name);
    vec![
        TargetLine::new(target_name("% of a core"), TargetBound::AtMost, 1.9, values[0]),
        TargetLine::new(target_name("MB"), TargetBound::AtMost, 128.0, values[2]),
        TargetLine::new(
            target_name("B/s between daemons"),
            TargetBound::AtMost,
            3_000.0,
            values[3],
        ),
        TargetLine::new(target_name("B/s of all control"), TargetBound::AtMost, 3_000.0, control),
    ]
}

async fn start_fleet(count: usize) -> TestFleet {
    let fleet = TestFleet::start(FleetOptions {
        daemons: (0..count).map(|index| ZONES[index % ZONES.len()]).collect(),
        engines: vec![Vec::new(); ENGINES],
        limit_grant: "10s",
        ..FleetOptions::default()
    })
    .await;
    fleet.apply_first_document(&["derwent"]).await;
    fleet
}

async fn measure_fleet(
    fleet: &TestFleet,
    settling: Duration,
    length: Duration,
    rate: u64,
) -> RunResult<Vec<f64>> {
    let answered = Rc::new(Cell::new(0_u64));
    let load = fleet.daemons.iter().map(|daemon| {
        let answered = Rc::clone(&answered);
        let address = daemon.address(0);
        actix_rt::spawn(async move {
            let key = format!("Bearer {}", caller_key("derwent"));
            let Some(period) = Duration::from_secs(1).checked_div(rate as u32) else { return };
            let mut ticks = tokio::time::interval(period);
            loop {
                ticks.tick().await;
                let headers = [("authorization", key.clone())];
                let response = call(address, "/v1/order", &headers, "{}").await;
                answered.set(answered.get() + u64::from(response.status == 200));
            }
        })
    });
    let load = load.collect::<Vec<_>>();
    actix_rt::time::sleep(settling).await;
    let (begin, before, log_before) =
        (Instant::now(), read_daemons(fleet).await?, log_requests(fleet).await);
    let answered_before = answered.get();
    actix_rt::time::sleep(length).await;
    let answered_meanwhile = answered.get() - answered_before;
    let (after, log_after) = (read_daemons(fleet).await?, log_requests(fleet).await);
    let elapsed = begin.elapsed().as_secs_f64();
    for task in load {
        task.abort();
    }
    let pairs = before.iter().zip(&after).collect::<Vec<_>>();
    let per_second = |of: &dyn Fn(&DaemonReading) -> f64| {
        let rates = pairs.iter().map(|(before, after)| (of(after) - of(before)) / elapsed);
        rates.collect::<Vec<_>>()
    };
    let cpu = per_second(&|reading| reading.process.cpu_seconds * 100.0);
    let peers = per_second(&|reading| reading.bytes[0]);
    let memory = after.iter().map(|reading| reading.process.resident_mb).collect::<Vec<_>>();
    let mut values = vec![mean(&cpu), maximum(&cpu), mean(&memory), mean(&peers), maximum(&peers)];
    values.extend(
        (1..EXCHANGE_KINDS.len()).map(|kind| mean(&per_second(&|reading| reading.bytes[kind]))),
    );
    values.push((log_after.0 - log_before.0) / elapsed);
    values.push((log_after.1 - log_before.1) / elapsed);
    values.push(answered_meanwhile as f64 / elapsed);
    Ok(values)
}

async fn read_daemons(fleet: &TestFleet) -> RunResult<Vec<DaemonReading>> {
    let statuses = statuses(fleet).await;
    let daemons = fleet.daemons.iter().zip(statuses).map(|(daemon, status)| {
        let process = read_resources(daemon.id())?;
        let bytes = |kind: &str| {
            let transfer = &status["transfer"][kind];
            transfer["sent_bytes"].as_f64().unwrap_or(0.0)
                + transfer["received_bytes"].as_f64().unwrap_or(0.0)
        };
        let bytes = EXCHANGE_KINDS.map(|kinds| kinds.iter().map(|kind| bytes(kind)).sum());
        Ok(DaemonReading { process, bytes })
    });
    daemons.collect()
}

/// Returns `/admin/status` of every daemon, or null where it did not answer.
pub(crate) async fn statuses(fleet: &TestFleet) -> Vec<Value> {
    let requests = fleet.daemons.iter().map(|daemon| get_json(daemon.address(2), "/admin/status"));
    let responses = join_all(requests).await;
    responses.into_iter().map(Option::unwrap_or_default).collect()
}

/// Returns the numbers of log reads and appends that the platform has served.
async fn log_requests(fleet: &TestFleet) -> (f64, f64) {
    let found = fleet.inspect().await;
    let number = |name: &str| found[name].as_f64().unwrap_or(0.0);
    (number("reads"), number("appends"))
}

/// Returns the milliseconds of each edit, from its start until the last daemon shows the new
/// version.
async fn time_edits(fleet: &TestFleet) -> RunResult<Vec<f64>> {
    let mut operator = fleet.operator(2);
    let mut times = Vec::new();
    for version in 1..=EDITS {
        let customers = (0..=version).map(|index| format!("customer-{index}")).collect::<Vec<_>>();
        let mut names = vec!["derwent"];
        names.extend(customers.iter().map(String::as_str));
        let text = document_text(fleet, &names);
        let begin = Instant::now();
        let edit = operator.edit("production", ConfigVersion(version), &text).await;
        if edit != Ok(EditOutcome::Accepted(ConfigVersion(version + 1))) {
            return Err(RunFailed(format!(
                "edit of document version {version} was not accepted: {edit:?}"
            ))
            .into());
        }
        loop {
            let statuses = statuses(fleet).await;
            let active_version = |status: &Value| status["configuration"]["version"].as_u64();
            if statuses.iter().all(|status| active_version(status) > Some(version)) {
                break;
            }
            if begin.elapsed() > Duration::from_secs(60) {
                let message = format!(
                    "document version {} was not active on all daemons within 60 s",
                    version + 1
                );
                return Err(RunFailed(message).into());
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        times.push(begin.elapsed().as_secs_f64() * 1_000.0);
    }
    Ok(times)
}

/// Returns the median, the maximum and the number of the times.
fn summary(mut times: Vec<f64>) -> Vec<f64> {
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    vec![median, maximum(&times), times.len() as f64]
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
