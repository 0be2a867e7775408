//! Records of the log stream `samples`, independent of their encoding.

use base::{Incarnation, RecordId, WeightVersion, derive_copy, derive_value, stable_hash};
use smallvec::SmallVec;

use crate::spans::VersionSpan;

derive_copy! {
    /// Identifier of a trainer, the same on every node. See [`TrainerId::from_name`].
    pub struct TrainerId(pub u64);

    /// Position in a step that one sample must fill.
    pub struct SlotKey {
        /// The trainer that opened the step.
        pub trainer: TrainerId,
        /// Number of the step, chosen by the trainer.
        pub step: u64,
        /// Group within the step, starting at 0.
        pub group: u32,
        /// Sample within the group, starting at 0.
        pub index: u32,
    }

    /// Position of a sample in the sequence that its trainer fetches, starting at 1, in the order
    /// of the `Bound` records in the log.
    pub struct DeliveryNumber(pub u64);

    /// Score of a sample in millionths.
    pub struct Score(pub i64);

    /// Number and size of a step.
    pub struct StepShape {
        /// Number of the step.
        pub step: u64,
        /// Number of groups.
        pub groups: u32,
        /// Samples in each group.
        pub samples_per_group: u32,
    }

    /// Why a sample is void, that is, withdrawn and generated again.
    pub enum VoidReason {
        /// Its oldest weight version is further behind the trainer's version than the staleness
        /// bound.
        Stale,
        /// No node that held its bytes is left.
        Lost,
    }
}

derive_value! {
    /// A trainer's request to open a step or to fetch samples.
    pub struct TrainerStated {
        /// The trainer.
        pub trainer: TrainerId,
        /// Name of the trainer, as in its requests.
        pub name: String,
        /// Number of valid statements of this trainer before this one. A record with a different
        /// number is ignored, so an append that takes effect late cannot undo a later statement.
        pub follows: u64,
        /// Current weight version of the trainer.
        pub version: WeightVersion,
        /// Maximum age of a sample in weight versions.
        pub staleness_bound: u64,
        /// Delivery number up to which the trainer has all samples, or 0. It decreases when the
        /// trainer returns to a checkpoint.
        pub acknowledged: DeliveryNumber,
        /// The step that the trainer opens with this statement, if any.
        pub opened: Option<StepShape>,
    }

    /// A finished sample whose bytes are stored on nodes.
    pub struct SampleFilled {
        /// The slot.
        pub slot: SlotKey,
        /// How many samples of this slot became void before. A record with a different number is
        /// refused.
        pub generation: u32,
        /// Identifier of the sample, which is the id of this record.
        pub sample: RecordId,
        /// Weight versions as the engines reported them. They cover every token exactly once.
        pub spans: SmallVec<[VersionSpan; 2]>,
        /// Number of tokens.
        pub tokens: u32,
        /// Digest of the bytes, verified when they are fetched from a holder.
        pub digest: u64,
        /// Nodes that hold the bytes.
        pub holders: SmallVec<[Incarnation; 2]>,
    }

    /// Gives a scored sample the next delivery number of its trainer.
    pub struct SampleBound {
        /// The slot.
        pub slot: SlotKey,
        /// The sample that fills the slot.
        pub sample: RecordId,
        /// The score, or `None` for a trainer without a scoring service.
        pub score: Option<Score>,
    }

    /// Withdraws a sample, so that its slot is generated again.
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
        /// A trainer opened a step or fetched samples.
        Stated(TrainerStated),
        /// A sample was finished.
        Filled(SampleFilled),
        /// A sample gets a delivery number.
        Bound(SampleBound),
        /// A sample is withdrawn.
        Voided(SampleVoided),
    }
}

impl TrainerId {
    /// Returns the FNV-1a hash of `name` (Fowler, Noll and Vo, 1991) as the identifier of the
    /// trainer.
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
        let group_size = self.samples_per_group as usize;
        let (group, index) = ((position / group_size) as u32, (position % group_size) as u32);
        SlotKey { trainer, step: self.step, group, index }
    }
}
