//! One version of the configuration with its lookups.

use std::collections::HashMap;

use base::{Arena, KeyDigest, RouteKey};

use crate::{CallerLimits, CustomerSpec, HomeRegions, RouteSpec, ServiceSpec, SiteConfig};

/// One version of the configuration, indexed for lookups by host and path, service name and key.
#[derive(Debug)]
pub struct ConfigIndex {
    version: u64,
    routes: Arena<RouteKey, RouteSpec>,
    /// Routes of each host, longest path prefix first.
    hosts: HashMap<String, Vec<RouteKey>>,
    services: HashMap<String, ServiceSpec>,
    limits: CallerLimits,
    customers: Option<CustomerIndex>,
}

/// Customers, indexed by the digests of their keys.
#[derive(Debug)]
struct CustomerIndex {
    customers: Vec<CustomerSpec>,
    /// Positions in `customers`.
    keys: HashMap<KeyDigest, usize>,
    names: HashMap<String, usize>,
}

impl ConfigIndex {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(config: SiteConfig) -> Self {
        let mut routes = Arena::new();
        let mut hosts: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for route in config.routes {
            let host = route.host.clone();
            let route = routes.push(route);
            hosts.entry(host).or_default().push(route);
        }
        for keys in hosts.values_mut() {
            keys.sort_by_key(|route| std::cmp::Reverse(routes[*route].prefix.len()));
        }
        let services = config.services.into_iter();
        Self {
            version: config.version,
            routes,
            hosts,
            services: services.map(|service| (service.name.clone(), service)).collect(),
            limits: config.limits,
            customers: config.customers.map(CustomerIndex::new),
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests of callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route of a request: the one of its host with the longest prefix that matches
    /// `path`. Host names are compared without regard to case, and query and fragment are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let keys = self.hosts.get(&host.to_ascii_lowercase())?;
        let route = keys.iter().find(|route| path.starts_with(&self.routes[**route].prefix))?;
        Some(&self.routes[*route])
    }

    /// Iterates over all routes, in the order of the configuration.
    pub fn routes(&self) -> impl Iterator<Item = &RouteSpec> {
        self.routes.iter().map(|(_, route)| route)
    }

    /// Iterates over the home regions of all routes and customers.
    pub fn home_regions(&self) -> impl Iterator<Item = &HomeRegions> {
        let routes = self.routes().map(|route| &route.home_regions);
        let customers = self.customers.iter().flat_map(|index| &index.customers);
        routes.chain(customers.map(|customer| &customer.home_regions))
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Iterates over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns whether requests need a key on routes that are not public.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.customers.is_some()
    }

    /// Finds the customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: KeyDigest) -> Option<&CustomerSpec> {
        let index = self.customers.as_ref()?;
        index.keys.get(&key).map(|position| &index.customers[*position])
    }

    /// Finds a customer by its name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<&CustomerSpec> {
        let index = self.customers.as_ref()?;
        index.names.get(name).map(|position| &index.customers[*position])
    }
}

impl CustomerIndex {
    fn new(customers: Vec<CustomerSpec>) -> Self {
        let mut keys = HashMap::new();
        let mut names = HashMap::new();
        for (position, customer) in customers.iter().enumerate() {
            names.insert(customer.name.clone(), position);
            for key in &customer.keys {
                keys.insert(*key, position);
            }
        }
        Self { customers, keys, names }
    }
}
