//! Snapshots for books that start after retention dropped the first records of the stream.

use std::collections::VecDeque;

use base::{LogOffset, derive_value};
use smallvec::SmallVec;

use crate::{
    records::{SampleRecord, TrainerId},
    samples::{SampleOutcome, SampleTable, TrainerState},
};

/// Records kept while no snapshot of their trainer was read: half an hour at two trainers of
/// design section 8, whose steps of 2,048 samples write about 4,200 records each.
const MAX_KEPT: usize = 32_768;

derive_value! {
    /// Snapshot of one trainer, for the log.
    pub struct TrainerSnapshot {
        /// Offset of the first record that the snapshot does not reflect.
        pub until: LogOffset,
        /// The trainer's part of the book.
        pub state: TrainerState,
    }

    /// Records of trainers that the book does not know yet.
    pub(crate) struct Gap {
        /// Offset from which every record was read and kept.
        first: LogOffset,
        kept: VecDeque<(LogOffset, SampleRecord)>,
    }
}

impl SampleTable {
    /// Creates a book whose first record is the one at `first` and not the first of the stream.
    ///
    /// It knows a trainer only after [`SampleTable::install_snapshot`].
    #[must_use]
    pub fn starting_at(first: LogOffset) -> Self {
        Self { gap: Some(Gap { first, kept: VecDeque::new() }), ..Self::default() }
    }

    /// Applies the record at `offset`. A book that started after a gap keeps the records of trainers
    /// that it does not know.
    pub fn apply_at(
        &mut self,
        offset: LogOffset,
        record: &SampleRecord,
    ) -> SmallVec<[SampleOutcome; 4]> {
        let is_known = self.trainers.contains_key(&trainer_of(record));
        let Some(gap) = self.gap.as_mut().filter(|_| !is_known) else { return self.apply(record) };
        gap.kept.push_back((offset, record.clone()));
        if gap.kept.len() > MAX_KEPT
            && let Some((dropped, _)) = gap.kept.pop_front()
        {
            gap.first = dropped.next();
        }
        SmallVec::new()
    }

    /// Returns the snapshot of `trainer` after the record before `until`.
    #[must_use]
    pub fn snapshot(&self, trainer: TrainerId, until: LogOffset) -> Option<TrainerSnapshot> {
        Some(TrainerSnapshot { until, state: self.trainers.get(&trainer)?.clone() })
    }

    /// Takes a snapshot that was read from the log and applies the kept records that follow it.
    ///
    /// A snapshot of a known trainer has no effect, nor has one with unread records after it.
    pub fn install_snapshot(&mut self, snapshot: &TrainerSnapshot) -> SmallVec<[SampleOutcome; 4]> {
        let mut actions = SmallVec::new();
        let id = snapshot.state.id;
        let Some(gap) = self.gap.as_mut() else { return actions };
        if self.trainers.contains_key(&id) || snapshot.until < gap.first {
            return actions;
        }
        let kept = std::mem::take(&mut gap.kept);
        let (own, others) = kept.into_iter().partition(|(_, record)| trainer_of(record) == id);
        gap.kept = others;
        self.trainers.insert(id, snapshot.state.clone());
        let own: VecDeque<(LogOffset, SampleRecord)> = own;
        for (_, record) in own.iter().filter(|(offset, _)| *offset >= snapshot.until) {
            actions.extend(self.apply(record));
        }
        actions
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
