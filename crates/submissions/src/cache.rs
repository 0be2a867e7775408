//! The part of a partition of submissions that a node holds.

use std::collections::BTreeSet;

use base::{Moment, Span, derive_value};

use crate::{SubmissionRecord, SubmissionState, SubmissionTable};

derive_value! {
    /// The newest records of all keys of one submission, as read from the store.
    pub struct SubmissionSnapshot {
        /// Identifier of the submission.
        pub submission: String,
        /// When the read began.
        pub read_started_at: Moment,
        /// End offset of the partition when the first page was read. Records from there on may be
        /// missing.
        pub log_end: u64,
        /// Records of the submission, in any order.
        pub records: Vec<SubmissionRecord>,
    }

    /// Consecutive records of a partition from an offset on.
    pub struct LogBatch {
        /// When the read began.
        pub read_started_at: Moment,
        /// Offset at which the read began.
        pub start_offset: u64,
        /// Offset after the last record that was read.
        pub next_offset: u64,
        /// End offset of the partition. It may be greater than `next_offset`, since the size of one
        /// response is bounded.
        pub log_end: u64,
        /// Records with their offsets.
        pub records: Vec<(u64, SubmissionRecord)>,
    }
}

/// A node's cache of one partition.
///
/// It holds the submissions that were loaded on demand, and all records that were appended since.
/// It has all records of the loaded submissions below [`PartitionCache::next_offset`], so an append
/// at this offset that concerns only them is decided on their complete state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionCache {
    table: SubmissionTable,
    /// Offset of the next record to read, or `None` before anything was read.
    next_offset: Option<u64>,
    /// Offset from which on every record was applied.
    followed_from: u64,
    /// Submissions of which all records below `next_offset` were applied.
    loaded: BTreeSet<String>,
    /// Whether all open submissions are loaded.
    scanned: bool,
    /// Start of the last read after which the cache was complete.
    complete_at: Option<Moment>,
}

impl PartitionCache {
    /// Returns the submissions of which the cache has records.
    #[must_use]
    pub const fn table(&self) -> &SubmissionTable {
        &self.table
    }

    /// Returns the offset up to which the partition was read, or `None` before anything was read.
    #[must_use]
    pub const fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Returns the time since the cache was last known to be complete, or `None` if it never was.
    #[must_use]
    pub fn staleness(&self, now: Moment) -> Option<Span> {
        self.complete_at.map(|at| now.since(at))
    }

    /// Returns whether the cache has all records of a submission below
    /// [`PartitionCache::next_offset`].
    #[must_use]
    pub fn is_loaded(&self, submission: &str) -> bool {
        self.loaded.contains(submission)
    }

    /// Returns the offset at which an append that concerns these submissions may be tried, or
    /// `None` unless all of them are loaded.
    #[must_use]
    pub fn append_offset(&self, submissions: &[&str]) -> Option<u64> {
        self.next_offset.filter(|_| submissions.iter().all(|submission| self.is_loaded(submission)))
    }

    /// Starts to follow the partition at the offset `end`, unless the cache follows it already.
    pub fn follow_from(&mut self, end: u64, read_started_at: Moment) {
        if self.next_offset.is_none() {
            self.next_offset = Some(end);
            self.followed_from = end;
            self.complete_at = Some(read_started_at);
        }
    }

    /// Applies the records of a submission. Returns `false` when they must be read again: the cache
    /// has meanwhile started to follow the partition at a later offset, and records between the two
    /// offsets are in neither the snapshot nor the cache.
    pub fn apply_snapshot(&mut self, read: SubmissionSnapshot) -> bool {
        if self.next_offset.is_some() && read.log_end < self.followed_from {
            return false;
        }
        self.follow_from(read.log_end, read.read_started_at);
        self.loaded.insert(read.submission);
        for record in read.records {
            self.apply(record);
        }
        true
    }

    /// Applies consecutive records of the partition. Returns `false` when the batch does not reach
    /// the end of the partition, so that the next one must be read. A batch that begins after the
    /// next offset of the cache is ignored, with the result `true`.
    pub fn apply_batch(&mut self, batch: LogBatch) -> bool {
        let Some(next_offset) =
            self.next_offset.filter(|next_offset| batch.start_offset <= *next_offset)
        else {
            return true;
        };
        for (offset, record) in batch.records {
            if offset >= next_offset {
                self.apply(record);
            }
        }
        self.next_offset = Some(next_offset.max(batch.next_offset));
        if batch.next_offset < batch.log_end {
            return false;
        }
        let at = self.complete_at.map_or(batch.read_started_at, |at| at.max(batch.read_started_at));
        self.complete_at = Some(at);
        true
    }

    /// Applies records that this node has appended from `offset` to `end`. They are ignored when
    /// the cache is not at `offset`; it then reads them from the partition.
    pub fn apply_own_append(&mut self, offset: u64, end: u64, records: Vec<SubmissionRecord>) {
        if self.next_offset != Some(offset) {
            return;
        }
        self.next_offset = Some(end);
        for record in records {
            self.apply(record);
        }
    }

    /// Stops following the partition, when the store has dropped records that were not read. The
    /// table is kept, since its records stay valid, but newer ones may be missing.
    pub fn reset(&mut self) {
        self.next_offset = None;
        self.loaded.clear();
        self.scanned = false;
        self.complete_at = None;
    }

    /// Drops all state, when the partition is no longer needed.
    pub fn clear(&mut self) {
        self.reset();
        self.table = SubmissionTable::default();
    }

    /// Returns whether all open submissions are loaded and the ends of the others are known, so
    /// that this node may run items.
    #[must_use]
    pub const fn is_scanned(&self) -> bool {
        self.scanned
    }

    /// Requires a new scan for open submissions before items may be run.
    pub const fn invalidate_scan(&mut self) {
        self.scanned = false;
    }

    /// Records the result of a scan: `open` were all open submissions at the offset `end`. The scan
    /// does not count, and must be repeated, unless the cache has loaded all of them and has every
    /// record from `end` on, which a [`PartitionCache::reset`] during the scan can prevent.
    pub fn finish_scan(&mut self, open: &[&str], end: u64) {
        self.scanned = self.followed_from <= end && self.append_offset(open).is_some();
    }

    /// Iterates over the submissions whose items this node may run. Submissions known only from
    /// before a [`PartitionCache::reset`] are left out, since they may have ended meanwhile.
    pub fn open_submissions(&self) -> impl Iterator<Item = &SubmissionState> {
        let open = self.table.iter().filter(|state| state.is_open());
        open.filter(|state| self.scanned && self.is_loaded(&state.metadata().id))
    }

    fn apply(&mut self, record: SubmissionRecord) {
        match &record {
            // All other records of the submission come after this one in the partition.
            SubmissionRecord::Opened(metadata) => {
                self.loaded.insert(metadata.id.clone());
            }
            SubmissionRecord::Deleted { submission } => {
                self.loaded.remove(submission);
            }
            _ => {}
        }
        self.table.apply(record);
    }
}
