//! Limits on failed runs that change with the configuration, failures on record, and further runs of
//! blocked calls.

mod common;

use base::Moment;
use common::{item, metadata};
use rstest::rstest;
use submissions::{
    CallProbation, FailureBudget, FailureReport, ItemFailures, ItemResult, SubmissionRecord,
    SubmissionTable, failure_records,
};

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

fn failures(runs: u32, limit: Option<u32>) -> ItemFailures {
    ItemFailures { runs: FailureBudget::restored(runs, limit), ..Default::default() }
}

fn failed(index: u32, failures: ItemFailures) -> SubmissionRecord {
    SubmissionRecord::Failed { submission: String::from("s"), index, failures }
}

fn report(item: &str, failures: ItemFailures) -> FailureReport {
    FailureReport { submission: String::from("s"), item: String::from(item), failures }
}

/// Returns a table with a submission of the items `a` and `b`.
fn table() -> SubmissionTable {
    let mut table = SubmissionTable::default();
    let (submission, items) = (String::from("s"), vec![item("a"), item("b")]);
    table.apply(SubmissionRecord::Opened(metadata("s", 2)));
    table.apply(SubmissionRecord::Items { submission, first: 0, items });
    table
}

/// Guards against counts or limits that depend on the order in which records are read, and against an
/// item that is given up too early because two owners' failures are added.
#[rstest]
#[case::count_grows(&[(1, Some(3)), (2, Some(3))], 2, Some(3))]
#[case::older_record_is_late(&[(2, Some(3)), (1, Some(3))], 2, Some(3))]
#[case::two_owners_at_the_same_time(&[(2, Some(3)), (2, Some(3))], 2, Some(3))]
#[case::limit_was_higher(&[(1, Some(5)), (2, Some(3))], 2, Some(5))]
#[case::limit_was_unknown(&[(1, None), (2, Some(3))], 2, Some(3))]
fn highest_count_and_limit_on_record_hold(
    #[case] records: &[(u32, Option<u32>)],
    #[case] runs: u32,
    #[case] limit: Option<u32>,
) {
    let mut table = table();
    for (runs, limit) in records {
        table.apply(failed(1, failures(*runs, *limit)));
    }
    let state = table.get("s").unwrap();
    assert_eq!(state.failures("b"), failures(runs, limit));
    assert_eq!(state.failures("a"), ItemFailures::default());
}

/// Guards against appends that change nothing, and against a record that replaces a higher count.
#[test]
fn only_news_is_put_on_record() {
    let mut table = table();
    table.apply(failed(0, failures(2, Some(3))));
    let known = [report("a", failures(2, Some(3))), report("a", failures(1, None))];
    assert_eq!(failure_records(&table, &known), []);
    let raised = failure_records(&table, &[report("a", failures(1, Some(5)))]);
    assert_eq!(raised, [failed(0, failures(2, Some(5)))]);
    assert_eq!(failure_records(&table, &[report("c", failures(1, None))]), []);
    let result = ItemResult::errored("b");
    table.apply(SubmissionRecord::Result { submission: String::from("s"), position: 0, result });
    assert_eq!(failure_records(&table, &[report("b", failures(1, None))]), []);
    table.apply(SubmissionRecord::Ended { submission: String::from("s") });
    assert_eq!(failure_records(&table, &[report("a", failures(3, None))]), []);
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
