//! The fleet lease as the tasks of this node use it. Its holder orders weight loads and reports
//! usage.

use std::cell::RefCell;

use authority::{FencingSupport, LeaseManager, LeaseRole, LeaseScope, LeaseSettings};
use base::{FencingToken, Moment, Span};
use platform::HolderIdentity;

use crate::{gateway::node::NodeState, shared::NodePhase};

/// Term of the lease. A successor acts about a second after it has expired.
const LEASE_TERM: Span = Span::from_millis(2_000);

/// Interval between renewals. Three may fail before the lease expires.
pub(crate) const LEASE_RENEWAL_PERIOD: Span = Span::from_millis(500);

/// Safety margin: the holder stops this long before the term ends, and a successor waits this much
/// longer.
const LEASE_MARGIN: Span = Span::from_millis(300);

/// Timeout of a call to an engine or to the receiver of usage reports. It also bounds the time from
/// the lease check before a call until the receiver has acted on it.
pub(crate) const ORDER_TIMEOUT: Span = Span::from_millis(600);

/// Upper bound of the random delay before a claim, so that nodes that see the lease expire at the
/// same time do not all claim it at once.
const MAX_CLAIM_DELAY: Span = Span::from_millis(250);

/// The lease manager of this node, and the time before which it must not claim.
pub(crate) struct LeaseHolder {
    pub(crate) lease_manager: RefCell<LeaseManager>,
    /// A node that held the lease, or may have held it before its start, claims it again only after
    /// this moment, since the platform bounds how fast the lease may change holders.
    pub(crate) no_claim_before: RefCell<Moment>,
}

impl LeaseHolder {
    pub(crate) fn new(node: &NodeState) -> Self {
        let settings = LeaseSettings {
            term: LEASE_TERM,
            renewal: LEASE_RENEWAL_PERIOD,
            margin: LEASE_MARGIN,
            order_timeout: ORDER_TIMEOUT,
            extra_wait: Span::ZERO,
        };
        let mut lease_manager =
            LeaseManager::new(settings, LeaseScope::Fleet, node.incarnation, LeaseRole::Observer);
        lease_manager.set_claim_delay(Span(rand::random_range(0..MAX_CLAIM_DELAY.0)));
        let claim_pause = if node.settings.first_start { Span::ZERO } else { claim_pause(node) };
        let no_claim_before = RefCell::new(node.now() + claim_pause);
        Self { lease_manager: RefCell::new(lease_manager), no_claim_before }
    }

    /// Returns the fencing token of the lease while this node may act as its holder.
    pub(crate) fn permit(&self, node: &NodeState) -> Option<FencingToken> {
        if node.phase() == NodePhase::Draining {
            return None;
        }
        self.lease_manager.borrow().permit(node.now(), FencingSupport::Ignored).ok()
    }

    /// Returns the holder identity to send with calls, while this node may act as holder.
    pub(crate) fn identity(&self, node: &NodeState) -> Option<HolderIdentity> {
        // The fencing token is a log offset and the first one is 0, which a receiver may take for a
        // missing token.
        let fencing = FencingToken(self.permit(node)?.0 + 1);
        Some(HolderIdentity { holder: node.settings.vm_name.clone(), fencing })
    }
}

/// Returns the time after losing the lease, or after a restart, during which a node must not claim
/// it.
pub(crate) fn claim_pause(node: &NodeState) -> Span {
    node.settings.promises.lease + LEASE_MARGIN
}
