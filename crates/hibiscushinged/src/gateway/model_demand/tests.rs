//! Records of the demand of steps: when they are written.

use base::{Moment, Span};
use rstest::rstest;

use super::{REWRITE_PERIOD, WrittenDemand};

const NOW: Moment = Moment(10_000_000);

/// Guards against a record for each step of a trainer, and against a demand that is out of date.
#[rstest]
#[case::unchanged("m", 1_000, Span::from_secs(4), false)]
#[case::about_the_same("m", 1_240, Span::from_secs(4), false)]
#[case::grown("m", 1_260, Span::from_secs(4), true)]
#[case::shrunk("m", 700, Span::from_secs(4), true)]
#[case::old("m", 1_000, REWRITE_PERIOD, true)]
#[case::other_model("n", 1_000, Span::ZERO, true)]
fn demand_is_written_when_it_changes(
    #[case] model: &str,
    #[case] tokens: u64,
    #[case] later: Span,
    #[case] expected: bool,
) {
    let written = WrittenDemand::default();
    assert!(written.replace(NOW, "m", 1_000));
    assert_eq!(written.replace(NOW + later, model, tokens), expected);
}
