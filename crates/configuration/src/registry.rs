//! Accepted documents as a function of the log, and peers' copies ahead of it.

use base::{LogOffset, RecordId, derive_value};

use crate::{
    ConfigEdit, ConfigPromote, ConfigRecord, ConfigVersion, DocumentCheck, EnvironmentName,
    VersionedDocument,
};

derive_value! {
    /// Accepted documents of the log prefix that ends before `next`.
    pub struct ConfigSnapshot {
        /// Offset of the first record that the state does not contain.
        pub next: LogOffset,
        /// The current document of each environment, in the order of the names.
        pub documents: Vec<VersionedDocument>,
    }

    /// Tells an operator which version an edit or promotion lost against.
    pub struct ConflictReport {
        /// The environment in which the versions differ.
        pub environment: EnvironmentName,
        /// Version that the losing record names.
        pub named: ConfigVersion,
        /// Version that was current when the record was read.
        pub winner: ConfigVersion,
        /// The record that produced the winning version; `None` when there is no document.
        pub winning_record: Option<RecordId>,
    }

    /// Why a record or a copy has no effect.
    pub enum RefusedReason {
        /// The history has read this offset.
        AlreadyRead,
        /// The record is the one that produced the current version.
        Repeated,
        /// The document is invalid, with the reason.
        Invalid(String),
        /// The history already contains the state that the snapshot holds.
        NotNeeded,
        /// Retention dropped records that the history needs, and no usable snapshot has come yet.
        AwaitsSnapshot,
    }

    /// What a record changed.
    pub enum ConfigOutcome {
        /// The environment has a new version.
        Accepted {
            /// The changed environment.
            environment: EnvironmentName,
            /// Its new version.
            version: ConfigVersion,
        },
        /// The record lost against an earlier one.
        Conflict(ConflictReport),
        /// The state was taken from a snapshot. The caller reads again from this offset.
        Restored(LogOffset),
        /// The record has no effect.
        Refused(RefusedReason),
    }

    /// Whether the log has confirmed the version in force.
    #[derive(Copy)]
    pub enum Freshness {
        /// The version was read from the log.
        Confirmed,
        /// The version came from a peer, and the log has not shown it to this node.
        PossiblyStale,
    }

    /// What became of a peer's copy.
    pub enum PeerOutcome {
        /// The copy is in force.
        Adopted(ConfigVersion),
        /// The version in force is at least as high.
        NotNewer,
        /// The document is invalid, with the reason.
        Invalid(String),
    }
}

/// The document in force in an environment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigState<'registry> {
    /// The document.
    pub document: &'registry VersionedDocument,
    /// Whether the log has confirmed it.
    pub freshness: Freshness,
}

/// Accepted configuration of every environment.
///
/// The part read from the log is a pure function of the log prefix. Copies of peers may run ahead
/// of it. The version in force is the higher of the two, so it never goes back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRegistry<C> {
    check: C,
    log: ConfigSnapshot,
    // Oldest retained offset after a gap, until a snapshot that reaches it is found.
    awaits_from: Option<LogOffset>,
    // Documents that are ahead of the log, or that were in force before a gap.
    ahead: ConfigSnapshot,
}

impl<C: DocumentCheck> ConfigRegistry<C> {
    /// Creates the history of the empty log prefix.
    #[must_use]
    pub fn new(check: C) -> Self {
        Self {
            check,
            log: ConfigSnapshot::empty(),
            awaits_from: None,
            ahead: ConfigSnapshot::empty(),
        }
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: LogOffset, record: &ConfigRecord) -> ConfigOutcome {
        if let Some(oldest) = self.awaits_from {
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
        let decided = match record {
            ConfigRecord::Edit(edit) => self.decide_edit(edit),
            ConfigRecord::Promote(promote) => self.decide_promote(promote),
            // The log prefix already determines the state, so a snapshot can never supersede it.
            ConfigRecord::Snapshot(_) => Err(ConfigOutcome::Refused(RefusedReason::NotNeeded)),
        };
        match decided {
            Err(outcome) => outcome,
            Ok(document) => {
                let (environment, version) = (document.environment.clone(), document.version);
                self.log.put(document);
                self.drop_confirmed();
                ConfigOutcome::Accepted { environment, version }
            }
        }
    }

    /// States that the log retains no record below `oldest`. Records that this history has not
    /// read are lost to it when `oldest` is above its next offset; it then waits for a snapshot.
    pub fn note_retention(&mut self, oldest: LogOffset) {
        if oldest > self.log.next {
            self.awaits_from = Some(oldest);
        }
    }

    /// Takes a peer's state of the log. It ends the wait after a gap when it reaches the oldest
    /// retained record; documents that are newer come into force in any case.
    pub fn adopt_snapshot(&mut self, snapshot: &ConfigSnapshot) -> ConfigOutcome {
        for document in &snapshot.documents {
            self.adopt_peer_document(document);
        }
        let Some(oldest) = self.awaits_from else {
            return ConfigOutcome::Refused(RefusedReason::NotNeeded);
        };
        self.restore(oldest, snapshot)
    }

    /// Takes a peer's copy of a document that is in force there.
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

    /// Returns the document in force, or `None` when the environment has none.
    #[must_use]
    pub fn in_force(&self, environment: &EnvironmentName) -> Option<ConfigState<'_>> {
        if self.ahead.version(environment) > self.log.version(environment) {
            let document = self.ahead.document(environment)?;
            return Some(ConfigState { document, freshness: Freshness::PossiblyStale });
        }
        let document = self.log.document(environment)?;
        Some(ConfigState { document, freshness: Freshness::Confirmed })
    }

    /// Returns the version in force, which is zero when the environment has no document.
    #[must_use]
    pub fn version(&self, environment: &EnvironmentName) -> ConfigVersion {
        self.log.version(environment).max(self.ahead.version(environment))
    }

    /// Returns the documents in force, in the order of the environments' names.
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
        match self.awaits_from {
            None => Some(self.log.next),
            Some(_) => None,
        }
    }

    /// Returns the state for a peer or a carry record, or `None` while a snapshot is awaited.
    #[must_use]
    pub fn snapshot(&self) -> Option<&ConfigSnapshot> {
        self.awaits_from.is_none().then_some(&self.log)
    }

    /// Returns the documents in force as a state that ends before the oldest retained record.
    ///
    /// The holder of the `fleet` lease appends it when retention dropped records and no node has a
    /// state that reaches the oldest retained one. `None` unless a snapshot is awaited.
    #[must_use]
    pub fn rebuilt_snapshot(&self) -> Option<ConfigSnapshot> {
        let next = self.awaits_from?;
        let documents = self.documents().into_iter().cloned().collect();
        Some(ConfigSnapshot { next, documents })
    }

    fn restore(&mut self, oldest: LogOffset, snapshot: &ConfigSnapshot) -> ConfigOutcome {
        // Records between an earlier snapshot and the oldest retained one are lost.
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
        // What was in force stays so, even if the snapshot was built by a node that knew less.
        for document in std::mem::replace(&mut self.log, log).documents {
            if document.version > self.version(&document.environment) {
                self.ahead.put(document);
            }
        }
        self.awaits_from = None;
        self.drop_confirmed();
        ConfigOutcome::Restored(self.log.next)
    }

    fn decide_edit(&self, edit: &ConfigEdit) -> Result<VersionedDocument, ConfigOutcome> {
        self.check_version(&edit.environment, edit.base, edit.id)?;
        self.accept(&edit.environment, edit.id, &edit.text)
    }

    fn decide_promote(&self, promote: &ConfigPromote) -> Result<VersionedDocument, ConfigOutcome> {
        self.check_version(&promote.target, promote.target_base, promote.id)?;
        self.check_version(&promote.source, promote.source_version, promote.id)?;
        let Some(source) = self.log.document(&promote.source) else {
            let problem = format!("environment {:?} has no document", promote.source.0);
            return Err(ConfigOutcome::Refused(RefusedReason::Invalid(problem)));
        };
        self.accept(&promote.target, promote.id, &source.text)
    }

    fn check_version(
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
