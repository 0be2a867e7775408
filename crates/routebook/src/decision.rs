//! What a configuration decides about one request.

use base::derive_value;

use crate::RouteSpec;

derive_value! {
    /// Decision about a request that one node takes and another one runs. The configurations of two
    /// nodes may differ, for example while one of them is cut off from the store.
    pub struct RequestDecision {
        /// Version of the configuration, for explanations.
        pub config_version: u64,
        /// Service that runs the request.
        pub service: String,
        /// Customer whose key the request carries, or `None` if its route is public.
        pub customer: Option<String>,
        /// Whether the request may run more than once.
        pub retryable: bool,
    }
}

impl RequestDecision {
    /// Returns whether another configuration allows the same, by which the request has this route and
    /// customer.
    #[must_use]
    pub fn is_allowed_by(&self, route: &RouteSpec, customer: Option<&str>) -> bool {
        let mut targets = route.targets.iter().filter(|target| target.weight > 0);
        targets.any(|target| target.service == self.service)
            && self.customer.as_deref() == customer
            && self.retryable == route.is_retryable()
    }
}
