//! Tests of how many connections to upstreams the choices of many nodes need.

use std::collections::{HashMap, HashSet};

use base::{Moment, Span, UpstreamKey, WeightVersion};
use dispatch::{
    EntryState, ExchangeOutcome, GenerationPickRequest, IdleConnections, ModelRequirement,
    PlainPickRequest, RequestOrigin, UpstreamBalancer, UpstreamEntry,
};
use rstest::rstest;

const NOW: Moment = Moment(10_000_000);

/// Slots of each upstream.
const SLOTS: u32 = 6;

fn balancer(upstreams: usize) -> UpstreamBalancer {
    let mut balancer = UpstreamBalancer::default();
    for index in 0..upstreams {
        balancer.update(UpstreamEntry {
            id: format!("u{index}"),
            service: String::from("s"),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: format!("zone-{}", index % 5),
            software_version: String::from("v1"),
            slots: SLOTS,
            state: EntryState::Ready,
            warmup: Span::ZERO,
            versions: vec![(String::from("m"), WeightVersion(1))],
            started_at_ms: Some(1),
            cheap: false,
            time_to_reclaim: None,
        });
    }
    balancer
}

/// A node with its idle connections by upstream.
struct NodeModel {
    balancer: UpstreamBalancer,
    idle: HashMap<UpstreamKey, u32>,
    opened: usize,
    seed: u64,
}

impl NodeModel {
    fn new(upstreams: usize, seed: u64) -> Self {
        Self { balancer: balancer(upstreams), idle: HashMap::new(), opened: 0, seed }
    }

    fn connected(&self) -> IdleConnections {
        self.idle.iter().map(|(upstream, count)| (*upstream, *count)).collect()
    }

    /// Sends a request and returns its upstream. Takes an idle connection to it or opens one.
    fn begin(&mut self, origin: RequestOrigin) -> UpstreamKey {
        self.seed += 1;
        let connected = self.connected();
        let request = PlainPickRequest {
            service: "s",
            zone: "zone-0",
            tried: &[],
            connected: &connected,
            suspect: false,
            origin,
            software_version: None,
            home: None,
            jitter_seed: self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let upstream = self.balancer.pick_plain(NOW, &request).unwrap();
        self.balancer.begin_request(NOW, upstream, origin);
        self.connect(upstream);
        upstream
    }

    /// Places `count` generations in one round, as a step that arrives does, and returns their engines.
    fn place(&mut self, count: usize) -> Vec<UpstreamKey> {
        let mut connected = self.connected();
        let mut placed = Vec::new();
        for _ in 0..count {
            self.seed += 1;
            let request = GenerationPickRequest {
                service: "s",
                requirement: ModelRequirement { model: "m", min_version: WeightVersion(1) },
                software_version: None,
                home: None,
                tried: &[],
                warm_engine: None,
                connected: &connected,
                jitter_seed: self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            };
            let upstream = self.balancer.pick_generation(NOW, &request).unwrap();
            self.balancer.begin_request(NOW, upstream, RequestOrigin::Item);
            connected.claim(upstream);
            placed.push(upstream);
        }
        // The requests are sent after the whole round is placed.
        for upstream in &placed {
            self.connect(*upstream);
        }
        placed
    }

    fn connect(&mut self, upstream: UpstreamKey) {
        match self.idle.get_mut(&upstream).filter(|count| **count > 0) {
            Some(count) => *count -= 1,
            None => self.opened += 1,
        }
    }

    fn finish(&mut self, upstream: UpstreamKey, took: Span) {
        self.balancer.finish_request(NOW, upstream, ExchangeOutcome::Answered(took));
        *self.idle.entry(upstream).or_default() += 1;
    }
}

/// Pattern: a node calls a service once for each item that is complete, some dozens at the same time,
/// and as many again whenever one has ended.
///
/// Guards against a connection that is opened although another one is idle. No more are needed than
/// calls that run at the same time; a quarter more is allowed for calls that end in between.
#[rstest]
#[case::site_of_today(12, 18)]
#[case::all_slots_of_the_connected(12, 36)]
#[case::design_size(120, 36)]
fn reward_calls_share_connections(#[case] upstreams: usize, #[case] concurrent: usize) {
    let mut node = NodeModel::new(upstreams, 1);
    let mut running: Vec<UpstreamKey> =
        (0..concurrent).map(|_| node.begin(RequestOrigin::Item)).collect();
    for call in 0..2_000 {
        let ended = running.swap_remove(call * 7 % concurrent);
        // Upstreams differ in speed by a half.
        let took = Span::from_millis(160 + u64::from(ended.0 % 5) * 20);
        node.finish(ended, took);
        running.push(node.begin(RequestOrigin::Item));
    }
    let allowed = concurrent * 5 / 4;
    assert!(node.opened <= allowed, "{} connections for {concurrent} calls", node.opened);
}

/// Pattern: callers with few requests each come to nodes that are many more than the upstreams.
///
/// Guards against a node that opens a connection to one upstream after the other while its requests
/// follow each other, and against nodes that all use the same upstreams: what one node saves must
/// not overload an upstream.
#[rstest]
#[case(11, 3)]
#[case(95, 12)]
#[case(320, 60)]
#[case(1_000, 60)]
fn callers_of_many_nodes_share_connections(#[case] nodes: usize, #[case] upstreams: usize) {
    let mut opened = 0;
    let mut users: HashMap<UpstreamKey, HashSet<usize>> = HashMap::new();
    for index in 0..nodes {
        let mut node = NodeModel::new(upstreams, index as u64 * 1_000);
        for _ in 0..40 {
            let upstream = node.begin(RequestOrigin::Caller);
            users.entry(upstream).or_default().insert(index);
            node.finish(upstream, Span::from_millis(25));
        }
        opened += node.opened;
    }
    assert_eq!(opened, nodes, "requests that follow each other need one connection a node");
    // Nodes of a zone choose among the upstreams of their zone first.
    let in_zone = upstreams.div_ceil(5);
    let busiest = users.values().map(HashSet::len).max().unwrap();
    let fair = nodes.div_ceil(in_zone);
    assert!(busiest <= fair * 2, "{busiest} of {nodes} nodes use one upstream, {fair} are fair");
}

/// Pattern: a node with an idle connection to each of 38 engines places a step of 30 items at once.
///
/// Guards against items of one round that all go to the engines that are cheapest, because each of these
/// has one idle connection, which opens further ones there while those to other engines stay idle.
#[rstest]
#[case::engines_of_one_speed(&[50])]
#[case::some_engines_slower(&[45, 50, 60, 65])]
fn items_of_a_round_share_the_idle_connections(#[case] intervals_ms: &[u64]) {
    let mut node = NodeModel::new(38, 1);
    let mut upstreams: Vec<UpstreamKey> = node.balancer.usable_upstreams(NOW, "s").collect();
    upstreams.sort_unstable();
    for (index, upstream) in upstreams.into_iter().enumerate() {
        let interval = Span::from_millis(intervals_ms[index % intervals_ms.len()]);
        node.balancer.record_event_interval(upstream, interval);
        node.idle.insert(upstream, 1);
    }
    node.place(30);
    assert_eq!(node.opened, 0, "connections opened beside 38 idle ones for 30 items");
}
