//! Model checks of submissions in a partition of the platform's store.

use std::sync::Mutex;

use ::submissions::PartitionCache;
use model_check::{
    Specification, check_invariants, check_violation_found,
    submissions::{
        CACHE_MATCHES_LOG, ProductGuards, SubmissionBounds, SubmissionGuards, SubmissionModel,
        UNIQUE_POSITIONS, WorkPlan,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Lets one exhaustive search run at a time, since each takes several hundred MB of memory.
static SEARCH: Mutex<()> = Mutex::new(());

const fn bounds(work: WorkPlan, faults: u8) -> SubmissionBounds {
    SubmissionBounds { faults, work }
}

/// Guards against interleavings with up to `faults` lost responses, delayed appends and log
/// compactions that accept a submission twice, assign a position twice, store a result after the
/// end of its submission, or leave a cache without a record that it should hold.
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

fn check_violation<G: SubmissionGuards>(
    bounds: SubmissionBounds,
    guards: G,
    invariant: &'static str,
) {
    let model = SubmissionModel { bounds, guards };
    check_violation_found(&model, invariant);
}

struct UnconditionalAppends;

impl SubmissionGuards for UnconditionalAppends {
    fn append_condition(&self, _offset: u64) -> Option<u64> {
        None
    }
}

/// If appends are unconditional, two nodes assign the same position.
#[test]
fn an_append_without_a_condition_is_detected() {
    check_violation(bounds(WorkPlan::TwoOwners, 0), UnconditionalAppends, UNIQUE_POSITIONS);
}

struct OneLoadedSuffices;

impl SubmissionGuards for OneLoadedSuffices {
    fn append_offset(&self, cache: &PartitionCache, submissions: &[&str]) -> Option<u64> {
        let any = submissions.iter().any(|submission| cache.is_loaded(submission));
        cache.next_offset().filter(|_| any)
    }
}

/// If an append may be tried when only one of its submissions was loaded since the cache was last
/// reset, a node assigns a position of the other one again that was assigned before the log was
/// compacted.
#[test]
fn an_append_with_one_of_two_submissions_loaded_is_detected() {
    check_violation(bounds(WorkPlan::TwoOwners, 1), OneLoadedSuffices, UNIQUE_POSITIONS);
}

struct OutdatedReadAccepted;

impl SubmissionGuards for OutdatedReadAccepted {
    fn follow_offset(&self, cache: &PartitionCache, first_page: u64, _last_page: u64) -> u64 {
        cache.next_offset().unwrap_or(first_page)
    }
}

/// If a read that began before the start offset of the cache is accepted instead of repeated, the
/// cache misses records. This takes two concurrent reads that both begin while the cache is empty.
/// The later one ends first, so the cache follows the log from a later offset than the end of the
/// log at the earlier read, and holds no record between the two offsets.
#[test]
fn an_outdated_read_that_is_accepted_is_detected() {
    check_violation(bounds(WorkPlan::ReadMeanwhile, 0), OutdatedReadAccepted, CACHE_MATCHES_LOG);
}

struct FollowFromLastPage;

impl SubmissionGuards for FollowFromLastPage {
    fn follow_offset(&self, _cache: &PartitionCache, _first_page: u64, last_page: u64) -> u64 {
        last_page
    }
}

/// If the cache follows the log from the end of the log at the last page instead of the first one,
/// it misses records that were appended between the two pages.
#[test]
fn following_the_log_from_the_last_page_is_detected() {
    check_violation(bounds(WorkPlan::SentTwice, 0), FollowFromLastPage, CACHE_MATCHES_LOG);
}

/// Guards against violations in runs that are longer and have more faults than the exhaustive
/// search can cover.
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
            let broken = model.broken_invariant(&state);
            assert_eq!(broken, None, "seed {seed}, run {run}: {}", model.describe(&state));
        }
        done += usize::from(state.is_done());
    }
    assert!(done > 100, "only {done} of 200 runs of seed {seed} finished all tasks");
}
