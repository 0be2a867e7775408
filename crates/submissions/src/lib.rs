//! Submissions of many items that run later: what was accepted, the results in their order, and which
//! item runs next.
//!
//! [`SubmissionBook`] is a function of one partition's records in log order, and [`PartitionCopy`] what
//! a node knows of them. A writer appends only at the end of what it has read, so a position of a
//! submission is given away once and never changes.

mod book;
mod check;
mod copy;
mod item;
mod plan;
mod queue;
mod text;

pub use crate::{
    book::{BookRecord, SubmissionBook, SubmissionState},
    check::{SubmissionFault, check_owner, check_submission},
    copy::{LogPart, PartitionCopy, SubmissionRead},
    item::{ItemResult, ItemState, RewardCall, SubmissionHead, SubmissionItem},
    plan::{ending_records, opening_records, result_records},
    queue::{ItemQueue, WaitingItem},
    text::{ItemText, TextEvent, TextFault},
};
