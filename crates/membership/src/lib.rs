//! Placeholder module of the `membership` crate.
