//! Tests of the choice of upstreams for requests with home regions.

use std::collections::BTreeMap;

use base::{Moment, RequestRate, Span, UpstreamKey, WeightVersion};
use dispatch::{
    EntryState, GenerationPickRequest, IdleConnections, LimitShare, ModelRequirement,
    PlainPickRequest, RequestOrigin, UpstreamBalancer, UpstreamEntry,
};
use rstest::rstest;

const NOW: Moment = Moment(10_000_000);

/// Returns a balancer with an upstream in each of the zones `a` and `b` of region `north`, `c` of
/// region `south`, and `d`, whose region is not known.
fn balancer() -> (UpstreamBalancer, Vec<UpstreamKey>) {
    let mut balancer = UpstreamBalancer::default();
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(zone, region)| (String::from(zone), String::from(region)));
    balancer.set_regions(BTreeMap::from(regions));
    let keys = ["a", "b", "c", "d"].map(|zone| {
        let entry = UpstreamEntry {
            id: format!("u-{zone}"),
            service: String::from("s"),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: String::from(zone),
            software_version: format!("v-{zone}"),
            slots: 8,
            state: EntryState::Ready,
            warmup: Span::ZERO,
            versions: vec![(String::from("m"), WeightVersion(1))],
            started_at_ms: Some(1),
            cheap: false,
            time_to_reclaim: None,
        };
        balancer.update(entry).0
    });
    (balancer, keys.to_vec())
}

/// Load pattern: callers, retries and items of routes with home regions, with open connections and
/// warm prompts elsewhere.
///
/// Guards against a choice outside of the home regions because it is nearer, connected or the last one
/// left, and against an upstream of an unknown region that counts as one at home.
#[rstest]
#[case::no_constraint(None, "abcd")]
#[case::north(Some(&["north"][..]), "ab")]
#[case::south(Some(&["south"][..]), "c")]
#[case::both(Some(&["north", "south"][..]), "abc")]
#[case::other(Some(&["west"][..]), "")]
#[case::none(Some(&[][..]), "")]
fn choice_stays_in_the_home_regions(#[case] home: Option<&[&str]>, #[case] zones: &str) {
    let (balancer, keys) = balancer();
    let home: Option<Vec<String>> =
        home.map(|home| home.iter().map(|region| String::from(*region)).collect());
    let home = home.as_deref();
    let zone = |upstream| balancer.entry(upstream).zone.clone();
    let check = |picked: Option<UpstreamKey>| {
        assert_eq!(picked.is_none(), zones.is_empty());
        assert!(picked.is_none_or(|upstream| zones.contains(&zone(upstream))), "{picked:?}");
    };
    for seed in 0..100 {
        for (connected, tried) in [(&keys[..], &[][..]), (&keys[2..], &keys[..2]), (&[], &keys[..])]
        {
            let connected: &IdleConnections = &connected.iter().map(|key| (*key, 1)).collect();
            let plain = PlainPickRequest {
                service: "s",
                zone: "d",
                tried,
                connected,
                suspect: false,
                origin: RequestOrigin::Caller,
                software_version: None,
                home,
                jitter_seed: seed,
            };
            check(balancer.pick_plain(NOW, &plain));
            for warm in &keys {
                let generation = GenerationPickRequest {
                    service: "s",
                    requirement: ModelRequirement { model: "m", min_version: WeightVersion(1) },
                    software_version: None,
                    home,
                    tried,
                    warm_engine: Some(*warm),
                    connected,
                    jitter_seed: seed,
                };
                check(balancer.pick_generation(NOW, &generation));
            }
        }
    }
    for zone in ["a", "b", "c", "d"] {
        let has_software = balancer.has_software(NOW, "s", &format!("v-{zone}"), home);
        assert_eq!(has_software, zones.contains(zone), "stream or text of zone {zone}");
    }
}

/// Load pattern: upstreams of one region name limits, and requests may run in another one only.
///
/// Guards against refusals that name the limits of upstreams which the request may not use.
#[test]
fn limits_of_other_regions_are_no_reason() {
    let (mut balancer, keys) = balancer();
    let share = LimitShare { claimed: RequestRate(4_000), ..LimitShare::default() };
    balancer.set_limit_share(NOW, keys[0], Some(share));
    let mut refused = |region: &str| {
        let home = [String::from(region)];
        balancer.record_limited(NOW, "s", RequestOrigin::Caller, Some(&home)).is_some()
    };
    assert!(refused("north"));
    assert!(!refused("south") && !refused("west"));
}
