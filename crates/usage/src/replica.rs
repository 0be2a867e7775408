//! Replicas of other nodes' usage batches, held until the batches are committed to the log.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, RecordId, Span, derive_copy};

use crate::UsageBatch;

derive_copy! {
    /// Whether the process that metered a batch is known to have ended.
    pub enum OriginState {
        /// The process appends its batches itself. The replica holder appends them only when that
        /// takes longer than the takeover timeout.
        Live,
        /// The process has ended; the replica holder appends its batches.
        Ended,
    }

    /// Response to a request to hold a replica of a batch.
    pub enum HoldOutcome {
        /// The replica is held.
        Held,
        /// The store is full. The origin chooses another holder.
        Full,
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldBatch {
    batch: UsageBatch,
    append_at: Moment,
}

/// Replicas of batches that this node holds for nodes of other zones.
///
/// A replica is dropped only when the batch's id was read back from the log. Readers count an id
/// once, so an append by both the origin and the holder counts once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStore {
    capacity: usize,
    retry_interval: Span,
    takeover_timeout: Span,
    held: BTreeMap<RecordId, HeldBatch>,
}

impl ReplicaStore {
    /// Creates a store of at most `capacity` batches that repeats an append every `retry_interval`
    /// until the batch is committed.
    ///
    /// A batch that is not committed after `takeover_timeout` is appended even if its process
    /// counts as live: the failure of a whole zone is known only when the platform's list drops the
    /// zone's VMs.
    #[must_use]
    pub fn new(capacity: usize, retry_interval: Span, takeover_timeout: Span) -> Self {
        Self { capacity, retry_interval, takeover_timeout, held: BTreeMap::new() }
    }

    /// Holds a replica of a batch. The call is idempotent.
    pub fn hold(&mut self, now: Moment, batch: UsageBatch, origin: OriginState) -> HoldOutcome {
        if self.held.contains_key(&batch.id) {
            return HoldOutcome::Held;
        }
        if self.held.len() >= self.capacity {
            return HoldOutcome::Full;
        }
        let append_at = match origin {
            OriginState::Live => now + self.takeover_timeout,
            OriginState::Ended => now,
        };
        self.held.insert(batch.id, HeldBatch { batch, append_at });
        HoldOutcome::Held
    }

    /// Drops the replica of a batch that was read back from the log.
    pub fn mark_committed(&mut self, id: RecordId) {
        self.held.remove(&id);
    }

    /// Marks the batches of a process that has ended as due for append.
    pub fn origin_ended(&mut self, now: Moment, origin: Incarnation) {
        for held in self.held.values_mut() {
            if held.batch.id.writer == origin {
                held.append_at = held.append_at.min(now);
            }
        }
    }

    /// Returns when the next append is due, or `None` when no batch is held.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        self.held.values().map(|held| held.append_at).min()
    }

    /// Returns the batches to append at `now`, and schedules the repetition. They stay held until
    /// they are committed.
    pub fn poll(&mut self, now: Moment) -> Vec<UsageBatch> {
        let mut due = Vec::new();
        for held in self.held.values_mut() {
            if held.append_at > now {
                continue;
            }
            held.append_at = now + self.retry_interval;
            due.push(held.batch.clone());
        }
        due
    }

    /// Returns the number of held batches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no batch is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
