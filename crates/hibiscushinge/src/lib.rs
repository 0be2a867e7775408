//! Placeholder module of the `hibiscushinge` crate.
