//! Snapshots of trainers, re-appended to the stream `samples` before retention drops them.

use std::{collections::BTreeMap, rc::Rc};

use base::{LogOffset, Moment, Span};
use membership::PeerState;
use protocol::{MAX_MESSAGE_BYTES, SampleEntry, SampleSnapshot, encode_record};
use rollout::{SampleTable, TrainerId};

use crate::control::{Control, slots::SlotOwners, streams::SAMPLE_STREAM};

/// Wait before a snapshot that was not read back is appended again.
const RETRY: Span = Span::from_secs(5);

/// Room for the record id around a snapshot.
const ENVELOPE_BYTES: usize = 64;

/// When the trainers were last carried.
#[derive(Debug, Default)]
pub(crate) struct SnapshotTracker {
    /// Oldest retained offset.
    first: u64,
    /// Offset that follows the last record read.
    next: u64,
    last_snapshots: BTreeMap<TrainerId, LogOffset>,
    /// Trainers that opened a step since their last snapshot.
    stepped: BTreeMap<TrainerId, ()>,
    tried: BTreeMap<TrainerId, Moment>,
}

impl SnapshotTracker {
    pub(crate) fn retained(&mut self, first: LogOffset) {
        self.first = first.0;
    }

    pub(crate) fn read(&mut self, offset: LogOffset) {
        self.next = offset.next().0;
    }

    pub(crate) fn step_opened(&mut self, trainer: TrainerId) {
        self.stepped.insert(trainer, ());
    }

    fn record_snapshot(&mut self, trainer: TrainerId, offset: LogOffset) {
        self.last_snapshots.insert(trainer, offset);
        self.stepped.remove(&trainer);
        self.tried.remove(&trainer);
    }

    /// A snapshot is due with each step, so that one exists before the log first drops records, and
    /// when the last one lies in the older half of what the log retains.
    fn is_due(&self, now: Moment, trainer: TrainerId) -> bool {
        if self.tried.get(&trainer).is_some_and(|at| now.since(*at) < RETRY) {
            return false;
        }
        let middle = LogOffset(u64::midpoint(self.first, self.next));
        let carried = self.last_snapshots.get(&trainer);
        let is_old = self.first > 0 && carried.is_none_or(|at| *at < middle);
        is_old || self.stepped.contains_key(&trainer)
    }
}

impl Control {
    /// Starts anew at the oldest retained record. What was known of trainers may have gaps now.
    pub(crate) fn samples_from(&self, offset: LogOffset) {
        let slots = {
            let mut state = self.state();
            let samples = &mut state.samples;
            samples.table = match offset {
                LogOffset(0) => SampleTable::default(),
                _ => SampleTable::starting_at(offset),
            };
            samples.opened.clear();
            samples.snapshots = SnapshotTracker::default();
            samples.generation.slots()
        };
        for slot in slots {
            self.end_slot(slot);
        }
    }

    /// Takes a snapshot from the log.
    pub(crate) fn adopt_trainer(&self, offset: LogOffset, snapshot: SampleSnapshot) {
        let SampleSnapshot { snapshot, step_prompts } = snapshot;
        let mut state = self.state();
        let samples = &mut state.samples;
        let trainer = snapshot.state.id;
        samples.snapshots.record_snapshot(trainer, offset);
        let was_known = samples.table.trainers().any(|(id, _)| id == trainer);
        // The bytes of the samples are held elsewhere, so there is nothing to do for the actions.
        let _ = samples.table.install_snapshot(&snapshot);
        let is_known = samples.table.trainers().any(|(id, _)| id == trainer);
        if was_known || !is_known {
            return;
        }
        tracing::info!(trainer = trainer.0, until = snapshot.until.0, "a snapshot was adopted");
        samples.generation.trainer_scheduler.set_weight(trainer, 1);
        samples.generation.slots_opened();
        for (step, step_prompts) in step_prompts {
            samples.opened.entry((trainer, step)).or_insert(step_prompts);
        }
    }

    /// Appends the snapshots that are due and that belong to this node. A repeat is harmless.
    pub(crate) fn append_trainer_snapshots(self: &Rc<Self>, now: Moment) {
        let owners = self.snapshot_owners();
        let due = {
            let mut state = self.state();
            let samples = &mut state.samples;
            let trainers = samples.table.trainers().map(|(id, _)| id);
            let due =
                trainers.filter(|id| samples.snapshots.is_due(now, *id) && owners.owns_item(id.0));
            let due = due.collect::<Vec<_>>();
            for trainer in &due {
                samples.snapshots.tried.insert(*trainer, now);
            }
            due
        };
        for trainer in due {
            self.append_trainer_snapshot(trainer);
        }
    }

    fn append_trainer_snapshot(self: &Rc<Self>, trainer: TrainerId) {
        let entry = {
            let state = self.state();
            let samples = &state.samples;
            let Some(snapshot) = samples.table.snapshot(trainer, LogOffset(samples.snapshots.next))
            else {
                return;
            };
            let wanted = snapshot.state.steps.values().filter(|step| !step.completed);
            let step_prompts = wanted.filter_map(|step| {
                let number = step.shape.step;
                Some((number, samples.opened.get(&(trainer, number))?.clone()))
            });
            let step_prompts = step_prompts.collect();
            SampleEntry::Snapshot(Box::new(SampleSnapshot { snapshot, step_prompts }))
        };
        let id = self.state().writer.next_id(SAMPLE_STREAM);
        let length = encode_record(id, &entry).len();
        if length + ENVELOPE_BYTES > MAX_MESSAGE_BYTES {
            tracing::warn!(trainer = trainer.0, length, "a snapshot exceeds the largest record");
            return;
        }
        // A full buffer is reported by `append_with_id`, and the snapshot is made again.
        let _ = self.append_with_id(SAMPLE_STREAM, id, &entry);
    }

    fn snapshot_owners(&self) -> SlotOwners {
        let state = self.state();
        // A suspect may be paused, and a snapshot must not wait for it.
        SlotOwners::of(&state.peers.table, |peer| peer == PeerState::Live)
    }
}
