//! Guards against more than one run of a claimed request, over all nodes and orders of log reads.

use base::{Execution, Incarnation, Moment, RefusalCode, WallTime};
use delivery::{
    ClaimAction, ClaimEvent, ClaimKey, ClaimOutcome, ClaimPolicy, ClaimTable, Fingerprint,
    LogAvailability, RequestId,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const NOW: Moment = Moment(0);
const DEADLINE: Moment = Moment(5_000_000);
const HOUR_MS: i64 = 3_600_000;

fn request(node: u64, sequence: u64) -> RequestId {
    RequestId { node: Incarnation(node), sequence }
}

fn requested(request: RequestId) -> ClaimEvent {
    let claim = ClaimKey::of("derwent", "proof-7");
    let fingerprint = Fingerprint::of("derwent", "proofs", b"print");
    ClaimEvent::Requested { claim, fingerprint, request, deadline: DEADLINE }
}

/// Claim tables of several nodes that append to and read one log.
struct Nodes {
    tables: Vec<ClaimTable>,
    log: Vec<ClaimEvent>,
    read_positions: Vec<usize>,
    runs: Vec<RequestId>,
    refusals: Vec<(RequestId, RefusalCode, Execution)>,
    replays: usize,
}

impl Nodes {
    fn new(count: usize) -> Self {
        let table = ClaimTable::new(ClaimPolicy::default());
        Self {
            tables: vec![table; count],
            log: Vec::new(),
            read_positions: vec![0; count],
            runs: Vec::new(),
            refusals: Vec::new(),
            replays: 0,
        }
    }

    fn apply(&mut self, node: usize, wall: i64, event: ClaimEvent) {
        for action in self.tables[node].handle(NOW, WallTime(wall), event) {
            match action {
                ClaimAction::AppendTaken(taken) => self.log.push(ClaimEvent::TakenRead(taken)),
                ClaimAction::AppendDone(done) => self.log.push(ClaimEvent::DoneRead(done)),
                ClaimAction::Run(request) => self.runs.push(request),
                ClaimAction::Replay { .. } => self.replays += 1,
                ClaimAction::Refuse { request, refusal } => {
                    self.refusals.push((request, refusal.code, refusal.execution));
                }
            }
        }
    }

    fn read_one(&mut self, node: usize, wall: i64) {
        let Some(event) = self.log.get(self.read_positions[node]).cloned() else { return };
        self.read_positions[node] += 1;
        self.apply(node, wall, event);
    }

    fn read_all(&mut self, wall: i64) {
        for node in 0..self.tables.len() {
            while self.read_positions[node] < self.log.len() {
                self.read_one(node, wall);
            }
        }
    }
}

#[test]
fn resend_to_another_node_replays_the_first_answer() {
    let mut nodes = Nodes::new(2);
    nodes.apply(0, 0, requested(request(0, 1)));
    nodes.read_all(0);
    nodes.apply(1, 10, requested(request(1, 1)));
    assert_eq!(nodes.runs, [request(0, 1)]);
    let expected = (request(1, 1), RefusalCode::AlreadyClaimed, Execution::MayHaveRun);
    assert_eq!(nodes.refusals, [expected]);
    let outcome = ClaimOutcome::Answered { status: 200, body: b"sheet".to_vec() };
    nodes.apply(0, 20, ClaimEvent::Ended { request: request(0, 1), outcome });
    nodes.read_all(20);
    nodes.apply(1, 30, requested(request(1, 2)));
    assert_eq!((nodes.runs.len(), nodes.replays), (1, 1));
}

#[test]
fn reused_key_with_another_body_is_refused() {
    let mut nodes = Nodes::new(1);
    nodes.apply(0, 0, requested(request(0, 1)));
    nodes.read_all(0);
    let ClaimEvent::Requested { claim, request, deadline, .. } = requested(request(0, 2)) else {
        unreachable!()
    };
    let fingerprint = Fingerprint::of("derwent", "proofs", b"another");
    nodes.apply(0, 1, ClaimEvent::Requested { claim, fingerprint, request, deadline });
    assert_eq!(nodes.refusals, [(request, RefusalCode::RequestInvalid, Execution::NotRun)]);
}

#[test]
fn request_refused_in_a_log_outage_never_runs_and_its_claim_is_released() {
    let mut nodes = Nodes::new(2);
    nodes.apply(0, 0, requested(request(0, 1)));
    nodes.apply(0, 1, ClaimEvent::LogAvailabilityChanged(LogAvailability::Down));
    nodes.apply(0, 2, requested(request(0, 2)));
    let refused = |sequence| (request(0, sequence), RefusalCode::LogUnavailable, Execution::NotRun);
    assert_eq!(nodes.refusals, [refused(1), refused(2)]);
    nodes.apply(0, 3, ClaimEvent::LogAvailabilityChanged(LogAvailability::Up));
    nodes.read_all(3);
    assert_eq!(nodes.runs, [], "a refused request must not run");
    nodes.apply(1, 4, requested(request(1, 1)));
    nodes.read_all(4);
    assert_eq!(nodes.runs, [request(1, 1)]);
}

#[test]
fn request_with_an_unacknowledged_claim_is_refused_at_the_deadline() {
    let mut nodes = Nodes::new(1);
    nodes.apply(0, 0, requested(request(0, 1)));
    assert_eq!(nodes.tables[0].next_deadline(), Some(DEADLINE));
    let actions = nodes.tables[0].handle(DEADLINE, WallTime(5_000), ClaimEvent::Tick);
    let [ClaimAction::Refuse { refusal, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn key_can_be_claimed_again_after_the_expiry_of_its_claim() {
    let mut nodes = Nodes::new(2);
    nodes.apply(0, 0, requested(request(0, 1)));
    nodes.read_all(0);
    nodes.apply(1, HOUR_MS - 1, requested(request(1, 1)));
    assert_eq!(nodes.runs.len(), 1);
    nodes.apply(1, HOUR_MS, requested(request(1, 2)));
    nodes.read_all(HOUR_MS);
    assert_eq!(nodes.runs, [request(0, 1), request(1, 2)]);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::with_cases(256) })]

    /// Guards against two runs when nodes read the log at different speeds, records are repeated
    /// and the log becomes unavailable.
    #[test]
    fn at_most_one_request_runs_in_any_order(
        steps in prop::collection::vec((0..3_usize, 0..6_u8), 1..60),
    ) {
        let mut nodes = Nodes::new(3);
        let mut sequence = 0;
        for (node, step) in steps {
            sequence += 1;
            match step {
                0 => nodes.apply(node, 0, requested(request(node as u64, sequence))),
                1 => nodes.apply(node, 0, ClaimEvent::LogAvailabilityChanged(LogAvailability::Down)),
                2 => nodes.apply(node, 0, ClaimEvent::LogAvailabilityChanged(LogAvailability::Up)),
                3 => {
                    if let Some(event) = nodes.log.first().cloned() {
                        nodes.log.push(event);
                    }
                }
                _ => nodes.read_one(node, 0),
            }
        }
        nodes.read_all(0);
        prop_assert!(nodes.runs.len() <= 1, "runs: {:?}", nodes.runs);
        for run in &nodes.runs {
            prop_assert!(nodes.refusals.iter().all(|(request, ..)| request != run));
        }
    }
}
