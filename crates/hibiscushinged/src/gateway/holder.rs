//! The lease of the duties as the tasks of this node use it.

use std::cell::RefCell;

use authority::{FencingSupport, LeaseManager, LeaseRole, LeaseScope, LeaseSettings};
use base::{FencingToken, Moment, Span};
use platform::HolderIdentity;

use crate::{gateway::node::NodeState, shared::NodePhase};

/// Length of the lease. A successor acts about a second after it has run out.
const TERM: Span = Span::from_millis(2_000);

/// Time between renewals. Three may fail before the lease runs out.
pub(crate) const RENEWAL: Span = Span::from_millis(500);

/// The holder stops this much before the term ends, and a successor waits this much longer.
const MARGIN: Span = Span::from_millis(300);

/// Longest time from the check of the lease before a call until the receiver has acted on it.
pub(crate) const ORDER_TIMEOUT: Span = Span::from_millis(600);

/// Nodes with equal knowledge claim at different times within this span.
const CLAIM_SPREAD: Span = Span::from_millis(250);

/// The lease as the tasks of this node use it.
pub(crate) struct LeaseHolder {
    pub(crate) lease_manager: RefCell<LeaseManager>,
    /// A node that held the lease, or may have held it before its start, claims again only after
    /// this moment. Holders must not take turns faster than the platform allows.
    pub(crate) rests_until: RefCell<Moment>,
}

impl LeaseHolder {
    pub(crate) fn new(node: &NodeState) -> Self {
        let settings = LeaseSettings {
            term: TERM,
            renewal: RENEWAL,
            margin: MARGIN,
            order_timeout: ORDER_TIMEOUT,
            extra_wait: Span::ZERO,
        };
        let mut lease_manager =
            LeaseManager::new(settings, LeaseScope::Fleet, node.incarnation, LeaseRole::Observer);
        lease_manager.set_claim_delay(Span(rand::random_range(0..CLAIM_SPREAD.0)));
        let rest = if node.settings.first_start { Span::ZERO } else { rest(node) };
        let rests_until = RefCell::new(node.now() + rest);
        Self { lease_manager: RefCell::new(lease_manager), rests_until }
    }

    /// Returns the number of the lease while this node may act.
    pub(crate) fn permit(&self, node: &NodeState) -> Option<FencingToken> {
        if node.phase() == NodePhase::Draining {
            return None;
        }
        self.lease_manager.borrow().permit(node.now(), FencingSupport::Ignored).ok()
    }

    /// Returns how calls of the holder are marked, while this node may act.
    pub(crate) fn identity(&self, node: &NodeState) -> Option<HolderIdentity> {
        // The first record of a log has offset 0, which a receiver may take for no number at all.
        let fencing = FencingToken(self.permit(node)?.0 + 1);
        Some(HolderIdentity { holder: node.settings.vm_name.clone(), fencing })
    }
}

/// Time for which a node that held the lease does not claim it.
pub(crate) fn rest(node: &NodeState) -> Span {
    node.settings.promises.lease + MARGIN
}
