//! Checks of [`KeySet`], [`IsolationTracker`] and [`SnapshotSchedule`].

use base::{KeyDigest, LogOffset, Moment, Span};
use configuration::{
    ConfigVersion, IsolationPolicy, IsolationStatus, IsolationTracker, KeyCheck, KeySet,
    SnapshotSchedule,
};
use rstest::rstest;

fn secs(seconds: u64) -> Moment {
    Moment(0) + Span::from_secs(seconds)
}

/// Guards against a stream that continues with a key that is withdrawn or now belongs to another
/// customer.
#[test]
fn running_stream_loses_a_withdrawn_key() {
    let (kept, moved, withdrawn) = (KeyDigest::of("a"), KeyDigest::of("b"), KeyDigest::of("c"));
    let before = [(kept, "portal"), (moved, "portal"), (withdrawn, "portal"), (kept, "portal")];
    let before = KeySet::build(ConfigVersion(1), before).unwrap();
    let after = KeySet::build(ConfigVersion(2), [(kept, "portal"), (moved, "trainer")]).unwrap();
    assert!(after.supersedes(before.version()) && !before.supersedes(after.version()));
    assert_eq!((before.len(), before.customer(&withdrawn)), (3, Some("portal")));
    assert_eq!(after.check(&kept, "portal"), KeyCheck::Valid);
    assert_eq!(after.check(&moved, "portal"), KeyCheck::Withdrawn);
    assert_eq!(after.check(&withdrawn, "portal"), KeyCheck::Withdrawn);
    assert!(KeySet::build(ConfigVersion(3), [(kept, "portal"), (kept, "trainer")]).is_err());
}

/// Guards against an isolated node that refuses keys too early, or accepts a withdrawn key for too
/// long.
#[rstest]
#[case(IsolationPolicy::default(), 9, IsolationStatus::Connected)]
#[case(IsolationPolicy::default(), 10, IsolationStatus::ServingUntil(secs(300)))]
#[case(IsolationPolicy::default(), 300, IsolationStatus::Refusing)]
#[case(IsolationPolicy::Refuse, 9, IsolationStatus::Connected)]
#[case(IsolationPolicy::Refuse, 10, IsolationStatus::Refusing)]
fn isolated_node_accepts_keys_for_the_configured_time(
    #[case] policy: IsolationPolicy,
    #[case] silence: u64,
    #[case] expected: IsolationStatus,
) {
    let state = IsolationTracker::new(policy, Moment(0));
    assert_eq!(state.status(secs(silence)), expected);
}

/// Guards against two peers in an isolated zone that report each other's contact as fresh without
/// end.
#[test]
fn reported_contact_only_ages() {
    let mut nodes = [0, 1].map(|_| IsolationTracker::new(IsolationPolicy::default(), Moment(0)));
    for second in 1..=300 {
        let ages = nodes.clone().map(|node| node.contact_age(secs(second)));
        let received = secs(second) + Span::from_millis(400);
        nodes[0].note_peer_contact(received, ages[1]);
        nodes[1].note_peer_contact(received, ages[0]);
    }
    assert_eq!(nodes[0].status(secs(300)), IsolationStatus::Refusing);
}

/// Guards against an idle stream whose last snapshot is dropped by retention, and against needless
/// appends.
#[test]
fn snapshot_is_due_before_retention() {
    let mut schedule = SnapshotSchedule::new(Span::from_secs(100), Span::from_secs(5));
    assert!(!schedule.poll(secs(1_000)));
    schedule.note_change(Some(secs(1)));
    schedule.note_change(Some(secs(90)));
    assert!(!schedule.poll(secs(100)));
    assert!(schedule.poll(secs(101)) && !schedule.poll(secs(102)) && schedule.poll(secs(106)));
    schedule.note_snapshot(LogOffset(7), Some(secs(107)));
    assert_eq!(schedule.next_deadline(), Some(secs(207)));
    schedule.note_snapshot(LogOffset(9), None);
    assert!(
        schedule.poll(secs(110)),
        "a snapshot that was read while catching up has an unknown age"
    );
    schedule.note_snapshot(LogOffset(11), Some(secs(111)));
    schedule.note_retention(LogOffset(12));
    assert!(schedule.poll(secs(112)));
}
