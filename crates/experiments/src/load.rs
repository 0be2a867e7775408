//! Open-loop load on a daemon or a service of this machine.
//!
//! The send times are drawn before the run, and latency is measured from the intended send time. A
//! slow response therefore delays no later request, and the wait for it is not hidden (no
//! coordinated omission).

#[cfg(test)]
mod tests;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use error_stack::ResultExt as _;
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    RunFailed, RunResult,
    flags::Load,
    report::{ReportTable, RunReport},
};

const MAX_REQUESTS: u64 = 1_000_000;
const MAX_SECONDS: u64 = 600;
/// Further requests count as not sent, so that a stalled target cannot exhaust the file descriptors
/// of this process.
const MAX_IN_FLIGHT: usize = 900;
const CALL_TIMEOUT: Span = Span::from_secs(60);
/// Length of the prompt prefix that the requests of a session share.
const PREFIX_WORDS: usize = 200;

/// One scheduled request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Arrival {
    /// Intended send time since the start of the run.
    pub(crate) due: Duration,
    pub(crate) session: u64,
    /// Time after sending at which the caller disconnects without waiting for the response.
    pub(crate) abandoned_after: Option<Duration>,
}

/// Parameters from which the arrivals of a run are drawn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArrivalPlan {
    pub(crate) seed: u64,
    pub(crate) rate: u64,
    pub(crate) seconds: u64,
    pub(crate) sessions: u64,
    pub(crate) abandoned_percent: u32,
}

struct LoadResults {
    /// Microseconds from the intended send time to the end of the response, of answered requests.
    latency: Histogram<u64>,
    in_flight: usize,
    answered: u64,
    refused: u64,
    failed: u64,
    abandoned: u64,
    not_sent: u64,
}

pub(crate) fn run(flags: &Load) -> RunResult {
    let plan = ArrivalPlan {
        seed: flags.seed.unwrap_or(1),
        rate: flags.rate,
        seconds: flags.seconds,
        sessions: flags.sessions.unwrap_or(1).max(1),
        abandoned_percent: flags.abandon.unwrap_or(0),
    };
    let requests = plan.rate.saturating_mul(plan.seconds);
    if !(1..=MAX_REQUESTS).contains(&requests) || plan.seconds > MAX_SECONDS {
        let bounds = format!(
            "--rate times --seconds must be 1 to {MAX_REQUESTS} requests in at most \
             {MAX_SECONDS} s; got {plan:?}"
        );
        return Err(RunFailed(bounds).into());
    }
    if !flags.target.ip().is_loopback() {
        return Err(RunFailed(format!(
            "--target {} is not a loopback address; no load is sent",
            flags.target
        ))
        .into());
    }
    let route = flags.route.trim_start_matches('/');
    let path = format!("/{route}");
    let results =
        actix_rt::System::new().block_on(send_load(&plan, flags.target, &path, &flags.key))?;
    let columns =
        ["answered", "refused", "failed", "abandoned", "not sent", "p50 ms", "p99 ms", "max ms"];
    let mut table = ReportTable::new("load", &columns);
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let counts =
        [results.answered, results.refused, results.failed, results.abandoned, results.not_sent];
    let mut values = counts.map(|count| count as f64).to_vec();
    let latency = &results.latency;
    values.extend([0.5, 0.99].map(|quantile| millis(latency.value_at_quantile(quantile))));
    values.push(millis(latency.max()));
    table.push(path, values);
    let title = format!("{} requests/s for {} s on {}", plan.rate, plan.seconds, flags.target);
    Ok(RunReport { title, tables: vec![table], targets: Vec::new(), plot: None })
}

impl ArrivalPlan {
    /// Returns the arrivals in order, with exponential times between them.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut due = 0.0;
        let mut arrivals = Vec::new();
        loop {
            due -= (1.0 - rng.random::<f64>()).ln() / self.rate as f64;
            if due >= self.seconds as f64 || arrivals.len() as u64 >= MAX_REQUESTS {
                return arrivals;
            }
            let session = rng.random_range(0..self.sessions);
            let abandoned = rng.random_range(0..100) < self.abandoned_percent;
            let disconnect_after = Duration::from_millis(rng.random_range(1..200));
            arrivals.push(Arrival {
                due: Duration::from_secs_f64(due),
                session,
                abandoned_after: abandoned.then_some(disconnect_after),
            });
        }
    }
}

/// Returns the JSON body of request `number`. Requests of one session share a prefix of their
/// prompt.
pub(crate) fn body(session: u64, number: usize) -> String {
    let prefix = format!("session {session} ").repeat(PREFIX_WORDS / 2);
    format!("{{\"prompt\":\"{prefix}question {number}\",\"max_tokens\":16}}")
}

async fn send_load(
    plan: &ArrivalPlan,
    target: SocketAddr,
    path: &str,
    key: &str,
) -> RunResult<LoadResults> {
    let latency = Histogram::new_with_bounds(1, CALL_TIMEOUT.0 * 2, 3)
        .change_context_lazy(|| RunFailed(String::from("cannot create the latency histogram")))?;
    let results = LoadResults {
        latency,
        in_flight: 0,
        answered: 0,
        refused: 0,
        failed: 0,
        abandoned: 0,
        not_sent: 0,
    };
    let results = Rc::new(RefCell::new(results));
    let authorization = format!("Bearer {key}").parse().change_context_lazy(|| {
        RunFailed(String::from("the key is not a valid value of the header authorization"))
    })?;
    let request = HttpRequest::post(target, path, Bytes::new()).with_header(
        "authorization".parse().expect("`authorization` is a valid header name"),
        authorization,
    );
    let http = HttpClient::new(Span::from_secs(5));
    let begin = Instant::now();
    let mut next_progress_second = 1;
    for (number, arrival) in plan.arrivals().into_iter().enumerate() {
        if let Some(wait) = arrival.due.checked_sub(begin.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        if arrival.due.as_secs() >= next_progress_second {
            next_progress_second = arrival.due.as_secs() + 1;
            let results = results.borrow();
            eprintln!(
                "{} s: {number} due, {} answered, {} in flight",
                arrival.due.as_secs(),
                results.answered,
                results.in_flight
            );
        }
        if results.borrow().in_flight >= MAX_IN_FLIGHT {
            results.borrow_mut().not_sent += 1;
            continue;
        }
        let request = HttpRequest { body: body(arrival.session, number).into(), ..request.clone() };
        let (http, results) = (http.clone(), Rc::clone(&results));
        results.borrow_mut().in_flight += 1;
        actix_rt::spawn(async move {
            send(&http, request, begin, &arrival, &results).await;
            results.borrow_mut().in_flight -= 1;
        });
    }
    while results.borrow().in_flight > 0 {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let results = Rc::into_inner(results).map(RefCell::into_inner);
    results.ok_or_else(|| {
        RunFailed(String::from(
            "the results are still shared with a request after all requests have ended",
        ))
        .into()
    })
}

async fn send(
    http: &HttpClient,
    request: HttpRequest,
    begin: Instant,
    arrival: &Arrival,
    results: &RefCell<LoadResults>,
) {
    let call = http.stream_all(request, CALL_TIMEOUT);
    let disconnect_after =
        arrival.abandoned_after.unwrap_or(Duration::from_micros(CALL_TIMEOUT.0 * 2));
    let response = actix_rt::time::timeout(disconnect_after, call).await;
    let latency = begin.elapsed().saturating_sub(arrival.due);
    let mut results = results.borrow_mut();
    match response {
        Err(_) => results.abandoned += 1,
        Ok(Err(_)) => results.failed += 1,
        Ok(Ok((200..=299, _))) => {
            results.answered += 1;
            results.latency.saturating_record(latency.as_micros().max(1) as u64);
        }
        Ok(Ok(_)) => results.refused += 1,
    }
}
