//! Idle connections of one node, as the choice of an upstream sees them.

use base::{UpstreamKey, derive_value};

derive_value! {
    /// Number of idle connections to each upstream. Several requests that are placed in one round
    /// each claim one, so that a single connection does not attract all of them.
    #[derive(Default, PartialOrd, Ord, Hash)]
    pub struct IdleConnections {
        /// Sorted by upstream, without zeros.
        counts: Vec<(UpstreamKey, u32)>,
    }
}

impl IdleConnections {
    /// Returns the state of a node without idle connections.
    #[must_use]
    pub const fn new() -> Self {
        Self { counts: Vec::new() }
    }

    /// Returns whether an idle connection to the upstream is left.
    #[must_use]
    pub fn contains(&self, upstream: UpstreamKey) -> bool {
        self.position(upstream).is_ok()
    }

    /// Claims a connection to the upstream for a request. Does nothing if none is left.
    pub fn claim(&mut self, upstream: UpstreamKey) {
        let Ok(index) = self.position(upstream) else { return };
        self.counts[index].1 -= 1;
        if self.counts[index].1 == 0 {
            self.counts.remove(index);
        }
    }

    fn position(&self, upstream: UpstreamKey) -> Result<usize, usize> {
        self.counts.binary_search_by_key(&upstream, |(key, _)| *key)
    }
}

impl FromIterator<(UpstreamKey, u32)> for IdleConnections {
    /// Collects the counts of upstreams, each of which occurs once.
    fn from_iter<I: IntoIterator<Item = (UpstreamKey, u32)>>(counts: I) -> Self {
        let counts = counts.into_iter().filter(|(_, count)| *count > 0);
        let mut counts: Vec<(UpstreamKey, u32)> = counts.collect();
        counts.sort_unstable();
        Self { counts }
    }
}
