//! Entries by which gateways announce themselves to each other, in a keyed topic of the platform's
//! store.

use base::{WallTime, derive_value};
use dispatch::PeerEntry;

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

derive_value! {
    /// Newest entry of a node.
    pub struct NodeRecord {
        /// How other nodes reach it.
        pub entry: PeerEntry,
        /// When it was written, by the clock of the node.
        pub written_at: WallTime,
    }
}

wire! {
    struct WireNodeRecord {
        zone: String,
        address: String,
        written_at_ms: i64,
    }
}

/// Encodes an entry as key and value.
#[must_use]
pub fn encode_node_record(record: &NodeRecord) -> (String, Vec<u8>) {
    let value = encode_message(&WireNodeRecord {
        zone: record.entry.zone.clone(),
        address: record.entry.address.to_string(),
        written_at_ms: record.written_at.0,
    });
    (record.entry.name.clone(), value)
}

/// Decodes an entry. Its key is the name of the node's VM.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the value cannot be decoded.
pub fn decode_node_record(key: &str, value: &[u8]) -> Result<NodeRecord, MalformedMessage> {
    let wire: WireNodeRecord = decode_message(value)?;
    let address = wire.address.parse().map_err(|error| {
        MalformedMessage::new(format!("address \"{}\" of a node: {error}", wire.address))
    })?;
    let entry = PeerEntry { name: String::from(key), zone: wire.zone, address };
    Ok(NodeRecord { entry, written_at: WallTime(wire.written_at_ms) })
}
