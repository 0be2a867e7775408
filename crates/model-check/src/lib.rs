//! Breadth-first model checks of the core protocol.
//!
//! A [`Specification`] models processes, network and platform around the state machines of the
//! daemon. [`explore`] visits every reachable state, [`counterexample`] finds a shortest path to a
//! state that violates an invariant. The specifications are:
//!
//! - [`authority`]: leases and orders to the platform
//! - [`usage`]: usage windows and their reports
//! - [`configuration`]: edits, promotions, snapshots and documents received from peers
//! - [`submissions`]: acceptance, results and ends of submissions in the platform's store

pub mod authority;
pub mod configuration;
mod search;
pub mod submissions;
pub mod usage;

pub use crate::search::{
    Exploration, Specification, check_invariants, check_violation_found, counterexample, explore,
};
