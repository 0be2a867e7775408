//! Placeholder module of the `configuration` crate.
