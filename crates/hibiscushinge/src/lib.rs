//! Operators' access to the documents in the platform's log.

mod operator;

pub use crate::operator::{EditOutcome, OperatorClient, OperatorError};
