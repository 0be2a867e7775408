//! Records of crashes in a keyed topic of the platform's store. A record says that a request with a
//! fingerprint was in flight on an upstream when its process ended.

use base::{WallTime, derive_copy};
use delivery::Fingerprint;

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

derive_copy! {
    /// Key of a crash record.
    pub struct CrashKey {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Digest of the upstream's identifier and start time, which name its process.
        pub process: u64,
    }
}

wire! {
    struct WireCrash {
        /// When the record no longer counts, in UTC milliseconds.
        expires_at_ms: i64,
    }
}

/// Encodes a crash record as key and value. Without an expiry the record is a tombstone.
#[must_use]
pub fn encode_crash_record(
    key: CrashKey,
    expires_at: Option<WallTime>,
) -> (String, Option<Vec<u8>>) {
    let value = expires_at.map(|time| encode_message(&WireCrash { expires_at_ms: time.0 }));
    (format!("{}/{:016x}", key.fingerprint, key.process), value)
}

/// Decodes a crash record. A tombstone has no expiry.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the key or the value cannot be decoded.
pub fn decode_crash_record(
    key: &str,
    value: Option<&[u8]>,
) -> Result<(CrashKey, Option<WallTime>), MalformedMessage> {
    let parsed = key.split_once('/').and_then(|(fingerprint, process)| {
        let process = u64::from_str_radix(process, 16).ok()?;
        Some(CrashKey { fingerprint: Fingerprint::from_hex(fingerprint)?, process })
    });
    let malformed =
        || MalformedMessage::new(format!("key \"{key}\" is not the key of a crash record"));
    let key = parsed.ok_or_else(malformed)?;
    let Some(value) = value else { return Ok((key, None)) };
    let wire: WireCrash = decode_message(value)?;
    Ok((key, Some(WallTime(wire.expires_at_ms))))
}
