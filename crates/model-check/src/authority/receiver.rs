//! Receiver of orders, as the platform implements it.

use authority::{AuthorityRecord, FencingSupport, OrderId, OrderIntent, OrderResponse, OrderState};
use base::{FencingToken, Moment};

use super::{
    AuthorityGuards, AuthorityModel, AuthorityState, FENCED_ORDERS, ONE_EFFECT, RECONCILED,
    REFUSED_HAS_NO_EFFECT,
};

/// An order on its way to the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderInTransit {
    pub(crate) intent: OrderIntent,
    pub(crate) fencing: FencingToken,
    /// Latest time of arrival. The clock does not advance past it before the order arrives.
    pub(crate) due: Moment,
}

/// Receiver of orders, with the part of its history that the invariants refer to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderReceiver {
    /// Whether the receiver checks fencing tokens.
    pub fencing_support: FencingSupport,
    /// Highest fencing token of an accepted order.
    pub highest_token: FencingToken,
    /// Accepted orders with their fencing tokens, in order of arrival.
    pub accepted: Vec<(OrderId, FencingToken)>,
    /// Highest fencing token under which a new order was submitted.
    pub(crate) newest_submit_token: FencingToken,
}

impl OrderReceiver {
    pub(crate) const fn new(fencing_support: FencingSupport) -> Self {
        let zero = FencingToken(0);
        Self {
            fencing_support,
            highest_token: zero,
            accepted: Vec::new(),
            newest_submit_token: zero,
        }
    }

    /// Returns whether the order took effect.
    #[must_use]
    pub fn has_executed(&self, id: OrderId) -> bool {
        self.accepted.iter().any(|(accepted, _)| *accepted == id)
    }

    pub(crate) fn state(&self, id: OrderId) -> OrderResponse {
        if self.has_executed(id) { accepted() } else { OrderResponse::NotFound }
    }
}

const fn accepted() -> OrderResponse {
    OrderResponse::State { state: OrderState::Accepted, upstreams: Vec::new() }
}

impl<G: AuthorityGuards> AuthorityModel<G> {
    /// Carries out an order unless its fencing token is refused or its id is known, and returns the
    /// receiver's response. Records the invariant that this violates, if any.
    pub(crate) fn receive(
        &self,
        state: &mut AuthorityState,
        intent: &OrderIntent,
        fencing: FencingToken,
    ) -> OrderResponse {
        if !self.guards.accepts(&state.receiver, fencing) {
            return OrderResponse::FencingTooLow;
        }
        let is_outdated = fencing < state.receiver.highest_token;
        if is_outdated {
            state.broken_invariant = state.broken_invariant.or(Some(FENCED_ORDERS));
        }
        state.receiver.highest_token = state.receiver.highest_token.max(fencing);
        if self.guards.is_duplicate(&state.receiver, intent.id) {
            return accepted();
        }
        let is_refused = state.log.iter().any(|record| {
            matches!(&**record, AuthorityRecord::Outcome(outcome)
                if outcome.id == intent.id && outcome.state == OrderState::Refused)
        });
        let broken = if state.receiver.has_executed(intent.id) {
            Some(ONE_EFFECT)
        } else if is_refused {
            Some(REFUSED_HAS_NO_EFFECT)
        } else if intent.fencing < state.receiver.newest_submit_token {
            Some(RECONCILED)
        } else {
            None
        };
        state.broken_invariant = state.broken_invariant.or(broken);
        state.receiver.accepted.push((intent.id, fencing));
        accepted()
    }
}
