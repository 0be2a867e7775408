//! Placeholder module of the `protocol` crate.
