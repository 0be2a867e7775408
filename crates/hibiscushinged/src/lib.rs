//! Placeholder module of the `hibiscushinged` crate.
