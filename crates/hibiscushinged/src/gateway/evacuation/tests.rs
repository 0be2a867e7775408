//! Evacuated zones on the traffic thread: when they take effect, and which runs move.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use base::{RequestRate, Span, UpstreamKey, WallTime, WeightVersion};
use bytes::Bytes;
use dispatch::{ServiceWarmup, UpstreamEntry};
use routebook::ConfigIndex;
use rstest::rstest;
use submissions::{GenerationEvent, SubmissionItem, SubmissionMetadata};
use tokio::net::TcpListener;

use super::move_runs;
use crate::gateway::{
    job::ItemJob,
    runner::start,
    test_support::{traffic, upstream_entry},
    traffic_state::TrafficState,
};

/// Events of the text of each job.
const EVENTS: u64 = 3;

fn add_upstream(traffic: &TrafficState, id: &str, zone: &str, address: SocketAddr) -> UpstreamKey {
    let entry = UpstreamEntry {
        zone: String::from(zone),
        started_at_ms: None,
        ..upstream_entry(id, address)
    };
    traffic.balancer.borrow_mut().update(entry).0
}

/// Guards against a node that starts during an evacuation and uses its first configuration before
/// the evacuated zones, which the control thread has published just before.
#[actix_rt::test]
async fn evacuations_take_effect_with_the_configuration() {
    let address = "127.0.0.1:1".parse().unwrap();
    let traffic = traffic(address);
    let upstream = add_upstream(&traffic, "e", "b", address);
    let is_usable = || traffic.balancer.borrow().is_usable(traffic.node.now(), upstream);
    traffic.node.evacuate_zone("b", 0);
    // No task of the traffic thread has run since.
    traffic.config();
    assert!(!is_usable(), "the order was not applied");
    traffic.node.return_zone("b", Some(1));
    traffic.config();
    assert!(is_usable(), "the withdrawal was not applied");
}

/// Guards against a burst of requests to upstreams that had no traffic during an evacuation.
#[actix_rt::test]
async fn upstreams_of_a_returned_zone_are_cold() {
    let address = "127.0.0.1:1".parse().unwrap();
    let traffic = traffic(address);
    let upstream = add_upstream(&traffic, "e", "b", address);
    let other = add_upstream(&traffic, "f", "a", address);
    let service = traffic.balancer.borrow().entry(upstream).service.clone();
    let warmup = ServiceWarmup { duration: Span::from_secs(3), rate: RequestRate(16_000) };
    traffic.balancer.borrow_mut().set_warmups([(service, warmup)].into());
    traffic.node.evacuate_zone("b", 0);
    traffic.config();
    traffic.node.return_zone("b", Some(1));
    traffic.config();
    let now = traffic.node.now();
    let is_limited = |upstream| traffic.balancer.borrow().is_warmup_limited(now, upstream);
    assert!(is_limited(upstream), "the upstream of the returned zone");
    assert!(!is_limited(other), "an upstream of another zone");
}

/// Puts a configuration without routes in force.
fn apply_config(traffic: &TrafficState) {
    let config = br#"{"version":1,"routes":[],"services":[],"limits":{"max_header_bytes":1,
        "max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1}}"#;
    let config = ConfigIndex::new(platform::decode_config(config).unwrap());
    traffic.node.config.store(Some(Arc::new(config)));
}

/// A job whose item is expected to send one event for each token, and whose text has begun.
fn job(traffic: &TrafficState, expected_tokens: u32) -> Rc<ItemJob> {
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
        expected_tokens,
        shared_prompt: None,
        reward: None,
    };
    let job = Rc::new(ItemJob::new(0, &Arc::new(metadata), &Arc::new(item), false, None));
    let version = Some(WeightVersion(1));
    job.progress.borrow_mut().text.begin_run("v1", version).unwrap();
    for id in 1..=EVENTS {
        let event = GenerationEvent { id, data: String::from("a"), version };
        job.progress.borrow_mut().text.push(&event).unwrap();
    }
    let mut state = traffic.items.state.borrow_mut();
    state.jobs.insert(&job);
    state.tokens_per_event = Some(1.0);
    job
}

/// Pattern: a long or a short run is in progress in a zone when its evacuation is ordered.
///
/// Guards against a long run that stays although another zone has a free slot, one that is aborted
/// without such a slot, a short one that is moved for nothing, and a text that is lost by the move.
#[rstest]
#[case::long_run(10_000, &["a"], "a")]
#[case::short_run(10, &["a"], "b")]
#[case::no_other_zone(10_000, &[], "b")]
#[case::other_zone_is_evacuated(10_000, &["c"], "b")]
#[case::one_zone_is_left(10_000, &["a", "c"], "a")]
#[actix_rt::test]
async fn run_moves_out_of_an_evacuated_zone(
    #[case] expected_tokens: u32,
    #[case] other_zones: &[&str],
    #[case] expected_zone: &str,
) {
    // The engine accepts connections and stays silent.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let traffic = traffic(address);
    apply_config(&traffic);
    let from = add_upstream(&traffic, "from", "b", address);
    for zone in other_zones {
        add_upstream(&traffic, &format!("to-{zone}"), zone, address);
    }
    let job = job(&traffic, expected_tokens);
    start(&job, &traffic, from);
    let zone_of_run = || {
        let upstream = job.run.borrow().as_ref().unwrap().upstream;
        traffic.balancer.borrow().entry(upstream).zone.clone()
    };
    move_runs(&traffic);
    assert_eq!(zone_of_run(), "b", "nothing is evacuated yet");
    for zone in ["b", "c"] {
        traffic.node.evacuate_zone(zone, 0);
    }
    traffic.apply_evacuations();
    move_runs(&traffic);
    assert_eq!(zone_of_run(), expected_zone);
    assert_eq!(job.progress.borrow().text.last_event_id(), EVENTS);
    let moved = u64::from(expected_zone != "b");
    assert_eq!(traffic.node.metrics.evacuated_runs.get(), moved);
}

/// Pattern: the engine of another zone has one slot, and two runs have to move.
///
/// Guards against two runs on one slot. The second one goes on where it is and moves once the slot is
/// free.
#[actix_rt::test]
async fn runs_move_as_slots_become_free() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let traffic = traffic(address);
    apply_config(&traffic);
    let engines = ["from-1", "from-2"].map(|id| add_upstream(&traffic, id, "b", address));
    let to = add_upstream(&traffic, "to", "a", address);
    let job = job(&traffic, 10_000);
    start(&job, &traffic, engines[0]);
    let other =
        crate::gateway::attempt::AttemptGuard::acquire(&traffic, to, dispatch::RequestOrigin::Item);
    traffic.node.evacuate_zone("b", 0);
    traffic.apply_evacuations();
    move_runs(&traffic);
    assert_eq!(job.run.borrow().as_ref().unwrap().upstream, engines[0], "the slot is taken");
    drop(other);
    move_runs(&traffic);
    assert_eq!(job.run.borrow().as_ref().unwrap().upstream, to);
}
