//! Tests of the choice of upstreams while availability zones are evacuated.

use base::{Moment, Span, UpstreamKey, WeightVersion};
use dispatch::{
    EVACUATION_TIME, EntryState, GenerationPickRequest, IdleConnections, ModelRequirement,
    PlainPickRequest, RequestOrigin, UpstreamBalancer, UpstreamEntry, ZoneEvacuations,
};
use rstest::rstest;

const NOW: Moment = Moment(10_000_000);
const ZONES: [&str; 3] = ["a", "b", "c"];

fn entry(id: &str, zone: &str, started_at_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: String::from(id),
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: String::from(zone),
        software_version: format!("v-{zone}"),
        slots: 4,
        state: EntryState::Ready,
        warmup: Span::ZERO,
        versions: vec![(String::from("m"), WeightVersion(1))],
        started_at_ms: Some(started_at_ms),
        cheap: false,
        time_to_reclaim: None,
    }
}

/// Returns a balancer with two upstreams in each zone.
fn balancer() -> UpstreamBalancer {
    let mut balancer = UpstreamBalancer::default();
    for zone in ZONES {
        for number in 0..2 {
            balancer.update(entry(&format!("{zone}{number}"), zone, 1));
        }
    }
    balancer
}

fn evacuations(zones: &[&str]) -> ZoneEvacuations {
    let mut evacuations = ZoneEvacuations::default();
    for zone in zones {
        evacuations.order(zone);
    }
    evacuations
}

fn plain_request<'a>(
    origin: RequestOrigin,
    tried: &'a [UpstreamKey],
    connected: &'a IdleConnections,
    jitter_seed: u64,
) -> PlainPickRequest<'a> {
    PlainPickRequest {
        service: "s",
        zone: "a",
        tried,
        connected,
        suspect: false,
        origin,
        software_version: None,
        home: None,
        jitter_seed,
    }
}

fn pick_engine(balancer: &UpstreamBalancer, warm: UpstreamKey, seed: u64) -> Option<UpstreamKey> {
    let request = GenerationPickRequest {
        service: "s",
        requirement: ModelRequirement { model: "m", min_version: WeightVersion(1) },
        software_version: None,
        home: None,
        tried: &[],
        warm_engine: Some(warm),
        connected: &[(warm, 1)].into_iter().collect(),
        jitter_seed: seed,
    };
    balancer.pick_generation(NOW, &request)
}

/// Asserts that every kind of choice uses exactly the zones that are not evacuated.
fn check_zones(balancer: &UpstreamBalancer, evacuated: &[&str]) {
    let own = balancer.key("a0").unwrap();
    let connected: IdleConnections = [(own, 1)].into_iter().collect();
    let others: Vec<UpstreamKey> =
        ["b0", "b1", "c0", "c1"].iter().filter_map(|id| balancer.key(id)).collect();
    let mut picked = Vec::new();
    for seed in 0..200 {
        for origin in [RequestOrigin::Caller, RequestOrigin::Item] {
            for tried in [&[][..], &others] {
                let request = plain_request(origin, tried, &connected, seed);
                picked.push(balancer.pick_plain(NOW, &request));
            }
        }
        picked.push(pick_engine(balancer, own, seed));
    }
    picked.extend(balancer.usable_upstreams(NOW, "s").map(Some));
    let all_evacuated = evacuated.len() == ZONES.len();
    for upstream in picked {
        assert_eq!(upstream.is_none(), all_evacuated);
        let zone = upstream.map(|upstream| balancer.entry(upstream).zone.as_str());
        assert!(zone.is_none_or(|zone| !evacuated.contains(&zone)), "{zone:?} was chosen");
    }
    let in_use = ZONES.len() - evacuated.len();
    assert_eq!(balancer.occupancy(NOW, "s").0 as usize, in_use * 2 * 4);
    assert_eq!(balancer.unlimited_slots(NOW, "s") as usize, in_use * 2 * 4);
    for zone in ZONES {
        let has_software = balancer.has_software(NOW, "s", &format!("v-{zone}"), None);
        assert_eq!(has_software, !evacuated.contains(&zone));
    }
}

/// Load pattern: callers, items and reward calls, first tries and retries, with open connections and
/// warm prompts in the evacuated zone.
///
/// Guards against a choice that still uses an evacuated zone, as the last one left or because it is
/// cheaper, and against one that avoids a zone whose evacuation was withdrawn.
#[rstest]
#[case::own_zone(&["a"])]
#[case::other_zone(&["b"])]
#[case::two_zones(&["a", "c"])]
#[case::all_zones(&["a", "b", "c"])]
fn evacuated_zone_is_never_chosen(#[case] zones: &[&str]) {
    let mut balancer = balancer();
    check_zones(&balancer, &[]);
    let mut evacuations = evacuations(zones);
    balancer.set_evacuations(NOW, &evacuations);
    check_zones(&balancer, zones);
    for zone in zones {
        evacuations.withdraw(zone);
    }
    balancer.set_evacuations(NOW, &evacuations);
    check_zones(&balancer, &[]);
}

/// Load pattern: a second zone is evacuated before the first one is back.
///
/// Guards against an order that replaces the one before, and a withdrawal that returns both.
#[test]
fn zones_are_evacuated_independently() {
    let mut balancer = balancer();
    let mut evacuations = evacuations(&["a"]);
    balancer.set_evacuations(NOW, &evacuations);
    evacuations.order("b");
    balancer.set_evacuations(NOW, &evacuations);
    check_zones(&balancer, &["a", "b"]);
    evacuations.withdraw("a");
    balancer.set_evacuations(NOW, &evacuations);
    check_zones(&balancer, &["b"]);
}

/// Load pattern: upstreams start, start again, change and move while their zone is evacuated.
///
/// Guards against an upstream that gets requests because its entry arrives after the order.
#[test]
fn entry_that_arrives_during_an_evacuation_is_not_used() {
    let mut balancer = UpstreamBalancer::default();
    balancer.set_evacuations(NOW, &evacuations(&["b"]));
    let (new, _) = balancer.update(entry("new", "b", 1));
    assert!(!balancer.is_usable(NOW, new), "new upstream");
    balancer.update(entry("new", "b", 2));
    assert!(!balancer.is_usable(NOW, new), "restarted upstream");
    balancer.update(entry("new", "a", 3));
    assert!(balancer.is_usable(NOW, new), "upstream of another zone under the identifier");
    balancer.update(entry("new", "b", 4));
    assert!(!balancer.is_usable(NOW, new), "back in the evacuated zone");
    assert_eq!(balancer.evacuated_upstreams().collect::<Vec<_>>(), [new]);
}

/// Load pattern: generations of different lengths run in a zone when its evacuation is ordered.
///
/// Guards against moving a generation that ends in time, whose text would be read again for nothing,
/// and against leaving one that does not.
#[rstest]
#[case::ends_in_time(100, 0, false)]
#[case::ends_too_late(200, 0, true)]
#[case::ends_too_late_by_now(100, 3_000, true)]
#[case::estimate_was_too_low(0, 4_990, true)]
#[case::time_has_passed(0, 6_000, true)]
fn generation_outlasts_the_evacuation(
    #[case] remaining_events: u64,
    #[case] elapsed_ms: u64,
    #[case] expected: bool,
) {
    let mut balancer = balancer();
    let engine = balancer.key("b0").unwrap();
    let usual = Span::from_millis(30);
    let now = NOW + Span::from_millis(elapsed_ms);
    assert!(!balancer.outlasts_evacuation(now, engine, 10_000, usual), "nothing is evacuated");
    balancer.set_evacuations(NOW, &evacuations(&["b"]));
    // The time runs from the order, not from the last change of the set.
    balancer.set_evacuations(now, &evacuations(&["b", "c"]));
    assert_eq!(balancer.outlasts_evacuation(now, engine, remaining_events, usual), expected);
    balancer.record_event_interval(engine, Span::from_millis(1));
    let ends_at = now + Span::from_millis(remaining_events.max(1));
    let outlasts = ends_at >= NOW + EVACUATION_TIME;
    assert_eq!(balancer.outlasts_evacuation(now, engine, remaining_events, usual), outlasts);
}

/// Guards against a withdrawal that goes unnoticed because a new order follows before it is seen, and
/// against repeated records that count as news.
#[test]
fn withdrawal_between_two_orders_is_noticed() {
    let before = evacuations(&["a", "b"]);
    let mut after = before.clone();
    assert!(!after.order("a"), "a repeated order is no news");
    assert!(!after.withdraw("c"), "a zone that was not evacuated is not withdrawn");
    assert_eq!(after, before);
    assert!(after.withdraw("a") && !after.withdraw("a") && after.order("a"));
    assert!(after.contains("a") && after.contains("b"));
    assert_eq!(after.returned_since(&before).collect::<Vec<_>>(), ["a"]);
    assert_eq!(after.returned_since(&after).count(), 0);
    assert_eq!(after.zones().collect::<Vec<_>>(), ["a", "b"]);
}
