//! The environment document: the configuration that operators write for all nodes of an
//! environment.

use std::net::SocketAddr;

use base::{KeyDigest, Span, derive_copy, derive_value};
use jiff::tz::TimeZoneDatabase;

use crate::{DocumentProblem, load, section::Section};

/// Upper bound of the counts, rates and prices in the document, a hundred times as much for tokens
/// per second.
const MAX_COUNT: u32 = 1_000_000;
/// Names of lease scopes. A zone with such a name would share its log stream with the scope.
const RESERVED_ZONE_NAMES: [&str; 2] = ["fleet", "usage"];

pub(crate) const FENCING_CHOICES: [(&str, FencingCheck); 2] =
    [("checked", FencingCheck::Checked), ("ignored", FencingCheck::Ignored)];

const MAX_DURATION: Span = Span::from_secs(24 * 3_600);

/// The validated configuration of an environment.
#[derive(Debug, Clone, PartialEq)]
pub struct EnvironmentDocument {
    /// Name of the environment, usually `trial` or `production`.
    pub environment: String,
    /// IANA name of the local time zone, for example `Australia/Hobart`.
    pub time_zone: String,
    /// Length of a usage window.
    pub usage_window: Span,
    /// How long fewer upstreams must be desired before any is stopped.
    pub stop_hold: Span,
    /// Largest share of the upstreams of one service and zone that load weights at the same time,
    /// from 0.01 to 1.
    pub max_swapping_share: f64,
    /// What a node does with API keys while it reaches neither the platform nor peers.
    pub keys_when_isolated: IsolatedKeyPolicy,
    /// Availability zones.
    pub zones: Vec<ZoneEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
    /// Upstream pools. A service and zone may have several.
    pub pools: Vec<PoolEntry>,
    /// Routes offered to callers.
    pub routes: Vec<RouteEntry>,
    /// Customers.
    pub customers: Vec<CustomerEntry>,
    /// Trainers.
    pub trainers: Vec<TrainerEntry>,
}

derive_copy! {
    /// What a node does with API keys while it reaches neither the platform nor peers.
    pub enum IsolatedKeyPolicy {
        /// Known keys are accepted for this long, then requests are refused.
        ServeFor(Span),
        /// Requests are refused as soon as the node is isolated.
        Refuse,
    }

    /// Kind of a service.
    pub enum ServiceKind {
        /// Model engines that generate token streams.
        Model,
        /// A service that sends a response with a body, without a token stream.
        Plain,
    }

    /// Priority of the requests of a route for upstream capacity.
    pub enum RoutePriority {
        /// A caller waits for the response.
        Live,
        /// Samples, which are served after live requests except for a guaranteed minimum.
        Sample,
    }

    /// Whether a receiver of orders rejects outdated fencing tokens.
    pub enum FencingCheck {
        /// The receiver rejects an order whose token is below the highest it has seen.
        Checked,
        /// The receiver ignores the token.
        Ignored,
    }
}

derive_value! {
    /// An availability zone.
    pub struct ZoneEntry {
        /// Name, unique in the document.
        pub name: String,
        /// Region of the zone.
        pub region: String,
        /// Number of entry VMs, to which the zone's part of each customer's limit is proportional.
        pub entry_vms: u32,
    }

    /// A service.
    pub struct ServiceEntry {
        /// Name, unique in the document. For a model service also the name of its model.
        pub name: String,
        /// Kind of the service.
        pub kind: ServiceKind,
    }

    /// Group of upstreams of one service in one zone that have the same properties.
    pub struct PoolEntry {
        /// Service that the upstreams run.
        pub service: String,
        /// Zone of the upstreams.
        pub zone: String,
        /// Smallest number of running upstreams.
        pub min_count: u32,
        /// Largest number of running upstreams.
        pub max_count: u32,
        /// Whether the platform may reclaim the upstreams at a notice of seconds.
        pub cheap: bool,
        /// Price of one upstream per hour, in hundredths of the local currency.
        pub price_cents_per_hour: u32,
        /// Time from the start order until an upstream takes requests.
        pub startup: Span,
        /// Expected throughput of one upstream: tokens per second for a model service, requests per
        /// second for a plain one.
        pub speed: u32,
        /// Whether the upstreams reject outdated fencing tokens.
        pub fencing: FencingCheck,
        /// Addresses of upstreams that run without a start order. Empty when all are started by
        /// order.
        pub addresses: Vec<SocketAddr>,
    }

    /// A route offered to callers at `/v1/<path>`.
    pub struct RouteEntry {
        /// Path below `/v1/`, unique in the document.
        pub path: String,
        /// Service that processes the requests.
        pub service: String,
        /// Whether requests are accepted without an API key.
        pub open: bool,
        /// Whether requests are idempotent: a request may be retried although an earlier attempt
        /// may have run.
        pub idempotent: bool,
        /// Shortest deadline a caller may state.
        pub min_deadline: Span,
        /// Longest deadline a caller may state, and the default of requests without one.
        pub max_deadline: Span,
        /// Priority of the requests.
        pub priority: RoutePriority,
    }

    /// A customer, with its API keys and limits.
    pub struct CustomerEntry {
        /// Name, unique in the document.
        pub name: String,
        /// SHA-256 digests of the customer's API keys. A key that is removed here is withdrawn.
        pub keys: Vec<KeyDigest>,
        /// Weight in weighted fair queueing.
        pub weight: u32,
        /// Limit of generated and prompt tokens per second.
        pub tokens_per_second: u32,
        /// Limit of requests per second.
        pub requests_per_second: u32,
    }

    /// A trainer.
    pub struct TrainerEntry {
        /// Name, unique in the document.
        pub name: String,
        /// SHA-256 digest of the trainer's API key.
        pub key: KeyDigest,
        /// Model service that generates its samples.
        pub service: String,
        /// Largest allowed age of a delivered sample in weight versions.
        pub staleness_bound: u32,
        /// Smallest number of samples in a group.
        pub min_group: u32,
        /// Largest number of samples in a group.
        pub max_group: u32,
        /// Plain service that scores the samples, or `None` when they are delivered without scores.
        pub scorer: Option<String>,
    }
}

impl EnvironmentDocument {
    /// Parses and validates a document. `file` is the file name shown in problems.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<DocumentProblem>> {
        load(file, text, read)
    }

    /// Returns the zone named `name`.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<&ZoneEntry> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// Returns the service named `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the route at `/v1/<path>`.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&RouteEntry> {
        self.routes.iter().find(|route| route.path == path)
    }
}

fn read(root: &Section<'_>) -> EnvironmentDocument {
    let environment = root.name("environment");
    // With the bundled database all nodes accept the same names, whichever version their VM image
    // has.
    let time_zones = TimeZoneDatabase::bundled();
    let time_zone = root.parsed("time_zone", "an IANA time zone such as \"Europe/Oslo\"", |text| {
        time_zones.get(text).is_ok().then(|| String::from(text))
    });
    let usage_window =
        root.duration_or("usage_window", Span::from_secs(10)..=MAX_DURATION, Span::from_secs(300));
    let stop_hold =
        root.duration_or("stop_hold", Span::from_secs(1)..=MAX_DURATION, Span::from_secs(900));
    let max_swapping_share = root.number_or("max_swapping_share", 0.01..=1.0, 0.34);
    let keys_when_isolated = root.table("keys_when_isolated", read_isolated_key_policy);

    let mut zone_names = Vec::new();
    let zones = root.tables("zones", |section| {
        let name = section.unique_name("name", &mut zone_names);
        if RESERVED_ZONE_NAMES.contains(&name.as_str()) {
            section.report(
                "name",
                "a name other than \"fleet\" and \"usage\", which are lease scopes",
            );
        }
        ZoneEntry {
            name,
            region: section.name("region"),
            entry_vms: section.integer_u32("entry_vms", 1..=10_000),
        }
    });
    if zones.is_empty() {
        root.report("zones", "at least one zone");
    }

    let mut service_names = Vec::new();
    let services = root.tables("services", |section| ServiceEntry {
        name: section.unique_name("name", &mut service_names),
        kind: section
            .choice("kind", &[("model", ServiceKind::Model), ("plain", ServiceKind::Plain)]),
    });
    let names_of = |kind| {
        let chosen = services.iter().filter(|service| service.kind == kind);
        chosen.map(|service| service.name.clone()).collect::<Vec<_>>()
    };
    let model_names = names_of(ServiceKind::Model);
    let plain_names = names_of(ServiceKind::Plain);

    let pools = root.tables("pools", |section| read_pool(section, &service_names, &zone_names));
    let mut route_paths = Vec::new();
    let routes =
        root.tables("routes", |section| read_route(section, &service_names, &mut route_paths));
    let mut digests = Vec::new();
    let mut customer_names = Vec::new();
    let customers = root.tables("customers", |section| CustomerEntry {
        name: section.unique_name("name", &mut customer_names),
        keys: read_keys(section, &mut digests),
        weight: section.integer_u32("weight", 1..=1_000),
        tokens_per_second: section.integer_u32("tokens_per_second", 1..=MAX_COUNT * 100),
        requests_per_second: section.integer_u32("requests_per_second", 1..=MAX_COUNT),
    });
    let mut trainer_names = Vec::new();
    let trainers = root.tables("trainers", |section| {
        let name = section.unique_name("name", &mut trainer_names);
        read_trainer(section, name, &model_names, &plain_names, &mut digests)
    });
    EnvironmentDocument {
        environment,
        time_zone,
        usage_window,
        stop_hold,
        max_swapping_share,
        keys_when_isolated,
        zones,
        services,
        pools,
        routes,
        customers,
        trainers,
    }
}

fn read_isolated_key_policy(section: &Section<'_>) -> IsolatedKeyPolicy {
    const DEFAULT_SERVE_DURATION: Span = Span::from_secs(300);
    let serve = IsolatedKeyPolicy::ServeFor(DEFAULT_SERVE_DURATION);
    let choices = [("serve", serve), ("refuse", IsolatedKeyPolicy::Refuse)];
    if section.choice_or("action", &choices, serve) == IsolatedKeyPolicy::Refuse {
        if section.has("after") {
            section.report("after", "only with action = \"serve\"");
        }
        return IsolatedKeyPolicy::Refuse;
    }
    IsolatedKeyPolicy::ServeFor(section.duration_or(
        "after",
        Span::ZERO..=MAX_DURATION,
        DEFAULT_SERVE_DURATION,
    ))
}

fn read_pool(section: &Section<'_>, services: &[String], zones: &[String]) -> PoolEntry {
    let min_count = section.integer_u32("min_count", 0..=MAX_COUNT);
    let max_count = section.integer_u32("max_count", 1..=MAX_COUNT);
    if min_count > max_count && max_count > 0 {
        section
            .report("max_count", format!("an integer not below min_count, which is {min_count}"));
    }
    let addresses = section
        .list_of("addresses", "an IP address with port", |text| text.parse::<SocketAddr>().ok());
    if addresses.len() > max_count as usize {
        section.report("addresses", format!("at most max_count addresses, which is {max_count}"));
    }
    PoolEntry {
        service: section.reference("service", services),
        zone: section.reference("zone", zones),
        min_count,
        max_count,
        cheap: section.bool_or("cheap", false),
        price_cents_per_hour: section.integer_u32("price_cents_per_hour", 0..=MAX_COUNT),
        startup: section.duration("startup", Span::ZERO..=MAX_DURATION),
        speed: section.integer_u32("speed", 1..=MAX_COUNT),
        fencing: section.choice("fencing", &FENCING_CHOICES),
        addresses,
    }
}

fn read_route(
    section: &Section<'_>,
    services: &[String],
    route_paths: &mut Vec<String>,
) -> RouteEntry {
    let deadline_range = Span::from_millis(1)..=MAX_DURATION;
    let min_deadline =
        section.duration_or("min_deadline", deadline_range.clone(), Span::from_millis(1));
    let max_deadline = section.duration("max_deadline", deadline_range);
    if min_deadline > max_deadline && max_deadline > Span::ZERO {
        section.report("max_deadline", "a length of time not below min_deadline");
    }
    let path = section.unique_name("path", route_paths);
    if path == "trainers" {
        section.report("path", "a name other than \"trainers\", which the trainer interface uses");
    }
    RouteEntry {
        path,
        service: section.reference("service", services),
        open: section.bool_or("open", false),
        idempotent: section.bool_or("idempotent", false),
        min_deadline,
        max_deadline,
        priority: section.choice_or(
            "priority",
            &[("live", RoutePriority::Live), ("sample", RoutePriority::Sample)],
            RoutePriority::Live,
        ),
    }
}

fn read_keys(section: &Section<'_>, digests: &mut Vec<KeyDigest>) -> Vec<KeyDigest> {
    let keys = section.digests("keys");
    for key in &keys {
        if digests.contains(key) {
            section.report("keys", "digests that no other customer or trainer has, each once");
        }
        digests.push(*key);
    }
    keys
}

fn read_trainer(
    section: &Section<'_>,
    name: String,
    model_services: &[String],
    plain_services: &[String],
    digests: &mut Vec<KeyDigest>,
) -> TrainerEntry {
    let key = section.digest("key");
    if let Some(key) = key {
        if digests.contains(&key) {
            section.report("key", "a digest that no other customer or trainer has");
        }
        digests.push(key);
    }
    let min_group = section.integer_u32("min_group", 1..=65_536);
    let max_group = section.integer_u32("max_group", 1..=65_536);
    if min_group > max_group && max_group > 0 {
        section
            .report("max_group", format!("an integer not below min_group, which is {min_group}"));
    }
    TrainerEntry {
        name,
        // A missing or invalid key was recorded as a problem, so this digest never leaves the
        // crate.
        key: key.unwrap_or_else(|| KeyDigest::of("")),
        service: section.reference("service", model_services),
        staleness_bound: section.integer_u32("staleness_bound", 0..=1_000),
        min_group,
        max_group,
        scorer: section.optional_reference("scorer", plain_services),
    }
}
