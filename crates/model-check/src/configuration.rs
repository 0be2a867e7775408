//! Specification of configuration: three processes, the stream `config` and two operators that
//! write concurrently.
//!
//! Every process runs the daemon's [`ConfigRegistry`]. An operator reads the versions of a process,
//! and writes an edit or a promotion that names them as its base. A process may append a snapshot
//! of its state at any time; in the daemon, that is the holder of the `fleet` lease, or a former
//! holder whose append was delayed. Retention may drop the records whose effect a snapshot in the
//! log contains. Peers exchange the documents in force at any time, also while a process cannot
//! reach the log.
//!
//! [`ConfigRegistry`]: ::configuration::ConfigRegistry

mod process;

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
};

use ::configuration::{
    ConfigEdit, ConfigOutcome, ConfigPromote, ConfigRecord, ConfigVersion, EnvironmentName,
    VersionedDocument,
};
use base::{Incarnation, LogOffset, RecordId, derive_copy, derive_value};

pub use crate::configuration::process::{AcceptAll, ConfigProcess, Registry};
use crate::{configuration::process::expected_documents, search::Specification};

/// Violated when the version in force on a process decreases between two restarts.
pub const VERSION_NEVER_DECREASES: &str =
    "the version in force on a process never decreases between restarts";
/// Violated when two processes have different documents under one version of an environment.
pub const ONE_DOCUMENT_PER_VERSION: &str =
    "a version of an environment is the same document on all processes";
/// Violated when two edits on the same base are accepted, or when the documents of a process differ
/// from those that the log determines.
pub const ONE_ACCEPTED_EDIT: &str =
    "of two edits on one base exactly one is accepted, the same on all processes";
/// Violated when a snapshot record replaces a newer version.
pub const SNAPSHOT_KEEPS_NEWER: &str = "a snapshot never replaces a newer version";

pub(crate) const TRIAL: &str = "trial";
pub(crate) const PRODUCTION: &str = "production";

/// Incarnation of the first operator in the ids of its records. The second operator has the next
/// one.
const FIRST_OPERATOR_INCARNATION: u64 = 100;

derive_copy! {
    /// Bounds of the search. Each number is the maximum of the transitions of a kind in one run.
    pub struct ConfigBounds {
        /// Records that each of the two operators writes.
        pub writes: u8,
        /// Snapshot records that all processes append together.
        pub snapshots: u8,
        /// Times at which retention drops records.
        pub retentions: u8,
        /// Times at which a process adopts the documents of a peer.
        pub copies: u8,
        /// Faults of all kinds together.
        pub faults: u8,
        /// What the operators write.
        pub work: OperatorWork,
    }

    /// What the operators write.
    pub enum OperatorWork {
        /// Both edit the trial environment.
        Edits,
        /// The first edits the trial environment, and the second promotes it.
        EditsAndPromotions,
    }

    /// One transition. The number is the index of the process, operator or delayed record.
    pub enum ConfigStep {
        /// A process reads the next record, or learns that retention has dropped it.
        Read(usize),
        /// An operator reads the versions of a process and prepares a record that names them as its
        /// base.
        Look {
            /// The operator.
            operator: usize,
            /// The process.
            process: usize,
        },
        /// An operator appends its record and receives the ack.
        Write(usize),
        /// An operator appends its record and the ack is lost, so the operator will send it again.
        WriteAnswerLost(usize),
        /// The append of an operator is delayed and may take effect at any later time.
        WriteDelayed(usize),
        /// A delayed append takes effect.
        DelayedWriteLands(usize),
        /// A process appends a snapshot record.
        Snapshot(usize),
        /// The append of a snapshot record is delayed and may take effect at any later time.
        SnapshotDelayed(usize),
        /// Retention drops all records below this offset, which a snapshot in the log covers.
        Retain(u64),
        /// A process adopts the state and the documents in force of a peer.
        Copy {
            /// The process that adopts them.
            to: usize,
            /// The peer that sends them.
            from: usize,
        },
        /// A process loses its connection to the log.
        CutOff(usize),
        /// A process can reach the log again.
        Reconnect(usize),
        /// A process restarts without any state.
        Restart(usize),
    }
}

derive_value! {
    /// A record of the stream `config`, hashed by its id and base, or by the offset of a snapshot.
    pub struct ConfigEntry(pub ConfigRecord);
}

/// Leaves out contents that the rest of the state implies in nearly all cases, which keeps hashing
/// cheap.
impl Hash for ConfigEntry {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        match &self.0 {
            ConfigRecord::Edit(edit) => (edit.id, edit.base).hash(hasher),
            ConfigRecord::Promote(promote) => (promote.id, promote.target_base).hash(hasher),
            ConfigRecord::Snapshot(record) => record.snapshot.next.hash(hasher),
        }
    }
}

/// An operator. Its outbox holds the record that it has prepared and not yet written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Operator {
    pub(crate) records_written: u8,
    pub(crate) outbox: Option<Rc<ConfigEntry>>,
}

/// Steps on which the invariants depend. A test replaces one of them by a faulty one, to show that
/// the search finds the violation.
pub trait ConfigGuards {
    /// Applies a record of the log to the registry.
    fn apply(
        &self,
        registry: &mut Registry,
        offset: LogOffset,
        record: &ConfigRecord,
    ) -> ConfigOutcome {
        registry.apply(offset, record)
    }

    /// Adopts a document that a peer has sent.
    fn adopt(&self, registry: &mut Registry, document: &VersionedDocument) {
        registry.adopt_peer_document(document);
    }

    /// Returns the offset at which a process continues to read after it was restored from a peer's
    /// snapshot. `reading_at` is its former offset, `restored` that of the snapshot.
    fn offset_after_restore(&self, _reading_at: LogOffset, restored: LogOffset) -> LogOffset {
        restored
    }

    /// Returns the documents that a process sends to a peer.
    fn documents_for_peer(&self, registry: &Registry) -> Vec<VersionedDocument> {
        registry.documents().into_iter().cloned().collect()
    }
}

/// The steps as the daemon performs them.
#[derive(Debug, Clone, Copy)]
pub struct ProductGuards;

impl ConfigGuards for ProductGuards {}

/// Specification of the configuration of two environments.
#[derive(Debug, Clone)]
pub struct ConfigModel<G> {
    /// Bounds of the search.
    pub bounds: ConfigBounds,
    /// Steps on which the invariants depend.
    pub guards: G,
}

/// State of all processes, the stream, the operators and delayed appends.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigModelState {
    pub(crate) log: Vec<Rc<ConfigEntry>>,
    pub(crate) first_retained: LogOffset,
    pub(crate) delayed: Vec<Rc<ConfigEntry>>,
    pub(crate) processes: Vec<Rc<ConfigProcess>>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) snapshots_left: u8,
    pub(crate) retentions_left: u8,
    pub(crate) copies_left: u8,
    pub(crate) faults_left: u8,
    pub(crate) broken_invariant: Option<&'static str>,
}

impl ConfigModelState {
    /// Returns how many faults may still happen.
    #[must_use]
    pub const fn faults_left(&self) -> u8 {
        self.faults_left
    }

    /// Returns the oldest retained offset.
    #[must_use]
    pub const fn first_retained(&self) -> LogOffset {
        self.first_retained
    }

    fn documents_differ(&self) -> bool {
        let held = self.processes.iter().flat_map(|process| process.registry.documents());
        let held = held.collect::<Vec<_>>();
        held.iter().enumerate().any(|(index, left)| {
            held[index + 1..].iter().any(|right| {
                left.environment == right.environment
                    && left.version == right.version
                    && left != right
            })
        })
    }

    /// Returns whether processes have accepted different edits on one base, or a snapshot of a
    /// process differs from the documents that the log up to its offset determines.
    fn has_wrong_acceptance(&self) -> bool {
        let accepted = self.processes.iter().flat_map(|process| &process.accepted);
        let accepted = accepted.collect::<Vec<_>>();
        let has_two_accepted = accepted.iter().enumerate().any(|(index, (edit, base))| {
            accepted[index + 1..].iter().any(|(other, at)| at == base && other != edit)
        });
        has_two_accepted
            || self
                .processes
                .iter()
                .filter_map(|process| process.registry.snapshot())
                .any(|read| read.documents != expected_documents(&self.log[..read.next.0 as usize]))
    }
}

impl<G: ConfigGuards> ConfigModel<G> {
    pub(crate) fn spend_fault(&self, state: &ConfigModelState) -> Option<ConfigModelState> {
        let faults_left = state.faults_left.checked_sub(1)?;
        Some(ConfigModelState { faults_left, ..state.clone() })
    }

    fn operator_steps(
        &self,
        state: &ConfigModelState,
        index: usize,
        steps: &mut Vec<(ConfigStep, ConfigModelState)>,
    ) {
        let operator = &state.operators[index];
        let Some(entry) = &operator.outbox else {
            if operator.records_written >= self.bounds.writes {
                return;
            }
            for (process, observed) in state.processes.iter().enumerate() {
                let mut next = state.clone();
                let entry =
                    self.compose_record(index, operator.records_written, &observed.registry);
                next.operators[index] = Operator {
                    records_written: operator.records_written + 1,
                    outbox: Some(Rc::new(entry)),
                };
                let step = ConfigStep::Look { operator: index, process };
                // Processes with the same versions lead to the same record.
                if !steps.iter().any(|(_, known)| *known == next) {
                    steps.push((step, next));
                }
            }
            return;
        };
        let mut appended = state.clone();
        appended.log.push(Rc::clone(entry));
        let mut next = appended.clone();
        next.operators[index].outbox = None;
        steps.push((ConfigStep::Write(index), next));
        if let Some(next) = self.spend_fault(&appended) {
            steps.push((ConfigStep::WriteAnswerLost(index), next));
        }
        if let Some(mut next) = self.spend_fault(state) {
            next.delayed.push(Rc::clone(entry));
            next.operators[index].outbox = None;
            steps.push((ConfigStep::WriteDelayed(index), next));
        }
    }

    fn compose_record(&self, index: usize, written: u8, registry: &Registry) -> ConfigEntry {
        let (trial, production) = (EnvironmentName::from(TRIAL), EnvironmentName::from(PRODUCTION));
        let id = RecordId {
            writer: Incarnation(FIRST_OPERATOR_INCARNATION + index as u64),
            sequence: u64::from(written) + 1,
        };
        let base = registry.version(&trial);
        if index == 1 && self.bounds.work == OperatorWork::EditsAndPromotions {
            return ConfigEntry(ConfigRecord::Promote(ConfigPromote {
                id,
                source: trial,
                source_version: base,
                target_base: registry.version(&production),
                target: production,
            }));
        }
        let text = format!("text {index} {written}");
        ConfigEntry(ConfigRecord::Edit(ConfigEdit { id, environment: trial, base, text }))
    }

    fn environment_steps(
        &self,
        state: &ConfigModelState,
        steps: &mut Vec<(ConfigStep, ConfigModelState)>,
    ) {
        for index in 0..state.delayed.len() {
            let mut next = state.clone();
            let entry = next.delayed.remove(index);
            next.log.push(entry);
            steps.push((ConfigStep::DelayedWriteLands(index), next));
        }
        let Some(retentions_left) = state.retentions_left.checked_sub(1) else { return };
        // The retention period exceeds the snapshot period, so a snapshot that covers the dropped
        // records is itself still retained.
        let mut offsets = state
            .log
            .iter()
            .filter_map(|entry| match &entry.0 {
                ConfigRecord::Snapshot(record) => Some(record.snapshot.next),
                _ => None,
            })
            .filter(|offset| *offset > state.first_retained)
            .collect::<Vec<_>>();
        offsets.dedup();
        for offset in offsets {
            let next =
                ConfigModelState { retentions_left, first_retained: offset, ..state.clone() };
            steps.push((ConfigStep::Retain(offset.0), next));
        }
    }
}

impl<G: ConfigGuards> Specification for ConfigModel<G> {
    type State = ConfigModelState;
    type Step = ConfigStep;

    fn initial(&self) -> ConfigModelState {
        let process = Rc::new(ConfigProcess::new());
        ConfigModelState {
            log: Vec::new(),
            first_retained: LogOffset(0),
            delayed: Vec::new(),
            processes: vec![process; 3],
            operators: vec![Operator { records_written: 0, outbox: None }; 2],
            snapshots_left: self.bounds.snapshots,
            retentions_left: self.bounds.retentions,
            copies_left: self.bounds.copies,
            faults_left: self.bounds.faults,
            broken_invariant: None,
        }
    }

    fn steps(&self, state: &ConfigModelState) -> Vec<(ConfigStep, ConfigModelState)> {
        let mut steps = Vec::new();
        if self.broken_invariant(state).is_some() {
            return steps;
        }
        for index in 0..state.operators.len() {
            self.operator_steps(state, index, &mut steps);
        }
        self.environment_steps(state, &mut steps);
        for index in 0..state.processes.len() {
            self.process_steps(state, index, &mut steps);
        }
        steps
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[
            VERSION_NEVER_DECREASES,
            ONE_DOCUMENT_PER_VERSION,
            ONE_ACCEPTED_EDIT,
            SNAPSHOT_KEEPS_NEWER,
        ]
    }

    fn broken_invariant(&self, state: &ConfigModelState) -> Option<&'static str> {
        if state.broken_invariant.is_some() {
            return state.broken_invariant;
        }
        if state.has_wrong_acceptance() {
            return Some(ONE_ACCEPTED_EDIT);
        }
        state.documents_differ().then_some(ONE_DOCUMENT_PER_VERSION)
    }

    fn describe(&self, state: &ConfigModelState) -> String {
        let version = |process: &ConfigProcess, name: &str| -> ConfigVersion {
            process.registry.version(&EnvironmentName::from(name))
        };
        let describe = |process: &Rc<ConfigProcess>| {
            let (trial, production) = (version(process, TRIAL), version(process, PRODUCTION));
            format!("{}/{}@{}", trial.0, production.0, process.next_offset.0)
        };
        let processes: Vec<_> = state.processes.iter().map(describe).collect();
        format!(
            "trial/production@offset [{}], {} records from {}",
            processes.join(" "),
            state.log.len(),
            state.first_retained.0
        )
    }
}
