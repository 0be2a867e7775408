//! Model checks of submissions in a partition of the platform's store.

use std::sync::Mutex;

use ::submissions::PartitionCache;
use model_check::{
    Specification, check_invariants, check_noticed,
    submissions::{
        COPY_IS_WHOLE, ONE_POSITION, ProductGuards, SubmissionBounds, SubmissionGuards,
        SubmissionModel, WorkPlan,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Lets one exhaustive search run at a time, since each takes some hundred MB.
static SEARCH: Mutex<()> = Mutex::new(());

const fn bounds(work: WorkPlan, faults: u8) -> SubmissionBounds {
    SubmissionBounds { faults, work }
}

/// Guards against any interleaving with so many lost answers, late appends and forgotten histories that
/// accepts a submission twice, gives a position away twice, stores a result after the end, or leaves a
/// copy without a record that it should have.
#[rstest]
#[case::sent_twice(bounds(WorkPlan::SentTwice, 2))]
#[case::two_owners(bounds(WorkPlan::TwoOwners, 1))]
#[case::ended_meanwhile(bounds(WorkPlan::EndedMeanwhile, 2))]
#[case::read_meanwhile(bounds(WorkPlan::ReadMeanwhile, 1))]
fn invariants_hold(#[case] bounds: SubmissionBounds) {
    let _turn = SEARCH.lock();
    let model = SubmissionModel { bounds, guards: ProductGuards };
    check_invariants(&model, &bounds);
}

fn check_broken<G: SubmissionGuards>(bounds: SubmissionBounds, guards: G, invariant: &'static str) {
    let model = SubmissionModel { bounds, guards };
    check_noticed(&model, invariant);
}

struct OpenAppends;

impl SubmissionGuards for OpenAppends {
    fn condition(&self, _offset: u64) -> Option<u64> {
        None
    }
}

/// Shows that the condition of appends guards against a position that two nodes give away.
#[test]
fn an_append_without_a_condition_is_noticed() {
    check_broken(bounds(WorkPlan::TwoOwners, 0), OpenAppends, ONE_POSITION);
}

struct PartlyLoaded;

impl SubmissionGuards for PartlyLoaded {
    fn append_offset(&self, cache: &PartitionCache, submissions: &[&str]) -> Option<u64> {
        let any = submissions.iter().any(|submission| cache.is_loaded(submission));
        cache.next_offset().filter(|_| any)
    }
}

/// Shows that loading all submissions of an append in one epoch guards against a position that was given
/// away before the store forgot its history.
#[test]
fn an_append_that_knows_one_of_two_submissions_is_noticed() {
    check_broken(bounds(WorkPlan::TwoOwners, 1), PartlyLoaded, ONE_POSITION);
}

struct Overtaken;

impl SubmissionGuards for Overtaken {
    fn read_end(&self, cache: &PartitionCache, first_page: u64, _last_page: u64) -> u64 {
        cache.next_offset().unwrap_or(first_page)
    }
}

/// Shows that repeating an overtaken read guards against a submission that one of two reads at the same
/// time hides: both began before anything was known, and the later one was the first to end.
#[test]
fn an_overtaken_read_is_noticed() {
    check_broken(bounds(WorkPlan::ReadMeanwhile, 0), Overtaken, COPY_IS_WHOLE);
}

struct LastPage;

impl SubmissionGuards for LastPage {
    fn read_end(&self, _copy: &PartitionCache, _first_page: u64, last_page: u64) -> u64 {
        last_page
    }
}

/// Shows that following the log from the first page guards against records between two pages.
#[test]
fn a_read_that_goes_on_after_its_last_page_is_noticed() {
    check_broken(bounds(WorkPlan::SentTwice, 0), LastPage, COPY_IS_WHOLE);
}

/// Guards against faults in longer runs than the exhaustive search can cover.
#[rstest]
fn random_schedules_hold(
    #[values(1, 2, 3)] seed: u64,
    #[values(
        WorkPlan::SentTwice,
        WorkPlan::TwoOwners,
        WorkPlan::EndedMeanwhile,
        WorkPlan::ReadMeanwhile
    )]
    work: WorkPlan,
) {
    let model = SubmissionModel { bounds: bounds(work, 8), guards: ProductGuards };
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut done = 0;
    for run in 0..200 {
        let mut state = model.initial();
        for _ in 0..200 {
            let mut steps = model.steps(&state);
            if steps.is_empty() {
                break;
            }
            state = steps.swap_remove(generator.random_range(0..steps.len())).1;
            let broken = model.broken(&state);
            assert_eq!(broken, None, "seed {seed}, run {run}: {}", model.describe(&state));
        }
        done += usize::from(state.is_done());
    }
    assert!(done > 100, "only {done} of 200 runs did all their work");
}
