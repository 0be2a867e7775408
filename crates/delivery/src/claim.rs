//! Idempotency claims, settled by the order of the platform's log.
//!
//! The first claim of a key in log order holds it until the expiry that it states. A holder sends
//! the first byte only after it has read its own claim back as the winner. A claim that was
//! taken, by its writer's clock, after the expiry of the claim before it starts afresh.

use std::collections::{BTreeMap, btree_map::Entry};

use base::{Execution, Moment, Refusal, RefusalCode, Span, WallTime, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::{ClaimKey, Fingerprint, RequestId};

derive_copy! {
    /// Whether the platform's log accepts appends.
    pub enum LogAvailability {
        /// Appends are answered.
        Up,
        /// Appends fail or are not answered.
        Down,
    }

    /// Content of the log record `ClaimTaken`.
    pub struct ClaimTaken {
        /// The claimed key.
        pub claim: ClaimKey,
        /// Fingerprint of the request, which tells a resend from a reused key.
        pub fingerprint: Fingerprint,
        /// The request that claims.
        pub holder: RequestId,
        /// When the claim was made, by the clock of its writer.
        pub taken_at: WallTime,
        /// When the key may be claimed afresh.
        pub expires_at: WallTime,
    }

    /// Limits of the table.
    pub struct ClaimPolicy {
        /// Time from a claim to its expiry.
        pub lifetime: Span,
        /// Answers up to this length are kept for a resend.
        pub max_answer: usize,
        /// Retry time stated while another request holds the claim or the log is down.
        pub retry_after: Span,
    }
}

derive_value! {
    /// How a claimed request ended.
    pub enum ClaimOutcome {
        /// It was answered, and a resend gets this answer.
        Answered {
            /// HTTP status.
            status: u16,
            /// Body of the answer.
            body: Vec<u8>,
        },
        /// It was answered, and the answer is too long to be kept.
        AnswerNotKept,
        /// It may have run and its outcome is unknown.
        Unknown,
        /// No byte of it reached an upstream, so the key is free again.
        NotRun,
    }

    /// Content of the log record `ClaimDone`.
    pub struct ClaimDone {
        /// The claimed key.
        pub claim: ClaimKey,
        /// The request that holds the claim. Records of other requests have no effect.
        pub holder: RequestId,
        /// How it ended.
        pub outcome: ClaimOutcome,
    }

    /// Something that concerns claims.
    pub enum ClaimEvent {
        /// A caller's request with an idempotency key wants to run.
        Requested {
            /// The claimed key.
            claim: ClaimKey,
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// The request.
            request: RequestId,
            /// When the request must be answered.
            deadline: Moment,
        },
        /// A claim was read from the log, of this node or another.
        TakenRead(ClaimTaken),
        /// An outcome was read from the log.
        DoneRead(ClaimDone),
        /// A request that was told to run has ended.
        Ended {
            /// The request.
            request: RequestId,
            /// How it ended.
            outcome: ClaimOutcome,
        },
        /// The caller of a waiting request has disconnected.
        CallerDisconnected(RequestId),
        /// The log became reachable or unreachable.
        LogAvailabilityChanged(LogAvailability),
        /// Time has passed.
        Tick,
    }

    /// What the driver must do.
    pub enum ClaimAction {
        /// Append this claim to the stream `claims`.
        AppendTaken(ClaimTaken),
        /// Append this outcome to the stream `claims`.
        AppendDone(ClaimDone),
        /// The request holds its claim and may be sent.
        Run(RequestId),
        /// Give the caller the answer of the first run.
        Replay {
            /// The request that asked.
            request: RequestId,
            /// HTTP status of the first answer.
            status: u16,
            /// Body of the first answer.
            body: Vec<u8>,
        },
        /// Give the caller this final answer now.
        Refuse {
            /// The request that asked.
            request: RequestId,
            /// The answer.
            refusal: Refusal,
        },
    }
}

/// Actions that follow from one event.
pub type ClaimActions = SmallVec<[ClaimAction; 4]>;

#[derive(Debug, Clone)]
struct HeldClaim {
    taken: ClaimTaken,
    outcome: Option<ClaimOutcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The claim is not in the log yet and the caller waits.
    Waiting,
    /// The caller has its refusal. The claim is released if it still wins.
    Withdrawn,
    /// The request was told to run.
    Running,
}

#[derive(Debug, Clone)]
struct LocalRequest {
    taken: ClaimTaken,
    deadline: Moment,
    state: RequestState,
}

/// Claims as the log states them, and the requests of this node that wait for theirs.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    policy: ClaimPolicy,
    log: LogAvailability,
    held: BTreeMap<ClaimKey, HeldClaim>,
    own: BTreeMap<RequestId, LocalRequest>,
}

/// A claim is forgotten this long after its expiry. No request waits that long for its claim, so
/// an own claim can never meet a forgotten one that it overlaps.
const KEEP_AFTER_EXPIRY: Span = Span::from_secs(3_600);

impl Default for ClaimPolicy {
    fn default() -> Self {
        Self {
            lifetime: Span::from_secs(3_600),
            max_answer: 4_096,
            retry_after: Span::from_secs(1),
        }
    }
}

impl ClaimTable {
    /// Creates an empty table. The log counts as reachable until stated otherwise.
    #[must_use]
    pub const fn new(policy: ClaimPolicy) -> Self {
        Self { policy, log: LogAvailability::Up, held: BTreeMap::new(), own: BTreeMap::new() }
    }

    /// Applies one event. `wall` is the civil time of this node.
    pub fn handle(&mut self, now: Moment, wall: WallTime, event: ClaimEvent) -> ClaimActions {
        match event {
            ClaimEvent::Requested { claim, fingerprint, request, deadline } => {
                let taken = ClaimTaken {
                    claim,
                    fingerprint,
                    holder: request,
                    taken_at: wall,
                    expires_at: later(wall, self.policy.lifetime),
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
            ClaimEvent::LogAvailabilityChanged(availability) => self.log_changed(availability),
            ClaimEvent::Tick => self.tick(now, wall),
        }
    }

    /// Returns when [`ClaimEvent::Tick`] is due, or `None` when no request waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let waiting = self.own.values().filter(|request| request.state == RequestState::Waiting);
        waiting.map(|request| request.deadline).min()
    }

    /// Returns the request that holds `claim` by the log read so far, also after it has ended.
    #[must_use]
    pub fn holder(&self, claim: ClaimKey) -> Option<RequestId> {
        self.held.get(&claim).map(|held| held.taken.holder)
    }

    /// Returns the number of claims in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no claim is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn requested(&mut self, taken: ClaimTaken, deadline: Moment) -> ClaimActions {
        if let Some(held) = self.held.get(&taken.claim)
            && taken.taken_at < held.taken.expires_at
        {
            return ClaimActions::from_iter([self.answer_loser(held, &taken)]);
        }
        if self.log == LogAvailability::Down {
            return ClaimActions::from_iter([self.refuse_log_down(taken.holder)]);
        }
        self.own
            .insert(taken.holder, LocalRequest { taken, deadline, state: RequestState::Waiting });
        ClaimActions::from_iter([ClaimAction::AppendTaken(taken)])
    }

    fn taken_read(&mut self, wall: WallTime, taken: ClaimTaken) -> ClaimActions {
        let wins = match self.held.entry(taken.claim) {
            Entry::Vacant(entry) => {
                entry.insert(HeldClaim { taken, outcome: None });
                true
            }
            Entry::Occupied(mut entry) => {
                if entry.get().taken.holder == taken.holder {
                    // The record is a repeat of the one that won.
                    return ClaimActions::new();
                }
                let wins = taken.taken_at >= entry.get().taken.expires_at;
                if wins {
                    entry.insert(HeldClaim { taken, outcome: None });
                }
                wins
            }
        };
        let Some(local_request) = self.own.get_mut(&taken.holder) else {
            return ClaimActions::new();
        };
        let request = taken.holder;
        if !wins {
            let was_waiting = local_request.state == RequestState::Waiting;
            self.own.remove(&request);
            let Some(held) = self.held.get(&taken.claim).filter(|_| was_waiting) else {
                return ClaimActions::new();
            };
            return ClaimActions::from_iter([self.answer_loser(held, &taken)]);
        }
        match local_request.state {
            RequestState::Waiting if wall < taken.expires_at => {
                local_request.state = RequestState::Running;
                ClaimActions::from_iter([ClaimAction::Run(request)])
            }
            RequestState::Waiting => {
                self.own.remove(&request);
                let mut actions = ClaimActions::from_iter([self.refuse_log_down(request)]);
                actions.push(release(&taken));
                actions
            }
            RequestState::Withdrawn => {
                self.own.remove(&request);
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
        let Some(local_request) = self.own.remove(&request) else { return ClaimActions::new() };
        let outcome = match outcome {
            ClaimOutcome::Answered { body, .. } if body.len() > self.policy.max_answer => {
                ClaimOutcome::AnswerNotKept
            }
            outcome => outcome,
        };
        let claim = local_request.taken.claim;
        if let Some(held) = self.held.get_mut(&claim)
            && held.taken.holder == request
            && outcome != ClaimOutcome::NotRun
        {
            // A resend to this node need not wait for the record. A release does wait for it,
            // since another claim may precede the release in the log.
            held.outcome = Some(outcome.clone());
        }
        let done = ClaimDone { claim, holder: request, outcome };
        ClaimActions::from_iter([ClaimAction::AppendDone(done)])
    }

    fn withdraw(&mut self, request: RequestId) {
        if let Some(local_request) = self.own.get_mut(&request)
            && local_request.state == RequestState::Waiting
        {
            local_request.state = RequestState::Withdrawn;
        }
    }

    fn log_changed(&mut self, availability: LogAvailability) -> ClaimActions {
        self.log = availability;
        if availability == LogAvailability::Up {
            return ClaimActions::new();
        }
        self.withdraw_where(|_| true)
    }

    fn tick(&mut self, now: Moment, wall: WallTime) -> ClaimActions {
        self.held.retain(|_, held| wall < later(held.taken.expires_at, KEEP_AFTER_EXPIRY));
        let expired = self.withdraw_where(|request| request.deadline <= now);
        let held = &self.held;
        self.own.retain(|_, request| {
            let is_over = wall >= later(request.taken.expires_at, KEEP_AFTER_EXPIRY);
            request.state != RequestState::Withdrawn
                || !is_over
                || held.contains_key(&request.taken.claim)
        });
        expired
    }

    fn withdraw_where(&mut self, applies: impl Fn(&LocalRequest) -> bool) -> ClaimActions {
        let waiting = self
            .own
            .iter()
            .filter(|(_, local_request)| local_request.state == RequestState::Waiting);
        let requests = waiting
            .filter(|(_, local_request)| applies(local_request))
            .map(|(request, _)| *request);
        let requests = requests.collect::<SmallVec<[RequestId; 8]>>();
        let mut actions = ClaimActions::new();
        for request in requests {
            self.withdraw(request);
            actions.push(self.refuse_log_down(request));
        }
        actions
    }

    fn refuse_log_down(&self, request: RequestId) -> ClaimAction {
        let message = "the platform's log has not settled the idempotency claim";
        let refusal = Refusal::not_run(RefusalCode::LogUnavailable, message)
            .with_retry_after(self.policy.retry_after);
        ClaimAction::Refuse { request, refusal }
    }

    fn answer_loser(&self, held: &HeldClaim, asked: &ClaimTaken) -> ClaimAction {
        let request = asked.holder;
        if held.taken.fingerprint != asked.fingerprint {
            let message = "the idempotency key was used for a different request";
            let refusal = Refusal::not_run(RefusalCode::RequestInvalid, message);
            return ClaimAction::Refuse { request, refusal };
        }
        let (message, retry_after) = match &held.outcome {
            Some(ClaimOutcome::Answered { status, body }) => {
                return ClaimAction::Replay { request, status: *status, body: body.clone() };
            }
            Some(ClaimOutcome::AnswerNotKept) => {
                ("the request has run and its answer is not kept", None)
            }
            Some(ClaimOutcome::Unknown) => ("the request may have run, its outcome is lost", None),
            Some(ClaimOutcome::NotRun) | None => {
                ("the request is running", Some(self.policy.retry_after))
            }
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

const fn later(time: WallTime, span: Span) -> WallTime {
    WallTime(time.0.saturating_add(span.as_millis().cast_signed()))
}
