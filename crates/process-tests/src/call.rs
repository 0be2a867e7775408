//! HTTP calls that tests make.

use std::net::SocketAddr;

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use serde_json::Value;

/// A complete response, or the error in its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status, or 0 if no complete response arrived.
    pub status: u16,
    /// Body, or the text of the error if no complete response arrived.
    pub body: String,
}

/// Timeout of one call, connecting and reading a streamed body included.
const CALL_TIMEOUT: Span = Span::from_secs(60);

/// Posts a body with the given headers, as a caller does.
pub async fn call(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    body: &str,
) -> CallResponse {
    let mut request = HttpRequest::post(address, path, Bytes::copy_from_slice(body.as_bytes()));
    for (name, value) in headers {
        let value = value.parse().expect("a test passes valid header values");
        request =
            request.with_header(name.parse().expect("a test passes valid header names"), value);
    }
    send(request).await
}

/// Sends a GET request with the given headers.
pub async fn get(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
) -> CallResponse {
    let mut request = HttpRequest::get(address, path);
    for (name, value) in headers {
        let value = value.parse().expect("a test passes valid header values");
        request =
            request.with_header(name.parse().expect("a test passes valid header names"), value);
    }
    send(request).await
}

/// Sends a GET request and decodes the JSON body, whatever the status. Returns `None` if no
/// complete response arrived or its body is not JSON.
pub async fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let response = send(HttpRequest::get(address, path)).await;
    serde_json::from_str(&response.body).ok()
}

/// Posts JSON and returns the status, or 0 if no complete response arrived.
pub async fn post_json(address: SocketAddr, path: &str, value: &Value) -> u16 {
    let body = Bytes::from(value.to_string());
    send(HttpRequest::post(address, path, body)).await.status
}

async fn send(request: HttpRequest) -> CallResponse {
    match HttpClient::new(Span::from_secs(5)).stream_all(request, CALL_TIMEOUT).await {
        Ok((status, body)) => CallResponse { status, body: String::from_utf8_lossy(&body).into() },
        Err(error) => CallResponse { status: 0, body: error.to_string() },
    }
}
