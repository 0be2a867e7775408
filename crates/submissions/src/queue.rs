//! Queue of the items that wait for an engine.

use std::collections::BTreeMap;

use base::{Moment, derive_copy};

derive_copy! {
    /// Sort key of a waiting item. Items with lower keys run first; the fields count in their
    /// order.
    pub struct ItemPriority {
        /// When the results of the submission are due.
        pub due: Moment,
        /// Position of the item's group within its submission. Items are ordered by group so that
        /// groups are completed one after another.
        pub group: u32,
        /// `u32::MAX` less the item's estimated tokens, so that the longest items of a group run
        /// first.
        pub inverted_tokens: u32,
        /// Order in which items were added, which breaks ties.
        pub sequence: u64,
    }
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
    /// Adds an item of the group at position `group` of its submission, whose results are due at
    /// `due`.
    pub fn push(&mut self, due: Moment, group: u32, expected_tokens: u32, item: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let inverted_tokens = u32::MAX - expected_tokens;
        self.waiting.insert(ItemPriority { due, group, inverted_tokens, sequence }, item);
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
