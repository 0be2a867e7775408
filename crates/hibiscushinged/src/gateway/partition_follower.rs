//! A node's copy of one partition of submissions.
//!
//! The copy holds the submissions that this node was asked for, and what has been appended since. It
//! never holds the whole partition, which would take a small node seconds to read.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
};

use base::{Moment, Span};
use clients::CallError;
use platform::ReadResponse;
use protocol::{OPEN_SUBMISSIONS_PREFIX, decode_submission_record, submission_prefix};
use submissions::{
    LogBatch, PartitionCache, SubmissionRecord, SubmissionSnapshot, SubmissionTable,
};
use tokio::sync::{Mutex, watch};

use crate::{
    gateway::{
        fetch::{KeyChange, KeySet, PartitionName, fetch_keys, split},
        store::StoreSession,
    },
    telemetry::log_event,
};

/// Longest wait of a read for new records. Each answer confirms that the copy is fresh.
const POLL_WAIT: Span = Span::from_millis(400);

/// Pause after a failed read, or while nothing was asked for yet.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// A copy that nobody asked for in this time is given up.
const IDLE_LIFE: Span = Span::from_secs(20);

/// Copy of one partition, kept up to date by reads of the store.
pub(crate) struct PartitionFollower {
    pub(crate) name: PartitionName,
    cache: RefCell<PartitionCache>,
    /// Whether this node runs the items of the partition.
    owned: Cell<bool>,
    used_at: Cell<Moment>,
    following: Cell<bool>,
    changes: watch::Sender<u64>,
    /// Held by the writer of this node, so that its appends do not defeat each other.
    pub(crate) writing: Mutex<()>,
}

impl PartitionFollower {
    pub(crate) fn new(name: PartitionName) -> Self {
        Self {
            name,
            cache: RefCell::default(),
            owned: Cell::new(false),
            used_at: Cell::new(Moment(0)),
            following: Cell::new(false),
            changes: watch::Sender::new(0),
            writing: Mutex::new(()),
        }
    }

    pub(crate) fn table(&self) -> Ref<'_, SubmissionTable> {
        Ref::map(self.cache.borrow(), PartitionCache::table)
    }

    pub(crate) fn cache(&self) -> Ref<'_, PartitionCache> {
        self.cache.borrow()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Makes sure that the copy holds a submission, if it exists.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    pub(crate) async fn load(
        &self,
        store: &StoreSession,
        submission: &str,
    ) -> Result<(), CallError> {
        while !self.cache.borrow().is_loaded(submission) {
            let read_started_at = store.node.now();
            let prefix = submission_prefix(submission);
            let KeySet { items, end, .. } = fetch_keys(store, &self.name, &prefix).await?;
            let records = items.iter().filter_map(|change| self.decode(change));
            let records = records.map(|(_, record)| record).collect();
            let submission = String::from(submission);
            let read = SubmissionSnapshot { submission, read_started_at, log_end: end, records };
            if self.cache.borrow_mut().apply_snapshot(read) {
                self.tell_change();
            }
        }
        Ok(())
    }

    /// Loads all open submissions, for a node that begins to run them.
    async fn load_open(&self, store: &StoreSession) -> Result<(), CallError> {
        let read_started_at = store.node.now();
        let KeySet { items: markers, end, .. } =
            fetch_keys(store, &self.name, OPEN_SUBMISSIONS_PREFIX).await?;
        self.cache.borrow_mut().follow_from(end, read_started_at);
        let open: Vec<&str> = markers
            .iter()
            .map(|marker| marker.key.trim_start_matches(OPEN_SUBMISSIONS_PREFIX))
            .collect();
        for submission in &open {
            self.load(store, submission).await?;
        }
        // Submissions that were known before may have ended since.
        self.catch_up(store).await?;
        self.cache.borrow_mut().finish_scan(&open, end);
        self.tell_change();
        Ok(())
    }

    pub(crate) fn is_owned(&self) -> bool {
        self.owned.get()
    }

    /// Notes whether this node owns the partition. A new owner looks for open submissions anew.
    pub(crate) fn set_owned(&self, owned: bool) {
        if owned && !self.owned.get() {
            self.cache.borrow_mut().invalidate_scan();
        }
        self.owned.set(owned);
    }

    /// Reads everything that is new, without waiting for more.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    pub(crate) async fn catch_up(&self, store: &StoreSession) -> Result<(), CallError> {
        while !self.poll(store, Span::ZERO).await? {}
        Ok(())
    }

    /// Reads a part of what is new, and tells whether the copy is complete. One answer of the store
    /// holds a bounded number of bytes.
    async fn poll(&self, store: &StoreSession, wait: Span) -> Result<bool, CallError> {
        let Some(from) = self.cache.borrow().next_offset() else { return Ok(true) };
        // The copy is complete as of the moment at which the read was sent.
        let read_started_at = store.node.now();
        match store.read(&self.name.topic, self.name.part, from, wait).await? {
            ReadResponse::Records { records, end } => {
                let next_offset = records.last().map_or(from, |record| record.offset + 1);
                let changes = records.iter().filter_map(|record| split(&self.name, record));
                let records = changes.filter_map(|change| self.decode(&change)).collect();
                let complete = self.cache.borrow_mut().apply_batch(LogBatch {
                    read_started_at,
                    start_offset: from,
                    next_offset,
                    log_end: end,
                    records,
                });
                if next_offset > from {
                    self.tell_change();
                }
                Ok(complete)
            }
            ReadResponse::Trimmed { first } => {
                let (topic, part) = (&self.name.topic, self.name.part);
                log_event!(warn, LogGapFound, topic, part, from, first);
                self.cache.borrow_mut().reset();
                Ok(true)
            }
        }
    }

    /// Takes records that this node has appended itself.
    pub(crate) fn apply_own_append(&self, offset: u64, end: u64, records: Vec<SubmissionRecord>) {
        self.cache.borrow_mut().apply_own_append(offset, end, records);
        self.tell_change();
    }

    fn tell_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Decodes a record. One that cannot be read is logged and skipped.
    fn decode(&self, change: &KeyChange) -> Option<(u64, SubmissionRecord)> {
        match decode_submission_record(&change.key, change.value.as_deref()) {
            Ok(record) => Some((change.offset, record?)),
            Err(error) => {
                let (topic, part) = (&self.name.topic, self.name.part);
                let offset = change.offset;
                log_event!(warn, LogRecordRefused, topic, part, offset, reason = %error);
                None
            }
        }
    }

    /// Marks the copy as needed and follows the partition from now on.
    pub(crate) fn follow(self: &Rc<Self>, store: &Rc<StoreSession>) {
        self.used_at.set(store.node.now());
        if self.following.replace(true) {
            return;
        }
        let (follower, store) = (Rc::clone(self), Rc::clone(store));
        actix_rt::spawn(async move {
            while follower.is_needed(store.node.now()) {
                if follower.step(&store).await.is_err() {
                    // The session has logged the failure.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            follower.cache.borrow_mut().clear();
            follower.following.set(false);
        });
    }

    async fn step(&self, store: &StoreSession) -> Result<(), CallError> {
        let owned = self.owned.get();
        if owned && !self.cache.borrow().is_scanned() {
            return self.load_open(store).await;
        }
        if !owned {
            self.cache.borrow_mut().invalidate_scan();
        }
        if self.cache.borrow().next_offset().is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
            return Ok(());
        }
        self.poll(store, POLL_WAIT).await.map(|_| ())
    }

    fn is_needed(&self, now: Moment) -> bool {
        self.owned.get() || now.since(self.used_at.get()) < IDLE_LIFE
    }
}
