//! Records to be appended to a partition, given all records of the submissions concerned.
//!
//! After a failed append, the function is called again with the table as updated since. It returns
//! `None` when nothing is left to append. This makes retries idempotent: an append that took effect
//! without an acknowledgement is not repeated.

use std::collections::{HashMap, HashSet};

use crate::{ItemResult, SubmissionRecord, SubmissionTable};

/// Returns the records that accept a submission, or `None` if it was already accepted.
#[must_use]
pub fn opening_records(
    table: &SubmissionTable,
    submission: &str,
    records: &[SubmissionRecord],
) -> Option<Vec<SubmissionRecord>> {
    table.get(submission).is_none().then(|| records.to_vec())
}

/// Returns the records that end a submission, or `None` if it does not exist or has already ended.
#[must_use]
pub fn ending_records(table: &SubmissionTable, submission: &str) -> Option<Vec<SubmissionRecord>> {
    let state = table.get(submission).filter(|state| !state.is_ended())?;
    let id = || String::from(submission);
    Some(vec![
        SubmissionRecord::Ended { submission: id() },
        SubmissionRecord::OpenMarkerCleared { submission: id() },
        SubmissionRecord::Expiring { submission: id(), accepted_at: state.metadata().accepted_at },
    ])
}

/// Returns the records that assign each result the next free position of its submission, or `None`
/// if there is nothing to append. Results of items that already have one, and of ended or unknown
/// submissions, are left out.
#[must_use]
pub fn result_records(
    table: &SubmissionTable,
    results: &[(String, ItemResult)],
) -> Option<Vec<SubmissionRecord>> {
    let mut next_positions: HashMap<&str, u32> = HashMap::new();
    let mut assigned: HashSet<(&str, &str)> = HashSet::new();
    let mut records = Vec::new();
    for (submission, result) in results {
        let Some(state) = table.get(submission) else { continue };
        let is_duplicate = !assigned.insert((submission, &result.item));
        if is_duplicate || state.is_ended() || state.is_resolved(&result.item) {
            continue;
        }
        let position = next_positions.entry(submission).or_insert_with(|| state.result_count());
        records.push(SubmissionRecord::Result {
            submission: submission.clone(),
            position: *position,
            result: result.clone(),
        });
        *position += 1;
    }
    (!records.is_empty()).then_some(records)
}

/// Divides results, each with its submission, among appends of at most `max_call_bytes`. A larger result
/// is alone in its append.
#[must_use]
pub fn result_batches(
    results: Vec<(String, ItemResult)>,
    max_call_bytes: usize,
) -> Vec<Vec<(String, ItemResult)>> {
    let mut batches: Vec<Vec<(String, ItemResult)>> = Vec::new();
    let mut size = 0;
    for (submission, result) in results {
        let bytes = result.encoded_bytes(&submission);
        size += bytes;
        match batches.last_mut() {
            Some(batch) if size <= max_call_bytes => batch.push((submission, result)),
            _ => {
                size = bytes;
                batches.push(vec![(submission, result)]);
            }
        }
    }
    batches
}
