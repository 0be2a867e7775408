//! Specification of configuration: several processes, the stream `config` and racing operators.
//!
//! Every process holds a real [`ConfigRegistry`]. An operator reads the versions of a process, and
//! writes an edit or a promotion that builds on them. A process appends a snapshot of its state at
//! any time, as the holder of the `fleet` lease does, or an old holder whose append comes late.
//! Retention drops any records that a snapshot in the log contains. Peers exchange the documents in
//! force at any time, also while a process cannot reach the log.

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

/// The version in force on a process fell during its life.
pub const NEVER_FALLS: &str = "the version in force on a process never falls during its life";
/// Two processes have different documents under one version.
pub const ONE_DOCUMENT: &str = "a version of an environment is the same document on all processes";
/// Not exactly one of two edits on the same base was accepted, or processes disagree.
pub const ONE_WINNER: &str = "of two edits on a base one is accepted, and all agree which";
/// A snapshot replaced a newer version.
pub const SNAPSHOT_YIELDS: &str = "a snapshot never supersedes a newer version";

pub(crate) const TRIAL: &str = "trial";
pub(crate) const PRODUCTION: &str = "production";

/// First number of the operators' incarnations.
const FIRST_OPERATOR: u64 = 100;

derive_copy! {
    /// Sizes of a model. Each number bounds the transitions of a kind in one run.
    pub struct ConfigBounds {
        /// Records that each of the two operators writes.
        pub writes: u8,
        /// Snapshot records.
        pub snapshots: u8,
        /// Times that retention drops records.
        pub retentions: u8,
        /// Copies of a peer's documents.
        pub copies: u8,
        /// Faults of any kind.
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

    /// One transition. The number is that of the process, operator or record concerned.
    pub enum ConfigStep {
        /// Reads the next record or notices what retention has dropped.
        Read(usize),
        /// An operator reads a process's versions.
        Look {
            /// The operator.
            operator: usize,
            /// The process.
            process: usize,
        },
        /// An operator's record takes effect and the answer arrives.
        Write(usize),
        /// An operator's record takes effect, and the operator sends it again.
        WriteAnswerLost(usize),
        /// An operator's record takes effect at any later time.
        WriteDelayed(usize),
        /// A delayed record takes effect.
        DelayedWriteLands(usize),
        /// Appends a snapshot.
        Carry(usize),
        /// Appends a snapshot that takes effect at any later time.
        CarryDelayed(usize),
        /// Retention drops all records below the offset that a snapshot has reached.
        Retain(u64),
        /// Takes the state and the documents in force of another process.
        Copy {
            /// The process that takes them.
            to: usize,
            /// The process that has them.
            from: usize,
        },
        /// Loses the log.
        CutOff(usize),
        /// Reaches the log again.
        Reconnect(usize),
        /// Starts anew with nothing kept.
        Restart(usize),
    }
}

derive_value! {
    /// A record with a hash that goes by its id.
    pub struct ConfigEntry(pub ConfigRecord);
}

/// Leaves out contents that the rest of the state mostly implies, which keeps hashing cheap.
impl Hash for ConfigEntry {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        match &self.0 {
            ConfigRecord::Edit(edit) => (edit.id, edit.base).hash(hasher),
            ConfigRecord::Promote(promote) => (promote.id, promote.target_base).hash(hasher),
            ConfigRecord::Snapshot(record) => record.snapshot.next.hash(hasher),
        }
    }
}

/// An operator between reading the versions and writing a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Operator {
    pub(crate) written: u8,
    pub(crate) outbox: Option<Rc<ConfigEntry>>,
}

/// Steps that guard an invariant. A test replaces one of them to show that the search notices.
pub trait ConfigGuards {
    /// Applies a record.
    fn apply(
        &self,
        registry: &mut Registry,
        offset: LogOffset,
        record: &ConfigRecord,
    ) -> ConfigOutcome {
        registry.apply(offset, record)
    }

    /// Takes a peer's copy of a document.
    fn adopt(&self, registry: &mut Registry, document: &VersionedDocument) {
        registry.adopt_peer_document(document);
    }

    /// Returns where a process reads on that continues from a peer's state of the log.
    fn continue_at(&self, _reading_at: LogOffset, restored: LogOffset) -> LogOffset {
        restored
    }

    /// Returns the documents that a process gives to a peer.
    fn given(&self, registry: &Registry) -> Vec<VersionedDocument> {
        registry.documents().into_iter().cloned().collect()
    }
}

/// The steps as the product takes them.
#[derive(Debug, Clone, Copy)]
pub struct ProductConfig;

impl ConfigGuards for ProductConfig {}

/// Configuration of two environments.
#[derive(Debug, Clone)]
pub struct ConfigModel<G> {
    /// Sizes of the model.
    pub bounds: ConfigBounds,
    /// Steps that guard the invariants.
    pub guards: G,
}

/// State of all processes, the stream, the operators and records under way.
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
    pub(crate) broken: Option<&'static str>,
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

    /// Compares what each process read from the log with the rule itself, and the accepted edits of
    /// all processes with each other.
    fn is_undecided(&self) -> bool {
        let accepted = self.processes.iter().flat_map(|process| &process.accepted);
        let accepted = accepted.collect::<Vec<_>>();
        let has_two_winners = accepted.iter().enumerate().any(|(index, (winner, base))| {
            accepted[index + 1..].iter().any(|(other, at)| at == base && other != winner)
        });
        has_two_winners
            || self
                .processes
                .iter()
                .filter_map(|process| process.registry.snapshot())
                .any(|read| read.documents != expected_documents(&self.log[..read.next.0 as usize]))
    }
}

impl<G: ConfigGuards> ConfigModel<G> {
    pub(crate) fn fault(&self, state: &ConfigModelState) -> Option<ConfigModelState> {
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
            if operator.written >= self.bounds.writes {
                return;
            }
            for (process, looked_at) in state.processes.iter().enumerate() {
                let mut next = state.clone();
                let entry = self.compose(index, operator.written, &looked_at.registry);
                next.operators[index] =
                    Operator { written: operator.written + 1, outbox: Some(Rc::new(entry)) };
                let step = ConfigStep::Look { operator: index, process };
                // Operators that see the same versions write the same record.
                if !steps.iter().any(|(_, known)| *known == next) {
                    steps.push((step, next));
                }
            }
            return;
        };
        let mut unanswered = state.clone();
        unanswered.log.push(Rc::clone(entry));
        let mut next = unanswered.clone();
        next.operators[index].outbox = None;
        steps.push((ConfigStep::Write(index), next));
        if let Some(next) = self.fault(&unanswered) {
            steps.push((ConfigStep::WriteAnswerLost(index), next));
        }
        if let Some(mut next) = self.fault(state) {
            next.delayed.push(Rc::clone(entry));
            next.operators[index].outbox = None;
            steps.push((ConfigStep::WriteDelayed(index), next));
        }
    }

    fn compose(&self, index: usize, written: u8, registry: &Registry) -> ConfigEntry {
        let (trial, production) = (EnvironmentName::from(TRIAL), EnvironmentName::from(PRODUCTION));
        let id = RecordId {
            writer: Incarnation(FIRST_OPERATOR + index as u64),
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
        // Retention exceeds the period of snapshots, so one that reaches far enough is retained.
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
            operators: vec![Operator { written: 0, outbox: None }; 2],
            snapshots_left: self.bounds.snapshots,
            retentions_left: self.bounds.retentions,
            copies_left: self.bounds.copies,
            faults_left: self.bounds.faults,
            broken: None,
        }
    }

    fn steps(&self, state: &ConfigModelState) -> Vec<(ConfigStep, ConfigModelState)> {
        let mut steps = Vec::new();
        if self.broken(state).is_some() {
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
        &[NEVER_FALLS, ONE_DOCUMENT, ONE_WINNER, SNAPSHOT_YIELDS]
    }

    fn broken(&self, state: &ConfigModelState) -> Option<&'static str> {
        if state.broken.is_some() {
            return state.broken;
        }
        if state.is_undecided() {
            return Some(ONE_WINNER);
        }
        state.documents_differ().then_some(ONE_DOCUMENT)
    }

    fn describe(&self, state: &ConfigModelState) -> String {
        let version = |process: &ConfigProcess, name: &str| -> ConfigVersion {
            process.registry.version(&EnvironmentName::from(name))
        };
        let describe = |process: &Rc<ConfigProcess>| {
            let (trial, production) = (version(process, TRIAL), version(process, PRODUCTION));
            format!("{}/{}@{}", trial.0, production.0, process.next.0)
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
