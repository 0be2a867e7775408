//! The newest configuration that a node has seen.

use std::sync::Arc;

use base::key;

use crate::{RouteBook, SiteConfig};

key! {
    /// What became of a configuration that was read.
    pub enum BookOutcome {
        /// It is in force now.
        Applied,
        /// It is not newer than the one in force.
        NotNewer,
    }
}

/// Keeps the newest configuration. Within one process the version only rises.
#[derive(Debug, Default)]
pub struct BookHistory {
    newest: Option<Arc<RouteBook>>,
}

impl BookHistory {
    /// Takes a configuration that was read from the store.
    pub fn offer(&mut self, config: SiteConfig) -> BookOutcome {
        if self.newest.as_ref().is_some_and(|newest| newest.version() >= config.version) {
            return BookOutcome::NotNewer;
        }
        self.newest = Some(Arc::new(RouteBook::new(config)));
        BookOutcome::Applied
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn newest(&self) -> Option<&Arc<RouteBook>> {
        self.newest.as_ref()
    }
}
