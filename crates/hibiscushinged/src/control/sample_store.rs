//! Bytes of samples that this node holds, its own and copies for other nodes.

use std::collections::HashMap;

use base::{Moment, RecordId, Span};
use rollout::{DeliveryNumber, SlotKey, TrainerId};

/// How long bytes are kept whose fill record was not read. The node that made them may have died
/// before its append; a slower append only costs a fetch from the other holder.
const ORPHAN_AFTER: Span = Span::from_secs(120);

/// Bytes of samples, bounded by the setting `bounds.sample_bytes`.
///
/// Acknowledged bytes stay while there is room, because a trainer that returns to a checkpoint
/// fetches the same numbers again.
pub(crate) struct SampleStore {
    held: HashMap<RecordId, HeldSample>,
    bytes: usize,
    bound: usize,
}

struct HeldSample {
    text: String,
    since: Moment,
    slot: Option<SlotKey>,
    number: Option<DeliveryNumber>,
    acknowledged: bool,
}

/// Whether bytes were taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    Kept,
    Full,
}

impl SampleStore {
    pub(crate) fn new(bound: usize) -> Self {
        Self { held: HashMap::new(), bytes: 0, bound }
    }

    pub(crate) fn insert(&mut self, now: Moment, sample: RecordId, text: String) -> StoreOutcome {
        if self.held.contains_key(&sample) {
            return StoreOutcome::Kept;
        }
        if !self.make_room(text.len()) {
            return StoreOutcome::Full;
        }
        self.bytes += text.len();
        let held = HeldSample { text, since: now, slot: None, number: None, acknowledged: false };
        self.held.insert(sample, held);
        StoreOutcome::Kept
    }

    /// Drops acknowledged bytes, the oldest first, until `wanted` more fit.
    pub(crate) fn make_room(&mut self, wanted: usize) -> bool {
        if self.bytes + wanted <= self.bound {
            return true;
        }
        let done = self.held.iter().filter(|(_, held)| held.acknowledged);
        let mut done = done.map(|(&sample, held)| (held.since, sample)).collect::<Vec<_>>();
        done.sort_unstable();
        for (_, sample) in done {
            self.remove(sample);
            if self.bytes + wanted <= self.bound {
                return true;
            }
        }
        false
    }

    pub(crate) fn get(&self, sample: RecordId) -> Option<&str> {
        self.held.get(&sample).map(|held| held.text.as_str())
    }

    pub(crate) fn remove(&mut self, sample: RecordId) {
        if let Some(held) = self.held.remove(&sample) {
            self.bytes -= held.text.len();
        }
    }

    pub(crate) fn filled(&mut self, sample: RecordId, slot: SlotKey) {
        if let Some(held) = self.held.get_mut(&sample) {
            held.slot = Some(slot);
        }
    }

    pub(crate) fn bound(&mut self, sample: RecordId, number: DeliveryNumber) {
        if let Some(held) = self.held.get_mut(&sample) {
            held.number = Some(number);
        }
    }

    /// Notes which samples the trainer has. A trainer may go back to a lower number.
    pub(crate) fn acknowledged(&mut self, trainer: TrainerId, until: DeliveryNumber) {
        for held in self.held.values_mut() {
            if held.slot.is_some_and(|slot| slot.trainer == trainer) {
                held.acknowledged = held.number.is_some_and(|number| number <= until);
            }
        }
    }

    pub(crate) fn retired(&mut self, trainer: TrainerId, step: u64) {
        let of_step = |slot: SlotKey| slot.trainer == trainer && slot.step == step;
        self.held.retain(|_, held| !held.slot.is_some_and(of_step));
        self.recount();
    }

    /// Drops bytes whose fill record did not come.
    pub(crate) fn drop_orphans(&mut self, now: Moment) {
        let old = |held: &HeldSample| now.since(held.since) > ORPHAN_AFTER;
        self.held.retain(|_, held| held.slot.is_some() || !old(held));
        self.recount();
    }

    pub(crate) fn figures(&self) -> (usize, usize) {
        (self.held.len(), self.bytes)
    }

    fn recount(&mut self) {
        self.bytes = self.held.values().map(|held| held.text.len()).sum();
    }
}
