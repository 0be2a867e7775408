//! Placeholder module of the `stand-ins` crate.
