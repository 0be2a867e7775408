//! Assignment of the upstreams of a zone to the VMs that watch them, that is, measure their load.

use std::collections::BTreeSet;

use base::derive_value;

use crate::placement::highest_ranked;

derive_value! {
    /// Upstreams that this node must start or stop to watch.
    #[derive(Default)]
    pub struct WatchChange {
        /// Upstreams to watch from now on.
        pub started: Vec<String>,
        /// Upstreams that another VM watches now, or that no longer exist.
        pub stopped: Vec<String>,
    }
}

/// The upstreams that this node watches. Rendezvous hashing over the live VMs of the zone gives
/// each upstream one watcher; when a VM fails, only the upstreams that it watched move.
#[derive(Debug, Clone)]
pub struct WatchAssignment {
    own: String,
    watched: BTreeSet<String>,
}

impl WatchAssignment {
    /// Creates the assignment of the VM named `own`, which watches nothing yet.
    #[must_use]
    pub fn new(own: String) -> Self {
        Self { own, watched: BTreeSet::new() }
    }

    /// Returns the watcher of an upstream among the `live` VMs of its zone, or `None` without any.
    #[must_use]
    pub fn watcher<'name>(
        upstream: &str,
        live: impl IntoIterator<Item = &'name str>,
    ) -> Option<&'name str> {
        highest_ranked(upstream, live)
    }

    /// Recomputes the assignment from the live VMs of the zone, which include this node, and its
    /// upstreams. Returns the difference from the previous assignment.
    pub fn update(&mut self, live: &[&str], upstreams: &[&str]) -> WatchChange {
        let mut watched = BTreeSet::new();
        for upstream in upstreams {
            if Self::watcher(upstream, live.iter().copied()) == Some(self.own.as_str()) {
                watched.insert((*upstream).to_owned());
            }
        }
        let change = WatchChange {
            started: watched.difference(&self.watched).cloned().collect(),
            stopped: self.watched.difference(&watched).cloned().collect(),
        };
        self.watched = watched;
        change
    }

    /// Iterates over the upstreams that this node watches.
    pub fn watched(&self) -> impl Iterator<Item = &str> {
        self.watched.iter().map(String::as_str)
    }
}
