//! Nodes whose settings differ, and what they agree on.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use base::Incarnation;
use bytes::Bytes;
use document::GatewaySettings;
use platform::encode_keyed_record;
use protocol::{LAYOUT_KEY, encode_partition_count};
use rstest::rstest;
use site_stand_in::{SiteStore, StoreFault, StoreOptions, rendered_settings};

use super::{LAYOUT_TOPIC, agree_on_partitions};
use crate::{
    clock::ProcessClock,
    gateway::{metrics::GatewayMetrics, node::NodeState, traffic_state::TrafficState},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a second that a small and a large store take.
const SMALL: u32 = 2_000;
const LARGE: u32 = 6_000;

/// Partitions of the store.
const PARTITIONS: u32 = 12;

/// Returns a node that has started no tasks, with these reads a second in its settings.
fn node(store: SocketAddr, reads_per_second: u32) -> Rc<TrafficState> {
    let text = String::from(
        r#"
        vm_name = "a"
        zone = "z"
        cores = 1
        listen = "127.0.0.1:0"
        ready = "127.0.0.1:0"
        metrics = "127.0.0.1:0"
        peer = "127.0.0.1:0"
        "#,
    ) + &rendered_settings(store, PARTITIONS, reads_per_second);
    let settings = GatewaySettings::parse("test", &text).unwrap();
    let metrics = GatewayMetrics::default();
    let node = NodeState::new(settings, Incarnation(1), ProcessClock::start(), metrics);
    Rc::new(TrafficState::new(Arc::new(node)))
}

async fn agreed_count(traffic: &Rc<TrafficState>) -> u32 {
    actix_rt::spawn(agree_on_partitions(Rc::clone(traffic)));
    tokio::time::timeout(TEST_TIMEOUT, traffic.partitions.known_count()).await.unwrap()
}

/// Pattern: the settings of one node change, and it is restarted; or all nodes are.
///
/// Guards against accepted submissions that a node looks for in another partition than the one where
/// they were stored (LOST): their callers get status 404, and what the node accepts is never run.
#[rstest]
#[case::grows(SMALL, LARGE, 1)]
#[case::shrinks(LARGE, SMALL, PARTITIONS)]
#[case::same(LARGE, LARGE, PARTITIONS)]
#[actix_rt::test]
async fn later_settings_move_no_customers(
    #[case] first_reads: u32,
    #[case] later_reads: u32,
    #[case] expected: u32,
) {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let first = node(store.address(), first_reads);
    assert!(first.partitions.of_customer("brewer").is_none(), "used before it is known");
    assert_eq!(agreed_count(&first).await, expected);
    let later = node(store.address(), later_reads);
    assert_eq!(agreed_count(&later).await, expected);
    store.drop_history();
    let restarted = node(store.address(), later_reads);
    assert_eq!(agreed_count(&restarted).await, expected);
    for customer in ["brewer", "maltster", "c", "d", "e"] {
        let partition = |traffic: &TrafficState| {
            traffic.partitions.of_customer(customer).map(|follower| follower.name.partition)
        };
        assert_eq!(partition(&first), partition(&later));
        assert_eq!(partition(&first), partition(&restarted));
    }
}

/// Pattern: many nodes with different settings start at the same time.
///
/// Guards against two nodes of which each goes by its own proposal.
#[actix_rt::test]
async fn nodes_that_start_together_agree() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let nodes: Vec<_> = (0..12)
        .map(|index| node(store.address(), if index % 2 == 0 { SMALL } else { LARGE }))
        .collect();
    let counts = futures_util::future::join_all(nodes.iter().map(agreed_count)).await;
    assert!(counts.iter().all(|count| *count == counts[0]), "{counts:?}");
}

/// Guards against a node that goes by its settings while the store does not respond, or when a write
/// without a response has taken effect.
#[rstest]
#[case::unavailable(StoreFault::Unavailable)]
#[case::silent(StoreFault::Silent)]
#[case::lost_responses(StoreFault::LostResponses)]
#[actix_rt::test]
async fn node_waits_for_the_store(#[case] fault: StoreFault) {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let first = node(store.address(), SMALL);
    store.set_fault(fault);
    actix_rt::spawn(agree_on_partitions(Rc::clone(&first)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(first.partitions.count(), None, "used before it is known");
    store.set_fault(StoreFault::None);
    let second = node(store.address(), LARGE);
    let known = tokio::time::timeout(TEST_TIMEOUT, first.partitions.known_count()).await;
    assert_eq!(known.unwrap(), agreed_count(&second).await);
}

/// Guards against a node that replaces a record that it cannot read, and then disagrees with others.
#[actix_rt::test]
async fn unreadable_record_is_not_replaced() {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let record = encode_keyed_record(LAYOUT_KEY, Some(b"?"));
    store.append(LAYOUT_TOPIC, 0, vec![record]);
    let node = node(store.address(), SMALL);
    actix_rt::spawn(agree_on_partitions(Rc::clone(&node)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(node.partitions.count(), None);
    let value = store.value(LAYOUT_TOPIC, 0, LAYOUT_KEY);
    assert_eq!(value, Some(Bytes::from_static(b"?")));
    let repaired = encode_keyed_record(LAYOUT_KEY, Some(&encode_partition_count(3)));
    store.append(LAYOUT_TOPIC, 0, vec![repaired]);
    let known = tokio::time::timeout(TEST_TIMEOUT, node.partitions.known_count()).await;
    assert_eq!(known.unwrap(), 3);
}
