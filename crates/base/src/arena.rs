//! Append-only vector that is indexed by typed keys.

use std::{
    marker::PhantomData,
    ops::{Index, IndexMut},
};

/// Typed index into an [`Arena`], so that the key of one kind of item cannot index another kind.
pub trait ArenaKey: Copy {
    /// Builds the key of the item at `index`.
    fn from_index(index: u32) -> Self;

    /// Returns the position of the item in its arena.
    fn index(self) -> usize;
}

/// Vector that is indexed by keys of type `K`.
///
/// Items are never removed, so a key stays valid for the lifetime of the arena.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arena<K, T> {
    items: Vec<T>,
    key: PhantomData<K>,
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// Creates an empty arena.
    #[must_use]
    pub const fn new() -> Self {
        Self { items: Vec::new(), key: PhantomData }
    }

    /// Appends `item` and returns its key.
    ///
    /// # Panics
    ///
    /// Panics when the arena already holds `u32::MAX` items.
    pub fn push(&mut self, item: T) -> K {
        let index = u32::try_from(self.items.len()).expect("an arena holds at most u32::MAX items");
        self.items.push(item);
        K::from_index(index)
    }

    /// Returns the item of `key`, or `None` when `key` comes from another arena and is out of
    /// range.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&T> {
        self.items.get(key.index())
    }

    /// Returns the item of `key` for modification, or `None` when `key` comes from another arena
    /// and is out of range.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.items.get_mut(key.index())
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the arena holds no item.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over keys and items in insertion order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        (0u32..).map(K::from_index).zip(&self.items)
    }

    /// Iterates over keys and mutable items in insertion order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut T)> {
        (0u32..).map(K::from_index).zip(&mut self.items)
    }
}

/// # Panics
///
/// Panics when `key` is out of range, which only a key of another arena can be.
impl<K: ArenaKey, T> Index<K> for Arena<K, T> {
    type Output = T;

    fn index(&self, key: K) -> &T {
        &self.items[key.index()]
    }
}

/// # Panics
///
/// Panics when `key` is out of range, which only a key of another arena can be.
impl<K: ArenaKey, T> IndexMut<K> for Arena<K, T> {
    fn index_mut(&mut self, key: K) -> &mut T {
        &mut self.items[key.index()]
    }
}

impl<K: ArenaKey, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: ArenaKey, T> FromIterator<T> for Arena<K, T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        let mut arena = Self::new();
        for item in items {
            arena.push(item);
        }
        arena
    }
}
