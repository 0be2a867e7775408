//! Orders to the platform. The lease is checked again just before an order is written to the
//! connection.

use std::rc::Rc;

use authority::{
    LeaseScope, OrderAction, OrderId, OrderIntent, OrderKind, OrderResponse, PriceClass,
};
use base::FencingToken;
use clients::{CallFailure, SendPermit, UpstreamOrder, UpstreamOrders as _};

use crate::{control::Control, telemetry::log_event};

impl Control {
    /// Performs an action of a scope's order manager.
    pub(crate) fn perform_order(self: &Rc<Self>, scope: &LeaseScope, action: OrderAction) {
        match action {
            OrderAction::Append(record) => {
                if self.append_authority(scope, &record).is_err() {
                    self.with_scope(scope, |driver| {
                        driver.order_manager.append_refused(&record);
                        (Vec::new(), Vec::new())
                    });
                }
            }
            OrderAction::Send(intent) => {
                let (control, scope) = (Rc::clone(self), scope.clone());
                actix_rt::spawn(async move { control.send_order(scope, intent).await });
            }
            OrderAction::Query(id) => {
                let (control, scope) = (Rc::clone(self), scope.clone());
                actix_rt::spawn(async move { control.query_order(scope, id).await });
            }
            OrderAction::Voided(id) => {
                let detail =
                    String::from("voided and not sent: its intent took effect under a later lease");
                self.trace(id.to_string(), base::EventCode::OrderSettled, detail);
            }
            OrderAction::Settled(outcome) => {
                self.record_settled_order(&outcome);
                log_event!(
                    OrderSettled,
                    scope = %scope,
                    order = %outcome.id,
                    state = ?outcome.state,
                    upstreams = ?outcome.upstreams
                );
                let detail = format!("{:?}: {}", outcome.state, outcome.upstreams.join(", "));
                self.trace(outcome.id.to_string(), base::EventCode::OrderSettled, detail);
            }
        }
    }

    async fn send_order(self: Rc<Self>, scope: LeaseScope, intent: OrderIntent) {
        let Some(fencing) = self.order_permit(&scope, intent.id) else { return };
        let order = wire_order(&intent, fencing);
        // The call may wait for a connection first, so the lease is checked again just before the
        // request is written.
        let (control, checked_scope, id) = (Rc::clone(&self), scope.clone(), intent.id);
        let guarded =
            self.platform.guarded(move || match control.order_permit(&checked_scope, id) {
                Some(permitted) if permitted == fencing => SendPermit::Granted,
                _ => SendPermit::Denied,
            });
        let result = self.call_as_holder(&scope, guarded.place_order(&order)).await;
        if result.as_ref().is_err_and(|error| error.failure == CallFailure::Denied) {
            // The order was not sent and stays open. The order manager queries it after its
            // timeout, if this node then holds the lease.
            return;
        }
        log_event!(OrderIssued, scope = %scope, order = order.id, kind = ?order.kind);
        let detail = format!("{:?} of {} in {}", order.kind, order.service, order.zone);
        self.trace(order.id, base::EventCode::OrderIssued, detail);
        let response = match result {
            Ok(response) => order_response(response),
            Err(error) if error.failure == CallFailure::Status(409) => OrderResponse::FencingTooLow,
            Err(_) => OrderResponse::Lost,
        };
        self.handle_order_response(&scope, intent.id, response);
    }

    fn order_permit(&self, scope: &LeaseScope, id: OrderId) -> Option<FencingToken> {
        let now = self.now();
        let state = self.state();
        let driver = state.scopes.iter().find(|driver| driver.scope == *scope)?;
        driver.order_manager.permit(now, &driver.lease_manager, id).ok()
    }

    async fn query_order(self: Rc<Self>, scope: LeaseScope, id: OrderId) {
        let response = match self.platform.find_order(&id.to_string()).await {
            Ok(Some(response)) => order_response(response),
            Ok(None) => OrderResponse::NotFound,
            Err(_) => OrderResponse::Lost,
        };
        self.handle_order_response(&scope, id, response);
    }

    fn handle_order_response(
        self: &Rc<Self>,
        scope: &LeaseScope,
        id: OrderId,
        response: OrderResponse,
    ) {
        let now = self.now();
        self.with_scope(scope, |driver| {
            let actions = driver
                .order_manager
                .handle_response(now, &driver.lease_manager, id, response)
                .into_vec();
            (Vec::new(), actions)
        });
    }
}

fn wire_order(intent: &OrderIntent, fencing: FencingToken) -> UpstreamOrder {
    let kind = match &intent.kind {
        OrderKind::Start { count, price: price_class } => {
            clients::OrderKind::Start { count: *count, cheap: *price_class == PriceClass::Cheap }
        }
        OrderKind::Stop { upstream } => clients::OrderKind::Stop { upstream: upstream.clone() },
    };
    let zone = match &intent.scope {
        LeaseScope::Zone(name) => name.clone(),
        other => other.to_string(),
    };
    UpstreamOrder {
        id: intent.id.to_string(),
        zone,
        service: intent.service.clone(),
        kind,
        fencing,
    }
}

fn order_response(response: clients::OrderInfo) -> OrderResponse {
    let state = match response.state {
        clients::OrderState::Accepted => authority::OrderState::Accepted,
        clients::OrderState::Done => authority::OrderState::Done,
        clients::OrderState::Refused => authority::OrderState::Refused,
    };
    OrderResponse::State { state, upstreams: response.upstreams }
}
