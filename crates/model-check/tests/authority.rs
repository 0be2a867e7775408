//! Model checks of leases and orders.

use std::rc::Rc;

use authority::{
    AuthorityRecord, FencingSupport, LeaseScope, OrderId, OrderIntent, OrderManager, OrderResponse,
    OrderSettings, OrderState,
};
use base::{FencingToken, Incarnation, LogOffset, Moment, Span};
use model_check::{
    Specification,
    authority::{
        AuthorityModel, FENCED, GuardedSteps, ModelBounds, ModelSettings, ONE_EFFECT, ONE_HOLDER,
        OrderReceiver, ProcessState, ProductSteps, RECONCILED, RestartReading, TRUE_OUTCOME,
    },
    check_invariants, check_noticed,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const CHECKED: ModelBounds = ModelBounds {
    horizon: 7,
    faults: 1,
    orders: 2,
    pause_limit: None,
    receiver: FencingSupport::Checked,
    restart: RestartReading::Beginning,
};

/// Twice the margin and the extra wait: the longest pause that the successor's wait covers.
const COVERED_PAUSE: u64 = 4;

const IGNORED: ModelBounds = ModelBounds {
    horizon: 8,
    pause_limit: Some(COVERED_PAUSE),
    receiver: FencingSupport::Ignored,
    ..CHECKED
};

/// Guards against any interleaving of so many faults that breaks an invariant.
#[rstest]
#[case::checked(CHECKED)]
#[case::checked_two_faults(ModelBounds { faults: 2, orders: 1, horizon: 5, ..CHECKED })]
#[case::ignored(IGNORED)]
#[case::retention(ModelBounds { orders: 0, faults: 2, restart: RestartReading::End, ..CHECKED })]
fn invariants_hold(#[case] bounds: ModelBounds) {
    let model = AuthorityModel { settings: ModelSettings::small(bounds), steps: ProductSteps };
    check_invariants(&model, &bounds);
}

fn check_broken<G: GuardedSteps>(bounds: ModelBounds, steps: G, invariant: &'static str) {
    let model = AuthorityModel { settings: ModelSettings::small(bounds), steps };
    check_noticed(&model, invariant);
}

struct HastySuccessor;

impl GuardedSteps for HastySuccessor {
    fn waiting_clock(&self, now: Moment) -> Moment {
        now + Span(4)
    }
}

/// Shows that the successor's wait guards against two holders.
#[test]
fn a_successor_that_does_not_wait_is_noticed() {
    check_broken(CHECKED, HastySuccessor, ONE_HOLDER);
}

struct LateClaims;

impl GuardedSteps for LateClaims {
    fn take_effect(&self, offset: LogOffset, record: Rc<AuthorityRecord>) -> Rc<AuthorityRecord> {
        match &*record {
            AuthorityRecord::Claim(claim) => {
                let mut claim = claim.clone();
                claim.clear_from = offset;
                Rc::new(AuthorityRecord::Claim(claim))
            }
            _ => record,
        }
    }
}

/// Shows that voiding late claims guards against two holders.
#[test]
fn late_claims_that_count_are_noticed() {
    check_broken(CHECKED, LateClaims, ONE_HOLDER);
}

struct UncheckedReceiver;

impl GuardedSteps for UncheckedReceiver {
    fn accepts(&self, _receiver: &OrderReceiver, _fencing: FencingToken) -> bool {
        true
    }
}

/// Shows that the receiver's check guards against orders of a paused former holder.
#[test]
fn a_receiver_that_does_not_check_is_noticed() {
    check_broken(ModelBounds { horizon: 8, ..CHECKED }, UncheckedReceiver, FENCED);
}

struct ForgetfulReceiver;

impl GuardedSteps for ForgetfulReceiver {
    fn recognises(&self, _receiver: &OrderReceiver, _id: OrderId) -> bool {
        false
    }

    fn understand(&self, _answer: OrderResponse) -> OrderResponse {
        OrderResponse::NotFound
    }
}

/// Shows that recognising order ids guards against two effects of one order.
#[test]
fn a_receiver_without_memory_is_noticed() {
    check_broken(CHECKED, ForgetfulReceiver, ONE_EFFECT);
}

struct ForgetfulSuccessor;

impl GuardedSteps for ForgetfulSuccessor {
    fn take_over(&self, _desk: OrderManager) -> OrderManager {
        let settings = OrderSettings {
            order_timeout: Span(1),
            query_retry_delay: Span(1),
            fencing_support: FencingSupport::Ignored,
        };
        OrderManager::new(settings, LeaseScope::Fleet, Incarnation(99))
    }
}

/// Shows that reconciling open intents guards against new orders while an old one may take effect.
#[test]
fn a_successor_that_does_not_reconcile_is_noticed() {
    check_broken(ModelBounds { pause_limit: None, ..IGNORED }, ForgetfulSuccessor, RECONCILED);
}

struct HastyOutcome;

impl GuardedSteps for HastyOutcome {
    fn understand(&self, response: OrderResponse) -> OrderResponse {
        match response {
            OrderResponse::NotFound => {
                OrderResponse::State { state: OrderState::Refused, upstreams: Vec::new() }
            }
            response => response,
        }
    }
}

/// Shows that sending an unknown order again, instead of giving it up, guards against false
/// outcomes.
#[test]
fn an_unknown_order_that_is_given_up_is_noticed() {
    check_broken(CHECKED, HastyOutcome, TRUE_OUTCOME);
}

struct EarlySending;

impl GuardedSteps for EarlySending {
    /// The desk itself refuses an order whose intent is not read back.
    fn check_clock(
        &self,
        now: Moment,
        process: &ProcessState,
        _id: OrderId,
    ) -> Option<FencingToken> {
        process.lease_manager.held_token(now)
    }

    fn send_early(&self, intent: &OrderIntent) -> Option<OrderIntent> {
        Some(intent.clone())
    }
}

/// Shows that reading the intent back guards against orders that a successor does not know of.
#[test]
fn an_order_before_its_intent_is_noticed() {
    check_broken(ModelBounds { faults: 2, pause_limit: None, ..IGNORED }, EarlySending, RECONCILED);
}

struct NoClockCheck;

impl GuardedSteps for NoClockCheck {
    fn check_clock(
        &self,
        _now: Moment,
        process: &ProcessState,
        _id: OrderId,
    ) -> Option<FencingToken> {
        process.lease_manager.claim_in_force()
    }
}

/// Shows that the clock check guards against orders after a pause that came before it.
#[test]
fn an_order_without_clock_check_is_noticed() {
    check_broken(IGNORED, NoClockCheck, FENCED);
}

/// The remaining exposure: a pause between clock check and write that outlasts the successor's
/// whole wait, towards a receiver that ignores fencing numbers. `invariants_hold::ignored` shows
/// that none exists while such a pause is at most [`COVERED_PAUSE`].
#[test]
fn a_pause_longer_than_the_whole_wait_is_the_remaining_exposure() {
    check_broken(ModelBounds { pause_limit: None, ..IGNORED }, ProductSteps, FENCED);
}

/// Guards against faults in longer runs with more faults than the exhaustive search can cover.
#[rstest]
fn random_schedules_hold(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(CHECKED, IGNORED)] bounds: ModelBounds,
) {
    let bounds = ModelBounds { horizon: 40, faults: 8, orders: 6, ..bounds };
    let model = AuthorityModel { settings: ModelSettings::small(bounds), steps: ProductSteps };
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut takeovers = 0;
    for run in 0..50 {
        let mut state = model.initial();
        let mut steps = model.steps(&state);
        for _ in 0..400 {
            if steps.is_empty() {
                break;
            }
            state = steps.swap_remove(generator.random_range(0..steps.len())).1;
            let broken = model.broken(&state);
            assert_eq!(broken, None, "seed {seed}, run {run}: {}", model.describe(&state));
            steps = model.steps(&state);
        }
        takeovers += usize::from(state.receiver().highest > FencingToken(0));
    }
    println!("seed {seed}, {bounds:?}: a successor gave orders in {takeovers} of 50 runs");
    assert!(takeovers > 0, "the schedules are too mild");
}
