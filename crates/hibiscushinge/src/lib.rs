//! Operators' access to the documents in the platform's log and to the daemons.

mod admin;
mod health;
mod operator;

pub use crate::{
    admin::AdminClient,
    health::{Finding, FindingKind, NodeAnswer, NodeStatus, assess},
    operator::{EditOutcome, OperatorClient, OperatorError},
};
