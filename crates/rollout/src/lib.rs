//! Placeholder module of the `rollout` crate.
