//! Rollout: sample slots and their delivery, stragglers, fair sharing between trainers and weight loads.
//!
//! Every type is a state machine driven by log records, events and times that the caller passes in.

mod records;
mod samples;
mod scheduler;
mod scoring;
mod spans;
mod straggler;
mod weights;

pub use crate::{
    records::{
        DeliveryNumber, SampleBound, SampleFilled, SampleRecord, SampleVoided, Score, SlotKey,
        StepShape, TrainerId, TrainerStated, VoidReason,
    },
    samples::{
        Binding, Delivery, DeliveryRange, FillRefusal, OpenSlot, SampleOutcome, SampleTable,
        SlotState, StepSlot, StepState, TrainerSnapshot, TrainerState,
    },
    scheduler::TrainerScheduler,
    scoring::{ScoreAction, ScoreQueue},
    spans::{PieceOutOfOrder, SpanTracker, VersionSpan},
    straggler::{
        AttemptView, CostBenefitRule, FixedTimeoutRule, NoRerun, RerunRule, StragglerAction,
        StragglerDetector,
    },
    weights::{EngineWeights, WeightAction, WeightScheduler, WeightSettings},
};
