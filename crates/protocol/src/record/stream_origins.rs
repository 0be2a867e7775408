//! Records of the software versions that began the streams of callers, in a keyed topic of the
//! platform's store.

use base::{WallTime, derive_copy, derive_value};

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

derive_copy! {
    /// Digest of a caller's customer and request identifier.
    pub struct StreamDigest(pub u64);
}

derive_value! {
    /// How a stream began.
    pub struct StreamOrigin {
        /// Software version of the upstream that sends its first event.
        pub software_version: String,
        /// When the upstream responded.
        pub begun_at: WallTime,
    }
}

wire! {
    struct WireOrigin {
        software_version: String,
        begun_at_ms: i64,
    }
}

/// Returns the key of a stream's record.
#[must_use]
pub fn stream_origin_key(stream: StreamDigest) -> String {
    format!("{:016x}", stream.0)
}

/// Encodes the value of a record.
#[must_use]
pub fn encode_stream_origin(origin: &StreamOrigin) -> Vec<u8> {
    let software_version = origin.software_version.clone();
    encode_message(&WireOrigin { software_version, begun_at_ms: origin.begun_at.0 })
}

/// Decodes the value of a record.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the value cannot be decoded.
pub fn decode_stream_origin(value: &[u8]) -> Result<StreamOrigin, MalformedMessage> {
    let wire: WireOrigin = decode_message(value)?;
    Ok(StreamOrigin {
        software_version: wire.software_version,
        begun_at: WallTime(wire.begun_at_ms),
    })
}
