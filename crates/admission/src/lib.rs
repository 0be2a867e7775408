//! Placeholder module of the `admission` crate.
