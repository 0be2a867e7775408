//! Responses of a gateway to callers and trainers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{
    ConnectionType, Response, StatusCode,
    body::{BodySize, BoxBody, MessageBody},
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use base::{Refusal, RefusalCode};
use bytes::Bytes;

use crate::{
    gateway::{attempt::FullResponse, node::NodeState},
    shared::{InFlightGuard, NodePhase},
    traffic::response::refusal_without_retry_after,
};

/// Parts in which a long body is handed to the connection.
const PART_BYTES: usize = 16 << 10;

/// A long body whose request counts as in flight until nearly all of it is written. The connection
/// buffers one body whole, and the process must not end before it is sent.
struct TrackedBody {
    rest: Bytes,
    _in_flight: InFlightGuard,
}

impl MessageBody for TrackedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(length))))
    }
}

/// Counts the request of a long response as in flight until the response is written. A short one
/// fits into the buffer of its socket.
pub(crate) fn track_body(node: &NodeState, response: Response<BoxBody>) -> Response<BoxBody> {
    let is_long = |body: &BoxBody| matches!(body.size(), BodySize::Sized(length) if length > PART_BYTES as u64);
    if !is_long(response.body()) {
        return response;
    }
    response.map_body(|_, body| match body.try_into_bytes() {
        Ok(rest) => BoxBody::new(TrackedBody { rest, _in_flight: node.track_in_flight() }),
        Err(body) => body,
    })
}

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
