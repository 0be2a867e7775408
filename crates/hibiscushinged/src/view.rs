//! What the control thread publishes to the traffic threads.

use std::{collections::HashMap, net::SocketAddr};

use base::{Arena, CustomerKey, RouteKey, UpstreamKey, WeightVersion};
use configuration::{ConfigVersion, KeySet};
use document::{CustomerEntry, EnvironmentDocument, RouteEntry, ServiceKind, TrainerEntry};

/// Immutable snapshot of the configuration in force and of the known upstreams.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutingView {
    /// Version of the document, zero before the first one.
    pub(crate) version: ConfigVersion,
    pub(crate) keys: KeySet,
    pub(crate) customers: Vec<CustomerEntry>,
    pub(crate) customer_keys: HashMap<String, CustomerKey>,
    pub(crate) trainers: Vec<TrainerEntry>,
    pub(crate) routes: HashMap<String, ResolvedRoute>,
    pub(crate) upstreams: Arena<UpstreamKey, UpstreamTarget>,
    pub(crate) key_acceptance: KeyAcceptance,
}

/// A route with what the traffic threads need of its service.
#[derive(Debug, Clone)]
pub(crate) struct ResolvedRoute {
    pub(crate) key: RouteKey,
    pub(crate) entry: RouteEntry,
    pub(crate) kind: ServiceKind,
}

/// An upstream that the node has heard of. Targets are never removed, so keys stay valid.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamTarget {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) zone_name: String,
    pub(crate) address: SocketAddr,
    pub(crate) price_class: routing::PriceClass,
    pub(crate) version: Option<WeightVersion>,
}

/// Whether keys are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum KeyAcceptance {
    #[default]
    Accepting,
    /// The node is isolated for longer than the document allows.
    Refusing,
}

impl RoutingView {
    /// Takes over everything that a document states.
    pub(crate) fn apply(&mut self, version: ConfigVersion, document: &EnvironmentDocument) {
        let entries = document.customers.iter().flat_map(|customer| {
            customer.keys.iter().map(|digest| (*digest, customer.name.as_str()))
        });
        // A document with a key of two customers is refused before it is accepted.
        self.keys = KeySet::build(version, entries).unwrap_or_default();
        self.version = version;
        self.customers.clone_from(&document.customers);
        self.trainers.clone_from(&document.trainers);
        for customer in &document.customers {
            // Keys are kept for good, so that a queue entry never changes its customer.
            let next = CustomerKey(self.customer_keys.len() as u32 + 1);
            self.customer_keys.entry(customer.name.clone()).or_insert(next);
        }
        self.routes.clear();
        for (index, entry) in document.routes.iter().enumerate() {
            let Some(service) = document.service(&entry.service) else { continue };
            let key = RouteKey(index as u32);
            let target = ResolvedRoute { key, entry: entry.clone(), kind: service.kind };
            self.routes.insert(entry.path.clone(), target);
        }
    }

    /// Returns the key of a customer, or that of callers on open routes.
    pub(crate) fn customer_key(&self, name: Option<&str>) -> CustomerKey {
        name.and_then(|name| self.customer_keys.get(name)).copied().unwrap_or(OPEN_CALLERS)
    }

    /// Returns the least number of tokens that a request counts against its customer's limit.
    ///
    /// One bucket then enforces both limits of the document: a customer whose requests cost this
    /// much each reaches its tokens per second at exactly its requests per second.
    pub(crate) fn min_charge(&self, customer: &str) -> u32 {
        let found = self.customers.iter().find(|entry| entry.name == customer);
        found.map_or(0, |entry| entry.tokens_per_second / entry.requests_per_second.max(1))
    }

    /// Returns the customer of a key.
    pub(crate) fn customer_name(&self, key: CustomerKey) -> Option<&str> {
        let found = self.customer_keys.iter().find(|(_, known)| **known == key);
        found.map(|(name, _)| name.as_str())
    }

    pub(crate) fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.upstreams.iter().find(|(_, target)| target.name == name).map(|(key, _)| key)
    }
}

/// Shares the queue place of callers on open routes, who belong to no customer.
pub(crate) const OPEN_CALLERS: CustomerKey = CustomerKey(0);

/// Work of one call to a plain service, in the tokens that limits, queues and choices count.
pub(crate) const PLAIN_CALL_TOKENS: u32 = 50;
