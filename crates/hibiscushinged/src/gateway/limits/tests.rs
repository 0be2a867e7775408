//! Responses that name limits, and responses that name none.

use base::{RequestRate, Span, UpstreamKey};
use dispatch::{IdleConnections, PlainPickRequest, RequestOrigin};
use platform::LimitStatement;
use rstest::rstest;

use super::{StatementSource, record_statement, update_shares};
use crate::gateway::{
    test_support::{traffic, upstream_entry},
    traffic_state::TrafficState,
};

fn is_usable(traffic: &TrafficState) -> bool {
    let request = PlainPickRequest {
        service: "drafts",
        zone: "z",
        tried: &[],
        connected: &IdleConnections::default(),
        suspect: false,
        origin: RequestOrigin::Caller,
        software_version: None,
        home: None,
        jitter_seed: 1,
    };
    traffic.balancer.borrow().pick_plain(traffic.node.now(), &request).is_some()
}

fn source(traffic: &TrafficState, upstream: UpstreamKey, ran: bool) -> StatementSource<'static> {
    let sent_at = traffic.node.now() + Span::from_millis(1);
    StatementSource { upstream, request: "r", sent_at, ran }
}

/// Guards against a limit that ends with the first refusal of the upstream, which names none, and
/// against one that outlasts a response which names none.
#[rstest]
#[case::refusal(LimitStatement::Unlimited, false, false)]
#[case::malformed(LimitStatement::Malformed, true, false)]
#[case::response(LimitStatement::Unlimited, true, true)]
#[actix_rt::test]
async fn limit_ends_with_a_response_that_names_none(
    #[case] statement: LimitStatement,
    #[case] ran: bool,
    #[case] ends: bool,
) {
    let address = "127.0.0.1:1".parse().unwrap();
    let traffic = traffic(address);
    let (upstream, _) = traffic.balancer.borrow_mut().update(upstream_entry("e", address));
    assert!(is_usable(&traffic));
    let limited = LimitStatement::Limited(RequestRate::ONE);
    record_statement(&traffic, source(&traffic, upstream, false), limited);
    assert!(!is_usable(&traffic));
    record_statement(&traffic, source(&traffic, upstream, ran), statement);
    assert_eq!(is_usable(&traffic), ends);
}

/// Guards against an upstream that is never chosen again because its limit was forgotten while this
/// node had no share of it.
#[actix_rt::test]
async fn upstream_is_free_once_its_unused_limit_is_forgotten() {
    let address = "127.0.0.1:1".parse().unwrap();
    let traffic = traffic(address);
    let (upstream, _) = traffic.balancer.borrow_mut().update(upstream_entry("e", address));
    let limited = LimitStatement::Limited(RequestRate::ONE);
    record_statement(&traffic, source(&traffic, upstream, true), limited);
    traffic.node.record_store_response();
    let now = traffic.node.now();
    update_shares(&traffic, now);
    assert!(!is_usable(&traffic));
    update_shares(&traffic, now + Span::from_secs(11));
    assert!(is_usable(&traffic));
}
