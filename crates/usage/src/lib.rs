//! Placeholder module of the `usage` crate.
