//! The partitions of submissions, and which of them this node owns.

use std::{cell::Cell, collections::BTreeSet, rc::Rc};

use base::stable_hash;
use document::StoreSettings;

use crate::gateway::{fetch::PartitionName, partition_follower::PartitionFollower};

/// Topic of submissions. It is compacted by key, because results must stay readable for longer than
/// the log is retained.
pub(crate) const SUBMISSION_TOPIC: &str = "keyed.submissions";

/// Store capacity, in reads per second, from which submissions use all partitions. Below it the
/// site is small and uses one partition: a single owner needs the fewest connections to engines. On
/// a large site the loss of one owner must not delay every trainer.
const LARGE_SITE_READS_PER_SECOND: u32 = 3_000;

/// All partitions of submissions that this site uses, with this node's cache of each.
pub(crate) struct PartitionSet {
    followers: Vec<Rc<PartitionFollower>>,
    pub(crate) generation: Cell<u64>,
}

impl PartitionSet {
    pub(crate) fn new(settings: &StoreSettings) -> Self {
        let topic = String::from(SUBMISSION_TOPIC);
        let large = settings.reads_per_second >= LARGE_SITE_READS_PER_SECOND;
        let count = if large { settings.partitions } else { 1 };
        let followers = (0..count).map(|partition| {
            Rc::new(PartitionFollower::new(PartitionName { topic: topic.clone(), partition }))
        });
        Self { followers: followers.collect(), generation: Cell::new(0) }
    }

    /// Returns the number of partitions that this site uses of a topic.
    pub(crate) fn count(&self) -> u32 {
        self.followers.len() as u32
    }

    /// Returns the partition of a customer. All submissions of a customer share one, so that its
    /// owner can continue the text of an item that returns in a later submission.
    pub(crate) fn of_customer(&self, customer: &str) -> &Rc<PartitionFollower> {
        let index = stable_hash(customer) % self.followers.len() as u64;
        &self.followers[index as usize]
    }

    pub(crate) fn get(&self, partition: u32) -> Option<&Rc<PartitionFollower>> {
        self.followers.get(partition as usize)
    }

    pub(crate) fn owned(&self) -> BTreeSet<u32> {
        let owned = self.followers.iter().filter(|follower| follower.is_owned());
        owned.map(|follower| follower.name.partition).collect()
    }

    /// Sets which partitions this node owns, and returns whether that changed. The consumer group
    /// assigns more partitions than a small site uses; the unused ones are ignored.
    pub(crate) fn set_owned(&self, owned: &BTreeSet<u32>) -> bool {
        let before = self.owned();
        for follower in &self.followers {
            follower.set_owned(owned.contains(&follower.name.partition));
        }
        before != self.owned()
    }
}
