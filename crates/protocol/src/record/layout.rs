//! Record of the number of partitions that submissions use, in a keyed topic of the platform's store.

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

/// Key of the record. The first one that the store has accepted holds for good.
pub const LAYOUT_KEY: &str = "submissions";

wire! {
    struct WireLayout {
        partitions: u32,
    }
}

/// Encodes the value of the record.
#[must_use]
pub fn encode_partition_count(partitions: u32) -> Vec<u8> {
    encode_message(&WireLayout { partitions })
}

/// Decodes the value of the record.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the value cannot be decoded or names no partition.
pub fn decode_partition_count(value: &[u8]) -> Result<u32, MalformedMessage> {
    let wire: WireLayout = decode_message(value)?;
    if wire.partitions == 0 {
        return Err(MalformedMessage::new("the number of partitions is zero"));
    }
    Ok(wire.partitions)
}
