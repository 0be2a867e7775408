//! The trainers' interface.

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

pub(crate) async fn serve(
    worker: Rc<TrafficWorker>,
    path: &str,
    mut incoming: Request,
) -> Response<BoxBody> {
    let _flight = worker.shared.track_in_flight();
    match answer(&worker, path, &mut incoming).await {
        Ok(value) => response::json(StatusCode::OK, &value),
        Err(refusal) => response::refusal(&refusal),
    }
}

async fn answer(
    worker: &TrafficWorker,
    path: &str,
    incoming: &mut Request,
) -> Result<serde_json::Value, Refusal> {
    let shared = &worker.shared;
    request::check_phase(shared)?;
    let Some((name, action)) = path.split_once('/') else {
        return Err(unknown(path));
    };
    let trainer = authenticate(worker, name, incoming)?;
    let request = match (action, incoming.method()) {
        ("steps", &Method::POST) => {
            let limit = shared.settings.bounds.request_bytes as usize;
            let body = request::read_body(incoming, limit).await?;
            TrainerRequest::OpenStep(step(trainer, request::parse(&body)?)?)
        }
        ("samples", &Method::GET) => TrainerRequest::FetchSamples {
            trainer: trainer.name,
            after: query(incoming, "after")?,
            version: query(incoming, "version")?,
        },
        _ => return Err(unknown(path)),
    };
    let (reply, answer) = oneshot::channel();
    let unavailable = || {
        let refusal = Refusal::not_run(RefusalCode::Draining, "this node is stopping");
        refusal.with_retry_after(Span::from_secs(1))
    };
    let message = ControlMessage::Trainer { request, reply };
    shared.control.send(message).await.map_err(|_| unavailable())?;
    answer.await.map_err(|_| unavailable())?
}

fn authenticate(
    worker: &TrafficWorker,
    name: &str,
    incoming: &Request,
) -> Result<TrainerEntry, Refusal> {
    let view = worker.shared.view.load();
    let digest = request::bearer_digest(incoming);
    let found = view.trainers.iter().find(|trainer| trainer.name == name);
    match (found, digest) {
        (Some(trainer), Some(digest)) if trainer.key == digest => Ok(trainer.clone()),
        // The same answer for an unknown trainer and a wrong key tells nothing about names.
        _ => Err(Refusal::not_run(RefusalCode::KeyRefused, "the trainer or its key is unknown")),
    }
}

fn step(trainer: TrainerEntry, body: StepBody) -> Result<StepRequest, Refusal> {
    let allowed = trainer.min_group..=trainer.max_group;
    if !allowed.contains(&body.samples_per_group) || body.prompts.is_empty() {
        let message = format!(
            "a step needs prompts and {} to {} samples per group",
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

fn query(incoming: &Request, key: &str) -> Result<u64, Refusal> {
    let query = incoming.uri().query().unwrap_or("");
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(name, _)| *name == key);
    found.and_then(|(_, value)| value.parse().ok()).ok_or_else(|| {
        let message = format!("query parameter \"{key}\" is missing or is not a number");
        Refusal::not_run(RefusalCode::RequestInvalid, message)
    })
}

fn unknown(path: &str) -> Refusal {
    let message = format!("path \"/v1/trainers/{path}\" does not exist");
    Refusal::not_run(RefusalCode::RouteUnknown, message)
}
