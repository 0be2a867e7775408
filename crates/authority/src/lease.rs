//! The lease of one scope, as one process sees and uses it.

use std::fmt;

use base::{FencingToken, Incarnation, LogOffset, Moment, Span, derive_copy, derive_value};
use smallvec::{SmallVec, smallvec};

use crate::{
    AuthorityRecord, LeaseClaim, LeaseRelease, LeaseRenewal, LeaseScope,
    chain::{ClaimChain, Verdict},
};

derive_copy! {
    /// Times of a lease. They must be equal on all nodes or change only upwards.
    pub struct LeaseSettings {
        /// Length of the lease.
        pub term: Span,
        /// Time between renewals.
        pub renewal: Span,
        /// The holder stops this much before the term ends, and a successor waits this much longer.
        pub margin: Span,
        /// Longest time from the clock check before an order until the receiver has acted on it.
        pub order_timeout: Span,
        /// Wait from acquisition to the first order to a receiver that ignores fencing numbers.
        pub extra_wait: Span,
    }

    /// Whether a process claims a lease that is free.
    pub enum LeaseRole {
        /// Claims when it may.
        Candidate,
        /// Only follows the stream, for example while it drains.
        Observer,
    }

    /// What a receiver does with fencing numbers.
    pub enum FencingSupport {
        /// Refuses an order with a number below the highest it has seen.
        Checked,
        /// Takes any order.
        Ignored,
    }

    /// Why a process no longer holds a lease.
    pub enum LossCause {
        /// The lease ended by this process's clock.
        Expired,
        /// Another claim is in force.
        Succeeded,
        /// This process released the lease.
        Released,
        /// Records of the stream are lost to this process.
        GapInLog,
    }

    /// Why an order must not be written.
    pub enum PermitDenial {
        /// This process does not hold the lease.
        NotHeld,
        /// The receiver ignores fencing numbers and the extra wait runs until the given moment.
        ExtraWait(Moment),
        /// No such order waits to be written.
        NotWaiting,
    }

    /// A claim or renewal of this process that it has not read back.
    struct PendingRecord {
        attempt: u32,
        /// Before the record was handed to the driver. The lease counts from here.
        sent_at: Moment,
    }

    struct Tenure {
        fencing: FencingToken,
        acquired_at: Moment,
        /// Before the record that the tenure rests on was handed to the driver.
        sent_at: Moment,
        until: Moment,
    }
}

derive_value! {
    /// A request of the keeper to its driver.
    pub enum LeaseAction {
        /// Append the record to the stream of the scope.
        Append(AuthorityRecord),
        /// This process holds the lease.
        Acquired(FencingToken),
        /// This process no longer holds the lease.
        Lost {
            /// Number of the lease that ended.
            fencing: FencingToken,
            /// Why it ended.
            cause: LossCause,
        },
    }
}

/// Follows the lease records of one scope, and claims, renews and gives up the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    settings: LeaseSettings,
    scope: LeaseScope,
    incarnation: Incarnation,
    role: LeaseRole,
    claim_delay: Span,
    last_attempt: u32,
    chain: Option<ClaimChain>,
    pending: Option<PendingRecord>,
    tenure: Option<Tenure>,
}

impl LeaseManager {
    /// Creates a keeper that does nothing until [`LeaseManager::restart_from`].
    #[must_use]
    pub const fn new(
        settings: LeaseSettings,
        scope: LeaseScope,
        incarnation: Incarnation,
        role: LeaseRole,
    ) -> Self {
        Self {
            settings,
            scope,
            incarnation,
            role,
            claim_delay: Span::ZERO,
            last_attempt: 0,
            chain: None,
            pending: None,
            tenure: None,
        }
    }

    /// Sets whether this process claims a free lease. A lease that it holds is kept.
    pub const fn set_role(&mut self, role: LeaseRole) {
        self.role = role;
    }

    /// Sets how long this process waits after the earliest moment at which it may claim. Different
    /// delays keep all nodes from appending a claim at the same time.
    pub const fn set_claim_delay(&mut self, delay: Span) {
        self.claim_delay = delay;
    }

    /// Starts reading at the oldest retained offset, or continues there after a gap. A lease is
    /// given up, since the gap may hide a claim.
    pub fn restart_from(&mut self, now: Moment, first: LogOffset) -> SmallVec<[LeaseAction; 4]> {
        self.chain = Some(ClaimChain::new(first, now));
        self.pending = None;
        self.lose(LossCause::GapInLog).into_iter().collect()
    }

    /// Takes the next record of the stream. Records come in log order.
    pub fn read(
        &mut self,
        now: Moment,
        offset: LogOffset,
        record: &AuthorityRecord,
    ) -> SmallVec<[LeaseAction; 4]> {
        if *record.scope() != self.scope {
            return SmallVec::new();
        }
        let Some(chain) = &mut self.chain else { return SmallVec::new() };
        match record {
            AuthorityRecord::Claim(claim) => {
                let verdict = chain.claim(now, offset, claim);
                self.on_claim(now, FencingToken(offset.0), claim, verdict)
            }
            AuthorityRecord::Renewal(renewal) => {
                let verdict = chain.renew(now, offset, renewal);
                self.on_renewal(renewal, verdict);
                SmallVec::new()
            }
            AuthorityRecord::Release(release) => {
                chain.release(now, offset, release);
                SmallVec::new()
            }
            AuthorityRecord::Intent(_) | AuthorityRecord::Outcome(_) => SmallVec::new(),
        }
    }

    /// Ends, renews or claims the lease as the time demands.
    pub fn tick(&mut self, now: Moment) -> SmallVec<[LeaseAction; 4]> {
        let Some(chain) = &self.chain else { return SmallVec::new() };
        let Some(tenure) = self.tenure else {
            if self.role == LeaseRole::Observer
                || self.pending.is_some()
                || now < self.claim_at(chain)
            {
                return SmallVec::new();
            }
            let clear_from = chain.clear_from();
            let attempt = self.start_attempt(now);
            return smallvec![LeaseAction::Append(AuthorityRecord::Claim(LeaseClaim {
                scope: self.scope.clone(),
                holder: self.incarnation,
                attempt,
                term: self.settings.term,
                clear_from,
            }))];
        };
        if now >= tenure.until {
            return self.lose(LossCause::Expired).into_iter().collect();
        }
        if self.pending.is_some() || now < tenure.sent_at + self.settings.renewal {
            return SmallVec::new();
        }
        let attempt = self.start_attempt(now);
        smallvec![LeaseAction::Append(AuthorityRecord::Renewal(LeaseRenewal {
            scope: self.scope.clone(),
            holder: self.incarnation,
            attempt,
            claim: tenure.fencing,
            term: self.settings.term,
        }))]
    }

    /// Gives up the lease and claims no more, as in a planned stop. The driver calls this when its
    /// orders have been answered.
    pub fn resign(&mut self) -> SmallVec<[LeaseAction; 4]> {
        self.role = LeaseRole::Observer;
        let Some(tenure) = self.tenure else { return SmallVec::new() };
        let mut actions = smallvec![self.release_record(tenure.fencing)];
        actions.extend(self.lose(LossCause::Released));
        actions
    }

    /// Records that the last record asked for by [`LeaseAction::Append`] was not taken by the
    /// writer. A later [`LeaseManager::tick`] asks again.
    pub const fn append_refused(&mut self) {
        self.pending = None;
    }

    /// Checks the clock. This is the last step before an order is written: the driver reads its
    /// monotonic clock, calls this, and writes at once. The order carries the number returned.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be written.
    pub fn permit(
        &self,
        now: Moment,
        fencing_support: FencingSupport,
    ) -> Result<FencingToken, PermitDenial> {
        let Some(tenure) = self.tenure else { return Err(PermitDenial::NotHeld) };
        if now >= tenure.until {
            return Err(PermitDenial::NotHeld);
        }
        let from = tenure.acquired_at + self.settings.extra_wait;
        if fencing_support == FencingSupport::Ignored && now < from {
            return Err(PermitDenial::ExtraWait(from));
        }
        Ok(tenure.fencing)
    }

    /// Returns the number of the lease while this process holds it by its own clock.
    #[must_use]
    pub fn held_token(&self, now: Moment) -> Option<FencingToken> {
        self.permit(now, FencingSupport::Checked).ok()
    }

    /// Returns the claim in force by log order, whoever made it, or `None` when there is none or it
    /// cannot be known because the beginning of the stream is no longer retained.
    #[must_use]
    pub fn claim_in_force(&self) -> Option<FencingToken> {
        self.chain.as_ref().and_then(ClaimChain::claim_in_force)
    }

    /// Tells whether a record written under `fencing` is void at the present position in the log.
    #[must_use]
    pub fn is_superseded(&self, fencing: FencingToken) -> bool {
        match &self.chain {
            Some(chain) if !chain.is_partial() => chain.claim_in_force() != Some(fencing),
            _ => false,
        }
    }

    /// Returns when [`LeaseManager::tick`] next has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let chain = self.chain.as_ref()?;
        match self.tenure {
            Some(tenure) if self.pending.is_some() => Some(tenure.until),
            Some(tenure) => Some(tenure.until.min(tenure.sent_at + self.settings.renewal)),
            None if self.role == LeaseRole::Observer || self.pending.is_some() => None,
            None => Some(self.claim_at(chain)),
        }
    }

    fn claim_at(&self, chain: &ClaimChain) -> Moment {
        let wait = self.settings.margin + self.settings.order_timeout;
        chain.claimable_at(self.settings.term, wait) + self.claim_delay
    }

    const fn start_attempt(&mut self, now: Moment) -> u32 {
        self.last_attempt += 1;
        self.pending = Some(PendingRecord { attempt: self.last_attempt, sent_at: now });
        self.last_attempt
    }

    fn take_pending(&mut self, holder: Incarnation, attempt: u32) -> Option<PendingRecord> {
        if holder != self.incarnation {
            return None;
        }
        self.pending.take_if(|pending| pending.attempt == attempt)
    }

    fn on_claim(
        &mut self,
        now: Moment,
        fencing: FencingToken,
        claim: &LeaseClaim,
        verdict: Verdict,
    ) -> SmallVec<[LeaseAction; 4]> {
        let own = self.take_pending(claim.holder, claim.attempt);
        if verdict != Verdict::Valid {
            return SmallVec::new();
        }
        let mut actions: SmallVec<_> = self.lose(LossCause::Succeeded).into_iter().collect();
        let Some(own) = own else { return actions };
        if self.role == LeaseRole::Observer {
            actions.push(self.release_record(fencing));
            return actions;
        }
        let until = self.lease_end(own.sent_at, claim.term);
        if now < until {
            self.tenure = Some(Tenure { fencing, acquired_at: now, sent_at: own.sent_at, until });
            actions.push(LeaseAction::Acquired(fencing));
        }
        actions
    }

    fn on_renewal(&mut self, renewal: &LeaseRenewal, verdict: Verdict) {
        let Some(own) = self.take_pending(renewal.holder, renewal.attempt) else { return };
        let until = self.lease_end(own.sent_at, renewal.term);
        let Some(tenure) = &mut self.tenure else { return };
        if verdict == Verdict::Valid && tenure.fencing == renewal.claim {
            tenure.sent_at = own.sent_at;
            tenure.until = until;
        }
    }

    fn lease_end(&self, sent_at: Moment, term: Span) -> Moment {
        sent_at + term.saturating_sub(self.settings.margin)
    }

    fn release_record(&self, claim: FencingToken) -> LeaseAction {
        let holder = self.incarnation;
        LeaseAction::Append(AuthorityRecord::Release(LeaseRelease {
            scope: self.scope.clone(),
            holder,
            claim,
        }))
    }

    /// Drops a pending renewal as well, since it no longer extends anything.
    fn lose(&mut self, cause: LossCause) -> Option<LeaseAction> {
        let tenure = self.tenure.take()?;
        self.pending = None;
        Some(LeaseAction::Lost { fencing: tenure.fencing, cause })
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term: Span::from_secs(10),
            renewal: Span::from_secs(3),
            margin: Span::from_secs(2),
            order_timeout: Span::from_secs(3),
            extra_wait: Span::from_secs(30),
        }
    }
}

impl fmt::Display for PermitDenial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotHeld => f.write_str("this process does not hold the lease"),
            Self::ExtraWait(until) => write!(
                f,
                "the receiver ignores fencing numbers and takes no order before {} us",
                until.0
            ),
            Self::NotWaiting => f.write_str("the order does not wait to be written"),
        }
    }
}

impl std::error::Error for PermitDenial {}
