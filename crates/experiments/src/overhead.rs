//! Latency that the daemon adds to a call of a plain service, and its highest rate of small
//! requests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use error_stack::ResultExt as _;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use process_tests::{FleetOptions, TestFleet};

use crate::{
    RunFailed, RunResult,
    flags::Overhead,
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

const TRAFFIC_THREADS: u32 = 2;
const SERVICES: usize = 4;
/// Measured calls of each kind, one at a time.
const MEASURED_CALLS: usize = 5_000;
const WARM_UP_CALLS: usize = 500;
const CLIENT_THREADS: usize = 3;
const CONNECTIONS_PER_THREAD: usize = 16;
const CALL_TIMEOUT: Span = Span::from_secs(10);

/// Result of a call that got an expected response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    Answered,
    /// Status 503: the daemon refused the call as overload by its own estimate.
    Refused,
}

/// An open route: it needs no key, so no customer's limit bounds the rate.
const ROUTE: &str = "/v1/open";

pub(crate) fn run(flags: &Overhead) -> RunResult {
    let seconds = flags.seconds.unwrap_or(5).clamp(1, 60);
    actix_rt::System::new().block_on(measure(Duration::from_secs(seconds)))
}

async fn measure(length: Duration) -> RunResult {
    let fleet = TestFleet::start(FleetOptions {
        daemons: vec!["hobart-a"],
        engines: Vec::new(),
        plain_services: vec![vec![String::from("--service-time"), String::from("0")]; SERVICES],
        traffic_threads: TRAFFIC_THREADS,
        limit_grant: "10s",
        ..FleetOptions::default()
    })
    .await;
    fleet.apply_first_document(&["derwent"]).await;
    let daemon = fleet.caller_address(0);
    let services = fleet.plain_services.iter().map(|plain| plain.address(0)).collect::<Vec<_>>();
    let mut refused_single = 0;
    let (direct, via_daemon) = latencies(services[0], daemon, &mut refused_single).await?;
    let (direct_rate, _) = max_rate(services, "/open", length).await?;
    let (daemon_rate, refused) = max_rate(vec![daemon], ROUTE, length).await?;
    let millis = |latency: &Histogram<u64>, quantile: f64| {
        latency.value_at_quantile(quantile) as f64 / 1_000.0
    };
    let mut latency = ReportTable::new("one call at a time", &["p50 ms", "p99 ms", "calls"]);
    for (name, histogram) in [("direct", &direct), ("through the daemon", &via_daemon)] {
        let values = vec![millis(histogram, 0.5), millis(histogram, 0.99), histogram.len() as f64];
        latency.push(name, values);
    }
    let mut rate = ReportTable::new("closed loop", &["requests/s", "share of direct", "refused"]);
    rate.push("direct", vec![direct_rate, 1.0, 0.0]);
    rate.push("through the daemon", vec![daemon_rate, daemon_rate / direct_rate, refused as f64]);
    let added_p50_ms = millis(&via_daemon, 0.5) - millis(&direct, 0.5);
    let targets = vec![
        TargetLine::new("added p50 in ms", TargetBound::Below, 0.3, added_p50_ms),
        TargetLine::new("requests/s on 2 threads", TargetBound::AtLeast, 10_000.0, daemon_rate),
        TargetLine::new(
            "refused, one call at a time",
            TargetBound::AtMost,
            0.0,
            refused_single as f64,
        ),
        TargetLine::new("refused, closed loop", TargetBound::AtMost, 0.0, refused as f64),
    ];
    let title = format!(
        "overhead, {SERVICES} plain services, {CLIENT_THREADS} client threads with \
         {CONNECTIONS_PER_THREAD} connections each"
    );
    Ok(RunReport { title, tables: vec![latency, rate], targets, plot: None })
}

/// Measures direct calls and calls through the daemon in turn, so that other work on the machine
/// affects both alike. Adds the refused calls to `refused`.
async fn latencies(
    service: SocketAddr,
    daemon: SocketAddr,
    refused: &mut u64,
) -> RunResult<(Histogram<u64>, Histogram<u64>)> {
    let http = HttpClient::new(Span::from_secs(5));
    let new_histogram = || {
        Histogram::<u64>::new_with_bounds(1, CALL_TIMEOUT.0, 3)
            .change_context_lazy(|| RunFailed(String::from("cannot create the latency histogram")))
    };
    let (mut direct, mut via_daemon) = (new_histogram()?, new_histogram()?);
    for number in 0..MEASURED_CALLS + WARM_UP_CALLS {
        for (address, path, histogram) in
            [(service, "/open", &mut direct), (daemon, ROUTE, &mut via_daemon)]
        {
            let begin = Instant::now();
            let outcome = call(&http, address, path).await?;
            *refused += u64::from(outcome == CallOutcome::Refused);
            if number >= WARM_UP_CALLS && outcome == CallOutcome::Answered {
                // Rounding to microseconds costs less than a hundredth of the target of 0.3 ms.
                histogram.saturating_record(begin.elapsed().as_micros() as u64);
            }
        }
    }
    Ok((direct, via_daemon))
}

async fn call(http: &HttpClient, address: SocketAddr, path: &str) -> RunResult<CallOutcome> {
    let request = HttpRequest::post(address, path, Bytes::from_static(b"{}"));
    let response = http.exchange(request, CALL_TIMEOUT, 1 << 20).await;
    let response =
        response.change_context_lazy(|| RunFailed(format!("call to {address}{path} failed")))?;
    match response.status.as_u16() {
        200 => Ok(CallOutcome::Answered),
        503 => Ok(CallOutcome::Refused),
        status => Err(RunFailed(format!(
            "call to {address}{path} returned status {status}, expected 200 or 503"
        ))
        .into()),
    }
}

/// Returns the answered requests per second with all connections busy (closed loop), and the number
/// of refusals.
async fn max_rate(
    addresses: Vec<SocketAddr>,
    path: &'static str,
    length: Duration,
) -> RunResult<(f64, u64)> {
    let threads = (0..CLIENT_THREADS).map(|_| {
        let addresses = addresses.clone();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let begin = Instant::now();
                let connections = (0..CONNECTIONS_PER_THREAD).map(|connection| {
                    let address = addresses[connection % addresses.len()];
                    async move {
                        let http = HttpClient::new(Span::from_secs(5));
                        let (mut answered, mut refused) = (0_u64, 0_u64);
                        while begin.elapsed() < length {
                            match call(&http, address, path).await? {
                                CallOutcome::Answered => answered += 1,
                                CallOutcome::Refused => refused += 1,
                            }
                        }
                        RunResult::Ok((answered, refused))
                    }
                });
                let counts =
                    join_all(connections).await.into_iter().collect::<RunResult<Vec<_>>>()?;
                let answered = counts.iter().map(|(answered, _)| answered).sum::<u64>();
                let refused = counts.iter().map(|(_, refused)| refused).sum::<u64>();
                RunResult::Ok((answered as f64 / begin.elapsed().as_secs_f64(), refused))
            })
        })
    });
    let threads = threads.collect::<Vec<_>>();
    let joined = actix_rt::task::spawn_blocking(move || {
        let rates = threads.into_iter().map(|thread| match thread.join() {
            Ok(rate) => rate,
            Err(_) => Err(RunFailed(String::from("a client thread panicked")).into()),
        });
        let rates = rates.collect::<RunResult<Vec<_>>>()?;
        let rate = rates.iter().map(|(rate, _)| rate).sum();
        RunResult::Ok((rate, rates.iter().map(|(_, refused)| refused).sum()))
    });
    joined.await.change_context_lazy(|| {
        RunFailed(String::from("the task that waits for the client threads failed"))
    })?
}
