//! The items of this node: which wait, which run, and which results wait for the store.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
};

use base::{Moment, Span, UpstreamKey};
use submissions::{GeneratedText, ItemQueue, ItemResult, SubmissionItem, SubmissionMetadata};
use tokio::sync::Notify;

use crate::{
    gateway::{
        gate::RewardGate,
        job::{ItemJob, JobTable, due_at},
        node::NodeState,
    },
    telemetry::log_event,
};

/// Time for which the text of an item is kept after its submission has ended, so that it can go on
/// when the item returns.
const TEXT_LIFE: Span = Span::from_secs(30);

/// Text of an item whose submission has ended.
struct KeptText {
    model: String,
    item: Arc<SubmissionItem>,
    text: GeneratedText,
    kept_at: Moment,
}

/// Items by what becomes of them.
pub(crate) struct ItemLists {
    pub(crate) queue: ItemQueue<Rc<ItemJob>>,
    pub(crate) jobs: JobTable,
    /// Texts by customer and item.
    kept: HashMap<(String, String), KeptText>,
    /// Engine that has read a shared prompt last.
    pub(crate) warm_engines: HashMap<String, UpstreamKey>,
    pub(crate) results: HashMap<u32, Vec<(String, ItemResult)>>,
    pub(crate) watched: HashSet<u32>,
    pub(crate) last_migration_at: Moment,
}

impl Default for ItemLists {
    fn default() -> Self {
        Self {
            queue: ItemQueue::default(),
            jobs: JobTable::default(),
            kept: HashMap::new(),
            warm_engines: HashMap::new(),
            results: HashMap::new(),
            watched: HashSet::new(),
            last_migration_at: Moment(0),
        }
    }
}

/// Items of this node.
#[derive(Default)]
pub(crate) struct ItemDesk {
    pub(crate) lists: RefCell<ItemLists>,
    pub(crate) wake: Notify,
    pub(crate) results: Notify,
    pub(crate) stopped: Cell<bool>,
    pub(crate) rewards: RewardGate,
}

impl ItemLists {
    fn keep(&mut self, now: Moment, job: &ItemJob) {
        let text = job.progress.borrow().text.clone();
        if text.last_event_id() == 0 {
            return;
        }
        let (model, item) = (job.metadata.model.clone(), Arc::clone(&job.item));
        let kept = KeptText { model, item, text, kept_at: now };
        self.kept.insert((job.metadata.customer.clone(), job.item.id.clone()), kept);
    }

    /// Takes the text that an item had in an earlier submission of the same customer. A text to another
    /// prompt or of another model is of no use.
    pub(crate) fn take_kept(
        &mut self,
        metadata: &SubmissionMetadata,
        item: &SubmissionItem,
    ) -> Option<GeneratedText> {
        let kept = self.kept.remove(&(metadata.customer.clone(), item.id.clone()))?;
        let same = kept.model == metadata.model && kept.item.body == item.body;
        same.then_some(kept.text)
    }
}

impl ItemDesk {
    /// Looks at the queue soon.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Starts no further items. Those that run go on.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.lists.borrow_mut().queue.retain(|_| false);
    }

    /// Number of items that are running or whose results are not stored yet.
    pub(crate) fn unfinished(&self) -> usize {
        let state = self.lists.borrow();
        let running = state.jobs.values().filter(|job| job.run.borrow().is_some()).count();
        running + state.results.values().map(Vec::len).sum::<usize>()
    }

    /// Number of items that wait for an engine.
    #[cfg(test)]
    pub(crate) fn waiting(&self) -> usize {
        self.lists.borrow().queue.len()
    }

    /// Drops the jobs of a partition that are over, and keeps the texts that they have.
    pub(crate) fn drop_jobs(&self, now: Moment, part: u32, is_over: impl Fn(&ItemJob) -> bool) {
        let mut state = self.lists.borrow_mut();
        let state = &mut *state;
        for job in state.jobs.extract(|job| job.part == part && is_over(job)) {
            // Dropping the run closes its connection, and the engine drops the request.
            if let Some(run) = job.run.take() {
                run.abort.abort();
            }
            state.keep(now, &job);
        }
        let jobs = &state.jobs;
        state.queue.retain(|job| jobs.holds(job));
        state.kept.retain(|_, kept| now.since(kept.kept_at) < TEXT_LIFE);
    }

    /// Puts an interrupted item back into the queue.
    pub(crate) fn requeue(&self, node: &NodeState, job: &Rc<ItemJob>) {
        job.run.take();
        let mut state = self.lists.borrow_mut();
        if !state.jobs.holds(job) || self.stopped.get() {
            return;
        }
        let Some(routes) = node.config.load_full() else { return };
        let Some(route) = routes.route(&job.metadata.host, &job.metadata.path) else { return };
        let due = due_at(node.now(), &job.metadata, route);
        // An item that has begun comes before others of its submission.
        state.queue.push(due, 0, u32::MAX, Rc::clone(job));
        drop(state);
        self.wake();
    }

    /// Takes the final result of an item.
    pub(crate) fn resolve(&self, job: &ItemJob, result: ItemResult) {
        job.run.take();
        let events = job.progress.borrow().text.last_event_id();
        let (submission, item, state) = (&job.metadata.id, &job.item.id, result.state);
        log_event!(ItemResolved, submission, item, ?state, events, versions = ?result.versions);
        let submission = submission.clone();
        self.lists.borrow_mut().results.entry(job.part).or_default().push((submission, result));
        self.results.notify_one();
        self.wake();
    }

    /// Tells whether the item is still wanted.
    pub(crate) fn is_wanted(&self, job: &ItemJob) -> bool {
        self.lists.borrow().jobs.holds(job)
    }
}
