//! Checks the usage accounting of the kill schedules.

use rstest::rstest;

use super::world::{KillKind, ReplicaUse, run_schedule};

/// Guards against usage that is billed twice, lost beyond the stated bound, or billed without an
/// answered request.
#[rstest]
#[case(KillKind::None)]
#[case(KillKind::Single)]
#[case(KillKind::Double)]
#[case(KillKind::Zone)]
fn loss_stays_within_the_bound(#[case] kind: KillKind) {
    for seed in 1..=10 {
        let result = run_schedule(kind, ReplicaUse::OtherZone, seed);
        assert!(result.answered > 0);
        let violations = (result.lost_beyond_bound, result.billed_twice, result.billed_unanswered);
        assert_eq!(violations, (0, 0, 0), "seed {seed}: {result:?}");
        assert_eq!(result, run_schedule(kind, ReplicaUse::OtherZone, seed), "seed {seed}");
    }
}

/// Guards against schedules whose kills have no effect: without replica holders they must lose more
/// than twice as much.
#[test]
fn nodes_without_replica_holders_lose_more() {
    let lost = |replica_use| {
        (1..=10).map(|seed| run_schedule(KillKind::Single, replica_use, seed).lost()).sum::<u64>()
    };
    let (with, without) = (lost(ReplicaUse::OtherZone), lost(ReplicaUse::Unused));
    assert!(without > 2 * with, "{without} lost without replica holders, {with} with them");
}
