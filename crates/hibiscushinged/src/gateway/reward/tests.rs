//! Reward calls while the configuration changes.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use base::{WallTime, WeightVersion};
use bytes::Bytes;
use dispatch::UpstreamEntry;
use rstest::rstest;
use serde_json::json;
use submissions::{GenerationEvent, ItemState, RewardCall, SubmissionItem, SubmissionMetadata};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::score_and_resolve;
use crate::gateway::{
    job::ItemJob,
    test_support::{traffic, upstream_entry},
    traffic_state::TrafficState,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a configuration is in force that lacks something. Several calls fit into it.
const CHANGE_TIME: Duration = Duration::from_millis(500);

/// A service that answers the first calls with status 500 and scores the others.
struct ScoreService {
    calls: Rc<Cell<u32>>,
}

impl ScoreService {
    async fn start(traffic: &TrafficState, failures: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let entry =
            UpstreamEntry { service: String::from("portal"), ..upstream_entry("p", address) };
        traffic.balancer.borrow_mut().update(entry);
        let calls = Rc::new(Cell::new(0));
        let counted = Rc::clone(&calls);
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                counted.set(counted.get() + 1);
                let status = if counted.get() <= failures { "500 Failed" } else { "200 OK" };
                let response = format!(
                    "HTTP/1.1 {status}\r\nx-request-id: call\r\nx-response-stamp: stamp\r\n\
                     content-length: 0\r\nconnection: close\r\n\r\n"
                );
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
        Self { calls }
    }
}

/// Makes a configuration current. Its route of the reward calls has this number of attempts, or is
/// missing, or has no service that runs it.
fn publish(traffic: &TrafficState, version: u64, score_route: Option<(u32, &str)>) {
    let mut routes = vec![json!({"name": "draft", "host": "h", "prefix": "/draft/",
        "kind": "rollout", "deadline_ms": 10_000, "goal_ms": 500, "service": "drafts",
        "attempts": 3, "public": false})];
    if let Some((attempts, service)) = score_route {
        routes.push(json!({"name": "score", "host": "h", "prefix": "/score/", "kind": "safe",
            "deadline_ms": 2_000, "goal_ms": 400, "attempts": attempts, "public": true,
            "split": [{"service": service, "weight": u32::from(!service.is_empty())}]}));
    }
    let config = json!({"version": version, "routes": routes, "services": [],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1,
            "idle_timeout_ms": 1},
        "tenants": [{"name": "brewer", "keys": ["k"]}]});
    let config = platform::decode_config(config.to_string().as_bytes()).unwrap();
    traffic.node.publish_config(Some(Arc::new(routebook::ConfigIndex::new(config))));
}

/// Adds the job of an item whose text is complete and has to be scored.
fn complete_item(traffic: &TrafficState) -> Rc<ItemJob> {
    let metadata = SubmissionMetadata {
        id: String::from("s"),
        customer: String::from("brewer"),
        host: String::from("h"),
        path: String::from("/draft/"),
        model: String::from("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: 1,
    };
    let reward = RewardCall {
        id: String::from("call"),
        host: String::from("h"),
        path: String::from("/score/1"),
        body: Bytes::new(),
    };
    let item = SubmissionItem {
        id: String::from("i"),
        path: String::from("/draft/1"),
        headers: Vec::new(),
        body: Bytes::new(),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: Some(reward),
    };
    let job = Rc::new(ItemJob::new(0, &Arc::new(metadata), &Arc::new(item), false, None));
    {
        let text = &mut job.progress.borrow_mut().text;
        text.begin_run("v1", Some(WeightVersion(1))).unwrap();
        let event = GenerationEvent { id: 1, data: String::from("text"), version: None };
        text.push(&event).unwrap();
    }
    traffic.items.state.borrow_mut().jobs.insert(&job);
    job
}

/// Returns the state of the item's result, if it has one.
fn result_state(traffic: &TrafficState) -> Option<ItemState> {
    let state = traffic.items.state.borrow();
    state.results.get(&0).and_then(|results| results.first()).map(|(_, result)| result.state)
}

/// Guards against an item that is resolved as errored although its text is complete, because one
/// configuration has no route or no service for its reward call.
#[rstest]
#[case::no_route(None)]
#[case::no_service(Some((3, "")))]
#[actix_rt::test]
async fn item_waits_for_the_route_of_its_reward_call(#[case] missing: Option<(u32, &str)>) {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let service = ScoreService::start(&traffic, 0).await;
    publish(&traffic, 1, missing);
    let job = complete_item(&traffic);
    let scoring = async {
        score_and_resolve(&traffic, &job).await;
        result_state(&traffic)
    };
    let change = async {
        tokio::time::sleep(CHANGE_TIME).await;
        assert_eq!(result_state(&traffic), None, "the item was resolved without a route");
        publish(&traffic, 2, Some((3, "portal")));
    };
    let (state, ()) =
        tokio::time::timeout(TEST_TIMEOUT, async { tokio::join!(scoring, change) }).await.unwrap();
    assert_eq!(state, Some(ItemState::Finished));
    assert_eq!(service.calls.get(), 1);
}

/// Guards against an item that is resolved as errored after fewer failed reward calls than its route
/// allows, because one configuration lacks the route or names a lower limit.
#[rstest]
#[case::no_route(None)]
#[case::lower_limit(Some((1, "portal")))]
#[actix_rt::test]
async fn failed_reward_calls_count_against_the_highest_limit(#[case] changed: Option<(u32, &str)>) {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let service = ScoreService::start(&traffic, 2).await;
    publish(&traffic, 1, Some((3, "portal")));
    let job = complete_item(&traffic);
    let scoring = async {
        score_and_resolve(&traffic, &job).await;
        result_state(&traffic)
    };
    let change = async {
        // The first call is in progress: it has been sent with the first poll of the other future.
        publish(&traffic, 2, changed);
        tokio::time::sleep(CHANGE_TIME).await;
        publish(&traffic, 3, Some((3, "portal")));
    };
    let (state, ()) =
        tokio::time::timeout(TEST_TIMEOUT, async { tokio::join!(scoring, change) }).await.unwrap();
    assert_eq!(state, Some(ItemState::Finished));
    assert_eq!(service.calls.get(), 3);
}

/// Guards against an item whose reward call always fails and that is never given up.
#[actix_rt::test]
async fn item_is_errored_after_the_attempts_of_its_reward_call() {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let service = ScoreService::start(&traffic, u32::MAX).await;
    publish(&traffic, 1, Some((3, "portal")));
    let job = complete_item(&traffic);
    tokio::time::timeout(TEST_TIMEOUT, score_and_resolve(&traffic, &job)).await.unwrap();
    assert_eq!(result_state(&traffic), Some(ItemState::Errored));
    assert!(service.calls.get() >= 3, "{} calls", service.calls.get());
}
