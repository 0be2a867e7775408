//! Zones that lose each other and the platform.

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;
use process_tests::{
    FleetOptions, TcpRelay, TestFleet, call, caller_key, document_text, get_json, wait_for,
};

async fn status_of(fleet: &TestFleet, daemon: usize, customer: &str) -> u16 {
    let headers = [("authorization", format!("Bearer {}", caller_key(customer)))];
    let body = r#"{"prompt": "partition", "max_tokens": 1}"#;
    call(fleet.caller_address(daemon), "/v1/draft", &headers, body).await.status
}

async fn version_of(fleet: &TestFleet, daemon: usize) -> Option<u64> {
    let status = get_json(fleet.daemons[daemon].address(2), "/admin/status").await?;
    status["configuration"]["version"].as_u64()
}

/// Guards against a zone that stops serving when it is cut off, serves a withdrawn key for good, or
/// goes back to its old configuration after it has caught up.
#[actix_rt::test]
async fn zone_that_is_cut_off_serves_for_the_stated_time_and_catches_up() {
    let document = "[keys_when_isolated]\naction = \"serve\"\nafter = \"20s\"\n";
    let mut fleet = TestFleet::start(FleetOptions {
        daemons: vec!["hobart-a", "hobart-b"],
        document: String::from(document),
        ..FleetOptions::default()
    })
    .await;
    // The third daemon reaches the platform, and is reached by its peers, through relays.
    let (to_platform, to_peer) = (TcpRelay::start().await, TcpRelay::start().await);
    to_platform.set_target(fleet.platform.address(0));
    let settings = format!("peer_advertised = \"{}\"\n", to_peer.address());
    let cut_off = fleet.start_daemon_through(2, "kingston-c", to_platform.address(), &settings);
    to_peer.set_target(cut_off.address(1));
    fleet.daemons.push(cut_off);
    fleet.first_document(&["cordial", "brewer"]).await;
    for daemon in 0..3 {
        wait_for("an admitted request", || async {
            (status_of(&fleet, daemon, "cordial").await == 200).then_some(())
        })
        .await;
    }

    to_platform.cut();
    to_peer.cut();
    let text = document_text(&fleet, &["brewer"]);
    let edit = fleet.operator(2).edit("production", ConfigVersion(1), &text).await;
    assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(2))));
    for daemon in 0..2 {
        wait_for("the withdrawal", || async {
            (status_of(&fleet, daemon, "cordial").await == 401).then_some(())
        })
        .await;
    }
    // Its own upstreams still answer, and it cannot know of the withdrawal.
    assert_eq!(version_of(&fleet, 2).await, Some(1));
    wait_for("service of the zone that is cut off", || async {
        (status_of(&fleet, 2, "brewer").await == 200).then_some(())
    })
    .await;
    wait_for("the end of service with keys", || async {
        (status_of(&fleet, 2, "cordial").await == 503).then_some(())
    })
    .await;

    to_platform.heal();
    to_peer.heal();
    wait_for("the version of the others", || async {
        (version_of(&fleet, 2).await? == 2).then_some(())
    })
    .await;
    wait_for("service with keys", || async {
        let withdrawn = status_of(&fleet, 2, "cordial").await;
        assert_ne!(withdrawn, 200, "the withdrawn key works after the cut");
        (status_of(&fleet, 2, "brewer").await == 200).then_some(())
    })
    .await;
    assert_eq!(version_of(&fleet, 2).await, Some(2));
}
