//! Reading and checking of callers' requests.

use actix_http::{HttpMessage as _, Request, header::AUTHORIZATION};
use base::{KeyDigest, Moment, Refusal, RefusalCode, Span};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Deserialize;

use crate::{
    shared::{NodePhase, SharedState},
    view::{KeyAcceptance, ResolvedRoute, RoutingView},
};

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const DEADLINE: &str = "x-deadline-ms";

/// Longest accepted idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;

/// Owner of the key that came with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyOwner {
    pub(crate) digest: KeyDigest,
    pub(crate) customer: String,
}

/// A generation as a caller asks for it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GenerateBody {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) seed: u64,
}

/// Checks that the daemon takes new requests.
pub(crate) fn check_phase(shared: &SharedState) -> Result<(), Refusal> {
    let (code, message) = match shared.phase() {
        NodePhase::Serving => return Ok(()),
        NodePhase::Starting => (RefusalCode::NoUpstream, "no configuration is in force yet"),
        NodePhase::Draining => (RefusalCode::Draining, "this node is stopping"),
    };
    Err(Refusal::not_run(code, message).with_retry_after(Span::from_secs(1)))
}

/// Finds the customer of the request's key. A key on an open route is ignored.
///
/// # Errors
///
/// Refuses a request without a valid key on a route that is not open, and every key while the node
/// is isolated for longer than the document allows.
pub(crate) fn authenticate(
    view: &RoutingView,
    route: &ResolvedRoute,
    request: &Request,
) -> Result<Option<KeyOwner>, Refusal> {
    if route.entry.open {
        return Ok(None);
    }
    if view.key_acceptance == KeyAcceptance::Refusing {
        let message = "this node cannot learn of withdrawn keys and refuses all keys";
        let refusal = Refusal::not_run(RefusalCode::Isolated, message);
        return Err(refusal.with_retry_after(Span::from_secs(5)));
    }
    let Some(digest) = bearer_digest(request) else {
        let message = "the request has no header \"authorization: Bearer KEY\"";
        return Err(Refusal::not_run(RefusalCode::KeyRefused, message));
    };
    let Some(customer) = view.keys.customer(&digest) else {
        return Err(Refusal::not_run(RefusalCode::KeyRefused, "the key is unknown or withdrawn"));
    };
    Ok(Some(KeyOwner { digest, customer: String::from(customer) }))
}

/// Returns the digest of the request's key.
pub(crate) fn bearer_digest(request: &Request) -> Option<KeyDigest> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(KeyDigest::of(key))
}

/// Returns the request's deadline within the bounds of its route.
pub(crate) fn deadline(
    now: Moment,
    route: &ResolvedRoute,
    request: &Request,
) -> Result<Moment, Refusal> {
    let Some(value) = request.headers().get(DEADLINE) else {
        return Ok(now + route.entry.max_deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(millis) = millis.filter(|millis| *millis <= 86_400_000) else {
        let message = format!("header \"{DEADLINE}\" is not a number of milliseconds");
        return Err(Refusal::not_run(RefusalCode::RequestInvalid, message));
    };
    let span = Span::from_millis(millis);
    Ok(now + span.clamp(route.entry.min_deadline, route.entry.max_deadline))
}

/// Returns the request's idempotency key, if it has one.
pub(crate) fn idempotency_key(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY => {
            Ok(Some(String::from(text)))
        }
        _ => {
            let message = format!(
                "header \"{IDEMPOTENCY_KEY}\" is not 1 to {MAX_IDEMPOTENCY_KEY} characters"
            );
            Err(Refusal::not_run(RefusalCode::RequestInvalid, message))
        }
    }
}

/// Reads a whole request body of at most `limit` bytes.
pub(crate) async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Refusal> {
    let invalid = |message| Refusal::not_run(RefusalCode::RequestInvalid, message);
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| invalid(format!("the body broke off: {error}")))?;
        if body.len() + chunk.len() > limit {
            return Err(invalid(format!("the body exceeds {limit} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Parses a JSON body.
pub(crate) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not valid: {error}");
        Refusal::not_run(RefusalCode::RequestInvalid, message)
    })
}
