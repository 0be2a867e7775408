//! Snapshots of trainers, appended to the stream `samples` again before retention drops the records
//! that they stand for.

use std::{collections::BTreeMap, rc::Rc};

use base::{LogOffset, Moment, Span};
use membership::PeerState;
use protocol::{MAX_MESSAGE_BYTES, SampleEntry, SampleSnapshot, encode_record};
use rollout::{SampleTable, TrainerId};

use crate::control::{Control, slots::SlotOwners, streams::SAMPLE_STREAM};

/// Delay before a snapshot that was not read back is appended again.
const RETRY_DELAY: Span = Span::from_secs(5);

/// Bytes reserved in a message for the envelope around a snapshot record.
const MAX_ENVELOPE_BYTES: usize = 64;

/// Tracks for each trainer when its next snapshot is due.
#[derive(Debug, Default)]
pub(crate) struct SnapshotTracker {
    /// Oldest retained offset.
    first_retained: u64,
    /// Offset after the last record read.
    next_offset: u64,
    last_snapshots: BTreeMap<TrainerId, LogOffset>,
    /// Trainers that opened a step since their last snapshot.
    with_new_step: BTreeMap<TrainerId, ()>,
    /// Time of the last append of a snapshot that was not read back yet.
    attempted_at: BTreeMap<TrainerId, Moment>,
}

impl SnapshotTracker {
    pub(crate) fn set_first_retained(&mut self, first: LogOffset) {
        self.first_retained = first.0;
    }

    pub(crate) fn record_read(&mut self, offset: LogOffset) {
        self.next_offset = offset.next().0;
    }

    pub(crate) fn step_opened(&mut self, trainer: TrainerId) {
        self.with_new_step.insert(trainer, ());
    }

    fn record_snapshot(&mut self, trainer: TrainerId, offset: LogOffset) {
        self.last_snapshots.insert(trainer, offset);
        self.with_new_step.remove(&trainer);
        self.attempted_at.remove(&trainer);
    }

    /// Returns whether a trainer's snapshot is due: after each opened step, so that one exists
    /// before the log first drops records, and when the last one lies in the older half of the
    /// retained records.
    fn is_due(&self, now: Moment, trainer: TrainerId) -> bool {
        if self.attempted_at.get(&trainer).is_some_and(|at| now.since(*at) < RETRY_DELAY) {
            return false;
        }
        let middle = LogOffset(u64::midpoint(self.first_retained, self.next_offset));
        let last_snapshot = self.last_snapshots.get(&trainer);
        let is_old = self.first_retained > 0 && last_snapshot.is_none_or(|at| *at < middle);
        is_old || self.with_new_step.contains_key(&trainer)
    }
}

impl Control {
    /// Drops the sample state, which may lack records now, and starts again at `offset`, the oldest
    /// retained record. Running slots are stopped.
    pub(crate) fn restart_samples_at(&self, offset: LogOffset) {
        let slots = {
            let mut state = self.state();
            let samples = &mut state.samples;
            samples.table = match offset {
                LogOffset(0) => SampleTable::default(),
                _ => SampleTable::starting_at(offset),
            };
            samples.step_prompts.clear();
            samples.snapshots = SnapshotTracker::default();
            samples.generation.running_slots()
        };
        for slot in slots {
            self.end_slot(slot);
        }
    }

    /// Installs a trainer's snapshot read from the log. A trainer that is known already keeps its
    /// state.
    pub(crate) fn restore_trainer(&self, offset: LogOffset, snapshot: SampleSnapshot) {
        let SampleSnapshot { snapshot, step_prompts } = snapshot;
        let mut state = self.state();
        let samples = &mut state.samples;
        let trainer = snapshot.state.id;
        samples.snapshots.record_snapshot(trainer, offset);
        let was_known = samples.table.trainers().any(|(id, _)| id == trainer);
        // The outcomes need no handling: the texts of the snapshot's samples are held elsewhere.
        let _ = samples.table.install_snapshot(&snapshot);
        let is_known = samples.table.trainers().any(|(id, _)| id == trainer);
        if was_known || !is_known {
            return;
        }
        tracing::info!(trainer = trainer.0, until = snapshot.until.0, "installed trainer snapshot");
        samples.generation.trainer_scheduler.set_weight(trainer, 1);
        samples.generation.request_scan();
        for (step, step_prompts) in step_prompts {
            samples.step_prompts.entry((trainer, step)).or_insert(step_prompts);
        }
    }

    /// Appends the due snapshots of the trainers that this node owns. The append is idempotent: a
    /// repeated snapshot changes nothing.
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
                samples.snapshots.attempted_at.insert(*trainer, now);
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
            let Some(snapshot) =
                samples.table.snapshot(trainer, LogOffset(samples.snapshots.next_offset))
            else {
                return;
            };
            let incomplete_steps = snapshot.state.steps.values().filter(|step| !step.completed);
            let step_prompts = incomplete_steps.filter_map(|step| {
                let number = step.shape.step;
                Some((number, samples.step_prompts.get(&(trainer, number))?.clone()))
            });
            let step_prompts = step_prompts.collect();
            SampleEntry::Snapshot(Box::new(SampleSnapshot { snapshot, step_prompts }))
        };
        let id = self.state().writer.next_id(SAMPLE_STREAM);
        let length = encode_record(id, &entry).len();
        if length + MAX_ENVELOPE_BYTES > MAX_MESSAGE_BYTES {
            tracing::warn!(
                trainer = trainer.0,
                length,
                "trainer snapshot exceeds the message size limit and is not appended"
            );
            return;
        }
        // A full buffer is logged by `append_with_id`, and the snapshot is retried after
        // `RETRY_DELAY`.
        let _ = self.append_with_id(SAMPLE_STREAM, id, &entry);
    }

    fn snapshot_owners(&self) -> SlotOwners {
        let state = self.state();
        // Peers under suspicion are left out: one may be paused, and a snapshot must not wait for
        // it.
        SlotOwners::of(&state.peers.table, |peer| peer == PeerState::Live)
    }
}
