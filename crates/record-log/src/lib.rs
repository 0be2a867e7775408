//! Placeholder module of the `record-log` crate.
