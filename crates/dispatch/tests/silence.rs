//! Guards against idle connections that are used although they are probably dead, and against sound
//! ones that are given up because an upstream is slow.

use base::{Moment, Span};
use dispatch::{ConnectionAge, SilenceTracker};
use rstest::rstest;

const LIMIT: Span = Span(100);

const OLD: ConnectionAge = ConnectionAge::Reused(Moment(5));

/// Begins an exchange with an upstream at 1,000, which waits for bytes from then on.
fn waiting(
    tracker: &mut SilenceTracker<u32>,
    upstream: u32,
    age: ConnectionAge,
) -> dispatch::ExchangeKey<u32> {
    let exchange = tracker.begin(Moment(1_000), upstream, age, LIMIT);
    tracker.record_wait(Moment(1_000), exchange);
    exchange
}

/// Guards against dead connections that are used while the exchange that shows them goes on, and
/// against doubt about the connections to other upstreams.
#[rstest]
#[case::before_the_limit(OLD, 1_099, 0)]
#[case::from_the_limit_on(OLD, 1_100, 1_000)]
#[case::new_connection(ConnectionAge::New, 5_000, 0)]
fn silence_of_a_connection_that_worked_casts_doubt(
    #[case] age: ConnectionAge,
    #[case] now: u64,
    #[case] trusted_since: u64,
) {
    let mut tracker = SilenceTracker::default();
    waiting(&mut tracker, 1, age);
    assert_eq!(tracker.trusted_since(Moment(now), 1), Moment(trusted_since));
    assert_eq!(tracker.trusted_since(Moment(now), 2), Moment(0));
}

/// Guards against connections to a slow upstream that are given up although it responds in the end.
#[test]
fn doubt_ends_when_the_exchange_goes_on() {
    let mut tracker = SilenceTracker::default();
    let exchange = waiting(&mut tracker, 1, OLD);
    assert_eq!(tracker.trusted_since(Moment(1_200), 1), Moment(1_000));
    tracker.record_bytes(Moment(1_250), exchange);
    assert_eq!(tracker.trusted_since(Moment(1_300), 1), Moment(0));
    tracker.finish(exchange);
    assert_eq!(tracker.trusted_since(Moment(9_000), 1), Moment(0));
}

/// Guards against silence that is missed because it begins in the middle of a response.
#[test]
fn silence_after_the_first_bytes_casts_doubt() {
    let mut tracker = SilenceTracker::default();
    let exchange = waiting(&mut tracker, 1, ConnectionAge::New);
    tracker.record_bytes(Moment(1_050), exchange);
    tracker.record_wait(Moment(1_060), exchange);
    assert_eq!(tracker.trusted_since(Moment(1_160), 1), Moment(1_060));
}

/// Guards against a slow caller, from whom this node reads no faster, being taken for a dead
/// connection.
#[test]
fn no_silence_while_nothing_is_awaited() {
    let mut tracker = SilenceTracker::default();
    let exchange = waiting(&mut tracker, 1, OLD);
    tracker.record_bytes(Moment(1_050), exchange);
    assert_eq!(tracker.trusted_since(Moment(5_000), 1), Moment(0));
    assert_eq!(tracker.give_up(Moment(5_000), exchange), None);
}

/// Guards against dead connections that are used again once the exchange that has shown them is over,
/// and against doubt by callers who leave early.
#[rstest]
#[case::left_early(1_099, None)]
#[case::after_silence(1_100, Some(Moment(1_000)))]
fn doubt_lasts_after_a_silent_exchange_is_given_up(
    #[case] given_up_at: u64,
    #[case] since: Option<Moment>,
) {
    let mut tracker = SilenceTracker::default();
    let exchange = waiting(&mut tracker, 1, OLD);
    assert_eq!(tracker.give_up(Moment(given_up_at), exchange), since);
    let trusted_since = since.unwrap_or(Moment(0));
    assert_eq!(tracker.trusted_since(Moment(9_000), 1), trusted_since);
    assert_eq!(tracker.give_up(Moment(9_000), exchange), None, "it is given up twice");
}

/// Guards against doubt about connections of a reset one: a reset shows by itself.
#[test]
fn broken_exchange_casts_no_doubt() {
    let mut tracker = SilenceTracker::default();
    let exchange = waiting(&mut tracker, 1, OLD);
    tracker.finish(exchange);
    assert_eq!(tracker.trusted_since(Moment(9_000), 1), Moment(0));
}

/// Pattern: an engine with a long queue delivers to some of its streams, and another one waits.
///
/// Guards against streams that lose their places in queues, and against ones that wait on a dead
/// connection because new connections work.
#[rstest]
#[case::nothing_else(None, true)]
#[case::equally_old_connection_delivers(Some(OLD), false)]
#[case::newer_connection_delivers(Some(ConnectionAge::Reused(Moment(1_020))), true)]
fn connection_is_left_only_if_no_older_one_delivers(
    #[case] other: Option<ConnectionAge>,
    #[case] expected: bool,
) {
    let mut tracker = SilenceTracker::default();
    let sent_at = Moment(1_000);
    waiting(&mut tracker, 1, OLD);
    if let Some(age) = other {
        let exchange = tracker.begin(Moment(1_030), 1, age, LIMIT);
        tracker.record_wait(Moment(1_030), exchange);
        tracker.record_bytes(Moment(1_080), exchange);
    }
    assert!(!tracker.is_alone_silent(Moment(1_090), 1, sent_at), "the limit has not passed");
    assert_eq!(tracker.is_alone_silent(Moment(1_200), 1, sent_at), expected);
}

/// Guards against a second request that waits on a dead connection, which is taken for one that
/// delivers.
#[test]
fn two_silent_exchanges_do_not_vouch_for_each_other() {
    let mut tracker = SilenceTracker::default();
    waiting(&mut tracker, 1, OLD);
    let second = tracker.begin(Moment(1_050), 1, OLD, LIMIT);
    tracker.record_wait(Moment(1_050), second);
    assert!(tracker.is_alone_silent(Moment(1_200), 1, Moment(1_000)));
    assert!(tracker.is_alone_silent(Moment(1_200), 1, Moment(1_050)));
}
