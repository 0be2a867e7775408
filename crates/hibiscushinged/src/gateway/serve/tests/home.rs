//! Requests with home regions at a node in region `east`, whose upstreams are all in that region, and
//! which passes requests to other nodes when its links are lost.

use dispatch::LinkState;
use rstest::rstest;
use serde_json::json;

use super::{
    LinkFault, TestFleet, apply_config, config,
    stub::{StubResponse, StubServer},
    wait_until,
};

/// Returns the configuration with these home regions of the route `/fetch/` and of the customer.
fn home_config(route: &[&str], customer: &[&str]) -> serde_json::Value {
    let mut config = config();
    config["routes"][0]["home_regions"] = json!(route);
    config["tenants"][0]["home_regions"] = json!(customer);
    config
}

/// Guards against a request that is sent to an upstream outside of its home regions, or held up
/// instead of refused, and against refusals of requests that may run.
#[rstest]
#[case::no_constraint(&[], &[], true)]
#[case::route(&["east", "south"], &[], true)]
#[case::customer(&[], &["east"], true)]
#[case::both(&["east", "south"], &["north", "east"], true)]
#[case::other_region_of_route(&["south"], &[], false)]
#[case::other_region_of_customer(&[], &["south"], false)]
#[case::no_common_region(&["east"], &["south"], false)]
#[case::unknown_region(&["west"], &[], false)]
#[actix_rt::test]
async fn request_runs_in_its_home_regions(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] served: bool,
) {
    let mut fleet = TestFleet::start();
    fleet.start_node(None).await;
    // Upstreams are announced through a channel; before that, no request is served.
    assert!(fleet.wait_until_served(0, "/fetch/proof").await.is_some());
    let received = || fleet.services.iter().map(site_stand_in::SiteService::served).sum::<u64>();
    let before = received();
    apply_config(&fleet.nodes[0].node, &home_config(route, customer));
    let (status, body) = fleet.call(0, "/fetch/proof", "r").await.unwrap();
    assert_eq!(status, if served { 200 } else { 503 }, "{body:?}");
    assert_eq!(received() - before, u64::from(served));
    if !served {
        let body = String::from_utf8_lossy(&body).into_owned();
        assert!(body.contains("no-upstream") && body.contains("not-run"), "{body}");
    }
}

/// Pattern: a node has lost its links, and another node could serve its requests.
///
/// Guards against the body of a request that leaves the home regions and the caller's region by the
/// hop to another node, and against a hop that is left out although it is allowed.
#[rstest]
#[case::no_constraint("y", &[], true)]
#[case::home_region("y", &["south"], true)]
#[case::caller_region("z", &["south"], true)]
#[case::other_region("x", &["south"], false)]
#[case::unknown_region("w", &["south"], false)]
#[actix_rt::test]
async fn request_is_passed_to_nodes_in_allowed_regions(
    #[case] zone: &str,
    #[case] route: &[&str],
    #[case] passed: bool,
) {
    let mut fleet = TestFleet::start();
    fleet.start_node(Some(LinkFault::Refuses)).await;
    let peer = StubServer::start(StubResponse::NotRun).await;
    fleet.announce_node_in(zone, peer.address).await;
    // A request without a constraint shows that the links are lost.
    fleet.call(0, "/fetch/proof", "first").await.unwrap();
    let links = &fleet.nodes[0].server.traffic.links;
    wait_until(|| links.state("portal") == LinkState::Lost, "the links are lost").await;
    apply_config(&fleet.nodes[0].node, &home_config(route, &[]));
    let (status, body) = fleet.call(0, "/fetch/proof", "constrained").await.unwrap();
    assert_eq!(peer.has_read("constrained"), passed, "{status} {body:?}");
    assert_eq!(status, 503, "{body:?}");
}

/// Pattern: a node without links passes a request to another node, whose configuration is another
/// version.
///
/// Guards against a node that uses upstreams outside of the home regions that only the other node
/// knows, and one that runs a request whose body it should not have got.
#[rstest]
#[case::same(&["east"], &["east"], 200)]
#[case::only_the_sender_knows(&["south"], &[], 503)]
#[case::only_the_receiver_knows(&[], &["south"], 503)]
#[actix_rt::test]
async fn home_regions_of_both_nodes_apply(
    #[case] sender: &[&str],
    #[case] receiver: &[&str],
    #[case] expected: u16,
) {
    let mut fleet = TestFleet::start();
    fleet.start_node(Some(LinkFault::Refuses)).await;
    fleet.start_node(None).await;
    assert!(fleet.wait_until_served(1, "/fetch/proof").await.is_some());
    assert!(fleet.wait_until_served(0, "/fetch/proof").await.is_some());
    let received = || fleet.services.iter().map(site_stand_in::SiteService::served).sum::<u64>();
    let before = received();
    apply_config(&fleet.nodes[0].node, &home_config(sender, &[]));
    apply_config(&fleet.nodes[1].node, &home_config(receiver, &[]));
    let (status, body) = fleet.call(0, "/fetch/proof", "constrained").await.unwrap();
    assert_eq!(status, expected, "{body:?}");
    assert_eq!(received() - before, u64::from(expected == 200));
}
