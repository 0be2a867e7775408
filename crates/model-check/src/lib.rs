//! Breadth-first model checks of the core protocol.
//!
//! A [`Specification`] describes processes, network and platform around the real state machines.
//! [`explore`] visits every reachable state, [`counterexample`] finds a shortest path to a state
//! that breaks an invariant. [`authority`] covers leases and orders, [`usage`] covers windows and
//! their reports, [`configuration`] covers edits, promotions, snapshots and peers' copies,
//! [`submissions`] covers acceptance, results and ends in the platform's store.

pub mod authority;
pub mod configuration;
mod search;
pub mod submissions;
pub mod usage;

pub use crate::search::{
    Exploration, Specification, check_invariants, check_noticed, counterexample, explore,
};
