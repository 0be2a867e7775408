//! Partitions of submissions.

use std::{cell::Cell, collections::BTreeSet, rc::Rc};

use base::stable_hash;
use document::StoreSettings;

use crate::gateway::{fetch::PartitionName, partition_follower::PartitionFollower};

/// Topic of submissions. It is keyed, because results are read for longer than the log is kept.
pub(crate) const SUBMISSION_TOPIC: &str = "keyed.submissions";

/// Reads a second of the store from which submissions use all partitions. A store that takes fewer calls
/// serves a small site, where one owner needs the fewest connections to engines; at a large one the
/// loss of one owner must not hold up every trainer.
const LARGE_STORE_READS: u32 = 3_000;

/// Partitions of submissions.
pub(crate) struct PartitionSet {
    followers: Vec<Rc<PartitionFollower>>,
    pub(crate) generation: Cell<u64>,
}

impl PartitionSet {
    pub(crate) fn new(settings: &StoreSettings) -> Self {
        let topic = String::from(SUBMISSION_TOPIC);
        let large = settings.reads_per_second >= LARGE_STORE_READS;
        let count = if large { settings.partitions } else { 1 };
        let mirrors = (0..count).map(|part| {
            Rc::new(PartitionFollower::new(PartitionName { topic: topic.clone(), part }))
        });
        Self { followers: mirrors.collect(), generation: Cell::new(0) }
    }

    /// Returns the partition of a customer. All submissions of a customer share one, so that their
    /// owner can go on with the texts of items that return in a later submission.
    pub(crate) fn of_customer(&self, customer: &str) -> &Rc<PartitionFollower> {
        let index = stable_hash(customer) % self.followers.len() as u64;
        &self.followers[index as usize]
    }

    pub(crate) fn get(&self, part: u32) -> Option<&Rc<PartitionFollower>> {
        self.followers.get(part as usize)
    }

    pub(crate) fn owned(&self) -> BTreeSet<u32> {
        let owned = self.followers.iter().filter(|follower| follower.is_owned());
        owned.map(|follower| follower.name.part).collect()
    }

    /// Notes which partitions this node owns, and tells whether that changed. The group shares out more
    /// partitions than a small site uses; the others are left out.
    pub(crate) fn set_owned(&self, owned: &BTreeSet<u32>) -> bool {
        let before = self.owned();
        for follower in &self.followers {
            follower.set_owned(owned.contains(&follower.name.part));
        }
        before != self.owned()
    }
}
