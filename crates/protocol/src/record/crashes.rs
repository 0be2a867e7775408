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
        /// Digest of the upstream's identifier and start time, which name its process, and of the
        /// claim of the run if it was isolated.
        pub process: u64,
    }

    /// Content of a crash record.
    pub struct CrashRecord {
        /// When the request was sent to the process.
        pub started_at: WallTime,
        /// When the exchange broke off or was given up.
        pub ended_at: WallTime,
        /// Whether no other node ran the request at the same time.
        pub isolated: bool,
        /// When the record no longer counts.
        pub expires_at: WallTime,
    }
}

wire! {
    struct WireCrash {
        started_at_ms: i64,
        ended_at_ms: i64,
        expires_at_ms: i64,
        /// Absent from records of releases that isolated no runs.
        #[serde(default)]
        isolated: bool,
    }
}

/// Encodes a crash record as key and value. Without a record it is a tombstone.
#[must_use]
pub fn encode_crash_record(
    key: CrashKey,
    record: Option<CrashRecord>,
) -> (String, Option<Vec<u8>>) {
    let value = record.map(|record| {
        encode_message(&WireCrash {
            started_at_ms: record.started_at.0,
            ended_at_ms: record.ended_at.0,
            expires_at_ms: record.expires_at.0,
            isolated: record.isolated,
        })
    });
    (format!("{}/{:016x}", key.fingerprint, key.process), value)
}

/// Decodes a crash record. A tombstone has only a key.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the key or the value cannot be decoded.
pub fn decode_crash_record(
    key: &str,
    value: Option<&[u8]>,
) -> Result<(CrashKey, Option<CrashRecord>), MalformedMessage> {
    let parsed = key.split_once('/').and_then(|(fingerprint, process)| {
        let process = u64::from_str_radix(process, 16).ok()?;
        Some(CrashKey { fingerprint: Fingerprint::from_hex(fingerprint)?, process })
    });
    let malformed =
        || MalformedMessage::new(format!("key \"{key}\" is not the key of a crash record"));
    let key = parsed.ok_or_else(malformed)?;
    let Some(value) = value else { return Ok((key, None)) };
    let wire: WireCrash = decode_message(value)?;
    let record = CrashRecord {
        started_at: WallTime(wire.started_at_ms),
        ended_at: WallTime(wire.ended_at_ms),
        isolated: wire.isolated,
        expires_at: WallTime(wire.expires_at_ms),
    };
    Ok((key, Some(record)))
}
