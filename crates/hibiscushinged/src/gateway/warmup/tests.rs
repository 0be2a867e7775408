//! Cold times by entries, responses and the configuration.

use std::{collections::HashMap, rc::Rc};

use base::{RequestRate, Span, UpstreamKey};
use dispatch::{RequestOrigin, ServiceWarmup};
use rstest::rstest;

use super::{admit_late, config_changed, entry_updated, record_cold_time};
use crate::gateway::{
    test_support::{traffic, upstream_entry},
    traffic_state::TrafficState,
};

fn warmups() -> HashMap<String, ServiceWarmup> {
    let warmup = ServiceWarmup { duration: Span::from_secs(3), rate: RequestRate(16_000) };
    HashMap::from([(String::from("drafts"), warmup)])
}

/// A node that knows nobody else, and whose upstream names a cold time in its entry.
fn with_cold_upstream() -> (Rc<TrafficState>, UpstreamKey) {
    let address = "127.0.0.1:1".parse().unwrap();
    let traffic = traffic(address);
    let mut entry = upstream_entry("e", address);
    entry.warmup = Span::from_secs(3);
    let (upstream, _) = traffic.balancer.borrow_mut().update(entry);
    entry_updated(&traffic, upstream);
    (traffic, upstream)
}

fn is_limited(traffic: &TrafficState, upstream: UpstreamKey) -> bool {
    traffic.balancer.borrow().is_warmup_limited(traffic.node.now(), upstream)
}

/// Guards against a cold upstream that is not spared because its entry was read before the
/// configuration, and against one of a service without a warm-up that is.
#[actix_rt::test]
async fn configuration_decides_about_cold_upstreams() {
    let (traffic, upstream) = with_cold_upstream();
    assert!(!is_limited(&traffic, upstream), "no configuration names a warm-up");
    config_changed(&traffic, warmups());
    assert!(is_limited(&traffic, upstream));
    config_changed(&traffic, HashMap::new());
    assert!(!is_limited(&traffic, upstream));
}

/// Guards against a request that is sent to a cold upstream because it was begun before, and against
/// one that is held back although it has taken its token.
#[actix_rt::test]
async fn request_begun_before_the_cold_time_needs_a_token() {
    let (traffic, upstream) = with_cold_upstream();
    let is_sent =
        |was_limited| admit_late(&traffic, upstream, RequestOrigin::Caller, was_limited).is_ok();
    assert!(is_sent(false), "the upstream has no limit");
    config_changed(&traffic, warmups());
    assert!(!is_sent(false));
    assert!(is_sent(true));
}

/// Guards against a response of an earlier process by which its cold successor counts as warm.
#[rstest]
#[case::same_process(1, false)]
#[case::earlier_process(0, true)]
#[actix_rt::test]
async fn response_of_another_process_says_nothing(#[case] start_ms: u64, #[case] limited: bool) {
    let (traffic, upstream) = with_cold_upstream();
    config_changed(&traffic, warmups());
    let mut sender = traffic.balancer.borrow().entry(upstream).clone();
    sender.started_at_ms = Some(start_ms);
    record_cold_time(&traffic, upstream, sender.process(), Span::ZERO);
    assert_eq!(is_limited(&traffic, upstream), limited);
}
