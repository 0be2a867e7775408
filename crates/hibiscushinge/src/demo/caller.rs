//! Callers: requests, running streams, and the comparison of responses with what upstreams
//! generate.

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

/// Bound on one exchange. It exceeds the `max_deadline` of the routes in the document.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(100);

/// Maximum number of retries of a request after refusals with `retry_after_ms`.
const MAX_RETRIES: u32 = 20;

/// HTTP client of the callers. Clones share their connections.
#[derive(Clone)]
pub(crate) struct DemoCaller {
    client: Client,
}

/// A request of a caller to a route of a daemon.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) daemon: SocketAddr,
    pub(crate) path: &'static str,
    pub(crate) key: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: String,
}

/// The body of a generation request.
#[derive(Debug, Clone)]
pub(crate) struct GenerationRequest {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) seed: u64,
}

/// The response that a caller received.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerResponse {
    /// HTTP status, or 0 when there was no response.
    pub(crate) status: u16,
    /// Request id from the header `x-request-id`.
    pub(crate) id: String,
    pub(crate) body: String,
    /// Retries before this response.
    pub(crate) retries: u32,
}

/// A stream that is received in the background.
pub(crate) struct RunningStream {
    pub(crate) request: GenerationRequest,
    pub(crate) customer: String,
    /// Lines received so far.
    lines: Rc<Cell<usize>>,
    task: JoinHandle<CallerResponse>,
}

/// A stream that has ended.
pub(crate) struct FinishedStream {
    pub(crate) request: GenerationRequest,
    pub(crate) customer: String,
    pub(crate) response: CallerResponse,
}

impl DemoCaller {
    pub(crate) fn new() -> Self {
        let connector = Connector::new().timeout(Duration::from_secs(5)).limit(0);
        let builder = Client::builder().connector(connector).disable_redirects();
        Self { client: builder.disable_timeout().finish() }
    }

    /// Sends a request, and again after each refusal with `retry_after_ms`.
    pub(crate) async fn call(&self, request: &CallerRequest) -> CallerResponse {
        self.send_with_retries(request, &Rc::default()).await
    }

    /// Sends a request once, without retries.
    pub(crate) async fn call_once(&self, request: &CallerRequest) -> CallerResponse {
        let mut response = CallerResponse::default();
        let lines = Cell::default();
        let exchange = self.exchange(request, &lines, &mut response);
        if actix_rt::time::timeout(EXCHANGE_TIMEOUT, exchange).await.is_err() {
            response.body.push_str("(the response did not end before the timeout)");
        }
        response
    }

    /// Starts a generation request in the background, with retries.
    pub(crate) fn start_generation(
        &self,
        customer: &str,
        request: CallerRequest,
        generation: &GenerationRequest,
    ) -> RunningStream {
        let lines = Rc::<Cell<usize>>::default();
        let (caller, received_lines) = (self.clone(), Rc::clone(&lines));
        let task =
            actix_rt::spawn(
                async move { caller.send_with_retries(&request, &received_lines).await },
            );
        RunningStream { request: generation.clone(), customer: String::from(customer), lines, task }
    }

    async fn send_with_retries(
        &self,
        request: &CallerRequest,
        lines: &Cell<usize>,
    ) -> CallerResponse {
        let mut retries = 0;
        loop {
            let mut response = CallerResponse::default();
            let exchange = self.exchange(request, lines, &mut response);
            if actix_rt::time::timeout(EXCHANGE_TIMEOUT, exchange).await.is_err() {
                response.body.push_str("(the response did not end before the timeout)");
            }
            response.retries = retries;
            let wait = response.refusal()["retry_after_ms"].as_u64();
            let Some(wait) = wait.filter(|_| response.status != 200 && retries < MAX_RETRIES)
            else {
                return response;
            };
            retries += 1;
            actix_rt::time::sleep(Duration::from_millis(wait)).await;
        }
    }

    /// Sends a GET request for `path` with a key, without retries.
    pub(crate) async fn get(&self, daemon: SocketAddr, path: &str, key: &str) -> CallerResponse {
        let http_request = self.client.get(format!("http://{daemon}{path}"));
        let http_request = http_request.insert_header(("authorization", format!("Bearer {key}")));
        let mut response = CallerResponse::default();
        let lines = Cell::default();
        let exchange = receive(http_request.send(), &lines, &mut response);
        if actix_rt::time::timeout(EXCHANGE_TIMEOUT, exchange).await.is_err() {
            response.body.push_str("(the response did not end before the timeout)");
        }
        response
    }

    async fn exchange(
        &self,
        request: &CallerRequest,
        lines: &Cell<usize>,
        response: &mut CallerResponse,
    ) {
        let mut http_request =
            self.client.post(format!("http://{}/v1/{}", request.daemon, request.path));
        if let Some(key) = &request.key {
            http_request = http_request.insert_header(("authorization", format!("Bearer {key}")));
        }
        if let Some(key) = &request.idempotency_key {
            http_request = http_request.insert_header(("idempotency-key", key.as_str()));
        }
        receive(http_request.send_body(Bytes::from(request.body.clone())), lines, response).await;
    }
}

/// Receives a response and counts its lines as they arrive.
async fn receive(
    http_response: awc::SendClientRequest,
    lines: &Cell<usize>,
    response: &mut CallerResponse,
) {
    let mut http_response = match http_response.await {
        Ok(http_response) => http_response,
        Err(error) => {
            response.body = error.to_string();
            return;
        }
    };
    response.status = http_response.status().as_u16();
    let id = http_response.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    response.id = id.map(String::from).unwrap_or_default();
    while let Some(chunk) = http_response.next().await {
        // A truncated stream lacks its end line, which `GenerationRequest::verify` reports.
        let Ok(chunk) = chunk else { return };
        response.body.push_str(&String::from_utf8_lossy(&chunk));
        lines.set(response.body.matches('\n').count());
    }
}

impl GenerationRequest {
    pub(crate) fn body(&self) -> String {
        json!({ "prompt": self.prompt, "max_tokens": self.max_tokens, "seed": self.seed })
            .to_string()
    }

    /// Checks that a response is complete and equal to what an engine generates for this request.
    ///
    /// # Errors
    ///
    /// Returns the first difference.
    pub(crate) fn verify(&self, response: &CallerResponse) -> Result<(), String> {
        let count = self.verify_tokens(response)?;
        let lines = response.lines();
        let end = lines.last().cloned().unwrap_or_default();
        if end["end"] != true || end["tokens"].as_u64() != Some(count) {
            return Err(format!("status {}, {count} tokens, then {end}", response.status));
        }
        if count != u64::from(self.max_tokens) {
            return Err(format!("{count} tokens of {}", self.max_tokens));
        }
        Ok(())
    }

    /// Checks that the tokens received, however many, are those that an engine generates, and
    /// returns their number.
    ///
    /// # Errors
    ///
    /// Returns the first difference.
    pub(crate) fn verify_tokens(&self, response: &CallerResponse) -> Result<u64, String> {
        let mut count = 0;
        for line in response.lines() {
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

impl CallerResponse {
    /// Returns the lines of the body as JSON, with null for a line that cannot be parsed.
    pub(crate) fn lines(&self) -> Vec<Value> {
        self.body.lines().map(|line| serde_json::from_str(line).unwrap_or_default()).collect()
    }

    /// Returns the refusal that is the body or ends the stream, or null.
    pub(crate) fn refusal(&self) -> Value {
        self.lines().last().map(|line| line["error"].clone()).unwrap_or_default()
    }

    /// Returns the usage that the caller expects to be billed for this stream.
    pub(crate) fn stream_usage(&self) -> UsageAmount {
        let lines = self.lines();
        let tokens = lines.iter().filter(|line| !line["token"].is_null()).count();
        let prompt = lines.last().and_then(|line| line["prompt_tokens"].as_u64());
        UsageAmount {
            requests: u64::from(self.status == StatusCode::OK.as_u16()),
            prompt_tokens: prompt.unwrap_or_default(),
            generated_tokens: tokens as u64,
        }
    }

    /// Returns the usage that the caller expects to be billed for this response of a plain service.
    pub(crate) fn plain_usage(&self) -> UsageAmount {
        let requests = u64::from(self.status == StatusCode::OK.as_u16());
        UsageAmount { requests, prompt_tokens: 0, generated_tokens: 0 }
    }
}

impl RunningStream {
    /// Returns the number of lines received so far.
    pub(crate) fn received(&self) -> usize {
        self.lines.get()
    }

    /// Waits for the end of the stream.
    pub(crate) async fn wait_for_end(self) -> FinishedStream {
        let Self { request, customer, task, .. } = self;
        let response = task.await.unwrap_or_default();
        FinishedStream { request, customer, response }
    }
}
