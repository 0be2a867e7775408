//! Specification of one partition of submissions in the platform's store: nodes that accept, run and end
//! submissions at the same time, and read them.
//!
//! Every node holds a real [`PartitionCache`] and appends what [`opening_records`], [`result_records`] and
//! [`ending_records`] plan. The store checks nothing but the offset that an append names. A node reads
//! the keys of a submission in two pages, which are no snapshot, and follows the log meanwhile.
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

/// A submission was accepted twice.
pub const ACCEPTED_ONCE: &str = "a submission is accepted once";
/// An item has two results, or a position was given away twice or left out.
pub const ONE_POSITION: &str = "each item and each position of a submission has one result";
/// A result was stored after the end of its submission.
pub const ENDED_STAYS: &str = "no result follows the end of its submission";
/// A copy misses records of a loaded submission, or shows others than the log.
pub const COPY_IS_WHOLE: &str = "a copy misses nothing of a loaded submission up to its offset";

derive_copy! {
    /// Sizes of a model.
    pub struct SubmissionBounds {
        /// Number of faults of any kind.
        pub faults: u8,
        /// What the nodes have to do.
        pub work: WorkPlan,
    }

    /// What each of the two nodes has to do, in order.
    pub enum WorkPlan {
        /// A submission arrives at both nodes, and both store results.
        SentTwice,
        /// Two submissions whose results both nodes store, in different orders.
        TwoOwners,
        /// One node ends the submission whose results the other one stores.
        EndedMeanwhile,
        /// Callers ask the node that stores results for two submissions at the same time.
        ReadMeanwhile,
    }

    /// One transition. The number is that of the node or of the delayed append concerned.
    pub enum SubmissionStep {
        /// Reads the first page of a submission's keys.
        ReadFirstPage(usize),
        /// Reads the second page and takes both.
        ReadLastPage(usize),
        /// Reads the next record of the log.
        ReadRecord(usize),
        /// Reads all new records of the log.
        ReadLog(usize),
        /// Decides what to append, and where.
        Decide(usize),
        /// Appends and gets the answer.
        Append(usize),
        /// Appends and loses the answer.
        AppendAnswerLost(usize),
        /// Sends an append that takes effect at any later time, and gives it up.
        AppendDelayed(usize),
        /// A delayed append arrives at the store.
        DelayedAppendLands(usize),
        /// The store drops all records of the log, but the newest of each key.
        Forget,
    }
}

derive_value! {
    /// What a node does for a caller or for its items.
    pub enum NodeWork {
        /// Accepts a submission.
        Open(&'static str),
        /// Stores results of items, named with their submissions.
        Results(Vec<(&'static str, &'static str)>),
        /// Ends a submission.
        End(&'static str),
    }
}

/// Steps that guard an invariant. A test replaces one of them to show that the search notices.
pub trait SubmissionGuards {
    /// Returns the offset at which an append may be tried.
    fn append_offset(&self, cache: &PartitionCache, submissions: &[&str]) -> Option<u64> {
        cache.append_offset(submissions)
    }

    /// Returns the condition that is sent with an append.
    fn condition(&self, offset: u64) -> Option<u64> {
        Some(offset)
    }

    /// Returns the offset from which the log follows a read of two pages.
    fn read_end(&self, _copy: &PartitionCache, first_page: u64, _last_page: u64) -> u64 {
        first_page
    }
}

/// The steps as the product takes them.
#[derive(Debug, Clone, Copy)]
pub struct ProductGuards;

impl SubmissionGuards for ProductGuards {}

/// Submissions of one partition.
#[derive(Debug, Clone)]
pub struct SubmissionModel<G> {
    /// Sizes of the model.
    pub bounds: SubmissionBounds,
    /// Steps that guard the invariants.
    pub guards: G,
}

/// State of the store, the nodes and appends under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SubmissionsState {
    pub(crate) log: KeyedLog,
    pub(crate) delayed: Vec<DelayedAppend>,
    pub(crate) nodes: Vec<Rc<StoreNode>>,
    pub(crate) faults_left: u8,
}

impl SubmissionsState {
    /// Returns the log of the store.
    #[must_use]
    pub const fn log(&self) -> &KeyedLog {
        &self.log
    }

    /// Tells whether all nodes have done their work.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.nodes.iter().all(|node| node.work.is_empty())
    }
}

impl WorkPlan {
    fn nodes(self) -> [StoreNode; 2] {
        let results = |items: &[(&'static str, &'static str)]| NodeWork::Results(items.to_vec());
        let mut callers = Vec::new();
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
                callers = vec!["a", "b"];
                [vec![NodeWork::Open("a"), results(&[("a", "a0")])], vec![results(&[("a", "a1")])]]
            }
        };
        [StoreNode::new(first, Vec::new()), StoreNode::new(second, callers)]
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
        if self.broken(state).is_some() {
            return steps;
        }
        for index in 0..state.nodes.len() {
            self.node_steps(state, index, &mut steps);
        }
        for index in 0..state.delayed.len() {
            let mut next = state.clone();
            let append = next.delayed.remove(index);
            // Nobody hears whether it took effect.
            let _ = next.log.append(append.condition, &append.records);
            steps.push((SubmissionStep::DelayedAppendLands(index), next));
        }
        if let Some(mut next) = state.fault().filter(|next| next.log.has_history()) {
            next.log.forget();
            steps.push((SubmissionStep::Forget, next));
        }
        steps
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[ACCEPTED_ONCE, ONE_POSITION, ENDED_STAYS, COPY_IS_WHOLE]
    }

    fn broken(&self, state: &SubmissionsState) -> Option<&'static str> {
        let broken = state.log.broken();
        broken.or_else(|| {
            let whole = state.nodes.iter().all(|node| state.log.agrees_with(&node.cache));
            (!whole).then_some(COPY_IS_WHOLE)
        })
    }

    fn describe(&self, state: &SubmissionsState) -> String {
        let nodes: Vec<String> = state.nodes.iter().map(|node| node.describe()).collect();
        let delayed = state.delayed.len();
        format!("log [{}], nodes [{}], {delayed} delayed", state.log.describe(), nodes.join("; "))
    }
}

impl SubmissionsState {
    pub(crate) fn fault(&self) -> Option<Self> {
        let faults_left = self.faults_left.checked_sub(1)?;
        Some(Self { faults_left, ..self.clone() })
    }
}
