//! Streamed responses of model engines: attempts, resumption on another engine, and the end of the
//! stream.

use std::rc::Rc;

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody},
    header::{CONTENT_TYPE, HeaderValue},
};
use base::{Refusal, RefusalCode, Span, UpstreamKey};
use bytes::Bytes;
use clients::{
    CallError, EngineControl as _, EnginePriority, GenerateRequest, TokenEvent, TokenSource as _,
};
use delivery::{
    AnswerToken, AttemptAction, AttemptEvent, AttemptState, ClaimOutcome, EndMarker, FailureCause,
    StreamAction, StreamAssembler, StreamEvent, SuspectEvent,
};
use document::RoutePriority;
use routing::RequestOutcome;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use usage::UsageAmount;

use crate::{
    clock::wall_now,
    shared::format_request_id,
    telemetry::log_event,
    traffic::{
        admitted::{self, CallerRequest, record_decision, time_left},
        choice::{self, ChosenUpstream},
        request::GenerateBody,
        response,
        worker::TrafficWorker,
    },
};

/// Bound on the lines that wait for a slow caller. While it is reached, the engine's stream is not
/// read.
const MAX_BUFFERED_LINES: usize = 64;

/// How many times a stream may be resumed on another upstream.
const MAX_RESUMES: u8 = 3;

/// Period at which a stream without tokens checks that its API key is still valid; with tokens the
/// key is checked at each of them. The streams of a withdrawn key must stop within 2 s, and most of
/// this time passes until the node has read the withdrawal from the log.
const KEY_CHECK_PERIOD: std::time::Duration = std::time::Duration::from_millis(100);

/// The task of one generation for a caller.
struct StreamTask {
    worker: Rc<TrafficWorker>,
    request: CallerRequest,
    body: GenerateBody,
    assembler: StreamAssembler,
    output: CallerOutput,
    prompt_tokens: u64,
    /// All lines sent so far, if a claim must be able to replay the response.
    replay_body: Option<Vec<u8>>,
}

/// Channels to the task that sends the response to the caller.
struct CallerOutput {
    /// Starts the streamed response or refuses the request. `None` once it was used.
    head: Option<oneshot::Sender<Result<(), Refusal>>>,
    lines: mpsc::Sender<Result<Bytes, std::io::Error>>,
}

/// How an exchange with an engine ended.
enum ExchangeOutcome {
    /// The end marker arrived and the response is complete.
    Completed,
    /// The exchange failed. The error says whether the engine may have run the request.
    Failed(CallError),
    CallerDisconnected,
    DeadlinePassed,
    KeyWithdrawn,
}

/// Starts a generation and returns the response once its first line or a refusal is available.
pub(crate) async fn run(
    worker: Rc<TrafficWorker>,
    request: CallerRequest,
    body: GenerateBody,
) -> Response<BoxBody> {
    let (head, head_result) = oneshot::channel();
    let (lines, line_receiver) = mpsc::channel(MAX_BUFFERED_LINES);
    let shared = &worker.shared;
    let assembler = StreamAssembler::new(request.id, request.deadline, MAX_RESUMES);
    let id = request.id;
    let replay_body = request.claim.map(|_| Vec::new());
    let task = StreamTask {
        worker: Rc::clone(&worker),
        request,
        body,
        assembler,
        output: CallerOutput { head: Some(head), lines },
        prompt_tokens: 0,
        replay_body,
    };
    // The task continues after the caller has disconnected, so that it can cancel the request on
    // the engine.
    actix_rt::spawn(task.generate());
    match head_result.await {
        Ok(Ok(())) => stream_response(line_receiver),
        Ok(Err(refusal)) => {
            admitted::log_refusal(shared, id, &refusal);
            response::refusal(&refusal)
        }
        Err(_) => {
            let message = "the task of the request ended without a response";
            response::refusal(&Refusal::may_have_run(RefusalCode::UpstreamFailed, message))
        }
    }
}

/// Builds the response that streams the lines as newline-delimited JSON.
fn stream_response(lines: mpsc::Receiver<Result<Bytes, std::io::Error>>) -> Response<BoxBody> {
    let source = futures_util::stream::unfold(lines, |mut lines| async move {
        lines.recv().await.map(|line| (line, lines))
    });
    let body = BoxBody::new(BodyStream::new(Box::pin(source)));
    let mut response = Response::with_body(StatusCode::OK, body);
    let content_type = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

impl StreamTask {
    /// Runs the generation to its end and reports how it ended.
    async fn generate(mut self) {
        let refusal = self.run_attempts().await;
        let worker = Rc::clone(&self.worker);
        match refusal {
            None => {
                let body = self.replay_body.take().unwrap_or_default();
                let outcome = ClaimOutcome::Answered { status: 200, body };
                self.request.end_claim(&worker.shared, outcome);
                self.request.count_answered(&worker.shared);
                let detail = format!("{} tokens", self.assembler.offset());
                log_event!(
                    RequestCompleted,
                    request = format_request_id(self.request.id),
                    customer = self.request.customer(),
                    tokens = self.assembler.offset()
                );
                record_decision(
                    &worker.shared,
                    self.request.id,
                    base::EventCode::RequestCompleted,
                    detail,
                );
            }
            Some(refusal) => {
                let outcome = self.request.failed_outcome();
                self.request.end_claim(&worker.shared, outcome);
                self.output.fail(&refusal).await;
            }
        }
    }

    /// Runs exchanges until the response is complete. Returns the refusal if it cannot be
    /// completed.
    async fn run_attempts(&mut self) -> Option<Refusal> {
        loop {
            let chosen = match self.choose().await {
                Ok(chosen) => chosen,
                Err(refusal) => return Some(self.give_up(refusal)),
            };
            let upstream = chosen.key;
            self.handle_attempt(AttemptEvent::Chosen(upstream));
            self.assembler.handle(self.now(), StreamEvent::Opened { upstream });
            let tokens = self.body.max_tokens.saturating_sub(self.offset());
            let in_flight = self.worker.shared.scheduler().start(
                self.now(),
                wall_now(),
                upstream,
                tokens,
                Some(self.request.fingerprint),
            );
            let offset_before = self.offset();
            let exchange_outcome = self.exchange(&chosen).await;
            let outcome = match exchange_outcome {
                ExchangeOutcome::Completed => {
                    RequestOutcome::Completed { tokens: self.offset() - offset_before }
                }
                _ => RequestOutcome::Failed,
            };
            self.worker.shared.scheduler().finish(self.now(), in_flight, outcome);
            self.update_usage();
            match self.finish_exchange(upstream, exchange_outcome).await {
                AfterExchange::Done => return None,
                AfterExchange::Refused(refusal) => return Some(refusal),
                AfterExchange::Retry => {}
            }
        }
    }

    /// Picks an upstream, or waits for a reserved one if the request is suspect.
    async fn choose(&self) -> Result<ChosenUpstream, Refusal> {
        let shared = &self.worker.shared;
        if let Some(upstream) = admitted::await_isolation(shared, &self.request).await? {
            return choice::isolated_upstream(shared, &self.request, upstream);
        }
        let prefix_length = self.body.prompt.len().min(CACHE_PREFIX_BYTES);
        let size = choice::WorkSize {
            tokens: self.body.max_tokens.saturating_sub(self.offset()),
            prompt_tokens: (self.body.prompt.len() / 4) as u32,
            prefix: Some(choice::prefix_hash(&self.body.prompt.as_bytes()[..prefix_length])),
        };
        choice::pick(shared, &self.request, &size)
    }

    /// Runs one exchange with an engine and sends its tokens to the caller.
    async fn exchange(&mut self, chosen: &ChosenUpstream) -> ExchangeOutcome {
        let request = GenerateRequest {
            id: format_request_id(self.request.id),
            prompt: self.body.prompt.clone(),
            max_tokens: self.body.max_tokens,
            offset: self.offset(),
            seed: self.body.seed,
            priority: match self.request.route.entry.priority {
                RoutePriority::Live => EnginePriority::Live,
                RoutePriority::Sample => EnginePriority::Sample,
            },
        };
        let worker = Rc::clone(&self.worker);
        let opened = tokio::select! {
            opened = worker.engines.generate(chosen.address, &request) => opened,
            end = self.wait_for_interruption() => return end,
        };
        let mut tokens = match opened {
            Ok(tokens) => tokens,
            Err(error) => return ExchangeOutcome::Failed(error),
        };
        self.handle_attempt(AttemptEvent::Sending);
        loop {
            let event = tokio::select! {
                event = tokens.next() => event,
                end = self.wait_for_interruption() => return end,
            };
            // Each token restarts the timer in `wait_for_interruption`, so that with fast tokens it
            // never fires.
            if !choice::key_is_valid(&worker.shared, &self.request) {
                return ExchangeOutcome::KeyWithdrawn;
            }
            let result = match event {
                Ok(Some(TokenEvent::Token { index, text, version })) => {
                    self.apply_token(index, text, version)
                }
                Ok(Some(TokenEvent::End { tokens, prompt_tokens })) => {
                    self.apply_end_marker(tokens, prompt_tokens)
                }
                Ok(None) => return ExchangeOutcome::Completed,
                Err(error) => return ExchangeOutcome::Failed(error),
            };
            match result {
                EventResult::Line { text, last } => {
                    if self.output.send(&mut self.replay_body, text).await.is_err() {
                        return ExchangeOutcome::CallerDisconnected;
                    }
                    if last {
                        return ExchangeOutcome::Completed;
                    }
                }
                EventResult::Dropped => {}
                EventResult::Failed => {
                    return ExchangeOutcome::Failed(choice::truncated_response_error());
                }
            }
        }
    }

    /// Applies a token of the running exchange.
    fn apply_token(
        &mut self,
        index: u32,
        token: String,
        version: base::WeightVersion,
    ) -> EventResult {
        let Some(exchange) = self.assembler.exchange() else { return EventResult::Dropped };
        let answer_token =
            AnswerToken { request: self.request.id, index: u64::from(index), token, version };
        self.apply_event(StreamEvent::Token { exchange, token: answer_token })
    }

    /// Applies the end marker of the running exchange.
    fn apply_end_marker(&mut self, tokens: u32, prompt_tokens: u32) -> EventResult {
        let Some(exchange) = self.assembler.exchange() else { return EventResult::Dropped };
        self.prompt_tokens = u64::from(prompt_tokens);
        let marker = EndMarker {
            request: self.request.id,
            tokens: u64::from(tokens),
            prompt_tokens: u64::from(prompt_tokens),
        };
        self.apply_event(StreamEvent::End { exchange, marker })
    }

    /// Applies an event to the assembler and returns the line that it delivers.
    fn apply_event(&mut self, event: StreamEvent) -> EventResult {
        let mut result = EventResult::Dropped;
        for action in self.assembler.handle(self.now(), event) {
            match action {
                StreamAction::Deliver { index, token, version } => {
                    let value = json!({ "index": index, "token": token, "version": version.0 });
                    result = EventResult::Line { text: value.to_string(), last: false };
                }
                StreamAction::Complete { tokens, prompt_tokens } => {
                    let value =
                        json!({ "end": true, "tokens": tokens, "prompt_tokens": prompt_tokens });
                    result = EventResult::Line { text: value.to_string(), last: true };
                }
                StreamAction::Resume { .. } | StreamAction::Fail(_) => {
                    return EventResult::Failed;
                }
                // The connection closes when the exchange's token stream is dropped.
                StreamAction::CloseExchange { .. } => {}
            }
        }
        result
    }

    /// Waits until the caller disconnects, the deadline passes or the API key is withdrawn, and
    /// returns which of them it was.
    async fn wait_for_interruption(&self) -> ExchangeOutcome {
        let shared = &self.worker.shared;
        loop {
            tokio::select! {
                () = self.output.lines.closed() => return ExchangeOutcome::CallerDisconnected,
                () = actix_rt::time::sleep(time_left(shared, self.request.deadline)) => {
                    return ExchangeOutcome::DeadlinePassed;
                }
                () = actix_rt::time::sleep(KEY_CHECK_PERIOD) => {}
            }
            if !choice::key_is_valid(shared, &self.request) {
                return ExchangeOutcome::KeyWithdrawn;
            }
        }
    }

    /// Records the end of an exchange and decides whether the generation is done, refused or
    /// retried.
    async fn finish_exchange(
        &mut self,
        upstream: UpstreamKey,
        exchange_outcome: ExchangeOutcome,
    ) -> AfterExchange {
        let shared = &self.worker.shared;
        if let ExchangeOutcome::Failed(error) = &exchange_outcome
            && error.may_have_run()
        {
            // The request stays in flight in the suspect table until the control thread knows
            // whether the upstream crashed. If it did, the request becomes suspect before it is
            // retried anywhere else.
            choice::check_crash(shared, upstream, &self.request).await;
        } else {
            let fingerprint = self.request.fingerprint;
            let event = SuspectEvent::Finished { upstream, fingerprint };
            let actions = shared.scheduler().handle_suspect_event(self.now(), wall_now(), event);
            admitted::forward_suspect_actions(shared, actions);
        }
        match exchange_outcome {
            ExchangeOutcome::Completed => {
                self.handle_attempt(AttemptEvent::Answered);
                AfterExchange::Done
            }
            ExchangeOutcome::Failed(error) => self.handle_failed_exchange(upstream, &error),
            ExchangeOutcome::CallerDisconnected => {
                self.cancel_exchange(upstream, AttemptEvent::CallerDisconnected);
                let message = "the caller disconnected before the answer was complete";
                AfterExchange::Refused(self.refusal(RefusalCode::DeadlineExceeded, message))
            }
            ExchangeOutcome::DeadlinePassed => {
                let refusal = self.cancel_exchange(upstream, AttemptEvent::Tick);
                let message = "the deadline passed before the answer was complete";
                AfterExchange::Refused(
                    refusal.unwrap_or_else(|| self.refusal(RefusalCode::DeadlineExceeded, message)),
                )
            }
            ExchangeOutcome::KeyWithdrawn => {
                self.cancel_exchange(upstream, AttemptEvent::CallerDisconnected);
                log_event!(StreamCutKeyWithdrawn, request = format_request_id(self.request.id));
                let message = "the API key is no longer accepted; the answer was cut off";
                AfterExchange::Refused(self.refusal(RefusalCode::KeyRefused, message))
            }
        }
    }

    /// Decides whether a generation whose exchange failed is retried or refused.
    fn handle_failed_exchange(
        &mut self,
        upstream: UpstreamKey,
        error: &CallError,
    ) -> AfterExchange {
        let worker = Rc::clone(&self.worker);
        if error.may_have_run() {
            self.handle_attempt(AttemptEvent::Sending);
        } else {
            choice::mark_upstream_suspect(&worker.shared, upstream);
        }
        if let Some(exchange) = self.assembler.exchange() {
            self.assembler.handle(self.now(), StreamEvent::Closed { exchange });
        }
        let cause = match error.failure {
            clients::CallFailure::Connect => FailureCause::ConnectFailed,
            clients::CallFailure::Malformed => FailureCause::AnswerTruncated,
            clients::CallFailure::Status(503) => FailureCause::UpstreamBusy,
            _ if !error.may_have_run() => FailureCause::ConnectFailed,
            _ => FailureCause::ConnectionBroken,
        };
        for action in self.request.tracker.handle(self.now(), AttemptEvent::Failed(cause)) {
            match action {
                AttemptAction::Refuse(refusal) => return AfterExchange::Refused(refusal),
                AttemptAction::Retry if !worker.shared.scheduler().withdraw_retry() => {
                    let refusal = self.refusal(RefusalCode::UpstreamFailed, &error.message);
                    return AfterExchange::Refused(self.give_up(refusal));
                }
                AttemptAction::Retry if self.offset() > 0 => {
                    log_event!(
                        RequestResumed,
                        request = format_request_id(self.request.id),
                        offset = self.offset()
                    );
                    let detail = format!("resumed at token {}: {error}", self.offset());
                    let code = base::EventCode::RequestResumed;
                    record_decision(&worker.shared, self.request.id, code, detail);
                }
                AttemptAction::Retry
                | AttemptAction::Cancel(_)
                | AttemptAction::CloseConnection(_) => {}
            }
        }
        AfterExchange::Retry
    }

    /// Ends the running exchange and cancels it on its engine. Returns the refusal of the attempt
    /// tracker.
    fn cancel_exchange(&mut self, upstream: UpstreamKey, event: AttemptEvent) -> Option<Refusal> {
        // The exchange may have been interrupted while the request was being written, so the engine
        // may have run it.
        if matches!(self.request.tracker.state(), AttemptState::Connecting(_)) {
            self.handle_attempt(AttemptEvent::Sending);
        }
        choice::cancel(&self.worker, upstream, format_request_id(self.request.id));
        let actions = self.request.tracker.handle(self.now(), event);
        actions.into_iter().find_map(|action| match action {
            AttemptAction::Refuse(refusal) => Some(refusal),
            _ => None,
        })
    }

    /// Abandons the request for a reason found outside the attempt tracker. Returns the tracker's
    /// refusal, which also says whether an attempt may have run.
    fn give_up(&mut self, refusal: Refusal) -> Refusal {
        let event = AttemptEvent::GivenUp {
            code: refusal.code,
            retry_after: refusal.retry_after.unwrap_or(Span::from_secs(1)),
            message: refusal.message.clone(),
        };
        let actions = self.request.tracker.handle(self.now(), event);
        let final_refusal = actions.into_iter().find_map(|action| match action {
            AttemptAction::Refuse(refusal) => Some(refusal),
            _ => None,
        });
        final_refusal.unwrap_or(refusal)
    }

    /// Builds a refusal that says whether an attempt may have run.
    fn refusal(&self, code: RefusalCode, message: &str) -> Refusal {
        let mut refusal = Refusal::not_run(code, message);
        refusal.execution = self.request.tracker.execution();
        refusal
    }

    /// Applies an event to the attempt tracker that needs no action here.
    fn handle_attempt(&mut self, event: AttemptEvent) {
        let now = self.now();
        self.request.tracker.handle(now, event);
    }

    /// Sets the usage to all tokens generated so far, over all exchanges.
    fn update_usage(&mut self) {
        self.request.set_usage(UsageAmount {
            requests: 1,
            prompt_tokens: self.prompt_tokens,
            generated_tokens: self.assembler.offset(),
        });
    }

    /// Returns the number of tokens delivered so far, the index of the next one.
    fn offset(&self) -> u32 {
        u32::try_from(self.assembler.offset()).unwrap_or(u32::MAX)
    }

    fn now(&self) -> base::Moment {
        self.worker.shared.clock.now()
    }
}

/// Bytes at the beginning of a prompt that are hashed for cache affinity.
const CACHE_PREFIX_BYTES: usize = 64;

/// What follows from one event of an engine's stream.
enum EventResult {
    /// A line for the caller. The last one completes the response.
    Line { text: String, last: bool },
    /// Nothing, for example for a token that the caller has already.
    Dropped,
    /// The stream is truncated or inconsistent, so the exchange failed.
    Failed,
}

/// What follows from the end of an exchange.
enum AfterExchange {
    Done,
    Retry,
    Refused(Refusal),
}

impl CallerOutput {
    /// Sends a line to the caller, and the response head before the first line. Fails when the
    /// caller has disconnected.
    async fn send(
        &mut self,
        replay_body: &mut Option<Vec<u8>>,
        mut line: String,
    ) -> Result<(), ()> {
        line.push('\n');
        if let Some(replay_body) = replay_body {
            replay_body.extend_from_slice(line.as_bytes());
        }
        if let Some(head) = self.head.take() {
            head.send(Ok(())).map_err(|_| ())?;
        }
        self.lines.send(Ok(Bytes::from(line))).await.map_err(|_| ())
    }

    /// Refuses the request, or ends the stream with an error line if tokens were already sent.
    async fn fail(&mut self, refusal: &Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(refusal.clone()));
            return;
        }
        let line = format!("{}\n", json!({ "error": response::error_value(refusal) }));
        let _ = self.lines.send(Ok(Bytes::from(line))).await;
    }
}
