//! Open connections to upstreams that fall silent without a reset, while new ones work, as when a
//! network device forgets the connections that it knows.

use std::{collections::BTreeSet, time::Duration};

use futures_util::future::join_all;
use process_tests::{SiteFleet, SiteOptions, TcpRelay, call, get, submission_body, wait_for};
use rstest::rstest;
use serde_json::Value;

const ENGINES: usize = 4;

const SERVICES: usize = 2;

/// Items of the submission that opens connections: as many as the engines have slots.
const FIRST_ITEMS: usize = 32;

/// Requests that open connections to the plain service, sent at the same time. Its upstreams have slots
/// for more.
const FIRST_REQUESTS: usize = 10;

/// When the connections fall silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    /// While no work uses them.
    BeforeTheWork,
    /// While the engines generate the items.
    DuringTheWork,
}

async fn start() -> SiteFleet {
    let mut options = SiteOptions {
        gateways: 1,
        engines: ENGINES,
        services: SERVICES,
        relayed: true,
        ..Default::default()
    };
    options.service.service_time = Duration::from_millis(50);
    options.engine.event_interval = Duration::from_millis(40);
    SiteFleet::start(options).await
}

fn silence(fleet: &SiteFleet) {
    for relay in &fleet.relays {
        relay.silence_connections();
    }
}

async fn submit(fleet: &SiteFleet, id: &str, items: usize) {
    let body = submission_body(id, items, 1).to_string();
    let headers = SiteFleet::headers(id);
    let response = call(fleet.gateways[0].caller_address(), "/draft/1", &headers, &body).await;
    assert_eq!(response.status, 202, "{response:?}");
}

async fn wait_for_results(fleet: &SiteFleet, id: &str, items: usize) -> Vec<Value> {
    let (address, headers) = (fleet.gateways[0].caller_address(), SiteFleet::headers("read"));
    wait_for("all results of the submission", || async {
        let response = get(address, &format!("/lots/{id}?after=0"), &headers).await;
        let body: Value = serde_json::from_str(&response.body).ok()?;
        let results = body["results"].as_array()?;
        (results.len() == items).then(|| results.clone())
    })
    .await
}

/// Returns whether all items of a submission were sent to engines.
fn all_started(fleet: &SiteFleet, submission: &str, items: usize) -> bool {
    let log = fleet.gateways[0].log();
    let starts = log.iter().map(|line| &line["fields"]);
    let starts = starts
        .filter(|fields| fields["name"] == "ItemStarted" && fields["submission"] == submission);
    let started: BTreeSet<&str> = starts.filter_map(|fields| fields["item"].as_str()).collect();
    started.len() == items
}

async fn send(fleet: &SiteFleet, path: &str, id: &str) -> u16 {
    let mut headers = SiteFleet::headers(id);
    headers.push(("x-model", String::from("m0")));
    call(fleet.gateways[0].caller_address(), path, &headers, "body").await.status
}

async fn open_service_connections(fleet: &SiteFleet) {
    let ids: Vec<String> = (0..FIRST_REQUESTS).map(|index| format!("first-{index}")).collect();
    let statuses = join_all(ids.iter().map(|id| send(fleet, "/fetch/proof", id))).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against items that meet one dead connection after the other, each for the time-out of a run,
/// and are at no engine for seconds.
#[rstest]
#[case::few_items(5, Silence::BeforeTheWork)]
#[case::single_item(1, Silence::BeforeTheWork)]
#[case::many_items(FIRST_ITEMS, Silence::BeforeTheWork)]
#[case::running_items(FIRST_ITEMS, Silence::DuringTheWork)]
#[actix_rt::test]
async fn items_meet_one_silent_connection(#[case] items: usize, #[case] when: Silence) {
    let fleet = start().await;
    submit(&fleet, "first", FIRST_ITEMS).await;
    wait_for_results(&fleet, "first", FIRST_ITEMS).await;
    if when == Silence::BeforeTheWork {
        silence(&fleet);
    }
    submit(&fleet, "second", items).await;
    if when == Silence::DuringTheWork {
        wait_for("all items to start", || async {
            all_started(&fleet, "second", items).then_some(())
        })
        .await;
        silence(&fleet);
    }
    let results = wait_for_results(&fleet, "second", items).await;
    assert!(results.iter().all(|result| result["state"] == "finished"), "{results:?}");
    let engines = &fleet.relays[..ENGINES];
    let used: usize = engines.iter().map(TcpRelay::used_silent_connections).sum();
    assert!(used <= items, "{used} runs of {items} items met a dead connection");
}

/// Guards against callers that are not answered, although each request may be sent to a second
/// upstream, because its connection is dead too.
#[actix_rt::test]
async fn idempotent_requests_are_answered() {
    let fleet = start().await;
    open_service_connections(&fleet).await;
    silence(&fleet);
    for number in 0..8 {
        assert_eq!(send(&fleet, "/fetch/proof", &format!("r{number}")).await, 200);
    }
}

/// Guards against non-idempotent requests that are lost one after the other, each on another dead
/// connection. The first one at each upstream cannot be sent again: it may have run.
#[actix_rt::test]
async fn one_non_idempotent_request_is_lost_at_each_upstream() {
    let fleet = start().await;
    open_service_connections(&fleet).await;
    silence(&fleet);
    let mut lost = 0;
    for number in 0..2 * SERVICES {
        let status = send(&fleet, "/once/order", &format!("r{number}")).await;
        assert!(![408, 421, 429, 503].contains(&status), "a refusal says that it has not run");
        lost += usize::from(status != 200);
    }
    assert!(lost <= SERVICES, "{lost} requests were lost");
}

/// Guards against streams that wait for their first event on a dead connection until their callers
/// leave, although another engine may run them.
#[actix_rt::test]
async fn resumable_streams_are_answered() {
    let fleet = start().await;
    submit(&fleet, "first", FIRST_ITEMS).await;
    wait_for_results(&fleet, "first", FIRST_ITEMS).await;
    silence(&fleet);
    for number in 0..3 {
        assert_eq!(send(&fleet, "/talk/1", &format!("r{number}")).await, 200);
    }
}
