//! Upstreams that are cold after their start, at gateways on the users' platform.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use process_tests::{SiteFleet, SiteOptions, call};
use rstest::rstest;
use serde_json::json;
use site_stand_in::StoreFault;

/// Time for which the upstreams are cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Requests that a cold upstream may get in any second: `warmup_per_s` x 1.5 + 5.
const MAX_PER_SECOND: usize = 29;

/// Time within which all gateways have read a new entry.
const LEARN_TIME: Duration = Duration::from_millis(500);

/// Responses to callers, by status.
#[derive(Default)]
struct ResponseCounts {
    answered: Cell<u32>,
    refused: Cell<u32>,
}

/// Sends about 40 requests per second to each gateway for a time.
async fn send_load(fleet: &SiteFleet, name: &str, time: Duration) -> Rc<ResponseCounts> {
    let counts = Rc::new(ResponseCounts::default());
    let ends_at = Instant::now() + time;
    let mut callers = Vec::new();
    for gateway in &fleet.gateways {
        let address = gateway.caller_address();
        let (counts, name) = (Rc::clone(&counts), String::from(name));
        callers.push(actix_rt::spawn(async move {
            let mut number = 0;
            while Instant::now() < ends_at {
                number += 1;
                let headers = SiteFleet::headers(&format!("{name}-{address}-{number}"));
                let response = call(address, "/fetch/proof", &headers, "body").await;
                let count = match response.status {
                    200 => &counts.answered,
                    503 => {
                        assert!(response.body.contains("not-run"), "{response:?}");
                        assert!(response.body.contains("upstreams-limited"), "{response:?}");
                        &counts.refused
                    }
                    _ => panic!("{response:?}"),
                };
                count.set(count.get() + 1);
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
        }));
    }
    for caller in callers {
        caller.await.unwrap();
    }
    counts
}

/// Guards against gateways that together send restarted upstreams more than they bear, or nothing,
/// and that refuse requests without a time to return or after the upstreams are warm.
#[rstest]
#[case::store_works(false)]
#[case::store_is_down(true)]
#[actix_rt::test]
async fn cold_upstreams_get_what_they_bear(#[case] store_is_down: bool) {
    let options = SiteOptions { gateways: 3, services: 2, ..Default::default() };
    let fleet = SiteFleet::start(options).await;
    let mut config = SiteFleet::config(2, &["key-1"]);
    config["services"][1]["warmup_s"] = json!(COLD_TIME.as_secs());
    config["services"][1]["warmup_per_s"] = json!(16);
    fleet.store.put_operator_key("config", &config);
    send_load(&fleet, "before", Duration::from_secs(2)).await;
    for service in &fleet.services {
        let mut entry = service.entry();
        entry["born"] = json!(2);
        entry["warmup_ms"] = json!(COLD_TIME.as_millis());
        fleet.store.put_upstream(service.id(), &entry);
    }
    send_load(&fleet, "learning", LEARN_TIME).await;
    let counted_from = Instant::now();
    if store_is_down {
        fleet.store.set_fault(StoreFault::Unavailable);
    }
    let cold = send_load(&fleet, "cold", COLD_TIME - LEARN_TIME - Duration::from_millis(100)).await;
    for service in &fleet.services {
        let busiest = service.busiest(Duration::from_secs(1), counted_from);
        assert!(busiest <= MAX_PER_SECOND, "{} got {busiest} requests in 1 s", service.id());
    }
    assert!(cold.answered.get() > 0 && cold.refused.get() > 0, "{:?}", cold.answered);
    tokio::time::sleep(LEARN_TIME).await;
    let warm = send_load(&fleet, "warm", Duration::from_secs(1)).await;
    assert_eq!(warm.refused.get(), 0, "requests were refused though all upstreams are warm");
}
