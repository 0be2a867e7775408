//! A node: its partition cache, its tasks and its steps.

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

/// Constant time: the model has no clock, since the invariants do not depend on time.
const NOW: Moment = Moment(0);

derive_value! {
    /// Progress of a node in its current task, the first one in its list.
    pub enum NodeTask {
        /// Loads the submissions concerned, then decides what to append.
        Prepare {
            /// Whether the log must be read first, because the offset of an append was outdated or
            /// its outcome is unknown.
            behind: bool,
        },
        /// Sends the append that was decided on.
        Append {
            /// Offset at which to append.
            offset: u64,
            /// Records to append.
            records: Vec<SubmissionRecord>,
        },
    }

    /// A read of a submission of which the first page has arrived.
    struct PartialRead {
        submission: &'static str,
        /// End of the log when the first page was read.
        log_end: u64,
        records: Vec<SubmissionRecord>,
    }

    /// A node that works on the partition.
    pub struct StoreNode {
        pub(crate) cache: PartitionCache,
        pub(crate) work: VecDeque<NodeWork>,
        /// Submissions that callers read from this node. Each read may begin at any time.
        caller_reads: Vec<&'static str>,
        task: NodeTask,
        reads: Vec<PartialRead>,
    }
}

/// Leaves out the contents of the cache, which its offset implies in nearly all states.
impl Hash for StoreNode {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.cache.next_offset().hash(hasher);
        self.work.len().hash(hasher);
        match &self.task {
            NodeTask::Prepare { behind } => behind.hash(hasher),
            NodeTask::Append { offset, .. } => offset.hash(hasher),
        }
        self.caller_reads.len().hash(hasher);
        for read in &self.reads {
            (read.submission, read.log_end, read.records.len()).hash(hasher);
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

    /// Returns the records that are not stored yet according to the cache, or `None` if there are
    /// none.
    fn records(&self, cache: &PartitionCache) -> Option<Vec<SubmissionRecord>> {
        match self {
            Self::Open(submission) => {
                opening_records(cache.table(), submission, &acceptance_records(submission))
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

fn acceptance_records(submission: &str) -> Vec<SubmissionRecord> {
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
    pub(crate) fn new(work: Vec<NodeWork>, caller_reads: Vec<&'static str>) -> Self {
        let task = NodeTask::Prepare { behind: false };
        let cache = PartitionCache::default();
        Self { cache, work: work.into(), caller_reads, task, reads: Vec::new() }
    }

    fn read_first_page(&mut self, log: &KeyedLog, submission: &'static str) {
        let records = log.newest(submission, |key| !key.starts_with('r'));
        let log_end = log.end();
        self.reads.push(PartialRead { submission, log_end, records });
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
        if !node.caller_reads.is_empty() {
            let mut next = state.clone();
            let changed = Rc::make_mut(&mut next.nodes[index]);
            let submission = changed.caller_reads.remove(0);
            changed.read_first_page(&state.log, submission);
            steps.push((SubmissionStep::ReadFirstPage(index), next));
        }
        let Some(work) = node.work.front() else { return };
        match &node.task {
            NodeTask::Prepare { .. } => self.prepare_steps(state, index, work, steps),
            NodeTask::Append { .. } => self.append_steps(state, index, steps),
        }
    }

    fn prepare_steps(
        &self,
        state: &SubmissionsState,
        index: usize,
        work: &NodeWork,
        steps: &mut Vec<(SubmissionStep, SubmissionsState)>,
    ) {
        let node = &state.nodes[index];
        let behind = node.task == NodeTask::Prepare { behind: true };
        if behind && node.cache.next_offset().is_some_and(|next| next < state.log.end()) {
            // The node must read the log first, for which `node_steps` has added separate steps.
            return;
        }
        let submissions = work.submissions();
        let mut next = state.clone();
        let changed = Rc::make_mut(&mut next.nodes[index]);
        if let Some(offset) = self.guards.append_offset(&node.cache, &submissions) {
            match work.records(&node.cache) {
                Some(records) => changed.task = NodeTask::Append { offset, records },
                None => changed.finish_task(),
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
        // The cache rejects a read that began before its own start offset. The submission is then
        // still not loaded, and `prepare_steps` reads it again for a task that needs it.
        node.cache.apply_snapshot(SubmissionSnapshot {
            submission: String::from(read.submission),
            read_started_at: NOW,
            log_end: self.guards.follow_offset(&node.cache, read.log_end, log.end()),
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
        let condition = self.guards.append_condition(*offset);
        let stored: Vec<_> =
            records.iter().cloned().map(|record| Rc::new(KeyedRecord::from(record))).collect();
        let mut next = state.clone();
        let appended = next.log.append(condition, &stored);
        let end = next.log.end();
        let node = Rc::make_mut(&mut next.nodes[index]);
        match appended {
            Some(offset) => {
                node.cache.apply_own_append(offset, end, records.clone());
                node.finish_task();
            }
            None => node.task = NodeTask::Prepare { behind: true },
        }
        steps.push((SubmissionStep::Append(index), next));
        if let Some(mut next) = state.spend_fault() {
            // Whether the append took effect is unknown, so the node reads the log before it
            // retries.
            let _ = next.log.append(condition, &stored);
            Rc::make_mut(&mut next.nodes[index]).task = NodeTask::Prepare { behind: true };
            steps.push((SubmissionStep::AppendAnswerLost(index), next));
        }
        if let Some(mut next) = state.spend_fault() {
            next.delayed.push(DelayedAppend { condition, records: stored });
            Rc::make_mut(&mut next.nodes[index]).task = NodeTask::Prepare { behind: true };
            steps.push((SubmissionStep::AppendDelayed(index), next));
        }
    }
}

impl StoreNode {
    fn finish_task(&mut self) {
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
