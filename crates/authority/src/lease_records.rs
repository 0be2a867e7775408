//! Decides which lease records of a stream are valid.
//!
//! Validity is a function of the log prefix, so all readers agree on it. A reader that starts after
//! the beginning of the stream lacks a part of the prefix. Where it cannot decide whether a record
//! is valid, it makes the safe assumption: valid if that makes it wait longer, void if the record
//! would give it the lease.

use base::{FencingToken, Incarnation, LogOffset, Moment, Span, derive_copy};

use crate::{LeaseClaim, LeaseRelease, LeaseRenewal};

derive_copy! {
    /// The last valid lease record, or the last undecided one while the prefix is partial.
    pub(crate) struct LastRecord {
        pub(crate) offset: LogOffset,
        pub(crate) claim: FencingToken,
        pub(crate) holder: Incarnation,
        pub(crate) attempt: u32,
        pub(crate) term: Span,
        pub(crate) state: LeaseState,
        /// When this process read the record, on its own clock.
        pub(crate) read_at: Moment,
    }

    pub(crate) enum LeaseState {
        Leased,
        Released,
    }

    /// Whether a lease record has an effect.
    pub(crate) enum RecordValidity {
        Valid,
        Void,
        /// This reader does not know the part of the prefix that decides.
        Undecided,
    }

    /// Whether this reader knows all that the log prefix says about the lease.
    enum PrefixKnowledge {
        Complete,
        Partial,
    }
}

/// The lease of one scope according to the records that one reader has read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LeaseRecords {
    /// Offset at which this process started to read.
    first_read: LogOffset,
    /// When this process started to read.
    started_at: Moment,
    knowledge: PrefixKnowledge,
    last: Option<LastRecord>,
}

impl LeaseRecords {
    pub(crate) const fn new(first_read: LogOffset, started_at: Moment) -> Self {
        let knowledge = match first_read {
            LogOffset(0) => PrefixKnowledge::Complete,
            LogOffset(_) => PrefixKnowledge::Partial,
        };
        Self { first_read, started_at, knowledge, last: None }
    }

    /// Returns the claim in force, or `None` when there is none or the prefix is partial.
    pub(crate) fn claim_in_force(&self) -> Option<FencingToken> {
        if self.is_partial() {
            return None;
        }
        self.last.map(|record| record.claim)
    }

    pub(crate) fn is_partial(&self) -> bool {
        self.knowledge == PrefixKnowledge::Partial
    }

    /// Returns the value of [`LeaseClaim::clear_from`] for a claim that is written now.
    pub(crate) fn clear_from(&self) -> LogOffset {
        self.last.map_or(self.first_read, |record| record.offset.next())
    }

    /// Returns when a candidate may claim: at once after a release or when the stream never had a
    /// record, else after the longer of its own `term` and the record's term, plus `wait`, counted
    /// from when it read the last record, or started to read a stream whose beginning it does not
    /// know.
    pub(crate) fn claimable_at(&self, term: Span, wait: Span) -> Moment {
        match self.last {
            Some(LastRecord { state: LeaseState::Released, read_at, .. }) => read_at,
            Some(record) => record.read_at + record.term.max(term) + wait,
            None if self.is_partial() => self.started_at + term + wait,
            None => self.started_at,
        }
    }

    pub(crate) fn claim(
        &mut self,
        now: Moment,
        offset: LogOffset,
        claim: &LeaseClaim,
    ) -> RecordValidity {
        if claim.clear_from > offset {
            return RecordValidity::Void;
        }
        let record = LastRecord {
            offset,
            claim: FencingToken(offset.0),
            holder: claim.holder,
            attempt: claim.attempt,
            term: claim.term,
            state: LeaseState::Leased,
            read_at: now,
        };
        let is_clear = self.last.is_none_or(|last| last.offset < claim.clear_from);
        let is_decidable = !self.is_partial() || claim.clear_from >= self.first_read;
        if is_clear && is_decidable {
            self.knowledge = PrefixKnowledge::Complete;
            self.last = Some(record);
            return RecordValidity::Valid;
        }
        if self.is_partial() {
            return self.wait_for_undecided(record);
        }
        RecordValidity::Void
    }

    pub(crate) fn renew(
        &mut self,
        now: Moment,
        offset: LogOffset,
        renewal: &LeaseRenewal,
    ) -> RecordValidity {
        let record = LastRecord {
            offset,
            claim: renewal.claim,
            holder: renewal.holder,
            attempt: renewal.attempt,
            term: renewal.term,
            state: LeaseState::Leased,
            read_at: now,
        };
        if self.is_partial() {
            return self.wait_for_undecided(record);
        }
        let Some(last) = self.last else { return RecordValidity::Void };
        if !last.is_leased_to(renewal.holder, renewal.claim) || renewal.attempt <= last.attempt {
            return RecordValidity::Void;
        }
        self.last = Some(record);
        RecordValidity::Valid
    }

    pub(crate) fn release(
        &mut self,
        now: Moment,
        offset: LogOffset,
        release: &LeaseRelease,
    ) -> RecordValidity {
        if self.is_partial() {
            return self.wait_for_undecided(LastRecord {
                offset,
                claim: release.claim,
                holder: release.holder,
                attempt: 0,
                term: Span::ZERO,
                state: LeaseState::Leased,
                read_at: now,
            });
        }
        let Some(last) = self.last else { return RecordValidity::Void };
        if !last.is_leased_to(release.holder, release.claim) {
            return RecordValidity::Void;
        }
        let state = LeaseState::Released;
        self.last = Some(LastRecord { offset, state, read_at: now, ..last });
        RecordValidity::Valid
    }

    /// Stores a record that may be valid, so that this reader waits until the lease would have
    /// ended. The longest term so far counts.
    fn wait_for_undecided(&mut self, record: LastRecord) -> RecordValidity {
        let term = self.last.map_or(record.term, |last| last.term.max(record.term));
        self.last = Some(LastRecord { term, ..record });
        RecordValidity::Undecided
    }
}

impl LastRecord {
    fn is_leased_to(&self, holder: Incarnation, claim: FencingToken) -> bool {
        self.state == LeaseState::Leased && self.holder == holder && self.claim == claim
    }
}
