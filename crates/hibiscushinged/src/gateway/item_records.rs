//! Puts the results and failures of items on record in the store.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use base::Span;
use submissions::{
    FailureReport, ItemResult, SubmissionTable, failure_records, result_batches, result_records,
};

use crate::{
    gateway::{
        commit::commit, job::ItemJob, partition_follower::PartitionFollower,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Timeout of one append of results. After it, the results are appended again together with newer
/// ones.
const COMMIT_TIMEOUT: Span = Span::from_secs(3);

/// Delay before an append, so that results or failures that arrive together share it.
const BATCH_DELAY: Duration = Duration::from_millis(8);

/// Time for which an item that has failed waits until that is on record. The next owner of its
/// partition counts on from there, so an item must not be sent again before, unless the store is away.
const FAILURE_RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before failures are appended again after an append that was not confirmed.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Divisor of the largest call of the store: the quotient bounds the records of failures in an append,
/// so that the results of that append have room.
pub(crate) const FAILURE_CALL_DIVISOR: usize = 4;

/// Stores the results of resolved items until the process ends.
pub(crate) async fn store_results(traffic: Rc<TrafficState>) {
    loop {
        traffic.items.results_ready.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let partitions: Vec<u32> = traffic.items.state.borrow().results.keys().copied().collect();
        for partition in partitions {
            store_partition_results(&traffic, partition).await;
        }
    }
}

/// Puts the failures of an item on record. Returns when they are, or when the store has not confirmed it
/// in time; then they are put on record later.
pub(crate) async fn record_failures(traffic: &TrafficState, job: &Rc<ItemJob>) {
    traffic.items.report_failure(job);
    let recorded = async {
        while traffic.items.has_unrecorded_failures(job) {
            traffic.items.failures_stored.notified().await;
        }
    };
    if tokio::time::timeout(FAILURE_RECORD_TIMEOUT, recorded).await.is_err() {
        let (submission, item) = (&job.metadata.id, &job.item.id);
        log_event!(warn, FailureNotStored, submission, item);
    }
}

/// Puts the failures of items on record until the process ends.
pub(crate) async fn store_failures(traffic: Rc<TrafficState>) {
    loop {
        traffic.items.failure_reported.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        while !traffic.items.partitions_with_failures().is_empty() {
            let mut all_stored = true;
            for partition in traffic.items.partitions_with_failures() {
                all_stored &= store_partition_failures(&traffic, partition).await;
            }
            if !all_stored {
                tokio::time::sleep(FAILURE_RETRY_DELAY).await;
            }
        }
    }
}

/// Appends failures of a partition's items, and returns whether they are stored.
async fn store_partition_failures(traffic: &Rc<TrafficState>, partition: u32) -> bool {
    let Some(follower) = traffic.partitions.get(partition) else { return false };
    let call_bytes = traffic.node.settings.store.call_bytes as usize;
    let reports = traffic.items.unrecorded_failures(partition, call_bytes / FAILURE_CALL_DIVISOR);
    reports.is_empty() || store_batch(traffic, follower, &[], &reports).await
}

/// Appends the results of a partition, and with the first of them the failures of its items.
async fn store_partition_results(traffic: &Rc<TrafficState>, partition: u32) {
    let Some(follower) = traffic.partitions.get(partition) else { return };
    let Some(results) = traffic.items.state.borrow_mut().results.remove(&partition) else { return };
    let call_bytes = traffic.node.settings.store.call_bytes as usize;
    let failure_bytes = call_bytes / FAILURE_CALL_DIVISOR;
    let mut unstored = Vec::new();
    for batch in result_batches(results, call_bytes - failure_bytes) {
        let reports = traffic.items.unrecorded_failures(partition, failure_bytes);
        // The order of the results stays, so nothing is stored after a batch that was not.
        if !unstored.is_empty() || !store_batch(traffic, follower, &batch, &reports).await {
            unstored.extend(batch);
        }
    }
    if unstored.is_empty() {
        return;
    }
    // The append was not confirmed, so the results are kept and appended again.
    let mut state = traffic.items.state.borrow_mut();
    let newer = state.results.remove(&partition).unwrap_or_default();
    unstored.extend(newer);
    state.results.insert(partition, unstored);
    drop(state);
    traffic.items.results_ready.notify_one();
}

/// Appends results and failures, and returns whether they are stored.
async fn store_batch(
    traffic: &Rc<TrafficState>,
    follower: &Rc<PartitionFollower>,
    batch: &[(String, ItemResult)],
    reports: &[FailureReport],
) -> bool {
    let of_results = batch.iter().map(|(submission, _)| submission.as_str());
    let of_failures = reports.iter().map(|report| report.submission.as_str());
    let submissions: BTreeSet<&str> = of_results.chain(of_failures).collect();
    let submissions: Vec<&str> = submissions.into_iter().collect();
    let build = |table: &SubmissionTable| {
        let mut records = result_records(table, batch).unwrap_or_default();
        records.extend(failure_records(table, reports));
        (!records.is_empty()).then_some(records)
    };
    let stored = commit(traffic, follower, COMMIT_TIMEOUT, &submissions, build).await.is_ok();
    if stored {
        traffic.items.failures_recorded(follower.name.partition, reports);
    }
    stored
}
