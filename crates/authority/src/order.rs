//! Takes the upstream orders of one scope from intent to outcome.

use std::{collections::BTreeMap, fmt};

use base::{FencingToken, Incarnation, Moment, Span, derive_copy, derive_value};
use smallvec::{SmallVec, smallvec};

use crate::{
    AuthorityRecord, FencingSupport, LeaseManager, LeaseScope, OrderId, OrderIntent, OrderKind,
    OrderOutcome, OrderState, PermitDenial,
};

derive_copy! {
    /// Timeouts of an [`OrderManager`], and whether the platform checks fencing tokens.
    pub struct OrderSettings {
        /// Time without a response after which the outcome of a request counts as unknown.
        pub order_timeout: Span,
        /// Delay before the next query for an order whose state is unknown after the last response.
        pub query_retry_delay: Span,
        /// What the platform does with fencing tokens.
        pub fencing_support: FencingSupport,
    }

    /// Why a new order was not accepted.
    pub enum OrderRefusal {
        /// This process does not hold the lease of the scope.
        NotHeld,
        /// The outcome of this earlier order must be known first.
        OutcomeUnknown(OrderId),
    }

    enum OrderStage {
        /// The intent was passed to the driver and not yet read back from the log.
        IntentPending,
        /// The order will be sent as soon as the lease permits it.
        SendDue,
        /// The order was passed to the driver to be sent.
        Sent { deadline: Moment },
        /// The platform will be asked for the state of the order.
        QueryDue { at: Moment },
        /// The platform was asked for the state of the order.
        Querying { deadline: Moment },
        /// The outcome is known, and its record not yet read back from the log.
        OutcomePending,
    }

    /// Whether this process knows what the attempts of an order have done. While it is unknown for
    /// any order, no new order is accepted.
    enum EffectKnowledge {
        /// No attempt can have reached the platform, or its response is still awaited, or it has
        /// come.
        Known,
        /// An attempt may have reached the platform, and no response to it came.
        Unknown,
    }
}

derive_value! {
    /// A new order.
    pub struct OrderRequest {
        /// Service of the upstreams.
        pub service: String,
        /// What the order asks for.
        pub kind: OrderKind,
    }

    /// What the driver of an [`OrderManager`] has to do or know.
    pub enum OrderAction {
        /// Append the record to the stream of the scope.
        Append(AuthorityRecord),
        /// Call [`OrderManager::permit`] with the present time and, when it permits, send the order
        /// at once with the fencing token that it returned.
        Send(OrderIntent),
        /// Ask the platform for the state of the order.
        Query(OrderId),
        /// The outcome of an order is in the log.
        Settled(OrderOutcome),
        /// The intent of an order of this process reached the log under a later lease, so it is
        /// void. The order was not sent and is dropped.
        Voided(OrderId),
    }

    /// Result of a request to the platform.
    pub enum OrderResponse {
        /// The platform told the state of the order.
        State {
            /// State of the order.
            state: OrderState,
            /// Names of the upstreams concerned.
            upstreams: Vec<String>,
        },
        /// The platform knows no order of this id. Only a response to [`OrderAction::Query`].
        NotFound,
        /// The platform has seen a higher fencing token.
        FencingTooLow,
        /// No response came, or one that does not tell the state.
        Lost,
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OpenOrder {
    intent: OrderIntent,
    stage: OrderStage,
    effect: EffectKnowledge,
    /// Outcome whose record the log writer did not accept. The next tick appends it again.
    outcome: Option<OrderOutcome>,
}

/// Takes the orders of one scope from intent through sending to outcome.
///
/// Every process follows the records of the scope. A new holder of the lease first reconciles the
/// open orders of earlier holders: it queries the platform for each by its id, and sends an order
/// that the platform does not know again under the same id. Since the platform carries out one
/// order per id, a delayed request of the earlier holder then has no second effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderManager {
    settings: OrderSettings,
    scope: LeaseScope,
    incarnation: Incarnation,
    last_number: u64,
    /// Lease under which the stages of the open orders were set.
    staged_under: Option<FencingToken>,
    open: BTreeMap<OrderId, OpenOrder>,
}

impl OrderManager {
    /// Creates a manager without open orders.
    #[must_use]
    pub const fn new(settings: OrderSettings, scope: LeaseScope, incarnation: Incarnation) -> Self {
        Self {
            settings,
            scope,
            incarnation,
            last_number: 0,
            staged_under: None,
            open: BTreeMap::new(),
        }
    }

    /// Accepts a new order and returns its id with the action that appends its intent.
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
        self.requery_under_new_lease(now, fencing);
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
            effect: EffectKnowledge::Known,
            outcome: None,
        };
        self.open.insert(id, open);
        Ok((id, OrderAction::Append(AuthorityRecord::Intent(intent))))
    }

    /// Processes the next record of the stream, after `lease_manager` has read it.
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
                actions.extend(self.handle_intent(now, lease_manager, intent));
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

    /// Returns the orders to send, the queries and the outcome records that are due at `now`.
    /// Returns none while this process does not hold the lease.
    pub fn tick(
        &mut self,
        now: Moment,
        lease_manager: &LeaseManager,
    ) -> SmallVec<[OrderAction; 4]> {
        let mut actions = SmallVec::new();
        let Some(fencing) = lease_manager.held_token(now) else { return actions };
        self.requery_under_new_lease(now, fencing);
        let settings = self.settings;
        let may_send = lease_manager.permit(now, settings.fencing_support).is_ok();
        for (id, open) in &mut self.open {
            match open.stage {
                OrderStage::Sent { deadline } | OrderStage::Querying { deadline }
                    if deadline <= now =>
                {
                    open.schedule_query(now);
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
                OrderStage::OutcomePending => actions.extend(open.retry_outcome_append()),
                _ => {}
            }
        }
        actions
    }

    /// Checks whether one order may be sent at `now` and returns the fencing token that it carries.
    /// This is the last step before the order is sent: the driver reads its monotonic clock, calls
    /// this function and sends at once.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be sent. It stays open, and a later tick sends it or queries
    /// its state.
    pub fn permit(
        &self,
        now: Moment,
        lease_manager: &LeaseManager,
        id: OrderId,
    ) -> Result<FencingToken, PermitDenial> {
        let fencing = lease_manager.permit(now, self.settings.fencing_support)?;
        match self.open.get(&id) {
            Some(OpenOrder { stage: OrderStage::Sent { deadline }, .. })
                if now < *deadline && self.staged_under == Some(fencing) =>
            {
                Ok(fencing)
            }
            _ => Err(PermitDenial::NotWaiting),
        }
    }

    /// Processes the response to [`OrderAction::Send`] or [`OrderAction::Query`].
    pub fn handle_response(
        &mut self,
        now: Moment,
        lease_manager: &LeaseManager,
        id: OrderId,
        response: OrderResponse,
    ) -> SmallVec<[OrderAction; 4]> {
        let Some(fencing) = lease_manager.held_token(now) else { return SmallVec::new() };
        self.requery_under_new_lease(now, fencing);
        let Some(open) = self.open.get_mut(&id) else { return SmallVec::new() };
        if matches!(open.stage, OrderStage::IntentPending | OrderStage::OutcomePending) {
            return SmallVec::new();
        }
        match response {
            OrderResponse::State { state, upstreams } => {
                let scope = self.scope.clone();
                let outcome = OrderOutcome { id, scope, fencing, state, upstreams };
                open.stage = OrderStage::OutcomePending;
                open.effect = EffectKnowledge::Known;
                open.outcome = None;
                return smallvec![OrderAction::Append(AuthorityRecord::Outcome(outcome))];
            }
            OrderResponse::NotFound if matches!(open.stage, OrderStage::Querying { .. }) => {
                open.stage = OrderStage::SendDue;
            }
            OrderResponse::NotFound => {}
            OrderResponse::FencingTooLow | OrderResponse::Lost => {
                open.schedule_query(now + self.settings.query_retry_delay);
            }
        }
        self.tick(now, lease_manager)
    }

    /// Records that the log writer did not accept the record of an [`OrderAction::Append`]. The
    /// order of an intent is dropped, since it was never sent; an outcome is appended again by a
    /// later tick.
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

    /// Returns the first order whose outcome is unknown. No new order is accepted while there is
    /// one.
    #[must_use]
    pub fn unknown_outcome(&self) -> Option<OrderId> {
        self.open
            .iter()
            .find(|(_, open)| open.effect == EffectKnowledge::Unknown)
            .map(|(id, _)| *id)
    }

    /// Returns the number of orders without an outcome in the log.
    #[must_use]
    pub fn open_orders(&self) -> usize {
        self.open.len()
    }

    /// Returns when [`OrderManager::tick`] must be called next, or `None` while this process does
    /// not hold the lease or waits only for records of the log.
    #[must_use]
    pub fn next_deadline(&self, now: Moment, lease_manager: &LeaseManager) -> Option<Moment> {
        let fencing = lease_manager.held_token(now)?;
        if self.staged_under != Some(fencing) && !self.open.is_empty() {
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

    /// Schedules a query for every open order when `fencing` is a new lease: a request that was
    /// sent under an earlier lease may still take effect, and its response no longer counts.
    fn requery_under_new_lease(&mut self, now: Moment, fencing: FencingToken) {
        if self.staged_under == Some(fencing) {
            return;
        }
        self.staged_under = Some(fencing);
        for open in self.open.values_mut() {
            if open.stage != OrderStage::IntentPending {
                open.outcome = None;
                open.schedule_query(now);
            }
        }
    }

    fn handle_intent(
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
            effect: EffectKnowledge::Unknown,
            outcome: None,
        });
        if open.stage != OrderStage::IntentPending {
            return None;
        }
        if held == Some(intent.fencing) {
            open.stage = OrderStage::SendDue;
        } else {
            open.schedule_query(now);
        }
        None
    }
}

impl OpenOrder {
    fn schedule_query(&mut self, query_at: Moment) {
        self.stage = OrderStage::QueryDue { at: query_at };
        self.effect = EffectKnowledge::Unknown;
    }

    fn retry_outcome_append(&mut self) -> Option<OrderAction> {
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
            Self::NotHeld => f.write_str(
                "this process does not hold the lease of the scope, so it accepts no order",
            ),
            Self::OutcomeUnknown(id) => write!(
                f,
                "the outcome of order {id} is unknown; no new order is accepted before it is known"
            ),
        }
    }
}

impl std::error::Error for OrderRefusal {}
