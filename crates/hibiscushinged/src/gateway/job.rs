//! One item that this node runs.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use base::{Moment, Span, UpstreamKey};
use routebook::RouteSpec;
use smallvec::SmallVec;
use submissions::{GeneratedText, SubmissionItem, SubmissionMetadata};
use tokio::task::AbortHandle;

use crate::clock::wall_now;

/// Due time by which items of a less urgent route stand behind, for each rank.
const RANK_DELAY: Span = Span::from_millis(1_500);

/// Due time of results where the route states none.
const DEFAULT_DUE: Span = Span::from_secs(10);

/// One item that this node runs.
pub(crate) struct ItemJob {
    pub(crate) part: u32,
    pub(crate) metadata: Arc<SubmissionMetadata>,
    pub(crate) item: Arc<SubmissionItem>,
    pub(crate) progress: RefCell<JobProgress>,
    /// Whether the text is whole and waits for its score.
    pub(crate) scoring: Cell<bool>,
    pub(crate) run: RefCell<Option<ItemRun>>,
}

/// A run in progress.
pub(crate) struct ItemRun {
    pub(crate) abort: AbortHandle,
    pub(crate) upstream: UpstreamKey,
    pub(crate) started_at: Moment,
}

/// How far an item is.
pub(crate) struct JobProgress {
    pub(crate) text: GeneratedText,
    /// Answers of 500.
    pub(crate) failures: u32,
    /// Engines that failed the item, latest last.
    pub(crate) tried: SmallVec<[UpstreamKey; 4]>,
}

/// Jobs by submission and item.
#[derive(Default)]
pub(crate) struct JobTable {
    submissions: HashMap<String, HashMap<String, Rc<ItemJob>>>,
}

impl ItemJob {
    pub(crate) fn new(
        part: u32,
        metadata: &Arc<SubmissionMetadata>,
        item: &Arc<SubmissionItem>,
        one_version: bool,
        kept: Option<GeneratedText>,
    ) -> Self {
        let min_version = metadata.min_version;
        let kept = kept.and_then(|mut text| text.set_min_version(min_version).ok().map(|()| text));
        let text = kept.unwrap_or_else(|| GeneratedText::new(min_version, one_version));
        let progress = JobProgress { text, failures: 0, tried: SmallVec::new() };
        Self {
            part,
            metadata: Arc::clone(metadata),
            item: Arc::clone(item),
            progress: RefCell::new(progress),
            scoring: Cell::new(false),
            run: RefCell::new(None),
        }
    }
}

impl JobTable {
    pub(crate) fn contains(&self, submission: &str, item: &str) -> bool {
        self.submissions.get(submission).is_some_and(|jobs| jobs.contains_key(item))
    }

    pub(crate) fn holds(&self, job: &ItemJob) -> bool {
        self.contains(&job.metadata.id, &job.item.id)
    }

    pub(crate) fn insert(&mut self, job: &Rc<ItemJob>) {
        let jobs = self.submissions.entry(job.metadata.id.clone()).or_default();
        jobs.insert(job.item.id.clone(), Rc::clone(job));
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Rc<ItemJob>> {
        self.submissions.values().flat_map(HashMap::values)
    }

    /// Removes the jobs for which `is_over` holds, and returns them.
    pub(crate) fn extract(&mut self, is_over: impl Fn(&ItemJob) -> bool) -> Vec<Rc<ItemJob>> {
        let mut over = Vec::new();
        self.submissions.retain(|_, jobs| {
            over.extend(jobs.extract_if(|_, job| is_over(job)).map(|(_, job)| job));
            !jobs.is_empty()
        });
        over
    }
}

/// Returns when the results of a submission are due.
pub(crate) fn due_at(now: Moment, metadata: &SubmissionMetadata, route: &RouteSpec) -> Moment {
    let objective = route.completion_objective.unwrap_or(DEFAULT_DUE);
    let age = wall_now().0.saturating_sub(metadata.accepted_at.0);
    let age = Span::from_millis(u64::try_from(age).unwrap_or(0));
    let rank = Span(RANK_DELAY.0 * u64::from(route.priority));
    now + objective.saturating_sub(age) + rank
}
