//! The lines that docs/OPERATIONS.md follows from an id to its cause.

use process_tests::{GatewayProcess, SiteFleet, SiteShape, call, get, submission, wait_for};
use serde_json::Value;

/// Returns the fields of the lines of one event that hold `value` under `key`.
fn lines(gateway: &GatewayProcess, event: u64, key: &str, value: &str) -> Vec<Value> {
    let fields = gateway.log().into_iter().map(|line| line["fields"].clone());
    fields.filter(|fields| fields["event"] == event && fields[key] == value).collect()
}

/// Guards against a refusal whose cause cannot be found by the request's id.
#[actix_rt::test]
async fn refused_request_is_explained() {
    let fleet = SiteFleet::start(SiteShape { gateways: 1, ..Default::default() }).await;
    let headers = SiteFleet::headers("lost");
    call(fleet.gateways[0].callers(), "/nowhere/", &headers, "").await;
    let found = wait_for("the line of the refusal", || async {
        lines(&fleet.gateways[0], 2002, "request", "lost").pop()
    })
    .await;
    assert_eq!(found["code"], "route-unknown");
    assert_eq!(found["ran"], "not-run");
    assert_eq!(found["config"], 1);
    assert!(found["took_ms"].is_number());
}

/// Guards against a late answer whose tries and upstreams cannot be found.
#[actix_rt::test]
async fn late_answer_is_explained() {
    let mut shape = SiteShape { gateways: 1, ..Default::default() };
    shape.service.work = std::time::Duration::from_millis(400);
    let fleet = SiteFleet::start(shape).await;
    let headers = SiteFleet::headers("late");
    let answer = call(fleet.gateways[0].callers(), "/fetch/x", &headers, "").await;
    assert_eq!(answer.status, 200);
    let tries = wait_for("the lines of both tries", || async {
        let tries = lines(&fleet.gateways[0], 2006, "request", "late");
        (tries.len() == 2).then_some(tries)
    })
    .await;
    assert_ne!(tries[0]["upstream"], tries[1]["upstream"]);
    for (number, line) in (1..).zip(&tries) {
        assert_eq!(line["attempt"], number);
        assert!(line["left_ms"].is_number() && line["service_slots"].is_number());
    }
}

/// Guards against an item whose way from the submission to its result cannot be followed.
#[actix_rt::test]
async fn way_of_an_item_is_explained() {
    let mut shape = SiteShape { gateways: 1, ..Default::default() };
    shape.engine.break_every = 2;
    let fleet = SiteFleet::start(shape).await;
    let gateway = &fleet.gateways[0];
    let body = submission("s", 4, 1).to_string();
    call(gateway.callers(), "/draft/s", &SiteFleet::headers("s"), &body).await;
    wait_for("all results", || async {
        let answer = get(gateway.callers(), "/lots/s?after=0", &SiteFleet::headers("r")).await;
        let body: Value = serde_json::from_str(&answer.body).ok()?;
        (body["results"].as_array()?.len() == 4).then_some(())
    })
    .await;
    let accepted = lines(gateway, 3006, "submission", "s");
    assert!(accepted[0]["part"].is_number());
    let assigned = gateway.log().iter().any(|line| line["fields"]["event"] == 1108);
    assert!(assigned, "the owner of the partition is logged");
    let interrupted = lines(gateway, 3009, "submission", "s");
    let broken = interrupted.first().expect("a run broke off");
    assert!(broken["reason"].is_string() && broken["events"].is_number());
    let item = String::from(broken["item"].as_str().unwrap());
    assert!(lines(gateway, 3008, "item", &item).len() >= 2, "the item was started again");
    assert_eq!(lines(gateway, 3010, "item", &item).len(), 1);
}

/// Guards against a metrics page without the figures that the page names.
#[actix_rt::test]
async fn metrics_are_served() {
    let fleet = SiteFleet::start(SiteShape { gateways: 1, ..Default::default() }).await;
    let headers = SiteFleet::headers("m");
    call(fleet.gateways[0].callers(), "/fetch/x", &headers, "").await;
    // A counter with labels appears with its first label.
    call(fleet.gateways[0].callers(), "/nowhere/", &headers, "").await;
    let page = get(fleet.gateways[0].metrics(), "/metrics", &[]).await.body;
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
        assert!(page.contains(&format!("hibiscushinge_{name}")), "{name}: {page}");
    }
}
