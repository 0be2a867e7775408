//! Tests of the running totals per window and of the condition for reporting a window.

use base::{Span, WallTime};
use rstest::rstest;
use usage::{
    CustomerCounts, TotalsPhase, WindowAggregator, WindowNumber, WindowTotals, window_end,
    window_of,
};

const WINDOW: Span = Span::from_secs(5);

fn counts(pairs: &[(&str, u64)]) -> CustomerCounts {
    pairs.iter().map(|(name, count)| (String::from(*name), *count)).collect()
}

/// Guards against totals that count a request twice when they are written again, or that count a
/// request that did not run.
#[test]
fn only_windows_with_changed_totals_are_written() {
    let mut window_totals = WindowTotals::default();
    window_totals.add(WindowNumber(7), "brewer");
    window_totals.add(WindowNumber(7), "brewer");
    window_totals.add(WindowNumber(8), "studio");
    window_totals.remove(WindowNumber(7), "brewer");
    let changed = window_totals.take_changed();
    assert_eq!(
        changed,
        vec![
            (WindowNumber(7), counts(&[("brewer", 1)])),
            (WindowNumber(8), counts(&[("studio", 1)])),
        ]
    );
    assert!(window_totals.take_changed().is_empty());
    window_totals.mark_changed(WindowNumber(8));
    assert_eq!(window_totals.take_changed().len(), 1);
}

#[rstest]
#[case(0, 0)]
#[case(4_999, 0)]
#[case(5_000, 1)]
#[case(-3, 0)]
fn window_number_and_end_follow_from_the_time(#[case] millis: i64, #[case] window: u64) {
    assert_eq!(window_of(WallTime(millis), WINDOW), WindowNumber(window));
    assert_eq!(window_end(WindowNumber(window), WINDOW).0, (window as i64 + 1) * 5_000);
}

/// Pattern: the store is unavailable from 3 s after a window's end until after its report is due.
///
/// Guards against a report that is delayed although all nodes have closed the window, and that the
/// outage then prevents.
#[test]
fn window_is_closed_once_every_known_process_has_closed_it() {
    let mut aggregator = WindowAggregator::default();
    for process in [1, 2] {
        aggregator.insert(WindowNumber(6), process, counts(&[]), TotalsPhase::Closed);
    }
    aggregator.insert(WindowNumber(7), 1, counts(&[("brewer", 3)]), TotalsPhase::Closed);
    assert!(!aggregator.is_closed(WindowNumber(7)), "process 2 may still count");
    aggregator.insert(WindowNumber(7), 2, counts(&[("brewer", 1)]), TotalsPhase::Open);
    assert!(!aggregator.is_closed(WindowNumber(7)));
    aggregator.insert(
        WindowNumber(7),
        2,
        counts(&[("brewer", 2), ("studio", 1)]),
        TotalsPhase::Closed,
    );
    assert!(aggregator.is_closed(WindowNumber(7)));
    assert_eq!(aggregator.totals(WindowNumber(7)), counts(&[("brewer", 5), ("studio", 1)]));
}

/// Pattern: VMs are stopped as planned, one after the other, and the store is unavailable at the
/// latest time at which the report is due.
///
/// Guards against a report that waits for a process that has ended, and that the outage then
/// prevents.
#[test]
fn window_closes_without_a_process_that_has_ended() {
    let mut aggregator = WindowAggregator::default();
    for process in [1, 2] {
        aggregator.insert(WindowNumber(5), process, counts(&[]), TotalsPhase::Closed);
    }
    aggregator.insert(WindowNumber(6), 1, counts(&[]), TotalsPhase::Closed);
    assert!(!aggregator.is_closed(WindowNumber(6)));
    aggregator.insert(WindowNumber(6), 2, counts(&[("brewer", 1)]), TotalsPhase::Last);
    assert!(aggregator.is_closed(WindowNumber(6)));
    aggregator.insert(WindowNumber(7), 1, counts(&[("brewer", 2)]), TotalsPhase::Closed);
    assert!(aggregator.is_closed(WindowNumber(7)));
    assert_eq!(aggregator.totals(WindowNumber(6)), counts(&[("brewer", 1)]));
}

/// Guards against a window that counts as closed before any process is known.
#[test]
fn unknown_window_is_not_closed() {
    let mut aggregator = WindowAggregator::default();
    assert!(!aggregator.is_closed(WindowNumber(0)));
    aggregator.insert(WindowNumber(7), 1, counts(&[]), TotalsPhase::Closed);
    assert!(!aggregator.is_closed(WindowNumber(7)));
}

/// Guards against totals of windows reported long ago that are never deleted from memory and from
/// the store.
#[test]
fn forget_before_returns_the_removed_windows_and_processes() {
    let mut aggregator = WindowAggregator::default();
    aggregator.insert(WindowNumber(6), 1, counts(&[]), TotalsPhase::Closed);
    aggregator.insert(WindowNumber(6), 2, counts(&[]), TotalsPhase::Closed);
    aggregator.insert(WindowNumber(7), 1, counts(&[("brewer", 3)]), TotalsPhase::Closed);
    assert_eq!(aggregator.forget_before(WindowNumber(7)), vec![(WindowNumber(6), vec![1, 2])]);
    assert!(aggregator.forget_before(WindowNumber(7)).is_empty());
    assert_eq!(aggregator.totals(WindowNumber(7)), counts(&[("brewer", 3)]));
}
