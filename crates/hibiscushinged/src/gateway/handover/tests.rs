//! Hand-over between nodes that share a stand-in store.

mod failures;

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use base::{Span, WallTime, WeightVersion};
use platform::{decode_config, encode_keyed_record};
use protocol::{decode_submission_record, encode_submission_record};
use site_stand_in::{SiteStore, StoreFault, StoreOptions};
use submissions::{
    GenerationEvent, ItemHandover, ItemResult, SubmissionItem, SubmissionMetadata, SubmissionRecord,
};

use super::{release, store_ended_runs};
use crate::gateway::{
    item_records,
    job::{ItemJob, ItemRun},
    partitions::SUBMISSION_TOPIC,
    runner,
    test_support::{traffic, upstream_entry},
    traffic_state::TrafficState,
};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"draft","host":"h","prefix":"/p/",
    "kind":"rollout","deadline_ms":10000,"goal_ms":500,"service":"drafts","attempts":3,
    "public":false}],
    "services":[],"limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,
    "idle_timeout_ms":1},"tenants":[{"name":"brewer","keys":["k"]}]}"#;

/// Bound on the appends of a hand-over, far above what the stand-in needs.
const TIMEOUT: Span = Span::from_secs(20);

fn bytes(record: &SubmissionRecord) -> bytes::Bytes {
    let (key, value) = encode_submission_record(record);
    encode_keyed_record(&key, value.as_deref())
}

/// Starts a store with an open submission of the items `i0`, `i1` and `i2`.
fn store() -> SiteStore {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let submission = || String::from("s");
    let metadata = SubmissionMetadata {
        id: submission(),
        customer: String::from("brewer"),
        host: String::from("h"),
        path: String::from("/p/"),
        model: String::from("m"),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: 3,
    };
    let items = (0..3).map(|index| SubmissionItem {
        id: format!("i{index}"),
        path: String::from("/p/1"),
        headers: Vec::new(),
        body: bytes::Bytes::from_static(b"prompt"),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    });
    let records = [
        SubmissionRecord::Opened(metadata),
        SubmissionRecord::Items { submission: submission(), first: 0, items: items.collect() },
        SubmissionRecord::OpenMarkerSet { submission: submission() },
    ];
    store.append(SUBMISSION_TOPIC, 0, records.iter().map(bytes).collect());
    store
}

/// Starts a node that owns the partition and has queued the open items.
async fn owner(store: &SiteStore) -> Rc<TrafficState> {
    let traffic = traffic(store.address());
    let config = decode_config(CONFIG.as_bytes()).unwrap();
    traffic.node.config.store(Some(Arc::new(routebook::ConfigIndex::new(config))));
    traffic.partitions.set_owned(&BTreeSet::from([0]));
    let follower = traffic.partitions.get(0).unwrap();
    runner::watch(&traffic, follower);
    let mut changes = follower.subscribe();
    follower.follow(&traffic.store);
    changes.wait_for(|_| follower.cache().is_scanned()).await.unwrap();
    wait_until(|| traffic.items.state.borrow().jobs.values().count() > 0).await;
    traffic
}

/// Waits for a condition, and fails after 60 s, so that a fault does not block the other tests.
async fn wait_until(condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), met).await.expect("the condition holds at last");
}

fn job(traffic: &TrafficState, item: &str) -> Rc<ItemJob> {
    let state = traffic.items.state.borrow();
    Rc::clone(state.jobs.get("s", item).expect("the item has a job"))
}

/// Has an item run without end on the engine `e1`, and returns its task.
fn run(traffic: &TrafficState, job: &ItemJob) -> tokio::task::JoinHandle<()> {
    let address = "127.0.0.1:1".parse().unwrap();
    let (upstream, _) = traffic.balancer.borrow_mut().update(upstream_entry("e1", address));
    let task = actix_rt::spawn(std::future::pending());
    let started_at = traffic.node.now();
    traffic.items.state.borrow_mut().queue.retain(|queued| !std::ptr::eq(Rc::as_ptr(queued), job));
    job.run.replace(Some(ItemRun { abort: task.abort_handle(), upstream, started_at }));
    task
}

fn add_event(job: &ItemJob) {
    let mut progress = job.progress.borrow_mut();
    progress.text.begin_run("v1", Some(WeightVersion(1))).unwrap();
    let id = progress.text.last_event_id() + 1;
    progress.text.push(&GenerationEvent { id, data: format!("e{id}"), version: None }).unwrap();
}

async fn lose_partition(traffic: &Rc<TrafficState>) {
    lose_partition_within(traffic, TIMEOUT).await;
}

async fn lose_partition_within(traffic: &Rc<TrafficState>, timeout: Span) {
    traffic.partitions.set_owned(&BTreeSet::new());
    release(traffic, &BTreeSet::from([0]), timeout).await;
}

fn stored(store: &SiteStore, item: &str) -> Option<ItemHandover> {
    let key = format!("s/s/h/{item}");
    let value = store.value(SUBMISSION_TOPIC, 0, &key)?;
    match decode_submission_record(&key, Some(&value)) {
        Ok(Some(SubmissionRecord::HandedOver { handover, .. })) => Some(handover),
        record => panic!("the record of {item} is {record:?}"),
    }
}

/// Pattern: a node loses a partition while one item runs, one waits with a text, and one waits
/// without.
///
/// Guards against a run that the change of owner cuts, against a next owner that starts it again or
/// loses a text, and against an unfinished run that holds its item for longer than it lasts.
#[actix_rt::test]
async fn run_goes_on_and_its_item_is_held_until_it_ends() {
    let store = store();
    let first = owner(&store).await;
    let (running, waiting) = (job(&first, "i0"), job(&first, "i1"));
    let task = run(&first, &running);
    add_event(&running);
    add_event(&waiting);
    lose_partition(&first).await;
    assert!(!task.is_finished());
    assert!(first.items.is_wanted(&running));
    assert_eq!(first.items.waiting(), 0);
    assert!(stored(&store, "i0").is_some_and(|handover| handover.is_running));
    assert!(stored(&store, "i1").is_some_and(|handover| !handover.is_running));
    assert_eq!(stored(&store, "i2"), None);
    assert_eq!(first.node.metrics.items_handed_over.get(), 2);

    let second = owner(&store).await;
    let is_held = |item: &str| {
        let job = job(&second, item);
        let progress = job.progress.borrow();
        (progress.handover.held_until(second.node.now()).is_some(), progress.text.last_event_id())
    };
    assert_eq!(["i0", "i1", "i2"].map(is_held), [(true, 1), (false, 1), (false, 0)]);
    assert_eq!(second.node.metrics.items_held.get(), 1);

    add_event(&running);
    actix_rt::spawn(store_ended_runs(Rc::clone(&first)));
    first.items.requeue(&first.node, &running);
    wait_until(|| is_held("i0") == (false, 2)).await;
    assert_eq!(second.items.waiting(), 3);
    wait_until(|| first.items.unfinished_count() == 0).await;
}

/// Pattern: the result of a held item arrives.
///
/// Guards against an item that runs although it has a result.
#[actix_rt::test]
async fn result_ends_the_hold() {
    let store = store();
    let first = owner(&store).await;
    run(&first, &job(&first, "i0"));
    lose_partition(&first).await;
    let second = owner(&store).await;
    assert_eq!(second.items.waiting(), 3);
    actix_rt::spawn(item_records::store_results(Rc::clone(&first)));
    first.items.resolve(&job(&first, "i0"), ItemResult::errored("i0"));
    wait_until(|| second.items.waiting() == 2).await;
    assert!(store.value(SUBMISSION_TOPIC, 0, "s/s/r/0").is_some());
}

/// Pattern: two changes of owner in a row, the second one while the item is held, and then the first
/// owner gets the partition back.
///
/// Guards against a second owner that declares the run of the first one over, and against the first
/// one waiting for its own run or starting the item beside it.
#[actix_rt::test]
async fn held_item_is_handed_on_as_it_is() {
    let store = store();
    let first = owner(&store).await;
    let running = job(&first, "i0");
    let task = run(&first, &running);
    add_event(&running);
    lose_partition(&first).await;
    let record = stored(&store, "i0");
    let second = owner(&store).await;
    lose_partition(&second).await;
    assert_eq!(stored(&store, "i0"), record);

    first.partitions.set_owned(&BTreeSet::from([0]));
    first.items.reclaim(0);
    let follower = first.partitions.get(0).unwrap();
    wait_until(|| follower.cache().is_scanned()).await;
    wait_until(|| first.items.waiting() == 2).await;
    assert!(Rc::ptr_eq(&running, &job(&first, "i0")) && !task.is_finished());
    first.items.requeue(&first.node, &running);
    assert_eq!(first.items.waiting(), 3);
    assert_eq!(running.progress.borrow().handover.held_until(first.node.now()), None);
}

/// Pattern: the record arrives after the next owner has read the submission, which has started one
/// of the items.
///
/// Guards against a late record that is ignored where the item still waits, or that stops a run.
#[actix_rt::test]
async fn late_record_counts_only_for_items_that_wait() {
    let store = store();
    let first = owner(&store).await;
    for item in ["i0", "i1"] {
        let job = job(&first, item);
        run(&first, &job);
        add_event(&job);
    }
    let second = owner(&store).await;
    let started = job(&second, "i0");
    let task = run(&second, &started);
    lose_partition(&first).await;
    let waiting = job(&second, "i1");
    wait_until(|| waiting.progress.borrow().text.last_event_id() == 1).await;
    assert!(waiting.progress.borrow().handover.held_until(second.node.now()).is_some());
    assert_eq!(started.progress.borrow().text.last_event_id(), 0);
    assert!(!task.is_finished());
}

/// Guards against a node that keeps its partitions because the store does not confirm the records,
/// and against a second record after an append whose response was lost.
#[rstest::rstest]
#[case::unavailable(StoreFault::Unavailable, false)]
#[case::lost_responses(StoreFault::LostResponses, true)]
#[actix_rt::test]
async fn check_fault(#[case] fault: StoreFault, #[case] is_stored: bool) {
    let store = store();
    let first = owner(&store).await;
    let running = job(&first, "i0");
    let task = run(&first, &running);
    store.set_fault(fault);
    lose_partition_within(&first, Span::from_millis(600)).await;
    assert!(!task.is_finished());
    assert_eq!(stored(&store, "i0").is_some(), is_stored);
    if let Some(handover) = stored(&store, "i0") {
        assert_eq!((handover.revision, handover.is_running), (0, true));
    }
}
