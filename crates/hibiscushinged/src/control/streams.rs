//! Names of the streams of the log.

/// Claims of idempotency keys.
pub(crate) const CLAIM_STREAM: &str = "claims";

/// Edits and promotions of documents.
pub const CONFIG_STREAM: &str = "config";

/// Snapshots of the demand model.
pub(crate) const DEMAND_STREAM: &str = "demand";

/// Statements and snapshots of trainers, and samples with their delivery numbers.
pub(crate) const SAMPLE_STREAM: &str = "samples";

/// Usage batches and windows, and the lease of the node that reports the windows.
pub(crate) const USAGE_STREAM: &str = "usage";

/// Convictions of request fingerprints that crashed upstreams.
pub(crate) const CONVICTION_STREAM: &str = "verdicts";
