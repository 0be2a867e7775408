//! Submissions of many items that run later: which were accepted, their results in order, and the
//! order in which items run.
//!
//! [`SubmissionTable`] is the state materialized from the records of one partition, and
//! [`PartitionCache`] the part of it that a node holds. A node appends only at the offset up to
//! which it has read the partition (optimistic concurrency control), so each result position of a
//! submission is assigned once and never changes.

mod cache;
mod check;
mod failure;
mod handover;
mod item;
mod plan;
mod queue;
mod table;
mod text;

pub use crate::{
    cache::{LogBatch, PartitionCache, SubmissionSnapshot},
    check::{SubmissionError, check_owner, check_submission},
    failure::{CallProbation, FailureBudget, FailureReport, ItemFailures, failure_records},
    handover::{
        HandoverText, HandoverTracker, ITEM_DRAIN_TIMEOUT, ItemHandover, handover_batches,
        handover_records,
    },
    item::{ItemResult, ItemState, RewardCall, SubmissionItem, SubmissionMetadata},
    plan::{ending_records, opening_records, result_batches, result_records},
    queue::{ItemQueue, ItemRank, expected_remaining_events},
    table::{SubmissionRecord, SubmissionState, SubmissionTable},
    text::{GeneratedText, GenerationEvent, TextError},
};
