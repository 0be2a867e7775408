//! MessagePack encoding with a bound on size.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};

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
