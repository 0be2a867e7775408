//! One process: the daemon's config registry, and the steps of its driver.

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
};

use ::configuration::{
    ConfigOutcome, ConfigRecord, ConfigRegistry, ConfigSnapshotRecord, ConfigVersion,
    DocumentCheck, EnvironmentName, VersionedDocument,
};
use base::{LogOffset, RecordId, derive_value};

use super::{
    ConfigEntry, ConfigGuards, ConfigModel, ConfigModelState, ConfigStep, PRODUCTION,
    SNAPSHOT_KEEPS_NEWER, TRIAL, VERSION_NEVER_DECREASES,
};

derive_value! {
    /// Document check that accepts every text.
    #[derive(Copy)]
    pub struct AcceptAll;

    pub(crate) enum LogAccess {
        Reachable,
        CutOff,
    }
}

/// Config registry of the daemon, with a document check that accepts every text.
pub type Registry = ConfigRegistry<AcceptAll>;

/// A process, with the part of its history that the invariants refer to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigProcess {
    /// Config registry of the daemon.
    pub registry: Registry,
    /// Offset of the next record to read.
    pub(crate) next_offset: LogOffset,
    pub(crate) access: LogAccess,
    /// Edits that this process accepted from the log, each with its base version.
    pub(crate) accepted: Vec<(RecordId, ConfigVersion)>,
}

impl DocumentCheck for AcceptAll {
    fn check(&self, _environment: &EnvironmentName, _text: &str) -> Result<(), String> {
        Ok(())
    }
}

/// Leaves out the texts, which the versions and record ids imply.
impl Hash for ConfigProcess {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.next_offset, self.registry.next_offset(), &self.accepted).hash(hasher);
        (self.access == LogAccess::Reachable).hash(hasher);
        for document in self.registry.documents() {
            (document.version, document.record).hash(hasher);
        }
    }
}

impl ConfigProcess {
    pub(crate) fn new() -> Self {
        Self {
            registry: ConfigRegistry::new(AcceptAll),
            next_offset: LogOffset(0),
            access: LogAccess::Reachable,
            accepted: Vec::new(),
        }
    }

    fn versions(&self) -> [ConfigVersion; 2] {
        [TRIAL, PRODUCTION].map(|name| self.registry.version(&EnvironmentName::from(name)))
    }

    fn record_accepted(&mut self, record: &ConfigRecord) {
        let ConfigRecord::Edit(edit) = record else { return };
        if !self.accepted.iter().any(|(id, _)| *id == edit.id) {
            self.accepted.push((edit.id, edit.base));
            self.accepted.sort_unstable();
        }
    }
}

/// Computes the documents in force after `log` by the rule of `docs/design.md`, section 5.4,
/// independently of [`ConfigRegistry`]: an edit or promotion is accepted if the versions that it
/// names are current.
pub(crate) fn expected_documents(log: &[Rc<ConfigEntry>]) -> Vec<VersionedDocument> {
    let mut documents: Vec<VersionedDocument> = Vec::new();
    let find = |documents: &[VersionedDocument], name: &EnvironmentName| {
        documents.iter().find(|document| document.environment == *name).cloned()
    };
    let version = |found: &Option<VersionedDocument>| {
        found.as_ref().map_or(ConfigVersion(0), |document| document.version)
    };
    for entry in log {
        let (environment, record, text) = match &entry.0 {
            ConfigRecord::Snapshot(_) => continue,
            ConfigRecord::Edit(edit) => {
                if edit.base != version(&find(&documents, &edit.environment)) {
                    continue;
                }
                (&edit.environment, edit.id, edit.text.clone())
            }
            ConfigRecord::Promote(promote) => {
                let source = find(&documents, &promote.source);
                let target = find(&documents, &promote.target);
                let is_current = promote.source_version == version(&source)
                    && promote.target_base == version(&target);
                let Some(source) = source.filter(|_| is_current) else { continue };
                (&promote.target, promote.id, source.text)
            }
        };
        let environment = environment.clone();
        let version = ConfigVersion(version(&find(&documents, &environment)).0 + 1);
        documents.retain(|document| document.environment != environment);
        documents.push(VersionedDocument { environment, version, record, text });
    }
    documents.sort_by(|left, right| left.environment.cmp(&right.environment));
    documents
}

impl<G: ConfigGuards> ConfigModel<G> {
    pub(crate) fn process_steps(
        &self,
        state: &ConfigModelState,
        index: usize,
        steps: &mut Vec<(ConfigStep, ConfigModelState)>,
    ) {
        let process = &state.processes[index];
        if process.access == LogAccess::Reachable {
            if process.next_offset.0 < state.log.len() as u64
                || process.next_offset < state.first_retained
            {
                let mut next = state.clone();
                self.read(&mut next, index);
                steps.push((ConfigStep::Read(index), next));
            }
            self.snapshot_steps(state, index, steps);
        } else {
            let mut next = state.clone();
            Rc::make_mut(&mut next.processes[index]).access = LogAccess::Reachable;
            steps.push((ConfigStep::Reconnect(index), next));
        }
        if let Some(copies_left) = state.copies_left.checked_sub(1) {
            for from in (0..state.processes.len()).filter(|from| *from != index) {
                let mut next = ConfigModelState { copies_left, ..state.clone() };
                self.copy_from_peer(&mut next, index, from);
                if next.processes[index] != state.processes[index] {
                    steps.push((ConfigStep::Copy { to: index, from }, next));
                }
            }
        }
        let Some(faulted) = self.spend_fault(state) else { return };
        if process.access == LogAccess::Reachable {
            let mut next = faulted.clone();
            Rc::make_mut(&mut next.processes[index]).access = LogAccess::CutOff;
            steps.push((ConfigStep::CutOff(index), next));
        }
        let mut next = faulted;
        let access = process.access.clone();
        next.processes[index] = Rc::new(ConfigProcess { access, ..ConfigProcess::new() });
        steps.push((ConfigStep::Restart(index), next));
    }

    fn snapshot_steps(
        &self,
        state: &ConfigModelState,
        index: usize,
        steps: &mut Vec<(ConfigStep, ConfigModelState)>,
    ) {
        let Some(snapshots_left) = state.snapshots_left.checked_sub(1) else { return };
        let Some(snapshot) = state.processes[index].registry.snapshot() else { return };
        // No snapshot of an empty state is appended.
        if snapshot.documents.is_empty() {
            return;
        }
        let entry = ConfigRecord::Snapshot(ConfigSnapshotRecord { snapshot: snapshot.clone() });
        let entry = Rc::new(ConfigEntry(entry));
        let mut next = ConfigModelState { snapshots_left, ..state.clone() };
        next.log.push(Rc::clone(&entry));
        steps.push((ConfigStep::Snapshot(index), next));
        if let Some(mut next) = self.spend_fault(state) {
            next.snapshots_left = snapshots_left;
            next.delayed.push(entry);
            steps.push((ConfigStep::SnapshotDelayed(index), next));
        }
    }

    /// Reads the next record, or learns that retention has dropped it, as the daemon's log reader
    /// does.
    fn read(&self, state: &mut ConfigModelState, index: usize) {
        let process = Rc::make_mut(&mut state.processes[index]);
        if process.next_offset < state.first_retained {
            process.next_offset = state.first_retained;
            process.registry.note_retention(state.first_retained);
            return;
        }
        let record = &state.log[process.next_offset.0 as usize].0;
        let before = process.versions();
        let offset = process.next_offset;
        process.next_offset = offset.next();
        match self.guards.apply(&mut process.registry, offset, record) {
            ConfigOutcome::Accepted { .. } => process.record_accepted(record),
            ConfigOutcome::Restored(from) => process.next_offset = from,
            ConfigOutcome::Conflict(_) | ConfigOutcome::Refused(_) => {}
        }
        let has_decreased =
            before.iter().zip(process.versions()).any(|(before, after)| after < *before);
        let invariant = match record {
            ConfigRecord::Snapshot(_) => SNAPSHOT_KEEPS_NEWER,
            ConfigRecord::Edit(_) | ConfigRecord::Promote(_) => VERSION_NEVER_DECREASES,
        };
        state.broken_invariant = state.broken_invariant.or(has_decreased.then_some(invariant));
    }

    fn copy_from_peer(&self, state: &mut ConfigModelState, to: usize, from: usize) {
        let documents = self.guards.documents_for_peer(&state.processes[from].registry);
        let snapshot = state.processes[from].registry.snapshot().cloned();
        let process = Rc::make_mut(&mut state.processes[to]);
        let before = process.versions();
        if let Some(snapshot) = snapshot
            && let ConfigOutcome::Restored(next) = process.registry.adopt_snapshot(&snapshot)
        {
            process.next_offset = self.guards.offset_after_restore(process.next_offset, next);
        }
        for document in &documents {
            self.guards.adopt(&mut process.registry, document);
        }
        let has_decreased =
            before.iter().zip(process.versions()).any(|(before, after)| after < *before);
        state.broken_invariant =
            state.broken_invariant.or(has_decreased.then_some(VERSION_NEVER_DECREASES));
    }
}
