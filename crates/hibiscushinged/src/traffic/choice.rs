//! Choice of an upstream for a caller's request, and the steps that attempts at engines and at
//! plain services have in common.

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
        admitted::{CallerRequest, record_decision},
        worker::TrafficWorker,
    },
    view::KeyAcceptance,
};

/// The upstream to which the request is sent next.
pub(crate) struct ChosenUpstream {
    pub(crate) key: UpstreamKey,
    pub(crate) address: SocketAddr,
}

/// Size of the work for which an upstream is picked.
pub(crate) struct WorkSize {
    /// Tokens still to be generated, or the cost of a plain call.
    pub(crate) tokens: u32,
    pub(crate) prompt_tokens: u32,
    /// Hash of the beginning of the prompt, for cache affinity.
    pub(crate) prefix: Option<u64>,
}

/// Picks an upstream, avoiding those already tried, and logs the decision.
///
/// # Errors
///
/// Refuses the request when no upstream of its service can take it.
pub(crate) fn pick(
    shared: &SharedState,
    request: &CallerRequest,
    size: &WorkSize,
) -> Result<ChosenUpstream, Refusal> {
    let service = &request.route.entry.service;
    let pick_request = PickRequest {
        tokens: size.tokens,
        prompt_tokens: size.prompt_tokens,
        prefix: size.prefix,
        min_version: None,
        avoid: request.tracker.tried(),
    };
    let choice = shared.scheduler().pick(shared.clock.now(), service, &pick_request);
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
        "{} in {}: {:?}, expected to take {} ms, {} upstreams compared",
        target.name,
        target.zone_name,
        choice.reason,
        choice.expected.as_millis(),
        choice.compared
    );
    record_decision(shared, request.id, base::EventCode::RoutePicked, detail);
    Ok(ChosenUpstream { key: choice.upstream, address: target.address })
}

/// Returns the upstream that is reserved for a suspect's isolated run and logs the decision.
pub(crate) fn isolated_upstream(
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
    record_decision(shared, request.id, base::EventCode::RoutePicked, detail);
    Ok(ChosenUpstream { key: upstream, address: target.address })
}

/// Returns whether the request's API key is still valid and this node still accepts keys. Requests
/// on open routes need no key.
pub(crate) fn key_is_valid(shared: &SharedState, request: &CallerRequest) -> bool {
    let Some(owner) = &request.owner else { return true };
    let view = shared.view.load();
    view.key_acceptance == KeyAcceptance::Accepting
        && view.keys.check(&owner.digest, &owner.customer) == KeyCheck::Valid
}

/// Asks the control thread to probe the upstream, and waits until it has recorded whether the
/// upstream crashed.
pub(crate) async fn check_crash(
    shared: &SharedState,
    upstream: UpstreamKey,
    request: &CallerRequest,
) {
    let (reply, checked) = oneshot::channel();
    let message = ControlMessage::CrashCheck { upstream, fingerprint: request.fingerprint, reply };
    if shared.control.send(message).await.is_ok() {
        let _ = checked.await;
    }
}

/// Like [`check_crash`], but in a task of its own, without waiting for the result.
pub(crate) fn check_crash_in_background(
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

/// Marks an upstream that refused a connection as [`UpstreamState::Suspect`] until its watcher's
/// next report, so that it is picked only when no other upstream can take a request.
pub(crate) fn mark_upstream_suspect(shared: &SharedState, upstream: UpstreamKey) {
    let mut scheduler = shared.scheduler();
    if scheduler.state(upstream) == Some(UpstreamState::Up) {
        scheduler.set_state(upstream, UpstreamState::Suspect);
    }
}

/// Cancels a generation on its engine in a task of its own, without waiting for the response.
pub(crate) fn cancel(worker: &Rc<TrafficWorker>, upstream: UpstreamKey, id: String) {
    let view = worker.shared.view.load();
    let Some(target) = view.upstreams.get(upstream) else { return };
    let address = target.address;
    let worker = Rc::clone(worker);
    actix_rt::spawn(async move {
        // The engine also cancels when the connection closes, so a failure needs no retry.
        let _ = worker.engines.cancel(address, &id).await;
    });
}

/// Hashes the beginning of a prompt, for cache affinity.
pub(crate) fn prefix_hash(prefix: &[u8]) -> u64 {
    let mut hash = prefix.len() as u64;
    for chunk in prefix.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = rendezvous_weight(hash, u64::from_le_bytes(word));
    }
    hash
}

/// Returns the error for a streamed response that ended before its end marker or does not agree
/// with it.
pub(crate) fn truncated_response_error() -> CallError {
    CallError {
        failure: CallFailure::Malformed,
        execution: base::Execution::MayHaveRun,
        retry_after: None,
        message: String::from("the upstream's answer is truncated or inconsistent"),
    }
}

/// Returns the refusal for a service without an upstream that can take the request. It says whether
/// an earlier attempt may have run.
fn no_upstream(request: &CallerRequest, service: &str) -> Refusal {
    let message = format!("no upstream of service \"{service}\" can take the request");
    let mut refusal = Refusal::not_run(RefusalCode::NoUpstream, message);
    refusal.execution = request.tracker.execution();
    refusal.with_retry_after(Span::from_secs(1))
}
