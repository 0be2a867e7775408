//! The entry by which an upstream announces itself in the store.

use std::net::SocketAddr;

use base::{ProcessDigest, Span, WeightVersion, derive_copy, derive_value, stable_hash};

derive_copy! {
    /// State that an upstream announces in its entry.
    pub enum EntryState {
        /// It accepts requests.
        Ready,
        /// It finishes its running requests and takes no new ones.
        Draining,
    }
}

derive_value! {
    /// Entry of one upstream.
    pub struct UpstreamEntry {
        /// Identifier of the upstream. It rejects a request that names another identifier.
        pub id: String,
        /// Service that it runs.
        pub service: String,
        /// Address on which it accepts requests.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Version of its software. A stream can be continued only by the version that began it.
        pub software_version: String,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts requests.
        pub state: EntryState,
        /// Time left of its warm-up when the entry was written, or zero if the entry names none.
        pub warmup: Span,
        /// Loaded weight version of each model. Empty for a plain service.
        pub versions: Vec<(String, WeightVersion)>,
        /// Start of the upstream's process in Unix milliseconds. A process with another start time
        /// under the same id has none of the state of the one before.
        pub started_at_ms: Option<u64>,
        /// Whether it is of the cheap price class, which the platform can reclaim.
        pub cheap: bool,
        /// Time left until it is reclaimed, if the platform has announced that. The value is
        /// decoded and not yet used.
        pub time_to_reclaim: Option<Span>,
    }
}

impl UpstreamEntry {
    /// Returns the digest of the process that runs under the identifier.
    #[must_use]
    pub fn process(&self) -> ProcessDigest {
        ProcessDigest(stable_hash(&format!("{}/{:?}", self.id, self.started_at_ms)))
    }

    /// Returns the loaded weight version of a model, or `None` if the upstream does not run it.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        let loaded = self.versions.iter().find(|(name, _)| name == model);
        loaded.map(|(_, version)| *version)
    }
}
