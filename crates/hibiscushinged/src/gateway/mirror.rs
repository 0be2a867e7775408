//! A node's copy of one partition of submissions.
//!
//! The copy holds the submissions that this node was asked for, and what has been appended since. It
//! never holds the whole partition, which would take a small node seconds to read.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, Ref, RefCell},
    collections::HashSet,
    rc::Rc,
};

use base::{Moment, Span};
use clients::CallError;
use platform::ReadAnswer;
use protocol::{OPEN_PREFIX, decode_book_record, submission_prefix};
use submissions::{BookRecord, SubmissionBook};
use tokio::sync::{Mutex, watch};

use crate::{
    gateway::{
        board::TrafficState,
        fetch::{KeyChange, PartitionName, fetch_prefix, split},
    },
    telemetry::log_event,
};

/// Longest wait of a read for new records. Each answer confirms that the copy is fresh.
const POLL_WAIT: Span = Span::from_millis(400);

/// Pause after a failed read, or while nothing was asked for yet.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// A copy that nobody asked for in this time is given up.
const IDLE_LIFE: Span = Span::from_secs(20);

/// Copy of one partition.
pub(crate) struct PartitionMirror {
    pub(crate) name: PartitionName,
    book: RefCell<SubmissionBook>,
    /// Offset up to which appended records are known, once anything was read.
    next: Cell<Option<u64>>,
    /// Submissions of which the copy misses nothing up to `next`.
    loaded: RefCell<HashSet<String>>,
    /// Counts how often the copy had to begin anew.
    resets: Cell<u64>,
    /// Whether all open submissions were looked for.
    scanned: Cell<bool>,
    confirmed_at: Cell<Option<Moment>>,
    used_at: Cell<Moment>,
    following: Cell<bool>,
    changes: watch::Sender<u64>,
    /// Held by the writer of this node, so that its appends do not defeat each other.
    pub(crate) writing: Mutex<()>,
}

impl PartitionMirror {
    pub(crate) fn new(name: PartitionName) -> Self {
        Self {
            name,
            book: RefCell::default(),
            next: Cell::new(None),
            loaded: RefCell::default(),
            resets: Cell::new(0),
            scanned: Cell::new(false),
            confirmed_at: Cell::new(None),
            used_at: Cell::new(Moment(0)),
            following: Cell::new(false),
            changes: watch::Sender::new(0),
            writing: Mutex::new(()),
        }
    }

    pub(crate) fn book(&self) -> Ref<'_, SubmissionBook> {
        self.book.borrow()
    }

    /// Offset up to which the partition is known.
    pub(crate) fn next(&self) -> Option<u64> {
        self.next.get()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Time since the copy was last known to be complete.
    pub(crate) fn age(&self, now: Moment) -> Option<Span> {
        self.confirmed_at.get().map(|at| now.since(at))
    }

    pub(crate) fn is_loaded(&self, submission: &str) -> bool {
        self.loaded.borrow().contains(submission)
    }

    /// Makes sure that the copy holds a submission, if it exists.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    pub(crate) async fn load(
        &self,
        traffic: &TrafficState,
        submission: &str,
    ) -> Result<(), CallError> {
        while !self.is_loaded(submission) {
            let (resets, sent_at) = (self.resets.get(), traffic.node.now());
            let prefix = submission_prefix(submission);
            let (changes, end) = fetch_prefix(&traffic.store, &self.name, &prefix).await?;
            if self.resets.get() != resets {
                continue;
            }
            self.begin_at(end, sent_at);
            self.loaded.borrow_mut().insert(String::from(submission));
            self.apply(changes);
        }
        Ok(())
    }

    /// Loads all open submissions, for a node that begins to run them.
    async fn load_open(&self, traffic: &TrafficState) -> Result<(), CallError> {
        let sent_at = traffic.node.now();
        let (markers, end) = fetch_prefix(&traffic.store, &self.name, OPEN_PREFIX).await?;
        self.begin_at(end, sent_at);
        for marker in markers {
            let submission = marker.key.trim_start_matches(OPEN_PREFIX);
            self.load(traffic, submission).await?;
        }
        // Submissions that were known before may have ended since.
        self.catch_up(traffic).await?;
        self.scanned.set(true);
        self.changes.send_modify(|count| *count += 1);
        Ok(())
    }

    /// Looks for open submissions anew, when this node becomes the owner.
    pub(crate) fn begin_ownership(&self) {
        self.scanned.set(false);
    }

    /// Tells whether this node knows all open submissions and the ends of the others, so that it may run
    /// items.
    pub(crate) fn is_scanned(&self) -> bool {
        self.scanned.get()
    }

    /// What follows `end` is read from the log, unless an earlier offset is known.
    fn begin_at(&self, end: u64, sent_at: Moment) {
        if self.next.get().is_none() {
            self.next.set(Some(end));
            self.confirmed_at.set(Some(sent_at));
        }
    }

    /// Reads everything that is new, without waiting for more.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    pub(crate) async fn catch_up(&self, traffic: &TrafficState) -> Result<(), CallError> {
        while !self.poll(traffic, Span::ZERO).await? {}
        Ok(())
    }

    /// Reads a part of what is new, and tells whether the copy is complete. One answer of the store
    /// holds a bounded number of bytes.
    async fn poll(&self, traffic: &TrafficState, wait: Span) -> Result<bool, CallError> {
        let Some(from) = self.next.get() else { return Ok(true) };
        // The copy is complete as of the moment at which the read was sent.
        let sent_at = traffic.node.now();
        match traffic.store.read(&self.name.topic, self.name.part, from, wait).await? {
            ReadAnswer::Records { records, end } => {
                let read_to = records.last().map_or(from, |record| record.offset + 1);
                let Some(known) = self.next.get() else { return Ok(true) };
                let changes = records.iter().filter(|record| record.offset >= known);
                let changes = changes.filter_map(|record| split(&self.name, record)).collect();
                self.next.set(Some(known.max(read_to)));
                self.apply(changes);
                if read_to < end {
                    return Ok(false);
                }
                let at = self.confirmed_at.get().map_or(sent_at, |at| at.max(sent_at));
                self.confirmed_at.set(Some(at));
                Ok(true)
            }
            ReadAnswer::Trimmed { first } => {
                let (topic, part) = (&self.name.topic, self.name.part);
                log_event!(warn, LogGapFound, topic, part, from, first);
                self.reset();
                Ok(true)
            }
        }
    }

    /// Begins anew: what is known stays true, but newer records may be missing.
    fn reset(&self) {
        self.next.set(None);
        self.loaded.borrow_mut().clear();
        self.scanned.set(false);
        self.confirmed_at.set(None);
        self.resets.set(self.resets.get() + 1);
    }

    /// Takes records that this node has appended itself.
    pub(crate) fn appended(&self, offset: u64, end: u64, records: Vec<BookRecord>) {
        if self.next.get() != Some(offset) {
            return;
        }
        self.next.set(Some(end));
        for record in records {
            self.apply_record(record);
        }
        self.changes.send_modify(|count| *count += 1);
    }

    fn apply(&self, changes: Vec<KeyChange>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match decode_book_record(&change.key, change.value.as_deref()) {
                Ok(Some(record)) => self.apply_record(record),
                Ok(None) => {}
                Err(error) => {
                    let topic = &self.name.topic;
                    let (part, offset) = (self.name.part, change.offset);
                    log_event!(warn, LogRecordRefused, topic, part, offset, reason = %error);
                }
            }
        }
        self.changes.send_modify(|count| *count += 1);
    }

    fn apply_record(&self, record: BookRecord) {
        if let BookRecord::Opened(head) = &record {
            // Everything about it comes later in the log.
            self.loaded.borrow_mut().insert(head.id.clone());
        }
        if let BookRecord::Dropped { submission } = &record {
            self.loaded.borrow_mut().remove(submission);
        }
        self.book.borrow_mut().apply(record);
    }

    /// Marks the copy as needed and follows the partition from now on.
    pub(crate) fn follow(self: &Rc<Self>, traffic: &Rc<TrafficState>) {
        self.used_at.set(traffic.node.now());
        if self.following.replace(true) {
            return;
        }
        let (mirror, traffic) = (Rc::clone(self), Rc::clone(traffic));
        actix_rt::spawn(async move {
            while mirror.is_needed(&traffic) {
                if mirror.step(&traffic).await.is_err() {
                    // The session has logged the failure.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            mirror.reset();
            mirror.book.borrow_mut().clear();
            mirror.following.set(false);
        });
    }

    async fn step(&self, traffic: &TrafficState) -> Result<(), CallError> {
        let owned = traffic.partitions.is_owned(self.name.part);
        if owned && !self.scanned.get() {
            return self.load_open(traffic).await;
        }
        if !owned {
            self.scanned.set(false);
        }
        if self.next.get().is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
            return Ok(());
        }
        self.poll(traffic, POLL_WAIT).await.map(|_| ())
    }

    fn is_needed(&self, traffic: &TrafficState) -> bool {
        traffic.partitions.is_owned(self.name.part)
            || traffic.node.now().since(self.used_at.get()) < IDLE_LIFE
    }
}
