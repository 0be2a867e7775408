//! One schedule in virtual time: nodes of three zones, their log, and the messages between them.

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

use super::node::{STREAM, UsageNode, requests};

const ZONES: usize = 3;
const NODES: usize = 6;
const STEP: Span = Span::from_millis(100);
const END: Moment = Moment(200_000_000);
/// Traffic ends early enough for every buffer to reach the log.
const TRAFFIC_END: Moment = Moment(120_000_000);
const SUSPECT_AFTER: Span = Span::from_secs(3);
const GONE_AFTER: Span = Span::from_secs(10);
const REPLACED_AFTER: Span = Span::from_secs(30);
const POLL: Span = Span::from_millis(500);
const WINDOW: Span = Span::from_secs(20);
const LEASE: FencingToken = FencingToken(0);
/// Incarnations of one place differ by this.
const PLACE_STRIDE: u64 = 100;

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
    /// Baseline: batches exist only on the node that served.
    Unused,
}

/// Requests of one schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ScheduleResult {
    pub(crate) answered: u64,
    pub(crate) billed: u64,
    /// Lost beyond the usage whose only copies were on killed nodes.
    pub(crate) lost_beyond_bound: u64,
    /// Billed beyond the batches that the log holds.
    pub(crate) billed_twice: u64,
    /// Billed beyond what the process answered.
    pub(crate) billed_unanswered: u64,
    /// Age at the kill of the oldest usage that was lost.
    pub(crate) oldest_lost: Span,
}

impl ScheduleResult {
    pub(crate) const fn lost(&self) -> u64 {
        self.answered.saturating_sub(self.billed)
    }
}

enum Message {
    Hold { from: usize, to: usize, batch: UsageBatch },
    Held { to: usize, origin: Incarnation, id: RecordId, holder: Incarnation },
    Append { from: usize, origin: Incarnation, ticket: BatchTicket, records: Arc<[BatchRecord]> },
    Appended { to: usize, origin: Incarnation, ticket: BatchTicket, first: LogOffset },
}

/// A batch whose only copies were on killed nodes.
struct Exposed {
    origin: Incarnation,
    requests: u64,
    /// `None` for usage that no batch contained.
    id: Option<RecordId>,
    age: Span,
}

struct World {
    now: Moment,
    rng: ChaCha8Rng,
    replica_use: ReplicaUse,
    nodes: Vec<Option<UsageNode>>,
    killed: Vec<(usize, Incarnation, Moment)>,
    messages: Vec<(Moment, Message)>,
    log: Vec<UsageRecord>,
    in_log: BTreeSet<RecordId>,
    outage: (Moment, Moment),
    answered: BTreeMap<Incarnation, u64>,
    cut_since: BTreeMap<RecordId, Moment>,
    exposed: Vec<Exposed>,
}

/// Runs one schedule. The same arguments give the same result.
pub(crate) fn run_schedule(kind: KillKind, replica_use: ReplicaUse, seed: u64) -> ScheduleResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let first_kill = Moment(rng.random_range(30_000_000..60_000_000));
    let gap = Span(rng.random_range(0..20_000_000));
    let victim = rng.random_range(0..NODES);
    let outage_start = first_kill.0 - 20_000_000 + rng.random_range(0..25_000_000);
    let outage_length =
        if rng.random_bool(0.7) { rng.random_range(5_000_000..45_000_000) } else { 0 };
    let mut world = World {
        now: Moment(0),
        rng,
        replica_use,
        nodes: (0..NODES as u64).map(|place| Some(UsageNode::new(place * PLACE_STRIDE))).collect(),
        killed: Vec::new(),
        messages: Vec::new(),
        log: Vec::new(),
        in_log: BTreeSet::new(),
        outage: (Moment(outage_start), Moment(outage_start + outage_length)),
        answered: BTreeMap::new(),
        cut_since: BTreeMap::new(),
        exposed: Vec::new(),
    };
    let holder = world.replica_holder(victim).unwrap_or(victim);
    let mut kills = match kind {
        KillKind::None => Vec::new(),
        KillKind::Single => vec![(first_kill, vec![victim])],
        KillKind::Double => vec![(first_kill, vec![victim]), (first_kill + gap, vec![holder])],
        KillKind::Zone => {
            vec![(first_kill, (0..NODES).filter(|node| node % ZONES == victim % ZONES).collect())]
        }
    };
    while world.now < END {
        world.now += STEP;
        while kills.first().is_some_and(|(at, _)| *at <= world.now) {
            let (_, places) = kills.remove(0);
            world.kill(&places);
        }
        world.step();
    }
    world.result()
}

impl World {
    fn log_is_up(&self) -> bool {
        !(self.outage.0..self.outage.1).contains(&self.now)
    }

    /// The next place of another zone that does not count as suspect.
    fn replica_holder(&self, place: usize) -> Option<usize> {
        let others = (1..NODES).map(|distance| (place + distance) % NODES);
        others.filter(|other| other % ZONES != place % ZONES).find(|other| {
            self.nodes[*other].is_some()
                || self
                    .killed
                    .iter()
                    .any(|(killed, _, at)| killed == other && self.now.since(*at) < SUSPECT_AFTER)
        })
    }

    fn kill(&mut self, places: &[usize]) {
        let dead = places.iter().filter_map(|place| Some((*place, self.nodes[*place].take()?)));
        let dead = dead.collect::<Vec<_>>();
        let mut exposed: BTreeMap<RecordId, u64> = BTreeMap::new();
        for (place, node) in dead {
            self.killed.push((place, node.incarnation, self.now));
            if node.unbatched > 0 {
                self.exposed.push(Exposed {
                    origin: node.incarnation,
                    requests: node.unbatched,
                    id: None,
                    age: self.now.since(node.unbatched_since),
                });
            }
            exposed.extend(node.copies);
        }
        for (id, requests) in exposed {
            let has_copy = |node: &UsageNode| node.copies.contains_key(&id);
            if self.in_log.contains(&id) || self.nodes.iter().flatten().any(has_copy) {
                continue;
            }
            let age = self.now.since(self.cut_since[&id]);
            self.exposed.push(Exposed { origin: id.writer, requests, id: Some(id), age });
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for (place, incarnation, at) in self.killed.clone() {
            if now.since(at).0 / STEP.0 == GONE_AFTER.0 / STEP.0 {
                for node in self.nodes.iter_mut().flatten() {
                    node.replicas.origin_ended(now, incarnation);
                    node.pending.holder_lost(now, incarnation);
                }
            }
            if now.since(at) >= REPLACED_AFTER && self.nodes[place].is_none() {
                self.nodes[place] = Some(UsageNode::new(incarnation.0 + 1));
            }
        }
        let due;
        (due, self.messages) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        let due: Vec<(Moment, Message)> = due;
        for (_, message) in due {
            self.deliver(message);
        }
        // The lease is checked elsewhere, so one writer closes all windows.
        if now.0.is_multiple_of(WINDOW.0) && self.log_is_up() {
            let closed = self.log.iter().rev().find_map(|record| match record {
                UsageRecord::Close(close) => Some(close.window.next()),
                _ => None,
            });
            let window = closed.unwrap_or(WindowNumber(0));
            self.log.push(UsageRecord::Close(WindowClose { window, fencing: LEASE }));
        }
        for place in 0..NODES {
            self.run_node(place);
        }
    }

    fn run_node(&mut self, place: usize) {
        let now = self.now;
        let holder = self.replica_holder(place);
        let reads = now.0.is_multiple_of(POLL.0) && self.log_is_up();
        let Some(node) = &mut self.nodes[place] else { return };
        if now < TRAFFIC_END {
            for _ in 0..self.rng.random_range(0..5) {
                node.answer_request(now);
                *self.answered.entry(node.incarnation).or_default() += 1;
            }
        }
        if reads {
            for record in &self.log[node.read..] {
                if let UsageRecord::Batch(batch) = record {
                    node.mark_committed(batch.id);
                }
            }
            node.read = self.log.len();
        }
        let since = node.unbatched_since;
        if let Some(batch) = node.cut(now) {
            self.cut_since.insert(batch.id, since);
        }
        let mut sent = Vec::new();
        if self.replica_use == ReplicaUse::OtherZone {
            for batch in node.pending.poll(now) {
                let Some(to) = holder else { continue };
                sent.push(Message::Hold { from: place, to, batch });
            }
        }
        for batch in node.replicas.poll(now) {
            node.append(&batch);
        }
        let origin = node.incarnation;
        for action in node.writer.tick(now) {
            let WriterAction::Send { ticket, records, .. } = action else { continue };
            sent.push(Message::Append { from: place, origin, ticket, records });
        }
        for message in sent {
            self.send(message);
        }
    }

    /// Loses one message in twenty. An append may take effect seconds later, also after its writer
    /// was killed.
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
                let (id, count) = (batch.id, requests(&batch));
                if node.replicas.hold(now, batch, OriginState::Live) == HoldOutcome::Held {
                    node.copies.insert(id, count);
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
                        panic!("a record of the writer cannot be decoded");
                    };
                    self.in_log.insert(id);
                    self.log.push(record);
                }
                // One answer in ten is lost on top of the usual losses.
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
        let mut in_batches: BTreeMap<RecordId, u64> = BTreeMap::new();
        for (offset, record) in self.log.iter().enumerate() {
            ledger.apply(LogOffset(offset as u64), record, Some(LEASE));
            if let UsageRecord::Batch(batch) = record {
                in_batches.insert(batch.id, requests(batch));
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
            let customer = UsageNode::customer(*incarnation);
            let closed = ledger.windows().map(|(_, closed)| &closed.usage);
            let figures = closed.chain([ledger.open_usage()]);
            let billed = figures.map(|figures| figures.get(&customer).requests).sum::<u64>();
            let batches = in_batches.iter().filter(|(id, _)| id.writer == *incarnation);
            let batched = batches.map(|(_, requests)| requests).sum::<u64>();
            let exposed = self.exposed.iter().filter(|exposed| exposed.origin == *incarnation);
            let bound = exposed.map(|exposed| exposed.requests).sum::<u64>();
            result.answered += answered;
            result.billed += billed;
            result.billed_twice += billed.saturating_sub(batched);
            result.billed_unanswered += billed.saturating_sub(*answered);
            result.lost_beyond_bound += answered.saturating_sub(billed + bound);
        }
        let is_lost = |exposed: &&Exposed| exposed.id.is_none_or(|id| !self.in_log.contains(&id));
        let ages = self.exposed.iter().filter(is_lost).map(|exposed| exposed.age);
        result.oldest_lost = ages.max().unwrap_or(Span::ZERO);
        result
    }
}
