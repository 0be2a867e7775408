use rstest::rstest;
use serde_json::json;

use super::{
    process::{cpu_seconds, least_squares, resident_mb},
    takeover::holds,
};

/// Guards against reading the wrong fields when the name of the process contains spaces or
/// parentheses.
#[test]
fn cpu_time_is_found_behind_any_process_name() {
    let stat = "7 (a) b (c)) S 1 7 7 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 3 0 100 1 1";
    assert_eq!(cpu_seconds(stat), Some(2.0));
    assert_eq!(cpu_seconds("7 (a) S 1"), None);
    assert_eq!(resident_mb("VmHWM:\t9 kB\nVmRSS:\t  1000 kB\n"), Some(1.024));
}

/// Guards against a fit that swaps slope and intercept, or divides by zero with one point.
#[rstest]
#[case(&[(5.0, 17.0), (10.0, 32.0), (20.0, 62.0)], (3.0, 2.0))]
#[case(&[(5.0, 7.0)], (0.0, 7.0))]
fn least_squares_fits_points_on_a_line(
    #[case] points: &[(f64, f64)],
    #[case] expected: (f64, f64),
) {
    let (slope, intercept) = least_squares(points);
    assert!((slope - expected.0).abs() < 1e-9 && (intercept - expected.1).abs() < 1e-9);
}

/// Guards against counting a claim of another scope, or one not held, as a takeover.
#[test]
fn only_a_held_lease_of_the_scope_counts() {
    let lease = |scope: &str, held| json!({ "leases": [{ "scope": scope, "held": held }] });
    assert!(holds(&lease("usage", Some(4)), "usage"));
    assert!(!holds(&lease("usage", None::<u64>), "usage"));
    assert!(!holds(&lease("fleet", Some(4)), "usage"));
    assert!(!holds(&json!(null), "usage"));
}
