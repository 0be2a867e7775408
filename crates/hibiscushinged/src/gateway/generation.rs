//! One run of an item at one engine.

use std::{rc::Rc, time::Duration};

use actix_http::Method;
use base::{Moment, UpstreamKey};
use dispatch::ExchangeOutcome;
use platform::{EventReader, UpstreamRequestMetadata, item_headers};
use submissions::ItemResult;

use crate::{
    gateway::{
        attempt::{AttemptCall, AttemptGuard, open_exchange},
        channel::Exchange,
        job::ItemJob,
        reward,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Longest silence of an engine before the first event and between two. A weight load takes 0.9 s
/// and holds up the runs of its engine.
const MOST_SILENCE: Duration = Duration::from_millis(1_800);

/// Answers of 500 after which an item is given up, where the route states none.
const DEFAULT_ATTEMPTS: u32 = 3;

/// How a run ended.
enum RunEnd {
    /// The text is whole.
    Whole,
    /// The engine answered with 500.
    Failed,
    /// The item can never be done.
    Hopeless,
    /// The engine did not take the run, because it is full or loads the model.
    Refused(String),
    /// The run broke off or did not begin. The text goes on elsewhere.
    Interrupted(String),
}

/// Runs an item at an engine and takes the consequences.
pub(crate) async fn run(
    traffic: Rc<TrafficState>,
    job: Rc<ItemJob>,
    upstream: UpstreamKey,
    attempt: AttemptGuard,
) {
    let started = traffic.node.now();
    let resume_after = job.progress.borrow().text.last_event_id();
    let engine = traffic.balancer.borrow().entry(upstream).id.clone();
    let (submission, item) = (&job.metadata.id, &job.item.id);
    log_event!(ItemStarted, submission, item, upstream = engine, resume_after);
    let (end, exchange_end) = generate(&traffic, &job, upstream, &engine, started).await;
    attempt.finish(exchange_end);
    traffic.node.metrics.observe_run(traffic.node.now().since(started));
    match end {
        RunEnd::Whole => reward::finish(&traffic, &job).await,
        RunEnd::Hopeless => traffic.items.resolve(&job, ItemResult::errored(item.as_str())),
        RunEnd::Failed => {
            let failures = {
                let mut progress = job.progress.borrow_mut();
                progress.failures += 1;
                progress.tried.push(upstream);
                progress.failures
            };
            log_event!(
                ItemInterrupted,
                submission,
                item,
                upstream = engine,
                status = 500,
                failures
            );
            let attempts = traffic.node.max_attempts(&job.metadata.host, &job.metadata.path);
            if failures >= attempts.unwrap_or(DEFAULT_ATTEMPTS) {
                traffic.items.resolve(&job, ItemResult::errored(item.as_str()));
            } else {
                traffic.items.requeue(&traffic.node, &job);
            }
        }
        RunEnd::Refused(reason) => {
            let events = job.progress.borrow().text.last_event_id();
            log_event!(ItemInterrupted, submission, item, upstream = engine, reason, events);
            traffic.items.requeue(&traffic.node, &job);
        }
        RunEnd::Interrupted(reason) => {
            let events = job.progress.borrow().text.last_event_id();
            log_event!(ItemInterrupted, submission, item, upstream = engine, reason, events);
            job.progress.borrow_mut().tried.push(upstream);
            traffic.items.requeue(&traffic.node, &job);
        }
    }
}

async fn generate(
    traffic: &Rc<TrafficState>,
    job: &ItemJob,
    upstream: UpstreamKey,
    engine: &str,
    started: Moment,
) -> (RunEnd, ExchangeOutcome) {
    let last_id = job.progress.borrow().text.last_event_id();
    let metadata = UpstreamRequestMetadata {
        id: &job.item.id,
        host: &job.metadata.host,
        customer: Some(&job.metadata.customer),
        instance: engine,
        deadline: None,
        resume_after: (last_id > 0).then_some(last_id),
    };
    let metadata = AttemptCall {
        upstream,
        id: &job.item.id,
        method: Method::POST,
        path: &job.item.path,
        headers: item_headers(&job.item.headers, &metadata),
        body: job.item.body.clone(),
        billed: None,
    };
    let opened = tokio::time::timeout(MOST_SILENCE, open_exchange(traffic, metadata)).await;
    let mut exchange = match opened {
        Ok(Ok(exchange)) => exchange,
        Ok(Err((error, ExchangeOutcome::Overloaded))) => {
            let now = traffic.node.now();
            traffic.balancer.borrow_mut().record_generation_refusal(
                now,
                upstream,
                &job.metadata.model,
            );
            // Other models of the engine are not affected.
            return (RunEnd::Refused(String::from(error.reason())), ExchangeOutcome::Cancelled);
        }
        Ok(Err((error, end))) => {
            return (RunEnd::Interrupted(String::from(error.reason())), end);
        }
        Err(_) => {
            return (RunEnd::Interrupted(String::from("no answer")), ExchangeOutcome::TimedOut);
        }
    };
    match exchange.head().status.as_u16() {
        200 => {}
        422 => {
            let took = traffic.node.now().since(started);
            return (RunEnd::Hopeless, ExchangeOutcome::Answered(took));
        }
        500 => return (RunEnd::Failed, ExchangeOutcome::ServerError),
        status => {
            return (RunEnd::Interrupted(format!("status {status}")), ExchangeOutcome::ServerError);
        }
    }
    if let Some(version) = exchange.metadata().version {
        traffic.balancer.borrow_mut().record_version(upstream, &job.metadata.model, version);
        if let Err(error) = job.progress.borrow_mut().text.begin_run(version) {
            return (RunEnd::Interrupted(error.to_string()), ExchangeOutcome::Cancelled);
        }
    }
    match read_events(traffic, job, upstream, &mut exchange).await {
        Ok(()) => {
            traffic.keep_channel(upstream, exchange);
            // The time of a generation says nothing about that of a plain request.
            (RunEnd::Whole, ExchangeOutcome::Cancelled)
        }
        Err((reason, end)) => (RunEnd::Interrupted(reason), end),
    }
}

async fn read_events(
    traffic: &TrafficState,
    job: &ItemJob,
    upstream: UpstreamKey,
    exchange: &mut Exchange,
) -> Result<(), (String, ExchangeOutcome)> {
    let mut reader = EventReader::default();
    let mut last_event: Option<Moment> = None;
    loop {
        let chunk = match tokio::time::timeout(MOST_SILENCE, exchange.chunk()).await {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) => break,
            Ok(Err(error)) => return Err((error.to_string(), ExchangeOutcome::TransportError)),
            Err(_) => return Err((String::from("silence"), ExchangeOutcome::TimedOut)),
        };
        reader.feed(&chunk);
        loop {
            let event = match reader.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(error) => return Err((error.to_string(), ExchangeOutcome::TransportError)),
            };
            if let Err(error) = job.progress.borrow_mut().text.push(&event) {
                return Err((error.to_string(), ExchangeOutcome::TransportError));
            }
            let now = traffic.node.now();
            if let Some(last) = last_event.replace(now) {
                traffic.balancer.borrow_mut().record_event_interval(upstream, now.since(last));
            }
        }
    }
    let whole = reader.is_empty() && job.progress.borrow().text.last_event_id() > 0;
    if whole {
        Ok(())
    } else {
        Err((String::from("the text broke off"), ExchangeOutcome::TransportError))
    }
}
