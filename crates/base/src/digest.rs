//! Digests of API keys, and hash functions whose values are equal on all nodes.

use std::{
    fmt,
    hash::{Hash, Hasher},
};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of a caller's API key. Documents and log records hold digests, never keys.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; 32]);

/// [`KeyDigest::parse`] was given a text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyDigestError;

impl KeyDigest {
    /// Computes the digest of a key as the caller sends it.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits of either case.
    ///
    /// # Errors
    ///
    /// Returns [`KeyDigestError`] for any other text.
    pub fn parse(text: &str) -> Result<Self, KeyDigestError> {
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(KeyDigestError);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyDigestError)?;
        }
        Ok(Self(bytes))
    }

    /// Returns the 32 bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Compares in constant time, so that response times reveal nothing about stored digests.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl fmt::Display for KeyDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid key digest: expected 64 hexadecimal digits (SHA-256)")
    }
}

impl std::error::Error for KeyDigestError {}

/// Returns the 64-bit FNV-1a hash of `name`, which is equal on every node and in every build.
#[must_use]
pub const fn stable_hash(name: &str) -> u64 {
    let bytes = name.as_bytes();
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut index = 0;
    while index < bytes.len() {
        hash = (hash ^ bytes[index] as u64).wrapping_mul(0x0100_0000_01b3);
        index += 1;
    }
    hash
}

/// Returns the weight of `node` for `item`; the node with the highest weight owns the item.
///
/// Rendezvous hashing after Thaler and Ravishankar, "Using name-based mappings to increase hit
/// rates" (1998). The mixing function is the finalizer of SplitMix64 (Steele et al., 2014).
#[must_use]
pub const fn rendezvous_weight(node: u64, item: u64) -> u64 {
    mix(mix(node).wrapping_add(item.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
