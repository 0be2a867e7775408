//! A node's own batches until they are in the log.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, RecordId, Span};

use crate::UsageBatch;

#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingBatch {
    batch: UsageBatch,
    holder: Option<Incarnation>,
    send_at: Moment,
}

/// The node's own batches that the log does not show yet, with the replica holder of each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingBatches {
    retry: Span,
    pending: BTreeMap<RecordId, PendingBatch>,
}

impl PendingBatches {
    /// Creates an empty list that repeats an unanswered hold request every `retry`.
    #[must_use]
    pub fn new(retry: Span) -> Self {
        Self { retry, pending: BTreeMap::new() }
    }

    /// Adds a batch that was given to the log writer.
    pub fn add(&mut self, now: Moment, batch: UsageBatch) {
        let pending = PendingBatch { batch, holder: None, send_at: now };
        self.pending.insert(pending.batch.id, pending);
    }

    /// Notes that the process `holder` holds the batch. A restarted process holds nothing.
    pub fn mark_held(&mut self, id: RecordId, holder: Incarnation) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.holder = Some(holder);
        }
    }

    /// Drops a batch that the log shows.
    pub fn mark_committed(&mut self, id: RecordId) {
        self.pending.remove(&id);
    }

    /// Sends the batches of a holder that is gone, or that refused, to another one.
    pub fn holder_lost(&mut self, now: Moment, holder: Incarnation) {
        for pending in self.pending.values_mut() {
            if pending.holder == Some(holder) {
                pending.holder = None;
                pending.send_at = now;
            }
        }
    }

    /// Returns when the next hold request is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let unheld = self.pending.values().filter(|pending| pending.holder.is_none());
        unheld.map(|pending| pending.send_at).min()
    }

    /// Returns the batches to send to the current replica holder at `now`.
    pub fn poll(&mut self, now: Moment) -> Vec<UsageBatch> {
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            if pending.holder.is_some() || pending.send_at > now {
                continue;
            }
            pending.send_at = now + self.retry;
            due.push(pending.batch.clone());
        }
        due
    }

    /// Returns the number of batches that the log does not show. A planned stop waits for zero.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Tells whether the log shows every batch.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
