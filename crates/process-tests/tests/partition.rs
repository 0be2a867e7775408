//! A network partition between one zone and the platform and other zones.

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;
use process_tests::{
    FleetOptions, TcpRelay, TestFleet, call, caller_key, document_text, get_json, wait_for,
};

/// Sends a request of a customer and returns its status.
async fn call_status(fleet: &TestFleet, daemon: usize, customer: &str) -> u16 {
    let headers = [("authorization", format!("Bearer {}", caller_key(customer)))];
    let body = r#"{"prompt": "partition", "max_tokens": 1}"#;
    call(fleet.caller_address(daemon), "/v1/draft", &headers, body).await.status
}

/// Returns the version of the configuration that a daemon has in force.
async fn config_version(fleet: &TestFleet, daemon: usize) -> Option<u64> {
    let status = get_json(fleet.daemons[daemon].address(2), "/admin/status").await?;
    status["configuration"]["version"].as_u64()
}

/// Guards against a zone that stops serving as soon as it is partitioned, accepts a withdrawn key
/// without end, or returns to its old configuration after it has caught up.
#[actix_rt::test]
async fn partitioned_zone_serves_for_the_configured_time_and_catches_up() {
    let document = "[keys_when_isolated]\naction = \"serve\"\nafter = \"20s\"\n";
    let mut fleet = TestFleet::start(FleetOptions {
        daemons: vec!["hobart-a", "hobart-b"],
        document: String::from(document),
        ..FleetOptions::default()
    })
    .await;
    // The third daemon reaches the platform, and its peers reach it, through relays that can be
    // cut.
    let (to_platform, to_peer) = (TcpRelay::start().await, TcpRelay::start().await);
    to_platform.set_target(fleet.platform.address(0));
    let settings = format!("peer_advertised = \"{}\"\n", to_peer.address());
    let partitioned_daemon =
        fleet.start_daemon_through(2, "kingston-c", to_platform.address(), &settings);
    to_peer.set_target(partitioned_daemon.address(1));
    fleet.daemons.push(partitioned_daemon);
    fleet.apply_first_document(&["cordial", "brewer"]).await;
    for daemon in 0..3 {
        wait_for("status 200 for a request", || async {
            (call_status(&fleet, daemon, "cordial").await == 200).then_some(())
        })
        .await;
    }

    to_platform.cut();
    to_peer.cut();
    let text = document_text(&fleet, &["brewer"]);
    let edit = fleet.operator(2).edit("production", ConfigVersion(1), &text).await;
    assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(2))));
    for daemon in 0..2 {
        wait_for("status 401 for the withdrawn key", || async {
            (call_status(&fleet, daemon, "cordial").await == 401).then_some(())
        })
        .await;
    }
    // The partitioned daemon still reaches its upstreams, and cannot know of the withdrawal.
    assert_eq!(config_version(&fleet, 2).await, Some(1));
    wait_for("status 200 in the partitioned zone", || async {
        (call_status(&fleet, 2, "brewer").await == 200).then_some(())
    })
    .await;
    wait_for("status 503 once the partitioned zone accepts no keys any more", || async {
        (call_status(&fleet, 2, "cordial").await == 503).then_some(())
    })
    .await;

    to_platform.heal();
    to_peer.heal();
    wait_for("the version that the other daemons have", || async {
        (config_version(&fleet, 2).await? == 2).then_some(())
    })
    .await;
    wait_for("status 200 after the partition", || async {
        let withdrawn = call_status(&fleet, 2, "cordial").await;
        assert_ne!(withdrawn, 200, "the withdrawn key is accepted after the partition");
        (call_status(&fleet, 2, "brewer").await == 200).then_some(())
    })
    .await;
    assert_eq!(config_version(&fleet, 2).await, Some(2));
}
