//! The routing view: configuration and upstreams, published by the control thread and read by the
//! traffic threads.

use std::{collections::HashMap, net::SocketAddr};

use base::{Arena, CustomerKey, RouteKey, UpstreamKey, WeightVersion};
use configuration::{ConfigVersion, KeySet};
use document::{CustomerEntry, EnvironmentDocument, RouteEntry, ServiceKind, TrainerEntry};

/// Immutable snapshot of the configuration in force and of the known upstreams. The control thread
/// replaces it as a whole when either changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutingView {
    /// Version of the document in force, zero before the first one.
    pub(crate) version: ConfigVersion,
    pub(crate) keys: KeySet,
    pub(crate) customers: Vec<CustomerEntry>,
    pub(crate) customer_keys: HashMap<String, CustomerKey>,
    pub(crate) trainers: Vec<TrainerEntry>,
    /// Routes by path, without the leading `/v1/`.
    pub(crate) routes: HashMap<String, ResolvedRoute>,
    pub(crate) upstreams: Arena<UpstreamKey, UpstreamTarget>,
    pub(crate) key_acceptance: KeyAcceptance,
}

/// A route of the document with the kind of its service.
#[derive(Debug, Clone)]
pub(crate) struct ResolvedRoute {
    pub(crate) key: RouteKey,
    pub(crate) entry: RouteEntry,
    pub(crate) kind: ServiceKind,
}

/// An upstream that has been announced to this node. Entries are never removed, so that an
/// [`UpstreamKey`] stays valid while the process runs.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamTarget {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) zone_name: String,
    pub(crate) address: SocketAddr,
    pub(crate) price_class: routing::PriceClass,
    /// Weight version that an engine has loaded, if it is known.
    pub(crate) version: Option<WeightVersion>,
}

/// Whether this node accepts API keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum KeyAcceptance {
    #[default]
    Accepting,
    /// The node has been isolated for longer than the document allows, so it may not know of
    /// withdrawn keys.
    Refusing,
}

impl RoutingView {
    /// Applies a document: replaces keys, customers, trainers and routes, and adds customer keys.
    pub(crate) fn apply(&mut self, version: ConfigVersion, document: &EnvironmentDocument) {
        let entries = document.customers.iter().flat_map(|customer| {
            customer.keys.iter().map(|digest| (*digest, customer.name.as_str()))
        });
        // `build` fails when two customers share a key. Such a document is rejected before it comes
        // into force.
        self.keys = KeySet::build(version, entries).unwrap_or_default();
        self.version = version;
        self.customers.clone_from(&document.customers);
        self.trainers.clone_from(&document.trainers);
        for customer in &document.customers {
            // Customer keys are never removed or reused, since queued requests refer to them.
            let next = CustomerKey(self.customer_keys.len() as u32 + 1);
            self.customer_keys.entry(customer.name.clone()).or_insert(next);
        }
        self.routes.clear();
        for (index, entry) in document.routes.iter().enumerate() {
            let Some(service) = document.service(&entry.service) else { continue };
            let key = RouteKey(index as u32);
            let resolved = ResolvedRoute { key, entry: entry.clone(), kind: service.kind };
            self.routes.insert(entry.path.clone(), resolved);
        }
    }

    /// Returns the key of a customer, or [`OPEN_ROUTE_CUSTOMER`] when there is no name or it is
    /// unknown.
    pub(crate) fn customer_key(&self, name: Option<&str>) -> CustomerKey {
        name.and_then(|name| self.customer_keys.get(name)).copied().unwrap_or(OPEN_ROUTE_CUSTOMER)
    }

    /// Returns the lowest number of tokens that a request is charged against its customer's limit,
    /// 0 for an unknown customer.
    ///
    /// It is tokens per second divided by requests per second, so that one token bucket enforces
    /// both limits of the document: a customer whose requests each cost the minimum reaches its
    /// tokens per second at exactly its requests per second.
    pub(crate) fn min_charge(&self, customer: &str) -> u32 {
        let customer_entry = self.customers.iter().find(|entry| entry.name == customer);
        customer_entry.map_or(0, |entry| entry.tokens_per_second / entry.requests_per_second.max(1))
    }

    /// Returns the name of the customer with this key.
    pub(crate) fn customer_name(&self, key: CustomerKey) -> Option<&str> {
        let customer = self.customer_keys.iter().find(|(_, candidate)| **candidate == key);
        customer.map(|(name, _)| name.as_str())
    }

    /// Returns the key of the upstream with this name. Takes time linear in the known upstreams.
    pub(crate) fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.upstreams.iter().find(|(_, target)| target.name == name).map(|(key, _)| key)
    }
}

/// Customer key of all callers on open routes, who have no customer. The fair queues treat them as
/// one customer, and they have no limit.
pub(crate) const OPEN_ROUTE_CUSTOMER: CustomerKey = CustomerKey(0);

/// Cost of one call to a plain service in tokens, as limits, queues and the choice of upstream
/// count it.
pub(crate) const PLAIN_CALL_TOKENS: u32 = 50;
