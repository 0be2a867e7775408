//! Base16 (hexadecimal) encoding of bytes in JSON.

use bytes::Bytes;

const DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Encodes bytes with two lower-case digits each.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

/// Decodes digits of either case. Returns `None` for an odd length or another character.
#[must_use]
pub fn decode(text: &str) -> Option<Bytes> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let mut bytes = Vec::with_capacity(digits.len() / 2);
    for pair in digits.chunks_exact(2) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        bytes.push(u8::try_from(high * 16 + low).ok()?);
    }
    Some(Bytes::from(bytes))
}
