//! The sample table: replicated state computed from the records of the log stream `samples`.

mod snapshot;
mod trainer;

use std::collections::BTreeMap;

use base::{Incarnation, RecordId, WeightVersion, derive_copy, derive_value};
use smallvec::SmallVec;

use self::snapshot::CatchUp;
pub use self::{
    snapshot::TrainerSnapshot,
    trainer::{Binding, SlotState, StepSlot, StepState, TrainerState},
};
use crate::records::{
    DeliveryNumber, SampleFilled, SampleRecord, SampleVoided, Score, SlotKey, TrainerId,
    TrainerStated, VoidReason,
};

derive_value! {
    /// Result of applying one record to the sample table.
    pub enum SampleOutcome {
        /// A step was opened and its slots wait for samples.
        StepOpened {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
            /// Number of slots.
            slots: usize,
        },
        /// A step was not opened: it is empty or too large, its trainer has too many unfinished
        /// steps, or the step is retired.
        StepRefused {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
        },
        /// A slot was filled. The sample can be scored and other attempts for the slot cancelled.
        Filled {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
        },
        /// A `Filled` record had no effect. The bytes of its sample can be dropped.
        FillRefused {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
            /// Why the record was refused.
            reason: FillRefusal,
        },
        /// A sample got a delivery number.
        Bound {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
            /// The delivery number.
            number: DeliveryNumber,
        },
        /// A sample is void and its slot must be generated again.
        Voided {
            /// The slot.
            slot: SlotKey,
            /// The void sample.
            sample: RecordId,
            /// The delivery number of the void sample, if it had one.
            number: Option<DeliveryNumber>,
            /// Why the sample is void.
            reason: VoidReason,
        },
        /// A statement is valid and can be answered with [`SampleTable::deliveries`].
        DeliveriesReady {
            /// The trainer.
            trainer: TrainerId,
            /// The delivery numbers of the answer.
            range: DeliveryRange,
        },
        /// A statement had no effect: it does not follow the last valid statement, the trainer's
        /// name differs, or it acknowledges a number that was never offered. The node tells the
        /// trainer to retry.
        StatementRefused {
            /// The trainer.
            trainer: TrainerId,
            /// Number of valid statements of the trainer.
            statements: u64,
        },
        /// The trainer has received every sample of a step.
        StepCompleted {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
        },
        /// A completed step was removed from the table. The bytes of its samples can be dropped.
        StepRetired {
            /// The trainer.
            trainer: TrainerId,
            /// The step.
            step: u64,
        },
    }
}

derive_copy! {
    /// Why a `Filled` record has no effect.
    pub enum FillRefusal {
        /// The trainer has not opened this slot.
        SlotUnknown,
        /// An earlier record filled the slot, or the record states a different generation.
        SlotTaken,
        /// The spans do not cover every token exactly once, or no node holds the bytes.
        Malformed,
        /// The sample already exceeds the staleness bound.
        Stale,
    }

    /// The delivery numbers that answer one valid statement.
    pub struct DeliveryRange {
        /// Number of the statement among the valid ones of its trainer, starting at 1.
        pub statement: u64,
        /// The number that the trainer acknowledged. The answer starts after it.
        pub after: DeliveryNumber,
        /// The highest number in the answer.
        pub until: DeliveryNumber,
    }

    /// A slot that waits for a sample.
    pub struct OpenSlot {
        /// The slot.
        pub slot: SlotKey,
        /// Generation to state in the `Filled` record.
        pub generation: u32,
    }
}

derive_value! {
    /// One entry of the answer to a trainer's statement.
    pub enum Delivery {
        /// A sample.
        Sample {
            /// Its delivery number.
            number: DeliveryNumber,
            /// The sample.
            filled: SampleFilled,
            /// Its score.
            score: Option<Score>,
            /// The delivery number of the void sample of the same slot that this sample replaces.
            replaces: Option<DeliveryNumber>,
        },
        /// Samples of completed steps that were removed from the table. Numbers up to `until` that
        /// are missing from the answer belong to them.
        Retired {
            /// The highest delivery number of a removed step.
            until: DeliveryNumber,
        },
        /// A number whose sample is void. The replacement gets a later number.
        Void {
            /// The delivery number.
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
/// Two tables that applied the same records in the same order are equal. A node answers a trainer
/// only after it has read the trainer's statement back from the log, so the answer depends only on
/// the records up to that statement and is the same on every node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SampleTable {
    trainers: BTreeMap<TrainerId, TrainerState>,
    /// Set if the table started after the first record of the stream.
    catch_up: Option<CatchUp>,
}

impl SampleTable {
    /// Applies the next record of the stream and returns what changed or was refused.
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
        trainer.apply_statement(stated, outcomes);
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

    /// Iterates over the slots of `trainer` that wait for a sample, in order of steps.
    pub fn open_slots(&self, trainer: TrainerId) -> impl Iterator<Item = OpenSlot> {
        self.trainers.get(&trainer).into_iter().flat_map(TrainerState::open_slots)
    }

    /// Iterates over the filled samples of all trainers that have no delivery number yet.
    pub fn unbound(&self) -> impl Iterator<Item = &SampleFilled> {
        self.trainers.values().flat_map(TrainerState::unbound)
    }

    /// Returns the answer to the statement with the number `statement` of `trainer`, in order of
    /// delivery numbers, or `None` if it is not the trainer's last valid statement.
    ///
    /// The caller must end the answer before the first sample whose bytes cannot be fetched, so
    /// that the trainer does not acknowledge a number that it has not received.
    #[must_use]
    pub fn deliveries(&self, trainer: TrainerId, statement: u64) -> Option<Vec<Delivery>> {
        self.trainers.get(&trainer)?.deliveries(statement)
    }

    /// Returns the highest delivery number of `trainer`, or 0.
    #[must_use]
    pub fn last_number(&self, trainer: TrainerId) -> DeliveryNumber {
        self.trainers.get(&trainer).map_or(DeliveryNumber(0), TrainerState::last_number)
    }

    /// Returns whether a sample has a delivery number above `after`. If not, a new statement would
    /// get an empty answer.
    #[must_use]
    pub fn has_deliveries_after(&self, trainer: TrainerId, after: DeliveryNumber) -> bool {
        self.trainers.get(&trainer).is_some_and(|state| state.last_number() > after)
    }

    /// Returns records, to be appended by the caller, that void the samples of which every holder
    /// is dead according to `is_dead`. Acknowledged samples are left out, since the trainer has
    /// them.
    pub fn lost_samples(&self, is_dead: impl Fn(Incarnation) -> bool) -> Vec<SampleVoided> {
        let mut lost = Vec::new();
        for trainer in self.trainers.values() {
            trainer.collect_lost(&is_dead, &mut lost);
        }
        lost
    }

    /// Returns the number of valid statements of `trainer`, for [`TrainerStated::follows`] of the
    /// next one.
    ///
    /// The caller must read it when the trainer's request arrives, and must not retry a refused
    /// statement with a newer number. Otherwise a request that the trainer has abandoned could take
    /// effect after a later one, and samples that the trainer has received would be generated
    /// again.
    #[must_use]
    pub fn statements(&self, trainer: TrainerId) -> u64 {
        self.trainers.get(&trainer).map_or(0, TrainerState::statements)
    }

    /// Returns the weight version and the staleness bound in the last valid statement of `trainer`.
    #[must_use]
    pub fn stated_version(&self, trainer: TrainerId) -> Option<(WeightVersion, u64)> {
        self.trainers.get(&trainer).and_then(TrainerState::stated_version)
    }

    /// Returns the delivery number that `trainer` acknowledged last, or 0.
    #[must_use]
    pub fn acknowledged(&self, trainer: TrainerId) -> DeliveryNumber {
        self.trainers.get(&trainer).map_or(DeliveryNumber(0), TrainerState::acknowledged)
    }

    /// Iterates over the identifiers and names of all trainers.
    pub fn trainers(&self) -> impl Iterator<Item = (TrainerId, &str)> {
        self.trainers.iter().map(|(&id, state)| (id, state.name()))
    }
}
