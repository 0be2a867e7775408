//! Choice of an upstream for a caller's request, and what is shared by all kinds of attempts.

use std::{net::SocketAddr, rc::Rc};

use base::{Refusal, RefusalCode, Span, UpstreamKey, rendezvous_weight};
use clients::{CallError, CallFailure, EngineControl as _};
use configuration::KeyCheck;
use routing::{PickRequest, UpstreamState};
use tokio::sync::oneshot;

use crate::{
    control_message::ControlMessage,
    shared::{SharedState, format_request_id},
    telemetry::log_event,
    traffic::{
        admitted::{CallerRequest, record},
        worker::TrafficWorker,
    },
    view::KeyAcceptance,
};

/// An upstream that will get the request.
pub(crate) struct ChosenUpstream {
    pub(crate) key: UpstreamKey,
    pub(crate) address: SocketAddr,
}

/// Size of the work to be placed.
pub(crate) struct WorkSize {
    pub(crate) tokens: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefix: Option<u64>,
}

/// Chooses an upstream and logs the decision.
pub(crate) fn pick(
    shared: &SharedState,
    request: &CallerRequest,
    size: &WorkSize,
) -> Result<ChosenUpstream, Refusal> {
    let service = &request.route.entry.service;
    let pick = PickRequest {
        tokens: size.tokens,
        prompt_tokens: size.prompt_tokens,
        prefix: size.prefix,
        min_version: None,
        avoid: request.tracker.tried(),
    };
    let choice = shared.scheduler().pick(shared.clock.now(), service, &pick);
    let Some(choice) = choice else { return Err(no_upstream(request, service)) };
    let view = shared.view.load();
    let Some(target) = view.upstreams.get(choice.upstream) else {
        return Err(no_upstream(request, service));
    };
    log_event!(
        RoutePicked,
        request = format_request_id(request.id),
        customer = request.customer(),
        upstream = target.name,
        zone = target.zone_name,
        reason = ?choice.reason,
        expected_ms = choice.expected.as_millis(),
        compared = choice.compared
    );
    let detail = format!(
        "{} in {}: {:?}, expected {} ms, {} compared",
        target.name,
        target.zone_name,
        choice.reason,
        choice.expected.as_millis(),
        choice.compared
    );
    record(shared, request.id, base::EventCode::RoutePicked, detail);
    Ok(ChosenUpstream { key: choice.upstream, address: target.address })
}

/// Returns the upstream that is kept free for a suspect.
pub(crate) fn isolated(
    shared: &SharedState,
    request: &CallerRequest,
    upstream: UpstreamKey,
) -> Result<ChosenUpstream, Refusal> {
    let view = shared.view.load();
    let Some(target) = view.upstreams.get(upstream) else {
        return Err(no_upstream(request, &request.route.entry.service));
    };
    log_event!(
        RoutePicked,
        request = format_request_id(request.id),
        upstream = target.name,
        reason = "Isolated"
    );
    let detail = format!("{} in {}: isolated run of a suspect", target.name, target.zone_name);
    record(shared, request.id, base::EventCode::RoutePicked, detail);
    Ok(ChosenUpstream { key: upstream, address: target.address })
}

/// Tells whether the key that came with the request still works.
pub(crate) fn key_stands(shared: &SharedState, request: &CallerRequest) -> bool {
    let Some(owner) = &request.owner else { return true };
    let view = shared.view.load();
    view.key_acceptance == KeyAcceptance::Accepting
        && view.keys.check(&owner.digest, &owner.customer) == KeyCheck::Valid
}

/// Waits until the control thread knows whether the upstream crashed.
pub(crate) async fn check_crash(
    shared: &SharedState,
    upstream: UpstreamKey,
    request: &CallerRequest,
) {
    let (reply, answer) = oneshot::channel();
    let message = ControlMessage::CrashCheck { upstream, fingerprint: request.fingerprint, reply };
    if shared.control.send(message).await.is_ok() {
        let _ = answer.await;
    }
}

/// Lets the control thread find out whether the upstream crashed, without waiting for it.
pub(crate) fn check_crash_later(
    shared: &SharedState,
    upstream: UpstreamKey,
    request: &CallerRequest,
) {
    let (reply, _) = oneshot::channel();
    let message = ControlMessage::CrashCheck { upstream, fingerprint: request.fingerprint, reply };
    let control = shared.control.clone();
    actix_rt::spawn(async move {
        let _ = control.send(message).await;
    });
}

/// Avoids an upstream that refused a connection until its watcher reports it again.
pub(crate) fn suspect_down(shared: &SharedState, upstream: UpstreamKey) {
    let mut scheduler = shared.scheduler();
    if scheduler.state(upstream) == Some(UpstreamState::Up) {
        scheduler.set_state(upstream, UpstreamState::Suspect);
    }
}

/// Cancels a generation without waiting for the answer.
pub(crate) fn cancel(worker: &Rc<TrafficWorker>, upstream: UpstreamKey, id: String) {
    let view = worker.shared.view.load();
    let Some(target) = view.upstreams.get(upstream) else { return };
    let address = target.address;
    let worker = Rc::clone(worker);
    actix_rt::spawn(async move {
        // The closed connection tells the engine as well, so a failure here needs no retry.
        let _ = worker.engines.cancel(address, &id).await;
    });
}

/// Hashes the beginning of a prompt.
pub(crate) fn prefix_hash(prefix: &[u8]) -> u64 {
    let mut hash = prefix.len() as u64;
    for chunk in prefix.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = rendezvous_weight(hash, u64::from_le_bytes(word));
    }
    hash
}

/// Describes an answer that ended before its end marker.
pub(crate) fn truncated() -> CallError {
    CallError {
        failure: CallFailure::Malformed,
        execution: base::Execution::MayHaveRun,
        retry_after: None,
        message: String::from("the upstream's answer is not whole"),
    }
}

fn no_upstream(request: &CallerRequest, service: &str) -> Refusal {
    let message = format!("no upstream of service \"{service}\" can take the request");
    let mut refusal = Refusal::not_run(RefusalCode::NoUpstream, message);
    refusal.execution = request.tracker.execution();
    refusal.with_retry_after(Span::from_secs(1))
}
