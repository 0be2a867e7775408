//! Streamed answers of model engines: attempts, resumption and whole endings.

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
        admitted::{self, CallerRequest, record, time_left},
        choice::{self, ChosenUpstream},
        request::GenerateBody,
        response,
        worker::TrafficWorker,
    },
};

/// Lines that wait for a slow caller before the engine's stream is read no further.
const LINE_BUFFER: usize = 64;

/// How often a stream may continue on another upstream.
const MAX_RESUMES: u8 = 3;

/// How often a silent stream checks that its key still stands; others check it with each token.
/// Withdrawn keys must stop within 2 s, of which following the log takes most.
const KEY_CHECK_PERIOD: std::time::Duration = std::time::Duration::from_millis(100);

/// One generation for a caller.
struct StreamTask {
    worker: Rc<TrafficWorker>,
    request: CallerRequest,
    body: GenerateBody,
    assembler: StreamAssembler,
    output: CallerOutput,
    prompt_tokens: u64,
    kept: Option<Vec<u8>>,
}

/// The caller's side of a generation.
struct CallerOutput {
    head: Option<oneshot::Sender<Result<(), Refusal>>>,
    lines: mpsc::Sender<Result<Bytes, std::io::Error>>,
}

/// How an exchange with an engine ended.
enum ExchangeEnd {
    /// The end marker arrived and the answer is whole.
    Whole,
    /// The exchange failed; the error tells whether the engine may have run it.
    Broken(CallError),
    CallerDisconnected,
    DeadlinePassed,
    KeyWithdrawn,
}

pub(crate) async fn run(
    worker: Rc<TrafficWorker>,
    request: CallerRequest,
    body: GenerateBody,
) -> Response<BoxBody> {
    let (head, head_answer) = oneshot::channel();
    let (lines, line_source) = mpsc::channel(LINE_BUFFER);
    let shared = &worker.shared;
    let assembler = StreamAssembler::new(request.id, request.deadline, MAX_RESUMES);
    let id = request.id;
    let kept = request.claim.map(|_| Vec::new());
    let task = StreamTask {
        worker: Rc::clone(&worker),
        request,
        body,
        assembler,
        output: CallerOutput { head: Some(head), lines },
        prompt_tokens: 0,
        kept,
    };
    // The task outlives a caller that disconnects, so that it can cancel the upstream request.
    actix_rt::spawn(task.generate());
    match head_answer.await {
        Ok(Ok(())) => stream_response(line_source),
        Ok(Err(refusal)) => {
            admitted::log_refusal(shared, id, &refusal);
            response::refusal(&refusal)
        }
        Err(_) => {
            let message = "the request ended without an answer";
            response::refusal(&Refusal::may_have_run(RefusalCode::UpstreamFailed, message))
        }
    }
}

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
    async fn generate(mut self) {
        let refusal = self.attempts().await;
        let shared = Rc::clone(&self.worker);
        match refusal {
            None => {
                let body = self.kept.take().unwrap_or_default();
                let outcome = ClaimOutcome::Answered { status: 200, body };
                self.request.end_claim(&shared.shared, outcome);
                self.request.count_answered(&shared.shared);
                let detail = format!("{} tokens", self.assembler.offset());
                log_event!(
                    RequestCompleted,
                    request = format_request_id(self.request.id),
                    customer = self.request.customer(),
                    tokens = self.assembler.offset()
                );
                record(&shared.shared, self.request.id, base::EventCode::RequestCompleted, detail);
            }
            Some(refusal) => {
                let outcome = self.request.failed_outcome();
                self.request.end_claim(&shared.shared, outcome);
                self.output.fail(&refusal).await;
            }
        }
    }

    /// Runs exchanges until the answer is whole. Returns the refusal that ends it otherwise.
    async fn attempts(&mut self) -> Option<Refusal> {
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
            let before = self.offset();
            let end = self.exchange(&chosen).await;
            let work_end = match end {
                ExchangeEnd::Whole => RequestOutcome::Completed { tokens: self.offset() - before },
                _ => RequestOutcome::Failed,
            };
            self.worker.shared.scheduler().finish(self.now(), in_flight, work_end);
            self.count_usage();
            match self.after(upstream, end).await {
                AfterExchange::Done => return None,
                AfterExchange::Refused(refusal) => return Some(refusal),
                AfterExchange::Again => {}
            }
        }
    }

    async fn choose(&self) -> Result<ChosenUpstream, Refusal> {
        let shared = &self.worker.shared;
        if let Some(upstream) = admitted::isolation(shared, &self.request).await? {
            return choice::isolated(shared, &self.request, upstream);
        }
        let prefix_length = self.body.prompt.len().min(PREFIX_BYTES);
        let size = choice::WorkSize {
            tokens: self.body.max_tokens.saturating_sub(self.offset()),
            prompt_tokens: (self.body.prompt.len() / 4) as u32,
            prefix: Some(choice::prefix_hash(&self.body.prompt.as_bytes()[..prefix_length])),
        };
        choice::pick(shared, &self.request, &size)
    }

    /// Runs one exchange and forwards its tokens.
    async fn exchange(&mut self, chosen: &ChosenUpstream) -> ExchangeEnd {
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
            end = self.interrupted() => return end,
        };
        let mut tokens = match opened {
            Ok(tokens) => tokens,
            Err(error) => return ExchangeEnd::Broken(error),
        };
        self.handle_attempt(AttemptEvent::Sending);
        loop {
            let event = tokio::select! {
                event = tokens.next() => event,
                end = self.interrupted() => return end,
            };
            // The timer of `interrupted` starts anew with each token, so a fast stream would never
            // reach it.
            if !choice::key_stands(&worker.shared, &self.request) {
                return ExchangeEnd::KeyWithdrawn;
            }
            let line = match event {
                Ok(Some(TokenEvent::Token { index, text, version })) => {
                    self.piece(index, text, version)
                }
                Ok(Some(TokenEvent::End { tokens, prompt_tokens })) => {
                    self.end(tokens, prompt_tokens)
                }
                Ok(None) => return ExchangeEnd::Whole,
                Err(error) => return ExchangeEnd::Broken(error),
            };
            match line {
                PieceResult::Line { text, last } => {
                    if self.output.send(&mut self.kept, text).await.is_err() {
                        return ExchangeEnd::CallerDisconnected;
                    }
                    if last {
                        return ExchangeEnd::Whole;
                    }
                }
                PieceResult::Dropped => {}
                PieceResult::Broken => {
                    return ExchangeEnd::Broken(choice::truncated());
                }
            }
        }
    }

    fn piece(&mut self, index: u32, token: String, version: base::WeightVersion) -> PieceResult {
        let Some(exchange) = self.assembler.exchange() else { return PieceResult::Dropped };
        let answer_token =
            AnswerToken { request: self.request.id, index: u64::from(index), token, version };
        self.apply(StreamEvent::Token { exchange, token: answer_token })
    }

    fn end(&mut self, tokens: u32, prompt_tokens: u32) -> PieceResult {
        let Some(exchange) = self.assembler.exchange() else { return PieceResult::Dropped };
        self.prompt_tokens = u64::from(prompt_tokens);
        let marker = EndMarker {
            request: self.request.id,
            tokens: u64::from(tokens),
            prompt_tokens: u64::from(prompt_tokens),
        };
        self.apply(StreamEvent::End { exchange, marker })
    }

    fn apply(&mut self, event: StreamEvent) -> PieceResult {
        let mut result = PieceResult::Dropped;
        for action in self.assembler.handle(self.now(), event) {
            match action {
                StreamAction::Deliver { index, token, version } => {
                    let value = json!({ "index": index, "token": token, "version": version.0 });
                    result = PieceResult::Line { text: value.to_string(), last: false };
                }
                StreamAction::Complete { tokens, prompt_tokens } => {
                    let value =
                        json!({ "end": true, "tokens": tokens, "prompt_tokens": prompt_tokens });
                    result = PieceResult::Line { text: value.to_string(), last: true };
                }
                StreamAction::Resume { .. } | StreamAction::Fail(_) => {
                    return PieceResult::Broken;
                }
                // The connection closes when its token stream is dropped.
                StreamAction::CloseExchange { .. } => {}
            }
        }
        result
    }

    /// Waits for a reason to stop the running exchange.
    async fn interrupted(&self) -> ExchangeEnd {
        let shared = &self.worker.shared;
        loop {
            tokio::select! {
                () = self.output.lines.closed() => return ExchangeEnd::CallerDisconnected,
                () = actix_rt::time::sleep(time_left(shared, self.request.deadline)) => {
                    return ExchangeEnd::DeadlinePassed;
                }
                () = actix_rt::time::sleep(KEY_CHECK_PERIOD) => {}
            }
            if !choice::key_stands(shared, &self.request) {
                return ExchangeEnd::KeyWithdrawn;
            }
        }
    }

    async fn after(&mut self, upstream: UpstreamKey, end: ExchangeEnd) -> AfterExchange {
        let shared = &self.worker.shared;
        if let ExchangeEnd::Broken(error) = &end
            && error.may_have_run()
        {
            // The request counts as in flight until the control thread knows whether the upstream
            // crashed, so that it becomes a suspect before it runs anywhere else.
            choice::check_crash(shared, upstream, &self.request).await;
        } else {
            let fingerprint = self.request.fingerprint;
            let event = SuspectEvent::Finished { upstream, fingerprint };
            let actions = shared.scheduler().handle_suspect_event(self.now(), wall_now(), event);
            admitted::forward(shared, actions);
        }
        match end {
            ExchangeEnd::Whole => {
                self.handle_attempt(AttemptEvent::Answered);
                AfterExchange::Done
            }
            ExchangeEnd::Broken(error) => self.broken(upstream, &error),
            ExchangeEnd::CallerDisconnected => {
                self.stop(upstream, AttemptEvent::CallerDisconnected);
                let message = "the caller has disconnected";
                AfterExchange::Refused(self.refusal(RefusalCode::DeadlineExceeded, message))
            }
            ExchangeEnd::DeadlinePassed => {
                let refusal = self.stop(upstream, AttemptEvent::Tick);
                let message = "the deadline passed";
                AfterExchange::Refused(
                    refusal.unwrap_or_else(|| self.refusal(RefusalCode::DeadlineExceeded, message)),
                )
            }
            ExchangeEnd::KeyWithdrawn => {
                self.stop(upstream, AttemptEvent::CallerDisconnected);
                log_event!(StreamCutKeyWithdrawn, request = format_request_id(self.request.id));
                let message = "the key was withdrawn while the answer was running";
                AfterExchange::Refused(self.refusal(RefusalCode::KeyRefused, message))
            }
        }
    }

    fn broken(&mut self, upstream: UpstreamKey, error: &CallError) -> AfterExchange {
        let shared = Rc::clone(&self.worker);
        if error.may_have_run() {
            self.handle_attempt(AttemptEvent::Sending);
        } else {
            choice::suspect_down(&shared.shared, upstream);
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
                AttemptAction::Retry if !shared.shared.scheduler().take_retry() => {
                    let refusal = self.refusal(RefusalCode::UpstreamFailed, &error.message);
                    return AfterExchange::Refused(self.give_up(refusal));
                }
                AttemptAction::Retry if self.offset() > 0 => {
                    log_event!(
                        RequestResumed,
                        request = format_request_id(self.request.id),
                        offset = self.offset()
                    );
                    let detail = format!("at token {}: {error}", self.offset());
                    let code = base::EventCode::RequestResumed;
                    record(&shared.shared, self.request.id, code, detail);
                }
                AttemptAction::Retry
                | AttemptAction::Cancel(_)
                | AttemptAction::CloseConnection(_) => {}
            }
        }
        AfterExchange::Again
    }

    /// Ends the running exchange and cancels it on its upstream.
    fn stop(&mut self, upstream: UpstreamKey, event: AttemptEvent) -> Option<Refusal> {
        // The exchange may have been interrupted while its first bytes were being written.
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

    fn give_up(&mut self, refusal: Refusal) -> Refusal {
        let event = AttemptEvent::GivenUp {
            code: refusal.code,
            retry_after: refusal.retry_after.unwrap_or(Span::from_secs(1)),
            message: refusal.message.clone(),
        };
        let actions = self.request.tracker.handle(self.now(), event);
        let found = actions.into_iter().find_map(|action| match action {
            AttemptAction::Refuse(refusal) => Some(refusal),
            _ => None,
        });
        found.unwrap_or(refusal)
    }

    fn refusal(&self, code: RefusalCode, message: &str) -> Refusal {
        let mut refusal = Refusal::not_run(code, message);
        refusal.execution = self.request.tracker.execution();
        refusal
    }

    fn handle_attempt(&mut self, event: AttemptEvent) {
        let now = self.now();
        self.request.tracker.handle(now, event);
    }

    fn count_usage(&mut self) {
        self.request.count(UsageAmount {
            requests: 1,
            prompt_tokens: self.prompt_tokens,
            generated_tokens: self.assembler.offset(),
        });
    }

    fn offset(&self) -> u32 {
        u32::try_from(self.assembler.offset()).unwrap_or(u32::MAX)
    }

    fn now(&self) -> base::Moment {
        self.worker.shared.clock.now()
    }
}

/// Bytes of a prompt that decide on the upstream whose cache may hold its prefix.
const PREFIX_BYTES: usize = 64;

enum PieceResult {
    Line { text: String, last: bool },
    Dropped,
    Broken,
}

enum AfterExchange {
    Done,
    Again,
    Refused(Refusal),
}

impl CallerOutput {
    /// Sends a line to the caller, after the response head for the first one.
    async fn send(&mut self, kept: &mut Option<Vec<u8>>, mut line: String) -> Result<(), ()> {
        line.push('\n');
        if let Some(kept) = kept {
            kept.extend_from_slice(line.as_bytes());
        }
        if let Some(head) = self.head.take() {
            head.send(Ok(())).map_err(|_| ())?;
        }
        self.lines.send(Ok(Bytes::from(line))).await.map_err(|_| ())
    }

    /// Ends the answer with a refusal, or with an error line when tokens were sent.
    async fn fail(&mut self, refusal: &Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(refusal.clone()));
            return;
        }
        let line = format!("{}\n", json!({ "error": response::error_value(refusal) }));
        let _ = self.lines.send(Ok(Bytes::from(line))).await;
    }
}
