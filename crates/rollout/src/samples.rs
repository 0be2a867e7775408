//! The book of samples: a function of the prefix of the log stream `samples`.

mod snapshot;
mod trainer;

use std::collections::BTreeMap;

use base::{Incarnation, RecordId, WeightVersion, derive_copy, derive_value};
use smallvec::SmallVec;

use self::snapshot::Gap;
pub use self::{
    snapshot::TrainerSnapshot,
    trainer::{Binding, SlotState, StepSlot, StepState, TrainerState},
};
use crate::records::{
    DeliveryNumber, SampleFilled, SampleRecord, SampleVoided, Score, SlotKey, TrainerId,
    TrainerStated, VoidReason,
};

derive_value! {
    /// What the book found when it applied a record.
    pub enum SampleOutcome {
        /// A step was opened and its slots want samples.
        StepOpened {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
            /// Number of slots.
            slots: usize,
        },
        /// A step is too large, too many steps are unfinished, or the step is retired.
        StepRefused {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
        },
        /// A slot is filled; the sample can be scored and the slot's other attempts cancelled.
        Filled {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
        },
        /// A fill record lost; its bytes can be dropped.
        FillRefused {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
            /// Why it was refused.
            reason: FillRefusal,
        },
        /// A sample got its delivery number.
        Bound {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
            /// The number.
            number: DeliveryNumber,
        },
        /// A sample is void and its slot must be generated again.
        Voided {
            /// The slot.
            slot: SlotKey,
            /// The void sample.
            sample: RecordId,
            /// The number it was bound to.
            number: Option<DeliveryNumber>,
            /// Why it is void.
            reason: VoidReason,
        },
        /// A statement is valid and its fetch can be answered with [`SampleTable::deliveries`].
        DeliveriesReady {
            /// The trainer.
            trainer: TrainerId,
            /// The offer.
            range: DeliveryRange,
        },
        /// A statement names a predecessor that is not the last one, or a number that was never
        /// offered, and has no effect. The node tells the trainer to ask again.
        StatementRefused {
            /// The trainer.
            trainer: TrainerId,
            /// Number of valid statements of the trainer.
            statements: u64,
        },
        /// The trainer has every sample of a step.
        StepCompleted {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
        },
        /// A step is forgotten; bytes of its samples can be dropped.
        StepRetired {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
        },
    }
}

derive_copy! {
    /// Why a fill record has no effect.
    pub enum FillRefusal {
        /// The trainer has not opened this slot.
        SlotUnknown,
        /// An earlier record filled the slot, or the sample belongs to an earlier generation.
        SlotTaken,
        /// The spans do not cover the tokens, or no node holds the bytes.
        Malformed,
        /// The sample already exceeds the staleness bound.
        Stale,
    }

    /// The delivery numbers that answer one valid statement.
    pub struct DeliveryRange {
        /// Number of the statement among those of its trainer, from 1.
        pub statement: u64,
        /// The number after which the trainer asks.
        pub after: DeliveryNumber,
        /// The highest number in the answer.
        pub until: DeliveryNumber,
    }

    /// A slot that wants a sample.
    pub struct OpenSlot {
        /// The slot.
        pub slot: SlotKey,
        /// Generation to state in the fill record.
        pub generation: u32,
    }
}

derive_value! {
    /// One entry of an answer to a trainer.
    pub enum Delivery {
        /// A sample.
        Sample {
            /// Its number.
            number: DeliveryNumber,
            /// The sample.
            filled: SampleFilled,
            /// Its score.
            score: Option<Score>,
            /// The void number of the same slot that this sample replaces.
            replaces: Option<DeliveryNumber>,
        },
        /// Numbers up to this one that are missing from the answer belong to completed steps that
        /// are no longer kept.
        Retired {
            /// The highest such number.
            until: DeliveryNumber,
        },
        /// A number whose sample is void. The replacement comes under a later number.
        Void {
            /// The number.
            number: DeliveryNumber,
            /// The slot.
            slot: SlotKey,
            /// Why the sample is void.
            reason: VoidReason,
        },
    }
}

/// Sample slots and delivery numbers of all trainers.
///
/// Two books that applied the same records in the same order are equal. Answers to trainers are
/// given only for a statement that was read back from the log, so each is a function of the
/// prefix up to that statement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SampleTable {
    trainers: BTreeMap<TrainerId, TrainerState>,
    /// Set in a book that started after the first record of the stream.
    gap: Option<Gap>,
}

impl SampleTable {
    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: &SampleRecord) -> SmallVec<[SampleOutcome; 4]> {
        let mut outcomes = SmallVec::new();
        match record {
            SampleRecord::Stated(stated) => self.apply_stated(stated, &mut outcomes),
            SampleRecord::Filled(filled) => self.apply_filled(filled, &mut outcomes),
            SampleRecord::Bound(bound) => {
                if let Some(trainer) = self.trainers.get_mut(&bound.slot.trainer) {
                    trainer.bind(bound, &mut outcomes);
                }
            }
            SampleRecord::Voided(voided) => {
                if let Some(trainer) = self.trainers.get_mut(&voided.slot.trainer) {
                    trainer.void(voided, &mut outcomes);
                }
            }
        }
        outcomes
    }

    fn apply_stated(
        &mut self,
        stated: &TrainerStated,
        outcomes: &mut SmallVec<[SampleOutcome; 4]>,
    ) {
        let trainer = self
            .trainers
            .entry(stated.trainer)
            .or_insert_with(|| TrainerState::new(stated.trainer, stated.name.clone()));
        trainer.state(stated, outcomes);
    }

    fn apply_filled(&mut self, filled: &SampleFilled, outcomes: &mut SmallVec<[SampleOutcome; 4]>) {
        let (slot, sample) = (filled.slot, filled.sample);
        let result = match self.trainers.get_mut(&slot.trainer) {
            Some(trainer) => trainer.fill(filled),
            None => Err(FillRefusal::SlotUnknown),
        };
        outcomes.push(match result {
            Ok(()) => SampleOutcome::Filled { slot, sample },
            Err(reason) => SampleOutcome::FillRefused { slot, sample, reason },
        });
    }

    /// Iterates over the slots that want a sample, oldest step first.
    pub fn open_slots(&self, trainer: TrainerId) -> impl Iterator<Item = OpenSlot> {
        self.trainers.get(&trainer).into_iter().flat_map(TrainerState::open_slots)
    }

    /// Iterates over filled samples that wait for their score and delivery number.
    pub fn unbound(&self) -> impl Iterator<Item = &SampleFilled> {
        self.trainers.values().flat_map(TrainerState::unbound)
    }

    /// Returns what answers statement `statement` of `trainer`, in order of numbers.
    ///
    /// Returns `None` when a later statement has taken its place. The answer must end before the
    /// first sample whose bytes cannot be fetched, so that the trainer acknowledges no number that
    /// it does not have.
    #[must_use]
    pub fn deliveries(&self, trainer: TrainerId, statement: u64) -> Option<Vec<Delivery>> {
        self.trainers.get(&trainer)?.deliveries(statement)
    }

    /// Returns the delivery number that `trainer`'s last bound sample got, or 0.
    #[must_use]
    pub fn last_number(&self, trainer: TrainerId) -> DeliveryNumber {
        self.trainers.get(&trainer).map_or(DeliveryNumber(0), TrainerState::last_number)
    }

    /// Tells whether a number after `after` is bound, so that a new statement is worthwhile.
    #[must_use]
    pub fn has_deliveries_after(&self, trainer: TrainerId, after: DeliveryNumber) -> bool {
        self.trainers.get(&trainer).is_some_and(|state| state.last_number() > after)
    }

    /// Returns the records that void the samples with no holder left, for the caller to append.
    ///
    /// A sample that its trainer has acknowledged is not lost.
    pub fn lost_samples(&self, is_gone: impl Fn(Incarnation) -> bool) -> Vec<SampleVoided> {
        let mut lost = Vec::new();
        for trainer in self.trainers.values() {
            trainer.collect_lost(&is_gone, &mut lost);
        }
        lost
    }

    /// Returns the number of valid statements, to name in the next one.
    ///
    /// It must be read when the trainer's request arrives, and a refused statement must not be
    /// repeated with a newer number. Otherwise a request that the trainer has given up could take
    /// effect after a later one, and samples in the trainer's hands would be made again.
    #[must_use]
    pub fn statements(&self, trainer: TrainerId) -> u64 {
        self.trainers.get(&trainer).map_or(0, TrainerState::statements)
    }

    /// Returns the version that `trainer` stated last and its staleness bound.
    #[must_use]
    pub fn stated_version(&self, trainer: TrainerId) -> Option<(WeightVersion, u64)> {
        self.trainers.get(&trainer).and_then(TrainerState::stated_version)
    }

    /// Returns the highest number that `trainer` stated to have, or 0.
    #[must_use]
    pub fn acknowledged(&self, trainer: TrainerId) -> DeliveryNumber {
        self.trainers.get(&trainer).map_or(DeliveryNumber(0), TrainerState::acknowledged)
    }

    /// Iterates over the trainers and their names.
    pub fn trainers(&self) -> impl Iterator<Item = (TrainerId, &str)> {
        self.trainers.iter().map(|(&id, state)| (id, state.name()))
    }
}
