//! Questions to the operator interface of a daemon.

use std::net::SocketAddr;

use base::Span;
use clients::{CallError, HttpClient, HttpRequest, HttpResponse};
use serde_json::Value;

use crate::NodeStatus;

/// Longest wait for one answer.
const TIMEOUT: Span = Span::from_secs(3);

/// Longest answer accepted, in bytes. A status of 320 nodes and 600 upstreams has about 100 kB.
const MAX_ANSWER: usize = 4 << 20;

/// Reads what daemons tell operators.
#[derive(Debug, Clone)]
pub struct AdminClient {
    http: HttpClient,
}

impl AdminClient {
    /// Creates a client. It belongs to one thread.
    #[must_use]
    pub fn new() -> Self {
        Self { http: HttpClient::new(Span::from_secs(1)) }
    }

    /// Reads the status of the daemon at `node`.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not answer in time or not as described.
    pub async fn status(&self, node: SocketAddr) -> Result<NodeStatus, CallError> {
        parse(&self.get(node, "/admin/status").await?)
    }

    /// Reads the usage figures that the daemon at `node` knows.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not answer in time or not as described.
    pub async fn usage(&self, node: SocketAddr) -> Result<Value, CallError> {
        parse(&self.get(node, "/admin/usage").await?)
    }

    /// Reads the decisions about a request, a sample or an order. `id` consists of characters that
    /// a query string carries as they are.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not answer in time or not as described.
    pub async fn explain(&self, node: SocketAddr, id: &str) -> Result<Value, CallError> {
        parse(&self.get(node, &format!("/admin/explain?id={id}")).await?)
    }

    async fn get(&self, node: SocketAddr, path: &str) -> Result<HttpResponse, CallError> {
        self.http
            .exchange(HttpRequest::get(node, path), TIMEOUT, MAX_ANSWER)
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
        message: format!("the answer is not that of a daemon's operator interface: {error}"),
    })
}
