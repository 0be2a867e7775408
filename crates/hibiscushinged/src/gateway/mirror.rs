//! A node's copy of one partition of submissions.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
};

use base::{Moment, Span};
use clients::CallError;
use protocol::decode_book_record;
use submissions::{BookRecord, SubmissionBook};
use tokio::sync::{Mutex, watch};

use crate::{
    gateway::{
        board::TrafficState,
        fetch::{FetchedKeys, FetchedPart, KeyChange, PartitionName, fetch},
    },
    telemetry::log_event,
};

/// Longest wait of a read for new records. Each answer confirms that the copy is fresh.
const POLL_WAIT: Span = Span::from_millis(400);

/// Pause after a failed read.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// A copy that nobody asked for in this time is no longer followed.
const IDLE_LIFE: Span = Span::from_secs(20);

/// Copy of one partition.
pub(crate) struct PartitionMirror {
    pub(crate) name: PartitionName,
    book: RefCell<SubmissionBook>,
    next: Cell<Option<u64>>,
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

    /// Reads everything that is new, without waiting for more.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    pub(crate) async fn catch_up(&self, traffic: &TrafficState) -> Result<(), CallError> {
        while !self.poll(traffic, Span::ZERO).await? {}
        Ok(())
    }

    /// Reads a part of what is new, and tells whether the copy is complete.
    async fn poll(&self, traffic: &TrafficState, wait: Span) -> Result<bool, CallError> {
        // The copy is complete as of the moment at which the read was sent.
        let sent_at = traffic.node.now();
        let fetched = fetch(&traffic.store, &self.name, self.next.get(), wait).await?;
        let complete = fetched.complete;
        self.apply(fetched);
        if complete {
            let at = self.confirmed_at.get().map_or(sent_at, |at| at.max(sent_at));
            self.confirmed_at.set(Some(at));
        }
        Ok(complete)
    }

    /// Takes records that this node has appended itself.
    pub(crate) fn appended(&self, offset: u64, end: u64, records: Vec<BookRecord>) {
        if self.next.get() != Some(offset) {
            return;
        }
        self.next.set(Some(end));
        for record in records {
            self.book.borrow_mut().apply(record);
        }
        self.changes.send_modify(|count| *count += 1);
    }

    fn apply(&self, fetched: FetchedPart) {
        let known = self.next.get();
        let changes = match fetched.keys {
            FetchedKeys::All(changes) if known.is_none_or(|known| known <= fetched.next) => changes,
            // Another task has read further meanwhile.
            FetchedKeys::All(_) => return,
            FetchedKeys::Changes(changes) => changes
                .into_iter()
                .filter(|change| known.is_none_or(|known| change.offset >= known))
                .collect(),
        };
        self.next.set(Some(known.map_or(fetched.next, |known| known.max(fetched.next))));
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.apply_change(change);
        }
        self.changes.send_modify(|count| *count += 1);
    }

    fn apply_change(&self, change: KeyChange) {
        match decode_book_record(&change.key, change.value.as_deref()) {
            Ok(Some(record)) => {
                self.book.borrow_mut().apply(record);
            }
            Ok(None) => {}
            Err(error) => {
                let topic = &self.name.topic;
                let (part, offset) = (self.name.part, change.offset);
                log_event!(warn, LogRecordRefused, topic, part, offset, reason = %error);
            }
        }
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
                if mirror.poll(&traffic, POLL_WAIT).await.is_err() {
                    // The session has logged the failure.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            mirror.following.set(false);
        });
    }

    fn is_needed(&self, traffic: &TrafficState) -> bool {
        traffic.partitions.is_owned(self.name.part)
            || traffic.node.now().since(self.used_at.get()) < IDLE_LIFE
    }
}
