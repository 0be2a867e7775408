//! What an upstream says of itself in the store.

use std::net::SocketAddr;

use base::{Span, WeightVersion, derive_copy, derive_value};

derive_copy! {
    /// State of an upstream by its own entry.
    pub enum EntryState {
        /// It takes requests.
        Ready,
        /// It finishes what it has and takes no new requests.
        Draining,
    }
}

derive_value! {
    /// Entry of one upstream.
    pub struct UpstreamEntry {
        /// Identifier of the upstream, which it checks on each request that names one.
        pub id: String,
        /// Service that it runs.
        pub service: String,
        /// Address that takes requests.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it takes requests.
        pub state: EntryState,
        /// How much longer it is slow after its start.
        pub warmup: Span,
        /// Versions of the weights by model. Empty for a plain service.
        pub versions: Vec<(String, WeightVersion)>,
        /// Start of the upstream in Unix milliseconds. A later start under the same id has lost all
        /// state.
        pub started_at_ms: Option<u64>,
        /// Whether it can be reclaimed.
        pub cheap: bool,
        /// Time left until it is reclaimed, once that is known.
        pub time_to_reclaim: Option<Span>,
    }
}

impl UpstreamEntry {
    /// Returns the version of a model, if the upstream runs it.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        let found = self.versions.iter().find(|(name, _)| name == model);
        found.map(|(_, version)| *version)
    }
}
