//! A randomized soak: gateways as separate processes in front of stand-ins, faults from outside, and
//! checks of the promises from what callers and upstreams see.
//!
//! A seed fixes the order of the faults and their strengths. The processes run in real time, so two
//! runs of a seed see the same faults, but not the same interleavings.

mod callers;
mod faults;
mod trainer;
mod world;

use std::time::Duration;

pub use crate::world::SoakReport;

/// Settings of one run.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Time for which faults are injected.
    pub length: Duration,
    /// Gateways.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Callers.
    pub callers: usize,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self { seed: 1, length: Duration::from_secs(20), gateways: 3, engines: 3, callers: 4 }
    }
}

/// Runs one soak inside an `actix_rt` system and returns what it found.
pub async fn run(options: SoakOptions) -> SoakReport {
    world::SoakWorld::start(options).await.run().await
}
