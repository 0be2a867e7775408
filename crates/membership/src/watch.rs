//! Which VM of a zone watches which upstream.

use std::collections::BTreeSet;

use base::derive_value;

use crate::placement::heaviest;

derive_value! {
    /// Upstreams that this node starts or stops to watch.
    #[derive(Default)]
    pub struct WatchChange {
        /// Upstreams to watch from now on.
        pub started: Vec<String>,
        /// Upstreams that another VM watches now, or that are gone.
        pub stopped: Vec<String>,
    }
}

/// The upstreams that this node watches: one watcher for each upstream of the zone, by rendezvous
/// hashing over the live VMs. When a VM fails, only the upstreams it watched move.
#[derive(Debug, Clone)]
pub struct WatchAssignment {
    own: String,
    watched: BTreeSet<String>,
}

impl WatchAssignment {
    /// Creates the plan of the VM `own`, which watches nothing yet.
    #[must_use]
    pub fn new(own: String) -> Self {
        Self { own, watched: BTreeSet::new() }
    }

    /// Returns the watcher of an upstream among `live` VMs of its zone.
    #[must_use]
    pub fn watcher<'name>(
        upstream: &str,
        live: impl IntoIterator<Item = &'name str>,
    ) -> Option<&'name str> {
        heaviest(upstream, live)
    }

    /// Recomputes the plan for the live VMs of the zone, this node among them, and its upstreams.
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
