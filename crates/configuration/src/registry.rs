//! Current documents of all environments, from the records of the log and from peers.

use base::{LogOffset, RecordId, derive_value};

use crate::{
    ConfigEdit, ConfigPromote, ConfigRecord, ConfigVersion, DocumentCheck, EnvironmentName,
    VersionedDocument,
};

derive_value! {
    /// Documents that the records of the log below the offset `next` produce.
    pub struct ConfigSnapshot {
        /// Offset of the first record that is not included.
        pub next: LogOffset,
        /// Current document of each environment, sorted by the environment's name.
        pub documents: Vec<VersionedDocument>,
    }

    /// Tells an operator which version an edit or promotion conflicts with.
    pub struct ConflictReport {
        /// Environment whose version is not the expected one.
        pub environment: EnvironmentName,
        /// Version that the rejected record expects.
        pub named: ConfigVersion,
        /// Version that is current at the offset of the rejected record.
        pub winner: ConfigVersion,
        /// Id of the record that produced the current version, or `None` when there is no document.
        pub winning_record: Option<RecordId>,
    }

    /// Why a record or a peer's snapshot has no effect.
    pub enum RefusedReason {
        /// The registry has already read this offset.
        AlreadyRead,
        /// The record repeats the one that produced the current version.
        Repeated,
        /// The document is invalid, with the reason.
        Invalid(String),
        /// The registry has read the log without a gap and needs no snapshot.
        NotNeeded,
        /// Retention dropped records that the registry has not read, and no snapshot that includes
        /// them has come yet.
        AwaitsSnapshot,
    }

    /// Result of applying a record or a snapshot.
    pub enum ConfigOutcome {
        /// The environment has a new version.
        Accepted {
            /// Environment that changed.
            environment: EnvironmentName,
            /// Its new version.
            version: ConfigVersion,
        },
        /// An earlier record had changed the version that the record expects.
        Conflict(ConflictReport),
        /// The documents were taken from a snapshot. The caller continues to read at this offset.
        Restored(LogOffset),
        /// The record has no effect.
        Refused(RefusedReason),
    }

    /// Whether the log has confirmed the version in force.
    #[derive(Copy)]
    pub enum Freshness {
        /// The log has shown the version to this node.
        Confirmed,
        /// The version came from a peer, and this node has not read it in the log.
        PossiblyStale,
    }

    /// Result of offering a peer's document to the registry.
    pub enum PeerOutcome {
        /// The document is now in force.
        Adopted(ConfigVersion),
        /// The version in force is at least as high.
        NotNewer,
        /// The document is invalid, with the reason.
        Invalid(String),
    }
}

/// The document that is in force in an environment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigState<'registry> {
    /// The document.
    pub document: &'registry VersionedDocument,
    /// Whether the log has confirmed the document.
    pub freshness: Freshness,
}

/// Current documents of all environments.
///
/// The documents from the log are a pure function of the log prefix. Documents from peers may have
/// higher versions, which this node has not read yet. The higher version of the two is in force, so
/// the version in force never decreases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRegistry<C> {
    check: C,
    log: ConfigSnapshot,
    // Oldest retained offset after a gap, until a snapshot that includes all records below it
    // comes.
    awaits_snapshot_from: Option<LogOffset>,
    // Documents whose versions are above those from the log: from peers, or in force before a gap.
    ahead: ConfigSnapshot,
}

impl<C: DocumentCheck> ConfigRegistry<C> {
    /// Creates the registry of the empty log prefix. `check` decides which documents are valid.
    #[must_use]
    pub fn new(check: C) -> Self {
        Self {
            check,
            log: ConfigSnapshot::empty(),
            awaits_snapshot_from: None,
            ahead: ConfigSnapshot::empty(),
        }
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: LogOffset, record: &ConfigRecord) -> ConfigOutcome {
        if let Some(oldest) = self.awaits_snapshot_from {
            let ConfigRecord::Snapshot(snapshot_record) = record else {
                return ConfigOutcome::Refused(RefusedReason::AwaitsSnapshot);
            };
            if snapshot_record.snapshot.next > offset {
                return ConfigOutcome::Refused(RefusedReason::AwaitsSnapshot);
            }
            return self.restore(oldest, &snapshot_record.snapshot);
        }
        if offset < self.log.next {
            return ConfigOutcome::Refused(RefusedReason::AlreadyRead);
        }
        self.log.next = offset.next();
        let accepted = match record {
            ConfigRecord::Edit(edit) => self.accept_edit(edit),
            ConfigRecord::Promote(promote) => self.accept_promotion(promote),
            // The log prefix already determines the documents, so a snapshot cannot add to them.
            ConfigRecord::Snapshot(_) => Err(ConfigOutcome::Refused(RefusedReason::NotNeeded)),
        };
        match accepted {
            Err(outcome) => outcome,
            Ok(document) => {
                let (environment, version) = (document.environment.clone(), document.version);
                self.log.put(document);
                self.drop_confirmed();
                ConfigOutcome::Accepted { environment, version }
            }
        }
    }

    /// Records that the log retains no record below `oldest`. If that is above the next offset, the
    /// registry has missed records and waits for a snapshot.
    pub fn note_retention(&mut self, oldest: LogOffset) {
        if oldest > self.log.next {
            self.awaits_snapshot_from = Some(oldest);
        }
    }

    /// Applies a peer's snapshot. It ends the wait after a gap if it includes all records below the
    /// oldest retained one. Documents with higher versions come into force in any case.
    pub fn adopt_snapshot(&mut self, snapshot: &ConfigSnapshot) -> ConfigOutcome {
        for document in &snapshot.documents {
            self.adopt_peer_document(document);
        }
        let Some(oldest) = self.awaits_snapshot_from else {
            return ConfigOutcome::Refused(RefusedReason::NotNeeded);
        };
        self.restore(oldest, snapshot)
    }

    /// Adopts a document that is in force on a peer if its version is higher than the one in force
    /// here.
    pub fn adopt_peer_document(&mut self, document: &VersionedDocument) -> PeerOutcome {
        if document.version <= self.version(&document.environment) {
            return PeerOutcome::NotNewer;
        }
        if let Err(problem) = self.check.check(&document.environment, &document.text) {
            return PeerOutcome::Invalid(problem);
        }
        self.ahead.put(document.clone());
        PeerOutcome::Adopted(document.version)
    }

    /// Returns the document in force and its freshness, or `None` when the environment has none.
    #[must_use]
    pub fn in_force(&self, environment: &EnvironmentName) -> Option<ConfigState<'_>> {
        if self.ahead.version(environment) > self.log.version(environment) {
            let document = self.ahead.document(environment)?;
            return Some(ConfigState { document, freshness: Freshness::PossiblyStale });
        }
        let document = self.log.document(environment)?;
        Some(ConfigState { document, freshness: Freshness::Confirmed })
    }

    /// Returns the version in force, or zero when the environment has no document.
    #[must_use]
    pub fn version(&self, environment: &EnvironmentName) -> ConfigVersion {
        self.log.version(environment).max(self.ahead.version(environment))
    }

    /// Returns the documents in force, sorted by the environment's name.
    #[must_use]
    pub fn documents(&self) -> Vec<&VersionedDocument> {
        let mut documents: Vec<&VersionedDocument> = self
            .log
            .documents
            .iter()
            .filter(|held| self.ahead.version(&held.environment) <= held.version)
            .chain(
                self.ahead
                    .documents
                    .iter()
                    .filter(|held| self.log.version(&held.environment) < held.version),
            )
            .collect();
        documents.sort_by_key(|document| &document.environment);
        documents
    }

    /// Returns the offset of the next record to read, or `None` while a snapshot is awaited.
    #[must_use]
    pub fn next_offset(&self) -> Option<LogOffset> {
        match self.awaits_snapshot_from {
            None => Some(self.log.next),
            Some(_) => None,
        }
    }

    /// Returns the documents from the log, for a peer or a snapshot record, or `None` while a
    /// snapshot is awaited.
    #[must_use]
    pub fn snapshot(&self) -> Option<&ConfigSnapshot> {
        self.awaits_snapshot_from.is_none().then_some(&self.log)
    }

    /// Returns the documents in force as a snapshot that ends before the oldest retained record, or
    /// `None` unless a snapshot is awaited.
    ///
    /// The holder of the `fleet` lease appends it when retention dropped records and no node has a
    /// snapshot that includes all of them.
    #[must_use]
    pub fn rebuilt_snapshot(&self) -> Option<ConfigSnapshot> {
        let next = self.awaits_snapshot_from?;
        let documents = self.documents().into_iter().cloned().collect();
        Some(ConfigSnapshot { next, documents })
    }

    fn restore(&mut self, oldest: LogOffset, snapshot: &ConfigSnapshot) -> ConfigOutcome {
        // The snapshot lacks dropped records: those from its end to the oldest retained one.
        if snapshot.next < oldest {
            return ConfigOutcome::Refused(RefusedReason::AwaitsSnapshot);
        }
        let mut log = ConfigSnapshot { next: snapshot.next, documents: Vec::new() };
        for document in &snapshot.documents {
            if let Err(problem) = self.check.check(&document.environment, &document.text) {
                return ConfigOutcome::Refused(RefusedReason::Invalid(problem));
            }
            log.put(document.clone());
        }
        // A higher version that was in force stays in force, even if the node that built the
        // snapshot had not read it.
        for document in std::mem::replace(&mut self.log, log).documents {
            if document.version > self.version(&document.environment) {
                self.ahead.put(document);
            }
        }
        self.awaits_snapshot_from = None;
        self.drop_confirmed();
        ConfigOutcome::Restored(self.log.next)
    }

    fn accept_edit(&self, edit: &ConfigEdit) -> Result<VersionedDocument, ConfigOutcome> {
        self.check_expected_version(&edit.environment, edit.base, edit.id)?;
        self.accept(&edit.environment, edit.id, &edit.text)
    }

    fn accept_promotion(
        &self,
        promote: &ConfigPromote,
    ) -> Result<VersionedDocument, ConfigOutcome> {
        self.check_expected_version(&promote.target, promote.target_base, promote.id)?;
        self.check_expected_version(&promote.source, promote.source_version, promote.id)?;
        let Some(source) = self.log.document(&promote.source) else {
            let problem = format!("environment {:?} has no document to promote", promote.source.0);
            return Err(ConfigOutcome::Refused(RefusedReason::Invalid(problem)));
        };
        self.accept(&promote.target, promote.id, &source.text)
    }

    fn check_expected_version(
        &self,
        environment: &EnvironmentName,
        named: ConfigVersion,
        id: RecordId,
    ) -> Result<(), ConfigOutcome> {
        let current = self.log.document(environment);
        let winning_record = current.map(|document| document.record);
        if winning_record == Some(id) {
            return Err(ConfigOutcome::Refused(RefusedReason::Repeated));
        }
        let winner = self.log.version(environment);
        if winner == named {
            return Ok(());
        }
        let environment = environment.clone();
        Err(ConfigOutcome::Conflict(ConflictReport { environment, named, winner, winning_record }))
    }

    fn accept(
        &self,
        environment: &EnvironmentName,
        record: RecordId,
        text: &str,
    ) -> Result<VersionedDocument, ConfigOutcome> {
        if let Err(problem) = self.check.check(environment, text) {
            return Err(ConfigOutcome::Refused(RefusedReason::Invalid(problem)));
        }
        let version = self.log.version(environment).next();
        let (environment, text) = (environment.clone(), text.to_owned());
        Ok(VersionedDocument { environment, version, record, text })
    }

    fn drop_confirmed(&mut self) {
        let log = &self.log;
        self.ahead.documents.retain(|held| held.version > log.version(&held.environment));
    }
}
