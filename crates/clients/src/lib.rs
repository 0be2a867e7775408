//! Placeholder module of the `clients` crate.
