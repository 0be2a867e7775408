//! The fleet lease as the tasks of this node use it. Its holder orders weight loads and reports
//! usage.

use std::cell::RefCell;

use authority::{CallEnd, FencingSupport, LeaseManager, LeaseRole, LeaseScope, LeaseSettings};
use base::{FencingToken, Moment, Span};
use clients::CallError;
use platform::HolderIdentity;

use crate::{
    gateway::node::NodeState,
    shared::{NodePhase, call_end},
};

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

/// A call that only the lease holder may make. One that is dropped without
/// [`finish`](Self::finish) counts as unanswered.
pub(crate) struct HolderCall<'a> {
    /// Identity to send with the call.
    pub(crate) identity: HolderIdentity,
    node: &'a NodeState,
    holder: &'a LeaseHolder,
    end: CallEnd,
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

    /// Begins a call that only the holder may make, while this node may act as holder. The lease is
    /// not released while the call may still arrive.
    pub(crate) fn begin_call<'a>(&'a self, node: &'a NodeState) -> Option<HolderCall<'a>> {
        // The fencing token is a log offset and the first one is 0, which a receiver may take for a
        // missing token.
        let fencing = FencingToken(self.permit(node)?.0 + 1);
        let identity = HolderIdentity { holder: node.settings.vm_name.clone(), fencing };
        self.lease_manager.borrow_mut().begin_call();
        Some(HolderCall { identity, node, holder: self, end: CallEnd::Unanswered })
    }
}

impl HolderCall<'_> {
    /// Records the result of the call. One without a response may still arrive.
    pub(crate) fn finish<T>(mut self, result: &Result<T, CallError>) {
        self.end = call_end(result);
    }
}

impl Drop for HolderCall<'_> {
    fn drop(&mut self) {
        self.holder.lease_manager.borrow_mut().end_call(self.node.now(), self.end);
    }
}

/// Returns the time after losing the lease, or after a restart, during which a node must not claim
/// it.
pub(crate) fn claim_pause(node: &NodeState) -> Span {
    node.settings.promises.lease + LEASE_MARGIN
}
