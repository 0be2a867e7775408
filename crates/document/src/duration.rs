//! Lengths of time in text, for example `"500ms"`.

use base::Span;

/// Units in descending order, with their microseconds.
const UNITS: [(&str, u64); 5] =
    [("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];

/// Reads a whole number followed by its unit.
pub(crate) fn parse(text: &str) -> Option<Span> {
    let split = text.find(|digit: char| !digit.is_ascii_digit())?;
    let (digits, unit) = text.split_at(split);
    let (_, micros) = UNITS.iter().find(|(name, _)| *name == unit)?;
    digits.parse::<u64>().ok()?.checked_mul(*micros).map(Span::from_micros)
}

/// Writes a length of time in its largest whole unit.
pub(crate) fn render(span: Span) -> String {
    for (name, micros) in UNITS {
        if span.0 > 0 && span.0.is_multiple_of(micros) {
            return format!("{}{name}", span.0 / micros);
        }
    }
    String::from("0s")
}
