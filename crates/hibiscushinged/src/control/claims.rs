//! Claims of idempotency keys. The order of the records in the stream `claims` decides which
//! request wins a key.

use std::{collections::HashMap, rc::Rc};

use base::Moment;
use delivery::{
    ClaimAction, ClaimActions, ClaimEvent, ClaimOutcome, ClaimPolicy, ClaimTable, LogAvailability,
    RequestId,
};
use tokio::sync::oneshot;

use crate::{
    clock::wall_now,
    control::{
        Control,
        follow::{NextRead, StreamEvent, follow},
        streams::CLAIM_STREAM,
    },
    control_message::{ClaimDecision, ClaimRequest},
};

/// Claim table of this node and the requests that wait for a decision.
pub(crate) struct ClaimDriver {
    table: ClaimTable,
    replies: HashMap<RequestId, oneshot::Sender<ClaimDecision>>,
    log_availability: LogAvailability,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<ClaimEvent>(control, String::from(CLAIM_STREAM), |control, event| {
        // A gap is ignored: it loses only claims that are older than the log's retention.
        if let StreamEvent::Record { record, .. } = event {
            control.handle_claim_event(record);
        }
        NextRead::Continue
    });
}

impl ClaimDriver {
    pub(crate) fn new() -> Self {
        Self {
            table: ClaimTable::new(ClaimPolicy::default()),
            replies: HashMap::new(),
            log_availability: LogAvailability::Up,
        }
    }
}

impl Control {
    pub(crate) fn handle_claim_request(
        self: &Rc<Self>,
        claim_request: ClaimRequest,
        reply: oneshot::Sender<ClaimDecision>,
    ) {
        let ClaimRequest { claim, fingerprint, request, deadline } = claim_request;
        self.state().claims.replies.insert(request, reply);
        self.handle_claim_event(ClaimEvent::Requested { claim, fingerprint, request, deadline });
    }

    pub(crate) fn claim_ended(self: &Rc<Self>, request: RequestId, outcome: ClaimOutcome) {
        self.handle_claim_event(ClaimEvent::Ended { request, outcome });
    }

    pub(crate) fn tick_claims(self: &Rc<Self>, now: Moment) {
        let changed = {
            let mut state = self.state();
            let availability = match state.log.is_down(now) {
                true => LogAvailability::Down,
                false => LogAvailability::Up,
            };
            let changed = state.claims.log_availability != availability;
            state.claims.log_availability = availability;
            changed.then_some(availability)
        };
        if let Some(availability) = changed {
            self.handle_claim_event(ClaimEvent::LogAvailabilityChanged(availability));
        }
        self.handle_claim_event(ClaimEvent::Tick);
        self.drop_abandoned_claims();
    }

    /// Withdraws the claims of requests whose caller has disconnected.
    fn drop_abandoned_claims(self: &Rc<Self>) {
        let disconnected = {
            let state = self.state();
            let replies = state.claims.replies.iter();
            let disconnected = replies.filter(|(_, reply)| reply.is_closed()).map(|(id, _)| *id);
            disconnected.collect::<Vec<_>>()
        };
        for request in disconnected {
            self.state().claims.replies.remove(&request);
            self.handle_claim_event(ClaimEvent::CallerDisconnected(request));
        }
    }

    fn handle_claim_event(self: &Rc<Self>, event: ClaimEvent) {
        let now = self.now();
        let actions = self.state().claims.table.handle(now, wall_now(), event);
        self.perform_claim_actions(actions);
    }

    fn perform_claim_actions(self: &Rc<Self>, actions: ClaimActions) {
        for action in actions {
            match action {
                ClaimAction::AppendTaken(taken) => {
                    // When the write buffer is full, the claim is refused at its timeout.
                    let _ = self.append(CLAIM_STREAM, &ClaimEvent::TakenRead(taken));
                }
                ClaimAction::AppendDone(done) => {
                    let _ = self.append(CLAIM_STREAM, &ClaimEvent::DoneRead(done));
                }
                ClaimAction::Run(request) => {
                    if !self.reply_to_claim(request, ClaimDecision::Run) {
                        self.claim_ended(request, ClaimOutcome::NotRun);
                    }
                }
                ClaimAction::Replay { request, status, body } => {
                    self.reply_to_claim(request, ClaimDecision::Replay { status, body });
                }
                ClaimAction::Refuse { request, refusal } => {
                    self.reply_to_claim(request, ClaimDecision::Refuse(refusal));
                }
            }
        }
    }

    /// Sends the decision to the waiting request. Returns `false` when the request has ended
    /// meanwhile.
    fn reply_to_claim(&self, request: RequestId, decision: ClaimDecision) -> bool {
        let reply = self.state().claims.replies.remove(&request);
        reply.is_some_and(|reply| reply.send(decision).is_ok())
    }
}
