//! Reads and validates the requests of callers and trainers.

use actix_http::{HttpMessage as _, Request, header::AUTHORIZATION};
use base::{KeyDigest, Moment, Refusal, RefusalCode, Span};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Deserialize;

use crate::{
    connections,
    shared::{NodePhase, SharedState},
    view::{KeyAcceptance, ResolvedRoute, RoutingView},
};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Bound on the length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// The API key of a request and the customer to whom it belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyOwner {
    pub(crate) digest: KeyDigest,
    pub(crate) customer: String,
}

/// JSON body of a request for a generation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GenerateBody {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    /// Seed of the generation, passed on unchanged when it is resumed on another engine.
    #[serde(default)]
    pub(crate) seed: u64,
}

/// Refuses the request unless the node is in phase serving.
pub(crate) fn check_phase(shared: &SharedState) -> Result<(), Refusal> {
    let (code, message) = match shared.phase() {
        NodePhase::Serving => return Ok(()),
        NodePhase::Starting => {
            (RefusalCode::NoUpstream, "this node has no configuration in force yet")
        }
        NodePhase::Draining => {
            (RefusalCode::Draining, "this node is draining and accepts no new requests")
        }
    };
    Err(Refusal::not_run(code, message).with_retry_after(Span::from_secs(1)))
}

/// Returns the customer of the request's API key, or `None` on an open route, where keys are
/// ignored.
///
/// # Errors
///
/// Refuses a request without a valid key. Refuses every key once the node has been isolated for
/// longer than the document allows.
pub(crate) fn authenticate(
    view: &RoutingView,
    route: &ResolvedRoute,
    request: &Request,
) -> Result<Option<KeyOwner>, Refusal> {
    if route.entry.open {
        return Ok(None);
    }
    if view.key_acceptance == KeyAcceptance::Refusing {
        let message = "this node is isolated, cannot learn of withdrawn keys and refuses all keys";
        let refusal = Refusal::not_run(RefusalCode::Isolated, message);
        return Err(refusal.with_retry_after(Span::from_secs(5)));
    }
    let Some(digest) = bearer_digest(request) else {
        let message = "the request lacks the header \"authorization: Bearer KEY\"";
        return Err(Refusal::not_run(RefusalCode::KeyRefused, message));
    };
    let Some(customer) = view.keys.customer(&digest) else {
        return Err(Refusal::not_run(RefusalCode::KeyRefused, "the key is unknown or withdrawn"));
    };
    Ok(Some(KeyOwner { digest, customer: String::from(customer) }))
}

/// Returns the digest of the bearer token of the request, which is its API key.
pub(crate) fn bearer_digest(request: &Request) -> Option<KeyDigest> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(KeyDigest::of(key))
}

/// Returns the request's deadline. The header `x-deadline-ms` gives the time until it, clamped to
/// the bounds of the route; without the header it is the longest that the route allows.
pub(crate) fn deadline(
    now: Moment,
    route: &ResolvedRoute,
    request: &Request,
) -> Result<Moment, Refusal> {
    let Some(value) = request.headers().get(DEADLINE_HEADER) else {
        return Ok(now + route.entry.max_deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(millis) = millis.filter(|millis| *millis <= 86_400_000) else {
        let message =
            format!("header \"{DEADLINE_HEADER}\" must be a number of milliseconds up to one day");
        return Err(Refusal::not_run(RefusalCode::RequestInvalid, message));
    };
    let timeout = Span::from_millis(millis);
    Ok(now + timeout.clamp(route.entry.min_deadline, route.entry.max_deadline))
}

/// Returns the request's idempotency key, if it has one.
pub(crate) fn idempotency_key(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(String::from(text)))
        }
        _ => {
            let message = format!(
                "header \"{IDEMPOTENCY_KEY_HEADER}\" must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} \
                 visible ASCII characters"
            );
            Err(Refusal::not_run(RefusalCode::RequestInvalid, message))
        }
    }
}

/// Reads a whole request body of at most `max_bytes` bytes.
pub(crate) async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, Refusal> {
    let invalid = |message| Refusal::not_run(RefusalCode::RequestInvalid, message);
    connections::expect_body(request)?;
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk
            .map_err(|error| invalid(format!("the body could not be read to its end: {error}")))?;
        if body.len() + chunk.len() > max_bytes {
            return Err(invalid(format!("the body exceeds the limit of {max_bytes} bytes")));
        }
        connections::count_body(request, &chunk)?;
        body.extend_from_slice(&chunk);
    }
    connections::finish_body(request);
    Ok(body.freeze())
}

/// Parses a JSON body. The refusal names the first error.
pub(crate) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not valid JSON for this request: {error}");
        Refusal::not_run(RefusalCode::RequestInvalid, message)
    })
}
