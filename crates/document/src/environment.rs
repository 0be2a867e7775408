//! The environment document: what the operators of a deployment decide.

use std::net::SocketAddr;

use base::{KeyDigest, Span, derive_copy, derive_value};
use jiff::tz::TimeZoneDatabase;

use crate::{DocumentProblem, load, section::Section};

/// Largest count accepted for anything that is counted in the document.
const MAX_COUNT: u32 = 1_000_000;
/// Names of lease scopes. A zone of such a name would share its log stream with the scope.
const RESERVED_ZONES: [&str; 2] = ["fleet", "usage"];

pub(crate) const FENCING: [(&str, FencingCheck); 2] =
    [("checked", FencingCheck::Checked), ("ignored", FencingCheck::Ignored)];

const MAX_LENGTH: Span = Span::from_secs(24 * 3_600);

/// One accepted version of an environment's configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct EnvironmentDocument {
    /// Name of the environment, usually `trial` or `production`.
    pub environment: String,
    /// IANA name of the local time zone, for example `Australia/Hobart`.
    pub time_zone: String,
    /// Length of a usage window.
    pub usage_window: Span,
    /// How long fewer upstreams must be wanted before any is stopped.
    pub stop_hold: Span,
    /// Largest share of the upstreams of one service and zone that swap weights at once.
    pub max_swapping_share: f64,
    /// What a node does with keys while it reaches neither platform nor peers.
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
    /// What a node does with keys while it reaches neither platform nor peers.
    pub enum IsolatedKeyPolicy {
        /// Known keys work for this long, then requests are refused.
        ServeFor(Span),
        /// Requests are refused as soon as the node counts as isolated.
        Refuse,
    }

    /// Kind of a service.
    pub enum ServiceKind {
        /// Model engines that generate token streams.
        Model,
        /// A service that answers with a body.
        Plain,
    }

    /// Order in which routes get upstream capacity.
    pub enum RoutePriority {
        /// A caller waits for the answer.
        Live,
        /// Samples, served after live callers but for their guaranteed minimum.
        Sample,
    }

    /// Whether a receiver of orders refuses old fencing numbers.
    pub enum FencingCheck {
        /// The receiver refuses a number below the highest it has seen.
        Checked,
        /// The receiver ignores the number.
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
        /// Number of entry VMs. It fixes the zone's part of each customer's limit.
        pub entry_vms: u32,
    }

    /// A service.
    pub struct ServiceEntry {
        /// Name, unique in the document. For a model service also the name of its model.
        pub name: String,
        /// Kind of the service.
        pub kind: ServiceKind,
    }

    /// Upstreams of one service in one zone with the same properties.
    pub struct PoolEntry {
        /// Service that the upstreams run.
        pub service: String,
        /// Zone of the upstreams.
        pub zone: String,
        /// Smallest number of running upstreams.
        pub min_count: u32,
        /// Largest number of running upstreams.
        pub max_count: u32,
        /// Whether the platform may reclaim the upstreams with seconds of notice.
        pub cheap: bool,
        /// Price of one upstream in hundredths of the local currency for one hour.
        pub price_cents_per_hour: u32,
        /// Time from the order until an upstream takes work.
        pub startup: Span,
        /// Expected speed of one upstream: tokens per second, or requests per second for a plain
        /// service.
        pub speed: u32,
        /// Whether the upstreams refuse old fencing numbers.
        pub fencing: FencingCheck,
        /// Addresses of upstreams that are not started by order. Empty when all are ordered.
        pub addresses: Vec<SocketAddr>,
    }

    /// A route offered to callers at `/v1/<path>`.
    pub struct RouteEntry {
        /// Path below `/v1/`, unique in the document.
        pub path: String,
        /// Service that answers.
        pub service: String,
        /// Whether requests need no key.
        pub open: bool,
        /// Whether a request may be sent again after it may have run.
        pub idempotent: bool,
        /// Shortest deadline a caller may state.
        pub min_deadline: Span,
        /// Longest deadline, and the one of a request that states none.
        pub max_deadline: Span,
        /// Priority of the requests.
        pub priority: RoutePriority,
    }

    /// A customer.
    pub struct CustomerEntry {
        /// Name, unique in the document.
        pub name: String,
        /// Digests of the customer's keys. A key that is removed here is withdrawn.
        pub keys: Vec<KeyDigest>,
        /// Weight in the fair queues.
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
        /// Digest of the trainer's key.
        pub key: KeyDigest,
        /// Model service that makes its samples.
        pub service: String,
        /// Largest age of a delivered sample, in weight versions.
        pub staleness_bound: u32,
        /// Smallest number of samples in a group.
        pub min_group: u32,
        /// Largest number of samples in a group.
        pub max_group: u32,
        /// Plain service that scores the samples, if they are scored.
        pub scorer: Option<String>,
    }
}

impl EnvironmentDocument {
    /// Reads and checks a document. `file` is the name that problems show.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text, in order of lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<DocumentProblem>> {
        load(file, text, read)
    }

    /// Returns the zone of that name.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<&ZoneEntry> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// Returns the service of that name.
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
    // The bundled database gives every node the same verdict, whatever its VM image holds.
    let known_zones = TimeZoneDatabase::bundled();
    let time_zone = root.parsed("time_zone", "an IANA time zone such as \"Europe/Oslo\"", |text| {
        known_zones.get(text).is_ok().then(|| String::from(text))
    });
    let usage_window =
        root.duration_or("usage_window", Span::from_secs(10)..=MAX_LENGTH, Span::from_secs(300));
    let stop_hold =
        root.duration_or("stop_hold", Span::from_secs(1)..=MAX_LENGTH, Span::from_secs(900));
    let max_swapping_share = root.number_or("max_swapping_share", 0.01..=1.0, 0.34);
    let keys_when_isolated = root.table("keys_when_isolated", read_isolated);

    let mut zone_names = Vec::new();
    let zones = root.tables("zones", |section| {
        let name = section.new_name("name", &mut zone_names);
        if RESERVED_ZONES.contains(&name.as_str()) {
            section.refuse("name", "a name other than \"fleet\" and \"usage\", which are scopes");
        }
        ZoneEntry {
            name,
            region: section.name("region"),
            entry_vms: section.small_integer("entry_vms", 1..=10_000),
        }
    });
    if zones.is_empty() {
        root.refuse("zones", "at least one zone");
    }

    let mut service_names = Vec::new();
    let services = root.tables("services", |section| ServiceEntry {
        name: section.new_name("name", &mut service_names),
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
    let mut paths = Vec::new();
    let routes = root.tables("routes", |section| read_route(section, &service_names, &mut paths));
    let mut digests = Vec::new();
    let mut customer_names = Vec::new();
    let customers = root.tables("customers", |section| CustomerEntry {
        name: section.new_name("name", &mut customer_names),
        keys: read_keys(section, &mut digests),
        weight: section.small_integer("weight", 1..=1_000),
        tokens_per_second: section.small_integer("tokens_per_second", 1..=MAX_COUNT * 100),
        requests_per_second: section.small_integer("requests_per_second", 1..=MAX_COUNT),
    });
    let mut trainer_names = Vec::new();
    let trainers = root.tables("trainers", |section| {
        let name = section.new_name("name", &mut trainer_names);
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

fn read_isolated(section: &Section<'_>) -> IsolatedKeyPolicy {
    const LIMIT: Span = Span::from_secs(300);
    let serve = IsolatedKeyPolicy::ServeFor(LIMIT);
    let choices = [("serve", serve), ("refuse", IsolatedKeyPolicy::Refuse)];
    if section.choice_or("action", &choices, serve) == IsolatedKeyPolicy::Refuse {
        if section.has("after") {
            section.refuse("after", "only with action = \"serve\"");
        }
        return IsolatedKeyPolicy::Refuse;
    }
    IsolatedKeyPolicy::ServeFor(section.duration_or("after", Span::ZERO..=MAX_LENGTH, LIMIT))
}

fn read_pool(section: &Section<'_>, services: &[String], zones: &[String]) -> PoolEntry {
    let min_count = section.small_integer("min_count", 0..=MAX_COUNT);
    let max_count = section.small_integer("max_count", 1..=MAX_COUNT);
    if min_count > max_count && max_count > 0 {
        section
            .refuse("max_count", format!("an integer not below min_count, which is {min_count}"));
    }
    let addresses = section
        .list_of("addresses", "an IP address with port", |text| text.parse::<SocketAddr>().ok());
    if addresses.len() > max_count as usize {
        section.refuse("addresses", format!("at most max_count addresses, which is {max_count}"));
    }
    PoolEntry {
        service: section.reference("service", services),
        zone: section.reference("zone", zones),
        min_count,
        max_count,
        cheap: section.flag_or("cheap", false),
        price_cents_per_hour: section.small_integer("price_cents_per_hour", 0..=MAX_COUNT),
        startup: section.duration("startup", Span::ZERO..=MAX_LENGTH),
        speed: section.small_integer("speed", 1..=MAX_COUNT),
        fencing: section.choice("fencing", &FENCING),
        addresses,
    }
}

fn read_route(section: &Section<'_>, services: &[String], paths: &mut Vec<String>) -> RouteEntry {
    let lengths = Span::from_millis(1)..=MAX_LENGTH;
    let min_deadline = section.duration_or("min_deadline", lengths.clone(), Span::from_millis(1));
    let max_deadline = section.duration("max_deadline", lengths);
    if min_deadline > max_deadline && max_deadline > Span::ZERO {
        section.refuse("max_deadline", "a length of time not below min_deadline");
    }
    let path = section.new_name("path", paths);
    if path == "trainers" {
        section.refuse("path", "a name other than \"trainers\", which the trainer interface uses");
    }
    RouteEntry {
        path,
        service: section.reference("service", services),
        open: section.flag_or("open", false),
        idempotent: section.flag_or("idempotent", false),
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
            section.refuse("keys", "digests that no other customer or trainer has, each once");
        }
        digests.push(*key);
    }
    keys
}

fn read_trainer(
    section: &Section<'_>,
    name: String,
    models: &[String],
    plain: &[String],
    digests: &mut Vec<KeyDigest>,
) -> TrainerEntry {
    let key = section.digest("key");
    if let Some(key) = key {
        if digests.contains(&key) {
            section.refuse("key", "a digest that no other customer or trainer has");
        }
        digests.push(key);
    }
    let min_group = section.small_integer("min_group", 1..=65_536);
    let max_group = section.small_integer("max_group", 1..=65_536);
    if min_group > max_group && max_group > 0 {
        section
            .refuse("max_group", format!("an integer not below min_group, which is {min_group}"));
    }
    TrainerEntry {
        name,
        // A missing key is a recorded problem, so this digest never leaves the crate.
        key: key.unwrap_or_else(|| KeyDigest::of("")),
        service: section.reference("service", models),
        staleness_bound: section.small_integer("staleness_bound", 0..=1_000),
        min_group,
        max_group,
        scorer: section.optional_reference("scorer", plain),
    }
}
