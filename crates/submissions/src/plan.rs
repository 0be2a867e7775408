//! What to append, given all records of the submissions concerned.
//!
//! Each function is called again after a failed append, with what is known then, and returns `None` when
//! nothing is left to append. An append without an answer that has taken effect after all is thereby
//! not repeated.

use std::collections::{HashMap, HashSet};

use crate::{BookRecord, ItemResult, SubmissionBook};

/// Returns the records that accept a submission, unless it is accepted already.
#[must_use]
pub fn opening_records(
    book: &SubmissionBook,
    submission: &str,
    records: &[BookRecord],
) -> Option<Vec<BookRecord>> {
    book.get(submission).is_none().then(|| records.to_vec())
}

/// Returns the records that end a submission, unless it does not exist or has ended.
#[must_use]
pub fn ending_records(book: &SubmissionBook, submission: &str) -> Option<Vec<BookRecord>> {
    let state = book.get(submission).filter(|state| !state.is_ended())?;
    let id = || String::from(submission);
    Some(vec![
        BookRecord::Ended { submission: id() },
        BookRecord::Unmarked { submission: id() },
        BookRecord::Expiring { submission: id(), accepted_at: state.head().accepted_at },
    ])
}

/// Gives each result that has no position yet the next one of its submission. Results of ended
/// submissions are left out.
#[must_use]
pub fn result_records(
    book: &SubmissionBook,
    results: &[(String, ItemResult)],
) -> Option<Vec<BookRecord>> {
    let mut positions: HashMap<&str, u32> = HashMap::new();
    let mut given: HashSet<(&str, &str)> = HashSet::new();
    let mut records = Vec::new();
    for (submission, result) in results {
        let Some(state) = book.get(submission) else { continue };
        let again = !given.insert((submission, &result.item));
        if again || state.is_ended() || state.is_resolved(&result.item) {
            continue;
        }
        let position = positions.entry(submission).or_insert_with(|| state.listed());
        records.push(BookRecord::Result {
            submission: submission.clone(),
            position: *position,
            result: result.clone(),
        });
        *position += 1;
    }
    (!records.is_empty()).then_some(records)
}
