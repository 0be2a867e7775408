//! What a node knows of one partition of submissions.

use std::collections::BTreeSet;

use base::{Moment, Span, derive_value};

use crate::{SubmissionRecord, SubmissionState, SubmissionTable};

derive_value! {
    /// The newest records of the keys of one submission.
    pub struct SubmissionSnapshot {
        /// Identifier of the submission.
        pub submission: String,
        /// When the read began.
        pub read_started_at: Moment,
        /// End of the partition as of the first page. Records from there on may be missing.
        pub log_end: u64,
        /// Records, in any order.
        pub records: Vec<SubmissionRecord>,
    }

    /// Records of the log from an offset on.
    pub struct LogBatch {
        /// When the read began.
        pub read_started_at: Moment,
        /// Offset from which was read.
        pub start_offset: u64,
        /// Offset up to which was read.
        pub next_offset: u64,
        /// End of the partition. One answer holds a bounded number of bytes, so it may lie further.
        pub log_end: u64,
        /// Records with their offsets.
        pub records: Vec<(u64, SubmissionRecord)>,
    }
}

/// A node's copy of one partition.
///
/// It holds the submissions that the node was asked for, and what has been appended since. Up to the
/// offset [`PartitionCache::next_offset`] it misses nothing of the loaded submissions, so an append at this
/// offset is decided with full knowledge of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionCache {
    table: SubmissionTable,
    next: Option<u64>,
    /// Offset from which on every record was taken.
    begun: u64,
    loaded: BTreeSet<String>,
    scanned: bool,
    confirmed_at: Option<Moment>,
}

impl PartitionCache {
    /// Returns the submissions.
    #[must_use]
    pub const fn table(&self) -> &SubmissionTable {
        &self.table
    }

    /// Offset up to which the log is known, once anything was read.
    #[must_use]
    pub const fn next_offset(&self) -> Option<u64> {
        self.next
    }

    /// Time since the copy was last known to be complete.
    #[must_use]
    pub fn staleness(&self, now: Moment) -> Option<Span> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Tells whether the copy misses nothing of a submission up to `next`.
    #[must_use]
    pub fn is_loaded(&self, submission: &str) -> bool {
        self.loaded.contains(submission)
    }

    /// Returns the offset at which an append that concerns these submissions may be tried: all of
    /// them must be loaded.
    #[must_use]
    pub fn append_offset(&self, submissions: &[&str]) -> Option<u64> {
        self.next.filter(|_| submissions.iter().all(|submission| self.is_loaded(submission)))
    }

    /// What follows `end` is read from the log, unless an earlier offset is known.
    pub fn follow_from(&mut self, end: u64, read_started_at: Moment) {
        if self.next.is_none() {
            self.next = Some(end);
            self.begun = end;
            self.confirmed_at = Some(read_started_at);
        }
    }

    /// Takes the records of a submission. Returns `false` when they must be read again: the copy began
    /// at a later offset while they were read, and what lies between is in neither of the two.
    pub fn apply_snapshot(&mut self, read: SubmissionSnapshot) -> bool {
        if self.next.is_some() && read.log_end < self.begun {
            return false;
        }
        self.follow_from(read.log_end, read.read_started_at);
        self.loaded.insert(read.submission);
        for record in read.records {
            self.take(record);
        }
        true
    }

    /// Takes a part of the log, and tells whether the copy was complete when the read began.
    pub fn apply_batch(&mut self, batch: LogBatch) -> bool {
        let Some(known) = self.next.filter(|known| batch.start_offset <= *known) else {
            return true;
        };
        for (offset, record) in batch.records {
            if offset >= known {
                self.take(record);
            }
        }
        self.next = Some(known.max(batch.next_offset));
        if batch.next_offset < batch.log_end {
            return false;
        }
        let at =
            self.confirmed_at.map_or(batch.read_started_at, |at| at.max(batch.read_started_at));
        self.confirmed_at = Some(at);
        true
    }

    /// Takes records that this node has appended itself.
    pub fn apply_own_append(&mut self, offset: u64, end: u64, records: Vec<SubmissionRecord>) {
        if self.next != Some(offset) {
            return;
        }
        self.next = Some(end);
        for record in records {
            self.take(record);
        }
    }

    /// Begins anew, when the log has dropped records that were not read: what is known stays true, but
    /// newer records may be missing.
    pub fn reset(&mut self) {
        self.next = None;
        self.loaded.clear();
        self.scanned = false;
        self.confirmed_at = None;
    }

    /// Forgets everything, when the partition is no longer needed.
    pub fn clear(&mut self) {
        self.reset();
        self.table = SubmissionTable::default();
    }

    /// Tells whether this node knows all open submissions and the ends of the others, so that it may run
    /// items.
    #[must_use]
    pub const fn is_scanned(&self) -> bool {
        self.scanned
    }

    /// Has all open submissions looked for anew.
    pub const fn invalidate_scan(&mut self) {
        self.scanned = false;
    }

    /// Notes that `open` were all open submissions at the offset `end`. They must be looked for anew when
    /// the copy has begun anew meanwhile, so that it misses some of them or what came after `end`.
    pub fn finish_scan(&mut self, open: &[&str], end: u64) {
        self.scanned = self.begun <= end && self.append_offset(open).is_some();
    }

    /// Iterates over the submissions whose items this node may run. What the copy knew before it began
    /// anew is left out, since it may have ended.
    pub fn open_submissions(&self) -> impl Iterator<Item = &SubmissionState> {
        let open = self.table.iter().filter(|state| state.is_open());
        open.filter(|state| self.scanned && self.is_loaded(&state.metadata().id))
    }

    fn take(&mut self, record: SubmissionRecord) {
        match &record {
            // Everything about it comes later in the log.
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
