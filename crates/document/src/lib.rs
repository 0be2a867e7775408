//! Placeholder module of the `document` crate.
