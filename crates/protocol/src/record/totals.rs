//! Records of usage in a keyed topic of the platform's store: totals of each process in a window,
//! and reports over all processes.

use std::collections::BTreeMap;

use base::{Incarnation, derive_copy};
use usage::{CustomerCounts, TotalsPhase, WindowNumber};

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

derive_copy! {
    /// Meaning of a record of the usage topic, decoded from its key and value.
    pub enum UsageKey {
        /// Totals of one process in a window.
        Totals {
            /// The window.
            window: WindowNumber,
            /// Process that counted the usage.
            writer: Incarnation,
            /// Whether the process may still count requests in the window.
            phase: TotalsPhase,
        },
        /// Reported usage of all processes in a window.
        Report {
            /// The window.
            window: WindowNumber,
        },
    }
}

wire! {
    struct WireTotals {
        counts: BTreeMap<String, u64>,
        /// Whether the window had ended when the totals were written.
        closed: bool,
        /// Whether these are the last totals that the process writes.
        last: bool,
    }
}

/// Encodes the totals of a process in a window as key and value.
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

/// Returns the key of the totals of a process in a window.
#[must_use]
pub fn usage_totals_key(window: WindowNumber, writer: Incarnation) -> String {
    format!("t/{}/{:x}", window.0, writer.0)
}

/// Returns the key of the report of a window.
#[must_use]
pub fn usage_report_key(window: WindowNumber) -> String {
    format!("r/{}", window.0)
}

/// Encodes the report of a window as key and value. Once written, it does not change.
#[must_use]
pub fn encode_usage_report(window: WindowNumber, counts: &CustomerCounts) -> (String, Vec<u8>) {
    (usage_report_key(window), encode_message(counts))
}

/// Decodes a record of the usage topic.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the key or the value cannot be decoded.
pub fn decode_usage_record(
    key: &str,
    value: &[u8],
) -> Result<(UsageKey, CustomerCounts), MalformedMessage> {
    let malformed = || {
        MalformedMessage::new(format!(
            "key \"{key}\" is not the key of usage totals or of a usage report"
        ))
    };
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
