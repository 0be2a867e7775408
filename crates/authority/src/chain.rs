//! Which lease records of a stream are valid.
//!
//! Validity is a function of the log prefix, so all readers agree on it. A reader that starts after
//! the beginning of the stream lacks a part of the prefix. It treats records that it cannot judge
//! as valid where that makes it wait, and as void where that would give it the lease.

use base::{FencingToken, Incarnation, LogOffset, Moment, Span, derive_copy};

use crate::{LeaseClaim, LeaseRelease, LeaseRenewal};

derive_copy! {
    /// The last valid lease record.
    pub(crate) struct ChainLink {
        pub(crate) offset: LogOffset,
        pub(crate) claim: FencingToken,
        pub(crate) holder: Incarnation,
        pub(crate) attempt: u32,
        pub(crate) term: Span,
        pub(crate) state: LinkState,
        /// When this process first read the record.
        pub(crate) read_at: Moment,
    }

    pub(crate) enum LinkState {
        Leased,
        Released,
    }

    pub(crate) enum Verdict {
        Valid,
        Void,
        /// The prefix that would decide is not known to this reader.
        Undecided,
    }

    enum PrefixKnowledge {
        Complete,
        Partial,
    }
}

/// The lease records of one scope as one reader knows them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ClaimChain {
    first_read: LogOffset,
    since: Moment,
    knowledge: PrefixKnowledge,
    last: Option<ChainLink>,
}

impl ClaimChain {
    pub(crate) const fn new(first_read: LogOffset, since: Moment) -> Self {
        let knowledge = match first_read {
            LogOffset(0) => PrefixKnowledge::Complete,
            LogOffset(_) => PrefixKnowledge::Partial,
        };
        Self { first_read, since, knowledge, last: None }
    }

    /// Returns the claim in force, or `None` when there is none or the reader cannot know it.
    pub(crate) fn claim_in_force(&self) -> Option<FencingToken> {
        if self.is_partial() {
            return None;
        }
        self.last.map(|link| link.claim)
    }

    pub(crate) fn is_partial(&self) -> bool {
        self.knowledge == PrefixKnowledge::Partial
    }

    /// Returns the `clear_from` of a claim written now.
    pub(crate) fn clear_from(&self) -> LogOffset {
        self.last.map_or(self.first_read, |link| link.offset.next())
    }

    /// Returns when a successor may claim: after the whole term and `wait`, counted from its first
    /// reading of the last record.
    pub(crate) fn claimable_at(&self, term: Span, wait: Span) -> Moment {
        match self.last {
            Some(ChainLink { state: LinkState::Released, read_at, .. }) => read_at,
            Some(link) => link.read_at + link.term.max(term) + wait,
            None if self.is_partial() => self.since + term + wait,
            None => self.since,
        }
    }

    pub(crate) fn claim(&mut self, now: Moment, offset: LogOffset, claim: &LeaseClaim) -> Verdict {
        if claim.clear_from > offset {
            return Verdict::Void;
        }
        let link = ChainLink {
            offset,
            claim: FencingToken(offset.0),
            holder: claim.holder,
            attempt: claim.attempt,
            term: claim.term,
            state: LinkState::Leased,
            read_at: now,
        };
        let is_clear = self.last.is_none_or(|last| last.offset < claim.clear_from);
        let is_judged = !self.is_partial() || claim.clear_from >= self.first_read;
        if is_clear && is_judged {
            self.knowledge = PrefixKnowledge::Complete;
            self.last = Some(link);
            return Verdict::Valid;
        }
        if self.is_partial() {
            return self.suspect(link);
        }
        Verdict::Void
    }

    pub(crate) fn renew(
        &mut self,
        now: Moment,
        offset: LogOffset,
        renewal: &LeaseRenewal,
    ) -> Verdict {
        let link = ChainLink {
            offset,
            claim: renewal.claim,
            holder: renewal.holder,
            attempt: renewal.attempt,
            term: renewal.term,
            state: LinkState::Leased,
            read_at: now,
        };
        if self.is_partial() {
            return self.suspect(link);
        }
        let Some(last) = self.last else { return Verdict::Void };
        if !last.is_leased_to(renewal.holder, renewal.claim) || renewal.attempt <= last.attempt {
            return Verdict::Void;
        }
        self.last = Some(link);
        Verdict::Valid
    }

    pub(crate) fn release(
        &mut self,
        now: Moment,
        offset: LogOffset,
        release: &LeaseRelease,
    ) -> Verdict {
        if self.is_partial() {
            return self.suspect(ChainLink {
                offset,
                claim: release.claim,
                holder: release.holder,
                attempt: 0,
                term: Span::ZERO,
                state: LinkState::Leased,
                read_at: now,
            });
        }
        let Some(last) = self.last else { return Verdict::Void };
        if !last.is_leased_to(release.holder, release.claim) {
            return Verdict::Void;
        }
        let state = LinkState::Released;
        self.last = Some(ChainLink { offset, state, read_at: now, ..last });
        Verdict::Valid
    }

    /// Waits for a record that may be valid. The longest term seen counts.
    fn suspect(&mut self, link: ChainLink) -> Verdict {
        let term = self.last.map_or(link.term, |last| last.term.max(link.term));
        self.last = Some(ChainLink { term, ..link });
        Verdict::Undecided
    }
}

impl ChainLink {
    fn is_leased_to(&self, holder: Incarnation, claim: FencingToken) -> bool {
        self.state == LinkState::Leased && self.holder == holder && self.claim == claim
    }
}
