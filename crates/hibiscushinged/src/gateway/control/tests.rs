//! Records of the operator's topic and of the upstreams' topic, in the orders in which a node may read
//! them.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use dispatch::RemovalCause;
use rstest::rstest;
use serde_json::json;
use site_stand_in::{SiteStore, StoreFault, StoreOptions};
use tokio::sync::mpsc;

use super::{OperatorSink, UPSTREAM_TOPIC, UpstreamSink, follow};
use crate::gateway::{
    control_state::ControlState, fetch::KeyChange, test_support::traffic,
    topic_follower::ChangeSink as _, upstreams::UpstreamUpdate,
};

/// One response of the store to the follower of the topic.
enum ReadStep {
    /// A full read with these keys, and these unreadable ones.
    All(&'static [&'static str], &'static [&'static str]),
    /// Further records, each with whether its key is written or deleted.
    Changes(&'static [(&'static str, bool)]),
}

use ReadStep::{All, Changes};

const A: &str = "evacuate/a";
const B: &str = "evacuate/b";

fn change(key: &str, written: bool) -> KeyChange {
    let value = written.then(|| Bytes::from_static(b"{}"));
    KeyChange { offset: 1, key: String::from(key), value }
}

/// Pattern: orders and withdrawals arrive in single records and in full reads, which the store's loss
/// of its history causes.
///
/// Guards against an evacuation that ends without a withdrawal, or outlives it: by a full read, a key
/// whose value cannot be read, a malformed configuration beside it, an overlap of a full read with the
/// records after it, or an order and a withdrawal that cross.
#[rstest]
#[case::order(&[All(&[], &[]), Changes(&[(A, true)])], &["a"])]
#[case::node_starts_meanwhile(&[All(&[A, B], &[])], &["a", "b"])]
#[case::withdrawal(&[All(&[A], &[]), Changes(&[(A, false)])], &[])]
#[case::withdrawal_of_one(&[All(&[A, B], &[]), Changes(&[(A, false)])], &["b"])]
#[case::ordered_again(&[Changes(&[(A, true), (A, false), (A, true)])], &["a"])]
#[case::withdrawn_before_it_is_known(&[All(&[], &[]), Changes(&[(A, false)])], &[])]
#[case::history_lost(&[All(&[], &[]), Changes(&[(A, true)]), All(&[A], &[])], &["a"])]
#[case::withdrawn_with_the_history(&[Changes(&[(A, true), (B, true)]), All(&[B], &[])], &["b"])]
#[case::ordered_with_the_history(&[Changes(&[(A, true)]), All(&[B], &[])], &["b"])]
#[case::unreadable_value(&[Changes(&[(A, true)]), All(&[], &[A])], &["a"])]
#[case::malformed_configuration(&[All(&["config", A], &[])], &["a"])]
#[case::overlap_of_reads(&[All(&[A], &[]), Changes(&[(A, true), (A, false), (A, true)])], &["a"])]
#[actix_rt::test]
async fn evacuated_zones_follow_the_topic(#[case] steps: &[ReadStep], #[case] expected: &[&str]) {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let control = Rc::new(ControlState::new(Arc::clone(&traffic.node)));
    let (updates, _changes) = mpsc::unbounded_channel();
    let sink = OperatorSink { control, updates, active: RefCell::default() };
    for step in steps {
        match step {
            All(keys, unreadable) => {
                let changes = keys.iter().map(|key| change(key, true)).collect();
                let unreadable: Vec<String> =
                    unreadable.iter().map(|key| String::from(*key)).collect();
                sink.replace(changes, &unreadable);
            }
            Changes(changes) => {
                for (key, written) in *changes {
                    sink.apply(change(key, *written));
                }
            }
        }
    }
    let evacuated = traffic.node.evacuated.load();
    assert_eq!(evacuated.zones().collect::<Vec<_>>(), expected);
    assert_eq!(traffic.node.metrics.evacuated_zones.get(), expected.len() as i64);
}

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Length of an outage, in which some reads fail.
const OUTAGE: Duration = Duration::from_millis(2_600);

/// Time without disturbance from which all guarantees hold again.
const STABLE_TIME: Duration = Duration::from_millis(3_000);

fn entry(id: &str) -> (String, serde_json::Value) {
    let entry = json!({"service": "drafts", "address": "127.0.0.1:1", "zone": "z", "version": "v1",
        "slots": 8, "state": "ready", "warmup_ms": 0, "seqno": 1, "born": 1});
    (String::from(id), entry)
}

async fn next_update(updates: &mut mpsc::UnboundedReceiver<UpstreamUpdate>) -> UpstreamUpdate {
    let update = tokio::time::timeout(TEST_TIMEOUT, updates.recv()).await;
    update.expect("an update within 30 s").expect("the follower runs")
}

/// Waits until the follower of the store reports the removal of an entry.
async fn removal(updates: &mut mpsc::UnboundedReceiver<UpstreamUpdate>) -> RemovalCause {
    loop {
        if let UpstreamUpdate::Removed { cause, .. } = next_update(updates).await {
            return cause;
        }
    }
}

/// Starts a store with the entries of two upstreams, and a node that follows them.
async fn start_follower() -> (SiteStore, mpsc::UnboundedReceiver<UpstreamUpdate>) {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    for (id, value) in [entry("a"), entry("b")] {
        store.put_upstream(&id, &value);
    }
    let traffic = traffic(store.address());
    let control = Rc::new(ControlState::new(Arc::clone(&traffic.node)));
    let (sender, mut updates) = mpsc::unbounded_channel();
    let sink = UpstreamSink::new(Rc::clone(&control), sender);
    actix_rt::spawn(follow(control, UPSTREAM_TOPIC, sink));
    for _ in 0..2 {
        assert!(matches!(next_update(&mut updates).await, UpstreamUpdate::Updated(_)));
    }
    (store, updates)
}

/// Pattern: the store was silent for some seconds, has been well for `STABLE_TIME`, and the entry of
/// an upstream that leaves without a report is removed.
///
/// Guards against an upstream that is used for longer than it serves, because a call of the outage that
/// hung beyond its end makes the removal count as a lapse (DRAIN).
#[actix_rt::test]
async fn removal_after_an_outage_is_no_lapse() {
    let (store, mut updates) = start_follower().await;
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(OUTAGE).await;
    store.set_fault(StoreFault::None);
    tokio::time::sleep(STABLE_TIME + Duration::from_millis(50)).await;
    store.remove_upstream("a");
    assert_eq!(removal(&mut updates).await, RemovalCause::Left);
}

/// Guards against an upstream that is given up for good, or used for long, because its entry lapsed
/// while the store was down: it may come back until `STABLE_TIME` after the outage.
#[actix_rt::test]
async fn removal_in_an_outage_is_a_lapse() {
    let (store, mut updates) = start_follower().await;
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(OUTAGE).await;
    store.remove_upstream("a");
    store.set_fault(StoreFault::None);
    assert!(matches!(removal(&mut updates).await, RemovalCause::Lapsed { .. }));
}

/// Pattern: the store drops its history while a node is connected to it, and the entry of an upstream
/// is removed meanwhile.
///
/// Guards against an upstream that is used on because the node reads all entries anew instead of the
/// removal.
#[actix_rt::test]
async fn removal_in_a_gap_of_the_log_is_no_lapse() {
    let (store, mut updates) = start_follower().await;
    store.remove_upstream("a");
    store.drop_history();
    assert_eq!(removal(&mut updates).await, RemovalCause::Left);
}
