//! One node: its book, the bytes it holds, its scoring desk and the records it has to append.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, Moment, RecordId, Span};
use rollout::{
    Delivery, DeliveryNumber, SampleBound, SampleOutcome, SampleRecord, SampleTable, SampleVoided,
    ScoreAction, ScoreQueue, SlotKey, StepShape, TrainerId, TrainerStated,
};

/// How long a node waits for the answer to an append before it sends the record again.
const APPEND_TIMEOUT: Span = Span::from_millis(500);

/// A trainer's request that a node works on.
#[derive(Debug, Clone)]
pub(crate) struct Fetch {
    /// Number of the request among those of the trainer.
    pub(crate) request: u64,
    pub(crate) stated: TrainerStated,
    /// The record of the statement, once written.
    pub(crate) record: Option<RecordId>,
}

#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) id: RecordId,
    pub(crate) record: SampleRecord,
    pub(crate) due: Moment,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) incarnation: Incarnation,
    pub(crate) cut_until: Moment,
    pub(crate) table: SampleTable,
    pub(crate) offset: usize,
    pub(crate) bytes: BTreeSet<RecordId>,
    pub(crate) scores: ScoreQueue,
    pub(crate) outgoing: Vec<Outgoing>,
    pub(crate) running: BTreeMap<SlotKey, u32>,
    pub(crate) fetch: Option<Fetch>,
    voiding: BTreeSet<RecordId>,
    sequence: u64,
}

impl Node {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            cut_until: Moment(0),
            table: SampleTable::default(),
            offset: 0,
            bytes: BTreeSet::new(),
            scores: ScoreQueue::default(),
            outgoing: Vec::new(),
            running: BTreeMap::new(),
            fetch: None,
            voiding: BTreeSet::new(),
            sequence: 0,
        }
    }

    pub(crate) fn is_cut(&self, now: Moment) -> bool {
        now < self.cut_until
    }

    pub(crate) fn next_id(&mut self) -> RecordId {
        self.sequence += 1;
        RecordId { writer: self.incarnation, sequence: self.sequence }
    }

    pub(crate) fn append(&mut self, now: Moment, id: RecordId, record: SampleRecord) {
        self.outgoing.push(Outgoing { id, record, due: now });
    }

    /// Takes the records that must be sent or sent again now.
    pub(crate) fn due_appends(&mut self, now: Moment) -> Vec<Outgoing> {
        let mut due = Vec::new();
        for outgoing in &mut self.outgoing {
            if outgoing.due <= now {
                outgoing.due = now + APPEND_TIMEOUT;
                due.push(outgoing.clone());
            }
        }
        due
    }

    /// Applies the next record. Returns the answer to the trainer when it completes the fetch.
    pub(crate) fn follow(
        &mut self,
        now: Moment,
        id: RecordId,
        record: &SampleRecord,
    ) -> Option<(u64, Option<Vec<Delivery>>)> {
        self.offset += 1;
        self.outgoing.retain(|outgoing| outgoing.id != id);
        let mut answer = None;
        for action in self.table.apply(record) {
            match action {
                SampleOutcome::Filled { slot, sample } => {
                    self.running.remove(&slot);
                    if self.bytes.contains(&sample) {
                        self.scores.enqueue(now, slot, sample);
                    }
                }
                SampleOutcome::Bound { sample, .. } => self.scores.remove(sample),
                SampleOutcome::FillRefused { slot, sample, .. } => {
                    self.bytes.remove(&sample);
                    if sample.writer == self.incarnation {
                        self.running.remove(&slot);
                    }
                }
                SampleOutcome::Voided { sample, .. } => {
                    self.scores.remove(sample);
                    self.bytes.remove(&sample);
                }
                SampleOutcome::DeliveriesReady { trainer, range } => {
                    let Some(fetch) = self.fetch.take_if(|fetch| fetch.record == Some(id)) else {
                        continue;
                    };
                    answer = Some((fetch.request, self.table.deliveries(trainer, range.statement)));
                }
                SampleOutcome::StatementRefused { .. } => {
                    // The trainer asks again. This node must not state again for it, as it cannot
                    // tell whether the trainer has gone on with another node.
                    if let Some(fetch) = self.fetch.take_if(|fetch| fetch.record == Some(id)) {
                        answer = Some((fetch.request, None));
                    }
                }
                SampleOutcome::StepOpened { .. }
                | SampleOutcome::StepRefused { .. }
                | SampleOutcome::StepCompleted { .. }
                | SampleOutcome::StepRetired { .. } => {}
            }
        }
        answer
    }

    /// Writes the statement of a waiting request when its answer would not be empty.
    pub(crate) fn state(&mut self, now: Moment) {
        let Some(mut fetch) = self.fetch.take() else { return };
        let (trainer, after) = (fetch.stated.trainer, fetch.stated.acknowledged);
        let is_news =
            fetch.stated.opened.is_some() || self.table.has_deliveries_after(trainer, after);
        if fetch.record.is_none() && is_news {
            let id = self.next_id();
            fetch.record = Some(id);
            self.append(now, id, SampleRecord::Stated(fetch.stated.clone()));
        }
        self.fetch = Some(fetch);
    }

    pub(crate) fn bind(&mut self, now: Moment, sample: RecordId) {
        if let Some(ScoreAction::Bind(SampleBound { slot, sample, score })) =
            self.scores.scored(sample, None)
        {
            let id = self.next_id();
            self.append(now, id, SampleRecord::Bound(SampleBound { slot, sample, score }));
        }
    }

    /// Voids samples whose holders this node believes gone.
    pub(crate) fn void_lost(&mut self, now: Moment, is_gone: impl Fn(Incarnation) -> bool) {
        for voided in self.table.lost_samples(is_gone) {
            let SampleVoided { sample, .. } = voided;
            if self.voiding.insert(sample) {
                let id = self.next_id();
                self.append(now, id, SampleRecord::Voided(voided));
            }
        }
    }
}

/// Builds a statement. Its predecessor is the last one that the node knew when the request arrived.
pub(crate) fn statement(
    trainer: TrainerId,
    version: base::WeightVersion,
    staleness_bound: u64,
    acknowledged: DeliveryNumber,
    opened: Option<StepShape>,
    follows: u64,
) -> TrainerStated {
    let name = String::from("trainer");
    TrainerStated { trainer, name, follows, version, staleness_bound, acknowledged, opened }
}
