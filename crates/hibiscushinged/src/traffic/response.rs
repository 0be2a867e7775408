//! HTTP responses to callers and trainers.

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use base::Refusal;
use bytes::Bytes;
use serde_json::{Value, json};

/// Header with the request id, by which operators look the request up with `explain`. It is set on
/// responses to callers and on requests to upstreams.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Builds the response to a refused request, with a `Retry-After` header if the refusal has a time.
pub(crate) fn refusal(refusal: &Refusal) -> Response<BoxBody> {
    let mut response = refusal_without_retry_after(refusal);
    if let Some(span) = refusal.retry_after {
        // The header counts whole seconds, rounded up; the body gives milliseconds.
        let seconds = HeaderValue::from(span.0.div_ceil(1_000_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Builds the response to a refused request without a `Retry-After` header.
pub(crate) fn refusal_without_retry_after(refusal: &Refusal) -> Response<BoxBody> {
    let status = StatusCode::from_u16(refusal.code.http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    json(status, &json!({ "error": error_value(refusal) }))
}

/// Builds the value of the JSON member `error` for a refusal.
pub(crate) fn error_value(refusal: &Refusal) -> Value {
    json!({
        "code": refusal.code.as_str(),
        "ran": refusal.execution.as_str(),
        "retry_after_ms": refusal.retry_after.map(|span| span.0.div_ceil(1_000)),
        "message": refusal.message,
    })
}

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &Value) -> Response<BoxBody> {
    with_body(status, "application/json", Bytes::from(value.to_string()))
}

/// Builds a response whose body is sent as a whole, not streamed.
pub(crate) fn with_body(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
