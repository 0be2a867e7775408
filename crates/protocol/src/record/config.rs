//! Records of the stream `config`.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

use base::{LogOffset, RecordId};
use configuration::{
    ConfigEdit, ConfigPromote, ConfigRecord, ConfigSnapshot, ConfigSnapshotRecord, ConfigVersion,
    EnvironmentName, VersionedDocument,
};

use crate::codec::{MalformedMessage, StreamRecord, WireId, wire};

wire! {
    /// A record of the stream `config`.
    pub enum WireConfig {
        /// Replaces a document.
        Edit { id: WireId, environment: String, base: u64, text: String },
        /// Copies a document to another environment.
        Promote {
            id: WireId,
            source: String,
            source_version: u64,
            target: String,
            target_base: u64,
        },
        /// Snapshot of the current documents of all environments.
        Carry(WireSnapshot),
    }

    /// The current documents after all records of a log prefix.
    pub struct WireSnapshot {
        /// Offset of the first record after that prefix.
        pub next: u64,
        /// Current document of each environment.
        pub documents: Vec<WireDocument>,
    }

    pub struct WireDocument {
        pub environment: String,
        pub version: u64,
        pub record: WireId,
        pub text: String,
    }
}

impl StreamRecord for ConfigRecord {
    type Wire = WireConfig;

    fn from_wire(wire: WireConfig) -> Result<Self, MalformedMessage> {
        Ok(match wire {
            WireConfig::Edit { id, environment, base, text } => Self::Edit(ConfigEdit {
                id: id.into(),
                environment: EnvironmentName(environment),
                base: ConfigVersion(base),
                text,
            }),
            WireConfig::Promote { id, source, source_version, target, target_base } => {
                Self::Promote(ConfigPromote {
                    id: id.into(),
                    source: EnvironmentName(source),
                    source_version: ConfigVersion(source_version),
                    target: EnvironmentName(target),
                    target_base: ConfigVersion(target_base),
                })
            }
            WireConfig::Carry(snapshot) => {
                Self::Snapshot(ConfigSnapshotRecord { snapshot: snapshot.into() })
            }
        })
    }
}

impl From<&ConfigRecord> for WireConfig {
    fn from(record: &ConfigRecord) -> Self {
        match record {
            ConfigRecord::Edit(edit) => Self::Edit {
                id: edit.id.into(),
                environment: edit.environment.0.clone(),
                base: edit.base.0,
                text: edit.text.clone(),
            },
            ConfigRecord::Promote(promote) => Self::Promote {
                id: promote.id.into(),
                source: promote.source.0.clone(),
                source_version: promote.source_version.0,
                target: promote.target.0.clone(),
                target_base: promote.target_base.0,
            },
            ConfigRecord::Snapshot(snapshot_record) => {
                Self::Carry((&snapshot_record.snapshot).into())
            }
        }
    }
}

impl From<WireSnapshot> for ConfigSnapshot {
    fn from(wire: WireSnapshot) -> Self {
        let documents = wire.documents.into_iter().map(VersionedDocument::from).collect();
        Self { next: LogOffset(wire.next), documents }
    }
}

impl From<&ConfigSnapshot> for WireSnapshot {
    fn from(snapshot: &ConfigSnapshot) -> Self {
        let documents = snapshot.documents.iter().map(WireDocument::from).collect();
        Self { next: snapshot.next.0, documents }
    }
}

impl From<WireDocument> for VersionedDocument {
    fn from(wire: WireDocument) -> Self {
        Self {
            environment: EnvironmentName(wire.environment),
            version: ConfigVersion(wire.version),
            record: RecordId::from(wire.record),
            text: wire.text,
        }
    }
}

impl From<&VersionedDocument> for WireDocument {
    fn from(document: &VersionedDocument) -> Self {
        Self {
            environment: document.environment.0.clone(),
            version: document.version.0,
            record: document.record.into(),
            text: document.text.clone(),
        }
    }
}
