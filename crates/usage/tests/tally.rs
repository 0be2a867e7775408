//! Running totals by window, and when a window may be reported.

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

/// Guards against a repeated write that bills a request twice, and a write that bills one that did not
/// run.
#[test]
fn totals_are_written_again_only_when_they_change() {
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
fn check_window(#[case] millis: i64, #[case] window: u64) {
    assert_eq!(window_of(WallTime(millis), WINDOW), WindowNumber(window));
    assert_eq!(window_end(WindowNumber(window), WINDOW).0, (window as i64 + 1) * 5_000);
}

/// Pattern: the store is away from 3 s after a window's end until after its report is due.
///
/// Guards against a report that waits for nodes which have all closed the window already (trouble-2 of
/// derwent-sleeves missed the window before an outage).
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

/// Pattern: machines are stopped as planned, one after the other, and the store is away when the report is
/// due at the latest.
///
/// Guards against a report that waits for a process which has ended (trouble-2 of derwent-sleeves missed
/// the window before an outage).
#[test]
fn ended_process_is_not_waited_for() {
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

/// Guards against totals that are kept, here and in the store, for windows long reported.
#[test]
fn old_windows_are_named_for_deletion() {
    let mut aggregator = WindowAggregator::default();
    aggregator.insert(WindowNumber(6), 1, counts(&[]), TotalsPhase::Closed);
    aggregator.insert(WindowNumber(6), 2, counts(&[]), TotalsPhase::Closed);
    aggregator.insert(WindowNumber(7), 1, counts(&[("brewer", 3)]), TotalsPhase::Closed);
    assert_eq!(aggregator.forget_before(WindowNumber(7)), vec![(WindowNumber(6), vec![1, 2])]);
    assert!(aggregator.forget_before(WindowNumber(7)).is_empty());
    assert_eq!(aggregator.totals(WindowNumber(7)), counts(&[("brewer", 3)]));
}
