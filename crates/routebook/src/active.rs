//! The active configuration of a node, which is the newest one that it has read.

use std::sync::Arc;

use base::derive_copy;

use crate::{ConfigIndex, SiteConfig};

derive_copy! {
    /// Result of applying a configuration that was read from the store.
    pub enum ApplyOutcome {
        /// It is the active configuration now.
        Applied,
        /// It was ignored, since its version is not newer than the active one.
        NotNewer,
    }
}

/// Holds the active configuration of a node. Within one process its version only rises.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    newest: Option<Arc<ConfigIndex>>,
}

impl ActiveConfig {
    /// Makes a configuration that was read from the store the active one, if it is newer.
    pub fn apply(&mut self, config: SiteConfig) -> ApplyOutcome {
        if self.newest.as_ref().is_some_and(|newest| newest.version() >= config.version) {
            return ApplyOutcome::NotNewer;
        }
        self.newest = Some(Arc::new(ConfigIndex::new(config)));
        ApplyOutcome::Applied
    }

    /// Returns the active configuration, or `None` before the first one was read.
    #[must_use]
    pub const fn current(&self) -> Option<&Arc<ConfigIndex>> {
        self.newest.as_ref()
    }
}
