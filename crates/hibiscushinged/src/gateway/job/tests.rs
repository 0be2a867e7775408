//! Home regions of items while the configuration changes.

use std::sync::Arc;

use base::{WallTime, WeightVersion};
use bytes::Bytes;
use routebook::ConfigIndex;
use rstest::rstest;
use serde_json::{Value, json};
use submissions::{SubmissionItem, SubmissionMetadata};

use super::ItemJob;

fn job() -> ItemJob {
    let metadata = SubmissionMetadata {
        id: String::from("s"),
        customer: String::from("brewer"),
        host: String::from("h"),
        path: String::from("/p/"),
        model: String::from("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: 1,
    };
    let item = SubmissionItem {
        id: String::from("i"),
        path: String::from("/p/1"),
        headers: Vec::new(),
        body: Bytes::new(),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    };
    ItemJob::new(0, &Arc::new(metadata), &Arc::new(item), false, None)
}

/// Returns a configuration with these customers. Its route has home regions if `route_home` is set.
fn config(customers: &Value, route_home: bool) -> ConfigIndex {
    let mut config = json!({"version": 1, "services": [], "tenants": customers,
        "routes": [{"name": "draft", "host": "h", "prefix": "/p/", "kind": "rollout",
            "deadline_ms": 10_000, "goal_ms": 500, "service": "drafts", "attempts": 3,
            "public": false}],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1,
            "idle_timeout_ms": 1}});
    if route_home {
        config["routes"][0]["home_regions"] = json!(["east", "south"]);
    }
    ConfigIndex::new(platform::decode_config(config.to_string().as_bytes()).unwrap())
}

/// Pattern: an item waits, and a later configuration lacks its customer for a moment.
///
/// Guards against an item that runs outside of the home regions of its customer meanwhile.
#[rstest]
#[case::missing(json!([]), false, Some(&["east"][..]))]
#[case::missing_beside_others(json!([{"name": "maltster", "keys": ["k"]}]), false, Some(&["east"][..]))]
#[case::missing_on_a_route_with_regions(json!([]), true, Some(&["east"][..]))]
#[case::changed(
    json!([{"name": "brewer", "keys": ["k"], "home_regions": ["south"]}]),
    false,
    Some(&["south"][..])
)]
#[case::lifted(json!([{"name": "brewer", "keys": ["k"]}]), false, None)]
fn item_keeps_the_home_regions_of_a_missing_customer(
    #[case] customers: Value,
    #[case] route_home: bool,
    #[case] expected: Option<&[&str]>,
) {
    let job = job();
    let brewer = json!([{"name": "brewer", "keys": ["k"], "home_regions": ["east"]}]);
    assert_eq!(job.home(&config(&brewer, false)).as_list(), Some(&[String::from("east")][..]));
    let home = job.home(&config(&customers, route_home));
    let regions: Option<Vec<&str>> =
        home.as_list().map(|regions| regions.iter().map(String::as_str).collect());
    assert_eq!(regions.as_deref(), expected);
}
