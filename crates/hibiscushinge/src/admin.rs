//! Client of the HTTP admin interface of daemons.

use std::net::SocketAddr;

use base::Span;
use clients::{CallError, HttpClient, HttpRequest, HttpResponse};
use serde_json::Value;

use crate::NodeStatus;

/// Longest wait for one response.
const RESPONSE_TIMEOUT: Span = Span::from_secs(3);

/// Longest response accepted. The status in an environment with 320 nodes and 600 upstreams has
/// about 100 kB.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Reads status, usage and decisions from the admin interface of daemons.
#[derive(Debug, Clone)]
pub struct AdminClient {
    http: HttpClient,
}

impl AdminClient {
    /// Creates a client. Its connections belong to the thread that uses it.
    #[must_use]
    pub fn new() -> Self {
        Self { http: HttpClient::new(Span::from_secs(1)) }
    }

    /// Reads the status of the daemon at `node`.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not respond in time, with another status than success,
    /// or with a body that cannot be parsed.
    pub async fn status(&self, node: SocketAddr) -> Result<NodeStatus, CallError> {
        parse(&self.get(node, "/admin/status").await?)
    }

    /// Reads the usage by customer and window that the daemon at `node` has read from the log, as
    /// the JSON of `GET /admin/usage`.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not respond in time, with another status than success,
    /// or with a body that cannot be parsed.
    pub async fn usage(&self, node: SocketAddr) -> Result<Value, CallError> {
        parse(&self.get(node, "/admin/usage").await?)
    }

    /// Reads the decisions about a request, a sample or an order, as the JSON of `GET
    /// /admin/explain`. `id` must consist of characters that need no escaping in a query string.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not respond in time, with another status than success,
    /// or with a body that cannot be parsed.
    pub async fn explain(&self, node: SocketAddr, id: &str) -> Result<Value, CallError> {
        parse(&self.get(node, &format!("/admin/explain?id={id}")).await?)
    }

    async fn get(&self, node: SocketAddr, path: &str) -> Result<HttpResponse, CallError> {
        self.http
            .exchange(HttpRequest::get(node, path), RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES)
            .await?
            .error_for_status()
    }
}

impl Default for AdminClient {
    fn default() -> Self {
        Self::new()
    }
}

fn parse<T: serde::de::DeserializeOwned>(response: &HttpResponse) -> Result<T, CallError> {
    serde_json::from_slice(&response.body).map_err(|error| CallError {
        failure: clients::CallFailure::Malformed,
        execution: base::Execution::MayHaveRun,
        retry_after: None,
        message: format!("the response is not that of a daemon's admin interface: {error}"),
    })
}
