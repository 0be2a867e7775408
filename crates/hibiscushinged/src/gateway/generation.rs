//! Runs an item on one engine and reads its event stream.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use actix_http::Method;
use base::{Moment, Span, UpstreamKey, WeightVersion};
use dispatch::{ExchangeOutcome, RequestOrigin};
use platform::{EventReader, UpstreamRequestMetadata, item_headers};
use submissions::{ItemResult, TextError};
use tokio::time::Instant;

use crate::{
    gateway::{
        attempt::{AttemptCall, AttemptGuard, open_exchange},
        channel::Exchange,
        item_records,
        job::ItemJob,
        reward,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Timeout for the head of an engine's response, and for each further event of its stream. A weight
/// load takes 0.9 s and blocks the runs of its engine.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Silence from which a connection that is not new may be dead. It covers a weight load, and ends
/// before [`EVENT_TIMEOUT`].
const SILENCE_LIMIT: Span = Span::from_millis(1_500);

/// Part of the largest record of the store that is reserved for what a result holds besides its
/// text.
const RESULT_OVERHEAD_BYTES: usize = 4 << 10;

/// Runs without an event after which a text counts as complete that an earlier run began. The earlier
/// run may have broken off after its last event, but a faulty engine may also answer with nothing.
const MIN_EMPTY_RUNS: u32 = 2;

/// Outcome of a run.
enum RunOutcome {
    /// The text is complete.
    Completed,
    /// The engine responded with status 500.
    Failed,
    /// The engine responded with status 422: the item fails on every engine.
    Invalid,
    /// The engine did not start the run, because it is full or is loading the model.
    Refused(String),
    /// The run failed or did not start. The text is continued on another engine.
    Interrupted(String),
}

/// Runs an item on an engine, then scores, resolves or requeues it by the outcome.
pub(crate) async fn run(
    traffic: Rc<TrafficState>,
    job: Rc<ItemJob>,
    upstream: UpstreamKey,
    attempt: AttemptGuard,
) {
    let started = traffic.node.now();
    let resume_after = job.progress.borrow().text.last_event_id();
    let (engine, software) = {
        let balancer = traffic.balancer.borrow();
        let entry = balancer.entry(upstream);
        (entry.id.clone(), entry.software_version.clone())
    };
    let (submission, item) = (&job.metadata.id, &job.item.id);
    log_event!(ItemStarted, submission, item, upstream = engine, software, resume_after);
    let (outcome, exchange_outcome) = generate(&traffic, &job, upstream, &engine, started).await;
    attempt.finish(exchange_outcome);
    traffic.node.metrics.observe_run(traffic.node.now().since(started));
    match outcome {
        RunOutcome::Completed => reward::score_and_resolve(&traffic, &job).await,
        RunOutcome::Invalid => traffic.items.resolve(&job, ItemResult::errored(item.as_str())),
        RunOutcome::Failed => {
            let limit = traffic.node.max_attempts(&job.metadata.host, &job.metadata.path);
            let (failures, given_up) = {
                let mut progress = job.progress.borrow_mut();
                progress.tried.push(upstream);
                let budget = &mut progress.failures.runs;
                (budget.record_failure(limit), budget.is_exhausted())
            };
            log_event!(
                ItemInterrupted,
                submission,
                item,
                upstream = engine,
                status = 500,
                failures
            );
            if given_up {
                traffic.items.resolve(&job, ItemResult::errored(item.as_str()));
            } else {
                item_records::record_failures(&traffic, &job).await;
                traffic.items.requeue(&traffic.node, &job);
            }
        }
        RunOutcome::Refused(reason) => {
            let events = job.progress.borrow().text.last_event_id();
            log_event!(ItemInterrupted, submission, item, upstream = engine, reason, events);
            traffic.items.requeue(&traffic.node, &job);
        }
        RunOutcome::Interrupted(reason) => {
            if let Some(since) = traffic.pool.silence_of(traffic.node.now(), upstream, started) {
                // The connections to other engines may have died with this one.
                job.progress.borrow_mut().trusted_since = since;
            }
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
) -> (RunOutcome, ExchangeOutcome) {
    let software = traffic.balancer.borrow().entry(upstream).software_version.clone();
    let last_id = job.progress.borrow().text.last_event_id();
    let metadata = UpstreamRequestMetadata {
        id: &job.item.id,
        host: &job.metadata.host,
        customer: Some(&job.metadata.customer),
        instance: engine,
        deadline: None,
        resume_after: (last_id > 0).then_some(last_id),
    };
    let call = AttemptCall {
        upstream,
        id: &job.item.id,
        method: Method::POST,
        path: &job.item.path,
        headers: item_headers(&job.item.headers, &metadata),
        body: job.item.body.clone(),
        billed_customer: None,
        origin: RequestOrigin::Item,
        process_bound: true,
        trusted_since: job.progress.borrow().trusted_since,
        silence_limit: SILENCE_LIMIT,
    };
    let opened = tokio::time::timeout(EVENT_TIMEOUT, open_exchange(traffic, call)).await;
    let mut exchange = match opened {
        Ok(Ok(exchange)) => exchange,
        Ok(Err((error, ExchangeOutcome::Overloaded))) => {
            let now = traffic.node.now();
            traffic.balancer.borrow_mut().record_generation_refusal(
                now,
                upstream,
                &job.metadata.model,
            );
            // The refusal concerns one model. The engine is not counted as overloaded for its
            // others.
            return (RunOutcome::Refused(String::from(error.reason())), ExchangeOutcome::Cancelled);
        }
        Ok(Err((error, outcome))) => {
            return (RunOutcome::Interrupted(String::from(error.reason())), outcome);
        }
        Err(_) => {
            return (
                RunOutcome::Interrupted(format!(
                    "the engine sent no response within {EVENT_TIMEOUT:?}"
                )),
                ExchangeOutcome::TimedOut,
            );
        }
    };
    match exchange.head().status.as_u16() {
        200 => {}
        422 => {
            let took = traffic.node.now().since(started);
            return (RunOutcome::Invalid, ExchangeOutcome::Answered(took));
        }
        500 => return (RunOutcome::Failed, ExchangeOutcome::ServerError),
        status => {
            return (
                RunOutcome::Interrupted(format!("the engine responded with status {status}")),
                ExchangeOutcome::ServerError,
            );
        }
    }
    let version = exchange.metadata().version;
    if let Some(version) = version {
        traffic.balancer.borrow_mut().record_version(upstream, &job.metadata.model, version);
    }
    if let Err(error) = begin_run(job, &software, version) {
        return (RunOutcome::Interrupted(error.to_string()), ExchangeOutcome::Cancelled);
    }
    match read_events(traffic, job, upstream, &mut exchange).await {
        Ok(()) => {
            traffic.keep_channel(upstream, exchange);
            (RunOutcome::Completed, ExchangeOutcome::Completed)
        }
        Err((reason, outcome)) => (RunOutcome::Interrupted(reason), outcome),
    }
}

/// Starts a run of the item's text. A text that no engine can continue is discarded.
fn begin_run(
    job: &ItemJob,
    software: &str,
    version: Option<WeightVersion>,
) -> Result<(), TextError> {
    let mut progress = job.progress.borrow_mut();
    let begun = progress.text.begin_run(software, version);
    let newest = progress.text.versions().last().copied();
    if matches!(begun, Err(TextError::Mixed(_))) && newest < version {
        // Engines load newer versions only, so the version of the text does not come back.
        progress.text.clear();
    }
    begun
}

async fn read_events(
    traffic: &TrafficState,
    job: &ItemJob,
    upstream: UpstreamKey,
    exchange: &mut Exchange,
) -> Result<(), (String, ExchangeOutcome)> {
    let mut reader = EventReader::default();
    let mut last_event: Option<Moment> = None;
    let record_bytes = traffic.node.settings.store.record_bytes as usize;
    let max_text_bytes = record_bytes.saturating_sub(RESULT_OVERHEAD_BYTES);
    let mut event_due = Instant::now() + EVENT_TIMEOUT;
    loop {
        let chunk = match tokio::time::timeout_at(event_due, exchange.chunk()).await {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) => break,
            Ok(Err(error)) => return Err((error.to_string(), ExchangeOutcome::TransportError)),
            Err(_) => {
                let reason = format!("the engine sent no complete event within {EVENT_TIMEOUT:?}");
                return Err((reason, ExchangeOutcome::TimedOut));
            }
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
            if job.progress.borrow().text.output().len() > max_text_bytes {
                // The store could not hold it, and a text that does not end is no text.
                job.progress.borrow_mut().text.clear();
                let reason = format!("the text exceeds {max_text_bytes} bytes");
                return Err((reason, ExchangeOutcome::TransportError));
            }
            event_due = Instant::now() + EVENT_TIMEOUT;
            let now = traffic.node.now();
            if let Some(last) = last_event.replace(now) {
                traffic.balancer.borrow_mut().record_event_interval(upstream, now.since(last));
            }
        }
    }
    let mut progress = job.progress.borrow_mut();
    let incomplete = |reason| Err((String::from(reason), ExchangeOutcome::TransportError));
    if !reader.is_empty() || progress.text.last_event_id() == 0 {
        return incomplete("the event stream ended before the text was complete");
    }
    if last_event.is_some() && exchange.ends_with_connection() {
        // Whether the text is complete is shown by further runs.
        return incomplete("the event stream has no length and may have broken off");
    }
    if last_event.is_none() {
        progress.empty_runs += 1;
        if progress.empty_runs < MIN_EMPTY_RUNS {
            return incomplete("the event stream ended without an event");
        }
    }
    Ok(())
}
