//! Orders to the platform, checked against the lease as the last step before each is written.

use std::rc::Rc;

use authority::{DeskAction, OrderAnswer, OrderId, OrderIntent, OrderKind, PriceClass, Scope};
use base::FencingNumber;
use clients::{CallFailure, UpstreamOrder, UpstreamOrders as _};

use crate::{control::Control, telemetry::log_event};

impl Control {
    pub(crate) fn perform_order(self: &Rc<Self>, scope: &Scope, action: DeskAction) {
        match action {
            DeskAction::Append(record) => {
                if self.append_authority(scope, &record).is_err() {
                    self.with_scope(scope, |driver| {
                        driver.desk.append_refused(&record);
                        (Vec::new(), Vec::new())
                    });
                }
            }
            DeskAction::Send(intent) => {
                let (control, scope) = (Rc::clone(self), scope.clone());
                actix_rt::spawn(async move { control.send_order(scope, intent).await });
            }
            DeskAction::Ask(id) => {
                let (control, scope) = (Rc::clone(self), scope.clone());
                actix_rt::spawn(async move { control.ask_order(scope, id).await });
            }
            DeskAction::Voided(id) => {
                let detail = String::from("void: its intent took effect under a later lease");
                self.trace(id.to_string(), base::EventCode::OrderSettled, detail);
            }
            DeskAction::Settled(outcome) => {
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

    async fn send_order(self: Rc<Self>, scope: Scope, intent: OrderIntent) {
        // Nothing may come between this check and the call that writes the order.
        let permit = {
            let now = self.now();
            let state = self.state();
            let found = state.scopes.iter().find(|driver| driver.scope == scope);
            found.and_then(|driver| driver.desk.permit(now, &driver.keeper, intent.id).ok())
        };
        let Some(fencing) = permit else { return };
        let order = wire_order(&intent, fencing);
        let result = self.platform.place_order(&order).await;
        log_event!(OrderIssued, scope = %scope, order = order.id, kind = ?order.kind);
        let detail = format!("{:?} of {} in {}", order.kind, order.service, order.zone);
        self.trace(order.id, base::EventCode::OrderIssued, detail);
        let answer = match result {
            Ok(answer) => answer_of(answer),
            Err(error) if error.failure == CallFailure::Status(409) => OrderAnswer::FencingTooLow,
            Err(_) => OrderAnswer::Lost,
        };
        self.order_answered(&scope, intent.id, answer);
    }

    async fn ask_order(self: Rc<Self>, scope: Scope, id: OrderId) {
        let answer = match self.platform.find_order(&id.to_string()).await {
            Ok(Some(answer)) => answer_of(answer),
            Ok(None) => OrderAnswer::NotFound,
            Err(_) => OrderAnswer::Lost,
        };
        self.order_answered(&scope, id, answer);
    }

    fn order_answered(self: &Rc<Self>, scope: &Scope, id: OrderId, answer: OrderAnswer) {
        let now = self.now();
        self.with_scope(scope, |driver| {
            let actions = driver.desk.answer(now, &driver.keeper, id, answer).into_vec();
            (Vec::new(), actions)
        });
    }
}

fn wire_order(intent: &OrderIntent, fencing: FencingNumber) -> UpstreamOrder {
    let kind = match &intent.kind {
        OrderKind::Start { count, price } => {
            clients::OrderKind::Start { count: *count, cheap: *price == PriceClass::Cheap }
        }
        OrderKind::Stop { upstream } => clients::OrderKind::Stop { upstream: upstream.clone() },
    };
    let zone = match &intent.scope {
        Scope::Zone(name) => name.clone(),
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

fn answer_of(answer: clients::OrderAnswer) -> OrderAnswer {
    let state = match answer.state {
        clients::OrderState::Accepted => authority::OrderState::Accepted,
        clients::OrderState::Done => authority::OrderState::Done,
        clients::OrderState::Refused => authority::OrderState::Refused,
    };
    OrderAnswer::State { state, upstreams: answer.upstreams }
}
