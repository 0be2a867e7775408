//! Tests of the choice of upstreams under load and failures.

use base::{Moment, RequestRate, Span, UpstreamKey, WeightVersion};
use dispatch::{
    EntryState, ExchangeOutcome, GenerationPickRequest, IdleConnections, LimitShare,
    ModelRequirement, PlainPickRequest, RemovalCause, RequestOrigin, UpstreamBalancer,
    UpstreamEntry, UpstreamLoad,
};
use rstest::rstest;

const NOW: Moment = Moment(10_000_000);

static NO_CONNECTIONS: IdleConnections = IdleConnections::new();

fn entry(id: &str, slots: u32) -> UpstreamEntry {
    UpstreamEntry {
        id: String::from(id),
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: String::from("a"),
        software_version: String::from("v1"),
        slots,
        state: EntryState::Ready,
        warmup: Span::ZERO,
        versions: vec![(String::from("m"), WeightVersion(2))],
        started_at_ms: Some(1),
        cheap: false,
        time_to_reclaim: None,
    }
}

fn balancer(count: usize, slots: u32) -> (UpstreamBalancer, Vec<UpstreamKey>) {
    let mut balancer = UpstreamBalancer::default();
    let keys = (0..count).map(|index| balancer.update(entry(&format!("u{index}"), slots)).0);
    let keys = keys.collect();
    (balancer, keys)
}

fn generation_request<'a>(jitter_seed: u64, tried: &'a [UpstreamKey]) -> GenerationPickRequest<'a> {
    let requirement = ModelRequirement { model: "m", min_version: WeightVersion(2) };
    GenerationPickRequest {
        service: "s",
        requirement,
        software_version: None,
        home: None,
        tried,
        warm_engine: None,
        connected: &NO_CONNECTIONS,
        jitter_seed,
    }
}

fn plain_request<'a>(jitter_seed: u64, tried: &'a [UpstreamKey]) -> PlainPickRequest<'a> {
    PlainPickRequest {
        service: "s",
        zone: "a",
        tried,
        connected: &NO_CONNECTIONS,
        suspect: false,
        origin: RequestOrigin::Caller,
        software_version: None,
        home: None,
        jitter_seed,
    }
}

/// Pattern: a submission of 72 items arrives at nine engines with 8 slots, one at half the speed.
///
/// Guards against slots that stay empty, engines that get more items than they have slots, and a
/// slow engine that is filled first.
#[test]
fn items_of_a_submission_fill_all_slots_fast_engines_first() {
    let (mut balancer, keys) = balancer(9, 8);
    for key in &keys {
        let time = if *key == keys[0] { 60 } else { 30 };
        balancer.record_event_interval(*key, Span::from_millis(time));
    }
    let mut loads = vec![0; 9];
    for jitter_seed in 0..72 {
        let picked = balancer.pick_generation(NOW, &generation_request(jitter_seed, &[])).unwrap();
        balancer.begin_request(NOW, picked, RequestOrigin::Caller);
        loads[picked.0 as usize] += 1;
        if jitter_seed == 63 {
            assert_eq!(
                loads[0], 0,
                "the slow engine got items before the others were full: {loads:?}"
            );
        }
    }
    assert_eq!(loads, vec![8; 9]);
    assert_eq!(balancer.pick_generation(NOW, &generation_request(99, &[])), None);
}

/// Pattern: a zone is cut off, its connections are reset, and items are waiting.
///
/// Guards against sending a waiting item every 25 ms to an engine that refuses connections; 4,885
/// runs once failed to start that way.
#[test]
fn unreachable_engine_gets_few_runs_while_suspended() {
    let (mut balancer, keys) = balancer(1, 8);
    let mut runs = 0;
    for step in 0..400 {
        let now = NOW + Span::from_millis(step * 25);
        if let Some(picked) = balancer.pick_generation(now, &generation_request(step, &[])) {
            balancer.begin_request(NOW, picked, RequestOrigin::Caller);
            balancer.finish_request(now, picked, ExchangeOutcome::TransportError);
            runs += 1;
        }
    }
    assert!(runs <= 8, "{runs} runs were sent to the unreachable engine in 10 s");
    assert_eq!(balancer.entry(keys[0]).id, "u0");
}

/// Pattern: the runs of an engine succeed, but for one in a while.
///
/// Guards against suspensions that only grow in the life of an engine that runs nothing but generations:
/// when the connections to all engines failed at once, items waited 4 s for the first of them.
#[rstest]
#[case::runs_succeed_in_between(ExchangeOutcome::Completed, 250)]
#[case::runs_are_cancelled_in_between(ExchangeOutcome::Cancelled, 4_000)]
fn success_of_a_generation_shortens_the_next_suspension(
    #[case] between: ExchangeOutcome,
    #[case] suspended_ms: u64,
) {
    let (mut balancer, keys) = balancer(1, 8);
    let mut now = NOW;
    for outcome in [ExchangeOutcome::TimedOut, between].repeat(6) {
        now += Span::from_secs(10);
        balancer.begin_request(now, keys[0], RequestOrigin::Item);
        balancer.finish_request(now, keys[0], outcome);
    }
    now += Span::from_secs(10);
    balancer.begin_request(now, keys[0], RequestOrigin::Item);
    balancer.finish_request(now, keys[0], ExchangeOutcome::TimedOut);
    let end = now + Span::from_millis(suspended_ms);
    assert!(balancer.is_suspended(now + Span::from_millis(suspended_ms - 1), keys[0]));
    assert!(!balancer.is_suspended(end, keys[0]));
}

/// Pattern: all engines load two models in turn.
///
/// Guards against an engine that is excluded for all of its models while it loads one.
#[test]
fn engine_that_loads_one_model_serves_others() {
    let mut engine = entry("u0", 8);
    engine.versions.push((String::from("other"), WeightVersion(2)));
    let mut balancer = UpstreamBalancer::default();
    let (key, _) = balancer.update(engine);
    balancer.record_generation_refusal(NOW, key, "m");
    assert_eq!(balancer.pick_generation(NOW, &generation_request(1, &[])), None);
    let requirement = ModelRequirement { model: "other", min_version: WeightVersion(2) };
    let request = GenerationPickRequest { requirement, ..generation_request(1, &[]) };
    assert_eq!(balancer.pick_generation(NOW, &request), Some(key));
}

/// Guards against tokens of a version that is too old for the step.
#[rstest]
#[case(2, true)]
#[case(3, false)]
fn check_version(#[case] min_version: u64, #[case] accepted: bool) {
    let (balancer, keys) = balancer(1, 8);
    let requirement = ModelRequirement { model: "m", min_version: WeightVersion(min_version) };
    assert_eq!(balancer.accepts(NOW, keys[0], requirement), accepted);
}

/// Pattern: live callers of this node share a plain service with bursts of reward calls from
/// another node.
///
/// Guards against a choice that ignores the load reports of upstreams.
#[test]
fn upstream_with_reported_load_is_passed_over() {
    let (mut balancer, keys) = balancer(3, 6);
    for key in &keys[..2] {
        balancer.record_load_report(NOW, *key, UpstreamLoad { running: 6, queued: 6, slots: 6 });
    }
    for jitter_seed in 0..50 {
        assert_eq!(balancer.pick_plain(NOW, &plain_request(jitter_seed, &[])), Some(keys[2]));
    }
}

/// Pattern: an upstream fails two of five requests while its health check passes.
///
/// Guards against a failing upstream that gets as many requests as the others.
#[test]
fn failing_upstream_gets_fewer_requests() {
    let (mut balancer, keys) = balancer(3, 6);
    for key in &keys {
        for turn in 0..20 {
            balancer.begin_request(NOW, *key, RequestOrigin::Caller);
            let failed = *key == keys[0] && turn % 5 < 2;
            let answered = ExchangeOutcome::Answered(Span::from_millis(25));
            balancer.finish_request(
                NOW,
                *key,
                if failed { ExchangeOutcome::ServerError } else { answered },
            );
        }
    }
    let picked = (0..300).filter(|jitter_seed| {
        balancer.pick_plain(NOW, &plain_request(*jitter_seed, &[])) == Some(keys[0])
    });
    assert!(picked.count() < 10);
}

/// Guards against a retry on the upstream where the request failed while others are available, and
/// against a refusal although the only upstreams left are usable.
#[test]
fn tried_upstream_is_used_only_as_a_last_resort() {
    let (balancer, keys) = balancer(2, 6);
    assert_eq!(balancer.pick_plain(NOW, &plain_request(1, &[keys[0]])), Some(keys[1]));
    assert!(balancer.pick_plain(NOW, &plain_request(1, &keys)).is_some());
}

/// Pattern: zones are cut off from each other without connection errors, while requests run in all
/// of them.
///
/// Guards against a retry in the zone that did not answer the first attempt, where both attempts go
/// to an unreachable zone.
#[test]
fn retry_goes_to_another_zone() {
    let mut balancer = UpstreamBalancer::default();
    let mut keys = Vec::new();
    for (id, zone) in [("a1", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")] {
        keys.push(balancer.update(UpstreamEntry { zone: String::from(zone), ..entry(id, 6) }).0);
    }
    balancer.record_load_report(NOW, keys[0], UpstreamLoad { running: 5, queued: 0, slots: 6 });
    for jitter_seed in 0..50 {
        assert_eq!(
            balancer.pick_plain(NOW, &plain_request(jitter_seed, &[keys[1]])),
            Some(keys[0])
        );
    }
}

/// Guards against requests that are sent to another zone while their own has free slots, and
/// against ones that stay in it when it is busy.
#[rstest]
#[case(0, true)]
#[case(5, false)]
fn check_own_zone(#[case] running: u32, #[case] stays: bool) {
    let mut balancer = UpstreamBalancer::default();
    let (own, _) = balancer.update(entry("a1", 6));
    balancer.update(UpstreamEntry { zone: String::from("b"), ..entry("b1", 6) });
    balancer.record_load_report(NOW, own, UpstreamLoad { running, queued: 0, slots: 6 });
    let picked = (0..100).filter(|jitter_seed| {
        balancer.pick_plain(NOW, &plain_request(*jitter_seed, &[])) == Some(own)
    });
    let own_share = picked.count();
    assert!(
        if stays { own_share > 90 } else { own_share < 40 },
        "{own_share} of 100 requests stayed in their zone"
    );
}

/// A lapse after which the upstream is used for 2.2 s.
const LAPSED: RemovalCause = RemovalCause::Lapsed { until: Moment(NOW.0 + 2_200_000) };

/// Guards against new requests for an upstream whose entry was removed, and against refusing all
/// requests when all entries lapse because the store is down.
#[rstest]
#[case(RemovalCause::Left, 0, false)]
#[case(LAPSED, 2_000, true)]
#[case(LAPSED, 2_300, false)]
fn check_removed_entry(#[case] cause: RemovalCause, #[case] after_ms: u64, #[case] usable: bool) {
    let (mut balancer, keys) = balancer(1, 6);
    balancer.remove(NOW, "u0", cause);
    let now = NOW + Span::from_millis(after_ms);
    assert_eq!(balancer.is_usable(now, keys[0]), usable);
    balancer.update(entry("u0", 6));
    assert!(
        balancer.is_usable(now, keys[0]),
        "an upstream whose entry has come back must be usable"
    );
}

/// Guards against new requests for a draining upstream.
#[test]
fn draining_upstream_gets_no_requests() {
    let (mut balancer, _) = balancer(1, 6);
    balancer.update(UpstreamEntry { state: EntryState::Draining, ..entry("u0", 6) });
    assert_eq!(balancer.pick_plain(NOW, &plain_request(1, &[])), None);
    assert_eq!(balancer.pick_generation(NOW, &generation_request(1, &[])), None);
}

/// Pattern: an engine becomes three times slower during long runs.
///
/// Guards against runs that stay on the slow engine, and against runs that migrate for a small
/// gain.
#[rstest]
#[case::much_slower(90, 5, true)]
#[case::slower_with_little_left(66, 20, false)]
#[case::slower_with_much_left(66, 60, true)]
#[case::about_as_fast(36, 120, false)]
fn check_migration(#[case] slow_ms: u64, #[case] remaining_events: u64, #[case] migrates: bool) {
    let (mut balancer, keys) = balancer(2, 8);
    balancer.record_event_interval(keys[0], Span::from_millis(slow_ms));
    balancer.record_event_interval(keys[1], Span::from_millis(30));
    assert_eq!(balancer.should_migrate(NOW, keys[0], keys[1], remaining_events), migrates);
}

/// Pattern: a request crashes its upstream and is sent again while others run.
///
/// Guards against a crashing request that also fails the requests beside which it runs.
#[test]
fn suspect_request_goes_to_an_idle_upstream() {
    let (mut balancer, keys) = balancer(3, 8);
    balancer.begin_request(NOW, keys[0], RequestOrigin::Caller);
    balancer.begin_request(NOW, keys[1], RequestOrigin::Caller);
    for jitter_seed in 0..32 {
        let request =
            PlainPickRequest { suspect: true, zone: "b", ..plain_request(jitter_seed, &[]) };
        assert_eq!(balancer.pick_plain(NOW, &request), Some(keys[2]));
    }
}

/// Guards against a choice of an upstream whose limit leaves this node no token, and against one
/// that is never chosen again.
#[test]
fn limited_upstream_is_picked_only_with_a_token() {
    let (mut balancer, keys) = balancer(2, 8);
    balancer.set_limit_share(NOW, keys[0], Some(share(RequestRate::ONE)));
    for jitter_seed in 0..20 {
        assert_eq!(balancer.pick_plain(NOW, &plain_request(jitter_seed, &[])), Some(keys[1]));
    }
    balancer.set_limit_share(NOW, keys[1], Some(share(RequestRate::ZERO)));
    assert_eq!(balancer.pick_plain(NOW, &plain_request(1, &[])), None);
    assert_eq!(balancer.pick_generation(NOW, &generation_request(1, &[])), None);
    let later = NOW + Span::from_secs(1);
    assert_eq!(balancer.pick_plain(later, &plain_request(1, &[])), Some(keys[0]));
    balancer.begin_request(later, keys[0], RequestOrigin::Caller);
    assert_eq!(balancer.pick_plain(later, &plain_request(1, &[])), None);
    balancer.set_limit_share(later, keys[1], None);
    assert_eq!(balancer.pick_plain(later, &plain_request(1, &[])), Some(keys[1]));
}

fn share(claimed: RequestRate) -> LimitShare {
    LimitShare { claimed, entitled: claimed, ..LimitShare::default() }
}

/// Guards against callers that all return at the same time, or never, when limits refuse them, and
/// against long waits because another node holds the tokens at the moment.
#[rstest]
#[case::node_with_tokens(4_000)]
#[case::node_without_tokens(0)]
fn refused_callers_return_in_their_order(#[case] claimed: u64) {
    let (mut balancer, keys) = balancer(1, 8);
    assert_eq!(balancer.record_limited(NOW, "s", RequestOrigin::Caller, None), None);
    let entitled = RequestRate(4_000);
    let limit_share = LimitShare { claimed: RequestRate(claimed), entitled, ..Default::default() };
    balancer.set_limit_share(NOW, keys[0], Some(limit_share));
    let refuse = |balancer: &mut UpstreamBalancer| {
        balancer.record_limited(NOW, "s", RequestOrigin::Caller, None).unwrap().as_millis()
    };
    let returns: Vec<u64> = (0..20).map(|_| refuse(&mut balancer)).collect();
    assert_eq!(returns[..4], [250, 500, 750, 1_000]);
    assert_eq!(returns[19], 3_000);
}

/// Guards against items that take the tokens of refused callers, and against items that get none.
#[test]
fn items_leave_scarce_tokens_to_callers() {
    let (mut balancer, keys) = balancer(1, 8);
    balancer.set_limit_share(NOW, keys[0], Some(share(RequestRate::ONE)));
    let item = PlainPickRequest { origin: RequestOrigin::Item, ..plain_request(1, &[]) };
    let mut now = NOW + Span::from_secs(1);
    assert_eq!(balancer.pick_plain(now, &item), Some(keys[0]));
    let mut item_tokens = 0;
    for _ in 0..12 {
        balancer.record_limited(now, "s", RequestOrigin::Caller, None);
        let origin = if balancer.pick_plain(now, &item).is_some() {
            item_tokens += 1;
            RequestOrigin::Item
        } else {
            RequestOrigin::Caller
        };
        balancer.begin_request(now, keys[0], origin);
        now += Span::from_secs(1);
    }
    assert_eq!(item_tokens, 3);
}

/// Guards against a limit of an upstream that also holds for its next process.
#[test]
fn limit_ends_with_the_process() {
    let (mut balancer, keys) = balancer(1, 8);
    let process = balancer.entry(keys[0]).process();
    balancer.set_limit_share(NOW, keys[0], Some(share(RequestRate::ZERO)));
    assert_eq!(balancer.pick_plain(NOW, &plain_request(1, &[])), None);
    let restarted = UpstreamEntry { started_at_ms: Some(99), ..balancer.entry(keys[0]).clone() };
    balancer.update(restarted);
    assert_eq!(balancer.pick_plain(NOW, &plain_request(1, &[])), Some(keys[0]));
    assert_eq!(balancer.upstream_of(process), None);
}

/// Guards against a text that is continued by an engine of another software version, which is the
/// faster one, or the only one with a free slot.
#[test]
fn continued_text_keeps_its_software_version() {
    let (mut balancer, keys) = balancer(1, 1);
    let newer = UpstreamEntry { software_version: String::from("v2"), ..entry("newer", 8) };
    let newer = balancer.update(newer).0;
    balancer.record_event_interval(keys[0], Span::from_millis(90));
    balancer.record_event_interval(newer, Span::from_millis(3));
    let continued = |jitter_seed, version| {
        let request = generation_request(jitter_seed, &[]);
        GenerationPickRequest { software_version: Some(version), ..request }
    };
    for jitter_seed in 0..20 {
        let pick = |request| balancer.pick_generation(NOW, &request);
        assert_eq!(pick(generation_request(jitter_seed, &[])), Some(newer));
        assert_eq!(pick(continued(jitter_seed, "v1")), Some(keys[0]));
        assert_eq!(pick(continued(jitter_seed, "v3")), None);
    }
    balancer.begin_request(NOW, keys[0], RequestOrigin::Item);
    assert_eq!(balancer.pick_generation(NOW, &continued(1, "v1")), None);
    assert!(balancer.has_software(NOW, "s", "v1", None));
    balancer.remove(NOW, "u0", RemovalCause::Left);
    assert!(!balancer.has_software(NOW, "s", "v1", None));
}

/// Guards against a resumed stream that goes on at another software version, for want of others.
#[test]
fn resumed_stream_keeps_its_software_version() {
    let (mut balancer, keys) = balancer(1, 8);
    let newer = UpstreamEntry { software_version: String::from("v2"), ..entry("newer", 8) };
    let newer = balancer.update(newer).0;
    let pick = |balancer: &UpstreamBalancer, jitter_seed, version| {
        let request = plain_request(jitter_seed, &[]);
        let request = PlainPickRequest { software_version: Some(version), ..request };
        balancer.pick_plain(NOW, &request)
    };
    for jitter_seed in 0..20 {
        assert_eq!(pick(&balancer, jitter_seed, "v1"), Some(keys[0]));
        assert_eq!(pick(&balancer, jitter_seed, "v2"), Some(newer));
        assert_eq!(pick(&balancer, jitter_seed, "v3"), None);
    }
    balancer.remove(NOW, "u0", RemovalCause::Left);
    assert_eq!(pick(&balancer, 1, "v1"), None);
}
