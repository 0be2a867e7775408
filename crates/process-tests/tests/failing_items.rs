//! Items that fail at each run, while the owner of their partition changes again and again.

use std::time::Duration;

use process_tests::{GatewayProcess, SiteFleet, SiteOptions, call, get, submission_body, wait_for};
use rstest::rstest;
use serde_json::Value;
use site_stand_in::SiteEngine;

/// Failures after which the route gives an item up.
const ATTEMPTS: u64 = 3;

/// Failures after which the item must not be sent to an engine again.
const MAX_FAILURES: u64 = 3 * ATTEMPTS;

/// Time that a failed run takes, which leaves room for a change of the owner.
const RUN_TIME: Duration = Duration::from_millis(400);

/// What happens to the owner in its second run of the item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerEnd {
    Killed,
    /// It gets SIGTERM, and is started again when it has ended.
    Stopped,
    /// It is paused until the item has another owner.
    Frozen,
}

async fn submit(fleet: &SiteFleet) {
    let body = submission_body("s", 2, 1).to_string();
    let headers = SiteFleet::headers("s");
    let response = call(fleet.gateways[0].caller_address(), "/draft/1", &headers, &body).await;
    assert_eq!(response.status, 202, "{response:?}");
}

/// Returns how often a gateway has sent the item to an engine.
fn starts(gateway: &GatewayProcess) -> usize {
    let log = gateway.log();
    let fields = log.iter().map(|line| &line["fields"]);
    fields.filter(|fields| fields["name"] == "ItemStarted" && fields["item"] == "s-0").count()
}

/// Returns the state of the item's result, if a gateway lists it.
async fn result_state(fleet: &SiteFleet) -> Option<String> {
    let headers = SiteFleet::headers("read");
    for gateway in &fleet.gateways {
        let response = get(gateway.caller_address(), "/lots/s?after=0", &headers).await;
        let Ok(body) = serde_json::from_str::<Value>(&response.body) else { continue };
        let Some(results) = body["results"].as_array() else { continue };
        if let Some(result) = results.iter().find(|result| result["id"] == "s-0") {
            return result["state"].as_str().map(String::from);
        }
    }
    None
}

/// Returns the gateway that has begun its second run of the item since it was ended last.
fn owner_in_second_run(fleet: &SiteFleet, starts_at_end: &[usize]) -> Option<usize> {
    (0..fleet.gateways.len())
        .find(|index| starts(&fleet.gateways[*index]) >= starts_at_end[*index] + 2)
}

async fn end(gateway: &mut GatewayProcess, how: OwnerEnd) {
    match how {
        OwnerEnd::Killed => gateway.restart(),
        OwnerEnd::Stopped => gateway.signal("TERM"),
        OwnerEnd::Frozen => {
            gateway.signal("STOP");
            // The store gives up its partitions after 1.2 s.
            tokio::time::sleep(Duration::from_secs(2)).await;
            gateway.signal("CONT");
        }
    }
}

/// Starts the gateways again that have ended by themselves.
fn restart_ended(fleet: &mut SiteFleet) {
    for gateway in &mut fleet.gateways {
        if gateway.exit_code().is_some() {
            gateway.restart();
        }
    }
}

/// Guards against an item that is sent to engines for as long as its owners change, because each owner
/// counts its failures from 0.
#[rstest]
#[case::killed(OwnerEnd::Killed)]
#[case::stopped(OwnerEnd::Stopped)]
#[case::frozen(OwnerEnd::Frozen)]
#[actix_rt::test]
async fn failures_of_an_item_count_on_when_its_owner_changes(#[case] how: OwnerEnd) {
    let mut fleet = SiteFleet::start(SiteOptions { gateways: 4, ..Default::default() }).await;
    for engine in &fleet.engines {
        engine.fail_item("s-0", RUN_TIME);
    }
    submit(&fleet).await;
    let mut starts_at_end = vec![0; fleet.gateways.len()];
    let failures = |fleet: &SiteFleet| fleet.engines.iter().map(SiteEngine::failed).sum::<u64>();
    while failures(&fleet) <= MAX_FAILURES {
        tokio::time::sleep(Duration::from_millis(10)).await;
        restart_ended(&mut fleet);
        if let Some(owner) = owner_in_second_run(&fleet, &starts_at_end) {
            end(&mut fleet.gateways[owner], how).await;
            starts_at_end[owner] = starts(&fleet.gateways[owner]);
        }
        if result_state(&fleet).await.is_some() {
            break;
        }
    }
    let failures = failures(&fleet);
    assert!(failures <= MAX_FAILURES, "the item was sent again after {MAX_FAILURES} failures");
    assert!(failures >= ATTEMPTS, "the item was given up after {failures} failures");
    let state = wait_for("the result of the item", || result_state(&fleet)).await;
    assert_eq!(state, "errored");
}
