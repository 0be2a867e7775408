//! The newest configuration that a node has seen.

use std::sync::Arc;

use base::derive_copy;

use crate::{ConfigIndex, SiteConfig};

derive_copy! {
    /// What became of a configuration that was read.
    pub enum ApplyOutcome {
        /// It is in force now.
        Applied,
        /// It is not newer than the one in force.
        NotNewer,
    }
}

/// Keeps the newest configuration. Within one process the version only rises.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    newest: Option<Arc<ConfigIndex>>,
}

impl ActiveConfig {
    /// Takes a configuration that was read from the store.
    pub fn apply(&mut self, config: SiteConfig) -> ApplyOutcome {
        if self.newest.as_ref().is_some_and(|newest| newest.version() >= config.version) {
            return ApplyOutcome::NotNewer;
        }
        self.newest = Some(Arc::new(ConfigIndex::new(config)));
        ApplyOutcome::Applied
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn current(&self) -> Option<&Arc<ConfigIndex>> {
        self.newest.as_ref()
    }
}
