//! When the removal of an entry counts as a lapse, after which the entry may come back.

use base::{Moment, Span};

use crate::RemovalCause;

/// Time after the return of the store within which upstreams have written lapsed entries again (2 s),
/// and this node has read them.
const ENTRY_RETURN_TIME: Span = Span::from_millis(2_200);

/// Shortest time between two successful reads that counts as an outage. Entries lapse after several
/// missed renewals, which takes longer.
const MIN_OUTAGE: Span = Span::from_millis(750);

/// Time from the last check whether an upstream may be used until a request has reached it.
const SEND_TIME: Span = Span::from_millis(200);

/// Time window after an outage in which a missing entry may have lapsed, and its upstream is still
/// used as a last resort.
///
/// An outage is seen by the reads of the entries alone: other calls may fail for other reasons, or
/// fail late because they hung. The window ends at a moment that follows from the outage, and not
/// some time after a removal: a removal may be much older than the read that shows it. From
/// `stable_time` after an outage on, a removed entry means that its upstream is leaving, so the
/// window ends before that.
#[derive(Debug, Clone)]
pub struct LapseWindow {
    /// Time without disturbance after which all guarantees hold again.
    stable_time: Span,
    /// When the last successful read was sent.
    confirmed_at: Option<Moment>,
    /// When the last read that failed since then was sent. The outage has lasted until then.
    failed_at: Option<Moment>,
    ends_at: Option<Moment>,
}

impl LapseWindow {
    /// Creates the window of a node that has read no entries yet.
    #[must_use]
    pub const fn new(stable_time: Span) -> Self {
        Self { stable_time, confirmed_at: None, failed_at: None, ends_at: None }
    }

    /// Records that a read of the entries, sent at this time, failed.
    pub fn record_failure(&mut self, sent_at: Moment) {
        self.failed_at = Some(sent_at);
    }

    /// Records that a read of the entries, sent at `sent_at`, succeeded. The removals that it shows
    /// are judged afterwards.
    pub fn record_success(&mut self, now: Moment, sent_at: Moment) {
        let confirmed_at = self.confirmed_at.replace(sent_at);
        let Some(failed_at) = self.failed_at.take() else { return };
        if confirmed_at.is_some_and(|confirmed_at| sent_at.since(confirmed_at) < MIN_OUTAGE) {
            return;
        }
        let stable_at = failed_at + self.stable_time.saturating_sub(SEND_TIME);
        self.ends_at = Some(stable_at.min(now + ENTRY_RETURN_TIME));
    }

    /// Returns why an entry is gone that a successful read shows as removed, or no longer lists.
    #[must_use]
    pub fn removal_cause(&self, now: Moment) -> RemovalCause {
        match self.ends_at {
            Some(until) if now < until => RemovalCause::Lapsed { until },
            _ => RemovalCause::Left,
        }
    }
}
