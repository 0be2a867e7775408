//! Property tests of the usage per window over random interleavings of appends, crashes and closes,
//! one per seed.

use std::collections::BTreeMap;

use base::{FencingToken, Incarnation, LogOffset, Moment, RecordId, Span};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use usage::{
    IgnoredReason, LedgerOutcome, OriginState, PendingBatches, ReplicaStore, UsageAmount,
    UsageBatch, UsageLedger, UsageMeter, UsageRecord, WindowClose, WindowNumber,
};

type LogEntry = (UsageRecord, Option<FencingToken>);

struct Node {
    incarnation: Incarnation,
    sequence: u64,
    meter: UsageMeter,
    pending: PendingBatches,
    store: ReplicaStore,
    // Batches that the node's log writer sends until the log acknowledges them.
    unacknowledged: Vec<UsageBatch>,
}

impl Node {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation: Incarnation(incarnation),
            sequence: 0,
            meter: UsageMeter::new(Span::ZERO),
            pending: PendingBatches::new(Span::ZERO),
            store: ReplicaStore::new(1_000, Span::ZERO, Span::from_secs(3_600)),
            unacknowledged: Vec::new(),
        }
    }
}

struct Simulation {
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    next_incarnation: u64,
    delayed: Vec<UsageRecord>,
    log: Vec<LogEntry>,
    lease: u64,
    // Requests of every batch, and the processes that have received a copy of it.
    batch_requests: BTreeMap<RecordId, u64>,
    copies: BTreeMap<RecordId, Vec<Incarnation>>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (1..=4).map(Node::new).collect(),
            next_incarnation: 5,
            delayed: Vec::new(),
            log: Vec::new(),
            lease: 1,
            batch_requests: BTreeMap::new(),
            copies: BTreeMap::new(),
        }
    }

    /// Appends a record to the log now, later, both (a repeat after a lost response), or never.
    fn append(&mut self, record: UsageRecord) {
        let outcome = self.rng.random_range(0..4);
        if outcome <= 1 {
            self.log.push((record.clone(), Some(FencingToken(self.lease))));
        }
        if (1..=2).contains(&outcome) {
            self.delayed.push(record);
        }
    }

    fn step(&mut self) {
        let now = Moment(0);
        let index = self.rng.random_range(0..self.nodes.len());
        let other = (index + self.rng.random_range(1..self.nodes.len())) % self.nodes.len();
        match self.rng.random_range(0..11) {
            0..=2 => {
                let request_count = self.rng.random_range(1..1_000);
                let amount = UsageAmount { requests: request_count, ..UsageAmount::default() };
                self.nodes[index].meter.record(now, "portal", amount).unwrap();
            }
            3..=4 => {
                let node = &mut self.nodes[index];
                let id = RecordId { writer: node.incarnation, sequence: node.sequence + 1 };
                let Some(batch) = node.meter.poll(now, || id) else { return };
                node.sequence += 1;
                node.pending.add(now, batch.clone());
                node.unacknowledged.push(batch.clone());
                self.batch_requests.insert(id, batch.usage.get("portal").requests);
                self.copies.insert(id, vec![id.writer]);
                self.append(UsageRecord::Batch(batch));
            }
            5 => {
                let holder = self.nodes[other].incarnation;
                for batch in self.nodes[index].pending.poll(now) {
                    let id = batch.id;
                    self.nodes[other].store.hold(now, batch, OriginState::Live);
                    self.copies.get_mut(&id).unwrap().push(holder);
                    // The holder's response may be lost.
                    if self.rng.random_bool(0.7) {
                        self.nodes[index].pending.mark_held(id, holder);
                    }
                }
            }
            6 if self.rng.random_bool(0.3) => self.crash(index),
            7 => {
                for batch in self.nodes[index].store.poll(now) {
                    self.append(UsageRecord::Batch(batch));
                }
            }
            8 if !self.delayed.is_empty() => {
                let record = self.delayed.swap_remove(self.rng.random_range(0..self.delayed.len()));
                self.log.push((record, Some(FencingToken(self.lease))));
            }
            9 => self.read_log(index),
            _ => self.close(),
        }
    }

    fn read_log(&mut self, index: usize) {
        for (record, _) in &self.log {
            let UsageRecord::Batch(batch) = record else { continue };
            self.nodes[index].pending.mark_committed(batch.id);
            self.nodes[index].store.mark_committed(batch.id);
        }
    }

    fn crash(&mut self, index: usize) {
        let crashed = std::mem::replace(&mut self.nodes[index], Node::new(self.next_incarnation));
        self.next_incarnation += 1;
        for node in &mut self.nodes {
            node.store.origin_ended(Moment(0), crashed.incarnation);
            node.pending.holder_lost(Moment(0), crashed.incarnation);
        }
    }

    fn close(&mut self) {
        self.lease += u64::from(self.rng.random_bool(0.2));
        let mut ledger = UsageLedger::new();
        replay(&mut ledger, &self.log, 0);
        let next = ledger.windows().last().map_or(WindowNumber(100), |(window, _)| window.next());
        // Some closes come from an earlier lease holder, or repeat a window.
        let window = WindowNumber(next.0 - u64::from(self.rng.random_bool(0.2)));
        let fencing = FencingToken(self.lease - u64::from(self.rng.random_bool(0.2)));
        self.append(UsageRecord::Close(WindowClose { window, fencing }));
    }

    /// Returns the batches that are in the log or of which a live process has a copy.
    fn durable(&self) -> BTreeMap<RecordId, u64> {
        let mut durable = self.batch_requests.clone();
        let live: Vec<Incarnation> = self.nodes.iter().map(|node| node.incarnation).collect();
        let logged = self.logged();
        durable.retain(|id, _| {
            logged.contains_key(id) || self.copies[id].iter().any(|copy| live.contains(copy))
        });
        durable
    }

    fn logged(&self) -> BTreeMap<RecordId, u64> {
        let mut logged = BTreeMap::new();
        for (record, _) in &self.log {
            let UsageRecord::Batch(batch) = record else { continue };
            logged.insert(batch.id, self.batch_requests[&batch.id]);
        }
        logged
    }

    /// Appends all that is outstanding: due replicas, unacknowledged batches and delayed records.
    fn append_outstanding(&mut self) {
        let lease = Some(FencingToken(self.lease));
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let mut batches = node.store.poll(Moment(0));
            batches.extend(node.unacknowledged.iter().cloned());
            self.log.extend(batches.into_iter().map(|batch| (UsageRecord::Batch(batch), lease)));
        }
        let delayed = std::mem::take(&mut self.delayed);
        self.log.extend(delayed.into_iter().map(|record| (record, lease)));
    }
}

fn replay(ledger: &mut UsageLedger, log: &[LogEntry], from: usize) {
    for (index, (record, valid)) in log.iter().enumerate().skip(from) {
        ledger.apply(LogOffset(index as u64), record, *valid);
    }
}

fn billed_requests(ledger: &UsageLedger) -> u64 {
    let closed: u64 = ledger.windows().map(|(_, w)| w.usage.get("portal").requests).sum();
    closed + ledger.open_usage().get("portal").requests
}

/// Guards against a batch that is billed twice or dropped when several processes append it, or one
/// process appends it several times.
#[rstest]
fn each_batch_in_the_log_is_billed_once(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut simulation = Simulation::new(seed);
    for _ in 0..600 {
        simulation.step();
    }
    let durable = simulation.durable();
    simulation.append_outstanding();
    let logged = simulation.logged();
    let mut ledger = UsageLedger::new();
    replay(&mut ledger, &simulation.log, 0);
    assert!(ledger.windows().count() > 3, "the run must close more than 3 windows");
    assert_eq!(billed_requests(&ledger), logged.values().sum::<u64>());
    let missing: Vec<_> = durable.keys().filter(|id| !logged.contains_key(id)).collect();
    assert!(missing.is_empty(), "seed {seed}: {missing:?}");
}

/// Guards against a new lease holder that computes different usage after it started from a
/// snapshot.
#[rstest]
fn snapshot_and_replay_agree(#[values(11, 12, 13, 14)] seed: u64) {
    let mut simulation = Simulation::new(seed);
    for _ in 0..400 {
        simulation.step();
    }
    let mut full = UsageLedger::new();
    replay(&mut full, &simulation.log, 0);
    for cut in 1..simulation.log.len() {
        let mut prefix = UsageLedger::new();
        replay(&mut prefix, &simulation.log[..cut], 0);
        let snapshot = prefix.snapshot().unwrap();
        let fencing = FencingToken(simulation.lease);
        let record = UsageRecord::Snapshot { snapshot: Box::new(snapshot.clone()), fencing };

        // Retention drops the prefix, and the snapshot is at the end of the log.
        let mut successor = UsageLedger::new();
        successor.note_retention(LogOffset(cut as u64));
        let end = LogOffset(simulation.log.len() as u64);
        let outcome = successor.apply(end, &record, Some(fencing));
        assert_eq!(outcome, LedgerOutcome::Restored(snapshot.next), "seed {seed}, cut {cut}");
        replay(&mut successor, &simulation.log, cut);
        assert_eq!(successor.snapshot(), full.snapshot(), "seed {seed}, cut {cut}");
    }
}

/// Guards against a close that takes effect without the lease, twice, or ahead of the next window.
#[test]
fn close_needs_the_lease_and_the_next_window() {
    fn check(
        ledger: &mut UsageLedger,
        offset: u64,
        close: (u64, u64),
        valid: u64,
    ) -> LedgerOutcome {
        let (window, fencing) = (WindowNumber(close.0), FencingToken(close.1));
        let record = UsageRecord::Close(WindowClose { window, fencing });
        ledger.apply(LogOffset(offset), &record, Some(FencingToken(valid)))
    }
    let ignored = LedgerOutcome::Ignored;
    let mut ledger = UsageLedger::new();
    assert_eq!(check(&mut ledger, 0, (5, 3), 4), ignored(IgnoredReason::NotHolder));
    assert_eq!(check(&mut ledger, 1, (5, 4), 4), LedgerOutcome::Closed(WindowNumber(5)));
    assert_eq!(check(&mut ledger, 2, (5, 4), 4), ignored(IgnoredReason::WrongWindow));
    assert_eq!(check(&mut ledger, 3, (7, 4), 4), ignored(IgnoredReason::WrongWindow));
    assert_eq!(check(&mut ledger, 4, (6, 3), 3), ignored(IgnoredReason::NotHolder));
    assert_eq!(check(&mut ledger, 4, (6, 4), 4), ignored(IgnoredReason::AlreadyRead));
    assert_eq!(check(&mut ledger, 5, (6, 4), 4), LedgerOutcome::Closed(WindowNumber(6)));
}
