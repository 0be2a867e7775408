//! Checks of submissions before they are accepted.

use rstest::rstest;
use submissions::{SubmissionFault, SubmissionItem, check_submission};

fn item(id: &str) -> SubmissionItem {
    SubmissionItem {
        id: String::from(id),
        path: String::from("/p"),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    }
}

/// Guards against an identifier that writes into the keys of another submission, or that no path can
/// name: a submission "x/i/0" would have added its items to the submission "x".
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
    let expected = if usable { Ok(()) } else { Err(SubmissionFault::UnusableId) };
    assert_eq!(check_submission(id, &[item("a"), item("b")]), expected);
}

/// Guards against a submission that never ends, because one result stands for two items.
#[test]
fn repeated_item_is_refused() {
    let items = [item("a"), item("b"), item("a")];
    let expected = Err(SubmissionFault::RepeatedItem(String::from("a")));
    assert_eq!(check_submission("s", &items), expected);
}
