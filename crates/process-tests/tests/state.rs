//! Configuration and usage while the log, daemons and operators fail, through separate processes.

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;
use process_tests::{FleetOptions, TestFleet, call, caller_key, document_text, get_json, wait_for};
use serde_json::{Value, json};

fn headers(customer: &str) -> [(&'static str, String); 1] {
    [("authorization", format!("Bearer {}", caller_key(customer)))]
}

async fn generate(fleet: &TestFleet, daemon: usize, tokens: u32) -> u16 {
    let body = format!(r#"{{"prompt": "usage", "max_tokens": {tokens}}}"#);
    call(fleet.caller_address(daemon), "/v1/draft", &headers("cordial"), &body).await.status
}

async fn admitted(fleet: &TestFleet, daemon: usize) {
    wait_for("an admitted request", || async {
        (generate(fleet, daemon, 1).await == 200).then_some(())
    })
    .await;
}

/// Returns the generated tokens that accepted reports and the open window of a daemon hold.
async fn billed(fleet: &TestFleet, daemon: usize) -> Option<u64> {
    let usage = get_json(fleet.daemons[daemon].address(2), "/admin/usage").await?;
    let tokens = |figures: &Value| figures["cordial"]["generated_tokens"].as_u64().unwrap_or(0);
    let windows = usage["windows"].as_array()?.iter().map(|window| tokens(&window["figures"]));
    Some(windows.sum::<u64>() + tokens(&usage["open"]))
}

/// Returns the number of batches that these daemons hold for others.
async fn held_batches(fleet: &TestFleet, daemons: &[usize]) -> Option<u64> {
    let mut held = 0;
    for daemon in daemons {
        let admin = fleet.daemons[*daemon].address(2);
        held += get_json(admin, "/admin/usage").await?["held_batches"].as_u64()?;
    }
    Some(held)
}

/// Guards against usage that is lost or billed twice when a daemon dies before the log takes its
/// batch: the replica holder must append it.
#[actix_rt::test]
async fn usage_of_a_killed_daemon_is_billed_once() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    admitted(&fleet, 0).await;
    wait_for("the first batch", || async { (billed(&fleet, 1).await? == 1).then_some(()) }).await;
    // A holder that has not read the first batch in the log yet would pass for one of the second.
    wait_for("the end of the first copy", || async {
        (held_batches(&fleet, &[1, 2]).await? == 0).then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": true })).await;
    assert_eq!(generate(&fleet, 0, 40).await, 200);
    wait_for("the copy of the batch", || async {
        (held_batches(&fleet, &[1, 2]).await? > 0).then_some(())
    })
    .await;
    fleet.daemons[0].kill();
    fleet.fault(&json!({ "log_down": false })).await;
    wait_for("the usage of the killed daemon", || async {
        (billed(&fleet, 1).await? == 41).then_some(())
    })
    .await;
    // Both survivors read the same log and must show the same sum.
    wait_for("the same figures elsewhere", || async {
        (billed(&fleet, 2).await? == 41).then_some(())
    })
    .await;
}

/// Guards against a daemon that starts without configuration, or with an old one, while the log is
/// down and its peers are up.
#[actix_rt::test]
async fn daemon_learns_the_configuration_from_peers_while_the_log_is_down() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    let text = document_text(&fleet, &["cordial", "brewer"]);
    let edit = fleet.operator(2).edit("production", ConfigVersion(1), &text).await;
    assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(2))));
    fleet.wait_for_version(2).await;

    fleet.fault(&json!({ "log_down": true })).await;
    fleet.daemons[2].kill();
    fleet.daemons[2] = fleet.start_daemon(2);
    fleet.list_vms().await;
    let admin = fleet.daemons[2].address(2);
    wait_for("the configuration of a peer", || async move {
        let status = get_json(admin, "/admin/status").await?;
        let configuration = &status["configuration"];
        let learned = configuration["version"] == 2 && configuration["possibly_stale"] == true;
        learned.then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": false })).await;
    wait_for("the confirmation by the log", || async move {
        let status = get_json(admin, "/admin/status").await?;
        let configuration = &status["configuration"];
        assert!(configuration["version"].as_u64()? >= 2, "the version went back");
        (configuration["possibly_stale"] == false).then_some(())
    })
    .await;
}

/// Guards against a daemon that cannot start while the platform as a whole is down.
#[actix_rt::test]
async fn daemon_starts_from_its_initial_peers_while_the_platform_is_down() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    fleet.platform.kill();
    let peers = format!("initial_peers = [\"{}\"]\n", fleet.daemons[0].address(1));
    let late = fleet.start_daemon_with(3, "hobart-a", &peers);
    let admin = late.address(2);
    wait_for("the configuration of a peer", || async move {
        let status = get_json(admin, "/admin/status").await?;
        let configuration = &status["configuration"];
        let learned = configuration["version"] == 1 && configuration["possibly_stale"] == true;
        learned.then_some(())
    })
    .await;
}

/// Guards against an edit that takes effect twice, or is reported as failed, when the answer to its
/// append is lost, and against two edits on the same version that both win.
#[actix_rt::test]
async fn racing_operators_get_one_version_although_answers_are_lost() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    fleet.fault(&json!({ "lose_append_answers": 2 })).await;
    let (mut first, mut second) = (fleet.operator(10), fleet.operator(11));
    let one = document_text(&fleet, &["cordial", "brewer"]);
    let two = document_text(&fleet, &["cordial", "maltster"]);
    let base = ConfigVersion(1);
    let (first, second) = futures_util::join!(
        first.edit("production", base, &one),
        second.edit("production", base, &two)
    );
    let outcomes = [first.expect("an outcome"), second.expect("an outcome")];
    let won = outcomes.iter().filter(|one| **one == EditOutcome::Accepted(ConfigVersion(2)));
    let lost = outcomes.iter().filter(|one| matches!(one, EditOutcome::Conflict(_)));
    assert_eq!((won.count(), lost.count()), (1, 1), "{outcomes:?}");
    fleet.wait_for_version(2).await;
    let documents = fleet.operator(12).documents().await.expect("the log answers");
    assert_eq!(documents.len(), 1);
    assert_eq!(documents[0].version, ConfigVersion(2));
}

/// Guards against a node that goes on accepting keys for good while it cannot learn of withdrawals.
#[actix_rt::test]
async fn isolated_daemon_refuses_keys_after_the_stated_time() {
    let document = "[keys_when_isolated]\naction = \"serve\"\nafter = \"1s\"\n";
    let options = FleetOptions {
        daemons: vec!["hobart-a"],
        document: String::from(document),
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    admitted(&fleet, 0).await;
    fleet.fault(&json!({ "log_down": true })).await;
    wait_for("the refusal of keys", || async {
        let body = r#"{"prompt": "isolated", "max_tokens": 1}"#;
        let address = fleet.caller_address(0);
        let answer = call(address, "/v1/draft", &headers("cordial"), body).await;
        answer.body.contains("isolated").then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": false })).await;
    admitted(&fleet, 0).await;
}
