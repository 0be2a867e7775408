//! The attempts of one request, from its acceptance to its final response.

use base::{Execution, Moment, Refusal, RefusalCode, Span, UpstreamKey, derive_copy, derive_value};
use smallvec::SmallVec;

derive_copy! {
    /// Whether a request may be retried after an upstream may have run it.
    pub enum RequestIdempotency {
        /// Running it twice has the same effect as running it once, so it may be retried.
        Idempotent,
        /// It runs at most once: after the first byte was sent it is not retried.
        NonIdempotent,
    }

    /// Progress of a request.
    pub enum AttemptState {
        /// No upstream is chosen for the next attempt.
        Waiting,
        /// An upstream is chosen and no byte has been written to its connection.
        Connecting(UpstreamKey),
        /// Bytes may have reached the upstream.
        Sent(UpstreamKey),
        /// The complete response was received.
        Answered,
        /// The request ended without a complete response.
        Abandoned,
    }

    /// Why an attempt failed.
    pub enum FailureCause {
        /// The connection could not be established.
        ConnectFailed,
        /// The connection broke, or the response was malformed.
        ConnectionBroken,
        /// The response ended before its declared length or its end marker.
        AnswerTruncated,
        /// The upstream responded that it cannot serve the request now (status 503).
        UpstreamBusy,
    }

    /// Retry limits of one request.
    pub struct RetryPolicy {
        /// Maximum number of attempts, including the first.
        pub max_attempts: u8,
        /// A failed attempt is retried only if more than this time is left before the deadline.
        pub min_attempt_time: Span,
        /// Retry-After of the refusal after a failed attempt that is not retried, or after the
        /// deadline.
        pub retry_after: Span,
    }
}

derive_value! {
    /// Input of [`AttemptTracker::handle`].
    pub enum AttemptEvent {
        /// An upstream was chosen for the next attempt.
        Chosen(UpstreamKey),
        /// The first byte is about to be written to the connection. Must be reported before the
        /// write, so that the request counts as possibly run even if the write fails. If the
        /// deadline has passed, the tracker refuses the request instead.
        Sending,
        /// The complete response was received and its length checked.
        Answered,
        /// The current attempt failed.
        Failed(FailureCause),
        /// The caller closed its connection.
        CallerDisconnected,
        /// This node refuses the request, for example because no upstream is free.
        GivenUp {
            /// Refusal code.
            code: RefusalCode,
            /// Time after which the caller may retry.
            retry_after: Span,
            /// Human-readable explanation.
            message: String,
        },
        /// The time of [`AttemptTracker::next_deadline`] may have come.
        Tick,
    }

    /// Output of [`AttemptTracker::handle`], to be carried out by the caller.
    pub enum AttemptAction {
        /// Choose another upstream, preferably none of [`AttemptTracker::tried`], and report
        /// [`AttemptEvent::Chosen`].
        Retry,
        /// Cancel the request on the upstream and close the connection, which must not be reused.
        Cancel(UpstreamKey),
        /// Close the connection to the upstream, which must not be reused.
        CloseConnection(UpstreamKey),
        /// Send the caller this refusal as the final response.
        Refuse(Refusal),
    }
}

/// Actions returned for one event, in the order in which to carry them out.
pub type AttemptActions = SmallVec<[AttemptAction; 4]>;

/// State machine of the attempts of one request.
#[derive(Debug, Clone)]
pub struct AttemptTracker {
    idempotency: RequestIdempotency,
    policy: RetryPolicy,
    deadline: Moment,
    state: AttemptState,
    execution: Execution,
    tried: SmallVec<[UpstreamKey; 4]>,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            min_attempt_time: Span::from_millis(5),
            retry_after: Span::from_secs(1),
        }
    }
}

impl AttemptTracker {
    /// Creates the tracker of a request that must be answered before `deadline`.
    #[must_use]
    pub fn new(idempotency: RequestIdempotency, deadline: Moment, policy: RetryPolicy) -> Self {
        Self {
            idempotency,
            policy,
            deadline,
            state: AttemptState::Waiting,
            execution: Execution::NotRun,
            tried: SmallVec::new(),
        }
    }

    /// Applies one event. Events after the request has ended are ignored.
    pub fn handle(&mut self, now: Moment, event: AttemptEvent) -> AttemptActions {
        if self.is_final() {
            return AttemptActions::new();
        }
        match event {
            AttemptEvent::Chosen(upstream) => {
                self.state = AttemptState::Connecting(upstream);
                self.tried.push(upstream);
                AttemptActions::new()
            }
            AttemptEvent::Sending => self.sending(now),
            AttemptEvent::Answered => {
                self.state = AttemptState::Answered;
                AttemptActions::new()
            }
            AttemptEvent::Failed(cause) => self.failed(now, cause),
            AttemptEvent::CallerDisconnected => self.abandon(),
            AttemptEvent::GivenUp { code, retry_after, message } => {
                self.refuse(code, retry_after, message)
            }
            AttemptEvent::Tick => self.tick(now),
        }
    }

    /// Returns when [`AttemptEvent::Tick`] is due, or `None` once the request has ended.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        (!self.is_final()).then_some(self.deadline)
    }

    /// Returns the progress of the request.
    #[must_use]
    pub const fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns whether an upstream may have run any part of the request.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.execution
    }

    /// Returns the upstreams chosen so far, in order.
    #[must_use]
    pub fn tried(&self) -> &[UpstreamKey] {
        &self.tried
    }

    /// Returns whether the first byte may be written now: an upstream is chosen, the deadline has
    /// not passed, and a request that must run at most once has not been sent before.
    #[must_use]
    pub fn may_send(&self, now: Moment) -> bool {
        let already_sent = self.idempotency == RequestIdempotency::NonIdempotent
            && self.execution == Execution::MayHaveRun;
        matches!(self.state, AttemptState::Connecting(_)) && !already_sent && now < self.deadline
    }

    fn is_final(&self) -> bool {
        matches!(self.state, AttemptState::Answered | AttemptState::Abandoned)
    }

    fn sending(&mut self, now: Moment) -> AttemptActions {
        let AttemptState::Connecting(upstream) = self.state else { return AttemptActions::new() };
        if !self.may_send(now) {
            return self.tick(now);
        }
        self.execution = Execution::MayHaveRun;
        self.state = AttemptState::Sent(upstream);
        AttemptActions::new()
    }

    fn failed(&mut self, now: Moment, cause: FailureCause) -> AttemptActions {
        let (AttemptState::Connecting(upstream) | AttemptState::Sent(upstream)) = self.state else {
            return AttemptActions::new();
        };
        let mut actions = AttemptActions::new();
        if matches!(self.state, AttemptState::Sent(_)) {
            actions.push(AttemptAction::CloseConnection(upstream));
        }
        self.state = AttemptState::Waiting;
        let (code, reason) = match cause {
            FailureCause::ConnectFailed => {
                (RefusalCode::NoUpstream, "could not connect to an upstream")
            }
            FailureCause::ConnectionBroken => (
                RefusalCode::UpstreamFailed,
                "the connection to the upstream broke or its answer was malformed",
            ),
            FailureCause::AnswerTruncated => {
                (RefusalCode::UpstreamFailed, "the upstream's answer was truncated")
            }
            FailureCause::UpstreamBusy => {
                (RefusalCode::Overloaded, "the upstream responded with status 503")
            }
        };
        let is_safe = self.idempotency == RequestIdempotency::Idempotent
            || self.execution == Execution::NotRun;
        let has_attempts = self.tried.len() < usize::from(self.policy.max_attempts);
        let has_time = now + self.policy.min_attempt_time < self.deadline;
        if is_safe && has_attempts && has_time {
            actions.push(AttemptAction::Retry);
            return actions;
        }
        let message = format!("{reason} after {} attempts", self.tried.len());
        actions.extend(self.refuse(code, self.policy.retry_after, message));
        actions
    }

    fn tick(&mut self, now: Moment) -> AttemptActions {
        if now < self.deadline {
            return AttemptActions::new();
        }
        let message = String::from("the deadline passed before the answer was complete");
        self.refuse(RefusalCode::DeadlineExceeded, self.policy.retry_after, message)
    }

    fn refuse(&mut self, code: RefusalCode, retry_after: Span, message: String) -> AttemptActions {
        let mut actions = self.abandon();
        let refusal = Refusal { code, execution: self.execution, retry_after: None, message };
        actions.push(AttemptAction::Refuse(refusal.with_retry_after(retry_after)));
        actions
    }

    fn abandon(&mut self) -> AttemptActions {
        let mut actions = AttemptActions::new();
        match self.state {
            AttemptState::Sent(upstream) => actions.push(AttemptAction::Cancel(upstream)),
            AttemptState::Connecting(upstream) => {
                actions.push(AttemptAction::CloseConnection(upstream));
            }
            _ => (),
        }
        self.state = AttemptState::Abandoned;
        actions
    }
}
