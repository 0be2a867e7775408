//! Which parts of a limit the nodes should have, by what they want and claim.

use base::{Moment, NodeDigest, ProcessDigest, RequestRate, rendezvous_weight};

use super::{LimitClaim, LimitShares};

/// Part of a limit that is divided equally among the nodes that want it.
const GUARANTEED_PERCENT: u64 = 20;

/// Smallest share of a limit, unless the whole limit is smaller. Each holder of a share can save
/// one request for a burst, so the bursts of all holders together stay below the requests that
/// arrive in two seconds at the limit.
const MIN_SHARE: RequestRate = RequestRate(500);

impl LimitShares {
    /// Returns the part of the claim pool that this node should have, in proportion to what the
    /// nodes want, and the part that the others do not claim.
    pub(super) fn target(
        &self,
        now: Moment,
        process: ProcessDigest,
        limit: RequestRate,
        wanted: RequestRate,
    ) -> (RequestRate, RequestRate) {
        let pool = claim_pool(limit);
        let free = pool.saturating_sub(self.claimed_by_others(now, process));
        if wanted == RequestRate::ZERO {
            return (RequestRate::ZERO, free);
        }
        // Holders weigh more, so that shares do not move with each small change of the demand.
        let weight = |wanted: RequestRate, claimed: RequestRate| {
            if claimed > RequestRate::ZERO { wanted.0 * 3 / 2 } else { wanted.0 }
        };
        let claimed = self.own.get(&process).map_or(RequestRate::ZERO, |share| share.claimed);
        let others = self.claims_of_others(now, process);
        let mut candidates: Vec<(u64, NodeDigest)> = others
            .filter(|(_, claim)| claim.wanted > RequestRate::ZERO)
            .map(|(node, claim)| (weight(claim.wanted, claim.claimed), node))
            .collect();
        candidates.push((weight(wanted, claimed), self.me));
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
        let target = own.map_or(0, |(weight, _)| pool.0 * weight / total.max(1));
        (RequestRate(target), free)
    }

    pub(super) fn guaranteed_rate(
        &self,
        process: ProcessDigest,
        limit: RequestRate,
    ) -> RequestRate {
        let others = if self.is_listed(process) {
            self.claimants(process)
        } else if self.loaded && !self.is_log_reachable {
            // A node that cannot write that it wants a share takes part as one of all members.
            self.others.keys().copied().collect()
        } else {
            return RequestRate::ZERO;
        };
        let pool = guaranteed_pool(limit);
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
        let others = self
            .others
            .iter()
            .filter(|(_, other)| other.claims.iter().any(|claim| claim.process == process));
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

    pub(super) fn claimed_by_others(&self, now: Moment, process: ProcessDigest) -> RequestRate {
        let claims = self.claims_of_others(now, process);
        RequestRate(claims.map(|(_, claim)| claim.claimed.0).sum())
    }

    pub(super) fn claims_of_others(
        &self,
        now: Moment,
        process: ProcessDigest,
    ) -> impl Iterator<Item = (NodeDigest, LimitClaim)> {
        let valid = self.others.iter().filter(move |(_, other)| now < other.claims_expire_at);
        valid.filter_map(move |(node, other)| {
            let claim = other.claims.iter().find(|claim| claim.process == process)?;
            Some((*node, *claim))
        })
    }
}

/// Returns the part of a limit that nodes may use without claims.
fn guaranteed_pool(limit: RequestRate) -> RequestRate {
    RequestRate(limit.0 * GUARANTEED_PERCENT / 100)
}

/// Returns the part of a limit that nodes claim.
pub(super) fn claim_pool(limit: RequestRate) -> RequestRate {
    limit.saturating_sub(guaranteed_pool(limit))
}
