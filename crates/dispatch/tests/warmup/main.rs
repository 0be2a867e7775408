//! Nodes that divide what cold upstreams bear, in virtual time.

mod cluster;

use base::{Incarnation, Moment, NodeDigest, ProcessDigest, RequestRate, Span};
use cluster::{Cluster, Fault, WARMUP, entry};
use dispatch::{LimitDemand, LimitShares, NodeClaims, RemovalCause, UpstreamBalancer, WarmupLimit};
use rstest::rstest;

/// Requests that a cold upstream may get in any second: `warmup_per_s` x 1.5 + 5.
const MAX_PER_SECOND: usize = 29;

/// Checks the bound at each upstream, and returns the requests that each got.
fn check_bound(cluster: &Cluster) -> Vec<usize> {
    for arrivals in &cluster.arrivals {
        let mut arrivals = arrivals.clone();
        arrivals.sort_unstable();
        for (index, start) in arrivals.iter().enumerate() {
            let end = arrivals.partition_point(|at| *at < *start + Span::from_secs(1));
            let requests = end - index;
            assert!(requests <= MAX_PER_SECOND, "{requests} requests in the second from {start:?}");
        }
    }
    cluster.arrivals.iter().map(Vec::len).collect()
}

/// Guards against nodes that together send a cold upstream more than it bears when all upstreams of a
/// zone return at once, or next to nothing, whatever happens to the log and the nodes meanwhile.
#[rstest]
fn zone_that_returns_gets_what_it_bears(
    #[values(
        Fault::None,
        Fault::LogAway,
        Fault::LogAwayAfterClaims,
        Fault::CutNodes,
        Fault::LateLearners,
        Fault::SlowReads,
        Fault::DeadHolders,
        Fault::RestartedNodes
    )]
    fault: Fault,
    #[values(1, 13)] upstreams: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut cluster = Cluster::new(vec![10.0; 60], upstreams, seed);
    cluster.restart_upstreams(fault);
    cluster.run(Span::from_millis(500));
    let early = check_bound(&cluster);
    assert!(early.iter().sum::<usize>() >= upstreams, "too few before the first claims: {early:?}");
    cluster.run(Span::from_millis(2_500));
    let served: usize = check_bound(&cluster).iter().sum();
    assert!(cluster.refused > 0, "the demand is below what the upstreams bear");
    if fault == Fault::None {
        // As for named limits, half of what is divided has to be used.
        let possible = (WARMUP.rate.per_second() / 2.0 * 3.0) as usize * upstreams;
        assert!(served * 2 >= possible, "{served} requests of {possible}");
    }
}

const PROCESS: ProcessDigest = ProcessDigest(1);

/// A node that has read its own record and those of others without claims.
fn member(now: Moment, others: std::ops::Range<u64>) -> LimitShares {
    let mut shares = LimitShares::new(NodeDigest(0), Incarnation(1));
    shares.begin_full_read(now, |_| true, |_| true);
    let record = shares.update(now, true, |_| LimitDemand::default());
    shares.apply_claims(now, NodeDigest(0), record);
    for node in others {
        let claims = NodeClaims { incarnation: Incarnation(1), sequence: 1, claims: Vec::new() };
        shares.apply_claims(now, NodeDigest(node), Some(claims));
    }
    shares
}

/// Guards against a response without a limit that lifts the limit of a cold upstream, against a named
/// limit that raises it, and against a limit that outlasts the cold time.
#[rstest]
#[case::named_none(None, 8_000)]
#[case::named_higher(Some(RequestRate(30_000)), 8_000)]
#[case::named_lower(Some(RequestRate(2_000)), 2_000)]
fn lower_limit_applies(#[case] named: Option<RequestRate>, #[case] expected: u64) {
    let now = Moment(5_000_000);
    let until = now + WARMUP.duration;
    let mut shares = member(now, 1..3);
    let limit = WarmupLimit { rate: RequestRate(8_000), until };
    assert!(shares.set_warmup(now, PROCESS, Some(limit)));
    shares.observe(now, now, PROCESS, named);
    let limit_at = |at| shares.share(at, PROCESS).map(|share| share.limit);
    assert_eq!(limit_at(now), Some(RequestRate(expected)));
    assert_eq!(limit_at(until), named);
    assert_eq!(
        shares.take_unsent_limits().values().copied().collect::<Vec<_>>().len(),
        usize::from(named.is_some())
    );
}

/// Guards against nodes that each take what is divided without claims for themselves, since they
/// have forgotten each other in a long outage of the log or know nobody yet.
#[test]
fn nodes_know_each_other_after_an_outage() {
    let mut now = Moment(5_000_000);
    let mut shares = member(now, 1..60);
    now += Span::from_secs(1);
    shares.update(now, false, |_| LimitDemand::default());
    now += Span::from_secs(300);
    shares.update(now, true, |_| LimitDemand::default());
    assert_eq!(shares.node_count(), 60);
    let mut fresh = LimitShares::new(NodeDigest(0), Incarnation(2));
    let limit = WarmupLimit { rate: RequestRate(8_000), until: now + WARMUP.duration };
    fresh.set_warmup(now, PROCESS, Some(limit));
    assert_eq!(fresh.share(now, PROCESS).unwrap().rate(), RequestRate::ZERO);
}

/// Guards against an upstream that returns after its removal and gets the requests of a warm one, and
/// against one that is spared for longer than it says.
#[rstest]
#[case::returned(true, 0, None, Some(3_000))]
#[case::returned_with_a_shorter_time(true, 1_000, None, Some(1_000))]
#[case::returned_and_says_it_is_warm(true, 0, Some(0), None)]
#[case::unchanged(false, 0, None, None)]
#[case::cold_once_more(false, 2_000, Some(2_500), Some(2_500))]
fn returned_upstream_is_cold(
    #[case] removed: bool,
    #[case] entry_ms: u64,
    #[case] response_ms: Option<u64>,
    #[case] expected_ms: Option<u64>,
) {
    let now = Moment(5_000_000);
    let mut balancer = UpstreamBalancer::default();
    balancer.set_warmups([(String::from("s"), WARMUP)].into());
    balancer.update(entry(0, 1, Span::ZERO));
    if removed {
        balancer.remove(now, "e0", RemovalCause::Left);
    }
    let (upstream, _) = balancer.update(entry(0, 1, Span::from_millis(entry_ms)));
    balancer.record_entry_warmup(now, upstream);
    if let Some(remaining) = response_ms {
        balancer.record_cold_time(now, upstream, Span::from_millis(remaining));
    }
    let limit = balancer.warmup_limit(now, upstream);
    assert_eq!(limit.map(|limit| limit.until.since(now)), expected_ms.map(Span::from_millis));
    balancer.set_warmups([].into());
    assert!(balancer.warmup_limit(now, upstream).is_none(), "the service has no warm-up");
}
