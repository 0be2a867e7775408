//! A node with its copy of the partition and its work.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
    rc::Rc,
};

use ::submissions::{
    ItemResult, LogBatch, PartitionCache, SubmissionItem, SubmissionMetadata, SubmissionRecord,
    SubmissionSnapshot, ending_records, opening_records, result_records,
};
use base::{Moment, WallTime, WeightVersion, derive_value};
use bytes::Bytes;

use crate::submissions::{
    DelayedAppend, KeyedLog, NodeWork, SubmissionGuards, SubmissionModel, SubmissionStep,
    SubmissionsState, store::KeyedRecord,
};

/// Items of each submission.
const ITEMS: u32 = 2;

/// The model has no clock: nothing in the copy that it checks depends on time.
const NOW: Moment = Moment(0);

derive_value! {
    /// What a node is about to do for the first work in its list.
    pub enum NodeTask {
        /// Reads what it needs to know.
        Prepare {
            /// Whether the log must be read first, because an append found it longer.
            behind: bool,
        },
        /// Sends this append.
        Append {
            /// Offset that was decided on.
            offset: u64,
            /// What to append.
            records: Vec<SubmissionRecord>,
        },
    }

    /// The first page of a read of a submission.
    struct OpenRead {
        submission: &'static str,
        end: u64,
        records: Vec<SubmissionRecord>,
    }

    /// A node.
    pub struct StoreNode {
        pub(crate) cache: PartitionCache,
        pub(crate) work: VecDeque<NodeWork>,
        /// Submissions that callers ask this node for, at any time.
        callers: Vec<&'static str>,
        task: NodeTask,
        reads: Vec<OpenRead>,
    }
}

/// Leaves out the submissions, which the offset mostly implies.
impl Hash for StoreNode {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.cache.next_offset().hash(hasher);
        self.work.len().hash(hasher);
        match &self.task {
            NodeTask::Prepare { behind } => behind.hash(hasher),
            NodeTask::Append { offset, .. } => offset.hash(hasher),
        }
        self.callers.len().hash(hasher);
        for read in &self.reads {
            (read.submission, read.end, read.records.len()).hash(hasher);
        }
    }
}

impl NodeWork {
    fn submissions(&self) -> Vec<&'static str> {
        match self {
            Self::Open(submission) | Self::End(submission) => vec![submission],
            Self::Results(items) => items.iter().map(|(submission, _)| *submission).collect(),
        }
    }

    /// Returns what is left to append.
    fn records(&self, cache: &PartitionCache) -> Option<Vec<SubmissionRecord>> {
        match self {
            Self::Open(submission) => {
                opening_records(cache.table(), submission, &opened(submission))
            }
            Self::End(submission) => ending_records(cache.table(), submission),
            Self::Results(items) => {
                let results = items.iter().map(|(submission, item)| {
                    (String::from(*submission), ItemResult::errored(*item))
                });
                result_records(cache.table(), &results.collect::<Vec<_>>())
            }
        }
    }
}

fn opened(submission: &str) -> Vec<SubmissionRecord> {
    let text = |text: &str| String::from(text);
    let items = (0..ITEMS).map(|index| SubmissionItem {
        id: format!("{submission}{index}"),
        path: text("/"),
        headers: Vec::new(),
        body: Bytes::new(),
        group: text("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    });
    let metadata = SubmissionMetadata {
        id: text(submission),
        customer: text("brewer"),
        host: text("h"),
        path: text("/"),
        model: text("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: ITEMS,
    };
    let items = items.collect();
    vec![
        SubmissionRecord::Opened(metadata),
        SubmissionRecord::Items { submission: text(submission), first: 0, items },
    ]
}

impl StoreNode {
    pub(crate) fn new(work: Vec<NodeWork>, callers: Vec<&'static str>) -> Self {
        let task = NodeTask::Prepare { behind: false };
        let cache = PartitionCache::default();
        Self { cache, work: work.into(), callers, task, reads: Vec::new() }
    }

    fn read_first_page(&mut self, log: &KeyedLog, submission: &'static str) {
        let records = log.newest(submission, |key| !key.starts_with('r'));
        let end = log.end();
        self.reads.push(OpenRead { submission, end, records });
    }

    pub(crate) fn describe(&self) -> String {
        format!("read to {:?}, {:?}", self.cache.next_offset(), self.task)
    }
}

impl<G: SubmissionGuards> SubmissionModel<G> {
    pub(crate) fn node_steps(
        &self,
        state: &SubmissionsState,
        index: usize,
        steps: &mut Vec<(SubmissionStep, SubmissionsState)>,
    ) {
        let node = &state.nodes[index];
        if node.cache.next_offset().is_some_and(|next| next < state.log.end()) {
            for step in [SubmissionStep::ReadRecord(index), SubmissionStep::ReadLog(index)] {
                let mut next = state.clone();
                read_log(&mut next, step, index);
                steps.push((step, next));
            }
        }
        for read in 0..node.reads.len() {
            let mut next = state.clone();
            self.read_last_page(&mut next, index, read);
            steps.push((SubmissionStep::ReadLastPage(index), next));
        }
        if !node.callers.is_empty() {
            let mut next = state.clone();
            let changed = Rc::make_mut(&mut next.nodes[index]);
            let submission = changed.callers.remove(0);
            changed.read_first_page(&state.log, submission);
            steps.push((SubmissionStep::ReadFirstPage(index), next));
        }
        let Some(work) = node.work.front() else { return };
        match &node.task {
            NodeTask::Prepare { .. } => self.prepare(state, index, work, steps),
            NodeTask::Append { .. } => self.append_steps(state, index, steps),
        }
    }

    fn prepare(
        &self,
        state: &SubmissionsState,
        index: usize,
        work: &NodeWork,
        steps: &mut Vec<(SubmissionStep, SubmissionsState)>,
    ) {
        let node = &state.nodes[index];
        let behind = node.task == NodeTask::Prepare { behind: true };
        if behind && node.cache.next_offset().is_some_and(|next| next < state.log.end()) {
            // The log is read first, which is a step of its own.
            return;
        }
        let submissions = work.submissions();
        let mut next = state.clone();
        let changed = Rc::make_mut(&mut next.nodes[index]);
        if let Some(offset) = self.guards.append_offset(&node.cache, &submissions) {
            match work.records(&node.cache) {
                Some(records) => changed.task = NodeTask::Append { offset, records },
                None => changed.finish(),
            }
            steps.push((SubmissionStep::Decide(index), next));
        } else if let Some(submission) = submissions.into_iter().find(|submission| {
            !node.cache.is_loaded(submission)
                && !node.reads.iter().any(|read| read.submission == *submission)
        }) {
            changed.read_first_page(&state.log, submission);
            steps.push((SubmissionStep::ReadFirstPage(index), next));
        }
    }

    fn read_last_page(&self, state: &mut SubmissionsState, index: usize, read: usize) {
        let log = &state.log;
        let node = Rc::make_mut(&mut state.nodes[index]);
        let read = node.reads.remove(read);
        let mut records = read.records;
        records.extend(log.newest(read.submission, |key| key.starts_with('r')));
        // A read that was overtaken is repeated.
        node.cache.apply_snapshot(SubmissionSnapshot {
            submission: String::from(read.submission),
            read_started_at: NOW,
            log_end: self.guards.read_end(&node.cache, read.end, log.end()),
            records,
        });
    }

    fn append_steps(
        &self,
        state: &SubmissionsState,
        index: usize,
        steps: &mut Vec<(SubmissionStep, SubmissionsState)>,
    ) {
        let NodeTask::Append { offset, records } = &state.nodes[index].task else { return };
        let condition = self.guards.condition(*offset);
        let stored: Vec<_> =
            records.iter().cloned().map(|record| Rc::new(KeyedRecord::from(record))).collect();
        let mut next = state.clone();
        let appended = next.log.append(condition, &stored);
        let end = next.log.end();
        let node = Rc::make_mut(&mut next.nodes[index]);
        match appended {
            Some(offset) => {
                node.cache.apply_own_append(offset, end, records.clone());
                node.finish();
            }
            None => node.task = NodeTask::Prepare { behind: true },
        }
        steps.push((SubmissionStep::Append(index), next));
        if let Some(mut next) = state.fault() {
            // Nothing is known of the append, so the next try begins with a read.
            let _ = next.log.append(condition, &stored);
            Rc::make_mut(&mut next.nodes[index]).task = NodeTask::Prepare { behind: true };
            steps.push((SubmissionStep::AppendAnswerLost(index), next));
        }
        if let Some(mut next) = state.fault() {
            next.delayed.push(DelayedAppend { condition, records: stored });
            Rc::make_mut(&mut next.nodes[index]).task = NodeTask::Prepare { behind: true };
            steps.push((SubmissionStep::AppendDelayed(index), next));
        }
    }
}

impl StoreNode {
    fn finish(&mut self) {
        self.work.pop_front();
        self.task = NodeTask::Prepare { behind: false };
    }
}

fn read_log(state: &mut SubmissionsState, step: SubmissionStep, index: usize) {
    let log = &state.log;
    let node = Rc::make_mut(&mut state.nodes[index]);
    let Some(from) = node.cache.next_offset() else { return };
    if from < log.first() {
        node.cache.reset();
        return;
    }
    let end = log.end();
    let next_offset = if matches!(step, SubmissionStep::ReadRecord(_)) { from + 1 } else { end };
    let records = log.read(from, next_offset);
    node.cache.apply_batch(LogBatch {
        read_started_at: NOW,
        start_offset: from,
        next_offset,
        log_end: end,
        records,
    });
}
