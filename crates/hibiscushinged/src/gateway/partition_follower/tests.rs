//! Partition caches with a stand-in store.

use std::sync::Arc;

use base::{WallTime, WeightVersion};
use platform::encode_keyed_record;
use protocol::encode_submission_record;
use site_stand_in::{SiteStore, StoreOptions};
use submissions::{ItemResult, RewardCall, SubmissionItem, SubmissionMetadata, SubmissionRecord};

use crate::gateway::{
    partitions::SUBMISSION_TOPIC,
    test_support::{traffic, upstream_entry},
};

const ITEMS: u32 = 40;

fn bytes(record: &SubmissionRecord) -> bytes::Bytes {
    let (key, value) = encode_submission_record(record);
    encode_keyed_record(&key, value.as_deref())
}

fn submission() -> Vec<SubmissionRecord> {
    submission_with("s", ITEMS)
}

/// Returns the records of a submission with this identifier.
fn submission_with(id: &str, item_count: u32) -> Vec<SubmissionRecord> {
    let metadata = SubmissionMetadata {
        id: String::from(id),
        customer: String::from("brewer"),
        host: String::from("h"),
        path: String::from("/p/"),
        model: String::from("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count,
    };
    let items = (0..item_count).map(|index| SubmissionItem {
        id: format!("i{index}"),
        path: String::from("/p/1"),
        headers: Vec::new(),
        body: bytes::Bytes::from_static(&[7; 200]),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    });
    let items =
        SubmissionRecord::Items { submission: String::from(id), first: 0, items: items.collect() };
    vec![SubmissionRecord::Opened(metadata), items]
}

/// Guards against treating the cache as complete after one response of the store, which holds a
/// bounded number of bytes. Requests for a submission beyond it got status 404 (seed 251781471259).
#[actix_rt::test]
async fn cache_is_read_to_the_end_of_the_partition() {
    let options = StoreOptions { read_bytes: 2_000, ..Default::default() };
    let store = SiteStore::start(options).unwrap();
    let traffic = traffic(store.address());
    let follower = traffic.partitions.get(0).unwrap();
    follower.load(&traffic.store, "s").await.unwrap();

    store.append(SUBMISSION_TOPIC, 0, submission().iter().map(bytes).collect());
    let results = (0..ITEMS).map(|position| {
        let result = ItemResult::errored(format!("i{position}"));
        bytes(&SubmissionRecord::Result { submission: String::from("s"), position, result })
    });
    store.append(SUBMISSION_TOPIC, 0, results.collect());

    follower.catch_up(&traffic.store).await.unwrap();
    let table = follower.table();
    assert_eq!(table.get("s").map(submissions::SubmissionState::result_count), Some(ITEMS));
}

/// Guards against a cache that stays behind after the store has dropped the records that it needs
/// to catch up.
#[actix_rt::test]
async fn dropped_records_are_reloaded_by_key() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let traffic = traffic(store.address());
    let follower = traffic.partitions.get(0).unwrap();
    follower.load(&traffic.store, "s").await.unwrap();
    store.append(SUBMISSION_TOPIC, 0, submission().iter().map(bytes).collect());
    store.drop_history();
    follower.catch_up(&traffic.store).await.unwrap();
    assert!(!follower.cache().is_loaded("s"));
    follower.load(&traffic.store, "s").await.unwrap();
    assert!(follower.table().get("s").is_some());
}

/// Pattern: a partition of many large submissions, and a small node that is asked for one of them.
///
/// Guards against a node that reads the whole partition first: nodes with 0.09 core needed longer
/// for it than callers wait, and kept responding with status 503.
#[actix_rt::test]
async fn one_submission_is_read_without_the_others() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let traffic = traffic(store.address());
    let follower = traffic.partitions.get(0).unwrap();
    for other in ["a", "s1", "z"] {
        let records = submission_with(other, ITEMS);
        store.append(SUBMISSION_TOPIC, 0, records.iter().map(bytes).collect());
    }
    store.append(SUBMISSION_TOPIC, 0, submission().iter().map(bytes).collect());
    follower.load(&traffic.store, "s").await.unwrap();
    let table = follower.table();
    assert!(table.get("s").is_some());
    assert_eq!(table.iter().count(), 1);
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"draft","host":"h","prefix":"/p/",
    "kind":"rollout","deadline_ms":10000,"goal_ms":500,"service":"drafts","public":false}],
    "services":[],"limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,
    "idle_timeout_ms":1},"tenants":[{"name":"brewer","keys":["k"]}]}"#;

/// Pattern: a node that was cut off from the store is assigned a partition again whose submissions
/// have ended meanwhile.
///
/// Guards against a new owner that starts items of an ended submission from its outdated cache
/// (seed 656040433454). The last two cases repeat this with a store that has dropped the records of
/// the end, so that the cache cannot catch up and must be reset.
#[rstest::rstest]
#[case::ended(true, false, 0)]
#[case::open(false, false, ITEMS as usize)]
#[case::ended_and_forgotten(true, true, 0)]
#[case::open_and_forgotten(false, true, ITEMS as usize)]
#[actix_rt::test]
async fn check_new_owner(#[case] ended: bool, #[case] forgotten: bool, #[case] waiting: usize) {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let traffic = traffic(store.address());
    let config = platform::decode_config(CONFIG.as_bytes()).unwrap();
    traffic.node.config.store(Some(Arc::new(routebook::ConfigIndex::new(config))));
    let follower = traffic.partitions.get(0).unwrap();
    follower.load(&traffic.store, "s").await.unwrap();
    let mut records = submission();
    records.push(SubmissionRecord::OpenMarkerSet { submission: String::from("s") });
    store.append(SUBMISSION_TOPIC, 0, records.iter().map(bytes).collect());
    follower.catch_up(&traffic.store).await.unwrap();
    if ended {
        let id = || String::from("s");
        let records = [
            SubmissionRecord::Ended { submission: id() },
            SubmissionRecord::OpenMarkerCleared { submission: id() },
        ];
        store.append(SUBMISSION_TOPIC, 0, records.iter().map(bytes).collect());
    }
    if forgotten {
        // A record is appended in both cases, so that the cache is behind what the store drops.
        let other = SubmissionRecord::OpenMarkerCleared { submission: String::from("other") };
        store.append(SUBMISSION_TOPIC, 0, vec![bytes(&other)]);
        store.drop_history();
    }

    traffic.partitions.set_owned(&std::collections::BTreeSet::from([0]));
    crate::gateway::runner::watch(&traffic, follower);
    tokio::task::yield_now().await;
    assert_eq!(
        traffic.items.waiting(),
        0,
        "no item is queued before the scan of the partition is complete"
    );

    let mut changes = follower.subscribe();
    follower.follow(&traffic.store);
    changes.wait_for(|_| follower.cache().is_scanned()).await.unwrap();
    tokio::task::yield_now().await;
    assert_eq!(traffic.items.waiting(), waiting);
}

/// What a node learns after its start, in any order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    Configuration,
    Engine,
    Partition,
    Submission,
}

const ARRIVALS: [Arrival; 4] =
    [Arrival::Configuration, Arrival::Engine, Arrival::Partition, Arrival::Submission];

/// Pattern: all nodes are restarted in the middle of a step, while the partition of the store that
/// holds the configuration does not respond.
///
/// Guards against items that are never queued because their submission was read before the first
/// configuration, and nothing was appended to their partition afterwards. No order of arrival may
/// matter.
#[rstest::rstest]
#[actix_rt::test]
async fn check_order_of_arrival(
    #[values(0, 1, 2, 3)] first: usize,
    #[values(1, 2, 3)] second: usize,
    #[values(false, true)] swapped: bool,
) {
    let mut order = ARRIVALS;
    order.swap(0, first);
    order.swap(1, second);
    if swapped {
        order.swap(2, 3);
    }
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let follower = traffic.partitions.get(0).unwrap();
    follower.cache.borrow_mut().follow_from(0, traffic.node.now());
    for arrival in order {
        match arrival {
            Arrival::Configuration => {
                let config = platform::decode_config(CONFIG.as_bytes()).unwrap();
                traffic.node.publish_config(Some(Arc::new(routebook::ConfigIndex::new(config))));
            }
            Arrival::Engine => {
                let entry = upstream_entry("e", "127.0.0.1:1".parse().unwrap());
                traffic.balancer.borrow_mut().update(entry);
            }
            Arrival::Partition => {
                traffic.partitions.set_owned(&std::collections::BTreeSet::from([0]));
                follower.cache.borrow_mut().finish_scan(&[], 0);
                crate::gateway::runner::watch(&traffic, follower);
            }
            Arrival::Submission => {
                follower.apply_own_append(0, 2, submission());
            }
        }
        // Lets the task that follows the partition handle the change.
        tokio::task::yield_now().await;
    }
    assert_eq!(traffic.items.waiting(), ITEMS as usize, "{order:?}");
}

/// Guards against a store that fills up with submissions whose results need no longer be readable,
/// and against the deletion of submissions that must still be readable.
#[rstest::rstest]
#[case::old(0, false)]
#[case::recent(i64::MAX / 4, true)]
#[actix_rt::test]
async fn check_deletion(#[case] accepted_ms: i64, #[case] stays: bool) {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let traffic = traffic(store.address());
    let follower = traffic.partitions.get(0).unwrap();
    let id = || String::from("s");
    let mut records = submission();
    records.push(SubmissionRecord::Ended { submission: id() });
    records
        .push(SubmissionRecord::Expiring { submission: id(), accepted_at: WallTime(accepted_ms) });
    store.append(SUBMISSION_TOPIC, 0, records.iter().map(bytes).collect());
    follower.load(&traffic.store, "s").await.unwrap();
    crate::gateway::cleanup::delete_old_in_partition(&traffic, follower).await.unwrap();
    follower.catch_up(&traffic.store).await.unwrap();
    assert_eq!(follower.table().get("s").is_some(), stays);
    for key in ["s/s/o", "s/s/i/0", "s/s/e", "z/s"] {
        assert_eq!(store.value(SUBMISSION_TOPIC, 0, key).is_some(), stays, "{key}");
    }
}

/// Pattern: a small site, whose submissions use only one of the partitions that the consumer group
/// assigns.
///
/// Guards against a node that is assigned only unused partitions, takes this for a change at each
/// call to the group, and goes through all submissions every time.
#[actix_rt::test]
async fn unused_partitions_are_no_change() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let traffic = traffic(store.address());
    let partition_set = |partitions: &[u32]| partitions.iter().copied().collect();
    assert!(!traffic.partitions.set_owned(&partition_set(&[10, 11])));
    assert!(traffic.partitions.set_owned(&partition_set(&[0, 11])));
    assert!(!traffic.partitions.set_owned(&partition_set(&[0, 10])));
    assert!(traffic.partitions.set_owned(&partition_set(&[])));
}

/// Appends the results of `count` items of a submission.
fn append_results(store: &SiteStore, id: &str, count: u32) {
    let results = (0..count).map(|position| {
        let result = ItemResult::errored(format!("i{position}"));
        bytes(&SubmissionRecord::Result { submission: String::from(id), position, result })
    });
    store.append(SUBMISSION_TOPIC, 0, results.collect());
}

/// Pattern: a trainer's submissions `step-1`, `step-1-1`, `step-1-2` and so on, and a restart of all
/// nodes.
///
/// Guards against an accepted submission that counts as unknown after the restart, because the keys
/// of later submissions fill the first page that is read: it gets status 404, is accepted again when
/// it is repeated, and its items are never run by the new owner.
#[actix_rt::test]
async fn submission_is_found_beside_similar_identifiers() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    for id in ["step-1", "step-1-1", "step-1-2", "step-1."] {
        let mut records = submission_with(id, 300);
        records.push(SubmissionRecord::OpenMarkerSet { submission: String::from(id) });
        store.append(SUBMISSION_TOPIC, 0, records.iter().map(bytes).collect());
        append_results(&store, id, 290);
    }
    store.drop_history();

    let reader = traffic(store.address());
    let follower = reader.partitions.get(0).unwrap();
    follower.load(&reader.store, "step-1").await.unwrap();
    let listed = follower.table().get("step-1").map(submissions::SubmissionState::result_count);
    assert_eq!(listed, Some(290));

    let owner = traffic(store.address());
    let follower = owner.partitions.get(0).unwrap();
    owner.partitions.set_owned(&std::collections::BTreeSet::from([0]));
    let mut changes = follower.subscribe();
    follower.follow(&owner.store);
    changes.wait_for(|_| follower.cache().is_scanned()).await.unwrap();
    let cache = follower.cache();
    let mut open: Vec<&str> =
        cache.open_submissions().map(|open| open.metadata().id.as_str()).collect();
    open.sort();
    assert_eq!(open, ["step-1", "step-1-1", "step-1-2", "step-1."]);
}

/// Guards against keys of an old submission that stay in the store for ever, because its marker is
/// deleted while the keys of similar identifiers hide those that belong to it.
#[actix_rt::test]
async fn old_submission_is_deleted_beside_similar_identifiers() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    for id in ["step-1-1", "step-1-2", "step-1"] {
        store.append(SUBMISSION_TOPIC, 0, submission_with(id, 300).iter().map(bytes).collect());
        append_results(&store, id, 300);
    }
    let (submission, accepted_at) = (String::from("step-1"), WallTime(0));
    let marker = SubmissionRecord::Expiring { submission, accepted_at };
    store.append(SUBMISSION_TOPIC, 0, vec![bytes(&marker)]);
    let traffic = traffic(store.address());
    let follower = traffic.partitions.get(0).unwrap();
    crate::gateway::cleanup::delete_old_in_partition(&traffic, follower).await.unwrap();
    for key in ["z/step-1", "s/step-1/o", "s/step-1/i/0", "s/step-1/r/299"] {
        assert!(store.value(SUBMISSION_TOPIC, 0, key).is_none(), "{key}");
    }
    assert!(store.value(SUBMISSION_TOPIC, 0, "s/step-1-1/o").is_some());
}

/// Pattern: a configuration lowers the attempts of the reward calls after an item was queued, and before
/// its text is complete.
///
/// Guards against an item that is given up after the first failed call, although the configuration may
/// change back (MIXED).
#[actix_rt::test]
async fn limit_of_reward_calls_is_known_since_the_item_was_queued() {
    let config = |version: u64, attempts: u32| {
        let mut config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
        config["version"] = version.into();
        let mut route = config["routes"][0].clone();
        route["name"] = "score".into();
        route["prefix"] = "/score/".into();
        route["kind"] = "safe".into();
        route["attempts"] = attempts.into();
        config["routes"].as_array_mut().unwrap().push(route);
        let config = platform::decode_config(config.to_string().as_bytes()).unwrap();
        Some(Arc::new(routebook::ConfigIndex::new(config)))
    };
    let mut records = submission_with("s", 1);
    let Some(SubmissionRecord::Items { items, .. }) = records.last_mut() else { panic!("items") };
    items[0].reward = Some(RewardCall {
        id: String::from("call"),
        host: String::from("h"),
        path: String::from("/score/1"),
        body: bytes::Bytes::new(),
    });
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    traffic.node.publish_config(config(1, 3));
    let follower = traffic.partitions.get(0).unwrap();
    follower.cache.borrow_mut().follow_from(0, traffic.node.now());
    traffic.partitions.set_owned(&std::collections::BTreeSet::from([0]));
    follower.cache.borrow_mut().finish_scan(&[], 0);
    crate::gateway::runner::watch(&traffic, follower);
    follower.apply_own_append(0, 2, records);
    tokio::task::yield_now().await;
    traffic.node.publish_config(config(2, 1));
    let state = traffic.items.state.borrow();
    let job = state.jobs.get("s", "i0").expect("the item is queued");
    let failures = &mut job.progress.borrow_mut().failures.reward_calls;
    failures.record_failure(Some(1));
    assert!(!failures.is_exhausted(), "given up after the first of three failures");
    failures.record_failure(Some(1));
    failures.record_failure(Some(1));
    assert!(failures.is_exhausted(), "not given up after three failures");
}
