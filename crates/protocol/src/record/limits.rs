//! Records of the limits that upstreams name, and of the nodes' claims to them, in a keyed topic of
//! the platform's store.

use base::{Incarnation, NodeDigest, ProcessDigest, RequestRate, derive_value};
use dispatch::{LimitClaim, NodeClaims, WantedRate};

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

/// Prefix of the keys of limits.
const LIMIT_PREFIX: &str = "limit/";

/// Prefix of the keys of nodes.
const NODE_PREFIX: &str = "node/";

derive_value! {
    /// Newest content of one key. Without content the key is deleted.
    pub enum LimitRecord {
        /// Limit on the requests of a process.
        Limit(ProcessDigest, Option<RequestRate>),
        /// Claims of a node.
        Claims(NodeDigest, Option<NodeClaims>),
    }
}

wire! {
    struct WireLimit {
        milli_requests: u64,
    }

    struct WireClaim {
        process: u64,
        wanted_callers: u64,
        wanted_items: u64,
        claimed: u64,
        is_seen: bool,
    }

    struct WireNode {
        incarnation: u64,
        sequence: u64,
        claims: Vec<WireClaim>,
    }
}

/// Encodes a record as key and value. Without content it is a tombstone.
#[must_use]
pub fn encode_limit_record(record: &LimitRecord) -> (String, Option<Vec<u8>>) {
    match record {
        LimitRecord::Limit(process, rate) => {
            let value = rate.map(|rate| encode_message(&WireLimit { milli_requests: rate.0 }));
            (format!("{LIMIT_PREFIX}{:016x}", process.0), value)
        }
        LimitRecord::Claims(node, claims) => {
            let value = claims.as_ref().map(|claims| encode_message(&WireNode::from(claims)));
            (format!("{NODE_PREFIX}{:016x}", node.0), value)
        }
    }
}

/// Decodes a record. A tombstone has only a key.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the key or the value cannot be decoded.
pub fn decode_limit_record(
    key: &str,
    value: Option<&[u8]>,
) -> Result<LimitRecord, MalformedMessage> {
    let digest = |text: &str| u64::from_str_radix(text, 16).ok();
    if let Some(process) = key.strip_prefix(LIMIT_PREFIX).and_then(digest) {
        let wire: Option<WireLimit> = value.map(decode_message).transpose()?;
        let rate = wire.map(|wire| RequestRate(wire.milli_requests).min(RequestRate::MAX));
        return Ok(LimitRecord::Limit(ProcessDigest(process), rate));
    }
    if let Some(node) = key.strip_prefix(NODE_PREFIX).and_then(digest) {
        let wire: Option<WireNode> = value.map(decode_message).transpose()?;
        return Ok(LimitRecord::Claims(NodeDigest(node), wire.map(NodeClaims::from)));
    }
    Err(MalformedMessage::new(format!("key \"{key}\" is not the key of a limit or a node")))
}

impl From<&NodeClaims> for WireNode {
    fn from(claims: &NodeClaims) -> Self {
        Self {
            incarnation: claims.incarnation.0,
            sequence: claims.sequence,
            claims: claims.claims.iter().map(WireClaim::from).collect(),
        }
    }
}

impl From<WireNode> for NodeClaims {
    fn from(wire: WireNode) -> Self {
        Self {
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            claims: wire.claims.into_iter().map(LimitClaim::from).collect(),
        }
    }
}

impl From<&LimitClaim> for WireClaim {
    fn from(claim: &LimitClaim) -> Self {
        Self {
            process: claim.process.0,
            wanted_callers: claim.wanted.callers.0,
            wanted_items: claim.wanted.items.0,
            claimed: claim.claimed.0,
            is_seen: claim.is_seen,
        }
    }
}

impl From<WireClaim> for LimitClaim {
    fn from(wire: WireClaim) -> Self {
        let rate = |milli_requests| RequestRate(milli_requests).min(RequestRate::MAX);
        let wanted =
            WantedRate { callers: rate(wire.wanted_callers), items: rate(wire.wanted_items) };
        Self {
            process: ProcessDigest(wire.process),
            wanted,
            claimed: rate(wire.claimed),
            is_seen: wire.is_seen,
        }
    }
}
