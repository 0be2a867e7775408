//! The partitions of submissions, and which of them this node owns.

use std::{
    cell::{Cell, OnceCell},
    collections::BTreeSet,
    rc::Rc,
};

use base::stable_hash;
use document::StoreSettings;
use tokio::sync::watch;

use crate::gateway::{fetch::PartitionName, partition_follower::PartitionFollower};

/// Topic of submissions. It is compacted by key, because results must stay readable for longer than
/// the log is retained.
pub(crate) const SUBMISSION_TOPIC: &str = "keyed.submissions";

/// Store capacity, in reads per second, from which submissions use all partitions. Below it the
/// site is small and uses one partition: a single owner needs the fewest connections to engines. On
/// a large site the loss of one owner must not delay every trainer.
const LARGE_SITE_READS_PER_SECOND: u32 = 3_000;

/// All partitions of submissions that this site uses, with this node's cache of each.
///
/// Their number says where a submission lies, so all nodes have to use the same one, whatever their
/// settings are (see [`layout`](crate::gateway::layout)). Until it is known there are none.
pub(crate) struct PartitionSet {
    followers: OnceCell<Vec<Rc<PartitionFollower>>>,
    changes: watch::Sender<bool>,
    pub(crate) generation: Cell<u64>,
}

/// Returns the number of partitions that a node with these settings proposes for submissions.
pub(crate) fn proposed_count(settings: &StoreSettings) -> u32 {
    let large = settings.reads_per_second >= LARGE_SITE_READS_PER_SECOND;
    if large { settings.partitions } else { 1 }
}

impl PartitionSet {
    pub(crate) fn new() -> Self {
        Self {
            followers: OnceCell::new(),
            changes: watch::Sender::new(false),
            generation: Cell::new(0),
        }
    }

    /// Sets the number of partitions on which all nodes agree. It never changes afterwards.
    pub(crate) fn set_count(&self, count: u32) {
        self.followers.get_or_init(|| {
            let topic = String::from(SUBMISSION_TOPIC);
            let followers = (0..count).map(|partition| {
                Rc::new(PartitionFollower::new(PartitionName { topic: topic.clone(), partition }))
            });
            followers.collect()
        });
        self.changes.send_replace(true);
    }

    /// Returns the number of partitions that this site uses of a topic, once it is known.
    pub(crate) fn count(&self) -> Option<u32> {
        self.followers.get().map(|followers| followers.len() as u32)
    }

    /// Waits until the number of partitions is known, and returns it.
    pub(crate) async fn known_count(&self) -> u32 {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(count) = self.count() {
                return count;
            }
            // The sender lives as long as the set.
            let _ = changes.changed().await;
        }
    }

    /// Returns the partition of a customer, once the number of partitions is known. All submissions
    /// of a customer share one, so that its owner can continue the text of an item that returns in a
    /// later submission.
    pub(crate) fn of_customer(&self, customer: &str) -> Option<&Rc<PartitionFollower>> {
        let followers = self.followers.get()?;
        followers.get((stable_hash(customer) % followers.len() as u64) as usize)
    }

    pub(crate) fn get(&self, partition: u32) -> Option<&Rc<PartitionFollower>> {
        self.followers.get()?.get(partition as usize)
    }

    pub(crate) fn owned(&self) -> BTreeSet<u32> {
        let owned = self.followers.get().into_iter().flatten();
        let owned = owned.filter(|follower| follower.is_owned());
        owned.map(|follower| follower.name.partition).collect()
    }

    /// Sets which partitions this node owns, and returns whether that changed. The consumer group
    /// assigns more partitions than a small site uses; the unused ones are ignored.
    pub(crate) fn set_owned(&self, owned: &BTreeSet<u32>) -> bool {
        let before = self.owned();
        for follower in self.followers.get().into_iter().flatten() {
            follower.set_owned(owned.contains(&follower.name.partition));
        }
        before != self.owned()
    }
}
