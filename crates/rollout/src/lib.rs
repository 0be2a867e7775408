//! Rollout: sample slots and their delivery, stragglers, fair sharing between trainers and weight loads.
//!
//! Every type is a state machine driven by log records, events and times that the caller passes in.

mod book;
mod records;
mod scoring;
mod share;
mod spans;
mod straggler;
mod weights;

pub use crate::{
    book::{
        Binding, BookAction, BookSlot, BookStep, Delivery, FillRefusal, Offer, OpenSlot,
        SampleBook, SlotState, TrainerBook, TrainerCarry,
    },
    records::{
        DeliveryNumber, SampleBound, SampleFilled, SampleRecord, SampleVoided, Score, SlotKey,
        StepShape, TrainerId, TrainerStated, VoidReason,
    },
    scoring::{ScoreAction, ScoreDesk},
    share::TrainerShare,
    spans::{PieceOutOfOrder, SpanTracker, VersionSpan},
    straggler::{
        AttemptView, FixedLimit, GainOverCost, NoRerun, RerunRule, StragglerAction, StragglerPolicy,
    },
    weights::{EngineState, WeightAction, WeightPlan, WeightSettings},
};
