//! Home regions: the regions in which a request may run.

use base::derive_value;
use smallvec::SmallVec;

use crate::{ConfigIndex, RouteSpec};

type RegionList = SmallVec<[String; 2]>;

derive_value! {
    /// Regions to whose upstreams a request may be sent.
    #[derive(Default)]
    pub struct HomeRegions {
        /// `None` without a constraint. An empty list allows no region.
        regions: Option<RegionList>,
    }
}

impl HomeRegions {
    /// Returns the home regions that a route or a customer names. An empty list is no constraint.
    #[must_use]
    pub fn declared(regions: Vec<String>) -> Self {
        Self { regions: (!regions.is_empty()).then(|| RegionList::from_vec(regions)) }
    }

    /// Returns a constraint to these regions. An empty list allows no region.
    pub fn only<'a>(regions: impl IntoIterator<Item = &'a str>) -> Self {
        Self { regions: Some(regions.into_iter().map(String::from).collect()) }
    }

    /// Returns the home regions of a request by its route and the customer with this name, which
    /// both apply.
    #[must_use]
    pub fn of_request(config: &ConfigIndex, route: &RouteSpec, customer: Option<&str>) -> Self {
        let customer = customer.and_then(|customer| config.customer_named(customer));
        match customer {
            Some(customer) => route.home_regions.and(&customer.home_regions),
            None => route.home_regions.clone(),
        }
    }

    /// Returns the regions that both allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(regions), Some(others)) => {
                let both = regions.iter().filter(|region| others.contains(region));
                Some(both.cloned().collect())
            }
            (regions, None) => regions.clone(),
            (None, others) => others.clone(),
        };
        Self { regions }
    }

    /// Returns whether a node in a region may get the body of a request: in a home region, or in the
    /// region of the node to which the caller connected. Without a constraint all nodes may.
    #[must_use]
    pub fn allows_node(&self, region: Option<&str>, caller_region: Option<&str>) -> bool {
        let Some(regions) = &self.regions else { return true };
        let Some(region) = region else { return false };
        caller_region == Some(region) || regions.iter().any(|allowed| allowed == region)
    }

    /// Returns the allowed regions, or `None` without a constraint.
    #[must_use]
    pub fn as_list(&self) -> Option<&[String]> {
        self.regions.as_deref()
    }
}
