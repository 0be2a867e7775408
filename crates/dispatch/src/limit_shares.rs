//! Division of the limits that upstreams name among all nodes.
//!
//! An overloaded upstream names how many requests per second it accepts from all nodes together.
//! The nodes agree on a division through a log: each writes which rate it wants and which it claims of
//! every limited upstream, and reads what the others wrote. A node uses a claim only after it has
//! read the claim back, and only as far as the claims that precede it in the log leave room. It
//! reduces its use before it writes a lower claim. So the claims in use never add up to more than
//! the claimable part of the limit, however late a node reads.
//!
//! A claim is a lease. A node that does not reach the log stops using its claims before the others
//! count them as free. A part of each limit is divided equally among the nodes that want it, without
//! claims, so that some requests are sent after the leases have ended too. Their responses also show
//! when the limit was lifted.
//!
//! What a node claims follows from the demand for the service at all nodes: callers come before
//! items, and a node that holds enough of the service's other limits leaves the rest to others.
//!
//! A cold upstream has a limit too, which each node knows from the upstream's entry and which ends by
//! the node's own clock. It is never written to the log.

mod division;
mod rates;
mod warmup;

use std::collections::BTreeMap;

use base::{Incarnation, Moment, NodeDigest, ProcessDigest, RequestRate, Span};
use smallvec::SmallVec;

pub use self::rates::{LimitClaim, LimitDemand, LimitShare, NodeClaims, WantedRate};
use self::{
    division::{PoolPart, ServiceDivision},
    rates::differs,
    warmup::ColdProcess,
};

/// Time without a response that names a limit after which the node with the highest demand probes
/// the upstream, and the next one after twice that. Without probes nobody would learn that the limit
/// was lifted while it is zero, or while its shares are held by nodes that do not use them or cannot
/// be reached. It is longer than [`CLAIM_RENEWAL`], with which the nodes tell each other that they
/// have seen the limit.
const PROBE_PERIOD: Span = Span::from_secs(4);

/// Number of nodes that probe an upstream.
const PROBING_NODES: u64 = 2;

/// Time for which a node may use a claim, counted from when it sent the record. Outages of the
/// log that are shorter leave the division as it is.
const CLAIM_LEASE: Span = Span::from_secs(10);

/// Additional time after which other nodes count the claim as free, counted from when they read
/// the record. It covers the interval between updates of the holder and one failed write.
const LEASE_MARGIN: Span = Span::from_secs(2);

/// Interval at which a node with claims writes them again.
const CLAIM_RENEWAL: Span = Span::from_secs(3);

/// Interval at which a node without claims writes its record again.
const MEMBER_RENEWAL: Span = Span::from_secs(20);

/// Time after its last record during which a node counts as a member, which may have a part of the
/// guaranteed rates.
const MEMBER_LIFETIME: Span = Span::from_secs(60);

/// Time after which a limit that no response has named and no node wants to use is forgotten. The
/// next response names it again, if it still holds.
const UNUSED_LIMIT_LIFETIME: Span = Span::from_secs(10);

/// Time from the news of a limit until the first claims. The nodes write what they want meanwhile.
const CLAIM_DELAY: Span = Span::from_millis(600);

/// Time for which a node keeps a new claim while it wants any of it. A small share yields its first
/// request only after a second or two.
const MIN_HOLDING_TIME: Span = Span::from_secs(4);

/// Division of all limits, as one node knows it.
#[derive(Debug, Clone)]
pub struct LimitShares {
    me: NodeDigest,
    incarnation: Incarnation,
    /// Whether all records of the log have been read once.
    loaded: bool,
    /// Whether this node reached the log at the last update.
    is_log_reachable: bool,
    limits: BTreeMap<ProcessDigest, KnownLimit>,
    /// Processes that are cold. A process may also name a limit.
    cold: BTreeMap<ProcessDigest, ColdProcess>,
    others: BTreeMap<NodeDigest, OtherNode>,
    own: BTreeMap<ProcessDigest, OwnShare>,
    /// Number of the last record that was written.
    sequence: u64,
    /// Whether a record of this incarnation was read back, so that the other nodes know this one.
    is_member: bool,
    /// Records that have not been read back, with the times at which they were sent.
    unread: SmallVec<[(u64, Moment); 4]>,
    written_at: Option<Moment>,
    /// Limits that the log does not have yet, or `None` for each that was lifted.
    unsent_limits: BTreeMap<ProcessDigest, Option<RequestRate>>,
}

#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    /// `None` after the limit was lifted.
    rate: Option<RequestRate>,
    /// When this node learned of the rate. Responses to earlier requests may be older than the
    /// rate.
    changed_at: Moment,
    /// When a response to any node last named the rate, or this node learned of it.
    seen_at: Moment,
    probed_at: Moment,
}

/// Limit of an upstream that applies now.
#[derive(Debug, Clone, Copy)]
struct CurrentLimit {
    rate: RequestRate,
    /// Whether it applies because the upstream is cold.
    is_warmup: bool,
    /// When it ends by itself, if it does.
    ends_at: Option<Moment>,
}

#[derive(Debug, Clone)]
struct OtherNode {
    /// Sorted by process.
    claims: Vec<LimitClaim>,
    claims_expire_at: Moment,
    member_until: Moment,
}

#[derive(Debug, Clone, Copy, Default)]
struct OwnShare {
    wanted: WantedRate,
    entitled: RequestRate,
    /// Whether a response has named the limit since the last record.
    is_seen: bool,
    /// Whether all nodes can read in the log that this one wants a share.
    is_listed: bool,
    /// Claim of the last record that was written.
    claimed: RequestRate,
    /// When this node began to claim a part.
    claimed_since: Moment,
    /// Part of the claim that this node may use until `usable_until`.
    usable: RequestRate,
    usable_until: Moment,
}

impl LimitShares {
    /// Creates the state of a node that has read nothing.
    #[must_use]
    pub fn new(me: NodeDigest, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            loaded: false,
            is_log_reachable: true,
            limits: BTreeMap::new(),
            cold: BTreeMap::new(),
            others: BTreeMap::new(),
            own: BTreeMap::new(),
            sequence: 0,
            is_member: false,
            unread: SmallVec::new(),
            written_at: None,
            unsent_limits: BTreeMap::new(),
        }
    }

    /// Returns the node whose shares these are.
    #[must_use]
    pub const fn node(&self) -> NodeDigest {
        self.me
    }

    /// Returns the number of nodes that take part, this one included.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.others.len() + 1
    }

    /// Records the limit that a response names, or that it names none. Returns whether that
    /// changes what this node knows. `sent_at` is when the request was sent: a response to a
    /// request from before the last change proves nothing.
    pub fn observe(
        &mut self,
        now: Moment,
        sent_at: Moment,
        process: ProcessDigest,
        limit: Option<RequestRate>,
    ) -> bool {
        let is_news = match self.limits.get_mut(&process) {
            None => limit.is_some(),
            Some(known) if known.rate == limit => {
                known.seen_at = now;
                if let Some(share) = self.own.get_mut(&process) {
                    share.is_seen = true;
                }
                false
            }
            Some(known) => sent_at >= known.changed_at,
        };
        if is_news {
            self.set_limit(now, process, limit);
            self.unsent_limits.insert(process, limit);
        }
        is_news
    }

    /// Applies a limit from the log, or `None` when it was lifted. Returns whether that changes
    /// what this node knows.
    pub fn apply_limit(
        &mut self,
        now: Moment,
        process: ProcessDigest,
        limit: Option<RequestRate>,
    ) -> bool {
        // What this node has seen itself follows in the log.
        let known = self.limits.get(&process).and_then(|known| known.rate);
        if known == limit || self.unsent_limits.contains_key(&process) {
            return false;
        }
        self.set_limit(now, process, limit);
        true
    }

    /// Applies the record of a node, or its deletion if there is none.
    pub fn apply_claims(&mut self, now: Moment, node: NodeDigest, record: Option<NodeClaims>) {
        if node == self.me {
            if let Some(record) = record.filter(|record| record.incarnation == self.incarnation) {
                self.confirm_claims(&record);
            }
            return;
        }
        let Some(record) = record else {
            self.others.remove(&node);
            return;
        };
        for claim in record.claims.iter().filter(|claim| claim.is_seen) {
            if let Some(known) = self.limits.get_mut(&claim.process) {
                known.seen_at = now;
            }
        }
        let mut claims = record.claims;
        claims.sort_unstable_by_key(|claim| claim.process);
        let other = OtherNode {
            claims,
            claims_expire_at: now + CLAIM_LEASE + LEASE_MARGIN,
            member_until: now + MEMBER_LIFETIME,
        };
        self.others.insert(node, other);
    }

    /// Removes the limits and nodes that a read of all records did not return, after their
    /// deletions were missed. Records from the read are applied afterwards. Returns the processes
    /// whose limits were lifted.
    pub fn begin_full_read(
        &mut self,
        now: Moment,
        has_limit: impl Fn(ProcessDigest) -> bool,
        has_node: impl Fn(NodeDigest) -> bool,
    ) -> Vec<ProcessDigest> {
        self.loaded = true;
        self.others.retain(|node, _| has_node(*node));
        let limits = self.limits.iter().filter(|(_, known)| known.rate.is_some());
        let mut lifted: Vec<ProcessDigest> =
            limits.map(|(process, _)| *process).filter(|process| !has_limit(*process)).collect();
        lifted.retain(|process| self.apply_limit(now, *process, None));
        lifted
    }

    /// Drops the limit of a process that has ended. Returns whether there was one and this node is
    /// the one that deletes it from the log.
    pub fn forget_process(&mut self, process: ProcessDigest) -> bool {
        self.own.remove(&process);
        self.cold.remove(&process);
        let Some(known) = self.limits.remove(&process) else { return false };
        self.unsent_limits.remove(&process);
        let deletes = known.rate.is_some() && self.rank(process, self.others.keys().copied()) == 0;
        if deletes {
            self.unsent_limits.insert(process, None);
        }
        deletes
    }

    /// Updates this node's claims by what it could use of each limit, and returns its record if it
    /// has to be written. Without the log the claims stay as they are, since no other node could
    /// use what this one releases.
    pub fn update(
        &mut self,
        now: Moment,
        is_log_reachable: bool,
        demand: impl Fn(ProcessDigest) -> LimitDemand,
    ) -> Option<NodeClaims> {
        self.end_warmups(now);
        if is_log_reachable && !self.is_log_reachable {
            // Their records of the outage have not been read yet.
            for other in self.others.values_mut() {
                other.member_until = other.member_until.max(now + MEMBER_RENEWAL);
            }
        }
        self.is_log_reachable = is_log_reachable;
        if !is_log_reachable {
            return None;
        }
        self.others.retain(|_, other| now < other.member_until);
        self.forget_unused_limits(now);
        let mut changed = false;
        let processes: Vec<ProcessDigest> = self.limited_processes().collect();
        let demands: BTreeMap<ProcessDigest, LimitDemand> =
            processes.into_iter().map(|process| (process, demand(process))).collect();
        for mut division in self.divisions(now, &demands) {
            for process in std::mem::take(&mut division.processes) {
                let wanted = demands[&process].wanted;
                changed |= self.update_share(now, process, wanted, &mut division);
            }
        }
        self.own.retain(|process, _| demands.contains_key(process));
        let has_claims = self.own.values().any(|share| !share.wanted.is_zero());
        let renewal = if has_claims { CLAIM_RENEWAL } else { MEMBER_RENEWAL };
        let renewal_due = self.written_at.is_none_or(|at| now.since(at) >= renewal);
        (changed || renewal_due).then(|| self.write_record(now))
    }

    /// Has the next [`update`](Self::update) write the record again, after a write failed.
    pub const fn retry_record(&mut self) {
        self.written_at = None;
    }

    /// Returns how this node takes part in the division of an upstream's limit, or `None` when the
    /// upstream has none.
    #[must_use]
    pub fn share(&self, now: Moment, process: ProcessDigest) -> Option<LimitShare> {
        let limit = self.limit(now, process)?;
        let own = self.own.get(&process).copied().unwrap_or_default();
        let claimed = if now < own.usable_until { own.usable } else { RequestRate::ZERO };
        let guaranteed = self.guaranteed_rate(process, limit);
        let OwnShare { wanted, entitled, .. } = own;
        let CurrentLimit { rate: limit, is_warmup, ends_at } = limit;
        Some(LimitShare { limit, is_warmup, ends_at, wanted, guaranteed, claimed, entitled })
    }

    /// Returns whether this node should send a request to the upstream regardless of its share, to
    /// learn whether the limit still holds. If so, the next probe is due after another period.
    pub fn take_probe(&mut self, now: Moment, process: ProcessDigest) -> bool {
        if !self.is_listed(process) || self.cold.contains_key(&process) {
            return false;
        }
        let rank = self.demand_rank(now, process);
        let Some(known) = self.limits.get_mut(&process) else { return false };
        let period = Span(PROBE_PERIOD.0 * (rank + 1));
        let due = |at: Moment| now.since(at) >= period;
        let probes = rank < PROBING_NODES
            && known.rate.is_some()
            && due(known.seen_at)
            && due(known.probed_at);
        if probes {
            known.probed_at = now;
        }
        probes
    }

    /// Returns the processes whose limits are known, and those that are cold.
    pub fn limited_processes(&self) -> impl Iterator<Item = ProcessDigest> {
        let named = self.limits.iter().filter(|(_, known)| known.rate.is_some());
        let named = named.map(|(process, _)| *process);
        let cold = self.cold.keys().copied();
        named.chain(cold.filter(|process| !self.is_named(*process)))
    }

    /// Takes the limits that the log does not have yet.
    pub fn take_unsent_limits(&mut self) -> BTreeMap<ProcessDigest, Option<RequestRate>> {
        std::mem::take(&mut self.unsent_limits)
    }

    /// Puts back limits that could not be written, unless newer ones are known.
    pub fn restore_unsent_limits(&mut self, limits: BTreeMap<ProcessDigest, Option<RequestRate>>) {
        for (process, limit) in limits {
            self.unsent_limits.entry(process).or_insert(limit);
        }
    }

    /// Updates this node's share of one upstream. Returns whether the record has to be written.
    fn update_share(
        &mut self,
        now: Moment,
        process: ProcessDigest,
        wanted: WantedRate,
        division: &mut ServiceDivision,
    ) -> bool {
        let Some(changed_at) = self.limit_changed_at(process) else { return false };
        let PoolPart { target, entitled } = self.pool_part(now, process, wanted, division);
        let free = self.free_rate(now, process);
        let may_claim = self.loaded && now >= changed_at + CLAIM_DELAY;
        let all_read = self.unread.is_empty();
        let share = self.own.entry(process).or_default();
        share.entitled = entitled;
        let is_held = !wanted.is_zero() && now.since(share.claimed_since) < MIN_HOLDING_TIME;
        let target = if is_held { target.max(share.claimed) } else { target };
        let claim = if may_claim { target.min(free) } else { RequestRate::ZERO };
        if share.claimed == RequestRate::ZERO {
            share.claimed_since = now;
        }
        let mut changed = false;
        if share.wanted.differs(wanted) {
            share.wanted = wanted;
            changed = true;
        }
        let unconfirmed = share.usable < share.claimed;
        if differs(share.claimed, claim) || unconfirmed && share.claimed > free {
            share.claimed = claim;
            changed = true;
        } else if unconfirmed && all_read && share.usable < free {
            // The claims that left no room have been reduced since.
            changed = true;
        }
        share.usable = share.usable.min(share.claimed);
        division.own_claimed.0 += share.claimed.0;
        changed
    }

    fn forget_unused_limits(&mut self, now: Moment) {
        let unused = self.limits.iter().filter(|(process, known)| {
            let wanted = self.own.get(process).is_some_and(|share| !share.wanted.is_zero());
            let wanted_by_others = || {
                let claims = self.claims_of_others(now, **process);
                claims.into_iter().any(|(_, claim)| !claim.wanted.is_zero())
            };
            known.rate.is_some()
                && now.since(known.seen_at) >= UNUSED_LIMIT_LIFETIME
                && !wanted
                && !wanted_by_others()
        });
        for process in unused.map(|(process, _)| *process).collect::<Vec<_>>() {
            self.limits.remove(&process);
        }
    }

    fn set_limit(&mut self, now: Moment, process: ProcessDigest, limit: Option<RequestRate>) {
        let previous = self.limit(now, process);
        let known = KnownLimit { rate: limit, changed_at: now, seen_at: now, probed_at: now };
        self.limits.insert(process, known);
        self.reduce_use(now, process, previous);
    }

    /// Reduces this node's use of an upstream in proportion when its limit has fallen, as all nodes
    /// do until the claims are divided again.
    fn reduce_use(&mut self, now: Moment, process: ProcessDigest, previous: Option<CurrentLimit>) {
        let limit = self.limit(now, process);
        if let (Some(share), Some(limit), Some(previous)) =
            (self.own.get_mut(&process), limit, previous)
            && limit.rate < previous.rate
        {
            share.usable = RequestRate(share.usable.0 * limit.rate.0 / previous.rate.0.max(1));
        }
    }

    /// Accepts the claims of this node's record, which was read back, as far as the others' claims
    /// that precede it leave room.
    fn confirm_claims(&mut self, record: &NodeClaims) {
        self.is_member = true;
        let sent = self.unread.iter().find(|(sequence, _)| *sequence == record.sequence).copied();
        self.unread.retain(|(sequence, _)| *sequence > record.sequence);
        for (process, share) in &mut self.own {
            share.is_listed = record.claims.iter().any(|claim| claim.process == *process);
        }
        let Some((_, sent_at)) = sent else {
            // A late append has replaced a newer record, which must be written again.
            self.written_at = None;
            for claim in &record.claims {
                if let Some(share) = self.own.get_mut(&claim.process) {
                    share.usable = share.usable.min(claim.claimed);
                }
            }
            return;
        };
        for claim in &record.claims {
            let room = self.free_rate(sent_at, claim.process);
            let Some(share) = self.own.get_mut(&claim.process) else { continue };
            share.usable = claim.claimed.min(share.claimed).min(room);
            share.usable_until = sent_at + CLAIM_LEASE;
        }
    }

    fn write_record(&mut self, now: Moment) -> NodeClaims {
        self.sequence += 1;
        self.written_at = Some(now);
        // An older record confirms nothing, since its lease has ended.
        self.unread.retain(|(_, sent_at)| now.since(*sent_at) < CLAIM_LEASE);
        self.unread.push((self.sequence, now));
        let shares = self.own.iter().filter(|(_, share)| !share.wanted.is_zero());
        let claims = shares.map(|(process, share)| LimitClaim {
            process: *process,
            wanted: share.wanted,
            claimed: share.claimed,
            is_seen: share.is_seen,
        });
        let claims = claims.collect();
        self.own.values_mut().for_each(|share| share.is_seen = false);
        NodeClaims { incarnation: self.incarnation, sequence: self.sequence, claims }
    }
}
