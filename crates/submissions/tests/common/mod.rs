//! Submissions for tests.

use base::{WallTime, WeightVersion};
use submissions::{SubmissionItem, SubmissionMetadata};

/// Builds the metadata of a submission with this number of items.
pub(crate) fn metadata(submission: &str, count: u32) -> SubmissionMetadata {
    SubmissionMetadata {
        id: String::from(submission),
        customer: String::from("brewer"),
        host: String::from("h"),
        path: String::from("/p"),
        model: String::from("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: count,
    }
}

/// Builds an item with this identifier.
pub(crate) fn item(id: &str) -> SubmissionItem {
    SubmissionItem {
        id: String::from(id),
        path: String::from("/p"),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    }
}
