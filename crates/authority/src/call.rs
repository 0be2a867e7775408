//! Calls of a lease holder that may still arrive at their receivers.

use base::{Moment, Span, derive_copy};

derive_copy! {
    /// How a call of a lease holder ended.
    pub enum CallEnd {
        /// The receiver has responded, so the call has arrived.
        Answered,
        /// The call was not sent.
        NotSent,
        /// The call may have been sent, and there is no response. It may still arrive.
        Unanswered,
    }
}

/// Calls that were begun and have not ended, and those that ended without a response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct OpenCalls {
    in_flight: u32,
    /// Latest moment at which a call without a response may arrive.
    arrives_until: Option<Moment>,
}

impl OpenCalls {
    pub(crate) const fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a call, which arrives within `order_timeout` if it does at all.
    pub(crate) fn end(&mut self, now: Moment, end: CallEnd, order_timeout: Span) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if end == CallEnd::Unanswered {
            self.arrives_until = self.arrives_until.max(Some(now + order_timeout));
        }
    }

    /// Forgets the calls that can no longer arrive.
    pub(crate) fn settle(&mut self, now: Moment) {
        self.arrives_until.take_if(|until| now > *until);
    }

    /// Returns whether no call can arrive any more.
    pub(crate) const fn is_empty(&self) -> bool {
        self.in_flight == 0 && self.arrives_until.is_none()
    }

    /// Returns when none of the calls that have ended can arrive any more, if some still can.
    pub(crate) fn settled_at(&self) -> Option<Moment> {
        self.arrives_until.map(|until| until + Span(1))
    }
}
