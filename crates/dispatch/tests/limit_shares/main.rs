//! Nodes that divide the limits of upstreams through a log, in virtual time.

mod cluster;

use base::{Incarnation, Moment, NodeDigest, ProcessDigest, RequestRate, Span};
use cluster::{Cluster, ClusterOptions, Fault};
use dispatch::{LimitClaim, LimitDemand, LimitShares, NodeClaims, RequestBucket, WantedRate};
use rstest::rstest;

/// Time after which all nodes must keep to a limit.
const SETTLE_TIME: Span = Span::from_secs(3);

/// Time over which the requests of an upstream are counted.
const WINDOW: Span = Span::from_secs(4);

/// Interval between probes of a limit that no response names.
const PROBE_PERIOD: Span = Span::from_secs(4);

const fn rate(milli_requests: u64) -> RequestRate {
    RequestRate(milli_requests)
}

/// Rate of requests of callers, in thousandths of a request per second.
fn callers(milli_requests: u64) -> WantedRate {
    WantedRate { callers: rate(milli_requests), items: RequestRate::ZERO }
}

/// Rate of requests of items, in thousandths of a request per second.
fn items(milli_requests: u64) -> WantedRate {
    WantedRate { callers: RequestRate::ZERO, items: rate(milli_requests) }
}

const fn demand(wanted: WantedRate) -> LimitDemand {
    LimitDemand { service: 1, wanted }
}

/// Checks that a limited upstream gets at most one and a half times the requests that its limit
/// allows and five more in any [`WINDOW`], and returns the requests in the whole time.
fn check_limit(cluster: &Cluster, limit: RequestRate, from: Moment, until: Moment) -> usize {
    let arrivals: Vec<Moment> =
        cluster.arrivals.iter().copied().filter(|at| (from..until).contains(at)).collect();
    let allowed = (limit.per_second() * WINDOW.as_secs_f64() * 1.5) as usize + 5;
    for (index, start) in arrivals.iter().enumerate() {
        let end = arrivals.partition_point(|at| *at < *start + WINDOW);
        let requests = end - index;
        assert!(
            requests <= allowed,
            "{requests} requests within {WINDOW:?} from {start:?}; {allowed} are allowed at {limit:?}"
        );
    }
    arrivals.len()
}

/// Guards against nodes whose requests together exceed a limit, or use only a small part of it,
/// whatever their number, the size of the limit, and how the demand is spread.
#[rstest]
fn requests_keep_to_the_limit(
    #[values(3, 11, 88, 320)] nodes: usize,
    #[values(0, 700, 2_900, 21_000)] limit: u64,
    #[values(1, 2)] seed: u64,
) {
    let limit = rate(limit);
    let mut cluster = Cluster::new(ClusterOptions { nodes, seed, ..ClusterOptions::default() });
    cluster.run(Span::from_secs(6));
    let named_at = cluster.now();
    cluster.set_limit(Some(limit));
    cluster.run(Span::from_secs(30));
    let from = named_at + SETTLE_TIME;
    let served = check_limit(&cluster, limit, from, cluster.now());
    let possible = limit.per_second() * 27.0;
    assert!(served as f64 >= possible * 0.5, "{served} requests of {possible} were sent");
    assert!(served as f64 <= possible * 1.05 + 8.0, "{served} requests of {possible} were sent");
}

/// Guards against requests above the limit while nodes cannot reach the log, restart without what
/// they knew, read late, or all of that, and against a limit that is used no more afterwards.
#[rstest]
fn requests_keep_to_the_limit_under_faults(
    #[values(
        Fault::Outage,
        Fault::LongOutage,
        Fault::CutNodes,
        Fault::Restarts,
        Fault::SlowReads,
        Fault::LostAppends,
        Fault::LateAppends,
        Fault::Series
    )]
    fault: Fault,
    #[values(11, 88)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let limit = rate(8_000);
    let mut cluster = Cluster::new(ClusterOptions { nodes, seed, ..ClusterOptions::default() });
    cluster.run(Span::from_secs(3));
    let named_at = cluster.now();
    cluster.set_limit(Some(limit));
    cluster.run(Span::from_secs(6));
    cluster.inject(fault);
    cluster.run(Span::from_secs(40));
    check_limit(&cluster, limit, named_at + SETTLE_TIME, cluster.now());
    let recovered_at = cluster.now();
    cluster.run(Span::from_secs(10));
    let served = check_limit(&cluster, limit, recovered_at, cluster.now());
    assert!(served >= 40, "{served} requests in 10 s after the fault; 80 are possible");
}

/// Guards against a limit that is named during an outage of the log and that nodes then exceed.
#[rstest]
fn limit_named_during_an_outage_is_kept(#[values(11, 88)] nodes: usize) {
    let limit = rate(20_000);
    let options = ClusterOptions { nodes, seed: 4, ..ClusterOptions::default() };
    let mut cluster = Cluster::new(options);
    cluster.run(Span::from_secs(3));
    cluster.inject(Fault::Outage);
    let named_at = cluster.now();
    cluster.set_limit(Some(limit));
    cluster.run(Span::from_secs(8));
    let served = check_limit(&cluster, limit, named_at + SETTLE_TIME, cluster.now());
    assert!(served > 5, "the guaranteed rates are not used: {served} requests");
}

/// Guards against shares that keep to an old limit after the upstream names another one or none.
#[rstest]
#[case::lower(Some(rate(3_000)))]
#[case::higher(Some(rate(30_000)))]
#[case::lifted(None)]
fn limit_changes(#[case] next: Option<RequestRate>, #[values(11, 88)] nodes: usize) {
    let mut cluster =
        Cluster::new(ClusterOptions { nodes, demand_per_second: 200.0, ..Default::default() });
    cluster.set_limit(Some(rate(10_000)));
    cluster.run(Span::from_secs(12));
    let changed_at = cluster.now();
    cluster.set_limit(next);
    cluster.run(Span::from_secs(12));
    let from = changed_at + SETTLE_TIME;
    match next {
        Some(limit) => {
            let served = check_limit(&cluster, limit, from, cluster.now());
            let possible = limit.per_second() * 9.0;
            assert!(served as f64 >= possible * 0.5, "{served} requests of {possible} were sent");
        }
        None => {
            let served = cluster.arrivals.iter().filter(|at| **at >= from).count();
            assert!(served > 1_000, "{served} requests in 9 s after the limit was lifted");
        }
    }
}

/// Guards against two nodes that use the same part of a limit because each claimed it before it
/// read the other's claim.
#[test]
fn claim_is_used_only_as_far_as_earlier_claims_leave_room() {
    let process = ProcessDigest(1);
    let limit = rate(1_000);
    let mut nodes = [7, 8].map(|node| LimitShares::new(NodeDigest(node), Incarnation(node)));
    let mut now = Moment(1_000_000);
    for node in &mut nodes {
        node.begin_full_read(now, |_| true, |_| true);
        node.apply_limit(now, process, Some(limit));
    }
    now += Span::from_secs(1);
    // Neither has read what the other wants, so both claim all but the guaranteed part.
    let records: Vec<NodeClaims> = nodes
        .iter_mut()
        .map(|node| node.update(now, true, |_| demand(callers(5_000))).unwrap())
        .collect();
    assert!(records.iter().all(|record| record.claims[0].claimed == rate(800)));
    for node in &mut nodes {
        for (digest, record) in [7, 8].into_iter().zip(&records) {
            node.apply_claims(now, NodeDigest(digest), Some(record.clone()));
        }
    }
    let used: u64 = nodes.iter().map(|node| node.share(now, process).unwrap().rate().0).sum();
    assert_eq!(used, limit.0);
}

/// Claims that nodes with these demands hold of upstreams with equal limits after some rounds, in
/// which each node reads all records, one row for each node.
fn settled_claims(
    wanted: &[WantedRate],
    upstreams: std::ops::Range<u64>,
    limit: RequestRate,
) -> Vec<Vec<RequestRate>> {
    let mut now = Moment(1_000_000);
    let mut nodes: Vec<LimitShares> = (0..wanted.len() as u64)
        .map(|node| LimitShares::new(NodeDigest(node * 0x1234_5679), Incarnation(node)))
        .collect();
    for node in &mut nodes {
        node.begin_full_read(now, |_| true, |_| true);
        for process in upstreams.clone() {
            node.apply_limit(now, ProcessDigest(process), Some(limit));
        }
    }
    for _ in 0..40 {
        now += Span::from_millis(500);
        for index in 0..nodes.len() {
            let Some(record) = nodes[index].update(now, true, |_| demand(wanted[index])) else {
                continue;
            };
            let writer = nodes[index].node();
            for node in &mut nodes {
                node.apply_claims(now, writer, Some(record.clone()));
            }
        }
    }
    let claims = nodes.iter().map(|node| {
        let processes = upstreams.clone().map(ProcessDigest);
        processes.map(|process| node.share(now, process).unwrap().claimed).collect()
    });
    claims.collect()
}

/// Guards against a node whose items take the shares of all small limits, so that the other nodes
/// refuse every caller, and against items that get nothing.
#[rstest]
#[case::scarce(1_000, 0.6..0.9)]
#[case::ample(8_000, 0.15..0.4)]
fn callers_have_shares_before_items(
    #[case] limit: u64,
    #[case] expected_part: std::ops::Range<f64>,
) {
    let mut wanted = vec![callers(1_000); 9];
    wanted.push(items(30_000));
    let (mut for_callers, mut all) = (0, 0);
    for first in 0..10 {
        let upstreams = first * 8..first * 8 + 8;
        let claims = settled_claims(&wanted, upstreams, rate(limit));
        let sums = claims.iter().map(|row| row.iter().map(|claim| claim.0).sum::<u64>());
        let sums: Vec<u64> = sums.collect();
        let holders = sums.iter().filter(|sum| **sum > 0).count();
        assert!(holders >= 4, "only {holders} nodes have a share: {sums:?}");
        for_callers += sums[..9].iter().sum::<u64>();
        all += sums.iter().sum::<u64>();
    }
    let part = for_callers as f64 / all as f64;
    assert!(expected_part.contains(&part), "callers have {part} of the shares");
}

/// Guards against an overflow when an upstream names a limit far beyond any demand.
#[test]
fn highest_limit_is_divided() {
    let process = ProcessDigest(1);
    let mut shares = LimitShares::new(NodeDigest(7), Incarnation(1));
    let now = Moment(5_000_000);
    shares.begin_full_read(now, |_| true, |_| true);
    shares.apply_limit(Moment(0), process, Some(RequestRate::MAX));
    let claim = |claimed| LimitClaim {
        process,
        wanted: callers(RequestRate::MAX.0),
        claimed,
        is_seen: true,
    };
    for node in 8..16 {
        let claims = vec![claim(rate(1_000))];
        let record = NodeClaims { incarnation: Incarnation(node), sequence: 1, claims };
        shares.apply_claims(now, NodeDigest(node), Some(record));
    }
    let record = shares.update(now, true, |_| demand(callers(RequestRate::MAX.0))).unwrap();
    let claimed = record.claims[0].claimed;
    assert!(claimed > RequestRate(RequestRate::MAX.0 / 20) && claimed < RequestRate::MAX);
}

/// Guards against a claim that a node uses after the others count it as free.
#[test]
fn claim_ends_with_its_lease() {
    let process = ProcessDigest(1);
    let me = NodeDigest(7);
    let mut shares = LimitShares::new(me, Incarnation(1));
    let sent_at = Moment(5_000_000);
    shares.begin_full_read(sent_at, |_| true, |_| true);
    shares.apply_limit(Moment(0), process, Some(rate(1_000)));
    let record = shares.update(sent_at, true, |_| demand(callers(5_000))).unwrap();
    let read_at = sent_at + Span::from_secs(2);
    assert_eq!(shares.share(read_at, process).unwrap().claimed, RequestRate::ZERO);
    shares.apply_claims(read_at, me, Some(record));
    let claimed = |at| shares.share(at, process).unwrap().claimed;
    assert_eq!(claimed(read_at), rate(800));
    assert_eq!(claimed(sent_at + Span::from_secs(10)), RequestRate::ZERO);
}

/// Guards against a limit that stays in force after it was lifted, because the node that holds the
/// whole share sends nothing.
#[test]
fn limit_is_probed_while_its_share_is_not_used() {
    let process = ProcessDigest(1);
    let (me, holder) = (NodeDigest(7), NodeDigest(8));
    let mut shares = LimitShares::new(me, Incarnation(1));
    let mut now = Moment(5_000_000);
    shares.begin_full_read(now, |_| true, |_| true);
    shares.apply_limit(now, process, Some(rate(1_000)));
    let claim = LimitClaim { process, wanted: callers(1_000), claimed: rate(800), is_seen: false };
    let mut claims = NodeClaims { incarnation: Incarnation(2), sequence: 1, claims: vec![claim] };
    shares.apply_claims(now, holder, Some(claims.clone()));
    let record = shares.update(now, true, |_| demand(callers(5_000))).unwrap();
    shares.apply_claims(now, me, Some(record));
    assert!(!shares.take_probe(now, process), "the limit has just been named");
    now += PROBE_PERIOD;
    assert!(shares.take_probe(now, process));
    assert!(!shares.take_probe(now, process), "one probe for each period");
    now += PROBE_PERIOD;
    shares.observe(now, now, process, Some(rate(1_000)));
    assert!(!shares.take_probe(now, process), "a response has just named the limit");
    now += PROBE_PERIOD;
    claims.claims[0].is_seen = true;
    shares.apply_claims(now, holder, Some(claims));
    assert!(!shares.take_probe(now, process), "the holder has just seen the limit");
}

/// Guards against a lifted limit that is noticed late because the probes fall to nodes that have
/// nothing to send.
#[test]
fn nodes_with_the_highest_demand_probe_first() {
    let process = ProcessDigest(1);
    let wanted = [callers(250), items(30_000), callers(1_000)];
    let mut now = Moment(5_000_000);
    let mut nodes = [7, 8, 9].map(|node| LimitShares::new(NodeDigest(node), Incarnation(node)));
    for node in &mut nodes {
        node.begin_full_read(now, |_| true, |_| true);
        node.apply_limit(now, process, Some(rate(1_000)));
    }
    for index in 0..nodes.len() {
        let record = nodes[index].update(now, true, |_| demand(wanted[index])).unwrap();
        let writer = nodes[index].node();
        for node in &mut nodes {
            node.apply_claims(now, writer, Some(record.clone()));
        }
    }
    let mut probes = || {
        now += PROBE_PERIOD;
        nodes.each_mut().map(|node| node.take_probe(now, process))
    };
    assert_eq!(probes(), [false, true, false]);
    assert_eq!(probes(), [false, true, true]);
}

/// Guards against a response to an old request that undoes what newer responses said.
#[test]
fn response_to_an_earlier_request_changes_nothing() {
    let process = ProcessDigest(1);
    let mut shares = LimitShares::new(NodeDigest(7), Incarnation(1));
    let at = |ms: u64| Moment(ms * 1_000);
    assert!(shares.observe(at(20), at(10), process, Some(rate(4_000))));
    assert!(!shares.observe(at(30), at(15), process, None), "the request was sent before the news");
    assert!(shares.observe(at(40), at(25), process, None));
    assert!(!shares.observe(at(50), at(30), process, Some(rate(4_000))));
    assert!(shares.share(at(50), process).is_none());
}

/// Guards against a bucket that lets a burst through after a time without requests.
#[rstest]
#[case::small_rate(500, 1)]
#[case::large_rate(5_000, 10)]
#[case::no_rate(0, 0)]
fn bucket_bounds_bursts(#[case] milli_requests: u64, #[case] expected: usize) {
    let mut bucket = RequestBucket::new(Moment(0), rate(milli_requests));
    assert!(!bucket.has_token(Moment(0)));
    let later = Moment(60_000_000);
    let mut taken = 0;
    while bucket.has_token(later) {
        bucket.take(later);
        taken += 1;
    }
    assert_eq!(taken, expected);
    bucket.set_rate(later, RequestRate::ZERO);
    assert!(!bucket.has_token(later + Span::from_secs(60)));
}
