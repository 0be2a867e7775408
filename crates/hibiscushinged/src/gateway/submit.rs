//! Calls about submissions: handing in, reading results and bodies, ending.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, StatusCode, body::BoxBody};
use base::{Moment, Refusal, RefusalCode, Span};
use bytes::Bytes;
use platform::{SubmissionBody, decode_submission, encode_results};
use submissions::{
    SubmissionItem, SubmissionMetadata, SubmissionRecord, check_owner, check_submission,
    ending_records, opening_records,
};

use crate::{
    clock::{to_duration, wall_now},
    gateway::{
        commit::{CommitError, commit},
        partition_follower::PartitionFollower,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
    traffic::response::with_body,
};

/// Time for which an append is tried. Senders come back to another node after a refusal.
const COMMIT_PATIENCE: Span = Span::from_millis(1_500);

/// Pause before a sender may come back while the store is away from this node.
const STORE_PAUSE: Span = Span::from_millis(300);

/// Part of the time within which all nodes must agree, after which a copy is read again before it is
/// answered from.
const FRESH_SHARE: f64 = 0.6;

/// Part of the longest record that a chunk of items fills.
const CHUNK_SHARE: f64 = 0.6;

/// Bytes that an item takes beside its bodies and headers.
const ITEM_OVERHEAD: usize = 300;

/// A submission that arrived.
pub(crate) struct Arrival<'a> {
    pub(crate) id: &'a str,
    pub(crate) customer: &'a str,
    pub(crate) host: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: &'a Bytes,
    pub(crate) deadline: Moment,
}

/// A call about a submission that was handed in before.
pub(crate) struct Inquiry<'a> {
    pub(crate) submission: &'a str,
    pub(crate) customer: &'a str,
}

/// Accepts a submission. It is accepted once its records are in the store.
///
/// # Errors
///
/// Returns a refusal that says whether any part of it may run.
pub(crate) async fn accept(
    traffic: &Rc<TrafficState>,
    arrival: &Arrival<'_>,
) -> Result<Response<BoxBody>, Refusal> {
    let body = decode_submission(arrival.body).map_err(|error| invalid(&error))?;
    check_submission(arrival.id, &body.items).map_err(|error| invalid(&error))?;
    let follower = traffic.partitions.of_customer(arrival.customer);
    follower.follow(&traffic.store);
    let records = records(traffic, arrival, body);
    let left = arrival.deadline.since(traffic.node.now());
    let patience = COMMIT_PATIENCE.min(left);
    let items: usize = records.iter().map(items_of).sum();
    let mut known = true;
    let submissions = [arrival.id];
    let stored = commit(traffic, follower, patience, &submissions, |table| {
        let opening = opening_records(table, arrival.id, &records);
        known = opening.is_none();
        opening
    });
    match stored.await {
        Ok(()) => {
            if let Some(state) = follower.table().get(arrival.id) {
                check_owner(state, arrival.customer).map_err(|error| invalid(&error))?;
            }
            let (submission, customer) = (arrival.id, arrival.customer);
            let part = follower.name.part;
            log_event!(SubmissionAccepted, submission, customer, part, items, repeated = known);
            Ok(super::response::status(StatusCode::ACCEPTED))
        }
        Err(error) => Err(unsettled(error)),
    }
}

fn invalid(error: &impl std::error::Error) -> Refusal {
    Refusal::not_run(RefusalCode::RequestInvalid, error.to_string())
}

fn unsettled(error: CommitError) -> Refusal {
    let code = RefusalCode::LogUnavailable;
    match error {
        CommitError::NotStored => Refusal::not_run(code, "the store does not take the records"),
        CommitError::Unknown => {
            // The status must not promise that the submission will not run.
            Refusal::may_have_run(RefusalCode::UpstreamFailed, "the store has not answered")
        }
    }
    .with_retry_after(STORE_PAUSE)
}

fn items_of(record: &SubmissionRecord) -> usize {
    if let SubmissionRecord::Items { items, .. } = record { items.len() } else { 0 }
}

fn records(
    traffic: &TrafficState,
    arrival: &Arrival<'_>,
    body: SubmissionBody,
) -> Vec<SubmissionRecord> {
    let most = (f64::from(traffic.node.settings.store.record_bytes) * CHUNK_SHARE) as usize;
    let mut records = vec![SubmissionRecord::Opened(SubmissionMetadata {
        id: String::from(arrival.id),
        customer: String::from(arrival.customer),
        host: String::from(arrival.host),
        path: String::from(arrival.path),
        model: body.model,
        step: body.step,
        min_version: body.min_version,
        target_groups: body.target_groups,
        accepted_at: wall_now(),
        item_count: body.items.len() as u32,
    })];
    let mut chunk: Vec<SubmissionItem> = Vec::new();
    let (mut first, mut size) = (0, 0);
    for item in body.items {
        let length = item_bytes(&item);
        if size + length > most && !chunk.is_empty() {
            let items = std::mem::take(&mut chunk);
            let count = items.len() as u32;
            records.push(SubmissionRecord::Items {
                submission: String::from(arrival.id),
                first,
                items,
            });
            first += count;
            size = 0;
        }
        size += length;
        chunk.push(item);
    }
    let submission = String::from(arrival.id);
    records.push(SubmissionRecord::Items { submission, first, items: chunk });
    records.push(SubmissionRecord::OpenMarkerSet { submission: String::from(arrival.id) });
    records
}

fn item_bytes(item: &SubmissionItem) -> usize {
    let headers: usize = item.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    let reward = item.reward.as_ref().map_or(0, |reward| reward.body.len());
    ITEM_OVERHEAD + headers + item.body.len() + reward
}

/// Answers a read of results. It waits up to `wait` for the first one.
///
/// # Errors
///
/// Returns a refusal when this node cannot be sure of what there is.
pub(crate) async fn results(
    traffic: &Rc<TrafficState>,
    inquiry: &Inquiry<'_>,
    after: u32,
    wait: Span,
) -> Result<Response<BoxBody>, Refusal> {
    let follower = traffic.partitions.of_customer(inquiry.customer);
    let mut changes = follower.subscribe();
    require(traffic, follower, inquiry).await?;
    let until = traffic.node.now() + wait;
    loop {
        let listed = result_count(follower, inquiry);
        if listed < after {
            // Another node has listed more than this copy holds.
            catch_up(traffic, follower, inquiry).await?;
        }
        let left = until.since(traffic.node.now());
        if listed > after || is_complete(follower, inquiry) || left == Span::ZERO {
            refresh(traffic, follower, inquiry).await?;
            return Ok(results_answer(follower, inquiry, after));
        }
        changes.borrow_and_update();
        // A time-out ends the wait as the check above says.
        let _ = tokio::time::timeout(to_duration(left), changes.changed()).await;
    }
}

fn result_count(follower: &PartitionFollower, inquiry: &Inquiry<'_>) -> u32 {
    follower.table().get(inquiry.submission).map_or(0, submissions::SubmissionState::result_count)
}

fn is_complete(follower: &PartitionFollower, inquiry: &Inquiry<'_>) -> bool {
    follower.table().get(inquiry.submission).is_none_or(|state| !state.is_open())
}

fn results_answer(
    follower: &PartitionFollower,
    inquiry: &Inquiry<'_>,
    after: u32,
) -> Response<BoxBody> {
    let table = follower.table();
    let Some(state) = table.get(inquiry.submission) else {
        return super::response::status(StatusCode::NOT_FOUND);
    };
    let total = state.metadata().item_count;
    let results = state.results(after).map(std::convert::AsRef::as_ref);
    with_body(StatusCode::OK, "application/json", encode_results(total, after, results))
}

/// Answers a read of an item's body.
///
/// # Errors
///
/// Returns a refusal when this node cannot be sure of what there is.
pub(crate) async fn item_body(
    traffic: &Rc<TrafficState>,
    inquiry: &Inquiry<'_>,
    item: &str,
) -> Result<Response<BoxBody>, Refusal> {
    let follower = traffic.partitions.of_customer(inquiry.customer);
    require(traffic, follower, inquiry).await?;
    let table = follower.table();
    let found = table.get(inquiry.submission).and_then(|state| state.item(item));
    let Some(item) = found else { return Ok(super::response::status(StatusCode::NOT_FOUND)) };
    Ok(with_body(StatusCode::OK, "application/octet-stream", item.body.clone()))
}

/// Ends a submission.
///
/// # Errors
///
/// Returns a refusal when the end is not in the store.
pub(crate) async fn end(
    traffic: &Rc<TrafficState>,
    inquiry: &Inquiry<'_>,
) -> Result<Response<BoxBody>, Refusal> {
    let follower = traffic.partitions.of_customer(inquiry.customer);
    require(traffic, follower, inquiry).await?;
    let submission = inquiry.submission;
    let submissions = [submission];
    let stored = commit(traffic, follower, COMMIT_PATIENCE, &submissions, |table| {
        ending_records(table, submission)
    });
    stored.await.map_err(unsettled)?;
    log_event!(SubmissionEnded, submission, customer = inquiry.customer);
    Ok(super::response::status(StatusCode::OK))
}

/// Makes sure that the submission is known, belongs to the customer, and is fresh.
async fn require(
    traffic: &Rc<TrafficState>,
    follower: &Rc<PartitionFollower>,
    inquiry: &Inquiry<'_>,
) -> Result<(), Refusal> {
    follower.follow(&traffic.store);
    refresh(traffic, follower, inquiry).await?;
    let table = follower.table();
    let state = table.get(inquiry.submission);
    if state.is_some_and(|state| state.metadata().customer == inquiry.customer) {
        return Ok(());
    }
    let message = format!("submission \"{}\" does not exist", inquiry.submission);
    Err(Refusal::not_run(RefusalCode::RouteUnknown, message))
}

/// Reads what is new when the copy may be older than other nodes' answers.
async fn refresh(
    traffic: &Rc<TrafficState>,
    follower: &PartitionFollower,
    inquiry: &Inquiry<'_>,
) -> Result<(), Refusal> {
    let settle = traffic.node.settings.promises.settle.0 as f64;
    let fresh = Span((settle * FRESH_SHARE) as u64);
    let age = follower.cache().staleness(traffic.node.now());
    if follower.cache().is_loaded(inquiry.submission) && age.is_some_and(|age| age <= fresh) {
        return Ok(());
    }
    catch_up(traffic, follower, inquiry).await
}

async fn catch_up(
    traffic: &Rc<TrafficState>,
    follower: &PartitionFollower,
    inquiry: &Inquiry<'_>,
) -> Result<(), Refusal> {
    /// Time for which a read is tried before the caller is sent to another node. A small node takes
    /// half a second for a large submission.
    const PATIENCE: Duration = Duration::from_millis(1_200);
    let work = async {
        follower.catch_up(&traffic.store).await?;
        follower.load(&traffic.store, inquiry.submission).await
    };
    if matches!(tokio::time::timeout(PATIENCE, work).await, Ok(Ok(()))) {
        return Ok(());
    }
    let message = "the store does not answer, so results may be missing here";
    Err(Refusal::not_run(RefusalCode::LogUnavailable, message).with_retry_after(STORE_PAUSE))
}
