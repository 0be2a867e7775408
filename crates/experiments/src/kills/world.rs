//! Simulates one kill schedule in virtual time: nodes of three zones, the log, and the messages
//! between them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use base::{FencingToken, Incarnation, LogOffset, Moment, RecordId, Span};
use protocol::{UsageEntry, decode_record};
use rand::{RngExt, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use record_log::{BatchRecord, BatchTicket, WriterAction};
use usage::{
    HoldOutcome, OriginState, UsageBatch, UsageLedger, UsageRecord, WindowClose, WindowNumber,
};

use super::node::{STREAM, UsageNode, request_count};

const ZONES: usize = 3;
const NODES: usize = 6;
const STEP: Span = Span::from_millis(100);
const RUN_END: Moment = Moment(200_000_000);
/// Requests end this early so that all buffered usage can reach the log before the run ends.
const TRAFFIC_END: Moment = Moment(120_000_000);
/// Time after a kill during which other nodes still choose the killed one as replica holder.
const SUSPECT_AFTER: Span = Span::from_secs(3);
/// Time after a kill at which the other nodes count the process as gone.
const GONE_AFTER: Span = Span::from_secs(10);
/// Time after a kill at which a new process starts on the same node.
const RESTART_AFTER: Span = Span::from_secs(30);
const LOG_READ_PERIOD: Span = Span::from_millis(500);
const WINDOW_LENGTH: Span = Span::from_secs(20);
/// Fencing token with which all windows are closed.
const FENCING: FencingToken = FencingToken(0);
/// Distance between the first incarnations of two nodes. A restart counts up by one.
const INCARNATION_STRIDE: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KillKind {
    None,
    Single,
    Double,
    Zone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplicaUse {
    OtherZone,
    /// Baseline: until the log has a batch, it exists only on the node that served its requests.
    Unused,
}

/// Outcome of one schedule, counted in requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ScheduleResult {
    pub(crate) answered: u64,
    pub(crate) billed: u64,
    /// Lost in excess of the usage whose only copies were on killed nodes.
    pub(crate) lost_beyond_bound: u64,
    /// Billed beyond the batches that the log holds.
    pub(crate) billed_twice: u64,
    /// Billed beyond the requests that the process answered.
    pub(crate) billed_unanswered: u64,
    /// Age, at the time of the kill, of the oldest usage that was lost.
    pub(crate) oldest_lost: Span,
}

impl ScheduleResult {
    pub(crate) const fn lost(&self) -> u64 {
        self.answered.saturating_sub(self.billed)
    }
}

/// A message between nodes, or between a node and the log. `from` and `to` are indices of nodes.
enum Message {
    Hold { from: usize, to: usize, batch: UsageBatch },
    Held { to: usize, origin: Incarnation, id: RecordId, holder: Incarnation },
    Append { from: usize, origin: Incarnation, ticket: BatchTicket, records: Arc<[BatchRecord]> },
    Appended { to: usize, origin: Incarnation, ticket: BatchTicket, first: LogOffset },
}

/// Usage whose only copies were on killed nodes, so that it may be lost.
struct AtRiskUsage {
    origin: Incarnation,
    requests: u64,
    /// `None` for usage that was in no batch yet.
    id: Option<RecordId>,
    age: Span,
}

struct World {
    now: Moment,
    rng: ChaCha8Rng,
    replica_use: ReplicaUse,
    nodes: Vec<Option<UsageNode>>,
    /// Node, incarnation and time of every kill.
    killed: Vec<(usize, Incarnation, Moment)>,
    messages: Vec<(Moment, Message)>,
    log: Vec<UsageRecord>,
    in_log: BTreeSet<RecordId>,
    /// Begin and end of the time in which the log accepts and serves nothing.
    outage: (Moment, Moment),
    answered: BTreeMap<Incarnation, u64>,
    /// When the first request of each batch was answered.
    batch_started_at: BTreeMap<RecordId, Moment>,
    at_risk: Vec<AtRiskUsage>,
}

/// Runs one schedule. The result depends only on the arguments.
pub(crate) fn run_schedule(kind: KillKind, replica_use: ReplicaUse, seed: u64) -> ScheduleResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let first_kill = Moment(rng.random_range(30_000_000..60_000_000));
    let kill_gap = Span(rng.random_range(0..20_000_000));
    let victim = rng.random_range(0..NODES);
    let outage_start = first_kill.0 - 20_000_000 + rng.random_range(0..25_000_000);
    let outage_length =
        if rng.random_bool(0.7) { rng.random_range(5_000_000..45_000_000) } else { 0 };
    let mut world = World {
        now: Moment(0),
        rng,
        replica_use,
        nodes: (0..NODES as u64)
            .map(|index| Some(UsageNode::new(index * INCARNATION_STRIDE)))
            .collect(),
        killed: Vec::new(),
        messages: Vec::new(),
        log: Vec::new(),
        in_log: BTreeSet::new(),
        outage: (Moment(outage_start), Moment(outage_start + outage_length)),
        answered: BTreeMap::new(),
        batch_started_at: BTreeMap::new(),
        at_risk: Vec::new(),
    };
    let holder = world.replica_holder(victim).unwrap_or(victim);
    let mut kills = match kind {
        KillKind::None => Vec::new(),
        KillKind::Single => vec![(first_kill, vec![victim])],
        KillKind::Double => vec![(first_kill, vec![victim]), (first_kill + kill_gap, vec![holder])],
        KillKind::Zone => {
            vec![(first_kill, (0..NODES).filter(|node| node % ZONES == victim % ZONES).collect())]
        }
    };
    while world.now < RUN_END {
        world.now += STEP;
        while kills.first().is_some_and(|(at, _)| *at <= world.now) {
            let (_, indices) = kills.remove(0);
            world.kill(&indices);
        }
        world.step();
    }
    world.result()
}

impl World {
    fn log_is_up(&self) -> bool {
        !(self.outage.0..self.outage.1).contains(&self.now)
    }

    /// Returns the next node in another zone that does not count as suspect.
    fn replica_holder(&self, index: usize) -> Option<usize> {
        let others = (1..NODES).map(|distance| (index + distance) % NODES);
        others.filter(|other| other % ZONES != index % ZONES).find(|other| {
            self.nodes[*other].is_some()
                || self
                    .killed
                    .iter()
                    .any(|(killed, _, at)| killed == other && self.now.since(*at) < SUSPECT_AFTER)
        })
    }

    fn kill(&mut self, indices: &[usize]) {
        let dead = indices.iter().filter_map(|index| Some((*index, self.nodes[*index].take()?)));
        let dead = dead.collect::<Vec<_>>();
        let mut at_risk: BTreeMap<RecordId, u64> = BTreeMap::new();
        for (index, node) in dead {
            self.killed.push((index, node.incarnation, self.now));
            if node.unbatched > 0 {
                self.at_risk.push(AtRiskUsage {
                    origin: node.incarnation,
                    requests: node.unbatched,
                    id: None,
                    age: self.now.since(node.unbatched_since),
                });
            }
            at_risk.extend(node.copies);
        }
        for (id, requests) in at_risk {
            let has_copy = |node: &UsageNode| node.copies.contains_key(&id);
            if self.in_log.contains(&id) || self.nodes.iter().flatten().any(has_copy) {
                continue;
            }
            let age = self.now.since(self.batch_started_at[&id]);
            self.at_risk.push(AtRiskUsage { origin: id.writer, requests, id: Some(id), age });
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for (index, incarnation, at) in self.killed.clone() {
            if now.since(at).0 / STEP.0 == GONE_AFTER.0 / STEP.0 {
                for node in self.nodes.iter_mut().flatten() {
                    node.replicas.origin_ended(now, incarnation);
                    node.pending.holder_lost(now, incarnation);
                }
            }
            if now.since(at) >= RESTART_AFTER && self.nodes[index].is_none() {
                self.nodes[index] = Some(UsageNode::new(incarnation.0 + 1));
            }
        }
        let due;
        (due, self.messages) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        let due: Vec<(Moment, Message)> = due;
        for (_, message) in due {
            self.deliver(message);
        }
        // Leases are tested elsewhere and not simulated here, so one writer closes all windows.
        if now.0.is_multiple_of(WINDOW_LENGTH.0) && self.log_is_up() {
            let closed = self.log.iter().rev().find_map(|record| match record {
                UsageRecord::Close(close) => Some(close.window.next()),
                _ => None,
            });
            let window = closed.unwrap_or(WindowNumber(0));
            self.log.push(UsageRecord::Close(WindowClose { window, fencing: FENCING }));
        }
        for index in 0..NODES {
            self.run_node(index);
        }
    }

    fn run_node(&mut self, index: usize) {
        let now = self.now;
        let holder = self.replica_holder(index);
        let reads_log = now.0.is_multiple_of(LOG_READ_PERIOD.0) && self.log_is_up();
        let Some(node) = &mut self.nodes[index] else { return };
        if now < TRAFFIC_END {
            for _ in 0..self.rng.random_range(0..5) {
                node.answer_request(now);
                *self.answered.entry(node.incarnation).or_default() += 1;
            }
        }
        if reads_log {
            for record in &self.log[node.read_records..] {
                if let UsageRecord::Batch(batch) = record {
                    node.mark_committed(batch.id);
                }
            }
            node.read_records = self.log.len();
        }
        let started_at = node.unbatched_since;
        if let Some(batch) = node.close_batch(now) {
            self.batch_started_at.insert(batch.id, started_at);
        }
        let mut outgoing = Vec::new();
        if self.replica_use == ReplicaUse::OtherZone {
            for batch in node.pending.poll(now) {
                let Some(to) = holder else { continue };
                outgoing.push(Message::Hold { from: index, to, batch });
            }
        }
        for batch in node.replicas.poll(now) {
            node.append(&batch);
        }
        let origin = node.incarnation;
        for action in node.writer.tick(now) {
            let WriterAction::Send { ticket, records, .. } = action else { continue };
            outgoing.push(Message::Append { from: index, origin, ticket, records });
        }
        for message in outgoing {
            self.send(message);
        }
    }

    /// Puts a message on its way, or loses it (one in twenty). One append in twenty takes effect 1
    /// to 8 s later, possibly after its writer was killed.
    fn send(&mut self, message: Message) {
        if self.rng.random_ratio(1, 20) {
            return;
        }
        let is_late = matches!(message, Message::Append { .. }) && self.rng.random_ratio(1, 20);
        let delay = if is_late { self.rng.random_range(1_000_000..8_000_000) } else { 1_000 };
        self.messages.push((self.now + Span(delay), message));
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Hold { from, to, batch } => {
                let Some(node) = &mut self.nodes[to] else { return };
                let (id, requests) = (batch.id, request_count(&batch));
                if node.replicas.hold(now, batch, OriginState::Live) == HoldOutcome::Held {
                    node.copies.insert(id, requests);
                    let holder = node.incarnation;
                    self.send(Message::Held { to: from, origin: id.writer, id, holder });
                }
            }
            Message::Held { to, origin, id, holder } => {
                if let Some(node) = &mut self.nodes[to]
                    && node.incarnation == origin
                {
                    node.pending.mark_held(id, holder);
                }
            }
            Message::Append { from, origin, ticket, records } => {
                if !self.log_is_up() {
                    return;
                }
                let first = LogOffset(self.log.len() as u64);
                for record in records.iter() {
                    let decoded = decode_record::<UsageEntry>(&record.data);
                    let Ok((id, UsageEntry::Usage(record))) = decoded else {
                        panic!("cannot decode a usage record appended by {origin:?}");
                    };
                    self.in_log.insert(id);
                    self.log.push(record);
                }
                // One response to an append in ten is lost, in addition to the loss in `send`.
                if !self.rng.random_ratio(1, 10) {
                    self.send(Message::Appended { to: from, origin, ticket, first });
                }
            }
            Message::Appended { to, origin, ticket, first } => {
                if let Some(node) = &mut self.nodes[to]
                    && node.incarnation == origin
                {
                    let actions = node.writer.acknowledge(now, STREAM, ticket, first);
                    for action in actions {
                        let WriterAction::Send { ticket, records, .. } = action else { continue };
                        self.send(Message::Append { from: to, origin, ticket, records });
                    }
                }
            }
        }
    }

    fn result(&self) -> ScheduleResult {
        let mut ledger = UsageLedger::new();
        let mut requests_by_batch: BTreeMap<RecordId, u64> = BTreeMap::new();
        for (offset, record) in self.log.iter().enumerate() {
            ledger.apply(LogOffset(offset as u64), record, Some(FENCING));
            if let UsageRecord::Batch(batch) = record {
                requests_by_batch.insert(batch.id, request_count(batch));
            }
        }
        let mut result = ScheduleResult {
            answered: 0,
            billed: 0,
            lost_beyond_bound: 0,
            billed_twice: 0,
            billed_unanswered: 0,
            oldest_lost: Span::ZERO,
        };
        for (incarnation, answered) in &self.answered {
            let customer = UsageNode::customer_name(*incarnation);
            let closed = ledger.windows().map(|(_, closed)| &closed.usage);
            let usages = closed.chain([ledger.open_usage()]);
            let billed = usages.map(|usage| usage.get(&customer).requests).sum::<u64>();
            let batches = requests_by_batch.iter().filter(|(id, _)| id.writer == *incarnation);
            let batched = batches.map(|(_, requests)| requests).sum::<u64>();
            let at_risk = self.at_risk.iter().filter(|at_risk| at_risk.origin == *incarnation);
            let bound = at_risk.map(|at_risk| at_risk.requests).sum::<u64>();
            result.answered += answered;
            result.billed += billed;
            result.billed_twice += billed.saturating_sub(batched);
            result.billed_unanswered += billed.saturating_sub(*answered);
            result.lost_beyond_bound += answered.saturating_sub(billed + bound);
        }
        let is_lost =
            |at_risk: &&AtRiskUsage| at_risk.id.is_none_or(|id| !self.in_log.contains(&id));
        let ages = self.at_risk.iter().filter(is_lost).map(|at_risk| at_risk.age);
        result.oldest_lost = ages.max().unwrap_or(Span::ZERO);
        result
    }
}
