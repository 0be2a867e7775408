//! Division of samples among the nodes.

use base::stable_hash;
use membership::{PeerState, PeerTable, VmIdentity};
use rollout::SlotKey;

/// Which node makes a sample, by rendezvous hashing over the live nodes.
#[derive(Debug, Clone)]
pub(crate) struct SlotOwners {
    own: u64,
    others: Vec<u64>,
}

impl SlotOwners {
    /// Takes the own node and the peers whose state counts.
    pub(crate) fn of(table: &PeerTable, counts: impl Fn(PeerState) -> bool) -> Self {
        let others = table
            .iter()
            .filter(|(key, peer)| *key != table.own() && counts(peer.state) && is_heard(&peer.vm));
        let mut others = others.map(|(_, peer)| stable_hash(&peer.vm.name)).collect::<Vec<_>>();
        others.sort_unstable();
        Self { own: stable_hash(&table.own_identity().name), others }
    }

    pub(crate) fn owns(&self, slot: SlotKey) -> bool {
        self.owns_item(slot_hash(slot))
    }

    pub(crate) fn owns_item(&self, item: u64) -> bool {
        let own = base::rendezvous_weight(self.own, item);
        self.others.iter().all(|node| base::rendezvous_weight(*node, item) < own)
    }

    /// Tells whether the same nodes take part.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.own == other.own && self.others == other.others
    }
}

/// Tells whether the process of a VM was ever heard. A VM may be listed long before it runs.
pub(crate) const fn is_heard(vm: &VmIdentity) -> bool {
    vm.incarnation.0 != 0
}

pub(crate) fn slot_hash(slot: SlotKey) -> u64 {
    let place = u64::from(slot.group) << 32 | u64::from(slot.index);
    base::rendezvous_weight(base::rendezvous_weight(slot.trainer.0, slot.step), place)
}
