//! Answers to trainers: statements, read back from the stream `samples`, and deliveries.

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

/// Longest wait of a fetch for samples. It stays below the time after which balancers cut a silent
/// connection.
const FETCH_WAIT: Span = Span::from_secs(5);

/// How often a waiting fetch looks for samples.
const FETCH_POLL: Duration = Duration::from_millis(25);

/// Longest wait for a statement to be read back. An append takes a few round trips.
const STATEMENT_WAIT: Span = Span::from_secs(10);

/// How often a refused statement is stated again. A node that reads the log late needs one more
/// attempt, and two nodes that serve one trainer at the same moment need a few.
const MAX_RESTATES: u32 = 4;

/// When a trainer without samples may ask again.
const ASK_AGAIN: Span = Span::from_millis(500);

/// Statements of this node that were not read back yet.
#[derive(Debug, Default)]
pub(crate) struct StatementWaiters {
    waiting: HashMap<RecordId, oneshot::Sender<StatementEnd>>,
}

/// What became of a statement.
#[derive(Debug)]
pub(crate) enum StatementEnd {
    /// It is valid, and this answers it.
    Offered { statement: u64, deliveries: Vec<Delivery>, step: StepOutcome },
    /// Another statement came first.
    Refused,
}

/// What became of the step of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepOutcome {
    /// It is open, or the statement opens none.
    Taken,
    Refused,
}

/// Why the bytes of a sample cannot be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BytesMissing {
    /// A holder did not answer.
    Now,
    /// All holders answered that they do not have them.
    ForGood,
}

struct Statement<'a> {
    entry: &'a TrainerEntry,
    version: u64,
    acknowledged: DeliveryNumber,
    opened: Option<(StepShape, StepPrompts)>,
}

impl StatementWaiters {
    /// Answers the request that waits for a record.
    pub(crate) fn read(&mut self, id: RecordId, table: &SampleTable, actions: &[SampleOutcome]) {
        let Some(waiter) = self.waiting.remove(&id) else { return };
        let refused =
            actions.iter().any(|action| matches!(action, SampleOutcome::StepRefused { .. }));
        let step = if refused { StepOutcome::Refused } else { StepOutcome::Taken };
        let offered = actions.iter().find_map(|action| match action {
            SampleOutcome::DeliveriesReady { trainer, range } => Some((*trainer, range.statement)),
            _ => None,
        });
        let end = offered.and_then(|(trainer, statement)| {
            let deliveries = table.deliveries(trainer, statement)?;
            Some(StatementEnd::Offered { statement, deliveries, step })
        });
        // A request that was given up has dropped its end.
        let _ = waiter.send(end.unwrap_or(StatementEnd::Refused));
    }

    pub(crate) fn drop_abandoned(&mut self) {
        self.waiting.retain(|_, waiter| !waiter.is_closed());
    }
}

impl Control {
    /// Answers a trainer, unless it gives up first.
    pub(crate) async fn handle_trainer_request(
        self: Rc<Self>,
        request: TrainerRequest,
        mut reply: oneshot::Sender<Result<Value, Refusal>>,
    ) {
        let answer = async {
            match request {
                TrainerRequest::OpenStep(step) => self.open_step(step).await,
                TrainerRequest::FetchSamples { trainer, after, version } => {
                    self.fetch_samples(&trainer, after, version).await
                }
            }
        };
        let result = tokio::select! {
            result = answer => result,
            () = reply.closed() => return,
        };
        let _ = reply.send(result);
    }

    async fn open_step(self: &Rc<Self>, request: StepRequest) -> Result<Value, Refusal> {
        let id = TrainerId::from_name(&request.trainer);
        let entry = self.trainer_entry(id).ok_or_else(trainer_unknown)?;
        let groups = u32::try_from(request.prompts.len()).unwrap_or(u32::MAX);
        let shape =
            StepShape { step: request.step, groups, samples_per_group: request.samples_per_group };
        let opened = StepPrompts { prompts: request.prompts, max_tokens: request.max_tokens };
        if opened.max_tokens == 0 {
            let message = "max_tokens must be at least 1";
            return Err(Refusal::not_run(RefusalCode::RequestInvalid, message));
        }
        for _ in 0..=MAX_RESTATES {
            let follows = self.state().samples.table.statements(id);
            let acknowledged = self.state().samples.table.acknowledged(id);
            let statement = Statement {
                entry: &entry,
                version: request.version,
                acknowledged: request.after.map_or(acknowledged, DeliveryNumber),
                opened: Some((shape, opened.clone())),
            };
            match self.state_trainer(statement, follows).await? {
                StatementEnd::Offered { step: StepOutcome::Taken, .. } => {
                    return Ok(json!({
                        "step": request.step,
                        "samples": shape.slots(),
                    }));
                }
                StatementEnd::Offered { step: StepOutcome::Refused, .. } => {
                    let message = "the step is too large or already retired, or too many steps \
                                   are unfinished";
                    return Err(Refusal::not_run(RefusalCode::RequestInvalid, message));
                }
                StatementEnd::Refused => {
                    if !self.may_restate(id, request.version, request.after) {
                        break;
                    }
                }
            }
        }
        let message = "another statement of this trainer came first";
        Err(Refusal::not_run(RefusalCode::AlreadyClaimed, message).with_retry_after(ASK_AGAIN))
    }

    async fn fetch_samples(
        self: &Rc<Self>,
        trainer: &str,
        after: u64,
        version: u64,
    ) -> Result<Value, Refusal> {
        let id = TrainerId::from_name(trainer);
        let entry = self.trainer_entry(id).ok_or_else(trainer_unknown)?;
        let deadline = self.now() + FETCH_WAIT;
        let mut follows = self.state().samples.table.statements(id);
        let mut restates = 0;
        loop {
            let acknowledged = DeliveryNumber(after);
            let statement = Statement { entry: &entry, version, acknowledged, opened: None };
            match self.state_trainer(statement, follows).await? {
                StatementEnd::Refused => {
                    restates += 1;
                    if restates > MAX_RESTATES || !self.may_restate(id, version, Some(after)) {
                        return Ok(empty_answer());
                    }
                    follows = self.state().samples.table.statements(id);
                }
                StatementEnd::Offered { statement, deliveries, .. } => {
                    if !deliveries.is_empty() {
                        return Ok(self.deliver(trainer, deliveries).await);
                    }
                    if !self.samples_come(id, DeliveryNumber(after), deadline).await {
                        return Ok(empty_answer());
                    }
                    // Names the statement of this request, so that it cannot follow a later one.
                    follows = statement;
                }
            }
        }
    }

    /// Waits for a bound number after `after`. Returns whether there is one.
    async fn samples_come(
        &self,
        trainer: TrainerId,
        after: DeliveryNumber,
        deadline: base::Moment,
    ) -> bool {
        loop {
            if self.state().samples.table.has_deliveries_after(trainer, after) {
                return true;
            }
            let stops = self.shared.phase() == NodePhase::Draining;
            if stops || self.now() >= deadline {
                return false;
            }
            actix_rt::time::sleep(FETCH_POLL).await;
        }
    }

    /// Tells whether a refused statement may be stated again. One that would take back a version or
    /// an acknowledgement may not: the trainer may have given the request up and sent a later one,
    /// and samples in its hands would be made again.
    fn may_restate(&self, trainer: TrainerId, version: u64, after: Option<u64>) -> bool {
        let state = self.state();
        let table = &state.samples.table;
        let stated = table.stated_version(trainer);
        let rises = stated.is_none_or(|(stated, _)| version >= stated.0);
        rises && after.is_none_or(|after| after >= table.acknowledged(trainer).0)
    }

    /// Appends a statement and waits until it is read back.
    async fn state_trainer(
        self: &Rc<Self>,
        statement: Statement<'_>,
        follows: u64,
    ) -> Result<StatementEnd, Refusal> {
        let now = self.now();
        if self.state().log.is_down(now) {
            let message = "the log does not answer, so the statement cannot be recorded";
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
        let (waiter, end) = oneshot::channel();
        let id = self
            .append(SAMPLE_STREAM, &SampleEntry::Record { record, step_prompts: opened })
            .map_err(|_| {
                let message = "the log has been down for too long to record the statement";
                let refusal = Refusal::not_run(RefusalCode::LogUnavailable, message);
                refusal.with_retry_after(Span::from_secs(1))
            })?;
        self.state().samples.waiters.waiting.insert(id, waiter);
        let waited = tokio::time::timeout(to_duration(STATEMENT_WAIT), end).await;
        waited.ok().and_then(Result::ok).ok_or_else(|| {
            let message = "the statement was not read back from the log in time";
            let refusal = Refusal::may_have_run(RefusalCode::LogUnavailable, message);
            refusal.with_retry_after(Span::from_secs(1))
        })
    }

    /// Builds the answer. It ends before the first sample whose bytes cannot be had, so that the
    /// trainer acknowledges no number that it does not have.
    async fn deliver(self: &Rc<Self>, trainer: &str, deliveries: Vec<Delivery>) -> Value {
        let mut entries = Vec::new();
        for delivery in deliveries {
            let entry = match delivery {
                Delivery::Sample { number, filled, score, replaces } => {
                    let text = match self.sample_text(&filled).await {
                        Ok(text) => text,
                        Err(missing) => {
                            if missing == BytesMissing::ForGood {
                                self.void_missing(&filled);
                            }
                            break;
                        }
                    };
                    self.note_delivered(trainer, number, &filled);
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
            return empty_answer();
        }
        json!({ "samples": entries, "retry_after_ms": 0 })
    }

    fn note_delivered(&self, trainer: &str, number: DeliveryNumber, filled: &SampleFilled) {
        let slot = self.state().samples.slot_text(filled.slot);
        log_event!(SampleDelivered, slot, number = number.0, trainer);
        self.trace(slot, EventCode::SampleDelivered, format!("number {}", number.0));
    }

    /// Returns the bytes of a sample, from this node or a holder.
    pub(crate) async fn sample_text(
        self: &Rc<Self>,
        filled: &SampleFilled,
    ) -> Result<String, BytesMissing> {
        let held = self.state().samples.store.get(filled.sample).map(String::from);
        if let Some(text) = held {
            return Ok(text);
        }
        let mut missing = BytesMissing::ForGood;
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
                missing = BytesMissing::Now;
                continue;
            };
            let request = PeerMessage::SampleFetch(filled.sample.into());
            match self.ask_peer(address, &request).await {
                Some(PeerMessage::SampleCopy(copy)) if stable_hash(&copy.text) == filled.digest => {
                    return Ok(copy.text);
                }
                Some(PeerMessage::SampleCopy(_) | PeerMessage::Missing) => {}
                Some(_) | None => missing = BytesMissing::Now,
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

fn empty_answer() -> Value {
    json!({ "samples": [], "retry_after_ms": ASK_AGAIN.as_millis() })
}

fn trainer_unknown() -> Refusal {
    Refusal::not_run(RefusalCode::KeyRefused, "the trainer or its key is unknown")
}
