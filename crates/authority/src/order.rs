//! Upstream orders of one scope, from intent to outcome.

use std::{collections::BTreeMap, fmt};

use base::{FencingToken, Incarnation, Moment, Span, derive_copy, derive_value};
use smallvec::{SmallVec, smallvec};

use crate::{
    AuthorityRecord, FencingSupport, LeaseManager, LeaseScope, OrderId, OrderIntent, OrderKind,
    OrderOutcome, OrderState, PermitDenial,
};

derive_copy! {
    /// Times of an [`OrderManager`] and the nature of the platform as a receiver of orders.
    pub struct OrderSettings {
        /// Time without an answer after which the outcome of a request is unknown.
        pub order_timeout: Span,
        /// Wait before the platform is asked again after it could not tell the state of an order.
        pub query_retry_delay: Span,
        /// What the platform does with fencing numbers.
        pub fencing_support: FencingSupport,
    }

    /// Why a new order was not taken.
    pub enum OrderRefusal {
        /// This process does not hold the lease of the scope.
        NotHeld,
        /// The outcome of this order must be known first.
        OutcomeUnknown(OrderId),
    }

    enum OrderStage {
        /// The intent was handed to the driver and is not read back.
        IntentPending,
        /// To be sent as soon as the lease permits it.
        SendDue,
        /// Handed to the driver to be written.
        Sent { deadline: Moment },
        /// The platform is to be asked for the order.
        QueryDue { at: Moment },
        /// The platform was asked for the order.
        Querying { deadline: Moment },
        /// The outcome is known, and its record is not read back.
        OutcomePending,
    }

    enum Effect {
        /// No attempt of the order can have reached the platform, or its answer is still awaited.
        Traced,
        /// An attempt may have reached the platform without an answer.
        Untraced,
    }
}

derive_value! {
    /// A new order.
    pub struct OrderRequest {
        /// Service of the upstreams.
        pub service: String,
        /// What is asked for.
        pub kind: OrderKind,
    }

    /// A request of the desk to its driver.
    pub enum OrderAction {
        /// Append the record to the stream of the scope.
        Append(AuthorityRecord),
        /// Call [`OrderManager::permit`] with the present time and, when it permits, write the order
        /// at once with the number that it returned.
        Send(OrderIntent),
        /// Ask the platform for the state of the order.
        Query(OrderId),
        /// The outcome of an order is in the log.
        Settled(OrderOutcome),
        /// The intent of an own order took effect under a later lease. The order was never sent and
        /// is forgotten.
        Voided(OrderId),
    }

    /// What a request to the platform brought.
    pub enum OrderResponse {
        /// The platform stated the outcome.
        State {
            /// State of the order.
            state: OrderState,
            /// Names of the upstreams concerned.
            upstreams: Vec<String>,
        },
        /// The platform has no order of this id. Only an answer to [`OrderAction::Query`].
        NotFound,
        /// The platform has seen a higher fencing number.
        FencingTooLow,
        /// No answer, or one that does not tell the state.
        Lost,
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OpenOrder {
    intent: OrderIntent,
    stage: OrderStage,
    effect: Effect,
    /// Kept until its record is read back, to append it again if the writer refused it.
    outcome: Option<OrderOutcome>,
}

/// Takes the orders of one scope through intent, sending and outcome.
///
/// Every process of the scope follows the records. The holder of the lease first learns what became
/// of the open orders of earlier holders: it asks the platform for each by its id, and sends an
/// order that the platform does not know again under the same id. An order that was only delayed
/// on its way then has no second effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderManager {
    settings: OrderSettings,
    scope: LeaseScope,
    incarnation: Incarnation,
    last_number: u64,
    /// Lease under which the open orders were last examined.
    tenure: Option<FencingToken>,
    open: BTreeMap<OrderId, OpenOrder>,
}

impl OrderManager {
    /// Creates a desk without open orders.
    #[must_use]
    pub const fn new(settings: OrderSettings, scope: LeaseScope, incarnation: Incarnation) -> Self {
        Self { settings, scope, incarnation, last_number: 0, tenure: None, open: BTreeMap::new() }
    }

    /// Takes a new order and asks for its intent to be appended.
    ///
    /// # Errors
    ///
    /// Refuses while this process does not hold the lease or the outcome of any order is unknown.
    pub fn submit(
        &mut self,
        now: Moment,
        lease_manager: &LeaseManager,
        request: OrderRequest,
    ) -> Result<(OrderId, OrderAction), OrderRefusal> {
        let Some(fencing) = lease_manager.held_token(now) else {
            return Err(OrderRefusal::NotHeld);
        };
        self.examine(now, fencing);
        if let Some(id) = self.unknown_outcome() {
            return Err(OrderRefusal::OutcomeUnknown(id));
        }
        self.last_number += 1;
        let id = OrderId { issuer: self.incarnation, number: self.last_number };
        let OrderRequest { service, kind } = request;
        let intent = OrderIntent { id, scope: self.scope.clone(), service, kind, fencing };
        let open = OpenOrder {
            intent: intent.clone(),
            stage: OrderStage::IntentPending,
            effect: Effect::Traced,
            outcome: None,
        };
        self.open.insert(id, open);
        Ok((id, OrderAction::Append(AuthorityRecord::Intent(intent))))
    }

    /// Takes the next record of the stream, after the keeper has read it.
    pub fn read(
        &mut self,
        now: Moment,
        lease_manager: &LeaseManager,
        record: &AuthorityRecord,
    ) -> SmallVec<[OrderAction; 4]> {
        let mut actions = SmallVec::new();
        if *record.scope() != self.scope {
            return actions;
        }
        match record {
            AuthorityRecord::Intent(intent) => {
                actions.extend(self.on_intent(now, lease_manager, intent));
            }
            AuthorityRecord::Outcome(outcome) if lease_manager.is_superseded(outcome.fencing) => {}
            AuthorityRecord::Outcome(outcome) => {
                if self.open.remove(&outcome.id).is_some() {
                    actions.push(OrderAction::Settled(outcome.clone()));
                }
            }
            AuthorityRecord::Claim(_)
            | AuthorityRecord::Renewal(_)
            | AuthorityRecord::Release(_) => {}
        }
        actions.extend(self.tick(now, lease_manager));
        actions
    }

    /// Sends and asks what is due, while this process holds the lease.
    pub fn tick(
        &mut self,
        now: Moment,
        lease_manager: &LeaseManager,
    ) -> SmallVec<[OrderAction; 4]> {
        let mut actions = SmallVec::new();
        let Some(fencing) = lease_manager.held_token(now) else { return actions };
        self.examine(now, fencing);
        let settings = self.settings;
        let may_send = lease_manager.permit(now, settings.fencing_support).is_ok();
        for (id, open) in &mut self.open {
            match open.stage {
                OrderStage::Sent { deadline } | OrderStage::Querying { deadline }
                    if deadline <= now =>
                {
                    open.lose_track(now);
                }
                _ => {}
            }
            match open.stage {
                OrderStage::SendDue if may_send => {
                    open.stage = OrderStage::Sent { deadline: now + settings.order_timeout };
                    actions.push(OrderAction::Send(open.intent.clone()));
                }
                OrderStage::QueryDue { at } if at <= now => {
                    open.stage = OrderStage::Querying { deadline: now + settings.order_timeout };
                    actions.push(OrderAction::Query(*id));
                }
                OrderStage::OutcomePending => actions.extend(open.unappended_outcome()),
                _ => {}
            }
        }
        actions
    }

    /// Checks the clock for one order. This is the last step before the order is written: the
    /// driver reads its monotonic clock, calls this, and writes at once.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be written. It stays open and is sent or asked for later.
    pub fn permit(
        &self,
        now: Moment,
        lease_manager: &LeaseManager,
        id: OrderId,
    ) -> Result<FencingToken, PermitDenial> {
        let fencing = lease_manager.permit(now, self.settings.fencing_support)?;
        match self.open.get(&id) {
            Some(OpenOrder { stage: OrderStage::Sent { deadline }, .. })
                if now < *deadline && self.tenure == Some(fencing) =>
            {
                Ok(fencing)
            }
            _ => Err(PermitDenial::NotWaiting),
        }
    }

    /// Takes the answer to [`OrderAction::Send`] or [`OrderAction::Query`].
    pub fn answer(
        &mut self,
        now: Moment,
        lease_manager: &LeaseManager,
        id: OrderId,
        response: OrderResponse,
    ) -> SmallVec<[OrderAction; 4]> {
        let Some(fencing) = lease_manager.held_token(now) else { return SmallVec::new() };
        self.examine(now, fencing);
        let Some(open) = self.open.get_mut(&id) else { return SmallVec::new() };
        if matches!(open.stage, OrderStage::IntentPending | OrderStage::OutcomePending) {
            return SmallVec::new();
        }
        match response {
            OrderResponse::State { state, upstreams } => {
                let scope = self.scope.clone();
                let outcome = OrderOutcome { id, scope, fencing, state, upstreams };
                open.stage = OrderStage::OutcomePending;
                open.effect = Effect::Traced;
                open.outcome = None;
                return smallvec![OrderAction::Append(AuthorityRecord::Outcome(outcome))];
            }
            OrderResponse::NotFound if matches!(open.stage, OrderStage::Querying { .. }) => {
                open.stage = OrderStage::SendDue;
            }
            OrderResponse::NotFound => {}
            OrderResponse::FencingTooLow | OrderResponse::Lost => {
                open.lose_track(now + self.settings.query_retry_delay);
            }
        }
        self.tick(now, lease_manager)
    }

    /// Records that the writer did not take a record that [`OrderAction::Append`] asked for. An
    /// intent is forgotten, since it was never sent; an outcome is appended by a later tick.
    pub fn append_refused(&mut self, record: &AuthorityRecord) {
        match record {
            AuthorityRecord::Intent(intent) => {
                self.open.remove(&intent.id);
            }
            AuthorityRecord::Outcome(outcome) => {
                if let Some(open) = self.open.get_mut(&outcome.id) {
                    open.outcome = Some(outcome.clone());
                }
            }
            AuthorityRecord::Claim(_)
            | AuthorityRecord::Renewal(_)
            | AuthorityRecord::Release(_) => {}
        }
    }

    /// Returns the first order whose outcome is unknown. No new order is taken while there is one.
    #[must_use]
    pub fn unknown_outcome(&self) -> Option<OrderId> {
        self.open.iter().find(|(_, open)| open.effect == Effect::Untraced).map(|(id, _)| *id)
    }

    /// Returns the number of orders without an outcome in the log.
    #[must_use]
    pub fn open_orders(&self) -> usize {
        self.open.len()
    }

    /// Returns when [`OrderManager::tick`] next has something to do, or `None` while this process does
    /// not hold the lease or waits only for the log.
    #[must_use]
    pub fn next_deadline(&self, now: Moment, lease_manager: &LeaseManager) -> Option<Moment> {
        let fencing = lease_manager.held_token(now)?;
        if self.tenure != Some(fencing) && !self.open.is_empty() {
            return Some(now);
        }
        let mut earliest: Option<Moment> = None;
        for open in self.open.values() {
            let deadline = match open.stage {
                OrderStage::Sent { deadline } | OrderStage::Querying { deadline } => deadline,
                OrderStage::QueryDue { at } => at,
                OrderStage::SendDue => {
                    match lease_manager.permit(now, self.settings.fencing_support) {
                        Err(PermitDenial::ExtraWait(until)) => until,
                        _ => now,
                    }
                }
                OrderStage::OutcomePending if open.outcome.is_some() => now,
                OrderStage::IntentPending | OrderStage::OutcomePending => continue,
            };
            earliest = Some(earliest.map_or(deadline, |earliest| earliest.min(deadline)));
        }
        earliest
    }

    /// Under a new lease, nothing that was asked or sent before counts.
    fn examine(&mut self, now: Moment, fencing: FencingToken) {
        if self.tenure == Some(fencing) {
            return;
        }
        self.tenure = Some(fencing);
        for open in self.open.values_mut() {
            if open.stage != OrderStage::IntentPending {
                open.outcome = None;
                open.lose_track(now);
            }
        }
    }

    fn on_intent(
        &mut self,
        now: Moment,
        lease_manager: &LeaseManager,
        intent: &OrderIntent,
    ) -> Option<OrderAction> {
        if lease_manager.is_superseded(intent.fencing) {
            if self.open.get(&intent.id)?.stage != OrderStage::IntentPending {
                return None;
            }
            self.open.remove(&intent.id);
            return Some(OrderAction::Voided(intent.id));
        }
        let held = lease_manager.held_token(now);
        let open = self.open.entry(intent.id).or_insert_with(|| OpenOrder {
            intent: intent.clone(),
            stage: OrderStage::QueryDue { at: now },
            effect: Effect::Untraced,
            outcome: None,
        });
        if open.stage != OrderStage::IntentPending {
            return None;
        }
        if held == Some(intent.fencing) {
            open.stage = OrderStage::SendDue;
        } else {
            open.lose_track(now);
        }
        None
    }
}

impl OpenOrder {
    fn lose_track(&mut self, ask_at: Moment) {
        self.stage = OrderStage::QueryDue { at: ask_at };
        self.effect = Effect::Untraced;
    }

    fn unappended_outcome(&mut self) -> Option<OrderAction> {
        let outcome = self.outcome.take()?;
        Some(OrderAction::Append(AuthorityRecord::Outcome(outcome)))
    }
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            order_timeout: Span::from_secs(3),
            query_retry_delay: Span::from_secs(1),
            fencing_support: FencingSupport::Checked,
        }
    }
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotHeld => f.write_str("this process does not hold the lease of the scope"),
            Self::OutcomeUnknown(id) => write!(f, "the outcome of order {id} is unknown"),
        }
    }
}

impl std::error::Error for OrderRefusal {}
