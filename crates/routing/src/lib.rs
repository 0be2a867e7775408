//! Placeholder module of the `routing` crate.
