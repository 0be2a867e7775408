//! Items that this node runs: queued, running, and resolved ones whose results are not stored yet.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
};

use base::{Moment, Span, UpstreamKey};
use submissions::{
    FailureReport, GeneratedText, ItemQueue, ItemRank, ItemResult, SubmissionItem,
    SubmissionMetadata,
};
use tokio::sync::Notify;

use crate::{
    gateway::{
        job::{ItemJob, JobTable, due_at},
        node::NodeState,
        reward_limiter::RewardLimiter,
    },
    telemetry::log_event,
};

/// Time for which the text of an item is retained after its submission has ended, so that
/// generation can continue when the item returns.
const TEXT_RETENTION: Span = Span::from_secs(30);

/// Smoothing factor of [`ItemSchedulerState::tokens_per_event`], by which about the last fifty items
/// count. Single estimates are far off.
const TOKEN_RATIO_SMOOTHING: f64 = 0.02;

/// Text of an item whose submission has ended.
struct RetainedText {
    model: String,
    item: Arc<SubmissionItem>,
    text: GeneratedText,
    retained_at: Moment,
}

/// Queue, jobs and results of this node's items.
pub(crate) struct ItemSchedulerState {
    pub(crate) queue: ItemQueue<Rc<ItemJob>>,
    pub(crate) jobs: JobTable,
    /// Retained texts by customer and item.
    retained: HashMap<(String, String), RetainedText>,
    /// Engine that most recently processed a shared prompt, and may have it cached.
    pub(crate) warm_engines: HashMap<String, UpstreamKey>,
    pub(crate) results: HashMap<u32, Vec<(String, ItemResult)>>,
    /// Jobs by partition whose failures are not on record yet.
    unrecorded_failures: HashMap<u32, Vec<Rc<ItemJob>>>,
    /// Jobs of released partitions whose run ended without a result, until that is on record.
    pub(crate) drained: Vec<Rc<ItemJob>>,
    pub(crate) watched_partitions: HashSet<u32>,
    pub(crate) last_migration_at: Moment,
    /// Moving average of the estimated tokens of an item for each event of its text.
    pub(crate) tokens_per_event: Option<f64>,
}

impl Default for ItemSchedulerState {
    fn default() -> Self {
        Self {
            queue: ItemQueue::default(),
            jobs: JobTable::default(),
            retained: HashMap::new(),
            warm_engines: HashMap::new(),
            results: HashMap::new(),
            unrecorded_failures: HashMap::new(),
            drained: Vec::new(),
            watched_partitions: HashSet::new(),
            last_migration_at: Moment(0),
            tokens_per_event: None,
        }
    }
}

/// Schedules this node's items, and notifies the tasks that place them and store their results.
#[derive(Default)]
pub(crate) struct ItemScheduler {
    pub(crate) state: RefCell<ItemSchedulerState>,
    pub(crate) queue_changed: Notify,
    pub(crate) results_ready: Notify,
    pub(crate) drained_run_ended: Notify,
    pub(crate) failure_reported: Notify,
    /// Notified when failures are on record.
    pub(crate) failures_stored: Notify,
    pub(crate) stopped: Cell<bool>,
    pub(crate) reward_limiter: RewardLimiter,
}

impl ItemSchedulerState {
    fn retain_text(&mut self, now: Moment, job: &ItemJob) {
        let text = job.progress.borrow().text.clone();
        if text.last_event_id() == 0 {
            return;
        }
        let (model, item) = (job.metadata.model.clone(), Arc::clone(&job.item));
        let retained = RetainedText { model, item, text, retained_at: now };
        self.retained.insert((job.metadata.customer.clone(), job.item.id.clone()), retained);
    }

    /// Removes and returns the text that an item had in an earlier submission of the same customer,
    /// if it had the same prompt and model.
    pub(crate) fn take_retained_text(
        &mut self,
        metadata: &SubmissionMetadata,
        item: &SubmissionItem,
    ) -> Option<GeneratedText> {
        let retained = self.retained.remove(&(metadata.customer.clone(), item.id.clone()))?;
        let same = retained.model == metadata.model && retained.item.body == item.body;
        same.then_some(retained.text)
    }
}

impl ItemScheduler {
    /// Has the task that places items check the queue now.
    pub(crate) fn wake(&self) {
        self.queue_changed.notify_one();
    }

    /// Clears the queue and starts no further items. Running ones continue.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.state.borrow_mut().queue.retain(|_| false);
    }

    /// Returns the number of items that are running, or whose results, failures or unfinished texts are
    /// not stored yet.
    pub(crate) fn unfinished_count(&self) -> usize {
        let state = self.state.borrow();
        let running = state.jobs.values().filter(|job| job.run.borrow().is_some()).count();
        let results: usize = state.results.values().map(Vec::len).sum();
        let failures: usize = state.unrecorded_failures.values().map(Vec::len).sum();
        running + state.drained.len() + results + failures
    }

    /// Returns the number of items that wait for an engine.
    #[cfg(test)]
    pub(crate) fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Drops the jobs of a partition for which `is_obsolete` holds, aborts their runs, and retains
    /// their texts.
    pub(crate) fn drop_jobs(
        &self,
        now: Moment,
        partition: u32,
        is_obsolete: impl Fn(&ItemJob) -> bool,
    ) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for job in state.jobs.extract(|job| job.partition == partition && is_obsolete(job)) {
            // Aborting the run closes its connection, on which the engine cancels the request.
            if let Some(run) = job.run.take() {
                run.abort.abort();
            }
            state.retain_text(now, &job);
        }
        let jobs = &state.jobs;
        state.queue.retain(|job| jobs.contains_job(job));
        state.retained.retain(|_, retained| now.since(retained.retained_at) < TEXT_RETENTION);
    }

    /// Keeps the runs of a partition that has come back to this node.
    pub(crate) fn reclaim(&self, partition: u32) {
        for job in self.state.borrow().jobs.values() {
            if job.partition == partition {
                job.drain_until.set(None);
            }
        }
    }

    /// Drops the job of a released partition whose run ended without a result, and has this put on
    /// record for the next owner.
    pub(crate) fn end_drained_run(&self, now: Moment, job: &Rc<ItemJob>) {
        let mut state = self.state.borrow_mut();
        state.jobs.extract(|other| std::ptr::eq(other, Rc::as_ptr(job)));
        state.retain_text(now, job);
        state.drained.push(Rc::clone(job));
        self.drained_run_ended.notify_one();
    }

    /// Puts an interrupted item back into the queue, unless its job was dropped, its partition
    /// belongs to another node, or this node is stopping. It waits there if the configuration has no
    /// route for it at present.
    pub(crate) fn requeue(&self, node: &NodeState, job: &Rc<ItemJob>) {
        job.run.take();
        if !self.is_wanted(job) {
            return;
        }
        if job.drain_until.get().is_some() {
            self.end_drained_run(node.now(), job);
            return;
        }
        let mut state = self.state.borrow_mut();
        if self.stopped.get() {
            return;
        }
        job.progress.borrow_mut().queued_at = node.now();
        let config = node.config.load();
        let route =
            config.as_ref().and_then(|config| config.route(&job.metadata.host, &job.metadata.path));
        let due = route.map_or(node.now(), |route| due_at(node.now(), &job.metadata, route));
        // An item that has begun comes before others of its submission.
        state.queue.push(due, ItemRank::FIRST, Rc::clone(job));
        drop(state);
        self.wake();
    }

    /// Records the final result of an item, to be stored soon.
    pub(crate) fn resolve(&self, job: &ItemJob, result: ItemResult) {
        job.run.take();
        job.resolved.set(true);
        let events = job.progress.borrow().text.last_event_id();
        let (submission, item, state) = (&job.metadata.id, &job.item.id, result.state);
        log_event!(ItemResolved, submission, item, ?state, events, versions = ?result.versions);
        let submission = submission.clone();
        let mut state = self.state.borrow_mut();
        if events > 0 {
            let ratio = f64::from(job.item.expected_tokens) / events as f64;
            let mean = state.tokens_per_event.unwrap_or(ratio);
            state.tokens_per_event = Some(mean + (ratio - mean) * TOKEN_RATIO_SMOOTHING);
        }
        state.results.entry(job.partition).or_default().push((submission, result));
        drop(state);
        self.results_ready.notify_one();
        self.wake();
    }

    /// Adds the failures of an item to those that are put on record.
    pub(crate) fn report_failure(&self, job: &Rc<ItemJob>) {
        let mut state = self.state.borrow_mut();
        let unrecorded = state.unrecorded_failures.entry(job.partition).or_default();
        if !unrecorded.iter().any(|other| Rc::ptr_eq(other, job)) {
            unrecorded.push(Rc::clone(job));
        }
        drop(state);
        self.failure_reported.notify_one();
    }

    /// Returns the partitions with failures that are not on record yet.
    pub(crate) fn partitions_with_failures(&self) -> Vec<u32> {
        self.state.borrow().unrecorded_failures.keys().copied().collect()
    }

    /// Returns the failures of a partition's items that are not on record yet, as many as fit into this
    /// number of bytes, but at least one. Items with a result need no record.
    pub(crate) fn unrecorded_failures(
        &self,
        partition: u32,
        max_bytes: usize,
    ) -> Vec<FailureReport> {
        let mut state = self.state.borrow_mut();
        let Some(jobs) = state.unrecorded_failures.get_mut(&partition) else { return Vec::new() };
        jobs.retain(|job| !job.resolved.get());
        if jobs.is_empty() {
            state.unrecorded_failures.remove(&partition);
            return Vec::new();
        }
        let mut reports = Vec::new();
        let mut bytes = 0;
        for report in jobs.iter().map(|job| job.failure_report()) {
            bytes += report.encoded_bytes();
            if bytes > max_bytes && !reports.is_empty() {
                break;
            }
            reports.push(report);
        }
        reports
    }

    /// Notes that these failures of a partition's items are on record. An item that has failed again
    /// meanwhile needs another record.
    pub(crate) fn failures_recorded(&self, partition: u32, reports: &[FailureReport]) {
        let mut state = self.state.borrow_mut();
        let Some(jobs) = state.unrecorded_failures.get_mut(&partition) else { return };
        jobs.retain(|job| !reports.contains(&job.failure_report()));
        if jobs.is_empty() {
            state.unrecorded_failures.remove(&partition);
        }
        drop(state);
        self.failures_stored.notify_waiters();
    }

    /// Returns whether the item has failures that are not on record yet.
    pub(crate) fn has_unrecorded_failures(&self, job: &Rc<ItemJob>) -> bool {
        let state = self.state.borrow();
        let jobs = state.unrecorded_failures.get(&job.partition);
        jobs.is_some_and(|jobs| jobs.iter().any(|other| Rc::ptr_eq(other, job)))
    }

    /// Returns whether the item still has a job on this node.
    pub(crate) fn is_wanted(&self, job: &ItemJob) -> bool {
        self.state.borrow().jobs.contains_job(job)
    }
}
