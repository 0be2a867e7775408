//! Batches held for another node until they are in the log.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, RecordId, Span, derive_copy};

use crate::UsageBatch;

derive_copy! {
    /// Whether the process that metered a batch is known to be gone.
    pub enum OriginState {
        /// The process appends its batches itself, unless it takes too long.
        Live,
        /// The replica holder appends the process's batches.
        Gone,
    }

    /// Answer to a request to hold a batch.
    pub enum HoldOutcome {
        /// The batch is held.
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

/// Batches that this node holds for nodes of other zones.
///
/// A batch is dropped only when the log shows its id. Readers count an id once, so an append by
/// both the origin and the holder is harmless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStore {
    capacity: usize,
    retry: Span,
    takeover: Span,
    held: BTreeMap<RecordId, HeldBatch>,
}

impl ReplicaStore {
    /// Creates a store of at most `capacity` batches that repeats an append every `retry` until
    /// the log shows the batch.
    ///
    /// A batch that the log does not show after `takeover` is appended even if its process counts
    /// as live: a zone that fails as a whole is known to be gone only when the platform's list
    /// drops its VMs.
    #[must_use]
    pub fn new(capacity: usize, retry: Span, takeover: Span) -> Self {
        Self { capacity, retry, takeover, held: BTreeMap::new() }
    }

    /// Holds a batch. Holding it again is harmless.
    pub fn hold(&mut self, now: Moment, batch: UsageBatch, origin: OriginState) -> HoldOutcome {
        if self.held.contains_key(&batch.id) {
            return HoldOutcome::Held;
        }
        if self.held.len() >= self.capacity {
            return HoldOutcome::Full;
        }
        let append_at = match origin {
            OriginState::Live => now + self.takeover,
            OriginState::Gone => now,
        };
        self.held.insert(batch.id, HeldBatch { batch, append_at });
        HoldOutcome::Held
    }

    /// Drops a batch that the log shows.
    pub fn mark_committed(&mut self, id: RecordId) {
        self.held.remove(&id);
    }

    /// Makes the batches of a process that is gone due for append.
    pub fn origin_gone(&mut self, now: Moment, origin: Incarnation) {
        for held in self.held.values_mut() {
            if held.batch.id.writer == origin {
                held.append_at = held.append_at.min(now);
            }
        }
    }

    /// Returns when the next append is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        self.held.values().map(|held| held.append_at).min()
    }

    /// Returns the batches to append at `now`. They stay held until the log shows them.
    pub fn poll(&mut self, now: Moment) -> Vec<UsageBatch> {
        let mut due = Vec::new();
        for held in self.held.values_mut() {
            if held.append_at > now {
                continue;
            }
            held.append_at = now + self.retry;
            due.push(held.batch.clone());
        }
        due
    }

    /// Returns the number of held batches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no batch is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
