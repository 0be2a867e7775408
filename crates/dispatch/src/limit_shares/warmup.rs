//! Limits of cold upstreams.

use base::{Moment, ProcessDigest, Span};

use super::{CLAIM_DELAY, CurrentLimit, LimitShares};
use crate::WarmupLimit;

/// Process that is cold.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdProcess {
    limit: WarmupLimit,
    /// When this node learned that the process is cold.
    since: Moment,
}

impl LimitShares {
    /// Sets the limit of a process that is cold, or removes it from one that is not. Returns whether
    /// that changes whether the process has such a limit, or its rate.
    pub fn set_warmup(
        &mut self,
        now: Moment,
        process: ProcessDigest,
        limit: Option<WarmupLimit>,
    ) -> bool {
        let previous = self.cold.get(&process).copied();
        let Some(limit) = limit.filter(|limit| now < limit.until) else {
            return self.cold.remove(&process).is_some();
        };
        let previous_limit = self.limit(now, process);
        // Claims go on when a cold process becomes cold once more.
        let since = previous.map_or(now, |cold| cold.since);
        self.cold.insert(process, ColdProcess { limit, since });
        self.reduce_use(now, process, previous_limit);
        previous.is_none_or(|cold| cold.limit.rate != limit.rate)
    }

    /// Returns the time until the claims of a cold process may begin or its cold time ends,
    /// whichever comes first, or `None` if no process is cold.
    #[must_use]
    pub fn next_warmup_step(&self, now: Moment) -> Option<Span> {
        let steps =
            self.cold.values().flat_map(|cold| [cold.since + CLAIM_DELAY, cold.limit.until]);
        steps.filter(|step| now < *step).min().map(|step| step.since(now))
    }

    pub(super) fn end_warmups(&mut self, now: Moment) {
        self.cold.retain(|_, cold| now < cold.limit.until);
    }

    /// Returns the limit that applies to a process: the lower of the one that it names and the one
    /// for the time while it is cold.
    pub(super) fn limit(&self, now: Moment, process: ProcessDigest) -> Option<CurrentLimit> {
        let named = self.limits.get(&process).and_then(|known| known.rate);
        let cold = self.cold.get(&process).filter(|cold| now < cold.limit.until);
        match (named, cold.map(|cold| cold.limit)) {
            (named, Some(cold)) if named.is_none_or(|named| cold.rate <= named) => {
                let ends_at = named.is_none().then_some(cold.until);
                Some(CurrentLimit { rate: cold.rate, is_warmup: true, ends_at })
            }
            (named, _) => Some(CurrentLimit { rate: named?, is_warmup: false, ends_at: None }),
        }
    }

    /// Returns whether the process names a limit.
    pub(super) fn is_named(&self, process: ProcessDigest) -> bool {
        self.limits.get(&process).is_some_and(|known| known.rate.is_some())
    }

    /// Returns when this node last learned of a limit of the process.
    pub(super) fn limit_changed_at(&self, process: ProcessDigest) -> Option<Moment> {
        let named = self.limits.get(&process).map(|known| known.changed_at);
        let cold = self.cold.get(&process).map(|cold| cold.since);
        named.max(cold)
    }
}
