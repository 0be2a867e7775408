//! Placeholder module of the `delivery` crate.
