//! Usage totals of nodes and reports of windows, in a keyed topic of the platform's store.

use std::collections::BTreeMap;

use base::{Incarnation, derive_copy};
use usage::{CustomerCounts, TotalsPhase, WindowNumber};

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

derive_copy! {
    /// What a record of the usage topic holds.
    pub enum UsageKey {
        /// Running totals of one process.
        Totals {
            /// Window.
            window: WindowNumber,
            /// Process that counted.
            writer: Incarnation,
            /// Whether the process may still count in the window.
            phase: TotalsPhase,
        },
        /// The fixed figures of a window.
        Report {
            /// Window.
            window: WindowNumber,
        },
    }
}

wire! {
    struct WireTotals {
        counts: BTreeMap<String, u64>,
        /// Whether the window had ended when the totals were written.
        closed: bool,
        /// Whether the process ended with them.
        last: bool,
    }
}

/// Encodes the totals of a process.
#[must_use]
pub fn encode_usage_totals(
    window: WindowNumber,
    writer: Incarnation,
    counts: &CustomerCounts,
    phase: TotalsPhase,
) -> (String, Vec<u8>) {
    let (closed, last) = (phase != TotalsPhase::Open, phase == TotalsPhase::Last);
    let totals = WireTotals { counts: counts.clone(), closed, last };
    (usage_totals_key(window, writer), encode_message(&totals))
}

/// Returns the key of the totals of a process.
#[must_use]
pub fn usage_totals_key(window: WindowNumber, writer: Incarnation) -> String {
    format!("t/{}/{:x}", window.0, writer.0)
}

/// Returns the key of the fixed figures of a window.
#[must_use]
pub fn usage_report_key(window: WindowNumber) -> String {
    format!("r/{}", window.0)
}

/// Encodes the fixed figures of a window.
#[must_use]
pub fn encode_usage_report(window: WindowNumber, counts: &CustomerCounts) -> (String, Vec<u8>) {
    (usage_report_key(window), encode_message(counts))
}

/// Decodes a record of the usage topic.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the key or the value does not have the expected shape.
pub fn decode_usage_record(
    key: &str,
    value: &[u8],
) -> Result<(UsageKey, CustomerCounts), MalformedMessage> {
    let malformed = || MalformedMessage::new(format!("key \"{key}\" names no usage record"));
    let mut parts = key.split('/');
    let kind = parts.next().ok_or_else(malformed)?;
    let window = parts.next().and_then(|text| text.parse().ok()).ok_or_else(malformed)?;
    let window = WindowNumber(window);
    match (kind, parts.next()) {
        ("t", Some(writer)) => {
            let writer = u64::from_str_radix(writer, 16).map_err(|_| malformed())?;
            let totals: WireTotals = decode_message(value)?;
            let writer = Incarnation(writer);
            let phase = match (totals.last, totals.closed) {
                (true, _) => TotalsPhase::Last,
                (false, true) => TotalsPhase::Closed,
                (false, false) => TotalsPhase::Open,
            };
            Ok((UsageKey::Totals { window, writer, phase }, totals.counts))
        }
        ("r", None) => Ok((UsageKey::Report { window }, decode_message(value)?)),
        _ => Err(malformed()),
    }
}
