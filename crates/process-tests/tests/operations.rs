//! The log lines and metrics with which docs/OPERATIONS.md explains what happened to a request or
//! an item.

use process_tests::{GatewayProcess, SiteFleet, SiteOptions, call, get, submission_body, wait_for};
use serde_json::Value;

/// Returns the fields of the log lines with this event number that have `value` in the field `key`.
fn log_lines(gateway: &GatewayProcess, event: u64, key: &str, value: &str) -> Vec<Value> {
    let fields = gateway.log().into_iter().map(|line| line["fields"].clone());
    fields.filter(|fields| fields["event"] == event && fields[key] == value).collect()
}

/// Guards against a refusal whose cause cannot be found by the request's identifier.
#[actix_rt::test]
async fn refusal_is_explained_by_the_log() {
    let fleet = SiteFleet::start(SiteOptions { gateways: 1, ..Default::default() }).await;
    let headers = SiteFleet::headers("lost");
    call(fleet.gateways[0].caller_address(), "/nowhere/", &headers, "").await;
    let found = wait_for("the log line of the refusal", || async {
        log_lines(&fleet.gateways[0], 2002, "request", "lost").pop()
    })
    .await;
    assert_eq!(found["code"], "route-unknown");
    assert_eq!(found["ran"], "not-run");
    assert_eq!(found["config"], 1);
    assert!(found["took_ms"].is_number());
}

/// Guards against a late response whose attempts and their upstreams cannot be found.
#[actix_rt::test]
async fn attempts_of_a_late_response_are_explained_by_the_log() {
    let mut options = SiteOptions { gateways: 1, ..Default::default() };
    options.service.service_time = std::time::Duration::from_millis(400);
    let fleet = SiteFleet::start(options).await;
    let headers = SiteFleet::headers("late");
    let response = call(fleet.gateways[0].caller_address(), "/fetch/x", &headers, "").await;
    assert_eq!(response.status, 200);
    let attempts = wait_for("the log lines of both attempts", || async {
        let attempts = log_lines(&fleet.gateways[0], 2006, "request", "late");
        (attempts.len() == 2).then_some(attempts)
    })
    .await;
    assert_ne!(attempts[0]["upstream"], attempts[1]["upstream"]);
    for (number, line) in (1..).zip(&attempts) {
        assert_eq!(line["attempt"], number);
        assert!(line["left_ms"].is_number() && line["service_slots"].is_number());
    }
}

/// Guards against an item that cannot be traced from the submission to its result.
#[actix_rt::test]
async fn item_is_traced_from_submission_to_result_by_the_log() {
    let mut options = SiteOptions { gateways: 1, ..Default::default() };
    options.engine.break_stream_every = 2;
    let fleet = SiteFleet::start(options).await;
    let gateway = &fleet.gateways[0];
    let body = submission_body("s", 4, 1).to_string();
    call(gateway.caller_address(), "/draft/s", &SiteFleet::headers("s"), &body).await;
    wait_for("all results of the submission", || async {
        let response =
            get(gateway.caller_address(), "/lots/s?after=0", &SiteFleet::headers("r")).await;
        let body: Value = serde_json::from_str(&response.body).ok()?;
        (body["results"].as_array()?.len() == 4).then_some(())
    })
    .await;
    let accepted = log_lines(gateway, 3006, "submission", "s");
    assert!(accepted[0]["part"].is_number());
    let assigned = gateway.log().iter().any(|line| line["fields"]["event"] == 1108);
    assert!(assigned, "no log line (event 1108) tells the owner of the partition");
    let interrupted = log_lines(gateway, 3009, "submission", "s");
    let interruption =
        interrupted.first().expect("event 3009 is logged for an item whose generation broke");
    assert!(interruption["reason"].is_string() && interruption["events"].is_number());
    let item = String::from(interruption["item"].as_str().unwrap());
    assert!(
        log_lines(gateway, 3008, "item", &item).len() >= 2,
        "event 3008 is not logged for the second start of the item"
    );
    assert_eq!(log_lines(gateway, 3010, "item", &item).len(), 1);
}

/// Guards against a metrics page that lacks a metric which docs/OPERATIONS.md names.
#[actix_rt::test]
async fn metrics_are_served() {
    let fleet = SiteFleet::start(SiteOptions { gateways: 1, ..Default::default() }).await;
    let headers = SiteFleet::headers("m");
    call(fleet.gateways[0].caller_address(), "/fetch/x", &headers, "").await;
    // A counter with labels is on the page only after its first increment.
    call(fleet.gateways[0].caller_address(), "/nowhere/", &headers, "").await;
    let page = get(fleet.gateways[0].metrics_address(), "/metrics", &[]).await.body;
    for name in [
        "answers_total",
        "answer_seconds",
        "refusals",
        "run_seconds",
        "reward_seconds",
        "store_failures_total",
        "channels_opened_total",
        "loads_ordered_total",
        "usage_reports_total",
    ] {
        assert!(
            page.contains(&format!("hibiscushinge_{name}")),
            "metric hibiscushinge_{name} is missing: {page}"
        );
    }
}
