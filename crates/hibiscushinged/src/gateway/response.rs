//! Answers to callers and trainers of a gateway.

use actix_http::{
    ConnectionType, Response, StatusCode,
    body::BoxBody,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use base::Refusal;
use bytes::Bytes;

use crate::{
    gateway::{attempt::WholeAnswer, node::NodeState},
    shared::NodePhase,
    traffic::response::refusal_without_retry_after,
};

/// Builds the answer to a refused request. The time to come back has a fraction, since many callers
/// wait for less than a second in all.
pub(crate) fn refusal(refusal: &Refusal) -> Response<BoxBody> {
    let mut response = refusal_without_retry_after(refusal);
    if let Some(span) = refusal.retry_after {
        let seconds = format!("{:.3}", span.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Builds an answer without content.
pub(crate) fn status(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(Bytes::new()))
}

/// Passes an upstream's answer on.
pub(crate) fn relayed(answer: WholeAnswer) -> Response<BoxBody> {
    with_headers(answer.status, BoxBody::new(answer.body), answer.headers)
}

/// Builds an answer with the headers of an upstream.
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

/// Asks the caller to use another connection next time, when this node is about to stop.
pub(crate) fn close_when_draining(node: &NodeState, response: &mut Response<BoxBody>) {
    if node.phase() == NodePhase::Draining {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
}
