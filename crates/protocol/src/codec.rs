//! MessagePack encoding with a bound on size.

use std::fmt;

use base::{Incarnation, RecordId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest accepted message in bytes. A configuration document is the largest one in practice.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A message could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedMessage {
    reason: String,
}

impl MalformedMessage {
    /// Builds the error for a message whose content is outside its allowed range.
    #[must_use]
    pub fn new(reason: impl Into<String>) -> Self {
        Self { reason: reason.into() }
    }
}

impl fmt::Display for MalformedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed message: {}", self.reason)
    }
}

impl std::error::Error for MalformedMessage {}

/// Encodes a message. Fields are named, so that daemons of two releases can exchange messages.
///
/// # Panics
///
/// Panics when a wire type cannot be represented, which its definition rules out.
#[must_use]
pub fn encode_message<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("wire types consist of text, integers and lists")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`MalformedMessage`] for a message that is too long or does not have the expected shape.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MalformedMessage> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        let reason = format!("{} bytes exceed the limit of {MAX_MESSAGE_BYTES}", bytes.len());
        return Err(MalformedMessage::new(reason));
    }
    rmp_serde::from_slice(bytes).map_err(|error| MalformedMessage::new(error.to_string()))
}

/// Writer and sequence number of a record, an order, a request or a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireId {
    /// Incarnation of the writer.
    pub writer: u64,
    /// Number among those of the writer.
    pub sequence: u64,
}

/// A domain type that is a record of one log stream.
pub trait StreamRecord: Sized {
    /// The form of the record on the wire.
    type Wire: Serialize + DeserializeOwned + for<'a> From<&'a Self>;

    /// Converts a decoded record.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedMessage`] when a field is outside its range.
    fn from_wire(wire: Self::Wire) -> Result<Self, MalformedMessage>;
}

#[derive(Serialize, Deserialize)]
struct WireEnvelope<T> {
    id: WireId,
    record: T,
}

/// Encodes a record with the id by which readers drop repeats.
#[must_use]
pub fn encode_record<T: StreamRecord>(id: RecordId, record: &T) -> Vec<u8> {
    encode_message(&WireEnvelope { id: id.into(), record: T::Wire::from(record) })
}

/// Decodes a record and its id.
///
/// # Errors
///
/// Returns [`MalformedMessage`] for bytes that are not a record of this stream.
pub fn decode_record<T: StreamRecord>(bytes: &[u8]) -> Result<(RecordId, T), MalformedMessage> {
    let envelope = decode_message::<WireEnvelope<T::Wire>>(bytes)?;
    Ok((envelope.id.into(), T::from_wire(envelope.record)?))
}

impl From<RecordId> for WireId {
    fn from(id: RecordId) -> Self {
        Self { writer: id.writer.0, sequence: id.sequence }
    }
}

impl From<WireId> for RecordId {
    fn from(id: WireId) -> Self {
        Self { writer: Incarnation(id.writer), sequence: id.sequence }
    }
}

macro_rules! wire {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)] $item)*
    };
}
pub(crate) use wire;
