//! Evidence of whether this node reaches the upstreams of each service.
//!
//! An upstream that fails says little about this node. If several upstreams of a service fail and
//! none responds meanwhile, either they have all ended or this node has lost its links to them.
//! Whether new connections open, and whether other nodes reach them, decides.

use std::collections::HashMap;

use base::{Moment, UpstreamKey, derive_copy};
use smallvec::SmallVec;

/// Upstreams of a service that must fail, without a response of any other, before the links are
/// doubtful. A service with fewer upstreams needs all of them.
const DOUBTFUL_FAILURES: usize = 2;

derive_copy! {
    /// State of a node's links to the upstreams of one service.
    pub enum LinkState {
        /// Upstreams respond, or nothing is known of them.
        Working,
        /// Several upstreams have failed and none has responded since.
        Doubtful,
        /// No upstream accepts a connection.
        Lost,
    }
}

#[derive(Debug, Clone)]
struct ServiceLinks {
    state: LinkState,
    /// Upstreams that have failed since the last response.
    failed: SmallVec<[UpstreamKey; 4]>,
    last_response_at: Moment,
}

/// Links of one node, by service.
#[derive(Debug, Clone, Default)]
pub struct LinkTracker {
    services: HashMap<String, ServiceLinks>,
}

impl Default for ServiceLinks {
    fn default() -> Self {
        Self { state: LinkState::Working, failed: SmallVec::new(), last_response_at: Moment(0) }
    }
}

impl LinkTracker {
    /// Returns the state of the links to a service.
    #[must_use]
    pub fn state(&self, service: &str) -> LinkState {
        self.services.get(service).map_or(LinkState::Working, |links| links.state)
    }

    /// Returns when an upstream of the service last responded or accepted a connection.
    #[must_use]
    pub fn last_response_at(&self, service: &str) -> Moment {
        self.services.get(service).map_or(Moment(0), |links| links.last_response_at)
    }

    /// Records that an upstream of the service responded or accepted a connection. Returns the state
    /// before.
    pub fn record_response(&mut self, now: Moment, service: &str) -> LinkState {
        let links = self.links(service);
        links.last_response_at = now;
        links.failed.clear();
        std::mem::replace(&mut links.state, LinkState::Working)
    }

    /// Records that an upstream failed, or has been silent since `since`. The service has `usable`
    /// upstreams. Returns whether this makes the links doubtful.
    pub fn record_failure(
        &mut self,
        service: &str,
        upstream: UpstreamKey,
        since: Moment,
        usable: usize,
    ) -> bool {
        let links = self.links(service);
        if links.last_response_at > since {
            return false;
        }
        if !links.failed.contains(&upstream) {
            links.failed.push(upstream);
        }
        let doubtful = links.failed.len() >= usable.clamp(1, DOUBTFUL_FAILURES);
        if !doubtful || links.state != LinkState::Working {
            return false;
        }
        links.state = LinkState::Doubtful;
        true
    }

    /// Makes the links to a service doubtful for a reason that lies elsewhere, unless an upstream has
    /// responded since `since`. Returns whether this is news.
    pub fn doubt(&mut self, service: &str, since: Moment) -> bool {
        let links = self.links(service);
        let news = links.state == LinkState::Working && links.last_response_at <= since;
        if news {
            links.state = LinkState::Doubtful;
        }
        news
    }

    /// Records that no upstream accepts a connection, unless one has responded meanwhile. Returns
    /// whether this is news.
    pub fn record_lost(&mut self, service: &str) -> bool {
        let links = self.links(service);
        let news = links.state == LinkState::Doubtful;
        if news {
            links.state = LinkState::Lost;
        }
        news
    }

    /// Forgets the failures of a service, whose upstreams have changed.
    pub fn forget_failures(&mut self, service: &str) {
        if let Some(links) = self.services.get_mut(service) {
            links.state = LinkState::Working;
            links.failed.clear();
        }
    }

    fn links(&mut self, service: &str) -> &mut ServiceLinks {
        if !self.services.contains_key(service) {
            self.services.insert(String::from(service), ServiceLinks::default());
        }
        self.services.get_mut(service).expect("the service was inserted above")
    }
}
