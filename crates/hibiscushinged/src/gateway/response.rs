//! Responses of a gateway to callers and trainers.

use actix_http::{
    ConnectionType, Response, StatusCode,
    body::BoxBody,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use base::{Refusal, RefusalCode};
use bytes::Bytes;

use crate::{
    gateway::{attempt::FullResponse, node::NodeState},
    shared::NodePhase,
    traffic::response::refusal_without_retry_after,
};

/// Builds the response to a refused request. Its Retry-After has a fraction of a second, since many
/// callers wait for less than a second in total.
pub(crate) fn refusal(refusal: &Refusal) -> Response<BoxBody> {
    let mut response = refusal_without_retry_after(refusal);
    if refusal.code == RefusalCode::Convicted {
        // On this platform only some statuses promise that a request has not run, and 422 is not
        // one of them.
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    if let Some(span) = refusal.retry_after {
        let seconds = format!("{:.3}", span.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Builds a response without a body.
pub(crate) fn status(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(Bytes::new()))
}

/// Returns an upstream's response to the caller.
pub(crate) fn relayed(upstream_response: FullResponse) -> Response<BoxBody> {
    with_headers(
        upstream_response.status,
        BoxBody::new(upstream_response.body),
        upstream_response.headers,
    )
}

/// Builds a response with the headers of an upstream.
pub(crate) fn with_headers(
    status: StatusCode,
    body: BoxBody,
    headers: Vec<(HeaderName, HeaderValue)>,
) -> Response<BoxBody> {
    let mut response = Response::with_body(status, body);
    for (name, value) in headers {
        response.headers_mut().append(name, value);
    }
    response
}

/// Asks the caller to close the connection while this node is draining, so that its next request
/// goes to another node.
pub(crate) fn close_when_draining(node: &NodeState, response: &mut Response<BoxBody>) {
    if node.phase() == NodePhase::Draining {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
}
