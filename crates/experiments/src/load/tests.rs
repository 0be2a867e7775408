use super::{ArrivalPlan, body};

const PLAN: ArrivalPlan =
    ArrivalPlan { seed: 5, rate: 500, seconds: 20, sessions: 4, abandoned_percent: 10 };

/// Guards against arrivals that differ between runs with one seed, miss the rate, or abandon
/// another percentage of requests than stated.
#[test]
fn arrivals_depend_on_the_seed_only_and_keep_the_rate() {
    let arrivals = PLAN.arrivals();
    assert_eq!(arrivals, PLAN.arrivals());
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.due));
    assert!((9_500..10_500).contains(&arrivals.len()), "{}", arrivals.len());
    let abandoned = arrivals.iter().filter(|arrival| arrival.abandoned_after.is_some()).count();
    assert!((800..1_200).contains(&abandoned), "{abandoned}");
    assert!((0..4).all(|session| arrivals.iter().any(|arrival| arrival.session == session)));
}

/// Guards against sessions whose requests do not share a prefix, which would hide prefix affinity.
#[test]
fn requests_of_a_session_share_a_prompt_prefix() {
    let common_prefix = |left: &str, right: &str| {
        left.bytes().zip(right.bytes()).take_while(|(left, right)| left == right).count()
    };
    assert!(common_prefix(&body(1, 7), &body(1, 8)) > 1_000);
    assert!(common_prefix(&body(1, 7), &body(2, 7)) < 30);
}
