//! Validation of a submission before it is accepted.

use std::{collections::HashSet, fmt};

use base::derive_value;

use crate::{SubmissionItem, SubmissionState};

/// Longest identifier of a submission in bytes. Keys of the store are limited to 255 bytes, of
/// which the other parts of a key take up to 14.
const MAX_ID_BYTES: usize = 200;

derive_value! {
    /// Why a submission is not accepted.
    pub enum SubmissionError {
        /// The identifier cannot be part of a key and of the path under which results are read.
        UnusableId,
        /// Two items have the same identifier, so their results could not be told apart.
        RepeatedItem(String),
        /// A submission of another customer has the identifier.
        TakenId,
    }
}

/// Validates the identifiers of a submission and its items.
///
/// # Errors
///
/// Returns an error when an identifier is invalid or repeated. The same submission would fail
/// again.
pub fn check_submission(id: &str, items: &[SubmissionItem]) -> Result<(), SubmissionError> {
    let is_usable =
        |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'/' | b'?' | b'#' | b'%');
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_usable) {
        return Err(SubmissionError::UnusableId);
    }
    let mut item_ids = HashSet::with_capacity(items.len());
    for item in items {
        if !item_ids.insert(item.id.as_str()) {
            return Err(SubmissionError::RepeatedItem(item.id.clone()));
        }
    }
    Ok(())
}

/// Checks that a submission which was accepted before belongs to the customer that repeats the
/// request.
///
/// # Errors
///
/// Returns an error when it belongs to another customer.
pub fn check_owner(state: &SubmissionState, customer: &str) -> Result<(), SubmissionError> {
    if state.metadata().customer == customer { Ok(()) } else { Err(SubmissionError::TakenId) }
}

impl fmt::Display for SubmissionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnusableId => write!(
                f,
                "the identifier of the submission must have 1 to {MAX_ID_BYTES} printable ASCII \
                 characters other than '/', '?', '#' and '%'"
            ),
            Self::RepeatedItem(id) => {
                write!(f, "two items of the submission have the identifier \"{id}\"")
            }
            Self::TakenId => write!(f, "another submission has this identifier"),
        }
    }
}

impl std::error::Error for SubmissionError {}
