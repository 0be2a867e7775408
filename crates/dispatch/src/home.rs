//! Constraint of choices to the home regions of a request.

use std::collections::BTreeMap;

use base::{Moment, UpstreamKey};

use crate::UpstreamBalancer;

/// Regions in which a request may run, or `None` without a constraint.
pub type HomeFilter<'a> = Option<&'a [String]>;

impl UpstreamBalancer {
    /// Sets the region of each availability zone.
    pub fn set_regions(&mut self, regions: BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// Returns whether an upstream is usable and in the home regions of a request. The region of an
    /// unknown zone is none of them.
    #[must_use]
    pub fn is_usable_at_home(
        &self,
        now: Moment,
        upstream: UpstreamKey,
        home: HomeFilter<'_>,
    ) -> bool {
        if !self.is_usable(now, upstream) {
            return false;
        }
        let Some(home) = home else { return true };
        let region = self.regions.get(&self.upstreams[upstream].entry.zone);
        region.is_some_and(|region| home.contains(region))
    }
}
