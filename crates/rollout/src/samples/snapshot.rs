//! Snapshots for sample tables that start after retention dropped the first records of the stream.

use std::collections::VecDeque;

use base::{LogOffset, derive_value};
use smallvec::SmallVec;

use crate::{
    records::{SampleRecord, TrainerId},
    samples::{SampleOutcome, SampleTable, TrainerState},
};

/// Maximum number of records buffered until a snapshot of their trainer is read. This is half an
/// hour of records of two trainers (docs/design.md, section 8), whose steps of 2,048 samples
/// write about 4,200 records each.
const MAX_BUFFERED_RECORDS: usize = 32_768;

derive_value! {
    /// State of one trainer, appended to the log before retention drops the records that built it.
    pub struct TrainerSnapshot {
        /// Offset of the first record that is not applied in the snapshot.
        pub until: LogOffset,
        /// State of the trainer after the records before `until`.
        pub state: TrainerState,
    }

    /// Buffered records of trainers whose snapshot was not read yet.
    pub(crate) struct CatchUp {
        /// Offset from which on every record of these trainers was read and is buffered.
        first_offset: LogOffset,
        buffered: VecDeque<(LogOffset, SampleRecord)>,
    }
}

impl SampleTable {
    /// Creates a table that reads the stream from the offset `first_offset` on instead of from its
    /// start.
    ///
    /// It contains a trainer only after [`SampleTable::install_snapshot`]. Records must be applied
    /// with [`SampleTable::apply_at`].
    #[must_use]
    pub fn starting_at(first_offset: LogOffset) -> Self {
        Self {
            catch_up: Some(CatchUp { first_offset, buffered: VecDeque::new() }),
            ..Self::default()
        }
    }

    /// Applies the record at `offset`. A table made by [`SampleTable::starting_at`] buffers the
    /// records of trainers whose snapshot was not read yet, and drops the oldest ones above a
    /// limit.
    pub fn apply_at(
        &mut self,
        offset: LogOffset,
        record: &SampleRecord,
    ) -> SmallVec<[SampleOutcome; 4]> {
        let trainer_known = self.trainers.contains_key(&trainer_of(record));
        let Some(catch_up) = self.catch_up.as_mut().filter(|_| !trainer_known) else {
            return self.apply(record);
        };
        catch_up.buffered.push_back((offset, record.clone()));
        if catch_up.buffered.len() > MAX_BUFFERED_RECORDS
            && let Some((dropped, _)) = catch_up.buffered.pop_front()
        {
            catch_up.first_offset = dropped.next();
        }
        SmallVec::new()
    }

    /// Returns a snapshot of `trainer`, or `None` if the trainer is unknown. All records before the
    /// offset `until` and none from it on must have been applied.
    #[must_use]
    pub fn snapshot(&self, trainer: TrainerId, until: LogOffset) -> Option<TrainerSnapshot> {
        Some(TrainerSnapshot { until, state: self.trainers.get(&trainer)?.clone() })
    }

    /// Installs a snapshot that was read from the log and applies the buffered records from its
    /// offset on.
    ///
    /// Ignored if the trainer is known, or if records after the snapshot are missing because they
    /// were not read or no longer fit into the buffer.
    pub fn install_snapshot(&mut self, snapshot: &TrainerSnapshot) -> SmallVec<[SampleOutcome; 4]> {
        let mut outcomes = SmallVec::new();
        let id = snapshot.state.id;
        let Some(catch_up) = self.catch_up.as_mut() else { return outcomes };
        if self.trainers.contains_key(&id) || snapshot.until < catch_up.first_offset {
            return outcomes;
        }
        let buffered = std::mem::take(&mut catch_up.buffered);
        let (of_trainer, other_trainers) =
            buffered.into_iter().partition(|(_, record)| trainer_of(record) == id);
        catch_up.buffered = other_trainers;
        self.trainers.insert(id, snapshot.state.clone());
        let of_trainer: VecDeque<(LogOffset, SampleRecord)> = of_trainer;
        for (_, record) in of_trainer.iter().filter(|(offset, _)| *offset >= snapshot.until) {
            outcomes.extend(self.apply(record));
        }
        outcomes
    }
}

const fn trainer_of(record: &SampleRecord) -> TrainerId {
    match record {
        SampleRecord::Stated(stated) => stated.trainer,
        SampleRecord::Filled(filled) => filled.slot.trainer,
        SampleRecord::Bound(bound) => bound.slot.trainer,
        SampleRecord::Voided(voided) => voided.slot.trainer,
    }
}
