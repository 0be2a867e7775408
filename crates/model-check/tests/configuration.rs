//! Model checks of edits, promotions, snapshots and documents received from peers.

use std::sync::Mutex;

use ::configuration::{ConfigOutcome, ConfigRecord, ConfigRegistry, VersionedDocument};
use base::LogOffset;
use model_check::{
    Specification, check_invariants, check_violation_found,
    configuration::{
        AcceptAll, ConfigBounds, ConfigGuards, ConfigModel, ConfigStep, ONE_ACCEPTED_EDIT,
        ONE_DOCUMENT_PER_VERSION, OperatorWork, ProductGuards, Registry, SNAPSHOT_KEEPS_NEWER,
        VERSION_NEVER_DECREASES,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const EDITS: ConfigBounds = ConfigBounds {
    writes: 1,
    snapshots: 1,
    retentions: 1,
    copies: 1,
    faults: 1,
    work: OperatorWork::Edits,
};

const PROMOTIONS: ConfigBounds = ConfigBounds { work: OperatorWork::EditsAndPromotions, ..EDITS };

/// Lets one exhaustive search run at a time, which bounds the memory that the tests take.
static SEARCH: Mutex<()> = Mutex::new(());

/// Guards against interleavings of up to `faults` faults that violate an invariant.
#[rstest]
#[case::edits(EDITS)]
#[case::promotions(PROMOTIONS)]
fn invariants_hold(#[case] bounds: ConfigBounds) {
    let _turn = SEARCH.lock();
    let model = ConfigModel { bounds, guards: ProductGuards };
    check_invariants(&model, &bounds);
}

fn check_violation<G: ConfigGuards>(bounds: ConfigBounds, guards: G, invariant: &'static str) {
    let model = ConfigModel { bounds, guards };
    check_violation_found(&model, invariant);
}

struct AdoptAnyDocument;

impl ConfigGuards for AdoptAnyDocument {
    fn adopt(&self, registry: &mut Registry, document: &VersionedDocument) {
        *registry = ConfigRegistry::new(AcceptAll);
        registry.adopt_peer_document(document);
    }
}

/// If a process adopts any document of a peer, and not only newer ones, its version decreases.
#[test]
fn an_older_document_that_is_adopted_is_detected() {
    check_violation(ConfigBounds { writes: 2, ..EDITS }, AdoptAnyDocument, VERSION_NEVER_DECREASES);
}

struct IncrementedVersion;

impl ConfigGuards for IncrementedVersion {
    fn documents_for_peer(&self, registry: &Registry) -> Vec<VersionedDocument> {
        let next = |document: &VersionedDocument| {
            let version = document.version.next();
            VersionedDocument { version, ..document.clone() }
        };
        registry.documents().into_iter().map(next).collect()
    }
}

/// If a process sends a document under another version than that of the log, two documents have the
/// same version.
#[test]
fn a_document_sent_under_another_version_is_detected() {
    check_violation(
        ConfigBounds { writes: 2, ..EDITS },
        IncrementedVersion,
        ONE_DOCUMENT_PER_VERSION,
    );
}

struct LastEditWins;

impl ConfigGuards for LastEditWins {
    fn apply(
        &self,
        registry: &mut Registry,
        offset: LogOffset,
        record: &ConfigRecord,
    ) -> ConfigOutcome {
        let mut record = record.clone();
        if let ConfigRecord::Edit(edit) = &mut record {
            let read = registry.snapshot();
            edit.base = read.map(|read| read.version(&edit.environment)).unwrap_or_default();
        }
        registry.apply(offset, &record)
    }
}

/// Without the check of the base version, two edits on one base are accepted.
#[test]
fn an_edit_without_version_check_is_detected() {
    check_violation(EDITS, LastEditWins, ONE_ACCEPTED_EDIT);
}

struct SnapshotReplacesState;

impl ConfigGuards for SnapshotReplacesState {
    fn apply(
        &self,
        registry: &mut Registry,
        offset: LogOffset,
        record: &ConfigRecord,
    ) -> ConfigOutcome {
        if let ConfigRecord::Snapshot(snapshot) = record {
            *registry = ConfigRegistry::new(AcceptAll);
            registry.note_retention(snapshot.snapshot.next);
        }
        registry.apply(offset, record)
    }
}

/// If a process does not ignore snapshots of a prefix that it has already read, it returns to an
/// older version.
#[test]
fn a_snapshot_that_replaces_the_state_is_detected() {
    check_violation(
        ConfigBounds { writes: 2, ..EDITS },
        SnapshotReplacesState,
        SNAPSHOT_KEEPS_NEWER,
    );
}

struct NoRereadAfterRestore;

impl ConfigGuards for NoRereadAfterRestore {
    fn offset_after_restore(&self, reading_at: LogOffset, _restored: LogOffset) -> LogOffset {
        reading_at
    }
}

/// If a process that adopted a peer's snapshot does not read on from the offset of that snapshot,
/// it skips records.
#[test]
fn records_skipped_after_a_peers_snapshot_are_detected() {
    check_violation(EDITS, NoRereadAfterRestore, ONE_ACCEPTED_EDIT);
}

/// Guards against violations in runs that are longer and have more faults than the exhaustive
/// search can cover.
#[rstest]
fn random_schedules_hold(
    #[values(1, 2, 3)] seed: u64,
    #[values(EDITS, PROMOTIONS)] bounds: ConfigBounds,
) {
    let bounds =
        ConfigBounds { writes: 6, snapshots: 6, retentions: 6, copies: 12, faults: 10, ..bounds };
    let model = ConfigModel { bounds, guards: ProductGuards };
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let (mut retained, mut restarts) = (0, 0);
    for run in 0..200 {
        let mut state = model.initial();
        let mut steps = model.steps(&state);
        for _ in 0..300 {
            // A uniform choice would use up all faults before the processes have any state to lose.
            let is_faulty = generator.random_ratio(1, 8);
            let faults_left = state.faults_left();
            if steps.iter().any(|(_, next)| (next.faults_left() < faults_left) == is_faulty) {
                steps.retain(|(_, next)| (next.faults_left() < faults_left) == is_faulty);
            }
            if steps.is_empty() {
                break;
            }
            let (step, next) = steps.swap_remove(generator.random_range(0..steps.len()));
            let has_dropped_records = next.first_retained() > LogOffset(0);
            restarts += usize::from(matches!(step, ConfigStep::Restart(_)) && has_dropped_records);
            state = next;
            let broken = model.broken_invariant(&state);
            assert_eq!(broken, None, "seed {seed}, run {run}: {}", model.describe(&state));
            steps = model.steps(&state);
        }
        retained += usize::from(state.first_retained() > LogOffset(0));
    }
    println!(
        "seed {seed}, {bounds:?}: records dropped in {retained} of 200 runs, {restarts} restarts \
         after that"
    );
    assert!(
        retained > 0 && restarts > 0,
        "seed {seed}: records dropped in {retained} runs, {restarts} restarts after that: the \
         schedules do not cover both"
    );
}
