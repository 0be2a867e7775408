//! Model checks of edits, promotions, snapshots and peers' copies.

use std::sync::Mutex;

use ::configuration::{ConfigOutcome, ConfigRecord, ConfigRegistry, VersionedDocument};
use base::LogOffset;
use model_check::{
    Specification, check_invariants, check_noticed,
    configuration::{
        AcceptAll, ConfigBounds, ConfigGuards, ConfigModel, ConfigStep, NEVER_FALLS, ONE_DOCUMENT,
        ONE_WINNER, OperatorWork, ProductConfig, Registry, SNAPSHOT_YIELDS,
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

/// Lets one exhaustive search run at a time, which bounds the memory of all.
static SEARCH: Mutex<()> = Mutex::new(());

/// Guards against any interleaving of so many faults that breaks an invariant.
#[rstest]
#[case::edits(EDITS)]
#[case::promotions(PROMOTIONS)]
fn invariants_hold(#[case] bounds: ConfigBounds) {
    let _turn = SEARCH.lock();
    let model = ConfigModel { bounds, guards: ProductConfig };
    check_invariants(&model, &bounds);
}

fn check_broken<G: ConfigGuards>(bounds: ConfigBounds, guards: G, invariant: &'static str) {
    let model = ConfigModel { bounds, guards };
    check_noticed(&model, invariant);
}

struct AnyCopy;

impl ConfigGuards for AnyCopy {
    fn adopt(&self, registry: &mut Registry, document: &VersionedDocument) {
        *registry = ConfigRegistry::new(AcceptAll);
        registry.adopt_peer_document(document);
    }
}

/// Shows that taking only newer copies guards against a version that falls.
#[test]
fn an_older_copy_that_is_taken_is_noticed() {
    check_broken(ConfigBounds { writes: 2, ..EDITS }, AnyCopy, NEVER_FALLS);
}

struct EarlyVersion;

impl ConfigGuards for EarlyVersion {
    fn given(&self, registry: &Registry) -> Vec<VersionedDocument> {
        let next = |document: &VersionedDocument| {
            let version = document.version.next();
            VersionedDocument { version, ..document.clone() }
        };
        registry.documents().into_iter().map(next).collect()
    }
}

/// Shows that copies under the version of the log guard against two documents of one version.
#[test]
fn a_copy_under_another_version_is_noticed() {
    check_broken(ConfigBounds { writes: 2, ..EDITS }, EarlyVersion, ONE_DOCUMENT);
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

/// Shows that the version check guards against two accepted edits on one base.
#[test]
fn an_edit_without_version_check_is_noticed() {
    check_broken(EDITS, LastEditWins, ONE_WINNER);
}

struct SnapshotWins;

impl ConfigGuards for SnapshotWins {
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

/// Shows that ignoring snapshots of a known prefix guards against a return to an older version.
#[test]
fn a_snapshot_that_replaces_the_state_is_noticed() {
    check_broken(ConfigBounds { writes: 2, ..EDITS }, SnapshotWins, SNAPSHOT_YIELDS);
}

struct NoSecondReading;

impl ConfigGuards for NoSecondReading {
    fn continue_at(&self, reading_at: LogOffset, _restored: LogOffset) -> LogOffset {
        reading_at
    }
}

/// Shows that reading again from a peer's state guards against skipped records.
#[test]
fn records_after_a_peers_state_that_are_skipped_are_noticed() {
    check_broken(EDITS, NoSecondReading, ONE_WINNER);
}

/// Guards against faults in longer runs with more faults than the exhaustive search can cover.
#[rstest]
fn random_schedules_hold(
    #[values(1, 2, 3)] seed: u64,
    #[values(EDITS, PROMOTIONS)] bounds: ConfigBounds,
) {
    let bounds =
        ConfigBounds { writes: 6, snapshots: 6, retentions: 6, copies: 12, faults: 10, ..bounds };
    let model = ConfigModel { bounds, guards: ProductConfig };
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let (mut retained, mut restarts) = (0, 0);
    for run in 0..200 {
        let mut state = model.initial();
        let mut steps = model.steps(&state);
        for _ in 0..300 {
            // A uniform choice would use up all faults before there is anything to lose.
            let is_faulty = generator.random_ratio(1, 8);
            let faults_left = state.faults_left();
            if steps.iter().any(|(_, next)| (next.faults_left() < faults_left) == is_faulty) {
                steps.retain(|(_, next)| (next.faults_left() < faults_left) == is_faulty);
            }
            if steps.is_empty() {
                break;
            }
            let (step, next) = steps.swap_remove(generator.random_range(0..steps.len()));
            let is_trimmed = next.first_retained() > LogOffset(0);
            restarts += usize::from(matches!(step, ConfigStep::Restart(_)) && is_trimmed);
            state = next;
            let broken = model.broken(&state);
            assert_eq!(broken, None, "seed {seed}, run {run}: {}", model.describe(&state));
            steps = model.steps(&state);
        }
        retained += usize::from(state.first_retained() > LogOffset(0));
    }
    println!(
        "seed {seed}, {bounds:?}: records dropped in {retained} of 200 runs, {restarts} restarts \
         after that"
    );
    assert!(retained > 0 && restarts > 0, "the schedules are too mild");
}
