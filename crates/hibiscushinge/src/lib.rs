//! Client library of the operators' tool: reads and changes the documents in the platform's log,
//! and reads the status of daemons.

mod admin;
mod health;
mod operator;

pub use crate::{
    admin::AdminClient,
    health::{Finding, FindingKind, NodeResult, NodeStatus, assess},
    operator::{EditOutcome, OperatorClient, OperatorError},
};
