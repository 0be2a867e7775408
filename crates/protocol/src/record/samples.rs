//! Records of the stream `samples`.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

mod snapshot;

use base::{Incarnation, RecordId, WeightVersion};
use rollout::{
    DeliveryNumber, SampleBound, SampleFilled, SampleRecord, SampleVoided, Score, SlotKey,
    StepShape, TrainerId, TrainerSnapshot, TrainerStated, VersionSpan, VoidReason,
};

use self::snapshot::WireTrainerSnapshot;
use crate::codec::{MalformedMessage, StreamRecord, WireId, wire};

/// Largest number of slots in a step. A step with more is rejected before memory is allocated for
/// its slots.
const MAX_SLOTS: u64 = 1 << 20;

wire! {
    /// A record of the stream `samples`.
    pub enum WireSample {
        /// An open or fetch request of a trainer.
        Stated {
            trainer: u64,
            name: String,
            follows: u64,
            version: u64,
            staleness_bound: u64,
            acknowledged: u64,
            opened: Option<WireStep>,
        },
        /// A slot was filled with a generated sample.
        Filled(WireFilled),
        /// A sample got its delivery number.
        Bound { slot: WireSlot, sample: WireId, score: Option<i64> },
        /// A sample was withdrawn and is generated again.
        Voided { slot: WireSlot, sample: WireId, reason: WireVoidReason },
        /// Snapshot of the state of one trainer.
        Carry(WireTrainerSnapshot),
    }

    pub struct WireFilled {
        slot: WireSlot,
        generation: u32,
        sample: WireId,
        spans: Vec<(u64, u32, u32)>,
        tokens: u32,
        digest: u64,
        holders: Vec<u64>,
    }

    pub struct WireStep {
        step: u64,
        samples_per_group: u32,
        max_tokens: u32,
        prompts: Vec<String>,
    }

    #[derive(Copy)]
    pub struct WireSlot {
        trainer: u64,
        step: u64,
        group: u32,
        index: u32,
    }

    #[derive(Copy)]
    pub enum WireVoidReason {
        Stale,
        Lost,
    }

    /// Input from which the nodes generate the samples of a step.
    pub struct StepPrompts {
        /// One prompt for each group.
        pub prompts: Vec<String>,
        /// Largest number of tokens of a sample.
        pub max_tokens: u32,
    }
}

/// An entry of the stream `samples`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SampleEntry {
    /// A record, with the prompts of the step if it opens one.
    Record {
        /// The record.
        record: SampleRecord,
        /// Present when the record is a statement that opens a step.
        step_prompts: Option<StepPrompts>,
    },
    /// A snapshot of one trainer.
    Snapshot(Box<SampleSnapshot>),
}

/// Snapshot of one trainer with the prompts of its steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleSnapshot {
    /// The snapshot.
    pub snapshot: TrainerSnapshot,
    /// Prompts of the steps that are not completed, by number of the step.
    pub step_prompts: Vec<(u64, StepPrompts)>,
}

impl StreamRecord for SampleEntry {
    type Wire = WireSample;

    fn from_wire(wire: WireSample) -> Result<Self, MalformedMessage> {
        let record = match wire {
            WireSample::Stated {
                trainer,
                name,
                follows,
                version,
                staleness_bound,
                acknowledged,
                opened,
            } => {
                let shape = opened.as_ref().map(StepShape::try_from).transpose()?;
                let stated = TrainerStated {
                    trainer: TrainerId(trainer),
                    name,
                    follows,
                    version: WeightVersion(version),
                    staleness_bound,
                    acknowledged: DeliveryNumber(acknowledged),
                    opened: shape,
                };
                let opened = opened
                    .map(|step| StepPrompts { prompts: step.prompts, max_tokens: step.max_tokens });
                return Ok(Self::Record {
                    record: SampleRecord::Stated(stated),
                    step_prompts: opened,
                });
            }
            WireSample::Filled(filled) => SampleRecord::Filled(filled.into()),
            WireSample::Carry(snapshot) => {
                return Ok(Self::Snapshot(Box::new(snapshot.try_into()?)));
            }
            WireSample::Bound { slot, sample, score } => SampleRecord::Bound(SampleBound {
                slot: slot.into(),
                sample: sample.into(),
                score: score.map(Score),
            }),
            WireSample::Voided { slot, sample, reason } => SampleRecord::Voided(SampleVoided {
                slot: slot.into(),
                sample: RecordId::from(sample),
                reason: reason.into(),
            }),
        };
        Ok(Self::Record { record, step_prompts: None })
    }
}

impl From<&SampleEntry> for WireSample {
    fn from(entry: &SampleEntry) -> Self {
        let (record, step_prompts) = match entry {
            SampleEntry::Record { record, step_prompts } => (record, step_prompts),
            SampleEntry::Snapshot(snapshot) => return Self::Carry((&**snapshot).into()),
        };
        match record {
            SampleRecord::Stated(stated) => Self::Stated {
                trainer: stated.trainer.0,
                name: stated.name.clone(),
                follows: stated.follows,
                version: stated.version.0,
                staleness_bound: stated.staleness_bound,
                acknowledged: stated.acknowledged.0,
                opened: stated.opened.zip(step_prompts.as_ref()).map(|(shape, step)| WireStep {
                    step: shape.step,
                    samples_per_group: shape.samples_per_group,
                    max_tokens: step.max_tokens,
                    prompts: step.prompts.clone(),
                }),
            },
            SampleRecord::Filled(filled) => Self::Filled(filled.into()),
            SampleRecord::Bound(bound) => Self::Bound {
                slot: bound.slot.into(),
                sample: bound.sample.into(),
                score: bound.score.map(|score| score.0),
            },
            SampleRecord::Voided(voided) => Self::Voided {
                slot: voided.slot.into(),
                sample: voided.sample.into(),
                reason: voided.reason.into(),
            },
        }
    }
}

impl From<WireFilled> for SampleFilled {
    fn from(wire: WireFilled) -> Self {
        let spans = wire.spans.into_iter().map(|(version, from, to)| VersionSpan {
            version: WeightVersion(version),
            from,
            to,
        });
        Self {
            slot: wire.slot.into(),
            generation: wire.generation,
            sample: wire.sample.into(),
            spans: spans.collect(),
            tokens: wire.tokens,
            digest: wire.digest,
            holders: wire.holders.into_iter().map(Incarnation).collect(),
        }
    }
}

impl From<&SampleFilled> for WireFilled {
    fn from(filled: &SampleFilled) -> Self {
        Self {
            slot: filled.slot.into(),
            generation: filled.generation,
            sample: filled.sample.into(),
            spans: filled.spans.iter().map(|s| (s.version.0, s.from, s.to)).collect(),
            tokens: filled.tokens,
            digest: filled.digest,
            holders: filled.holders.iter().map(|holder| holder.0).collect(),
        }
    }
}

impl TryFrom<&WireStep> for StepShape {
    type Error = MalformedMessage;

    fn try_from(wire: &WireStep) -> Result<Self, MalformedMessage> {
        let groups = wire.prompts.len() as u64;
        let slots = groups.saturating_mul(u64::from(wire.samples_per_group));
        if slots == 0 || slots > MAX_SLOTS {
            let reason = format!("a step has {slots} slots, expected 1 to {MAX_SLOTS}");
            return Err(MalformedMessage::new(reason));
        }
        let groups = u32::try_from(groups).map_err(|e| MalformedMessage::new(e.to_string()))?;
        Ok(Self { step: wire.step, groups, samples_per_group: wire.samples_per_group })
    }
}

impl From<WireSlot> for SlotKey {
    fn from(wire: WireSlot) -> Self {
        Self {
            trainer: TrainerId(wire.trainer),
            step: wire.step,
            group: wire.group,
            index: wire.index,
        }
    }
}

impl From<SlotKey> for WireSlot {
    fn from(slot: SlotKey) -> Self {
        Self { trainer: slot.trainer.0, step: slot.step, group: slot.group, index: slot.index }
    }
}

impl From<WireVoidReason> for VoidReason {
    fn from(reason: WireVoidReason) -> Self {
        match reason {
            WireVoidReason::Stale => Self::Stale,
            WireVoidReason::Lost => Self::Lost,
        }
    }
}

impl From<VoidReason> for WireVoidReason {
    fn from(reason: VoidReason) -> Self {
        match reason {
            VoidReason::Stale => Self::Stale,
            VoidReason::Lost => Self::Lost,
        }
    }
}
