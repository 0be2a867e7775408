//! The stream `samples`: applies its records to the sample table, and appends the records that bind
//! samples to delivery numbers and void lost ones.
//!
//! Samples belong to no customer, so their tokens are not metered.
//!
//! A node that starts after retention has dropped the first records knows a trainer only once it
//! has read its snapshot.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
};

use base::{EventCode, Incarnation, LogOffset, Moment, RecordId, Span};
use document::{DaemonSettings, TrainerEntry};
use membership::PeerState;
use protocol::{PeerMessage, SampleEntry, StepPrompts, WireSampleCopy};
use rollout::{
    SampleFilled, SampleOutcome, SampleRecord, SampleTable, ScoreAction, ScoreQueue, SlotKey,
    TrainerId, VoidReason,
};
use serde_json::{Value, json};

use crate::{
    control::{
        Control,
        follow::{NextRead, StreamEvent, follow},
        generate::GenerationDriver,
        sample_snapshot::SnapshotTracker,
        sample_store::{SampleStore, StoreOutcome},
        slots::SlotOwners,
        streams::SAMPLE_STREAM,
        trainers::StatementWaiters,
    },
    telemetry::log_event,
};

/// Time between two scans for samples to score and bind, and for due snapshots.
const BIND_PERIOD: Span = Span::from_millis(100);

/// Time between two checks of the holders of all samples.
const HOLDER_CHECK_PERIOD: Span = Span::from_secs(1);

/// Delay before a record that was not read back is appended again.
const RETRY_DELAY: Span = Span::from_secs(5);

/// Maximum number of scoring calls that this node has in flight.
const MAX_SCORING_CALLS: usize = 16;

/// Time after the start of reading the stream from which an unknown holder counts as gone. A live
/// peer is discovered within a few heartbeats, and a failed one is declared gone within 10 s.
const PEER_DISCOVERY_TIME: Span = Span::from_secs(20);

/// Sample state of this node.
pub(crate) struct SampleDriver {
    pub(crate) table: SampleTable,
    /// Prompts of the open steps, by trainer and step.
    pub(crate) step_prompts: BTreeMap<(TrainerId, u64), StepPrompts>,
    pub(crate) store: SampleStore,
    pub(crate) waiters: StatementWaiters,
    pub(crate) generation: GenerationDriver,
    pub(crate) scores: ScoreQueue,
    /// Samples for which a bound or void record was appended and not yet read back, with the time
    /// of the append.
    pending_appends: HashMap<RecordId, Moment>,
    pub(crate) snapshots: SnapshotTracker,
    /// When the stream was first read.
    following_since: Option<Moment>,
    next_bind: Moment,
    next_holder_check: Moment,
    caught_up: bool,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<SampleEntry>(control, String::from(SAMPLE_STREAM), Control::on_samples);
}

impl SampleDriver {
    pub(crate) fn new(settings: &DaemonSettings) -> Self {
        Self {
            table: SampleTable::default(),
            step_prompts: BTreeMap::new(),
            store: SampleStore::new(settings.bounds.sample_bytes as usize),
            waiters: StatementWaiters::default(),
            generation: GenerationDriver::new(),
            scores: ScoreQueue::default(),
            pending_appends: HashMap::new(),
            snapshots: SnapshotTracker::default(),
            following_since: None,
            next_bind: Moment(0),
            next_holder_check: Moment(0),
            caught_up: false,
        }
    }

    /// Returns the name of a slot for logs and `explain`: `trainer/step/group/index`.
    pub(crate) fn slot_name(&self, slot: SlotKey) -> String {
        let mut trainers = self.table.trainers();
        let name = trainers.find(|(id, _)| *id == slot.trainer).map_or("", |(_, name)| name);
        format!("{name}/{}/{}/{}", slot.step, slot.group, slot.index)
    }

    pub(crate) fn status(&self) -> Value {
        let trainers = self.table.trainers().map(|(id, name)| {
            json!({
                "trainer": name,
                "statements": self.table.statements(id),
                "version": self.table.stated_version(id).map(|(version, _)| version.0),
                "open_slots": self.table.open_slots(id).count(),
                "last_number": self.table.last_number(id).0,
                "acknowledged": self.table.acknowledged(id).0,
            })
        });
        let (held, held_bytes) = self.store.totals();
        let (useful, extra) = self.generation.stragglers.tokens();
        json!({
            "trainers": trainers.collect::<Vec<_>>(),
            "running": self.generation.running_count(),
            "held": held,
            "held_bytes": held_bytes,
            "useful_tokens": useful,
            "extra_tokens": extra,
        })
    }

    /// Returns whether a record of the sample may be appended, and marks the append as pending if
    /// so.
    fn begin_append(&mut self, now: Moment, sample: RecordId) -> bool {
        if self.pending_appends.contains_key(&sample) {
            return false;
        }
        self.pending_appends.insert(sample, now);
        true
    }
}

impl Control {
    fn on_samples(self: &Rc<Self>, event: StreamEvent<SampleEntry>) -> NextRead {
        match event {
            StreamEvent::ReadingFrom(offset) => self.restart_samples_at(offset),
            StreamEvent::Retained(offset) => {
                // Records of the same page are applied before any other task of this thread runs,
                // so the state is caught up by then.
                let now = self.now();
                let mut state = self.state();
                state.samples.following_since.get_or_insert(now);
                state.samples.caught_up = true;
                state.samples.snapshots.set_first_retained(offset);
            }
            StreamEvent::Record { offset, id, record, catching_up } => {
                {
                    let mut state = self.state();
                    state.samples.caught_up = !catching_up;
                    state.samples.snapshots.record_read(offset);
                }
                match record {
                    SampleEntry::Record { record, step_prompts } => {
                        self.handle_sample_record(offset, id, &record, step_prompts);
                    }
                    SampleEntry::Snapshot(snapshot) => self.restore_trainer(offset, *snapshot),
                }
            }
        }
        NextRead::Continue
    }

    fn handle_sample_record(
        self: &Rc<Self>,
        offset: LogOffset,
        id: RecordId,
        record: &SampleRecord,
        mut opened: Option<StepPrompts>,
    ) {
        let outcomes = self.state().samples.table.apply_at(offset, record);
        {
            let mut state = self.state();
            let samples = &mut state.samples;
            if let SampleRecord::Stated(stated) = record {
                if let Some(shape) = stated.opened.filter(|_| outcomes.is_empty())
                    && let Some(opened) = opened.take()
                {
                    // The trainer is unknown so far. Keeps the prompts, because its snapshot may
                    // show that the step is open.
                    samples.step_prompts.insert((stated.trainer, shape.step), opened);
                }
                samples.generation.trainer_scheduler.set_weight(stated.trainer, 1);
                let acknowledged = samples.table.acknowledged(stated.trainer);
                samples.store.mark_acknowledged(stated.trainer, acknowledged);
                samples.waiters.resolve(id, &samples.table, &outcomes);
            }
        }
        for outcome in outcomes {
            match outcome {
                SampleOutcome::StepOpened { trainer, step, slots } => {
                    tracing::info!(trainer = trainer.0, step, slots, "opened step");
                    let mut state = self.state();
                    state.samples.snapshots.step_opened(trainer);
                    state.samples.generation.request_scan();
                    if let Some(opened) = opened.take() {
                        state.samples.step_prompts.insert((trainer, step), opened);
                    }
                }
                SampleOutcome::Filled { slot, sample } => self.slot_filled(slot, sample, record),
                SampleOutcome::FillRefused { slot, sample, reason } => {
                    let name = self.state().samples.slot_name(slot);
                    tracing::info!(
                        slot = name,
                        reason = ?reason,
                        "fill record refused; its sample is dropped"
                    );
                    self.state().samples.store.remove(sample);
                    if sample.writer == self.shared.incarnation {
                        self.end_slot(slot);
                        self.state().samples.generation.request_scan();
                    }
                }
                SampleOutcome::Bound { sample, number, .. } => {
                    let mut state = self.state();
                    state.samples.scores.remove(sample);
                    state.samples.pending_appends.remove(&sample);
                    state.samples.store.set_number(sample, number);
                }
                SampleOutcome::Voided { slot, sample, number, reason } => {
                    let name = self.state().samples.slot_name(slot);
                    let number = number.map(|number| number.0);
                    log_event!(warn, SampleVoided, slot = name, number, reason = ?reason);
                    let detail = format!("number {number:?}: {reason:?}");
                    self.trace(name, EventCode::SampleVoided, detail);
                    let mut state = self.state();
                    state.samples.scores.remove(sample);
                    state.samples.pending_appends.remove(&sample);
                    state.samples.store.remove(sample);
                    state.samples.generation.request_scan();
                }
                SampleOutcome::StepRetired { trainer, step } => {
                    let mut state = self.state();
                    state.samples.step_prompts.remove(&(trainer, step));
                    state.samples.store.remove_step(trainer, step);
                }
                SampleOutcome::StepCompleted { trainer, step } => {
                    tracing::info!(trainer = trainer.0, step, "completed step");
                }
                SampleOutcome::StepRefused { .. }
                | SampleOutcome::DeliveriesReady { .. }
                | SampleOutcome::StatementRefused { .. } => {}
            }
        }
    }

    fn slot_filled(self: &Rc<Self>, slot: SlotKey, sample: RecordId, record: &SampleRecord) {
        let SampleRecord::Filled(filled) = record else { return };
        let name = self.state().samples.slot_name(slot);
        log_event!(
            SampleFilled,
            slot = name,
            tokens = filled.tokens,
            spans = ?filled.spans,
            holders = filled.holders.len()
        );
        let detail = format!("{} tokens, spans {:?}", filled.tokens, filled.spans);
        self.trace(name, EventCode::SampleFilled, detail);
        {
            let mut state = self.state();
            match filled.holders.contains(&self.shared.incarnation) {
                true => state.samples.store.set_slot(sample, slot),
                // The record does not name this node as a holder, because its response to the copy
                // was lost, so nobody fetches the copy.
                false => state.samples.store.remove(sample),
            }
        }
        self.end_slot(slot);
    }

    pub(crate) fn tick_samples(self: &Rc<Self>, now: Moment) {
        {
            let mut state = self.state();
            state.samples.waiters.drop_abandoned();
            if !state.samples.caught_up || state.config.document.is_none() {
                return;
            }
        }
        self.tick_weights(now);
        let owners = self.slot_owners();
        self.place_samples(now, &owners);
        self.rerun_stragglers(now);
        if self.state().samples.next_bind > now {
            return;
        }
        self.state().samples.next_bind = now + BIND_PERIOD;
        self.bind_samples(now, &owners);
        self.append_trainer_snapshots(now);
        if self.state().samples.next_holder_check > now {
            return;
        }
        self.state().samples.next_holder_check = now + HOLDER_CHECK_PERIOD;
        self.void_lost(now, &owners);
        self.state().samples.store.drop_orphans(now);
    }

    fn slot_owners(&self) -> SlotOwners {
        let state = self.state();
        SlotOwners::of(&state.peers.table, |peer| peer != PeerState::Gone)
    }

    /// Queues the unbound samples of owned slots for scoring and starts the due scoring calls. Each
    /// sample is bound to a delivery number once it has its score.
    fn bind_samples(self: &Rc<Self>, now: Moment, owners: &SlotOwners) {
        let actions = {
            let mut state = self.state();
            let samples = &mut state.samples;
            samples.pending_appends.retain(|_, at| now.since(*at) < RETRY_DELAY);
            for filled in samples.table.unbound() {
                let is_pending = samples.pending_appends.contains_key(&filled.sample);
                if owners.owns(filled.slot) && !is_pending {
                    samples.scores.enqueue(now, filled.slot, filled.sample);
                }
            }
            samples.scores.poll(now, MAX_SCORING_CALLS)
        };
        for action in actions {
            match action {
                ScoreAction::Call { slot, sample } => self.score_sample(slot, sample),
                ScoreAction::Bind(_) => {}
            }
        }
    }

    /// Handles a sample's score, or `None` if its trainer has no scorer: appends the record that
    /// binds the sample to a delivery number.
    pub(crate) fn sample_scored(self: &Rc<Self>, sample: RecordId, score: Option<rollout::Score>) {
        let now = self.now();
        let action = self.state().samples.scores.scored(sample, score);
        let Some(ScoreAction::Bind(bound)) = action else { return };
        self.state().samples.pending_appends.insert(sample, now);
        self.append_sample(SampleRecord::Bound(bound));
    }

    /// Appends void records for the samples whose holders are all gone. Does nothing until the
    /// peers are discovered.
    fn void_lost(self: &Rc<Self>, now: Moment, owners: &SlotOwners) {
        let lost = {
            let mut state = self.state();
            let state = &mut *state;
            let has_discovered_peers =
                state.samples.following_since.is_some_and(|at| now.since(at) > PEER_DISCOVERY_TIME);
            if !has_discovered_peers {
                return;
            }
            let present = state.peers.table.iter();
            let present = present.filter(|(_, record)| record.state != PeerState::Gone);
            let present = present.map(|(_, record)| record.vm.incarnation).collect::<HashSet<_>>();
            let is_gone = |holder: Incarnation| !present.contains(&holder);
            let mut lost = state.samples.table.lost_samples(is_gone);
            lost.retain(|voided| {
                owners.owns(voided.slot) && state.samples.begin_append(now, voided.sample)
            });
            lost
        };
        for voided in lost {
            self.append_sample(SampleRecord::Voided(voided));
        }
    }

    /// Appends a void record for a sample that its holders no longer have.
    pub(crate) fn void_unavailable(self: &Rc<Self>, filled: &SampleFilled) {
        let now = self.now();
        if !self.state().samples.begin_append(now, filled.sample) {
            return;
        }
        let (slot, sample) = (filled.slot, filled.sample);
        let voided = rollout::SampleVoided { slot, sample, reason: VoidReason::Lost };
        self.append_sample(SampleRecord::Voided(voided));
    }

    /// Appends a record. The caller's next scan repeats it when it is not read back in time.
    fn append_sample(self: &Rc<Self>, record: SampleRecord) {
        // A full buffer is logged by `append`, and the record is appended again after
        // `RETRY_DELAY`.
        let _ = self.append(SAMPLE_STREAM, &SampleEntry::Record { record, step_prompts: None });
    }

    /// Stores a copy of another node's sample. Responds with `Missing` when the store is full.
    pub(crate) fn store_sample_copy(&self, copy: WireSampleCopy) -> PeerMessage {
        let now = self.now();
        match self.state().samples.store.insert(now, copy.sample.into(), copy.text) {
            StoreOutcome::Stored => PeerMessage::Done(self.shared.incarnation.0),
            StoreOutcome::Full => PeerMessage::Missing,
        }
    }

    /// Returns a sample for a peer, or `Missing` if this node does not hold it.
    pub(crate) fn sample_copy(&self, sample: RecordId) -> PeerMessage {
        let state = self.state();
        match state.samples.store.get(sample) {
            Some(text) => PeerMessage::SampleCopy(WireSampleCopy {
                sample: sample.into(),
                text: String::from(text),
            }),
            None => PeerMessage::Missing,
        }
    }

    /// Returns the trainer's entry in the document in force.
    pub(crate) fn trainer_entry(&self, trainer: TrainerId) -> Option<TrainerEntry> {
        let state = self.state();
        let document = state.config.document.as_ref()?;
        let mut entries = document.trainers.iter();
        entries.find(|entry| TrainerId::from_name(&entry.name) == trainer).cloned()
    }
}
