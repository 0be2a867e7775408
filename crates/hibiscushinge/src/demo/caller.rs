//! Callers: requests, running streams, and the judgement of answers.

#[cfg(test)]
mod tests;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use awc::{Client, Connector, http::StatusCode};
use bytes::Bytes;
use clients::wire::UsageAmount;
use futures_util::StreamExt as _;
use serde_json::{Value, json};
use stand_ins::token_text;

/// Longest exchange. It exceeds the deadlines of the document.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(100);

/// How often a refusal that offers a retry is followed by one.
const MAX_TRIES: u32 = 20;

/// Sends requests as callers do. Clones share their connections.
#[derive(Clone)]
pub(crate) struct DemoCaller {
    client: Client,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerAsk {
    pub(crate) daemon: SocketAddr,
    pub(crate) path: &'static str,
    pub(crate) key: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: String,
}

/// A generation that a caller wants.
#[derive(Debug, Clone)]
pub(crate) struct GenerateAsk {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) seed: u64,
}

/// What a caller received.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerAnswer {
    /// HTTP status, or 0 when no answer came.
    pub(crate) status: u16,
    /// Id of the request as the daemon names it.
    pub(crate) id: String,
    pub(crate) body: String,
    /// Refusals with a time for a retry that came before this answer.
    pub(crate) retries: u32,
}

/// A stream that runs beside the demo.
pub(crate) struct RunningStream {
    pub(crate) ask: GenerateAsk,
    pub(crate) customer: String,
    lines: Rc<Cell<usize>>,
    task: JoinHandle<CallerAnswer>,
}

/// A stream that has ended.
pub(crate) struct EndedStream {
    pub(crate) ask: GenerateAsk,
    pub(crate) customer: String,
    pub(crate) answer: CallerAnswer,
}

impl DemoCaller {
    pub(crate) fn new() -> Self {
        let connector = Connector::new().timeout(Duration::from_secs(5)).limit(0);
        let builder = Client::builder().connector(connector).disable_redirects();
        Self { client: builder.disable_timeout().finish() }
    }

    /// Sends a request and follows refusals that offer a retry.
    pub(crate) async fn call(&self, ask: &CallerAsk) -> CallerAnswer {
        self.follow(ask, &Rc::default()).await
    }

    /// Sends a request once, whatever the answer.
    pub(crate) async fn once(&self, ask: &CallerAsk) -> CallerAnswer {
        let mut answer = CallerAnswer::default();
        let lines = Cell::default();
        let exchange = self.exchange(ask, &lines, &mut answer);
        if actix_rt::time::timeout(EXCHANGE_LIMIT, exchange).await.is_err() {
            answer.body.push_str("(no end of the answer)");
        }
        answer
    }

    /// Starts a generation in the background.
    pub(crate) fn start(
        &self,
        customer: &str,
        ask: CallerAsk,
        generate: &GenerateAsk,
    ) -> RunningStream {
        let lines = Rc::<Cell<usize>>::default();
        let (caller, seen) = (self.clone(), Rc::clone(&lines));
        let task = actix_rt::spawn(async move { caller.follow(&ask, &seen).await });
        RunningStream { ask: generate.clone(), customer: String::from(customer), lines, task }
    }

    async fn follow(&self, ask: &CallerAsk, lines: &Cell<usize>) -> CallerAnswer {
        let mut retries = 0;
        loop {
            let mut answer = CallerAnswer::default();
            let exchange = self.exchange(ask, lines, &mut answer);
            if actix_rt::time::timeout(EXCHANGE_LIMIT, exchange).await.is_err() {
                answer.body.push_str("(no end of the answer)");
            }
            answer.retries = retries;
            let wait = answer.refusal()["retry_after_ms"].as_u64();
            let Some(wait) = wait.filter(|_| answer.status != 200 && retries < MAX_TRIES) else {
                return answer;
            };
            retries += 1;
            actix_rt::time::sleep(Duration::from_millis(wait)).await;
        }
    }

    /// Reads `path` of a daemon with a key.
    pub(crate) async fn get(&self, daemon: SocketAddr, path: &str, key: &str) -> CallerAnswer {
        let request = self.client.get(format!("http://{daemon}{path}"));
        let request = request.insert_header(("authorization", format!("Bearer {key}")));
        let mut answer = CallerAnswer::default();
        let lines = Cell::default();
        let exchange = receive(request.send(), &lines, &mut answer);
        if actix_rt::time::timeout(EXCHANGE_LIMIT, exchange).await.is_err() {
            answer.body.push_str("(no end of the answer)");
        }
        answer
    }

    async fn exchange(&self, ask: &CallerAsk, lines: &Cell<usize>, answer: &mut CallerAnswer) {
        let mut request = self.client.post(format!("http://{}/v1/{}", ask.daemon, ask.path));
        if let Some(key) = &ask.key {
            request = request.insert_header(("authorization", format!("Bearer {key}")));
        }
        if let Some(key) = &ask.idempotency_key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        receive(request.send_body(Bytes::from(ask.body.clone())), lines, answer).await;
    }
}

/// Receives an answer and counts its lines as they come.
async fn receive(response: awc::SendClientRequest, lines: &Cell<usize>, answer: &mut CallerAnswer) {
    let mut response = match response.await {
        Ok(response) => response,
        Err(error) => {
            answer.body = error.to_string();
            return;
        }
    };
    answer.status = response.status().as_u16();
    let id = response.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    answer.id = id.map(String::from).unwrap_or_default();
    while let Some(chunk) = response.next().await {
        // A stream that breaks off lacks its end marker, which the judgement notices.
        let Ok(chunk) = chunk else { return };
        answer.body.push_str(&String::from_utf8_lossy(&chunk));
        lines.set(answer.body.matches('\n').count());
    }
}

impl GenerateAsk {
    pub(crate) fn body(&self) -> String {
        json!({ "prompt": self.prompt, "max_tokens": self.max_tokens, "seed": self.seed })
            .to_string()
    }

    /// Compares an answer with what an engine generates for this request.
    ///
    /// # Errors
    ///
    /// Returns the first difference.
    pub(crate) fn judge(&self, answer: &CallerAnswer) -> Result<(), String> {
        let count = self.judge_tokens(answer)?;
        let lines = answer.lines();
        let end = lines.last().cloned().unwrap_or_default();
        if end["end"] != true || end["tokens"].as_u64() != Some(count) {
            return Err(format!("status {}, {count} tokens, then {end}", answer.status));
        }
        if count != u64::from(self.max_tokens) {
            return Err(format!("{count} tokens of {}", self.max_tokens));
        }
        Ok(())
    }

    /// Compares the tokens that came, however many, and returns their number.
    ///
    /// # Errors
    ///
    /// Returns the first difference.
    pub(crate) fn judge_tokens(&self, answer: &CallerAnswer) -> Result<u64, String> {
        let mut count = 0;
        for line in answer.lines() {
            if line["token"].is_null() {
                continue;
            }
            let expected = token_text(self.seed, &self.prompt, count);
            if line["index"] != count || line["token"] != expected.as_str() {
                return Err(format!("token {count} should be {expected:?} and is {line}"));
            }
            count += 1;
        }
        Ok(u64::from(count))
    }
}

impl CallerAnswer {
    /// Returns the lines of a stream.
    pub(crate) fn lines(&self) -> Vec<Value> {
        self.body.lines().map(|line| serde_json::from_str(line).unwrap_or_default()).collect()
    }

    /// Returns the refusal that the answer is or ends with, or null.
    pub(crate) fn refusal(&self) -> Value {
        self.lines().last().map(|line| line["error"].clone()).unwrap_or_default()
    }

    /// Returns what the caller expects to be billed for a stream.
    pub(crate) fn stream_figures(&self) -> UsageAmount {
        let lines = self.lines();
        let tokens = lines.iter().filter(|line| !line["token"].is_null()).count();
        let prompt = lines.last().and_then(|line| line["prompt_tokens"].as_u64());
        UsageAmount {
            requests: u64::from(self.status == StatusCode::OK.as_u16()),
            prompt_tokens: prompt.unwrap_or_default(),
            generated_tokens: tokens as u64,
        }
    }

    /// Returns what the caller expects to be billed for a call to a plain service.
    pub(crate) fn plain_figures(&self) -> UsageAmount {
        let requests = u64::from(self.status == StatusCode::OK.as_u16());
        UsageAmount { requests, prompt_tokens: 0, generated_tokens: 0 }
    }
}

impl RunningStream {
    /// Returns how many lines the caller has received.
    pub(crate) fn received(&self) -> usize {
        self.lines.get()
    }

    /// Waits for the end of the stream.
    pub(crate) async fn end(self) -> EndedStream {
        let Self { ask, customer, task, .. } = self;
        let answer = task.await.unwrap_or_default();
        EndedStream { ask, customer, answer }
    }
}
