//! Texts of the samples that this node holds: its own, and copies for other nodes.

use std::collections::HashMap;

use base::{Moment, RecordId, Span};
use rollout::{DeliveryNumber, SlotKey, TrainerId};

/// Time after which a sample without a `Filled` record is dropped. Its node may have died before
/// the append. If the append is merely slower, the sample is fetched from its other holder.
const ORPHAN_TIMEOUT: Span = Span::from_secs(120);

/// Store of sample texts, limited to `bounds.sample_bytes` of the settings.
///
/// Acknowledged samples stay until their space is needed, because a trainer that goes back to a
/// checkpoint fetches the same numbers again.
pub(crate) struct SampleStore {
    samples: HashMap<RecordId, StoredSample>,
    bytes: usize,
    max_bytes: usize,
}

struct StoredSample {
    text: String,
    inserted_at: Moment,
    slot: Option<SlotKey>,
    number: Option<DeliveryNumber>,
    acknowledged: bool,
}

/// Whether the store took a sample. `Full` means that evicting all acknowledged samples would not
/// make enough space.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    Stored,
    Full,
}

impl SampleStore {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { samples: HashMap::new(), bytes: 0, max_bytes }
    }

    pub(crate) fn insert(&mut self, now: Moment, sample: RecordId, text: String) -> StoreOutcome {
        if self.samples.contains_key(&sample) {
            return StoreOutcome::Stored;
        }
        if !self.make_room(text.len()) {
            return StoreOutcome::Full;
        }
        self.bytes += text.len();
        let stored =
            StoredSample { text, inserted_at: now, slot: None, number: None, acknowledged: false };
        self.samples.insert(sample, stored);
        StoreOutcome::Stored
    }

    /// Evicts acknowledged samples, the oldest first, until `needed` more bytes fit. Returns
    /// whether they fit.
    pub(crate) fn make_room(&mut self, needed: usize) -> bool {
        if self.bytes + needed <= self.max_bytes {
            return true;
        }
        let evictable = self.samples.iter().filter(|(_, stored)| stored.acknowledged);
        let mut evictable =
            evictable.map(|(&sample, stored)| (stored.inserted_at, sample)).collect::<Vec<_>>();
        evictable.sort_unstable();
        for (_, sample) in evictable {
            self.remove(sample);
            if self.bytes + needed <= self.max_bytes {
                return true;
            }
        }
        false
    }

    pub(crate) fn get(&self, sample: RecordId) -> Option<&str> {
        self.samples.get(&sample).map(|stored| stored.text.as_str())
    }

    pub(crate) fn remove(&mut self, sample: RecordId) {
        if let Some(stored) = self.samples.remove(&sample) {
            self.bytes -= stored.text.len();
        }
    }

    /// Sets the slot of a sample whose `Filled` record was read.
    pub(crate) fn set_slot(&mut self, sample: RecordId, slot: SlotKey) {
        if let Some(stored) = self.samples.get_mut(&sample) {
            stored.slot = Some(slot);
        }
    }

    /// Sets the delivery number of a sample that was bound.
    pub(crate) fn set_number(&mut self, sample: RecordId, number: DeliveryNumber) {
        if let Some(stored) = self.samples.get_mut(&sample) {
            stored.number = Some(number);
        }
    }

    /// Marks which samples the trainer has acknowledged: those up to the number `until`. It may be
    /// lower than before, when the trainer goes back to a checkpoint.
    pub(crate) fn mark_acknowledged(&mut self, trainer: TrainerId, until: DeliveryNumber) {
        for stored in self.samples.values_mut() {
            if stored.slot.is_some_and(|slot| slot.trainer == trainer) {
                stored.acknowledged = stored.number.is_some_and(|number| number <= until);
            }
        }
    }

    /// Removes the samples of a retired step.
    pub(crate) fn remove_step(&mut self, trainer: TrainerId, step: u64) {
        let of_step = |slot: SlotKey| slot.trainer == trainer && slot.step == step;
        self.samples.retain(|_, stored| !stored.slot.is_some_and(of_step));
        self.recount();
    }

    /// Removes samples whose `Filled` record was not read within [`ORPHAN_TIMEOUT`].
    pub(crate) fn drop_orphans(&mut self, now: Moment) {
        let is_expired = |stored: &StoredSample| now.since(stored.inserted_at) > ORPHAN_TIMEOUT;
        self.samples.retain(|_, stored| stored.slot.is_some() || !is_expired(stored));
        self.recount();
    }

    /// Returns the number of samples and their bytes.
    pub(crate) fn totals(&self) -> (usize, usize) {
        (self.samples.len(), self.bytes)
    }

    fn recount(&mut self) {
        self.bytes = self.samples.values().map(|stored| stored.text.len()).sum();
    }
}
