//! Limits on failed runs that change with the configuration, and further runs of blocked calls.

use base::Moment;
use rstest::rstest;
use submissions::{CallProbation, FailureBudget};

/// Returns the failure at which an item is given up, whose limit was `first` at the beginning and is
/// `limits` at its failures.
fn given_up_at(first: Option<u32>, limits: &[Option<u32>]) -> Option<usize> {
    let mut budget = FailureBudget::new(first);
    limits.iter().position(|limit| {
        budget.record_failure(*limit);
        budget.is_exhausted()
    })
}

/// Guards against an item that is given up by what one configuration lacks or lowers, and against one
/// that is never given up.
#[rstest]
#[case::same_limit(Some(3), &[Some(3); 4], Some(2))]
#[case::lowered(Some(3), &[Some(1), Some(3), Some(3)], Some(2))]
#[case::missing(Some(3), &[None, None, Some(3)], Some(2))]
#[case::missing_for_good(Some(3), &[None; 3], Some(2))]
#[case::raised(Some(1), &[Some(3); 3], Some(2))]
#[case::never_known(None, &[None; 9], None)]
#[case::known_later(None, &[None, None, Some(2)], Some(2))]
#[case::single(Some(1), &[None], Some(0))]
fn check_highest_limit(
    #[case] first: Option<u32>,
    #[case] limits: &[Option<u32>],
    #[case] expected: Option<usize>,
) {
    assert_eq!(given_up_at(first, limits), expected);
}

/// Guards against a call that ends upstreams and is sent again and again, and against one that was
/// blocked by mistake and is never tried again.
#[test]
fn blocked_call_has_two_further_runs() {
    let mut probation = CallProbation::default();
    assert!(!probation.is_blocked());
    let runs = (0..600_u64).filter(|second| probation.observe_block(Moment(second * 1_000_000)));
    assert_eq!(runs.collect::<Vec<_>>(), [5, 15]);
    assert!(probation.is_blocked());
}
