//! A node's cache of one partition of submissions.
//!
//! The cache holds the submissions that this node was asked for, and what has been appended since.
//! It never holds the whole partition, which a small node would need seconds to read.

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
        fetch::{KeyChange, KeySet, PartitionName, decode_change, fetch_keys},
        store::StoreSession,
    },
    telemetry::log_event,
};

/// Longest time that a read waits for new records at the store. Each response confirms that the
/// cache is up to date.
const POLL_WAIT: Span = Span::from_millis(400);

/// Delay after a failed read, or while no submission has been requested yet.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// A cache of a partition that this node does not own is dropped after this time without a request.
const IDLE_TIMEOUT: Span = Span::from_secs(20);

/// Cache of one partition, kept up to date by reads of the store.
pub(crate) struct PartitionFollower {
    pub(crate) name: PartitionName,
    cache: RefCell<PartitionCache>,
    /// Whether this node runs the items of the partition.
    owned: Cell<bool>,
    last_used_at: Cell<Moment>,
    following: Cell<bool>,
    changes: watch::Sender<u64>,
    /// Held during an append, so that concurrent appends of this node do not conflict.
    pub(crate) append_lock: Mutex<()>,
}

impl PartitionFollower {
    pub(crate) fn new(name: PartitionName) -> Self {
        Self {
            name,
            cache: RefCell::default(),
            owned: Cell::new(false),
            last_used_at: Cell::new(Moment(0)),
            following: Cell::new(false),
            changes: watch::Sender::new(0),
            append_lock: Mutex::new(()),
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

    /// Loads a submission into the cache, if it exists and is not loaded yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not respond.
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
                self.notify_change();
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
            .filter_map(|marker| marker.key.strip_prefix(OPEN_SUBMISSIONS_PREFIX))
            .collect();
        for submission in &open {
            self.load(store, submission).await?;
        }
        // Submissions that were loaded before may have ended since.
        self.catch_up(store).await?;
        self.cache.borrow_mut().finish_scan(&open, end);
        self.notify_change();
        Ok(())
    }

    pub(crate) fn is_owned(&self) -> bool {
        self.owned.get()
    }

    /// Sets whether this node owns the partition. A new owner scans for open submissions again.
    pub(crate) fn set_owned(&self, owned: bool) {
        if owned && !self.owned.get() {
            self.cache.borrow_mut().invalidate_scan();
        }
        self.owned.set(owned);
    }

    /// Reads all new records, without waiting for more.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not respond.
    pub(crate) async fn catch_up(&self, store: &StoreSession) -> Result<(), CallError> {
        while !self.poll(store, Span::ZERO).await? {}
        Ok(())
    }

    /// Reads a batch of new records, and returns whether the cache is complete. A response of the
    /// store holds a bounded number of bytes.
    async fn poll(&self, store: &StoreSession, wait: Span) -> Result<bool, CallError> {
        let Some(from) = self.cache.borrow().next_offset() else { return Ok(true) };
        // The cache is confirmed as of the moment at which the read was sent.
        let read_started_at = store.node.now();
        match store.read(&self.name.topic, self.name.partition, from, wait).await? {
            ReadResponse::Records { records, end } => {
                let next_offset = records.last().map_or(from, |record| record.offset + 1);
                let changes = records.iter().filter_map(|record| decode_change(&self.name, record));
                let records = changes.filter_map(|change| self.decode(&change)).collect();
                let complete = self.cache.borrow_mut().apply_batch(LogBatch {
                    read_started_at,
                    start_offset: from,
                    next_offset,
                    log_end: end,
                    records,
                });
                if next_offset > from {
                    self.notify_change();
                }
                Ok(complete)
            }
            ReadResponse::Trimmed { first } => {
                let (topic, partition) = (&self.name.topic, self.name.partition);
                log_event!(warn, LogGapFound, topic, part = partition, from, first);
                self.cache.borrow_mut().reset();
                Ok(true)
            }
        }
    }

    /// Applies records that this node has appended itself.
    pub(crate) fn apply_own_append(&self, offset: u64, end: u64, records: Vec<SubmissionRecord>) {
        self.cache.borrow_mut().apply_own_append(offset, end, records);
        self.notify_change();
    }

    fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Decodes a record. An invalid one is logged and skipped.
    fn decode(&self, change: &KeyChange) -> Option<(u64, SubmissionRecord)> {
        match decode_submission_record(&change.key, change.value.as_deref()) {
            Ok(record) => Some((change.offset, record?)),
            Err(error) => {
                let (topic, partition) = (&self.name.topic, self.name.partition);
                let offset = change.offset;
                log_event!(
                    warn,
                    LogRecordRefused,
                    topic,
                    part = partition,
                    offset,
                    reason = %error
                );
                None
            }
        }
    }

    /// Marks the cache as used, and starts the task that keeps it up to date unless it runs
    /// already. The task ends once the cache is no longer needed.
    pub(crate) fn follow(self: &Rc<Self>, store: &Rc<StoreSession>) {
        self.last_used_at.set(store.node.now());
        if self.following.replace(true) {
            return;
        }
        let (follower, store) = (Rc::clone(self), Rc::clone(store));
        actix_rt::spawn(async move {
            while follower.is_needed(store.node.now()) {
                if follower.follow_step(&store).await.is_err() {
                    // The store session has logged the failure.
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            follower.cache.borrow_mut().clear();
            follower.following.set(false);
        });
    }

    async fn follow_step(&self, store: &StoreSession) -> Result<(), CallError> {
        let owned = self.owned.get();
        if owned && !self.cache.borrow().is_scanned() {
            return self.load_open(store).await;
        }
        if !owned {
            self.cache.borrow_mut().invalidate_scan();
        }
        if self.cache.borrow().next_offset().is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
            return Ok(());
        }
        self.poll(store, POLL_WAIT).await.map(|_| ())
    }

    fn is_needed(&self, now: Moment) -> bool {
        self.owned.get() || now.since(self.last_used_at.get()) < IDLE_TIMEOUT
    }
}
