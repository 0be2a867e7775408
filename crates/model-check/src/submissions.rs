//! Specification of one partition of submissions in the platform's store: two nodes that
//! concurrently accept submissions, store their results, end them and read them.
//!
//! Every node runs the daemon's [`PartitionCache`] and appends the records that
//! [`opening_records`], [`result_records`] and [`ending_records`] return. The store only checks
//! that an append names the end of the log. A node reads the keys of a submission in two pages,
//! which are not read atomically, and follows the log meanwhile.
//!
//! [`opening_records`]: submissions::opening_records
//! [`result_records`]: submissions::result_records
//! [`ending_records`]: submissions::ending_records

mod node;
mod store;

use std::rc::Rc;

use ::submissions::PartitionCache;
use base::{derive_copy, derive_value};

use crate::search::Specification;
pub use crate::submissions::{
    node::{NodeTask, StoreNode},
    store::{DelayedAppend, KeyedLog},
};

/// Violated when a submission is accepted twice.
pub const ACCEPTED_ONCE: &str = "a submission is accepted once";
/// Violated when an item has two results, or when a position has two results or is skipped.
pub const UNIQUE_POSITIONS: &str = "each item and each position of a submission has one result";
/// Violated when a result is stored after the end of its submission.
pub const NO_RESULT_AFTER_END: &str = "no result follows the end of its submission";
/// Violated when the cache of a node misses records of a loaded submission, or differs from the
/// log.
pub const CACHE_MATCHES_LOG: &str =
    "a cache holds every record of a loaded submission up to its offset";

derive_copy! {
    /// Bounds of the search.
    pub struct SubmissionBounds {
        /// Maximum number of faults of all kinds together.
        pub faults: u8,
        /// What each of the two nodes does.
        pub work: WorkPlan,
    }

    /// What each of the two nodes does, in order.
    pub enum WorkPlan {
        /// A submission arrives at both nodes, and both store results.
        SentTwice,
        /// Both nodes store results of the same two submissions, in different orders.
        TwoOwners,
        /// One node ends a submission while the other one stores its results.
        EndedMeanwhile,
        /// Callers read two submissions from a node while it stores results.
        ReadMeanwhile,
    }

    /// One transition. The number is the index of the node or of the delayed append.
    pub enum SubmissionStep {
        /// A node reads the first page of a submission's keys: all records but the results.
        ReadFirstPage(usize),
        /// A node reads the second page, the results, and applies both pages to its cache.
        ReadLastPage(usize),
        /// A node reads the next record of the log.
        ReadRecord(usize),
        /// A node reads all new records of the log.
        ReadLog(usize),
        /// A node decides which records to append, and at which offset.
        Decide(usize),
        /// A node appends and receives the response.
        Append(usize),
        /// A node appends and the response is lost.
        AppendAnswerLost(usize),
        /// An append is delayed and may arrive at any later time. The node does not wait for it.
        AppendDelayed(usize),
        /// A delayed append arrives at the store.
        DelayedAppendLands(usize),
        /// The store compacts the log: of each key, only the newest record can be read, and by key
        /// only.
        Forget,
    }
}

derive_value! {
    /// One task of a node.
    pub enum NodeWork {
        /// Accepts a submission.
        Open(&'static str),
        /// Stores the results of items, given as pairs of submission and item.
        Results(Vec<(&'static str, &'static str)>),
        /// Ends a submission.
        End(&'static str),
    }
}

/// Steps on which the invariants depend. A test replaces one of them by a faulty one, to show that
/// the search finds the violation.
pub trait SubmissionGuards {
    /// Returns the offset at which an append that concerns `submissions` may be tried, or `None` if
    /// the cache does not know enough of them.
    fn append_offset(&self, cache: &PartitionCache, submissions: &[&str]) -> Option<u64> {
        cache.append_offset(submissions)
    }

    /// Returns the offset that the store compares with the end of the log before it appends. `None`
    /// appends unconditionally.
    fn append_condition(&self, offset: u64) -> Option<u64> {
        Some(offset)
    }

    /// Returns the offset from which the cache follows the log after it has read two pages.
    /// `first_page` and `last_page` are the ends of the log when the pages were read.
    fn follow_offset(&self, _cache: &PartitionCache, first_page: u64, _last_page: u64) -> u64 {
        first_page
    }
}

/// The steps as the daemon performs them.
#[derive(Debug, Clone, Copy)]
pub struct ProductGuards;

impl SubmissionGuards for ProductGuards {}

/// Specification of the submissions of one partition.
#[derive(Debug, Clone)]
pub struct SubmissionModel<G> {
    /// Bounds of the search.
    pub bounds: SubmissionBounds,
    /// Steps on which the invariants depend.
    pub guards: G,
}

/// State of the store, the nodes and delayed appends.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SubmissionsState {
    pub(crate) log: KeyedLog,
    pub(crate) delayed: Vec<DelayedAppend>,
    pub(crate) nodes: Vec<Rc<StoreNode>>,
    pub(crate) faults_left: u8,
}

impl SubmissionsState {
    /// Returns the log of the partition.
    #[must_use]
    pub const fn log(&self) -> &KeyedLog {
        &self.log
    }

    /// Returns whether all nodes have finished their tasks.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.nodes.iter().all(|node| node.work.is_empty())
    }
}

impl WorkPlan {
    fn nodes(self) -> [StoreNode; 2] {
        let results = |items: &[(&'static str, &'static str)]| NodeWork::Results(items.to_vec());
        let mut caller_reads = Vec::new();
        let [first, second] = match self {
            Self::SentTwice => [
                vec![NodeWork::Open("a"), results(&[("a", "a0"), ("a", "a1")])],
                vec![NodeWork::Open("a"), results(&[("a", "a1")])],
            ],
            Self::TwoOwners => [
                vec![
                    NodeWork::Open("a"),
                    NodeWork::Open("b"),
                    results(&[("a", "a0"), ("b", "b0")]),
                ],
                vec![results(&[("a", "a1")]), results(&[("b", "b0"), ("a", "a0")])],
            ],
            Self::EndedMeanwhile => [
                vec![NodeWork::Open("a"), results(&[("a", "a0")]), results(&[("a", "a1")])],
                vec![NodeWork::End("a")],
            ],
            Self::ReadMeanwhile => {
                caller_reads = vec!["a", "b"];
                [vec![NodeWork::Open("a"), results(&[("a", "a0")])], vec![results(&[("a", "a1")])]]
            }
        };
        [StoreNode::new(first, Vec::new()), StoreNode::new(second, caller_reads)]
    }
}

impl<G: SubmissionGuards> Specification for SubmissionModel<G> {
    type State = SubmissionsState;
    type Step = SubmissionStep;

    fn initial(&self) -> SubmissionsState {
        let nodes = self.bounds.work.nodes().map(Rc::new);
        SubmissionsState {
            log: KeyedLog::default(),
            delayed: Vec::new(),
            nodes: nodes.into(),
            faults_left: self.bounds.faults,
        }
    }

    fn steps(&self, state: &SubmissionsState) -> Vec<(SubmissionStep, SubmissionsState)> {
        let mut steps = Vec::new();
        if self.broken_invariant(state).is_some() {
            return steps;
        }
        for index in 0..state.nodes.len() {
            self.node_steps(state, index, &mut steps);
        }
        for index in 0..state.delayed.len() {
            let mut next = state.clone();
            let append = next.delayed.remove(index);
            // The sender has stopped waiting, so nobody learns whether the append took effect.
            let _ = next.log.append(append.condition, &append.records);
            steps.push((SubmissionStep::DelayedAppendLands(index), next));
        }
        if let Some(mut next) = state.spend_fault().filter(|next| next.log.can_compact()) {
            next.log.compact();
            steps.push((SubmissionStep::Forget, next));
        }
        steps
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[ACCEPTED_ONCE, UNIQUE_POSITIONS, NO_RESULT_AFTER_END, CACHE_MATCHES_LOG]
    }

    fn broken_invariant(&self, state: &SubmissionsState) -> Option<&'static str> {
        let broken = state.log.broken_invariant();
        broken.or_else(|| {
            let whole = state.nodes.iter().all(|node| state.log.matches(&node.cache));
            (!whole).then_some(CACHE_MATCHES_LOG)
        })
    }

    fn describe(&self, state: &SubmissionsState) -> String {
        let nodes: Vec<String> = state.nodes.iter().map(|node| node.describe()).collect();
        let delayed = state.delayed.len();
        format!("log [{}], nodes [{}], {delayed} delayed", state.log.describe(), nodes.join("; "))
    }
}

impl SubmissionsState {
    pub(crate) fn spend_fault(&self) -> Option<Self> {
        let faults_left = self.faults_left.checked_sub(1)?;
        Some(Self { faults_left, ..self.clone() })
    }
}
