//! Records of what the steps of trainers demand of the engines, in a keyed topic of the platform's
//! store. Their keys are the names of models.

use base::{WallTime, derive_copy};

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

derive_copy! {
    /// Demand for a model.
    pub struct ModelDemand {
        /// Tokens that the newest step is expected to generate.
        pub tokens: u64,
        /// When the record was written, by the clock of the node.
        pub written_at: WallTime,
    }
}

wire! {
    struct WireModelDemand {
        tokens: u64,
        written_at_ms: i64,
    }
}

/// Encodes the value of a record.
#[must_use]
pub fn encode_model_demand(demand: ModelDemand) -> Vec<u8> {
    encode_message(&WireModelDemand { tokens: demand.tokens, written_at_ms: demand.written_at.0 })
}

/// Decodes the value of a record.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the value cannot be decoded.
pub fn decode_model_demand(value: &[u8]) -> Result<ModelDemand, MalformedMessage> {
    let wire: WireModelDemand = decode_message(value)?;
    Ok(ModelDemand { tokens: wire.tokens, written_at: WallTime(wire.written_at_ms) })
}
