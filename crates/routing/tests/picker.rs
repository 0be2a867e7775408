//! Tests of the choice of an upstream: leaving ones are never chosen, the own zone is preferred,
//! and speed and outstanding work are taken into account.

use base::{Moment, Span, UpstreamKey, WeightVersion, ZoneKey};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use routing::{
    LeastOutstanding, LoadMeasurement, PickPolicy, PickReason, PickRequest, PickResult, PriceClass,
    RandomPick, RequestOutcome, RoundRobin, RouteUpstreams, TableSettings, UpstreamPicker,
    UpstreamProperties, UpstreamState, UpstreamTable,
};
use rstest::rstest;

const NOW: Moment = Moment(10_000_000);
const REQUEST: PickRequest<'static> =
    PickRequest { tokens: 100, prompt_tokens: 0, prefix: None, min_version: None, avoid: &[] };

fn table(zones: &[u32], latency: Span) -> UpstreamTable {
    let mut table = UpstreamTable::new(TableSettings::default(), vec![Span::ZERO, latency]);
    for (index, zone) in zones.iter().enumerate() {
        let zone = ZoneKey(*zone);
        let price_class = PriceClass::Regular;
        table.add(UpstreamProperties { name_hash: index as u64 + 1, zone, price_class });
    }
    table
}

fn upstreams(table: &UpstreamTable) -> RouteUpstreams {
    RouteUpstreams::new(table, ZoneKey(0), (0..table.len() as u32).map(UpstreamKey))
}

fn load(queued: u32, measured_at: Moment) -> LoadMeasurement {
    LoadMeasurement { running: 0, queued, version: Some(WeightVersion(5)), measured_at }
}

/// Completes 100 requests of 100 tokens, from which the table estimates the given speed.
fn complete_requests(table: &mut UpstreamTable, upstream: u32, tokens_per_second: u64) {
    for _ in 0..100 {
        let in_flight = table.start(NOW, UpstreamKey(upstream), 100);
        let took = Span::from_micros(100_000_000 / tokens_per_second);
        table.finish(NOW + took, in_flight, RequestOutcome::Completed { tokens: 100 });
    }
}

/// Makes 1,000 choices without starting the requests, and checks the number of choices per
/// upstream.
fn check(
    policy: &mut impl PickPolicy,
    table: &UpstreamTable,
    request: &PickRequest<'_>,
    expected: impl Fn(&[usize]) -> bool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let upstreams = upstreams(table);
    let mut counts = vec![0; table.len()];
    for _ in 0..1_000 {
        let Some(result) = policy.pick(NOW, table, &upstreams, request, &mut rng) else { continue };
        counts[result.upstream.0 as usize] += 1;
    }
    assert!(expected(&counts), "choices per upstream: {counts:?}");
}

#[rstest]
#[case::leaving(UpstreamState::Leaving)]
#[case::down(UpstreamState::Down)]
fn leaving_and_down_upstreams_are_never_chosen(#[case] state: UpstreamState) {
    let mut table = table(&[0, 0, 1], Span::from_millis(1));
    table.set_state(UpstreamKey(1), state);
    let unused = |counts: &[usize]| counts[1] == 0 && counts.iter().sum::<usize>() == 1_000;
    check(&mut UpstreamPicker::default(), &table, &REQUEST, unused);
    check(&mut RandomPick, &table, &REQUEST, unused);
    check(&mut RoundRobin::default(), &table, &REQUEST, unused);
    check(&mut LeastOutstanding, &table, &REQUEST, unused);
    for upstream in [0, 2] {
        table.set_state(UpstreamKey(upstream), state);
    }
    check(&mut UpstreamPicker::default(), &table, &REQUEST, |counts| counts == [0, 0, 0]);
}

#[test]
fn leaving_upstream_does_not_come_back() {
    let mut table = table(&[0], Span::ZERO);
    table.set_state(UpstreamKey(0), UpstreamState::Leaving);
    table.set_state(UpstreamKey(0), UpstreamState::Up);
    assert_eq!(table.state(UpstreamKey(0)), Some(UpstreamState::Leaving));
}

#[test]
fn reserved_and_suspect_upstreams_are_avoided_while_others_are_available() {
    let mut table = table(&[0, 0, 0], Span::ZERO);
    table.set_state(UpstreamKey(0), UpstreamState::Suspect);
    table.reserve(UpstreamKey(1));
    check(&mut UpstreamPicker::default(), &table, &REQUEST, |counts| counts == [0, 0, 1_000]);
    table.set_state(UpstreamKey(2), UpstreamState::Leaving);
    check(&mut UpstreamPicker::default(), &table, &REQUEST, |counts| counts == [1_000, 0, 0]);
}

#[rstest]
#[case::near(Span::from_millis(1), 900)]
#[case::far(Span::from_millis(400), 0)]
fn other_zone_is_used_when_the_gain_exceeds_the_network_latency(
    #[case] latency: Span,
    #[case] min_remote: usize,
) {
    let mut table = table(&[0, 0, 1, 1], latency);
    for upstream in [0, 1] {
        // 500 ms of work at the initial speed.
        table.start(NOW, UpstreamKey(upstream), 500);
    }
    let remote = |counts: &[usize]| {
        let remote = counts[2] + counts[3];
        remote >= min_remote && (min_remote > 0 || remote == 0)
    };
    check(&mut UpstreamPicker::default(), &table, &REQUEST, remote);
}

#[test]
fn own_zone_is_used_when_work_is_equal() {
    let table = table(&[0, 0, 1, 1], Span::from_millis(1));
    check(&mut UpstreamPicker::default(), &table, &REQUEST, |counts| counts[2] + counts[3] == 0);
}

#[test]
fn faster_upstream_gets_the_larger_share() {
    let mut table = table(&[0, 0], Span::ZERO);
    complete_requests(&mut table, 0, 4_000);
    complete_requests(&mut table, 1, 1_000);
    table.refresh_max_speed();
    let speed = table.speed(UpstreamKey(0)).unwrap_or_default();
    assert!((3_800.0..4_200.0).contains(&speed), "estimated speed is {speed} tokens per second");
    check(&mut UpstreamPicker::default(), &table, &REQUEST, |counts| counts[0] > 900);
}

#[test]
fn load_report_is_adjusted_by_own_requests_since_its_measurement() {
    let mut table = table(&[0], Span::ZERO);
    let upstream = UpstreamKey(0);
    let first = table.start(NOW, upstream, 200);
    let measured_at = NOW + Span::from_secs(1);
    let received_at = NOW + Span::from_secs(3);
    table.start(NOW + Span::from_secs(2), upstream, 200);
    // Three queued requests of 200 tokens, one of them this node's own.
    table.record_load(received_at, upstream, load(3, measured_at));
    assert_eq!(table.backlog(upstream), Some(400 + 400));
    table.finish(received_at, first, RequestOutcome::Failed);
    assert_eq!(table.backlog(upstream), Some(400 + 200));
    table.record_load(received_at, upstream, load(9, measured_at));
    assert_eq!(table.backlog(upstream), Some(600), "a report that is not newer is ignored");
    assert_eq!(table.report_age(received_at, upstream), Some(Span::from_secs(2)));
}

#[test]
fn prefix_stays_on_its_owner_until_the_owner_is_overloaded() {
    let mut table = table(&[0; 8], Span::ZERO);
    let request = PickRequest { prompt_tokens: 1_000, prefix: Some(77), ..REQUEST };
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut pick = |table: &UpstreamTable| -> PickResult {
        let upstreams = upstreams(table);
        let result = UpstreamPicker::default().pick(NOW, table, &upstreams, &request, &mut rng);
        result.expect("at least one upstream must accept the request")
    };
    let owner = pick(&table);
    assert_eq!(owner.reason, PickReason::PrefixOwner);
    assert_eq!(pick(&table).upstream, owner.upstream);
    table.start(NOW, owner.upstream, 1_000);
    let second = pick(&table);
    assert_eq!(second.reason, PickReason::PrefixOwner, "the second owner takes over");
    assert_ne!(second.upstream, owner.upstream);
    table.start(NOW, second.upstream, 1_000);
    assert_eq!(pick(&table).reason, PickReason::EarliestCompletion);
}

#[test]
fn upstreams_with_old_weights_are_passed_over() {
    let mut table = table(&[0, 0], Span::ZERO);
    table.record_load(NOW, UpstreamKey(1), load(0, NOW));
    let request = PickRequest { min_version: Some(WeightVersion(5)), ..REQUEST };
    check(&mut UpstreamPicker::default(), &table, &request, |counts| counts == [0, 1_000]);
    let request = PickRequest { min_version: Some(WeightVersion(6)), ..REQUEST };
    check(&mut UpstreamPicker::default(), &table, &request, |counts| counts == [0, 0]);
}

#[test]
fn tried_upstream_is_avoided_while_another_is_available() {
    let mut table = table(&[0, 0], Span::ZERO);
    let request = PickRequest { avoid: &[UpstreamKey(0)], ..REQUEST };
    check(&mut UpstreamPicker::default(), &table, &request, |counts| counts == [0, 1_000]);
    table.set_state(UpstreamKey(1), UpstreamState::Down);
    check(&mut UpstreamPicker::default(), &table, &request, |counts| counts == [1_000, 0]);
}

#[test]
fn lone_requests_do_not_lower_the_speed_estimated_under_load() {
    let mut table = table(&[0], Span::ZERO);
    let upstream = UpstreamKey(0);
    for _ in 0..100 {
        let others = [(); 7].map(|()| table.start(NOW, upstream, 200));
        let in_flight = table.start(NOW, upstream, 200);
        // Eight requests of 200 tokens share 4,000 tokens a second.
        let end = NOW + Span::from_millis(400);
        table.finish(end, in_flight, RequestOutcome::Completed { tokens: 200 });
        for other in others {
            table.finish(end, other, RequestOutcome::Failed);
        }
    }
    let under_load = table.speed(upstream).unwrap_or_default();
    assert!(
        (3_800.0..4_200.0).contains(&under_load),
        "estimated speed is {under_load} tokens per second"
    );
    complete_requests(&mut table, 0, 1_000);
    assert_eq!(table.speed(upstream), Some(under_load));
}

/// Guards against a new upstream that looks faster than all others and attracts every request until
/// its first response.
#[test]
fn new_upstream_is_assumed_to_be_as_fast_as_the_others() {
    let mut table = table(&[0, 0], Span::ZERO);
    // On the first upstream, a token takes 40 ms; the second has not completed any request.
    let in_flight = table.start(NOW, UpstreamKey(0), 10);
    table.finish(NOW + Span::from_millis(400), in_flight, RequestOutcome::Completed { tokens: 10 });
    let mut picker = UpstreamPicker::default();
    check(&mut picker, &table, &REQUEST, |counts| counts.iter().all(|count| *count > 200));
}

#[test]
fn own_work_is_scaled_by_the_number_of_nodes() {
    let mut table = table(&[0, 0], Span::ZERO);
    table.record_load(NOW, UpstreamKey(0), load(4, NOW));
    table.start(NOW, UpstreamKey(1), 200);
    check(&mut UpstreamPicker::default(), &table, &REQUEST, |counts| counts[1] > 500);
    table.set_node_count(10);
    check(&mut UpstreamPicker::default(), &table, &REQUEST, |counts| counts[0] > 500);
}

#[test]
fn late_reports_are_smoothed_over_several_times_their_age() {
    let mut table = table(&[0], Span::ZERO);
    let upstream = UpstreamKey(0);
    table.record_load(NOW, upstream, load(0, NOW));
    let measured_at = NOW + Span::from_secs(2);
    table.record_load(measured_at + Span::from_secs(2), upstream, load(10, measured_at));
    // The reports differ by 2,000 tokens, with an interval of 2 s and a smoothing time of 8 s:
    // 2,000 * 2 / (2 + 8) tokens.
    assert_eq!(table.backlog(upstream), Some(400));
}
