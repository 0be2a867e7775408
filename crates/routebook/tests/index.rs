//! Tests of the lookups of routes and keys, and of the rule that the version of the active
//! configuration only rises.

use base::{KeyDigest, Span};
use routebook::{
    ActiveConfig, ApplyOutcome, CallerLimits, ConfigIndex, CustomerSpec, HomeRegions,
    RequestDecision, RequestKind, RouteSpec, SiteConfig, WeightedTarget,
};
use rstest::rstest;
use smallvec::smallvec;

fn route(name: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: String::from(name),
        host: String::from("shop.example"),
        prefix: String::from(prefix),
        targets: smallvec![WeightedTarget { service: String::from(name), weight: 1 }],
        kind: RequestKind::Idempotent,
        timeout: Span::from_millis(800),
        latency_objective: Span::from_millis(150),
        max_attempts: 2,
        priority: 2,
        public: false,
        can_resume: false,
        one_version: false,
        retention: None,
        completion_objective: None,
        home_regions: HomeRegions::default(),
    }
}

fn config(version: u64) -> SiteConfig {
    SiteConfig {
        version,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        services: Vec::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Span::ZERO,
            idle_timeout: Span::ZERO,
        },
        customers: Some(vec![CustomerSpec {
            name: String::from("brewer"),
            keys: vec![KeyDigest::of("k1"), KeyDigest::of("k2")],
            priority: None,
            home_regions: HomeRegions::default(),
        }]),
    }
}

#[rstest]
#[case("shop.example", "/a/b/c", Some("long"))]
#[case("SHOP.example", "/a/bc", Some("short"))]
#[case("shop.example", "/a/b?x=/a/b/", Some("short"))]
#[case("shop.example", "/ab", None)]
#[case("other.example", "/a/b/c", None)]
fn check_longest_prefix(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let config = ConfigIndex::new(config(1));
    assert_eq!(config.route(host, path).map(|route| route.name.as_str()), expected);
}

/// Guards against a key that is accepted for another customer than its own, or that is accepted
/// although no customer has it.
#[rstest]
#[case("k1", Some("brewer"))]
#[case("k2", Some("brewer"))]
#[case("k3", None)]
fn check_customer(#[case] key: &str, #[case] expected: Option<&str>) {
    let config = ConfigIndex::new(config(1));
    let customer_name = config.customer(KeyDigest::of(key)).map(|customer| customer.name.as_str());
    assert_eq!(customer_name, expected);
}

/// Guards against reading an older configuration from the store and making it active again.
#[test]
fn active_version_only_rises() {
    let mut active = ActiveConfig::default();
    assert_eq!(active.apply(config(4)), ApplyOutcome::Applied);
    assert_eq!(active.apply(config(3)), ApplyOutcome::NotNewer);
    assert_eq!(active.apply(config(4)), ApplyOutcome::NotNewer);
    assert_eq!(active.apply(config(9)), ApplyOutcome::Applied);
    assert_eq!(active.current().map(|config| config.version()), Some(9));
}

/// Guards against a traffic split that sends requests to a service with weight 0.
#[rstest]
#[case(0, "a")]
#[case(u32::MAX / 10 * 8, "a")]
#[case(u32::MAX, "b")]
fn check_traffic_split(#[case] random: u32, #[case] expected: &str) {
    let mut route = route("a", "/");
    route.targets = smallvec![
        WeightedTarget { service: String::from("a"), weight: 90 },
        WeightedTarget { service: String::from("none"), weight: 0 },
        WeightedTarget { service: String::from("b"), weight: 10 },
    ];
    assert_eq!(route.pick_service(random), Some(expected));
}

/// Guards against a request that a node runs by the decision of another one, although its own
/// configuration does not allow the same.
#[rstest]
#[case::same("short", Some("brewer"), true, true)]
#[case::other_target("long", Some("brewer"), true, true)]
#[case::target_without_weight("old", Some("brewer"), true, false)]
#[case::unknown_service("other", Some("brewer"), true, false)]
#[case::other_customer("short", Some("cider"), true, false)]
#[case::public("short", None, true, false)]
#[case::other_kind("short", Some("brewer"), false, false)]
fn check_decision(
    #[case] service: &str,
    #[case] customer: Option<&str>,
    #[case] retryable: bool,
    #[case] expected: bool,
) {
    let mut route = route("short", "/a/");
    route.targets.push(WeightedTarget { service: String::from("long"), weight: 1 });
    route.targets.push(WeightedTarget { service: String::from("old"), weight: 0 });
    let decision = RequestDecision {
        config_version: 1,
        service: String::from(service),
        customer: customer.map(String::from),
        retryable,
    };
    assert_eq!(decision.is_allowed_by(&route, Some("brewer")), expected);
}
