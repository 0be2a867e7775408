//! Placeholder module of the `fleet` crate.
