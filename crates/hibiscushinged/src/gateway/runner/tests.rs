//! Placement of queued items, without a network.

use std::{rc::Rc, sync::Arc};

use base::{Moment, WallTime, WeightVersion};
use bytes::Bytes;
use rstest::rstest;
use submissions::{ItemRank, SubmissionItem, SubmissionMetadata};

use crate::gateway::{
    job::ItemJob,
    test_support::{traffic, upstream_entry},
    traffic_state::TrafficState,
};

const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"a","host":"h","prefix":"/a/","kind":"rollout","deadline_ms":10000,"goal_ms":500,
     "service":"cheap","public":false},
    {"name":"b","host":"h","prefix":"/b/","kind":"rollout","deadline_ms":10000,"goal_ms":500,
     "service":"drafts","public":false}],
    "services":[],"limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,
    "idle_timeout_ms":1},"tenants":[{"name":"brewer","keys":["k"]}]}"#;

/// Queues an item of a submission for model `m` to the route of this path.
fn enqueue(traffic: &TrafficState, path: &str, due: u64) -> Rc<ItemJob> {
    let metadata = SubmissionMetadata {
        id: String::from(path),
        customer: String::from("brewer"),
        host: String::from("h"),
        path: String::from(path),
        model: String::from("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: 1,
    };
    let item = SubmissionItem {
        id: String::from("i"),
        path: format!("{path}1"),
        headers: Vec::new(),
        body: Bytes::new(),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    };
    let job = Rc::new(ItemJob::new(0, &Arc::new(metadata), &Arc::new(item), false, None));
    let mut state = traffic.items.state.borrow_mut();
    state.jobs.insert(&job);
    state.queue.push(Moment(due), ItemRank::FIRST, Rc::clone(&job));
    job
}

/// Pattern: two services run the same model, and all engines of one of them are reclaimed.
///
/// Guards against skipping the items of the other service for the rest of the round, so that its
/// free engines stay idle while items of the first one wait.
#[rstest]
#[case::before(1, 2)]
#[case::after(2, 1)]
#[actix_rt::test]
async fn check_service_without_engines(#[case] cheap_due: u64, #[case] drafts_due: u64) {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let config = platform::decode_config(CONFIG.as_bytes()).unwrap();
    traffic.node.publish_config(Some(Arc::new(routebook::ConfigIndex::new(config))));
    let entry = upstream_entry("e", "127.0.0.1:1".parse().unwrap());
    traffic.balancer.borrow_mut().update(entry);
    let waiting = enqueue(&traffic, "/a/", cheap_due);
    let placed = enqueue(&traffic, "/b/", drafts_due);
    super::place(&traffic);
    assert!(waiting.run.borrow().is_none(), "no engine of the service is left");
    assert!(placed.run.borrow().is_some(), "an engine of the other service is free");
}
