//! Placeholder module of the `authority` crate.
