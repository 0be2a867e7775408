//! Requests of trainers. Each request is appended to the stream `samples` as a statement and
//! answered once the statement is read back. Fetched samples are then delivered in the response.

use std::{collections::HashMap, rc::Rc, time::Duration};

use base::{EventCode, RecordId, Refusal, RefusalCode, Span, WeightVersion};
use document::TrainerEntry;
use membership::stable_hash;
use protocol::{PeerMessage, SampleEntry, StepPrompts};
use rollout::{
    Delivery, DeliveryNumber, SampleFilled, SampleOutcome, SampleRecord, SampleTable, StepShape,
    TrainerId, TrainerStated,
};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::{
    clock::to_duration,
    control::{Control, streams::SAMPLE_STREAM},
    control_message::{StepRequest, TrainerRequest},
    shared::NodePhase,
    telemetry::log_event,
};

/// Longest wait of a fetch for samples. It must stay below the idle timeout of load balancers.
const FETCH_TIMEOUT: Span = Span::from_secs(5);

/// Time between two checks of a waiting fetch for samples.
const FETCH_POLL_PERIOD: Duration = Duration::from_millis(25);

/// Longest wait for a statement to be read back from the log, which normally takes a few round
/// trips.
const STATEMENT_TIMEOUT: Span = Span::from_secs(10);

/// Maximum number of retries of a refused statement. One is enough for a node whose reader lags
/// behind the log; two nodes that serve the same trainer at the same time need a few.
const MAX_STATEMENT_RETRIES: u32 = 4;

/// Retry-After for a trainer that got no samples or whose statement lost to another one.
const RETRY_AFTER: Span = Span::from_millis(500);

/// Requests that wait until their statement is read back, by the statement's record id.
#[derive(Debug, Default)]
pub(crate) struct StatementWaiters {
    waiting: HashMap<RecordId, oneshot::Sender<StatementOutcome>>,
}

/// Result of a statement.
#[derive(Debug)]
pub(crate) enum StatementOutcome {
    /// It took effect. `deliveries` are the samples that answer it.
    Accepted { statement: u64, deliveries: Vec<Delivery>, step: StepOutcome },
    /// It had no effect, because another statement of the trainer came first.
    Refused,
}

/// Result of the step that a statement opens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepOutcome {
    /// The step is open, or the statement opens none.
    Accepted,
    Refused,
}

/// Why the text of a sample is not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SampleUnavailable {
    /// A holder is not known or did not respond, so a later fetch may succeed.
    Temporarily,
    /// All holders responded that they do not have it, or sent a copy with a wrong digest. The
    /// sample is lost and gets voided.
    Permanently,
}

/// Content of a trainer's request that is appended as a statement.
struct Statement<'a> {
    entry: &'a TrainerEntry,
    version: u64,
    acknowledged: DeliveryNumber,
    opened: Option<(StepShape, StepPrompts)>,
}

impl StatementWaiters {
    /// Sends the result to the request that waits for a record, after the record was applied to the
    /// table.
    pub(crate) fn resolve(
        &mut self,
        id: RecordId,
        table: &SampleTable,
        outcomes: &[SampleOutcome],
    ) {
        let Some(waiter) = self.waiting.remove(&id) else { return };
        let refused =
            outcomes.iter().any(|outcome| matches!(outcome, SampleOutcome::StepRefused { .. }));
        let step = if refused { StepOutcome::Refused } else { StepOutcome::Accepted };
        let accepted = outcomes.iter().find_map(|outcome| match outcome {
            SampleOutcome::DeliveriesReady { trainer, range } => Some((*trainer, range.statement)),
            _ => None,
        });
        let outcome = accepted.and_then(|(trainer, statement)| {
            let deliveries = table.deliveries(trainer, statement)?;
            Some(StatementOutcome::Accepted { statement, deliveries, step })
        });
        // Fails if the request timed out or was cancelled.
        let _ = waiter.send(outcome.unwrap_or(StatementOutcome::Refused));
    }

    /// Removes the waiters of requests that timed out or were cancelled.
    pub(crate) fn drop_abandoned(&mut self) {
        self.waiting.retain(|_, waiter| !waiter.is_closed());
    }
}

impl Control {
    /// Handles a request of a trainer and sends the response, or stops when the caller disconnects.
    pub(crate) async fn handle_trainer_request(
        self: Rc<Self>,
        request: TrainerRequest,
        mut reply: oneshot::Sender<Result<Value, Refusal>>,
    ) {
        let response = async {
            match request {
                TrainerRequest::OpenStep(step) => self.open_step(step).await,
                TrainerRequest::FetchSamples { trainer, after, version } => {
                    self.fetch_samples(&trainer, after, version).await
                }
            }
        };
        let result = tokio::select! {
            result = response => result,
            () = reply.closed() => return,
        };
        let _ = reply.send(result);
    }

    async fn open_step(self: &Rc<Self>, request: StepRequest) -> Result<Value, Refusal> {
        let id = TrainerId::from_name(&request.trainer);
        let entry = self.trainer_entry(id).ok_or_else(unknown_trainer)?;
        let groups = u32::try_from(request.prompts.len()).unwrap_or(u32::MAX);
        let shape =
            StepShape { step: request.step, groups, samples_per_group: request.samples_per_group };
        let opened = StepPrompts { prompts: request.prompts, max_tokens: request.max_tokens };
        if opened.max_tokens == 0 {
            let message = "max_tokens must be at least 1";
            return Err(Refusal::not_run(RefusalCode::RequestInvalid, message));
        }
        for _ in 0..=MAX_STATEMENT_RETRIES {
            let follows = self.state().samples.table.statements(id);
            let acknowledged = self.state().samples.table.acknowledged(id);
            let statement = Statement {
                entry: &entry,
                version: request.version,
                acknowledged: request.after.map_or(acknowledged, DeliveryNumber),
                opened: Some((shape, opened.clone())),
            };
            match self.append_statement(statement, follows).await? {
                StatementOutcome::Accepted { step: StepOutcome::Accepted, .. } => {
                    return Ok(json!({
                        "step": request.step,
                        "samples": shape.slots(),
                    }));
                }
                StatementOutcome::Accepted { step: StepOutcome::Refused, .. } => {
                    let message = "the step is too large or already retired, or too many steps \
                                   are unfinished";
                    return Err(Refusal::not_run(RefusalCode::RequestInvalid, message));
                }
                StatementOutcome::Refused => {
                    if !self.may_retry_statement(id, request.version, request.after) {
                        break;
                    }
                }
            }
        }
        let message = "another request of this trainer came first";
        Err(Refusal::not_run(RefusalCode::AlreadyClaimed, message).with_retry_after(RETRY_AFTER))
    }

    async fn fetch_samples(
        self: &Rc<Self>,
        trainer: &str,
        after: u64,
        version: u64,
    ) -> Result<Value, Refusal> {
        let id = TrainerId::from_name(trainer);
        let entry = self.trainer_entry(id).ok_or_else(unknown_trainer)?;
        let deadline = self.now() + FETCH_TIMEOUT;
        let mut follows = self.state().samples.table.statements(id);
        let mut retries = 0;
        loop {
            let acknowledged = DeliveryNumber(after);
            let statement = Statement { entry: &entry, version, acknowledged, opened: None };
            match self.append_statement(statement, follows).await? {
                StatementOutcome::Refused => {
                    retries += 1;
                    if retries > MAX_STATEMENT_RETRIES
                        || !self.may_retry_statement(id, version, Some(after))
                    {
                        return Ok(empty_response());
                    }
                    follows = self.state().samples.table.statements(id);
                }
                StatementOutcome::Accepted { statement, deliveries, .. } => {
                    if !deliveries.is_empty() {
                        return Ok(self.delivery_response(trainer, deliveries).await);
                    }
                    if !self.wait_for_samples(id, DeliveryNumber(after), deadline).await {
                        return Ok(empty_response());
                    }
                    // The next statement follows this request's own one, so that it is refused if
                    // the trainer has sent a later request meanwhile.
                    follows = statement;
                }
            }
        }
    }

    /// Waits until a delivery number after `after` is bound. Returns `false` at the deadline or
    /// when the node drains.
    async fn wait_for_samples(
        &self,
        trainer: TrainerId,
        after: DeliveryNumber,
        deadline: base::Moment,
    ) -> bool {
        loop {
            if self.state().samples.table.has_deliveries_after(trainer, after) {
                return true;
            }
            let is_draining = self.shared.phase() == NodePhase::Draining;
            if is_draining || self.now() >= deadline {
                return false;
            }
            actix_rt::time::sleep(FETCH_POLL_PERIOD).await;
        }
    }

    /// Returns whether a refused statement may be retried. One that would lower the version or the
    /// acknowledged number may not: the trainer may have abandoned the request and sent a later
    /// one, and samples that it has would be generated again.
    fn may_retry_statement(&self, trainer: TrainerId, version: u64, after: Option<u64>) -> bool {
        let state = self.state();
        let table = &state.samples.table;
        let stated = table.stated_version(trainer);
        let is_not_older = stated.is_none_or(|(stated, _)| version >= stated.0);
        is_not_older && after.is_none_or(|after| after >= table.acknowledged(trainer).0)
    }

    /// Appends a statement and waits until it is read back from the log.
    ///
    /// # Errors
    ///
    /// Refuses with `LogUnavailable` when the log is down, the write buffer is full or the
    /// statement is not read back within [`STATEMENT_TIMEOUT`]. In the last case it may still take
    /// effect.
    async fn append_statement(
        self: &Rc<Self>,
        statement: Statement<'_>,
        follows: u64,
    ) -> Result<StatementOutcome, Refusal> {
        let now = self.now();
        if self.state().log.is_down(now) {
            let message = "the log does not respond, so the request cannot be recorded";
            let refusal = Refusal::not_run(RefusalCode::LogUnavailable, message);
            return Err(refusal.with_retry_after(Span::from_secs(1)));
        }
        let Statement { entry, version, acknowledged, opened } = statement;
        let (shape, opened) = opened.unzip();
        let record = SampleRecord::Stated(TrainerStated {
            trainer: TrainerId::from_name(&entry.name),
            name: entry.name.clone(),
            follows,
            version: WeightVersion(version),
            staleness_bound: u64::from(entry.staleness_bound),
            acknowledged,
            opened: shape,
        });
        let (waiter, outcome) = oneshot::channel();
        let id = self
            .append(SAMPLE_STREAM, &SampleEntry::Record { record, step_prompts: opened })
            .map_err(|_| {
                let message = "the log's write buffer is full, so the request is not recorded";
                let refusal = Refusal::not_run(RefusalCode::LogUnavailable, message);
                refusal.with_retry_after(Span::from_secs(1))
            })?;
        self.state().samples.waiters.waiting.insert(id, waiter);
        let waited = tokio::time::timeout(to_duration(STATEMENT_TIMEOUT), outcome).await;
        waited.ok().and_then(Result::ok).ok_or_else(|| {
            let message = "the request was not read back from the log in time";
            let refusal = Refusal::may_have_run(RefusalCode::LogUnavailable, message);
            refusal.with_retry_after(Span::from_secs(1))
        })
    }

    /// Builds the response from the deliveries. It ends before the first sample whose text is not
    /// available, so that the trainer never acknowledges a number that it did not get.
    async fn delivery_response(self: &Rc<Self>, trainer: &str, deliveries: Vec<Delivery>) -> Value {
        let mut entries = Vec::new();
        for delivery in deliveries {
            let entry = match delivery {
                Delivery::Sample { number, filled, score, replaces } => {
                    let text = match self.sample_text(&filled).await {
                        Ok(text) => text,
                        Err(missing) => {
                            if missing == SampleUnavailable::Permanently {
                                self.void_unavailable(&filled);
                            }
                            break;
                        }
                    };
                    self.record_delivery(trainer, number, &filled);
                    sample_entry(number, &filled, &text, score, replaces)
                }
                Delivery::Void { number, slot, reason } => json!({
                    "number": number.0,
                    "step": slot.step,
                    "group": slot.group,
                    "index": slot.index,
                    "void": format!("{reason:?}").to_lowercase(),
                }),
                Delivery::Retired { until } => json!({ "retired_until": until.0 }),
            };
            entries.push(entry);
        }
        if entries.is_empty() {
            return empty_response();
        }
        json!({ "samples": entries, "retry_after_ms": 0 })
    }

    fn record_delivery(&self, trainer: &str, number: DeliveryNumber, filled: &SampleFilled) {
        let slot = self.state().samples.slot_name(filled.slot);
        log_event!(SampleDelivered, slot, number = number.0, trainer);
        self.trace(slot, EventCode::SampleDelivered, format!("number {}", number.0));
    }

    /// Returns the text of a sample, from this node or another holder. A copy with a wrong digest
    /// counts as missing.
    ///
    /// # Errors
    ///
    /// Returns whether the sample is unavailable for now or lost at all holders.
    pub(crate) async fn sample_text(
        self: &Rc<Self>,
        filled: &SampleFilled,
    ) -> Result<String, SampleUnavailable> {
        let held = self.state().samples.store.get(filled.sample).map(String::from);
        if let Some(text) = held {
            return Ok(text);
        }
        let mut missing = SampleUnavailable::Permanently;
        for &holder in &filled.holders {
            if holder == self.shared.incarnation {
                continue;
            }
            let address = {
                let state = self.state();
                let mut peers = state.peers.table.iter();
                let found = peers.find(|(_, record)| record.vm.incarnation == holder);
                found.and_then(|(_, record)| record.vm.address.parse().ok())
            };
            let Some(address) = address else {
                missing = SampleUnavailable::Temporarily;
                continue;
            };
            let request = PeerMessage::SampleFetch(filled.sample.into());
            match self.call_peer(address, &request).await {
                Some(PeerMessage::SampleCopy(copy)) if stable_hash(&copy.text) == filled.digest => {
                    return Ok(copy.text);
                }
                Some(PeerMessage::SampleCopy(_) | PeerMessage::Missing) => {}
                Some(_) | None => missing = SampleUnavailable::Temporarily,
            }
        }
        Err(missing)
    }
}

fn sample_entry(
    number: DeliveryNumber,
    filled: &SampleFilled,
    text: &str,
    score: Option<rollout::Score>,
    replaces: Option<DeliveryNumber>,
) -> Value {
    let versions = filled
        .spans
        .iter()
        .map(|span| json!({ "version": span.version.0, "from": span.from, "to": span.to }));
    json!({
        "number": number.0,
        "step": filled.slot.step,
        "group": filled.slot.group,
        "index": filled.slot.index,
        "text": text,
        "tokens": filled.tokens,
        "versions": versions.collect::<Vec<_>>(),
        "score": score.map(|score| score.0 as f64 / 1e6),
        "replaces": replaces.map(|number| number.0),
    })
}

fn empty_response() -> Value {
    json!({ "samples": [], "retry_after_ms": RETRY_AFTER.as_millis() })
}

fn unknown_trainer() -> Refusal {
    Refusal::not_run(RefusalCode::KeyRefused, "the trainer or its key is unknown")
}
