//! Tests of the schedule of a planned stop.

use admission::StopSchedule;
use base::{Moment, Span};
use rstest::rstest;

const GRACE: Span = Span::from_secs(8);
const ROUTING_LAG: Span = Span::from_millis(2_600);

fn at(millis: u64) -> Moment {
    Moment(1_000_000) + Span::from_millis(millis)
}

/// Guards against a node that accepts a request which it must cut when its process ends, and against
/// one that refuses a request which it can serve. Times are in milliseconds after the signal.
#[rstest]
#[case::short_request(100, 900, Some(900))]
#[case::long_request_by_the_load_balancer(100, 10_100, Some(7_334))]
#[case::last_one_by_the_load_balancer(2_599, 12_599, Some(7_334))]
#[case::long_request_on_a_kept_connection(2_600, 12_600, None)]
#[case::short_request_on_a_kept_connection(6_500, 7_300, Some(7_300))]
#[case::request_that_may_exceed_the_grace(6_600, 7_400, None)]
#[case::request_at_the_end(7_334, 7_334, None)]
fn check_admission(#[case] now: u64, #[case] deadline: u64, #[case] expected: Option<u64>) {
    let schedule = StopSchedule::new(at(0), GRACE, ROUTING_LAG);
    let admitted = schedule.admit(at(now), at(deadline));
    let since_signal = admitted.map(|deadline| deadline.since(at(0)).0.div_ceil(1_000));
    assert_eq!(since_signal, expected);
}

/// Guards against requests that are cut before the last sixth of the grace, in which an upstream that
/// is still at work excuses a cut.
#[rstest]
#[case(1)]
#[case(3)]
#[case(8)]
#[case(60)]
fn responses_are_due_in_the_last_sixth_of_the_grace(#[case] seconds: u64) {
    let grace = Span::from_secs(seconds);
    let schedule = StopSchedule::new(at(0), grace, ROUTING_LAG);
    let due = schedule.responses_due().since(at(0));
    assert!(due.0 > grace.0 - grace.0 / 6, "{due:?}");
    assert!(due < grace, "{due:?}");
}

/// Guards against requests that are accepted when the grace is over before the load balancer notices
/// the stop.
#[test]
fn grace_may_be_shorter_than_the_routing_lag() {
    let schedule = StopSchedule::new(at(0), Span::from_secs(1), ROUTING_LAG);
    let due = schedule.responses_due();
    assert_eq!(schedule.admit(at(500), at(10_000)), Some(due));
    assert_eq!(schedule.admit(at(1_000), at(1_001)), None);
}
