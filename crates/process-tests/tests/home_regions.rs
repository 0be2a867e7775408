//! Home regions of routes and customers at gateways on the users' platform.

use process_tests::{SiteFleet, SiteOptions, call, get, submission_body, wait_for};
use rstest::rstest;
use serde_json::{Value, json};
use site_stand_in::{EngineOptions, ServiceOptions, SiteEngine, SiteService};

const ITEMS: usize = 8;

/// Returns how many requests each upstream of a fleet in region `region-a` has got.
fn received(fleet: &SiteFleet) -> (u64, u64) {
    let served = fleet.services.iter().map(SiteService::served).sum();
    (served, fleet.engines.iter().map(SiteEngine::runs).sum())
}

/// Pattern: gateways and most upstreams are in one region, and the home of the requests is another
/// one, by their route or by their customer.
///
/// Guards against items, reward calls, streams and plain requests that run outside of their home
/// regions, and against ones that are not run at all.
#[rstest]
#[case::by_route(true)]
#[case::by_customer(false)]
#[actix_rt::test]
async fn requests_and_items_run_in_their_home_region(#[case] by_route: bool) {
    let fleet = SiteFleet::start(SiteOptions::default()).await;
    let engine = SiteEngine::start(EngineOptions {
        id: String::from("engine-home"),
        zone: String::from("zone-b"),
        ..SiteOptions::default().engine
    })
    .unwrap();
    let service = SiteService::start(ServiceOptions {
        id: String::from("portal-home"),
        zone: String::from("zone-b"),
        ..SiteOptions::default().service
    })
    .unwrap();
    fleet.store.put_upstream(engine.id(), &engine.entry());
    fleet.store.put_upstream(service.id(), &service.entry());
    let mut config = SiteFleet::config(2, &["key-1"]);
    if by_route {
        for route in config["routes"].as_array_mut().unwrap() {
            route["home_regions"] = json!(["region-b"]);
        }
    } else {
        config["tenants"][0]["home_regions"] = json!(["region-b"]);
    }
    fleet.store.put_operator_key("config", &config);
    for gateway in &fleet.gateways {
        wait_for("the configuration at a gateway", || async {
            let lines = gateway.log();
            let mut lines = lines.iter().map(|line| &line["fields"]);
            let is_applied =
                |fields: &Value| fields["name"] == "ConfigApplied" && fields["version"] == 2;
            lines.any(is_applied).then_some(())
        })
        .await;
        // The gateway knows the upstreams of the region once it has served a request there.
        wait_for("a response of the home region", || async {
            let headers = SiteFleet::headers("probe");
            let response = call(gateway.caller_address(), "/fetch/proof", &headers, "body").await;
            (response.status == 200).then_some(())
        })
        .await;
    }
    let before = received(&fleet);
    for gateway in &fleet.gateways {
        for path in ["/fetch/proof", "/once/order"] {
            for number in 0..10 {
                let headers = SiteFleet::headers(&format!("r{number}"));
                let response = call(gateway.caller_address(), path, &headers, "body").await;
                assert_eq!(response.status, 200, "{response:?}");
            }
        }
    }
    let address = fleet.gateways[0].caller_address();
    let body = submission_body("s", ITEMS, 1).to_string();
    let accepted = call(address, "/draft/s", &SiteFleet::headers("s"), &body).await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let results = wait_for("all results", || async {
        let response = get(address, "/lots/s?after=0", &SiteFleet::headers("read")).await;
        let body: Value = serde_json::from_str(&response.body).ok()?;
        body["results"].as_array().filter(|results| results.len() == ITEMS).cloned()
    })
    .await;
    assert!(results.iter().all(|result| result["state"] == "finished"), "{results:?}");
    assert!(engine.runs() >= ITEMS as u64);
    assert_eq!(received(&fleet), before, "the other region got requests");
}
