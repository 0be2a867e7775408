//! Placement of queued items, without a network, and storage of results in a stand-in store.

use std::{rc::Rc, sync::Arc, time::Duration};

use base::{Moment, WallTime, WeightVersion};
use bytes::Bytes;
use platform::encode_keyed_record;
use protocol::encode_submission_record;
use rstest::rstest;
use site_stand_in::{SiteStore, StoreOptions};
use submissions::{ItemRank, ItemResult, SubmissionItem, SubmissionMetadata, SubmissionRecord};

use crate::gateway::{
    job::ItemJob,
    partitions::SUBMISSION_TOPIC,
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

/// Items of a submission whose results wait for the store, and the length of each text.
const WAITING_RESULTS: u32 = 288;
const TEXT_BYTES: usize = 29_000;

/// Pattern: the store is away while many items are resolved, so that their results wait and together
/// exceed the largest append.
///
/// Guards against results that are never stored, because the store refuses an append of all of them
/// again and again.
#[actix_rt::test]
async fn waiting_results_are_divided_among_appends() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let traffic = traffic(store.address());
    let follower = traffic.partitions.get(0).unwrap();
    let id = || String::from("s");
    let items = (0..WAITING_RESULTS).map(|index| SubmissionItem {
        id: format!("i{index}"),
        path: String::from("/a/1"),
        headers: Vec::new(),
        body: Bytes::new(),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    });
    let metadata = SubmissionMetadata {
        id: id(),
        customer: String::from("brewer"),
        host: String::from("h"),
        path: String::from("/a/"),
        model: String::from("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: WAITING_RESULTS,
    };
    let records = [
        SubmissionRecord::Opened(metadata),
        SubmissionRecord::Items { submission: id(), first: 0, items: items.collect() },
    ];
    let encoded = records.iter().map(|record| {
        let (key, value) = encode_submission_record(record);
        encode_keyed_record(&key, value.as_deref())
    });
    store.append(SUBMISSION_TOPIC, 0, encoded.collect());
    let results = (0..WAITING_RESULTS).map(|index| {
        let output = "x".repeat(TEXT_BYTES);
        (id(), ItemResult { output, ..ItemResult::errored(format!("i{index}")) })
    });
    traffic.items.state.borrow_mut().results.insert(0, results.collect());

    let storing = actix_rt::spawn(crate::gateway::item_records::store_results(Rc::clone(&traffic)));
    traffic.items.results_ready.notify_one();
    let mut changes = follower.subscribe();
    let is_stored = || {
        let listed = follower.table().get("s").map(submissions::SubmissionState::result_count);
        listed == Some(WAITING_RESULTS)
    };
    let stored = changes.wait_for(|_| is_stored());
    let _ =
        tokio::time::timeout(Duration::from_secs(30), stored).await.expect("results are stored");
    storing.abort();
    assert_eq!(store.refused_appends(), 0);
}
