//! Order in which waiting items run.

use std::collections::BTreeMap;

use base::{Moment, derive_copy};

derive_copy! {
    /// Rank of a waiting item. Lower ones run first.
    pub struct WaitingItem {
        /// When the results of the submission are due.
        pub due: Moment,
        /// Position of the item's group within its submission, so that whole groups finish.
        pub group: u32,
        /// Greatest estimate of an item less its own, so that the longest of a group start first.
        pub shortness: u32,
        /// Number that tells items of one rank apart.
        pub sequence: u64,
    }
}

/// Items that wait for an engine.
#[derive(Debug)]
pub struct ItemQueue<T> {
    waiting: BTreeMap<WaitingItem, T>,
    next_sequence: u64,
}

impl<T> Default for ItemQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<T> ItemQueue<T> {
    /// Adds an item.
    pub fn push(&mut self, due: Moment, group: u32, expected_tokens: u32, item: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let shortness = u32::MAX - expected_tokens;
        self.waiting.insert(WaitingItem { due, group, shortness, sequence }, item);
    }

    /// Takes items in order for as long as `place` finds an engine for them. An item that finds none
    /// stays, and later ones are still offered, since they may need another model.
    pub fn place(&mut self, mut place: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut placed = Vec::new();
        for (rank, item) in &self.waiting {
            if place(item) {
                placed.push(*rank);
            }
        }
        placed.iter().filter_map(|rank| self.waiting.remove(rank)).collect()
    }

    /// Drops the items that `keep` rejects.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.waiting.retain(|_, item| keep(item));
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
