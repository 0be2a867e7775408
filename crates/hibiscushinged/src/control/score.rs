//! Scoring of filled samples by the plain service that the document names as the trainer's scorer.

use std::rc::Rc;

use base::{Moment, RecordId, Span};
use bytes::Bytes;
use clients::HttpRequest;
use http::{HeaderName, HeaderValue};
use rollout::{SampleFilled, Score, SlotKey};
use routing::{PickRequest, RequestOutcome};
use serde::Deserialize;
use serde_json::json;

use crate::{clock::wall_now, control::Control};

/// HTTP path of the scoring call.
const SCORE_PATH: &str = "/score";

/// Timeout of a scoring call. It is long because a scorer may run a model of its own.
const SCORE_TIMEOUT: Span = Span::from_secs(20);

/// Largest accepted response of a scorer. The response holds one number.
const MAX_SCORE_RESPONSE_BYTES: usize = 64 << 10;

/// Estimated cost of one scoring call, in the units of a plain service.
const SCORE_TOKENS: u32 = 1;

#[derive(Debug, Deserialize)]
struct ScoreResponse {
    score: f64,
}

impl Control {
    /// Starts the scoring call of a sample, or binds the sample at once when its trainer has no
    /// scorer. A failed call is retried by the score queue.
    pub(crate) fn score_sample(self: &Rc<Self>, slot: SlotKey, sample: RecordId) {
        // The document no longer names the trainer: the sample is retried until it does again.
        let Some(entry) = self.trainer_entry(slot.trainer) else {
            return self.score_failed(sample);
        };
        let Some(service) = entry.scorer else { return self.sample_scored(sample, None) };
        let filled = {
            let state = self.state();
            state.samples.table.unbound().find(|filled| filled.sample == sample).cloned()
        };
        let Some(filled) = filled else {
            return self.state().samples.scores.remove(sample);
        };
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            match control.call_scorer(&service, &filled).await {
                Some(score) => control.sample_scored(sample, Some(score)),
                None => control.score_failed(sample),
            }
        });
    }

    fn score_failed(&self, sample: RecordId) {
        let now = self.now();
        self.state().samples.scores.failed(now, sample);
    }

    /// Calls the scorer and returns the score, or `None` when the call failed or gave no finite
    /// number.
    async fn call_scorer(self: &Rc<Self>, service: &str, filled: &SampleFilled) -> Option<Score> {
        let text = self.sample_text(filled).await.ok()?;
        let slot = filled.slot;
        let prompt = {
            let state = self.state();
            let opened = state.samples.step_prompts.get(&(slot.trainer, slot.step))?;
            opened.prompts.get(slot.group as usize)?.clone()
        };
        let request = PickRequest {
            tokens: SCORE_TOKENS,
            prompt_tokens: 0,
            prefix: None,
            min_version: None,
            avoid: &[],
        };
        let now = self.now();
        let choice = self.shared.scheduler().pick(now, service, &request)?;
        let (_, _, address) = self.engine_target(choice.upstream)?;
        let body = json!({ "prompt": prompt, "sample": text }).to_string();
        // The request id is derived from the sample, so that a scorer recognizes a repeated call.
        let id = format!("{:016x}-s{:x}", filled.sample.writer.0, filled.sample.sequence);
        let score_request = HttpRequest::post(address, SCORE_PATH, Bytes::from(body)).with_header(
            HeaderName::from_static("x-request-id"),
            HeaderValue::from_str(&id)
                .expect("hexadecimal digits, `-` and `s` form a valid header value"),
        );
        let in_flight =
            self.shared.scheduler().start(now, wall_now(), choice.upstream, SCORE_TOKENS, None);
        let response =
            self.http.exchange(score_request, SCORE_TIMEOUT, MAX_SCORE_RESPONSE_BYTES).await;
        let outcome = match &response {
            Ok(_) => RequestOutcome::Completed { tokens: SCORE_TOKENS },
            Err(_) => RequestOutcome::Failed,
        };
        let now: Moment = self.now();
        self.shared.scheduler().finish(now, in_flight, outcome);
        let response = response.and_then(clients::HttpResponse::error_for_status).ok()?;
        let scored = serde_json::from_slice::<ScoreResponse>(&response.body).ok()?;
        scored.score.is_finite().then_some(Score((scored.score * 1e6) as i64))
    }
}
