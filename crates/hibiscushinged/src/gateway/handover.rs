//! Hand-over of items when a partition passes to another node.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use base::{Moment, Span, derive_copy};
use futures_util::future::join_all;
use submissions::{
    ITEM_DRAIN_TIMEOUT, ItemHandover, SubmissionState, SubmissionTable, failure_records,
    handover_batches, handover_records,
};

use crate::{
    clock::{to_duration, wall_now},
    gateway::{
        commit::commit,
        item_records::FAILURE_CALL_DIVISOR,
        items::ItemSchedulerState,
        job::{ItemJob, ItemRun},
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Time for the records of runs that were left unfinished. A slow store takes a quarter of a second
/// for a call. A planned stop waits for as long beyond [`ITEM_DRAIN_TIMEOUT`].
pub(crate) const LEFT_RUNS_TIMEOUT: Span = Span::from_millis(600);

derive_copy! {
    /// Whether a run of an item goes on at this node when its hand-over is written.
    enum RunPhase {
        Running,
        Over,
    }
}

/// Hands over the items of partitions that this node no longer owns: lets their runs finish, and
/// appends their records within `timeout`. After that the partitions may be released.
pub(crate) async fn release(traffic: &Rc<TrafficState>, partitions: &BTreeSet<u32>, timeout: Span) {
    let drain_until = traffic.node.now() + ITEM_DRAIN_TIMEOUT;
    let mut appends = Vec::new();
    for partition in partitions {
        if let Some(follower) = traffic.partitions.get(*partition) {
            // Results and records are still appended, for which the cache must stay up to date.
            follower.follow(&traffic.store);
        }
        let handovers = take_over_records(traffic, *partition, drain_until);
        appends.push(append(traffic, *partition, handovers, timeout));
    }
    spawn_drain_timeout(traffic, partitions.clone(), drain_until);
    // A call to the store may last longer than the deadline of the append.
    let appended = tokio::time::timeout(to_duration(timeout), join_all(appends)).await;
    if appended.is_err() {
        let reason = "the store did not confirm the records in time";
        log_event!(warn, HandoverNotStored, parts = ?partitions, reason);
    }
}

/// Returns the records of the items of a partition. The jobs of items that do not run are dropped,
/// and the runs of the others may last until `drain_until`.
fn take_over_records(
    traffic: &Rc<TrafficState>,
    partition: u32,
    drain_until: Moment,
) -> Vec<(String, ItemHandover)> {
    let now = traffic.node.now();
    let mut handovers = Vec::new();
    for job in traffic.items.state.borrow().jobs.values() {
        if job.partition != partition {
            continue;
        }
        if job.is_running() {
            job.drain_until.set(Some(drain_until));
            handovers.push((job.metadata.id.clone(), record(traffic, job, RunPhase::Running)));
            continue;
        }
        let progress = job.progress.borrow();
        // The record of the node that may be running a held item stands.
        let is_held = progress.handover.held_until(now).is_some();
        let has_text = progress.text.last_event_id() > 0;
        drop(progress);
        if has_text && !is_held {
            handovers.push((job.metadata.id.clone(), record(traffic, job, RunPhase::Over)));
        }
    }
    traffic.items.drop_jobs(now, partition, |job| !job.is_running());
    handovers
}

fn record(traffic: &TrafficState, job: &ItemJob, phase: RunPhase) -> ItemHandover {
    let engine = job.run.borrow().as_ref().map(|run| engine_id(traffic, run));
    let mut progress = job.progress.borrow_mut();
    let handover = ItemHandover {
        item: job.item.id.clone(),
        revision: progress.handover.next_revision(),
        text: progress.text.to_handover(),
        engine: engine.or_else(|| progress.handover_engine.clone()).unwrap_or_default(),
        is_running: phase == RunPhase::Running,
        written_at: wall_now(),
    };
    progress.handover.note(&handover);
    handover
}

fn engine_id(traffic: &TrafficState, run: &ItemRun) -> String {
    traffic.balancer.borrow().entry(run.upstream).id.clone()
}

async fn append(
    traffic: &Rc<TrafficState>,
    partition: u32,
    handovers: Vec<(String, ItemHandover)>,
    timeout: Span,
) {
    let Some(follower) = traffic.partitions.get(partition) else { return };
    let limits = &traffic.node.settings.store;
    let (record_bytes, call_bytes) = (limits.record_bytes as usize, limits.call_bytes as usize);
    let failure_bytes = call_bytes / FAILURE_CALL_DIVISOR;
    let reports = traffic.items.unrecorded_failures(partition, failure_bytes);
    let mut batches = handover_batches(handovers, record_bytes, call_bytes - failure_bytes);
    if batches.is_empty() && !reports.is_empty() {
        batches.push(Vec::new());
    }
    for batch in batches {
        let of_handovers = batch.iter().map(|(submission, _)| submission.as_str());
        let of_failures = reports.iter().map(|report| report.submission.as_str());
        let submissions: BTreeSet<&str> = of_handovers.chain(of_failures).collect();
        let submissions: Vec<&str> = submissions.into_iter().collect();
        // Failures that an earlier batch has put on record yield no further records.
        let build = |table: &SubmissionTable| {
            let mut records = handover_records(table, &batch).unwrap_or_default();
            records.extend(failure_records(table, &reports));
            (!records.is_empty()).then_some(records)
        };
        if commit(traffic, follower, timeout, &submissions, build).await.is_err() {
            let reason = "the store did not confirm the records in time";
            log_event!(warn, HandoverNotStored, part = partition, items = batch.len(), reason);
            return;
        }
        traffic.items.failures_recorded(partition, &reports);
        if batch.is_empty() {
            continue;
        }
        let running = batch.iter().filter(|(_, handover)| handover.is_running).count();
        log_event!(ItemsHandedOver, part = partition, items = batch.len(), running);
        traffic.node.metrics.items_handed_over.inc_by(batch.len() as u64);
    }
}

/// Ends the runs that are left when the time for them is over.
fn spawn_drain_timeout(traffic: &Rc<TrafficState>, partitions: BTreeSet<u32>, drain_until: Moment) {
    let traffic = Rc::clone(traffic);
    actix_rt::spawn(async move {
        tokio::time::sleep(to_duration(drain_until.since(traffic.node.now()))).await;
        let mut left = Vec::new();
        for job in traffic.items.state.borrow().jobs.values() {
            // A partition that came back to this node and was lost again has a later timeout.
            let is_due = job.drain_until.get().is_some_and(|until| until <= drain_until);
            if partitions.contains(&job.partition) && is_due && !job.resolved.get() {
                left.push(Rc::clone(job));
            }
        }
        for job in left {
            if let Some(run) = job.run.take() {
                run.abort.abort();
                job.progress.borrow_mut().handover_engine = Some(engine_id(&traffic, &run));
            }
            traffic.items.end_drained_run(traffic.node.now(), &job);
        }
    });
}

/// Writes the records of runs that ended without a result after their partition was released, until
/// the process ends.
pub(crate) async fn store_ended_runs(traffic: Rc<TrafficState>) {
    loop {
        traffic.items.drained_run_ended.notified().await;
        let jobs = traffic.items.state.borrow().drained.clone();
        let mut handovers: BTreeMap<u32, Vec<(String, ItemHandover)>> = BTreeMap::new();
        for job in &jobs {
            let handover = (job.metadata.id.clone(), record(&traffic, job, RunPhase::Over));
            handovers.entry(job.partition).or_default().push(handover);
        }
        let appends = handovers.into_iter().map(|(partition, handovers)| {
            append(&traffic, partition, handovers, LEFT_RUNS_TIMEOUT)
        });
        join_all(appends).await;
        traffic.items.state.borrow_mut().drained.drain(..jobs.len());
    }
}

/// Applies the hand-overs of a submission to its jobs on the new owner.
pub(crate) fn observe(
    traffic: &TrafficState,
    state: &ItemSchedulerState,
    submission: &SubmissionState,
) {
    let now = traffic.node.now();
    for handover in submission.handovers() {
        let Some(job) = state.jobs.get(&submission.metadata().id, &handover.item) else { continue };
        let mut progress = job.progress.borrow_mut();
        if job.is_running() {
            progress.handover.note(handover);
            continue;
        }
        if !progress.handover.observe(now, wall_now(), handover) {
            continue;
        }
        if progress.text.adopt(&handover.text) {
            progress.handover_engine = Some(handover.engine.clone());
        }
        let held_until = progress.handover.held_until(now);
        // Other engines are considered once the item has waited, which begins after the hold.
        progress.queued_at = held_until.unwrap_or(now);
        if held_until.is_some() {
            let (submission, item) = (&job.metadata.id, &job.item.id);
            let (upstream, events) = (&handover.engine, handover.text.last_event_id);
            log_event!(ItemHeld, submission, item, upstream, events);
            traffic.node.metrics.items_held.inc();
        }
    }
}

/// Notes that an item is started, which may continue a text that was handed over.
pub(crate) fn note_start(traffic: &TrafficState, job: &ItemJob) {
    let mut progress = job.progress.borrow_mut();
    let events = progress.text.last_event_id();
    if progress.handover_engine.take().is_some() && events > 0 {
        let (submission, item) = (&job.metadata.id, &job.item.id);
        log_event!(ItemContinued, submission, item, events);
        traffic.node.metrics.items_continued.inc();
    }
}
