//! Which requests a node accepts between the signal to stop and the end of its process.

use base::{Moment, Span, derive_copy};

/// Part of the grace that is reserved for what follows the last response: writing it out, and the
/// exit of the process on a slow VM. One twelfth of 8 s is 0.67 s.
const EXIT_FRACTION: u64 = 12;

derive_copy! {
    /// Schedule of a planned stop, from the signal until the platform kills the process.
    pub struct StopSchedule {
        routed_until: Moment,
        responses_due: Moment,
    }
}

impl StopSchedule {
    /// Builds the schedule of a stop that begins at `now` and may take `grace`. The load balancer may
    /// open connections to this node for `routing_lag` more.
    #[must_use]
    pub fn new(now: Moment, grace: Span, routing_lag: Span) -> Self {
        let reserve = Span(grace.0 / EXIT_FRACTION);
        Self { routed_until: now + routing_lag, responses_due: now + grace.saturating_sub(reserve) }
    }

    /// Returns until when the load balancer may open connections to this node.
    #[must_use]
    pub const fn routed_until(&self) -> Moment {
        self.routed_until
    }

    /// Returns by when every request must have its final response.
    #[must_use]
    pub const fn responses_due(&self) -> Moment {
        self.responses_due
    }

    /// Returns the deadline for a request that would otherwise have `deadline`, or `None` if the node
    /// must refuse it.
    ///
    /// While the load balancer still sends requests here, each is accepted with the time that is left.
    /// Later ones come over connections that their callers keep open although they were asked to close
    /// them. Those are accepted only if even their deadlines are within the grace.
    #[must_use]
    pub fn admit(&self, now: Moment, deadline: Moment) -> Option<Moment> {
        if now >= self.responses_due {
            return None;
        }
        if deadline > self.responses_due && now >= self.routed_until {
            return None;
        }
        Some(deadline.min(self.responses_due))
    }
}
