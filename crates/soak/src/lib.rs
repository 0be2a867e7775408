//! Randomized soak test: gateways run as separate processes between callers, a trainer and
//! stand-ins of the store and the upstreams. The run injects faults and checks, from what callers,
//! the trainer and the stand-ins observe, that the guarantees of the service hold.
//!
//! A seed determines the sequence of the faults with their kinds and durations. The processes run
//! in real time, so two runs of one seed have the same faults, but not the same interleavings.

mod callers;
mod crashing;
mod faults;
mod streams;
mod testbed;
mod trainer;

use std::time::Duration;

pub use crate::testbed::SoakReport;

/// Settings of one soak run.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the random generator that chooses the faults.
    pub seed: u64,
    /// Length of the period in which faults are injected.
    pub duration: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of callers that send requests concurrently.
    pub callers: usize,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self { seed: 1, duration: Duration::from_secs(20), gateways: 3, engines: 3, callers: 4 }
    }
}

/// Runs one soak and returns its report. Must be called inside an `actix_rt` system.
///
/// # Panics
///
/// Panics when a stand-in or a gateway does not start.
pub async fn run(options: SoakOptions) -> SoakReport {
    testbed::SoakTestbed::start(options).await.run().await
}
