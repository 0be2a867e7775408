//! Idempotency claims, settled by the stream `claims`.

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

/// Claims of this node.
pub(crate) struct ClaimDriver {
    table: ClaimTable,
    waiting: HashMap<RequestId, oneshot::Sender<ClaimDecision>>,
    log: LogAvailability,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<ClaimEvent>(control, String::from(CLAIM_STREAM), |control, event| {
        // A gap loses only claims that are older than the log's retention.
        if let StreamEvent::Record { record, .. } = event {
            control.claim_event(record);
        }
        NextRead::Onwards
    });
}

impl ClaimDriver {
    pub(crate) fn new() -> Self {
        Self {
            table: ClaimTable::new(ClaimPolicy::default()),
            waiting: HashMap::new(),
            log: LogAvailability::Up,
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
        self.state().claims.waiting.insert(request, reply);
        self.claim_event(ClaimEvent::Requested { claim, fingerprint, request, deadline });
    }

    pub(crate) fn claim_ended(self: &Rc<Self>, request: RequestId, outcome: ClaimOutcome) {
        self.claim_event(ClaimEvent::Ended { request, outcome });
    }

    pub(crate) fn tick_claims(self: &Rc<Self>, now: Moment) {
        let changed = {
            let mut state = self.state();
            let availability = match state.log.is_down(now) {
                true => LogAvailability::Down,
                false => LogAvailability::Up,
            };
            let changed = state.claims.log != availability;
            state.claims.log = availability;
            changed.then_some(availability)
        };
        if let Some(availability) = changed {
            self.claim_event(ClaimEvent::LogAvailabilityChanged(availability));
        }
        self.claim_event(ClaimEvent::Tick);
        self.drop_abandoned_claims();
    }

    /// Withdraws the claims of callers that have disconnected.
    fn drop_abandoned_claims(self: &Rc<Self>) {
        let gone = {
            let state = self.state();
            let waiting = state.claims.waiting.iter();
            let gone = waiting.filter(|(_, reply)| reply.is_closed()).map(|(id, _)| *id);
            gone.collect::<Vec<_>>()
        };
        for request in gone {
            self.state().claims.waiting.remove(&request);
            self.claim_event(ClaimEvent::CallerDisconnected(request));
        }
    }

    fn claim_event(self: &Rc<Self>, event: ClaimEvent) {
        let now = self.now();
        let actions = self.state().claims.table.handle(now, wall_now(), event);
        self.claim_actions(actions);
    }

    fn claim_actions(self: &Rc<Self>, actions: ClaimActions) {
        for action in actions {
            match action {
                ClaimAction::AppendTaken(taken) => {
                    // Without room in the buffer the claim is refused when its wait ends.
                    let _ = self.append(CLAIM_STREAM, &ClaimEvent::TakenRead(taken));
                }
                ClaimAction::AppendDone(done) => {
                    let _ = self.append(CLAIM_STREAM, &ClaimEvent::DoneRead(done));
                }
                ClaimAction::Run(request) => {
                    if !self.answer_claim(request, ClaimDecision::Run) {
                        self.claim_ended(request, ClaimOutcome::NotRun);
                    }
                }
                ClaimAction::Replay { request, status, body } => {
                    self.answer_claim(request, ClaimDecision::Replay { status, body });
                }
                ClaimAction::Refuse { request, refusal } => {
                    self.answer_claim(request, ClaimDecision::Refuse(refusal));
                }
            }
        }
    }

    /// Returns whether the request is still there.
    fn answer_claim(&self, request: RequestId, decision: ClaimDecision) -> bool {
        let reply = self.state().claims.waiting.remove(&request);
        reply.is_some_and(|reply| reply.send(decision).is_ok())
    }
}
