//! Configuration and usage while the log and daemons fail and operators compete, with separate
//! processes.

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;
use process_tests::{FleetOptions, TestFleet, call, caller_key, document_text, get_json, wait_for};
use serde_json::{Value, json};

fn auth_headers(customer: &str) -> [(&'static str, String); 1] {
    [("authorization", format!("Bearer {}", caller_key(customer)))]
}

/// Sends a request for this many tokens and returns its status.
async fn generate(fleet: &TestFleet, daemon: usize, tokens: u32) -> u16 {
    let body = format!(r#"{{"prompt": "usage", "max_tokens": {tokens}}}"#);
    call(fleet.caller_address(daemon), "/v1/draft", &auth_headers("cordial"), &body).await.status
}

/// Waits until a daemon admits requests, which needs the first limit grant. The request uses one
/// token.
async fn wait_until_admitted(fleet: &TestFleet, daemon: usize) {
    wait_for("status 200 for a request", || async {
        (generate(fleet, daemon, 1).await == 200).then_some(())
    })
    .await;
}

/// Returns the generated tokens of the customer in all usage windows that a daemon knows, the open
/// one included.
async fn billed_tokens(fleet: &TestFleet, daemon: usize) -> Option<u64> {
    let usage = get_json(fleet.daemons[daemon].address(2), "/admin/usage").await?;
    let tokens = |figures: &Value| figures["cordial"]["generated_tokens"].as_u64().unwrap_or(0);
    let windows = usage["windows"].as_array()?.iter().map(|window| tokens(&window["figures"]));
    Some(windows.sum::<u64>() + tokens(&usage["open"]))
}

/// Returns the number of usage batches of other daemons of which these daemons hold replicas.
async fn held_batches(fleet: &TestFleet, daemons: &[usize]) -> Option<u64> {
    let mut held = 0;
    for daemon in daemons {
        let admin = fleet.daemons[*daemon].address(2);
        held += get_json(admin, "/admin/usage").await?["held_batches"].as_u64()?;
    }
    Some(held)
}

/// Guards against usage that is lost or billed twice when a daemon is killed before the log has its
/// batch: the daemon with the replica must append the batch.
#[actix_rt::test]
async fn usage_of_a_killed_daemon_is_billed_once() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    wait_until_admitted(&fleet, 0).await;
    wait_for("the token of the first request in the usage", || async {
        (billed_tokens(&fleet, 1).await? == 1).then_some(())
    })
    .await;
    // Otherwise a replica of the first batch could be taken for one of the second batch below.
    wait_for("the release of the first batch's replicas", || async {
        (held_batches(&fleet, &[1, 2]).await? == 0).then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": true })).await;
    assert_eq!(generate(&fleet, 0, 40).await, 200);
    wait_for("a replica of the second batch", || async {
        (held_batches(&fleet, &[1, 2]).await? > 0).then_some(())
    })
    .await;
    fleet.daemons[0].kill();
    fleet.fault(&json!({ "log_down": false })).await;
    wait_for("the usage of the killed daemon, 41 tokens", || async {
        (billed_tokens(&fleet, 1).await? == 41).then_some(())
    })
    .await;
    // Both other daemons read the same log and must show the same sum.
    wait_for("the same usage, 41 tokens, on the third daemon", || async {
        (billed_tokens(&fleet, 2).await? == 41).then_some(())
    })
    .await;
}

/// Guards against a daemon that starts without configuration, or with an old version, while the log
/// is unavailable but peers know the newest version.
#[actix_rt::test]
async fn daemon_learns_the_configuration_from_peers_while_the_log_is_down() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    let text = document_text(&fleet, &["cordial", "brewer"]);
    let edit = fleet.operator(2).edit("production", ConfigVersion(1), &text).await;
    assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(2))));
    fleet.wait_for_version(2).await;

    fleet.fault(&json!({ "log_down": true })).await;
    fleet.daemons[2].kill();
    fleet.daemons[2] = fleet.start_daemon(2);
    fleet.publish_vms().await;
    let admin = fleet.daemons[2].address(2);
    wait_for("the version from a peer, marked as possibly stale", || async move {
        let status = get_json(admin, "/admin/status").await?;
        let configuration = &status["configuration"];
        let has_learned = configuration["version"] == 2 && configuration["possibly_stale"] == true;
        has_learned.then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": false })).await;
    wait_for("the log to confirm the version", || async move {
        let status = get_json(admin, "/admin/status").await?;
        let configuration = &status["configuration"];
        assert!(
            configuration["version"].as_u64()? >= 2,
            "the version of the configuration went back below 2"
        );
        (configuration["possibly_stale"] == false).then_some(())
    })
    .await;
}

/// Guards against a daemon that cannot start while the whole platform is unavailable.
#[actix_rt::test]
async fn daemon_starts_from_its_initial_peers_while_the_platform_is_down() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    fleet.platform.kill();
    let peers = format!("initial_peers = [\"{}\"]\n", fleet.daemons[0].address(1));
    let new_daemon = fleet.start_daemon_with(3, "hobart-a", &peers);
    let admin = new_daemon.address(2);
    wait_for("the version from a peer, marked as possibly stale", || async move {
        let status = get_json(admin, "/admin/status").await?;
        let configuration = &status["configuration"];
        let has_learned = configuration["version"] == 1 && configuration["possibly_stale"] == true;
        has_learned.then_some(())
    })
    .await;
}

/// Guards against an edit that takes effect twice, or is reported as failed, because the response
/// to its append was lost, and against two concurrent edits of the same version that are both
/// accepted.
#[actix_rt::test]
async fn one_of_two_concurrent_edits_is_accepted_when_append_responses_are_lost() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    fleet.fault(&json!({ "lose_append_answers": 2 })).await;
    let (mut first, mut second) = (fleet.operator(10), fleet.operator(11));
    let first_text = document_text(&fleet, &["cordial", "brewer"]);
    let second_text = document_text(&fleet, &["cordial", "maltster"]);
    let base = ConfigVersion(1);
    let (first, second) = futures_util::join!(
        first.edit("production", base, &first_text),
        second.edit("production", base, &second_text)
    );
    let outcomes =
        [first.expect("an edit has an outcome"), second.expect("an edit has an outcome")];
    let accepted =
        outcomes.iter().filter(|outcome| **outcome == EditOutcome::Accepted(ConfigVersion(2)));
    let conflicts = outcomes.iter().filter(|outcome| matches!(outcome, EditOutcome::Conflict(_)));
    assert_eq!((accepted.count(), conflicts.count()), (1, 1), "{outcomes:?}");
    fleet.wait_for_version(2).await;
    let documents =
        fleet.operator(12).documents().await.expect("the documents can be read from the log");
    assert_eq!(documents.len(), 1);
    assert_eq!(documents[0].version, ConfigVersion(2));
}

/// Guards against an isolated node that accepts keys without end although it cannot learn of
/// withdrawals.
#[actix_rt::test]
async fn isolated_daemon_refuses_keys_after_the_configured_time() {
    let document = "[keys_when_isolated]\naction = \"serve\"\nafter = \"1s\"\n";
    let options = FleetOptions {
        daemons: vec!["hobart-a"],
        document: String::from(document),
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    wait_until_admitted(&fleet, 0).await;
    fleet.fault(&json!({ "log_down": true })).await;
    wait_for("a refusal because the daemon is isolated", || async {
        let body = r#"{"prompt": "isolated", "max_tokens": 1}"#;
        let address = fleet.caller_address(0);
        let response = call(address, "/v1/draft", &auth_headers("cordial"), body).await;
        response.body.contains("isolated").then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": false })).await;
    wait_until_admitted(&fleet, 0).await;
}
