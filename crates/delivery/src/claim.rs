//! Idempotency claims, decided by their order in the platform's log.
//!
//! The first claim of a key in log order holds the key until the expiry stated in the claim. A node
//! sends the first byte of a request only after it has read the request's claim back from the log
//! and found that it holds the key. A claim made at or after the expiry of the claim before it, by
//! the clock of its writer, replaces that claim.

use std::collections::{BTreeMap, btree_map::Entry};

use base::{Execution, Moment, Refusal, RefusalCode, Span, WallTime, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::{ClaimKey, Fingerprint, RequestId};

derive_copy! {
    /// Whether the platform's log accepts appends.
    pub enum LogAvailability {
        /// Appends are acknowledged.
        Up,
        /// Appends fail or are not acknowledged.
        Down,
    }

    /// Content of the log record `ClaimTaken`.
    pub struct ClaimTaken {
        /// The claimed key.
        pub claim: ClaimKey,
        /// Fingerprint of the request. A request with the same key and a different fingerprint is
        /// not a resend and is refused.
        pub fingerprint: Fingerprint,
        /// The request that claims the key.
        pub holder: RequestId,
        /// When the claim was made, by the clock of the node that wrote it.
        pub taken_at: WallTime,
        /// When the claim expires and the key may be claimed again.
        pub expires_at: WallTime,
    }

    /// Settings of a [`ClaimTable`].
    pub struct ClaimPolicy {
        /// Time from a claim to its expiry.
        pub lifetime: Span,
        /// Maximum body length in bytes of a response that is stored and replayed to a resend.
        pub max_answer_bytes: usize,
        /// Retry-After of the refusal while another request holds the claim or the log is
        /// unavailable.
        pub retry_after: Span,
    }
}

derive_value! {
    /// How the request that holds a claim ended.
    pub enum ClaimOutcome {
        /// It was answered, and this response is replayed to a resend.
        Answered {
            /// HTTP status.
            status: u16,
            /// Body of the response.
            body: Vec<u8>,
        },
        /// It was answered, and the response was too long to store. A resend is refused.
        AnswerNotKept,
        /// It may have run and its outcome is unknown. A resend is refused.
        Unknown,
        /// No byte of it was sent to an upstream. The claim is released and the key is free again.
        NotRun,
    }

    /// Content of the log record `ClaimDone`.
    pub struct ClaimDone {
        /// The claimed key.
        pub claim: ClaimKey,
        /// The request that holds the claim. The record is ignored if another request holds it.
        pub holder: RequestId,
        /// How the request ended.
        pub outcome: ClaimOutcome,
    }

    /// Input of [`ClaimTable::handle`].
    pub enum ClaimEvent {
        /// A caller sent a request with an idempotency key.
        Requested {
            /// The claimed key.
            claim: ClaimKey,
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// The request.
            request: RequestId,
            /// Time before which the request must be answered.
            deadline: Moment,
        },
        /// A claim, written by this node or another, was read from the log.
        TakenRead(ClaimTaken),
        /// An outcome was read from the log.
        DoneRead(ClaimDone),
        /// A request that was started with [`ClaimAction::Run`] has ended.
        Ended {
            /// The request.
            request: RequestId,
            /// How it ended.
            outcome: ClaimOutcome,
        },
        /// The caller of a waiting request closed its connection.
        CallerDisconnected(RequestId),
        /// The availability of the log changed.
        LogAvailabilityChanged(LogAvailability),
        /// The time of [`ClaimTable::next_deadline`] may have come. Also removes old claims.
        Tick,
    }

    /// Output of [`ClaimTable::handle`], to be carried out by the caller.
    pub enum ClaimAction {
        /// Append this claim to the log stream `claims`.
        AppendTaken(ClaimTaken),
        /// Append this outcome to the log stream `claims`.
        AppendDone(ClaimDone),
        /// The request holds its claim and may be sent to an upstream.
        Run(RequestId),
        /// Send the caller the stored response of the request that ran.
        Replay {
            /// The request to answer.
            request: RequestId,
            /// HTTP status of the stored response.
            status: u16,
            /// Body of the stored response.
            body: Vec<u8>,
        },
        /// Send the caller this refusal as the final response.
        Refuse {
            /// The request to answer.
            request: RequestId,
            /// The refusal.
            refusal: Refusal,
        },
    }
}

/// Actions returned for one event, in the order in which to carry them out.
pub type ClaimActions = SmallVec<[ClaimAction; 4]>;

#[derive(Debug, Clone)]
struct HeldClaim {
    taken: ClaimTaken,
    outcome: Option<ClaimOutcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The claim has not been read back from the log, and the caller waits.
    Waiting,
    /// The caller was refused or closed its connection. If the claim still turns out to hold the
    /// key, it is released.
    Withdrawn,
    /// The request holds its claim and runs.
    Running,
}

#[derive(Debug, Clone)]
struct LocalRequest {
    taken: ClaimTaken,
    deadline: Moment,
    state: RequestState,
}

/// Claims in the order of the log, and the requests of this node that wait for or hold a claim.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    policy: ClaimPolicy,
    log: LogAvailability,
    held: BTreeMap<ClaimKey, HeldClaim>,
    local_requests: BTreeMap<RequestId, LocalRequest>,
}

/// Time from the expiry of a claim to its removal from memory. No request waits that long for its
/// claim, so a claim of this node is always compared with every earlier claim that it overlaps.
const RETENTION_AFTER_EXPIRY: Span = Span::from_secs(3_600);

impl Default for ClaimPolicy {
    fn default() -> Self {
        Self {
            lifetime: Span::from_secs(3_600),
            max_answer_bytes: 4_096,
            retry_after: Span::from_secs(1),
        }
    }
}

impl ClaimTable {
    /// Creates an empty table. The log counts as available until
    /// [`ClaimEvent::LogAvailabilityChanged`] says otherwise.
    #[must_use]
    pub const fn new(policy: ClaimPolicy) -> Self {
        Self {
            policy,
            log: LogAvailability::Up,
            held: BTreeMap::new(),
            local_requests: BTreeMap::new(),
        }
    }

    /// Applies one event. `wall` is the wall-clock time of this node.
    pub fn handle(&mut self, now: Moment, wall: WallTime, event: ClaimEvent) -> ClaimActions {
        match event {
            ClaimEvent::Requested { claim, fingerprint, request, deadline } => {
                let taken = ClaimTaken {
                    claim,
                    fingerprint,
                    holder: request,
                    taken_at: wall,
                    expires_at: add_span(wall, self.policy.lifetime),
                };
                self.requested(taken, deadline)
            }
            ClaimEvent::TakenRead(taken) => self.taken_read(wall, taken),
            ClaimEvent::DoneRead(done) => {
                self.done_read(done);
                ClaimActions::new()
            }
            ClaimEvent::Ended { request, outcome } => self.ended(request, outcome),
            ClaimEvent::CallerDisconnected(request) => {
                self.withdraw(request);
                ClaimActions::new()
            }
            ClaimEvent::LogAvailabilityChanged(availability) => {
                self.log_availability_changed(availability)
            }
            ClaimEvent::Tick => self.tick(now, wall),
        }
    }

    /// Returns when [`ClaimEvent::Tick`] is due, or `None` when no request waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let waiting =
            self.local_requests.values().filter(|request| request.state == RequestState::Waiting);
        waiting.map(|request| request.deadline).min()
    }

    /// Returns the request that holds `claim` according to the log read so far, also after the
    /// request has ended.
    #[must_use]
    pub fn holder(&self, claim: ClaimKey) -> Option<RequestId> {
        self.held.get(&claim).map(|held| held.taken.holder)
    }

    /// Returns the number of claims in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no claim is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn requested(&mut self, taken: ClaimTaken, deadline: Moment) -> ClaimActions {
        if let Some(held) = self.held.get(&taken.claim)
            && taken.taken_at < held.taken.expires_at
        {
            return ClaimActions::from_iter([self.respond_to_duplicate(held, &taken)]);
        }
        if self.log == LogAvailability::Down {
            return ClaimActions::from_iter([self.refuse_unconfirmed(taken.holder)]);
        }
        self.local_requests
            .insert(taken.holder, LocalRequest { taken, deadline, state: RequestState::Waiting });
        ClaimActions::from_iter([ClaimAction::AppendTaken(taken)])
    }

    fn taken_read(&mut self, wall: WallTime, taken: ClaimTaken) -> ClaimActions {
        let holds_key = match self.held.entry(taken.claim) {
            Entry::Vacant(entry) => {
                entry.insert(HeldClaim { taken, outcome: None });
                true
            }
            Entry::Occupied(mut entry) => {
                if entry.get().taken.holder == taken.holder {
                    // The same claim record was read twice.
                    return ClaimActions::new();
                }
                let holds_key = taken.taken_at >= entry.get().taken.expires_at;
                if holds_key {
                    entry.insert(HeldClaim { taken, outcome: None });
                }
                holds_key
            }
        };
        let Some(local_request) = self.local_requests.get_mut(&taken.holder) else {
            return ClaimActions::new();
        };
        let request = taken.holder;
        if !holds_key {
            let is_waiting = local_request.state == RequestState::Waiting;
            self.local_requests.remove(&request);
            let Some(held) = self.held.get(&taken.claim).filter(|_| is_waiting) else {
                return ClaimActions::new();
            };
            return ClaimActions::from_iter([self.respond_to_duplicate(held, &taken)]);
        }
        match local_request.state {
            RequestState::Waiting if wall < taken.expires_at => {
                local_request.state = RequestState::Running;
                ClaimActions::from_iter([ClaimAction::Run(request)])
            }
            RequestState::Waiting => {
                self.local_requests.remove(&request);
                let mut actions = ClaimActions::from_iter([self.refuse_unconfirmed(request)]);
                actions.push(release(&taken));
                actions
            }
            RequestState::Withdrawn => {
                self.local_requests.remove(&request);
                ClaimActions::from_iter([release(&taken)])
            }
            RequestState::Running => ClaimActions::new(),
        }
    }

    fn done_read(&mut self, done: ClaimDone) {
        let Entry::Occupied(mut entry) = self.held.entry(done.claim) else { return };
        if entry.get().taken.holder != done.holder {
            return;
        }
        if done.outcome == ClaimOutcome::NotRun {
            entry.remove();
            return;
        }
        entry.get_mut().outcome = Some(done.outcome);
    }

    fn ended(&mut self, request: RequestId, outcome: ClaimOutcome) -> ClaimActions {
        let Some(local_request) = self.local_requests.remove(&request) else {
            return ClaimActions::new();
        };
        let outcome = match outcome {
            ClaimOutcome::Answered { body, .. } if body.len() > self.policy.max_answer_bytes => {
                ClaimOutcome::AnswerNotKept
            }
            outcome => outcome,
        };
        let claim = local_request.taken.claim;
        if let Some(held) = self.held.get_mut(&claim)
            && held.taken.holder == request
            && outcome != ClaimOutcome::NotRun
        {
            // The outcome takes effect here at once, so that a resend to this node need not wait
            // for the log. A release waits until its record is read, since another claim may
            // precede it in the log.
            held.outcome = Some(outcome.clone());
        }
        let done = ClaimDone { claim, holder: request, outcome };
        ClaimActions::from_iter([ClaimAction::AppendDone(done)])
    }

    fn withdraw(&mut self, request: RequestId) {
        if let Some(local_request) = self.local_requests.get_mut(&request)
            && local_request.state == RequestState::Waiting
        {
            local_request.state = RequestState::Withdrawn;
        }
    }

    fn log_availability_changed(&mut self, availability: LogAvailability) -> ClaimActions {
        self.log = availability;
        if availability == LogAvailability::Up {
            return ClaimActions::new();
        }
        self.withdraw_waiting(|_| true)
    }

    fn tick(&mut self, now: Moment, wall: WallTime) -> ClaimActions {
        self.held.retain(|_, held| wall < add_span(held.taken.expires_at, RETENTION_AFTER_EXPIRY));
        let expired = self.withdraw_waiting(|request| request.deadline <= now);
        let held = &self.held;
        self.local_requests.retain(|_, request| {
            let is_expired = wall >= add_span(request.taken.expires_at, RETENTION_AFTER_EXPIRY);
            request.state != RequestState::Withdrawn
                || !is_expired
                || held.contains_key(&request.taken.claim)
        });
        expired
    }

    fn withdraw_waiting(&mut self, matches: impl Fn(&LocalRequest) -> bool) -> ClaimActions {
        let waiting = self
            .local_requests
            .iter()
            .filter(|(_, local_request)| local_request.state == RequestState::Waiting);
        let requests = waiting
            .filter(|(_, local_request)| matches(local_request))
            .map(|(request, _)| *request);
        let requests = requests.collect::<SmallVec<[RequestId; 8]>>();
        let mut actions = ClaimActions::new();
        for request in requests {
            self.withdraw(request);
            actions.push(self.refuse_unconfirmed(request));
        }
        actions
    }

    fn refuse_unconfirmed(&self, request: RequestId) -> ClaimAction {
        let message = "the platform's log did not confirm the idempotency claim";
        let refusal = Refusal::not_run(RefusalCode::LogUnavailable, message)
            .with_retry_after(self.policy.retry_after);
        ClaimAction::Refuse { request, refusal }
    }

    fn respond_to_duplicate(&self, held: &HeldClaim, duplicate: &ClaimTaken) -> ClaimAction {
        let request = duplicate.holder;
        if held.taken.fingerprint != duplicate.fingerprint {
            let message = "the idempotency key was used for a different request";
            let refusal = Refusal::not_run(RefusalCode::RequestInvalid, message);
            return ClaimAction::Refuse { request, refusal };
        }
        let (message, retry_after) = match &held.outcome {
            Some(ClaimOutcome::Answered { status, body }) => {
                return ClaimAction::Replay { request, status: *status, body: body.clone() };
            }
            Some(ClaimOutcome::AnswerNotKept) => {
                ("the request has run and its answer was too long to store", None)
            }
            Some(ClaimOutcome::Unknown) => {
                ("the request may have run, its outcome is unknown", None)
            }
            Some(ClaimOutcome::NotRun) | None => (
                "a request with this idempotency key is still running",
                Some(self.policy.retry_after),
            ),
        };
        let refusal = Refusal {
            code: RefusalCode::AlreadyClaimed,
            execution: Execution::MayHaveRun,
            retry_after,
            message: String::from(message),
        };
        ClaimAction::Refuse { request, refusal }
    }
}

fn release(taken: &ClaimTaken) -> ClaimAction {
    let ClaimTaken { claim, holder, .. } = *taken;
    ClaimAction::AppendDone(ClaimDone { claim, holder, outcome: ClaimOutcome::NotRun })
}

const fn add_span(time: WallTime, span: Span) -> WallTime {
    WallTime(time.0.saturating_add(span.as_millis().cast_signed()))
}
