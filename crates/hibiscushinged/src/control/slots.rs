//! Assignment of sample slots to nodes.

use base::stable_hash;
use membership::{PeerState, PeerTable, VmIdentity};
use rollout::SlotKey;

/// The owner of each sample slot and trainer, by rendezvous hashing over the member nodes.
#[derive(Debug, Clone)]
pub(crate) struct SlotOwners {
    own_hash: u64,
    other_hashes: Vec<u64>,
}

impl SlotOwners {
    /// Creates the owners from the own node and the peers whose state satisfies `is_member`. VMs
    /// that never reported are left out.
    pub(crate) fn of(table: &PeerTable, is_member: impl Fn(PeerState) -> bool) -> Self {
        let others = table.iter().filter(|(key, peer)| {
            *key != table.own() && is_member(peer.state) && has_reported(&peer.vm)
        });
        let mut other_hashes =
            others.map(|(_, peer)| stable_hash(&peer.vm.name)).collect::<Vec<_>>();
        other_hashes.sort_unstable();
        Self { own_hash: stable_hash(&table.own_identity().name), other_hashes }
    }

    /// Returns whether this node owns the slot.
    pub(crate) fn owns(&self, slot: SlotKey) -> bool {
        self.owns_item(slot_hash(slot))
    }

    /// Returns whether this node owns the item with this hash.
    pub(crate) fn owns_item(&self, item: u64) -> bool {
        let own = base::rendezvous_weight(self.own_hash, item);
        self.other_hashes.iter().all(|node| base::rendezvous_weight(*node, item) < own)
    }

    /// Returns whether both have the same nodes, so that all slots have the same owners.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.own_hash == other.own_hash && self.other_hashes == other.other_hashes
    }
}

/// Returns whether the process of a VM has ever sent a message. The platform may list a VM long
/// before its process runs.
pub(crate) const fn has_reported(vm: &VmIdentity) -> bool {
    vm.incarnation.0 != 0
}

pub(crate) fn slot_hash(slot: SlotKey) -> u64 {
    let position = u64::from(slot.group) << 32 | u64::from(slot.index);
    base::rendezvous_weight(base::rendezvous_weight(slot.trainer.0, slot.step), position)
}
