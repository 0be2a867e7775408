//! Guards against requests that crash one upstream after another, and against refusals of other
//! requests because of them.

use std::collections::BTreeMap;

use base::{Execution, Incarnation, Moment, RefusalCode, RouteKey, Span, UpstreamKey, WallTime};
use delivery::{
    Fingerprint, FingerprintStatus, IsolationRequest, RequestId, SuspectAction, SuspectEvent,
    SuspectPolicy, SuspectTable,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP_TIME: Span = Span::from_millis(100);
const RUN_STEPS: u64 = 5;

struct Run {
    node: usize,
    fingerprint: Fingerprint,
    ends_at: u64,
}

/// Simulated nodes and upstreams of one route. Messages between nodes arrive in the next step.
struct Cluster {
    step: u64,
    rng: ChaCha8Rng,
    nodes: Vec<SuspectTable>,
    upstreams: BTreeMap<UpstreamKey, Vec<Run>>,
    messages: Vec<(usize, SuspectEvent)>,
    requested: BTreeMap<RequestId, Fingerprint>,
    sequence: u64,
    crashed_upstreams: usize,
    refused: BTreeMap<Fingerprint, RefusalCode>,
    completed: usize,
}

impl Cluster {
    fn new(nodes: u64, upstreams: u32, seed: u64) -> Self {
        let nodes =
            (0..nodes).map(|node| SuspectTable::new(Incarnation(node), SuspectPolicy::default()));
        Self {
            step: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: nodes.collect(),
            upstreams: (0..upstreams).map(|key| (UpstreamKey(key), Vec::new())).collect(),
            messages: Vec::new(),
            requested: BTreeMap::new(),
            sequence: 0,
            crashed_upstreams: 0,
            refused: BTreeMap::new(),
            completed: 0,
        }
    }

    fn now(&self) -> Moment {
        Moment(self.step * STEP_TIME.0)
    }

    fn wall(&self) -> WallTime {
        WallTime((self.step * STEP_TIME.as_millis()).cast_signed())
    }

    fn apply(&mut self, node: usize, event: SuspectEvent) {
        let (now, wall) = (self.now(), self.wall());
        for action in self.nodes[node].handle(now, wall, event) {
            let message = match action {
                SuspectAction::BroadcastSuspicion(suspicion) => {
                    SuspectEvent::SuspicionReceived(suspicion)
                }
                SuspectAction::Convict(conviction) => SuspectEvent::ConvictionReceived(conviction),
                SuspectAction::Reserve(notice) => SuspectEvent::IsolationReceived(notice),
                SuspectAction::Release(notice) => SuspectEvent::IsolationEnded(notice),
                SuspectAction::RunIsolated { request, upstream } => {
                    let fingerprint = self.requested[&request];
                    assert!(
                        self.upstreams[&upstream].is_empty(),
                        "an isolated run started on an upstream that is in use"
                    );
                    self.run(node, upstream, fingerprint);
                    continue;
                }
                SuspectAction::Refuse { request, refusal } => {
                    assert!(refusal.retry_after.is_some());
                    self.refused.insert(self.requested[&request], refusal.code);
                    continue;
                }
            };
            let peers = (0..self.nodes.len()).filter(|peer| *peer != node);
            self.messages.extend(peers.map(|peer| (peer, message.clone())));
        }
    }

    fn run(&mut self, node: usize, upstream: UpstreamKey, fingerprint: Fingerprint) {
        let ends_at = self.step + RUN_STEPS;
        let run = Run { node, fingerprint, ends_at };
        self.upstreams.get_mut(&upstream).expect("the upstream is live").push(run);
        self.apply(node, SuspectEvent::Started { upstream, fingerprint });
    }

    fn send(&mut self, node: usize, fingerprint: Fingerprint) {
        let live = self.upstreams.keys().copied().collect::<Vec<_>>();
        if self.nodes[node].fingerprint_status(self.wall(), fingerprint) == FingerprintStatus::Clear
        {
            let free = live.into_iter().filter(|key| !self.nodes[node].is_reserved(*key));
            let free = free.collect::<Vec<_>>();
            assert!(!free.is_empty(), "no upstream is left for other requests");
            let upstream = free[self.rng.random_range(0..free.len())];
            self.run(node, upstream, fingerprint);
            return;
        }
        self.sequence += 1;
        let request = RequestId { node: Incarnation(node as u64), sequence: self.sequence };
        self.requested.insert(request, fingerprint);
        let isolation_request = IsolationRequest {
            request,
            fingerprint,
            route: RouteKey(0),
            deadline: self.now() + Span::from_secs(20),
            execution: Execution::NotRun,
            upstreams: live.into(),
        };
        self.apply(node, SuspectEvent::Requested(isolation_request));
    }

    fn advance(&mut self, crashing: &[Fingerprint]) {
        self.step += 1;
        for (node, message) in std::mem::take(&mut self.messages) {
            self.apply(node, message);
        }
        for upstream in self.upstreams.keys().copied().collect::<Vec<_>>() {
            let runs = self.upstreams.get_mut(&upstream).expect("the upstream was listed");
            let ended = runs.extract_if(.., |run| run.ends_at <= self.step).collect::<Vec<_>>();
            if ended.iter().any(|run| crashing.contains(&run.fingerprint)) {
                self.upstreams.remove(&upstream);
                self.crashed_upstreams += 1;
                for node in 0..self.nodes.len() {
                    self.apply(node, SuspectEvent::Crashed(upstream));
                }
                continue;
            }
            for run in ended {
                self.completed += 1;
                let Run { node, fingerprint, .. } = run;
                self.apply(node, SuspectEvent::Finished { upstream, fingerprint });
            }
            let requests = self.upstreams[&upstream].len() as u32;
            let measured_at = self.now();
            for node in 0..self.nodes.len() {
                let reported = SuspectEvent::LoadReported { upstream, requests, measured_at };
                self.apply(node, reported);
            }
        }
        for node in 0..self.nodes.len() {
            self.apply(node, SuspectEvent::Tick);
        }
    }
}

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of("hmla", "advice", &number.to_be_bytes())
}

#[rstest]
#[case::one(1, 1)]
#[case::two_at_once(2, 2)]
#[case::three_at_once(3, 3)]
fn crashing_requests_crash_two_upstreams_each_and_no_other_request_is_refused(
    #[case] count: u64,
    #[case] seed: u64,
) {
    let crashing = (0..count).map(fingerprint).collect::<Vec<_>>();
    let mut cluster = Cluster::new(3, 16, seed);
    for step in 0..1_200 {
        cluster.advance(&crashing);
        for index in 0..3 {
            let node = cluster.rng.random_range(0..3);
            cluster.send(node, fingerprint(1_000 + step * 3 + index));
        }
        if step % 10 == 0 {
            // The callers resend the crashing requests to random nodes.
            for crashing_fingerprint in &crashing {
                let node = cluster.rng.random_range(0..3);
                cluster.send(node, *crashing_fingerprint);
            }
        }
    }
    assert!(
        cluster.crashed_upstreams <= 2 * crashing.len(),
        "{} upstreams crashed",
        cluster.crashed_upstreams
    );
    for crashing_fingerprint in &crashing {
        let status = cluster.nodes[0].fingerprint_status(cluster.wall(), *crashing_fingerprint);
        assert!(matches!(status, FingerprintStatus::Convicted { .. }), "{status:?}");
    }
    cluster.refused.retain(|refused, _| !crashing.contains(refused));
    assert_eq!(cluster.refused, BTreeMap::new(), "another request was refused");
    assert!(cluster.completed > 3_000, "{} completed", cluster.completed);
}

#[test]
fn suspicion_and_conviction_expire() {
    let mut cluster = Cluster::new(1, 4, 5);
    let suspect = fingerprint(7);
    for upstream in [0, 1] {
        cluster.run(0, UpstreamKey(upstream), suspect);
        cluster.apply(0, SuspectEvent::Crashed(UpstreamKey(upstream)));
    }
    let convicted = FingerprintStatus::Convicted { retry_after: Span::from_secs(600) };
    assert_eq!(cluster.nodes[0].fingerprint_status(WallTime(0), suspect), convicted);
    assert_eq!(
        cluster.nodes[0].fingerprint_status(WallTime(600_000), suspect),
        FingerprintStatus::Clear
    );
}

#[test]
fn crash_reported_twice_on_one_upstream_does_not_convict() {
    let mut cluster = Cluster::new(2, 4, 6);
    let suspect = fingerprint(8);
    for node in 0..2 {
        cluster.run(node, UpstreamKey(0), suspect);
        cluster.apply(node, SuspectEvent::Crashed(UpstreamKey(0)));
    }
    for (node, message) in std::mem::take(&mut cluster.messages) {
        cluster.apply(node, message);
    }
    assert_eq!(
        cluster.nodes[0].fingerprint_status(WallTime(0), suspect),
        FingerprintStatus::Suspect
    );
}

#[test]
fn only_upstream_of_a_route_is_not_reserved() {
    let mut cluster = Cluster::new(1, 2, 7);
    cluster.run(0, UpstreamKey(0), fingerprint(9));
    cluster.upstreams.remove(&UpstreamKey(0));
    cluster.apply(0, SuspectEvent::Crashed(UpstreamKey(0)));
    cluster.send(0, fingerprint(9));
    assert_eq!(cluster.refused.get(&fingerprint(9)), Some(&RefusalCode::NoUpstream));
    assert!(!cluster.nodes[0].is_reserved(UpstreamKey(1)));
}

#[test]
fn suspect_waits_while_another_node_reserves_all_allowed_upstreams() {
    let mut cluster = Cluster::new(2, 4, 8);
    for (node, upstream, number) in [(0, 0, 10), (1, 1, 11)] {
        cluster.run(node, UpstreamKey(upstream), fingerprint(number));
        cluster.upstreams.remove(&UpstreamKey(upstream));
        cluster.apply(node, SuspectEvent::Crashed(UpstreamKey(upstream)));
    }
    cluster.send(0, fingerprint(10));
    cluster.advance(&[]);
    // One of the two remaining upstreams may be reserved, and node 0 has reserved it.
    cluster.send(1, fingerprint(11));
    assert!(cluster.nodes[1].next_deadline().is_some());
    for _ in 0..100 {
        cluster.advance(&[]);
    }
    assert_eq!((cluster.completed, cluster.refused.len()), (2, 0));
}

/// Guards against a refusal when several nodes reserve the same upstreams at the same time: a node
/// that yields must wait for the reservations of the others.
#[rstest]
#[case::two_nodes(2)]
#[case::three_nodes(3)]
#[case::six_nodes(6)]
fn suspects_of_several_nodes_wait_after_simultaneous_reservations(#[case] nodes: u64) {
    let mut cluster = Cluster::new(nodes, 4, 9);
    for node in 0..nodes {
        cluster.run(node as usize, UpstreamKey(0), fingerprint(20 + node));
    }
    cluster.upstreams.remove(&UpstreamKey(0));
    for node in 0..nodes as usize {
        cluster.apply(node, SuspectEvent::Crashed(UpstreamKey(0)));
    }
    for node in 0..nodes {
        cluster.send(node as usize, fingerprint(20 + node));
    }
    for _ in 0..200 {
        cluster.advance(&[]);
    }
    assert_eq!((cluster.completed, cluster.refused), (nodes as usize, BTreeMap::new()));
}

/// Guards against a conviction that does not follow the policy, and against one that stays after
/// its crashes no longer count.
#[rstest]
#[case::default_policy(2)]
#[case::without_isolation(3)]
fn policy_sets_the_number_of_convicting_crashes(#[case] convicting_crashes: usize) {
    let policy = SuspectPolicy { convicting_crashes, ..SuspectPolicy::default() };
    let mut table = SuspectTable::new(Incarnation(1), policy);
    let suspect = fingerprint(12);
    let (now, wall) = (Moment(0), WallTime(0));
    for crash in 1..=convicting_crashes {
        let upstream = UpstreamKey(crash as u32);
        table.handle(now, wall, SuspectEvent::Started { upstream, fingerprint: suspect });
        table.handle(now, wall, SuspectEvent::Crashed(upstream));
        let status = table.fingerprint_status(wall, suspect);
        let convicted = matches!(status, FingerprintStatus::Convicted { .. });
        assert_eq!(convicted, crash == convicting_crashes, "after {crash} crashes: {status:?}");
    }
    table.handle(now, wall, SuspectEvent::Acquitted(suspect));
    assert_eq!(table.fingerprint_status(wall, suspect), FingerprintStatus::Clear);
}
