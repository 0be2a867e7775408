//! HTTP calls of tests.

use std::net::SocketAddr;

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use serde_json::Value;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    /// HTTP status, or 0 when no whole answer came.
    pub status: u16,
    /// Body.
    pub body: String,
}

const LIMIT: Span = Span::from_secs(60);

/// Sends a caller's request.
pub async fn call(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    body: &str,
) -> CallAnswer {
    let mut request = HttpRequest::post(address, path, Bytes::copy_from_slice(body.as_bytes()));
    for (name, value) in headers {
        let value = value.parse().expect("test headers are valid");
        request = request.with_header(name.parse().expect("test headers are valid"), value);
    }
    send(request).await
}

/// Sends a request without a body.
pub async fn get(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
) -> CallAnswer {
    let mut request = HttpRequest::get(address, path);
    for (name, value) in headers {
        let value = value.parse().expect("test headers are valid");
        request = request.with_header(name.parse().expect("test headers are valid"), value);
    }
    send(request).await
}

/// Reads JSON, or `None` when no answer came.
pub async fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let answer = send(HttpRequest::get(address, path)).await;
    serde_json::from_str(&answer.body).ok()
}

/// Posts JSON and returns the status.
pub async fn post_json(address: SocketAddr, path: &str, value: &Value) -> u16 {
    let body = Bytes::from(value.to_string());
    send(HttpRequest::post(address, path, body)).await.status
}

async fn send(request: HttpRequest) -> CallAnswer {
    match HttpClient::new(Span::from_secs(5)).stream_all(request, LIMIT).await {
        Ok((status, body)) => CallAnswer { status, body: String::from_utf8_lossy(&body).into() },
        Err(error) => CallAnswer { status: 0, body: error.to_string() },
    }
}
