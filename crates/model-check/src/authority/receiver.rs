//! The platform as a receiver of orders.

use authority::{AuthorityRecord, FencingSupport, OrderId, OrderIntent, OrderResponse, OrderState};
use base::{FencingToken, Moment};

use super::{
    AuthorityModel, AuthorityState, FENCED, GuardedSteps, ONE_EFFECT, RECONCILED, TRUE_OUTCOME,
};

/// An order under way to the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WireOrder {
    pub(crate) intent: OrderIntent,
    pub(crate) fencing: FencingToken,
    /// Latest arrival.
    pub(crate) due: Moment,
}

/// Receiver of orders with what the invariants need to know of its past.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderReceiver {
    /// What it does with fencing numbers.
    pub support: FencingSupport,
    /// Highest fencing number of an accepted order.
    pub highest: FencingToken,
    /// Accepted orders with their fencing numbers, in order of arrival.
    pub accepted: Vec<(OrderId, FencingToken)>,
    /// Newest lease under which a new order was decided on.
    pub(crate) newest_decision: FencingToken,
}

impl OrderReceiver {
    pub(crate) const fn new(support: FencingSupport) -> Self {
        let zero = FencingToken(0);
        Self { support, highest: zero, accepted: Vec::new(), newest_decision: zero }
    }

    /// Tells whether the order has taken effect.
    #[must_use]
    pub fn has_carried_out(&self, id: OrderId) -> bool {
        self.accepted.iter().any(|(accepted, _)| *accepted == id)
    }

    pub(crate) fn state(&self, id: OrderId) -> OrderResponse {
        if self.has_carried_out(id) { accepted() } else { OrderResponse::NotFound }
    }
}

const fn accepted() -> OrderResponse {
    OrderResponse::State { state: OrderState::Accepted, upstreams: Vec::new() }
}

impl<G: GuardedSteps> AuthorityModel<G> {
    /// Carries out an order and returns the receiver's answer.
    pub(crate) fn receive(
        &self,
        state: &mut AuthorityState,
        intent: &OrderIntent,
        fencing: FencingToken,
    ) -> OrderResponse {
        if !self.steps.accepts(&state.receiver, fencing) {
            return OrderResponse::FencingTooLow;
        }
        let is_older = fencing < state.receiver.highest;
        if is_older {
            state.broken = state.broken.or(Some(FENCED));
        }
        state.receiver.highest = state.receiver.highest.max(fencing);
        if self.steps.recognises(&state.receiver, intent.id) {
            return accepted();
        }
        let is_refused = state.log.iter().any(|record| {
            matches!(&**record, AuthorityRecord::Outcome(outcome)
                if outcome.id == intent.id && outcome.state == OrderState::Refused)
        });
        let broken = if state.receiver.has_carried_out(intent.id) {
            Some(ONE_EFFECT)
        } else if is_refused {
            Some(TRUE_OUTCOME)
        } else if intent.fencing < state.receiver.newest_decision {
            Some(RECONCILED)
        } else {
            None
        };
        state.broken = state.broken.or(broken);
        state.receiver.accepted.push((intent.id, fencing));
        accepted()
    }
}
