//! Tests of upstreams that say in their responses that they are leaving.

use base::{Moment, Span, UpstreamKey, WeightVersion};
use dispatch::{
    EntryState, GenerationPickRequest, IdleConnections, ModelRequirement, PlainPickRequest,
    RemovalCause, RequestOrigin, UpstreamBalancer, UpstreamEntry, UpstreamLoad,
};
use rstest::rstest;

const NOW: Moment = Moment(10_000_000);

/// Number of picks of each kind after each change. Their jitter differs.
const PICKS: u64 = 40;

fn entry(id: &str, started_at_ms: Option<u64>) -> UpstreamEntry {
    UpstreamEntry {
        id: String::from(id),
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: String::from("a"),
        software_version: String::from("v1"),
        slots: 8,
        state: EntryState::Ready,
        warmup: Span::ZERO,
        versions: vec![(String::from("m"), WeightVersion(2))],
        started_at_ms,
        cheap: false,
        time_to_reclaim: None,
    }
}

/// Returns whether a request of any kind may be sent to the upstream: of a caller, the repeat of one
/// that was tried at all others, a suspect, the rest of a stream, a reward call, and an item.
fn is_picked(balancer: &UpstreamBalancer, now: Moment, upstream: UpstreamKey) -> bool {
    let connected: IdleConnections = [(upstream, 1)].into_iter().collect();
    let others: Vec<UpstreamKey> =
        balancer.usable_upstreams(now, "s").filter(|key| *key != upstream).collect();
    let plain = PlainPickRequest {
        service: "s",
        zone: "a",
        tried: &[],
        connected: &connected,
        suspect: false,
        origin: RequestOrigin::Caller,
        software_version: None,
        home: None,
        jitter_seed: 0,
    };
    let generation = GenerationPickRequest {
        service: "s",
        requirement: ModelRequirement { model: "m", min_version: WeightVersion(2) },
        software_version: Some("v1"),
        home: None,
        tried: &others,
        warm_engine: Some(upstream),
        connected: &connected,
        jitter_seed: 0,
    };
    let kinds = [
        plain,
        PlainPickRequest { tried: &others, ..plain },
        PlainPickRequest { suspect: true, ..plain },
        PlainPickRequest { software_version: Some("v1"), ..plain },
        PlainPickRequest { origin: RequestOrigin::Item, ..plain },
    ];
    (0..PICKS).any(|jitter_seed| {
        let generation = GenerationPickRequest { jitter_seed, ..generation };
        balancer.pick_generation(now, &generation) == Some(upstream)
            || kinds.iter().any(|kind| {
                let request = PlainPickRequest { jitter_seed, ..*kind };
                balancer.pick_plain(now, &request) == Some(upstream)
            })
    })
}

/// A lapse after which the upstream may be used for a second.
const LAPSED: RemovalCause = RemovalCause::Lapsed { until: Moment(NOW.0 + 1_000_000) };

/// Pattern: an upstream is leaving while the store is down or its entry still says that it is ready.
///
/// Guards against requests of any kind that are sent to it, also after its entry was written again or
/// lapsed with the store.
#[rstest]
#[case::entry_unchanged(&[])]
#[case::entry_written_again(&[Step::Update(Some(1))])]
#[case::entry_lapsed(&[Step::Remove(LAPSED)])]
#[case::entry_back_after_lapse(&[Step::Remove(LAPSED), Step::Update(Some(1))])]
#[case::entry_back_after_removal(&[Step::Remove(RemovalCause::Left), Step::Update(Some(1))])]
fn leaving_upstream_gets_no_requests(#[case] steps: &[Step]) {
    let mut balancer = UpstreamBalancer::default();
    let (upstream, _) = balancer.update(entry("u0", Some(1)));
    let (other, _) = balancer.update(entry("u1", Some(1)));
    assert!(is_picked(&balancer, NOW, upstream), "the upstream is picked while it stays");
    let process = balancer.entry(upstream).process();
    assert_eq!(balancer.record_leaving(process), Some(upstream));
    assert_eq!(balancer.record_leaving(process), None, "it was known to be leaving");
    for step in steps {
        step.apply(&mut balancer);
        assert!(!is_picked(&balancer, NOW, upstream), "picked after {step:?}");
    }
    assert!(!is_picked(&balancer, NOW, upstream));
    assert!(is_picked(&balancer, NOW, other));
    assert_eq!(balancer.occupancy(NOW, "s").0, 8, "its slots are no capacity");
}

/// Change of the entry of `u0` in the store.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// It says that the process that started then is ready.
    Update(Option<u64>),
    Remove(RemovalCause),
}

impl Step {
    fn apply(self, balancer: &mut UpstreamBalancer) {
        match self {
            Self::Update(started_at_ms) => {
                balancer.update(entry("u0", started_at_ms));
            }
            Self::Remove(cause) => {
                balancer.remove(NOW, "u0", cause);
            }
        }
    }
}

/// Guards against a new process that is never used because the one before it under the same
/// identifier was leaving.
#[rstest]
#[case::started_later(Some(1), &[Step::Update(Some(2))])]
#[case::start_unknown(None, &[Step::Remove(RemovalCause::Left), Step::Update(None)])]
fn next_process_under_the_identifier_gets_requests(
    #[case] started_at_ms: Option<u64>,
    #[case] steps: &[Step],
) {
    let mut balancer = UpstreamBalancer::default();
    let (upstream, _) = balancer.update(entry("u0", started_at_ms));
    balancer.record_leaving(balancer.entry(upstream).process());
    for step in steps {
        assert!(!is_picked(&balancer, NOW, upstream));
        step.apply(&mut balancer);
    }
    assert!(is_picked(&balancer, NOW, upstream));
}

/// Guards against a late response of an earlier process that takes its successor out of use.
#[test]
fn response_of_an_earlier_process_says_nothing_of_its_successor() {
    let mut balancer = UpstreamBalancer::default();
    let (upstream, _) = balancer.update(entry("u0", Some(1)));
    let earlier = balancer.entry(upstream).process();
    balancer.update(entry("u0", Some(2)));
    assert_eq!(balancer.record_leaving(earlier), None);
    assert!(is_picked(&balancer, NOW, upstream));
}

/// Guards against requests to a leaving process of which this node learned from another one before it
/// read the entry.
#[rstest]
#[case::new_upstream(None)]
#[case::restarted_upstream(Some(1))]
fn process_that_was_leaving_before_its_entry_is_known_gets_no_requests(
    #[case] known_process: Option<u64>,
) {
    let mut balancer = UpstreamBalancer::default();
    if known_process.is_some() {
        balancer.update(entry("u0", known_process));
    }
    let leaving = entry("u0", Some(2));
    assert_eq!(balancer.record_leaving(leaving.process()), None);
    let (upstream, _) = balancer.update(leaving);
    assert!(!is_picked(&balancer, NOW, upstream));
}

/// Guards against a request that waits, or that is sent to a leaving upstream, when all of them leave:
/// it has to be refused at once, since nothing can be picked.
#[test]
fn nothing_is_picked_when_all_upstreams_leave() {
    let mut balancer = UpstreamBalancer::default();
    let keys = ["u0", "u1", "u2"].map(|id| balancer.update(entry(id, Some(1))).0);
    for key in keys {
        balancer.record_leaving(balancer.entry(key).process());
    }
    assert!(keys.iter().all(|key| !is_picked(&balancer, NOW, *key)));
    assert!(!balancer.has_software(NOW, "s", "v1", None), "a stream cannot go on");
    assert_eq!(balancer.usable_upstreams(NOW, "s").count(), 0);
}

/// Pattern: another writer leaves entries with more slots than any upstream has, and an upstream
/// reports more requests than a counter holds.
///
/// Guards against sums that overflow: they end the process in builds with checks and wrap to a small
/// capacity in others.
#[test]
fn sums_do_not_overflow() {
    let mut balancer = UpstreamBalancer::default();
    for id in ["u0", "u1", "u2"] {
        let (upstream, _) =
            balancer.update(UpstreamEntry { slots: u32::MAX, ..entry(id, Some(1)) });
        let load = UpstreamLoad { running: u32::MAX, queued: u32::MAX, slots: u32::MAX };
        balancer.record_load_report(NOW, upstream, load);
        balancer.begin_request(NOW, upstream, RequestOrigin::Caller);
        assert!(balancer.occupancy(NOW, "s").0 == u32::MAX);
        assert!(balancer.unlimited_slots(NOW, "s") == u32::MAX);
        is_picked(&balancer, NOW, upstream);
    }
}
