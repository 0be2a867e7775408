//! Items that this node runs, and the table of them.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use base::{Moment, Span, UpstreamKey};
use routebook::{ConfigIndex, HomeRegions, RouteSpec};
use smallvec::SmallVec;
use submissions::{
    FailureReport, GeneratedText, HandoverTracker, ItemFailures, SubmissionItem, SubmissionMetadata,
};
use tokio::task::AbortHandle;

use crate::{clock::wall_now, gateway::traffic_state::TrafficState};

/// Delay that each rank of route priority adds to the due time of its items in the queue. A higher
/// rank is less urgent.
const PRIORITY_DELAY: Span = Span::from_millis(1_500);

/// Completion objective of a submission if its route sets none.
const DEFAULT_COMPLETION_OBJECTIVE: Span = Span::from_secs(10);

/// An item that this node runs or has queued.
pub(crate) struct ItemJob {
    pub(crate) partition: u32,
    pub(crate) metadata: Arc<SubmissionMetadata>,
    pub(crate) item: Arc<SubmissionItem>,
    pub(crate) progress: RefCell<JobProgress>,
    /// Whether the text is complete and its score is pending.
    pub(crate) scoring: Cell<bool>,
    pub(crate) run: RefCell<Option<ItemRun>>,
    /// Whether the result is known, and perhaps not stored yet.
    pub(crate) resolved: Cell<bool>,
    /// When the run ends at the latest, once another node owns the partition.
    pub(crate) drain_until: Cell<Option<Moment>>,
    /// Home regions of the customer by the last configuration that had it.
    customer_home: RefCell<HomeRegions>,
}

/// A run in progress: its task, its engine and when it started.
pub(crate) struct ItemRun {
    pub(crate) abort: AbortHandle,
    pub(crate) upstream: UpstreamKey,
    pub(crate) started_at: Moment,
}

/// Progress of an item.
pub(crate) struct JobProgress {
    pub(crate) text: GeneratedText,
    /// Runs and reward calls that ended with status 500, at this node and at earlier owners.
    pub(crate) failures: ItemFailures,
    /// Number of runs that continued the text and ended at once, without a further event.
    pub(crate) empty_runs: u32,
    /// Engines whose runs of the item failed, latest last.
    pub(crate) tried: SmallVec<[UpstreamKey; 4]>,
    /// Moment since which the connection of the next run must have delivered.
    pub(crate) trusted_since: Moment,
    /// When the item was last put into the queue.
    pub(crate) queued_at: Moment,
    /// When this node began to run the item, which is later than its submission.
    pub(crate) known_since: Moment,
    /// Longest time after which a configuration has allowed the item to be given up.
    pub(crate) retention: Option<Span>,
    /// Runs on earlier owners of the partition.
    pub(crate) handover: HandoverTracker,
    /// Engine that generated the text, from when it is handed over until the item starts.
    pub(crate) handover_engine: Option<String>,
}

/// Jobs by submission and item.
#[derive(Default)]
pub(crate) struct JobTable {
    submissions: HashMap<String, HashMap<String, Rc<ItemJob>>>,
}

impl ItemJob {
    pub(crate) fn new(
        partition: u32,
        metadata: &Arc<SubmissionMetadata>,
        item: &Arc<SubmissionItem>,
        one_version: bool,
        retained: Option<GeneratedText>,
    ) -> Self {
        let min_version = metadata.min_version;
        let retained =
            retained.and_then(|mut text| text.set_min_version(min_version).ok().map(|()| text));
        let text = retained.unwrap_or_else(|| GeneratedText::new(min_version, one_version));
        let progress = JobProgress {
            text,
            failures: ItemFailures::default(),
            empty_runs: 0,
            tried: SmallVec::new(),
            trusted_since: Moment(0),
            queued_at: Moment::default(),
            known_since: Moment::default(),
            retention: None,
            handover: HandoverTracker::default(),
            handover_engine: None,
        };
        Self {
            partition,
            metadata: Arc::clone(metadata),
            item: Arc::clone(item),
            progress: RefCell::new(progress),
            scoring: Cell::new(false),
            run: RefCell::new(None),
            resolved: Cell::new(false),
            drain_until: Cell::new(None),
            customer_home: RefCell::default(),
        }
    }

    /// Returns the failures so far, to be put on record.
    pub(crate) fn failure_report(&self) -> FailureReport {
        FailureReport {
            submission: self.metadata.id.clone(),
            item: self.item.id.clone(),
            failures: self.progress.borrow().failures,
        }
    }

    /// Returns whether a run is in progress, or its result is not stored yet.
    pub(crate) fn is_running(&self) -> bool {
        self.run.borrow().is_some() || self.resolved.get()
    }
}

impl ItemJob {
    /// Returns whether the item may be resolved as errored because it has been open for the time that
    /// its route names. A configuration may lack the route or name a shorter time for a moment, so the
    /// longest time counts.
    pub(crate) fn may_be_given_up(&self, traffic: &TrafficState) -> bool {
        let config = traffic.config();
        let route = config
            .as_ref()
            .and_then(|config| config.route(&self.metadata.host, &self.metadata.path));
        let mut progress = self.progress.borrow_mut();
        progress.retention = progress.retention.max(route.and_then(|route| route.retention));
        let age = traffic.node.now().since(progress.known_since);
        progress.retention.is_some_and(|retention| age >= retention)
    }

    /// Returns the regions in which the item may run, by its route and its customer. A configuration
    /// may lack the customer for a moment, so what the last one said of it holds meanwhile.
    pub(crate) fn home(&self, config: &ConfigIndex) -> HomeRegions {
        if let Some(customer) = config.customer_named(&self.metadata.customer) {
            self.customer_home.replace(customer.home_regions.clone());
        }
        let home = self.customer_home.borrow();
        match config.route(&self.metadata.host, &self.metadata.path) {
            Some(route) => route.home_regions.and(&home),
            None => home.clone(),
        }
    }
}

impl JobTable {
    pub(crate) fn get(&self, submission: &str, item: &str) -> Option<&Rc<ItemJob>> {
        self.submissions.get(submission)?.get(item)
    }

    pub(crate) fn contains(&self, submission: &str, item: &str) -> bool {
        self.submissions.get(submission).is_some_and(|jobs| jobs.contains_key(item))
    }

    pub(crate) fn contains_job(&self, job: &ItemJob) -> bool {
        self.contains(&job.metadata.id, &job.item.id)
    }

    pub(crate) fn insert(&mut self, job: &Rc<ItemJob>) {
        let jobs = self.submissions.entry(job.metadata.id.clone()).or_default();
        jobs.insert(job.item.id.clone(), Rc::clone(job));
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Rc<ItemJob>> {
        self.submissions.values().flat_map(HashMap::values)
    }

    /// Removes and returns the jobs for which `is_obsolete` holds.
    pub(crate) fn extract(&mut self, is_obsolete: impl Fn(&ItemJob) -> bool) -> Vec<Rc<ItemJob>> {
        let mut removed = Vec::new();
        self.submissions.retain(|_, jobs| {
            removed.extend(jobs.extract_if(|_, job| is_obsolete(job)).map(|(_, job)| job));
            !jobs.is_empty()
        });
        removed
    }
}

/// Returns the time by which the queue orders the items of a submission: when its results are due,
/// plus a delay by the route's priority.
pub(crate) fn due_at(now: Moment, metadata: &SubmissionMetadata, route: &RouteSpec) -> Moment {
    let objective = route.completion_objective.unwrap_or(DEFAULT_COMPLETION_OBJECTIVE);
    let age = wall_now().0.saturating_sub(metadata.accepted_at.0);
    let age = Span::from_millis(u64::try_from(age).unwrap_or(0));
    let rank = Span(PRIORITY_DELAY.0 * u64::from(route.priority));
    now + objective.saturating_sub(age) + rank
}
