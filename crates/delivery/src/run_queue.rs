//! Order of the isolated runs of suspects on all nodes, by the log of the platform's store.
//!
//! A node appends a claim before it runs a suspect, and deletes it after the run. The first claim of
//! a fingerprint in log order runs. A node that has read its own claim back knows all earlier ones,
//! so two nodes never run the same fingerprint at the same time. The claim of a node that is gone
//! ends after its lifetime: the holder counts it from before the append, all others from when they
//! read the claim.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, derive_copy};

use crate::Fingerprint;

derive_copy! {
    /// Claim of a node to run a fingerprint in isolation.
    pub struct RunClaim {
        /// The fingerprint.
        pub fingerprint: Fingerprint,
        /// The node that runs it.
        pub node: Incarnation,
        /// Number of the claim among those of this node.
        pub number: u64,
    }

    struct QueuedClaim {
        position: u64,
        expires_at: Moment,
    }
}

/// Claims that one node has read.
#[derive(Debug, Clone, Default)]
pub struct RunQueue {
    claims: BTreeMap<RunClaim, QueuedClaim>,
}

impl RunQueue {
    /// Adds a claim with its position in the log. A claim that is known already keeps its position.
    /// After a read of all keys, which does not return positions, the claims of other nodes must be
    /// given one before that of this node's own claims.
    pub fn insert(&mut self, claim: RunClaim, position: u64, expires_at: Moment) {
        self.claims.entry(claim).or_insert(QueuedClaim { position, expires_at });
    }

    /// Removes a claim that has ended. Returns whether it was known.
    pub fn remove(&mut self, claim: RunClaim) -> bool {
        self.claims.remove(&claim).is_some()
    }

    /// Removes the claims for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(RunClaim) -> bool) {
        self.claims.retain(|claim, _| keep(*claim));
    }

    /// Returns whether a claim was read and has not ended.
    #[must_use]
    pub fn contains(&self, claim: RunClaim) -> bool {
        self.claims.contains_key(&claim)
    }

    /// Returns whether a claim was read and no earlier claim of the fingerprint is in force.
    #[must_use]
    pub fn is_first(&self, now: Moment, claim: RunClaim) -> bool {
        let Some(own) = self.claims.get(&claim) else { return false };
        let fingerprint = claim.fingerprint;
        let first = RunClaim { fingerprint, node: Incarnation(0), number: 0 };
        let last = RunClaim { fingerprint, node: Incarnation(u64::MAX), number: u64::MAX };
        let others = self.claims.range(first..=last).filter(|(other, _)| **other != claim);
        for (other, queued) in others {
            let precedes = (queued.position, *other) < (own.position, claim);
            if precedes && now < queued.expires_at {
                return false;
            }
        }
        true
    }

    /// Removes and returns the claims that expired before `expired_before`.
    pub fn take_expired(&mut self, expired_before: Moment) -> Vec<RunClaim> {
        let expired = self.claims.extract_if(.., |_, queued| queued.expires_at < expired_before);
        expired.map(|(claim, _)| claim).collect()
    }
}
