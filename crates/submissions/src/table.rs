//! State of the submissions of one partition, materialized from its records.

use std::{collections::HashMap, sync::Arc};

use base::{WallTime, derive_value};

use crate::{ItemFailures, ItemHandover, ItemResult, SubmissionItem, SubmissionMetadata};

derive_value! {
    /// A record of a partition of submissions.
    pub enum SubmissionRecord {
        /// A submission was accepted. Its items are part of the same append.
        Opened(SubmissionMetadata),
        /// Consecutive items of a submission, starting at an index.
        Items {
            /// Identifier of the submission.
            submission: String,
            /// Index of the first item.
            first: u32,
            /// The items, in the order in which they were submitted.
            items: Vec<SubmissionItem>,
        },
        /// The result of one item, at its position among the results of a submission.
        Result {
            /// Identifier of the submission.
            submission: String,
            /// Position, counted from 0.
            position: u32,
            /// Result of the item.
            result: ItemResult,
        },
        /// An item passes to the next owner of the partition.
        HandedOver {
            /// Identifier of the submission.
            submission: String,
            /// State of the item.
            handover: ItemHandover,
        },
        /// Runs or reward calls of an item have failed.
        Failed {
            /// Identifier of the submission.
            submission: String,
            /// Index of the item.
            index: u32,
            /// All failures of the item so far.
            failures: ItemFailures,
        },
        /// The submission was ended by its sender. Its remaining items do not run.
        Ended {
            /// Identifier of the submission.
            submission: String,
        },
        /// Sets the open marker, by which nodes find submissions with items left to run.
        OpenMarkerSet {
            /// Identifier of the submission.
            submission: String,
        },
        /// The submission has ended and will be deleted after the time for which its results are
        /// kept.
        Expiring {
            /// Identifier of the submission.
            submission: String,
            /// When it was accepted.
            accepted_at: WallTime,
        },
        /// The submission and its results were deleted.
        Deleted {
            /// Identifier of the submission.
            submission: String,
        },
        /// Removes the open marker.
        OpenMarkerCleared {
            /// Identifier of the submission.
            submission: String,
        },
    }
}

/// State of one submission.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SubmissionState {
    metadata: Option<Arc<SubmissionMetadata>>,
    items: Vec<Option<Arc<SubmissionItem>>>,
    /// Index of each item by its identifier.
    index: HashMap<String, u32>,
    results: Vec<Option<Arc<ItemResult>>>,
    /// Number of results before the first missing position.
    result_count: u32,
    /// Position of the result of each item that has one.
    resolved: HashMap<String, u32>,
    /// Newest hand-over of each item without a result.
    handovers: HashMap<String, ItemHandover>,
    /// Failures of the items that have any, by index.
    failures: HashMap<u32, ItemFailures>,
    ended: bool,
}

/// Submissions of one partition.
///
/// Applying a record is idempotent, and records of one submission may be applied in any order: for
/// each kind and position, the first one applied wins, of the hand-overs of an item the one with the
/// highest revision, and of its failures the highest counts. Repeats and reordering occur when a node
/// reads the newest records of all keys and then follows the partition from an earlier offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SubmissionTable {
    submissions: HashMap<String, SubmissionState>,
}

impl SubmissionTable {
    /// Applies a record. Returns the identifier of the submission if its state may have changed.
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
            SubmissionRecord::HandedOver { submission, handover } => {
                let state = self.submissions.entry(submission.clone()).or_default();
                state.add_handover(handover).then_some(submission)
            }
            SubmissionRecord::Failed { submission, index, failures } => {
                let state = self.submissions.entry(submission.clone()).or_default();
                state.failures.entry(index).or_default().merge(failures).then_some(submission)
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
        self.handovers.remove(&result.item);
        self.resolved.insert(result.item.clone(), position);
        self.results[at] = Some(Arc::new(result));
        while self.results.get(self.result_count as usize).is_some_and(Option::is_some) {
            self.result_count += 1;
        }
        true
    }

    fn add_handover(&mut self, handover: ItemHandover) -> bool {
        let stored = self.handovers.get(&handover.item);
        let is_outdated = stored.is_some_and(|stored| !handover.supersedes(stored));
        if is_outdated || self.is_resolved(&handover.item) {
            return false;
        }
        self.handovers.insert(handover.item.clone(), handover);
        true
    }

    /// Returns whether the metadata and all items are known.
    fn is_complete(&self) -> bool {
        self.metadata.is_some() && self.items.iter().all(Option::is_some)
    }

    /// Returns the metadata.
    ///
    /// # Panics
    ///
    /// Panics when the submission is incomplete. [`SubmissionTable::get`] and
    /// [`SubmissionTable::iter`] return only complete ones.
    #[must_use]
    pub fn metadata(&self) -> &Arc<SubmissionMetadata> {
        self.metadata.as_ref().expect(
            "submission without metadata: SubmissionTable must return only complete submissions",
        )
    }

    /// Iterates over the items in the order in which they were submitted.
    pub fn items(&self) -> impl Iterator<Item = &Arc<SubmissionItem>> {
        self.items.iter().flatten()
    }

    /// Finds an item by its identifier.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<&Arc<SubmissionItem>> {
        self.items.get(*self.index.get(id)? as usize)?.as_ref()
    }

    /// Returns whether an item has its final result.
    #[must_use]
    pub fn is_resolved(&self, item: &str) -> bool {
        self.resolved.contains_key(item)
    }

    /// Returns the newest hand-over of an item without a result, if there is one.
    #[must_use]
    pub fn handover(&self, item: &str) -> Option<&ItemHandover> {
        self.handovers.get(item)
    }

    /// Iterates over the newest hand-over of each item that has one and has no result.
    pub fn handovers(&self) -> impl Iterator<Item = &ItemHandover> {
        self.handovers.values()
    }

    /// Returns the index of an item by its identifier.
    #[must_use]
    pub fn item_index(&self, id: &str) -> Option<u32> {
        self.index.get(id).copied()
    }

    /// Returns the failures of an item that are on record.
    #[must_use]
    pub fn failures(&self, item: &str) -> ItemFailures {
        let index = self.index.get(item);
        index.and_then(|index| self.failures.get(index)).copied().unwrap_or_default()
    }

    /// Returns the number of results before the first missing one, which is the next free position.
    #[must_use]
    pub const fn result_count(&self) -> u32 {
        self.result_count
    }

    /// Iterates over the results from a position on, up to the first missing one.
    pub fn results(&self, from: u32) -> impl Iterator<Item = &Arc<ItemResult>> {
        let result_count = self.result_count as usize;
        let from = (from as usize).min(result_count);
        self.results[from..result_count].iter().flatten()
    }

    /// Returns whether the sender has ended the submission.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether items are left to run: the submission has not ended, and some item has no
    /// result.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.ended && self.resolved.len() < self.items.len()
    }
}
