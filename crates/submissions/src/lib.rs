//! Submissions of many items that run later: what was accepted, the results in their order, and which
//! item runs next.
//!
//! [`SubmissionBook`] is a function of one partition's records in log order. A writer appends only at
//! the end of what it has read, so a position of a submission is given away once and never changes.

mod book;
mod item;
mod queue;
mod text;

pub use crate::{
    book::{BookRecord, SubmissionBook, SubmissionState},
    item::{ItemResult, ItemState, RewardCall, SubmissionHead, SubmissionItem},
    queue::{ItemQueue, WaitingItem},
    text::{ItemText, TextEvent, TextFault},
};
