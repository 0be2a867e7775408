//! Model checks of usage windows and their reports.

use std::sync::Mutex;

use ::usage::{UsageBatch, UsageLedger, WindowReport};
use authority::{FencingSupport, LeaseManager};
use base::{FencingToken, Incarnation, Moment, RecordId, Span};
use model_check::{
    Specification, check_invariants, check_noticed,
    usage::{
        EQUAL_LEDGERS, FENCED_REPORTS, ONE_FIGURE, ONE_REPORTER, ONE_WINDOW, ProductGuards,
        ReportSink, UsageBounds, UsageGuards, UsageModel, UsageRetention, UsageStep,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const CHECKED: UsageBounds = UsageBounds {
    horizon: 8,
    window: 3,
    faults: 1,
    batches: 1,
    platform: FencingSupport::Checked,
    retention: UsageRetention::Everything,
};

const IGNORED: UsageBounds = UsageBounds { platform: FencingSupport::Ignored, ..CHECKED };

const RETENTION: UsageBounds = UsageBounds { retention: UsageRetention::SinceSnapshot, ..CHECKED };

/// Lets one exhaustive search run at a time. Each takes up to 700 MB.
static SEARCH: Mutex<()> = Mutex::new(());

/// Guards against any interleaving of so many faults that breaks an invariant.
#[rstest]
#[case::checked(CHECKED)]
#[case::ignored(IGNORED)]
#[case::retention(RETENTION)]
#[case::two_faults(UsageBounds { faults: 2, horizon: 4, window: 2, batches: 0, ..RETENTION })]
#[case::two_faults_of_a_batch(UsageBounds { faults: 2, horizon: 1, ..CHECKED })]
fn invariants_hold(#[case] bounds: UsageBounds) {
    let _turn = SEARCH.lock();
    let model = UsageModel { bounds, guards: ProductGuards };
    check_invariants(&model, &bounds);
}

fn check_broken<G: UsageGuards>(bounds: UsageBounds, guards: G, invariant: &'static str) {
    let model = UsageModel { bounds, guards };
    check_noticed(&model, invariant);
}

struct OpenFigures;

impl UsageGuards for OpenFigures {
    fn report(&self, ledger: &UsageLedger, mut report: WindowReport) -> WindowReport {
        report.usage.merge(ledger.open_usage()).expect("small figures");
        report
    }
}

/// Shows that figures fixed by the close record guard against two figures of one window.
#[test]
fn a_report_of_open_figures_is_noticed() {
    check_broken(CHECKED, OpenFigures, ONE_FIGURE);
}

struct HastySuccessor;

impl UsageGuards for HastySuccessor {
    fn waiting_clock(&self, now: Moment) -> Moment {
        now + Span(4)
    }
}

/// Shows that the successor's wait guards against reports while two processes hold the lease.
#[test]
fn a_successor_that_does_not_wait_is_noticed() {
    check_broken(CHECKED, HastySuccessor, ONE_REPORTER);
}

struct RenumberedReplica;

impl UsageGuards for RenumberedReplica {
    fn replica(&self, batch: UsageBatch) -> UsageBatch {
        let id = RecordId { writer: Incarnation(99), ..batch.id };
        UsageBatch { id, ..batch }
    }
}

/// Shows that a replica under the id of its origin guards against counting a batch twice.
#[test]
fn a_replica_under_another_id_is_noticed() {
    check_broken(CHECKED, RenumberedReplica, ONE_WINDOW);
}

struct OwnLeaseOnly;

impl UsageGuards for OwnLeaseOnly {
    fn valid_claim(&self, now: Moment, lease_manager: &LeaseManager) -> Option<FencingToken> {
        lease_manager.held_token(now)
    }
}

/// Shows that judging records by the claim in force in the log guards against unequal ledgers.
#[test]
fn a_ledger_that_goes_by_its_own_lease_is_noticed() {
    check_broken(CHECKED, OwnLeaseOnly, EQUAL_LEDGERS);
}

struct UncheckedPlatform;

impl UsageGuards for UncheckedPlatform {
    fn accepts(&self, _sink: &ReportSink, _fencing: FencingToken) -> bool {
        true
    }
}

/// Shows that the platform's check guards against reports of a paused former holder.
#[test]
fn a_platform_that_does_not_check_is_noticed() {
    check_broken(CHECKED, UncheckedPlatform, FENCED_REPORTS);
}

/// Guards against faults in longer runs with more faults than the exhaustive search can cover.
#[rstest]
fn random_schedules_hold(
    #[values(1, 2, 3)] seed: u64,
    #[values(CHECKED, IGNORED, RETENTION)] bounds: UsageBounds,
) {
    let bounds = UsageBounds { horizon: 30, faults: 8, batches: 6, ..bounds };
    let model = UsageModel { bounds, guards: ProductGuards };
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let (mut accepted, mut restores) = (0, 0);
    for run in 0..50 {
        let mut state = model.initial();
        let mut steps = model.steps(&state);
        for _ in 0..600 {
            // A uniform choice would use up all faults before the first window closes.
            let is_faulty = generator.random_ratio(1, 12);
            let faults_left = state.faults_left();
            if steps.iter().any(|(_, next)| (next.faults_left() < faults_left) == is_faulty) {
                steps.retain(|(_, next)| (next.faults_left() < faults_left) == is_faulty);
            }
            if steps.is_empty() {
                break;
            }
            let (step, next) = steps.swap_remove(generator.random_range(0..steps.len()));
            restores += usize::from(matches!(step, UsageStep::Restart(_)) && next.has_snapshot());
            state = next;
            let broken = model.broken(&state);
            assert_eq!(broken, None, "seed {seed}, run {run}: {}", model.describe(&state));
            steps = model.steps(&state);
        }
        accepted += state.sink().accepted_windows();
    }
    println!(
        "seed {seed}, {bounds:?}: {accepted} windows reported and {restores} restarts after a \
         snapshot in 50 runs"
    );
    assert!(accepted > 0 && restores > 0, "the schedules are too mild");
}
