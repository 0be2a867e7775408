//! Claims to run a suspect in isolation, in the topic of the crash records.

use base::{Incarnation, Span};
use delivery::{Fingerprint, RunClaim};

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

/// Prefix of the keys of claims. It is no hexadecimal number, as the keys of crash records are.
pub const RUN_CLAIM_PREFIX: &str = "run/";

wire! {
    struct WireRunClaim {
        lifetime_ms: u64,
    }
}

/// Encodes a claim with its lifetime as key and value. Without a lifetime it is a tombstone.
#[must_use]
pub fn encode_run_claim(claim: RunClaim, lifetime: Option<Span>) -> (String, Option<Vec<u8>>) {
    let RunClaim { fingerprint, node, number } = claim;
    let value = lifetime
        .map(|lifetime| encode_message(&WireRunClaim { lifetime_ms: lifetime.as_millis() }));
    (format!("{RUN_CLAIM_PREFIX}{fingerprint}/{:016x}/{number:016x}", node.0), value)
}

/// Decodes a claim and its lifetime. A tombstone has only a key.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the key or the value cannot be decoded.
pub fn decode_run_claim(
    key: &str,
    value: Option<&[u8]>,
) -> Result<(RunClaim, Option<Span>), MalformedMessage> {
    let claim = parse_key(key)
        .ok_or_else(|| MalformedMessage::new(format!("key \"{key}\" is not the key of a claim")))?;
    let wire: Option<WireRunClaim> = value.map(decode_message).transpose()?;
    Ok((claim, wire.map(|wire| Span::from_millis(wire.lifetime_ms))))
}

fn parse_key(key: &str) -> Option<RunClaim> {
    let mut parts = key.strip_prefix(RUN_CLAIM_PREFIX)?.split('/');
    let fingerprint = Fingerprint::from_hex(parts.next()?)?;
    let node = Incarnation(u64::from_str_radix(parts.next()?, 16).ok()?);
    let number = u64::from_str_radix(parts.next()?, 16).ok()?;
    parts.next().is_none().then_some(RunClaim { fingerprint, node, number })
}
