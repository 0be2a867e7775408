//! Tests of fair queueing between customers, the guaranteed share of samples, early refusal under
//! overload, and the retry budget.

use std::collections::BTreeMap;

use admission::{
    FairQueue, QueueAction, QueueEvent, QueueSettings, QueuedRequest, RequestClass, RetryBudget,
    ServiceCapacity, TicketNumber, TrainerKey,
};
use base::{CustomerKey, Execution, Moment, Refusal, Span};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const CAPACITY: ServiceCapacity =
    ServiceCapacity { tokens_per_second: 1_000, max_in_service_tokens: 100 };
const FAR_DEADLINE: Moment = Moment(1_000_000_000_000);

fn queue() -> FairQueue {
    FairQueue::new(QueueSettings::default(), CAPACITY, ChaCha8Rng::seed_from_u64(1))
}

fn request(ticket: u64, customer: u32, class: RequestClass, tokens: u32) -> QueuedRequest {
    let customer = CustomerKey(customer);
    QueuedRequest { ticket: TicketNumber(ticket), customer, class, tokens, deadline: FAR_DEADLINE }
}

/// Several flows that each queue 400 equal requests, which are completed one after another.
struct Backlog {
    /// Customer, class and estimated tokens per request of each flow.
    flows: Vec<(u32, RequestClass, u32)>,
    /// True tokens per request by customer, where they differ from the estimate.
    true_tokens: BTreeMap<u32, u32>,
    /// Customers with their weights, where these are not 1.
    weights: Vec<(u32, u32)>,
}

impl Backlog {
    /// Compares each flow's share of the true tokens served in the first 400 completions with the
    /// expected one. Shares and `tolerance` are in percent.
    fn check(&self, expected: &[u64], tolerance: u64) {
        let mut queue = queue();
        let mut served = vec![0; self.flows.len()];
        let mut running = Vec::new();
        let apply = |queue: &mut FairQueue, event, running: &mut Vec<u64>| {
            for action in queue.handle(Moment(0), event) {
                let QueueAction::Dispatch(ticket) = action else { panic!("{action:?}") };
                running.push(ticket.0);
            }
        };
        for (customer, weight) in &self.weights {
            let customer = CustomerKey(*customer);
            let event = QueueEvent::WeightChanged { customer, weight: *weight };
            apply(&mut queue, event, &mut running);
        }
        for number in 0..400 {
            for (flow, (customer, class, tokens)) in self.flows.iter().enumerate() {
                let ticket = number * self.flows.len() as u64 + flow as u64;
                let request = request(ticket, *customer, *class, *tokens);
                apply(&mut queue, QueueEvent::Offered(request), &mut running);
            }
        }
        for _ in 0..400 {
            let ticket = running.remove(0);
            let flow = (ticket % self.flows.len() as u64) as usize;
            let (customer, _, tokens) = self.flows[flow];
            let tokens = self.true_tokens.get(&customer).copied().unwrap_or(tokens);
            served[flow] += u64::from(tokens);
            let event = QueueEvent::Done { ticket: TicketNumber(ticket), tokens };
            apply(&mut queue, event, &mut running);
        }
        let total = served.iter().sum::<u64>();
        for (flow, expected) in expected.iter().enumerate() {
            let share = served[flow] * 100 / total;
            let matches = share.abs_diff(*expected) <= tolerance;
            assert!(matches, "flow {flow} got {share}%, expected {expected}%: {served:?}");
        }
    }
}

#[test]
fn customers_share_the_service_by_tokens_and_weight() {
    let flows = vec![(0, RequestClass::Live, 50), (1, RequestClass::Live, 200)];
    let mut backlog = Backlog { flows, true_tokens: BTreeMap::new(), weights: Vec::new() };
    backlog.check(&[50, 50], 3);
    backlog.weights = vec![(0, 3)];
    backlog.check(&[75, 25], 3);
}

#[test]
fn underestimated_cost_is_reconciled() {
    let flows = vec![(0, RequestClass::Live, 50), (1, RequestClass::Live, 50)];
    let true_tokens = BTreeMap::from_iter([(0, 200)]);
    Backlog { flows, true_tokens, weights: Vec::new() }.check(&[50, 50], 5);
}

#[test]
fn samples_get_their_guaranteed_share_and_trainers_divide_it_equally() {
    let flows = vec![
        (0, RequestClass::Live, 50),
        (1, RequestClass::Sample(TrainerKey(0)), 50),
        (1, RequestClass::Sample(TrainerKey(1)), 50),
    ];
    let backlog = Backlog { flows, true_tokens: BTreeMap::new(), weights: Vec::new() };
    backlog.check(&[90, 5, 5], 1);
}

fn refusal(actions: &[QueueAction]) -> Option<&Refusal> {
    actions.iter().find_map(|action| match action {
        QueueAction::Refuse { refusal, .. } => Some(refusal),
        QueueAction::Dispatch(_) => None,
    })
}

#[test]
fn request_is_refused_at_once_when_the_wait_exceeds_its_deadline() {
    let mut queue = queue();
    for ticket in 0..40 {
        queue.handle(Moment(0), QueueEvent::Offered(request(ticket, 0, RequestClass::Live, 100)));
    }
    let deadline = Moment(2_000_000);
    let late = QueuedRequest { deadline, ..request(40, 0, RequestClass::Live, 100) };
    let actions = queue.handle(Moment(0), QueueEvent::Offered(late));
    let refusal = refusal(&actions)
        .expect("request with 3.9 s of work ahead and a deadline in 2 s must be refused");
    assert_eq!(refusal.execution, Execution::NotRun);
    let retry_after = refusal.retry_after.expect("an overload refusal must state a Retry-After");
    assert!((Span::from_millis(3_900)..=Span::from_millis(7_800)).contains(&retry_after));
    // The queue of one customer does not delay another: its request still meets the deadline.
    let other = QueuedRequest { deadline, ..request(41, 1, RequestClass::Live, 100) };
    assert_eq!(queue.handle(Moment(0), QueueEvent::Offered(other)).as_slice(), []);
}

#[test]
fn lower_service_rate_refuses_requests_that_would_now_be_late() {
    let mut queue = queue();
    for ticket in 0..10 {
        let deadline = Moment(2_000_000);
        let request = QueuedRequest { deadline, ..request(ticket, 0, RequestClass::Live, 100) };
        assert_eq!(refusal(&queue.handle(Moment(0), QueueEvent::Offered(request))), None);
    }
    let rate = ServiceCapacity { tokens_per_second: 300, ..CAPACITY };
    let actions = queue.handle(Moment(0), QueueEvent::CapacityChanged(rate));
    // The service processes 600 tokens until the deadline. Ticket 0 runs, and 1 to 5 can follow in
    // time.
    let refused = actions.iter().map(|action| match action {
        QueueAction::Refuse { ticket, .. } => ticket.0,
        QueueAction::Dispatch(_) => panic!("{action:?}"),
    });
    assert_eq!(refused.collect::<Vec<_>>(), [6, 7, 8, 9]);
}

#[test]
fn measured_time_in_service_bounds_acceptance_under_load() {
    let mut queue = queue();
    for ticket in 0..20 {
        let event = QueueEvent::Offered(request(ticket, 0, RequestClass::Live, 100));
        queue.handle(Moment(0), event);
        let done = QueueEvent::Done { ticket: TicketNumber(ticket), tokens: 100 };
        queue.handle(Moment(1_000_000), done);
    }
    // A request took 1 s, where the rate alone predicts 0.1 s.
    let deadline = Moment(800_000);
    let first = QueuedRequest { deadline, ..request(20, 0, RequestClass::Live, 100) };
    let actions = queue.handle(Moment(0), QueueEvent::Offered(first));
    assert_eq!(actions.as_slice(), [QueueAction::Dispatch(TicketNumber(20))]);
    let second = QueuedRequest { deadline, ..request(21, 0, RequestClass::Live, 100) };
    assert!(refusal(&queue.handle(Moment(0), QueueEvent::Offered(second))).is_some());
}

#[test]
fn request_of_a_disconnected_caller_is_never_dispatched() {
    let mut queue = queue();
    for ticket in 0..3 {
        queue.handle(Moment(0), QueueEvent::Offered(request(ticket, 0, RequestClass::Live, 100)));
    }
    queue.handle(Moment(0), QueueEvent::CallerDisconnected(TicketNumber(1)));
    let done = QueueEvent::Done { ticket: TicketNumber(0), tokens: 100 };
    let actions = queue.handle(Moment(0), done);
    assert_eq!(actions.as_slice(), [QueueAction::Dispatch(TicketNumber(2))]);
    assert_eq!((queue.waiting_tokens(), queue.in_service_tokens()), (0, 100));
}

#[test]
fn retries_are_bounded_by_a_tenth_of_successes() {
    let mut budget = RetryBudget::new();
    while budget.try_withdraw() {}
    for _ in 0..1_000 {
        budget.record_success();
    }
    assert_eq!(budget.left(), 100);
    for _ in 0..1_000 {
        budget.record_success();
    }
    assert_eq!(budget.left(), 100, "the budget must not grow beyond 100 retries");
}
