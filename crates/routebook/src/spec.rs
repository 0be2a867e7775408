//! Parts of a configuration.

use base::{KeyDigest, Span, derive_copy, derive_value};
use smallvec::SmallVec;

derive_copy! {
    /// What may be repeated on a route.
    pub enum RequestKind {
        /// A request may run more than once.
        Idempotent,
        /// A request runs at most once.
        NonIdempotent,
        /// The answer is a stream of events. It runs at most once unless it can be resumed.
        Stream,
        /// The route takes submissions whose items run later.
        Submission,
    }

    /// What callers may send.
    pub struct CallerLimits {
        /// Longest head of a request in bytes.
        pub max_header_bytes: usize,
        /// Longest body of a request in bytes.
        pub max_body_bytes: usize,
        /// Longest time that a caller may take to send the head of a request.
        pub header_timeout: Span,
        /// Longest time that a connection may stay idle.
        pub idle_timeout: Span,
    }
}

derive_value! {
    /// A service and its share of a route's requests.
    pub struct WeightedTarget {
        /// Name of the service.
        pub service: String,
        /// Weight relative to the other targets of the route.
        pub weight: u32,
    }

    /// Requests of one host below one path prefix.
    pub struct RouteSpec {
        /// Name of the route.
        pub name: String,
        /// Host header that the route matches, in lower case.
        pub host: String,
        /// Path prefix that the route matches. It begins and ends with a slash.
        pub prefix: String,
        /// Services that run the requests.
        pub targets: SmallVec<[WeightedTarget; 2]>,
        /// What may be repeated.
        pub kind: RequestKind,
        /// Longest time that a request may wait for its answer.
        pub timeout: Span,
        /// Time within which an answer counts in full.
        pub latency_objective: Span,
        /// Most upstreams to which one request may be sent.
        pub max_attempts: u32,
        /// Rank among routes. 0 comes first.
        pub priority: u8,
        /// Whether requests need no key.
        pub public: bool,
        /// Whether a stream may go on at another upstream after an event.
        pub can_resume: bool,
        /// Whether all tokens of a sample must come from one version of the weights.
        pub one_version: bool,
        /// Time after which an item of a submission may be given up.
        pub retention: Option<Span>,
        /// Time within which all results of a submission are due.
        pub completion_objective: Option<Span>,
    }

    /// Engines of a service.
    pub struct EngineSpec {
        /// Names of the models that every engine of the service runs.
        pub models: Vec<String>,
        /// Requests that one engine runs at once.
        pub slots: u32,
    }

    /// How many upstreams of a service may be ordered.
    pub struct ScalingSpec {
        /// Least number in an availability zone.
        pub min: u32,
        /// Greatest number in an availability zone.
        pub max: u32,
        /// Time from an order until a new upstream serves.
        pub startup_time: Span,
    }

    /// A service.
    pub struct ServiceSpec {
        /// Name of the service.
        pub name: String,
        /// Path of the health check.
        pub health_path: String,
        /// Connections that one upstream accepts from all nodes together.
        pub max_connections: u32,
        /// Present when the upstreams are model engines.
        pub engine: Option<EngineSpec>,
        /// Present when upstreams can be ordered.
        pub scale: Option<ScalingSpec>,
    }

    /// A customer and its keys.
    pub struct CustomerSpec {
        /// Name of the customer.
        pub name: String,
        /// Digests of the keys in force.
        pub keys: Vec<KeyDigest>,
        /// Rank that goes before that of the route, if any.
        pub priority: Option<u8>,
    }

    /// A decoded configuration.
    pub struct SiteConfig {
        /// Version. Later configurations have higher ones.
        pub version: u64,
        /// Routes.
        pub routes: Vec<RouteSpec>,
        /// Services.
        pub services: Vec<ServiceSpec>,
        /// What callers may send.
        pub limits: CallerLimits,
        /// Customers, or `None` when requests need no keys.
        pub customers: Option<Vec<CustomerSpec>>,
    }
}

impl RouteSpec {
    /// Tells whether a request may be sent to a second upstream after the first may have run it.
    #[must_use]
    pub const fn is_retryable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent | RequestKind::Submission => true,
            RequestKind::Stream => self.can_resume,
            RequestKind::NonIdempotent => false,
        }
    }

    /// Picks the service for a request by the weights, with `random` from the whole range of `u32`.
    #[must_use]
    pub fn pick_service(&self, random: u32) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = (u64::from(random) * total) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}
