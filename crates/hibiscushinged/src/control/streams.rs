//! Names of the streams of the log.

/// Claims of idempotency keys.
pub(crate) const CLAIM_STREAM: &str = "claims";

/// Edits and promotions of documents.
pub const CONFIG_STREAM: &str = "config";

/// Snapshots of demand.
pub(crate) const DEMAND_STREAM: &str = "demand";

/// Steps, samples and their numbers.
pub(crate) const SAMPLE_STREAM: &str = "samples";

/// Usage batches and windows, and the lease of their reports.
pub(crate) const USAGE_STREAM: &str = "usage";

/// Convictions of requests that crash upstreams.
pub(crate) const CONVICTION_STREAM: &str = "verdicts";
