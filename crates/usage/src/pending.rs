//! A node's own usage batches that are not committed yet, that is, have not been read back from the
//! log.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, RecordId, Span};

use crate::UsageBatch;

#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingBatch {
    batch: UsageBatch,
    holder: Option<Incarnation>,
    send_at: Moment,
}

/// The node's own batches that are not committed yet, with the replica holder of each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingBatches {
    retry_interval: Span,
    pending: BTreeMap<RecordId, PendingBatch>,
}

impl PendingBatches {
    /// Creates an empty list. The request to hold a replica of a batch is repeated every
    /// `retry_interval` until a holder confirms it or the batch is committed.
    #[must_use]
    pub fn new(retry_interval: Span) -> Self {
        Self { retry_interval, pending: BTreeMap::new() }
    }

    /// Adds a batch that was handed to the log writer. A request to hold its replica is due at
    /// once.
    pub fn add(&mut self, now: Moment, batch: UsageBatch) {
        let pending = PendingBatch { batch, holder: None, send_at: now };
        self.pending.insert(pending.batch.id, pending);
    }

    /// Notes that the process `holder` confirmed that it holds a replica of the batch. Replicas are
    /// lost when the process restarts.
    pub fn mark_held(&mut self, id: RecordId, holder: Incarnation) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.holder = Some(holder);
        }
    }

    /// Removes a batch that was read back from the log.
    pub fn mark_committed(&mut self, id: RecordId) {
        self.pending.remove(&id);
    }

    /// Makes the batches of a holder that has ended, or that refused, due to be sent to another
    /// holder.
    pub fn holder_lost(&mut self, now: Moment, holder: Incarnation) {
        for pending in self.pending.values_mut() {
            if pending.holder == Some(holder) {
                pending.holder = None;
                pending.send_at = now;
            }
        }
    }

    /// Returns when the next hold request is due, or `None` when every batch has a holder.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let unheld = self.pending.values().filter(|pending| pending.holder.is_none());
        unheld.map(|pending| pending.send_at).min()
    }

    /// Returns the batches whose hold request is due at `now`, and schedules its repetition.
    pub fn poll(&mut self, now: Moment) -> Vec<UsageBatch> {
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            if pending.holder.is_some() || pending.send_at > now {
                continue;
            }
            pending.send_at = now + self.retry_interval;
            due.push(pending.batch.clone());
        }
        due
    }

    /// Returns the number of batches that are not committed. A planned stop waits until there
    /// are none.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether every batch is committed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
