//! Model checks of usage windows and their reports.

use std::sync::Mutex;

use ::usage::{UsageBatch, UsageLedger, WindowReport};
use authority::{FencingSupport, LeaseManager};
use base::{FencingToken, Incarnation, Moment, RecordId, Span};
use model_check::{
    Specification, check_invariants, check_violation_found,
    usage::{
        BATCH_COUNTED_ONCE, EQUAL_LEDGERS, FENCED_REPORTS, ONE_REPORTER, ONE_USAGE_PER_WINDOW,
        ProductGuards, ReportSink, UsageBounds, UsageGuards, UsageModel, UsageRetention, UsageStep,
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

/// Lets one exhaustive search run at a time, since each takes up to 700 MB of memory.
static SEARCH: Mutex<()> = Mutex::new(());

/// Guards against interleavings of up to `faults` faults that violate an invariant.
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

fn check_violation<G: UsageGuards>(bounds: UsageBounds, guards: G, invariant: &'static str) {
    let model = UsageModel { bounds, guards };
    check_violation_found(&model, invariant);
}

struct ReportOfOpenUsage;

impl UsageGuards for ReportOfOpenUsage {
    fn report(&self, ledger: &UsageLedger, mut report: WindowReport) -> WindowReport {
        report
            .usage
            .merge(ledger.open_usage())
            .expect("the usage of a few batches does not overflow");
        report
    }
}

/// If a report includes usage that no close record has fixed yet, a window is reported twice with
/// different usage.
#[test]
fn a_report_of_open_usage_is_detected() {
    check_violation(CHECKED, ReportOfOpenUsage, ONE_USAGE_PER_WINDOW);
}

struct ClaimWithoutWait;

impl UsageGuards for ClaimWithoutWait {
    fn claim_clock(&self, now: Moment) -> Moment {
        now + Span(4)
    }
}

/// Without the successor's wait, a report arrives while two processes hold the lease.
#[test]
fn a_claim_without_the_successors_wait_is_detected() {
    check_violation(CHECKED, ClaimWithoutWait, ONE_REPORTER);
}

struct ReplicaUnderOtherId;

impl UsageGuards for ReplicaUnderOtherId {
    fn replica(&self, batch: UsageBatch) -> UsageBatch {
        let id = RecordId { writer: Incarnation(99), ..batch.id };
        UsageBatch { id, ..batch }
    }
}

/// If a replica holder appends a batch under another id than its origin, the batch is counted
/// twice.
#[test]
fn a_replica_under_another_id_is_detected() {
    check_violation(CHECKED, ReplicaUnderOtherId, BATCH_COUNTED_ONCE);
}

struct OwnLeaseOnly;

impl UsageGuards for OwnLeaseOnly {
    fn valid_claim(&self, now: Moment, lease_manager: &LeaseManager) -> Option<FencingToken> {
        lease_manager.held_token(now)
    }
}

/// If a ledger validates records by the lease of its own process instead of the claim in force in
/// the log, ledgers differ.
#[test]
fn a_ledger_that_validates_by_its_own_lease_is_detected() {
    check_violation(CHECKED, OwnLeaseOnly, EQUAL_LEDGERS);
}

struct PlatformWithoutFencing;

impl UsageGuards for PlatformWithoutFencing {
    fn accepts(&self, _sink: &ReportSink, _fencing: FencingToken) -> bool {
        true
    }
}

/// Without the platform's check of fencing tokens, a former holder that resumes after a pause gets
/// a report accepted after one of its successor.
#[test]
fn a_platform_without_fencing_check_is_detected() {
    check_violation(CHECKED, PlatformWithoutFencing, FENCED_REPORTS);
}

/// Guards against violations in runs that are longer and have more faults than the exhaustive
/// search can cover.
#[rstest]
fn random_schedules_hold(
    #[values(1, 2, 3)] seed: u64,
    #[values(CHECKED, IGNORED, RETENTION)] bounds: UsageBounds,
) {
    let bounds = UsageBounds { horizon: 30, faults: 8, batches: 6, ..bounds };
    let model = UsageModel { bounds, guards: ProductGuards };
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let (mut accepted, mut late_restarts) = (0, 0);
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
            late_restarts +=
                usize::from(matches!(step, UsageStep::Restart(_)) && next.has_snapshot());
            state = next;
            let broken = model.broken_invariant(&state);
            assert_eq!(broken, None, "seed {seed}, run {run}: {}", model.describe(&state));
            steps = model.steps(&state);
        }
        accepted += state.sink().accepted_windows();
    }
    println!(
        "seed {seed}, {bounds:?}: {accepted} windows reported and {late_restarts} restarts after a \
         snapshot in 50 runs"
    );
    assert!(
        accepted > 0 && late_restarts > 0,
        "seed {seed}: {accepted} windows reported, {late_restarts} restarts after a snapshot: the \
         schedules do not cover both"
    );
}
