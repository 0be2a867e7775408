//! Home regions of requests.

use routebook::HomeRegions;
use rstest::rstest;

fn declared(regions: &[&str]) -> HomeRegions {
    HomeRegions::declared(regions.iter().map(|region| String::from(*region)).collect())
}

/// Guards against a constraint of the route or the customer that is lost beside the other, and against
/// two constraints without a common region that count as none.
#[rstest]
#[case::none(&[], &[], None)]
#[case::route(&["a", "b"], &[], Some(&["a", "b"][..]))]
#[case::customer(&[], &["a"], Some(&["a"][..]))]
#[case::both(&["a", "b", "c"], &["c", "a", "d"], Some(&["a", "c"][..]))]
#[case::disjoint(&["a"], &["b"], Some(&[][..]))]
fn check_intersection(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] expected: Option<&[&str]>,
) {
    let both = declared(route).and(&declared(customer));
    let regions: Option<Vec<&str>> =
        both.as_list().map(|regions| regions.iter().map(String::as_str).collect());
    assert_eq!(regions.as_deref(), expected);
    // What no region may run stays so beside a further constraint.
    let again = both.and(&HomeRegions::default()).and(&declared(&["a", "c"]));
    assert_eq!(again.as_list().is_some_and(<[String]>::is_empty), expected == Some(&[][..]));
}

/// Guards against a body that is sent to a node in another region, or in one that is not known.
#[rstest]
#[case::no_constraint(&[], Some("x"), None, true)]
#[case::no_constraint_region_unknown(&[], None, None, true)]
#[case::home(&["a"], Some("a"), Some("x"), true)]
#[case::caller(&["a"], Some("x"), Some("x"), true)]
#[case::other(&["a"], Some("b"), Some("x"), false)]
#[case::both_unknown(&["a"], None, None, false)]
#[case::caller_unknown(&["a"], Some("b"), None, false)]
fn check_nodes(
    #[case] home: &[&str],
    #[case] region: Option<&str>,
    #[case] caller_region: Option<&str>,
    #[case] allowed: bool,
) {
    assert_eq!(declared(home).allows_node(region, caller_region), allowed);
}
