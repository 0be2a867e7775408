//! Open-loop load on a daemon or a service of this machine.
//!
//! Requests are sent at times drawn beforehand, and latency counts from the intended time. A slow
//! answer therefore delays no later request, and its wait is not hidden (no coordinated omission).

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
/// Requests open at once. Further ones count as not sent, so that a stalled target cannot exhaust
/// the file descriptors of this process.
const MAX_OPEN: usize = 900;
const CALL_LIMIT: Span = Span::from_secs(60);
const PREFIX_WORDS: usize = 200;

/// One request: when it is due, and what it carries.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Arrival {
    pub(crate) due: Duration,
    pub(crate) session: u64,
    /// Time after which the caller gives up.
    pub(crate) abandoned_after: Option<Duration>,
}

/// Draws the arrivals of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArrivalPlan {
    pub(crate) seed: u64,
    pub(crate) rate: u64,
    pub(crate) seconds: u64,
    pub(crate) sessions: u64,
    pub(crate) abandoned_percent: u32,
}

struct LoadFigures {
    latency: Histogram<u64>,
    open: usize,
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
        let bounds = format!("1 to {MAX_REQUESTS} requests in up to {MAX_SECONDS} s; the run");
        return Err(RunFailed(bounds).into());
    }
    if !flags.target.ip().is_loopback() {
        return Err(
            RunFailed(format!("{} is not a loopback address; the run", flags.target)).into()
        );
    }
    let route = flags.route.trim_start_matches('/');
    let path = format!("/{route}");
    let figures =
        actix_rt::System::new().block_on(drive(&plan, flags.target, &path, &flags.key))?;
    let columns =
        ["answered", "refused", "failed", "abandoned", "not sent", "p50 ms", "p99 ms", "max ms"];
    let mut table = ReportTable::new("load", &columns);
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let counts =
        [figures.answered, figures.refused, figures.failed, figures.abandoned, figures.not_sent];
    let mut values = counts.map(|count| count as f64).to_vec();
    let latency = &figures.latency;
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
            let patience = Duration::from_millis(rng.random_range(1..200));
            arrivals.push(Arrival {
                due: Duration::from_secs_f64(due),
                session,
                abandoned_after: abandoned.then_some(patience),
            });
        }
    }
}

/// Returns the body of a request. Requests of one session share the beginning of their prompt.
pub(crate) fn body(session: u64, number: usize) -> String {
    let prefix = format!("session {session} ").repeat(PREFIX_WORDS / 2);
    format!("{{\"prompt\":\"{prefix}question {number}\",\"max_tokens\":16}}")
}

async fn drive(
    plan: &ArrivalPlan,
    target: SocketAddr,
    path: &str,
    key: &str,
) -> RunResult<LoadFigures> {
    let latency = Histogram::new_with_bounds(1, CALL_LIMIT.0 * 2, 3)
        .change_context_lazy(|| RunFailed(String::from("building the histogram")))?;
    let figures = LoadFigures {
        latency,
        open: 0,
        answered: 0,
        refused: 0,
        failed: 0,
        abandoned: 0,
        not_sent: 0,
    };
    let figures = Rc::new(RefCell::new(figures));
    let authorization = format!("Bearer {key}")
        .parse()
        .change_context_lazy(|| RunFailed(String::from("writing the key as a header")))?;
    let request = HttpRequest::post(target, path, Bytes::new())
        .with_header("authorization".parse().expect("the name is valid"), authorization);
    let http = HttpClient::new(Span::from_secs(5));
    let begin = Instant::now();
    let mut progress = 1;
    for (number, arrival) in plan.arrivals().into_iter().enumerate() {
        if let Some(wait) = arrival.due.checked_sub(begin.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        if arrival.due.as_secs() >= progress {
            progress = arrival.due.as_secs() + 1;
            let figures = figures.borrow();
            eprintln!(
                "{} s: {number} due, {} answered, {} open",
                arrival.due.as_secs(),
                figures.answered,
                figures.open
            );
        }
        if figures.borrow().open >= MAX_OPEN {
            figures.borrow_mut().not_sent += 1;
            continue;
        }
        let request = HttpRequest { body: body(arrival.session, number).into(), ..request.clone() };
        let (http, figures) = (http.clone(), Rc::clone(&figures));
        figures.borrow_mut().open += 1;
        actix_rt::spawn(async move {
            send(&http, request, begin, &arrival, &figures).await;
            figures.borrow_mut().open -= 1;
        });
    }
    while figures.borrow().open > 0 {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let figures = Rc::into_inner(figures).map(RefCell::into_inner);
    figures.ok_or_else(|| RunFailed(String::from("collecting the figures of all calls")).into())
}

async fn send(
    http: &HttpClient,
    request: HttpRequest,
    begin: Instant,
    arrival: &Arrival,
    figures: &RefCell<LoadFigures>,
) {
    let call = http.stream_all(request, CALL_LIMIT);
    let patience = arrival.abandoned_after.unwrap_or(Duration::from_micros(CALL_LIMIT.0 * 2));
    let answer = actix_rt::time::timeout(patience, call).await;
    let latency = begin.elapsed().saturating_sub(arrival.due);
    let mut figures = figures.borrow_mut();
    match answer {
        Err(_) => figures.abandoned += 1,
        Ok(Err(_)) => figures.failed += 1,
        Ok(Ok((200..=299, _))) => {
            figures.answered += 1;
            figures.latency.saturating_record(latency.as_micros().max(1) as u64);
        }
        Ok(Ok(_)) => figures.refused += 1,
    }
}
