//! Records of the log stream `config`.

use base::{LogOffset, RecordId, derive_copy, derive_value};

use crate::ConfigSnapshot;

derive_copy! {
    /// Version of an environment's document. Zero stands for no document.
    #[derive(Default)]
    pub struct ConfigVersion(pub u64);
}

derive_value! {
    /// Name of an environment; trial and production are usual.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct EnvironmentName(pub String);

    /// An accepted document.
    pub struct VersionedDocument {
        /// The environment that the document belongs to.
        pub environment: EnvironmentName,
        /// Version of the document within its environment.
        pub version: ConfigVersion,
        /// The record that was accepted.
        pub record: RecordId,
        /// Text of the document.
        pub text: String,
    }

    /// Replaces the document of an environment.
    pub struct ConfigEdit {
        /// Id that the operator's tool chose.
        pub id: RecordId,
        /// The environment to change.
        pub environment: EnvironmentName,
        /// Version that the edit builds on.
        pub base: ConfigVersion,
        /// New text.
        pub text: String,
    }

    /// Copies the current document of one environment to another.
    pub struct ConfigPromote {
        /// Id that the operator's tool chose.
        pub id: RecordId,
        /// The environment to copy from.
        pub source: EnvironmentName,
        /// Version that is copied. It must be the current one.
        pub source_version: ConfigVersion,
        /// The environment to change.
        pub target: EnvironmentName,
        /// Version of the target that the promotion builds on.
        pub target_base: ConfigVersion,
    }

    /// Whole current state, re-appended before retention drops the records that built it.
    pub struct ConfigSnapshotRecord {
        /// State of the log prefix that ends before `snapshot.next`.
        pub snapshot: ConfigSnapshot,
    }

    /// A record of the stream `config`.
    pub enum ConfigRecord {
        /// An edit.
        Edit(ConfigEdit),
        /// A promotion.
        Promote(ConfigPromote),
        /// A snapshot.
        Snapshot(ConfigSnapshotRecord),
    }
}

impl ConfigVersion {
    /// Returns the version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl From<&str> for EnvironmentName {
    fn from(name: &str) -> Self {
        Self(name.to_owned())
    }
}

/// Decides whether a document may be accepted.
///
/// The answer must depend on the arguments alone: every reader of the log must accept the same
/// records.
pub trait DocumentCheck {
    /// Checks `text` as the document of `environment`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, for the operator.
    fn check(&self, environment: &EnvironmentName, text: &str) -> Result<(), String>;
}

impl<F: Fn(&EnvironmentName, &str) -> Result<(), String>> DocumentCheck for F {
    fn check(&self, environment: &EnvironmentName, text: &str) -> Result<(), String> {
        self(environment, text)
    }
}

impl ConfigSnapshot {
    /// Returns the state of the empty log prefix.
    #[must_use]
    pub fn empty() -> Self {
        Self { next: LogOffset(0), documents: Vec::new() }
    }

    /// Returns the document of an environment.
    #[must_use]
    pub fn document(&self, environment: &EnvironmentName) -> Option<&VersionedDocument> {
        self.documents.iter().find(|document| document.environment == *environment)
    }

    /// Returns the version of an environment's document.
    #[must_use]
    pub fn version(&self, environment: &EnvironmentName) -> ConfigVersion {
        self.document(environment).map(|document| document.version).unwrap_or_default()
    }

    /// Stores a document in place of the environment's earlier one.
    pub(crate) fn put(&mut self, document: VersionedDocument) {
        let found =
            self.documents.binary_search_by(|held| held.environment.cmp(&document.environment));
        match found {
            Ok(index) => self.documents[index] = document,
            Err(index) => self.documents.insert(index, document),
        }
    }
}
