//! The stream `samples`: the book of sample slots, binding of delivery numbers and voiding.
//!
//! Samples belong to no customer, so their tokens are not metered to any.
//!
//! A node that starts after retention dropped the first records knows a trainer once it has read a
//! snapshot of it.

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

/// Time between two looks for samples to bind.
const CARE_PERIOD: Span = Span::from_millis(100);

/// Time between two looks at the holders of all samples.
const AUDIT_PERIOD: Span = Span::from_secs(1);

/// Wait before a record that was not read back is appended again.
const RETRY: Span = Span::from_secs(5);

/// Scoring calls that this node has in progress.
const MAX_SCORING: usize = 16;

/// Uptime after which a holder that this node has not heard of counts as gone. A peer is heard
/// within a few heartbeats, and within 10 s it is gone.
const HEARD_ALL_AFTER: Span = Span::from_secs(20);

/// Samples as this node knows them.
pub(crate) struct SampleDriver {
    pub(crate) table: SampleTable,
    pub(crate) opened: BTreeMap<(TrainerId, u64), StepPrompts>,
    pub(crate) store: SampleStore,
    pub(crate) waiters: StatementWaiters,
    pub(crate) generation: GenerationDriver,
    pub(crate) scores: ScoreQueue,
    /// Bound and voided records that were appended and not read back.
    appended: HashMap<RecordId, Moment>,
    pub(crate) snapshots: SnapshotTracker,
    started: Option<Moment>,
    next_care: Moment,
    next_audit: Moment,
    caught_up: bool,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<SampleEntry>(control, String::from(SAMPLE_STREAM), Control::on_samples);
}

impl SampleDriver {
    pub(crate) fn new(settings: &DaemonSettings) -> Self {
        Self {
            table: SampleTable::default(),
            opened: BTreeMap::new(),
            store: SampleStore::new(settings.bounds.sample_bytes as usize),
            waiters: StatementWaiters::default(),
            generation: GenerationDriver::new(),
            scores: ScoreQueue::default(),
            appended: HashMap::new(),
            snapshots: SnapshotTracker::default(),
            started: None,
            next_care: Moment(0),
            next_audit: Moment(0),
            caught_up: false,
        }
    }

    /// Returns the name of a slot in logs and for `explain`.
    pub(crate) fn slot_text(&self, slot: SlotKey) -> String {
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
        let (held, held_bytes) = self.store.figures();
        let (useful, extra) = self.generation.stragglers.tokens();
        json!({
            "trainers": trainers.collect::<Vec<_>>(),
            "running": self.generation.running(),
            "held": held,
            "held_bytes": held_bytes,
            "useful_tokens": useful,
            "extra_tokens": extra,
        })
    }

    /// Tells whether a record of the sample may be appended, and notes that it is.
    fn is_due(&mut self, now: Moment, sample: RecordId) -> bool {
        if self.appended.contains_key(&sample) {
            return false;
        }
        self.appended.insert(sample, now);
        true
    }
}

impl Control {
    fn on_samples(self: &Rc<Self>, event: StreamEvent<SampleEntry>) -> NextRead {
        match event {
            StreamEvent::ReadingFrom(offset) => self.samples_from(offset),
            StreamEvent::Retained(offset) => {
                // Records that follow on the same page are applied before anything else runs.
                let now = self.now();
                let mut state = self.state();
                state.samples.started.get_or_insert(now);
                state.samples.caught_up = true;
                state.samples.snapshots.retained(offset);
            }
            StreamEvent::Record { offset, id, record, catching_up } => {
                {
                    let mut state = self.state();
                    state.samples.caught_up = !catching_up;
                    state.samples.snapshots.read(offset);
                }
                match record {
                    SampleEntry::Record { record, step_prompts } => {
                        self.sample_record(offset, id, &record, step_prompts);
                    }
                    SampleEntry::Snapshot(snapshot) => self.adopt_trainer(offset, *snapshot),
                }
            }
        }
        NextRead::Onwards
    }

    fn sample_record(
        self: &Rc<Self>,
        offset: LogOffset,
        id: RecordId,
        record: &SampleRecord,
        mut opened: Option<StepPrompts>,
    ) {
        let actions = self.state().samples.table.apply_at(offset, record);
        {
            let mut state = self.state();
            let samples = &mut state.samples;
            if let SampleRecord::Stated(stated) = record {
                if let Some(shape) = stated.opened.filter(|_| actions.is_empty())
                    && let Some(opened) = opened.take()
                {
                    // The trainer is not known yet, and a snapshot may show that the step is open.
                    samples.opened.insert((stated.trainer, shape.step), opened);
                }
                samples.generation.trainer_scheduler.set_weight(stated.trainer, 1);
                let has = samples.table.acknowledged(stated.trainer);
                samples.store.acknowledged(stated.trainer, has);
                samples.waiters.read(id, &samples.table, &actions);
            }
        }
        for action in actions {
            match action {
                SampleOutcome::StepOpened { trainer, step, slots } => {
                    tracing::info!(trainer = trainer.0, step, slots, "a step was opened");
                    let mut state = self.state();
                    state.samples.snapshots.step_opened(trainer);
                    state.samples.generation.slots_opened();
                    if let Some(opened) = opened.take() {
                        state.samples.opened.insert((trainer, step), opened);
                    }
                }
                SampleOutcome::Filled { slot, sample } => self.slot_filled(slot, sample, record),
                SampleOutcome::FillRefused { slot, sample, reason } => {
                    let name = self.state().samples.slot_text(slot);
                    tracing::info!(slot = name, reason = ?reason, "a fill record lost");
                    self.state().samples.store.remove(sample);
                    if sample.writer == self.shared.incarnation {
                        self.end_slot(slot);
                        self.state().samples.generation.slots_opened();
                    }
                }
                SampleOutcome::Bound { sample, number, .. } => {
                    let mut state = self.state();
                    state.samples.scores.remove(sample);
                    state.samples.appended.remove(&sample);
                    state.samples.store.bound(sample, number);
                }
                SampleOutcome::Voided { slot, sample, number, reason } => {
                    let name = self.state().samples.slot_text(slot);
                    let number = number.map(|number| number.0);
                    log_event!(warn, SampleVoided, slot = name, number, reason = ?reason);
                    let detail = format!("number {number:?}: {reason:?}");
                    self.trace(name, EventCode::SampleVoided, detail);
                    let mut state = self.state();
                    state.samples.scores.remove(sample);
                    state.samples.appended.remove(&sample);
                    state.samples.store.remove(sample);
                    state.samples.generation.slots_opened();
                }
                SampleOutcome::StepRetired { trainer, step } => {
                    let mut state = self.state();
                    state.samples.opened.remove(&(trainer, step));
                    state.samples.store.retired(trainer, step);
                }
                SampleOutcome::StepCompleted { trainer, step } => {
                    tracing::info!(trainer = trainer.0, step, "a step is complete");
                }
                SampleOutcome::StepRefused { .. }
                | SampleOutcome::DeliveriesReady { .. }
                | SampleOutcome::StatementRefused { .. } => {}
            }
        }
    }

    fn slot_filled(self: &Rc<Self>, slot: SlotKey, sample: RecordId, record: &SampleRecord) {
        let SampleRecord::Filled(filled) = record else { return };
        let name = self.state().samples.slot_text(slot);
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
                true => state.samples.store.filled(sample, slot),
                // A copy whose answer was lost is not in the record, so nobody asks for it.
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
        self.rerun_late(now);
        if self.state().samples.next_care > now {
            return;
        }
        self.state().samples.next_care = now + CARE_PERIOD;
        self.bind_samples(now, &owners);
        self.append_trainer_snapshots(now);
        if self.state().samples.next_audit > now {
            return;
        }
        self.state().samples.next_audit = now + AUDIT_PERIOD;
        self.void_lost(now, &owners);
        self.state().samples.store.drop_orphans(now);
    }

    fn slot_owners(&self) -> SlotOwners {
        let state = self.state();
        SlotOwners::of(&state.peers.table, |peer| peer != PeerState::Gone)
    }

    /// Asks for scores and appends the records that ask for delivery numbers.
    fn bind_samples(self: &Rc<Self>, now: Moment, owners: &SlotOwners) {
        let actions = {
            let mut state = self.state();
            let samples = &mut state.samples;
            samples.appended.retain(|_, at| now.since(*at) < RETRY);
            for filled in samples.table.unbound() {
                let waits = samples.appended.contains_key(&filled.sample);
                if owners.owns(filled.slot) && !waits {
                    samples.scores.enqueue(now, filled.slot, filled.sample);
                }
            }
            samples.scores.poll(now, MAX_SCORING)
        };
        for action in actions {
            match action {
                ScoreAction::Call { slot, sample } => self.score_sample(slot, sample),
                ScoreAction::Bind(_) => {}
            }
        }
    }

    /// Takes a score and appends the record that binds the sample to a number.
    pub(crate) fn sample_scored(self: &Rc<Self>, sample: RecordId, score: Option<rollout::Score>) {
        let now = self.now();
        let action = self.state().samples.scores.scored(sample, score);
        let Some(ScoreAction::Bind(bound)) = action else { return };
        self.state().samples.appended.insert(sample, now);
        self.append_sample(SampleRecord::Bound(bound));
    }

    /// Voids samples whose holders are all gone.
    fn void_lost(self: &Rc<Self>, now: Moment, owners: &SlotOwners) {
        let lost = {
            let mut state = self.state();
            let state = &mut *state;
            let settled = state.samples.started.is_some_and(|at| now.since(at) > HEARD_ALL_AFTER);
            if !settled {
                return;
            }
            let present = state.peers.table.iter();
            let present = present.filter(|(_, record)| record.state != PeerState::Gone);
            let present = present.map(|(_, record)| record.vm.incarnation).collect::<HashSet<_>>();
            let is_gone = |holder: Incarnation| !present.contains(&holder);
            let mut lost = state.samples.table.lost_samples(is_gone);
            lost.retain(|voided| {
                owners.owns(voided.slot) && state.samples.is_due(now, voided.sample)
            });
            lost
        };
        for voided in lost {
            self.append_sample(SampleRecord::Voided(voided));
        }
    }

    /// Voids a sample that its holders no longer have.
    pub(crate) fn void_missing(self: &Rc<Self>, filled: &SampleFilled) {
        let now = self.now();
        if !self.state().samples.is_due(now, filled.sample) {
            return;
        }
        let (slot, sample) = (filled.slot, filled.sample);
        let voided = rollout::SampleVoided { slot, sample, reason: VoidReason::Lost };
        self.append_sample(SampleRecord::Voided(voided));
    }

    /// Appends a record that is repeated until it is read back.
    fn append_sample(self: &Rc<Self>, record: SampleRecord) {
        // A full buffer is reported by `append`, and the record is made again after a while.
        let _ = self.append(SAMPLE_STREAM, &SampleEntry::Record { record, step_prompts: None });
    }

    /// Holds the bytes of another node's sample.
    pub(crate) fn hold_sample(&self, copy: WireSampleCopy) -> PeerMessage {
        let now = self.now();
        match self.state().samples.store.insert(now, copy.sample.into(), copy.text) {
            StoreOutcome::Kept => PeerMessage::Done(self.shared.incarnation.0),
            StoreOutcome::Full => PeerMessage::Missing,
        }
    }

    /// Answers with the bytes of a sample.
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

    /// Returns the document's entry of a trainer.
    pub(crate) fn trainer_entry(&self, trainer: TrainerId) -> Option<TrainerEntry> {
        let state = self.state();
        let document = state.config.document.as_ref()?;
        let mut entries = document.trainers.iter();
        entries.find(|entry| TrainerId::from_name(&entry.name) == trainer).cloned()
    }
}
