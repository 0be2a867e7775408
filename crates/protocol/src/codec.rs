//! Encoding in MessagePack, and decoding with a limit on the size of a message.

use std::fmt;

use base::{Incarnation, RecordId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest message that is decoded. The largest messages in practice hold a configuration document.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Error of a message or record that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedMessage {
    reason: String,
}

impl MalformedMessage {
    /// Creates the error from the reason, which is shown after `malformed message: `.
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

/// Encodes a message. Field names are part of the encoding, so that daemons of two releases can
/// exchange messages: a daemon skips fields that it does not know.
///
/// # Panics
///
/// Panics if `message` has no MessagePack representation, which cannot happen for wire types.
#[must_use]
pub fn encode_message<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("a wire type has a MessagePack representation")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`MalformedMessage`] for a message that is longer than [`MAX_MESSAGE_BYTES`] or does not
/// match the type.
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
    /// Sequence number within the writer.
    pub sequence: u64,
}

/// A domain type whose values are records of one log stream.
pub trait StreamRecord: Sized {
    /// Wire type of the record.
    type Wire: Serialize + DeserializeOwned + for<'a> From<&'a Self>;

    /// Converts a decoded record to the domain type.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedMessage`] when a field has a value that the domain type does not allow.
    fn from_wire(wire: Self::Wire) -> Result<Self, MalformedMessage>;
}

#[derive(Serialize, Deserialize)]
struct WireEnvelope<T> {
    id: WireId,
    record: T,
}

/// Encodes a record with its id. A retried append can store a record twice; readers recognize the
/// repeat by the id.
#[must_use]
pub fn encode_record<T: StreamRecord>(id: RecordId, record: &T) -> Vec<u8> {
    encode_message(&WireEnvelope { id: id.into(), record: T::Wire::from(record) })
}

/// Decodes a record and its id.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the bytes are not a record of this stream.
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
