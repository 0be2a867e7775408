//! Limits on requests that upstreams name, at gateways on the users' platform.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use process_tests::{SiteFleet, SiteOptions, call, submission_body, wait_for};
use rstest::rstest;
use site_stand_in::StoreFault;

/// Time after which all gateways must keep to a limit that an upstream has named.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time over which the requests of an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which callers send requests while the limits hold.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Pause between two requests of the callers at one gateway.
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// What happens while the limits hold.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disturbance {
    None,
    /// A gateway is killed and starts again without what it knew.
    Restart,
    /// The store refuses all calls, so that gateways cannot coordinate.
    StoreOutage,
}

/// Responses to callers, by status.
#[derive(Debug, Default)]
struct ResponseCounts {
    answered: Cell<u32>,
    refused: Cell<u32>,
    other: Cell<u32>,
}

/// Returns the largest number of requests that an upstream may get in [`WINDOW`].
fn allowed_requests(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// Sends requests to all gateways for a time.
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
                        &counts.refused
                    }
                    _ => &counts.other,
                };
                count.set(count.get() + 1);
                tokio::time::sleep(CALLER_PAUSE).await;
            }
        }));
    }
    for caller in callers {
        caller.await.unwrap();
    }
    counts
}

/// Guards against an upstream that gets more requests from all gateways together than the limit
/// that it names allows, while other upstreams are free.
#[rstest]
#[case::part_of_the_service(1, 5.0, Disturbance::None)]
#[case::small_limits(2, 1.5, Disturbance::None)]
#[case::gateway_restarts(1, 5.0, Disturbance::Restart)]
#[case::store_is_down(1, 5.0, Disturbance::StoreOutage)]
#[actix_rt::test]
async fn limited_upstream_gets_no_more_than_it_takes(
    #[case] limited: usize,
    #[case] limit: f64,
    #[case] disturbance: Disturbance,
) {
    let options = SiteOptions { gateways: 3, services: limited + 1, ..Default::default() };
    let mut fleet = SiteFleet::start(options).await;
    send_load(&fleet, "before", Duration::from_secs(1)).await;
    let limited = fleet.services[..limited].to_vec();
    for service in &limited {
        service.set_limit(Some(limit));
    }
    let counted_from = Instant::now() + SETTLE_TIME;
    let mut counts = vec![send_load(&fleet, "settling", SETTLE_TIME).await];
    match disturbance {
        Disturbance::None => {}
        Disturbance::Restart => {
            fleet.gateways[0].restart();
            fleet.gateways[0].wait_ready().await;
        }
        Disturbance::StoreOutage => fleet.store.set_fault(StoreFault::Unavailable),
    }
    counts.push(send_load(&fleet, "limited", LOAD_TIME - SETTLE_TIME).await);
    for service in &limited {
        let busiest = service.busiest(WINDOW, counted_from);
        let allowed = allowed_requests(limit);
        assert!(
            busiest <= allowed,
            "{} got {busiest} requests in {WINDOW:?}; {allowed} are allowed",
            service.id()
        );
    }
    for counts in counts {
        let failed = counts.refused.get() + counts.other.get();
        assert_eq!(failed, 0, "requests failed though an upstream without a limit was free");
    }
}

/// Guards against limits that hold for callers' requests but not for reward calls and generations.
#[actix_rt::test]
async fn limits_hold_for_items() {
    const LIMIT: f64 = 2.0;
    let options = SiteOptions { gateways: 2, engines: 2, services: 2, ..Default::default() };
    let fleet = SiteFleet::start(options).await;
    let submit = async |id: String| {
        let body = submission_body(&id, 24, 1).to_string();
        let headers = SiteFleet::headers(&id);
        let address = fleet.gateways[0].caller_address();
        let response = call(address, &format!("/draft/{id}"), &headers, &body).await;
        assert_eq!(response.status, 202, "{response:?}");
    };
    fleet.engines[0].set_limit(Some(LIMIT));
    fleet.services[0].set_limit(Some(LIMIT));
    submit(String::from("first")).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let counted_from = Instant::now();
    for round in 0..4 {
        submit(format!("s{round}")).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let allowed = allowed_requests(LIMIT);
    let engine = fleet.engines[0].busiest(WINDOW, counted_from);
    assert!(engine <= allowed, "an engine got {engine} generations; {allowed} are allowed");
    let service = fleet.services[0].busiest(WINDOW, counted_from);
    assert!(service <= allowed, "an upstream got {service} reward calls; {allowed} are allowed");
    assert_eq!(fleet.store.violations(), Vec::new());
}

/// Guards against requests that are held or lost when all upstreams together accept less than
/// callers send, and against a limit that stays in force after the upstreams have taken it back.
#[actix_rt::test]
async fn excess_is_refused_until_the_limits_are_lifted() {
    const LIMIT: f64 = 2.0;
    let options = SiteOptions { gateways: 2, services: 2, ..Default::default() };
    let fleet = SiteFleet::start(options).await;
    for service in &fleet.services {
        service.set_limit(Some(LIMIT));
    }
    let counted_from = Instant::now() + SETTLE_TIME;
    let counts = send_load(&fleet, "limited", LOAD_TIME).await;
    let allowed = allowed_requests(LIMIT);
    for service in &fleet.services {
        let busiest = service.busiest(WINDOW, counted_from);
        assert!(busiest <= allowed, "{} got {busiest}; {allowed} are allowed", service.id());
    }
    assert!(counts.refused.get() > 0, "nothing was refused: {counts:?}");
    assert_eq!(counts.other.get(), 0, "a request was neither answered nor refused: {counts:?}");
    for service in &fleet.services {
        service.set_limit(None);
    }
    let lifted_at = Instant::now();
    wait_for("requests above the lifted limit", || async {
        send_load(&fleet, "lifted", Duration::from_secs(1)).await;
        let busiest = fleet.services.iter().map(|service| service.busiest(WINDOW, lifted_at));
        (busiest.sum::<usize>() > 4 * allowed).then_some(())
    })
    .await;
}
