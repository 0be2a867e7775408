//! Submissions of one partition as a function of its records.

use std::{collections::HashMap, sync::Arc};

use base::{WallTime, derive_value};

use crate::{ItemResult, SubmissionItem, SubmissionMetadata};

derive_value! {
    /// A record of a partition.
    pub enum SubmissionRecord {
        /// A submission was accepted. Its items follow in the same append.
        Opened(SubmissionMetadata),
        /// Some items of a submission, starting at an index.
        Items {
            /// Identifier of the submission.
            submission: String,
            /// Index of the first item.
            first: u32,
            /// Items.
            items: Vec<SubmissionItem>,
        },
        /// The result at one position of a submission.
        Result {
            /// Identifier of the submission.
            submission: String,
            /// Position, counted from 0.
            position: u32,
            /// Result.
            result: ItemResult,
        },
        /// The submission was ended by its sender.
        Ended {
            /// Identifier of the submission.
            submission: String,
        },
        /// The submission is open, for nodes that look for work.
        OpenMarkerSet {
            /// Identifier of the submission.
            submission: String,
        },
        /// The submission has ended and can be deleted once its time for reading has passed.
        Expiring {
            /// Identifier of the submission.
            submission: String,
            /// When it was accepted.
            accepted_at: WallTime,
        },
        /// The submission was deleted.
        Deleted {
            /// Identifier of the submission.
            submission: String,
        },
        /// The submission is no longer open.
        OpenMarkerCleared {
            /// Identifier of the submission.
            submission: String,
        },
    }
}

/// One submission.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SubmissionState {
    metadata: Option<Arc<SubmissionMetadata>>,
    items: Vec<Option<Arc<SubmissionItem>>>,
    index: HashMap<String, u32>,
    results: Vec<Option<Arc<ItemResult>>>,
    /// Length of the results without a gap.
    result_count: u32,
    resolved: HashMap<String, u32>,
    ended: bool,
}

/// Submissions of one partition.
///
/// Records may be applied more than once and, within a submission, in any order: the first record of
/// a kind and position wins. Both happen when a node reads the newest records of all keys and then
/// follows the partition from an earlier offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SubmissionTable {
    submissions: HashMap<String, SubmissionState>,
}

impl SubmissionTable {
    /// Takes a record and returns the submission that it changed.
    pub fn apply(&mut self, record: SubmissionRecord) -> Option<String> {
        match record {
            SubmissionRecord::Opened(metadata) => {
                let id = metadata.id.clone();
                let state = self.submissions.entry(id.clone()).or_default();
                if state.metadata.is_some() {
                    return None;
                }
                state.items.resize(metadata.item_count as usize, None);
                state.metadata = Some(Arc::new(metadata));
                Some(id)
            }
            SubmissionRecord::Items { submission, first, items } => {
                let state = self.submissions.entry(submission.clone()).or_default();
                for (index, item) in (first..).zip(items) {
                    state.add_item(index, item);
                }
                Some(submission)
            }
            SubmissionRecord::Result { submission, position, result } => {
                let state = self.submissions.entry(submission.clone()).or_default();
                state.add_result(position, result).then_some(submission)
            }
            SubmissionRecord::Ended { submission } => {
                let state = self.submissions.entry(submission.clone()).or_default();
                if std::mem::replace(&mut state.ended, true) {
                    return None;
                }
                Some(submission)
            }
            SubmissionRecord::Deleted { submission } => {
                self.submissions.remove(&submission).map(|_| submission)
            }
            SubmissionRecord::OpenMarkerSet { .. }
            | SubmissionRecord::OpenMarkerCleared { .. }
            | SubmissionRecord::Expiring { .. } => None,
        }
    }

    /// Returns a submission whose records are complete.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&SubmissionState> {
        self.submissions.get(id).filter(|state| state.is_complete())
    }

    /// Iterates over the submissions whose records are complete.
    pub fn iter(&self) -> impl Iterator<Item = &SubmissionState> {
        self.submissions.values().filter(|state| state.is_complete())
    }
}

impl SubmissionState {
    fn add_item(&mut self, index: u32, item: SubmissionItem) {
        let at = index as usize;
        if self.items.len() <= at {
            self.items.resize(at + 1, None);
        }
        if self.items[at].is_none() {
            self.index.insert(item.id.clone(), index);
            self.items[at] = Some(Arc::new(item));
        }
    }

    fn add_result(&mut self, position: u32, result: ItemResult) -> bool {
        let at = position as usize;
        if self.results.len() <= at {
            self.results.resize(at + 1, None);
        }
        if self.results[at].is_some() {
            return false;
        }
        self.resolved.insert(result.item.clone(), position);
        self.results[at] = Some(Arc::new(result));
        while self.results.get(self.result_count as usize).is_some_and(Option::is_some) {
            self.result_count += 1;
        }
        true
    }

    fn is_complete(&self) -> bool {
        self.metadata.is_some() && self.items.iter().all(Option::is_some)
    }

    /// Returns what holds for all items.
    ///
    /// # Panics
    ///
    /// Panics when the submission is not complete, which [`SubmissionTable::get`] rules out.
    #[must_use]
    pub fn metadata(&self) -> &Arc<SubmissionMetadata> {
        self.metadata.as_ref().expect("only complete submissions are handed out")
    }

    /// Iterates over the items in the order in which they were submitted.
    pub fn items(&self) -> impl Iterator<Item = &Arc<SubmissionItem>> {
        self.items.iter().flatten()
    }

    /// Finds an item.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<&Arc<SubmissionItem>> {
        self.items.get(*self.index.get(id)? as usize)?.as_ref()
    }

    /// Tells whether an item has its final result.
    #[must_use]
    pub fn is_resolved(&self, item: &str) -> bool {
        self.resolved.contains_key(item)
    }

    /// Number of results, which is the next free position.
    #[must_use]
    pub const fn result_count(&self) -> u32 {
        self.result_count
    }

    /// Iterates over the results from a position on.
    pub fn results(&self, from: u32) -> impl Iterator<Item = &Arc<ItemResult>> {
        let listed = self.result_count as usize;
        let from = (from as usize).min(listed);
        self.results[from..listed].iter().flatten()
    }

    /// Tells whether the sender has ended the submission.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }

    /// Tells whether items are left to run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.ended && self.resolved.len() < self.items.len()
    }
}
