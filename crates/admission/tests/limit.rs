//! Tests of the customer limits: the rates of all nodes of a zone never add up to more than the
//! zone limit.

use admission::{
    AllocatorSettings, GrantRequest, LimitAllocator, LimitDecision, LimitGrant, LimiterSettings,
    RateLimiter, ZoneLimit,
};
use base::{CustomerKey, Incarnation, Moment, Span};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CUSTOMER: CustomerKey = CustomerKey(0);
const ZONE_RATE: u32 = 1_000;
const VMS: usize = 4;

enum Message {
    Request(GrantRequest, usize),
    Grant(LimitGrant),
}

/// The nodes of one zone. A message stays in `messages` until a step delivers or drops it.
struct Zone {
    now: Moment,
    limiters: Vec<RateLimiter>,
    allocators: Vec<Option<LimitAllocator>>,
    messages: Vec<Message>,
    /// Side of the network partition on which each node is; all 0 when there is no partition.
    partition_sides: [usize; VMS],
    limit: ZoneLimit,
    restarts: u64,
}

impl Zone {
    fn new() -> Self {
        Self::with_limit(ZoneLimit { rate: ZONE_RATE, guaranteed_rate: 0 })
    }

    fn limiter(now: Moment, incarnation: u64, limit: ZoneLimit) -> RateLimiter {
        let settings = LimiterSettings { burst: Span::from_secs(1), ..LimiterSettings::default() };
        let mut limiter = RateLimiter::new(Incarnation(incarnation), settings);
        limiter.set_guaranteed_rate(now, CUSTOMER, limit.guaranteed_rate);
        limiter
    }

    fn with_limit(limit: ZoneLimit) -> Self {
        let nodes = 0..VMS as u64;
        let limiter = |node| Self::limiter(Moment(0), node, limit);
        let mut zone = Self {
            now: Moment(0),
            limiters: nodes.map(limiter).collect(),
            allocators: vec![None; VMS],
            messages: Vec::new(),
            partition_sides: [0; VMS],
            limit,
            restarts: 0,
        };
        zone.elect();
        zone
    }

    /// Makes the lowest node of each side of the partition its delegate, and tells the delegate how
    /// many VMs of its side are alive.
    fn elect(&mut self) {
        for node in 0..VMS {
            let side = self.partition_sides[node];
            let live = self.partition_sides.iter().filter(|other| **other == side).count() as u32;
            if self.delegate(node) != node {
                self.allocators[node] = None;
                continue;
            }
            if let Some(allocator) = &mut self.allocators[node] {
                allocator.set_live_vms(self.now, live);
                continue;
            }
            let settings = AllocatorSettings::new(VMS as u32);
            let mut allocator =
                LimitAllocator::new(self.incarnation(node), settings, self.now, live);
            allocator.set_zone_limit(CUSTOMER, self.limit);
            self.allocators[node] = Some(allocator);
        }
    }

    fn delegate(&self, node: usize) -> usize {
        let side = self.partition_sides[node];
        self.partition_sides.iter().position(|other| *other == side).unwrap_or(node)
    }

    /// Incarnations of one node differ by a multiple of [`VMS`], so that the node follows from
    /// them.
    fn incarnation(&self, node: usize) -> Incarnation {
        Incarnation(self.restarts * VMS as u64 + node as u64)
    }

    /// Replaces a node's process by a new one without any state.
    fn restart(&mut self, node: usize) {
        self.restarts += 1;
        self.limiters[node] = Self::limiter(self.now, self.incarnation(node).0, self.limit);
        self.allocators[node] = None;
        self.elect();
    }

    fn demand_tokens(&mut self, node: usize, tokens: u32) {
        self.limiters[node].admit(self.now, CUSTOMER, tokens);
        self.send_requests(node);
    }

    fn send_requests(&mut self, node: usize) {
        let delegate = self.delegate(node);
        for request in self.limiters[node].due_requests(self.now) {
            self.messages.push(Message::Request(request, delegate));
        }
    }

    fn deliver(&mut self, position: usize) {
        if self.messages.is_empty() {
            return;
        }
        match self.messages.remove(position % self.messages.len()) {
            Message::Request(request, delegate) => {
                let Some(allocator) = &mut self.allocators[delegate] else { return };
                self.messages.extend(allocator.grant(self.now, request).map(Message::Grant));
            }
            Message::Grant(grant) => {
                self.limiters[grant.node.0 as usize % VMS].apply_grant(self.now, grant);
            }
        }
    }

    fn total_rate(&self) -> u32 {
        self.limiters.iter().map(|limiter| limiter.rate(self.now, CUSTOMER)).sum()
    }

    /// Runs `secs` seconds in which each node demands its number of tokens in `demands` per second.
    /// All messages are delivered, and the sum of the rates is checked every second.
    fn run(&mut self, secs: u64, demands: [u32; VMS]) {
        for _ in 0..secs {
            self.now += Span::from_secs(1);
            for (node, demand) in demands.into_iter().enumerate() {
                self.demand_tokens(node, demand);
            }
            while !self.messages.is_empty() {
                self.deliver(0);
            }
            assert!(
                self.total_rate() <= ZONE_RATE,
                "nodes may use {} tokens per second together",
                self.total_rate()
            );
        }
    }
}

#[test]
fn new_delegate_grants_nothing_for_one_grant_duration() {
    let mut zone = Zone::new();
    zone.run(8, [500; VMS]);
    assert_eq!(zone.total_rate(), 0);
    zone.run(20, [500; VMS]);
    assert!(
        zone.total_rate() > ZONE_RATE * 9 / 10,
        "{} tokens per second granted",
        zone.total_rate()
    );
}

#[test]
fn granted_rates_follow_demand() {
    let mut zone = Zone::new();
    zone.run(40, [100, 100, 2_000, 0]);
    let rates = (0..VMS).map(|node| zone.limiters[node].rate(zone.now, CUSTOMER));
    let rates = rates.collect::<Vec<_>>();
    assert!(rates[2] > 700 && rates[0] >= 90, "{rates:?}");
    zone.run(30, [2_000, 100, 100, 0]);
    assert!(zone.limiters[0].rate(zone.now, CUSTOMER) > 700);
}

#[test]
fn grant_expires_when_the_delegate_is_unreachable() {
    let mut zone = Zone::new();
    zone.run(20, [500; VMS]);
    assert!(zone.limiters[1].rate(zone.now, CUSTOMER) > 0);
    assert_eq!(zone.limiters[1].rate(zone.now + Span::from_secs(10), CUSTOMER), 0);
}

#[test]
fn token_bucket_enforces_the_granted_rate() {
    let mut zone = Zone::new();
    zone.run(20, [500; VMS]);
    let rate = zone.limiters[0].rate(zone.now, CUSTOMER);
    let mut admitted = 0;
    for step in 0..500 {
        let now = zone.now + Span::from_millis(step * 10);
        match zone.limiters[0].admit(now, CUSTOMER, 50) {
            LimitDecision::Admitted => admitted += 50,
            LimitDecision::AwaitGrant => {
                panic!("request waits for a first grant, but the node already has one")
            }
            LimitDecision::Refused(refusal) => assert!(refusal.retry_after.is_some()),
        }
    }
    // Upper bound: five seconds at the rate, one burst of 1 s, and one request that overdraws.
    assert!(admitted <= rate * 6 + 50, "{admitted} tokens admitted at {rate} per second");
    assert!(admitted >= rate * 4, "{admitted} tokens admitted at {rate} per second");
}

/// Returns the share of requests that are not admitted in the 30 s after the delegate has failed
/// for good.
fn refused_after_delegate_change(limit: ZoneLimit, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut zone = Zone::with_limit(limit);
    zone.run(40 + rng.random_range(0..3), [200; VMS]);
    zone.partition_sides[0] = 1;
    let failed_at = zone.now;
    let (mut sent, mut refused) = (0, 0);
    for step in 0..300 {
        zone.now += Span::from_millis(100);
        // The other nodes detect the failure after three missed heartbeats, one per second.
        if zone.now.since(failed_at) == Span::from_secs(3) {
            zone.elect();
        }
        for node in 1..VMS {
            if rng.random_ratio(1, 2) {
                sent += 1;
                let decision = zone.limiters[node].admit(zone.now, CUSTOMER, 20);
                refused += u32::from(!matches!(decision, LimitDecision::Admitted));
            }
            if zone.now.since(failed_at) >= Span::from_secs(3) {
                zone.send_requests(node);
            }
        }
        while !zone.messages.is_empty() {
            zone.deliver(0);
        }
        assert!(
            zone.total_rate() <= ZONE_RATE,
            "nodes may use {} tokens per second together in step {step}",
            zone.total_rate()
        );
    }
    f64::from(refused) / f64::from(sent)
}

/// Guards against nodes that refuse all requests while a new delegate waits before its first
/// grants: their guaranteed rates must admit some.
#[test]
fn guaranteed_rate_admits_requests_during_a_delegate_change() {
    let mean =
        |limit| (1..=20).map(|seed| refused_after_delegate_change(limit, seed)).sum::<f64>() / 20.0;
    let without_guarantee = mean(ZoneLimit { rate: ZONE_RATE, guaranteed_rate: 0 });
    let with_guarantee = mean(ZoneLimit::with_guaranteed_rate(ZONE_RATE, VMS as u32));
    println!(
        "refused after a delegate change: {without_guarantee:.3} without guaranteed rate, \
         {with_guarantee:.3} with it"
    );
    assert!(
        with_guarantee < without_guarantee,
        "{with_guarantee} refused with a guaranteed rate, {without_guarantee} without"
    );
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(13), ..Config::with_cases(256) })]

    /// Guards the sum of the rates under lost, delayed and reordered messages, partitions, restarts
    /// and changes of the delegate.
    #[test]
    fn sum_of_rates_never_exceeds_the_zone_limit(
        steps in prop::collection::vec((0..13_u8, 0..VMS, 1..3_000_u32), 1..300),
        guaranteed_rate in prop::sample::select(vec![0, 1, 50, ZONE_RATE / VMS as u32]),
    ) {
        let mut zone = Zone::with_limit(ZoneLimit { rate: ZONE_RATE, guaranteed_rate });
        for (step, node, amount) in steps {
            match step {
                0..4 => zone.demand_tokens(node, amount),
                4..8 => zone.deliver(amount as usize),
                8 if !zone.messages.is_empty() => {
                    let lost = amount as usize % zone.messages.len();
                    zone.messages.remove(lost);
                }
                9 => {
                    zone.partition_sides[node] = amount as usize % 2;
                    zone.elect();
                }
                10 => zone.restart(node),
                _ => zone.now += Span::from_millis(u64::from(amount)),
            }
            prop_assert!(
                zone.total_rate() <= ZONE_RATE,
                "nodes may use {} tokens per second together",
                zone.total_rate()
            );
        }
    }
}
