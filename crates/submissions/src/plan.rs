//! What to append, given all records of the submissions concerned.
//!
//! Each function is called again after a failed append, with what is known then, and returns `None` when
//! nothing is left to append. An append without an answer that has taken effect after all is thereby
//! not repeated.

use std::collections::{HashMap, HashSet};

use crate::{ItemResult, SubmissionRecord, SubmissionTable};

/// Returns the records that accept a submission, unless it is accepted already.
#[must_use]
pub fn opening_records(
    table: &SubmissionTable,
    submission: &str,
    records: &[SubmissionRecord],
) -> Option<Vec<SubmissionRecord>> {
    table.get(submission).is_none().then(|| records.to_vec())
}

/// Returns the records that end a submission, unless it does not exist or has ended.
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

/// Gives each result that has no position yet the next one of its submission. Results of ended
/// submissions are left out.
#[must_use]
pub fn result_records(
    table: &SubmissionTable,
    results: &[(String, ItemResult)],
) -> Option<Vec<SubmissionRecord>> {
    let mut positions: HashMap<&str, u32> = HashMap::new();
    let mut given: HashSet<(&str, &str)> = HashSet::new();
    let mut records = Vec::new();
    for (submission, result) in results {
        let Some(state) = table.get(submission) else { continue };
        let again = !given.insert((submission, &result.item));
        if again || state.is_ended() || state.is_resolved(&result.item) {
            continue;
        }
        let position = positions.entry(submission).or_insert_with(|| state.result_count());
        records.push(SubmissionRecord::Result {
            submission: submission.clone(),
            position: *position,
            result: result.clone(),
        });
        *position += 1;
    }
    (!records.is_empty()).then_some(records)
}
