//! A simulated node: its sample table, the samples whose bytes it holds, its score queue and the
//! records that it has yet to append.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, Moment, RecordId, Span};
use rollout::{
    Delivery, DeliveryNumber, SampleBound, SampleOutcome, SampleRecord, SampleTable, SampleVoided,
    ScoreAction, ScoreQueue, SlotKey, StepShape, TrainerId, TrainerStated,
};

/// Time without a response to an append after which the node sends the record again.
const APPEND_TIMEOUT: Span = Span::from_millis(500);

/// A trainer's request that waits for its deliveries.
#[derive(Debug, Clone)]
pub(crate) struct Fetch {
    /// Number of the request among those of the trainer.
    pub(crate) request: u64,
    pub(crate) stated: TrainerStated,
    /// Id of the record with the statement, once it was given to the log.
    pub(crate) record: Option<RecordId>,
}

/// A record that the log has not acknowledged and the node has not read back from it.
#[derive(Debug, Clone)]
pub(crate) struct PendingAppend {
    pub(crate) id: RecordId,
    pub(crate) record: SampleRecord,
    /// When it is sent, or sent again.
    pub(crate) due: Moment,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) incarnation: Incarnation,
    /// The node is isolated from the log and the peers until this time.
    pub(crate) isolated_until: Moment,
    pub(crate) table: SampleTable,
    /// Offset of the next record to read from the log.
    pub(crate) next_offset: usize,
    /// Samples whose bytes this node holds.
    pub(crate) held_samples: BTreeSet<RecordId>,
    pub(crate) scores: ScoreQueue,
    pub(crate) pending_appends: Vec<PendingAppend>,
    /// Generation of the attempt that this node runs for each slot.
    pub(crate) running: BTreeMap<SlotKey, u32>,
    pub(crate) fetch: Option<Fetch>,
    /// Samples whose void this node has given to the log.
    void_sent: BTreeSet<RecordId>,
    sequence: u64,
}

impl Node {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            isolated_until: Moment(0),
            table: SampleTable::default(),
            next_offset: 0,
            held_samples: BTreeSet::new(),
            scores: ScoreQueue::default(),
            pending_appends: Vec::new(),
            running: BTreeMap::new(),
            fetch: None,
            void_sent: BTreeSet::new(),
            sequence: 0,
        }
    }

    pub(crate) fn is_isolated(&self, now: Moment) -> bool {
        now < self.isolated_until
    }

    pub(crate) fn next_id(&mut self) -> RecordId {
        self.sequence += 1;
        RecordId { writer: self.incarnation, sequence: self.sequence }
    }

    pub(crate) fn append(&mut self, now: Moment, id: RecordId, record: SampleRecord) {
        self.pending_appends.push(PendingAppend { id, record, due: now });
    }

    /// Returns the records that must be sent, or sent again, now.
    pub(crate) fn due_appends(&mut self, now: Moment) -> Vec<PendingAppend> {
        let mut due = Vec::new();
        for pending in &mut self.pending_appends {
            if pending.due <= now {
                pending.due = now + APPEND_TIMEOUT;
                due.push(pending.clone());
            }
        }
        due
    }

    /// Applies the next record of the log. Returns the request number and the response (`None`
    /// after a refusal) when the record ends the trainer's request.
    pub(crate) fn apply_record(
        &mut self,
        now: Moment,
        id: RecordId,
        record: &SampleRecord,
    ) -> Option<(u64, Option<Vec<Delivery>>)> {
        self.next_offset += 1;
        self.pending_appends.retain(|pending| pending.id != id);
        let mut response = None;
        for action in self.table.apply(record) {
            match action {
                SampleOutcome::Filled { slot, sample } => {
                    self.running.remove(&slot);
                    if self.held_samples.contains(&sample) {
                        self.scores.enqueue(now, slot, sample);
                    }
                }
                SampleOutcome::Bound { sample, .. } => self.scores.remove(sample),
                SampleOutcome::FillRefused { slot, sample, .. } => {
                    self.held_samples.remove(&sample);
                    if sample.writer == self.incarnation {
                        self.running.remove(&slot);
                    }
                }
                SampleOutcome::Voided { sample, .. } => {
                    self.scores.remove(sample);
                    self.held_samples.remove(&sample);
                }
                SampleOutcome::DeliveriesReady { trainer, range } => {
                    let Some(fetch) = self.fetch.take_if(|fetch| fetch.record == Some(id)) else {
                        continue;
                    };
                    response =
                        Some((fetch.request, self.table.deliveries(trainer, range.statement)));
                }
                SampleOutcome::StatementRefused { .. } => {
                    // The trainer sends its request again. This node must not repeat the statement,
                    // since it cannot tell whether the trainer has gone on with another node.
                    if let Some(fetch) = self.fetch.take_if(|fetch| fetch.record == Some(id)) {
                        response = Some((fetch.request, None));
                    }
                }
                SampleOutcome::StepOpened { .. }
                | SampleOutcome::StepRefused { .. }
                | SampleOutcome::StepCompleted { .. }
                | SampleOutcome::StepRetired { .. } => {}
            }
        }
        response
    }

    /// Appends the statement of the waiting request as soon as the response would not be empty.
    pub(crate) fn append_statement(&mut self, now: Moment) {
        let Some(mut fetch) = self.fetch.take() else { return };
        let (trainer, after) = (fetch.stated.trainer, fetch.stated.acknowledged);
        let has_response =
            fetch.stated.opened.is_some() || self.table.has_deliveries_after(trainer, after);
        if fetch.record.is_none() && has_response {
            let id = self.next_id();
            fetch.record = Some(id);
            self.append(now, id, SampleRecord::Stated(fetch.stated.clone()));
        }
        self.fetch = Some(fetch);
    }

    /// Ends the scoring of a sample and appends the record that binds it to a delivery number.
    pub(crate) fn bind(&mut self, now: Moment, sample: RecordId) {
        if let Some(ScoreAction::Bind(SampleBound { slot, sample, score })) =
            self.scores.scored(sample, None)
        {
            let id = self.next_id();
            self.append(now, id, SampleRecord::Bound(SampleBound { slot, sample, score }));
        }
    }

    /// Appends voids of the samples whose holders are all gone, each once.
    pub(crate) fn void_lost(&mut self, now: Moment, is_gone: impl Fn(Incarnation) -> bool) {
        for voided in self.table.lost_samples(is_gone) {
            let SampleVoided { sample, .. } = voided;
            if self.void_sent.insert(sample) {
                let id = self.next_id();
                self.append(now, id, SampleRecord::Voided(voided));
            }
        }
    }
}

/// Builds a statement. It follows the last statement that the node knew when the request arrived.
pub(crate) fn new_statement(
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
