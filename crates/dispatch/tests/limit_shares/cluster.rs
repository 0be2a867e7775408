//! Nodes with buckets, one limited upstream, and a log with delays and faults.

use std::collections::{BTreeMap, VecDeque};

use base::{Incarnation, Moment, NodeDigest, ProcessDigest, RequestRate, Span};
use dispatch::{LimitDemand, LimitShares, NodeClaims, RequestBucket, WantedRate};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const PROCESS: ProcessDigest = ProcessDigest(0x5eed);

/// Step of the virtual time.
const STEP: Span = Span::from_millis(10);

/// Interval between updates of a node.
const UPDATE_PERIOD: Span = Span::from_millis(500);

/// Time over which a node measures its demand.
const DEMAND_WINDOW: Span = Span::from_secs(4);

/// Size and load of a [`Cluster`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClusterOptions {
    pub(crate) nodes: usize,
    pub(crate) seed: u64,
    /// Requests per second of all nodes together. A third of them comes from one node.
    pub(crate) demand_per_second: f64,
}

/// Fault of the log or the nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No node reaches the log for 8 s.
    Outage,
    /// No node reaches the log for 25 s.
    LongOutage,
    /// A third of the nodes does not reach the log for 9 s.
    CutNodes,
    /// A third of the nodes restarts.
    Restarts,
    /// Nodes read up to 2 s late for 20 s.
    SlowReads,
    /// Half of the appends take effect without a response for 15 s.
    LostAppends,
    /// Half of the appends of 15 s take effect up to 6 s later.
    LateAppends,
    /// Most of them one after the other, and overlapping.
    Series,
}

#[derive(Debug, Clone)]
enum Record {
    Limit(Option<RequestRate>),
    Claims(NodeDigest, NodeClaims),
}

struct Node {
    shares: LimitShares,
    bucket: Option<RequestBucket>,
    next_update: Moment,
    next_read: Moment,
    read_offset: usize,
    /// The log is unreachable until then.
    cut_until: Moment,
    demand: VecDeque<Moment>,
    /// Part of all requests that arrive here.
    weight: f64,
    /// Requests sent to the upstream whose responses are on the way: when they arrive, when the
    /// request was sent, and the limit that they name.
    responses: VecDeque<(Moment, Moment, Option<RequestRate>)>,
}

/// The nodes, the upstream and the log.
pub(crate) struct Cluster {
    options: ClusterOptions,
    now: Moment,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    log: Vec<Record>,
    /// Appends that take effect later.
    late: BTreeMap<(Moment, usize), Vec<Record>>,
    limit: Option<RequestRate>,
    reads_slow_until: Moment,
    appends_lost_until: Moment,
    appends_late_until: Moment,
    restarts: u64,
    /// Arrivals of requests at the upstream.
    pub(crate) arrivals: Vec<Moment>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self { nodes: 11, seed: 1, demand_per_second: 120.0 }
    }
}

impl Cluster {
    pub(crate) fn new(options: ClusterOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let now = Moment(1_000_000_000);
        let nodes = (0..options.nodes).map(|index| {
            let weight = if index == 0 { 0.33 } else { 0.67 / (options.nodes - 1) as f64 };
            let phase = Span(rng.random_range(0..UPDATE_PERIOD.0));
            Node::new(index, 0, now + phase, weight)
        });
        let nodes = nodes.collect();
        Self {
            options,
            now,
            rng,
            nodes,
            log: Vec::new(),
            late: BTreeMap::new(),
            limit: None,
            reads_slow_until: now,
            appends_lost_until: now,
            appends_late_until: now,
            restarts: 0,
            arrivals: Vec::new(),
        }
    }

    pub(crate) const fn now(&self) -> Moment {
        self.now
    }

    pub(crate) const fn set_limit(&mut self, limit: Option<RequestRate>) {
        self.limit = limit;
    }

    pub(crate) fn inject(&mut self, fault: Fault) {
        let cut = |node: &mut Node, until: Moment| node.cut_until = node.cut_until.max(until);
        let now = self.now;
        match fault {
            Fault::Outage => {
                self.nodes.iter_mut().for_each(|node| cut(node, now + Span::from_secs(8)));
            }
            Fault::LongOutage => {
                self.nodes.iter_mut().for_each(|node| cut(node, now + Span::from_secs(25)));
            }
            Fault::CutNodes => {
                let nodes = self.nodes.iter_mut().step_by(3);
                nodes.for_each(|node| cut(node, now + Span::from_secs(9)));
            }
            Fault::Restarts => {
                for index in (0..self.nodes.len()).step_by(3) {
                    self.restarts += 1;
                    let weight = self.nodes[index].weight;
                    self.nodes[index] = Node::new(index, self.restarts, now, weight);
                }
            }
            Fault::SlowReads => self.reads_slow_until = now + Span::from_secs(20),
            Fault::LostAppends => self.appends_lost_until = now + Span::from_secs(15),
            Fault::LateAppends => self.appends_late_until = now + Span::from_secs(15),
            Fault::Series => {
                self.inject(Fault::LateAppends);
                self.run(Span::from_secs(2));
                self.inject(Fault::Restarts);
                self.inject(Fault::SlowReads);
                self.run(Span::from_secs(1));
                self.inject(Fault::CutNodes);
                self.run(Span::from_secs(5));
                self.inject(Fault::Outage);
                self.run(Span::from_secs(4));
                self.inject(Fault::Restarts);
            }
        }
    }

    pub(crate) fn run(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.apply_late_appends();
            for index in 0..self.nodes.len() {
                self.receive_responses(index);
                self.read(index);
                self.update(index);
            }
            self.send_requests();
        }
    }

    fn apply_late_appends(&mut self) {
        while let Some(entry) = self.late.first_entry()
            && entry.key().0 <= self.now
        {
            let records = entry.remove();
            self.log.extend(records);
        }
    }

    fn receive_responses(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        while let Some((arrives_at, sent_at, limit)) = node.responses.front().copied()
            && arrives_at <= now
        {
            node.responses.pop_front();
            if node.shares.observe(now, sent_at, PROCESS, limit) {
                node.next_update = now + Span::from_millis(20);
                node.apply_rate(now);
            }
        }
    }

    fn read(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if now < node.next_read || now < node.cut_until {
            return;
        }
        let slow = now < self.reads_slow_until;
        let delay = self.rng.random_range(20..if slow { 2_000 } else { 300 });
        node.next_read = now + Span::from_millis(delay);
        if node.read_offset == 0 {
            node.shares.begin_full_read(now, |_| true, |_| true);
        }
        for record in &self.log[node.read_offset..] {
            match record {
                Record::Limit(limit) => {
                    if node.shares.apply_limit(now, PROCESS, *limit) {
                        node.next_update = now + Span::from_millis(20);
                    }
                }
                Record::Claims(writer, claims) => {
                    node.shares.apply_claims(now, *writer, Some(claims.clone()));
                }
            }
        }
        node.read_offset = self.log.len();
        node.apply_rate(now);
    }

    fn update(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if now < node.next_update {
            return;
        }
        node.next_update = now + UPDATE_PERIOD;
        node.demand.retain(|at| now.since(*at) < DEMAND_WINDOW);
        let is_unused = node.bucket.is_some_and(|bucket| bucket.is_unused(now));
        let demand = if is_unused { 0 } else { node.demand.len() as u64 };
        let wanted =
            WantedRate { callers: RequestRate(demand * 1_000 / 4), items: RequestRate::ZERO };
        let demand = LimitDemand { service: 1, wanted };
        let claims = node.shares.update(now, now >= node.cut_until, |_| demand);
        node.apply_rate(now);
        if node.shares.take_probe(now, PROCESS)
            && let Some(bucket) = &mut node.bucket
        {
            bucket.add_token(now);
        }
        let limits = node.shares.take_unsent_limits();
        let mut records: Vec<Record> = limits.values().map(|limit| Record::Limit(*limit)).collect();
        let me = node.shares.node();
        records.extend(claims.map(|claims| Record::Claims(me, claims)));
        if records.is_empty() {
            return;
        }
        let unanswered = if now < node.cut_until {
            true
        } else if now < self.appends_late_until && self.rng.random_bool(0.5) {
            let delay = Span::from_millis(self.rng.random_range(100..6_000));
            self.late.insert((now + delay, index), records);
            true
        } else {
            self.log.extend(records);
            now < self.appends_lost_until && self.rng.random_bool(0.5)
        };
        let node = &mut self.nodes[index];
        if unanswered {
            node.shares.restore_unsent_limits(limits);
            node.shares.retry_record();
        }
    }

    /// Sends the requests of one step. Their number varies, and a third of the time has most of
    /// them.
    fn send_requests(&mut self) {
        let now = self.now;
        let burst = if (now.0 / 1_000_000).is_multiple_of(3) { 2.0 } else { 0.5 };
        let expected = self.options.demand_per_second * STEP.as_secs_f64() * burst;
        let requests = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..requests {
            let mut chosen = self.rng.random_range(0.0..1.0);
            let index = self.nodes.iter().position(|node| {
                chosen -= node.weight;
                chosen < 0.0
            });
            let node = &mut self.nodes[index.unwrap_or(0)];
            node.demand.push_back(now);
            if node.bucket.is_some_and(|bucket| !bucket.has_token(now)) {
                continue;
            }
            if let Some(bucket) = &mut node.bucket {
                bucket.take(now);
            }
            self.arrivals.push(now);
            let delay = Span::from_millis(self.rng.random_range(10..200));
            node.responses.push_back((now + delay, now, self.limit));
        }
    }
}

impl Node {
    fn new(index: usize, incarnation: u64, now: Moment, weight: f64) -> Self {
        let digest = NodeDigest(base::stable_hash(&format!("vm-{index}")));
        Self {
            shares: LimitShares::new(digest, Incarnation(incarnation)),
            bucket: None,
            next_update: now,
            next_read: now,
            read_offset: 0,
            cut_until: Moment(0),
            demand: VecDeque::new(),
            weight,
            responses: VecDeque::new(),
        }
    }

    fn apply_rate(&mut self, now: Moment) {
        let rate = self.shares.share(now, PROCESS).map(|share| share.rate());
        match (&mut self.bucket, rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(now, rate),
            (bucket, Some(rate)) => *bucket = Some(RequestBucket::new(now, rate)),
            (bucket, None) => *bucket = None,
        }
    }
}
