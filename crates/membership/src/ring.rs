//! Ring of the VMs of a zone, ordered by the hashes of their names, on which each VM sends
//! heartbeats to its successors.

use base::VmKey;
use smallvec::SmallVec;

use crate::PeerState;

/// A VM's position on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RingSlot {
    pub(crate) vm: VmKey,
    pub(crate) state: PeerState,
}

/// Direction of a search on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    /// To the VMs that get heartbeats from `own`.
    Successors,
    /// To the VMs that send heartbeats to `own`.
    Predecessors,
}

/// Returns the nearest neighbours of `own` until `live_count` live ones are among them.
///
/// Suspect VMs on the way are included without being counted, gone ones are skipped. Both
/// directions follow the same rule: where the views of two VMs agree, one expects heartbeats from
/// the other exactly when the other sends them.
pub(crate) fn neighbours(
    ring: &[RingSlot],
    own: VmKey,
    live_count: usize,
    direction: Direction,
) -> SmallVec<[VmKey; 4]> {
    let mut found = SmallVec::new();
    let Some(position) = ring.iter().position(|slot| slot.vm == own) else { return found };
    let mut live_found = 0;
    for distance in 1..ring.len() {
        if live_found == live_count {
            break;
        }
        let index = match direction {
            Direction::Successors => (position + distance) % ring.len(),
            Direction::Predecessors => (position + ring.len() - distance) % ring.len(),
        };
        let slot = ring[index];
        if slot.state == PeerState::Gone {
            continue;
        }
        found.push(slot.vm);
        live_found += usize::from(slot.state == PeerState::Live);
    }
    found
}
