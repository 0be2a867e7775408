//! Looks up customers by the digests of their API keys.

use std::{collections::BTreeMap, fmt};

use base::{KeyDigest, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::ConfigVersion;

derive_copy! {
    /// Whether the key of a running stream is still valid.
    pub enum KeyCheck {
        /// The key still belongs to the customer of the stream.
        Valid,
        /// The key is withdrawn or belongs to another customer.
        Withdrawn,
    }
}

derive_value! {
    /// Two customers of a document have the same key.
    pub struct KeyConflict {
        /// Name of the customer that is listed first.
        pub first: String,
        /// Name of the customer that is listed second.
        pub second: String,
    }

    /// Digests of all customers' keys in one version of a document.
    #[derive(Default)]
    pub struct KeySet {
        version: ConfigVersion,
        // Keyed by the first 8 bytes of the digest. Whole digests are compared in constant time.
        customers: BTreeMap<u64, SmallVec<[(KeyDigest, String); 1]>>,
    }
}

impl KeySet {
    /// Builds the set of `version` from digests and customer names.
    ///
    /// # Errors
    ///
    /// Returns [`KeyConflict`] when two customers have the same digest.
    pub fn build<'name>(
        version: ConfigVersion,
        entries: impl IntoIterator<Item = (KeyDigest, &'name str)>,
    ) -> Result<Self, KeyConflict> {
        let mut set = Self { version, customers: BTreeMap::new() };
        for (digest, customer) in entries {
            match set.customer(&digest) {
                Some(first) if first != customer => {
                    let (first, second) = (first.to_owned(), customer.to_owned());
                    return Err(KeyConflict { first, second });
                }
                Some(_) => continue,
                None => {}
            }
            let same_prefix = set.customers.entry(digest_prefix(&digest)).or_default();
            same_prefix.push((digest, customer.to_owned()));
        }
        Ok(set)
    }

    /// Returns the document version that the set belongs to.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the name of the customer that the key belongs to, or `None` for an unknown key.
    #[must_use]
    pub fn customer(&self, digest: &KeyDigest) -> Option<&str> {
        let same_prefix = self.customers.get(&digest_prefix(digest))?;
        let (_, customer) = same_prefix.iter().find(|(held, _)| held == digest)?;
        Some(customer)
    }

    /// Checks whether the key of a running stream still belongs to the customer of its admission.
    #[must_use]
    pub fn check(&self, digest: &KeyDigest, customer: &str) -> KeyCheck {
        if self.customer(digest) == Some(customer) {
            return KeyCheck::Valid;
        }
        KeyCheck::Withdrawn
    }

    /// Returns whether a stream that was checked against `version` must be checked against this
    /// set.
    #[must_use]
    pub fn supersedes(&self, version: ConfigVersion) -> bool {
        self.version > version
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.values().map(SmallVec::len).sum()
    }

    /// Returns whether the set has no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

impl fmt::Display for KeyConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "customers {:?} and {:?} have the same key digest", self.first, self.second)
    }
}

impl std::error::Error for KeyConflict {}

fn digest_prefix(digest: &KeyDigest) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *digest.as_bytes();
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}
