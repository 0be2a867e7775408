//! The trainers' API: opening steps and fetching samples.

use std::rc::Rc;

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use base::{Refusal, RefusalCode, Span};
use document::TrainerEntry;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::{
    control_message::{ControlMessage, StepRequest, TrainerRequest},
    traffic::{request, response, worker::TrafficWorker},
};

/// JSON body of a request that opens a step.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StepBody {
    step: u64,
    version: u64,
    after: Option<u64>,
    prompts: Vec<String>,
    samples_per_group: u32,
    max_tokens: u32,
}

/// Serves a trainer's request. `path` is the part of the path after `/v1/trainers/`.
pub(crate) async fn serve(
    worker: Rc<TrafficWorker>,
    path: &str,
    mut incoming: Request,
) -> Response<BoxBody> {
    let _in_flight = worker.shared.track_in_flight();
    match handle(&worker, path, &mut incoming).await {
        Ok(value) => response::json(StatusCode::OK, &value),
        Err(refusal) => response::refusal(&refusal),
    }
}

/// Validates a request and passes it to the control thread. Returns the JSON body of the response.
async fn handle(
    worker: &TrafficWorker,
    path: &str,
    incoming: &mut Request,
) -> Result<serde_json::Value, Refusal> {
    let shared = &worker.shared;
    request::check_phase(shared)?;
    let Some((name, action)) = path.split_once('/') else {
        return Err(unknown_path(path));
    };
    let trainer = authenticate(worker, name, incoming)?;
    let request = match (action, incoming.method()) {
        ("steps", &Method::POST) => {
            let max_bytes = shared.settings.bounds.request_bytes as usize;
            let body = request::read_body(incoming, max_bytes).await?;
            TrainerRequest::OpenStep(step_request(trainer, request::parse(&body)?)?)
        }
        ("samples", &Method::GET) => TrainerRequest::FetchSamples {
            trainer: trainer.name,
            after: query_number(incoming, "after")?,
            version: query_number(incoming, "version")?,
        },
        _ => return Err(unknown_path(path)),
    };
    let (reply, result) = oneshot::channel();
    let unavailable = || {
        let refusal = Refusal::not_run(
            RefusalCode::Draining,
            "this node is draining and accepts no new requests",
        );
        refusal.with_retry_after(Span::from_secs(1))
    };
    let message = ControlMessage::Trainer { request, reply };
    shared.control.send(message).await.map_err(|_| unavailable())?;
    result.await.map_err(|_| unavailable())?
}

/// Returns the entry of the trainer if the request has the trainer's key.
fn authenticate(
    worker: &TrafficWorker,
    name: &str,
    incoming: &Request,
) -> Result<TrainerEntry, Refusal> {
    let view = worker.shared.view.load();
    let digest = request::bearer_digest(incoming);
    let entry = view.trainers.iter().find(|trainer| trainer.name == name);
    match (entry, digest) {
        (Some(trainer), Some(digest)) if trainer.key == digest => Ok(trainer.clone()),
        // An unknown trainer and a wrong key get the same refusal, so that nobody can find out the
        // names of trainers by trying.
        _ => Err(Refusal::not_run(RefusalCode::KeyRefused, "the trainer or its key is unknown")),
    }
}

/// Checks the body against the trainer's entry in the document.
fn step_request(trainer: TrainerEntry, body: StepBody) -> Result<StepRequest, Refusal> {
    let allowed = trainer.min_group..=trainer.max_group;
    if !allowed.contains(&body.samples_per_group) || body.prompts.is_empty() {
        let message = format!(
            "a step must have at least one prompt and {} to {} samples per group",
            trainer.min_group, trainer.max_group
        );
        return Err(Refusal::not_run(RefusalCode::RequestInvalid, message));
    }
    Ok(StepRequest {
        trainer: trainer.name,
        step: body.step,
        version: body.version,
        after: body.after,
        prompts: body.prompts,
        samples_per_group: body.samples_per_group,
        max_tokens: body.max_tokens,
    })
}

/// Returns the value of a query parameter that must be a number.
fn query_number(incoming: &Request, key: &str) -> Result<u64, Refusal> {
    let query = incoming.uri().query().unwrap_or("");
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let parameter = pairs.into_iter().find(|(name, _)| *name == key);
    parameter.and_then(|(_, value)| value.parse().ok()).ok_or_else(|| {
        let message = format!("query parameter \"{key}\" is missing or is not a number");
        Refusal::not_run(RefusalCode::RequestInvalid, message)
    })
}

fn unknown_path(path: &str) -> Refusal {
    let message = format!("path \"/v1/trainers/{path}\" does not exist for this method");
    Refusal::not_run(RefusalCode::RouteUnknown, message)
}
