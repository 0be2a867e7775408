//! Generation of samples for trainers.
//!
//! - [`SampleTable`] is the replicated state of all steps, slots and delivery numbers.
//! - [`SpanTracker`] records which weight version generated each token of a sample.
//! - [`ScoreQueue`] holds samples that wait for the scoring service.
//! - [`TrainerScheduler`] shares the engines fairly between trainers.
//! - [`StragglerDetector`] runs late sample slots again on another engine.
//! - [`WeightScheduler`] decides which engine loads a new weight version next.
//!
//! All types are state machines without I/O or a clock: the caller passes in log records, events
//! and the current time, and carries out the actions returned.

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
    spans::{NonContiguousTokens, SpanTracker, VersionSpan},
    straggler::{
        AttemptView, CostBenefitRule, FixedTimeoutRule, NoRerun, RerunRule, StragglerAction,
        StragglerDetector,
    },
    weights::{EngineWeights, WeightAction, WeightScheduler, WeightSettings},
};
