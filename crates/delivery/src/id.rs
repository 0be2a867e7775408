//! Identifiers that mean the same on every node.

use base::{Incarnation, derive_copy};
use sha2::{Digest, Sha256};

derive_copy! {
    /// Identifier that the system gives a request. Answers are matched by it.
    pub struct RequestId {
        /// The daemon that accepted the request.
        pub node: Incarnation,
        /// Number of the request among those of its daemon.
        pub sequence: u64,
    }

    /// Number of one exchange with an upstream among those of its request, starting at 1.
    pub struct ExchangeNumber(pub u32);

    /// Digest of customer, route and body. Equal requests have equal fingerprints on every node.
    pub struct Fingerprint(pub [u8; 16]);

    /// Digest of customer and idempotency key.
    pub struct ClaimKey(pub [u8; 16]);
}

impl Fingerprint {
    /// Computes the fingerprint of a request. The names are those of the environment document.
    #[must_use]
    pub fn of(customer: &str, route: &str, body: &[u8]) -> Self {
        Self(digest(&[customer.as_bytes(), route.as_bytes(), body]))
    }
}

impl ClaimKey {
    /// Computes the claim key of an idempotency key. Customers cannot collide with each other.
    #[must_use]
    pub fn of(customer: &str, idempotency_key: &str) -> Self {
        Self(digest(&[customer.as_bytes(), idempotency_key.as_bytes()]))
    }
}

/// Each part is preceded by its length, so that parts cannot run into each other.
fn digest(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut short = [0; 16];
    short.copy_from_slice(&hasher.finalize()[..16]);
    short
}
