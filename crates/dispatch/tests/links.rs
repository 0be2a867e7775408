//! Guards against a node that takes failing upstreams for lost links, or lost links for working
//! ones.

use base::{Moment, UpstreamKey};
use dispatch::{LinkState, LinkTracker};
use rstest::rstest;

const SERVICE: &str = "portal";

/// Guards against requests that are passed on because one upstream has failed.
#[rstest]
#[case::one_of_three(&[0], 3, LinkState::Working)]
#[case::one_of_three_twice(&[0, 0], 3, LinkState::Working)]
#[case::two_of_three(&[0, 1], 3, LinkState::Doubtful)]
#[case::the_only_one(&[0], 1, LinkState::Doubtful)]
fn several_failed_upstreams_make_links_doubtful(
    #[case] failed: &[u32],
    #[case] usable: usize,
    #[case] expected: LinkState,
) {
    let mut tracker = LinkTracker::default();
    for upstream in failed {
        tracker.record_failure(SERVICE, UpstreamKey(*upstream), Moment(10), usable);
    }
    assert_eq!(tracker.state(SERVICE), expected);
    assert_eq!(tracker.state("other"), LinkState::Working);
}

/// Guards against single failures that add up over time although upstreams respond.
#[test]
fn a_response_in_between_shows_that_links_work() {
    let mut tracker = LinkTracker::default();
    tracker.record_failure(SERVICE, UpstreamKey(0), Moment(10), 3);
    tracker.record_response(Moment(20), SERVICE);
    tracker.record_failure(SERVICE, UpstreamKey(1), Moment(30), 3);
    assert_eq!(tracker.state(SERVICE), LinkState::Working);
    // This silence began before the response of another upstream.
    assert!(!tracker.record_failure(SERVICE, UpstreamKey(2), Moment(15), 3));
    assert_eq!(tracker.state(SERVICE), LinkState::Working);
}

/// Guards against links that stay lost after a response or a new upstream.
#[test]
fn links_are_lost_only_while_nothing_responds() {
    let mut tracker = LinkTracker::default();
    assert!(!tracker.record_lost(SERVICE), "lost links without a failure");
    for upstream in 0..2 {
        tracker.record_failure(SERVICE, UpstreamKey(upstream), Moment(10), 3);
    }
    assert!(tracker.record_lost(SERVICE));
    assert!(!tracker.record_lost(SERVICE), "the loss is reported twice");
    tracker.forget_failures(SERVICE);
    assert_eq!(tracker.state(SERVICE), LinkState::Working, "a new upstream may be reached");
    for upstream in 0..2 {
        tracker.record_failure(SERVICE, UpstreamKey(upstream), Moment(10), 3);
    }
    assert!(tracker.record_lost(SERVICE));
    assert_eq!(tracker.record_response(Moment(20), SERVICE), LinkState::Lost);
    assert_eq!(tracker.state(SERVICE), LinkState::Working);
}
