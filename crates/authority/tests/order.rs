//! Checks of [`OrderManager`].

use authority::{
    AuthorityRecord, FencingSupport, LeaseAction, LeaseClaim, LeaseManager, LeaseRole, LeaseScope,
    LeaseSettings, OrderAction, OrderId, OrderIntent, OrderKind, OrderManager, OrderOutcome,
    OrderRefusal, OrderRequest, OrderResponse, OrderSettings, OrderState, PermitDenial, PriceClass,
};
use base::{FencingToken, Incarnation, LogOffset, Moment, Span};
use rstest::rstest;

const OWN_PROCESS: Incarnation = Incarnation(1);
const OTHER_PROCESS: Incarnation = Incarnation(2);
const INHERITED_ORDER: OrderId = OrderId { issuer: OTHER_PROCESS, number: 1 };

fn at(secs: u64) -> Moment {
    Moment(0) + Span::from_secs(secs)
}

fn scope() -> LeaseScope {
    LeaseScope::Zone("hobart-a".to_owned())
}

/// One process, with the offset of the record that it reads next.
struct Process {
    lease_manager: LeaseManager,
    order_manager: OrderManager,
    next: LogOffset,
}

impl Process {
    fn new(fencing_support: FencingSupport) -> Self {
        let settings = LeaseSettings::default();
        let mut lease_manager =
            LeaseManager::new(settings, scope(), OWN_PROCESS, LeaseRole::Candidate);
        lease_manager.restart_from(at(0), LogOffset(0));
        let settings = OrderSettings { fencing_support, ..OrderSettings::default() };
        Self {
            lease_manager,
            order_manager: OrderManager::new(settings, scope(), OWN_PROCESS),
            next: LogOffset(0),
        }
    }

    fn read(&mut self, now: Moment, record: &AuthorityRecord) -> Vec<OrderAction> {
        self.lease_manager.read(now, self.next, record);
        self.next = self.next.next();
        self.order_manager.read(now, &self.lease_manager, record).to_vec()
    }

    fn acquire(&mut self, now: Moment) -> FencingToken {
        let actions = self.lease_manager.tick(now);
        let [LeaseAction::Append(claim)] = actions.as_slice() else { panic!("{actions:?}") };
        self.read(now, claim);
        self.lease_manager.held_token(now).expect("the claim is valid")
    }

    fn order(&mut self, now: Moment) -> Result<(OrderId, AuthorityRecord), OrderRefusal> {
        let kind = OrderKind::Start { count: 1, price: PriceClass::Regular };
        let request = OrderRequest { service: "draft-models".to_owned(), kind };
        match self.order_manager.submit(now, &self.lease_manager, request)? {
            (id, OrderAction::Append(record)) => Ok((id, record)),
            (_, action) => panic!("unexpected {action:?}"),
        }
    }

    fn tick(&mut self, now: Moment) -> Vec<OrderAction> {
        self.order_manager.tick(now, &self.lease_manager).to_vec()
    }

    fn respond(&mut self, now: Moment, id: OrderId, response: OrderResponse) -> Vec<OrderAction> {
        self.order_manager.handle_response(now, &self.lease_manager, id, response).to_vec()
    }
}

fn state(state: OrderState) -> OrderResponse {
    OrderResponse::State { state, upstreams: vec!["draft-models-3".to_owned()] }
}

/// Builds a process that has taken over the lease from another process, which left an intent
/// without outcome. Returns it with the time of the acquisition and the intent.
fn successor(fencing_support: FencingSupport) -> (Process, Moment, OrderIntent) {
    let mut process = Process::new(fencing_support);
    let claim = LeaseClaim {
        scope: scope(),
        holder: OTHER_PROCESS,
        attempt: 1,
        term: Span::from_secs(10),
        clear_from: LogOffset(0),
    };
    process.read(at(0), &AuthorityRecord::Claim(claim));
    let intent = OrderIntent {
        id: INHERITED_ORDER,
        scope: scope(),
        service: "draft-models".to_owned(),
        kind: OrderKind::Start { count: 1, price: PriceClass::Regular },
        fencing: FencingToken(0),
    };
    assert!(process.read(at(1), &AuthorityRecord::Intent(intent.clone())).is_empty());
    let now = at(15);
    process.acquire(now);
    (process, now, intent)
}

/// Guards against an order that is sent before its intent is in the log, and against an order that
/// is settled before its outcome is in the log.
#[test]
fn an_order_goes_from_intent_through_sending_to_outcome() {
    let mut process = Process::new(FencingSupport::Checked);
    assert_eq!(process.order(at(0)), Err(OrderRefusal::NotHeld));
    let fencing = process.acquire(at(0));
    let (id, intent) = process.order(at(1)).expect("the lease is held");
    assert!(process.tick(at(1)).is_empty());
    let early = process.order_manager.permit(at(1), &process.lease_manager, id);
    assert_eq!(early, Err(PermitDenial::NotWaiting), "the intent is not yet read back");
    let actions = process.read(at(2), &intent);
    assert!(matches!(actions.as_slice(), [OrderAction::Send(intent)] if intent.id == id));
    assert_eq!(process.order_manager.permit(at(2), &process.lease_manager, id), Ok(fencing));
    let actions = process.respond(at(3), id, state(OrderState::Accepted));
    let [OrderAction::Append(outcome)] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(process.order_manager.open_orders(), 1);
    let actions = process.read(at(3), outcome);
    assert!(matches!(actions.as_slice(), [OrderAction::Settled(_)]));
    assert_eq!(process.order_manager.open_orders(), 0);
}

/// Guards against a second order while the outcome of the first is unknown because its response was
/// lost.
#[test]
fn a_lost_response_is_queried() {
    let mut process = Process::new(FencingSupport::Checked);
    process.acquire(at(0));
    let (id, intent) = process.order(at(0)).expect("the lease is held");
    process.read(at(0), &intent);
    assert_eq!(process.order_manager.next_deadline(at(0), &process.lease_manager), Some(at(3)));
    assert_eq!(process.tick(at(3)), [OrderAction::Query(id)]);
    assert_eq!(process.order(at(3)), Err(OrderRefusal::OutcomeUnknown(id)));
    assert!(process.respond(at(4), id, OrderResponse::Lost).is_empty());
    assert_eq!(process.tick(at(5)), [OrderAction::Query(id)], "queried again after 1 s");
    let actions = process.respond(at(5), id, OrderResponse::NotFound);
    assert!(matches!(actions.as_slice(), [OrderAction::Send(intent)] if intent.id == id));
    assert_eq!(process.order(at(5)), Err(OrderRefusal::OutcomeUnknown(id)));
    process.respond(at(6), id, state(OrderState::Done));
    assert!(process.order(at(6)).is_ok());
}

/// Guards against a successor that submits new orders before it knows the outcome of the orders of
/// the former holder.
#[rstest]
#[case::known(FencingSupport::Checked, Some(OrderState::Accepted))]
#[case::refused(FencingSupport::Checked, Some(OrderState::Refused))]
#[case::not_found(FencingSupport::Checked, None)]
#[case::not_found_ignored(FencingSupport::Ignored, None)]
fn a_successor_reconciles_inherited_orders(
    #[case] fencing_support: FencingSupport,
    #[case] known: Option<OrderState>,
) {
    let (mut process, now, intent) = successor(fencing_support);
    assert_eq!(process.order(now), Err(OrderRefusal::OutcomeUnknown(INHERITED_ORDER)));
    assert_eq!(process.order_manager.open_orders(), 1);
    let actions = match known {
        Some(known) => process.respond(now, INHERITED_ORDER, state(known)),
        None => {
            let mut sent = process.respond(now, INHERITED_ORDER, OrderResponse::NotFound);
            if fencing_support == FencingSupport::Ignored {
                assert!(sent.is_empty(), "the order was sent within the extra wait");
                let from = process
                    .order_manager
                    .next_deadline(now, &process.lease_manager)
                    .expect("the extra wait has an end");
                assert_eq!(from, at(45), "the extra wait must end 30 s after the acquisition");
                let (lease_manager, _) = with_renewals(&process.lease_manager, process.next, from);
                process.lease_manager = lease_manager;
                sent = process.tick(from);
            }
            assert_eq!(
                sent,
                [OrderAction::Send(intent)],
                "the same order must be sent under the same id"
            );
            let now = if fencing_support == FencingSupport::Ignored { at(45) } else { now };
            process.respond(now, INHERITED_ORDER, state(OrderState::Accepted))
        }
    };
    let [OrderAction::Append(AuthorityRecord::Outcome(outcome))] = actions.as_slice() else {
        panic!("{actions:?}")
    };
    assert_eq!((outcome.id, outcome.fencing), (INHERITED_ORDER, FencingToken(2)));
    assert_eq!(process.order_manager.unknown_outcome(), None);
}

/// Renews the lease of a copy of `lease_manager` until it lasts to `until`. Returns the copy and
/// the offset of the next record.
fn with_renewals(
    lease_manager: &LeaseManager,
    next: LogOffset,
    until: Moment,
) -> (LeaseManager, LogOffset) {
    let (mut lease_manager, mut next) = (lease_manager.clone(), next);
    while lease_manager.held_token(until).is_none() {
        let now = lease_manager.next_deadline().expect("a renewal is due");
        for action in lease_manager.tick(now) {
            let LeaseAction::Append(record) = action else { panic!("{action:?}") };
            lease_manager.read(now, next, &record);
            next = next.next();
        }
    }
    (lease_manager, next)
}

/// Guards against an effect of a former holder's records that reach the log after its successor's
/// claim.
#[test]
fn records_of_a_former_holder_are_void() {
    let (mut process, now, intent) = successor(FencingSupport::Checked);
    let late = OrderId { issuer: OTHER_PROCESS, number: 2 };
    process.read(now, &AuthorityRecord::Intent(OrderIntent { id: late, ..intent }));
    assert_eq!(process.order_manager.open_orders(), 1, "the late intent must not open an order");
    let outcome = OrderOutcome {
        id: INHERITED_ORDER,
        scope: scope(),
        fencing: FencingToken(0),
        state: OrderState::Refused,
        upstreams: Vec::new(),
    };
    process.read(now, &AuthorityRecord::Outcome(outcome));
    assert_eq!(process.order_manager.unknown_outcome(), Some(INHERITED_ORDER));
}

/// Guards against an order that is sent although its intent reached the log after another process's
/// claim.
#[test]
fn an_order_with_a_late_intent_is_not_sent() {
    let mut process = Process::new(FencingSupport::Checked);
    process.acquire(at(0));
    let (id, intent) = process.order(at(1)).expect("the lease is held");
    let claim = LeaseClaim {
        scope: scope(),
        holder: OTHER_PROCESS,
        attempt: 1,
        term: Span::from_secs(10),
        clear_from: LogOffset(1),
    };
    process.read(at(2), &AuthorityRecord::Claim(claim));
    assert_eq!(process.read(at(2), &intent), [OrderAction::Voided(id)]);
    assert_eq!(process.order_manager.open_orders(), 0);
}

/// Guards against an order that stays open, or an outcome that is lost, when the log writer's
/// buffer is full.
#[test]
fn refused_appends_are_dropped_or_repeated() {
    let mut process = Process::new(FencingSupport::Checked);
    process.acquire(at(0));
    let (_, dropped) = process.order(at(0)).expect("the lease is held");
    process.order_manager.append_refused(&dropped);
    assert_eq!(process.order_manager.open_orders(), 0);
    let (id, intent) = process.order(at(0)).expect("the lease is held");
    process.read(at(0), &intent);
    let actions = process.respond(at(1), id, state(OrderState::Done));
    let [OrderAction::Append(outcome)] = actions.as_slice() else { panic!("{actions:?}") };
    process.order_manager.append_refused(outcome);
    assert_eq!(process.tick(at(1)), actions, "the outcome must be appended again");
    assert!(process.tick(at(1)).is_empty());
}
