//! Submissions of many items that run later: what was accepted, the results in their order, and which
//! item runs next.
//!
//! [`SubmissionTable`] is a function of one partition's records in log order, and [`PartitionCache`] what
//! a node knows of them. A writer appends only at the end of what it has read, so a position of a
//! submission is given away once and never changes.

mod cache;
mod check;
mod item;
mod plan;
mod queue;
mod table;
mod text;

pub use crate::{
    cache::{LogBatch, PartitionCache, SubmissionSnapshot},
    check::{SubmissionError, check_owner, check_submission},
    item::{ItemResult, ItemState, RewardCall, SubmissionItem, SubmissionMetadata},
    plan::{ending_records, opening_records, result_records},
    queue::{ItemQueue, WaitingItem},
    table::{SubmissionRecord, SubmissionState, SubmissionTable},
    text::{GeneratedText, GenerationEvent, TextError},
};
