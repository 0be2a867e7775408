//! Tests of the validation of submissions before they are accepted.

mod common;

use common::{item, metadata};
use rstest::rstest;
use submissions::{
    SubmissionError, SubmissionRecord, SubmissionTable, check_owner, check_submission,
};

/// Guards against an identifier that leads to keys of another submission, or that cannot be part of
/// a path: a submission "x/i/0" would add its items to the submission "x".
#[rstest]
#[case::usual("7c41e09b52d6a3f8", true)]
#[case::empty("", false)]
#[case::other_keys("x/i/0", false)]
#[case::query("x?after=1", false)]
#[case::escape("x%2Fy", false)]
#[case::space("x y", false)]
#[case::not_ascii("x\u{e9}", false)]
#[case::longest(&"x".repeat(200), true)]
#[case::too_long(&"x".repeat(201), false)]
fn check_id(#[case] id: &str, #[case] usable: bool) {
    let expected = if usable { Ok(()) } else { Err(SubmissionError::UnusableId) };
    assert_eq!(check_submission(id, &[item("a"), item("b")]), expected);
}

/// Guards against a submission that is never complete, because two items with one identifier get
/// only one result.
#[test]
fn repeated_item_identifier_is_rejected() {
    let items = [item("a"), item("b"), item("a")];
    let expected = Err(SubmissionError::RepeatedItem(String::from("a")));
    assert_eq!(check_submission("s", &items), expected);
}

/// Guards against a sender whose submission has the identifier of another customer's: it got a
/// response with status 202, but its items never ran.
#[rstest]
#[case::own("brewer", Ok(()))]
#[case::other("maltster", Err(SubmissionError::TakenId))]
fn check_owner_of_repeated_submission(
    #[case] customer: &str,
    #[case] expected: Result<(), SubmissionError>,
) {
    let mut table = SubmissionTable::default();
    table.apply(SubmissionRecord::Opened(metadata("s", 1)));
    let items = vec![item("a")];
    table.apply(SubmissionRecord::Items { submission: String::from("s"), first: 0, items });
    assert_eq!(check_owner(table.get("s").unwrap(), customer), expected);
}
