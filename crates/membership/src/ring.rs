//! Ring of the VMs of a zone, in the order of the hashes of their names.

use base::VmKey;
use smallvec::SmallVec;

use crate::PeerState;

/// A VM's position on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RingSlot {
    pub(crate) vm: VmKey,
    pub(crate) state: PeerState,
}

/// Direction in which the ring is walked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Walk {
    /// To the VMs that get heartbeats from `own`.
    Successors,
    /// To the VMs that send heartbeats to `own`.
    Predecessors,
}

/// Returns the neighbours of `own` up to the one that completes `live` live ones.
///
/// Suspects on the way are included and not counted. Both directions follow the same rule, so a
/// VM expects heartbeats from exactly those that send to it when their views agree.
pub(crate) fn neighbours(
    ring: &[RingSlot],
    own: VmKey,
    live: usize,
    walk: Walk,
) -> SmallVec<[VmKey; 4]> {
    let mut found = SmallVec::new();
    let Some(position) = ring.iter().position(|slot| slot.vm == own) else { return found };
    let mut counted = 0;
    for step in 1..ring.len() {
        if counted == live {
            break;
        }
        let index = match walk {
            Walk::Successors => (position + step) % ring.len(),
            Walk::Predecessors => (position + ring.len() - step) % ring.len(),
        };
        let slot = ring[index];
        if slot.state == PeerState::Gone {
            continue;
        }
        found.push(slot.vm);
        counted += usize::from(slot.state == PeerState::Live);
    }
    found
}
