//! Records of the log stream `config`.

use base::{LogOffset, RecordId, derive_copy, derive_value};

use crate::ConfigSnapshot;

derive_copy! {
    /// Version of an environment's document, counted from 1. Zero means that there is no document.
    #[derive(Default)]
    pub struct ConfigVersion(pub u64);
}

derive_value! {
    /// Name of an environment, for example `trial` or `production`.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct EnvironmentName(pub String);

    /// A document that was accepted as a version of its environment.
    pub struct VersionedDocument {
        /// Environment of the document.
        pub environment: EnvironmentName,
        /// Version within the environment.
        pub version: ConfigVersion,
        /// Id of the edit or promotion that produced the version.
        pub record: RecordId,
        /// Text of the document.
        pub text: String,
    }

    /// Replaces the document of an environment. Refused when the version is no longer
    /// [`ConfigEdit::base`].
    pub struct ConfigEdit {
        /// Id that the operator's tool chose.
        pub id: RecordId,
        /// Environment to change.
        pub environment: EnvironmentName,
        /// Version that the edit builds on.
        pub base: ConfigVersion,
        /// New text of the document.
        pub text: String,
    }

    /// Copies the current document of one environment to another.
    pub struct ConfigPromote {
        /// Id that the operator's tool chose.
        pub id: RecordId,
        /// Environment to copy from.
        pub source: EnvironmentName,
        /// Version to copy. It must be the current one of the source.
        pub source_version: ConfigVersion,
        /// Environment to change.
        pub target: EnvironmentName,
        /// Version of the target that the promotion builds on. It must be the current one.
        pub target_base: ConfigVersion,
    }

    /// Snapshot of the documents of all environments. It is appended again before the log's
    /// retention drops the records that produced them.
    pub struct ConfigSnapshotRecord {
        /// Documents that the records below the offset `snapshot.next` produce.
        pub snapshot: ConfigSnapshot,
    }

    /// A record of the stream `config`.
    pub enum ConfigRecord {
        /// See [`ConfigEdit`].
        Edit(ConfigEdit),
        /// See [`ConfigPromote`].
        Promote(ConfigPromote),
        /// See [`ConfigSnapshotRecord`].
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

/// Decides whether the text of a document is valid.
///
/// The result must depend on the arguments alone, since all readers of the log must accept the same
/// records.
pub trait DocumentCheck {
    /// Checks `text` as the document of `environment`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the document, as a text for the operator.
    fn check(&self, environment: &EnvironmentName, text: &str) -> Result<(), String>;
}

impl<F: Fn(&EnvironmentName, &str) -> Result<(), String>> DocumentCheck for F {
    fn check(&self, environment: &EnvironmentName, text: &str) -> Result<(), String> {
        self(environment, text)
    }
}

impl ConfigSnapshot {
    /// Returns the snapshot of the empty log prefix, which has no documents.
    #[must_use]
    pub fn empty() -> Self {
        Self { next: LogOffset(0), documents: Vec::new() }
    }

    /// Returns the document of an environment, or `None` when it has none.
    #[must_use]
    pub fn document(&self, environment: &EnvironmentName) -> Option<&VersionedDocument> {
        self.documents.iter().find(|document| document.environment == *environment)
    }

    /// Returns the version of an environment's document, or zero when it has none.
    #[must_use]
    pub fn version(&self, environment: &EnvironmentName) -> ConfigVersion {
        self.document(environment).map(|document| document.version).unwrap_or_default()
    }

    /// Inserts a document, in place of the environment's earlier one if there is one.
    pub(crate) fn put(&mut self, document: VersionedDocument) {
        let found =
            self.documents.binary_search_by(|held| held.environment.cmp(&document.environment));
        match found {
            Ok(index) => self.documents[index] = document,
            Err(index) => self.documents.insert(index, document),
        }
    }
}
