//! Tests of how many connections to upstreams the choices of many nodes need.

use std::collections::{HashMap, HashSet};

use base::{Moment, Span, UpstreamKey};
use dispatch::{
    EntryState, ExchangeOutcome, PlainPickRequest, RequestOrigin, UpstreamBalancer, UpstreamEntry,
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
            versions: Vec::new(),
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
    idle: HashMap<UpstreamKey, usize>,
    opened: usize,
    seed: u64,
}

impl NodeModel {
    fn new(upstreams: usize, seed: u64) -> Self {
        Self { balancer: balancer(upstreams), idle: HashMap::new(), opened: 0, seed }
    }

    /// Sends a request and returns its upstream. Takes an idle connection to it or opens one.
    fn begin(&mut self, origin: RequestOrigin) -> UpstreamKey {
        self.seed += 1;
        let idle = self.idle.iter().filter(|(_, count)| **count > 0);
        let connected: Vec<UpstreamKey> = idle.map(|(upstream, _)| *upstream).collect();
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
        match self.idle.get_mut(&upstream).filter(|count| **count > 0) {
            Some(count) => *count -= 1,
            None => self.opened += 1,
        }
        upstream
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
