//! Scoring of filled samples by the trainer's plain service.

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

/// Path of the scoring call.
const SCORE_PATH: &str = "/score";

/// Longest wait for a score. Scorers may run models of their own.
const SCORE_TIMEOUT: Span = Span::from_secs(20);

/// Bound on the answer of a scorer, which is one number.
const MAX_SCORE_ANSWER: usize = 64 << 10;

/// Estimated work of one scoring call, in the units of a plain service.
const SCORE_WORK: u32 = 1;

#[derive(Debug, Deserialize)]
struct ScoreAnswer {
    score: f64,
}

impl Control {
    /// Scores a sample, or binds it at once when its trainer has no scorer.
    pub(crate) fn score_sample(self: &Rc<Self>, slot: SlotKey, sample: RecordId) {
        // A trainer that the document no longer names waits until it names it again.
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

    async fn call_scorer(self: &Rc<Self>, service: &str, filled: &SampleFilled) -> Option<Score> {
        let text = self.sample_text(filled).await.ok()?;
        let slot = filled.slot;
        let prompt = {
            let state = self.state();
            let opened = state.samples.opened.get(&(slot.trainer, slot.step))?;
            opened.prompts.get(slot.group as usize)?.clone()
        };
        let request = PickRequest {
            tokens: SCORE_WORK,
            prompt_tokens: 0,
            prefix: None,
            min_version: None,
            avoid: &[],
        };
        let now = self.now();
        let choice = self.shared.scheduler().pick(now, service, &request)?;
        let (_, _, address) = self.engine_target(choice.upstream)?;
        let body = json!({ "prompt": prompt, "sample": text }).to_string();
        // The id is that of the sample, so a scorer can tell a repeated call.
        let id = format!("{:016x}-s{:x}", filled.sample.writer.0, filled.sample.sequence);
        let score_request = HttpRequest::post(address, SCORE_PATH, Bytes::from(body)).with_header(
            HeaderName::from_static("x-request-id"),
            HeaderValue::from_str(&id).expect("the id has hexadecimal digits only"),
        );
        let work =
            self.shared.scheduler().start(now, wall_now(), choice.upstream, SCORE_WORK, None);
        let response = self.http.exchange(score_request, SCORE_TIMEOUT, MAX_SCORE_ANSWER).await;
        let outcome = match &response {
            Ok(_) => RequestOutcome::Completed { tokens: SCORE_WORK },
            Err(_) => RequestOutcome::Failed,
        };
        let now: Moment = self.now();
        self.shared.scheduler().finish(now, work, outcome);
        let response = response.and_then(clients::HttpResponse::error_for_status).ok()?;
        let found = serde_json::from_slice::<ScoreAnswer>(&response.body).ok()?;
        found.score.is_finite().then_some(Score((found.score * 1e6) as i64))
    }
}
