//! Durations as strings, for example `"500ms"`.

use base::Span;

/// Units in descending order, each with its length in microseconds.
const UNITS: [(&str, u64); 5] =
    [("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];

/// Parses a non-negative integer directly followed by a unit. Returns `None` for any other text and
/// for a duration that overflows.
pub(crate) fn parse(text: &str) -> Option<Span> {
    let split = text.find(|digit: char| !digit.is_ascii_digit())?;
    let (digits, unit) = text.split_at(split);
    let (_, micros) = UNITS.iter().find(|(name, _)| *name == unit)?;
    digits.parse::<u64>().ok()?.checked_mul(*micros).map(Span::from_micros)
}

/// Formats a duration in the largest unit of which it is a multiple.
pub(crate) fn render(span: Span) -> String {
    for (name, micros) in UNITS {
        if span.0 > 0 && span.0.is_multiple_of(micros) {
            return format!("{}{name}", span.0 / micros);
        }
    }
    String::from("0s")
}
