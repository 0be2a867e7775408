//! Checks of a submission before it is accepted.

use std::{collections::HashSet, fmt};

use base::derive_value;

use crate::{SubmissionItem, SubmissionState};

/// Longest identifier of a submission in bytes. Keys of the store hold 255 bytes, of which the other
/// parts of a key take up to 14.
const MAX_ID: usize = 200;

derive_value! {
    /// Why a submission cannot be accepted.
    pub enum SubmissionError {
        /// The identifier cannot be part of a key and of the path under which results are read.
        UnusableId,
        /// Two items have the same identifier, so their results could not be told apart.
        RepeatedItem(String),
        /// Another customer's submission has the identifier.
        TakenId,
    }
}

/// Checks a submission that arrived.
///
/// # Errors
///
/// Returns a fault that sending the submission again does not mend.
pub fn check_submission(id: &str, items: &[SubmissionItem]) -> Result<(), SubmissionError> {
    let usable = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'/' | b'?' | b'#' | b'%');
    if id.is_empty() || id.len() > MAX_ID || !id.bytes().all(usable) {
        return Err(SubmissionError::UnusableId);
    }
    let mut seen = HashSet::with_capacity(items.len());
    for item in items {
        if !seen.insert(item.id.as_str()) {
            return Err(SubmissionError::RepeatedItem(item.id.clone()));
        }
    }
    Ok(())
}

/// Checks that a submission which was accepted before belongs to the customer that sends it again.
///
/// # Errors
///
/// Returns a fault when it belongs to another customer.
pub fn check_owner(known: &SubmissionState, customer: &str) -> Result<(), SubmissionError> {
    if known.metadata().customer == customer { Ok(()) } else { Err(SubmissionError::TakenId) }
}

impl fmt::Display for SubmissionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnusableId => write!(
                f,
                "the identifier of the submission must have 1 to {MAX_ID} printable ASCII \
                 characters other than '/', '?', '#' and '%'"
            ),
            Self::RepeatedItem(id) => write!(f, "two items have the identifier \"{id}\""),
            Self::TakenId => write!(f, "another submission has this identifier"),
        }
    }
}

impl std::error::Error for SubmissionError {}
