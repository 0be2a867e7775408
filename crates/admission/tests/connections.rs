//! Which connections are closed when a limit is reached.

use admission::{CloseReason, ConnectionActivity as Activity, ConnectionLimits, ConnectionTable};
use rstest::rstest;

/// Guards against closing a connection that is in use or holds little in place of one that holds most.
#[rstest]
#[case::bytes_of_blocked_first(
    &[(Activity::Active, 90), (Activity::Blocked, 5), (Activity::Blocked, 30)],
    Some((2, CloseReason::Bytes))
)]
#[case::bytes_of_active(&[(Activity::Active, 90), (Activity::Active, 20)], Some((0, CloseReason::Bytes)))]
#[case::single_large_response(&[(Activity::Blocked, 900), (Activity::Active, 0)], None)]
#[case::within_limits(&[(Activity::Blocked, 50), (Activity::Active, 50), (Activity::Idle, 0)], None)]
#[case::longest_idle(
    &[(Activity::Active, 0), (Activity::Idle, 0), (Activity::Idle, 0), (Activity::Blocked, 9)],
    Some((1, CloseReason::Connections))
)]
#[case::blocked_if_none_is_idle(
    &[(Activity::Active, 40), (Activity::Blocked, 7), (Activity::Blocked, 9), (Activity::Active, 0)],
    Some((2, CloseReason::Connections))
)]
#[case::least_recent_progress(
    &[(Activity::Active, 9), (Activity::Active, 0), (Activity::Active, 0), (Activity::Active, 0)],
    Some((0, CloseReason::Connections))
)]
fn check_reclaimed(
    #[case] connections: &[(Activity, usize)],
    #[case] expected: Option<(usize, CloseReason)>,
) {
    let mut table = ConnectionTable::new(ConnectionLimits { max_connections: 3, max_bytes: 100 });
    let numbers = connections.iter().map(|_| table.open()).collect::<Vec<_>>();
    for (number, (activity, bytes)) in numbers.iter().zip(connections) {
        table.update(*number, *activity, *bytes);
    }
    let reclaimed = table.reclaim();
    let expected = expected.map(|(index, reason)| (numbers[index], reason));
    assert_eq!(reclaimed, expected);
    assert_eq!(table.reclaim(), None, "one connection is enough");
}

/// Guards against bytes that stay counted after their connection has been closed.
#[test]
fn closed_connections_hold_nothing() {
    let mut table = ConnectionTable::new(ConnectionLimits { max_connections: 3, max_bytes: 100 });
    let number = table.open();
    table.update(number, Activity::Blocked, 60);
    table.update(number, Activity::Blocked, 40);
    assert_eq!(table.held_bytes(), 40);
    table.close(number);
    table.update(number, Activity::Active, 5);
    assert_eq!((table.held_bytes(), table.len()), (0, 0));
}
