//! Requests that a node passes to another one whose configuration is older or newer, because one of the
//! two is cut off from the store.

use rstest::rstest;
use serde_json::{Value, json};
use site_stand_in::SiteService;

use super::{
    LinkFault, TestFleet, apply_config, config,
    stub::{StubResponse, StubServer},
    wait_until,
};

/// Requests until each of two nodes has been asked.
const REQUESTS: u64 = 12;

/// Version of the configuration of the node that callers send to.
const VERSION: u64 = 2;

/// What the configuration of the other node has in place of this node's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfigDifference {
    NoRoute,
    NoKey,
    OtherService,
    OtherCustomer,
    OtherKind,
}

impl ConfigDifference {
    /// Returns a configuration with this difference in the route of a path.
    fn apply(self, version: u64, path: &str) -> Value {
        let mut config = config();
        config["version"] = version.into();
        let prefix = &path[..=path.rfind('/').unwrap()];
        let routes = config["routes"].as_array_mut().unwrap();
        let position = routes.iter().position(|route| route["prefix"] == prefix).unwrap();
        match self {
            Self::NoRoute => {
                routes.remove(position);
            }
            Self::OtherService => {
                let other =
                    if routes[position]["service"] == "portal" { "drafts" } else { "portal" };
                routes[position]["service"] = other.into();
            }
            Self::OtherKind => routes[position]["kind"] = "safe".into(),
            Self::NoKey => config["tenants"] = json!([{"name": "brewer", "keys": ["key-0"]}]),
            Self::OtherCustomer => {
                config["tenants"] = json!([{"name": "cider", "keys": ["key-1"]}]);
            }
        }
        config
    }
}

impl TestFleet {
    /// Puts the configuration of a node in force that callers send to.
    fn apply_current(&self, node: usize) {
        let mut current = config();
        current["version"] = VERSION.into();
        apply_config(&self.nodes[node].node, &current);
    }

    fn service_runs(&self) -> u64 {
        self.services.iter().map(SiteService::served).sum()
    }
}

/// Pattern: a node has lost its links, and the only other node has another configuration.
///
/// Guards against a request that is run or refused by a configuration that its caller's node does not
/// have.
#[rstest]
#[case::route_added(ConfigDifference::NoRoute)]
#[case::key_added(ConfigDifference::NoKey)]
#[case::route_moved(ConfigDifference::OtherService)]
#[case::key_moved(ConfigDifference::OtherCustomer)]
#[case::kind_changed(ConfigDifference::OtherKind)]
#[actix_rt::test]
async fn node_with_another_configuration_does_not_decide(
    #[case] difference: ConfigDifference,
    #[values(VERSION - 1, VERSION + 1)] version: u64,
    #[values("/once/order", "/say/1")] path: &str,
) {
    let mut fleet = TestFleet::start();
    fleet.start_node(Some(LinkFault::Refuses)).await;
    fleet.start_node(None).await;
    fleet.apply_current(0);
    apply_config(&fleet.nodes[1].node, &difference.apply(version, path));
    let peers = &fleet.nodes[0].server.traffic.peers;
    wait_until(|| !peers.table.borrow().is_empty(), "the node knows the other").await;
    for number in 0..3 {
        let id = format!("r{number}");
        let (status, body) = fleet.call(0, path, &id).await.expect("the node responds");
        assert_eq!(status, 503, "{body:?}");
        assert!(String::from_utf8_lossy(&body).contains("not-run"), "{body:?}");
    }
    assert_eq!((fleet.service_runs(), fleet.engine.runs()), (0, 0));
}

/// Guards against a request that is refused because the first node that is asked has another
/// configuration, while a further one has the same.
#[rstest]
#[case::route_added(ConfigDifference::NoRoute)]
#[case::route_moved(ConfigDifference::OtherService)]
#[actix_rt::test]
async fn node_with_the_same_configuration_serves(
    #[case] difference: ConfigDifference,
    #[values("/once/order", "/talk/1")] path: &str,
) {
    let mut fleet = TestFleet::start();
    fleet.start_node(Some(LinkFault::Refuses)).await;
    fleet.start_node(None).await;
    fleet.start_node(None).await;
    fleet.apply_current(0);
    apply_config(&fleet.nodes[1].node, &difference.apply(VERSION - 1, path));
    fleet.apply_current(2);
    let peers = &fleet.nodes[0].server.traffic.peers;
    wait_until(|| peers.table.borrow().len() == 2, "the node knows both others").await;
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let (status, body) = fleet.call(0, path, &id).await.expect("the node responds");
        assert_eq!(status, 200, "{body:?}");
    }
    let runs = (fleet.service_runs(), fleet.engine.runs());
    let expected = if path == "/talk/1" { (0, REQUESTS) } else { (REQUESTS, 0) };
    assert_eq!(runs, expected, "runs of the plain service and of the engine");
}

/// Guards against a route that a node of an earlier build does not know, and that is refused as unknown
/// by a node that knows it.
#[rstest]
#[actix_rt::test]
async fn node_of_an_earlier_build_does_not_decide(
    #[values("/once/order", "/say/1", "/talk/1")] path: &str,
) {
    let mut fleet = TestFleet::start();
    fleet.start_node(Some(LinkFault::Refuses)).await;
    let peer = StubServer::start(StubResponse::UnknownRoute).await;
    fleet.announce_node(peer.address).await;
    let (status, body) = fleet.call(0, path, "r").await.expect("the node responds");
    assert!(peer.has_read("r"), "the request was not passed on: {status} {body:?}");
    assert_eq!(status, 503, "{body:?}");
    assert!(String::from_utf8_lossy(&body).contains("not-run"), "{body:?}");
}
