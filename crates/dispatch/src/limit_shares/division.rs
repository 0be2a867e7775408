//! Which parts of a limit the nodes should have, by what they want and claim.

use std::collections::BTreeMap;

use base::{Moment, NodeDigest, ProcessDigest, RequestRate, rendezvous_weight};

use super::{CurrentLimit, LimitClaim, LimitDemand, LimitShares, WantedRate};

/// Part of a limit that is divided equally among the nodes that want it, without claims.
const GUARANTEED_PERCENT: u64 = 20;

/// Smallest share of a limit, unless the whole limit is smaller. Each holder of a share can save
/// one request for a burst, so the bursts of all holders together stay below the requests that
/// arrive in two seconds at the limit.
const MIN_SHARE: RequestRate = RequestRate(500);

/// Part of a service's limits that items have before callers.
const ITEM_PERCENT: u64 = 25;

/// A node that has what it is entitled to takes part with one in this of it, so that no limit is left
/// over.
const SATED_DIVISOR: u64 = 16;

/// What this node should have of one upstream's claim pool.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PoolPart {
    /// Rate to claim. A small pool goes to one node at a time.
    pub(super) target: RequestRate,
    /// Rate in proportion to the demand.
    pub(super) entitled: RequestRate,
}

/// Limited upstreams of one service, as one update divides them.
#[derive(Debug, Default)]
pub(super) struct ServiceDivision {
    pool: RequestRate,
    pub(super) processes: Vec<ProcessDigest>,
    /// Claims of each other node to all of the upstreams together.
    claimed: BTreeMap<NodeDigest, RequestRate>,
    /// What this update has claimed for this node so far.
    pub(super) own_claimed: RequestRate,
}

/// Part of the wanted requests that the limits of a service allow, by their origin.
#[derive(Debug, Clone, Copy)]
struct Entitlement {
    caller: f64,
    item: f64,
}

impl Entitlement {
    fn new(pool: RequestRate, total: WantedRate) -> Self {
        let reserved = total.items.min(RequestRate(pool.0 * ITEM_PERCENT / 100));
        let for_callers = total.callers.min(pool.saturating_sub(reserved));
        let for_items = total.items.min(pool.saturating_sub(for_callers));
        let part = |granted: RequestRate, wanted: RequestRate| {
            if wanted == RequestRate::ZERO { 0.0 } else { granted.0 as f64 / wanted.0 as f64 }
        };
        Self { caller: part(for_callers, total.callers), item: part(for_items, total.items) }
    }

    /// Returns how much of an upstream's limit a node should have, in proportion to the other
    /// nodes. `held` is what it has of the service's other upstreams.
    fn weight(self, wanted: WantedRate, held: RequestRate) -> u64 {
        let entitled = self.rate(wanted);
        entitled.saturating_sub(held).0.max(entitled.0.div_ceil(SATED_DIVISOR))
    }

    /// Returns the rate that a node is entitled to of all limits of the service together.
    fn rate(self, wanted: WantedRate) -> RequestRate {
        let callers = wanted.callers.0 as f64 * self.caller;
        RequestRate((callers + wanted.items.0 as f64 * self.item) as u64)
    }
}

impl LimitShares {
    /// Groups the limited upstreams that this node knows by their services. The upstreams of which
    /// it has a share come first.
    pub(super) fn divisions(
        &self,
        now: Moment,
        demands: &BTreeMap<ProcessDigest, LimitDemand>,
    ) -> Vec<ServiceDivision> {
        let mut divisions: BTreeMap<u64, ServiceDivision> = BTreeMap::new();
        for (process, demand) in demands {
            let Some(pool) = self.claim_pool(now, *process) else { continue };
            let division = divisions.entry(demand.service).or_default();
            division.pool.0 += pool.0;
            division.processes.push(*process);
        }
        for (node, other) in self.others.iter().filter(|(_, other)| now < other.claims_expire_at) {
            for claim in &other.claims {
                let Some(demand) = demands.get(&claim.process) else { continue };
                let Some(division) = divisions.get_mut(&demand.service) else { continue };
                division.claimed.entry(*node).or_default().0 += claim.claimed.0;
            }
        }
        for division in divisions.values_mut() {
            division.processes.sort_by_cached_key(|process| {
                let own = self.own.get(process);
                let is_claimed = own.is_some_and(|share| share.claimed > RequestRate::ZERO);
                (!is_claimed, rendezvous_weight(process.0, self.me.0))
            });
        }
        divisions.into_values().collect()
    }

    /// Returns the part of the claim pool that this node should have.
    pub(super) fn pool_part(
        &self,
        now: Moment,
        process: ProcessDigest,
        wanted: WantedRate,
        division: &ServiceDivision,
    ) -> PoolPart {
        let Some(pool) = self.claim_pool(now, process) else { return PoolPart::default() };
        if wanted.is_zero() {
            return PoolPart::default();
        }
        let claims: Vec<(NodeDigest, LimitClaim)> = self.claims_of_others(now, process).collect();
        let total = claims.iter().fold(wanted, |total, (_, claim)| total.plus(claim.wanted));
        let entitlement = Entitlement::new(division.pool, total);
        // Holders weigh more, so that shares do not move with each small change of the demand.
        let weight = |wanted: WantedRate, claimed: RequestRate, held: RequestRate| {
            let weight = entitlement.weight(wanted, held);
            if claimed > RequestRate::ZERO { weight * 3 / 2 } else { weight }
        };
        let own_entitled = entitlement.rate(wanted);
        let all_entitled = entitlement.rate(total).0.max(1);
        let entitled = RequestRate(pool.0 * own_entitled.0 / all_entitled);
        let mut candidates: Vec<(u64, NodeDigest)> = claims
            .iter()
            .filter(|(_, claim)| !claim.wanted.is_zero())
            .map(|(node, claim)| {
                let held = division.claimed.get(node).copied().unwrap_or_default();
                let held = held.saturating_sub(claim.claimed);
                (weight(claim.wanted, claim.claimed, held), *node)
            })
            .collect();
        let claimed = self.own.get(&process).map_or(RequestRate::ZERO, |share| share.claimed);
        candidates.push((weight(wanted, claimed, division.own_claimed), self.me));
        candidates.sort_unstable_by_key(|(weight, node)| {
            std::cmp::Reverse((*weight, rendezvous_weight(process.0, node.0)))
        });
        candidates.truncate((pool.0 / MIN_SHARE.0).max(1) as usize);
        let mut total: u64 = candidates.iter().map(|(weight, _)| weight).sum();
        while let [_, .., (smallest, _)] = candidates[..]
            && pool.0 * smallest < MIN_SHARE.0 * total
        {
            total -= smallest;
            candidates.pop();
        }
        let own = candidates.iter().find(|(_, node)| *node == self.me);
        let target = RequestRate(own.map_or(0, |(weight, _)| pool.0 * weight / total.max(1)));
        PoolPart { target, entitled }
    }

    /// Returns how many of the other nodes want more of an upstream's limit than this one.
    pub(super) fn demand_rank(&self, now: Moment, process: ProcessDigest) -> u64 {
        let order = |wanted: WantedRate, node: NodeDigest| {
            (wanted.callers.0 + wanted.items.0, rendezvous_weight(process.0, node.0))
        };
        let own = self.own.get(&process).map(|share| share.wanted).unwrap_or_default();
        let own = order(own, self.me);
        let claims = self.claims_of_others(now, process);
        claims.filter(|(node, claim)| order(claim.wanted, *node) > own).count() as u64
    }

    /// Returns the part of the claim pool that the other nodes do not claim.
    pub(super) fn free_rate(&self, now: Moment, process: ProcessDigest) -> RequestRate {
        let Some(pool) = self.claim_pool(now, process) else { return RequestRate::ZERO };
        let claims = self.claims_of_others(now, process);
        pool.saturating_sub(RequestRate(claims.map(|(_, claim)| claim.claimed.0).sum()))
    }

    fn claim_pool(&self, now: Moment, process: ProcessDigest) -> Option<RequestRate> {
        self.limit(now, process).map(|limit| claim_pool(limit.rate))
    }

    pub(super) fn guaranteed_rate(
        &self,
        process: ProcessDigest,
        limit: CurrentLimit,
    ) -> RequestRate {
        let others = if limit.is_warmup {
            // A cold time is too short to learn first which nodes want a share.
            if !self.loaded || !self.is_member {
                return RequestRate::ZERO;
            }
            self.others.keys().copied().collect()
        } else if self.is_listed(process) {
            self.claimants(process)
        } else if self.loaded && !self.is_log_reachable {
            // A node that cannot write that it wants a share takes part as one of all members.
            self.others.keys().copied().collect()
        } else {
            return RequestRate::ZERO;
        };
        let pool = guaranteed_pool(limit.rate);
        let holders = (pool.0 / MIN_SHARE.0).clamp(1, others.len() as u64 + 1);
        if self.rank(process, others.into_iter()) >= holders {
            return RequestRate::ZERO;
        }
        RequestRate(pool.0 / holders)
    }

    pub(super) fn is_listed(&self, process: ProcessDigest) -> bool {
        self.own.get(&process).is_some_and(|share| share.is_listed)
    }

    /// Returns the other nodes that want a share of an upstream's limit.
    pub(super) fn claimants(&self, process: ProcessDigest) -> Vec<NodeDigest> {
        let others = self.others.iter().filter(|(_, other)| {
            other.claims.binary_search_by_key(&process, |claim| claim.process).is_ok()
        });
        others.map(|(node, _)| *node).collect()
    }

    /// Returns how many of the other nodes precede this one in the order of a process.
    pub(super) fn rank(
        &self,
        process: ProcessDigest,
        others: impl Iterator<Item = NodeDigest>,
    ) -> u64 {
        let own = rendezvous_weight(process.0, self.me.0);
        others.filter(|node| rendezvous_weight(process.0, node.0) > own).count() as u64
    }

    pub(super) fn claims_of_others(
        &self,
        now: Moment,
        process: ProcessDigest,
    ) -> impl Iterator<Item = (NodeDigest, LimitClaim)> {
        let valid = self.others.iter().filter(move |(_, other)| now < other.claims_expire_at);
        valid.filter_map(move |(node, other)| {
            let position = other.claims.binary_search_by_key(&process, |claim| claim.process);
            Some((*node, other.claims[position.ok()?]))
        })
    }
}

/// Returns the part of a limit that nodes may use without claims.
fn guaranteed_pool(limit: RequestRate) -> RequestRate {
    RequestRate(limit.0 * GUARANTEED_PERCENT / 100)
}

/// Returns the part of a limit that nodes claim.
fn claim_pool(limit: RequestRate) -> RequestRate {
    limit.saturating_sub(guaranteed_pool(limit))
}
