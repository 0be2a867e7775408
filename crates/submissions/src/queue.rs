//! Queue of the items that wait for an engine.

use std::collections::BTreeMap;

use base::{Moment, derive_copy};

derive_copy! {
    /// Place of a waiting item among those of its submission. Items with lower ranks run first.
    ///
    /// The rank is when the item should start, in tokens of one slot since the submission arrived: when
    /// the turn of its group comes, less the time that the item itself takes. So groups are completed
    /// one after another where slots are scarce, and where they are not, long items start first,
    /// whatever their group: a group is whole no sooner than its longest item.
    pub struct ItemRank(i64);

    /// Sort key of a waiting item. Items with lower keys run first; the fields count in their
    /// order.
    struct ItemPriority {
        /// When the results of the submission are due.
        due: Moment,
        rank: ItemRank,
        /// Order in which items were added, which breaks ties.
        sequence: u64,
    }
}

impl ItemRank {
    /// Rank that precedes all others of the submission.
    pub const FIRST: Self = Self(i64::MIN);

    /// Returns the rank of an item that generates about `expected_tokens`, where those of the groups
    /// before its own generate `tokens_before` together, on this number of slots.
    #[must_use]
    pub fn new(tokens_before: u64, slots: u32, expected_tokens: u32) -> Self {
        let turn = tokens_before / u64::from(slots.max(1));
        Self(i64::try_from(turn).unwrap_or(i64::MAX).saturating_sub(i64::from(expected_tokens)))
    }
}

/// Returns how many events a text is expected to get besides the `events` that it has. An item whose
/// estimate has proved too low, or means nothing since no ratio is known, is expected to go on for a
/// part of what it has.
#[must_use]
pub fn expected_remaining_events(
    expected_tokens: u32,
    tokens_per_event: Option<f64>,
    events: u64,
) -> u64 {
    /// Divisor of the events of a text that is longer than estimated.
    const OVERRUN_DIVISOR: u64 = 3;
    let expected = tokens_per_event.map_or(0.0, |ratio| f64::from(expected_tokens) / ratio);
    (expected as u64).saturating_sub(events).max(events / OVERRUN_DIVISOR)
}

/// Priority queue of the items that wait for an engine.
#[derive(Debug)]
pub struct ItemQueue<T> {
    waiting: BTreeMap<ItemPriority, T>,
    next_sequence: u64,
}

impl<T> Default for ItemQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<T> ItemQueue<T> {
    /// Adds an item of a submission whose results are due at `due`.
    pub fn push(&mut self, due: Moment, rank: ItemRank, item: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let priority = ItemPriority { due, rank, sequence };
        self.waiting.insert(priority, item);
    }

    /// Calls `try_place` for each item in order, and removes and returns those for which it found
    /// an engine. An item without an engine does not block later ones (no head-of-line blocking),
    /// since they may need another model.
    pub fn place(&mut self, mut try_place: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut placed = Vec::new();
        for (priority, item) in &self.waiting {
            if try_place(item) {
                placed.push(*priority);
            }
        }
        placed.iter().filter_map(|priority| self.waiting.remove(priority)).collect()
    }

    /// Removes the items for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.waiting.retain(|_, item| keep(item));
    }

    /// Returns the number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
