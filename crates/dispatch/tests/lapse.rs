//! Removals of entries around outages of the store, as one node reads them.

use base::{Moment, Span};
use dispatch::{LapseWindow, RemovalCause};
use proptest::prelude::*;
use rstest::rstest;

const STABLE_TIME: Span = Span::from_secs(3);

/// Times of the deployments: a read waits up to 250 ms for changes, fails after 1,150 ms without a
/// response, and is repeated after 100 ms.
const POLL_WAIT_MS: u64 = 250;
const TIMEOUT_MS: u64 = 1_150;
const RETRY_MS: u64 = 100;

/// How calls fail in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutageKind {
    /// Calls get no response, also those that are sent shortly before.
    Silent,
    /// Calls fail at once.
    Refusing,
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

/// Follows the entries with one read after another until `end_ms`, through an outage. Calls `observe`
/// after each successful read.
fn follow(outage: (u64, u64, OutageKind), end_ms: u64, mut observe: impl FnMut(&LapseWindow, u64)) {
    let (from_ms, to_ms, kind) = outage;
    let mut window = LapseWindow::new(STABLE_TIME);
    let mut now_ms = 0;
    while now_ms < end_ms {
        let sent_ms = now_ms;
        let is_hit = sent_ms < to_ms && sent_ms + POLL_WAIT_MS > from_ms;
        if !is_hit {
            now_ms += POLL_WAIT_MS;
            window.record_success(at(now_ms), at(sent_ms));
            observe(&window, now_ms);
            continue;
        }
        now_ms = match kind {
            OutageKind::Silent => sent_ms + TIMEOUT_MS,
            OutageKind::Refusing => sent_ms.max(from_ms) + 1,
        };
        window.record_failure(at(sent_ms));
        now_ms += RETRY_MS;
    }
}

/// Pattern: entries lapse in an outage of some seconds, or upstreams leave after it without a report.
///
/// Guards against upstreams whose lapsed entries are taken for gone at once, against a removal that
/// counts as a lapse although the store has been well for `STABLE_TIME`, and against one that counts
/// as a lapse without an outage.
#[rstest]
#[case::silent(OutageKind::Silent, 10_000, 14_500)]
#[case::refusing(OutageKind::Refusing, 10_000, 14_500)]
#[case::long(OutageKind::Silent, 10_000, 40_000)]
#[case::phase(OutageKind::Silent, 10_130, 14_690)]
fn check_outage(#[case] kind: OutageKind, #[case] from_ms: u64, #[case] to_ms: u64) {
    let mut lapsed = 0;
    follow((from_ms, to_ms, kind), to_ms + 10_000, |window, now_ms| {
        match window.removal_cause(at(now_ms)) {
            RemovalCause::Lapsed { until } => {
                lapsed += 1;
                assert!(now_ms > to_ms, "a lapse at {now_ms} ms, before the outage ends");
                assert!(until <= at(to_ms) + STABLE_TIME, "a lapse at {now_ms} ms until {until:?}");
                assert!(until > at(now_ms));
            }
            cause => {
                assert_eq!(cause, RemovalCause::Left);
                let is_early = now_ms >= to_ms && now_ms < to_ms + 1_500;
                assert!(!is_early, "no lapse at {now_ms} ms, shortly after the outage");
            }
        }
    });
    assert!(lapsed > 0, "nothing counted as a lapse");
}

/// Guards against a lapse by a single failed call: no entry lapses in so short a time.
#[test]
fn short_failure_is_no_outage() {
    follow((10_000, 10_300, OutageKind::Refusing), 20_000, |window, now_ms| {
        assert_eq!(window.removal_cause(at(now_ms)), RemovalCause::Left, "at {now_ms} ms");
    });
}

/// Guards against a window that is never closed, or that opens before anything was read.
#[test]
fn node_without_reads_knows_of_no_lapse() {
    let mut window = LapseWindow::new(STABLE_TIME);
    assert_eq!(window.removal_cause(at(0)), RemovalCause::Left);
    window.record_failure(at(0));
    assert_eq!(window.removal_cause(at(5_000)), RemovalCause::Left);
}

proptest! {
    /// Guards against an upstream that is used once the store and the node have been without
    /// disturbance for `STABLE_TIME`, whatever the outage was and whenever the removal is read.
    #[test]
    fn no_lapse_outlasts_the_stable_time(
        from_ms in 1_000_u64..3_000,
        length_ms in 1_u64..9_000,
        kind in prop_oneof![Just(OutageKind::Silent), Just(OutageKind::Refusing)],
    ) {
        let to_ms = from_ms + length_ms;
        follow((from_ms, to_ms, kind), to_ms + 8_000, |window, now_ms| {
            if let RemovalCause::Lapsed { until } = window.removal_cause(at(now_ms)) {
                assert!(until <= at(to_ms) + STABLE_TIME, "until {until:?}, outage to {to_ms} ms");
            }
        });
    }
}
