//! Claims, renews and gives up the lease of one scope for one process.

use std::fmt;

use base::{FencingToken, Incarnation, LogOffset, Moment, Span, derive_copy, derive_value};
use smallvec::{SmallVec, smallvec};

use crate::{
    AuthorityRecord, CallEnd, LeaseClaim, LeaseRelease, LeaseRenewal, LeaseScope,
    call::OpenCalls,
    lease_records::{LeaseRecords, RecordValidity},
};

derive_copy! {
    /// Durations of a lease. All nodes must use the same values; a change may only lengthen them.
    pub struct LeaseSettings {
        /// Time for which a claim or a renewal gives the lease.
        pub term: Span,
        /// Time from sending one lease record to sending the next renewal.
        pub renewal: Span,
        /// The holder stops this long before the term ends, and a successor waits this long after
        /// it.
        pub margin: Span,
        /// Maximum time from the clock check before an order until the receiver has acted on the
        /// order.
        pub order_timeout: Span,
        /// Delay from acquisition to the first order to a receiver that ignores fencing tokens.
        pub extra_wait: Span,
    }

    /// Whether a process claims the lease when it is free.
    pub enum LeaseRole {
        /// Claims the lease when it is free.
        Candidate,
        /// Follows the records and never claims, for example while the process drains.
        Observer,
    }

    /// What a receiver of orders does with their fencing tokens.
    pub enum FencingSupport {
        /// Refuses an order whose token is below the highest that it has seen.
        Checked,
        /// Accepts an order with any token.
        Ignored,
    }

    /// Why a process no longer holds a lease.
    pub enum LossCause {
        /// The term, less the margin, ended on this process's clock before a renewal was read back.
        Expired,
        /// A later claim is in force.
        Succeeded,
        /// This process released the lease.
        Released,
        /// Records of the stream are lost to this process, and one of them may be a claim.
        GapInLog,
    }

    /// Why an order must not be sent now.
    pub enum PermitDenial {
        /// This process does not hold the lease.
        NotHeld,
        /// The receiver ignores fencing tokens, and [`LeaseSettings::extra_wait`] ends at this
        /// moment.
        ExtraWait(Moment),
        /// No order of this id is due to be sent.
        NotWaiting,
    }

    /// A claim or renewal of this process that it has not yet read back from the log.
    struct PendingRecord {
        attempt: u32,
        /// Time before the record was passed to the driver. The term counts from here.
        sent_at: Moment,
    }

    /// The lease while this process holds it.
    struct HeldLease {
        fencing: FencingToken,
        acquired_at: Moment,
        /// Time before the last valid claim or renewal was passed to the driver.
        sent_at: Moment,
        /// End of the term, less the margin.
        until: Moment,
        /// Whether this process no longer uses the lease, and releases it once none of its calls can
        /// arrive any more.
        resigning: bool,
    }
}

derive_value! {
    /// What the driver of a [`LeaseManager`] has to do or know.
    pub enum LeaseAction {
        /// Append the record to the stream of the scope.
        Append(AuthorityRecord),
        /// This process now holds the lease with this fencing token.
        Acquired(FencingToken),
        /// This process no longer uses the lease with this fencing token. It releases the lease once
        /// none of its calls can arrive any more.
        ReleaseDeferred(FencingToken),
        /// This process no longer holds the lease.
        Lost {
            /// Fencing token of the lease that ended.
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
    lease_records: Option<LeaseRecords>,
    pending: Option<PendingRecord>,
    held: Option<HeldLease>,
    calls: OpenCalls,
}

impl LeaseManager {
    /// Creates a manager that does nothing until [`LeaseManager::restart_from`] is called.
    #[must_use]
    pub fn new(
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
            lease_records: None,
            pending: None,
            held: None,
            calls: OpenCalls::default(),
        }
    }

    /// Sets whether this process claims the lease when it is free. A lease that it holds is kept.
    pub const fn set_role(&mut self, role: LeaseRole) {
        self.role = role;
    }

    /// Sets how long this process waits after the earliest moment at which it may claim. Each node
    /// has a different delay, so that they do not all append a claim at the same time.
    pub const fn set_claim_delay(&mut self, delay: Span) {
        self.claim_delay = delay;
    }

    /// Starts reading at `first`, the oldest retained offset, or continues there after a gap. A
    /// lease that this process holds is lost, since the gap may contain a claim of another process.
    pub fn restart_from(&mut self, now: Moment, first: LogOffset) -> SmallVec<[LeaseAction; 4]> {
        self.lease_records = Some(LeaseRecords::new(first, now));
        self.pending = None;
        self.drop_lease(LossCause::GapInLog).into_iter().collect()
    }

    /// Processes the next record of the stream. The driver passes the records in log order.
    pub fn read(
        &mut self,
        now: Moment,
        offset: LogOffset,
        record: &AuthorityRecord,
    ) -> SmallVec<[LeaseAction; 4]> {
        if *record.scope() != self.scope {
            return SmallVec::new();
        }
        let Some(lease_records) = &mut self.lease_records else { return SmallVec::new() };
        match record {
            AuthorityRecord::Claim(claim) => {
                let validity = lease_records.claim(now, offset, claim);
                self.handle_claim(now, FencingToken(offset.0), claim, validity)
            }
            AuthorityRecord::Renewal(renewal) => {
                let validity = lease_records.renew(now, offset, renewal);
                self.handle_renewal(renewal, validity);
                SmallVec::new()
            }
            AuthorityRecord::Release(release) => {
                lease_records.release(now, offset, release);
                SmallVec::new()
            }
            AuthorityRecord::Intent(_) | AuthorityRecord::Outcome(_) => SmallVec::new(),
        }
    }

    /// Ends, renews, releases or claims the lease if that is due at `now`.
    pub fn tick(&mut self, now: Moment) -> SmallVec<[LeaseAction; 4]> {
        self.calls.settle(now);
        let Some(lease_records) = &self.lease_records else { return SmallVec::new() };
        let Some(held) = self.held else {
            if self.role == LeaseRole::Observer
                || self.pending.is_some()
                || now < self.next_claim_at(lease_records)
            {
                return SmallVec::new();
            }
            let clear_from = lease_records.clear_from();
            let attempt = self.start_attempt(now);
            return smallvec![LeaseAction::Append(AuthorityRecord::Claim(LeaseClaim {
                scope: self.scope.clone(),
                holder: self.incarnation,
                attempt,
                term: self.settings.term,
                clear_from,
            }))];
        };
        if held.resigning {
            return self.resign(now);
        }
        if now >= held.until {
            return self.drop_lease(LossCause::Expired).into_iter().collect();
        }
        if self.pending.is_some() || now < held.sent_at + self.settings.renewal {
            return SmallVec::new();
        }
        let attempt = self.start_attempt(now);
        smallvec![LeaseAction::Append(AuthorityRecord::Renewal(LeaseRenewal {
            scope: self.scope.clone(),
            holder: self.incarnation,
            attempt,
            claim: held.fencing,
            term: self.settings.term,
        }))]
    }

    /// Stops using the lease and becomes an observer, as in a planned stop. The lease is released
    /// once none of the [calls](LeaseManager::begin_call) under it can arrive any more, since a
    /// successor may claim a released lease at once. A later call of this function or of
    /// [`LeaseManager::tick`] releases it, unless its term ends before.
    pub fn resign(&mut self, now: Moment) -> SmallVec<[LeaseAction; 4]> {
        self.role = LeaseRole::Observer;
        self.calls.settle(now);
        let Some(held) = &mut self.held else { return SmallVec::new() };
        let fencing = held.fencing;
        if now >= held.until {
            return self.drop_lease(LossCause::Expired).into_iter().collect();
        }
        if !self.calls.is_empty() {
            let begins = !std::mem::replace(&mut held.resigning, true);
            return begins.then_some(LeaseAction::ReleaseDeferred(fencing)).into_iter().collect();
        }
        let mut actions = smallvec![self.release_record(fencing)];
        actions.extend(self.drop_lease(LossCause::Released));
        actions
    }

    /// Returns whether this process holds a lease that it no longer uses and has not yet released.
    #[must_use]
    pub fn is_resigning(&self) -> bool {
        self.held.is_some_and(|held| held.resigning)
    }

    /// Records that a call under the lease begins. The driver calls this before the check of
    /// [`LeaseManager::permit`] that precedes the first byte.
    pub const fn begin_call(&mut self) {
        self.calls.begin();
    }

    /// Records how a call that [`LeaseManager::begin_call`] has recorded ended.
    pub fn end_call(&mut self, now: Moment, end: CallEnd) {
        self.calls.end(now, end, self.settings.order_timeout);
    }

    /// Records that the log writer did not accept the record of the last [`LeaseAction::Append`]. A
    /// later [`LeaseManager::tick`] tries again.
    pub const fn append_refused(&mut self) {
        self.pending = None;
    }

    /// Checks whether the lease is held at `now` and returns its fencing token, which the order
    /// carries. This is the last step before an order is sent: the driver reads its monotonic
    /// clock, calls this function and sends at once.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be sent.
    pub fn permit(
        &self,
        now: Moment,
        fencing_support: FencingSupport,
    ) -> Result<FencingToken, PermitDenial> {
        let Some(held) = self.held else { return Err(PermitDenial::NotHeld) };
        if held.resigning || now >= held.until {
            return Err(PermitDenial::NotHeld);
        }
        let from = held.acquired_at + self.settings.extra_wait;
        if fencing_support == FencingSupport::Ignored && now < from {
            return Err(PermitDenial::ExtraWait(from));
        }
        Ok(held.fencing)
    }

    /// Returns the fencing token while this process holds the lease by its own clock.
    #[must_use]
    pub fn held_token(&self, now: Moment) -> Option<FencingToken> {
        self.permit(now, FencingSupport::Checked).ok()
    }

    /// Returns the claim in force by log order, of any process, or `None` when there is none or it
    /// is not known because the beginning of the stream is no longer retained.
    #[must_use]
    pub fn claim_in_force(&self) -> Option<FencingToken> {
        self.lease_records.as_ref().and_then(LeaseRecords::claim_in_force)
    }

    /// Returns whether a record with the token `fencing` is void at the present position in the
    /// log.
    #[must_use]
    pub fn is_superseded(&self, fencing: FencingToken) -> bool {
        match &self.lease_records {
            Some(lease_records) if !lease_records.is_partial() => {
                lease_records.claim_in_force() != Some(fencing)
            }
            _ => false,
        }
    }

    /// Returns when [`LeaseManager::tick`] must be called next, or `None` while only a record of
    /// the log can change the state.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let lease_records = self.lease_records.as_ref()?;
        match self.held {
            Some(held) if held.resigning => {
                Some(self.calls.settled_at().map_or(held.until, |at| at.min(held.until)))
            }
            Some(held) if self.pending.is_some() => Some(held.until),
            Some(held) => Some(held.until.min(held.sent_at + self.settings.renewal)),
            None if self.role == LeaseRole::Observer || self.pending.is_some() => None,
            None => Some(self.next_claim_at(lease_records)),
        }
    }

    fn next_claim_at(&self, lease_records: &LeaseRecords) -> Moment {
        let wait = self.settings.margin + self.settings.order_timeout;
        lease_records.claimable_at(self.settings.term, wait) + self.claim_delay
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

    fn handle_claim(
        &mut self,
        now: Moment,
        fencing: FencingToken,
        claim: &LeaseClaim,
        validity: RecordValidity,
    ) -> SmallVec<[LeaseAction; 4]> {
        let own = self.take_pending(claim.holder, claim.attempt);
        if validity != RecordValidity::Valid {
            return SmallVec::new();
        }
        let mut actions: SmallVec<_> = self.drop_lease(LossCause::Succeeded).into_iter().collect();
        let Some(own) = own else { return actions };
        if self.role == LeaseRole::Observer {
            actions.push(self.release_record(fencing));
            return actions;
        }
        let until = self.lease_end(own.sent_at, claim.term);
        if now < until {
            let sent_at = own.sent_at;
            let resigning = false;
            self.held = Some(HeldLease { fencing, acquired_at: now, sent_at, until, resigning });
            actions.push(LeaseAction::Acquired(fencing));
        }
        actions
    }

    fn handle_renewal(&mut self, renewal: &LeaseRenewal, validity: RecordValidity) {
        let Some(own) = self.take_pending(renewal.holder, renewal.attempt) else { return };
        let until = self.lease_end(own.sent_at, renewal.term);
        let Some(held) = &mut self.held else { return };
        if validity == RecordValidity::Valid && held.fencing == renewal.claim {
            held.sent_at = own.sent_at;
            held.until = until;
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

    /// Ends the lease if this process holds it. A pending renewal is dropped, since it has no lease
    /// to extend.
    fn drop_lease(&mut self, cause: LossCause) -> Option<LeaseAction> {
        let held = self.held.take()?;
        self.pending = None;
        Some(LeaseAction::Lost { fencing: held.fencing, cause })
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
                "the receiver ignores fencing tokens: no order may be sent before {} us on the \
                 monotonic clock",
                until.0
            ),
            Self::NotWaiting => f.write_str("the order is not due to be sent"),
        }
    }
}

impl std::error::Error for PermitDenial {}
