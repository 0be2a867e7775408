//! Records of the log stream `samples` as the domain sees them.

use base::{Incarnation, RecordId, WeightVersion, derive_copy, derive_value, stable_hash};
use smallvec::SmallVec;

use crate::spans::VersionSpan;

derive_copy! {
    /// Identity of a trainer, the same on every node.
    pub struct TrainerId(pub u64);

    /// One place in a step that a sample must fill.
    pub struct SlotKey {
        /// The trainer that opened the step.
        pub trainer: TrainerId,
        /// Number of the step, chosen by the trainer.
        pub step: u64,
        /// Group within the step, from 0.
        pub group: u32,
        /// Sample within the group, from 0.
        pub index: u32,
    }

    /// Number under which a trainer fetches a sample, from 1 in log order.
    pub struct DeliveryNumber(pub u64);

    /// Score of a sample in millionths.
    pub struct Score(pub i64);

    /// Size of a step.
    pub struct StepShape {
        /// Number of the step.
        pub step: u64,
        /// Number of groups.
        pub groups: u32,
        /// Samples in each group.
        pub samples_per_group: u32,
    }

    /// Why a sample is void.
    pub enum VoidReason {
        /// Its oldest weight version exceeds the staleness bound at delivery.
        Stale,
        /// No holder of its bytes is left.
        Lost,
    }
}

derive_value! {
    /// What a trainer said when it opened a step or fetched samples.
    pub struct TrainerStated {
        /// The trainer.
        pub trainer: TrainerId,
        /// Name of the trainer as in its requests.
        pub name: String,
        /// Number of valid statements of this trainer before this one. A record that names another
        /// number is void, so an append that takes effect late cannot undo a later statement.
        pub follows: u64,
        /// Weight version that the trainer trains on now.
        pub version: WeightVersion,
        /// Largest allowed age of a sample in weight versions.
        pub staleness_bound: u64,
        /// Highest delivery number that the trainer has, or 0.
        pub acknowledged: DeliveryNumber,
        /// The step that the trainer opens with this statement.
        pub opened: Option<StepShape>,
    }

    /// A finished sample whose bytes are held.
    pub struct SampleFilled {
        /// The slot.
        pub slot: SlotKey,
        /// How many samples of this slot were void before; a record of an earlier count is void.
        pub generation: u32,
        /// Identity of the sample: the id of this record.
        pub sample: RecordId,
        /// Weight versions as the engines reported them, covering every token once.
        pub spans: SmallVec<[VersionSpan; 2]>,
        /// Number of tokens.
        pub tokens: u32,
        /// Digest of the bytes, checked when they are fetched from a holder.
        pub digest: u64,
        /// Nodes that hold the bytes.
        pub holders: SmallVec<[Incarnation; 2]>,
    }

    /// A scored sample gets the trainer's next delivery number.
    pub struct SampleBound {
        /// The slot.
        pub slot: SlotKey,
        /// The sample that fills it.
        pub sample: RecordId,
        /// Score, or `None` for a trainer without a scoring service.
        pub score: Option<Score>,
    }

    /// A sample whose bytes are gone.
    pub struct SampleVoided {
        /// The slot.
        pub slot: SlotKey,
        /// The sample.
        pub sample: RecordId,
        /// Why it is void.
        pub reason: VoidReason,
    }

    /// A record of the stream `samples`.
    pub enum SampleRecord {
        /// A trainer's statement.
        Stated(TrainerStated),
        /// A finished sample.
        Filled(SampleFilled),
        /// A delivery number.
        Bound(SampleBound),
        /// A lost sample.
        Voided(SampleVoided),
    }
}

impl TrainerId {
    /// Derives the identity of the trainer called `name` by FNV-1a (Fowler, Noll and Vo, 1991).
    #[must_use]
    pub const fn from_name(name: &str) -> Self {
        Self(stable_hash(name))
    }
}

impl StepShape {
    /// Returns the number of samples in the step.
    #[must_use]
    pub const fn slots(self) -> usize {
        self.groups as usize * self.samples_per_group as usize
    }

    pub(crate) const fn position(self, slot: SlotKey) -> Option<usize> {
        if slot.group >= self.groups || slot.index >= self.samples_per_group {
            return None;
        }
        Some(slot.group as usize * self.samples_per_group as usize + slot.index as usize)
    }

    pub(crate) const fn slot_at(self, trainer: TrainerId, position: usize) -> SlotKey {
        let width = self.samples_per_group as usize;
        let (group, index) = ((position / width) as u32, (position % width) as u32);
        SlotKey { trainer, step: self.step, group, index }
    }
}
