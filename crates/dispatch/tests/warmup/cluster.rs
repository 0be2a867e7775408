//! Nodes with balancers, the upstreams of one service, and a log with delays and faults.

use std::collections::HashMap;

use base::{Incarnation, Moment, NodeDigest, RequestRate, Span, UpstreamKey};
use dispatch::{
    EntryState, ExchangeOutcome, IdleConnections, LimitShares, NodeClaims, PlainPickRequest,
    RequestOrigin, ServiceWarmup, UpstreamBalancer, UpstreamEntry,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub(crate) const WARMUP: ServiceWarmup =
    ServiceWarmup { duration: Span::from_secs(3), rate: RequestRate(16_000) };

static NO_CONNECTIONS: IdleConnections = IdleConnections::new();

/// Step of the virtual time.
const STEP: Span = Span::from_millis(10);

/// Longest time from the choice of an upstream to the arrival of the request, in milliseconds.
const MAX_SEND_MS: u64 = 200;

const UPDATE_PERIOD: Span = Span::from_millis(500);

/// Cause of late or missing news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// No node reaches the log from the restart of the upstreams on.
    LogAway,
    /// No node reaches the log from the time on at which the first claims hold.
    LogAwayAfterClaims,
    /// A third of the nodes does not reach the log.
    CutNodes,
    /// A third of the nodes reads the new entries up to 2 s late.
    LateLearners,
    /// All nodes read the log up to 2 s late.
    SlowReads,
    /// A third of the nodes ends once the first claims hold.
    DeadHolders,
    /// A third of the nodes restarts with the upstreams.
    RestartedNodes,
}

struct Node {
    shares: LimitShares,
    balancer: UpstreamBalancer,
    learns_at: Option<Moment>,
    knows_restart: bool,
    next_update: Moment,
    next_read: Moment,
    read_offset: usize,
    cut_from: Moment,
    ends_at: Moment,
}

/// The nodes, the upstreams and the log.
pub(crate) struct Cluster {
    pub(crate) now: Moment,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    log: Vec<(NodeDigest, NodeClaims)>,
    max_read_delay_ms: u64,
    entries: Vec<UpstreamEntry>,
    /// Requests per second of each node.
    demands: Vec<f64>,
    /// Arrivals of requests at each upstream.
    pub(crate) arrivals: Vec<Vec<Moment>>,
    pub(crate) refused: usize,
}

const NEVER: Moment = Moment(u64::MAX);

pub(crate) fn entry(index: usize, started_at_ms: u64, warmup: Span) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("e{index}"),
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: String::from("a"),
        software_version: String::from("v1"),
        slots: 6,
        state: EntryState::Ready,
        warmup,
        versions: Vec::new(),
        started_at_ms: Some(started_at_ms),
        cheap: false,
        time_to_reclaim: None,
    }
}

impl Cluster {
    /// Creates nodes that send these requests per second, and lets them run for 3 s.
    pub(crate) fn new(demands: Vec<f64>, upstreams: usize, seed: u64) -> Self {
        let now = Moment(1_000_000_000);
        let entries: Vec<UpstreamEntry> =
            (0..upstreams).map(|index| entry(index, 1, Span::ZERO)).collect();
        let nodes = (0..demands.len()).map(|index| Node::new(index, 0, now, &entries)).collect();
        let mut cluster = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes,
            log: Vec::new(),
            max_read_delay_ms: 300,
            entries,
            demands,
            arrivals: vec![Vec::new(); upstreams],
            refused: 0,
        };
        cluster.run(Span::from_secs(3));
        cluster
    }

    /// Restarts all upstreams, which are cold then.
    pub(crate) fn restart_upstreams(&mut self, fault: Fault) {
        let now = self.now;
        for (index, upstream) in self.entries.iter_mut().enumerate() {
            *upstream = entry(index, 2, WARMUP.duration);
        }
        self.arrivals.iter_mut().for_each(Vec::clear);
        self.refused = 0;
        let claims_hold_at = now + Span::from_millis(1_300);
        if fault == Fault::SlowReads {
            self.max_read_delay_ms = 2_000;
        }
        for index in 0..self.nodes.len() {
            let chosen = index % 3 == 0;
            if fault == Fault::RestartedNodes && chosen {
                self.nodes[index] = Node::new(index, 1, now, &[]);
            }
            let delay = if fault == Fault::LateLearners && chosen { 2_000 } else { 300 };
            let node = &mut self.nodes[index];
            node.learns_at = Some(now + Span::from_millis(self.rng.random_range(10..delay)));
            match fault {
                Fault::LogAway => node.cut_from = now,
                Fault::LogAwayAfterClaims => node.cut_from = claims_hold_at,
                Fault::CutNodes if chosen => node.cut_from = now,
                Fault::DeadHolders if chosen => node.ends_at = claims_hold_at,
                _ => {}
            }
        }
    }

    pub(crate) fn run(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.nodes.len() {
                if self.now < self.nodes[index].ends_at {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let is_log_reachable = now < node.cut_from;
        if node.learns_at.is_some_and(|at| at <= now) {
            node.learns_at = None;
            node.knows_restart = true;
            node.learn(now, &self.entries);
            node.next_update = node.next_update.min(now + Span::from_millis(20));
        }
        if is_log_reachable && now >= node.next_read {
            if node.read_offset == 0 {
                node.shares.begin_full_read(now, |_| false, |_| true);
            }
            for (writer, claims) in &self.log[node.read_offset..] {
                node.shares.apply_claims(now, *writer, Some(claims.clone()));
            }
            node.read_offset = self.log.len();
            node.next_read =
                now + Span::from_millis(self.rng.random_range(20..self.max_read_delay_ms));
            node.apply_shares(now);
        }
        if now >= node.next_update {
            let Node { balancer, shares, .. } = node;
            let demand = |process| {
                let upstream = balancer.upstream_of(process);
                upstream.map(|upstream| balancer.limit_demand(now, upstream)).unwrap_or_default()
            };
            let record = shares.update(now, is_log_reachable, demand);
            self.log.extend(record.map(|record| (shares.node(), record)));
            node.apply_shares(now);
            let step = node.shares.next_warmup_step(now).unwrap_or(UPDATE_PERIOD);
            node.next_update = now + step.min(UPDATE_PERIOD);
        }
        let expected = self.demands[index] * STEP.as_secs_f64();
        let requests = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..requests {
            self.send(index);
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.now;
        let delay = Span::from_millis(self.rng.random_range(0..MAX_SEND_MS));
        let node = &mut self.nodes[index];
        let request = PlainPickRequest {
            service: "s",
            zone: "a",
            tried: &[],
            connected: &NO_CONNECTIONS,
            suspect: false,
            origin: RequestOrigin::Caller,
            software_version: None,
            home: None,
            jitter_seed: self.rng.random(),
        };
        let Some(upstream) = node.balancer.pick_plain(now, &request) else {
            if node.balancer.key("e0").is_none() {
                return;
            }
            let return_in = node.balancer.record_limited(now, "s", RequestOrigin::Caller, None);
            assert!(return_in.is_some_and(|span| span > Span::ZERO), "refused without a time");
            self.refused += 1;
            return;
        };
        node.balancer.begin_request(now, upstream, RequestOrigin::Caller);
        let took = ExchangeOutcome::Answered(Span::from_millis(30));
        node.balancer.finish_request(now, upstream, took);
        // The process check stops requests of nodes that do not know of the restart yet.
        if node.knows_restart || self.entries[0].started_at_ms == Some(1) {
            let upstream =
                self.entries.iter().position(|entry| entry.id == node.balancer.entry(upstream).id);
            self.arrivals[upstream.unwrap()].push(now + delay);
        }
    }
}

impl Node {
    fn new(index: usize, incarnation: u64, now: Moment, entries: &[UpstreamEntry]) -> Self {
        let digest = NodeDigest(base::stable_hash(&format!("vm-{index}")));
        let mut node = Self {
            shares: LimitShares::new(digest, Incarnation(incarnation)),
            balancer: UpstreamBalancer::default(),
            learns_at: None,
            knows_restart: false,
            next_update: now,
            next_read: now,
            read_offset: 0,
            cut_from: NEVER,
            ends_at: NEVER,
        };
        node.balancer.set_warmups(HashMap::from([(String::from("s"), WARMUP)]));
        node.learn(now, entries);
        node
    }

    fn learn(&mut self, now: Moment, entries: &[UpstreamEntry]) {
        for entry in entries {
            let (upstream, _) = self.balancer.update(entry.clone());
            self.balancer.record_entry_warmup(now, upstream);
            let limit = self.balancer.warmup_limit(now, upstream);
            self.shares.set_warmup(now, entry.process(), limit);
            self.apply_share(now, upstream);
        }
    }

    fn apply_share(&mut self, now: Moment, upstream: UpstreamKey) {
        let share = self.shares.share(now, self.balancer.entry(upstream).process());
        self.balancer.set_limit_share(now, upstream, share);
    }

    fn apply_shares(&mut self, now: Moment) {
        let upstreams: Vec<UpstreamKey> = self.balancer.usable_upstreams(now, "s").collect();
        for upstream in upstreams {
            self.apply_share(now, upstream);
        }
    }
}
