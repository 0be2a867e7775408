//! Requests about submissions: accepting them, reading results and item bodies, ending them.

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

/// Timeout of an append with its retries. Senders try another node after a refusal.
const COMMIT_TIMEOUT: Span = Span::from_millis(1_500);

/// Retry-After of a request that this node refuses because it cannot reach the store.
const STORE_RETRY_AFTER: Span = Span::from_millis(300);

/// Fraction of the time within which all nodes must agree. A cache that was last confirmed longer
/// ago is brought up to date before a response is made from it.
const MAX_STALENESS_FRACTION: f64 = 0.6;

/// Fraction of the store's record size limit up to which a record is filled with items.
const CHUNK_FILL_FRACTION: f64 = 0.6;

/// Bytes that an item takes in a record in addition to its bodies and headers.
const ITEM_OVERHEAD_BYTES: usize = 300;

/// A submission that a trainer sends.
pub(crate) struct NewSubmission<'a> {
    pub(crate) id: &'a str,
    pub(crate) customer: &'a str,
    pub(crate) host: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: &'a Bytes,
    pub(crate) deadline: Moment,
}

/// Names a submission that was accepted before, and the customer that asks about it.
pub(crate) struct SubmissionRef<'a> {
    pub(crate) submission: &'a str,
    pub(crate) customer: &'a str,
}

/// Accepts a submission. It is accepted once its records are in the store. Sending it again has no
/// further effect.
///
/// # Errors
///
/// Returns a refusal that says whether any item may run.
pub(crate) async fn accept(
    traffic: &Rc<TrafficState>,
    new_submission: &NewSubmission<'_>,
) -> Result<Response<BoxBody>, Refusal> {
    let body = decode_submission(new_submission.body).map_err(|error| invalid_request(&error))?;
    check_submission(new_submission.id, &body.items).map_err(|error| invalid_request(&error))?;
    let follower = partition_of(traffic, new_submission.customer)?;
    follower.follow(&traffic.store);
    let records = submission_records(traffic, new_submission, body);
    let time_left = new_submission.deadline.since(traffic.node.now());
    let timeout = COMMIT_TIMEOUT.min(time_left);
    let items: usize = records.iter().map(items_in).sum();
    let mut already_known = true;
    let submissions = [new_submission.id];
    let stored = commit(traffic, follower, timeout, &submissions, |table| {
        let opening = opening_records(table, new_submission.id, &records);
        already_known = opening.is_none();
        opening
    });
    match stored.await {
        Ok(()) => {
            if let Some(state) = follower.table().get(new_submission.id) {
                check_owner(state, new_submission.customer)
                    .map_err(|error| invalid_request(&error))?;
            }
            let (submission, customer) = (new_submission.id, new_submission.customer);
            let partition = follower.name.partition;
            log_event!(
                SubmissionAccepted,
                submission,
                customer,
                part = partition,
                items,
                repeated = already_known
            );
            Ok(super::response::status(StatusCode::ACCEPTED))
        }
        Err(error) => Err(commit_refusal(error)),
    }
}

/// Returns the partition of a customer's submissions.
///
/// # Errors
///
/// Returns a refusal while this node has not learned where submissions lie.
fn partition_of<'t>(
    traffic: &'t TrafficState,
    customer: &str,
) -> Result<&'t Rc<PartitionFollower>, Refusal> {
    traffic.partitions.of_customer(customer).ok_or_else(|| {
        let message = "this node has not read yet how many partitions submissions use";
        Refusal::not_run(RefusalCode::LogUnavailable, message).with_retry_after(STORE_RETRY_AFTER)
    })
}

fn invalid_request(error: &impl std::error::Error) -> Refusal {
    Refusal::not_run(RefusalCode::RequestInvalid, error.to_string())
}

fn commit_refusal(error: CommitError) -> Refusal {
    let code = RefusalCode::LogUnavailable;
    match error {
        CommitError::NotStored => {
            Refusal::not_run(code, "the store did not accept the records in time")
        }
        CommitError::Unknown => {
            // Not `LogUnavailable`: its status would promise that the submission does not run.
            Refusal::may_have_run(
                RefusalCode::UpstreamFailed,
                "the store did not confirm the records, which may be stored",
            )
        }
    }
    .with_retry_after(STORE_RETRY_AFTER)
}

fn items_in(record: &SubmissionRecord) -> usize {
    if let SubmissionRecord::Items { items, .. } = record { items.len() } else { 0 }
}

fn submission_records(
    traffic: &TrafficState,
    new_submission: &NewSubmission<'_>,
    body: SubmissionBody,
) -> Vec<SubmissionRecord> {
    let max_chunk_bytes =
        (f64::from(traffic.node.settings.store.record_bytes) * CHUNK_FILL_FRACTION) as usize;
    let mut records = vec![SubmissionRecord::Opened(SubmissionMetadata {
        id: String::from(new_submission.id),
        customer: String::from(new_submission.customer),
        host: String::from(new_submission.host),
        path: String::from(new_submission.path),
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
        if size + length > max_chunk_bytes && !chunk.is_empty() {
            let items = std::mem::take(&mut chunk);
            let count = items.len() as u32;
            records.push(SubmissionRecord::Items {
                submission: String::from(new_submission.id),
                first,
                items,
            });
            first += count;
            size = 0;
        }
        size += length;
        chunk.push(item);
    }
    let submission = String::from(new_submission.id);
    records.push(SubmissionRecord::Items { submission, first, items: chunk });
    records.push(SubmissionRecord::OpenMarkerSet { submission: String::from(new_submission.id) });
    records
}

fn item_bytes(item: &SubmissionItem) -> usize {
    let headers: usize = item.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    let reward = item.reward.as_ref().map_or(0, |reward| reward.body.len());
    ITEM_OVERHEAD_BYTES + headers + item.body.len() + reward
}

/// Returns the results of a submission from position `after` on. Waits up to `wait` for one.
///
/// # Errors
///
/// Returns a refusal when the submission does not exist, or when this node cannot bring its cache
/// up to date.
pub(crate) async fn results(
    traffic: &Rc<TrafficState>,
    submission_ref: &SubmissionRef<'_>,
    after: u32,
    wait: Span,
) -> Result<Response<BoxBody>, Refusal> {
    let follower = partition_of(traffic, submission_ref.customer)?;
    let mut changes = follower.subscribe();
    require_submission(traffic, follower, submission_ref).await?;
    let deadline = traffic.node.now() + wait;
    loop {
        let listed = result_count(follower, submission_ref);
        if listed < after {
            // Another node has returned more results than this cache holds.
            catch_up(traffic, follower, submission_ref).await?;
        }
        let time_left = deadline.since(traffic.node.now());
        if listed > after || is_complete(follower, submission_ref) || time_left == Span::ZERO {
            refresh(traffic, follower, submission_ref).await?;
            return Ok(results_response(follower, submission_ref, after));
        }
        changes.borrow_and_update();
        // After a timeout the check above ends the loop.
        let _ = tokio::time::timeout(to_duration(time_left), changes.changed()).await;
    }
}

fn result_count(follower: &PartitionFollower, submission_ref: &SubmissionRef<'_>) -> u32 {
    follower
        .table()
        .get(submission_ref.submission)
        .map_or(0, submissions::SubmissionState::result_count)
}

fn is_complete(follower: &PartitionFollower, submission_ref: &SubmissionRef<'_>) -> bool {
    follower.table().get(submission_ref.submission).is_none_or(|state| !state.is_open())
}

fn results_response(
    follower: &PartitionFollower,
    submission_ref: &SubmissionRef<'_>,
    after: u32,
) -> Response<BoxBody> {
    let table = follower.table();
    let Some(state) = table.get(submission_ref.submission) else {
        return super::response::status(StatusCode::NOT_FOUND);
    };
    let total = state.metadata().item_count;
    let results = state.results(after).map(std::convert::AsRef::as_ref);
    with_body(StatusCode::OK, "application/json", encode_results(total, after, results))
}

/// Returns the body of an item.
///
/// # Errors
///
/// Returns a refusal when the submission does not exist, or when this node cannot bring its cache
/// up to date.
pub(crate) async fn item_body(
    traffic: &Rc<TrafficState>,
    submission_ref: &SubmissionRef<'_>,
    item: &str,
) -> Result<Response<BoxBody>, Refusal> {
    let follower = partition_of(traffic, submission_ref.customer)?;
    require_submission(traffic, follower, submission_ref).await?;
    let table = follower.table();
    let found = table.get(submission_ref.submission).and_then(|state| state.item(item));
    let Some(item) = found else { return Ok(super::response::status(StatusCode::NOT_FOUND)) };
    Ok(with_body(StatusCode::OK, "application/octet-stream", item.body.clone()))
}

/// Ends a submission. Items without a result are not run further.
///
/// # Errors
///
/// Returns a refusal when the end could not be stored.
pub(crate) async fn end(
    traffic: &Rc<TrafficState>,
    submission_ref: &SubmissionRef<'_>,
) -> Result<Response<BoxBody>, Refusal> {
    let follower = partition_of(traffic, submission_ref.customer)?;
    require_submission(traffic, follower, submission_ref).await?;
    let submission = submission_ref.submission;
    let submissions = [submission];
    let stored = commit(traffic, follower, COMMIT_TIMEOUT, &submissions, |table| {
        ending_records(table, submission)
    });
    stored.await.map_err(commit_refusal)?;
    log_event!(SubmissionEnded, submission, customer = submission_ref.customer);
    Ok(super::response::status(StatusCode::OK))
}

/// Checks that the submission exists and belongs to the customer, with a cache that is fresh
/// enough.
async fn require_submission(
    traffic: &Rc<TrafficState>,
    follower: &Rc<PartitionFollower>,
    submission_ref: &SubmissionRef<'_>,
) -> Result<(), Refusal> {
    follower.follow(&traffic.store);
    refresh(traffic, follower, submission_ref).await?;
    let table = follower.table();
    let state = table.get(submission_ref.submission);
    if state.is_some_and(|state| state.metadata().customer == submission_ref.customer) {
        return Ok(());
    }
    let message = format!("submission \"{}\" does not exist", submission_ref.submission);
    Err(Refusal::not_run(RefusalCode::RouteUnknown, message))
}

/// Brings the cache up to date when it may be older than what other nodes have returned.
async fn refresh(
    traffic: &Rc<TrafficState>,
    follower: &PartitionFollower,
    submission_ref: &SubmissionRef<'_>,
) -> Result<(), Refusal> {
    let settle = traffic.node.settings.promises.settle.0 as f64;
    let max_staleness = Span((settle * MAX_STALENESS_FRACTION) as u64);
    let age = follower.cache().staleness(traffic.node.now());
    if follower.cache().is_loaded(submission_ref.submission)
        && age.is_some_and(|age| age <= max_staleness)
    {
        return Ok(());
    }
    catch_up(traffic, follower, submission_ref).await
}

async fn catch_up(
    traffic: &Rc<TrafficState>,
    follower: &PartitionFollower,
    submission_ref: &SubmissionRef<'_>,
) -> Result<(), Refusal> {
    /// Timeout after which the caller is sent to another node. A small node takes half a second for
    /// a large submission.
    const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_200);
    let work = async {
        follower.catch_up(&traffic.store).await?;
        follower.load(&traffic.store, submission_ref.submission).await
    };
    if matches!(tokio::time::timeout(CATCH_UP_TIMEOUT, work).await, Ok(Ok(()))) {
        return Ok(());
    }
    let message = format!(
        "this node could not read the newest records of the store within {CATCH_UP_TIMEOUT:?}"
    );
    Err(Refusal::not_run(RefusalCode::LogUnavailable, message).with_retry_after(STORE_RETRY_AFTER))
}
