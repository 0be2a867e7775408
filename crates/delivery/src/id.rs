//! Identifiers of requests, exchanges, fingerprints and claims, valid on every node.

use std::fmt;

use base::{Incarnation, derive_copy};
use sha2::{Digest, Sha256};

derive_copy! {
    /// Identifier that the accepting node assigns to a request. Responses are matched to requests
    /// by it.
    pub struct RequestId {
        /// The node that accepted the request.
        pub node: Incarnation,
        /// Number of the request among those that this node accepted.
        pub sequence: u64,
    }

    /// Number of an exchange with an upstream within its request, starting at 1.
    pub struct ExchangeNumber(pub u32);

    /// First 16 bytes of the SHA-256 digest of customer, route and body. Equal requests have equal
    /// fingerprints on every node.
    pub struct Fingerprint(pub [u8; 16]);

    /// First 16 bytes of the SHA-256 digest of customer and idempotency key.
    pub struct ClaimKey(pub [u8; 16]);
}

impl Fingerprint {
    /// Computes the fingerprint of a request. `customer` and `route` are their names in the
    /// environment document.
    #[must_use]
    pub fn of(customer: &str, route: &str, body: &[u8]) -> Self {
        Self(digest(&[customer.as_bytes(), route.as_bytes(), body]))
    }

    /// Parses the text that [`fmt::Display`] writes.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(|value| Self(value.to_be_bytes()))
    }
}

impl ClaimKey {
    /// Computes the claim key of an idempotency key. The same idempotency key of two customers
    /// gives two claim keys.
    #[must_use]
    pub fn of(customer: &str, idempotency_key: &str) -> Self {
        Self(digest(&[customer.as_bytes(), idempotency_key.as_bytes()]))
    }
}

/// Writes the fingerprint in hexadecimal.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Hashes the parts, each preceded by its length, so that different splits of the same bytes give
/// different digests.
fn digest(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&hasher.finalize()[..16]);
    truncated
}
