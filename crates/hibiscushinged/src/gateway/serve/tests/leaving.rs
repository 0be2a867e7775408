//! Nodes whose upstreams say in their responses that they are leaving, while the store still lists
//! them as ready.

use rstest::rstest;
use site_stand_in::SiteService;

use super::{LinkFault, TestFleet, UPSTREAMS, wait_until};

/// Requests that are sent after the upstreams are known to be leaving.
const REQUESTS: usize = 24;

impl TestFleet {
    /// Has all but the last `staying` upstreams of the plain service leave. Returns how many requests
    /// each of them has served by then.
    fn leave(&self, staying: usize) -> Vec<u64> {
        let leaving = &self.services[..self.services.len() - staying];
        for service in leaving {
            service.set_leaving();
        }
        leaving.iter().map(SiteService::served).collect()
    }

    /// Asserts that each upstream that is leaving got one request at most since then: the one whose
    /// response said so.
    fn check_served(&self, before: &[u64]) {
        for (service, before) in self.services.iter().zip(before) {
            let requests = service.served() - before;
            assert!(requests <= 1, "{} got {requests} requests", service.id());
        }
    }
}

/// Pattern: two of three upstreams are leaving, which the store does not say or cannot say.
///
/// Guards against requests of callers that are sent to them although this node has passed on responses
/// that say so.
#[rstest]
#[case::idempotent("/fetch/proof")]
#[case::not_idempotent("/once/order")]
#[actix_rt::test]
async fn leaving_upstreams_get_no_more_requests(#[case] path: &str) {
    let mut fleet = TestFleet::start();
    fleet.start_node(None).await;
    assert!(fleet.wait_until_served(0, path).await.is_some());
    let before = fleet.leave(1);
    for number in 0..REQUESTS {
        let (status, body) = fleet.call(0, path, &format!("after-{number}")).await.unwrap();
        assert_eq!(status, 200, "{body:?}");
    }
    fleet.check_served(&before);
}

/// Guards against callers that wait, or whose requests are sent to a leaving upstream, when all of
/// them leave.
#[actix_rt::test]
async fn requests_are_refused_at_once_when_all_upstreams_leave() {
    let mut fleet = TestFleet::start();
    fleet.start_node(None).await;
    assert!(fleet.wait_until_served(0, "/fetch/proof").await.is_some());
    let before = fleet.leave(0);
    for number in 0..UPSTREAMS {
        let (status, body) = fleet.call(0, "/fetch/proof", &format!("r{number}")).await.unwrap();
        assert_eq!(status, 200, "{body:?}");
    }
    let (status, body) = fleet.call(0, "/fetch/proof", "last").await.unwrap();
    assert_eq!(status, 503);
    let body = String::from_utf8_lossy(&body).into_owned();
    assert!(body.contains("no-upstream") && body.contains("not-run"), "{body}");
    fleet.check_served(&before);
}

/// Pattern: a node without links passes requests to another node, whose upstreams are leaving. Then
/// its links are back.
///
/// Guards against requests that this node sends to upstreams of which it has passed on such
/// responses itself.
#[actix_rt::test]
async fn node_learns_of_leaving_upstreams_from_responses_of_other_nodes() {
    let mut fleet = TestFleet::start();
    fleet.start_node(Some(LinkFault::Refuses)).await;
    fleet.start_node(None).await;
    let peers = &fleet.nodes[0].server.traffic.peers;
    wait_until(|| !peers.table.borrow().is_empty(), "the node knows the other").await;
    assert!(fleet.wait_until_served(0, "/fetch/proof").await.is_some());
    fleet.leave(0);
    for number in 0..UPSTREAMS {
        let (status, body) = fleet.call(0, "/fetch/proof", &format!("r{number}")).await.unwrap();
        assert_eq!(status, 200, "{body:?}");
    }
    for node in &fleet.nodes {
        let traffic = &node.server.traffic;
        let now = traffic.node.now();
        assert_eq!(traffic.balancer.borrow().usable_upstreams(now, "portal").count(), 0);
    }
}

/// Guards against streams and items that an engine gets after a stream has shown that it is leaving.
#[actix_rt::test]
async fn leaving_engine_gets_no_streams() {
    let mut fleet = TestFleet::start();
    fleet.start_node(None).await;
    let (status, _) = fleet.call(0, "/talk/1", "first").await.unwrap();
    assert_eq!(status, 200);
    fleet.engine.set_leaving();
    let (status, body) = fleet.call(0, "/talk/1", "second").await.unwrap();
    assert_eq!(status, 200, "{body:?}");
    let runs = fleet.engine.runs();
    let (status, body) = fleet.call(0, "/talk/1", "third").await.unwrap();
    assert_eq!(status, 503, "{body:?}");
    let traffic = &fleet.nodes[0].server.traffic;
    let engine = traffic.balancer.borrow().key("engine-0").unwrap();
    assert!(!traffic.balancer.borrow().is_usable(traffic.node.now(), engine));
    assert_eq!(fleet.engine.runs(), runs);
}
